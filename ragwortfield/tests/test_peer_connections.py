"""Tests of connections between instances over real sockets."""

import socket
from unittest import TestCase

import gevent
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from ragwortfield.peering.connections import PeerConnections
from ragwortfield.peering.messages import (
    MAX_FRAME_BYTES,
    Heartbeat,
    Hello,
    compute_proof,
    decode_message,
    encode_message,
)
from ragwortfield.testing.entry_deployment import find_free_address
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.peer_server import serve_until_end

_TOKEN = 'token-of-the-peers'


class RecordingHandler:
    """Handler that records from which peers it received messages."""

    def __init__(self, name):
        self.name = name
        self.received = []

    def heartbeat(self):
        return Heartbeat(
            instance_id=self.name,
            data_centre='bergamo',
            http_address='a:1',
        )

    def receive(self, peer_id, message):
        self.received.append(peer_id)


class PeerConnectionTests(TestCase):
    """Faulty connections are closed and leave the others open."""

    def setUp(self):
        self.handler = RecordingHandler('entry-1')
        self.connections = PeerConnections(
            instance_id='entry-1',
            token=_TOKEN,
            handler=self.handler,
        )
        self.address = find_free_address()
        serve_until_end(self, self.connections.listen, self.address)
        gevent.sleep(0.05)

    def dial(self):
        return connect(
            f'ws://{self.address}/',
            max_size=MAX_FRAME_BYTES,
            compression=None,
            proxy=None,
            close_timeout=0.2,
        )

    def assert_closed(self, connection):
        with self.assertRaises(WebSocketException):
            for _ in range(5):
                connection.recv(timeout=2)

    def complete_handshake(self, connection, token=_TOKEN):
        challenge = decode_message(connection.recv(timeout=2))
        hello = Hello(
            instance_id='entry-9',
            nonce='n',
            proof=compute_proof(token, challenge.nonce, 'entry-9'),
        )
        connection.send(encode_message(hello))

    def test_wrong_token_closes_the_connection(self):
        with self.dial() as connection:
            self.complete_handshake(connection, 'another-token')
            self.assert_closed(connection)
        self.assertEqual(self.connections.count_connections(), 0)

    def test_malformed_and_oversized_frames_close_only_their_connection(self):
        other = PeerConnections(
            instance_id='entry-2',
            token=_TOKEN,
            handler=RecordingHandler('entry-2'),
        )
        other.dial(frozenset((self.address,)))
        self.addCleanup(other.dial, frozenset())
        for frame in (b'\xff\x00nonsense', b'0' * (MAX_FRAME_BYTES + 1)):
            with self.dial() as connection:
                self.complete_handshake(connection)
                decode_message(connection.recv(timeout=2))
                connection.send(frame)
                self.assert_closed(connection)
        self.handler.received.clear()
        gevent.sleep(1.5)
        self.assertIn('entry-2', self.handler.received)
        self.assertEqual(self.connections.count_connections(), 1)

    # Guards against a log that does not tell a peer that fell silent from one
    # whose process has ended.
    def test_silent_peer_and_ended_peer_are_told_apart(self):
        with capture_log_lines() as lines, self.dial() as connection:
            self.complete_handshake(connection)
            gevent.sleep(3.5)
        self.assertIn('event=peer_link_closed', lines[0])
        self.assertIn('cause=silence', lines[0])
        self.assertIn('silent_s=3', lines[0])
        with capture_log_lines() as lines:
            connection = self.dial()
            self.complete_handshake(connection)
            gevent.sleep(0.2)
            connection.socket.shutdown(socket.SHUT_RDWR)
            gevent.sleep(0.2)
        self.assertIn('cause=ended_by_peer', lines[0])
        self.assertIn('link_s=0.2', lines[0])

    def test_address_that_was_never_reached_has_no_ages(self):
        with capture_log_lines() as lines:
            self.connections.dial(frozenset((find_free_address(),)))
            gevent.sleep(0.3)
            self.connections.dial(frozenset())
        self.assertIn('event=peer_link_failed', lines[0])
        self.assertIn('cause=refused', lines[0])
        self.assertIn('silent_s=-1 link_s=-1', lines[0])

"""Tests of links between instances over real sockets."""

from unittest import TestCase

import gevent
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from ragwortfield.peering.connections import PeerConnections
from ragwortfield.peering.messages import (
    MAX_FRAME_BYTES,
    Hello,
    Heartbeat,
    decode_message,
    encode_message,
    compute_proof,
)
from ragwortfield.testing.entry_deployment import find_free_address

_TOKEN = 'token-of-the-peers'


class Recorder:
    """Handler that remembers what it received."""

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


class LinkTests(TestCase):
    """A good link beside bad ones."""

    def setUp(self):
        self.handler = Recorder('entry-1')
        self.links = PeerConnections(
            instance_id='entry-1',
            token=_TOKEN,
            handler=self.handler,
        )
        self.address = find_free_address()
        self.addCleanup(self.links.listen(self.address))
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

    def shake_hands(self, connection, token=_TOKEN):
        challenge = decode_message(connection.recv(timeout=2))
        hello = Hello(
            instance_id='entry-9',
            nonce='n',
            proof=compute_proof(token, challenge.nonce, 'entry-9'),
        )
        connection.send(encode_message(hello))

    def test_wrong_token_closes_the_link(self):
        with self.dial() as connection:
            self.shake_hands(connection, 'another-token')
            self.assert_closed(connection)
        self.assertEqual(self.links.count_connections(), 0)

    def test_malformed_and_oversized_frames_close_only_their_link(self):
        other = PeerConnections(
            instance_id='entry-2',
            token=_TOKEN,
            handler=Recorder('entry-2'),
        )
        other.dial(frozenset((self.address,)))
        self.addCleanup(other.dial, frozenset())
        for frame in (b'\xff\x00nonsense', b'0' * (MAX_FRAME_BYTES + 1)):
            with self.dial() as connection:
                self.shake_hands(connection)
                decode_message(connection.recv(timeout=2))
                connection.send(frame)
                self.assert_closed(connection)
        self.handler.received.clear()
        gevent.sleep(1.5)
        self.assertIn('entry-2', self.handler.received)
        self.assertEqual(self.links.count_connections(), 1)

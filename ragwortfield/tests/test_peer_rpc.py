"""Tests of calls between peers: unreadable frames and reachability."""

import socket
import struct
import time
import unittest
from unittest import mock

import cbor2
import gevent
from gevent.event import Event
from websockets.server import ServerProtocol

from ragwortfield.peering import rpc as peer_rpc
from ragwortfield.peering.rpc import PeerRpc, _handle_call, _PeerConnection
from ragwortfield.ports.platform import Unavailable
from ragwortfield.testing.free_ports import find_free_port
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.peer_server import serve_until_end

_ADDRESS = 'other:1'
_MAX_RECEIVED_BYTES = 4096


def _frame(**changes):
    return cbor2.dumps({'number': 1, 'name': 'ping', 'body': {}, **changes})


def _answer_ownership_call(_name, body):
    return {'owns': int(body['shard'])}


class AnsweringTest(unittest.TestCase):
    def assert_no_answer(self, handler, frame):
        websocket = mock.Mock()
        with capture_log_lines() as lines:
            _handle_call(websocket, handler, frame)
        websocket.send.assert_not_called()
        self.assertEqual(len(lines), 1, lines)
        self.assertIn('event=peer_call_malformed', lines[0])

    # Guards against handler errors that are not caught: a body has an
    # unexpected type or value, and only some types of errors were expected.
    def test_body_that_a_handler_cannot_read_gets_no_answer(self):
        bodies = ({'shard': 'x'}, {'shard': None}, {}, [], 7)
        for body in bodies:
            self.assert_no_answer(_answer_ownership_call, _frame(body=body))

    # Guards against handler errors that are not caught: a value of the body
    # lacks a method that the handler calls.
    def test_body_value_of_another_type_gets_no_answer(self):
        self.assert_no_answer(
            lambda _name, body: {'id': body['job_id'].strip()},
            _frame(body={'job_id': 7}),
        )

    # Guards against handler errors that are not caught: no handler knows the
    # call.
    def test_unknown_call_gets_no_answer(self):
        self.assert_no_answer(
            lambda name, _body: {'ping': {}}[name],
            _frame(name='pong'),
        )


class ReadingTest(unittest.TestCase):
    # Guards against a connection that stays in use although its reader has
    # stopped at an unreadable answer.
    def test_connection_with_an_unreadable_answer_is_dropped(self):
        for frame in (cbor2.dumps({}), cbor2.dumps(7), cbor2.dumps([])):
            rpc = PeerRpc(monotonic=time.monotonic)
            websocket = mock.MagicMock()
            websocket.__iter__.return_value = iter((frame,))
            connection = _PeerConnection(websocket=websocket)
            rpc._connection_by_address[_ADDRESS] = connection
            with capture_log_lines() as lines:
                rpc._read_responses(_ADDRESS, connection)
            self.assertNotIn(_ADDRESS, rpc._connection_by_address)
            self.assertIn('event=peer_link_broken', lines[0])


class ReachabilityTest(unittest.TestCase):
    def test_peer_without_a_server_is_unreachable_until_it_answers(self):
        address = f'127.0.0.1:{find_free_port()}'
        rpc = PeerRpc(monotonic=time.monotonic)
        self.assertFalse(rpc.is_unreachable(address))
        self.assertIsInstance(rpc.call(address, 'ping', {}, 1), Unavailable)
        self.assertTrue(rpc.is_unreachable(address))
        server = PeerRpc(monotonic=time.monotonic)
        serve_until_end(self, server.listen, address, lambda _name, body: body)
        # A failed attempt is not repeated at once.
        gevent.sleep(0.3)
        self.assertEqual(rpc.call(address, 'ping', {'a': 1}, 1), {'a': 1})
        self.assertFalse(rpc.is_unreachable(address))

    # Guards against a log that does not tell since when a peer cannot be
    # reached, or that grows with each attempt.
    def test_loss_and_return_of_a_peer_are_logged_once(self):
        address = f'127.0.0.1:{find_free_port()}'
        rpc = PeerRpc(monotonic=time.monotonic)
        with capture_log_lines() as lines:
            for _ in range(3):
                rpc.call(address, 'ping', {}, 1)
            server = PeerRpc(monotonic=time.monotonic)
            serve_until_end(
                self, server.listen, address, lambda _name, body: body
            )
            gevent.sleep(0.3)
            for _ in range(3):
                rpc.call(address, 'ping', {}, 1)
        lost, reached = lines
        self.assertIn(f'event=peer_unreachable address={address}', lost)
        self.assertIn('connecting failed', lost)
        self.assertIn(f'event=peer_reached address={address}', reached)
        self.assertIn('unreachable_s=0.3', reached)


class ServedConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.address = f'127.0.0.1:{find_free_port()}'
        server = PeerRpc(monotonic=time.monotonic)
        serve_until_end(
            self, server.listen, self.address, lambda _name, body: body
        )
        self.rpc = PeerRpc(monotonic=time.monotonic)
        self.addCleanup(self.close)

    def close(self):
        for connection in self.rpc._connection_by_address.values():
            connection.websocket.close()
        gevent.sleep(0.1)

    # Guards against connections without number that keep peers out.
    def test_silent_connections_make_place_for_peers(self):
        with mock.patch.object(peer_rpc, '_MAX_SERVED_CONNECTIONS', 4):
            self.assertEqual(self.rpc.call(self.address, 'x', {}, 1), {})
            host, port = self.address.split(':')
            connections = []
            for _ in range(12):
                connections.append(socket.create_connection((host, int(port))))
                self.addCleanup(connections[-1].close)
            gevent.sleep(0.2)
            self.assertEqual(connections[0].recv(1), b'')
            # The link of the peer has had frames and is kept.
            with capture_log_lines() as lines:
                self.assertEqual(self.rpc.call(self.address, 'x', {}, 1), {})
            self.assertEqual(lines, [])

    # Guards against a peer whose calls pile up without a bound.
    def test_too_many_calls_under_way_end_the_link(self):
        with mock.patch.object(peer_rpc, '_MAX_CALLS_UNDER_WAY', 0):
            outcome = self.rpc.call(self.address, 'x', {}, 1)
        self.assertIsInstance(outcome, Unavailable)


class LinkEndTest(unittest.TestCase):
    """Links to a real server, which end in different ways."""

    def setUp(self):
        self.address = f'127.0.0.1:{find_free_port()}'
        self.rpc = PeerRpc(monotonic=time.monotonic)
        self.server_sockets = []
        serve_connection = peer_rpc._serve_connection

        def serve(websocket, *details):
            self.server_sockets.append(websocket.socket)
            serve_connection(websocket, *details)

        patch = mock.patch.object(peer_rpc, '_serve_connection', serve)
        patch.start()
        self.addCleanup(patch.stop)
        server = PeerRpc(monotonic=time.monotonic)
        serve_until_end(self, server.listen, self.address, self.answer)
        self.is_released = Event()
        self.addCleanup(self.finish)

    def answer(self, name, body):
        if name == 'wait':
            self.is_released.wait()
        return body

    def finish(self):
        """End what is under way, so that no later test sees it."""
        self.is_released.set()
        for connection in self.rpc._connection_by_address.values():
            connection.websocket.close()
        gevent.sleep(0.1)

    def call(self, name='ping', timeout_s=1):
        return self.rpc.call(self.address, name, {}, timeout_s)

    def end_link(self, end):
        """Return the line of the caller about the link that was ended."""
        with capture_log_lines() as lines:
            self.call()
            gevent.sleep(0.2)
            end()
            gevent.sleep(0.3)
        (line,) = [line for line in lines if 'event=peer_link_broken' in line]
        self.assertIn(f'address={self.address}', line)
        return line

    # Guards against a log that does not tell a peer that fell silent from one
    # whose process has ended.
    def test_call_without_an_answer_is_told_as_such(self):
        def wait_in_vain():
            waiting = gevent.spawn(self.call, 'wait')
            self.call('wait', timeout_s=0.1)
            waiting.join()

        line = self.end_link(wait_in_vain)
        self.assertIn('cause=call_timeout', line)
        self.assertIn('reason="wait not answered within 0.10 s"', line)
        self.assertIn('waiting=2', line)
        self.assertIn('silent_s=0.3', line)
        self.assertIn('link_s=0.3', line)

    def test_end_of_the_peers_process_is_told_as_such(self):
        line = self.end_link(
            lambda: self.server_sockets[0].shutdown(socket.SHUT_RDWR)
        )
        self.assertIn('cause=ended_by_peer', line)
        self.assertIn('waiting=0', line)
        self.assertIn('silent_s=0.2', line)

    # Guards against a log in which only one end of a link has lines about it.
    def test_server_tells_how_the_link_ended_and_how_many_calls_it_had(self):
        with capture_log_lines() as lines:
            self.call()
            self.call()
            (connection,) = self.rpc._connection_by_address.values()
            connection.websocket.close()
            gevent.sleep(0.1)
        (line,) = [line for line in lines if 'event=peer_link_closed' in line]
        self.assertIn('cause=closed_by_peer', line)
        self.assertIn('calls=2', line)


class ResetLinkTest(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'

    def accept_and_reset(self):
        """Complete the handshake of a websocket, and reset it at a call."""
        accepted, _ = self.listener.accept()
        protocol = ServerProtocol()
        protocol.receive_data(accepted.recv(_MAX_RECEIVED_BYTES))
        (request,) = protocol.events_received()
        protocol.send_response(protocol.accept(request))
        accepted.sendall(b''.join(protocol.data_to_send()))
        accepted.recv(_MAX_RECEIVED_BYTES)
        # Without time to linger, the socket is reset when it is closed.
        accepted.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        accepted.close()

    # Guards against a log that does not tell a reset from the end of a process.
    def test_reset_is_told_as_such(self):
        server = gevent.spawn(self.accept_and_reset)
        self.addCleanup(server.join)
        rpc = PeerRpc(monotonic=time.monotonic)
        with capture_log_lines() as lines:
            answer = rpc.call(self.address, 'ping', {}, 1)
        self.assertIsInstance(answer, Unavailable)
        (line,) = lines
        self.assertIn('event=peer_link_broken', line)
        self.assertIn('cause=reset', line)
        self.assertIn('waiting=1', line)

"""Connections of a server that wait for their turn, over real sockets."""

import socket
import unittest

import gevent

from ragwortfield.core.client_limits import ClientLimits
from ragwortfield.http_api.client_guard import ClientGuard
from ragwortfield.http_api.turn_queue import TurnQueue
from ragwortfield.http_api.wsgi import get_pause, read_body
from ragwortfield.http_api.wsgi_server import HttpServer
from ragwortfield.platform.faulty_servers import reset_on_close
from ragwortfield.tests.scheduler_process_case import TIMEOUT_S

_MAX_CONNECTIONS = 20
#: Bytes of a chunked body of which the first part is read without a turn.
_CHUNKS = b'1\r\na\r\n' * 4000
_CHUNKED_HEAD = (
    b'POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_QUERY = b'GET / HTTP/1.1\r\nHost: test\r\n\r\n'
_PATIENT_QUERY = b'GET /patient HTTP/1.1\r\nHost: test\r\n\r\n'
_PAUSE_S = 0.01
_MAX_REQUESTS_AHEAD = 100


class ServerTurnTest(unittest.TestCase):
    """Server in this process, in which the test holds the turn."""

    def setUp(self):
        self.is_held = False
        self.attempts = 0
        self.turns = TurnQueue(sleep=self.sleep)
        self.guard = ClientGuard(
            limits=ClientLimits,
            max_connections=_MAX_CONNECTIONS,
            turns=self.turns,
        )
        self.server = HttpServer(
            address=('127.0.0.1', 0),
            application=self.respond,
            max_connections=_MAX_CONNECTIONS,
            guard=self.guard,
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def respond(self, environ, start_response):
        read_body(environ, ClientLimits().max_body_bytes)
        if environ['PATH_INFO'] == '/patient':
            while get_pause(environ)(_PAUSE_S):
                self.attempts += 1
        start_response('200 OK', [('content-length', '0')])
        return [b'']

    def sleep(self, duration_s):
        """Never return while the turn is held."""
        gevent.sleep(TIMEOUT_S if self.is_held else duration_s)

    def hold_turn(self):
        self.is_held = True
        holder = gevent.spawn(self.turns.wait, self)
        self.addCleanup(holder.kill)
        gevent.sleep(0)

    def connect(self):
        connection = socket.create_connection(
            ('127.0.0.1', self.server.server_port), TIMEOUT_S
        )
        self.addCleanup(connection.close)
        return connection

    def await_true(self, condition):
        with gevent.Timeout(TIMEOUT_S):
            while not condition():
                gevent.sleep(0.01)

    # Guards against connections of a crowd that has gone, which wait for their
    # turns one after the other, and keep descriptors and bytes until then.
    def test_reset_connections_end_without_a_turn(self):
        self.hold_turn()
        crowd = [self.connect() for _ in range(5)]
        for connection in crowd:
            connection.sendall(_CHUNKED_HEAD + _CHUNKS)
        self.await_true(lambda: self.turns.count_waiting() == 5)
        for connection in crowd:
            reset_on_close(connection)
        self.await_true(lambda: not self.server.count_connections())
        self.assertEqual(self.guard.held_bytes, 0)

    # Guards against a server that is full of connections in turn.
    def test_full_server_answers_a_new_client(self):
        self.hold_turn()
        for _ in range(_MAX_CONNECTIONS + 5):
            self.connect().sendall(_CHUNKED_HEAD + _CHUNKS)
        connection = self.connect()
        connection.sendall(_QUERY)
        self.assertIn(b'200 OK', connection.recv(1000))

    # Guards against reads that are repeated for clients that have gone.
    def test_repeated_read_ends_with_its_client(self):
        connection = self.connect()
        connection.sendall(_PATIENT_QUERY)
        self.await_true(lambda: self.attempts)
        reset_on_close(connection)
        self.await_true(lambda: not self.server.count_connections())

    # Guards against requests without end that are sent ahead by a client that
    # reads no answer.
    def test_requests_ahead_are_bounded(self):
        connection = self.connect()
        connection.sendall(_QUERY * (2 * _MAX_REQUESTS_AHEAD))
        answers = connection.makefile('rb').read()
        self.assertEqual(answers.count(b'200 OK'), _MAX_REQUESTS_AHEAD + 1)
        self.assertIn(b'Connection: close', answers)


class TurnQueueTest(unittest.TestCase):
    def setUp(self):
        self.turns = TurnQueue(sleep=lambda _duration_s: gevent.sleep(0.01))
        self.order = []

    def step(self, holder):
        self.order.append((holder, self.turns.wait(holder)))

    def test_turns_come_in_order_and_can_be_cancelled(self):
        steps = [gevent.spawn(self.step, holder) for holder in 'abcd']
        gevent.sleep(0)
        self.turns.cancel('c')
        self.turns.cancel('unknown')
        gevent.joinall(steps)
        self.assertEqual(
            sorted(self.order),
            [('a', True), ('b', True), ('c', False), ('d', True)],
        )
        self.assertEqual(
            [holder for holder, has_turn in self.order if has_turn],
            ['a', 'b', 'd'],
        )
        self.assertEqual(self.turns.count_waiting(), 0)

    # Guards against a turn that is lost with a connection that is killed.
    def test_killed_holder_passes_its_turn_on(self):
        steps = [gevent.spawn(self.step, holder) for holder in 'abc']
        gevent.sleep(0)
        gevent.killall(steps[:2])
        steps[2].get(timeout=TIMEOUT_S)
        self.assertEqual(self.order, [('c', True)])
        self.step('d')
        self.assertEqual(self.order[-1], ('d', True))

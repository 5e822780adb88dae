"""End of an HTTP server: what it has received is answered."""

import socket
import unittest
from http.client import HTTPConnection

import gevent
from gevent.event import Event

from ragwortfield.http_api.wsgi_server import HttpServer

_HOST = '127.0.0.1'
_MAX_CONNECTIONS = 10
_SERVICE_S = 0.3
_TIMEOUT_S = 5


class ServerFinishTest(unittest.TestCase):
    def setUp(self):
        self.handled = []
        self.released = Event()
        self.server = HttpServer(
            address=(_HOST, 0),
            application=self.serve,
            max_connections=_MAX_CONNECTIONS,
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def serve(self, environ, start_response):
        gevent.sleep(_SERVICE_S)
        if environ['PATH_INFO'] == '/held':
            self.released.wait()
        self.handled.append(environ['PATH_INFO'])
        start_response('200 OK', [('content-length', '2')])
        return [b'{}']

    def connect(self):
        connection = HTTPConnection(
            _HOST, self.server.server_port, timeout=_TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.connect()
        return connection

    # Guards against connections that end without an answer at a planned stop,
    # because the process ended while it was at work on their requests.
    def test_request_in_progress_is_answered(self):
        connection = self.connect()
        connection.request('GET', '/slow')
        gevent.sleep(_SERVICE_S / 3)
        self.assertEqual(self.server.finish(_TIMEOUT_S), 0)
        self.assertEqual(connection.getresponse().read(), b'{}')

    # Guards against requests that wait in the socket of a connection while the
    # server stops, and are never read.
    def test_request_that_is_not_read_yet_is_answered(self):
        connection = self.connect()
        connection.request('GET', '/first')
        connection.getresponse().read()
        connection.request('GET', '/second')
        self.assertEqual(self.server.finish(_TIMEOUT_S), 0)
        self.assertEqual(connection.getresponse().read(), b'{}')
        self.assertEqual(self.handled, ['/first', '/second'])

    # Guards against connections that are closed as idle in the middle of a
    # head: its first bytes were read, and the others are still under way.
    def test_request_whose_head_is_incomplete_is_answered(self):
        connection = self.connect()
        connection.sock.sendall(b'GET /parts HTTP/1.1\r\nHost: x\r\n')
        gevent.sleep(_SERVICE_S / 3)
        finish = gevent.spawn(self.server.finish, _TIMEOUT_S)
        gevent.sleep(_SERVICE_S / 3)
        connection.sock.sendall(b'\r\n')
        answer = connection.sock.recv(1000)
        self.assertEqual(answer[:15], b'HTTP/1.1 200 OK')
        self.assertEqual(finish.get(), 0)

    # Guards against connections that the kernel has accepted and that are
    # reset when the listening socket is closed.
    def test_request_on_a_connection_that_waits_to_be_accepted_is_answered(
        self,
    ):
        self.server.stop_accepting()
        connection = self.connect()
        connection.request('GET', '/waiting')
        self.assertEqual(self.server.finish(_TIMEOUT_S), 0)
        self.assertEqual(connection.getresponse().read(), b'{}')

    # Guards against connections that are closed after a head in pieces: their
    # next request has no answer.
    def test_connection_is_kept_after_a_head_in_pieces(self):
        for first_piece in (b'G', b'GET /parts HTTP/1.1\r\nHost: '):
            connection = self.connect()
            head = b'GET /parts HTTP/1.1\r\nHost: x\r\n\r\n'
            connection.sock.sendall(first_piece)
            gevent.sleep(_SERVICE_S / 3)
            connection.sock.sendall(head[len(first_piece) :])
            self.assertEqual(
                connection.sock.recv(1000)[:15], b'HTTP/1.1 200 OK'
            )
            connection.request('GET', '/second')
            self.assertEqual(connection.getresponse().read(), b'{}')

    def test_connection_without_a_request_is_closed(self):
        connection = self.connect()
        connection.request('GET', '/first')
        connection.getresponse().read()
        self.assertEqual(self.server.finish(_TIMEOUT_S), 0)
        self.assertEqual(connection.sock.recv(1), b'')

    def test_new_connections_are_refused(self):
        address = (_HOST, self.server.server_port)
        self.server.finish(_TIMEOUT_S)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address)

    # Guards against a planned stop of a full server that waits for a place for
    # the next connection, and so for as long as the requests take.
    def test_full_server_does_not_wait_for_a_place(self):
        self.addCleanup(self.released.set)
        for _ in range(_MAX_CONNECTIONS + 1):
            self.connect().request('GET', '/held')
        gevent.sleep(_SERVICE_S / 3)
        with gevent.Timeout(_TIMEOUT_S):
            self.assertEqual(self.server.finish(0), _MAX_CONNECTIONS)

    def test_request_that_takes_too_long_is_counted(self):
        connection = self.connect()
        connection.request('GET', '/slow')
        gevent.sleep(_SERVICE_S / 3)
        self.assertEqual(self.server.finish(0), 1)

"""WSGI server with raw request paths and bounds for its clients."""

import socket
import time
from contextlib import suppress
from io import BytesIO
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from ragwortfield.adapters.http_client import set_socket_options
from ragwortfield.adapters.json_codec import encode_json
from ragwortfield.http_api.client_connection import (
    BodyInput,
    ClientConnection,
    RequestRefused,
)
from ragwortfield.http_api.client_guard import ClientGuard, Phase
from ragwortfield.types import Seconds

#: Key in the WSGI environment of the path as the client sent it, still
#: percent-encoded.
RAW_PATH_KEY = 'ragwortfield.raw_path'
#: Key in the WSGI environment of a function that waits between two attempts of
#: a read, see ``ClientConnection.pause``.
PAUSE_KEY = 'ragwortfield.pause'
#: Interval at which a server that ends looks for idle connections, in seconds.
_FINISH_POLL_S: Seconds = 0.01
#: Error message by status, for requests whose head could not be parsed.
_MESSAGE_BY_STATUS = {
    '400': 'the request line, a header field or a length is malformed or '
    'too long',
    '414': 'the request line is longer than 8192 bytes',
}
#: Reason phrase by status, for responses that the server itself sends.
_PHRASE_BY_STATUS = {
    '408': 'Request Timeout',
    '431': 'Request Header Fields Too Large',
    '503': 'Service Unavailable',
}
#: Connections that the kernel keeps until they are accepted.
_BACKLOG = 1024
#: Size of the kernel's buffers of a connection, in bytes; the kernel doubles
#: it. Received bytes that wait there count against the memory of the machine.
_KERNEL_BUFFER_BYTES = 16384


class _RequestHandler(WSGIHandler):
    """Handler that keeps the raw path and explains why it refuses a request."""

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        """
        Create the handler of a connection.

        :param sock: socket of the connection.
        :param address: address of the client.
        :param server: the server.
        """
        super().__init__(sock, address, server, rfile=BytesIO())
        self._refusal: RequestRefused | None = None
        self._unsent: bytearray | None = None
        self._connection = ClientConnection(
            sock=sock, remote=address, guard=server.guard
        )

    def handle(self) -> None:
        """Handle all requests of the connection."""
        guard = self.server.guard
        guard.add(self._connection)
        try:
            super().handle()
        finally:
            guard.remove(self._connection)

    def get_environ(self) -> dict[str, Any]:
        """
        Create the WSGI environment, with the raw path in it.

        :returns: the environment.
        """
        environ = super().get_environ()
        environ[RAW_PATH_KEY] = self.path
        environ[PAUSE_KEY] = self._connection.pause
        self.wsgi_input = BodyInput(self._connection, self.wsgi_input)
        if environ['wsgi.input_terminated']:
            environ['wsgi.input'] = self.wsgi_input
        return environ

    def read_requestline(self) -> str:
        """
        Read the head of a request; the connection is idle until then.

        :returns: its first line; empty if the client has closed the
            connection, or the request is refused.
        """
        idle_greenlets = self.server.greenlet_by_idle_connection
        if not self._connection.has_request():
            idle_greenlets[self._connection] = gevent.getcurrent()
        try:
            # The base class reads the fields from here as well.
            self.rfile = BytesIO(self._connection.read_head())
        except RequestRefused as refusal:
            self._refusal = refusal
            return ''
        finally:
            idle_greenlets.pop(self._connection, None)
        return super().read_requestline()

    def handle_one_request(self) -> Any:
        """
        Handle one request.

        If the request cannot be parsed, the response says that it was not run.

        :returns: result of the base class; ``None`` for a request that is
            refused, after which the connection is closed.
        """
        connection = self._connection
        outcome = super().handle_one_request()
        connection.guard.release(connection)
        if isinstance(outcome, tuple):
            status = str(outcome[0])
            message = _MESSAGE_BY_STATUS.get(status, 'the request is malformed')
            self._refuse(status, 'unreadable-request', message)
            return None
        if self._refusal is not None:
            self._refuse(
                str(int(self._refusal.status)),
                self._refusal.code,
                self._refusal.message,
            )
            return None
        if connection.is_closing:
            connection.discard_rest()
            return None
        return outcome

    def finalize_headers(self) -> None:
        """Complete the header fields of a response."""
        super().finalize_headers()
        if self._connection.is_closing and not self.close_connection:
            self.response_headers.append((b'Connection', b'close'))

    def log_request(self) -> None:
        """Log nothing; the application logs requests."""

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        self.server.guard.decisions.record(
            'request_unreadable',
            time.monotonic(),
            remote=self.client_address,
            error=ex,
        )
        return '400', b''

    def _write_with_headers(self, data: bytes) -> None:
        # The base class sends head and body apart; one call is faster.
        self._unsent = bytearray()
        super()._write_with_headers(data)
        unsent = self._unsent
        self._unsent = None
        self._sendall(unsent)

    def _sendall(self, data: bytes | bytearray) -> None:
        if self._unsent is not None:
            self._unsent += data
            return
        self._connection.enter(Phase.ANSWER)
        super()._sendall(data)
        self._connection.enter(Phase.BUSY)

    def _refuse(self, status: str, code: str, message: str) -> None:
        with suppress(OSError):
            self._connection.sendall(_encode_refusal(status, code, message))
            self._connection.discard_rest()


class HttpServer(WSGIServer):
    """
    WSGI server with a bounded number of connections.

    :param address: host and port to listen on, or a listening socket.
    :param application: the WSGI application.
    :param max_connections: maximum number of concurrent connections; further
        ones wait in the kernel's accept queue.
    :param guard: bounds of what the connections hold, of the same number of
        connections; ``None`` for servers whose clients are trusted.
    :ivar greenlet_by_idle_connection: greenlet that waits for the next request
        on each connection; it may have read a part of the head.
    """

    handler_class = _RequestHandler

    def __init__(
        self,
        *,
        address: tuple[str, int] | socket.socket,
        application: Any,
        max_connections: int,
        guard: ClientGuard | None = None,
    ) -> None:
        """Create a server; ``start`` makes it accept connections."""
        self.guard = guard or ClientGuard(
            max_connections=max_connections, is_timed=False
        )
        super().__init__(
            address,
            application,
            backlog=None if isinstance(address, socket.socket) else _BACKLOG,
            spawn=Pool(max_connections),
            log=None,
            error_log=None,
        )
        self.greenlet_by_idle_connection: dict[
            ClientConnection, gevent.Greenlet
        ] = {}

    def init_socket(self) -> None:
        """Listen; connections inherit the sizes of the kernel's buffers."""
        super().init_socket()
        if self.guard.is_timed:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self.socket.setsockopt(
                    socket.SOL_SOCKET, option, _KERNEL_BUFFER_BYTES
                )

    def start(self) -> None:
        """Accept connections, and check their time limits."""
        super().start()
        self.guard.start()

    def stop(self, timeout: Seconds | None = None) -> None:
        """
        Stop the server and end its connections.

        :param timeout: longest wait for them, in seconds; ``None`` for the
            default of the base class.
        """
        super().stop(timeout)
        self.guard.stop()

    def finish(self, timeout_s: Seconds) -> int:
        """
        Refuse new connections, answer all requests, and close connections.

        A connection is closed once it has no request, also none that has not
        been read yet.

        :param timeout_s: longest time for the answers, in seconds.
        :returns: number of connections that still have a request.
        """
        # When the listening socket is closed, the kernel resets connections
        # that wait to be accepted.
        self._accept_waiting_connections()
        self.close()
        deadline = time.monotonic() + timeout_s
        while self.count_connections() and time.monotonic() < deadline:
            # New connections become idle only while this greenlet sleeps.
            gevent.sleep(_FINISH_POLL_S)
            for connection, greenlet in tuple(
                self.greenlet_by_idle_connection.items()
            ):
                is_request_begun = (
                    connection.has_request() or connection.has_unread_bytes()
                )
                if not is_request_begun:
                    greenlet.kill(block=False)
        return self.count_connections()

    def count_connections(self) -> int:
        """
        Count the open connections.

        :returns: number of connections, with and without a request.
        """
        return len(self.pool)

    def do_handle(self, *args: Any) -> None:
        """
        Set the socket options of a connection, then serve it.

        :param args: socket and address of the client.
        """
        set_socket_options(args[0])
        super().do_handle(*args)

    def _accept_waiting_connections(self) -> None:
        while not self.pool.full():
            accepted = self.do_read()
            if not accepted:
                return
            self.do_handle(*accepted)


def _encode_refusal(status: str, code: str, message: str) -> bytes:
    body = encode_json({'error': code, 'message': message, 'run': 'not-run'})
    phrase = _PHRASE_BY_STATUS.get(status, 'Bad Request')
    retry = 'retry-after: 1\r\n' if status == '503' else ''
    head = (
        f'HTTP/1.1 {status} {phrase}\r\n'
        'connection: close\r\n'
        'content-type: application/json\r\n'
        'ragwortfield-run: not-run\r\n'
        f'ragwortfield-code: {code}\r\n'
        f'{retry}'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return b''.join((head.encode('ascii'), body))

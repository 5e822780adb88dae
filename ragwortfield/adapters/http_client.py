"""HTTP exchanges that know what was sent and whether the answer is whole."""

import select
import socket as stdlib_socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.monkey import get_original
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from ragwortfield.core.outcomes import (
    Broken,
    ExchangeOutcome,
    HeaderFields,
    NotSent,
    WholeAnswer,
)
from ragwortfield.types import MonotonicTime, Seconds

#: Largest answer that is buffered, in bytes.
MAX_ANSWER_BYTES = 2**24
#: Bytes read from a socket at once.
_BLOCK_BYTES = 10**4
#: An idle connection older than this is closed, in seconds.
_IDLE_LIMIT_S = 20.0
#: Longest wait for a new connection, in seconds.
_CONNECT_TIMEOUT_S = 1.0
#: Unacknowledged bytes end the connection after this, in milliseconds.
_TCP_USER_TIMEOUT_MS = 5000
#: Idle time before the kernel probes a connection, in seconds.
_KEEPALIVE_IDLE_S = 5
#: Shortest timeout handed to the socket, in seconds.
_SMALLEST_TIMEOUT_S = 0.001
#: Statuses whose answers have no body.
_BODILESS_STATUSES = frozenset((204, 304))

_original_poll = get_original('select', 'poll')


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """
    Request as it goes over the wire.

    :param path: path with its query, already percent-encoded.
    :param fields: header fields without length, host and connection.
    """

    method: str
    path: str
    fields: HeaderFields = ()
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class Timeouts:
    """
    Time limits of one exchange, in seconds.

    :param first_byte_s: longest wait for the head of the answer.
    :param total_s: longest wait for the whole answer.
    """

    first_byte_s: Seconds
    total_s: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class _Connection:
    sock: socket.socket
    generation: int
    idle_since: MonotonicTime
    is_reused: bool


#: Tells whether a request may still be sent.
SendGuard = Callable[[], bool]


def always_allowed() -> bool:
    """
    Allow every send.

    :returns: true.
    """
    return True


class HttpConnectionPool:
    """
    Connections to one address.

    A connection that saw a timeout, a cancel or a broken answer is closed
    and never used again, so a late answer cannot reach another request.

    :param address: host and port, joined by a colon.
    """

    def __init__(self, *, address: str) -> None:
        """Create an empty pool."""
        self.address = address
        self.open_count = 0
        self.generation = 0
        self.retired_count = 0
        self._idle: deque[_Connection] = deque()
        host, _, port = address.rpartition(':')
        self._endpoint = (host, int(port))

    def exchange(
        self,
        request: HttpRequest,
        timeouts: Timeouts,
        guard: SendGuard = always_allowed,
    ) -> ExchangeOutcome:
        """
        Send a request and wait for its whole answer.

        :param request: the request.
        :param timeouts: time limits, in seconds.
        :param guard: asked right before the first byte is written.
        :returns: what is certain about the exchange.
        """
        connection = self._take()
        if isinstance(connection, NotSent):
            return connection
        if not guard():
            self._give_back(connection, is_reusable=True)
            return NotSent(reason='the right to send was lost')
        return self._run(connection, request, timeouts)

    def exchange_on_new_connection(
        self,
        request: HttpRequest,
        timeouts: Timeouts,
    ) -> ExchangeOutcome:
        """
        Send a request over a connection that has carried nothing yet.

        :param request: the request.
        :param timeouts: time limits, in seconds.
        :returns: what is certain about the exchange.
        """
        connection = self._connect()
        if isinstance(connection, NotSent):
            return connection
        return self._run(connection, request, timeouts)

    def retire_connections(self) -> None:
        """Close idle connections and let those in use end after their turn."""
        self.generation += 1
        self.retired_count += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Close every idle connection."""
        while self._idle:
            self._close(self._idle.popleft())

    def count_idle(self) -> int:
        """
        Count idle connections.

        :returns: connections open and carrying nothing.
        """
        return len(self._idle)

    def _take(self) -> _Connection | NotSent:
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            is_old = now - connection.idle_since > _IDLE_LIMIT_S
            if is_old or _is_readable(connection.sock):
                self._close(connection)
                continue
            return connection
        return self._connect()

    def _connect(self) -> _Connection | NotSent:
        try:
            sock = socket.create_connection(
                self._endpoint,
                timeout=_CONNECT_TIMEOUT_S,
            )
        except OSError as error:
            return NotSent(reason=f'no connection to {self.address}: {error}')
        set_socket_options(sock)
        self.open_count += 1
        return _Connection(
            sock=sock,
            generation=self.generation,
            idle_since=time.monotonic(),
            is_reused=False,
        )

    def _close(self, connection: _Connection) -> None:
        self.open_count -= 1
        connection.sock.close()

    def _run(
        self,
        connection: _Connection,
        request: HttpRequest,
        timeouts: Timeouts,
    ) -> ExchangeOutcome:
        is_reusable = False
        outcome: ExchangeOutcome
        try:
            with gevent.Timeout(max(timeouts.total_s, _SMALLEST_TIMEOUT_S)):
                outcome, is_reusable = self._send(connection, request, timeouts)
        except gevent.Timeout:
            outcome = Broken(
                reason=f'no whole answer for {timeouts.total_s:.3f} s',
                is_silent=True,
                is_reused=connection.is_reused,
            )
        finally:
            self._give_back(connection, is_reusable=is_reusable)
        return outcome

    def _give_back(
        self,
        connection: _Connection,
        *,
        is_reusable: bool,
    ) -> None:
        if not is_reusable or connection.generation != self.generation:
            self._close(connection)
            return
        self._idle.append(
            _Connection(
                sock=connection.sock,
                generation=connection.generation,
                idle_since=time.monotonic(),
                is_reused=True,
            ),
        )

    def _send(
        self,
        connection: _Connection,
        request: HttpRequest,
        timeouts: Timeouts,
    ) -> tuple[ExchangeOutcome, bool]:
        try:
            encoded = _encode(request, self.address)
        except UnicodeEncodeError as error:
            return NotSent(reason=f'request cannot be encoded: {error}'), True
        started_at = time.monotonic()
        sock = connection.sock
        sock.settimeout(max(timeouts.first_byte_s, _SMALLEST_TIMEOUT_S))
        try:
            sock.sendall(encoded)
            response = _Response(sock, _BLOCK_BYTES, request.method)
            sock.settimeout(max(timeouts.total_s, _SMALLEST_TIMEOUT_S))
            body = response.read_whole(sock)
        except TimeoutError:
            return Broken(
                reason=f'no byte of an answer for {timeouts.first_byte_s:.3f} s',
                is_silent=True,
                is_reused=connection.is_reused,
            ), False
        except (OSError, ValueError, HTTPParseError) as error:
            return Broken(
                reason=f'answer broken off: {error}',
                is_reused=connection.is_reused,
            ), False
        answer = WholeAnswer(
            status=response.status_code,
            fields=tuple(response.items()),
            body=body,
            duration_s=time.monotonic() - started_at,
        )
        return answer, not response.should_close()


class _Response(HTTPSocketResponse):
    """Response whose socket stays with the pool."""

    def __init__(
        self,
        sock: socket.socket,
        block_size: int,
        method: str,
    ) -> None:
        super().__init__(sock, block_size=block_size, method=method)

    def release(self) -> None:
        """Leave the socket to the pool, which decides about its reuse."""
        self._sock = None

    def read_whole(self, sock: socket.socket) -> bytes:
        """
        Read the body to its end.

        :param sock: the connection.
        :returns: the whole body.
        :raises ValueError: when the body ends early or grows too large.
        """
        is_length_known = self._is_length_known()
        while not self.message_complete:
            chunk = sock.recv(self.block_size)
            if not chunk:
                self._check_end(is_length_known=is_length_known)
                break
            self.feed(chunk)
            if len(self._body_buffer) > MAX_ANSWER_BYTES:
                raise ValueError(
                    f'body larger than {MAX_ANSWER_BYTES} bytes',
                )
        return bytes(self._body_buffer)

    def _is_length_known(self) -> bool:
        return (
            self.get('content-length') is not None
            or self.get('transfer-encoding') is not None
            or self.status_code in _BODILESS_STATUSES
        )

    def _check_end(self, *, is_length_known: bool) -> None:
        if is_length_known:
            length = self.get('content-length')
            got = len(self._body_buffer)
            raise ValueError(
                f'connection closed after {got} bytes of {length}',
            )


def set_socket_options(sock: socket.socket) -> None:
    """
    Set the options that keep small messages fast and find dead links.

    :param sock: a connected TCP socket.
    """
    tcp = stdlib_socket.IPPROTO_TCP
    sock.setsockopt(tcp, stdlib_socket.TCP_NODELAY, 1)
    sock.setsockopt(
        stdlib_socket.SOL_SOCKET,
        stdlib_socket.SO_KEEPALIVE,
        1,
    )
    sock.setsockopt(tcp, stdlib_socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, stdlib_socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)


def _is_readable(sock: socket.socket) -> bool:
    # An idle connection is readable only when the other end closed it or
    # sent bytes that belong to no request.
    poller = _original_poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def _encode(request: HttpRequest, host: str) -> bytes:
    lines = [f'{request.method} {request.path} HTTP/1.1', f'host: {host}']
    lines.extend(f'{name}: {text}' for name, text in request.fields)
    lines.append(f'content-length: {len(request.body)}')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return b''.join((head, request.body))

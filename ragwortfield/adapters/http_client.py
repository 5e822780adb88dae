"""HTTP client that reports what is known about each exchange.

An outcome tells whether the request may have reached the server and whether
the response is complete, so that callers can decide whether a retry is safe.
"""

import math
import select
import socket as stdlib_socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

import gevent
from gevent import socket
from gevent.monkey import get_original
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from ragwortfield.adapters.tcp_connection import open_connection
from ragwortfield.core.outcomes import (
    Broken,
    ExchangeOutcome,
    HeaderFields,
    NotSent,
    WholeAnswer,
)
from ragwortfield.types import MonotonicTime, Seconds

#: Largest body of a response that is buffered, in bytes.
MAX_RESPONSE_BYTES = 2**24
#: Size of one read from a socket, in bytes.
_READ_BLOCK_BYTES = 10**4
#: Longest time that a connection stays idle before it is closed instead of
#: reused, in seconds.
_MAX_IDLE_S = 20.0
#: Time after which the kernel closes a connection with unacknowledged data, in
#: milliseconds.
_TCP_USER_TIMEOUT_MS = 5000
#: Idle time after which the kernel sends keep-alive probes, in seconds.
_KEEPALIVE_IDLE_S = 5
#: Lower bound of the time-outs that are set on a socket, in seconds.
_MIN_TIMEOUT_S = 0.001
#: Statuses of responses without a body.
_BODILESS_STATUSES = frozenset((204, 304))

_original_poll = get_original('select', 'poll')


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """
    HTTP request.

    :param path: percent-encoded path with the query.
    :param fields: header fields other than length, host and connection.
    """

    method: str
    path: str
    fields: HeaderFields = ()
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class Timeouts:
    """
    Time-outs of one exchange.

    :param first_byte_s: longest wait for the first bytes of the response, in
        seconds.
    :param total_s: longest wait for the complete response, in seconds.
    :param silence_s: longest pause between two pieces of the response, in
        seconds.
    """

    first_byte_s: Seconds
    total_s: Seconds
    silence_s: Seconds = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class _Connection:
    """
    Open connection.

    :param generation: generation of the pool when the connection was opened;
        the connection is not reused once the pool has a newer one.
    :param idle_since: when the connection was opened or its last exchange
        ended.
    :param peer: identity of the process at the other end; empty if it is not
        known. A connection always leads to the process that accepted it.
    """

    sock: socket.socket
    generation: int
    idle_since: MonotonicTime
    is_reused: bool
    peer: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """
    Limits of the connections of a pool.

    :param max_open: most connections that are open at a time.
    :param max_kept: most idle connections that are kept for long.
    :param spare_idle_s: time after which ``close_spare`` closes idle
        connections beyond these, in seconds.
    :param kept_idle_s: time after which it closes these as well, in seconds.
    """

    max_open: float = math.inf
    max_kept: float = math.inf
    spare_idle_s: Seconds = _MAX_IDLE_S
    kept_idle_s: Seconds = _MAX_IDLE_S


_NO_LIMITS = ConnectionLimits()
#: Function that returns whether a request may still be sent.
SendGuard = Callable[[], bool]
#: Function that returns the identity of the process that sent a response; empty
#: if the response does not tell it.
PeerReader = Callable[[WholeAnswer], str]


def allow_always() -> bool:
    """
    Allow every request to be sent.

    :returns: true.
    """
    return True


class HttpConnectionPool:
    """
    Pool of HTTP connections to one address.

    A connection is closed and never reused after a time-out, a cancellation or
    an incomplete response, so that a late response cannot be taken for that of
    another request.

    :param address: host and port, joined by a colon.
    :param limits: limits of its connections.
    """

    def __init__(
        self, *, address: str, limits: ConnectionLimits = _NO_LIMITS
    ) -> None:
        """Create an empty pool."""
        self.address = address
        self._limits = limits
        self._is_closed = False
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
        guard: SendGuard = allow_always,
        read_peer: PeerReader | None = None,
    ) -> ExchangeOutcome:
        """
        Send a request and wait for the complete response.

        :param request: the request.
        :param timeouts: time-outs of the exchange.
        :param guard: called right before the first byte is written; the
            request is not sent when it returns false.
        :param read_peer: reads from the response which process has sent it;
            ``None`` if that does not matter.
        :returns: the response, or what is known about the failed exchange.
        """
        connection = self._acquire()
        if isinstance(connection, NotSent):
            return connection
        if not guard():
            self._release(connection, is_reusable=True)
            return NotSent(reason='request may no longer be sent')
        return self._exchange_on(connection, request, timeouts, read_peer)

    def exchange_on_new_connection(
        self,
        request: HttpRequest,
        timeouts: Timeouts,
    ) -> ExchangeOutcome:
        """
        Send a request over a new connection and wait for the response.

        :param request: the request.
        :param timeouts: time-outs of the exchange.
        :returns: the response, or what is known about the failed exchange.
        """
        connection = self._connect()
        if isinstance(connection, NotSent):
            return connection
        return self._exchange_on(connection, request, timeouts)

    def exchange_with_peer(
        self, peer: str, request: HttpRequest, timeouts: Timeouts
    ) -> ExchangeOutcome:
        """
        Send a request over an idle connection to a certain process.

        No other process can get the request: if it has ended, the connection
        has ended as well.

        :param peer: identity of the process; empty for one that is not known.
        :param request: the request.
        :param timeouts: time-outs of the exchange.
        :returns: the response, or what is known about the failed exchange; not
            sent if there is no idle connection to the process.
        """
        connection = self._acquire_idle(peer) if peer else None
        if connection is None:
            return NotSent(
                reason=f'no idle connection to process {peer!r} at '
                f'{self.address}'
            )
        return self._exchange_on(connection, request, timeouts)

    def close(self) -> None:
        """
        Send no further requests.

        Idle connections are closed now and those in use after their exchange.
        """
        self._is_closed = True
        self.retire_connections()

    def retire_connections(self) -> None:
        """Close idle connections now and those in use after their exchange."""
        self.generation += 1
        self.retired_count += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Close every idle connection."""
        while self._idle:
            self._close(self._idle.popleft())

    def close_spare(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        while self._idle:
            is_kept = len(self._idle) <= self._limits.max_kept
            limits = self._limits
            max_idle_s = limits.kept_idle_s if is_kept else limits.spare_idle_s
            # The first one has been idle for longest.
            if now - self._idle[0].idle_since < max_idle_s:
                return
            self._close(self._idle.popleft())

    def count_idle(self) -> int:
        """
        Count the idle connections.

        :returns: number of open connections without an exchange.
        """
        return len(self._idle)

    def _acquire(self) -> _Connection | NotSent:
        return self._acquire_idle() or self._connect()

    def _acquire_idle(self, peer: str = '') -> _Connection | None:
        now = time.monotonic()
        for connection in reversed(tuple(self._idle)):
            if peer and connection.peer != peer:
                continue
            self._idle.remove(connection)
            is_old = now - connection.idle_since > _MAX_IDLE_S
            # An idle connection is readable only when the server has closed it
            # or has sent bytes that belong to no request.
            if is_old or is_readable(connection.sock):
                self._close(connection)
                continue
            return connection
        return None

    def _connect(self) -> _Connection | NotSent:
        if self._is_closed:
            return NotSent(reason=f'pool of {self.address} is closed')
        self._make_room()
        if self.open_count >= self._limits.max_open:
            return NotSent(
                reason=f'{self.open_count} connections to {self.address} are '
                f'in use, expected fewer than {self._limits.max_open}'
            )
        # Counted at once, since others may connect in the meantime.
        self.open_count += 1
        try:
            sock = open_connection(*self._endpoint)
        except OSError as error:
            self.open_count -= 1
            return NotSent(
                reason=f'no connection to {self.address}: {error}',
                is_reset=isinstance(error, ConnectionResetError),
            )
        except BaseException:
            # The greenlet was killed.
            self.open_count -= 1
            raise
        set_socket_options(sock)
        connection = _Connection(
            sock=sock,
            generation=self.generation,
            idle_since=time.monotonic(),
            is_reused=False,
        )
        if self._is_closed:
            self._close(connection)
            return NotSent(reason=f'pool of {self.address} is closed')
        return connection

    def _make_room(self) -> None:
        """Close the oldest idle connections if too many are open."""
        while self._idle and self.open_count >= self._limits.max_open:
            self._close(self._idle.popleft())

    def _close(self, connection: _Connection) -> None:
        self.open_count -= 1
        connection.sock.close()

    def _exchange_on(
        self,
        connection: _Connection,
        request: HttpRequest,
        timeouts: Timeouts,
        read_peer: PeerReader | None = None,
    ) -> ExchangeOutcome:
        is_reusable = False
        outcome: ExchangeOutcome
        try:
            with gevent.Timeout(max(timeouts.total_s, _MIN_TIMEOUT_S)):
                outcome, is_reusable = self._send_and_receive(
                    connection, request, timeouts
                )
            if read_peer is not None and isinstance(outcome, WholeAnswer):
                peer = connection.peer or read_peer(outcome)
                connection = replace(connection, peer=peer)
        except gevent.Timeout:
            outcome = Broken(
                reason=f'no complete response within {timeouts.total_s:.3f} s',
                is_silent=True,
                is_reused=connection.is_reused,
            )
        finally:
            self._release(connection, is_reusable=is_reusable)
        return outcome

    def _release(
        self,
        connection: _Connection,
        *,
        is_reusable: bool,
    ) -> None:
        if not is_reusable or connection.generation != self.generation:
            self._close(connection)
            return
        self._idle.append(
            replace(connection, idle_since=time.monotonic(), is_reused=True)
        )

    def _send_and_receive(
        self,
        connection: _Connection,
        request: HttpRequest,
        timeouts: Timeouts,
    ) -> tuple[ExchangeOutcome, bool]:
        try:
            encoded = _encode_request(request, self.address)
        except UnicodeEncodeError as error:
            return NotSent(reason=f'request cannot be encoded: {error}'), True
        started_at = time.monotonic()
        sock = connection.sock
        silence_s = min(timeouts.silence_s, timeouts.total_s)
        sock.settimeout(max(timeouts.first_byte_s, _MIN_TIMEOUT_S))
        try:
            sock.sendall(encoded)
            response = _Response(sock, _READ_BLOCK_BYTES, request.method)
            sock.settimeout(max(silence_s, _MIN_TIMEOUT_S))
            body = response.read_body(sock)
        except TimeoutError:
            return Broken(
                reason='no byte of the response within '
                f'{sock.gettimeout() or 0:.3f} s',
                is_silent=True,
                is_reused=connection.is_reused,
            ), False
        except (OSError, ValueError, HTTPParseError) as error:
            return Broken(
                reason=f'exchange failed before the response ended: {error}',
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
    """Response parser that leaves the socket to the connection pool."""

    def __init__(
        self,
        sock: socket.socket,
        block_size: int,
        method: str,
    ) -> None:
        super().__init__(sock, block_size=block_size, method=method)

    def release(self) -> None:
        """Detach the socket; the pool decides whether it is reused."""
        self._sock = None

    def read_body(self, sock: socket.socket) -> bytes:
        """
        Read the complete body.

        :param sock: socket of the connection.
        :returns: the body.
        :raises ValueError: when the connection is closed before the end of the
            body, or the body is larger than ``MAX_RESPONSE_BYTES``.
        """
        is_length_known = self._is_length_known()
        while not self.message_complete:
            chunk = sock.recv(self.block_size)
            if not chunk:
                self._require_complete_body(is_length_known=is_length_known)
                break
            self.feed(chunk)
            if len(self._body_buffer) > MAX_RESPONSE_BYTES:
                raise ValueError(
                    f'body is larger than {MAX_RESPONSE_BYTES} bytes',
                )
        return bytes(self._body_buffer)

    def _is_length_known(self) -> bool:
        return (
            self.get('content-length') is not None
            or self.get('transfer-encoding') is not None
            or self.status_code in _BODILESS_STATUSES
        )

    def _require_complete_body(self, *, is_length_known: bool) -> None:
        if is_length_known:
            expected_bytes = self.get('content-length')
            received_bytes = len(self._body_buffer)
            raise ValueError(
                f'connection closed after {received_bytes} bytes of the body, '
                f'expected {expected_bytes}',
            )


def set_socket_options(sock: socket.socket) -> None:
    """
    Set the options that send small messages without delay and detect dead
    peers.

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


def is_readable(sock: socket.socket) -> bool:
    """
    Check whether a connection has bytes to read or has been closed.

    :param sock: the connection.
    :returns: whether a read returns at once.
    """
    poller = _original_poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def is_reset(sock: socket.socket) -> bool:
    """
    Check whether a connection was reset, also before unread bytes are read.

    :param sock: the connection.
    :returns: whether nothing can be sent to its other end any more.
    """
    poller = _original_poll()
    # Errors are reported without being asked for.
    poller.register(sock.fileno(), 0)
    return bool(poller.poll(0))


def _encode_request(request: HttpRequest, host: str) -> bytes:
    lines = [f'{request.method} {request.path} HTTP/1.1', f'host: {host}']
    lines.extend(f'{name}: {text}' for name, text in request.fields)
    lines.append(f'content-length: {len(request.body)}')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return b''.join((head, request.body))

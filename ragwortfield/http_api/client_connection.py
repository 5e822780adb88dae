"""Reading of requests from a client's connection within the limits."""

import re
import socket as stdlib_socket
import struct
from contextlib import suppress
from http import HTTPStatus
from typing import Any

import gevent
from gevent.event import Event
from gevent.pywsgi import Input

from ragwortfield.adapters.http_client import is_readable, is_reset
from ragwortfield.http_api.chunked_body import ChunkDecoder, ChunkError
from ragwortfield.http_api.client_guard import (
    READING_PHASES,
    ClientGuard,
    EndCause,
    Phase,
)
from ragwortfield.types import Seconds

#: Largest read from a socket, in bytes.
_PIECE_BYTES = 16384
#: Largest read of a chunked body, in bytes. Chunks of one byte take up to a
#: millisecond for as many.
_CHUNKED_PIECE_BYTES = 8192
#: Bytes of a request after which further reads wait for their turn.
_UNBOUND_BYTES = 4096
#: Memory of a parsed head for each of its bytes; fields, WSGI environment and
#: text take several times as much as the bytes.
_HEAD_COST = 4
#: Most fields of a head; that of the parser in the standard library.
_MAX_FIELDS = 100
#: Most requests in a row that are served although each was sent before the
#: answer to the one before it.
_MAX_REQUESTS_AHEAD = 100
#: Largest bodies that are dropped after a refusal.
_DISCARDED_BODIES = 4
_HEAD_END = re.compile(rb'\n\r?\n')
#: Phases in which a connection waits for its socket.
_SOCKET_PHASES = READING_PHASES | {Phase.ANSWER}
#: Bytes before the end of a search that can begin the end of a head.
_HEAD_END_OVERLAP = 2
#: Socket option value that makes ``close`` reset the connection, so that the
#: kernel keeps no answer that nobody reads.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class RequestRefused(OSError):
    """
    A request that is refused before all of it was read; it does not run.

    :param status: HTTP status of the refusal.
    :param code: stable, machine-readable error code.
    :param message: error message with the reason.
    """

    def __init__(self, *, status: int, code: str, message: str) -> None:
        """Create the refusal."""
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class ClientConnection:
    """
    Connection of a client, as far as its requests are read.

    Other members are those of ``GuardedConnection``.

    :param sock: socket of the connection.
    :param remote: address of the client.
    :param guard: bounds of all connections.
    :ivar is_closing: whether the connection is closed after the response.
    """

    def __init__(
        self, *, sock: Any, remote: object, guard: ClientGuard
    ) -> None:
        """Create the state of a connection without a request."""
        self.remote = remote
        self.guard = guard
        self.phase = Phase.IDLE
        self.phase_since = guard.running_s
        self.progress_at = guard.running_s
        self.held_bytes = 0
        self.is_closing = False
        self.cause = EndCause.NONE
        self._sock = sock
        self._unread: bytes | bytearray = b''
        self._request_bytes = 0
        self._requests_ahead = 0
        self._ended = Event()

    def enter(self, phase: Phase) -> None:
        """
        Enter a phase.

        :param phase: the phase.
        """
        self.phase = phase
        self.phase_since = self.guard.running_s
        self.progress_at = self.guard.running_s

    def read_head(self) -> bytes:
        """
        Read the head of the next request.

        :returns: the head; empty if the client has closed the connection.
        :raises RequestRefused: when the head is too large or incomplete.
        """
        self._request_bytes = 0
        if self._unread:
            # Requests that are sent ahead must not keep others waiting.
            self.enter(Phase.BUSY)
            self._wait_for_turn('the head')
            self._count_request_ahead()
        else:
            self._requests_ahead = 0
        searched = 0
        charged = 0
        while True:
            head_end = _find_head_end(self._unread, searched)
            searched = max(0, len(self._unread) - _HEAD_END_OVERLAP)
            head_bytes = head_end or len(self._unread)
            if head_bytes > self.guard.limits.max_header_bytes:
                raise self._make_head_refusal(
                    f'more than {self.guard.limits.max_header_bytes} bytes'
                )
            if head_end:
                self.enter(Phase.BUSY)
                self._charge(_HEAD_COST * head_end - charged)
                return self._take(head_end)
            if _has_too_many_fields(self._unread):
                raise self._make_head_refusal(f'more than {_MAX_FIELDS} fields')
            if head_bytes > charged:
                self._charge(head_bytes - charged)
                charged = head_bytes
            if not self._receive_head():
                return b''

    def read(self, size: int) -> bytes:
        """
        Read bytes of a body.

        :param size: number of bytes.
        :returns: the bytes; fewer if the client has closed the connection.
        :raises RequestRefused: when they are refused.
        """
        content = self.receive(size)
        if len(content) == size:
            return content
        pieces = [content]
        missing = size - len(content)
        while content and missing:
            content = self.receive(missing)
            pieces.append(content)
            missing -= len(content)
        return b''.join(pieces)

    def receive(self, size: int, *, is_counted: bool = True) -> bytes:
        """
        Read the bytes of a body that come next.

        :param size: most bytes.
        :param is_counted: whether they count against the byte budget.
        :returns: the bytes; empty if the client has closed the connection.
        :raises RequestRefused: when they are refused.
        """
        if self._request_bytes > _UNBOUND_BYTES:
            self._wait_for_turn('the body')
        if self._unread:
            content = self._take(min(size, _PIECE_BYTES))
        else:
            content = self._receive_body(min(size, _PIECE_BYTES))
        self._request_bytes += len(content)
        if is_counted:
            self.charge_body(len(content))
        return content

    def charge_body(self, size: int) -> None:
        """
        Count bytes of a body against the byte budget.

        :param size: number of bytes.
        :raises RequestRefused: when they do not fit.
        """
        if self.phase != Phase.DISCARD:
            self._charge(size)

    def pause(self, duration_s: Seconds) -> bool:
        """
        Wait before the application repeats an attempt of a read.

        From then on the request may be ended for others, or because its client
        has left.

        :param duration_s: length of the pause, in seconds.
        :returns: whether to go on; false if the request was ended.
        """
        # Not ``enter``, as it counts from the beginning of the request.
        self.phase = Phase.RETRY
        return not self._ended.wait(duration_s)

    def sendall(self, content: bytes) -> None:
        """
        Send bytes to the client.

        :param content: the bytes.
        """
        self.enter(Phase.ANSWER)
        self._sock.sendall(content)
        self.enter(Phase.BUSY)

    def discard_rest(self) -> None:
        """
        Drop what the client still sends, so that it reads its response.

        If unread bytes were left, the kernel would reset the connection, and
        the client could lose the response.
        """
        if not self.guard.is_timed:
            return
        self.enter(Phase.DISCARD)
        left = _DISCARDED_BODIES * self.guard.limits.max_body_bytes
        self._unread = b''
        with suppress(OSError):
            self._sock.shutdown(stdlib_socket.SHUT_WR)
            while left > 0:
                content = self._sock.recv(_PIECE_BYTES)
                if not content:
                    return
                left -= len(content)
                gevent.sleep(0)

    def end(self, cause: EndCause) -> None:
        """
        End what the connection waits for.

        A read returns as if the client had closed the connection.

        :param cause: why it is ended.
        """
        self.cause = cause
        self.is_closing = True
        self._ended.set()
        if self.phase == Phase.TURN:
            self.guard.cancel_turn(self)
        if self.phase not in _SOCKET_PHASES:
            return
        with suppress(OSError):
            if self.phase in READING_PHASES:
                self._sock.shutdown(stdlib_socket.SHUT_RD)
                return
            self._sock.setsockopt(
                stdlib_socket.SOL_SOCKET,
                stdlib_socket.SO_LINGER,
                _RESET_ON_CLOSE,
            )
            self._sock.shutdown(stdlib_socket.SHUT_RDWR)

    def has_unread_bytes(self) -> bool:
        """
        Check for bytes that this process has not read yet.

        :returns: whether there are some, or the client has closed the
            connection.
        """
        return self._sock.fileno() >= 0 and is_readable(self._sock)

    def is_reset(self) -> bool:
        """
        Check whether the client has reset the connection.

        :returns: whether it has, also if bytes of it are still unread.
        """
        return self._sock.fileno() >= 0 and is_reset(self._sock)

    def has_request(self) -> bool:
        """
        Check for bytes of the next request that were read already.

        :returns: whether there are some.
        """
        return bool(self._unread)

    def _wait_for_turn(self, part: str) -> None:
        phase = self.phase
        # Not ``enter``, as it counts from the beginning of the request.
        self.phase = Phase.TURN
        has_turn = self.guard.wait_for_turn(self)
        self.phase = phase
        # It may have been ended just after its turn had come.
        if not has_turn or self.cause:
            raise self._make_cut_off(part)

    def _count_request_ahead(self) -> None:
        self._requests_ahead += 1
        is_over = self._requests_ahead >= _MAX_REQUESTS_AHEAD
        if is_over and self.guard.is_timed:
            # Such a client may not read any answer.
            self.is_closing = True
            self.guard.note_end(self, EndCause.REQUESTS_AHEAD)

    def _take(self, size: int) -> bytes:
        content = bytes(self._unread[:size])
        self._unread = self._unread[size:]
        return content

    def _receive_head(self) -> bool:
        """Receive more of a head; return false if there is no request."""
        phase = Phase.HEAD if self._unread else Phase.IDLE
        if self.phase != phase:
            self.enter(phase)
        piece = self._sock.recv(_PIECE_BYTES)
        self.progress_at = self.guard.running_s
        if not piece:
            if not self._unread:
                return False
            raise self._make_cut_off('the head')
        if self._unread:
            if isinstance(self._unread, bytes):
                self._unread = bytearray(self._unread)
            self._unread += piece
        else:
            self._unread = piece
        return True

    def _receive_body(self, size: int) -> bytes:
        if self.phase != Phase.DISCARD:
            # Not ``enter``, as the time of the whole body is limited as well.
            self.phase = Phase.BODY
            self.progress_at = self.guard.running_s
        content = self._sock.recv(size)
        if self.phase != Phase.DISCARD:
            self.phase = Phase.BUSY
            if self.cause:
                # Its bytes no longer count against the budget.
                raise self._make_cut_off('the body')
        return content

    def _charge(self, size: int) -> None:
        if self.guard.charge(self, size):
            return
        self.guard.note_end(self, EndCause.BYTES)
        raise self._make_refusal()

    def _make_head_refusal(self, excess: str) -> RequestRefused:
        self.guard.note_end(self, EndCause.HEAD_TOO_LARGE)
        return RequestRefused(
            status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            code='head-too-large',
            message=f'the head has {excess}; the request has not run',
        )

    def _make_cut_off(self, part: str) -> RequestRefused:
        if self.cause in {EndCause.BYTES, EndCause.CONNECTIONS}:
            return self._make_refusal()
        self.is_closing = True
        if self.cause == EndCause.TIMED_OUT:
            return RequestRefused(
                status=HTTPStatus.REQUEST_TIMEOUT,
                code='request-timeout',
                message=f'{part} did not come in time; the request has not run',
            )
        return RequestRefused(
            status=HTTPStatus.BAD_REQUEST,
            code='unreadable-request',
            message=f'{part} is incomplete; the request has not run',
        )

    def _make_refusal(self) -> RequestRefused:
        self.is_closing = True
        if self.cause == EndCause.CONNECTIONS:
            reason = f'{len(self.guard.connections)} connections are open'
        else:
            reason = 'too many bytes of requests are being read'
        return RequestRefused(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code='overload',
            message=f'{reason}; this request has not run',
        )


class BodyInput(Input):
    """
    Body of a request, read within the limits of its connection.

    The base class counts the bytes of a body with ``Content-Length``.
    """

    __slots__ = ('_connection', '_decoder')

    def __init__(self, connection: ClientConnection, source: Input) -> None:
        """
        Create the input of a request.

        :param connection: connection of the request.
        :param source: input that the base class of the handler has created.
        """
        super().__init__(
            connection,
            source.content_length,
            # The base class sends ``100 Continue`` to it.
            socket=connection if source.socket else None,
            chunked_input=source.chunked_input,
        )
        self._connection = connection
        self._decoder = ChunkDecoder() if source.chunked_input else None

    def _discard(self) -> None:
        connection = self._connection
        if connection.is_closing or self._is_finished():
            return
        # No ``100 Continue`` is sent after the response.
        self.socket = None
        connection.enter(Phase.DISCARD)
        left = connection.guard.limits.max_body_bytes
        with suppress(OSError):
            while left > 0:
                content = self.read(_PIECE_BYTES)
                if not content:
                    break
                left -= len(content)
        if not self._is_finished():
            connection.is_closing = True

    def _is_finished(self) -> bool:
        if self._decoder is None:
            return self.position >= (self.content_length or 0)
        return self._decoder.message_complete

    def _chunked_read(
        self, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        self._send_100_continue()
        decoder = self._decoder
        while not decoder.message_complete:
            if use_readline and decoder.find_line_end():
                break
            if length is not None and decoder.count_available() >= length:
                break
            self._decode_next(decoder)
        size = decoder.count_available()
        if length is not None:
            size = min(size, length)
        if use_readline:
            size = min(size, decoder.find_line_end() or size)
        return decoder.take(size)

    def _decode_next(self, decoder: ChunkDecoder) -> None:
        connection = self._connection
        wire = connection.receive(_CHUNKED_PIECE_BYTES, is_counted=False)
        if not wire:
            raise OSError('the connection was closed within a chunked body')
        try:
            count = decoder.decode(wire)
        except ChunkError as error:
            connection.is_closing = True
            connection.guard.note_end(connection, EndCause.CHUNKS)
            raise RequestRefused(
                status=HTTPStatus.BAD_REQUEST,
                code='unreadable-request',
                message=f'{error}; the request has not run',
            ) from error
        connection.charge_body(count)
        if decoder.has_surplus:
            # The parser does not tell where the next request begins.
            connection.is_closing = True


def _has_too_many_fields(head: bytes | bytearray) -> bool:
    """Tell so before the end of the head has come."""
    # The request line ends with the first newline.
    return head.count(b'\n') > _MAX_FIELDS + 1


def _find_head_end(head: bytes | bytearray, start: int) -> int:
    """Return the size of the head; 0 if its end has not come yet."""
    if not start and head.startswith((b'\n', b'\r')):
        # An empty line in place of a request line; all of it is refused.
        return 1 if head[:1] == b'\n' else 2
    match = _HEAD_END.search(head, start)
    return 0 if match is None else match.end()

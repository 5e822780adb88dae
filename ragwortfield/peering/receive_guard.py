"""Bounds of what accepted connections send before a message is complete."""

import socket
import time
from contextlib import suppress
from typing import Any

import gevent
from websockets.protocol import State
from websockets.server import ServerProtocol

from ragwortfield.adapters.http_client import is_readable
from ragwortfield.log import event
from ragwortfield.types import MonotonicTime, Seconds

#: Largest head of a handshake, in bytes; that of a peer has about 200.
_MAX_HEAD_BYTES = 8192
#: Most bytes of incomplete messages of all connections together.
_MAX_HELD_BYTES = 8_388_608
#: Time without a byte after which a connection with an incomplete message is
#: closed, in seconds.
_STALL_TIMEOUT_S: Seconds = 15
#: Interval at which connections are checked, in seconds.
_CHECK_INTERVAL_S: Seconds = 1
#: Most time that counts between two checks, in seconds; the process was
#: suspended for the rest.
_MAX_COUNTED_S: Seconds = 2


class ReceiveGuard:
    """
    Closes accepted connections that hold too much for too long.

    :ivar running_s: time in which the process ran, in seconds.
    """

    def __init__(self) -> None:
        """Create a guard without connections."""
        self.running_s: Seconds = 0
        self._protocols: set[GuardedServerProtocol] = set()

    def create_protocol(
        self, sock: socket.socket, **options: Any
    ) -> 'GuardedServerProtocol':
        """
        Create the protocol of an accepted connection.

        :param sock: socket of the connection.
        :param options: further options of ``ServerProtocol``.
        :returns: the protocol.
        """
        self._forget_closed()
        protocol = GuardedServerProtocol(guard=self, sock=sock, **options)
        self._protocols.add(protocol)
        return protocol

    def run(self) -> None:
        """Check the connections regularly, without end."""
        checked_at: MonotonicTime = time.monotonic()
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            now = time.monotonic()
            self.check(now - checked_at)
            checked_at = now

    def check(self, elapsed_s: Seconds) -> None:
        """
        Close the connections whose incomplete messages do not go on.

        :param elapsed_s: time since the last check, in seconds.
        """
        self.running_s += min(elapsed_s, _MAX_COUNTED_S)
        self._forget_closed()
        latest_progress = self.running_s - _STALL_TIMEOUT_S
        for protocol in tuple(self._protocols):
            is_stalled = (
                protocol.held_bytes and protocol.progress_at < latest_progress
            )
            if is_stalled and not is_readable(protocol.sock):
                self._end(protocol, f'no byte for {_STALL_TIMEOUT_S} s')

    def on_received(self, protocol: 'GuardedServerProtocol') -> None:
        """
        Check the bounds after a connection has received bytes.

        :param protocol: protocol of the connection.
        """
        if protocol.head_bytes > _MAX_HEAD_BYTES:
            self._end(
                protocol,
                f'the head has {protocol.head_bytes} bytes, expected at most '
                f'{_MAX_HEAD_BYTES}',
            )
        # Most messages arrive whole.
        is_whole = not protocol.held_bytes
        if is_whole or self._count_held_bytes() <= _MAX_HELD_BYTES:
            return
        self._forget_closed()
        held_bytes = self._count_held_bytes()
        if held_bytes > _MAX_HELD_BYTES:
            largest = max(self._protocols, key=lambda other: other.held_bytes)
            self._end(
                largest,
                f'incomplete messages have {held_bytes} bytes, expected at '
                f'most {_MAX_HELD_BYTES}',
            )

    def _count_held_bytes(self) -> int:
        return sum(protocol.held_bytes for protocol in self._protocols)

    def _forget_closed(self) -> None:
        for protocol in tuple(self._protocols):
            if protocol.sock.fileno() < 0:
                self._protocols.discard(protocol)

    def _end(self, protocol: 'GuardedServerProtocol', reason: str) -> None:
        event(
            'peer_message_ended',
            reason=reason,
            held_bytes=protocol.held_bytes,
        )
        self._protocols.discard(protocol)
        protocol.is_ended = True
        # The reader then finds the end of the connection, and closes it.
        with suppress(OSError):
            protocol.sock.shutdown(socket.SHUT_RDWR)


class GuardedServerProtocol(ServerProtocol):
    """
    Server's end of the protocol that counts what it holds.

    :param guard: bounds of all connections.
    :param sock: socket of the connection.
    :ivar head_bytes: bytes received before the end of the handshake.
    :ivar held_bytes: bytes of the present message, or of the handshake.
    :ivar progress_at: running time of the last received bytes.
    :ivar is_ended: whether the guard has ended the connection.
    """

    def __init__(
        self, *, guard: ReceiveGuard, sock: socket.socket, **options: Any
    ) -> None:
        """Create the protocol of a connection without any bytes."""
        super().__init__(**options)
        self.sock = sock
        self.head_bytes = 0
        self.held_bytes = 0
        self.progress_at = guard.running_s
        self.is_ended = False
        self._guard = guard

    def receive_data(self, data: bytes | bytearray) -> None:
        """
        Receive bytes of the connection.

        :param data: the bytes; dropped if the connection was ended.
        """
        if self.is_ended:
            return
        super().receive_data(data)
        if self.state is State.CONNECTING:
            self.head_bytes += len(data)
            self.held_bytes = self.head_bytes
        else:
            self.held_bytes = len(self.reader.buffer) + (self.current_size or 0)
        self.progress_at = self._guard.running_s
        self._guard.on_received(self)

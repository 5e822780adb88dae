"""Crowds of clients outside the limits of the configuration."""

import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from itertools import repeat
from random import Random

import gevent
from gevent.pool import Group

from ragwortfield.platform.faulty_servers import reset_on_close
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.processes import HOST, InstanceProcess
from ragwortfield.soak.timeline import Timeline
from ragwortfield.types import Seconds

#: Clients of one crowd.
_CROWD = 150
#: Shortest and longest time for which a crowd stays, in seconds.
_DURATION_S = (2, 8)
_CONNECT_TIMEOUT_S: Seconds = 2
#: Pause before a client comes again that was refused, in seconds.
_RETURN_DELAY_S: Seconds = 0.05
_ANSWER_BYTES = 1024
_BODY_BYTES = 262_144
_PIECE_BYTES = 1024
_START = b'POST /match/%016x HTTP/1.1\r\nHost: soak\r\n'
_SIZED_HEAD = b'%bContent-Length: %d\r\n\r\n' % (_START, _BODY_BYTES)
_CHUNKED_HEAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % _START

#: Returns what a client sends, by the kind of the client.
_MAKE_PIECES_BY_KIND: dict[str, Callable[[int], Iterable[bytes]]] = {
    'head': lambda number: (
        _START % number,
        *repeat(b'X-A: %b\r\n' % (b'a' * _PIECE_BYTES), 100),
    ),
    'body': lambda number: (
        _SIZED_HEAD % number,
        b'a' * (_BODY_BYTES - 1),
    ),
    'pieces': lambda number: (
        _SIZED_HEAD % number,
        *repeat(b'a' * _PIECE_BYTES, _BODY_BYTES // _PIECE_BYTES - 1),
    ),
    'chunks': lambda number: (
        _CHUNKED_HEAD % number,
        b'1\r\na\r\n' * (_BODY_BYTES // 4),
    ),
    'nothing': lambda _number: (),
}


@dataclass(kw_only=True, slots=True)
class ClientFaults:
    """Lets crowds of clients come to instances of a deployment."""

    deployment: SoakDeployment
    timeline: Timeline
    random: Random

    def unplanned(self) -> dict[str, Callable[[], None]]:
        """
        Return the faults of clients.

        :returns: function that strikes, by kind.
        """
        return {'client_crowd': self.crowd}

    def crowd(self) -> None:
        """Let a crowd of one kind come to an instance, and reset at its end."""
        instance = self.random.choice(self.deployment.instances)
        kind = self.random.choice(sorted(_MAKE_PIECES_BY_KIND))
        disruption = self.timeline.begin('client_crowd', instance.name)
        self.timeline.record('crowd', kind=kind, instance=instance.name)
        clients = Group()
        for number in range(_CROWD):
            clients.spawn(
                _return_again,
                instance,
                tuple(_MAKE_PIECES_BY_KIND[kind](number)),
            )
        gevent.sleep(self.random.uniform(*_DURATION_S))
        clients.kill()
        self.timeline.end(disruption)


def _return_again(instance: InstanceProcess, pieces: tuple[bytes, ...]) -> None:
    """Send the same again after each refusal, without end."""
    while True:
        with suppress(OSError):
            _send_once(instance, pieces)
        gevent.sleep(_RETURN_DELAY_S)


def _send_once(instance: InstanceProcess, pieces: tuple[bytes, ...]) -> None:
    address = (HOST, instance.callers_port)
    connection = socket.create_connection(address, _CONNECT_TIMEOUT_S)
    try:
        _exchange(connection, pieces)
    finally:
        reset_on_close(connection)


def _exchange(connection: socket.socket, pieces: tuple[bytes, ...]) -> None:
    connection.settimeout(None)
    for piece in pieces:
        connection.sendall(piece)
    connection.recv(_ANSWER_BYTES)

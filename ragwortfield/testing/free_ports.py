"""Ports for processes that are about to start."""

import os
import socket
from itertools import count

_HOST = '127.0.0.1'
#: Ports below those that the kernel gives to outgoing connections: one of
#: these could be taken between the look and the start of the process.
_FIRST = 12_000
_PORTS = 18_000
#: Distance between the first ports of two processes of the suite.
_STRIDE = 97
_numbers = count(os.getpid() * _STRIDE)


def find_free_port() -> int:
    """
    Find a port on which nobody listens; each call gives another one.

    :returns: the port.
    :raises OSError: when none is free.
    """
    for _ in range(_PORTS):
        port = _FIRST + next(_numbers) % _PORTS
        with socket.socket() as probe:
            # As servers do, so that ports of ended connections count as free.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((_HOST, port))
            except OSError:
                continue
            return port
    raise OSError(f'no free port from {_FIRST} to {_FIRST + _PORTS - 1}')

"""Free TCP ports for processes that are about to start."""

import os
import socket
from itertools import count

_HOST = '127.0.0.1'
#: First port to try. The range lies below the ports that the kernel assigns
#: to outgoing connections, as one of those could be taken between the check
#: and the start of the process.
_FIRST_PORT = 12_000
_PORT_COUNT = 18_000
#: Distance between the first ports that two test processes with consecutive
#: process ids try, so that they rarely compete for a port.
_STRIDE = 97
_port_offsets = count(os.getpid() * _STRIDE)


def find_free_port() -> int:
    """
    Find a port that nothing listens on; each call tries another one.

    :returns: the port.
    :raises OSError: when no port of the range is free.
    """
    for _ in range(_PORT_COUNT):
        port = _FIRST_PORT + next(_port_offsets) % _PORT_COUNT
        with socket.socket() as probe:
            # Servers set it too: ports with connections in TIME_WAIT are free.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((_HOST, port))
            except OSError:
                continue
            return port
    raise OSError(
        f'no free port from {_FIRST_PORT} to {_FIRST_PORT + _PORT_COUNT - 1}'
    )

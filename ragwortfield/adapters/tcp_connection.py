"""Opening of TCP connections to addresses that others name.

gevent looks up every host in a pool of a few threads, also one that is an IP
address. A lookup blocks its thread for as long as the resolver takes, so a few
names that are denied slowly would delay the connections to all addresses. Here
an IP address needs no thread, and names are looked up in a pool of their own.
"""

import socket as stdlib_socket
from contextlib import suppress
from functools import cache
from typing import Any

import gevent
from gevent import socket
from gevent.monkey import get_original
from gevent.threadpool import ThreadPool

from ragwortfield.types import Seconds

#: Longest wait for a connection to be established, in seconds, and for the
#: lookup of a name before it.
_CONNECT_TIMEOUT_S: Seconds = 1
#: Number of names that are looked up at a time.
_LOOKUP_THREADS = 4

#: Address family, and address as the socket of that family takes it.
_Endpoint = tuple[int, Any]

_original_getaddrinfo = get_original('socket', 'getaddrinfo')


def open_connection(host: str, port: int) -> socket.socket:
    """
    Open a TCP connection to the first address of a host that accepts one.

    :param host: IP address or host name.
    :param port: port number.
    :returns: the connected socket.
    :raises OSError: when no address accepts a connection in time, or the name
        cannot be looked up.
    """
    failure = OSError(f'host {host!r} has no address')
    for family, address in _list_endpoints(host, port):
        sock = socket.socket(family, stdlib_socket.SOCK_STREAM)
        sock.settimeout(_CONNECT_TIMEOUT_S)
        try:
            sock.connect(address)
        except OSError as error:
            sock.close()
            failure = error
        else:
            return sock
    raise failure


def _list_endpoints(host: str, port: int) -> list[_Endpoint]:
    for family in (stdlib_socket.AF_INET, stdlib_socket.AF_INET6):
        with suppress(OSError, ValueError):
            stdlib_socket.inet_pton(family, host)
            return [(family, (host, port))]
    timeout = OSError(f'lookup of {host!r} took over {_CONNECT_TIMEOUT_S} s')
    with gevent.Timeout(_CONNECT_TIMEOUT_S, timeout):
        found = _lookup_pool().apply(_look_up, (host, port))
    if isinstance(found, OSError):
        raise found
    return found


@cache
def _lookup_pool() -> ThreadPool:
    return ThreadPool(_LOOKUP_THREADS)


def _look_up(host: str, port: int) -> list[_Endpoint] | OSError:
    # An error is returned, as gevent prints those that leave a thread.
    try:
        found = _original_getaddrinfo(
            host, port, type=stdlib_socket.SOCK_STREAM
        )
    except OSError as error:
        return error
    except ValueError as error:
        return OSError(f'host {host!r} cannot be looked up: {error}')
    return [(entry[0], entry[-1]) for entry in found]

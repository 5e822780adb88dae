"""Client of the row store: large responses over a slow connection."""

import unittest
from base64 import b64encode

import gevent
import msgspec
from gevent.server import StreamServer

from ragwortfield.platform.row_store_client import RowStoreClient
from ragwortfield.ports.row_store import RowPage

#: Number of pieces in which the response is sent.
_PIECE_COUNT = 14
#: Time between two pieces, in seconds.
_PIECE_INTERVAL_S = 0.2
#: Time that the store is asked to wait for a change, in seconds.
_WAIT_S = 1


def _build_response():
    value = b64encode(b'x' * 4000).decode()
    row = {'table': 'op', 'part': '', 'key': 'config', 'ver': 2, 'value': value}
    body = msgspec.json.encode({'rows': [row], 'ver': 2})
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


def _serve(connection, _address):
    connection.recv(4096)
    response = _build_response()
    size = len(response) // _PIECE_COUNT + 1
    for start in range(0, len(response), size):
        connection.sendall(response[start : start + size])
        gevent.sleep(_PIECE_INTERVAL_S)


class SlowResponseTest(unittest.TestCase):
    # Guards against a stale configuration as in incident 0007: the request for
    # a large configuration times out although its response keeps arriving, and
    # is repeated endlessly.
    def test_response_that_keeps_arriving_does_not_time_out(self):
        server = StreamServer(('127.0.0.1', 0), _serve)
        server.start()
        self.addCleanup(server.stop)
        store = RowStoreClient(address=f'127.0.0.1:{server.server_port}')
        page = store.wait_for_changes('op', 1, _WAIT_S)
        self.assertIsInstance(page, RowPage)

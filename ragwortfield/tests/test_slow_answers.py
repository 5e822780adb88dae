"""Answers of the store that are large, over a link that carries little."""

import unittest
from base64 import b64encode

import gevent
import msgspec
from gevent.server import StreamServer

from ragwortfield.platform.row_store_client import RowStoreClient
from ragwortfield.ports.row_store import RowPage

#: Pieces of the answer, and the time between two, in seconds.
_PIECES = 14
_GAP_S = 0.2
#: How long the feed asks the store to wait for a change, in seconds.
_WAIT_S = 1


def _answer():
    value = b64encode(b'x' * 4000).decode()
    row = {'table': 'op', 'part': '', 'key': 'config', 'ver': 2, 'value': value}
    body = msgspec.json.encode({'rows': [row], 'ver': 2})
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


def _serve(connection, _address):
    connection.recv(4096)
    answer = _answer()
    size = len(answer) // _PIECES + 1
    for first in range(0, len(answer), size):
        connection.sendall(answer[first : first + size])
        gevent.sleep(_GAP_S)


class SlowResponseTest(unittest.TestCase):
    # Guards against CONFIG of incident 0007: a large configuration that is on
    # its way all the time is given up and asked for again, without end.
    def test_response_that_keeps_arriving_does_not_time_out(self):
        server = StreamServer(('127.0.0.1', 0), _serve)
        server.start()
        self.addCleanup(server.stop)
        store = RowStoreClient(address=f'127.0.0.1:{server.server_port}')
        page = store.wait_for_changes('op', 1, _WAIT_S)
        self.assertIsInstance(page, RowPage)

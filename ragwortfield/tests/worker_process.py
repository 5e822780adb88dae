"""HTTP server that stands for one process of a worker."""

import gevent
import msgspec
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from ragwortfield.types import Seconds

_HOST = '127.0.0.1'
#: Most connections that a worker serves; further ones wait until one ends.
MAX_CONNECTIONS = 64


class WorkerProcess:
    """
    HTTP server of one worker process; records path and body of calls.

    :param born_ms: start of the process that its reports name.
    :param port: port to listen on; 0 for any.
    :param status: status of all responses.
    :param is_silent: whether requests get no response.
    :param answer_s: time until a request is answered, in seconds.
    :ivar ended: ends of runs that its reports list.
    :ivar unanswered_orders: number of the next orders that get no response.
    :ivar most_connections: most connections that were open at a time.
    """

    def __init__(
        self,
        *,
        born_ms: int,
        port: int = 0,
        status: str = '200 OK',
        is_silent: bool = False,
        answer_s: Seconds = 0,
    ) -> None:
        """Start the server."""
        self.calls = []
        self.born_ms = born_ms
        self.status = status
        self.is_silent = is_silent
        self.answer_s = answer_s
        self.ended = []
        self.unanswered_orders = 0
        self.most_connections = 0
        self._connections = Pool(MAX_CONNECTIONS)
        self.server = WSGIServer(
            (_HOST, port), self.answer, log=None, spawn=self._connections
        )
        self.server.start()
        # Connections inherit the option. Without it the two parts of a response
        # are 40 ms apart.
        self.server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address = f'{_HOST}:{self.server.server_port}'

    def answer(self, environ, start_response):
        """Answer a request."""
        body = msgspec.json.decode(environ['wsgi.input'].read())
        self.calls.append((environ['PATH_INFO'], body))
        self.most_connections = max(
            self.most_connections, self.count_connections()
        )
        is_order = environ['PATH_INFO'] != '/hold'
        is_silent = self.is_silent or (is_order and self.unanswered_orders > 0)
        if is_order and self.unanswered_orders:
            self.unanswered_orders -= 1
        gevent.sleep(30 if is_silent else self.answer_s)
        document = {'clock_ms': 5, 'born': self.born_ms, 'reason': 'fence'}
        if environ['PATH_INFO'] == '/hold':
            document |= {'running': [], 'ended': self.ended}
        content = msgspec.json.encode(document)
        headers = [('Content-Length', str(len(content)))]
        start_response(self.status, headers)
        return [content]

    def count_connections(self):
        """Count the open connections."""
        return len(self._connections)

    def list_paths(self):
        """List the paths of all calls."""
        return [path for path, _ in self.calls]

    def list_deadlines(self):
        """List path and deadline of the calls that had a deadline."""
        return [
            (path, body['deadline_ms'])
            for path, body in self.calls
            if 'deadline_ms' in body
        ]

    def list_acknowledgements(self):
        """List the ends that were acknowledged."""
        return [
            body['ack_cursor']
            for _, body in self.calls
            if body.get('ack_cursor')
        ]

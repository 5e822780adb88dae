"""WSGI server with the options that small messages and drains need."""

from typing import Any

from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from ragwortfield.adapters.json_codec import encode_json
from ragwortfield.adapters.http_client import set_socket_options
from ragwortfield.log import event

#: Path as the client sent it, still percent-encoded.
RAW_PATH_KEY = 'ragwortfield.raw_path'


#: Text of a refusal by status, for requests that could not be read.
_MESSAGE_BY_STATUS = {
    '400': 'the request line, a header field or a length is malformed or '
    'too long',
    '414': 'the request line is longer than 8192 bytes',
}


class _RequestHandler(WSGIHandler):
    """Handler that keeps the raw path and can end keep-alive for a drain."""

    def get_environ(self) -> dict[str, Any]:
        """
        Add the raw path to the environment.

        :returns: the WSGI environment.
        """
        environ = super().get_environ()
        environ[RAW_PATH_KEY] = self.path
        return environ

    def handle_one_request(self) -> Any:
        """
        Say in the refusal of an unreadable request that it was not run.

        :returns: what the base class returns, or status and refusal.
        """
        outcome = super().handle_one_request()
        if isinstance(outcome, tuple):
            return outcome[0], _encode_unreadable_response(str(outcome[0]))
        return outcome

    def log_request(self) -> None:
        """Leave the log of requests to the application."""

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        event('request_unreadable', remote=self.client_address, error=ex)
        return '400', b''


class HttpServer(WSGIServer):
    """
    WSGI server of an entry instance.

    :param address: host and port to listen on.
    :param application: the WSGI application.
    :param max_connections: connections at once; more wait in the kernel.
    """

    handler_class = _RequestHandler

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application: Any,
        max_connections: int,
    ) -> None:
        """Create a server; ``start`` lets it accept."""
        super().__init__(
            address,
            application,
            spawn=Pool(max_connections),
            log=None,
            error_log=None,
        )

    def do_handle(self, *args: Any) -> None:
        """
        Handle an accepted connection.

        :param args: socket and address.
        """
        set_socket_options(args[0])
        super().do_handle(*args)


def _encode_unreadable_response(status: str) -> bytes:
    body = encode_json(
        {
            'error': 'unreadable-request',
            'message': _MESSAGE_BY_STATUS.get(
                status, 'the request is malformed'
            ),
            'run': 'not-run',
        }
    )
    head = (
        f'HTTP/1.1 {status} Bad Request\r\n'
        'connection: close\r\n'
        'content-type: application/json\r\n'
        'ragwortfield-run: not-run\r\n'
        'ragwortfield-code: unreadable-request\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return b''.join((head.encode('ascii'), body))

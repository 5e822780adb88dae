"""WSGI server with the options that small messages and drains need."""

from typing import Any

from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from ragwortfield.adapters.http_client import set_socket_options

#: Path as the client sent it, still percent-encoded.
RAW_PATH_KEY = 'ragwortfield.raw_path'


class _Handler(WSGIHandler):
    """Handler that keeps the raw path and can end keep-alive for a drain."""

    def get_environ(self) -> dict[str, Any]:
        """
        Add the raw path to the environment.

        :returns: the WSGI environment.
        """
        environ = super().get_environ()
        environ[RAW_PATH_KEY] = self.path
        return environ

    def log_request(self) -> None:
        """Leave the log of requests to the application."""


class FrontServer(WSGIServer):
    """
    WSGI server of an entry instance.

    :param address: host and port to listen on.
    :param application: the WSGI application.
    :param max_connections: connections at once; more wait in the kernel.
    """

    handler_class = _Handler

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

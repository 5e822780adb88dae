"""Health checks of the balancer, and metrics."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.engine.scheduler_node import SchedulerNode
from ragwortfield.http_api.wsgi import (
    Response,
    StartResponse,
    get_raw_path,
    send_response,
)

_TEXT_HEADERS: HeaderFields = (('content-type', 'text/plain'),)
_METRICS_PATH = '/metrics'


class HealthApplication:
    """
    WSGI application for the balancer and for scrapes.

    :param node: the instance.
    """

    def __init__(self, *, node: SchedulerNode) -> None:
        """Create the application."""
        self._node = node

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Answer one request.

        :param environ: WSGI environment.
        :param start_response: the server's function.
        :returns: the body.
        """
        if get_raw_path(environ) == _METRICS_PATH:
            return send_response(self._metrics_response(), start_response)
        if self._node.is_serving():
            return send_response(
                _text_response(HTTPStatus.OK, b'ready\n'), start_response
            )
        return send_response(
            _text_response(HTTPStatus.SERVICE_UNAVAILABLE, b'not ready\n'),
            start_response,
        )

    def _metrics_response(self) -> Response:
        self._node.refresh_metrics()
        body, fields = self._node.metrics.render()
        return Response(
            status=HTTPStatus.OK,
            fields=tuple(fields.items()),
            body=body,
        )


def _text_response(status: int, body: bytes) -> Response:
    return Response(status=status, fields=_TEXT_HEADERS, body=body)

"""Readiness check for the load balancer, metrics, and questions."""

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any

from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.engine.scheduler_node import SchedulerNode
from ragwortfield.http_api.client_guard import ClientGuard
from ragwortfield.http_api.wsgi import (
    Response,
    StartResponse,
    get_raw_path,
    send_response,
)

_TEXT_HEADERS: HeaderFields = (('content-type', 'text/plain'),)
_METRICS_PATH = '/metrics'

Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class HealthApplication:
    """
    WSGI application that answers readiness checks and serves metrics.

    :param node: node whose readiness and metrics are shown.
    :param application_by_path: applications for further paths.
    :param guard_by_server: bounds of the clients of each server, whose counts
        are shown.
    """

    def __init__(
        self,
        *,
        node: SchedulerNode,
        guard_by_server: Mapping[str, ClientGuard],
        application_by_path: dict[str, Application] | None = None,
    ) -> None:
        """Create the application."""
        self._node = node
        self._guard_by_server = guard_by_server
        self._application_by_path = application_by_path or {}

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Handle one request: metrics on ``/metrics``, readiness by default.

        :param environ: WSGI environment.
        :param start_response: WSGI function that takes status and headers.
        :returns: body of the response.
        """
        path = get_raw_path(environ)
        application = self._application_by_path.get(path)
        if application is not None:
            return application(environ, start_response)
        if path == _METRICS_PATH:
            return send_response(self._make_metrics_response(), start_response)
        if self._node.is_serving():
            return send_response(
                _make_text_response(HTTPStatus.OK, b'ready\n'), start_response
            )
        return send_response(
            _make_text_response(HTTPStatus.SERVICE_UNAVAILABLE, b'not ready\n'),
            start_response,
        )

    def _make_metrics_response(self) -> Response:
        metrics = self._node.metrics
        self._node.refresh_metrics()
        for server, guard in self._guard_by_server.items():
            metrics.state(f'{server}_connections', len(guard.connections))
            metrics.state(f'{server}_held_bytes', guard.held_bytes)
            metrics.record_client_ends(server, guard.decisions.count_by_name)
        body, fields = metrics.render()
        return Response(
            status=HTTPStatus.OK,
            fields=tuple(fields.items()),
            body=body,
        )


def _make_text_response(status: int, body: bytes) -> Response:
    return Response(status=status, fields=_TEXT_HEADERS, body=body)

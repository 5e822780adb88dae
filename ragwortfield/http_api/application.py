"""WSGI application of an entry instance: routes requests by path prefix."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from ragwortfield.core.outcomes import RunState
from ragwortfield.engine.entry_node import EntryNode
from ragwortfield.http_api.caller_api import (
    RECEIPT_PATH_PREFIX,
    SERVICE_PATH_PREFIX,
    CallerApi,
)
from ragwortfield.http_api.headers import RUN_STATE_HEADER
from ragwortfield.http_api.operator_api import OPERATOR_PATH_PREFIX, OperatorApi
from ragwortfield.http_api.wsgi import (
    Response,
    StartResponse,
    get_raw_path,
    make_json_response,
    send_response,
)
from ragwortfield.log import event

#: Handles the requests below a path prefix; takes the WSGI environment.
PathHandler = Callable[[dict[str, Any]], Response]


class Application:
    """
    Routes requests by path prefix, and limits callers' requests in progress.

    :param node: node whose state is shown.
    :param caller_api: handles requests of callers.
    :param operator_api: handles requests of operators.
    :param max_requests: number of requests in progress above which requests
        of callers are refused.
    """

    def __init__(
        self,
        *,
        node: EntryNode,
        caller_api: CallerApi,
        operator_api: OperatorApi,
        max_requests: int,
    ) -> None:
        """Create the application."""
        self.active_requests = 0
        self._node = node
        self._caller_api = caller_api
        self._max_requests = max_requests
        self._handler_by_prefix: dict[str, PathHandler] = {
            SERVICE_PATH_PREFIX: self._serve_caller,
            RECEIPT_PATH_PREFIX: caller_api.show_receipt,
            OPERATOR_PATH_PREFIX: operator_api.serve,
            '/metrics': self._show_metrics,
            '/health': self._show_health,
            '/ready': self._show_ready,
        }

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Handle one request.

        :param environ: WSGI environment.
        :param start_response: WSGI function that takes status and headers.
        :returns: body of the response.
        """
        self.active_requests += 1
        try:
            response = self._serve(environ)
        except Exception as error:
            event('request_failed', error=repr(error))
            response = make_json_response(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                {
                    'error': 'internal',
                    'message': 'internal error of this instance; it is '
                    'unknown whether the request ran',
                    'run': RunState.UNKNOWN.value,
                },
                (RUN_STATE_HEADER, RunState.UNKNOWN.value),
            )
        finally:
            self.active_requests -= 1
        return send_response(
            response,
            start_response,
            is_closing=self._node.instance_state.is_leaving,
        )

    def _serve(self, environ: dict[str, Any]) -> Response:
        path = get_raw_path(environ)
        for prefix, handler in self._handler_by_prefix.items():
            if path.startswith(prefix):
                return handler(environ)
        return make_json_response(
            HTTPStatus.NOT_FOUND,
            {
                'error': 'unknown-path',
                'message': (
                    f'unknown path {path!r}, expected one that starts with '
                    f'{SERVICE_PATH_PREFIX}'
                ),
                'run': RunState.NOT_RUN.value,
            },
            (RUN_STATE_HEADER, RunState.NOT_RUN.value),
        )

    def _serve_caller(self, environ: dict[str, Any]) -> Response:
        if self.active_requests > self._max_requests:
            return make_json_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {
                    'error': 'too-many-requests',
                    'message': f'{self.active_requests} requests are in '
                    f'progress, expected at most {self._max_requests}',
                    'run': RunState.NOT_RUN.value,
                },
                (RUN_STATE_HEADER, RunState.NOT_RUN.value),
                ('retry-after', '1'),
            )
        return self._caller_api.serve(environ)

    def _show_metrics(self, environ: dict[str, Any]) -> Response:
        self._node.recorder.update_gauge(
            'requests_active', self.active_requests
        )
        self._node.recorder.update_gauge(
            'requests_queued',
            self._node.dispatcher.slots.count_waiting(),
        )
        self._node.recorder.update_gauge(
            'cross_region_bytes',
            self._node.dispatcher.cross_region_budget.charged_bytes,
        )
        body, fields = self._node.recorder.render()
        return Response(
            status=HTTPStatus.OK,
            fields=tuple(
                (name, value)
                for name, value in fields.items()
                if name.lower() != 'content-length'
            ),
            body=body,
        )

    def _show_health(self, environ: dict[str, Any]) -> Response:
        return make_json_response(
            HTTPStatus.OK,
            {'instance': self._node.instance_state.identity.instance_id},
        )

    def _show_ready(self, environ: dict[str, Any]) -> Response:
        is_ready = self._node.is_ready()
        instance_state = self._node.instance_state
        return make_json_response(
            HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE,
            {
                'ready': is_ready,
                'configuration_version': instance_state.configuration_version(),
                'targets': len(instance_state.target_by_id),
                'seats': len(instance_state.held_seat_by_key),
                'leaving': instance_state.is_leaving,
            },
        )

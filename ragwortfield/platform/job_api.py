"""HTTP interface for jobs, as the platform's specification defines it."""

import time
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

import msgspec

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.engine.job_request_handler import (
    RETRY_AFTER_S,
    Accepted,
    Cancelled,
    Rejected,
    Uncertain,
    Unknown,
)
from ragwortfield.engine.queue_refusals import Refused
from ragwortfield.engine.scheduler_node import SchedulerNode
from ragwortfield.http_api.wsgi import (
    BodyError,
    Response,
    StartResponse,
    get_header,
    get_pause,
    get_raw_path,
    read_body,
    send_response,
)
from ragwortfield.platform.document_parsing import is_job_id, parse_job
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.types import Seconds

_JSON_HEADERS: HeaderFields = (('content-type', 'application/json'),)
_RETRY_HEADERS: HeaderFields = (
    *_JSON_HEADERS,
    ('retry-after', str(RETRY_AFTER_S)),
)
_DEADLINE_HEADER = 'x-ragwortfield-deadline-ms'
#: Deadline of a request without the deadline header field, in seconds.
_DEFAULT_DEADLINE_S: Seconds = 3
#: Most digits of a deadline in milliseconds; eleven days. A longer deadline
#: counts as this long.
_MAX_DEADLINE_DIGITS = 9
#: Fraction of the client's deadline that this instance spends on attempts. The
#: rest leaves the client time to try another instance.
_TIMEOUT_SHARE_OF_DEADLINE = 0.45
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class _RequestedResource:
    """
    Queue and job that a request names; an empty job means the queue.

    :param max_body_bytes: largest body that is accepted, in bytes.
    """

    queue: Queue
    job_id: str
    max_body_bytes: int


class JobApi:
    """
    WSGI application that serves requests for jobs.

    :param node: scheduler node that handles the requests.
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
        Handle one request.

        :param environ: WSGI environment.
        :param start_response: WSGI function that starts the response.
        :returns: chunks of the response body.
        """
        started_at = time.monotonic()
        with self._node.track_request():
            response = self._respond(environ)
        self._node.metrics.record_request(
            environ['REQUEST_METHOD'],
            response.status,
            time.monotonic() - started_at,
        )
        return send_response(
            response,
            start_response,
            is_closing=self._node.is_leaving,
        )

    def _respond(self, environ: dict[str, Any]) -> Response:
        catalogue = self._node.catalogue()
        if catalogue is None:
            return _make_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration yet',
            )
        # Without a port, the host name is the last element.
        host = get_header(environ, 'host').rpartition(':')
        path = unquote(get_raw_path(environ).partition('?')[0])
        queue = catalogue.match_queue(host[0] or host[2], path)
        if queue is None:
            return _make_error_response(HTTPStatus.NOT_FOUND, 'no such queue')
        resource = _RequestedResource(
            queue=queue,
            job_id=path.removeprefix(queue.path_prefix),
            max_body_bytes=catalogue.client_limits.max_body_bytes,
        )
        return self._dispatch(environ, resource)

    def _dispatch(
        self, environ: dict[str, Any], resource: _RequestedResource
    ) -> Response:
        method = environ['REQUEST_METHOD']
        if not resource.job_id and method == 'GET':
            return self._count_waiting(resource, environ)
        if not is_job_id(resource.job_id):
            return _make_error_response(
                HTTPStatus.BAD_REQUEST,
                f'job {resource.job_id!r}, expected 16 hexadecimal digits',
            )
        if method == 'POST':
            return self._submit(environ, resource)
        if method == 'GET':
            return self._get_status(resource, environ)
        if method == 'DELETE':
            return self._cancel(resource, environ)
        return _make_error_response(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f'method {method}, expected POST, GET or DELETE',
        )

    def _submit(
        self, environ: dict[str, Any], resource: _RequestedResource
    ) -> Response:
        body = read_body(environ, resource.max_body_bytes)
        if isinstance(body, BodyError):
            return _make_error_response(body.status, body.message)
        job = parse_job(
            body,
            job_id=resource.job_id,
            queue=resource.queue.name,
            accepted_at=self._node.wall_time(),
        )
        if isinstance(job, Malformed):
            return _make_error_response(HTTPStatus.BAD_REQUEST, job.reason)
        outcome = self._node.job_requests.submit(
            job,
            _compute_timeout_s(environ),
            queue=resource.queue,
        )
        self._node.record_submission(job, outcome)
        if isinstance(outcome, Accepted):
            return _make_success_response({})
        if isinstance(outcome, Refused):
            return _make_refusal(outcome)
        if isinstance(outcome, Cancelled):
            # The same request would be refused again.
            return _make_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                outcome.reason,
                is_retry_useful=False,
            )
        return _make_unaccepted_response(outcome)

    def _get_status(
        self, resource: _RequestedResource, environ: dict[str, Any]
    ) -> Response:
        found = self._node.job_requests.status(
            resource.job_id, _compute_timeout_s(environ), get_pause(environ)
        )
        if isinstance(found, Unavailable):
            return _make_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, found.reason
            )
        if isinstance(found, Unknown):
            return _make_error_response(HTTPStatus.GONE, 'no such job')
        return _make_success_response({'state': found.value})

    def _cancel(
        self, resource: _RequestedResource, environ: dict[str, Any]
    ) -> Response:
        outcome = self._node.job_requests.cancel(
            resource.job_id, _compute_timeout_s(environ)
        )
        if isinstance(outcome, Accepted):
            return _make_success_response({})
        if isinstance(outcome, Unknown):
            return _make_error_response(HTTPStatus.GONE, 'no such job')
        return _make_unaccepted_response(outcome)

    def _count_waiting(
        self, resource: _RequestedResource, environ: dict[str, Any]
    ) -> Response:
        count = self._node.job_requests.count_waiting(
            resource.queue.name,
            _compute_timeout_s(environ),
            get_pause(environ),
        )
        if isinstance(count, Unavailable):
            return _make_error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, count.reason
            )
        return _make_success_response({'waiting': count})


def _compute_timeout_s(environ: dict[str, Any]) -> Seconds:
    text = get_header(environ, _DEADLINE_HEADER)
    deadline_s = _DEFAULT_DEADLINE_S
    if text.isascii() and text.isdigit():
        # ``int`` cannot read texts of any length.
        is_long = len(text) > _MAX_DEADLINE_DIGITS
        deadline_ms = 10**_MAX_DEADLINE_DIGITS if is_long else int(text)
        deadline_s = deadline_ms / _MS_PER_S
    return deadline_s * _TIMEOUT_SHARE_OF_DEADLINE


def _make_unaccepted_response(outcome: Rejected | Uncertain) -> Response:
    if isinstance(outcome, Uncertain):
        # The job may have been stored, so the response must not say that the
        # request was rejected.
        return _make_error_response(HTTPStatus.GATEWAY_TIMEOUT, outcome.reason)
    return _make_error_response(HTTPStatus.SERVICE_UNAVAILABLE, outcome.reason)


def _make_refusal(outcome: Refused) -> Response:
    return Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        fields=(
            *_JSON_HEADERS,
            ('retry-after', str(outcome.retry_after_s)),
        ),
        body=msgspec.json.encode({'error': outcome.reason}),
    )


def _make_success_response(body: dict[str, Any]) -> Response:
    return Response(
        status=HTTPStatus.OK,
        fields=_JSON_HEADERS,
        body=msgspec.json.encode(body),
    )


def _make_error_response(
    status: int, message: str, *, is_retry_useful: bool = True
) -> Response:
    is_retry_advised = (
        is_retry_useful and status == HTTPStatus.SERVICE_UNAVAILABLE
    )
    return Response(
        status=status,
        fields=_RETRY_HEADERS if is_retry_advised else _JSON_HEADERS,
        body=msgspec.json.encode({'error': message}),
    )

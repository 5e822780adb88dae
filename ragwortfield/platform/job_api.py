"""Clients' requests about jobs, as the platform's pages describe them."""

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
    Rejected,
    Uncertain,
    Unknown,
)
from ragwortfield.engine.scheduler_node import SchedulerNode
from ragwortfield.http_api.wsgi import (
    BodyError,
    Response,
    StartResponse,
    get_header,
    get_raw_path,
    read_body,
    send_response,
)
from ragwortfield.platform.document_parsing import is_job_id, parse_job
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.types import Seconds

_JSON: HeaderFields = (('content-type', 'application/json'),)
_RETRY: HeaderFields = (*_JSON, ('retry-after', str(RETRY_AFTER_S)))
_DEADLINE_FIELD = 'x-ragwortfield-deadline-ms'
#: Deadline of a client that names none, in seconds.
_DEFAULT_DEADLINE_S: Seconds = 3
#: Part of the client's deadline that is used for tries, so that it can turn to
#: another instance.
_TRY_SHARE = 0.45
_MAX_BODY_BYTES = 262144
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Target:
    """Queue and job that a request names; no job: the queue itself."""

    queue: Queue
    job_id: str


class JobApi:
    """
    WSGI application for the platform's clients.

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
        started_at = time.monotonic()
        with self._node.request():
            response = self._respond(environ)
        self._node.metrics.request(
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
            return _failure(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration yet',
            )
        host = get_header(environ, 'host').rpartition(':')
        path = unquote(get_raw_path(environ).partition('?')[0])
        queue = catalogue.match_queue(host[0] or host[2], path)
        if queue is None:
            return _failure(HTTPStatus.NOT_FOUND, 'no such queue')
        target = _Target(
            queue=queue,
            job_id=path.removeprefix(queue.path_prefix),
        )
        return self._dispatch(environ, target)

    def _dispatch(self, environ: dict[str, Any], target: _Target) -> Response:
        method = environ['REQUEST_METHOD']
        if not target.job_id and method == 'GET':
            return self._waiting(target, environ)
        if not is_job_id(target.job_id):
            return _failure(
                HTTPStatus.BAD_REQUEST,
                f'job {target.job_id!r}, expected 16 hexadecimal digits',
            )
        if method == 'POST':
            return self._submit(environ, target)
        if method == 'GET':
            return self._status(target, environ)
        if method == 'DELETE':
            return self._cancel(target, environ)
        return _failure(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f'method {method}, expected POST, GET or DELETE',
        )

    def _submit(self, environ: dict[str, Any], target: _Target) -> Response:
        body = read_body(environ, _MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return _failure(body.status, body.message)
        job = parse_job(
            body,
            job_id=target.job_id,
            queue=target.queue.name,
            accepted_at=self._node.wall_time(),
        )
        if isinstance(job, Malformed):
            return _failure(HTTPStatus.BAD_REQUEST, job.reason)
        outcome = self._node.job_requests.submit(
            job,
            _limit_s(environ),
            queue=target.queue,
        )
        if isinstance(outcome, Accepted):
            return _success({})
        return _refusal(outcome)

    def _status(self, target: _Target, environ: dict[str, Any]) -> Response:
        found = self._node.job_requests.status(target.job_id, _limit_s(environ))
        if isinstance(found, Unavailable):
            return _failure(HTTPStatus.SERVICE_UNAVAILABLE, found.reason)
        if isinstance(found, Unknown):
            return _failure(HTTPStatus.GONE, 'no such job')
        return _success({'state': found.value})

    def _cancel(self, target: _Target, environ: dict[str, Any]) -> Response:
        outcome = self._node.job_requests.cancel(
            target.job_id, _limit_s(environ)
        )
        if isinstance(outcome, Accepted):
            return _success({})
        if isinstance(outcome, Unknown):
            return _failure(HTTPStatus.GONE, 'no such job')
        return _refusal(outcome)

    def _waiting(self, target: _Target, environ: dict[str, Any]) -> Response:
        count = self._node.job_requests.count_waiting(
            target.queue.name, _limit_s(environ)
        )
        if isinstance(count, Unavailable):
            return _failure(HTTPStatus.SERVICE_UNAVAILABLE, count.reason)
        return _success({'waiting': count})


def _limit_s(environ: dict[str, Any]) -> Seconds:
    text = get_header(environ, _DEADLINE_FIELD)
    deadline_s = _DEFAULT_DEADLINE_S
    if text.isascii() and text.isdigit():
        deadline_s = int(text) / _MS_PER_S
    return deadline_s * _TRY_SHARE


def _refusal(outcome: Rejected | Uncertain) -> Response:
    if isinstance(outcome, Uncertain):
        # The row may have been written, so this is no refusal.
        return _failure(HTTPStatus.GATEWAY_TIMEOUT, outcome.reason)
    return _failure(HTTPStatus.SERVICE_UNAVAILABLE, outcome.reason)


def _success(body: dict[str, Any]) -> Response:
    return Response(
        status=HTTPStatus.OK,
        fields=_JSON,
        body=msgspec.json.encode(body),
    )


def _failure(status: int, message: str) -> Response:
    return Response(
        status=status,
        fields=_RETRY if status == HTTPStatus.SERVICE_UNAVAILABLE else _JSON,
        body=msgspec.json.encode({'error': message}),
    )

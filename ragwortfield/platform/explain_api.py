"""HTTP interface that explains where jobs would go, for operators."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

import msgspec

from ragwortfield.adapters.json_codec import DECODE_ERRORS, Malformed
from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.engine.job_explanations import (
    ExplainOutcome,
    Explained,
    UnknownJob,
)
from ragwortfield.engine.scheduler_node import SchedulerNode
from ragwortfield.http_api.operator_api import OPERATOR_PATH_PREFIX
from ragwortfield.http_api.wsgi import (
    BodyError,
    Response,
    StartResponse,
    read_body,
    send_response,
)
from ragwortfield.platform.document_parsing import is_job_id, parse_job

#: Path of the question on the health address.
EXPLAIN_PATH = f'{OPERATOR_PATH_PREFIX}explain'
_JSON_HEADERS: HeaderFields = (('content-type', 'application/json'),)
#: Largest question, in bytes: the largest job that callers may submit, and its
#: address.
_MAX_BODY_BYTES = 266240
#: Job that an address without one stands for.
_ANY_JOB_ID = '0000000000000000'


class _Question(msgspec.Struct):
    """
    Question about an accepted job, or about a request that is not sent.

    :param job: identifier of an accepted job; empty for a request.
    :param host: host name that the request would use.
    :param path: its path.
    :param request: its body.
    """

    job: str = ''
    host: str = ''
    path: str = ''
    request: msgspec.Raw = msgspec.Raw(b'{}')


class ExplainApi:
    """
    WSGI application that answers where a job would go, and why.

    :param node: scheduler node that asks the owner.
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
        Handle one question.

        :param environ: WSGI environment.
        :param start_response: WSGI function that starts the response.
        :returns: chunks of the response body.
        """
        return send_response(self._respond(environ), start_response)

    def _respond(self, environ: dict[str, Any]) -> Response:
        if environ['REQUEST_METHOD'] != 'POST':
            return _make_error(
                HTTPStatus.METHOD_NOT_ALLOWED, 'method', 'expected POST'
            )
        body = read_body(environ, _MAX_BODY_BYTES)
        if isinstance(body, BodyError):
            return _make_error(body.status, 'malformed-question', body.message)
        try:
            question = msgspec.json.decode(body, type=_Question)
        except DECODE_ERRORS as error:
            return _make_error(
                HTTPStatus.BAD_REQUEST, 'malformed-question', str(error)
            )
        if question.job:
            return self._explain_known(question.job)
        return self._explain_request(question)

    def _explain_known(self, job_id: str) -> Response:
        if not is_job_id(job_id):
            return _make_job_id_error(job_id)
        return _make_response(self._node.explanations.explain_known(job_id))

    def _explain_request(self, question: _Question) -> Response:
        catalogue = self._node.catalogue()
        if catalogue is None:
            return _make_error(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-configuration',
                'the instance has no configuration yet',
            )
        queue = catalogue.match_queue(question.host, question.path)
        if queue is None:
            return _make_error(
                HTTPStatus.NOT_FOUND,
                'unknown-queue',
                f'no queue has host {question.host!r} and path '
                f'{question.path!r}',
            )
        job_id = question.path.removeprefix(queue.path_prefix) or _ANY_JOB_ID
        if not is_job_id(job_id):
            return _make_job_id_error(job_id)
        job = parse_job(
            bytes(question.request),
            job_id=job_id,
            queue=queue.name,
            accepted_at=self._node.wall_time(),
        )
        if isinstance(job, Malformed):
            return _make_error(
                HTTPStatus.BAD_REQUEST, 'malformed-job', job.reason
            )
        return _make_response(self._node.explanations.explain_new(job, queue))


def _make_response(outcome: ExplainOutcome) -> Response:
    if isinstance(outcome, Explained):
        return Response(
            status=HTTPStatus.OK,
            fields=_JSON_HEADERS,
            body=msgspec.json.encode(outcome.document),
        )
    if isinstance(outcome, UnknownJob):
        return _make_error(
            HTTPStatus.NOT_FOUND,
            'unknown-job',
            f'the owner of shard {outcome.shard} knows no such job',
        )
    return _make_error(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'owner-unreachable',
        f'the owner of shard {outcome.shard} gave no answer: {outcome.reason}',
    )


def _make_job_id_error(job_id: str) -> Response:
    return _make_error(
        HTTPStatus.BAD_REQUEST,
        'malformed-job',
        f'job {job_id!r}, expected 16 hexadecimal digits',
    )


def _make_error(status: int, code: str, message: str) -> Response:
    return Response(
        status=status,
        fields=_JSON_HEADERS,
        body=msgspec.json.encode({'error': code, 'message': message}),
    )

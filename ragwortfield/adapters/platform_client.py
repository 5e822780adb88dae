"""HTTP clients that implement the protocols of the platform."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.adapters.json_codec import Malformed, decode_json, encode_json
from ragwortfield.core.jobs import WorkerReport
from ragwortfield.core.outcomes import Broken, NotSent, WholeAnswer
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    Listing,
    RenewTasks,
    Rows,
    StartTask,
    Unavailable,
    Write,
)
from ragwortfield.types import JobId, Seconds

#: Status of a successful request.
_OK = HTTPStatus.OK
#: Status of a read of an object that does not exist.
_NOT_FOUND = HTTPStatus.NOT_FOUND
#: Status of a transaction with an unexpected version, and of a start whose
#: generation is refused.
_CONFLICT = HTTPStatus.CONFLICT
#: Status with which the platform says that a request had no effect.
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE

_Document = TypeVar('_Document')


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactRequest:
    """Body of a transaction request."""

    writes: tuple[Write, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskControlRequest:
    """Body of a stop, throttle or forget request."""

    generation_by_job: dict[JobId, int] = field(default_factory=dict)
    share: float = 1


class PlatformClient:
    """
    HTTP client of the platform's tables, objects and instance list.

    :param address: host and port of the platform.
    :param timeout_s: longest wait for a response, in seconds.
    """

    def __init__(self, *, address: str, timeout_s: Seconds) -> None:
        """Create a client; it connects on the first request."""
        self._client = _JsonClient(timeout_s=timeout_s)
        self._address = address

    def scan(self, prefix: str) -> Rows | Unavailable:
        """
        Read all rows whose keys start with a prefix.

        :param prefix: prefix of the keys.
        :returns: the rows, ordered by key, or why they could not be read.
        """
        path = f'/tables/scan?prefix={quote(prefix, safe="")}'
        answer = self._client.send_document(self._address, 'GET', path)
        return _parse_success(answer, Rows)

    def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Committed | Conflict | Unavailable:
        """
        Apply all writes atomically.

        :param writes: the writes with the versions that they expect.
        :returns: the new versions, the conflict, or why the outcome is not
            known.
        """
        answer = self._client.send_document(
            self._address,
            'POST',
            '/tables/transact',
            TransactRequest(writes=writes),
        )
        if isinstance(answer, WholeAnswer) and answer.status == _CONFLICT:
            return _parse_body(answer, Conflict)
        return _parse_success(answer, Committed)

    def list_instances(self) -> Listing | Unavailable:
        """
        Read the instance list.

        :returns: the list, or why it could not be read.
        """
        answer = self._client.send_document(self._address, 'GET', '/list')
        return _parse_success(answer, Listing)

    def put(self, key: str, content: bytes) -> bool | Unavailable:
        """
        Store an object.

        :param key: key of the object.
        :param content: content of the object.
        :returns: true when the object was stored, or why this is not known.
        """
        path = f'/objects/{quote(key, safe="/")}'
        answer = self._client.send(self._address, 'PUT', path, content)
        return _confirm_success(answer)

    def get(self, key: str) -> bytes | None | Unavailable:
        """
        Read an object.

        :param key: key of the object.
        :returns: the content, ``None`` when the object does not exist, or why
            it could not be read.
        """
        path = f'/objects/{quote(key, safe="/")}'
        answer = self._client.send_document(self._address, 'GET', path)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == _NOT_FOUND:
            return None
        if answer.status != _OK:
            return _make_status_error(answer)
        return answer.body


class WorkerControlClient:
    """
    HTTP client of the control interface of workers.

    :param timeout_s: longest wait for a response, in seconds.
    """

    def __init__(self, *, timeout_s: Seconds) -> None:
        """Create a client; it connects on the first request."""
        self._client = _JsonClient(timeout_s=timeout_s)

    def start(self, address: str, order: StartTask) -> bool | Unavailable:
        """
        Start a task.

        :param address: host and port of the worker's control interface.
        :param order: the task, with its generation and its lease.
        :returns: true when the worker accepted the order, false when it
            refused the generation, or why this is not known.
        """
        answer = self._client.send_document(
            address, 'POST', '/control/start', order
        )
        if isinstance(answer, WholeAnswer) and answer.status == _CONFLICT:
            return False
        return _confirm_success(answer)

    def renew_leases(
        self,
        address: str,
        order: RenewTasks,
    ) -> WorkerReport | Unavailable:
        """
        Extend leases and read the worker's report.

        :param address: host and port of the worker's control interface.
        :param order: the tasks and the new expiry of their leases.
        :returns: the report, or why there is none.
        """
        answer = self._client.send_document(
            address, 'POST', '/control/renew', order
        )
        return _parse_success(answer, WorkerReport)

    def stop(
        self,
        address: str,
        job_id: JobId,
        generation: int,
    ) -> bool | Unavailable:
        """
        Checkpoint and stop a task.

        :param address: host and port of the worker's control interface.
        :param job_id: job of the task.
        :param generation: generation of the task to stop.
        :returns: true when the worker accepted the order, or why this is not
            known.
        """
        request = TaskControlRequest(generation_by_job={job_id: generation})
        return _confirm_success(
            self._client.send_document(
                address, 'POST', '/control/stop', request
            ),
        )

    def throttle(
        self,
        address: str,
        job_id: JobId,
        share: float,
    ) -> bool | Unavailable:
        """
        Limit a task to a share of its CPU grant.

        :param address: host and port of the worker's control interface.
        :param job_id: job of the task.
        :param share: share of the grant, 0 to 1.
        :returns: true when the worker accepted the order, or why this is not
            known.
        """
        request = TaskControlRequest(generation_by_job={job_id: 0}, share=share)
        return _confirm_success(
            self._client.send_document(
                address, 'POST', '/control/throttle', request
            ),
        )

    def discard_reports(
        self,
        address: str,
        generation_by_job: dict[JobId, int],
    ) -> bool | Unavailable:
        """
        Discard reports of ended tasks once the table records their end.

        :param address: host and port of the worker's control interface.
        :param generation_by_job: generation of each ended task.
        :returns: true when the worker accepted the order, or why this is not
            known.
        """
        request = TaskControlRequest(generation_by_job=generation_by_job)
        return _confirm_success(
            self._client.send_document(
                address, 'POST', '/control/forget', request
            ),
        )


class _JsonClient:
    """Client for requests with JSON bodies; it has a pool for each address."""

    def __init__(self, *, timeout_s: Seconds) -> None:
        self._pool_by_address: dict[str, HttpConnectionPool] = {}
        self._timeouts = Timeouts(first_byte_s=timeout_s, total_s=timeout_s)

    def send_document(
        self,
        address: str,
        method: str,
        path: str,
        document: Any = None,
    ) -> WholeAnswer | Unavailable:
        body = b'' if document is None else encode_json(document)
        return self.send(address, method, path, body)

    def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
    ) -> WholeAnswer | Unavailable:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_address[address] = pool
        request = HttpRequest(method=method, path=path, body=body)
        outcome = pool.exchange(request, self._timeouts)
        if isinstance(outcome, NotSent):
            return Unavailable(reason=outcome.reason)
        if isinstance(outcome, Broken):
            if outcome.is_silent:
                pool.retire_connections()
            return Unavailable(
                reason=outcome.reason,
                is_effect_possible=method != 'GET',
            )
        return outcome


def _parse_success(
    answer: WholeAnswer | Unavailable,
    document_type: type[_Document],
) -> _Document | Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    if answer.status != _OK:
        return _make_status_error(answer)
    return _parse_body(answer, document_type)


def _parse_body(
    answer: WholeAnswer, document_type: type[_Document]
) -> _Document | Unavailable:
    document = decode_json(answer.body, document_type)
    if isinstance(document, Malformed):
        return Unavailable(
            reason=f'platform sent an invalid {document_type.__name__}: '
            f'{document.reason}',
            is_effect_possible=True,
        )
    return document


def _confirm_success(answer: WholeAnswer | Unavailable) -> bool | Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    if answer.status != _OK:
        return _make_status_error(answer)
    return True


def _make_status_error(answer: WholeAnswer) -> Unavailable:
    return Unavailable(
        reason=f'platform responded {answer.status}, expected {_OK}',
        is_effect_possible=answer.status != _UNAVAILABLE,
    )

"""Platform ports over the platform's HTTP interface."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote

from ragwortfield.adapters.json_codec import Malformed, decode_json, encode_json
from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
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

#: Status of a successful call.
_OK = HTTPStatus.OK
#: Status of an absent object.
_ABSENT = HTTPStatus.NOT_FOUND
#: Status of a transaction or start that lost a comparison.
_CONFLICT = HTTPStatus.CONFLICT
#: Status by which the platform says that it took nothing.
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE

_Kind = TypeVar('_Kind')


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactRequest:
    """Body of a transaction call."""

    writes: tuple[Write, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskControlRequest:
    """Body of a stop, throttle or forget call."""

    generation_by_job: dict[JobId, int] = field(default_factory=dict)
    share: float = 1


class PlatformClient:
    """
    Client of the platform's tables, objects and list.

    :param address: host and port of the platform.
    :param timeout_s: longest wait for an answer, in seconds.
    """

    def __init__(self, *, address: str, timeout_s: Seconds) -> None:
        """Create a client; it connects with its first call."""
        self._caller = _JsonCaller(timeout_s=timeout_s)
        self._address = address

    def scan(self, prefix: str) -> Rows | Unavailable:
        """
        Read every row whose key starts with a prefix.

        :param prefix: start of the keys.
        :returns: the rows, ordered by key, or why there are none.
        """
        path = f'/tables/scan?prefix={quote(prefix, safe="")}'
        answer = self._caller.call(self._address, 'GET', path)
        return _expect(answer, Rows)

    def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Committed | Conflict | Unavailable:
        """
        Apply all writes or none of them.

        :param writes: the writes with the versions they expect.
        :returns: the new versions, the conflict, or why it is not known.
        """
        answer = self._caller.call(
            self._address,
            'POST',
            '/tables/transact',
            TransactRequest(writes=writes),
        )
        if isinstance(answer, WholeAnswer) and answer.status == _CONFLICT:
            return _decoded(answer, Conflict)
        return _expect(answer, Committed)

    def list_instances(self) -> Listing | Unavailable:
        """
        Read the list of instances.

        :returns: the list, or why there is none.
        """
        answer = self._caller.call(self._address, 'GET', '/list')
        return _expect(answer, Listing)

    def put(self, key: str, content: bytes) -> bool | Unavailable:
        """
        Store an object.

        :param key: name of the object.
        :param content: its bytes.
        :returns: true when stored, or why it is not known.
        """
        path = f'/objects/{quote(key, safe="/")}'
        answer = self._caller.call_raw(self._address, 'PUT', path, content)
        return _accepted(answer)

    def get(self, key: str) -> bytes | None | Unavailable:
        """
        Read an object.

        :param key: name of the object.
        :returns: its bytes, ``None`` when absent, or why it is not known.
        """
        path = f'/objects/{quote(key, safe="/")}'
        answer = self._caller.call(self._address, 'GET', path)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == _ABSENT:
            return None
        if answer.status != _OK:
            return _unexpected(answer)
        return answer.body


class WorkerControlClient:
    """
    Client of the platform's control of workers.

    :param timeout_s: longest wait for an answer, in seconds.
    """

    def __init__(self, *, timeout_s: Seconds) -> None:
        """Create a client; it connects with its first call."""
        self._caller = _JsonCaller(timeout_s=timeout_s)

    def start(self, address: str, order: StartTask) -> bool | Unavailable:
        """
        Start a task.

        :param address: host and port of the worker's control.
        :param order: what to start, under which token and lease.
        :returns: false when the worker refuses the generation.
        """
        answer = self._caller.call(address, 'POST', '/control/start', order)
        if isinstance(answer, WholeAnswer) and answer.status == _CONFLICT:
            return False
        return _accepted(answer)

    def renew_leases(
        self,
        address: str,
        order: RenewTasks,
    ) -> WorkerReport | Unavailable:
        """
        Prolong leases and read the worker's report.

        :param address: host and port of the worker's control.
        :param order: the tasks and the new end of their leases.
        :returns: the report, or why there is none.
        """
        answer = self._caller.call(address, 'POST', '/control/renew', order)
        return _expect(answer, WorkerReport)

    def stop(
        self,
        address: str,
        job_id: JobId,
        generation: int,
    ) -> bool | Unavailable:
        """
        Checkpoint and stop a task.

        :param address: host and port of the worker's control.
        :param job_id: job of the task.
        :param generation: generation that is to stop.
        :returns: true when the order was taken.
        """
        call = TaskControlRequest(generation_by_job={job_id: generation})
        return _accepted(
            self._caller.call(address, 'POST', '/control/stop', call),
        )

    def throttle(
        self,
        address: str,
        job_id: JobId,
        share: float,
    ) -> bool | Unavailable:
        """
        Limit a task to a share of its processor grant.

        :param address: host and port of the worker's control.
        :param job_id: job of the task.
        :param share: share between 0 and 1.
        :returns: true when the order was taken.
        """
        call = TaskControlRequest(generation_by_job={job_id: 0}, share=share)
        return _accepted(
            self._caller.call(address, 'POST', '/control/throttle', call),
        )

    def discard_reports(
        self,
        address: str,
        generation_by_job: dict[JobId, int],
    ) -> bool | Unavailable:
        """
        Drop reports of ended tasks that the table has recorded.

        :param address: host and port of the worker's control.
        :param generation_by_job: ended generation of each job.
        :returns: true when the order was taken.
        """
        call = TaskControlRequest(generation_by_job=generation_by_job)
        return _accepted(
            self._caller.call(address, 'POST', '/control/forget', call),
        )


class _JsonCaller:
    """Calls with JSON bodies, over one pool an address."""

    def __init__(self, *, timeout_s: Seconds) -> None:
        self._pool_by_address: dict[str, HttpConnectionPool] = {}
        self._timeouts = Timeouts(first_byte_s=timeout_s, total_s=timeout_s)

    def call(
        self,
        address: str,
        method: str,
        path: str,
        document: Any = None,
    ) -> WholeAnswer | Unavailable:
        body = b'' if document is None else encode_json(document)
        return self.call_raw(address, method, path, body)

    def call_raw(
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


def _expect(
    answer: WholeAnswer | Unavailable,
    kind: type[_Kind],
) -> _Kind | Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    if answer.status != _OK:
        return _unexpected(answer)
    return _decoded(answer, kind)


def _decoded(answer: WholeAnswer, kind: type[_Kind]) -> _Kind | Unavailable:
    document = decode_json(answer.body, kind)
    if isinstance(document, Malformed):
        return Unavailable(
            reason=f'platform sent no {kind.__name__}: {document.reason}',
            is_effect_possible=True,
        )
    return document


def _accepted(answer: WholeAnswer | Unavailable) -> bool | Unavailable:
    if isinstance(answer, Unavailable):
        return answer
    if answer.status != _OK:
        return _unexpected(answer)
    return True


def _unexpected(answer: WholeAnswer) -> Unavailable:
    return Unavailable(
        reason=f'platform answered status {answer.status}, expected {_OK}',
        is_effect_possible=answer.status != _UNAVAILABLE,
    )

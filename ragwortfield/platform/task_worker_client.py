"""Calls to the platform's workers."""

from functools import lru_cache
from http import HTTPStatus
from typing import Any

import msgspec

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import Broken, NotSent, WholeAnswer
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseOrder,
    LeaseReport,
    ListedEnd,
    ListedRun,
    OrderDone,
    OrderOutcome,
    OrderRefused,
    PaceRun,
    Refusal,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.types import Seconds

#: Longest wait for the answer to an order, in seconds.
_ORDER_TIMEOUT_S: Seconds = 1
_MS_PER_S = 1000
#: Place of the reading in a row of ``running``.
_READING = 4
_JSON = ('content-type', 'application/json')
_INCARNATION_FIELD = 'x-ragwortfield-expected-instance'
#: Names of tasks whose parts are kept: each report lists all that runs.
_TASK_NAMES_KEPT = 16_384
#: Orders under way to one worker; it admits 64 connections in all.
_ORDERS_AT_ONCE = 16


class _WireAnswer(msgspec.Struct):
    """Answer to an order."""

    clock_ms: int = 0
    reason: str = ''


class _WireReport(msgspec.Struct):
    """
    Answer to a hold.

    ``born`` is the Unix millisecond of the worker's start; rows of
    ``running`` may have a fifth entry, the reading of the last half second.
    """

    clock_ms: int
    running: list[list[Any]] = []
    ended: list[tuple[int, str, int, str, str]] = []
    born: int = 0


class TaskWorkerClient:
    """Orders to workers and looks at them."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._pool_by_address: dict[str, HttpConnectionPool] = {}

    def renew_lease(
        self,
        order: LeaseOrder,
    ) -> LeaseReport | OrderRefused | Unavailable:
        """
        Extend the lease and read what runs and what ended.

        :param order: the extension.
        :returns: the worker's report, or why there is none.
        """
        body: dict[str, Any] = {
            'fence_token': order.fencing_token,
            'ack_cursor': order.acknowledged_end,
        }
        if order.deadline_ms is not None:
            body['deadline_ms'] = order.deadline_ms
        if order.wait_ms:
            body['wait_ms'] = order.wait_ms
        answer = self._post(
            order.address,
            '/hold',
            body,
            order.worker_id,
            _ORDER_TIMEOUT_S + order.wait_ms / _MS_PER_S,
        )
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != HTTPStatus.OK:
            return _refusal(answer)
        return _report(answer)

    def start(self, order: StartRun) -> OrderOutcome:
        """
        Start a run.

        :param order: the order.
        :returns: what is certain about it.
        """
        body: dict[str, Any] = {
            'task': _task_name(order.key),
            'run': order.run,
            'spec': order.spec,
            'deadline_ms': order.deadline_ms,
            'fence_token': order.fencing_token,
        }
        if order.checkpoint:
            body['last_checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return self._order(order.address, '/run-start', body, order.worker_id)

    def stop(self, order: StopRun) -> OrderOutcome:
        """
        Stop a run.

        :param order: the order.
        :returns: what is certain about it.
        """
        body = {
            'task': _task_name(order.key),
            'run': order.run,
            'fence_token': order.fencing_token,
        }
        return self._order(order.address, '/run-stop', body, order.worker_id)

    def pace(self, order: PaceRun) -> OrderOutcome:
        """
        Set the speed of a run.

        :param order: the order.
        :returns: what is certain about it.
        """
        body = {
            'task': _task_name(order.key),
            'run': order.run,
            'percent': order.percent,
            'fence_token': order.fencing_token,
        }
        return self._order(order.address, '/pace', body, order.worker_id)

    def close_connections(self, address: str) -> None:
        """
        Close the connections to a worker that left.

        :param address: its address.
        """
        pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            pool.close_idle()

    def _order(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        worker_id: str,
    ) -> OrderOutcome:
        answer = self._post(address, path, body, worker_id, _ORDER_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != HTTPStatus.OK:
            return _refusal(answer)
        clock_ms = _clock_ms(answer)
        if clock_ms is None:
            return _unreadable(answer)
        return OrderDone(clock_ms=clock_ms)

    def _post(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        worker_id: str,
        timeout_s: Seconds,
    ) -> WholeAnswer | Unavailable:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_address[address] = pool
        request = HttpRequest(
            method='POST',
            path=path,
            fields=(_JSON, (_INCARNATION_FIELD, worker_id)),
            body=msgspec.json.encode(body),
        )
        timeouts = Timeouts(first_byte_s=timeout_s, total_s=timeout_s)
        outcome = pool.exchange(request, timeouts)
        if isinstance(outcome, NotSent):
            return Unavailable(reason=outcome.reason)
        if isinstance(outcome, Broken):
            # The other idle connections may be as dead as this one.
            pool.retire_connections()
            return Unavailable(reason=outcome.reason, is_effect_possible=True)
        return outcome


@lru_cache(maxsize=_TASK_NAMES_KEPT)
def parse_task_name(name: str) -> TaskKey | None:
    """
    Read a task's name on the wire: ID.K.STEP.INDEX.

    :param name: the name.
    :returns: the task's identity; ``None`` when it has another form.
    """
    parts = name.split('.')
    numbers = parts[1:]
    if len(parts) != len(TaskKey._fields):
        return None
    if not all(one.isascii() and one.isdigit() for one in numbers):
        return None
    return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def _task_name(key: TaskKey) -> str:
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'


def _clock_ms(answer: WholeAnswer) -> int | None:
    try:
        return msgspec.json.decode(answer.body, type=_WireAnswer).clock_ms
    except msgspec.DecodeError:
        return None


def _unreadable(answer: WholeAnswer) -> Unavailable:
    return Unavailable(
        reason=f'unreadable answer of a worker: {answer.body[:60]!r}',
        is_effect_possible=True,
    )


def _refusal(answer: WholeAnswer) -> OrderRefused | Unavailable:
    try:
        body = msgspec.json.decode(answer.body or b'{}', type=_WireAnswer)
    except msgspec.DecodeError:
        return _unreadable(answer)
    clock_ms = body.clock_ms
    if answer.status == HTTPStatus.CONFLICT:
        try:
            refusal = Refusal(body.reason)
        except ValueError:
            refusal = Refusal.MALFORMED
        return OrderRefused(refusal=refusal, clock_ms=clock_ms)
    # By number: a worker may send one that HTTPStatus has no name for.
    refusal_by_status: dict[int, Refusal] = {
        HTTPStatus.MISDIRECTED_REQUEST: Refusal.OTHER_INCARNATION,
        HTTPStatus.TOO_MANY_REQUESTS: Refusal.UNHEALTHY,
        HTTPStatus.SERVICE_UNAVAILABLE: Refusal.UNHEALTHY,
        HTTPStatus.BAD_REQUEST: Refusal.MALFORMED,
    }
    known = refusal_by_status.get(answer.status)
    if known is None:
        return Unavailable(
            reason=f'a worker said {answer.status}',
            is_effect_possible=True,
        )
    return OrderRefused(refusal=known, clock_ms=clock_ms)


def _report(answer: WholeAnswer) -> LeaseReport | Unavailable:
    try:
        body = msgspec.json.decode(answer.body, type=_WireReport)
        return LeaseReport(
            clock_ms=body.clock_ms,
            born_ms=body.born,
            runs=tuple(_run(row) for row in body.running),
            ends=tuple(_end(row) for row in body.ended),
        )
    except (msgspec.DecodeError, ValueError, LookupError):
        return _unreadable(answer)


def _run(row: list[Any]) -> ListedRun:
    reading = float(row[_READING]) if len(row) > _READING else None
    return ListedRun(
        key=_key(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2]),
        percent=float(row[3]),
        reading=reading,
    )


def _end(row: tuple[int, str, int, str, str]) -> ListedEnd:
    return ListedEnd(
        number=row[0],
        key=_key(row[1]),
        run=row[2],
        kind=EndKind(row[3]),
        checkpoint=row[4],
    )


def _key(name: str) -> TaskKey:
    key = parse_task_name(name)
    if key is None:
        raise ValueError(f'task name {name!r}, expected ID.K.STEP.INDEX')
    return key

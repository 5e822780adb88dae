"""HTTP client of the platform's workers."""

from functools import lru_cache
from http import HTTPStatus
from typing import Any

import msgspec

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.adapters.json_codec import DECODE_ERRORS
from ragwortfield.core.outcomes import (
    Broken,
    ExchangeOutcome,
    NotSent,
    WholeAnswer,
)
from ragwortfield.platform.bounded_types import (
    MAX_EXACT_INTEGER,
    Amount,
    PositiveNumber,
    WholeNumber,
)
from ragwortfield.platform.worker_connections import (
    MAX_CONCURRENT_ORDERS,
    MAX_TURN_WAIT_S,
    WorkerConnections,
)
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    ConnectionUse,
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

#: Longest wait for the response to an order, in seconds.
_ORDER_TIMEOUT_S: Seconds = 1
_MS_PER_S = 1000
#: Decimal places of a reading that are kept. Amounts far below one would let
#: later divisions overflow.
_READING_DIGITS = 3
#: Errors that reading a report raises; the names of tasks and the kinds of
#: their ends are checked after decoding.
_REPORT_ERRORS = (*DECODE_ERRORS, ValueError)
_JSON_HEADER = ('content-type', 'application/json')
#: Field with the identifier of the worker that an order is meant for; any other
#: worker refuses it.
INCARNATION_HEADER = 'x-ragwortfield-expected-instance'
#: Largest number of parsed task names in the cache. Each report lists all
#: running tasks, so the same names are parsed again and again.
_MAX_CACHED_TASK_NAMES = 16_384


class _WireOrderResponse(msgspec.Struct):
    """Response to an order."""

    clock_ms: WholeNumber = 0
    reason: str = ''


class _WireRun(msgspec.Struct, array_like=True):
    """Running task; ``reading`` covers the last half second."""

    task: str
    run: WholeNumber
    checkpoint: str
    percent: Amount
    reading: Any = None


class _WireEnd(msgspec.Struct, array_like=True):
    """Ended run, with its number within the worker's incarnation."""

    number: PositiveNumber
    task: str
    run: WholeNumber
    kind: str
    checkpoint: str


class _WireReport(msgspec.Struct):
    """
    Response to the renewal of a lease.

    ``born`` is the Unix time of the worker's start in milliseconds.
    """

    clock_ms: WholeNumber
    running: list[_WireRun] = []
    ended: list[_WireEnd] = []
    born: WholeNumber = 0


class _WireBirth(msgspec.Struct):
    """Part of a report that names the process; see ``_WireReport``."""

    born: WholeNumber = 0


class TaskWorkerClient:
    """
    HTTP client that sends orders to workers and polls their reports.

    A worker that restarts keeps its identifier and its address, while its clock
    starts anew. So an order with a deadline is only sent over a connection that
    leads to the process for whose clock the deadline was computed.

    A client serves one owner of a shard.
    """

    def __init__(self) -> None:
        """Create a client; it connects to a worker on the first order."""
        self._is_closed = False
        self._connections_by_address: dict[str, WorkerConnections] = {}

    def renew_lease(
        self,
        order: LeaseOrder,
    ) -> LeaseReport | OrderRefused | Unavailable:
        """
        Extend the lease, and read the running and the ended runs.

        Without an idle connection to the process that the order is for, the
        lease is not extended and nothing is acknowledged; the report then tells
        which process has answered.

        :param order: new expiry of the lease and acknowledged ends.
        :returns: the worker's report, or why there is none.
        """
        self.get_connections(order.address).close_spare()
        answer: WholeAnswer | Unavailable | None = None
        if order.deadline_ms is not None:
            answer = self._extend_lease(order, order.deadline_ms)
        is_applied = answer is not None
        if answer is None:
            answer = self._poll(order)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != HTTPStatus.OK:
            return _parse_refusal(answer)
        return _parse_report(answer, is_order_applied=is_applied)

    def start(self, order: StartRun) -> OrderOutcome:
        """
        Start a run.

        :param order: the run to start.
        :returns: whether the worker carried out or refused the order, as far
            as known.
        """
        body: dict[str, Any] = {
            'task': _format_task_name(order.key),
            'run': order.run,
            'spec': order.spec,
            'deadline_ms': order.deadline_ms,
            'fence_token': order.fencing_token,
        }
        if order.checkpoint:
            body['last_checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        request = _make_request('/run-start', body, order.worker_id)
        connections = self.get_connections(order.address)
        with connections.await_turn() as is_turn:
            if not is_turn:
                return _make_turn_error(order.address)
            return self._start_on_process(order, request)

    def stop(self, order: StopRun) -> OrderOutcome:
        """
        Stop a run.

        :param order: the run to stop.
        :returns: whether the worker carried out or refused the order, as far
            as known.
        """
        body = {
            'task': _format_task_name(order.key),
            'run': order.run,
            'fence_token': order.fencing_token,
        }
        return self._send_order(
            order.address, '/run-stop', body, order.worker_id
        )

    def pace(self, order: PaceRun) -> OrderOutcome:
        """
        Set the pace of a run.

        :param order: the run and its pace.
        :returns: whether the worker carried out or refused the order, as far
            as known.
        """
        body = {
            'task': _format_task_name(order.key),
            'run': order.run,
            'percent': order.percent,
            'fence_token': order.fencing_token,
        }
        return self._send_order(order.address, '/pace', body, order.worker_id)

    def get_connection_use(self) -> ConnectionUse:
        """
        Count the connections to all workers.

        :returns: open connections and those that workers have refused.
        """
        all_connections = self._connections_by_address.values()
        open_counts = [one.count_open() for one in all_connections]
        return ConnectionUse(
            open_count=sum(open_counts),
            most_per_worker=max(open_counts, default=0),
            refused_count=sum(one.refused_count for one in all_connections),
        )

    def close(self) -> None:
        """
        Send no further orders and close the connections.

        Those in use are closed after their exchange.
        """
        self._is_closed = True
        for connections in self._connections_by_address.values():
            connections.close()

    def get_connections(self, address: str) -> WorkerConnections:
        """
        Get the connections to a worker.

        :param address: host and port of the worker.
        :returns: its connections; opened when they are used.
        """
        connections = self._connections_by_address.get(address)
        if connections is None:
            connections = WorkerConnections(address=address)
            self._connections_by_address[address] = connections
            if self._is_closed:
                connections.close()
        return connections

    def _send_order(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        worker_id: str,
    ) -> OrderOutcome:
        connections = self.get_connections(address)
        with connections.await_turn() as is_turn:
            if not is_turn:
                return _make_turn_error(address)
            outcome = connections.orders.exchange(
                _make_request(path, body, worker_id), _make_timeouts()
            )
            return _parse_order_answer(_convert_outcome(connections, outcome))

    def _start_on_process(
        self, order: StartRun, request: HttpRequest
    ) -> OrderOutcome:
        answer = self._post_to_process(order, request)
        if answer is None:
            failure = self._connect_to_process(order)
            if failure is not None:
                return failure
            answer = self._post_to_process(order, request)
        if answer is None:
            return Unavailable(
                reason=f'{order.address} keeps no connection open'
            )
        return _parse_order_answer(answer)

    def _extend_lease(
        self, order: LeaseOrder, deadline_ms: int
    ) -> WholeAnswer | Unavailable | None:
        """
        Extend the lease over an idle connection to the worker's process.

        :returns: the answer; ``None`` if there is no such connection.
        """
        body: dict[str, Any] = {
            'fence_token': order.fencing_token,
            'ack_cursor': order.acknowledged_end,
            'deadline_ms': deadline_ms,
        }
        if order.wait_ms:
            body['wait_ms'] = order.wait_ms
        return self._post_to_process(
            order,
            _make_request('/hold', body, order.worker_id),
            order.wait_ms / _MS_PER_S,
        )

    def _poll(self, order: LeaseOrder | StartRun) -> WholeAnswer | Unavailable:
        """Read a report, and learn to which process a connection leads."""
        connections = self.get_connections(order.address)
        body = {'fence_token': order.fencing_token, 'ack_cursor': 0}
        outcome = _get_pool(connections, order).exchange(
            _make_request('/hold', body, order.worker_id),
            _make_timeouts(),
            read_peer=_read_process,
        )
        return _convert_outcome(connections, outcome)

    def _connect_to_process(
        self, order: StartRun
    ) -> OrderRefused | Unavailable | None:
        """
        Find a connection to the process that a start is for.

        :returns: why there is none; ``None`` if that process has answered.
        """
        answer = self._poll(order)
        if isinstance(answer, Unavailable):
            return Unavailable(reason=answer.reason)
        if answer.status != HTTPStatus.OK:
            return _parse_refusal(answer)
        expected = _format_process(order.born_ms)
        answering = _read_process(answer)
        if expected and answering == expected:
            return None
        return Unavailable(
            reason=f'process {answering!r} answers at {order.address}, '
            f'expected {expected!r}'
        )

    def _post_to_process(
        self,
        order: LeaseOrder | StartRun,
        request: HttpRequest,
        wait_s: Seconds = 0,
    ) -> WholeAnswer | Unavailable | None:
        """
        Send a request over an idle connection to the process it is for.

        :returns: the answer; ``None`` if there is no such connection.
        """
        connections = self.get_connections(order.address)
        outcome = _get_pool(connections, order).exchange_with_peer(
            _format_process(order.born_ms), request, _make_timeouts(wait_s)
        )
        if isinstance(outcome, NotSent):
            return None
        return _convert_outcome(connections, outcome)


@lru_cache(maxsize=_MAX_CACHED_TASK_NAMES)
def parse_task_name(name: str) -> TaskKey | None:
    """
    Parse the wire format of a task's name, ``JOB.OCCURRENCE.STEP.INDEX``.

    :param name: name of the task.
    :returns: key of the task; ``None`` when the name has another format.
    """
    parts = name.split('.')
    numbers = parts[1:]
    if len(parts) != len(TaskKey._fields):
        return None
    if not all(number.isascii() and number.isdigit() for number in numbers):
        return None
    return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def _make_request(
    path: str, body: dict[str, Any], worker_id: str
) -> HttpRequest:
    return HttpRequest(
        method='POST',
        path=path,
        fields=(_JSON_HEADER, (INCARNATION_HEADER, worker_id)),
        body=msgspec.json.encode(body),
    )


def _make_timeouts(wait_s: Seconds = 0) -> Timeouts:
    timeout_s = _ORDER_TIMEOUT_S + wait_s
    return Timeouts(first_byte_s=timeout_s, total_s=timeout_s)


def _get_pool(
    connections: WorkerConnections, order: LeaseOrder | StartRun
) -> HttpConnectionPool:
    if isinstance(order, LeaseOrder):
        return connections.polls
    return connections.orders


def _convert_outcome(
    connections: WorkerConnections, outcome: ExchangeOutcome
) -> WholeAnswer | Unavailable:
    connections.record_outcome(outcome)
    if isinstance(outcome, NotSent):
        return Unavailable(reason=outcome.reason)
    if isinstance(outcome, Broken):
        # The other idle connections to the worker may be dead as well.
        connections.retire()
        return Unavailable(
            reason=outcome.reason,
            is_effect_possible=True,
            is_known_connection=outcome.is_reused,
        )
    return outcome


def _make_turn_error(address: str) -> Unavailable:
    return Unavailable(
        reason=f'{MAX_CONCURRENT_ORDERS} orders to {address} have been under '
        f'way for {MAX_TURN_WAIT_S} s'
    )


def _format_process(born_ms: int) -> str:
    return str(born_ms) if born_ms else ''


def _read_process(answer: WholeAnswer) -> str:
    if answer.status != HTTPStatus.OK:
        return ''
    try:
        birth = msgspec.json.decode(answer.body, type=_WireBirth)
    except DECODE_ERRORS:
        return ''
    return _format_process(birth.born)


def _parse_order_answer(answer: WholeAnswer | Unavailable) -> OrderOutcome:
    if isinstance(answer, Unavailable):
        return answer
    if answer.status != HTTPStatus.OK:
        return _parse_refusal(answer)
    clock_ms = _parse_clock_ms(answer)
    if clock_ms is None:
        return _make_malformed_error(answer)
    return OrderDone(clock_ms=clock_ms)


def _format_task_name(key: TaskKey) -> str:
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'


def _parse_clock_ms(answer: WholeAnswer) -> int | None:
    try:
        return msgspec.json.decode(
            answer.body, type=_WireOrderResponse
        ).clock_ms
    except DECODE_ERRORS:
        return None


def _make_malformed_error(answer: WholeAnswer) -> Unavailable:
    return Unavailable(
        reason=f'malformed response of a worker: {answer.body[:60]!r}',
        is_effect_possible=True,
    )


def _parse_refusal(answer: WholeAnswer) -> OrderRefused | Unavailable:
    try:
        body = msgspec.json.decode(
            answer.body or b'{}', type=_WireOrderResponse
        )
    except DECODE_ERRORS:
        return _make_malformed_error(answer)
    clock_ms = body.clock_ms
    if answer.status == HTTPStatus.CONFLICT:
        try:
            refusal = Refusal(body.reason)
        except ValueError:
            refusal = Refusal.MALFORMED
        return OrderRefused(refusal=refusal, clock_ms=clock_ms)
    # The key is the number, since a worker may send a status that HTTPStatus
    # does not define.
    refusal_by_status: dict[int, Refusal] = {
        HTTPStatus.MISDIRECTED_REQUEST: Refusal.OTHER_INCARNATION,
        HTTPStatus.TOO_MANY_REQUESTS: Refusal.UNHEALTHY,
        HTTPStatus.SERVICE_UNAVAILABLE: Refusal.UNHEALTHY,
        HTTPStatus.BAD_REQUEST: Refusal.MALFORMED,
    }
    refusal_of_status = refusal_by_status.get(answer.status)
    if refusal_of_status is None:
        return Unavailable(
            reason=f'worker responded {answer.status}',
            is_effect_possible=True,
        )
    return OrderRefused(refusal=refusal_of_status, clock_ms=clock_ms)


def _parse_report(
    answer: WholeAnswer, *, is_order_applied: bool
) -> LeaseReport | Unavailable:
    try:
        body = msgspec.json.decode(answer.body, type=_WireReport)
        return LeaseReport(
            clock_ms=body.clock_ms,
            born_ms=body.born,
            runs=tuple(_parse_run(row) for row in body.running),
            ends=tuple(_parse_end(row) for row in body.ended),
            is_order_applied=is_order_applied,
        )
    except _REPORT_ERRORS:
        # The rest of the report could be read, but it would neither say which
        # runs are over nor up to which number ends can be acknowledged.
        return _make_malformed_error(answer)


def _parse_run(wire: _WireRun) -> ListedRun:
    return ListedRun(
        key=_parse_key(wire.task),
        run=wire.run,
        checkpoint=wire.checkpoint,
        percent=wire.percent,
        reading=_parse_reading(wire.reading),
    )


def _parse_reading(reading: Any) -> float | None:
    # Readings are rough figures that only paces depend on, so one that cannot
    # be used counts as not reported, and the rest of the report holds.
    if isinstance(reading, bool) or not isinstance(reading, int | float):
        return None
    if not 0 <= reading <= MAX_EXACT_INTEGER:
        return None
    return round(reading, _READING_DIGITS)


def _parse_end(wire: _WireEnd) -> ListedEnd:
    return ListedEnd(
        number=wire.number,
        key=_parse_key(wire.task),
        run=wire.run,
        kind=EndKind(wire.kind),
        checkpoint=wire.checkpoint,
    )


def _parse_key(name: str) -> TaskKey:
    key = parse_task_name(name)
    if key is None:
        raise ValueError(
            f'task name {name!r}, expected JOB.OCCURRENCE.STEP.INDEX'
        )
    return key

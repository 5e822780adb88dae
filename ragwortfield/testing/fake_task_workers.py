"""In-memory fakes of task workers and of the port to them."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ragwortfield.core.resources import Resources
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    ConnectionUse,
    EndKind,
    LeaseOrder,
    LeaseReport,
    ListedEnd,
    ListedRun,
    ListedWorker,
    OrderDone,
    OrderOutcome,
    OrderRefused,
    PaceRun,
    Refusal,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

_MS_PER_S = 1000
_Order = StartRun | StopRun | LeaseOrder | PaceRun


@dataclass(kw_only=True, slots=True)
class _Run:
    run: int
    checkpoint: str
    started_at: MonotonicTime
    percent: float = 0
    pace: int = 100
    stops_at: MonotonicTime = math.inf

    def is_started_by(self, order: StartRun) -> bool:
        # A run that is being stopped counts as one that was stopped.
        return self.run == order.run and math.isinf(self.stops_at)


@dataclass(kw_only=True, slots=True)
class FakeTaskWorker:
    """
    Fake task worker with its own clock, one lease and fencing.

    :param clock: time of the test, in seconds.
    :param clock_rate: speed of the worker's own clock relative to ``clock``.
    :param longest_lease_s: limit of each extension of the lease, in seconds
        by the worker's clock.
    :param is_guarded: whether the worker enforces its capacity; the fake does
        not apply it.
    :param is_reachable: whether orders reach the worker.
    :param born_at: reading of ``clock`` when the worker started.
    :param is_draining: whether the worker says that it will leave.
    :param stop_s: time from the answer to a stop order to the end of the run,
        in seconds; until then the run goes on and is listed as running.
    :param highest_fencing_token: highest token seen; orders with a lower one
        are refused.
    :param lease_end_ms: end of the lease by the worker's clock.
    :param ends: ends that the owner has not acknowledged yet.
    :param highest_run_by_key: highest run of each task that was started or
        stopped; starts up to it are refused.
    :param last_end_number: number of the last end.
    :param last_end_at_expiries: for each expiry of the lease, the number of
        the last end before it.
    :param history: kind, time, task, run and detail of each start, end, loss
        and acknowledged end, for tests to check.
    """

    worker_id: WorkerId
    clock: Callable[[], MonotonicTime]
    capacity: Resources = field(default_factory=Resources)
    pool: str = 'pool'
    labels: tuple[str, ...] = ('kind', 'rack-1')
    rack: str = 'rack-1'
    clock_rate: float = 1
    longest_lease_s: float = 10
    is_guarded: bool = True
    is_reachable: bool = True
    born_at: MonotonicTime = 0
    is_draining: bool = False
    stop_s: Seconds = 0
    highest_fencing_token: int = 0
    lease_end_ms: float = 0
    run_by_key: dict[TaskKey, _Run] = field(default_factory=dict)
    resources_by_key: dict[TaskKey, Resources] = field(default_factory=dict)
    ends: list[ListedEnd] = field(default_factory=list)
    highest_run_by_key: dict[TaskKey, int] = field(default_factory=dict)
    last_end_number: int = 0
    is_lease_expired: bool = True
    last_end_at_expiries: list[int] = field(default_factory=list)
    history: list[tuple[str, MonotonicTime, TaskKey, int, str]] = field(
        default_factory=list,
    )

    def now_ms(self) -> float:
        """
        Read the worker's own clock.

        :returns: milliseconds since the worker started.
        """
        return (self.clock() - self.born_at) * self.clock_rate * _MS_PER_S

    def listing(self) -> ListedWorker:
        """
        Return the worker's entry in the list of workers.

        :returns: the entry.
        """
        return ListedWorker(
            worker_id=self.worker_id,
            pool=self.pool,
            address=f'{self.worker_id}:1',
            data_centre='dc',
            capacity=self.capacity,
            labels=self.labels,
            rack=self.rack,
            clock_ms=int(self.now_ms()),
            born_ms=int(self.born_at * _MS_PER_S),
        )

    def restart(self) -> None:
        """Crash and start again under the same name, with all state lost."""
        self.lose_runs()
        self.born_at = self.clock()
        self.highest_fencing_token = 0
        self.lease_end_ms = 0
        self.ends.clear()
        self.highest_run_by_key.clear()
        self.last_end_number = 0
        self.is_lease_expired = True
        self.last_end_at_expiries.clear()

    def lose_runs(self) -> None:
        """Lose all runs without listing their ends."""
        for key, run in self.run_by_key.items():
            self._record('lost', key, run.run, '')
        self.run_by_key.clear()

    def expire_lease(self) -> None:
        """End the runs whose stop is over, and all if the lease has expired."""
        self._end_stopped_runs()
        if self.now_ms() <= self.lease_end_ms or self.is_lease_expired:
            return
        self.is_lease_expired = True
        self.last_end_at_expiries.append(self.last_end_number)
        if self.run_by_key:
            for key in tuple(self.run_by_key):
                self.end(key, EndKind.LEASE_EXPIRED)

    def end(self, key: TaskKey, kind: EndKind, checkpoint: str = '') -> None:
        """
        End the run of a task and list the end.

        :param key: the task.
        :param kind: how the run ends.
        :param checkpoint: checkpoint that is listed with the end.
        """
        run = self.run_by_key.pop(key)
        self.last_end_number += 1
        self.ends.append(
            ListedEnd(
                number=self.last_end_number,
                key=key,
                run=run.run,
                kind=kind,
                checkpoint=checkpoint,
            ),
        )
        self._record('end', key, run.run, kind.value)

    def renew_lease(self, order: LeaseOrder) -> LeaseReport | OrderRefused:
        """
        Extend the lease and drop the acknowledged ends.

        :param order: fencing token, new deadline and acknowledged ends.
        :returns: running tasks and ends not acknowledged yet, or a refusal.
        """
        self.expire_lease()
        if not self._accept_token(order.fencing_token):
            return self._refuse(Refusal.FENCED)
        if order.deadline_ms is not None:
            self._extend_lease(order.deadline_ms)
        for end in self.ends:
            if end.number <= order.acknowledged_end:
                self._record_acknowledged_end(end)
        self.ends = [
            end for end in self.ends if end.number > order.acknowledged_end
        ]
        return LeaseReport(
            clock_ms=int(self.now_ms()),
            born_ms=int(self.born_at * _MS_PER_S),
            runs=tuple(
                ListedRun(
                    key=key,
                    run=run.run,
                    checkpoint=run.checkpoint,
                    percent=run.percent,
                )
                for key, run in self.run_by_key.items()
            ),
            ends=tuple(self.ends),
        )

    def start(self, order: StartRun) -> OrderOutcome:
        """
        Start a run and extend the lease.

        :param order: the start order.
        :returns: done, also when this run is running already, or a refusal.
        """
        self.expire_lease()
        if not self._accept_token(order.fencing_token):
            return self._refuse(Refusal.FENCED)
        current_run = self.run_by_key.get(order.key)
        if current_run is not None and current_run.is_started_by(order):
            return OrderDone(clock_ms=int(self.now_ms()))
        if order.deadline_ms < self.now_ms():
            return self._refuse(Refusal.DEADLINE_PASSED)
        self._extend_lease(order.deadline_ms)
        if order.run <= self.highest_run_by_key.get(order.key, 0):
            return self._refuse(Refusal.SUPERSEDED)
        self.run_by_key[order.key] = _Run(
            run=order.run,
            checkpoint=order.checkpoint,
            started_at=self.clock(),
        )
        self.highest_run_by_key[order.key] = order.run
        self._record('start', order.key, order.run, order.checkpoint)
        return OrderDone(clock_ms=int(self.now_ms()))

    def stop(self, order: StopRun) -> OrderOutcome:
        """
        Stop a run, and refuse later starts of it and of earlier runs.

        :param order: the stop order.
        :returns: done, also when the task does not run, or a refusal.
        """
        self.expire_lease()
        if not self._accept_token(order.fencing_token):
            return self._refuse(Refusal.FENCED)
        highest = self.highest_run_by_key.get(order.key, 0)
        self.highest_run_by_key[order.key] = max(highest, order.run)
        current_run = self.run_by_key.get(order.key)
        if current_run is not None and current_run.run <= order.run:
            # A stop that is under way is not begun again.
            current_run.stops_at = min(
                current_run.stops_at, self.clock() + self.stop_s
            )
            self._end_stopped_runs()
        return OrderDone(clock_ms=int(self.now_ms()))

    def pace(self, order: PaceRun) -> OrderOutcome:
        """
        Set the pace of a run.

        :param order: the order, with the pace in percent of full speed.
        :returns: done, also when the task does not run, or a refusal.
        """
        if not self._accept_token(order.fencing_token):
            return self._refuse(Refusal.FENCED)
        current_run = self.run_by_key.get(order.key)
        if current_run is not None:
            current_run.pace = order.percent
        return OrderDone(clock_ms=int(self.now_ms()))

    def _end_stopped_runs(self) -> None:
        # What the end of the lease has ended before has lapsed.
        now = self.clock()
        lease_s = self.lease_end_ms / self.clock_rate / _MS_PER_S
        ended_by = min(now, self.born_at + lease_s)
        for key, run in tuple(self.run_by_key.items()):
            if run.stops_at <= ended_by:
                self.end(key, EndKind.STOPPED, f'saved-{run.run}')

    def _record_acknowledged_end(self, end: ListedEnd) -> None:
        # An end does not count when the lease expired between the end and
        # its acknowledgement.
        is_lease_expired = any(
            last_number >= end.number
            for last_number in self.last_end_at_expiries
        )
        record_kind = 'noted-late' if is_lease_expired else 'noted'
        self._record(record_kind, end.key, end.run, end.kind.value)

    def _accept_token(self, fencing_token: int) -> bool:
        if fencing_token < self.highest_fencing_token:
            return False
        self.highest_fencing_token = fencing_token
        return True

    def _extend_lease(self, deadline_ms: float) -> None:
        longest_end_ms = self.now_ms() + self.longest_lease_s * _MS_PER_S
        granted_end_ms = min(deadline_ms, longest_end_ms)
        self.lease_end_ms = max(self.lease_end_ms, granted_end_ms)
        self.is_lease_expired = self.now_ms() > self.lease_end_ms

    def _refuse(self, refusal: Refusal) -> OrderRefused:
        return OrderRefused(refusal=refusal, clock_ms=int(self.now_ms()))

    def _record(
        self, record_kind: str, key: TaskKey, run: int, detail: str
    ) -> None:
        self.history.append((record_kind, self.clock(), key, run, detail))


@dataclass(kw_only=True, slots=True)
class FakeTaskWorkerControl:
    """
    Fake of the ``TaskWorkerControl`` port that calls fake workers directly.

    :param worker_by_id: workers that orders can be sent to.
    :param is_order_answer_lost: called at each order that is carried out;
        true loses its response.
    :param is_order_delayed: called at each order; true delays the order until
        ``apply_delayed`` and gives no response.
    :param unhealthy_ids: workers that refuse all starts as unhealthy, and do
        nothing.
    :param is_process_checked: whether an order with a deadline only reaches the
        process that it is for, as with the client of the platform's workers.
    :param delayed_orders: orders that are delayed, each with the start time of
        its worker.
    """

    worker_by_id: dict[WorkerId, FakeTaskWorker] = field(default_factory=dict)
    is_order_answer_lost: Callable[[], bool] = field(default=bool)
    is_order_delayed: Callable[[], bool] = field(default=bool)
    unhealthy_ids: set[WorkerId] = field(default_factory=set)
    is_process_checked: bool = False
    delayed_orders: list[tuple[_Order, MonotonicTime]] = field(
        default_factory=list
    )

    def renew_lease(
        self,
        order: LeaseOrder,
    ) -> LeaseReport | OrderRefused | Unavailable:
        """
        Extend a lease.

        :param order: the lease order.
        :returns: the worker's report, a refusal, or why there is none.
        """
        worker = self.worker_by_id.get(order.worker_id)
        is_sent = order.deadline_ms is None or self._is_for_process(
            worker, order.born_ms
        )
        if not is_sent:
            order = replace(order, deadline_ms=None, acknowledged_end=0)
        report = self._carry_out(order, 'renew_lease')
        if isinstance(report, LeaseReport) and not is_sent:
            return replace(report, is_order_applied=False)
        return report

    def start(self, order: StartRun) -> OrderOutcome:
        """
        Start a run.

        :param order: the start order.
        :returns: outcome as the caller sees it.
        """
        worker = self.worker_by_id.get(order.worker_id)
        if not self._is_for_process(worker, order.born_ms):
            return Unavailable(reason='another process answers')
        is_unhealthy = order.worker_id in self.unhealthy_ids
        if worker and worker.is_reachable and is_unhealthy:
            return OrderRefused(
                refusal=Refusal.UNHEALTHY, clock_ms=int(worker.now_ms())
            )
        return self._carry_out(order, 'start')

    def stop(self, order: StopRun) -> OrderOutcome:
        """
        Stop a run.

        :param order: the stop order.
        :returns: outcome as the caller sees it.
        """
        return self._carry_out(order, 'stop')

    def pace(self, order: PaceRun) -> OrderOutcome:
        """
        Set the pace of a run.

        :param order: the order, with the pace in percent of full speed.
        :returns: outcome as the caller sees it.
        """
        return self._carry_out(order, 'pace')

    def get_connection_use(self) -> ConnectionUse:
        """
        Count the connections.

        :returns: none, as the fake is called directly.
        """
        return ConnectionUse()

    def close(self) -> None:
        """Do nothing; the owners of a test share the fake."""

    def apply_delayed(self) -> None:
        """Carry out the delayed orders."""
        delayed_orders = self.delayed_orders
        self.delayed_orders = []
        for order, born_at in delayed_orders:
            worker = self.worker_by_id.get(order.worker_id)
            # A worker that was restarted has lost the orders it had received.
            if worker is not None and worker.born_at == born_at:
                _apply(worker, order)

    def _is_for_process(
        self, worker: FakeTaskWorker | None, born_ms: int
    ) -> bool:
        if worker is None or not self.is_process_checked:
            return True
        return int(worker.born_at * _MS_PER_S) == born_ms

    def _carry_out(self, order, name: str):
        worker = self.worker_by_id.get(order.worker_id)
        if worker is None or not worker.is_reachable:
            return Unavailable(
                reason=f'no response to {name}',
                is_effect_possible=True,
            )
        if self.is_order_delayed():
            self.delayed_orders.append((order, worker.born_at))
            return Unavailable(reason='order delayed', is_effect_possible=True)
        outcome = _apply(worker, order)
        if self.is_order_answer_lost():
            return Unavailable(reason='response lost', is_effect_possible=True)
        return outcome


def _apply(worker: FakeTaskWorker, order: _Order):
    if isinstance(order, StartRun):
        return worker.start(order)
    if isinstance(order, StopRun):
        return worker.stop(order)
    if isinstance(order, PaceRun):
        return worker.pace(order)
    return worker.renew_lease(order)

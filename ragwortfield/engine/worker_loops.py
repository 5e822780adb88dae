"""Leases and orders of a shard's owner on their way to workers."""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ragwortfield.engine.supervisor import Supervisor
from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    LeaseReport,
    OrderOutcome,
    OrderRefused,
    Refusal,
    StartRun,
    StopRun,
    TaskWorkerControl,
)
from ragwortfield.scheduling import interference_control, leases, worker_reports
from ragwortfield.scheduling.shard_state import Order, ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Pause before a failed look at a worker is repeated, in seconds.
_RETRY_S: Seconds = 0.1
#: Pause before the next look while an acknowledgement is held back, in
#: seconds; a start order is answered in less.
_HELD_BACK_S: Seconds = 0.02
#: Longest wait for a commit before ends are looked at again, in seconds.
_ACKNOWLEDGE_WAIT_S: Seconds = 0.25


class WorkerLoops:
    """
    One loop a worker, and the sending of orders.

    :param state: tables of the shard.
    :param workers: calls to workers.
    :param statistics: told of reports and of looks that got none.
    :param on_update: called when something was learned.
    """

    def __init__(
        self,
        *,
        state: ShardState,
        workers: TaskWorkerControl,
        statistics: OwnerStatistics,
        on_update: Callable[[], None],
    ) -> None:
        """Create; ``start_loops`` starts the loops."""
        self.committed = Event()
        self._state = state
        self._workers = workers
        self._statistics = statistics
        self._on_news = on_update
        self._is_stopped = False
        self._loop_by_worker: dict[WorkerId, gevent.Greenlet] = {}
        self._silent_since: dict[WorkerId, MonotonicTime] = {}
        self._sending = Supervisor(name='send_order')

    def start_loops(self) -> None:
        """Start a loop for each worker that has none."""
        for worker_id, row in self._state.worker_by_id.items():
            known = self._loop_by_worker.get(worker_id)
            if row.listed.address and (known is None or known.dead):
                holding = Supervisor(
                    name='hold_worker',
                    pause_s=_RETRY_S,
                    worker=worker_id,
                )
                self._loop_by_worker[worker_id] = gevent.spawn(
                    holding.run,
                    self._hold,
                    worker_id,
                )

    def send_orders(self) -> None:
        """Send the orders that are due, in the background."""
        orders = self._state.orders
        self._state.orders = []
        for order in orders:
            gevent.spawn(self._send, order)

    def stop(self) -> None:
        """Send nothing more."""
        self._is_stopped = True
        gevent.killall(list(self._loop_by_worker.values()), block=False)

    def _send(self, order: Order) -> None:
        if self._is_stopped:
            return
        outcome = self._sending.run_once(self._call, order)
        if self._is_stopped:
            return
        self._sending.run_once(self._take_outcome, order, outcome)
        self._on_news()

    def _call(self, order: Order) -> OrderOutcome:
        if isinstance(order, StartRun):
            return self._workers.start(order)
        if isinstance(order, StopRun):
            return self._workers.stop(order)
        return self._workers.pace(order)

    def _take_outcome(self, order: Order, outcome: OrderOutcome) -> None:
        now = time.monotonic()
        if isinstance(order, StartRun):
            worker_reports.take_start_outcome(self._state, order, outcome, now)
        elif isinstance(order, StopRun):
            worker_reports.take_stop_outcome(self._state, order, outcome)
        else:
            interference_control.apply_pace_outcome(
                self._state, order, outcome, now
            )

    def _hold(self, worker_id: WorkerId) -> None:
        while True:
            row = self._state.worker_by_id.get(worker_id)
            if row is None:
                return
            lease_end_ms = row.lease_end_ms
            order = leases.create_lease_order(
                self._state, row, time.monotonic()
            )
            report = self._workers.renew_lease(order)
            now = time.monotonic()
            if isinstance(report, LeaseReport):
                self._note_heard(worker_id, now)
                self._statistics.record_report(
                    row,
                    now,
                    lease_end_ms=lease_end_ms,
                    clock_ms=report.clock_ms,
                )
                worker_reports.take_report(
                    self._state,
                    row,
                    report,
                    now,
                    acknowledged_to_worker=order.acknowledged,
                )
                interference_control.take_readings(self._state, row, now)
                self._on_news()
                self._await_acknowledgement(row)
                if (
                    not order.acknowledged
                    and row.acknowledged > row.acknowledged_to_worker
                ):
                    # Held back, so the same ends would be listed at once.
                    gevent.sleep(_HELD_BACK_S)
                continue
            self._note_failure(row, report, now)
            gevent.sleep(_RETRY_S)

    def _await_acknowledgement(self, row: WorkerState) -> None:
        # Ends are listed again until they are acknowledged, so the next
        # look waits for the commit that makes their effect durable.
        end = time.monotonic() + _ACKNOWLEDGE_WAIT_S
        left_s = _ACKNOWLEDGE_WAIT_S
        while row.processed_end > row.acknowledged and left_s > 0:
            self.committed.clear()
            self.committed.wait(left_s)
            left_s = end - time.monotonic()

    def _note_heard(self, worker_id: WorkerId, now: MonotonicTime) -> None:
        since = self._silent_since.pop(worker_id, None)
        if since is not None:
            event('worker_heard', worker=worker_id, silent_s=now - since)

    def _note_failure(
        self,
        row: WorkerState,
        failure: OrderRefused | Unavailable,
        now: MonotonicTime,
    ) -> None:
        worker_id = row.worker_id
        self._statistics.record_failed_poll()
        leases.record_missing_report(row)
        if isinstance(failure, Unavailable):
            self._note_silence(row, failure, now)
            return
        event('hold_refused', worker=worker_id, reason=failure.refusal.value)
        if failure.refusal == Refusal.FENCED:
            self._state.is_fenced_off = True
            self._on_news()

    def _note_silence(
        self,
        row: WorkerState,
        failure: Unavailable,
        now: MonotonicTime,
    ) -> None:
        if row.worker_id in self._silent_since:
            return
        self._silent_since[row.worker_id] = now
        event(
            'worker_silent',
            worker=row.worker_id,
            reason=failure.reason,
            tasks=len(row.run_by_key),
            report_age_s=now - row.reported_at if row.first_reported_at else -1,
        )

"""Lease renewal and delivery of orders to the workers of a shard."""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.engine.ownership_keeper import count_suspension
from ragwortfield.engine.supervisor import Supervisor
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
from ragwortfield.scheduling.fence_refusals import record_fence_refusal
from ragwortfield.scheduling.run_log import (
    log_acknowledgement,
    record_start_sent,
)
from ragwortfield.scheduling.shard_state import Order, ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Pause before a failed poll of a worker is retried, in seconds.
_RETRY_S: Seconds = 0.1
#: Pause before the next poll while the acknowledgement of ended runs is held
#: back, in seconds; a start order is answered in less.
_HELD_BACK_PAUSE_S: Seconds = 0.02
#: Longest wait for the commit of ended runs before the next poll, in seconds.
_COMMIT_WAIT_S: Seconds = 0.25


class WorkerLoops:
    """
    Polls each worker of a shard in a loop of its own and sends it orders.

    A poll renews the worker's lease and returns its report.

    :param state: state of the shard.
    :param workers: calls to workers.
    :param statistics: records reports and failed polls.
    :param on_update: called when the state has changed.
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
        self._on_update = on_update
        self._is_stopped = False
        self._loop_by_worker: dict[WorkerId, gevent.Greenlet] = {}
        self._silent_since: dict[WorkerId, MonotonicTime] = {}
        self._refusal_by_worker: dict[WorkerId, Refusal] = {}
        self._order_supervisor = Supervisor(name='send_order')

    def start_loops(self) -> None:
        """Start a loop for each worker without a running one."""
        for worker_id, worker in self._state.worker_by_id.items():
            loop = self._loop_by_worker.get(worker_id)
            if worker.listed.address and (loop is None or loop.dead):
                supervisor = Supervisor(
                    name='hold_worker',
                    pause_s=_RETRY_S,
                    worker=worker_id,
                )
                self._loop_by_worker[worker_id] = gevent.spawn(
                    supervisor.run,
                    self._poll_worker,
                    worker_id,
                )

    def send_orders(self) -> None:
        """Send all queued orders in the background."""
        orders = self._state.orders
        self._state.orders = []
        for order in orders:
            gevent.spawn(self._send, order)

    def describe_connections(self) -> dict[str, int]:
        """
        Count the connections to the workers, for the log.

        :returns: numbers by name.
        """
        use = self._workers.get_connection_use()
        return {
            'connections': use.open_count,
            'most_connections': use.most_per_worker,
            'refused_connections': use.refused_count,
        }

    def stop(self) -> None:
        """Stop all loops, send no further orders and close connections."""
        self._is_stopped = True
        gevent.killall(list(self._loop_by_worker.values()), block=False)
        self._workers.close()

    def _send(self, order: Order) -> None:
        if self._is_stopped:
            return
        # The process may have been paused since the order was created.
        count_suspension(self._state)
        is_confirmed = self._state.confirmation.is_valid(
            self._state.bounds, time.monotonic()
        )
        outcome = worker_reports.WITHHELD_ORDER
        if is_confirmed:
            if isinstance(order, StartRun):
                record_start_sent(self._state, order, time.monotonic())
            outcome = self._order_supervisor.run_once(
                self._send_to_worker, order
            )
        if self._is_stopped:
            return
        self._order_supervisor.run_once(self._apply_outcome, order, outcome)
        self._on_update()

    def _send_to_worker(self, order: Order) -> OrderOutcome:
        if isinstance(order, StartRun):
            return self._workers.start(order)
        if isinstance(order, StopRun):
            return self._workers.stop(order)
        return self._workers.pace(order)

    def _apply_outcome(self, order: Order, outcome: OrderOutcome) -> None:
        now = time.monotonic()
        if isinstance(order, StartRun):
            worker_reports.apply_start_outcome(self._state, order, outcome, now)
        elif isinstance(order, StopRun):
            worker_reports.apply_stop_outcome(self._state, order, outcome, now)
        else:
            interference_control.apply_pace_outcome(
                self._state, order, outcome, now
            )

    def _poll_worker(self, worker_id: WorkerId) -> None:
        while not self._is_stopped:
            worker = self._state.worker_by_id.get(worker_id)
            if worker is None:
                return
            lease_end_ms = worker.lease_end_ms
            count_suspension(self._state)
            order = leases.create_lease_order(
                self._state, worker, time.monotonic()
            )
            report = self._workers.renew_lease(order)
            count_suspension(self._state)
            log_acknowledgement(self._state, worker, order, report)
            now = time.monotonic()
            if isinstance(report, LeaseReport):
                self._log_recovery(worker_id, now)
                leases.record_extension(worker, order, report, now)
                self._statistics.record_report(
                    worker,
                    now,
                    lease_end_ms=lease_end_ms,
                    clock_ms=report.clock_ms,
                )
                worker_reports.apply_report(
                    self._state,
                    worker,
                    report,
                    now,
                    acknowledged_to_worker=leases.get_sent_acknowledgement(
                        order, report
                    ),
                )
                self._statistics.record_target_miss(
                    interference_control.apply_readings(
                        self._state, worker, now
                    )
                )
                self._on_update()
                self._await_acknowledgement(worker)
                is_held_back = (
                    not order.acknowledged_end
                    and worker.acknowledged_end > worker.acknowledged_to_worker
                )
                if is_held_back or not report.is_order_applied:
                    # The next report would list the same ended runs at once.
                    gevent.sleep(_HELD_BACK_PAUSE_S)
                continue
            self._handle_failed_poll(worker, report, now)
            gevent.sleep(_RETRY_S)

    def _await_acknowledgement(self, worker: WorkerState) -> None:
        # A worker lists ended runs until they are acknowledged, so the next
        # poll waits for the commit that makes their effect durable.
        deadline = time.monotonic() + _COMMIT_WAIT_S
        remaining_s = _COMMIT_WAIT_S
        while (
            worker.processed_end > worker.acknowledged_end and remaining_s > 0
        ):
            self.committed.clear()
            self.committed.wait(remaining_s)
            remaining_s = deadline - time.monotonic()

    def _log_recovery(self, worker_id: WorkerId, now: MonotonicTime) -> None:
        self._refusal_by_worker.pop(worker_id, None)
        silent_since = self._silent_since.pop(worker_id, None)
        if silent_since is not None:
            event('worker_heard', worker=worker_id, silent_s=now - silent_since)

    def _handle_failed_poll(
        self,
        worker: WorkerState,
        failure: OrderRefused | Unavailable,
        now: MonotonicTime,
    ) -> None:
        worker_id = worker.worker_id
        self._statistics.record_failed_poll()
        leases.record_missing_report(worker)
        if isinstance(failure, Unavailable):
            self._log_silence(worker, failure, now)
            return
        if self._refusal_by_worker.get(worker_id) != failure.refusal:
            self._refusal_by_worker[worker_id] = failure.refusal
            event(
                'hold_refused', worker=worker_id, reason=failure.refusal.value
            )
        if failure.refusal == Refusal.FENCED and record_fence_refusal(
            self._state, worker, now
        ):
            self._on_update()

    def _log_silence(
        self,
        worker: WorkerState,
        failure: Unavailable,
        now: MonotonicTime,
    ) -> None:
        if worker.worker_id in self._silent_since:
            return
        self._silent_since[worker.worker_id] = now
        event(
            'worker_silent',
            worker=worker.worker_id,
            reason=failure.reason,
            tasks=len(worker.run_by_key),
            report_age_s=now - worker.reported_at
            if worker.first_reported_at
            else -1,
        )

"""Extension of the leases of workers."""

from ragwortfield.ports.task_worker import LeaseOrder, LeaseReport
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime

#: Longest time for which a worker may hold its report back until a run ends,
#: in milliseconds. Readings of its tasks cover the last 500 ms.
_MAX_REPORT_WAIT_MS = 500


def create_lease_order(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
) -> LeaseOrder:
    """
    Create the order that polls a worker and extends its lease.

    The first order of an owner only polls: the lease is extended once the
    worker has reported. So does each order of an owner that may have been
    replaced: its successor counts on the end of the lease.

    :param state: state of the shard.
    :param worker: the worker; the poll and the new end of the lease are
        recorded in it.
    :param now: monotonic time, in seconds.
    :returns: the order; without a deadline if the lease is not extended.
    """
    deadline_ms: int | None = None
    # The lease of a silent worker is left to expire: an extension that may
    # have arrived would delay the moment from which its tasks can run
    # elsewhere.
    is_extended = worker.is_in_contact(
        state.bounds, now
    ) and state.confirmation.is_valid(state.bounds, now)
    if is_extended:
        lease_ms = state.bounds.requested_lease_s() * MS_PER_S
        deadline_ms = int(worker.clock.earliest_ms(now) + lease_ms)
        worker.lease_end_ms = max(worker.lease_end_ms, deadline_ms)
    worker.poll_sent_at = now
    acknowledged_end = (
        _select_acknowledgement(worker, now) if is_extended else 0
    )
    has_unacknowledged = worker.processed_end > worker.acknowledged_end
    return LeaseOrder(
        worker_id=worker.worker_id,
        address=worker.listed.address,
        fencing_token=state.epoch,
        acknowledged_end=acknowledged_end,
        deadline_ms=deadline_ms,
        wait_ms=0
        if has_unacknowledged or not worker.first_reported_at
        else _MAX_REPORT_WAIT_MS,
        born_ms=worker.born_ms,
    )


def get_sent_acknowledgement(order: LeaseOrder, report: LeaseReport) -> int:
    """
    Return the number of the last run end that an order has acknowledged.

    :param order: the order.
    :param report: the worker's answer to it.
    :returns: the number; 0 if the worker was only polled.
    """
    return order.acknowledged_end if report.is_order_applied else 0


def record_extension(
    worker: WorkerState,
    order: LeaseOrder,
    report: LeaseReport,
    now: MonotonicTime,
) -> None:
    """
    Record, for the log, that a worker has accepted an order on its lease.

    :param worker: the worker.
    :param order: the order.
    :param report: the worker's answer to it.
    :param now: monotonic time, in seconds.
    """
    if report.is_order_applied and order.deadline_ms is not None:
        worker.lease_extended_at = now


def record_missing_report(worker: WorkerState) -> None:
    """Record that a poll of a worker ended without a report."""
    worker.is_responding = False
    worker.poll_sent_at = 0


def _select_acknowledgement(worker: WorkerState, now: MonotonicTime) -> int:
    # A restarted worker numbers its ends from the beginning, so a number from
    # before the restart would acknowledge ends that nobody has seen. The new
    # process can only have ends if a run was started since the last report.
    acknowledged_end = _find_settled_end(worker, now)
    is_new = acknowledged_end > worker.acknowledged_to_worker
    if (
        is_new
        and not worker.is_restart_suspected
        and not _has_pending_start(worker)
    ):
        return acknowledged_end
    return 0


def _find_settled_end(worker: WorkerState, now: MonotonicTime) -> int:
    """Return the last durable end before those whose tasks may still start."""
    for number, (leftover, until) in tuple(worker.leftover_by_end.items()):
        if leftover.stage != RunStage.ORDERED or now > until:
            del worker.leftover_by_end[number]
    return min(
        worker.acknowledged_end,
        min(worker.leftover_by_end, default=worker.acknowledged_end + 1) - 1,
    )


def _has_pending_start(worker: WorkerState) -> bool:
    return any(
        task.stage == RunStage.ORDERED
        and (task.pending_start_calls or task.is_start_uncertain)
        for task in worker.run_by_key.values()
    )

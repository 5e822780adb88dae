"""Keeping the leases of workers."""

from ragwortfield.ports.task_worker import LeaseOrder
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime

#: How long a worker may wait for an end before it answers, in
#: milliseconds; readings of its tasks cover the last half second.
_MAX_REPORT_WAIT_MS = 500


def create_lease_order(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
) -> LeaseOrder:
    """
    Make the next extension of a worker's lease.

    :param state: tables of the shard.
    :param worker: the worker.
    :param now: reading of the monotonic clock.
    :returns: the order; the first one of an owner only looks.
    """
    deadline_ms: int | None = None
    # A silent worker's lease is left to lapse: each extension that may have
    # arrived would put off the moment from which its tasks can run elsewhere.
    is_in_contact = worker.is_in_contact(state.bounds, now)
    if is_in_contact:
        lease_ms = state.bounds.requested_lease_s() * MS_PER_S
        deadline_ms = int(worker.clock.earliest_ms(now) + lease_ms)
        worker.lease_end_ms = max(worker.lease_end_ms, deadline_ms)
    worker.poll_sent_at = now
    acknowledged = _select_acknowledgement(worker) if is_in_contact else 0
    has_unacknowledged = worker.processed_end > worker.acknowledged
    return LeaseOrder(
        worker_id=worker.worker_id,
        address=worker.listed.address,
        fencing_token=state.epoch,
        acknowledged=acknowledged,
        deadline_ms=deadline_ms,
        wait_ms=0
        if has_unacknowledged or not worker.first_reported_at
        else _MAX_REPORT_WAIT_MS,
    )


def record_missing_report(worker: WorkerState) -> None:
    """
    Note that a look at a worker got no report.

    :param worker: the worker.
    """
    worker.is_responding = False
    worker.poll_sent_at = 0


def _select_acknowledgement(worker: WorkerState) -> int:
    # A worker that has started again counts its ends anew, so a number of the
    # life before would acknowledge ends that nobody has seen. That can only
    # be where a run was started since the last report.
    is_fresh = worker.acknowledged > worker.acknowledged_to_worker
    if (
        is_fresh
        and not worker.is_restart_suspected
        and not _has_pending_start(worker)
    ):
        return worker.acknowledged
    return 0


def _has_pending_start(worker: WorkerState) -> bool:
    return any(
        task.stage == RunStage.ORDERED
        and (task.pending_start_calls or task.is_start_uncertain)
        for task in worker.run_by_key.values()
    )

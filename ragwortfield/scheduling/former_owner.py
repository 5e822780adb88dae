"""What a new owner knows of the runs that former owners have left.

A worker that has not reported to the new owner may still run what a former
owner has started there. Without further knowledge the new owner has to assume
that the former one goes on to extend leases for a while, and that these last as
long as workers grant at most. A former owner that answers, and so has stopped,
knows better.
"""

import math

from ragwortfield.scheduling.ownership_confirmation import FormerElectorate
from ragwortfield.scheduling.records import ElectorateRecord, SequenceRecord
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import (
    MAX_CLOCK_DRIFT,
    MS_PER_S,
    TimingBounds,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Stands for a record that cannot be read: no worker is known whose fencing
#: would keep earlier owners from a majority.
UNREADABLE_ELECTORATE = ElectorateRecord(epoch=0, born_ms_by_worker={'': 0})


def compute_remaining_run_times(
    state: ShardState, now: MonotonicTime
) -> dict[WorkerId, Seconds]:
    """
    Compute how long runs may go on after an owner has stopped.

    :param state: state of the owner, which gives no more orders.
    :param now: monotonic time, in seconds.
    :returns: seconds until the lease of each worker has certainly ended unless
        another owner extends it. That counts also where nothing runs any more:
        until then, a run that is done may be listed, and its end may not be
        stored yet. Workers of which this owner cannot tell are left out.
    """
    return {
        worker.worker_id: max(
            _compute_remaining_lease_s(state, worker, now),
            _compute_remaining_start_s(state, worker, now),
            0,
        )
        for worker in state.worker_by_id.values()
        if _is_run_end_known(state, worker)
    }


def apply_remaining_run_times(
    state: ShardState,
    remaining_s_by_worker: dict[WorkerId, Seconds],
    now: MonotonicTime,
) -> None:
    """
    Use what a former owner knew when it had stopped.

    :param state: state of the new owner.
    :param remaining_s_by_worker: its answer, as computed by
        ``compute_remaining_run_times``.
    :param now: monotonic time at which the answer arrived, in seconds.
    """
    state.former_run_end_by_worker = {
        worker_id: now + remaining_s
        for worker_id, remaining_s in remaining_s_by_worker.items()
    }


def is_term_sufficient(term_s: Seconds, bounds: TimingBounds) -> bool:
    """
    Check whether all owners before one have noticed their replacement.

    :param term_s: time since the takeover by its clock, in seconds.
    :param bounds: timing bounds in force.
    :returns: whether none of them extends leases any more.
    """
    return term_s * (1 - MAX_CLOCK_DRIFT) > bounds.unaware_s


def estimate_term_start(
    sequence: SequenceRecord | None, epoch: int, now: MonotonicTime
) -> MonotonicTime:
    """
    Estimate since when a former owner had owned the shard.

    :param sequence: last commit of the shard; ``None`` if it is not known.
    :param epoch: fencing token of the former owner.
    :param now: monotonic time, in seconds.
    :returns: the latest time at which its term can have begun.
    """
    if sequence is None or sequence.epoch != epoch:
        return now
    return now - sequence.term_ms / MS_PER_S * (1 - MAX_CLOCK_DRIFT)


def record_ended_owner(
    state: ShardState,
    epoch: int,
    term_start: MonotonicTime,
    now: MonotonicTime,
) -> None:
    """
    Use that the process of the former owner has ended.

    It may have acted up to now if workers confirmed it. The owner before it may
    not know of its own replacement for a while after the term of the former one
    had begun. If its workers may confirm it, the electorate that it has
    recorded is still the latest.

    :param state: state of the new owner.
    :param epoch: fencing token of the former owner.
    :param term_start: latest time at which that term can have begun.
    :param now: monotonic time, in seconds.
    """
    latest_end = _find_latest_authority_end(state, epoch)
    record_stopped_owner(state, epoch)
    state.former_owner_until = min(
        latest_end, max(now, term_start + state.bounds.unaware_s)
    )


def record_stopped_owner(state: ShardState, epoch: int) -> None:
    """
    Use that a former owner gives no more orders.

    :param state: state of the new owner.
    :param epoch: fencing token of the former owner.
    """
    state.ended_owner_epoch = epoch
    state.former_electorate.record_ended(epoch)


def load_former_electorate(state: ShardState, record: ElectorateRecord) -> None:
    """
    Use the workers that an earlier owner has recorded as its electorate.

    :param state: state of the new owner, before it polls workers.
    :param record: the record.
    """
    state.former_electorate = FormerElectorate(
        epoch=record.epoch, electorate=record.born_ms_by_worker
    )
    state.former_electorate.record_ended(state.ended_owner_epoch)


def _find_latest_authority_end(state: ShardState, epoch: int) -> MonotonicTime:
    """
    Find until when a former owner may have acted if its end was not known.

    :param state: state of the new owner.
    :param epoch: fencing token of the former owner.
    :returns: monotonic time, in seconds; infinite while it is not known which
        electorate is recorded.
    """
    recorded_epoch = state.former_electorate.epoch
    if not recorded_epoch:
        return math.inf
    if recorded_epoch == epoch:
        return state.former_authority_end()
    # Without a record of its own, only the store has confirmed it.
    return state.former_owner_until


def _is_run_end_known(state: ShardState, worker: WorkerState) -> bool:
    return (
        bool(worker.first_reported_at)
        or worker.worker_id in state.former_run_end_by_worker
        or state.former_electorate.fenced_at is not None
    )


def _compute_remaining_lease_s(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> Seconds:
    if not worker.first_reported_at:
        return state.former_run_end(worker.worker_id) - now
    remaining_ms = worker.lease_end_ms - worker.clock.earliest_ms(now)
    return remaining_ms / MS_PER_S / (1 - MAX_CLOCK_DRIFT)


def _compute_remaining_start_s(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> Seconds:
    """Return for how long starts may have an effect in a restarted worker."""
    if state.is_process_bound:
        # Only the process that the lease is for can carry them out.
        return 0
    tasks = worker.run_by_key.values()
    if any(task.pending_start_calls for task in tasks):
        return state.bounds.longest_order_effect_s()
    return max((task.may_run_until for task in tasks), default=0) - now

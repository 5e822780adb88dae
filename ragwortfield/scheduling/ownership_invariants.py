"""Invariant of the change of owners, checked while the program runs."""

from ragwortfield.invariants import INVARIANTS
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime


def check_former_owner(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> bool:
    """
    Check that no earlier owner can extend the lease of an unheard worker.

    It is asked independently of the computed end of the lease, from what the
    owner has seen.

    :param state: state of the shard.
    :param worker: a worker that has not reported to this owner.
    :param now: monotonic time, in seconds.
    :returns: whether the runs on the worker may be given up.
    """
    former = state.former_electorate
    has_answered = worker.worker_id in state.former_run_end_by_worker
    has_ended = bool(state.ended_owner_epoch)
    is_fenced = 2 * former.count_unfenced() <= len(former.electorate) or (
        has_ended and former.epoch == state.ended_owner_epoch
    )
    term_s = now - state.owner_since
    is_over = (
        has_answered
        or term_s > state.bounds.longest_outage_s
        or (is_fenced and (has_ended or term_s > state.bounds.unaware_s))
    )
    INVARIANTS.check(
        'former_owner_over',
        is_satisfied=is_over,
        detail=(
            f'worker {worker.worker_id}, epoch {state.epoch}, term of '
            f'{term_s:.2f} s, {former.count_unfenced()} of '
            f'{len(former.electorate)} workers of epoch {former.epoch} not '
            'fenced'
        ),
    )
    return is_over

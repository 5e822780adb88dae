"""Refusals of orders as those of a replaced owner.

Such a refusal usually shows that there is a newer owner. The owner row decides:
a worker can also be wrong, and it must not drive out one owner after another.
"""

from ragwortfield.log import event
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Time for which refusals of a worker that was wrong are ignored, in seconds;
#: less than a replaced owner may need to notice that.
_IGNORED_S: Seconds = 2


def record_fence_refusal(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> bool:
    """
    Record that a worker refused an order as that of a replaced owner.

    :param state: state of the shard.
    :param worker: the worker.
    :param now: monotonic time, in seconds.
    :returns: whether the owner row has to be checked; false if the worker was
        wrong a short time ago.
    """
    if now < worker.fence_ignored_until:
        return False
    if not state.is_newer_owner_claimed:
        # Further refusals until the owner row is checked tell nothing new.
        event(
            'order_fenced',
            worker=worker.worker_id,
            epoch=state.epoch,
            owned_s=now - state.owner_since,
            report_age_s=now - worker.reported_at
            if worker.first_reported_at
            else -1,
            tasks=len(worker.run_by_key),
        )
    worker.is_newer_owner_claimed = True
    state.is_newer_owner_claimed = True
    return True


def take_claiming_workers(state: ShardState) -> list[WorkerState]:
    """
    Take the workers whose refusals the next check of the owner row decides.

    A refusal that arrives during the check needs a check of its own.

    :param state: state of the shard.
    :returns: the workers; their claims are removed from the state.
    """
    claiming_workers = [
        worker
        for worker in state.worker_by_id.values()
        if worker.is_newer_owner_claimed
    ]
    for worker in claiming_workers:
        worker.is_newer_owner_claimed = False
    state.is_newer_owner_claimed = False
    return claiming_workers


def ignore_refusals(
    state: ShardState, workers: list[WorkerState], now: MonotonicTime
) -> None:
    """
    Ignore refusals that the owner row contradicts, for a while.

    :param state: state of the shard, whose owner row names this owner.
    :param workers: workers that refused before the row was read.
    :param now: monotonic time, in seconds.
    """
    for worker in workers:
        worker.fence_ignored_until = now + _IGNORED_S
        event(
            'fence_contradicted',
            worker=worker.worker_id,
            epoch=state.epoch,
            tasks=len(worker.run_by_key),
        )

"""Room kept for short tasks beside those that run until they are cancelled.

Pattern: long-lived tasks come early, fill every worker and never leave, so
that urgent short tasks would wait for each other. Long-lived tasks therefore
leave as much processor as the short ones have lately needed at once.
"""

import math

from ragwortfield.scheduling.job import Step
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.scheduling.worker_rows import WorkerRow
from ragwortfield.types import Instant, Seconds

#: Part of a pool that is kept before short tasks have been seen.
_LEAST_SHARE = 0.04
#: Largest part of a pool that is kept.
_MOST_SHARE = 0.25
#: Time in which a need that has passed falls to a third, in seconds.
_MEMORY_S: Seconds = 15


def is_short(step: Step) -> bool:
    """
    Tell whether a step's tasks need processor for a limited time.

    :param step: the step.
    :returns: whether it is neither long-lived nor a filler.
    """
    return not step.is_long_lived and not step.is_filler


def observe_need(tables: ShardTables, now: Instant) -> None:
    """
    Follow how much processor short tasks need at once.

    :param tables: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    running = sum(
        task.step.need.cpu
        for worker in tables.worker_by_id.values()
        for task in worker.run_by_key.values()
        if is_short(task.step)
    )
    waiting = sum(
        len(step.waiting) * step.step.need.cpu
        for step in tables.open_step_by_key.values()
        if is_short(step.step)
    )
    passed_s = max(now - tables.need_seen_at, 0)
    tables.need_seen_at = now
    remembered = tables.short_need * math.exp(-passed_s / _MEMORY_S)
    tables.short_need = max(remembered, running + waiting)


def room_for_long_lived(
    tables: ShardTables,
    workers: list[WorkerRow],
) -> float:
    """
    Tell how much processor long-lived tasks may still take.

    :param tables: tables of the shard.
    :param workers: the workers of one pool.
    :returns: cores; not positive when the room is kept for short tasks.
    """
    total = sum(worker.listed.room.cpu for worker in workers)
    free = sum(worker.free_cpu() for worker in workers)
    short = sum(
        task.step.need.cpu
        for worker in workers
        for task in worker.run_by_key.values()
        if is_short(task.step)
    )
    kept = min(
        max(tables.short_need, total * _LEAST_SHARE),
        total * _MOST_SHARE,
    )
    return free + short - kept

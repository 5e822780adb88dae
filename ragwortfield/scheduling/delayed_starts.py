"""Finds tasks that have waited long for a run, and why, for the log.

A task can wait because no worker has room, because the workers with room may
not get it, or because its start orders have no effect.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import nsmallest

from ragwortfield.scheduling.job_state import RunStage, StepState, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_health import is_on_trial
from ragwortfield.scheduling.worker_selection import (
    has_free_resources,
    is_placement_allowed,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Time without a run after which the start of a task counts as delayed, in
#: seconds.
_DELAY_S: Seconds = 2
#: Maximum number of tasks described at a time, those that have waited longest.
_MAX_DESCRIBED = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class DelayedStart:
    """
    Task that has waited long for a run.

    :param since: monotonic time since which it has had no run.
    :param worker_count_by_condition: number of workers that have room for the
        task, by the condition that decides whether they may get it.
    """

    task: TaskState
    since: MonotonicTime
    worker_count_by_condition: dict[str, int]

    def format_workers(self) -> str:
        """
        Format the workers with room for the log.

        :returns: condition and number of workers, joined by colons.
        """
        return ','.join(
            f'{condition}:{count}'
            for condition, count in sorted(
                self.worker_count_by_condition.items()
            )
        )


def list_delayed_starts(
    state: ShardState, now: MonotonicTime
) -> list[DelayedStart]:
    """
    List the tasks that have waited longest for a run.

    Tasks that wait for the steps before theirs are left out.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :returns: tasks without a run for longer than the delay that is worth a log
        line, the longest wait first; at most one of each waiting step.
    """
    delayed = (
        (since, task.key, task)
        for task, since in _iterate_waits(state)
        if since and now - since > _DELAY_S
    )
    return [
        DelayedStart(
            task=task,
            since=since,
            worker_count_by_condition=_count_workers_with_room(
                state, state.get_step(task), now
            ),
        )
        for since, _, task in nsmallest(_MAX_DESCRIBED, delayed)
    ]


def _iterate_waits(
    state: ShardState,
) -> Iterator[tuple[TaskState, MonotonicTime]]:
    for worker in state.worker_by_id.values():
        for task in worker.run_by_key.values():
            is_inherited = task.stage == RunStage.ORDERED and not (
                task.ordered_at
            )
            yield (
                task,
                state.owner_since if is_inherited else task.not_running_since,
            )
    for step in state.ready_step_by_key.values():
        task = step.tasks[next(iter(step.waiting_indexes))]
        yield task, task.not_running_since or step.unplaced_since


def _count_workers_with_room(
    state: ShardState, step: StepState, now: MonotonicTime
) -> Counter[str]:
    pool = state.job_by_id[step.job_id].queue.pool
    return Counter(
        _describe_condition(state, worker, step, now)
        for worker in state.worker_by_id.values()
        if worker.listed.pool == pool and has_free_resources(worker, step)
    )


def _describe_condition(
    state: ShardState,
    worker: WorkerState,
    step: StepState,
    now: MonotonicTime,
) -> str:
    if not worker.is_listed:
        return 'unlisted'
    if worker.listed.is_draining:
        return 'draining'
    if worker.is_evacuated:
        return 'evacuated'
    if not worker.is_in_contact(state.bounds, now):
        return 'silent'
    if now < worker.quarantined_until:
        return 'quarantined'
    if now < worker.start_backoff_until:
        return 'backing_off'
    is_attempt_limited = not (step.step.is_long_lived or step.step.is_gang)
    if is_on_trial(worker, now, is_attempt_limited=is_attempt_limited):
        return 'on_trial'
    return 'usable' if is_placement_allowed(worker, step) else 'not_allowed'

"""Moves tasks off draining workers.

A draining worker is emptied and then removed, and what still runs there ends
with it. Once a worker is silent, the owner cannot tell whether it was removed
or is only disconnected, so its tasks would have to wait for the end of its
lease. Therefore two kinds of tasks are stopped in time, if another worker has
room for them: long-lived tasks, and tasks that can resume from a checkpoint
and would not finish before the removal. Short tasks are left to finish.
"""

from ragwortfield.log import event
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import (
    format_task_key,
    get_move_limit,
    request_stop,
)
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

_FULL_PERCENT = 100


def evacuate(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop tasks that the removal of a draining worker would cut off.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    endangered_tasks = [
        task
        for worker in state.worker_by_id.values()
        if worker.listed.is_draining
        for task in worker.run_by_key.values()
        if _is_endangered(worker, task)
    ]
    if not endangered_tasks:
        return
    move_limit = get_move_limit(state)
    selector = WorkerSelector(state=state, now=now)
    moved = 0
    for task in endangered_tasks:
        job = state.job_by_id[task.key.job_id]
        destination = selector.select_worker(job, state.get_step(task), task)
        if destination is None:
            continue
        event(
            'task_evacuated',
            task=format_task_key(task),
            run=task.run,
            worker=task.worker_id,
            remaining_ms=_get_worker_remaining_ms(state, task),
            better=destination.worker_id,
        )
        request_stop(state, task, now)
        moved += 1
        if moved == move_limit:
            return


def _is_endangered(worker: WorkerState, task: TaskState) -> bool:
    if task.stage != RunStage.RUNNING or task.is_stop_wanted:
        return False
    if task.step.is_gang:
        # Stopping one member breaks the run of all others.
        return False
    if task.step.is_long_lived:
        return True
    task_remaining_s = _estimate_remaining_s(task)
    worker_remaining_s = worker.listed.remaining_ms / MS_PER_S
    return task.step.is_checkpointed and task_remaining_s > worker_remaining_s


def _estimate_remaining_s(task: TaskState) -> Seconds:
    undone_share = max(_FULL_PERCENT - task.percent, 0) / _FULL_PERCENT
    return task.step.estimate_s * undone_share


def _get_worker_remaining_ms(state: ShardState, task: TaskState) -> int:
    return state.worker_by_id[task.worker_id].listed.remaining_ms

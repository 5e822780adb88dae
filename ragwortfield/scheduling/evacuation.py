"""Moving tasks off workers that are about to leave.

Pattern: workers are emptied and taken away, and what still runs there ends
with them. Whether a worker that fell silent has left or is only cut off cannot
be told, so its tasks would wait until its lease is over. Tasks that last, and
tasks that can resume and would not be done in time, are stopped at once where
another worker has room for them; short ones are left to finish.
"""

from ragwortfield.log import event
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.task_lifecycle import request_stop, format_task_key
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Least tasks moved in one round, and workers for each of which there is one
#: more: the next round sees the room they took.
_LEAST_MOVES = 4
_WORKERS_A_MOVE = 6
_WHOLE_PERCENT = 100


def evacuate(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop tasks on draining workers that would be cut off, to start elsewhere.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    endangered = [
        task
        for worker in state.worker_by_id.values()
        if worker.listed.is_draining
        for task in worker.run_by_key.values()
        if _is_endangered(worker, task)
    ]
    if not endangered:
        return
    most = max(_LEAST_MOVES, len(state.worker_by_id) // _WORKERS_A_MOVE)
    selector = WorkerSelector(state=state, now=now)
    moved = 0
    for task in endangered:
        job = state.job_by_id[task.key.job_id]
        place = selector.select_worker(job, state.get_step(task), task)
        if place is None:
            continue
        event(
            'task_evacuated',
            task=format_task_key(task),
            run=task.run,
            worker=task.worker_id,
            remaining_ms=_remaining_ms(state, task),
            better=place.worker_id,
        )
        request_stop(state, task, now)
        moved += 1
        if moved == most:
            return


def _is_endangered(worker: WorkerState, task: TaskState) -> bool:
    if task.stage != RunStage.RUNNING or task.is_stop_wanted:
        return False
    if task.step.is_gang:
        # One member that stops breaks the others.
        return False
    if task.step.is_long_lived:
        return True
    left_s = _left_s(task)
    critical_path_s = worker.listed.remaining_ms / MS_PER_S
    return task.step.is_checkpointed and left_s > critical_path_s


def _left_s(task: TaskState) -> Seconds:
    undone = max(_WHOLE_PERCENT - task.percent, 0) / _WHOLE_PERCENT
    return task.step.estimate_s * undone


def _remaining_ms(state: ShardState, task: TaskState) -> int:
    return state.worker_by_id[task.worker_id].listed.remaining_ms

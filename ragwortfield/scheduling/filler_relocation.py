"""Moving fillers that stand still to workers that bear them.

Pattern: the headroom of a worker goes while a filler runs there, and one task
that stands still holds up its whole job. If it can resume from a checkpoint
and another worker bears it at full speed, it is stopped and placed anew.
"""

from ragwortfield.log import event
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.task_lifecycle import request_stop, format_task_key
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Time for which a filler stands still before it is moved, in seconds. A
#: move costs a restore of about this length.
_PATIENCE_S: Seconds = 0.8
#: Pace up to which a filler counts as standing still, in percent.
_STILL_PACE = 25
#: Disturbance up to which a worker bears a filler without notice.
_NEGLIGIBLE = 0.1
#: Least moves in one round, and workers for each of which there is one more:
#: the next round sees their effect.
_LEAST_MOVES = 4
_WORKERS_A_MOVE = 6


def relocate_stalled_fillers(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop fillers that would get on better elsewhere.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    still = [
        task
        for worker in state.worker_by_id.values()
        for task in worker.run_by_key.values()
        if _is_stuck(task, now)
    ]
    if not still:
        return
    most = max(_LEAST_MOVES, len(state.worker_by_id) // _WORKERS_A_MOVE)
    selector = WorkerSelector(state=state, now=now)
    taken: set[WorkerId] = set()
    for task in still:
        place = _better_place(state, selector, task, taken)
        if place is None:
            continue
        taken.add(place.worker_id)
        event(
            'filler_moved',
            task=format_task_key(task),
            run=task.run,
            worker=task.worker_id,
            pace=task.pace,
            better=place.worker_id,
        )
        request_stop(state, task, now)
        if len(taken) == most:
            return


def _is_stuck(task: TaskState, now: MonotonicTime) -> bool:
    can_move = task.step.is_checkpointed and not task.step.is_gang
    is_running = task.stage == RunStage.RUNNING and not task.is_stop_wanted
    is_still = task.pace <= _STILL_PACE and now - task.slowed_at > _PATIENCE_S
    return task.step.is_filler and can_move and is_running and is_still


def _better_place(
    state: ShardState,
    selector: WorkerSelector,
    task: TaskState,
    taken: set[WorkerId],
) -> WorkerState | None:
    step = state.get_step(task)
    place = selector.select_worker(
        state.job_by_id[task.key.job_id],
        step,
        task,
        closed={*taken, task.worker_id},
    )
    if place is None:
        return None
    speed, cost = selector.estimate_speed_and_interference(place, step)
    is_better = speed >= 1 and cost <= _NEGLIGIBLE
    return place if is_better else None

"""Moves stalled fillers to workers with sufficient headroom.

The headroom of a worker can shrink while a filler (a best-effort batch task)
runs there, and one stalled task delays its whole job. A stalled filler that
can resume from a checkpoint is stopped and placed again if another worker can
run it at full speed.

In a full pool no worker has room at the moment when that is decided, since each
place goes to a waiting task at once. A job that can still be in time, or that
is nearly done, need not wait for that: while fillers of its image find workers,
its stalled task is stopped and gets one of the next places by its urgency.
"""

from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import is_worth_finishing
from ragwortfield.scheduling.task_lifecycle import (
    format_task_key,
    get_move_limit,
    request_stop,
)
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Time for which a filler must be stalled before it is moved, in seconds. A
#: move costs a restore from the checkpoint, which takes about as long.
_STALL_TIME_S: Seconds = 0.8
#: Highest pace at which a filler counts as stalled, in percent.
_STALLED_PACE = 25
#: Highest additional utilisation of serving tasks that counts as none.
_NEGLIGIBLE_INTERFERENCE = 0.1
#: Time since a filler of an image has found a worker, in seconds, up to which
#: another one will find one soon.
_PLACE_INTERVAL_S: Seconds = 0.5


def relocate_stalled_fillers(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop stalled fillers that another worker can run at full speed.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    stalled_tasks = [
        task
        for worker in state.worker_by_id.values()
        for task in worker.run_by_key.values()
        if _is_stalled(task, now)
    ]
    if not stalled_tasks:
        return
    move_limit = get_move_limit(state)
    selector = WorkerSelector(state=state, now=now)
    destination_ids: set[WorkerId] = set()
    for task in stalled_tasks:
        destination = _find_destination(
            state,
            selector,
            task,
            destination_ids,
        )
        better = '' if destination is None else destination.worker_id
        if destination is None and not _finds_next_place(state, task, now):
            continue
        destination_ids.add(better or task.worker_id)
        state.decisions.record(
            'filler_moved',
            now,
            task=format_task_key(task),
            run=task.run,
            worker=task.worker_id,
            pace=task.pace,
            better=better,
        )
        request_stop(state, task, now)
        if len(destination_ids) == move_limit:
            return


def _is_stalled(task: TaskState, now: MonotonicTime) -> bool:
    can_move = task.step.is_checkpointed and not task.step.is_gang
    is_running = task.stage == RunStage.RUNNING and not task.is_stop_wanted
    is_slow = (
        task.pace <= _STALLED_PACE and now - task.slowed_at > _STALL_TIME_S
    )
    return task.step.is_filler and can_move and is_running and is_slow


def _finds_next_place(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> bool:
    """Tell whether a stopped task would soon get a place that becomes free."""
    step = state.get_step(task)
    if task.step.per_worker_limit:
        # The places that others find may be on workers that are full for it.
        return False
    group = state.get_filler_group(step)
    bound_at = state.filler_bound_at_by_group.get(group, 0)
    # Its own binding shows nothing.
    stalled_since = max(task.slowed_at, task.ordered_at)
    if bound_at <= stalled_since or now - bound_at > _PLACE_INTERVAL_S:
        return False
    job = state.job_by_id[task.key.job_id]
    return is_worth_finishing(job, step, now)


def _find_destination(
    state: ShardState,
    selector: WorkerSelector,
    task: TaskState,
    used_ids: set[WorkerId],
) -> WorkerState | None:
    step = state.get_step(task)
    destination = selector.select_worker(
        state.job_by_id[task.key.job_id],
        step,
        task,
        excluded_ids={*used_ids, task.worker_id},
    )
    if destination is None:
        return None
    speed, interference = selector.estimate_speed_and_interference(
        destination,
        step,
    )
    is_better = speed >= 1 and interference <= _NEGLIGIBLE_INTERFERENCE
    return destination if is_better else None

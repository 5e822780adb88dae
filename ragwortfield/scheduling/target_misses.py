"""Records for how long serving tasks miss their targets beside fillers."""

from ragwortfield.log import event
from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import format_task_key
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Interval of the log lines about a task that misses its target, in seconds.
_LOG_INTERVAL_S: Seconds = 1


def record_reading(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    now: MonotonicTime,
) -> Seconds:
    """
    Record whether a serving task misses its target beside working fillers.

    :param state: state of the shard.
    :param worker: worker of the task, with its latest CPU readings.
    :param task: a serving task with a usable reading.
    :param now: monotonic time, in seconds.
    :returns: time for which each reading has missed the target, in seconds; 0
        if the latest one has not, or if no filler used CPU.
    """
    if not task.is_over_target() or not worker.are_fillers_working():
        task.target_missed_since = 0
        return 0
    if not task.target_missed_since:
        task.target_missed_since = now
        task.miss_logged_at = now
    missed_s = now - task.target_missed_since
    if now - task.miss_logged_at >= _LOG_INTERVAL_S:
        task.miss_logged_at = now
        _log_miss(state, worker, task, missed_s)
    return missed_s


def _log_miss(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    missed_s: Seconds,
) -> None:
    event(
        'target_missed',
        task=format_task_key(task),
        worker=worker.worker_id,
        missed_s=missed_s,
        tail_ms=task.reading,
        target_ms=task.step.latency_target_ms,
        own=task.own_utilisation,
        load=state.get_step(task).load.level,
        fillers=';'.join(
            _format_filler(state, task, filler)
            for filler in worker.run_by_key.values()
            if filler.step.is_filler
        ),
    )


def _format_filler(
    state: ShardState, task: TaskState, filler: TaskState
) -> str:
    weight = state.interference_model.weight(task.step.image, filler.step.image)
    pending = '*' if filler.is_pacing else ''
    return ':'.join(
        (
            filler.stage.name.lower(),
            f'{filler.pace}{pending}',
            f'{filler.reading or 0:.2f}',
            f'{filler.step.need.cpu:.2f}',
            f'{weight:.2f}',
        )
    )

"""Learns the speed of workers from the progress and the ends of their runs.

Only progress at the full pace counts, measured from where it was first seen, so
that runs that resumed from a checkpoint and runs that an earlier owner started
count as well. Runs whose progress depends on more than the worker are left out:
long-lived tasks, gangs, and tasks away from the rack of their data.
"""

from statistics import median_low

from ragwortfield.scheduling.job_state import StepState, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Progress that shows a duration, in percentage points; progress is reported
#: in whole percent, so the error is below a tenth.
_MIN_PERCENT = 12
_FULL_PERCENT = 100
_FULL_PACE = 100
#: Time after which progress is measured anew, in seconds, so that a worker that
#: has changed its speed shows in long runs as well.
_MEASURED_S: Seconds = 3
#: Share of the predicted speed below which a run that can be compared with
#: nothing else counts as slow: two standard deviations of the error of
#: predictions, whose logarithm deviates by 0.63.
_MIN_PREDICTED_SPEED = 0.28


def observe_run(
    state: ShardState, worker: WorkerState, task: TaskState, now: MonotonicTime
) -> None:
    """
    Observe the speed of a worker by a reported run.

    :param state: state of the shard.
    :param worker: the worker.
    :param task: a running task whose report has been applied.
    :param now: monotonic time, in seconds.
    """
    if not _is_comparable(state, worker, task):
        return
    if not task.measured_since:
        _begin_measurement(task, now)
    if _is_slowed(task):
        _restart_measurement(task, now)
    measured_s = now - task.measured_since
    progress = task.percent - task.measured_from_percent
    # A run without any progress may be one whose progress is not reported.
    if measured_s <= 0 or progress <= 0 or task.percent >= _FULL_PERCENT:
        return
    _observe(state, worker, task, measured_s, progress, now)
    if measured_s >= _MEASURED_S and progress >= _MIN_PERCENT:
        _restart_measurement(task, now)


def observe_success(
    state: ShardState, worker: WorkerState, task: TaskState, now: MonotonicTime
) -> None:
    """
    Observe the speed of a worker by a run that has ended as done.

    :param state: state of the shard.
    :param worker: the worker.
    :param task: the task, still bound.
    :param now: monotonic time, in seconds.
    """
    if not _is_comparable(state, worker, task) or _is_slowed(task):
        return
    if not task.measured_since:
        _begin_measurement(task, now)
    measured_s = now - task.measured_since
    progress = _FULL_PERCENT - task.measured_from_percent
    if measured_s > 0 and progress >= _MIN_PERCENT:
        _observe(state, worker, task, measured_s, progress, now)


def update_speed_class(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> None:
    """
    Update whether a worker counts as slow.

    :param state: state of the shard.
    :param worker: the worker.
    :param now: monotonic time, in seconds.
    """
    limit = state.settings.slow_worker_speed
    # Most workers have no evidence against them, and need no estimate.
    speed = (
        worker.speed.estimate(now)
        if worker.speed.has_evidence_below(limit)
        else 1
    )
    is_slow = speed < limit
    if is_slow == worker.speed.is_slow:
        return
    worker.speed.is_slow = is_slow
    worker.record_change()
    state.decisions.record(
        'worker_slow' if is_slow else 'worker_at_full_speed',
        now,
        worker=worker.worker_id,
        speed=round(speed, 2),
        tasks=len(worker.run_by_key),
    )


def _is_comparable(
    state: ShardState, worker: WorkerState, task: TaskState
) -> bool:
    step = task.step
    if not state.settings.is_worker_speed_learned or not task.started_at:
        return False
    if step.is_long_lived or step.is_gang:
        return False
    return not worker.is_remote_from(step.data_rack)


def _begin_measurement(task: TaskState, now: MonotonicTime) -> None:
    if task.ordered_at and not task.checkpoint:
        task.measured_since = task.started_at
        task.measured_from_percent = 0
    else:
        _restart_measurement(task, now)


def _restart_measurement(task: TaskState, now: MonotonicTime) -> None:
    task.measured_since = now
    task.measured_from_percent = task.percent


def _is_slowed(task: TaskState) -> bool:
    if not task.step.is_filler:
        return False
    if task.pace < _FULL_PACE or task.paced_at >= task.measured_since:
        return True
    return task.is_short_of_cpu()


def _observe(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    measured_s: Seconds,
    progress: float,
    now: MonotonicTime,
) -> None:
    step = state.get_step(task)
    is_shown = progress >= _MIN_PERCENT
    if is_shown:
        _record_duration(step, worker, measured_s * _FULL_PERCENT / progress)
    expected_s = _find_duration_elsewhere(step, worker.worker_id)
    is_predicted = expected_s is None
    if expected_s is None:
        job = state.job_by_id[task.key.job_id]
        expected_s = job.durations_by_step[task.key.step].predicted_s
    # Progress is rounded down, so this is the highest speed that it allows.
    speed = expected_s * (progress + 1) / _FULL_PERCENT / measured_s
    if is_predicted:
        if not is_shown and speed >= _MIN_PREDICTED_SPEED:
            return
        # Within the error of predictions, a run shows no difference.
        speed = speed if speed < _MIN_PREDICTED_SPEED else 1
    elif not is_shown and speed >= state.settings.slow_worker_speed:
        return
    if expected_s <= 0:
        return
    worker.speed.observe(
        (step.job_id, step.occurrence, step.number),
        (task.key.index, task.run),
        speed,
        now,
        is_predicted=is_predicted,
    )


def _record_duration(
    step: StepState, worker: WorkerState, duration_s: Seconds
) -> None:
    # The fastest run on a worker is the one least affected by chance.
    before_s = step.shown_s_by_worker.get(worker.worker_id, duration_s)
    step.shown_s_by_worker[worker.worker_id] = min(before_s, duration_s)


def _find_duration_elsewhere(
    step: StepState, worker_id: WorkerId
) -> Seconds | None:
    shown_s = [
        duration_s
        for other_id, duration_s in step.shown_s_by_worker.items()
        if other_id != worker_id
    ]
    return median_low(shown_s) if shown_s else None

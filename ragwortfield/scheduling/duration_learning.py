"""Learns durations of tasks from the progress and the ends of their runs.

A run shows the duration of the tasks of its step long before it ends, as its
progress is linear in time. Each run counts once. Runs that did not go at full
speed from the beginning don't count: paced fillers, fillers that got less CPU
than they asked for, and runs that resumed from a checkpoint.
"""

from ragwortfield.scheduling.duration_model import (
    StepDurations,
    predict_step_durations,
)
from ragwortfield.scheduling.job_state import JobRuntimeState, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, Seconds

#: Progress from which on a run shows its duration, in percent; it is reported
#: in whole percent, so the error is below a tenth.
_MIN_PERCENT = 12
#: Age from which on the CPU reading of a filler covers its run alone, in
#: seconds.
_MIN_FILLER_AGE_S: Seconds = 0.6
_FULL_PACE = 100
_FULL_PERCENT = 100


def learn_from_progress(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    """
    Learn from the progress of a run, at the first report that shows enough.

    :param state: state of the shard.
    :param task: a running task whose report has been applied.
    :param now: monotonic time, in seconds.
    """
    if task.is_duration_learned or not _is_informative(task):
        return
    age_s = now - task.started_at
    if task.percent < _MIN_PERCENT or task.percent >= _FULL_PERCENT:
        return
    if task.step.is_filler and not _runs_at_full_speed(task, age_s):
        return
    _learn(state, task, age_s * _FULL_PERCENT / task.percent)


def learn_from_success(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    """
    Learn from a run that has ended as done before its progress showed enough.

    :param state: state of the shard.
    :param task: the task, still bound.
    :param now: monotonic time, in seconds.
    """
    if task.is_duration_learned or not _is_informative(task):
        return
    age_s = now - task.started_at
    if task.step.is_filler and task.reading is not None:
        if not _runs_at_full_speed(task, age_s):
            return
    _learn(state, task, age_s)


def predict_all_durations(state: ShardState) -> None:
    """
    Predict the durations of all jobs again, after the model was restored.

    :param state: state of the shard, before any run has shown a duration.
    """
    for job in state.job_by_id.values():
        if not job.is_closed():
            job.update_durations(
                predict_step_durations(
                    state.duration_model, job.job.queue, job.job.steps
                )
            )


def _is_informative(task: TaskState) -> bool:
    step = task.step
    is_measured = task.started_at > 0 and task.run == 1 and task.ordered_at > 0
    return is_measured and not (step.is_long_lived or step.is_gang)


def _runs_at_full_speed(task: TaskState, age_s: Seconds) -> bool:
    was_paced = task.pace < _FULL_PACE or task.slowed_at > task.started_at
    if was_paced or age_s < _MIN_FILLER_AGE_S:
        return False
    return not task.is_short_of_cpu()


def _learn(state: ShardState, task: TaskState, duration_s: Seconds) -> None:
    task.is_duration_learned = True
    if not state.settings.is_duration_learned or duration_s <= 0:
        return
    worker = state.worker_by_id.get(task.worker_id)
    if worker is not None and worker.is_remote_from(task.step.data_rack):
        duration_s /= state.settings.remote_duration_factor
    job = state.job_by_id[task.key.job_id]
    known = job.durations_by_step[task.key.step]
    if not known.is_known():
        state.duration_model.observe(
            job.job.queue, task.step.estimate_s, duration_s
        )
    _add_duration(job, known, duration_s)


def _add_duration(
    job: JobRuntimeState, known: StepDurations, duration_s: Seconds
) -> None:
    before_s = known.expected_s()
    known.add(duration_s)
    if known.expected_s() != before_s:
        job.update_durations(job.durations_by_step)

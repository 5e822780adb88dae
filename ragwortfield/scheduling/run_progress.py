"""Measures the speed of runs from the progress that workers report.

The load that it answers: a run that goes on at a seventh of the usual speed
shows this in its first half second, long before it is late. But a run that was
paced, that got less CPU than it asked for or that first had to restore a
checkpoint looks alike. So the speed is measured only over a time in which none
of this was the case, up to the latest report.

The measurement is not stored: a later owner measures again from its own
reports, which takes it about a second.
"""

from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.types import MonotonicTime, Seconds

#: Shortest measured time, in seconds. Workers report about every half second,
#: and a shorter time would measure the delay of the start.
_MIN_MEASURED_S: Seconds = 0.3
#: Progress is reported in whole percent; the run may be that much further.
_PERCENT_RESOLUTION = 1
_FULL_PACE = 100
_FULL_PERCENT = 100


def observe_progress(
    task: TaskState, now: MonotonicTime, restore_s: Seconds
) -> None:
    """
    Take over that a report has listed a run.

    :param task: the task, with the progress of this report.
    :param now: monotonic time, in seconds.
    :param restore_s: time that a resumed run needs before it makes progress,
        in seconds.
    """
    is_first = not task.percent_seen_at
    task.percent_seen_at = now
    if not _runs_at_full_speed(task):
        task.speed_since = 0
    elif task.speed_since:
        return
    elif is_first and task.ordered_at and not task.is_resumed:
        task.speed_since = task.started_at
        task.speed_since_percent = 0
    elif now - task.started_at >= restore_s:
        # The run of an earlier owner may have been resumed as well.
        task.speed_since = now
        task.speed_since_percent = task.percent


def estimate_full_s(task: TaskState) -> Seconds | None:
    """
    Estimate how long a whole run takes at the speed of the present one.

    :param task: a running task.
    :returns: a lower bound in seconds; ``None`` if the speed is not known.
    """
    progress = task.percent - task.speed_since_percent
    # A run without any progress may be one that reports none.
    if not task.speed_since or progress <= 0:
        return None
    measured_s = task.percent_seen_at - task.speed_since
    if measured_s < _MIN_MEASURED_S:
        return None
    return measured_s * _FULL_PERCENT / (progress + _PERCENT_RESOLUTION)


def estimate_remaining_s(task: TaskState, now: MonotonicTime) -> Seconds | None:
    """
    Estimate when a run ends if it keeps its speed.

    :param task: a running task.
    :param now: monotonic time, in seconds.
    :returns: seconds from now; ``None`` if the speed is not known.
    """
    full_s = estimate_full_s(task)
    if full_s is None:
        return None
    undone_share = 1 - (task.percent + _PERCENT_RESOLUTION) / _FULL_PERCENT
    unseen_s = now - task.percent_seen_at
    return max(full_s * undone_share - unseen_s, 0)


def _runs_at_full_speed(task: TaskState) -> bool:
    if not task.step.is_filler:
        return True
    if task.pace < _FULL_PACE or task.is_pacing or not task.is_pace_known:
        return False
    return task.reading is not None and not task.is_short_of_cpu()

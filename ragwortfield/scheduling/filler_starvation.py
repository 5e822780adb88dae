"""Starts of fillers that would be slow wherever they run.

A filler normally starts only where the serving tasks leave it nearly its full
speed. Where they do so on no worker, its job would wait for as long as they
run, although there is room. So a job that has waited for long with no task at
all gets one started; its pace is then adjusted to the headroom like that of any
filler.
"""

from enum import IntEnum

from ragwortfield.scheduling.job_state import JobRuntimeState, StepState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Time after which a job without a run gets one on a worker without fillers, in
#: seconds.
_STARVED_AFTER_S: Seconds = 3
#: Time after which it gets one on any worker, in seconds. It is longer because
#: the fillers there get slower.
_LONG_STARVED_AFTER_S: Seconds = 8


class WaitingLevel(IntEnum):
    """How long a job has waited without a run, as far as it matters."""

    ACCEPTABLE = 0
    STARVED = 1
    LONG_STARVED = 2


def compute_waiting_level(
    job: JobRuntimeState, step: StepState, now: MonotonicTime
) -> WaitingLevel:
    """
    Compute how long a job of fillers has waited without a run.

    :param job: the job.
    :param step: its step that waits.
    :param now: monotonic time, in seconds.
    :returns: the level; acceptable if any task of the job is bound to a worker.
    """
    waited_s = now - step.unplaced_since if step.unplaced_since else 0
    if waited_s <= _STARVED_AFTER_S or _has_bound_task(job):
        return WaitingLevel.ACCEPTABLE
    if waited_s <= _LONG_STARVED_AFTER_S:
        return WaitingLevel.STARVED
    return WaitingLevel.LONG_STARVED


def is_slow_start_allowed(waiting: WaitingLevel, worker: WorkerState) -> bool:
    """
    Tell whether a filler may start where it would be slow.

    :param waiting: how long its job has waited without a run.
    :param worker: the worker.
    :returns: whether the worker may get it.
    """
    if waiting == WaitingLevel.STARVED:
        return not worker.filler_cpu
    return waiting == WaitingLevel.LONG_STARVED


def _has_bound_task(job: JobRuntimeState) -> bool:
    return any(
        step.count_by_worker
        for occurrence in job.occurrence_by_number.values()
        for step in occurrence.steps
    )

"""Relief of overloaded workers.

A task is throttled first; if that does not suffice, it is checkpointed and
evicted. The task whose eviction loses the least work is chosen first.
"""

from dataclasses import dataclass, replace

from ragwortfield.core.jobs import (
    Job,
    JobState,
    TaskReport,
    Worker,
    WorkerReport,
)
from ragwortfield.types import JobId

#: Utilisation of a worker, 0 to 1, from which it is under pressure.
PRESSURE_UTILISATION = 0.95
#: Utilisation, 0 to 1, below which the pressure is over. The distance to
#: ``PRESSURE_UTILISATION`` prevents alternating throttling and release.
_RELIEF_UTILISATION = 0.85
#: Consecutive reports with pressure that are required for an action.
_PRESSURE_REPORTS_TO_ACT = 2
#: Fraction of its granted CPU that a throttled task may use.
THROTTLED_CPU_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPressure:
    """
    Pressure on one worker according to its reports.

    :param reports: consecutive reports that showed pressure.
    :param throttled_job: job whose task is throttled; empty if there is none.
    """

    reports: int = 0
    throttled_job: JobId = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask:
    """
    Order to limit the CPU of a task.

    :param share: fraction of the granted CPU; 1 lifts the limit.
    """

    job_id: JobId
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EvictTask:
    """Order to checkpoint and stop a task."""

    job_id: JobId


@dataclass(frozen=True, kw_only=True, slots=True)
class PressureUpdate:
    """New pressure state and the action to take, if any."""

    pressure: WorkerPressure
    action: ThrottleTask | EvictTask | None = None


def update_pressure(
    pressure: WorkerPressure,
    worker: Worker,
    report: WorkerReport,
    job_by_id: dict[JobId, Job],
) -> PressureUpdate:
    """
    Update the pressure on a worker with its latest report.

    :param pressure: pressure before the report.
    :param report: latest report of the worker.
    :param job_by_id: known jobs; only tasks of bound jobs are throttled or
        evicted.
    :returns: the new state and the action to take.
    """
    utilisation = report.usage.dominant_share(worker.capacity)
    if utilisation < _RELIEF_UTILISATION:
        if pressure.throttled_job:
            return PressureUpdate(
                pressure=WorkerPressure(),
                action=ThrottleTask(job_id=pressure.throttled_job, share=1),
            )
        return PressureUpdate(pressure=WorkerPressure())
    if utilisation < PRESSURE_UTILISATION:
        return PressureUpdate(pressure=replace(pressure, reports=0))
    reports = pressure.reports + 1
    if reports < _PRESSURE_REPORTS_TO_ACT:
        return PressureUpdate(pressure=replace(pressure, reports=reports))
    victim = _choose_victim(report, job_by_id)
    if victim is None:
        return PressureUpdate(pressure=replace(pressure, reports=0))
    if pressure.throttled_job and victim.job_id == pressure.throttled_job:
        return PressureUpdate(
            pressure=WorkerPressure(),
            action=EvictTask(job_id=victim.job_id),
        )
    return PressureUpdate(
        pressure=WorkerPressure(throttled_job=victim.job_id),
        action=ThrottleTask(job_id=victim.job_id, share=THROTTLED_CPU_SHARE),
    )


def _choose_victim(
    report: WorkerReport,
    job_by_id: dict[JobId, Job],
) -> TaskReport | None:
    candidates = [
        task
        for task in report.tasks
        if task.job_id in job_by_id
        and job_by_id[task.job_id].state is JobState.BOUND
        and job_by_id[task.job_id].generation == task.generation
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda task: (
            -job_by_id[task.job_id].spec.urgency,
            job_by_id[task.job_id].evictions,
            task.ran_s,
            task.job_id,
        ),
    )

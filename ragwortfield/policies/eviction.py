"""Eviction: throttle first, then checkpoint and stop, least work lost first."""

from dataclasses import dataclass, replace

from ragwortfield.core.jobs import (
    Job,
    JobState,
    TaskReport,
    Worker,
    WorkerReport,
)
from ragwortfield.types import JobId

#: Load at which a worker counts as under pressure.
PRESSURE_UTILISATION = 0.95
#: Load below which pressure counts as over; the gap keeps a worker from
#: being throttled and released by turns.
_RELIEF_UTILISATION = 0.85
#: Reports in a row that must show pressure before a step is taken.
_PRESSURE_REPORTS_TO_ACT = 2
#: Share of its processor grant that a throttled task keeps.
THROTTLED_CPU_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerPressure:
    """
    Pressure on one worker, over its reports.

    :param reports: reports in a row that showed pressure.
    :param throttled_job: task that was throttled; empty for none.
    """

    reports: int = 0
    throttled_job: JobId = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask:
    """Order to throttle a task, or to lift it with a share of 1."""

    job_id: JobId
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EvictTask:
    """Order to checkpoint and stop a task."""

    job_id: JobId


@dataclass(frozen=True, kw_only=True, slots=True)
class PressureUpdate:
    """Next state of the pressure, and what to do."""

    pressure: WorkerPressure
    action: ThrottleTask | EvictTask | None = None


def update_pressure(
    pressure: WorkerPressure,
    worker: Worker,
    report: WorkerReport,
    job_by_id: dict[JobId, Job],
) -> PressureUpdate:
    """
    Take one report of a worker into account.

    :param pressure: state so far.
    :param worker: the worker.
    :param report: its newest report.
    :param job_by_id: jobs known; only bound ones are victims.
    :returns: the next state, and the step to take.
    """
    load = report.usage.dominant_share(worker.capacity)
    if load < _RELIEF_UTILISATION:
        if pressure.throttled_job:
            return PressureUpdate(
                pressure=WorkerPressure(),
                action=ThrottleTask(job_id=pressure.throttled_job, share=1),
            )
        return PressureUpdate(pressure=WorkerPressure())
    if load < PRESSURE_UTILISATION:
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

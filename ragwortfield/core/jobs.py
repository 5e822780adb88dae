"""Batch jobs, workers and the resources that workers grant to jobs."""

from dataclasses import dataclass, field
from enum import StrEnum

from ragwortfield.core.resources import Resources, sum_resources
from ragwortfield.types import JobId, Seconds, TeamName, WallTime, WorkerId


class JobState(StrEnum):
    """Lifecycle state of a job."""

    PENDING = 'pending'
    BOUND = 'bound'
    STOPPING = 'stopping'
    DONE = 'done'
    PARKED = 'parked'
    CANCELLED = 'cancelled'


#: States that a job never leaves.
TERMINAL_STATES = frozenset(
    (
        JobState.DONE,
        JobState.PARKED,
        JobState.CANCELLED,
    )
)
#: States in which a job holds granted resources on a worker.
GRANTED_STATES = frozenset((JobState.BOUND, JobState.STOPPING))


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """
    Specification of a job as its team submitted it.

    :param resources: resources that the team requested; often inaccurate.
    :param command: opaque text that is passed to the worker.
    :param urgency: placement priority; jobs with smaller values come first.
    """

    name: str
    team: TeamName
    resources: Resources
    command: str
    urgency: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """
    Batch job as stored in the platform's table.

    :param generation: incremented with every binding; fencing token of starts.
    :param worker: worker that the job is bound to; empty if there is none.
    :param checkpoint: checkpoint to resume from, as reported by the worker.
    :param failed_workers: workers on which the job failed, oldest first.
    :param evictions: number of evictions so far.
    :param lease_until: upper bound on the end of every lease granted so far.
    """

    job_id: JobId
    spec: JobSpec
    state: JobState = JobState.PENDING
    generation: int = 0
    worker: WorkerId = ''
    checkpoint: str = ''
    failed_workers: tuple[WorkerId, ...] = ()
    evictions: int = 0
    reason: str = ''
    is_cancel_wanted: bool = False
    submitted_at: WallTime = 0
    started_at: WallTime = 0
    ended_at: WallTime = 0
    lease_until: WallTime = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRow:
    """Job with the key and the version of its row."""

    key: str
    version: int
    job: Job


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Resources of a worker granted to one generation of a job."""

    generation: int
    resources: Resources
    team: TeamName = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """
    Worker as stored in the platform's table.

    :param reserved: resources that are not available to jobs.
    :param grants: granted resources by job; a job that is being stopped keeps
        its grant until the stop is confirmed.
    :param failures: jobs that failed here since the last success, oldest
        first.
    :param quarantined_until: end of the quarantine; no job is started on the
        worker before it.
    :param quarantines: quarantines in a row without a success in between.
    :param is_draining: whether the worker gets no new jobs.
    """

    worker_id: WorkerId
    address: str
    capacity: Resources
    reserved: Resources = field(default_factory=Resources)
    grants: dict[JobId, Grant] = field(default_factory=dict)
    failures: tuple[JobId, ...] = ()
    quarantined_until: WallTime = 0
    quarantines: int = 0
    is_draining: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerRow:
    """Worker with the key and the version of its row."""

    key: str
    version: int
    worker: Worker


def sum_granted_resources(worker: Worker) -> Resources:
    """Add up the resources of a worker that are reserved or granted."""
    return sum_resources(
        [
            worker.reserved,
            *(grant.resources for grant in worker.grants.values()),
        ]
    )


def is_within_capacity(worker: Worker) -> bool:
    """Return whether reserved and granted resources fit a worker's capacity."""
    return sum_granted_resources(worker).is_within(worker.capacity)


class TaskPhase(StrEnum):
    """Phase of a task as reported by its worker."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskReport:
    """
    Status of one task as reported by its worker.

    :param usage: measured usage; lags behind the actual usage.
    :param checkpoint: checkpoint from which the task can be resumed.
    :param ran_s: time for which the task has run, in seconds.
    """

    job_id: JobId
    generation: int
    phase: TaskPhase
    usage: Resources = field(default_factory=Resources)
    checkpoint: str = ''
    reason: str = ''
    ran_s: Seconds = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReport:
    """Usage of a worker and status of its tasks, as the worker reports it."""

    worker_id: WorkerId
    tasks: tuple[TaskReport, ...] = ()
    usage: Resources = field(default_factory=Resources)

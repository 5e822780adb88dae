"""Batch jobs and the grants they hold on workers."""

from dataclasses import dataclass, field
from enum import StrEnum

from ragwortfield.core.resources import Resources, sum_resources
from ragwortfield.types import JobId, Seconds, TeamName, WallTime, WorkerId


class JobState(StrEnum):
    """Progress of a job."""

    PENDING = 'pending'
    BOUND = 'bound'
    STOPPING = 'stopping'
    DONE = 'done'
    PARKED = 'parked'
    CANCELLED = 'cancelled'


#: States in which a job will never run again.
TERMINAL_STATES = frozenset(
    (
        JobState.DONE,
        JobState.PARKED,
        JobState.CANCELLED,
    )
)
#: States in which a job holds a grant on a worker.
GRANTED_STATES = frozenset((JobState.BOUND, JobState.STOPPING))


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """
    Work as its team described it.

    :param resources: declared size; often wrong.
    :param command: opaque text handed to the worker.
    :param urgency: smaller is placed first.
    """

    name: str
    team: TeamName
    resources: Resources
    command: str
    urgency: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """
    Batch job as recorded in the platform's table.

    :param generation: grows with every binding (fencing token of starts).
    :param checkpoint: progress to resume from, as the worker reported it.
    :param failed_workers: workers on which it failed, oldest first.
    :param evictions: how often it was evicted.
    :param lease_until: no lease given so far can last beyond this time.
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
    """Job together with the key and the version of its row."""

    key: str
    version: int
    job: Job


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Part of a worker given to one generation of a job."""

    generation: int
    resources: Resources
    team: TeamName = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """
    Worker as recorded in the platform's table.

    :param grants: grants by job; an unconfirmed stop keeps its grant.
    :param failures: jobs that failed here since one ended well.
    :param quarantined_until: no new starts before this time.
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
    """Worker together with the key and the version of its row."""

    key: str
    version: int
    worker: Worker


def sum_granted_resources(worker: Worker) -> Resources:
    """
    Sum what a worker has given away.

    :param worker: the worker.
    :returns: reserved part and grants together.
    """
    return sum_resources(
        [
            worker.reserved,
            *(grant.resources for grant in worker.grants.values()),
        ]
    )


def is_within_capacity(worker: Worker) -> bool:
    """
    Tell whether a worker has given away no more than it has.

    :param worker: the worker.
    :returns: whether the invariant holds.
    """
    return sum_granted_resources(worker).is_within(worker.capacity)


class TaskPhase(StrEnum):
    """Phase of a task as its worker reports it."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskReport:
    """
    One task as its worker reports it.

    :param usage: measured usage; lags behind.
    :param checkpoint: progress that a resumed task may start from.
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
    """What a worker says about itself and its tasks."""

    worker_id: WorkerId
    tasks: tuple[TaskReport, ...] = ()
    usage: Resources = field(default_factory=Resources)

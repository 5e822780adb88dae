"""Jobs that the callers of a soak have submitted."""

from dataclasses import dataclass, field, replace
from random import Random

from ragwortfield.core.resources import Resources
from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.soak.site import Workload
from ragwortfield.types import JobId, MonotonicTime, Seconds

_JOB_ID_BITS = 64
_MS_PER_S = 1000
_MILLICORES_PER_CORE = 1000
#: Duration of a task that lasts, in seconds; longer than any soak.
_LASTING_S: Seconds = 100_000


@dataclass(kw_only=True, slots=True)
class SubmittedJob:
    """
    Job as its caller sees it.

    :param counts: number of tasks of each step; steps run one after another.
    :param is_impossible: whether all its tasks fail.
    :param accepted_at: first time of a response that accepted it.
    :param cancelled_at: time at which its caller first sent a cancellation.
    :param cancel_answered_at: time of the first response to a cancellation.
    :param shown_state: last state that a response showed.
    """

    job_id: JobId
    workload: Workload
    counts: tuple[int, ...]
    is_impossible: bool
    accepted_at: MonotonicTime | None = None
    cancelled_at: MonotonicTime | None = None
    cancel_answered_at: MonotonicTime | None = None
    shown_state: str = ''

    @property
    def is_lasting(self) -> bool:
        """Whether the tasks last until the job is cancelled."""
        return not self.workload.duration_s

    @property
    def path(self) -> str:
        """Path of the job at any instance."""
        return f'{self.workload.prefix}{self.job_id}'

    def encode(self) -> bytes:
        """
        Encode the job as its caller submits it.

        :returns: the document as JSON.
        """
        duration_s = self.workload.duration_s or _LASTING_S
        resources = self.workload.resources
        return encode_job(
            'fail' if self.is_impossible else f'sleep {duration_s}',
            self.counts,
            cpu=int(resources.cpu * _MILLICORES_PER_CORE),
            mem_mb=resources.memory_mb,
            est_ms=int(duration_s * _MS_PER_S),
            long_lived=self.is_lasting,
            fills=self.workload.is_filler,
            saves_progress=self.workload.is_filler,
            image=self.workload.prefix.strip('/'),
        )


@dataclass(kw_only=True, slots=True)
class JobBook:
    """
    All jobs of a soak.

    :param impossible_share: share of the new jobs whose tasks all fail.
    """

    random: Random
    impossible_share: float = 0
    job_by_id: dict[JobId, SubmittedJob] = field(default_factory=dict)

    def create(self, workload: Workload) -> SubmittedJob:
        """
        Create a job.

        :param workload: kind of the job.
        :returns: the job, which nobody has submitted yet.
        """
        steps = self.random.randint(1, workload.max_steps)
        is_impossible = self.random.random() < self.impossible_share
        job = SubmittedJob(
            job_id=f'{self.random.getrandbits(_JOB_ID_BITS):016x}',
            workload=workload,
            counts=(workload.tasks,) * steps,
            is_impossible=is_impossible and bool(workload.duration_s),
        )
        self.job_by_id[job.job_id] = job
        return job

    def list_accepted(self) -> list[SubmittedJob]:
        """
        List the jobs that were accepted and that nobody has cancelled.

        :returns: the jobs in the order of their creation.
        """
        return [
            job
            for job in self.job_by_id.values()
            if job.accepted_at is not None and job.cancelled_at is None
        ]

    def list_cancelled(self) -> list[SubmittedJob]:
        """
        List the jobs whose cancellation was answered.

        :returns: the jobs in the order of their creation.
        """
        return [
            job
            for job in self.job_by_id.values()
            if job.cancel_answered_at is not None
        ]

    def find_resources(self, key: TaskKey) -> Resources:
        """
        Find what a task uses.

        :param key: the task.
        :returns: its resources.
        """
        workload = self.job_by_id[key.job_id].workload
        if workload.is_filler:
            return replace(workload.resources, cpu=0)
        return workload.resources

"""What callers are told about jobs and queues."""

from enum import StrEnum

from ragwortfield.scheduling.job_rows import JobRow
from ragwortfield.scheduling.tables import ShardTables


class JobStatus(StrEnum):
    """State of a job as its caller sees it."""

    PENDING = 'pending'
    ACTIVE = 'active'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


def status_of(job: JobRow) -> JobStatus:
    """
    Tell the state of a job; final states only once they are durable.

    :param job: the job.
    :returns: its state.
    """
    if job.is_durably_done:
        return JobStatus.COMPLETE
    if job.is_cancelled:
        return JobStatus.CANCELLED
    if job.is_durably_failed:
        return JobStatus.FAILED
    return JobStatus.ACTIVE if job.has_run else JobStatus.PENDING


def waiting_count(tables: ShardTables, queue: str) -> int:
    """
    Count the jobs of a queue of which no task has started.

    :param tables: tables of the shard.
    :param queue: name of the queue.
    :returns: the number of jobs.
    """
    return sum(
        not job.has_run and not job.is_closed()
        for job in tables.job_by_id.values()
        if job.job.queue == queue
    )

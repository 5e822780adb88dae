"""Attribution of task failures to workers or jobs.

A worker on which jobs fail that run elsewhere is quarantined. A job that fails
on several workers is parked. The failure of a job does not count against a
worker if the job has failed on another worker as well.
"""

from dataclasses import replace

from ragwortfield.core.jobs import Job, JobRow, JobState, Worker
from ragwortfield.types import Seconds, WallTime

#: Distinct workers on which a job must fail before it is parked.
FAILED_WORKERS_TO_PARK = 3
#: Failures after which a job is parked regardless of the number of workers.
_FAILURES_TO_PARK = 6
#: Failed jobs after which a worker is quarantined if at least one of the jobs
#: completed elsewhere.
_CONFIRMED_FAILURE_LIMIT = 3
#: Failed jobs after which a worker is quarantined without such confirmation.
_UNCONFIRMED_FAILURE_LIMIT = 5
#: Maximum number of failed jobs that a worker's row stores.
_MAX_STORED_FAILURES = 8
#: Duration of the first quarantine, in seconds; doubles with each further one.
_INITIAL_QUARANTINE_S: Seconds = 30.0
#: Maximum duration of a quarantine, in seconds.
_MAX_QUARANTINE_S: Seconds = 3600.0


def clear_failures(worker: Worker) -> Worker:
    """
    Clear failures and quarantines of a worker after a task has succeeded.

    :returns: the changed worker.
    """
    return replace(
        worker,
        failures=(),
        quarantined_until=0,
        quarantines=0,
    )


def add_failure(
    worker: Worker,
    job: Job,
    job_rows: tuple[JobRow, ...],
    wall_time: WallTime,
) -> Worker:
    """
    Add a failure to a worker and quarantine the worker if it is at fault.

    :param job: job that failed on the worker, including this failure.
    :param job_rows: known jobs; they show which jobs ran elsewhere.
    :param wall_time: wall-clock time, in seconds.
    :returns: the changed worker.
    """
    failures = tuple(
        job_id for job_id in worker.failures if job_id != job.job_id
    )
    failures = (*failures, job.job_id)[-_MAX_STORED_FAILURES:]
    updated = replace(worker, failures=failures)
    if not _is_worker_at_fault(updated, job, job_rows):
        return updated
    duration_s = min(
        _INITIAL_QUARANTINE_S * 2**worker.quarantines,
        _MAX_QUARANTINE_S,
    )
    return replace(
        updated,
        failures=(),
        quarantined_until=wall_time + duration_s,
        quarantines=worker.quarantines + 1,
    )


def is_schedulable(worker: Worker, wall_time: WallTime) -> bool:
    """
    Return whether a worker may get new tasks.

    After a quarantine it gets one task at a time until one succeeds.

    :param wall_time: wall-clock time, in seconds.
    """
    if worker.is_draining or wall_time < worker.quarantined_until:
        return False
    return not worker.quarantines or not worker.grants


def is_job_at_fault(job: Job) -> bool:
    """Return whether a job has failed often enough to be parked."""
    failures = job.failed_workers
    return (
        len(set(failures)) >= FAILED_WORKERS_TO_PARK
        or len(failures) >= _FAILURES_TO_PARK
    )


def _is_worker_at_fault(
    worker: Worker,
    job: Job,
    job_rows: tuple[JobRow, ...],
) -> bool:
    job_by_id = {row.job.job_id: row.job for row in job_rows}
    job_by_id[job.job_id] = job
    attributed = [
        job_id
        for job_id in worker.failures
        if not _failed_elsewhere(job_by_id.get(job_id), worker)
    ]
    if len(attributed) >= _UNCONFIRMED_FAILURE_LIMIT:
        return True
    if worker.quarantines and attributed:
        return True
    completed_elsewhere = [
        job_id
        for job_id in attributed
        if job_id in job_by_id and job_by_id[job_id].state is JobState.DONE
    ]
    return (
        bool(completed_elsewhere)
        and len(attributed) >= _CONFIRMED_FAILURE_LIMIT
    )


def _failed_elsewhere(job: Job | None, worker: Worker) -> bool:
    return job is not None and any(
        name != worker.worker_id for name in job.failed_workers
    )

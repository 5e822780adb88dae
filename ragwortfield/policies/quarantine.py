"""Blame for failed tasks: the worker or the job.

A worker that fails what other workers run is quarantined; a job that fails on
several workers is parked. Failures of a job that failed elsewhere too say
nothing about a worker.
"""

from dataclasses import replace

from ragwortfield.core.jobs import Job, JobRow, JobState, Worker
from ragwortfield.types import Seconds, WallTime

#: Distinct workers on which a job must fail to be parked.
FAILED_WORKERS_TO_PARK = 3
#: Failures after which a job is parked, on however few workers.
_FAILURES_TO_PARK = 6
#: Failures that speak against a worker when a job of them ran elsewhere.
_CONFIRMED_FAILURE_LIMIT = 3
#: Failures that speak against a worker without such a proof.
_UNCONFIRMED_FAILURE_LIMIT = 5
#: Failures that a worker's row remembers.
_MAX_STORED_FAILURES = 8
#: First quarantine, in seconds; each further one lasts twice as long.
_FIRST_QUARANTINE_S: Seconds = 30.0
#: Longest quarantine, in seconds.
_LONGEST_QUARANTINE_S: Seconds = 3600.0


def clear_failures(worker: Worker) -> Worker:
    """
    Clear a worker on which a task ended well.

    :param worker: the worker.
    :returns: the worker without failures.
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
    Record a failure, and quarantine the worker when it is to blame.

    :param worker: the worker.
    :param job: the job that failed on it.
    :param job_rows: jobs known, as evidence.
    :param wall_time: reading of the wall clock.
    :returns: the worker with the failure.
    """
    failures = tuple(
        job_id for job_id in worker.failures if job_id != job.job_id
    )
    failures = (*failures, job.job_id)[-_MAX_STORED_FAILURES:]
    failed = replace(worker, failures=failures)
    if not _is_worker_at_fault(failed, job, job_rows):
        return failed
    lasts_s = min(
        _FIRST_QUARANTINE_S * 2**worker.quarantines,
        _LONGEST_QUARANTINE_S,
    )
    return replace(
        failed,
        failures=(),
        quarantined_until=wall_time + lasts_s,
        quarantines=worker.quarantines + 1,
    )


def is_schedulable(worker: Worker, wall_time: WallTime) -> bool:
    """
    Tell whether a worker may get new tasks.

    After a quarantine it gets one at a time until one ends well.

    :param worker: the worker.
    :param wall_time: reading of the wall clock.
    :returns: whether it may.
    """
    if worker.is_draining or wall_time < worker.quarantined_until:
        return False
    return not worker.quarantines or not worker.grants


def is_job_at_fault(job: Job) -> bool:
    """
    Tell whether a job failed often enough to be parked.

    :param job: the job with its failures.
    :returns: whether it did.
    """
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
    counted = [
        job_id
        for job_id in worker.failures
        if not _failed_elsewhere(job_by_id.get(job_id), worker)
    ]
    if len(counted) >= _UNCONFIRMED_FAILURE_LIMIT:
        return True
    if worker.quarantines and counted:
        return True
    ran_elsewhere = [
        job_id
        for job_id in counted
        if job_id in job_by_id and job_by_id[job_id].state is JobState.DONE
    ]
    return bool(ran_elsewhere) and len(counted) >= _CONFIRMED_FAILURE_LIMIT


def _failed_elsewhere(job: Job | None, worker: Worker) -> bool:
    return job is not None and any(
        name != worker.worker_id for name in job.failed_workers
    )

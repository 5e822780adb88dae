"""Rows of jobs and workers in the platform's table."""

import uuid

from ragwortfield.adapters.json_codec import (
    Malformed,
    from_document,
    to_document,
)
from ragwortfield.core.configuration import Configuration
from ragwortfield.core.jobs import Job, JobRow, JobSpec, Worker, WorkerRow
from ragwortfield.core.seats import SeatId
from ragwortfield.log import event
from ragwortfield.ports.platform import Rows, Write
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.types import DataCentreName, JobId, WallTime, WorkerId


def create_job(spec: JobSpec, data_centre: str, wall_time: WallTime) -> Job:
    """
    Make a job with an identifier of its own.

    :param spec: the work.
    :param data_centre: where it is to run.
    :param wall_time: reading of the wall clock.
    :returns: the pending job.
    """
    return Job(
        job_id=f'{data_centre}.{uuid.uuid4().hex}',
        spec=spec,
        submitted_at=wall_time,
    )


def job_row_key(configuration: Configuration, job_id: JobId) -> str | None:
    """
    Find the row of a job.

    :param configuration: the configuration in force.
    :param job_id: the job.
    :returns: key of its row; ``None`` when the text is no job's.
    """
    name = job_id.partition('.')[0]
    place = configuration.data_centres.get(name)
    if place is None or '/' in job_id:
        return None
    index = stable_hash(job_id) % place.seats
    seat_id = SeatId(data_centre=name, index=index)
    return job_row_prefix(seat_id) + job_id


def job_row_prefix(seat_id: SeatId) -> str:
    """
    Give the start of the keys of a seat's jobs.

    :param seat_id: the seat.
    :returns: the prefix.
    """
    return f'jobs/{seat_id.data_centre}/{seat_id.index}/'


def worker_row_key(data_centre: DataCentreName, worker_id: WorkerId) -> str:
    """
    Give the key of a worker's row.

    :param data_centre: where the worker stands.
    :param worker_id: the worker.
    :returns: the key.
    """
    return f'workers/{data_centre}/{worker_id}'


def job_rows(found: Rows) -> tuple[JobRow, ...]:
    """
    Read jobs out of rows.

    :param found: the rows.
    :returns: the jobs; malformed rows are logged and left out.
    """
    rows = []
    for row in found.rows:
        job = from_document(row.body, Job)
        if isinstance(job, Malformed):
            event('job_row_malformed', key=row.key, reason=job.reason)
            continue
        rows.append(JobRow(key=row.key, version=row.version, job=job))
    return tuple(rows)


def worker_rows(found: Rows) -> tuple[WorkerRow, ...]:
    """
    Read workers out of rows.

    :param found: the rows.
    :returns: the workers; malformed rows are logged and left out.
    """
    rows = []
    for row in found.rows:
        worker = from_document(row.body, Worker)
        if isinstance(worker, Malformed):
            event('worker_row_malformed', key=row.key, reason=worker.reason)
            continue
        rows.append(
            WorkerRow(key=row.key, version=row.version, worker=worker),
        )
    return tuple(rows)


def make_job_write(row: JobRow, job: Job) -> Write:
    """
    Make the write that changes a job.

    :param row: the job as read.
    :param job: the job as it shall be.
    :returns: the write.
    """
    return Write(
        key=row.key,
        expected_version=row.version,
        body=to_document(job),
    )


def make_worker_write(row: WorkerRow, worker: Worker) -> Write:
    """
    Make the write that changes a worker.

    :param row: the worker as read.
    :param worker: the worker as it shall be.
    :returns: the write.
    """
    return Write(
        key=row.key,
        expected_version=row.version,
        body=to_document(worker),
    )

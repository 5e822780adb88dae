"""Keys, parsing and writes of job and worker rows in the platform's table."""

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
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.ports.platform import Rows, Write
from ragwortfield.types import DataCentreName, JobId, WallTime, WorkerId


def create_job(spec: JobSpec, data_centre: str, wall_time: WallTime) -> Job:
    """
    Create a pending job with a new identifier.

    :param spec: what to run, for whom and with which resources.
    :param data_centre: name of the data centre in which the job is to run.
    :param wall_time: wall-clock time, in seconds.
    :returns: the job, not written to the table yet.
    """
    return Job(
        job_id=f'{data_centre}.{uuid.uuid4().hex}',
        spec=spec,
        submitted_at=wall_time,
    )


def job_row_key(configuration: Configuration, job_id: JobId) -> str | None:
    """
    Make the row key of a job.

    :param configuration: the configuration in force.
    :param job_id: identifier of the job.
    :returns: key of its row; ``None`` if the text cannot be the identifier
        of a job.
    """
    data_centre_name = job_id.partition('.')[0]
    data_centre_settings = configuration.data_centres.get(data_centre_name)
    if data_centre_settings is None or '/' in job_id:
        return None
    index = stable_hash(job_id) % data_centre_settings.seats
    seat_id = SeatId(data_centre=data_centre_name, index=index)
    return job_row_prefix(seat_id) + job_id


def job_row_prefix(seat_id: SeatId) -> str:
    """
    Make the prefix of the row keys of a seat's jobs.

    :param seat_id: the seat.
    :returns: the prefix.
    """
    return f'jobs/{seat_id.data_centre}/{seat_id.index}/'


def worker_row_key(data_centre: DataCentreName, worker_id: WorkerId) -> str:
    """
    Make the row key of a worker.

    :param data_centre: name of the worker's data centre.
    :param worker_id: identifier of the worker.
    :returns: the key.
    """
    return f'workers/{data_centre}/{worker_id}'


def parse_job_rows(scanned_rows: Rows) -> tuple[JobRow, ...]:
    """
    Parse the rows of jobs.

    :param scanned_rows: the rows as scanned.
    :returns: the jobs with key and version; malformed rows are logged and
        skipped.
    """
    rows = []
    for row in scanned_rows.rows:
        job = from_document(row.body, Job)
        if isinstance(job, Malformed):
            event('job_row_malformed', key=row.key, reason=job.reason)
            continue
        rows.append(JobRow(key=row.key, version=row.version, job=job))
    return tuple(rows)


def parse_worker_rows(scanned_rows: Rows) -> tuple[WorkerRow, ...]:
    """
    Parse the rows of workers.

    :param scanned_rows: the rows as scanned.
    :returns: the workers with key and version; malformed rows are logged and
        skipped.
    """
    rows = []
    for row in scanned_rows.rows:
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
    Make a write that replaces a job unless its row has changed.

    :param row: the row as last read or written.
    :param job: the new state of the job.
    :returns: the write, conditional on the row's version.
    """
    return Write(
        key=row.key,
        expected_version=row.version,
        body=to_document(job),
    )


def make_worker_write(row: WorkerRow, worker: Worker) -> Write:
    """
    Make a write that replaces a worker unless its row has changed.

    :param row: the row as last read or written.
    :param worker: the new state of the worker.
    :returns: the write, conditional on the row's version.
    """
    return Write(
        key=row.key,
        expected_version=row.version,
        body=to_document(worker),
    )

"""State transitions of jobs: reports, expired leases and cancellations."""

from dataclasses import dataclass, replace

from ragwortfield.core.jobs import (
    GRANTED_STATES,
    Job,
    JobRow,
    JobState,
    TaskPhase,
    TaskReport,
    Worker,
    WorkerReport,
    WorkerRow,
)
from ragwortfield.policies.quarantine import (
    add_failure,
    clear_failures,
    is_job_at_fault,
)
from ragwortfield.types import JobId, Seconds, WallTime


@dataclass(frozen=True, kw_only=True, slots=True)
class JobTransition:
    """
    Transaction that changes a job and possibly the grant on its worker.

    :param worker_row: the worker as read; ``None`` if it does not change.
    :param worker: the worker after the grant is removed; ``None`` if it does
        not change.
    :param is_task_finished: whether the worker may discard its report of the
        task.
    """

    job_row: JobRow
    job: Job
    worker_row: WorkerRow | None = None
    worker: Worker | None = None
    is_task_finished: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseEvidence:
    """
    Evidence on the lease of a task that its worker does not report.

    :param lease_until: end of the last lease that was granted.
    :param clock_bound_s: upper bound on the difference between two wall
        clocks, in seconds.
    :param is_worker_listed: whether the platform lists the worker.
    :param is_worker_heard: whether the worker is sending reports.
    """

    lease_until: WallTime
    clock_bound_s: Seconds
    is_worker_listed: bool
    is_worker_heard: bool


def derive_report_transition(
    job_row: JobRow,
    worker_row: WorkerRow,
    report: WorkerReport,
    job_rows: tuple[JobRow, ...],
    wall_time: WallTime,
) -> JobTransition | None:
    """
    Derive the transition of a job from a report of its worker.

    :param job_row: job that is bound to the worker.
    :param report: report of the worker.
    :param job_rows: known jobs; they help to attribute failures.
    :param wall_time: wall-clock time, in seconds.
    :returns: the transition; ``None`` if the report changes nothing.
    """
    task = _find_task_report(report, job_row.job)
    if task is None or task.phase is TaskPhase.RUNNING:
        return None
    if job_row.job.state not in GRANTED_STATES:
        return None
    if task.phase is TaskPhase.DONE:
        job = replace(
            job_row.job,
            state=JobState.DONE,
            ended_at=wall_time,
            reason='',
        )
        worker = clear_failures(worker_row.worker)
    elif task.phase is TaskPhase.FAILED:
        job = _apply_failure(job_row.job, task, wall_time)
        worker = add_failure(worker_row.worker, job, job_rows, wall_time)
    else:
        job = _apply_stop(job_row.job, task, wall_time)
        worker = worker_row.worker
    return JobTransition(
        job_row=job_row,
        job=job,
        worker_row=worker_row,
        worker=_remove_grant(worker, job.job_id),
        is_task_finished=True,
    )


def derive_expiry_transition(
    job_row: JobRow,
    worker_row: WorkerRow | None,
    evidence: LeaseEvidence,
    wall_time: WallTime,
) -> JobTransition | None:
    """
    Unbind a job whose lease has certainly expired at its worker.

    A worker that is listed but unreachable may have finished the task. The job
    then stays bound until the worker reports, so that finished work is not
    repeated.

    :param job_row: bound job that its worker does not report.
    :param worker_row: the worker; ``None`` if its row no longer exists.
    :param evidence: evidence on the lease and the worker.
    :param wall_time: wall-clock time, in seconds.
    :returns: the transition; ``None`` while the task may still be running.
    """
    if job_row.job.state not in GRANTED_STATES:
        return None
    if evidence.is_worker_listed and not evidence.is_worker_heard:
        return None
    # The bound counts twice: for the clock of the worker and for this one.
    if wall_time <= evidence.lease_until + 2 * evidence.clock_bound_s:
        return None
    job = replace(
        job_row.job,
        state=_state_after_stop(job_row.job),
        worker='',
        reason=f'the lease ended at worker {job_row.job.worker}',
        ended_at=wall_time if job_row.job.is_cancel_wanted else 0,
    )
    if worker_row is None:
        return JobTransition(job_row=job_row, job=job)
    return JobTransition(
        job_row=job_row,
        job=job,
        worker_row=worker_row,
        worker=_remove_grant(worker_row.worker, job.job_id),
    )


def derive_cancel_transition(
    job_row: JobRow, wall_time: WallTime
) -> JobTransition | None:
    """
    Derive the transition of a job whose cancellation was requested.

    :param wall_time: wall-clock time, in seconds.
    :returns: the transition; ``None`` if there is nothing to change.
    """
    job = job_row.job
    if not job.is_cancel_wanted:
        return None
    if job.state is JobState.PENDING:
        cancelled = replace(job, state=JobState.CANCELLED, ended_at=wall_time)
        return JobTransition(job_row=job_row, job=cancelled)
    if job.state is JobState.BOUND:
        return JobTransition(
            job_row=job_row,
            job=replace(job, state=JobState.STOPPING),
        )
    return None


def _find_task_report(report: WorkerReport, job: Job) -> TaskReport | None:
    for task in report.tasks:
        is_same_generation = task.generation == job.generation
        if task.job_id == job.job_id and is_same_generation:
            return task
    return None


def _apply_failure(job: Job, task: TaskReport, wall_time: WallTime) -> Job:
    failed = replace(
        job,
        state=_state_after_stop(job),
        worker='',
        failed_workers=(*job.failed_workers, job.worker),
        reason=f'failed on worker {job.worker}: {task.reason}',
    )
    if job.is_cancel_wanted:
        return replace(failed, ended_at=wall_time)
    if is_job_at_fault(failed):
        names = ', '.join(failed.failed_workers)
        return replace(
            failed,
            state=JobState.PARKED,
            reason=f'failed on workers {names}: {task.reason}',
            ended_at=wall_time,
        )
    return failed


def _apply_stop(job: Job, task: TaskReport, wall_time: WallTime) -> Job:
    stopped = replace(
        job,
        state=_state_after_stop(job),
        worker='',
        checkpoint=task.checkpoint,
    )
    if job.is_cancel_wanted:
        return replace(stopped, ended_at=wall_time)
    return replace(stopped, evictions=job.evictions + 1)


def _state_after_stop(job: Job) -> JobState:
    return JobState.CANCELLED if job.is_cancel_wanted else JobState.PENDING


def _remove_grant(worker: Worker, job_id: JobId) -> Worker:
    grants = {
        key: grant for key, grant in worker.grants.items() if key != job_id
    }
    return replace(worker, grants=grants)

"""Status of jobs, queues and shards for callers, logs and operators."""

from enum import StrEnum

from ragwortfield.scheduling.evacuated_zones import list_evacuated_workers
from ragwortfield.scheduling.job_state import JobRuntimeState
from ragwortfield.scheduling.shard_state import ShardState

#: Pace of a filler that is not throttled, in percent.
_FULL_PACE_PERCENT = 100


class JobStatus(StrEnum):
    """Status of a job as its caller sees it."""

    PENDING = 'pending'
    ACTIVE = 'active'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


def get_job_status(job: JobRuntimeState) -> JobStatus:
    """
    Return the status of a job.

    Final states are reported only once they are durable.
    """
    if job.is_durably_done:
        return JobStatus.COMPLETE
    if job.is_cancelled:
        return JobStatus.CANCELLED
    if job.is_durably_failed:
        return JobStatus.FAILED
    return JobStatus.ACTIVE if job.has_started else JobStatus.PENDING


def count_waiting_jobs(state: ShardState, queue: str) -> int:
    """Count the unfinished jobs of a queue of which no task has started."""
    return sum(
        is_waiting(job)
        for job in state.job_by_id.values()
        if job.job.queue == queue
    )


def is_waiting(job: JobRuntimeState) -> bool:
    """Return whether a job is unfinished and none of its tasks has started."""
    return not job.has_started and not job.is_closed()


def summarise_shard(state: ShardState) -> dict[str, int]:
    """
    Count the contents of a shard, for the log and for operators.

    :returns: counts by name.
    """
    tasks = [
        task
        for worker in state.worker_by_id.values()
        for task in worker.run_by_key.values()
    ]
    evacuated_workers = list_evacuated_workers(state)
    serving = [task for task in tasks if task.step.latency_target_ms]
    fillers = [task for task in tasks if task.step.is_filler]
    return {
        'jobs': sum(not job.finished_at for job in state.job_by_id.values()),
        'waiting_jobs': sum(map(is_waiting, state.job_by_id.values())),
        'workers': len(state.worker_by_id),
        'evacuated_workers': len(evacuated_workers),
        'evacuated_tasks': sum(
            len(worker.run_by_key) for worker in evacuated_workers
        ),
        'waiting': sum(
            len(step.waiting_indexes)
            for step in state.ready_step_by_key.values()
        ),
        'serving': len(serving),
        'over_target': sum(task.is_over_target() for task in serving),
        'fillers': len(fillers),
        'slowed': sum(task.pace < _FULL_PACE_PERCENT for task in fillers),
        'still': sum(task.pace == 0 for task in fillers),
        'others': len(tasks) - len(serving) - len(fillers),
        'unacknowledged': sum(
            worker.processed_end - worker.acknowledged_end
            for worker in state.worker_by_id.values()
        ),
    }

"""Quarantine of workers on which every task fails.

A worker can fail, or make no progress on, every task that it starts although
its health check passes. Each start there costs a task one of its few
attempts. So a worker is quarantined after failures of two different tasks
without a success in between. The quarantine gets longer with each repetition,
and after it one task at a time is admitted.
"""

from ragwortfield.log import event
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Consecutive failures of different tasks that quarantine a worker.
_FAILURES_BEFORE_QUARANTINE = 2
#: Length of the first quarantine, in seconds; it doubles with each repetition.
_FIRST_QUARANTINE_S: Seconds = 3
#: Longest quarantine, in seconds.
_MAX_QUARANTINE_S: Seconds = 12


def record_run_result(
    worker: WorkerState,
    task: TaskState,
    kind: EndKind,
    now: MonotonicTime,
) -> None:
    """
    Count the end of a run for or against its worker.

    :param worker: worker of the run.
    :param kind: how the run ended.
    """
    if kind == EndKind.DONE:
        worker.failed_task_keys.clear()
        worker.quarantine_count = 0
    elif kind == EndKind.FAILED:
        worker.failed_task_keys.add(task.key)
        if len(worker.failed_task_keys) >= _FAILURES_BEFORE_QUARANTINE:
            quarantine_worker(worker, now, 'failures')


def quarantine_worker(
    worker: WorkerState, now: MonotonicTime, reason: str
) -> None:
    """
    Give a worker no new tasks for a while.

    Does nothing if the worker is already quarantined.

    :param worker: the worker.
    :param now: monotonic time, in seconds.
    :param reason: reason for the log.
    """
    if now < worker.quarantined_until:
        return
    duration_s = min(
        _FIRST_QUARANTINE_S * 2**worker.quarantine_count, _MAX_QUARANTINE_S
    )
    worker.quarantine_count += 1
    worker.quarantined_until = now + duration_s
    event(
        'worker_resting',
        worker=worker.worker_id,
        reason=reason,
        failures=len(worker.failed_task_keys),
        rest_s=duration_s,
    )

"""Telling sick workers from tasks that cannot be done.

Pattern: a worker fails, or lets stand still, whatever it starts while its
health check is good. Each start there costs a task one of its few attempts,
so the worker rests after its second failure of different tasks without a
success between them. The rest grows with each repetition, and one task at a
time is let through after it.
"""

from ragwortfield.log import event
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Failures of different tasks in a row that make a worker rest.
_FAILURES_BEFORE_QUARANTINE = 2
#: First rest, in seconds; it doubles each time up to the longest.
_FIRST_QUARANTINE_S: Seconds = 3
_MAX_QUARANTINE_S: Seconds = 12


def record_run_result(
    worker: WorkerState,
    task: TaskState,
    kind: EndKind,
    now: MonotonicTime,
) -> None:
    """
    Count the end of a run for or against its worker.

    :param worker: where it ran.
    :param task: the task.
    :param kind: how the run ended.
    :param now: reading of the monotonic clock.
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

    :param worker: the worker.
    :param now: reading of the monotonic clock.
    :param reason: why, for the log.
    """
    if now < worker.quarantined_until:
        return
    length_s = min(
        _FIRST_QUARANTINE_S * 2**worker.quarantine_count, _MAX_QUARANTINE_S
    )
    worker.quarantine_count += 1
    worker.quarantined_until = now + length_s
    event(
        'worker_resting',
        worker=worker.worker_id,
        reason=reason,
        failures=len(worker.failed_task_keys),
        rest_s=length_s,
    )

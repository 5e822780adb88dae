"""Workers that get fewer starts because starts there do not succeed.

A worker can answer every poll, so that it counts as healthy, and still be of no
use: it carries out no start order, or it fails every task that it starts. Each
start there costs a task time, or one of its few attempts, and a worker on which
nothing runs ranks among the best. So it gets no starts for a while, longer with
each repetition, and then one task at a time until one succeeds.

A task that fails can also be at fault itself. A failure counts fully against
its worker only once the same task has succeeded on another worker.
"""

from ragwortfield.log import event
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Failures of different tasks, without a success of another task in between,
#: from which on a worker gets one task at a time, and that quarantine it if all
#: of these tasks have succeeded elsewhere.
_SUSPICIOUS_FAILURES = 2
#: Pause before the next start on a worker in doubt, in seconds; after a
#: quarantine it is as long as the first one.
_DOUBT_PAUSE_S: Seconds = 0.3
#: Length of the first quarantine, in seconds; it doubles with each repetition.
_FIRST_QUARANTINE_S: Seconds = 3
#: Longest quarantine, in seconds.
_MAX_QUARANTINE_S: Seconds = 12
#: Longest pause after starts without effect, in seconds.
_MAX_START_BACKOFF_S: Seconds = 4
#: Time for which a run has to go on before its worker gets another task while
#: it gets one at a time, in seconds.
_TRIAL_S: Seconds = 1
_FULL_PERCENT = 100


def record_failed_start(
    worker: WorkerState, now: MonotonicTime, *, first_pause_s: Seconds
) -> None:
    """
    Record that a start order had no effect.

    Failures during a pause are those of orders that were already under way, so
    they do not lengthen it.

    :param worker: worker of the order.
    :param now: monotonic time, in seconds.
    :param first_pause_s: pause after the first failure, in seconds; it doubles
        with each repetition.
    """
    if now < worker.start_backoff_until:
        return
    pause_s = min(
        first_pause_s * 2**worker.failed_start_count, _MAX_START_BACKOFF_S
    )
    worker.failed_start_count += 1
    worker.start_backoff_until = now + pause_s


def is_on_trial(
    worker: WorkerState, now: MonotonicTime, *, is_attempt_limited: bool
) -> bool:
    """
    Tell whether a worker must first run a task for a while.

    :param worker: the worker.
    :param now: monotonic time, in seconds.
    :param is_attempt_limited: whether a failure would cost the next task one of
        few attempts, and the task needs no other workers at the same time.
        Only then does a doubt about the worker count.
    :returns: whether it gets one task at a time and the latest has not run for
        long enough.
    """
    is_in_doubt = is_attempt_limited and (
        len(worker.failed_task_keys) >= _SUSPICIOUS_FAILURES
    )
    if not (
        worker.failed_start_count or worker.quarantine_count or is_in_doubt
    ):
        return False
    return any(
        task.not_running_since or now - task.started_at < _TRIAL_S
        for task in worker.run_by_key.values()
    )


def is_start_allowed(
    worker: WorkerState, bounds: TimingBounds, now: MonotonicTime
) -> bool:
    """
    Tell whether start orders may be sent to a worker.

    :param worker: the worker.
    :param bounds: durations in force.
    :param now: monotonic time, in seconds.
    :returns: whether it is listed and neither draining nor in an evacuated
        zone, is in contact, and has no pause under way.
    """
    paused_until = max(worker.start_backoff_until, worker.quarantined_until)
    is_in_service = worker.is_listed and not (
        worker.listed.is_draining or worker.is_evacuated
    )
    return (
        is_in_service
        and worker.is_in_contact(bounds, now)
        and now >= paused_until
    )


def is_usable(
    worker: WorkerState, bounds: TimingBounds, now: MonotonicTime
) -> bool:
    """
    Tell whether a worker can get a task of any kind.

    :param worker: the worker.
    :param bounds: durations in force.
    :param now: monotonic time, in seconds.
    :returns: whether starts are allowed and it is not on trial.
    """
    return is_start_allowed(worker, bounds, now) and not is_on_trial(
        worker, now, is_attempt_limited=False
    )


def record_run_result(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    kind: EndKind,
    now: MonotonicTime,
) -> None:
    """
    Count the end of a run for or against its worker.

    :param state: state of the shard.
    :param worker: worker of the run.
    :param task: task of the run.
    :param kind: how the run ended.
    :param now: monotonic time, in seconds.
    """
    if kind == EndKind.DONE:
        record_success(state, worker, task, now)
    elif kind == EndKind.FAILED and not is_at_work(task):
        worker.failed_task_keys.add(task.key)
        if len(worker.failed_task_keys) >= _SUSPICIOUS_FAILURES:
            pause_s = (
                _FIRST_QUARANTINE_S
                if worker.quarantine_count
                else _DOUBT_PAUSE_S
            )
            worker.start_backoff_until = max(
                worker.start_backoff_until, now + pause_s
            )


def is_at_work(task: TaskState) -> bool:
    """
    Tell whether a long-lived task has started up completely.

    :param task: the task.
    :returns: whether it did in its latest run; such a run shows that its worker
        can run it, however it ends.
    """
    return task.step.is_long_lived and task.percent >= _FULL_PERCENT


def record_success(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    now: MonotonicTime,
) -> None:
    """
    Record that a worker can run a task, and that others failed it.

    :param state: state of the shard.
    :param worker: worker of the run.
    :param task: task of the run.
    :param now: monotonic time, in seconds.
    """
    worker.failed_task_keys.clear()
    worker.blamed_task_keys.clear()
    worker.quarantine_count = 0
    for other_id in task.avoided_workers:
        other = state.worker_by_id.get(other_id)
        if other is None or task.key not in other.failed_task_keys:
            continue
        other.blamed_task_keys.add(task.key)
        if len(other.blamed_task_keys) >= _SUSPICIOUS_FAILURES:
            quarantine_worker(other, now, 'failures')


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

"""What the log tells about runs: their starts, their ends, closed jobs."""

from typing import Any

from absl import logging

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    LeaseOrder,
    LeaseReport,
    ListedEnd,
    ListedRun,
    OrderRefused,
    StartRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import format_task_key
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Time after the end of a job from which a run of it is logged, in seconds.
_STOP_ALLOWANCE_S: Seconds = 2
#: Stands in the log for the age of something that never was.
_NEVER = -1


def record_start_sent(
    state: ShardState, order: StartRun, now: MonotonicTime
) -> None:
    """
    Record, for the log, that a start order is sent at this moment.

    :param state: state of the shard.
    :param order: the order.
    :param now: monotonic time, in seconds.
    """
    task = state.find_run(order.key, order.run)
    if task is not None and task.run == order.run:
        task.order_sent_at = now


def describe_start(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> dict[str, Any]:
    """
    Tell for the log how old a binding was when its start order was sent.

    :param state: state of the shard.
    :param task: the task, which this owner has bound.
    :param now: monotonic time at which the order's outcome is known, in
        seconds.
    :returns: epoch; number of the commit with the binding; seconds from the
        binding to the latest order, from the time at which that order was
        queued to its sending, and from there to its outcome.
    """
    sent_at = task.order_sent_at
    return {
        'epoch': state.epoch,
        'commit': task.binding_commit,
        'bound_s': sent_at - task.ordered_at if sent_at else _NEVER,
        'queued_s': sent_at - task.order_queued_at if sent_at else _NEVER,
        'answer_s': now - sent_at if sent_at else _NEVER,
    }


def format_recorded_state(state: ShardState, key: TaskKey) -> str:
    """
    Format what this owner has recorded about a task.

    :param state: state of the shard.
    :param key: the task.
    :returns: its phase, its latest run and the worker of that, or why there is
        none.
    """
    task = state.find_task(key)
    if task is not None:
        return f'{task.phase.name.lower()}:{task.run}@{task.worker_id}'
    job = state.job_by_id.get(key.job_id)
    if job is None:
        return 'no_job'
    # The tasks of a finished occurrence are not loaded.
    occurrence = job.occurrence_by_number.get(key.occurrence)
    is_done = occurrence is not None and occurrence.is_durably_done
    return 'finished_occurrence' if is_done else 'no_task'


def format_release(task: TaskState, run: int) -> str:
    """
    Format why this owner has held a run for over.

    :param task: the task.
    :param run: number of the run.
    :returns: the reason; empty if this owner has not, or has released a later
        run since.
    """
    released = task.released
    if released is None or released.run != run:
        return ''
    return released.reason


def log_run_end(
    state: ShardState, worker: WorkerState, end: ListedEnd, effect: str
) -> None:
    """
    Log the end of a run that a worker lists.

    :param state: state of the shard, before the end is applied.
    :param worker: the worker.
    :param end: the end.
    :param effect: what it changes.
    """
    task = state.find_run(end.key, end.run)
    event(
        'run_ended',
        task=end.key.text(),
        run=end.run,
        worker=worker.worker_id,
        number=end.number,
        epoch=state.epoch,
        kind=end.kind.value,
        is_latest=task is not None and task.run == end.run,
        effect=effect,
        recorded=format_recorded_state(state, end.key),
    )


def log_acknowledgement(
    state: ShardState,
    worker: WorkerState,
    order: LeaseOrder,
    answer: LeaseReport | OrderRefused | Unavailable,
) -> None:
    """
    Log that a worker has been told that ends are noted, or may have been.

    It is called before the answer is applied.

    :param state: state of the shard.
    :param worker: the worker.
    :param order: the order that acknowledged ends, if any.
    :param answer: answer of the worker.
    """
    last = order.acknowledged_end
    if (
        isinstance(answer, OrderRefused)
        or last <= worker.acknowledged_to_worker
    ):
        return
    is_known = isinstance(answer, LeaseReport)
    if is_known and not answer.is_order_applied:
        return
    if not is_known:
        is_told = last <= worker.uncertain_acknowledgement
        if is_told or not answer.is_effect_possible:
            return
        worker.uncertain_acknowledgement = last
    event(
        'ends_acknowledged',
        worker=worker.worker_id,
        epoch=order.fencing_token,
        first=worker.acknowledged_to_worker + 1,
        last=last,
        commit=worker.acknowledged_commit,
        is_answered=is_known,
    )


def log_run_of_closed_job(
    state: ShardState, task: TaskState, now: MonotonicTime, *, is_start: bool
) -> None:
    """
    Log once that a task runs although its job is over.

    :param state: state of the shard.
    :param task: the task, which its worker has just reported as running.
    :param now: monotonic time, in seconds.
    :param is_start: whether the run is known only now; otherwise it is logged
        only if it goes on for long.
    """
    job = state.job_by_id[task.key.job_id]
    if task.is_close_logged or not job.is_closed():
        return
    closed_s = now - job.finished_at if job.finished_at else _NEVER
    if not is_start and closed_s <= _STOP_ALLOWANCE_S:
        return
    task.is_close_logged = True
    event(
        'run_of_closed_job',
        task=format_task_key(task),
        run=task.run,
        worker=task.worker_id,
        epoch=state.epoch,
        commit=task.binding_commit,
        is_start=is_start,
        is_cancelled=job.is_cancelled,
        closed_s=closed_s,
        bound_s=now - task.ordered_at if task.ordered_at else _NEVER,
    )


def log_second_run(
    state: ShardState, task: TaskState, worker: WorkerState, run: ListedRun
) -> None:
    """
    Log once that a worker reports a run of a task that runs elsewhere.

    It is no invariant, since workers may report anything. The run that is
    reported is stopped.

    :param state: state of the shard.
    :param task: the task.
    :param worker: the worker.
    :param run: the reported run, which the task is not bound to.
    """
    other = state.worker_by_id.get(task.worker_id)
    if other is None or other is worker or task.stage != RunStage.RUNNING:
        return
    is_later_run_heard = run.run < task.run and other.is_in_contact(
        state.bounds, worker.reported_at
    )
    if is_later_run_heard and task.second_run != run.run:
        task.second_run = run.run
        state.counts.second_runs += 1
        event(
            'second_run_reported',
            level=logging.ERROR,
            task=format_task_key(task),
            epoch=state.epoch,
            run=run.run,
            worker=worker.worker_id,
            current_run=task.run,
            current_worker=task.worker_id,
            current_s=worker.reported_at - task.started_at,
            released=format_release(task, run.run),
        )

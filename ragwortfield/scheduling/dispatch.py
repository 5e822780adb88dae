"""Binds waiting tasks to workers and queues their start orders."""

from collections.abc import Iterable, Iterator
from itertools import groupby

from ragwortfield.ports.task_worker import StartRun
from ragwortfield.scheduling.evacuated_zones import is_start_evacuated
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    RunStage,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.long_lived_growth import LongLivedGrowth
from ragwortfield.scheduling.place_wait import (
    PlaceWaits,
    put_last_tasks_first,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.scheduling.task_lifecycle import (
    bind_task,
    request_stop,
    update_waiting_step,
)
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Time after which an unanswered start order is sent again, in seconds.
_START_RETRY_INTERVAL_S: Seconds = 0.4
#: Number of bindings after which a round leaves the remaining steps to the
#: next one, so that the owner still answers pings while it places the tasks of
#: a whole deployment.
_MAX_BINDINGS_PER_ROUND = 512
#: Time without an answer to start orders after which a run is stopped, in
#: seconds; the shorter one holds if a report of the worker shows that the run
#: has not started.
_START_ANSWER_TIMEOUT_S: Seconds = 2.5
_REPORTED_ABSENCE_TIMEOUT_S: Seconds = 1
#: Age of a start order from which a report of the worker tells whether it was
#: carried out, in seconds.
_MIN_REPORTED_AGE_S: Seconds = 0.5


def dispatch(state: ShardState, now: MonotonicTime) -> int:
    """
    Bind waiting tasks to workers, the most urgent steps first.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :returns: number of tasks bound.
    """
    if not state.ready_step_by_key:
        return 0
    selector = WorkerSelector(state=state, now=now)
    waits = PlaceWaits(state=state, selector=selector, now=now)
    bound_count = 0
    by_priority = groupby(
        put_last_tasks_first(state, sort_by_urgency(state, now), now),
        key=lambda step: state.job_by_id[step.job_id].queue.priority,
    )
    for _, steps in by_priority:
        bound_count += _bind_steps(
            state, waits, steps, now, _MAX_BINDINGS_PER_ROUND - bound_count
        )
        if bound_count >= _MAX_BINDINGS_PER_ROUND:
            break
    return bound_count


def queue_start_order(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    """
    Queue a start order for a run whose binding is durable.

    The order expires with the start window, and the lease of the worker is
    assumed to last at least until then. Does nothing if the worker is unknown.

    :param state: state of the shard.
    :param task: the task.
    :param now: monotonic time, in seconds.
    """
    worker = state.worker_by_id.get(task.worker_id)
    if worker is None:
        return
    window_ms = state.bounds.start_window_s * MS_PER_S
    deadline_ms = worker.clock.earliest_ms(now) + window_ms
    task.stage = RunStage.ORDERED
    task.start_sent_at = task.start_sent_at or now
    task.order_queued_at = now
    task.order_deadline_ms = max(task.order_deadline_ms, deadline_ms)
    task.pending_start_calls += 1
    worker.lease_end_ms = max(worker.lease_end_ms, deadline_ms)
    state.orders.append(
        StartRun(
            worker_id=worker.worker_id,
            address=worker.listed.address,
            key=task.key,
            run=task.run,
            spec=state.job_by_id[task.key.job_id].job.spec,
            checkpoint=task.checkpoint,
            deadline_ms=int(deadline_ms),
            fencing_token=state.epoch,
            ticket=task.ticket,
            born_ms=worker.born_ms,
        ),
    )


def retry_start_orders(state: ShardState, now: MonotonicTime) -> None:
    """
    Queue unanswered start orders again; stop runs that get no answer.

    Does nothing while the ownership is in doubt, and repeats no start while
    cancellations or evacuations may be unknown. In an evacuated zone, the run
    is stopped instead.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    if not state.confirmation.is_valid(state.bounds, now):
        return
    unanswered = [
        (worker, task)
        for worker in state.worker_by_id.values()
        if worker.is_in_contact(state.bounds, now)
        for task in worker.run_by_key.values()
        if _is_unanswered(task)
    ]
    for worker, task in unanswered:
        waited_s = now - task.start_sent_at
        if waited_s > _get_answer_timeout_s(worker, task):
            request_stop(state, task, now)
        elif waited_s > _START_RETRY_INTERVAL_S:
            _retry_start_order(state, task, now)


def _retry_start_order(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    if is_start_evacuated(state, task):
        state.decisions.record(
            'evacuated_start_stopped',
            now,
            task=task.key.text(),
            run=task.run,
            worker=task.worker_id,
        )
        request_stop(state, task, now)
    elif state.is_inbox_current(now) and state.are_evacuations_current(now):
        queue_start_order(state, task, now)


def _is_unanswered(task: TaskState) -> bool:
    return (
        task.stage == RunStage.ORDERED
        and not task.pending_start_calls
        and task.order_deadline_ms > 0
        and not task.is_stop_wanted
    )


def _get_answer_timeout_s(worker: WorkerState, task: TaskState) -> Seconds:
    reported_age_s = worker.reported_at - task.start_sent_at
    if reported_age_s > _MIN_REPORTED_AGE_S:
        return _REPORTED_ABSENCE_TIMEOUT_S
    return _START_ANSWER_TIMEOUT_S


def _bind_steps(
    state: ShardState,
    waits: PlaceWaits,
    steps: Iterable[StepState],
    now: MonotonicTime,
    max_count: int,
) -> int:
    """
    Bind the waiting tasks of one priority.

    :param steps: the steps, most urgent first.
    :param max_count: number of bindings after which the remaining steps wait
        for the next round.
    :returns: number of tasks bound.
    """
    growth = LongLivedGrowth(state=state, selector=waits.selector, now=now)
    bound_count = 0
    for step in steps:
        if step.is_held_back and now < state.growth_retry_at:
            continue
        bound_count += _bind_step(state, waits, growth, step, now)
        if bound_count >= max_count:
            return bound_count
    if now >= state.growth_retry_at:
        bound_count += growth.bind(max_count - bound_count)
    return bound_count


def _bind_step(
    state: ShardState,
    waits: PlaceWaits,
    growth: LongLivedGrowth,
    step: StepState,
    now: MonotonicTime,
) -> int:
    job = state.job_by_id[step.job_id]
    step.is_waiting_for_rack = False
    if step.step.is_gang:
        bound_count = _bind_gang(state, waits, job, step, now)
    else:
        bound_count = _bind_tasks(state, waits, growth, step, now)
    update_waiting_step(state, step, now)
    return bound_count


def _bind_tasks(
    state: ShardState,
    waits: PlaceWaits,
    growth: LongLivedGrowth,
    step: StepState,
    now: MonotonicTime,
) -> int:
    job = state.job_by_id[step.job_id]
    selector = waits.selector
    bound_count = 0
    step.is_held_back = False
    waits.choose_rack(job, step)
    for task in _iterate_due_tasks(growth, job, step):
        worker = selector.select_worker(job, step, task)
        if waits.is_waiting(job, step, task, worker):
            continue
        if worker is None and task.avoided_workers:
            # Other tasks of the step may have fewer workers to avoid.
            continue
        if worker is None:
            break
        waits.record_binding(step, task, worker)
        bind_task(state, task, worker, run=task.next_run(), now=now)
        selector.update_after_binding(worker, step)
        bound_count += 1
    step.is_waiting_for_rack = waits.is_step_waiting(step)
    if bound_count and step.step.is_filler:
        group = state.get_filler_group(step)
        state.filler_bound_at_by_group[group] = now
    return bound_count


def _iterate_due_tasks(
    growth: LongLivedGrowth, job: JobRuntimeState, step: StepState
) -> Iterator[TaskState]:
    for index in tuple(step.waiting_indexes):
        if not growth.is_deferred(job, step, step.tasks[index]):
            yield step.tasks[index]


def _bind_gang(
    state: ShardState,
    waits: PlaceWaits,
    job: JobRuntimeState,
    step: StepState,
    now: MonotonicTime,
) -> int:
    if len(step.waiting_indexes) < step.step.count:
        return 0
    workers = waits.selector.select_gang_workers(job, step)
    if workers is None:
        return 0
    if waits.is_gang_waiting(job, step, workers):
        step.is_waiting_for_rack = True
        return 0
    run = max(task.run for task in step.tasks) + 1
    for task, worker in zip(step.tasks, workers, strict=True):
        waits.record_binding(step, task, worker)
        bind_task(state, task, worker, run=run, now=now)
        waits.selector.update_after_binding(worker, step)
    return len(workers)

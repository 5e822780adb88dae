"""Transitions of tasks between waiting, bound, done and failed."""

from ragwortfield.log import event
from ragwortfield.ports.task_worker import EndKind, StopRun
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    OccurrenceState,
    ReleasedRun,
    RunStage,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.records import TaskPhase
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Pause before an unanswered stop order is sent again, in seconds.
_STOP_RETRY_S: Seconds = 0.5
#: Limit of moves in a round: this many, or one for each so many workers of the
#: shard if that is more. Only the next round sees the room that moves take, and
#: their effect.
_MIN_MOVE_LIMIT = 4
_WORKERS_PER_MOVE = 6


def bind_task(
    state: ShardState,
    task: TaskState,
    worker: WorkerState,
    *,
    run: int,
    now: MonotonicTime,
) -> None:
    """
    Bind a waiting task to a worker.

    The start order follows once the binding is durable.

    :param state: state of the shard.
    :param task: a waiting task.
    :param worker: the worker.
    :param run: number of the new run.
    :param now: monotonic time, in seconds.
    """
    if worker.worker_id in task.avoided_workers:
        # No other worker could get the task, so from now on all of them have
        # the same chance again.
        task.avoided_workers.clear()
    step = state.get_step(task)
    step.waiting_indexes.pop(task.key.index, None)
    step.count_by_worker[worker.worker_id] = (
        step.count_by_worker.get(worker.worker_id, 0) + 1
    )
    task.phase = TaskPhase.BOUND
    task.stage = RunStage.UNCOMMITTED
    task.run = run
    task.worker_id = worker.worker_id
    ticket = step.ticket_by_worker.get(worker.worker_id)
    task.ticket = '' if ticket is None else ticket.text
    task.ordered_at = now
    task.start_sent_at = 0
    task.binding_commit = 0
    task.order_queued_at = 0
    task.order_sent_at = 0
    task.is_close_logged = False
    task.not_running_since = task.not_running_since or now
    task.order_deadline_ms = 0
    task.last_seen_clock_ms = 0
    task.started_at = 0
    task.is_duration_learned = False
    task.measured_since = 0
    task.measured_from_percent = 0
    task.percent = 0
    task.percent_changed_at = now
    task.is_resumed = bool(task.checkpoint)
    task.percent_seen_at = 0
    task.speed_since = 0
    task.reading = None
    task.own_utilisation = 0
    task.target_missed_since = 0
    task.pace = 100
    task.is_pace_known = True
    task.paced_at = 0
    task.is_pacing = False
    task.is_stop_wanted = False
    task.stop_sent_at = 0
    task.is_start_uncertain = False
    task.may_run_until = 0
    task.pending_start_calls = 0
    task.rack_wait_since = 0
    worker.add(task)
    state.uncommitted_bindings.append((task, run))
    state.mark_occurrence_dirty(state.get_occurrence(task))


def bind_copy(
    state: ShardState,
    task: TaskState,
    worker: WorkerState,
    now: MonotonicTime,
) -> None:
    """
    Bind a second run of a task to another worker.

    :param state: state of the shard.
    :param task: a bound task of a speculative step, without a second run.
    :param worker: the worker.
    :param now: monotonic time, in seconds.
    """
    run = task.next_run()
    task.copy = TaskState(
        key=task.key,
        step=task.step,
        checkpoint=task.checkpoint,
        is_copy=True,
        avoided_workers=task.avoided_workers,
    )
    bind_task(state, task.copy, worker, run=run, now=now)


def record_start(state: ShardState, task: TaskState) -> None:
    """
    Record that a worker has, or had, a run of a task.

    The first start in a job is written at once: its later owners could not
    learn of it any more if the worker were lost.

    :param state: state of the shard.
    :param task: the task.
    """
    occurrence = state.get_occurrence(task)
    occurrence.has_started = True
    job = state.job_by_id[task.key.job_id]
    if not job.has_started:
        job.has_started = True
        state.mark_occurrence_dirty(occurrence)


def release_task(state: ShardState, task: TaskState, reason: str) -> None:
    """
    Release a task from its worker and let it wait again.

    If it has a second run, that goes on alone.

    :param state: state of the shard.
    :param task: a bound task, or a second run, whose run is certainly over.
    :param reason: why the run is over, for the log.
    """
    event(
        'run_released',
        task=format_task_key(task),
        run=task.run,
        worker=task.worker_id,
        reason=reason,
    )
    released = ReleasedRun(
        run=task.run, worker_id=task.worker_id, reason=reason
    )
    if task.copy is not None:
        _exchange_runs(state, task.copy)
    state.get_step(task).tasks[task.key.index].released = released
    _unbind_task(state, task)
    task.phase = TaskPhase.WAITING
    if task.is_copy:
        _drop_copy(state, task)
        return
    step = state.get_step(task)
    step.waiting_indexes[task.key.index] = None
    step.is_held_back = False
    job = state.job_by_id[task.key.job_id]
    state.mark_occurrence_dirty(state.get_occurrence(task))
    update_ready_steps(state, job, state.get_occurrence(task))


def record_run_end(
    state: ShardState,
    task: TaskState,
    kind: EndKind,
    checkpoint: str,
    now: MonotonicTime,
) -> None:
    """
    Record how a run of a task ended.

    The first end as done counts. After it, and after the last failure allowed,
    a second run is left over, and its end changes nothing else.

    :param state: state of the shard.
    :param task: the task, or its second run.
    :param kind: how its run ended.
    :param checkpoint: last checkpoint of the run; empty for none.
    :param now: monotonic time, in seconds.
    """
    if task.is_copy and not _is_task_bound(state, task):
        release_task(state, task, f'left over, ended as {kind.value}')
        return
    if checkpoint:
        save_checkpoint(state, task, checkpoint)
    if kind == EndKind.DONE and not task.step.is_long_lived:
        if task.is_copy:
            state.decisions.count('straggler_copy_done_first')
        _complete_task(state, task, now)
        return
    if _is_unexpected_end(task, kind):
        task.avoided_workers.add(task.worker_id)
    task.not_running_since = now
    if task.phase == TaskPhase.BOUND:
        release_task(state, task, f'run ended as {kind.value}')
    if kind == EndKind.FAILED and not task.step.is_long_lived:
        _record_failure(state, task, now)


def record_former_run_done(
    state: ShardState, task: TaskState, run: int, now: MonotonicTime
) -> bool:
    """
    Record that a run of a speculative step ended as done, but is known late.

    Its lease has expired before its end was reported, so it is no longer bound.
    The run that has gone on instead is left over.

    :param state: state of the shard.
    :param task: the task, which waits or has another run.
    :param run: number of the run.
    :param now: monotonic time, in seconds.
    :returns: whether the end counts. It does not if the task has ended before,
        or has two more runs: only one can be left over.
    """
    step = task.step
    if not step.is_speculative or step.is_gang or step.is_long_lived:
        return False
    if task.copy is not None or run >= task.next_run():
        return False
    if task.phase == TaskPhase.BOUND:
        first = TaskState(key=task.key, step=step, run=run, copy=task)
        state.get_step(task).tasks[task.key.index] = first
        task.is_copy = True
        task = first
    elif task.phase != TaskPhase.WAITING:
        return False
    _complete_task(state, task, now)
    return True


def _is_unexpected_end(task: TaskState, kind: EndKind) -> bool:
    if kind in {EndKind.GANG_BROKEN, EndKind.GANG_INCOMPLETE}:
        # Another member of the gang may be the cause.
        return not task.step.is_gang
    return kind == EndKind.FAILED or not task.is_stop_wanted


def update_ready_steps(
    state: ShardState,
    job: JobRuntimeState,
    occurrence: OccurrenceState,
) -> None:
    """
    Add the steps of an occurrence that can start to the ready steps.

    Steps that no longer have waiting tasks, or whose job is closed, are
    removed.
    """
    for step in occurrence.steps:
        key = (job.job.job_id, occurrence.number, step.number)
        is_ready = (
            bool(step.waiting_indexes)
            and not job.is_closed()
            and all(
                occurrence.steps[number].is_done() for number in step.step.after
            )
        )
        if is_ready:
            state.ready_step_by_key[key] = step
        else:
            state.ready_step_by_key.pop(key, None)


def update_waiting_step(
    state: ShardState, step: StepState, now: MonotonicTime
) -> None:
    """
    Update since when a step waits, after a search for workers.

    :param state: state of the shard.
    :param step: the step.
    :param now: monotonic time, in seconds.
    """
    job = state.job_by_id[step.job_id]
    is_unplaced = bool(step.waiting_indexes) and not step.is_waiting_for_rack
    step.unplaced_since = (step.unplaced_since or now) if is_unplaced else 0
    update_ready_steps(state, job, job.occurrence_by_number[step.occurrence])


def stop_job(
    state: ShardState, job: JobRuntimeState, now: MonotonicTime
) -> None:
    """Stop all runs of a job that was cancelled or has failed."""
    for occurrence in job.occurrence_by_number.values():
        update_ready_steps(state, job, occurrence)
        for step in occurrence.steps:
            for task in step.tasks:
                # The release of one run puts the other one in its place.
                copy = task.copy
                if task.phase == TaskPhase.BOUND:
                    request_stop(state, task, now)
                if copy is not None:
                    request_stop(state, copy, now)


def complete_if_durably_done(job: JobRuntimeState, now: MonotonicTime) -> None:
    """
    Complete a job if the end of all its occurrences is stored.

    A cancellation does not matter then: the rows do not tell whether it came
    before or after the end.
    """
    done_count = sum(
        occurrence.is_durably_done
        for occurrence in job.occurrence_by_number.values()
    )
    if done_count == job.occurrence_count() and not job.is_durably_done:
        job.is_durably_done = True
        job.finished_at = job.finished_at or now


def get_move_limit(state: ShardState) -> int:
    """
    Return how many tasks one kind of move may stop in a round.

    :param state: state of the shard.
    :returns: number of tasks.
    """
    return max(_MIN_MOVE_LIMIT, len(state.worker_by_id) // _WORKERS_PER_MOVE)


def request_stop(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    """
    Request the end of a run.

    The stop order is sent again with each call, after a pause, until the
    worker reports the run as ended.

    :param state: state of the shard.
    :param task: a bound task.
    :param now: monotonic time, in seconds.
    """
    task.is_stop_wanted = True
    if task.stage == RunStage.UNCOMMITTED:
        # No start order was sent, so the worker cannot have the run.
        release_task(state, task, 'stopped before its start order was sent')
        return
    if now - task.stop_sent_at < _STOP_RETRY_S:
        return
    worker = state.worker_by_id.get(task.worker_id)
    if worker is None or not worker.listed.address:
        return
    task.stop_sent_at = now
    state.orders.append(
        StopRun(
            worker_id=worker.worker_id,
            address=worker.listed.address,
            key=task.key,
            run=task.run,
            fencing_token=state.epoch,
            born_ms=worker.born_ms,
        ),
    )


def save_checkpoint(
    state: ShardState,
    task: TaskState,
    checkpoint: str,
) -> None:
    """
    Save a checkpoint; one from any member of a gang is for the whole gang.

    :param state: state of the shard.
    :param task: the task that the checkpoint was reported for.
    :param checkpoint: the checkpoint.
    """
    if not task.step.is_gang:
        task.checkpoint = checkpoint
        return
    for member in state.get_step(task).tasks:
        member.checkpoint = checkpoint


def format_task_key(task: TaskState) -> str:
    """
    Format the identity of a task for the log.

    :returns: job, occurrence, step and index, joined by dots.
    """
    return task.key.text()


def _is_task_bound(state: ShardState, copy: TaskState) -> bool:
    task = state.find_task(copy.key)
    return task is not None and task.phase == TaskPhase.BOUND


def _exchange_runs(state: ShardState, copy: TaskState) -> None:
    """Make the second run of a task the first one, and the first the second."""
    step = state.get_step(copy)
    task = step.tasks[copy.key.index]
    step.tasks[copy.key.index] = copy
    copy.copy = task
    copy.is_copy = False
    task.copy = None
    task.is_copy = True
    copy.failures = task.failures
    copy.last_run = task.last_run
    copy.restart_count = task.restart_count
    if not copy.checkpoint or copy.percent < task.percent:
        copy.checkpoint = task.checkpoint


def _drop_copy(state: ShardState, copy: TaskState) -> None:
    task = state.find_task(copy.key)
    if task is None:
        return
    task.copy = None
    # Its number is not used again: a report of it may be under way.
    task.last_run = max(task.last_run, copy.run)
    state.mark_occurrence_dirty(state.get_occurrence(task))


def _complete_task(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    step = state.get_step(task)
    if task.is_copy:
        _exchange_runs(state, task)
    members = step.tasks if task.step.is_gang else [task]
    for member in members:
        if member.phase == TaskPhase.DONE:
            continue
        if member.phase == TaskPhase.BOUND:
            _unbind_task(state, member)
        step.waiting_indexes.pop(member.key.index, None)
        member.phase = TaskPhase.DONE
        step.done_count += 1
    occurrence = state.get_occurrence(task)
    state.mark_occurrence_dirty(occurrence)
    update_ready_steps(state, state.job_by_id[task.key.job_id], occurrence)
    if task.copy is not None:
        request_stop(state, task.copy, now)


def _record_failure(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    # A gang fails as a whole: its failures are counted at its first member,
    # once for each run.
    step = state.get_step(task)
    if task.step.is_gang and step.last_failed_run == task.run:
        return
    step.last_failed_run = task.run
    counted = step.tasks[0 if task.step.is_gang else task.key.index]
    counted.failures += 1
    job = state.job_by_id[task.key.job_id]
    if counted.phase == TaskPhase.BOUND and not task.step.is_gang:
        # Another run of the task goes on. It was allowed when it started.
        return
    if counted.failures >= job.queue.attempts and not job.is_closed():
        job.is_failed = True
        task.phase = TaskPhase.FAILED
        step.waiting_indexes.pop(task.key.index, None)
        stop_job(state, job, now)
        event(
            'job_failed',
            job=job.job.job_id,
            task=format_task_key(task),
            failures=counted.failures,
            attempts=job.queue.attempts,
        )


def _unbind_task(state: ShardState, task: TaskState) -> None:
    worker = state.worker_by_id.get(task.worker_id)
    if worker is not None:
        worker.remove(task)
    step = state.get_step(task)
    count = step.count_by_worker.get(task.worker_id, 0) - 1
    if count > 0:
        step.count_by_worker[task.worker_id] = count
    else:
        step.count_by_worker.pop(task.worker_id, None)
    task.stage = RunStage.NONE
    task.worker_id = ''
    task.is_stop_wanted = False

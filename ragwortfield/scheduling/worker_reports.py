"""Effects of worker reports and of outcomes of orders on runs."""

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseReport,
    ListedEnd,
    ListedRun,
    OrderDone,
    OrderOutcome,
    OrderRefused,
    Refusal,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.duration_learning import (
    learn_from_progress,
    learn_from_success,
)
from ragwortfield.scheduling.fence_refusals import record_fence_refusal
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.lease_log import log_adoption, log_lapse
from ragwortfield.scheduling.ownership_invariants import check_former_owner
from ragwortfield.scheduling.records import TaskPhase
from ragwortfield.scheduling.run_log import (
    describe_start,
    format_recorded_state,
    format_release,
    log_run_end,
    log_second_run,
    log_run_of_closed_job,
)
from ragwortfield.scheduling.run_progress import observe_progress
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.speed_learning import (
    observe_run,
    observe_success,
)
from ragwortfield.scheduling.task_lifecycle import (
    format_task_key,
    record_former_run_done,
    record_run_end,
    record_start,
    release_task,
    request_stop,
    save_checkpoint,
)
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.worker_health import (
    is_at_work,
    record_failed_start,
    record_run_result,
    record_success,
)
from ragwortfield.scheduling.worker_state import WorkerClock, WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Most ends that one report lists, as the users' documentation says; further
#: ends may be missing from it.
_MAX_LISTED_ENDS = 500
#: Workers report CPU use in thousandths of a core.
_MILLICORES = 1000
#: First pause before the next start on a worker, in seconds, after a start
#: order there had no effect.
_REFUSAL_BACKOFF_S: Seconds = 0.3
#: The same for a worker that reported itself as unhealthy, in seconds.
_UNHEALTHY_BACKOFF_S: Seconds = 1
#: Stands for an answer that can be that of a worker's former process: its clock
#: and its runs are gone.
_FORMER_PROCESS_ANSWER = Unavailable(
    reason='the worker has restarted since the order',
    is_effect_possible=True,
)

#: Stands for the answer to an order that was not sent because the ownership was
#: in doubt.
WITHHELD_ORDER = Unavailable(reason='the ownership is not confirmed')


def apply_report(
    state: ShardState,
    worker: WorkerState,
    report: LeaseReport,
    now: MonotonicTime,
    *,
    acknowledged_to_worker: int = 0,
) -> None:
    """
    Apply a worker's report of its runs and of the runs that have ended.

    :param state: state of the shard.
    :param worker: the worker.
    :param report: its report.
    :param now: monotonic time, in seconds.
    :param acknowledged_to_worker: number of the last run end that the lease
        order acknowledged; 0 for none.
    """
    is_restarted = _is_restarted(worker, report)
    if is_restarted:
        _reset_worker(state, worker, report)
    else:
        worker.acknowledged_to_worker = max(
            worker.acknowledged_to_worker, acknowledged_to_worker
        )
    worker.born_ms = report.born_ms
    worker.clock.observe(report.clock_ms, now)
    if not worker.first_reported_at:
        state.former_electorate.record_fenced(worker.worker_id, now)
        worker.first_reported_at = now
        worker.lease_end_ms = _estimate_inherited_lease_end_ms(
            state,
            report,
            now,
            is_restarted=is_restarted,
        )
        log_adoption(state, worker, report, now)
    if worker.poll_sent_at:
        state.confirmation.record_poll(
            worker.worker_id, report.born_ms, worker.poll_sent_at
        )
    worker.reported_at = now
    worker.is_responding = True
    worker.poll_sent_at = 0
    worker.is_restart_suspected = False
    for end in report.ends:
        if end.number > worker.processed_end:
            _apply_end(state, worker, end, now)
            _await_leftover_start(state, worker, end, now)
            # Only after the end was applied: one that could not be applied
            # must not be acknowledged.
            worker.processed_end = end.number
    is_newest = report.clock_ms >= worker.report_clock_ms
    worker.report_clock_ms = max(worker.report_clock_ms, report.clock_ms)
    if not is_newest:
        return
    reported_run_by_key = {run.key: run for run in report.runs}
    for run in report.runs:
        _apply_listed_run(state, worker, run, report.clock_ms, now)
    if len(report.ends) < _MAX_LISTED_ENDS:
        _release_unreported_runs(
            state, worker, reported_run_by_key, report.clock_ms, now
        )


def apply_start_outcome(
    state: ShardState,
    order: StartRun,
    outcome: OrderOutcome,
    now: MonotonicTime,
) -> None:
    """
    Apply the outcome of a start order.

    :param state: state of the shard.
    :param order: the order.
    :param outcome: answer of the worker, or what is known without one.
    :param now: monotonic time, in seconds.
    """
    task = state.find_run(order.key, order.run)
    if task is None:
        return
    if isinstance(outcome, OrderDone):
        record_start(state, task)
    worker = state.worker_by_id.get(order.worker_id)
    if not _is_current(task, order) or worker is None:
        return
    task.pending_start_calls = max(task.pending_start_calls - 1, 0)
    if order.born_ms != worker.born_ms:
        outcome = _FORMER_PROCESS_ANSWER
    if _may_have_reached_restarted_worker(state, worker, outcome):
        task.may_run_until = now + state.bounds.longest_order_effect_s()
    if isinstance(outcome, OrderDone):
        worker.observe_clock(outcome.clock_ms, now)
        _confirm_run(
            state, task, _get_start_clock_ms(state, order, outcome), now
        )
    elif isinstance(outcome, OrderRefused):
        worker.observe_clock(outcome.clock_ms, now)
        _apply_refusal(state, worker, task, outcome, now)
    else:
        _log_missing_answer(state, task, outcome, now)
        if outcome not in {_FORMER_PROCESS_ANSWER, WITHHELD_ORDER}:
            _avoid_after_failed_start(worker, task, now)
        if not _record_missing_answer(task, outcome):
            release_task(state, task, outcome.reason)


def apply_stop_outcome(
    state: ShardState,
    order: StopRun,
    outcome: OrderOutcome,
    now: MonotonicTime,
) -> None:
    """
    Apply the outcome of a stop order.

    :param state: state of the shard.
    :param order: the order.
    :param outcome: answer of the worker, or what is known without one.
    :param now: monotonic time, in seconds.
    """
    task = state.find_run(order.key, order.run)
    if task is None or task.run != order.run:
        return
    worker = state.worker_by_id.get(order.worker_id)
    if worker is not None and worker.born_ms != order.born_ms:
        # The order is sent again to the present process.
        return
    if (
        worker is not None
        and isinstance(outcome, OrderRefused)
        and outcome.refusal == Refusal.FENCED
    ):
        record_fence_refusal(state, worker, now)
    if worker is not None and isinstance(outcome, OrderDone | OrderRefused):
        worker.observe_clock(outcome.clock_ms, now)
    if isinstance(outcome, OrderDone) and task.phase == TaskPhase.BOUND:
        # From now on the worker refuses this run if it has not got it yet.
        task.stage = RunStage.STOPPING
        task.last_seen_clock_ms = max(task.last_seen_clock_ms, outcome.clock_ms)


def release_expired_leases(state: ShardState, now: MonotonicTime) -> None:
    """
    Release the runs of workers whose lease has certainly expired.

    Workers that are no longer listed and have no runs are dropped.
    """
    for worker in tuple(state.worker_by_id.values()):
        if not worker.is_listed and not worker.run_by_key:
            del state.worker_by_id[worker.worker_id]
            continue
        if worker.run_by_key and _is_lease_over(state, worker, now):
            _release_expired_runs(state, worker, now)


def retry_stop_orders(state: ShardState, now: MonotonicTime) -> None:
    """Send stop orders again that have had no effect yet."""
    for worker in state.worker_by_id.values():
        for task in tuple(worker.run_by_key.values()):
            if task.is_stop_wanted:
                request_stop(state, task, now)


def _is_lease_over(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> bool:
    former_run_end = state.former_run_end(worker.worker_id)
    if worker.is_in_contact(state.bounds, now):
        return False
    if not worker.is_lease_expired(now, former_run_end):
        return False
    return bool(worker.first_reported_at) or check_former_owner(
        state, worker, now
    )


def _get_start_clock_ms(
    state: ShardState, order: StartRun, done: OrderDone
) -> int:
    """
    Return the latest reading of the worker's clock at which a run started.

    :param state: state of the shard.
    :param order: the start order.
    :param done: answer of the worker.
    :returns: milliseconds of the worker's clock.
    """
    window_ms = state.bounds.start_window_s * MS_PER_S
    if done.clock_ms < order.deadline_ms - window_ms:
        # The clock was later than that when the order was created, so the
        # reading cannot tell which reports are from before the start.
        return order.deadline_ms
    return done.clock_ms


def _may_have_reached_restarted_worker(
    state: ShardState, worker: WorkerState, outcome: OrderOutcome
) -> bool:
    if state.is_process_bound:
        return False
    if isinstance(outcome, Unavailable):
        # A restart ends the connections of the process before it.
        is_same_process = (
            outcome.is_known_connection and not worker.is_restart_suspected
        )
        return outcome.is_effect_possible and not is_same_process
    is_done = isinstance(outcome, OrderDone)
    return is_done and outcome.clock_ms < worker.report_clock_ms


def _estimate_inherited_lease_end_ms(
    state: ShardState,
    report: LeaseReport,
    now: MonotonicTime,
    *,
    is_restarted: bool,
) -> float:
    if is_restarted and not state.is_process_bound:
        # Deadlines of orders under way refer to the clock before the restart
        # and lie far in the future of the new one.
        bounds = state.bounds
        longest_lease_s = bounds.longest_lease_s() + bounds.start_window_s
    elif state.epoch == 1 and not is_restarted:
        return 0
    else:
        # The previous owner may have extended the lease up to this moment;
        # from now on the worker refuses its orders.
        longest_lease_s = state.inherited_lease_s(report.born_ms, now)
    return report.clock_ms + longest_lease_s * MS_PER_S


def _is_restarted(worker: WorkerState, report: LeaseReport) -> bool:
    return bool(worker.born_ms) and report.born_ms != worker.born_ms


def _reset_worker(
    state: ShardState, worker: WorkerState, report: LeaseReport
) -> None:
    event(
        'worker_reborn',
        worker=worker.worker_id,
        born_ms=report.born_ms,
        tasks=len(worker.run_by_key),
    )
    worker.clock = WorkerClock()
    worker.lease_end_ms = 0
    worker.lease_extended_at = 0
    worker.first_reported_at = 0
    worker.processed_end = 0
    worker.acknowledged_end = 0
    worker.acknowledged_to_worker = 0
    worker.acknowledged_commit = 0
    worker.uncertain_acknowledgement = 0
    worker.leftover_by_end.clear()
    worker.report_clock_ms = 0
    worker.forget_readings()
    worker.speed.forget()
    worker.forget_failures()
    latest_start_ms = report.clock_ms + state.bounds.late_order_s * MS_PER_S
    for task in worker.run_by_key.values():
        # These readings refer to the clock before the restart.
        task.last_seen_clock_ms = 0
        task.order_deadline_ms = 0
        if task.is_start_uncertain or task.pending_start_calls:
            # The new process cannot tell from its clock that a start order
            # is late and may carry it out. A stop order makes it refuse the
            # run.
            task.is_stop_wanted = True
            task.order_deadline_ms = latest_start_ms
            task.stage = RunStage.ORDERED


def _apply_end(
    state: ShardState,
    worker: WorkerState,
    end: ListedEnd,
    now: MonotonicTime,
) -> None:
    task = state.find_run(end.key, end.run)
    if task is not None:
        record_start(state, task)
    if task is None or task.run != end.run:
        is_applied = (
            task is not None
            and end.kind == EndKind.DONE
            and record_former_run_done(state, task, end.run, now)
        )
        log_run_end(
            state, worker, end, 'late_success' if is_applied else 'none'
        )
        return
    # A failure of a task that waits again was counted when the task was
    # released. Only a late end as done, after its lease expired, is news.
    is_late_success = (
        task.phase == TaskPhase.WAITING and end.kind == EndKind.DONE
    )
    is_bound_here = task.worker_id == worker.worker_id
    if not is_late_success and not (
        task.phase == TaskPhase.BOUND and is_bound_here
    ):
        log_run_end(state, worker, end, 'none')
        return
    log_run_end(
        state, worker, end, 'late_success' if is_late_success else 'applied'
    )
    worker.failed_start_count = 0
    if end.kind == EndKind.DONE and not is_late_success:
        learn_from_success(state, task, now)
        observe_success(state, worker, task, now)
    record_run_result(state, worker, task, end.kind, now)
    record_run_end(state, task, end.kind, end.checkpoint, now)


def _await_leftover_start(
    state: ShardState, worker: WorkerState, end: ListedEnd, now: MonotonicTime
) -> None:
    """
    Hold back the acknowledgement of an end while a second run may start.

    No run may start after an acknowledged end as done, and a start order of
    the second run can be under way, also one of an earlier owner.
    """
    task = state.find_task(end.key)
    if task is None or task.copy is None or task.phase == TaskPhase.BOUND:
        return
    if task.copy.worker_id != worker.worker_id:
        ordered_until = (
            now
            if task.copy.ordered_at
            else max(now, state.former_authority_end())
        )
        worker.leftover_by_end[end.number] = (
            task.copy,
            ordered_until + state.bounds.late_order_s,
        )


def _apply_listed_run(
    state: ShardState,
    worker: WorkerState,
    run: ListedRun,
    clock_ms: int,
    now: MonotonicTime,
) -> None:
    task = state.find_run(run.key, run.run)
    is_bound = (
        task is not None
        and task.phase == TaskPhase.BOUND
        and task.run == run.run
        and task.worker_id == worker.worker_id
    )
    if task is None or not is_bound:
        _stop_unexpected_run(state, worker, task, run)
        if task is not None:
            record_start(state, task)
            log_second_run(state, task, worker, run)
        return
    if task.stage != RunStage.STOPPING:
        _confirm_run(state, task, clock_ms, now)
    log_run_of_closed_job(state, task, now, is_start=False)
    if task.not_running_since:
        task.not_running_since = 0
        worker.failed_start_count = 0
    task.last_seen_clock_ms = max(task.last_seen_clock_ms, clock_ms)
    if run.checkpoint:
        save_checkpoint(state, task, run.checkpoint)
    if run.percent != task.percent:
        was_at_work = is_at_work(task)
        task.percent = run.percent
        task.percent_changed_at = now
        if is_at_work(task) and not was_at_work:
            record_success(state, worker, task, now)
    task.reading = run.reading
    if run.reading is not None and not task.step.latency_target_ms:
        task.reading = run.reading / _MILLICORES
    observe_progress(task, now, state.settings.restore_s())
    learn_from_progress(state, task, now)
    observe_run(state, worker, task, now)


def _stop_unexpected_run(
    state: ShardState,
    worker: WorkerState,
    task: TaskState | None,
    run: ListedRun,
) -> None:
    event(
        'stray_run',
        task=run.key.text(),
        run=run.run,
        worker=worker.worker_id,
        epoch=state.epoch,
        recorded=format_recorded_state(state, run.key),
        released='' if task is None else format_release(task, run.run),
    )
    state.orders.append(
        StopRun(
            worker_id=worker.worker_id,
            address=worker.listed.address,
            key=run.key,
            run=run.run,
            fencing_token=state.epoch,
            born_ms=worker.born_ms,
        ),
    )


def _release_unreported_runs(
    state: ShardState,
    worker: WorkerState,
    reported_run_by_key: dict,
    clock_ms: int,
    now: MonotonicTime,
) -> None:
    for task in tuple(worker.run_by_key.values()):
        is_listed = task.key in reported_run_by_key
        if is_listed or not _is_certainly_absent(task, clock_ms):
            continue
        if task.stage == RunStage.RUNNING and task.not_running_since:
            # The worker confirmed the start and has never listed the run.
            _avoid_after_failed_start(worker, task, now)
        release_task(state, task, 'worker no longer reports the run')


def _is_certainly_absent(task: TaskState, clock_ms: int) -> bool:
    """
    Tell whether a run that a report does not list can no longer appear.

    :param clock_ms: reading of the worker's clock in the report.
    """
    if task.pending_start_calls or task.stage == RunStage.UNCOMMITTED:
        return False
    latest_appearance_ms = task.last_seen_clock_ms
    if task.stage == RunStage.ORDERED:
        latest_appearance_ms = max(latest_appearance_ms, task.order_deadline_ms)
    return clock_ms > latest_appearance_ms


def _release_expired_runs(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
) -> None:
    expired = [
        task
        for task in worker.run_by_key.values()
        if task.stage != RunStage.UNCOMMITTED and now > task.may_run_until
    ]
    if not expired:
        return
    log_lapse(state, worker, expired, now)
    for task in expired:
        release_task(state, task, 'lease of the worker expired')


def _is_current(task: TaskState, order: StartRun) -> bool:
    return (
        task.phase == TaskPhase.BOUND
        and task.run == order.run
        and task.worker_id == order.worker_id
    )


def _confirm_run(
    state: ShardState,
    task: TaskState,
    clock_ms: int,
    now: MonotonicTime,
) -> None:
    task.last_seen_clock_ms = max(task.last_seen_clock_ms, clock_ms)
    if task.stage == RunStage.RUNNING:
        return
    if task.stage == RunStage.ORDERED:
        task.stage = RunStage.RUNNING
        task.started_at = now
        task.percent_changed_at = now
    record_start(state, task)
    job = state.job_by_id[task.key.job_id]
    if task.ordered_at:
        event(
            'run_started',
            task=format_task_key(task),
            run=task.run,
            worker=task.worker_id,
            waited_s=now - task.ordered_at,
            **describe_start(state, task, now),
        )
    else:
        # A previous owner ordered the start.
        event(
            'run_adopted',
            task=format_task_key(task),
            run=task.run,
            worker=task.worker_id,
            epoch=state.epoch,
        )
    log_run_of_closed_job(state, task, now, is_start=True)
    if job.is_closed():
        request_stop(state, task, now)


def _apply_refusal(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    outcome: OrderRefused,
    now: MonotonicTime,
) -> None:
    event(
        'start_refused',
        task=format_task_key(task),
        run=task.run,
        worker=worker.worker_id,
        reason=outcome.refusal.value,
        **describe_start(state, task, now),
    )
    if outcome.refusal == Refusal.FENCED and record_fence_refusal(
        state, worker, now
    ):
        return
    first_pause_s = _REFUSAL_BACKOFF_S
    if outcome.refusal == Refusal.UNHEALTHY:
        first_pause_s = _UNHEALTHY_BACKOFF_S
    elif outcome.refusal == Refusal.INVALID_TICKET:
        state.get_step(task).ticket_by_worker.pop(worker.worker_id, None)
        if not worker.failed_start_count:
            # A ticket can expire on its way.
            first_pause_s = 0
    _avoid_after_failed_start(worker, task, now, first_pause_s=first_pause_s)
    if outcome.refusal == Refusal.SUPERSEDED:
        # The run has ended on the worker; its next report tells how.
        task.last_seen_clock_ms = max(task.last_seen_clock_ms, outcome.clock_ms)
        task.stage = RunStage.STOPPING
        return
    if task.is_start_uncertain:
        # An earlier start order for this run may have been carried out, or may
        # still be: the next reports tell.
        return
    release_task(state, task, f'refused: {outcome.refusal.value}')


def _avoid_after_failed_start(
    worker: WorkerState,
    task: TaskState,
    now: MonotonicTime,
    *,
    first_pause_s: Seconds = _REFUSAL_BACKOFF_S,
) -> None:
    task.avoided_workers.add(worker.worker_id)
    record_failed_start(worker, now, first_pause_s=first_pause_s)


def _log_missing_answer(
    state: ShardState,
    task: TaskState,
    outcome: Unavailable,
    now: MonotonicTime,
) -> None:
    event(
        'start_unanswered',
        task=format_task_key(task),
        run=task.run,
        worker=task.worker_id,
        reason=outcome.reason,
        is_effect_possible=outcome.is_effect_possible,
        **describe_start(state, task, now),
    )


def _record_missing_answer(task: TaskState, outcome: Unavailable) -> bool:
    """
    Record that a start call returned no answer.

    :returns: whether this or an earlier start order of the run may still take
        effect.
    """
    if not outcome.is_effect_possible:
        return task.is_start_uncertain
    task.is_start_uncertain = True
    return True

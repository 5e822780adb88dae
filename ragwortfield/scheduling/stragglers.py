"""Restarts tasks whose run is far slower than those of the rest of their step.

The load that it answers: three runs in a hundred take seven times as long as
the others, drawn anew for each run, so that one step of ten tasks in four is
late because of a single run; and workers that have become slow hold what runs
there. Such a run is stopped, and the task starts on another worker once the
run is over, if this ends it much sooner.

A wrong stop throws work away. So nothing is decided on declared durations: a
run is compared with what other runs of its own step have shown, over a time in
which it ran at full speed. Where the whole step is slow, so is the median.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
    RunStage,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.run_progress import (
    estimate_full_s,
    estimate_remaining_s,
)
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import format_task_key, request_stop
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    is_remote_from_data,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Time between two searches, in seconds; reports come every half second.
_ROUND_INTERVAL_S: Seconds = 0.1
#: The limit of actions in a round holds for each so many workers of the shard.
_WORKERS_PER_LIMIT = 24
#: Number of runs of a step that must have shown their duration. With three, one
#: other straggler does not move the median.
_MIN_KNOWN_RUNS = 3
#: A straggler takes at least this many times as long as the median of its step.
#: Tasks of a step differ by 15 %, and twice in duration by the rack that they
#: run in; stragglers and slow workers take seven times as long.
_MIN_SLOWNESS = 3
#: Time from the end of a run to the start of the next: commit and order.
_START_DELAY_S: Seconds = 0.1
#: The present run has to last this many times as long as a restart: the median
#: can be wrong and the next run can be a straggler too (three in a hundred of
#: seven times the duration add a fifth). More is asked for where the job gains
#: nothing and only CPU is saved.
_MIN_GAIN_IF_SOONER = 1.3
_MIN_GAIN_IF_CHEAPER = 2
#: Factor by which a task is assumed to take longer on a worker away from its
#: data or, if the tasks of its step slow down when spread, in another rack.
_REMOTE_SLOWDOWN = 2
#: Restarts of one task, and restarted tasks of one occurrence: each is an entry
#: in its row, which is limited to 64 KiB.
_MAX_RESTARTS = 2
_MAX_RESTARTED_TASKS = 24
_FULL_PERCENT = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Straggler:
    """
    Run that is far slower than the others of its step.

    :param expected_s: expected duration of the task, in seconds.
    :param remaining_s: time until the present run ends, in seconds.
    :param open_count: number of tasks of the step that are not done.
    """

    task: TaskState
    job: JobRuntimeState
    step: StepState
    expected_s: Seconds
    remaining_s: Seconds
    open_count: int


def handle_stragglers(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop straggling runs that end sooner if they start again elsewhere.

    To be called after waiting tasks were bound, so that what is free then is
    not needed by them. Does nothing if the latest round was less than the round
    interval ago.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    settings = state.settings
    if not settings.is_straggler_restarted:
        return
    if now - state.stragglers_checked_at < _ROUND_INTERVAL_S:
        return
    state.stragglers_checked_at = now
    found = [
        straggler
        for straggler in find_stragglers(state, now)
        if _may_restart(state, straggler)
    ]
    if not found:
        return
    found.sort(key=lambda straggler: _compute_order(straggler, settings, now))
    limit = settings.max_straggler_actions * (
        1 + len(state.worker_by_id) // _WORKERS_PER_LIMIT
    )
    selector = WorkerSelector(state=state, now=now)
    destination_ids: set[WorkerId] = set()
    for straggler in found:
        if len(destination_ids) == limit:
            break
        destination = _find_destination(
            state, selector, straggler, destination_ids
        )
        if destination is None:
            state.decisions.count('straggler_without_room')
        elif _pays_off(straggler, destination, settings, now):
            destination_ids.add(destination.worker_id)
            _restart(state, straggler, destination, now)


def find_stragglers(
    state: ShardState, now: MonotonicTime
) -> Iterator[Straggler]:
    """
    Find the runs that are far slower than the others of their step.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    for worker in state.worker_by_id.values():
        # What a silent worker runs is left to its lease.
        if not worker.is_in_contact(state.bounds, now):
            continue
        for task in worker.run_by_key.values():
            straggler = _examine(state, task, now)
            if straggler is not None:
                yield straggler


def estimate_restart_s(
    task: TaskState,
    expected_s: Seconds,
    settings: SchedulingSettings,
    *,
    is_remote: bool,
) -> Seconds:
    """
    Estimate when a task ends that is stopped now and starts elsewhere.

    :param task: a running task.
    :param expected_s: expected duration of the whole task, in seconds.
    :param is_remote: whether the destination is a worse place than the
        present one.
    :returns: seconds from now.
    """
    left_s = expected_s
    if is_remote:
        left_s *= _REMOTE_SLOWDOWN
    if task.step.is_checkpointed:
        # A checkpoint is taken at the stop.
        done_share = min(task.percent / _FULL_PERCENT, 1)
        left_s = settings.restore_s() + left_s * (1 - done_share)
    return settings.stop_s() + _START_DELAY_S + left_s


def compute_value_class(
    job: JobRuntimeState, step: StepState, left_s: Seconds, now: MonotonicTime
) -> int:
    """
    Tell what a job is still worth if a task of it ends at a given time.

    :param job: job of the task.
    :param step: step of the task.
    :param left_s: time until the task ends, in seconds.
    :param now: monotonic time, in seconds.
    :returns: 0 if it can be in time, 1 if its caller still waits, 2 if not or
        if it repeats and has no objective of its own.
    """
    if job.job.repeat_count:
        return 2
    path_s = job.critical_path_s(step.number)
    rest_s = max(path_s - job.expected_task_s(step.number), 0)
    age_s = now + left_s + rest_s - job.accepted_at_monotonic
    objective_s = job.objective_s()
    if age_s <= objective_s:
        return 0
    return 1 if age_s <= MAX_LATENESS_FACTOR * objective_s else 2


def _examine(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> Straggler | None:
    definition = task.step
    if task.stage != RunStage.RUNNING or task.is_stop_wanted:
        return None
    if definition.is_long_lived or definition.is_gang:
        return None
    full_s = estimate_full_s(task)
    if full_s is None:
        return None
    job = state.job_by_id.get(task.key.job_id)
    if job is None or job.is_closed():
        return None
    durations = job.durations_by_step[task.key.step]
    if durations.known_count() < _MIN_KNOWN_RUNS:
        return None
    expected_s = durations.expected_s()
    remaining_s = estimate_remaining_s(task, now)
    if remaining_s is None or full_s < _MIN_SLOWNESS * expected_s:
        return None
    step = state.get_step(task)
    return Straggler(
        task=task,
        job=job,
        step=step,
        expected_s=expected_s,
        remaining_s=remaining_s,
        open_count=definition.count - step.done_count,
    )


def _may_restart(state: ShardState, straggler: Straggler) -> bool:
    task = straggler.task
    if task.restart_count >= _MAX_RESTARTS:
        return False
    if task.restart_count:
        return True
    restarted_count = sum(
        other.restart_count > 0
        for step in state.get_occurrence(task).steps
        for other in step.tasks
    )
    return restarted_count < _MAX_RESTARTED_TASKS


def _compute_order(
    straggler: Straggler, settings: SchedulingSettings, now: MonotonicTime
) -> tuple[int, bool, int, Seconds]:
    """
    Compute the sort key of a straggler.

    Jobs that gain by it come first, and among them those with the fewest open
    tasks: the last one alone keeps its job from going on.
    """
    restart_s = estimate_restart_s(
        straggler.task, straggler.expected_s, settings, is_remote=False
    )
    return (
        straggler.job.queue.priority,
        not _is_sooner_worth_more(straggler, restart_s, now),
        straggler.open_count,
        restart_s - straggler.remaining_s,
    )


def _is_sooner_worth_more(
    straggler: Straggler, restart_s: Seconds, now: MonotonicTime
) -> bool:
    job, step = straggler.job, straggler.step
    return compute_value_class(job, step, restart_s, now) < compute_value_class(
        job, step, straggler.remaining_s, now
    )


def _pays_off(
    straggler: Straggler,
    destination: WorkerState,
    settings: SchedulingSettings,
    now: MonotonicTime,
) -> bool:
    restart_s = estimate_restart_s(
        straggler.task,
        straggler.expected_s,
        settings,
        is_remote=_is_remote(straggler.step, destination),
    )
    min_gain = (
        _MIN_GAIN_IF_SOONER
        if _is_sooner_worth_more(straggler, restart_s, now)
        else _MIN_GAIN_IF_CHEAPER
    )
    return straggler.remaining_s > min_gain * restart_s


def _is_remote(step: StepState, destination: WorkerState) -> bool:
    # The rack of the others is not looked up: a wrong guess only asks for more
    # gain.
    return step.step.is_same_rack or is_remote_from_data(destination, step)


def _find_destination(
    state: ShardState,
    selector: WorkerSelector,
    straggler: Straggler,
    used_ids: set[WorkerId],
) -> WorkerState | None:
    task = straggler.task
    destination = selector.select_worker(
        straggler.job,
        straggler.step,
        task,
        excluded_ids={*used_ids, task.worker_id},
    )
    if destination is None or destination.worker_id in task.avoided_workers:
        return None
    return destination


def _restart(
    state: ShardState,
    straggler: Straggler,
    destination: WorkerState,
    now: MonotonicTime,
) -> None:
    task = straggler.task
    task.restart_count += 1
    task.avoided_workers.add(task.worker_id)
    # The next commit writes the count, so that a later owner keeps the limit.
    state.mark_occurrence_dirty(state.get_occurrence(task))
    state.decisions.record(
        'straggler_restarted',
        now,
        task=format_task_key(task),
        run=task.run,
        worker=task.worker_id,
        percent=task.percent,
        expected_s=straggler.expected_s,
        remaining_s=straggler.remaining_s,
        open=straggler.open_count,
        better=destination.worker_id,
    )
    request_stop(state, task, now)

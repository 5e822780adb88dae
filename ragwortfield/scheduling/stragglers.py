"""Gives tasks another run if theirs is far slower than the rest of the step.

The load that it answers: three runs in a hundred take seven times as long as
the others, drawn anew for each run, so that one step of ten tasks in four is
late because of a single run; and workers that have become slow hold what runs
there. If it ends the task much sooner, a task of a speculative step gets a
second run beside the first, a copy, and the first of both to end as done
counts; any other task is stopped and starts on another worker once its run is
over.

A wrong stop throws work away, and a wrong copy takes capacity. So nothing is
decided on declared durations: a run is compared with what other runs of its own
step have shown, over a time in which it ran at full speed. Where the whole step
is slow, so is the median.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortfield.scheduling.job import Step
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
from ragwortfield.scheduling.task_lifecycle import (
    bind_copy,
    format_task_key,
    request_stop,
)
from ragwortfield.scheduling.worker_selection import WorkerSelector
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
#: The present run has to last this many times as long as the alternative: the
#: median can be wrong and the next run can be a straggler too (three in a
#: hundred of seven times the duration add a fifth). More is asked for where the
#: job gains nothing and only CPU is saved; a copy then uses as much as it saves
#: at the least.
_MIN_GAIN_IF_SOONER = 1.3
_MIN_GAIN_IF_CHEAPER = 2
#: Factor by which a task is assumed to take longer on a worker away from its
#: data or, if the tasks of its step slow down when spread, in another rack.
_REMOTE_SLOWDOWN = 2
#: Restarts of one task, and tasks of one occurrence with restarts or copies:
#: each is an entry in its row, which is limited to 64 KiB.
_MAX_RESTARTS = 2
_MAX_RECORDED_TASKS = 24
_FULL_PERCENT = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Straggler:
    """
    Run that is far slower than the others of its step.

    :param expected_s: expected duration of the task, in seconds.
    :param remaining_s: time until the present run ends, in seconds.
    :param is_copied: whether the task gets a copy instead of a restart.
    """

    task: TaskState
    job: JobRuntimeState
    step: StepState
    expected_s: Seconds
    remaining_s: Seconds
    is_copied: bool

    def open_count(self) -> int:
        """Return the number of tasks of the step that are not done."""
        return self.step.step.count - self.step.done_count


def handle_stragglers(state: ShardState, now: MonotonicTime) -> None:
    """
    Copy or stop straggling runs whose tasks end sooner with a run elsewhere.

    To be called after waiting tasks were bound, so that what is free then is
    not needed by them. Does nothing if the latest round was less than the round
    interval ago.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    settings = state.settings
    if not (settings.is_straggler_restarted or settings.is_straggler_copied):
        return
    if now - state.stragglers_checked_at < _ROUND_INTERVAL_S:
        return
    state.stragglers_checked_at = now
    found = list(find_stragglers(state, now))
    if not found:
        return
    found.sort(key=lambda straggler: _compute_order(straggler, settings, now))
    _StragglerRound(state=state, now=now).act(found)


def find_stragglers(
    state: ShardState, now: MonotonicTime
) -> Iterator[Straggler]:
    """
    Find the slow runs whose tasks may get another one.

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


@dataclass(kw_only=True, slots=True)
class CopyBudget:
    """
    Capacity of each pool that copies may still use in this round.

    :param state: state of the shard.
    """

    state: ShardState
    _left_cpu_by_pool: dict[str, float] = field(default_factory=dict)
    _left_memory_by_pool: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Sum up the pools and the copies that they have."""
        share = self.state.settings.copy_share
        for worker in self.state.worker_by_id.values():
            if worker.is_listed:
                capacity = worker.listed.capacity
                self._add_left(
                    worker.listed.pool,
                    share * capacity.cpu,
                    share * capacity.memory_mb,
                )
        for worker in self.state.worker_by_id.values():
            for task in worker.run_by_key.values():
                if task.is_copy:
                    self.add(worker.listed.pool, task.step)

    def is_copy_allowed(self, straggler: Straggler) -> bool:
        """
        Tell whether a copy is within the limit and takes nobody's place.

        :param straggler: the run that would get the copy.
        """
        pool = straggler.job.queue.pool
        need = straggler.step.step.need
        is_within_limit = (
            self._left_cpu_by_pool.get(pool, 0) >= need.cpu
            and self._left_memory_by_pool.get(pool, 0) >= need.memory_mb
        )
        return is_within_limit and not self._has_waiting_task(straggler.job)

    def add(self, pool: str, step: Step) -> None:
        """
        Count a copy.

        :param pool: its pool.
        :param step: its step.
        """
        need = step.need
        self._add_left(pool, -need.cpu, -need.memory_mb)

    def _add_left(self, pool: str, cpu: float, memory_mb: float) -> None:
        left_cpu = self._left_cpu_by_pool.get(pool, 0)
        self._left_cpu_by_pool[pool] = left_cpu + cpu
        left_memory_mb = self._left_memory_by_pool.get(pool, 0)
        self._left_memory_by_pool[pool] = left_memory_mb + memory_mb

    def _has_waiting_task(self, job: JobRuntimeState) -> bool:
        """
        Tell whether a task as urgent as those of a job waits for a worker.

        Long-lived tasks that leave room for short ones do not count: a copy is
        a short one.
        """
        for step in self.state.ready_step_by_key.values():
            queue = self.state.job_by_id[step.job_id].queue
            if step.is_held_back or queue.pool != job.queue.pool:
                continue
            if step.waiting_indexes and queue.priority <= job.queue.priority:
                return True
        return False


@dataclass(kw_only=True, slots=True)
class _StragglerRound:
    """Gives stragglers other runs, within the limits of one round."""

    state: ShardState
    now: MonotonicTime
    selector: WorkerSelector = field(init=False)
    budget: CopyBudget = field(init=False)
    destination_ids: set[WorkerId] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.selector = WorkerSelector(state=self.state, now=self.now)
        self.budget = CopyBudget(state=self.state)

    def act(self, stragglers: list[Straggler]) -> None:
        """
        Act on as many stragglers as the limit of a round allows.

        :param stragglers: the most urgent first.
        """
        settings = self.state.settings
        limit = settings.max_straggler_actions * (
            1 + len(self.state.worker_by_id) // _WORKERS_PER_LIMIT
        )
        for straggler in stragglers:
            if len(self.destination_ids) == limit:
                break
            # Others of the same occurrence may have used up its row.
            if not _is_recordable(self.state, straggler.task):
                continue
            destination = self._find_destination(straggler)
            if destination is not None and _pays_off(
                straggler, destination, settings, self.now
            ):
                self.destination_ids.add(destination.worker_id)
                self._start_elsewhere(straggler, destination)

    def _find_destination(self, straggler: Straggler) -> WorkerState | None:
        decisions = self.state.decisions
        if straggler.is_copied and not self.budget.is_copy_allowed(straggler):
            decisions.count('straggler_over_copy_limit')
            return None
        task = straggler.task
        destination = self.selector.select_worker(
            straggler.job,
            straggler.step,
            task,
            excluded_ids={*self.destination_ids, task.worker_id},
        )
        if destination is None or destination.worker_id in task.avoided_workers:
            decisions.count('straggler_without_room')
            return None
        return destination

    def _start_elsewhere(
        self, straggler: Straggler, destination: WorkerState
    ) -> None:
        if not straggler.is_copied:
            _restart(self.state, straggler, destination, self.now)
            return
        self.budget.add(straggler.job.queue.pool, straggler.task.step)
        _copy(self.state, straggler, destination, self.now)
        self.selector.update_after_binding(destination, straggler.step)


def estimate_alternative_s(
    straggler: Straggler, settings: SchedulingSettings, *, is_remote: bool
) -> Seconds:
    """
    Estimate when a task ends that gets a copy, or is stopped, now.

    :param is_remote: whether the destination is a worse place than the
        present one.
    :returns: seconds from now.
    """
    task = straggler.task
    left_s = straggler.expected_s
    if is_remote:
        left_s *= _REMOTE_SLOWDOWN
    if straggler.is_copied:
        # The checkpoint may be any older one.
        return _START_DELAY_S + left_s
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
    settings = state.settings
    is_copied = definition.is_speculative and settings.is_straggler_copied
    may_act = _may_copy(job, task) if is_copied else _may_restart(state, task)
    if not may_act or not _is_recordable(state, task):
        return None
    return Straggler(
        task=task,
        job=job,
        step=state.get_step(task),
        expected_s=expected_s,
        remaining_s=remaining_s,
        is_copied=is_copied,
    )


def _may_copy(job: JobRuntimeState, task: TaskState) -> bool:
    is_single = not task.is_copy and task.copy is None
    # A failure of the copy must not use up the last attempt: the first run may
    # still end as done.
    return (
        is_single
        and task.last_run <= task.run
        and task.failures + 1 < job.queue.attempts
    )


def _may_restart(state: ShardState, task: TaskState) -> bool:
    return (
        state.settings.is_straggler_restarted
        and not task.is_copy
        and task.copy is None
        and task.restart_count < _MAX_RESTARTS
    )


def _is_recordable(state: ShardState, task: TaskState) -> bool:
    if _is_recorded(task):
        return True
    recorded_count = sum(
        _is_recorded(other)
        for step in state.get_occurrence(task).steps
        for other in step.tasks
    )
    return recorded_count < _MAX_RECORDED_TASKS


def _is_recorded(task: TaskState) -> bool:
    return task.restart_count > 0 or task.to_copy_record() is not None


def _compute_order(
    straggler: Straggler, settings: SchedulingSettings, now: MonotonicTime
) -> tuple[int, bool, int, Seconds]:
    """
    Compute the sort key of a straggler.

    Jobs that gain by it come first, and among them those with the fewest open
    tasks: the last one alone keeps its job from going on.
    """
    alternative_s = estimate_alternative_s(straggler, settings, is_remote=False)
    return (
        straggler.job.queue.priority,
        not _is_sooner_worth_more(straggler, alternative_s, now),
        straggler.open_count(),
        alternative_s - straggler.remaining_s,
    )


def _is_sooner_worth_more(
    straggler: Straggler, alternative_s: Seconds, now: MonotonicTime
) -> bool:
    job, step = straggler.job, straggler.step
    return compute_value_class(
        job, step, alternative_s, now
    ) < compute_value_class(job, step, straggler.remaining_s, now)


def _pays_off(
    straggler: Straggler,
    destination: WorkerState,
    settings: SchedulingSettings,
    now: MonotonicTime,
) -> bool:
    alternative_s = estimate_alternative_s(
        straggler,
        settings,
        is_remote=_is_remote(straggler.step, destination),
    )
    min_gain = (
        _MIN_GAIN_IF_SOONER
        if _is_sooner_worth_more(straggler, alternative_s, now)
        else _MIN_GAIN_IF_CHEAPER
    )
    return straggler.remaining_s > min_gain * alternative_s


def _is_remote(step: StepState, destination: WorkerState) -> bool:
    # The rack of the others is not looked up: a wrong guess only asks for more
    # gain.
    is_away = destination.is_remote_from(step.step.data_rack)
    return step.step.is_same_rack or is_away


def _copy(
    state: ShardState,
    straggler: Straggler,
    destination: WorkerState,
    now: MonotonicTime,
) -> None:
    _record(state, 'straggler_copied', straggler, destination, now)
    bind_copy(state, straggler.task, destination, now)


def _restart(
    state: ShardState,
    straggler: Straggler,
    destination: WorkerState,
    now: MonotonicTime,
) -> None:
    _record(state, 'straggler_restarted', straggler, destination, now)
    task = straggler.task
    task.restart_count += 1
    task.avoided_workers.add(task.worker_id)
    # The next commit writes the count, so that a later owner keeps the limit.
    state.mark_occurrence_dirty(state.get_occurrence(task))
    request_stop(state, task, now)


def _record(
    state: ShardState,
    name: str,
    straggler: Straggler,
    destination: WorkerState,
    now: MonotonicTime,
) -> None:
    task = straggler.task
    state.decisions.record(
        name,
        now,
        task=format_task_key(task),
        run=task.run,
        worker=task.worker_id,
        percent=task.percent,
        expected_s=straggler.expected_s,
        remaining_s=straggler.remaining_s,
        open=straggler.open_count(),
        better=destination.worker_id,
    )

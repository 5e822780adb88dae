"""Runtime state of jobs, occurrences, steps and tasks in a shard."""

from dataclasses import dataclass, field
from enum import IntEnum

from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.duration_model import (
    StepDurations,
    compute_expected_paths,
)
from ragwortfield.scheduling.interference_model import LoadEstimate
from ragwortfield.scheduling.job import (
    Job,
    Step,
    TaskKey,
)
from ragwortfield.scheduling.records import (
    CopyRecord,
    ProgressRecord,
    RestartRecord,
    TaskPhase,
    TaskRecord,
)
from ragwortfield.types import JobId, MonotonicTime, Seconds, WorkerId

#: Multiple of its latency objective up to which a late job still has value.
MAX_LATENESS_FACTOR = 3
#: Share of the requested CPU from which on a filler runs at full speed.
_FULL_SPEED_SHARE = 0.9


class RunStage(IntEnum):
    """
    Stage of the latest run of a bound task.

    ``UNCOMMITTED``: bound, but the binding is not durable yet; ``ORDERED``: a
    start order is due or sent; ``RUNNING``: confirmed by the worker;
    ``STOPPING``: the worker has confirmed a stop order.
    """

    NONE = 0
    UNCOMMITTED = 1
    ORDERED = 2
    RUNNING = 3
    STOPPING = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleasedRun:
    """
    Run that its owner has held for over.

    :param run: its number.
    :param worker_id: its worker.
    :param reason: why it was held for over.
    """

    run: int
    worker_id: WorkerId
    reason: str


@dataclass(kw_only=True, slots=True)
class TaskState:
    """
    Task with its latest run.

    :param phase: durable phase of the task.
    :param run: number of the latest run; 0 before the first.
    :param worker_id: worker of the latest run; empty while not bound.
    :param failures: number of runs that have failed.
    :param checkpoint: latest checkpoint; empty for none.
    :param order_deadline_ms: latest time, by the worker's clock, at which the
        worker may still carry out a start order for this run.
    :param pending_start_calls: start calls for this run that have not returned.
    :param last_seen_clock_ms: reading of the worker's clock when the run was
        last known to be there.
    :param ordered_at: monotonic time of the binding; 0 if a previous owner
        made it.
    :param start_sent_at: monotonic time of the first start order of the run; 0
        if there is none.
    :param binding_commit: number of the commit that made the binding durable;
        0 if a previous owner made it.
    :param order_queued_at: monotonic time at which the latest start order of
        the run was queued; 0 for none.
    :param order_sent_at: monotonic time at which it was sent; 0 for none.
    :param is_close_logged: whether the log tells that the run goes on although
        its job is over.
    :param not_running_since: monotonic time since which no report has listed a
        run, from the latest end on; 0 if the latest report did, or before the
        first binding.
    :param started_at: monotonic time at which the run was confirmed.
    :param is_duration_learned: whether the duration of the run was learned.
    :param measured_since: monotonic time from which on the progress shows the
        speed of the worker; 0 if no report has come.
    :param measured_from_percent: progress at that time.
    :param percent: progress that the worker reported.
    :param is_resumed: whether the run started from a checkpoint.
    :param percent_seen_at: monotonic time of the latest report that listed the
        run; 0 for none.
    :param speed_since: monotonic time since which the run has gone at full
        speed as far as its pace and its CPU tell; 0 if it does not, or before
        the first report.
    :param speed_since_percent: its progress at that time.
    :param restart_count: number of times that the task was stopped to run
        faster elsewhere.
    :param reading: latest measurement: tail latency in milliseconds for tasks
        with a latency target, otherwise CPU use in cores; ``None`` for none.
    :param own_utilisation: for a serving task, the utilisation in its latest
        reading that fillers do not explain.
    :param target_missed_since: monotonic time of the first of the latest
        readings of a serving task that all missed its target while fillers used
        CPU beside it; 0 if the latest did not.
    :param miss_logged_at: monotonic time of the latest log line about that.
    :param pace: speed at which a filler may run, in percent of its full
        speed.
    :param is_pace_known: whether the worker has confirmed the pace; not after
        an order without an answer, nor for the run of an earlier owner.
    :param paced_at: monotonic time of the latest answer to an order on pace, or
        of its absence.
    :param is_pacing: whether a change of the pace is under way.
    :param is_stop_wanted: whether the run is to be stopped.
    :param stop_sent_at: monotonic time of the latest stop order.
    :param ticket: approval that start orders carry; empty for none.
    :param is_start_uncertain: whether a start call ended without an answer, so
        that its order may still be carried out.
    :param may_run_until: monotonic time until which the run may go on in a
        restarted worker that has not reported yet; 0 if none can have it.
    :param avoided_workers: workers on which the task failed or could not be
        started.
    :param copy: second run of the task, on another worker; also the run that
        is left over when the other one has ended as done. ``None`` for none.
    :param is_copy: whether this is such a second run, and not the task.
    :param last_run: highest number of a run, if ``run`` and ``copy`` do not
        show it.
    :param rack_wait_since: monotonic time since which the waiting task leaves
        room elsewhere unused for the sake of its rack; 0 if it does not. Only
        counted and shown; a successor decides without it.
    :param released: latest run that this owner has held for over, for the log;
        ``None`` for none.
    :param second_run: latest run that a worker has reported beside a later one
        of this owner, for the log; 0 for none.
    """

    key: TaskKey
    step: Step
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: WorkerId = ''
    failures: int = 0
    checkpoint: str = ''
    stage: RunStage = RunStage.NONE
    order_deadline_ms: float = 0
    pending_start_calls: int = 0
    last_seen_clock_ms: float = 0
    ordered_at: MonotonicTime = 0
    start_sent_at: MonotonicTime = 0
    binding_commit: int = 0
    order_queued_at: MonotonicTime = 0
    order_sent_at: MonotonicTime = 0
    is_close_logged: bool = False
    not_running_since: MonotonicTime = 0
    started_at: MonotonicTime = 0
    is_duration_learned: bool = False
    measured_since: MonotonicTime = 0
    measured_from_percent: float = 0
    percent: float = 0
    percent_changed_at: MonotonicTime = 0
    is_resumed: bool = False
    percent_seen_at: MonotonicTime = 0
    speed_since: MonotonicTime = 0
    speed_since_percent: float = 0
    restart_count: int = 0
    reading: float | None = None
    own_utilisation: float = 0
    target_missed_since: MonotonicTime = 0
    miss_logged_at: MonotonicTime = 0
    pace: int = 100
    is_pace_known: bool = False
    paced_at: MonotonicTime = 0
    is_pacing: bool = False
    slowed_at: MonotonicTime = 0
    is_stop_wanted: bool = False
    stop_sent_at: MonotonicTime = 0
    ticket: str = ''
    is_start_uncertain: bool = False
    may_run_until: MonotonicTime = 0
    avoided_workers: set[WorkerId] = field(default_factory=set)
    copy: 'TaskState | None' = None
    is_copy: bool = False
    last_run: int = 0
    rack_wait_since: MonotonicTime = 0
    released: ReleasedRun | None = None
    second_run: int = 0

    def is_short_of_cpu(self) -> bool:
        """Return whether a filler is known to get less CPU than it asks for."""
        wanted_cpu = self.step.need.cpu * _FULL_SPEED_SHARE
        return self.reading is not None and self.reading < wanted_cpu

    def next_run(self) -> int:
        """Return the number of the next run of the task."""
        copy_run = 0 if self.copy is None else self.copy.run
        return max(self.run, self.last_run, copy_run) + 1

    def is_over_target(self) -> bool:
        """Return whether a serving task's latest reading misses its target."""
        return (self.reading or 0) > self.step.latency_target_ms

    def to_copy_record(self) -> CopyRecord | None:
        """Return what is stored of its second run; ``None`` for nothing."""
        run, worker_id = self.last_run, ''
        if self.copy is not None:
            run, worker_id = self.copy.run, self.copy.worker_id
        elif run <= self.run or self.phase == TaskPhase.DONE:
            return None
        return CopyRecord(
            step=self.key.step,
            index=self.key.index,
            run=run,
            worker_id=worker_id,
        )

    def to_record(self) -> TaskRecord:
        """Return the part of the state that is stored."""
        return TaskRecord(
            phase=self.phase,
            run=self.run,
            worker_id=self.worker_id,
            failures=self.failures,
            checkpoint=self.checkpoint,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class ApprovalTicket:
    """
    Approval of a worker for a step.

    :param text: ticket that start orders carry.
    :param born_ms: start time of the worker's process for which it holds.
    :param valid_until: monotonic time at which it expires.
    """

    text: str
    born_ms: int
    valid_until: MonotonicTime


@dataclass(kw_only=True, slots=True)
class StepState:
    """
    Step of one occurrence.

    :param waiting_indexes: indexes of the tasks that wait for a worker, in
        order.
    :param done_count: number of tasks that are done.
    :param count_by_worker: number of tasks bound to each worker.
    :param load: estimated load from users, for tasks that serve requests.
    :param ticket_by_worker: approvals, if the queue requires them.
    :param denied_workers: workers that were not approved.
    :param last_failed_run: latest run of a gang that failed; 0 for none.
    :param unplaced_since: monotonic time since which some tasks have found no
        worker; 0 when all have one or wait for their rack.
    :param is_waiting_for_rack: whether all waiting tasks leave room elsewhere
        unused for the sake of their rack; decided anew in each round.
    :param rack_plan_slot: number of the interval in which it was last estimated
        how many of its tasks wait for their rack.
    :param rack_plan_count: that number of tasks; a successor estimates it anew.
    :param is_held_back: whether its waiting tasks leave room for short ones.
    :param shown_s_by_worker: shortest duration that a run has shown, in
        seconds, by worker; learned again after a change of owner.
    """

    job_id: JobId
    occurrence: int
    number: int
    step: Step
    tasks: list[TaskState]
    waiting_indexes: dict[int, None] = field(default_factory=dict)
    done_count: int = 0
    count_by_worker: dict[WorkerId, int] = field(default_factory=dict)
    load: LoadEstimate = field(default_factory=LoadEstimate)
    ticket_by_worker: dict[WorkerId, ApprovalTicket] = field(
        default_factory=dict
    )
    denied_workers: set[WorkerId] = field(default_factory=set)
    last_failed_run: int = 0
    unplaced_since: MonotonicTime = 0
    is_held_back: bool = False
    shown_s_by_worker: dict[WorkerId, Seconds] = field(default_factory=dict)
    is_waiting_for_rack: bool = False
    rack_plan_slot: int = 0
    rack_plan_count: int = 0

    def is_done(self) -> bool:
        return self.done_count == self.step.count


@dataclass(kw_only=True, slots=True)
class OccurrenceState:
    """
    Occurrence of a job.

    :param is_dirty: whether the stored record is out of date.
    :param is_durably_done: whether its completion is stored.
    :param has_started: whether a worker has told that it had a run of one of
        its tasks.
    """

    job_id: JobId
    number: int
    steps: list[StepState]
    is_dirty: bool = False
    is_durably_done: bool = False
    has_started: bool = False

    def is_done(self) -> bool:
        return all(step.is_done() for step in self.steps)

    def to_record(self) -> ProgressRecord:
        """Return the part of the state that is stored."""
        return ProgressRecord(
            job_id=self.job_id,
            occurrence=self.number,
            steps=tuple(
                tuple(task.to_record() for task in step.tasks)
                for step in self.steps
            ),
            has_started=self.has_started,
            failed_run_by_step={
                step.number: step.last_failed_run
                for step in self.steps
                if step.last_failed_run and step.step.is_gang
            },
            restarts=tuple(
                RestartRecord(
                    step=task.key.step,
                    index=task.key.index,
                    count=task.restart_count,
                )
                for step in self.steps
                for task in step.tasks
                if task.restart_count and task.phase != TaskPhase.DONE
            ),
            copies=tuple(
                copy
                for step in self.steps
                for task in step.tasks
                if (copy := task.to_copy_record()) is not None
            ),
        )


@dataclass(kw_only=True, slots=True)
class JobRuntimeState:
    """
    Job with the state of its occurrences.

    :param queue: its queue in the latest configuration that has it.
    :param accepted_at_monotonic: time of acceptance on the owner's monotonic
        clock.
    :param occurrence_by_number: occurrences that have been created.
    :param unreadable_occurrences: occurrences whose stored progress could not
        be read; they may have run, so they are never created again.
    :param next_occurrence: number of the next occurrence to create.
    :param has_started: whether a worker has told that it had a run of one of
        its tasks.
    :param is_durably_failed: whether its failure is stored.
    :param is_durably_done: whether its completion is stored.
    :param finished_at: monotonic time at which it reached its final state; 0
        before that.
    :param is_removed: whether its own rows are removed from the store.
    :param is_finish_restored: whether it finished under a former owner, so
        that ``finished_at`` is later than its end.
    :param is_deferred: whether the plan for overload serves it only after the
        jobs that can be in time.
    :param remaining_share: share of its work that remains, by the latest plan
        for overload.
    :param work_per_value: remaining work for a unit of its value, in
        core-seconds, by that plan; 0 while its priority is not overloaded.
    :param wait_s_by_cause: time for which it has waited or run, in seconds, by
        name of the cause.
    :param durations_by_step: durations of the tasks of each step, predicted or
        shown by runs, by number of the step.
    :param critical_path_s_by_step: critical path from each step on, in
        seconds, by number of the step.
    """

    job: Job
    queue: Queue
    accepted_at_monotonic: MonotonicTime
    occurrence_by_number: dict[int, OccurrenceState] = field(
        default_factory=dict,
    )
    unreadable_occurrences: set[int] = field(default_factory=set)
    next_occurrence: int = 0
    has_started: bool = False
    is_cancelled: bool = False
    is_failed: bool = False
    is_durably_failed: bool = False
    is_durably_done: bool = False
    finished_at: MonotonicTime = 0
    is_removed: bool = False
    is_finish_restored: bool = False
    is_deferred: bool = False
    remaining_share: float = 1
    work_per_value: float = 0
    wait_s_by_cause: dict[str, Seconds] = field(default_factory=dict)
    durations_by_step: tuple[StepDurations, ...] = ()
    critical_path_s_by_step: tuple[Seconds, ...] = ()

    def occurrence_count(self) -> int:
        """Return the number of occurrences; 1 for a job that runs once."""
        return max(self.job.repeat_count, 1)

    def is_occurrence_known(self, number: int) -> bool:
        """
        Return whether an occurrence was created, by this owner or another.

        :param number: number of the occurrence.
        """
        return (
            number in self.occurrence_by_number
            or number in self.unreadable_occurrences
        )

    def is_closed(self) -> bool:
        """Tell whether the job was cancelled, has failed or is done."""
        return self.is_cancelled or self.is_failed or self.finished_at > 0

    def objective_s(self) -> Seconds:
        """
        Return the latency objective of the job.

        :returns: seconds from its acceptance to its completion.
        """
        critical_path_s = max(self.critical_path_s_by_step, default=0)
        return self.queue.stretch * critical_path_s + self.queue.slack_s

    def critical_path_s(self, step: int) -> Seconds:
        """
        Return the critical path from a step to the end of the job.

        :param step: number of the step.
        :returns: sum of the expected durations, in seconds.
        """
        return self.critical_path_s_by_step[step]

    def expected_task_s(self, step: int) -> Seconds:
        """
        Return the expected duration of a task at full speed.

        :param step: number of its step.
        :returns: seconds.
        """
        return self.durations_by_step[step].expected_s()

    def update_durations(self, durations: tuple[StepDurations, ...]) -> None:
        """
        Replace the durations, or take over that one of them has changed.

        :param durations: durations by number of the step.
        """
        self.durations_by_step = durations
        self.critical_path_s_by_step = compute_expected_paths(
            self.job.steps, durations
        )


def create_job_state(
    job: Job,
    queue: Queue,
    accepted_at_monotonic: MonotonicTime,
    durations: tuple[StepDurations, ...],
) -> JobRuntimeState:
    """
    Create the state of an accepted job, without occurrences.

    :param accepted_at_monotonic: time of acceptance on the owner's monotonic
        clock.
    :param durations: predicted durations of its tasks by number of the step.
    """
    job_state = JobRuntimeState(
        job=job,
        queue=queue,
        accepted_at_monotonic=accepted_at_monotonic,
    )
    job_state.update_durations(durations)
    return job_state


def create_occurrence(
    job: Job,
    number: int,
    record: ProgressRecord | None = None,
) -> OccurrenceState:
    """
    Create an occurrence, from its stored record if there is one.

    :param number: number of the occurrence.
    :param record: its stored progress; tasks wait if there is none.
    :returns: the occurrence.
    """
    steps = []
    for step_number, step in enumerate(job.steps):
        tasks = [
            _restore_task(job, number, step_number, index, record)
            for index in range(step.count)
        ]
        step_state = StepState(
            job_id=job.job_id,
            occurrence=number,
            number=step_number,
            step=step,
            tasks=tasks,
        )
        if record is not None:
            failed_runs = record.failed_run_by_step
            step_state.last_failed_run = failed_runs.get(step_number, 0)
        _index_tasks(step_state)
        steps.append(step_state)
    occurrence = OccurrenceState(
        job_id=job.job_id,
        number=number,
        steps=steps,
    )
    if record is not None:
        _restore_restarts(occurrence, record)
        _restore_copies(occurrence, record)
    occurrence.has_started = record is not None and record.is_start_known()
    occurrence.is_durably_done = record is not None and occurrence.is_done()
    return occurrence


def _restore_task(
    job: Job,
    occurrence: int,
    step: int,
    index: int,
    record: ProgressRecord | None,
) -> TaskState:
    key = TaskKey(job.job_id, occurrence, step, index)
    task = TaskState(key=key, step=job.steps[step])
    if record is None:
        return task
    stored = record.steps[step][index]
    task.phase = stored.phase
    task.run = stored.run
    task.worker_id = stored.worker_id
    task.failures = stored.failures
    task.checkpoint = stored.checkpoint
    if stored.phase == TaskPhase.BOUND:
        task.stage = RunStage.ORDERED
    return task


def _restore_restarts(
    occurrence: OccurrenceState, record: ProgressRecord
) -> None:
    for restart in record.restarts:
        task = occurrence.steps[restart.step].tasks[restart.index]
        task.restart_count = restart.count


def _restore_copies(
    occurrence: OccurrenceState, record: ProgressRecord
) -> None:
    for stored in record.copies:
        step = occurrence.steps[stored.step]
        task = step.tasks[stored.index]
        if not stored.worker_id:
            task.last_run = stored.run
            continue
        is_possible = (
            task.copy is None
            and task.phase != TaskPhase.WAITING
            and task.worker_id != stored.worker_id
        )
        if not is_possible:
            raise ValueError(f'second run {stored} beside {task.to_record()}')
        task.copy = TaskState(
            key=task.key,
            step=task.step,
            phase=TaskPhase.BOUND,
            stage=RunStage.ORDERED,
            run=stored.run,
            worker_id=stored.worker_id,
            is_copy=True,
            is_stop_wanted=task.phase != TaskPhase.BOUND,
            avoided_workers=task.avoided_workers,
        )
        count = step.count_by_worker.get(stored.worker_id, 0)
        step.count_by_worker[stored.worker_id] = count + 1


def _index_tasks(step_state: StepState) -> None:
    for index, task in enumerate(step_state.tasks):
        if task.phase == TaskPhase.WAITING:
            step_state.waiting_indexes[index] = None
        elif task.phase == TaskPhase.DONE:
            step_state.done_count += 1
        elif task.phase == TaskPhase.BOUND:
            count = step_state.count_by_worker.get(task.worker_id, 0)
            step_state.count_by_worker[task.worker_id] = count + 1

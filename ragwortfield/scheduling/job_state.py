"""Jobs of a shard: occurrences, steps and tasks with their latest run."""

from dataclasses import dataclass, field
from enum import IntEnum

from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.job import (
    Job,
    Step,
    TaskKey,
    critical_path_by_step,
)
from ragwortfield.scheduling.interference_model import LoadEstimate
from ragwortfield.scheduling.records import (
    ProgressRecord,
    TaskPhase,
    TaskRecord,
)
from ragwortfield.types import MonotonicTime, JobId, Seconds, WorkerId

#: Up to this multiple of its objective a late job still earns something.
MAX_LATENESS_FACTOR = 3


class RunStage(IntEnum):
    """Where the latest run of a bound task is."""

    NONE = 0
    UNCOMMITTED = 1
    ORDERED = 2
    RUNNING = 3
    STOPPING = 4


@dataclass(kw_only=True, slots=True)
class TaskState:
    """
    Task with its latest run.

    :param run: number of the latest run.
    :param failures: runs that ended as failed.
    :param order_deadline_ms: latest time, by the worker's clock, at which
        an order for this run can still be carried out.
    :param pending_start_calls: start calls for this run that have not come back.
    :param last_seen_clock_ms: worker's clock when the run was last known there.
    :param own_utilisation: use that its latest reading shows beyond what fillers
        add, for a task that serves users.
    :param may_run_until: until when the run may go on in a life of its
        worker that has not reported yet; 0 where none can have taken it.
    :param is_stop_wanted: whether the run is to be stopped.
    :param avoided_workers: workers on which the task failed or stood still.
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
    started_at: MonotonicTime = 0
    percent: float = 0
    percent_changed_at: MonotonicTime = 0
    reading: float | None = None
    own_utilisation: float = 0
    pace: int = 100
    is_pacing: bool = False
    slowed_at: MonotonicTime = 0
    is_stop_wanted: bool = False
    stop_sent_at: MonotonicTime = 0
    ticket: str = ''
    is_start_uncertain: bool = False
    may_run_until: MonotonicTime = 0
    avoided_workers: set[WorkerId] = field(default_factory=set)

    def record(self) -> TaskRecord:
        """
        Give the durable part.

        :returns: the record.
        """
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

    :param text: what start orders carry.
    :param born_ms: life of the worker that it holds for.
    :param valid_until: when it runs out, by the monotonic clock.
    """

    text: str
    born_ms: int
    valid_until: MonotonicTime


@dataclass(kw_only=True, slots=True)
class StepState:
    """
    Step of one occurrence.

    :param waiting_indexes: indexes of tasks that wait for a worker, in order.
    :param count_by_worker: tasks bound to each worker.
    :param load: load of its users, where its tasks serve any.
    :param ticket_by_worker: approvals, where the queue needs them.
    :param denied_workers: workers that were not approved.
    :param last_failed_run: latest run of a gang that failed.
    :param unplaced_since: since when some of its tasks have found no worker;
        0 when all have one.
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

    def is_done(self) -> bool:
        """
        Tell whether all tasks have ended as done.

        :returns: whether later steps may start.
        """
        return self.done_count == self.step.count


@dataclass(kw_only=True, slots=True)
class OccurrenceState:
    """
    Occurrence of a job.

    :param is_dirty: whether its durable state lags behind.
    :param is_durably_done: whether the store knows that all is done.
    """

    job_id: JobId
    number: int
    steps: list[StepState]
    is_dirty: bool = False
    is_durably_done: bool = False
    has_run: bool = False

    def is_done(self) -> bool:
        """
        Tell whether all steps are done.

        :returns: whether nothing is left to run.
        """
        return all(step.is_done() for step in self.steps)

    def record(self) -> ProgressRecord:
        """
        Give the durable part.

        :returns: the record.
        """
        return ProgressRecord(
            job_id=self.job_id,
            occurrence=self.number,
            steps=tuple(
                tuple(task.record() for task in step.tasks)
                for step in self.steps
            ),
        )


@dataclass(kw_only=True, slots=True)
class JobRuntimeState:
    """
    Job of a shard.

    :param queue: its queue as last known.
    :param accepted_at_monotonic: acceptance, by the owner's monotonic clock.
    :param occurrence_by_number: those that are due or under way.
    :param opened: occurrences created so far.
    :param finished_at: when it reached its final state; 0 before.
    :param is_removed: whether its own rows are removed from the store.
    :param critical_path_s_by_step: work from each step on along the longest path, in
        seconds, by number of the step.
    """

    job: Job
    queue: Queue
    accepted_at_monotonic: MonotonicTime
    occurrence_by_number: dict[int, OccurrenceState] = field(
        default_factory=dict,
    )
    opened: int = 0
    has_run: bool = False
    is_cancelled: bool = False
    is_failed: bool = False
    is_durably_failed: bool = False
    is_durably_done: bool = False
    finished_at: MonotonicTime = 0
    is_removed: bool = False
    critical_path_s_by_step: tuple[Seconds, ...] = ()

    def occurrence_count(self) -> int:
        """
        Count the occurrences of the job.

        :returns: one for a plain job.
        """
        return max(self.job.repeat_count, 1)

    def is_closed(self) -> bool:
        """
        Tell whether nothing of the job may start any more.

        :returns: whether it was cancelled, failed or is done.
        """
        return self.is_cancelled or self.is_failed or self.finished_at > 0

    def objective_s(self) -> Seconds:
        """
        Give the time in which the job should be done.

        :returns: seconds from its acceptance.
        """
        chain_s = max(self.critical_path_s_by_step, default=0)
        return self.queue.stretch * chain_s + self.queue.slack_s

    def critical_path_s(self, step: int) -> Seconds:
        """
        Give the work that is left from a step on.

        :param step: number of the step.
        :returns: seconds along the longest path.
        """
        return self.critical_path_s_by_step[step]


def new_job_state(
    job: Job, queue: Queue, accepted_at_monotonic: MonotonicTime
) -> JobRuntimeState:
    """
    Make the row of an accepted job.

    :param job: the job.
    :param queue: its queue.
    :param accepted_at_monotonic: acceptance, by the monotonic clock.
    :returns: the row, without occurrences.
    """
    return JobRuntimeState(
        job=job,
        queue=queue,
        accepted_at_monotonic=accepted_at_monotonic,
        critical_path_s_by_step=critical_path_by_step(job.steps),
    )


def new_occurrence(
    job: Job,
    number: int,
    record: ProgressRecord | None = None,
) -> OccurrenceState:
    """
    Make an occurrence, from its record if there is one.

    :param job: the job.
    :param number: number of the occurrence.
    :param record: its durable state.
    :returns: the row; tasks without a record wait.
    """
    steps = []
    for step_number, step in enumerate(job.steps):
        tasks = [
            _task(job, number, step_number, index, record)
            for index in range(step.count)
        ]
        row = StepState(
            job_id=job.job_id,
            occurrence=number,
            number=step_number,
            step=step,
            tasks=tasks,
        )
        _count(row)
        steps.append(row)
    occurrence = OccurrenceState(
        job_id=job.job_id,
        number=number,
        steps=steps,
    )
    occurrence.has_run = any(task.run for row in steps for task in row.tasks)
    occurrence.is_durably_done = record is not None and occurrence.is_done()
    return occurrence


def _task(
    job: Job,
    occurrence: int,
    step: int,
    index: int,
    record: ProgressRecord | None,
) -> TaskState:
    key = TaskKey(job.job_id, occurrence, step, index)
    row = TaskState(key=key, step=job.steps[step])
    if record is None:
        return row
    kept = record.steps[step][index]
    row.phase = kept.phase
    row.run = kept.run
    row.worker_id = kept.worker_id
    row.failures = kept.failures
    row.checkpoint = kept.checkpoint
    if kept.phase == TaskPhase.BOUND:
        row.stage = RunStage.ORDERED
    return row


def _count(row: StepState) -> None:
    for index, task in enumerate(row.tasks):
        if task.phase == TaskPhase.WAITING:
            row.waiting_indexes[index] = None
        elif task.phase == TaskPhase.DONE:
            row.done_count += 1
        elif task.phase == TaskPhase.BOUND:
            count = row.count_by_worker.get(task.worker_id, 0)
            row.count_by_worker[task.worker_id] = count + 1

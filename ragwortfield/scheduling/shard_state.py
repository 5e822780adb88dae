"""Tables of one shard, held by its owner."""

from dataclasses import dataclass, field

from ragwortfield.ports.task_worker import PaceRun, StartRun, StopRun
from ragwortfield.scheduling.timing_bounds import MS_PER_S, TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    OccurrenceState,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.worker_ranking import UnmetNeeds
from ragwortfield.scheduling.worker_state import ChangeCounter, WorkerState
from ragwortfield.types import MonotonicTime, JobId, Seconds, WorkerId

#: Error of wall times that is reckoned with, in seconds: they jump by some.
_WALL_CLOCK_ERROR_S: Seconds = 10

Order = StartRun | StopRun | PaceRun
StepKey = tuple[JobId, int, int]


@dataclass(kw_only=True, slots=True)
class ShardState:
    """
    State of a shard under one owner.

    :param epoch: fencing token of the owner.
    :param owner_since: when it took the shard, by the monotonic clock.
    :param previous_lease_s: longest lease that the owner before asked of
        workers, in seconds; 0 when it is not known.
    :param wall_offset_s: wall time less the monotonic clock, when the shard
        was taken.
    :param ready_step_by_key: steps that may start and have waiting tasks.
    :param dirty_occurrence_by_key: occurrences whose record lags behind.
    :param orders: orders that are due; the owner's runner sends them.
    :param uncommitted_bindings: bindings that are not durable yet, with their runs.
    :param cancelled_job_ids: cancellations, also of jobs not read yet.
    :param expired_jobs: jobs whose rows are to be removed.
    :param removed_at_by_id: when the row of a forgotten job was certainly gone;
        infinite before that. It may be read again until then.
    :param work_by_filler: work of fillers that was asked for, in
        core-seconds, by image.
    :param change_counter: numbers the changes of the workers.
    :param unmet_needs: needs that no worker met.
    :param consolidated_at: latest look for serving tasks to be moved.
    :param defragmented_at: latest round of making room for wide tasks.
    :param is_fenced_off: whether a worker has seen a newer owner.
    """

    epoch: int
    owner_since: MonotonicTime
    bounds: TimingBounds
    catalogue: Catalogue
    previous_lease_s: Seconds = 0
    wall_offset_s: Seconds = 0
    job_by_id: dict[JobId, JobRuntimeState] = field(default_factory=dict)
    worker_by_id: dict[WorkerId, WorkerState] = field(default_factory=dict)
    ready_step_by_key: dict[StepKey, StepState] = field(default_factory=dict)
    dirty_occurrence_by_key: dict[tuple[JobId, int], OccurrenceState] = field(
        default_factory=dict,
    )
    orders: list[Order] = field(default_factory=list)
    uncommitted_bindings: list[tuple[TaskState, int]] = field(
        default_factory=list
    )
    repeating_job_ids: set[JobId] = field(default_factory=set)
    cancelled_job_ids: set[JobId] = field(default_factory=set)
    expired_jobs: list[JobRuntimeState] = field(default_factory=list)
    removed_at_by_id: dict[JobId, MonotonicTime] = field(default_factory=dict)
    work_by_filler: dict[str, float] = field(default_factory=dict)
    change_counter: ChangeCounter = field(default_factory=ChangeCounter)
    unmet_needs: UnmetNeeds = field(default_factory=UnmetNeeds)
    consolidated_at: MonotonicTime = 0
    defragmented_at: MonotonicTime = 0
    is_fenced_off: bool = False
    interference_model: InterferenceModel = field(
        default_factory=InterferenceModel
    )

    def inherited_lease_s(self, born_ms: int, now: MonotonicTime) -> Seconds:
        """
        Give the longest lease that an owner before may have left behind.

        An owner that has not noticed that a worker started again names a
        deadline of the life before, which workers shorten to the longest
        lease; so only workers of some age have just the lease asked for.

        :param born_ms: start of the worker's life, as a Unix time.
        :param now: reading of the monotonic clock.
        :returns: seconds from the last order of the owner before.
        """
        longest_s = self.bounds.longest_lease_s()
        age_s = now + self.wall_offset_s - born_ms / MS_PER_S
        settled_s = longest_s + self.bounds.unaware_s + _WALL_CLOCK_ERROR_S
        if not self.previous_lease_s or age_s < settled_s:
            return longest_s
        return max(self.previous_lease_s, self.bounds.start_window_s)

    def find_task(self, key: TaskKey) -> TaskState | None:
        """
        Look a task up.

        :param key: its identity.
        :returns: its row, if the job and the occurrence are known.
        """
        step = self.find_step((key.job_id, key.occurrence, key.step))
        if step is None or key.index >= len(step.tasks):
            return None
        return step.tasks[key.index]

    def find_step(self, key: StepKey) -> StepState | None:
        """
        Look a step up.

        :param key: job, occurrence and number of the step.
        :returns: its row, if the job and the occurrence are known.
        """
        job = self.job_by_id.get(key[0])
        if job is None:
            return None
        occurrence = job.occurrence_by_number.get(key[1])
        if occurrence is None or key[2] >= len(occurrence.steps):
            return None
        return occurrence.steps[key[2]]

    def get_occurrence(self, task: TaskState) -> OccurrenceState:
        """
        Give the occurrence that a task belongs to.

        :param task: a task of these tables.
        :returns: its occurrence.
        """
        job = self.job_by_id[task.key.job_id]
        return job.occurrence_by_number[task.key.occurrence]

    def get_step(self, task: TaskState) -> StepState:
        """
        Give the step that a task belongs to.

        :param task: a task of these tables.
        :returns: its step.
        """
        return self.get_occurrence(task).steps[task.key.step]

    def mark_occurrence_dirty(self, occurrence: OccurrenceState) -> None:
        """
        Note that the record of an occurrence must be written.

        :param occurrence: the occurrence.
        """
        occurrence.is_dirty = True
        self.dirty_occurrence_by_key[occurrence.job_id, occurrence.number] = (
            occurrence
        )

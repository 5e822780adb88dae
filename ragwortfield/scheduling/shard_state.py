"""In-memory state of one shard, held by its owner."""

import math
from dataclasses import dataclass, field

from ragwortfield.ports.task_worker import PaceRun, StartRun, StopRun
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.decision_log import DecisionLog
from ragwortfield.scheduling.duration_model import DurationModel
from ragwortfield.scheduling.headroom import DemandHistory
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    OccurrenceState,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.owner_counts import OwnerCounts
from ragwortfield.scheduling.ownership_confirmation import (
    FormerElectorate,
    OwnershipConfirmation,
)
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.scheduling.timing_bounds import (
    MAX_CLOCK_DRIFT,
    MS_PER_S,
    TimingBounds,
)
from ragwortfield.scheduling.worker_ranking import UnmetNeeds
from ragwortfield.scheduling.worker_state import ChangeCounter, WorkerState
from ragwortfield.types import (
    InstanceId,
    JobId,
    MonotonicTime,
    Seconds,
    WorkerId,
)

#: Error allowed for in wall-clock times, in seconds, because the wall clock can
#: jump by several seconds.
_WALL_CLOCK_ERROR_S: Seconds = 10

Order = StartRun | StopRun | PaceRun
#: Job, number of the occurrence, number of the step.
StepKey = tuple[JobId, int, int]
#: Pool, required label and image of fillers, which decide where they may start
#: and whom they disturb.
FillerGroup = tuple[str, str, str]


@dataclass(kw_only=True, slots=True)
class ShardState:
    """
    State of a shard under one owner.

    :param epoch: fencing token of the owner.
    :param owner_since: monotonic time at which the owner took over the shard.
    :param previous_lease_s: longest lease that previous owners requested from
        workers, in seconds; 0 when it is not known.
    :param is_process_bound: whether this owner and all before it send deadlines
        only to the worker process for whose clock they were computed, so that
        no lease is longer than requested, also after a restart.
    :param wall_offset_s: wall-clock time minus monotonic time when the shard
        was taken over, in seconds.
    :param ready_step_by_key: steps whose dependencies are done and that have
        waiting tasks.
    :param dirty_occurrence_by_key: occurrences whose stored record is out of
        date.
    :param orders: orders to workers that are due; the owner's runner sends
        them.
    :param uncommitted_bindings: bindings that are not durable yet, with their
        run numbers.
    :param held_starts: durable bindings whose starts are held back until
        cancellations are known, with their run numbers.
    :param inbox_known_until: monotonic time up to which all accepted jobs and
        cancellations are known; infinite for a state that follows no store.
    :param evacuated_zones: zones of workers that start no tasks, as the
        operator has asked; a successor reads them again.
    :param evacuations_known_until: monotonic time up to which these zones are
        known; infinite for a state that follows no store.
    :param repeating_job_ids: jobs that have occurrences left to create.
    :param cancelled_job_ids: cancelled jobs, including jobs not read yet.
    :param unmatched_since_by_id: cancelled jobs that are not known, with the
        monotonic time at which the cancellation was read; oldest first.
    :param expired_jobs: jobs whose rows are to be removed.
    :param removed_at_by_id: monotonic time at which the row of an expired job
        was certainly removed; infinite before that. Until some time after it,
        the row may still be read and must be ignored.
    :param work_by_filler: work of the fillers submitted so far, in
        core-seconds, by image.
    :param filler_bound_at_by_group: monotonic time at which a filler of a group
        last found a worker.
    :param retry_after_s_by_queue: queues that take no new jobs, with the
        seconds after which callers may come back.
    :param short_demand: short steps of the latest jobs.
    :param growth_retry_at: monotonic time from which on long-lived tasks that
        found no worker beside the room for short ones are considered again.
    :param change_counter: numbers the changes of the workers.
    :param unmet_needs: resource requirements that no worker met.
    :param consolidated_at: monotonic time of the latest consolidation of
        serving tasks.
    :param defragmented_at: monotonic time of the latest defragmentation.
    :param stragglers_checked_at: monotonic time of the latest search for
        stragglers.
    :param duration_model: relation of real to declared durations.
    :param decisions: counts and log of the decisions, for all terms of this
        instance.
    :param settings: settings of the decisions.
    :param is_term_recorded: whether the store shows that this owner has been
        the owner for so long that all owners before it have noticed it.
    :param confirmation: evidence that this owner has not been replaced.
    :param former_owner_until: monotonic time until which a former owner may
        extend leases because the store has confirmed its ownership.
    :param former_electorate: workers that may have confirmed it later than
        that.
    :param ended_owner_epoch: fencing token of a former owner that certainly
        gives no more orders; 0 if none is known.
    :param former_run_end_by_worker: monotonic time at which all that former
        owners started on a worker has certainly ended, as far as the former
        owner has told it.
    :param is_newer_owner_claimed: whether a worker has refused an order as that
        of a replaced owner; the owner row decides.
    :param counts: counts for the metrics, which outlive the state.
    :param committed_number: number of this owner's latest commit.
    :param former_id: the owner before this one, for the log; empty for none.
    :param former_epoch: its fencing token.
    :param former_answer: what it has answered to this owner, for the log.
    """

    epoch: int
    owner_since: MonotonicTime
    bounds: TimingBounds
    catalogue: Catalogue
    previous_lease_s: Seconds = 0
    is_process_bound: bool = False
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
    held_starts: list[tuple[TaskState, int]] = field(default_factory=list)
    inbox_known_until: MonotonicTime = math.inf
    evacuated_zones: frozenset[str] = frozenset()
    evacuations_known_until: MonotonicTime = math.inf
    repeating_job_ids: set[JobId] = field(default_factory=set)
    cancelled_job_ids: set[JobId] = field(default_factory=set)
    unmatched_since_by_id: dict[JobId, MonotonicTime] = field(
        default_factory=dict,
    )
    expired_jobs: list[JobRuntimeState] = field(default_factory=list)
    removed_at_by_id: dict[JobId, MonotonicTime] = field(default_factory=dict)
    work_by_filler: dict[str, float] = field(default_factory=dict)
    filler_bound_at_by_group: dict[FillerGroup, MonotonicTime] = field(
        default_factory=dict
    )
    retry_after_s_by_queue: dict[str, int] = field(default_factory=dict)
    short_demand: DemandHistory = field(default_factory=DemandHistory)
    growth_retry_at: MonotonicTime = 0
    change_counter: ChangeCounter = field(default_factory=ChangeCounter)
    unmet_needs: UnmetNeeds = field(default_factory=UnmetNeeds)
    consolidated_at: MonotonicTime = 0
    defragmented_at: MonotonicTime = 0
    stragglers_checked_at: MonotonicTime = 0
    confirmation: OwnershipConfirmation = field(init=False)
    former_owner_until: MonotonicTime = 0
    former_electorate: FormerElectorate = field(
        default_factory=FormerElectorate
    )
    ended_owner_epoch: int = 0
    former_run_end_by_worker: dict[WorkerId, MonotonicTime] = field(
        default_factory=dict,
    )
    is_newer_owner_claimed: bool = False
    counts: OwnerCounts = field(default_factory=OwnerCounts)
    committed_number: int = 0
    former_id: InstanceId = ''
    former_epoch: int = 0
    former_answer: str = 'none'
    is_term_recorded: bool = False
    interference_model: InterferenceModel = field(
        default_factory=InterferenceModel
    )
    duration_model: DurationModel = field(default_factory=DurationModel)
    decisions: DecisionLog = field(default_factory=DecisionLog)
    settings: SchedulingSettings = field(default_factory=SchedulingSettings)

    def __post_init__(self) -> None:
        """Assume the worst about a former owner that has not answered."""
        self.confirmation = OwnershipConfirmation(stored_at=self.owner_since)
        self.former_owner_until = self.owner_since + self.bounds.unaware_s

    def former_authority_end(self) -> MonotonicTime:
        """
        Return until when earlier owners may extend leases and start runs.

        :returns: monotonic time, in seconds.
        """
        fenced_at = self.former_electorate.fenced_at
        if fenced_at is None:
            return self.owner_since + self.bounds.longest_outage_s
        return max(self.former_owner_until, fenced_at + self.bounds.unaware_s)

    def is_inbox_current(self, now: MonotonicTime) -> bool:
        """
        Check whether a job that counts as not cancelled may be started.

        :param now: monotonic time, in seconds.
        :returns: whether all cancellations are known but the latest ones.
        """
        return now - self.inbox_known_until <= self.bounds.inbox_age_s

    def are_evacuations_current(self, now: MonotonicTime) -> bool:
        """
        Check whether tasks may be started outside the evacuated zones.

        :param now: monotonic time, in seconds.
        :returns: whether all evacuations are known but the latest ones.
        """
        age_s = now - self.evacuations_known_until
        return age_s <= self.bounds.longest_evacuation_age_s()

    def former_run_end(self, worker_id: WorkerId) -> MonotonicTime:
        """
        Return when all that former owners started on a worker has ended.

        Holds for a worker that has not reported to this owner.

        :param worker_id: the worker.
        :returns: monotonic time, in seconds.
        """
        known_end = self.former_run_end_by_worker.get(worker_id)
        if known_end is not None:
            return known_end
        lease_s = self.bounds.longest_lease_s()
        if self.is_process_bound:
            lease_s = self._previous_order_effect_s()
        return self.former_authority_end() + lease_s / (1 - MAX_CLOCK_DRIFT)

    def inherited_lease_s(self, born_ms: int, now: MonotonicTime) -> Seconds:
        """
        Return the longest lease that a previous owner may have left.

        Earlier versions of this program may send a deadline on the clock of a
        worker's process to the next one, which shortens it to the longest lease
        that workers grant. After such an owner, only on workers that have run
        for long enough is the lease known to be no longer than requested.

        :param born_ms: start of the worker's process, as Unix time in
            milliseconds.
        :param now: monotonic time, in seconds.
        :returns: seconds from the last order of the previous owner.
        """
        if self.is_process_bound:
            return self._previous_order_effect_s()
        longest_lease_s = self.bounds.longest_lease_s()
        age_s = now + self.wall_offset_s - born_ms / MS_PER_S
        min_age_s = (
            longest_lease_s + self.bounds.unaware_s + _WALL_CLOCK_ERROR_S
        )
        if not self.previous_lease_s or age_s < min_age_s:
            return longest_lease_s
        return self._previous_order_effect_s()

    def find_task(self, key: TaskKey) -> TaskState | None:
        """
        Look up a task.

        :returns: its state; ``None`` if its job or occurrence is not known.
        """
        step = self.find_step((key.job_id, key.occurrence, key.step))
        if step is None or key.index >= len(step.tasks):
            return None
        return step.tasks[key.index]

    def find_run(self, key: TaskKey, run: int) -> TaskState | None:
        """
        Look up a task or, by its number, the second run of it.

        :param key: the task.
        :param run: number of a run.
        :returns: the second run if it has this number, otherwise the task;
            ``None`` if its job or occurrence is not known.
        """
        task = self.find_task(key)
        if task is not None and task.copy is not None and task.copy.run == run:
            return task.copy
        return task

    def find_step(self, key: StepKey) -> StepState | None:
        """
        Look up a step.

        :param key: job, occurrence and number of the step.
        :returns: its state; ``None`` if its job or occurrence is not known.
        """
        job = self.job_by_id.get(key[0])
        if job is None:
            return None
        occurrence = job.occurrence_by_number.get(key[1])
        if occurrence is None or key[2] >= len(occurrence.steps):
            return None
        return occurrence.steps[key[2]]

    def get_occurrence(self, task: TaskState) -> OccurrenceState:
        """Return the occurrence of a task that is in this state."""
        job = self.job_by_id[task.key.job_id]
        return job.occurrence_by_number[task.key.occurrence]

    def get_step(self, task: TaskState) -> StepState:
        """Return the step of a task that is in this state."""
        return self.get_occurrence(task).steps[task.key.step]

    def get_filler_group(self, step: StepState) -> FillerGroup:
        """Return the group of the fillers of a step."""
        pool = self.job_by_id[step.job_id].queue.pool
        return pool, step.step.required_label, step.step.image

    def mark_occurrence_dirty(self, occurrence: OccurrenceState) -> None:
        """Mark an occurrence for writing with the next commit."""
        occurrence.is_dirty = True
        self.dirty_occurrence_by_key[occurrence.job_id, occurrence.number] = (
            occurrence
        )

    def _previous_order_effect_s(self) -> Seconds:
        return max(self.previous_lease_s, self.bounds.start_window_s)

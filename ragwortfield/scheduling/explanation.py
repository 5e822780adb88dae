"""Explains where the waiting tasks of a job would go now, and why.

An operator asks why a job waits, or where a job would run that is not
submitted. The answer comes from the functions that decide, on copies of the
steps, so it changes nothing and decides nothing.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from operator import itemgetter

from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.disruption_budget import (
    is_disruption_allowed,
    is_serving,
)
from ragwortfield.scheduling.duration_model import predict_step_durations
from ragwortfield.scheduling.interference_control import is_speed_sufficient
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    OccurrenceState,
    StepState,
    create_job_state,
    create_occurrence,
)
from ragwortfield.scheduling.job_status import get_job_status
from ragwortfield.scheduling.long_lived_growth import LongLivedGrowth
from ragwortfield.scheduling.place_wait import PlaceWaits
from ragwortfield.scheduling.rack_outlook import (
    PlaceRequest,
    RackOutlook,
    get_hold_s,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import compute_urgency, describe_rank
from ragwortfield.scheduling.worker_health import is_on_trial
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    has_free_resources,
    has_required_label,
    has_valid_ticket,
    is_placement_allowed,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Most steps of a job that are explained; an answer has to fit into one frame
#: between instances.
_MAX_STEPS = 8
#: Most steps before a step whose places are counted in its expected start.
_MAX_STEPS_BEFORE = 64
#: Latest expected start that is told, in seconds; estimates that go further
#: mean nothing.
_HORIZON_S: Seconds = 60

#: Status of a job that is not submitted.
NOT_SUBMITTED = 'not_submitted'


@dataclass(frozen=True, kw_only=True, slots=True)
class StepExplanation:
    """
    Where the waiting tasks of a step would go.

    :param step: number of the step.
    :param decision: ``start``, ``wait_for_rack``, ``wait_for_capacity``,
        ``leave_room`` (for short tasks), ``wait_for_steps`` (before it),
        ``placed`` (no task waits).
    :param waiting: number of its waiting tasks.
    :param bound: number of its tasks that are bound to a worker.
    :param done: number of its tasks that are done.
    :param rank: rank within the priority; empty while it waits for steps.
    :param steps_before: steps that come before it in the waiting order.
    :param tasks_before: their waiting tasks.
    :param worker: worker of the first waiting task; empty if it does not start.
    :param rack: rack where the tasks run fastest; empty for any.
    :param tasks_waiting_for_rack: number of tasks that wait for it.
    :param expected_start_s: seconds until the first waiting task starts; -1 if
        it is not known.
    :param suitable: workers that could get the first waiting task now.
    :param excluded: workers that could not, by what excludes them.
    """

    step: int
    decision: str
    waiting: int
    bound: int
    done: int
    rank: str = ''
    steps_before: int = 0
    tasks_before: int = 0
    worker: WorkerId = ''
    rack: str = ''
    tasks_waiting_for_rack: int = 0
    expected_start_s: Seconds = -1
    suitable: tuple[WorkerId, ...] = ()
    excluded: dict[str, tuple[WorkerId, ...]] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class JobExplanation:
    """
    Where the tasks of a job would go.

    :param status: status of the job, or ``not_submitted``.
    :param pool: pool of workers that runs its tasks.
    :param age_s: time since its acceptance, in seconds.
    :param objective_s: latency objective, in seconds.
    :param is_deferred: whether the plan for overload has deferred it.
    :param steps: steps that are not done, at most eight.
    """

    job_id: str
    status: str
    queue: str
    priority: int
    pool: str
    age_s: Seconds
    objective_s: Seconds
    is_deferred: bool
    steps: tuple[StepExplanation, ...]


def explain_known_job(
    state: ShardState, job: JobRuntimeState, now: MonotonicTime
) -> JobExplanation:
    """
    Explain where the waiting tasks of an accepted job would go.

    :param state: state of the shard; it is not changed.
    :param job: the job.
    :param now: monotonic time, in seconds.
    :returns: the explanation; of a repeating job, of its first occurrence that
        is not done.
    """
    open_occurrences = (
        occurrence
        for occurrence in job.occurrence_by_number.values()
        if not occurrence.is_done()
    )
    occurrence = next(open_occurrences, None)
    steps: tuple[StepExplanation, ...] = ()
    if occurrence is not None and not job.is_closed():
        copied = _copy_occurrence(job, occurrence)
        steps = _Explainer(state=state, job=job, now=now).explain(copied)
    return _build_explanation(job, get_job_status(job).value, steps, now)


def explain_new_job(
    state: ShardState, job: Job, queue: Queue, now: MonotonicTime
) -> JobExplanation:
    """
    Explain where the tasks of a job would go if it were accepted now.

    :param state: state of the shard; it is not changed.
    :param job: the job.
    :param queue: its queue.
    :param now: monotonic time, in seconds.
    :returns: the explanation.
    """
    durations = predict_step_durations(
        state.duration_model, job.queue, job.steps
    )
    runtime = create_job_state(job, queue, now, durations)
    occurrence = create_occurrence(job, 0)
    steps = _Explainer(state=state, job=runtime, now=now).explain(occurrence)
    return _build_explanation(runtime, NOT_SUBMITTED, steps, now)


def _build_explanation(
    job: JobRuntimeState,
    status: str,
    steps: tuple[StepExplanation, ...],
    now: MonotonicTime,
) -> JobExplanation:
    return JobExplanation(
        job_id=job.job.job_id,
        status=status,
        queue=job.job.queue,
        priority=job.queue.priority,
        pool=job.queue.pool,
        age_s=now - job.accepted_at_monotonic,
        objective_s=job.objective_s(),
        is_deferred=job.is_deferred,
        steps=steps,
    )


def _copy_occurrence(
    job: JobRuntimeState, occurrence: OccurrenceState
) -> OccurrenceState:
    copied = create_occurrence(
        job.job, occurrence.number, occurrence.to_record()
    )
    for step, copied_step in zip(occurrence.steps, copied.steps, strict=True):
        copied_step.ticket_by_worker = step.ticket_by_worker.copy()
        copied_step.unplaced_since = step.unplaced_since
        for task, copied_task in zip(
            step.tasks, copied_step.tasks, strict=True
        ):
            copied_task.avoided_workers = task.avoided_workers.copy()
            copied_task.not_running_since = task.not_running_since
    return copied


class _Explainer:
    """Explanation of one job, from one state."""

    def __init__(
        self, *, state: ShardState, job: JobRuntimeState, now: MonotonicTime
    ) -> None:
        self._state = state
        self._job = job
        self._now = now
        self._selector = WorkerSelector(state=state, now=now, is_trial=True)

    def explain(
        self, occurrence: OccurrenceState
    ) -> tuple[StepExplanation, ...]:
        open_steps = [step for step in occurrence.steps if not step.is_done()]
        return tuple(
            self._explain_step(occurrence, step)
            for step in open_steps[:_MAX_STEPS]
        )

    def _explain_step(
        self, occurrence: OccurrenceState, step: StepState
    ) -> StepExplanation:
        counts = {
            'step': step.number,
            'waiting': len(step.waiting_indexes),
            'bound': sum(step.count_by_worker.values()),
            'done': step.done_count,
        }
        is_ready = all(
            occurrence.steps[number].is_done() for number in step.step.after
        )
        if not is_ready:
            return StepExplanation(decision='wait_for_steps', **counts)
        if not step.waiting_indexes:
            return StepExplanation(decision='placed', **counts)
        before = self._list_steps_before(step)
        outcome = self._decide(step, before)
        suitable, excluded = self._check_workers(
            step, is_rack_required=outcome.decision == 'wait_for_rack'
        )
        return StepExplanation(
            decision=outcome.decision,
            rank=describe_rank(self._job, step, self._now),
            steps_before=len(before),
            tasks_before=sum(len(other.waiting_indexes) for other in before),
            worker=outcome.worker,
            rack=self._selector.get_preferred_rack(step),
            tasks_waiting_for_rack=outcome.rack_wait_count,
            expected_start_s=outcome.expected_start_s,
            suitable=suitable,
            excluded=excluded,
            **counts,
        )

    def _list_steps_before(self, step: StepState) -> list[StepState]:
        """List the steps of the pool before a step in the waiting order."""
        urgency = compute_urgency(self._job, step, self._now)
        own_key = (step.job_id, step.occurrence, step.number)
        is_passed = False
        keyed = []
        for key, other in self._state.ready_step_by_key.items():
            other_job = self._state.job_by_id[other.job_id]
            other_urgency = compute_urgency(other_job, other, self._now)
            # Of equally urgent steps, the one that is ready for longer.
            is_before = other_urgency < urgency or (
                other_urgency == urgency and not is_passed
            )
            if key == own_key:
                is_passed = True
            elif is_before and other_job.queue.pool == self._job.queue.pool:
                keyed.append((other_urgency, other))
        return [other for _, other in sorted(keyed, key=itemgetter(0))]

    def _decide(self, step: StepState, before: list[StepState]) -> '_Outcome':
        job = self._job
        waits = PlaceWaits(
            state=self._state,
            selector=self._selector,
            now=self._now,
            is_trial=True,
        )
        if step.step.is_gang:
            return self._decide_gang(step, before, waits)
        task = step.tasks[next(iter(step.waiting_indexes))]
        growth = LongLivedGrowth(
            state=self._state, selector=self._selector, now=self._now
        )
        if growth.is_deferred(job, step, task):
            return _Outcome(decision='leave_room')
        waits.choose_rack(job, step)
        worker = self._selector.select_worker(job, step, task)
        if worker is None:
            return self._expect_capacity(step, before)
        rack = self._selector.get_preferred_rack(step)
        self._plan_before(before, rack, waits)
        if not waits.is_waiting(job, step, task, worker):
            return _Outcome(
                decision='start', worker=worker.worker_id, expected_start_s=0
            )
        return self._expect_rack(step, before, rack)

    def _decide_gang(
        self, step: StepState, before: list[StepState], waits: PlaceWaits
    ) -> '_Outcome':
        workers = self._selector.select_gang_workers(self._job, step)
        if workers is None:
            return self._expect_capacity(step, before)
        rack = step.step.data_rack
        self._plan_before(before, rack, waits)
        if waits.is_gang_waiting(self._job, step, workers):
            return self._expect_rack(step, before, rack)
        return _Outcome(
            decision='start',
            worker=workers[0].worker_id,
            expected_start_s=0,
        )

    def _plan_before(
        self, before: list[StepState], rack: str, waits: PlaceWaits
    ) -> None:
        """Let the steps for the same rack take their places first."""
        for other in before if rack else ():
            if self._selector.get_preferred_rack(other) == rack:
                waits.plan(self._state.job_by_id[other.job_id], other, rack)

    def _expect_rack(
        self, step: StepState, before: list[StepState], rack: str
    ) -> '_Outcome':
        waits = PlaceWaits(
            state=self._state,
            selector=self._selector,
            now=self._now,
            is_trial=True,
        )
        self._plan_before(before, rack, waits)
        waits_s = waits.plan(self._job, step, rack) if rack else []
        return _Outcome(
            decision='wait_for_rack',
            rack_wait_count=len(waits_s) or len(step.waiting_indexes),
            expected_start_s=waits_s[0] if waits_s else -1,
        )

    def _expect_capacity(
        self, step: StepState, before: list[StepState]
    ) -> '_Outcome':
        """Expect the first place on any worker, after the steps before."""
        workers = self._selector.list_eligible_workers(self._job)
        outlook = RackOutlook(
            state=self._state,
            workers=workers,
            is_for_fillers=step.step.is_filler,
            now=self._now,
        )
        waits_s: list[Seconds] = []
        counted = (*before[:_MAX_STEPS_BEFORE], step)
        for other in counted:
            job = self._job
            if other is not step:
                job = self._state.job_by_id[other.job_id]
            if other.step.is_filler != step.step.is_filler:
                continue
            waits_s = outlook.place(
                PlaceRequest(
                    step=other,
                    count=len(other.waiting_indexes),
                    hold_s=get_hold_s(job, other),
                    is_free_room_counted=other.step.is_gang,
                ),
                self._selector.list_suitable_workers(job, other, workers),
                _HORIZON_S,
            )
        if step.step.is_gang and len(waits_s) < step.step.count:
            waits_s = []
        number = -1 if step.step.is_gang else 0
        return _Outcome(
            decision='wait_for_capacity',
            expected_start_s=waits_s[number] if waits_s else -1,
        )

    def _check_workers(
        self, step: StepState, *, is_rack_required: bool
    ) -> tuple[tuple[WorkerId, ...], dict[str, tuple[WorkerId, ...]]]:
        """List the workers of the pool, with what excludes each."""
        ids_by_reason: defaultdict[str, list[WorkerId]] = defaultdict(list)
        rack = self._selector.get_preferred_rack(step)
        for worker in self._state.worker_by_id.values():
            if worker.listed.pool != self._job.queue.pool:
                continue
            reasons = [
                name
                for name, excludes in _EXCLUSIONS
                if excludes(self._state, self._job, step, worker, self._now)
            ]
            if self._is_interfering(step, worker):
                reasons.append('interference')
            if is_rack_required and worker.listed.rack != rack:
                reasons.append('rack')
            ids_by_reason['+'.join(reasons)].append(worker.worker_id)
        suitable = tuple(sorted(ids_by_reason.pop('', [])))
        return suitable, {
            reason: tuple(sorted(ids))
            for reason, ids in sorted(ids_by_reason.items())
        }

    def _is_interfering(self, step: StepState, worker: WorkerState) -> bool:
        if not step.step.is_filler or not has_free_resources(worker, step):
            return False
        speed, _ = self._selector.estimate_speed_and_interference(worker, step)
        return not is_speed_sufficient(speed)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Outcome:
    """Decision on the first waiting task of a step."""

    decision: str
    worker: WorkerId = ''
    rack_wait_count: int = 0
    expected_start_s: Seconds = -1


_Exclusion = Callable[
    [ShardState, JobRuntimeState, StepState, WorkerState, MonotonicTime], bool
]


def _is_silent(
    state: ShardState,
    _job: JobRuntimeState,
    _step: StepState,
    worker: WorkerState,
    now: MonotonicTime,
) -> bool:
    return not worker.is_in_contact(state.bounds, now)


def _is_tried(
    _state: ShardState,
    _job: JobRuntimeState,
    step: StepState,
    worker: WorkerState,
    now: MonotonicTime,
) -> bool:
    return is_on_trial(
        worker,
        now,
        is_attempt_limited=not (step.step.is_long_lived or step.step.is_gang),
    )


def _is_unapproved(
    _state: ShardState,
    job: JobRuntimeState,
    step: StepState,
    worker: WorkerState,
    now: MonotonicTime,
) -> bool:
    if job.queue.advice is None:
        return False
    return not has_valid_ticket(worker, step, now)


def _is_bound_by_budget(
    state: ShardState,
    _job: JobRuntimeState,
    step: StepState,
    worker: WorkerState,
    _now: MonotonicTime,
) -> bool:
    """Tell whether serving tasks hold the room, and none may be moved now."""
    if has_free_resources(worker, step):
        return False
    serving = [task for task in worker.run_by_key.values() if is_serving(task)]
    moved = [task for task in serving if task.step.latency_target_ms]
    return bool(moved) and not any(
        is_disruption_allowed(state.get_step(task)) for task in moved
    )


#: What can exclude a worker, by name; all that hold are told.
_EXCLUSIONS: tuple[tuple[str, _Exclusion], ...] = (
    (
        'unlisted',
        lambda _state, _job, _step, worker, _now: not worker.is_listed,
    ),
    (
        'draining',
        lambda _state, _job, _step, worker, _now: worker.listed.is_draining,
    ),
    (
        'evacuated_zone',
        lambda _state, _job, _step, worker, _now: worker.is_evacuated,
    ),
    ('silent', _is_silent),
    (
        'quarantine',
        lambda _state, _job, _step, worker, now: now < worker.quarantined_until,
    ),
    (
        'failed_starts',
        lambda _state, _job, _step, worker, now: (
            now < worker.start_backoff_until
        ),
    ),
    ('on_trial', _is_tried),
    (
        'label',
        lambda _state, _job, step, worker, _now: (
            not has_required_label(worker, step)
        ),
    ),
    (
        'anti_affinity',
        lambda _state, _job, step, worker, _now: (
            has_required_label(worker, step)
            and not is_placement_allowed(worker, step)
        ),
    ),
    (
        'capacity',
        lambda _state, _job, step, worker, _now: (
            not has_free_resources(worker, step)
        ),
    ),
    ('disruption_budget', _is_bound_by_budget),
    ('approval', _is_unapproved),
)

"""Divides the jobs of an overloaded priority into those served and deferred.

The load that it answers: for some seconds, more jobs of one priority arrive
than the pool can do in time. By least slack alone, each job starts when it is
about to miss its latency objective; most of them do miss it, and while the
backlog lasts every new job joins its end and misses it as well.

The plan keeps as many jobs in time as the present capacity allows
(Moore-Hodgson): it goes through the jobs by deadline, adds up their remaining
work, and defers a job whenever the sum exceeds what can be done by then. The
size class that was deferred least so far gives up the job with the least value
for its remaining work, so that no size and no queue pays for the others, and
work that was done already is rarely lost.

The jobs in time are not served by least slack, either: that would bring all of
them to their objective at the same time, and a small error of the estimates
makes all of them late. Those with the least remaining work for their value come
first.

Deferred jobs stay accepted. Like late ones they are served with what the others
leave, those that need least for their value first, and they return to the plan
as soon as they fit again.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from statistics import median

from ragwortfield.scheduling.job_sizes import (
    SizeClass,
    classify_size,
    estimate_work,
)
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    RunStage,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.placeable_steps import PlaceableSteps
from ragwortfield.scheduling.queue_admission import Backlog, decide_refusals
from ragwortfield.scheduling.records import TaskPhase
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.work_schedule import WorkSchedule
from ragwortfield.types import JobId, MonotonicTime, Seconds

#: Interval of the plan, in seconds; it looks at all tasks of unfinished jobs.
_PLAN_INTERVAL_S: Seconds = 0.2
#: Time without a worker from which on a step shows that the capacity is used
#: up, in seconds; several rounds.
_SATURATED_AFTER_S: Seconds = 0.15
#: Backlog of waiting work from which on a priority is overloaded, as a share of
#: the median latency objective of its jobs. Less is no lack of capacity: a
#: large task may find no worker while many small ones do.
_MIN_BACKLOG_SHARE = 0.25
#: Time constant of the measured capacity, in seconds.
_CAPACITY_SMOOTHING_S: Seconds = 1
#: Time after a takeover for which nothing is deferred, in seconds: until the
#: workers have reported, what runs there is not known.
_SETTLING_S: Seconds = 2
#: Time for which the highest capacity counts for the admission of jobs, in
#: seconds. A pool in which little happens to run has no small capacity.
_PEAK_RETENTION_S: Seconds = 10
#: Time for which a backlog must have been too long before a queue is closed, in
#: seconds: short bursts, and the first rounds of an owner, close none.
_CLOSE_AFTER_S: Seconds = 2
#: Share of the capacity that is planned. A job ends with its slowest task, and
#: a fifth of the fillers is slowed down at any time.
_PLANNED_SHARE = 0.8
#: Share of the planned capacity up to which deferred jobs return; the rest
#: keeps them from going to and fro.
_RETURN_SHARE = 0.9
#: Value of a job without work, and the addition for the mean work of its queue,
#: as a share of the value of a job with the mean work.
_BASE_VALUE = 0.3
_WORK_VALUE = 0.7
#: Highest value of a job as a multiple of that of a job with the mean work.
_MAX_VALUE = 4
#: Age from which on a reading of CPU use covers the run alone, in seconds.
_MIN_READING_AGE_S: Seconds = 0.6
#: Number of jobs after which earlier deferrals no longer count for fairness.
_FAIRNESS_WINDOW = 200
_FULL_PERCENT = 100
#: Lower bound of works, in core-seconds, in order not to divide by zero.
_MIN_WORK = 1e-6

#: Queue of a job and its size among the queue's jobs.
SizeGroup = tuple[str, SizeClass]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobDemand:
    """
    What a job still needs in order to be in time.

    :param group: jobs that take turns in being deferred.
    :param deadline: monotonic time at which its latency objective ends.
    :param path_s: critical path of what remains, in seconds.
    :param work: remaining work, in core-seconds.
    :param running_work: part of it that is under way, in core-seconds.
    :param value: its value to its caller.
    :param is_deferred: whether the latest plan deferred it.
    """

    job_id: JobId
    group: SizeGroup
    deadline: MonotonicTime
    path_s: Seconds
    work: float
    running_work: float = 0
    value: float = 1
    is_deferred: bool = False

    def is_attainable(self, now: MonotonicTime) -> bool:
        """Return whether it could be in time if it were alone."""
        return now + self.path_s <= self.deadline

    def work_per_value(self) -> float:
        """Return the remaining work that a unit of its value costs."""
        return self.work / self.value


@dataclass(kw_only=True, slots=True)
class FairShares:
    """
    Counts by size group of what was deferred lately.

    :param planned_by_group: jobs that plans have decided on.
    :param deferred_by_group: those of them that were deferred.
    """

    planned_by_group: Counter[SizeGroup] = field(default_factory=Counter)
    deferred_by_group: Counter[SizeGroup] = field(default_factory=Counter)

    def deferred_share(self, group: SizeGroup) -> float:
        """Return the share of a group's jobs that were deferred."""
        planned = self.planned_by_group[group]
        return self.deferred_by_group[group] / planned if planned else 0

    def add_planned(self, group: SizeGroup) -> None:
        """Count a job that is planned for the first time."""
        self.planned_by_group[group] += 1
        if self.planned_by_group[group] > _FAIRNESS_WINDOW:
            self.planned_by_group[group] //= 2
            self.deferred_by_group[group] //= 2


def select_deferred(
    demands: Iterable[JobDemand],
    *,
    capacity_cpu: float,
    now: MonotonicTime,
    shares: FairShares,
) -> set[JobId]:
    """
    Select the jobs that are not to be served in time.

    :param demands: unfinished jobs of one pool and priority.
    :param capacity_cpu: CPU that they get together, in cores.
    :param now: monotonic time, in seconds.
    :param shares: earlier deferrals; those of this call are added.
    :returns: the deferred jobs; jobs that cannot be in time even alone are not
        among them and get no capacity in the plan.
    """
    attainable, others = _partition(demands, now)
    # What runs already goes on, whether it can still be in time or not.
    taken_work = sum(demand.running_work for demand in others)
    candidates = _Candidates()
    kept_work: float = taken_work
    deferred: list[JobDemand] = []
    for demand in attainable:
        candidates.add(demand)
        kept_work += demand.work
        while kept_work > capacity_cpu * (demand.deadline - now):
            dropped = candidates.pop(shares)
            if dropped is None:
                break
            kept_work -= dropped.work - dropped.running_work
            deferred.append(dropped)
            if not dropped.is_deferred:
                shares.deferred_by_group[dropped.group] += 1
    dropped_ids = {demand.job_id for demand in deferred}
    kept = [demand for demand in attainable if demand.job_id not in dropped_ids]
    returned = _select_returning(
        kept, deferred, capacity_cpu, now, taken_work=taken_work
    )
    for demand in deferred:
        if demand.job_id in returned and not demand.is_deferred:
            shares.deferred_by_group[demand.group] -= 1
    return {demand.job_id for demand in deferred} - returned


def _partition(
    demands: Iterable[JobDemand], now: MonotonicTime
) -> tuple[list[JobDemand], list[JobDemand]]:
    """Split off the jobs that can be in time, by deadline."""
    attainable: list[JobDemand] = []
    others: list[JobDemand] = []
    for demand in demands:
        (attainable if demand.is_attainable(now) else others).append(demand)
    attainable.sort(key=lambda demand: demand.deadline)
    return attainable, others


@dataclass(kw_only=True, slots=True)
class _Candidates:
    """Jobs that can be deferred, in a heap for each size group."""

    _heap_by_group: defaultdict[
        SizeGroup, list[tuple[bool, float, int, JobDemand]]
    ] = field(default_factory=lambda: defaultdict(list))
    _count: int = 0

    def add(self, demand: JobDemand) -> None:
        """Add a job."""
        self._count += 1
        heappush(
            self._heap_by_group[demand.group],
            (
                not demand.is_deferred,
                -demand.work_per_value(),
                self._count,
                demand,
            ),
        )

    def pop(self, shares: FairShares) -> JobDemand | None:
        """Remove the job to defer; those deferred before come first."""
        if not self._heap_by_group:
            return None
        group = min(
            self._heap_by_group,
            key=lambda known: (
                self._heap_by_group[known][0][0],
                shares.deferred_share(known),
                self._heap_by_group[known][0][1:3],
            ),
        )
        heap = self._heap_by_group[group]
        demand = heappop(heap)[-1]
        if not heap:
            del self._heap_by_group[group]
        return demand


def _select_returning(
    kept: list[JobDemand],
    deferred: Sequence[JobDemand],
    capacity_cpu: float,
    now: MonotonicTime,
    *,
    taken_work: float,
) -> set[JobId]:
    """
    Select deferred jobs that fit beside all kept ones, smallest first.

    :param taken_work: work under way of jobs that cannot be in time, in
        core-seconds.
    """
    returned: set[JobId] = set()
    # The runs of deferred jobs go on as well.
    taken_work += sum(demand.running_work for demand in deferred)
    schedule = WorkSchedule(capacity_cpu=capacity_cpu * _RETURN_SHARE, now=now)
    for planned in kept:
        schedule.add(planned.deadline, planned.work)
    for demand in sorted(deferred, key=lambda demand: demand.work):
        other_work = taken_work - demand.running_work
        if schedule.add_if_it_fits(
            demand.deadline, demand.work, taken_work=other_work
        ):
            taken_work = other_work
            returned.add(demand.job_id)
    return returned


@dataclass(kw_only=True, slots=True)
class _Group:
    """
    Unfinished short jobs of one pool and priority.

    :param running_cpu: CPU that their runs use, in cores.
    :param is_saturated: whether some of their tasks find no worker.
    """

    jobs: list[JobRuntimeState] = field(default_factory=list)
    running_cpu: float = 0
    is_saturated: bool = False


#: Pool of workers and priority of the queue.
_GroupKey = tuple[str, int]


@dataclass(kw_only=True, slots=True)
class OverloadControl:
    """
    Plans which jobs are deferred, for one owner.

    All that it keeps is learned again by a successor: capacity and saturation
    within two seconds, fairness with the next jobs.

    :param planned_at: monotonic time of the latest plan.
    """

    planned_at: MonotonicTime = 0
    _capacity_by_group: dict[_GroupKey, float] = field(default_factory=dict)
    _shares_by_group: defaultdict[_GroupKey, FairShares] = field(
        default_factory=lambda: defaultdict(FairShares)
    )
    _planned_ids: set[JobId] = field(default_factory=set)
    _peak_by_group: dict[_GroupKey, float] = field(default_factory=dict)
    _overlong_since_by_queue: dict[str, MonotonicTime] = field(
        default_factory=dict
    )

    def update(self, state: ShardState, now: MonotonicTime) -> None:
        """
        Plan again if that is due, and mark the deferred jobs in the state.

        :param state: state of the shard.
        :param now: monotonic time, in seconds.
        """
        elapsed_s = now - self.planned_at
        if elapsed_s < _PLAN_INTERVAL_S:
            return
        self.planned_at = now
        groups = _collect_groups(state, now)
        self._planned_ids &= state.job_by_id.keys()
        for key in self._capacity_by_group.keys() - groups.keys():
            del self._capacity_by_group[key]
            del self._peak_by_group[key]
        is_settled = now - state.owner_since > _SETTLING_S
        refusals: dict[str, int] = {}
        for key, group in groups.items():
            self._measure_capacity(key, group, elapsed_s)
            if is_settled and group.is_saturated:
                demands = _build_demands(group.jobs, state, now)
                is_planned = self._is_overloaded(key, group, demands)
            else:
                is_planned = False
            if is_planned:
                self._plan(state, key, group, demands, now)
                refusals |= self._decide_refusals(state, key, group, demands)
            else:
                for job in group.jobs:
                    _reset_plan(job)
        _record_refusals(state, self._select_lasting(refusals, now), now)

    def _measure_capacity(
        self, key: _GroupKey, group: _Group, elapsed_s: Seconds
    ) -> None:
        peak_cpu = self._peak_by_group.get(key, 0) * (
            1 - min(elapsed_s / _PEAK_RETENTION_S, 1)
        )
        self._peak_by_group[key] = max(peak_cpu, group.running_cpu)
        known_cpu = self._capacity_by_group.get(key, group.running_cpu)
        share = min(elapsed_s / _CAPACITY_SMOOTHING_S, 1)
        self._capacity_by_group[key] = known_cpu + share * (
            group.running_cpu - known_cpu
        )

    def _plan(
        self,
        state: ShardState,
        key: _GroupKey,
        group: _Group,
        demands: list[JobDemand],
        now: MonotonicTime,
    ) -> None:
        shares = self._shares_by_group[key]
        for demand in demands:
            if demand.job_id not in self._planned_ids:
                self._planned_ids.add(demand.job_id)
                shares.add_planned(demand.group)
        deferred = select_deferred(
            demands,
            capacity_cpu=self._capacity_by_group[key] * _PLANNED_SHARE,
            now=now,
            shares=shares,
        )
        for job in group.jobs:
            is_deferred = job.job.job_id in deferred
            if is_deferred != job.is_deferred:
                job.is_deferred = is_deferred
                state.decisions.record(
                    'job_deferred' if is_deferred else 'job_resumed',
                    now,
                    job=job.job.job_id,
                    queue=job.job.queue,
                    jobs=len(group.jobs),
                    deferred=len(deferred),
                    capacity_cpu=self._capacity_by_group[key],
                )

    def _is_overloaded(
        self, key: _GroupKey, group: _Group, demands: Iterable[JobDemand]
    ) -> bool:
        """Tell whether the waiting work is more than a brief shortage."""
        waiting_work = sum(
            demand.work - demand.running_work for demand in demands
        )
        objective_s = median(job.objective_s() for job in group.jobs)
        tolerated_s = _MIN_BACKLOG_SHARE * objective_s
        return waiting_work > self._peak_by_group[key] * tolerated_s

    def _select_lasting(
        self, refusals: dict[str, int], now: MonotonicTime
    ) -> dict[str, int]:
        """Select the queues whose backlog has been too long for a while."""
        self._overlong_since_by_queue = {
            queue: self._overlong_since_by_queue.get(queue, now)
            for queue in refusals
        }
        return {
            queue: retry_after_s
            for queue, retry_after_s in refusals.items()
            if now - self._overlong_since_by_queue[queue] >= _CLOSE_AFTER_S
        }

    def _decide_refusals(
        self,
        state: ShardState,
        key: _GroupKey,
        group: _Group,
        demands: Iterable[JobDemand],
    ) -> dict[str, int]:
        if not state.settings.is_admission_controlled:
            return {}
        return decide_refusals(
            group.jobs,
            Backlog(
                work=sum(demand.work for demand in demands),
                capacity_cpu=self._peak_by_group[key],
            ),
            state.retry_after_s_by_queue,
            state.settings,
        )


def _record_refusals(
    state: ShardState, refusals: dict[str, int], now: MonotonicTime
) -> None:
    for queue in refusals.keys() ^ state.retry_after_s_by_queue.keys():
        state.decisions.record(
            'queue_closed' if queue in refusals else 'queue_opened',
            now,
            queue=queue,
            retry_after_s=refusals.get(queue, 0),
        )
    state.retry_after_s_by_queue = refusals


def _collect_groups(
    state: ShardState, now: MonotonicTime
) -> dict[_GroupKey, _Group]:
    groups: defaultdict[_GroupKey, _Group] = defaultdict(_Group)
    placeable = PlaceableSteps(state=state)
    for job in state.job_by_id.values():
        if _is_plannable(job, placeable):
            groups[_get_group_key(job)].jobs.append(job)
        else:
            _reset_plan(job)
    for step in state.ready_step_by_key.values():
        job = state.job_by_id[step.job_id]
        group = groups.get(_get_group_key(job))
        if group is not None and _shows_saturation(step, now):
            group.is_saturated |= placeable.is_placeable(
                job.queue.pool, step.step
            )
    _add_running_cpu(groups, state, now)
    return dict(groups)


def _add_running_cpu(
    groups: Mapping[_GroupKey, _Group], state: ShardState, now: MonotonicTime
) -> None:
    for worker in state.worker_by_id.values():
        for task in worker.run_by_key.values():
            job = state.job_by_id[task.key.job_id]
            group = groups.get(_get_group_key(job))
            if group is not None and _is_working(task):
                group.running_cpu += _estimate_used_cpu(task, now)


def _get_group_key(job: JobRuntimeState) -> _GroupKey:
    return job.queue.pool, job.queue.priority


def _is_plannable(job: JobRuntimeState, placeable: PlaceableSteps) -> bool:
    # The objective of a repeating job counts from the due time of each
    # occurrence, and a gang starts as a whole.
    if job.is_closed() or job.job.repeat_count:
        return False
    return all(
        not (step.is_long_lived or step.is_gang)
        and placeable.is_placeable(job.queue.pool, step)
        for step in job.job.steps
    )


def _reset_plan(job: JobRuntimeState) -> None:
    job.is_deferred = False
    job.work_per_value = 0


def _shows_saturation(step: StepState, now: MonotonicTime) -> bool:
    is_waiting = 0 < step.unplaced_since < now - _SATURATED_AFTER_S
    return is_waiting and not step.step.is_long_lived


def _is_working(task: TaskState) -> bool:
    step = task.step
    is_started = task.stage in {RunStage.ORDERED, RunStage.RUNNING}
    return is_started and not (step.is_long_lived or step.is_gang)


def _estimate_used_cpu(task: TaskState, now: MonotonicTime) -> float:
    wanted_cpu = task.step.need.cpu
    if not task.step.is_filler:
        return wanted_cpu
    is_read = now - task.started_at > _MIN_READING_AGE_S
    if task.reading is not None and task.started_at and is_read:
        return min(task.reading, wanted_cpu)
    return wanted_cpu * task.pace / _FULL_PERCENT


def _build_demands(
    jobs: Iterable[JobRuntimeState], state: ShardState, now: MonotonicTime
) -> list[JobDemand]:
    works_by_queue: defaultdict[str, list[float]] = defaultdict(list)
    for known in state.job_by_id.values():
        works_by_queue[known.job.queue].append(estimate_work(known.job))
    for works in works_by_queue.values():
        works.sort()
    mean_by_queue = {
        queue: sum(works) / len(works)
        for queue, works in works_by_queue.items()
    }
    return [
        _build_demand(
            job,
            works_by_queue[job.job.queue],
            mean_by_queue[job.job.queue],
            now,
        )
        for job in jobs
    ]


def _build_demand(
    job: JobRuntimeState,
    works: Sequence[float],
    mean_work: float,
    now: MonotonicTime,
) -> JobDemand:
    open_steps = [
        step
        for occurrence in job.occurrence_by_number.values()
        for step in occurrence.steps
        if not step.is_done()
    ]
    left_and_running = [_estimate_step_work(job, step) for step in open_steps]
    work = sum(left for left, _ in left_and_running)
    declared_work = estimate_work(job.job)
    value = _estimate_value(declared_work, mean_work)
    job.remaining_share = work / max(_estimate_total_work(job), _MIN_WORK)
    job.work_per_value = work / value
    return JobDemand(
        job_id=job.job.job_id,
        group=(job.job.queue, classify_size(declared_work, works)),
        deadline=job.accepted_at_monotonic + job.objective_s(),
        path_s=max(
            (_estimate_path_s(job, step) for step in open_steps), default=0
        ),
        work=work,
        running_work=sum(running for _, running in left_and_running),
        value=value,
        is_deferred=job.is_deferred,
    )


def _estimate_value(work: float, mean_work: float) -> float:
    value = _BASE_VALUE + _WORK_VALUE * work / max(mean_work, _MIN_WORK)
    return min(value, _MAX_VALUE)


def _estimate_total_work(job: JobRuntimeState) -> float:
    return sum(
        step.count * step.need.cpu * job.expected_task_s(number)
        for number, step in enumerate(job.job.steps)
    )


def _estimate_path_s(job: JobRuntimeState, step: StepState) -> Seconds:
    path_s = job.critical_path_s(step.number)
    if step.waiting_indexes or not step.count_by_worker:
        return path_s
    least_percent = min(
        task.percent for task in step.tasks if task.phase == TaskPhase.BOUND
    )
    done_s = job.expected_task_s(step.number) * least_percent / _FULL_PERCENT
    return path_s - done_s


def _estimate_step_work(
    job: JobRuntimeState, step: StepState
) -> tuple[float, float]:
    """Estimate the remaining work of a step, and the part under way."""
    task_work = job.expected_task_s(step.number) * step.step.need.cpu
    running = sum(
        1 - task.percent / _FULL_PERCENT
        for task in step.tasks
        if task.phase == TaskPhase.BOUND
    )
    waiting = len(step.waiting_indexes)
    return (waiting + running) * task_work, running * task_work

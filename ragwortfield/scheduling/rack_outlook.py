"""Estimates when a rack will have capacity for tasks that wait for it.

The load that it answers: many tasks want the same rack at once. The estimate
follows the runs there to their expected ends and lets each waiting task take
the first place that is large enough, in the order in which the tasks are
dispatched. So each task counts those before it, and they do not all expect the
same place.

Each worker is handled by itself, and a place is never given out before one
that was given out earlier on the same worker. That keeps the effort
proportional to the number of runs in the rack; it may overestimate the wait of
a small task behind a large one.
"""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heapify, heapreplace
from math import inf

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    RunStage,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_selection import (
    compute_free_filler_cpu,
    count_fitting_tasks,
    has_free_resources,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import JobId, MonotonicTime, Seconds, WorkerId

#: Time from the end of a run until its place can be given to another task, in
#: seconds: the report of the worker and the next scheduling round.
HANDOVER_S: Seconds = 0.1
#: Progress from which on it tells the duration of a run, in percent; it is
#: reported in whole percent, so the error is below a tenth.
_MIN_PERCENT = 12
_FULL_PERCENT = 100
_FULL_PACE = 100
#: Tolerance for rounding errors in sums of CPU amounts, in cores.
_CPU_TOLERANCE_CORES = 1e-6

#: Job, number of the occurrence, number of the step.
_StepIdentity = tuple[JobId, int, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceRequest:
    """
    Waiting tasks of one step.

    :param count: number of tasks.
    :param hold_s: time for which each holds its place, in seconds; infinite
        for a gang, whose members need their places at the same time.
    :param is_free_room_counted: whether room that is free now counts. Not for
        tasks that were not placed there: the reason, such as interference, does
        not go with the end of a run.
    """

    step: StepState
    count: int
    hold_s: Seconds
    is_free_room_counted: bool = False

    def identity(self) -> _StepIdentity:
        """Return the identity of the step."""
        return self.step.job_id, self.step.occurrence, self.step.number


@dataclass(order=True, slots=True)
class _Release:
    """Resources that a run, or a place given out, gives back."""

    released_at: MonotonicTime
    need: Resources = field(compare=False)
    owner: _StepIdentity = field(compare=False)


@dataclass(kw_only=True, slots=True)
class _WorkerOutlook:
    """
    Free resources of a worker, now and later.

    :param given_until: time at which the latest place was given out; the free
        amounts are those from then on.
    :param releases: later releases, the earliest first.
    :param given_count_by_step: places given out to each step, less those that
        it has given back.
    """

    worker: WorkerState
    given_until: MonotonicTime
    cpu: float
    memory_mb: float
    accelerators: float
    releases: list[_Release]
    given_count_by_step: dict[_StepIdentity, int] = field(default_factory=dict)

    def copy(self) -> '_WorkerOutlook':
        """Return a copy that can be changed independently."""
        return _WorkerOutlook(
            worker=self.worker,
            given_until=self.given_until,
            cpu=self.cpu,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
            releases=self.releases.copy(),
            given_count_by_step=self.given_count_by_step.copy(),
        )

    def find_start(self, request: PlaceRequest) -> MonotonicTime:
        """Return when a task of a step could start; infinite if never."""
        need = request.step.step.need
        identity = request.identity()
        open_places = self._count_open_places(request, identity)
        cpu = self.cpu + _CPU_TOLERANCE_CORES - need.cpu
        memory_mb = self.memory_mb - need.memory_mb
        accelerators = self.accelerators - need.accelerators
        found_at = self.given_until
        for release in self.releases:
            if min(cpu, memory_mb, accelerators) >= 0 and open_places > 0:
                return found_at
            cpu += release.need.cpu
            memory_mb += release.need.memory_mb
            accelerators += release.need.accelerators
            open_places += release.owner == identity
            found_at = release.released_at
        if min(cpu, memory_mb, accelerators) >= 0 and open_places > 0:
            return found_at
        return inf

    def give(self, request: PlaceRequest, start: MonotonicTime) -> None:
        """Give a place to a task of a step at the time that was found."""
        need = request.step.step.need
        identity = request.identity()
        while self.releases and self.releases[0].released_at <= start:
            released = self.releases.pop(0)
            self._add(released.need, 1)
            self._count(released.owner, -1)
        self._add(need, -1)
        self.given_until = start
        self._count(identity, 1)
        if request.hold_s < inf:
            insort(
                self.releases,
                _Release(start + request.hold_s + HANDOVER_S, need, identity),
            )

    def _count_open_places(
        self, request: PlaceRequest, identity: _StepIdentity
    ) -> float:
        limit = request.step.step.per_worker_limit
        if not limit:
            return inf
        bound_count = request.step.count_by_worker.get(self.worker.worker_id, 0)
        return limit - bound_count - self.given_count_by_step.get(identity, 0)

    def _count(self, identity: _StepIdentity, change: int) -> None:
        count = self.given_count_by_step.get(identity, 0)
        self.given_count_by_step[identity] = count + change

    def _add(self, need: Resources, sign: int) -> None:
        self.cpu += sign * need.cpu
        self.memory_mb += sign * need.memory_mb
        self.accelerators += sign * need.accelerators


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceEstimate:
    """
    Expected waits of the tasks of a step.

    :param waits_s: waits in seconds, ascending, one for each task that gets a
        place in time.
    :param outlooks: workers of the rack after that.
    """

    waits_s: list[Seconds]
    outlooks: list[_WorkerOutlook]


class RackOutlook:
    """
    Capacity of a rack, now and later, for fillers or for other tasks.

    :param state: state of the shard.
    :param workers: workers of the rack that can get tasks.
    :param is_for_fillers: whether it is about the CPU that fillers use.
    :param now: monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        state: ShardState,
        workers: Iterable[WorkerState],
        is_for_fillers: bool,
        now: MonotonicTime,
    ) -> None:
        """Estimate the ends of the runs in the rack."""
        self._now = now
        self._outlook_by_worker: dict[WorkerId, _WorkerOutlook] = {
            worker.worker_id: _build_worker_outlook(
                state, worker, now, is_for_fillers=is_for_fillers
            )
            for worker in workers
        }

    def estimate(
        self,
        request: PlaceRequest,
        workers: Iterable[WorkerState],
        longest_s: Seconds,
    ) -> PlaceEstimate:
        """
        Estimate how long the tasks of a step would wait for the rack.

        :param request: the tasks.
        :param workers: workers that the step allows, as far as its limit per
            worker does not matter.
        :param longest_s: wait from which on a task does not count any more, in
            seconds.
        :returns: the waits, which nothing counts as taken yet.
        """
        outlooks = [
            outlook.copy()
            for outlook in self._select_candidates(request, workers)
        ]
        return PlaceEstimate(
            waits_s=_give_places(request, outlooks, self._now, longest_s),
            outlooks=outlooks,
        )

    def place(
        self,
        request: PlaceRequest,
        workers: Iterable[WorkerState],
        longest_s: Seconds,
    ) -> list[Seconds]:
        """
        Estimate the waits of the tasks of a step, and count them as taken.

        :param request: the tasks.
        :param workers: as in ``estimate``.
        :param longest_s: as in ``estimate``.
        :returns: the waits, as in ``estimate``.
        """
        outlooks = self._select_candidates(request, workers)
        return _give_places(request, outlooks, self._now, longest_s)

    def take(self, estimate: PlaceEstimate) -> None:
        """
        Count the places of an estimate as taken.

        :param estimate: the latest estimate.
        """
        for outlook in estimate.outlooks:
            self._outlook_by_worker[outlook.worker.worker_id] = outlook

    def _select_candidates(
        self, request: PlaceRequest, workers: Iterable[WorkerState]
    ) -> list[_WorkerOutlook]:
        step = request.step
        return [
            self._outlook_by_worker[worker.worker_id]
            for worker in workers
            if worker.worker_id in self._outlook_by_worker
            and (
                request.is_free_room_counted
                or not has_free_resources(worker, step)
                or not count_fitting_tasks(worker, step)
            )
        ]


def estimate_remaining_s(
    state: ShardState,
    worker: WorkerState,
    task: TaskState,
    now: MonotonicTime,
) -> Seconds:
    """
    Estimate how long the run of a task goes on.

    :param state: state of the shard.
    :param worker: worker of the run.
    :param task: a bound task.
    :param now: monotonic time, in seconds.
    :returns: seconds; infinite if it is not known to end.
    """
    if task.step.is_long_lived:
        return inf
    expected_s = estimate_duration_s(state, worker, task)
    if task.stage < RunStage.RUNNING or not task.started_at:
        return expected_s or inf
    # The start of a run that an earlier owner ordered is not known, and the
    # progress of a resumed one includes that of the runs before it.
    is_age_known = task.ordered_at > 0 and not (
        task.run > 1 and task.checkpoint
    )
    if not is_age_known:
        undone_share = max(_FULL_PERCENT - task.percent, 0) / _FULL_PERCENT
        remaining_s = expected_s * undone_share - (now - worker.reported_at)
        return max(remaining_s, 0) if expected_s else inf
    reported_age_s = max(worker.reported_at - task.started_at, 0)
    if task.percent >= _MIN_PERCENT:
        duration_s = reported_age_s * _FULL_PERCENT / task.percent
    elif expected_s:
        # Progress is cut to whole percent.
        least_s = reported_age_s * _FULL_PERCENT / (task.percent + 1)
        duration_s = max(expected_s, least_s)
    else:
        return inf
    return max(duration_s - (now - task.started_at), 0)


def estimate_duration_s(
    state: ShardState, worker: WorkerState, task: TaskState
) -> Seconds:
    """
    Estimate how long a run takes on its worker.

    :param state: state of the shard.
    :param worker: the worker.
    :param task: a task that runs there.
    :returns: seconds; longer on another rack than that of its data.
    """
    expected_s = state.job_by_id[task.key.job_id].expected_task_s(task.key.step)
    if worker.is_remote_from(task.step.data_rack):
        return expected_s * state.settings.remote_duration_factor
    return expected_s


def get_hold_s(job: JobRuntimeState, step: StepState) -> Seconds:
    """
    Return how long a task of a step would hold its place.

    :param job: job of the step.
    :param step: the step.
    :returns: seconds; infinite for long-lived tasks and members of gangs.
    """
    if step.step.is_gang or step.step.is_long_lived:
        return inf
    return job.expected_task_s(step.number)


def _build_worker_outlook(
    state: ShardState,
    worker: WorkerState,
    now: MonotonicTime,
    *,
    is_for_fillers: bool,
) -> _WorkerOutlook:
    releases = []
    for task in worker.run_by_key.values():
        if not _returns_capacity(task, is_for_fillers=is_for_fillers):
            continue
        remaining_s = estimate_remaining_s(state, worker, task, now)
        if remaining_s < inf:
            releases.append(
                _Release(
                    now + remaining_s + HANDOVER_S,
                    task.step.need,
                    (task.key.job_id, task.key.occurrence, task.key.step),
                )
            )
    releases.sort()
    free_cpu = worker.free_cpu()
    if is_for_fillers:
        free_cpu = compute_free_filler_cpu(worker)
    return _WorkerOutlook(
        worker=worker,
        given_until=now,
        cpu=free_cpu,
        memory_mb=worker.free_memory_mb(),
        accelerators=worker.free_accelerators(),
        releases=releases,
    )


def _returns_capacity(task: TaskState, *, is_for_fillers: bool) -> bool:
    """
    Tell whether the end of a run makes room for tasks of the same kind.

    The CPU of a paced filler goes to the other fillers beside it.
    """
    if task.step.is_filler != is_for_fillers or task.step.is_long_lived:
        return False
    return not is_for_fillers or task.pace >= _FULL_PACE


def _give_places(
    request: PlaceRequest,
    outlooks: list[_WorkerOutlook],
    now: MonotonicTime,
    longest_s: Seconds,
) -> list[Seconds]:
    starts = [
        (outlook.find_start(request), outlook.worker.worker_id, outlook)
        for outlook in outlooks
    ]
    heapify(starts)
    waits_s: list[Seconds] = []
    while starts and len(waits_s) < request.count:
        start, worker_id, outlook = starts[0]
        if start - now > longest_s:
            break
        waits_s.append(max(start - now, 0))
        outlook.give(request, start)
        heapreplace(starts, (outlook.find_start(request), worker_id, outlook))
    return waits_s

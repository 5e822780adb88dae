"""Keeps room for short tasks that long-lived tasks would not give back.

Short tasks return their room within seconds and need it again a moment later;
a long-lived task keeps what it gets. If every free core may go to a long-lived
task, the pool fills with them one by one, and the short tasks that need most
room on one worker are the first to find none.

The room kept follows the demand for short tasks, by square-root staffing: the
mean of the CPU that the latest jobs use at the same time, and a multiple of its
standard deviation. It is counted in places for a task of a certain size, for
all short tasks and for the larger ones among them, because free CPU in pieces
that are too small is of no use to them; long-lived tasks may take such pieces.
If short and long-lived tasks together want more than there is, and both more
than half, each gets half (max-min fairness).

This holds back the growth of long-lived jobs. The first task of each starts at
once unless long-lived tasks hold more than their fair share already, and a task
that has run before starts in any case.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, sqrt

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.job import Step
from ragwortfield.scheduling.job_state import StepState, TaskState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Time over which demand is averaged, in seconds; the room is released within
#: this time after the last short job.
_WINDOW_S: Seconds = 10
#: Standard deviations kept on top of the mean; a normal distribution exceeds
#: that 2 % of the time.
_DEVIATIONS = 2
#: Shares of the demanded CPU, in tasks of ascending size, above which room is
#: counted in places for the smallest of the remaining tasks.
_SIZE_QUANTILES = (0, 0.5, 0.9)
#: Tolerance for rounding errors when places are counted.
_PLACE_TOLERANCE = 1e-6
_NOTHING = Resources()


@dataclass(frozen=True, kw_only=True, slots=True)
class StepDemand:
    """
    Short step of an accepted job.

    :param accepted_at: monotonic time of its acceptance.
    :param pool: pool of workers that runs it.
    :param priority: priority of its queue.
    """

    accepted_at: MonotonicTime
    pool: str
    priority: int
    step: Step

    def cpu(self) -> float:
        """Return the CPU that its tasks use together, in cores."""
        return self.step.count * self.step.need.cpu


@dataclass(kw_only=True, slots=True)
class DemandHistory:
    """Short steps of the latest jobs, in the order of their registration."""

    demands: deque[StepDemand] = field(default_factory=deque)

    def add(
        self,
        steps: Iterable[Step],
        *,
        pool: str,
        priority: int,
        accepted_at: MonotonicTime,
    ) -> None:
        """
        Add the short steps of a job.

        :param steps: steps of the job.
        :param pool: pool of workers that runs it.
        :param priority: priority of its queue.
        :param accepted_at: monotonic time of its acceptance.
        """
        self._drop_older(accepted_at - _WINDOW_S)
        self.demands.extend(
            StepDemand(
                accepted_at=accepted_at, pool=pool, priority=priority, step=step
            )
            for step in steps
            if is_short(step)
        )

    def list_recent(
        self, pool: str, priority: int, now: MonotonicTime
    ) -> list[StepDemand]:
        """
        List the latest steps that are at least as urgent as a priority.

        :param pool: pool of workers.
        :param priority: priority; 0 is the highest.
        :param now: monotonic time, in seconds.
        :returns: steps of the jobs accepted within the averaging window.
        """
        oldest = now - _WINDOW_S
        self._drop_older(oldest)
        return [
            demand
            for demand in self.demands
            if demand.pool == pool
            and demand.priority <= priority
            and demand.accepted_at >= oldest
        ]

    def _drop_older(self, oldest: MonotonicTime) -> None:
        while self.demands and self.demands[0].accepted_at < oldest:
            self.demands.popleft()


@dataclass(kw_only=True, slots=True)
class _SizeLevel:
    """
    Room for the short tasks from a certain size on.

    :param need: room that counts as one place.
    :param spare_places: free places beyond those to be kept; negative if some
        are missing.
    """

    need: Resources
    spare_places: int

    def count_places(self, worker: WorkerState, taken: Resources) -> int:
        """Count the places on a worker after some resources are taken."""
        need = self.need
        places = (worker.free_cpu() - taken.cpu) / need.cpu
        if need.memory_mb:
            free_mb = worker.free_memory_mb() - taken.memory_mb
            places = min(places, free_mb / need.memory_mb)
        if need.accelerators:
            free = worker.free_accelerators() - taken.accelerators
            places = min(places, free / need.accelerators)
        return int(max(places + _PLACE_TOLERANCE, 0))

    def count_lost_places(self, worker: WorkerState, taken: Resources) -> int:
        """Count the places lost on a worker when some resources are taken."""
        return self.count_places(worker, _NOTHING) - self.count_places(
            worker, taken
        )


class Headroom:
    """
    Room kept for short tasks of a pool within one scheduling round.

    :param workers: workers of the pool that can get tasks.
    :param recent: short steps of the latest jobs.
    :param waiting: short steps that have found no worker for all tasks and
        can still be done within the time that their callers wait.
    :param waiting_cpu: CPU that long-lived tasks wait for, in cores.
    """

    def __init__(
        self,
        *,
        workers: list[WorkerState],
        recent: list[StepDemand],
        waiting: list[StepState],
        waiting_cpu: float,
    ) -> None:
        """Compare the free places with the demand."""
        self._workers = workers
        self._waiting = waiting
        self._running = _list_short_tasks(workers)
        self._capacity_cpu = sum(
            worker.listed.capacity.cpu for worker in workers
        )
        self._largest_cpu = max(
            (worker.listed.capacity.cpu for worker in workers), default=0
        )
        self._long_lived_cpu = self._sum_long_lived_cpu()
        self._fair_short_cpu = max(
            self._capacity_cpu / 2,
            self._capacity_cpu - self._long_lived_cpu - waiting_cpu,
        )
        fitting = sorted(
            (
                demand
                for demand in recent
                if demand.step.need.cpu <= self._largest_cpu
            ),
            key=lambda demand: demand.step.need.cpu,
        )
        self._levels = [
            self._measure_level(larger) for larger in _split_by_size(fitting)
        ]
        self._kept_cpu = self._estimate_kept_cpu(fitting, 0) if fitting else 0

    def is_first_start_allowed(self) -> bool:
        """
        Tell whether a long-lived job may start its first task.

        :returns: whether long-lived tasks hold less than their fair share.
        """
        return self._long_lived_cpu < self._capacity_cpu - self._kept_cpu

    def is_start_allowed(self, worker: WorkerState, need: Resources) -> bool:
        """
        Tell whether enough room remains if a long-lived task starts.

        :param worker: worker of the task.
        :param need: resources that the task takes.
        :returns: whether no place is lost, or enough places are left.
        """
        for level in self._levels:
            lost = level.count_lost_places(worker, need)
            if lost and lost > level.spare_places:
                return False
        return True

    def reserve(self, need: Resources) -> None:
        """
        Count a long-lived task that starts on any worker.

        :param need: resources that the task takes.
        """
        self._long_lived_cpu += need.cpu

    def take(self, worker: WorkerState, need: Resources) -> None:
        """
        Count the places that a task takes, before it is bound.

        :param worker: worker of the task.
        :param need: resources that the task takes.
        """
        self.reserve(need)
        for level in self._levels:
            level.spare_places -= level.count_lost_places(worker, need)

    def _sum_long_lived_cpu(self) -> float:
        allocated_cpu = sum(worker.allocated_cpu for worker in self._workers)
        return allocated_cpu - sum(task.step.need.cpu for task in self._running)

    def _sum_running_cpu(self, smallest_cpu: float) -> float:
        return sum(
            task.step.need.cpu
            for task in self._running
            if task.step.need.cpu >= smallest_cpu
        )

    def _estimate_kept_cpu(
        self, demands: list[StepDemand], smallest_cpu: float
    ) -> float:
        """Estimate the CPU kept for short tasks, whether they run or not."""
        waiting_cpu = sum(
            len(step.waiting_indexes) * step.step.need.cpu
            for step in self._waiting
            if smallest_cpu <= step.step.need.cpu <= self._largest_cpu
        )
        wanted_cpu = max(
            estimate_peak_cpu(demands),
            self._sum_running_cpu(smallest_cpu) + waiting_cpu,
        )
        return min(wanted_cpu, self._fair_short_cpu)

    def _measure_level(self, demands: list[StepDemand]) -> _SizeLevel:
        smallest_cpu = demands[0].step.need.cpu
        free_cpu = self._estimate_kept_cpu(
            demands, smallest_cpu
        ) - self._sum_running_cpu(smallest_cpu)
        level = _SizeLevel(
            need=_compute_typical_need(demands),
            spare_places=-max(ceil(free_cpu / smallest_cpu), 0),
        )
        level.spare_places += sum(
            level.count_places(worker, _NOTHING) for worker in self._workers
        )
        return level


def is_short(step: Step) -> bool:
    """
    Tell whether the tasks of a step reserve CPU and give it back.

    :param step: the step.
    """
    return bool(step.need.cpu) and not (step.is_long_lived or step.is_filler)


def is_first_start(step: StepState, task: TaskState) -> bool:
    """
    Tell whether a waiting long-lived task would start for the first time.

    :param step: step of the task.
    :param task: the task.
    :returns: whether it has not run before; ``False`` for gangs.
    """
    definition = step.step
    return definition.is_long_lived and not definition.is_gang and not task.run


def is_growth(step: StepState, task: TaskState) -> bool:
    """
    Tell whether a waiting task makes its long-lived step grow.

    :param step: step of the task.
    :param task: the task.
    :returns: whether it has not run before and others of its step are bound.
    """
    return is_first_start(step, task) and bool(step.count_by_worker)


def estimate_peak_cpu(demands: Iterable[StepDemand]) -> float:
    """
    Estimate the CPU that steps like the latest ones use at the same time.

    Steps that start at random times and use their CPU for their estimated
    duration are shot noise (Campbell's theorem): the mean is the sum of CPU
    times duration per time, the variance that of the squared CPU times
    duration.

    :param demands: steps of the jobs accepted within the averaging window.
    :returns: mean and a multiple of the standard deviation, in cores.
    """
    mean: float = 0
    variance: float = 0
    for demand in demands:
        cpu = demand.cpu()
        busy_share = demand.step.estimate_s / _WINDOW_S
        mean += cpu * busy_share
        variance += cpu**2 * busy_share
    return mean + _DEVIATIONS * sqrt(variance)


def _list_short_tasks(workers: Iterable[WorkerState]) -> list[TaskState]:
    return [
        task
        for worker in workers
        for task in worker.run_by_key.values()
        if is_short(task.step)
    ]


def _split_by_size(demands: list[StepDemand]) -> list[list[StepDemand]]:
    """
    Split off the larger tasks at the quantiles of the demanded CPU.

    :param demands: steps, smallest tasks first.
    :returns: for each quantile, the steps from it on; none is empty.
    """
    total_cpu = sum(demand.cpu() for demand in demands)
    larger_by_quantile = []
    for quantile in _SIZE_QUANTILES:
        passed_cpu: float = 0
        for number, demand in enumerate(demands):
            passed_cpu += demand.cpu()
            if passed_cpu > quantile * total_cpu:
                larger_by_quantile.append(demands[number:])
                break
    return larger_by_quantile


def _compute_typical_need(demands: list[StepDemand]) -> Resources:
    """Return the smallest task's CPU and the mean of what goes with it."""
    total_cpu = sum(demand.cpu() for demand in demands)
    cpu = demands[0].step.need.cpu
    memory_mb = sum(
        demand.step.count * demand.step.need.memory_mb for demand in demands
    )
    accelerators = sum(
        demand.step.count * demand.step.need.accelerators for demand in demands
    )
    return Resources(
        cpu=cpu,
        memory_mb=memory_mb * cpu / total_cpu,
        accelerators=accelerators * cpu / total_cpu,
    )

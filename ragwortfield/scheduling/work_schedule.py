"""Adds jobs to a schedule by deadline as long as all of them are in time.

The load that it answers: a burst leaves hundreds of deferred jobs, and each
plan asks of each of them whether it fits. With the work of all jobs added up
anew for each, a plan of 1,600 jobs took 0.22 s, which is more than the interval
of the plans.
"""

from bisect import bisect_right
from dataclasses import dataclass, field
from math import inf

from ragwortfield.types import MonotonicTime


@dataclass(kw_only=True, slots=True)
class WorkSchedule:
    """
    Jobs by deadline, with the work that still fits before each deadline.

    :param capacity_cpu: CPU that the jobs get together, in cores.
    :param now: monotonic time, in seconds.
    """

    capacity_cpu: float
    now: MonotonicTime
    _deadlines: list[MonotonicTime] = field(default_factory=list)
    _spare_works: list[float] = field(default_factory=list)

    def add_if_it_fits(
        self, deadline: MonotonicTime, work: float, *, taken_work: float
    ) -> bool:
        """
        Add a job if it and all others are in time then.

        :param deadline: monotonic time of its deadline.
        :param work: its work, in core-seconds.
        :param taken_work: work that comes before all jobs, in core-seconds.
        :returns: whether it was added.
        """
        position = bisect_right(self._deadlines, deadline)
        spare_work = self._compute_spare_work(position, deadline) - work
        least_before = min(self._spare_works[:position], default=inf)
        least_after = min(self._spare_works[position:], default=inf) - work
        if min(spare_work, least_before, least_after) < taken_work:
            return False
        self.add(deadline, work)
        return True

    def add(self, deadline: MonotonicTime, work: float) -> None:
        """
        Add a job whether it fits or not.

        :param deadline: monotonic time of its deadline.
        :param work: its work, in core-seconds.
        """
        position = bisect_right(self._deadlines, deadline)
        spare_work = self._compute_spare_work(position, deadline) - work
        self._deadlines.insert(position, deadline)
        self._spare_works = [
            *self._spare_works[:position],
            spare_work,
            *(spare - work for spare in self._spare_works[position:]),
        ]

    def _compute_spare_work(
        self, position: int, deadline: MonotonicTime
    ) -> float:
        """Compute the work that fits between earlier jobs and a deadline."""
        if not position:
            return self.capacity_cpu * (deadline - self.now)
        waited_s = deadline - self._deadlines[position - 1]
        return self._spare_works[position - 1] + self.capacity_cpu * waited_s

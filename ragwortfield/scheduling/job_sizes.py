"""Size classes of jobs, by the work that their callers estimate.

Large jobs need more room at a time than small ones, so they are the first that
a full pool fails. Counts by size class show that; a mean hides it.
"""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from ragwortfield.scheduling.job import Job

#: Tenths of a queue's jobs in all, and in the two classes of large jobs.
_TENTHS = 10
_LARGE_TENTHS = 3
#: Number of recent jobs with which a new one is compared.
_RECENT_JOBS = 512


class SizeClass(StrEnum):
    """Size of a job relative to the other jobs of its queue."""

    LARGEST_TENTH = 'largest_tenth'
    NEXT_FIFTH = 'next_fifth'
    REST = 'rest'


def estimate_work(job: Job) -> float:
    """
    Estimate the work of one occurrence of a job.

    :param job: the job.
    :returns: core-seconds; for steps without an estimate, as long-lived ones,
        the reserved cores.
    """
    return sum(
        step.count * step.need.cpu * (step.estimate_s or 1)
        for step in job.steps
    )


def classify_size(work: float, sorted_works: Sequence[float]) -> SizeClass:
    """
    Classify a job by its rank among the jobs of its queue.

    :param work: estimated work of the job, in core-seconds.
    :param sorted_works: work of the jobs to compare with, in ascending order.
    :returns: its class.
    """
    count = len(sorted_works)
    at_least_as_large = count - bisect_left(sorted_works, work)
    if at_least_as_large * _TENTHS <= count:
        return SizeClass.LARGEST_TENTH
    if at_least_as_large * _TENTHS <= _LARGE_TENTHS * count:
        return SizeClass.NEXT_FIFTH
    return SizeClass.REST


@dataclass(kw_only=True, slots=True)
class RecentSizes:
    """Work of the latest jobs of each queue, in core-seconds."""

    works_by_queue: dict[str, deque[float]] = field(default_factory=dict)
    sorted_works_by_queue: dict[str, list[float]] = field(default_factory=dict)

    def add(self, job: Job) -> SizeClass:
        """
        Add a job and classify it among the recent ones of its queue.

        :param job: the job.
        :returns: its class.
        """
        work = estimate_work(job)
        works = self.works_by_queue.setdefault(job.queue, deque())
        sorted_works = self.sorted_works_by_queue.setdefault(job.queue, [])
        if len(works) == _RECENT_JOBS:
            del sorted_works[bisect_left(sorted_works, works.popleft())]
        works.append(work)
        insort(sorted_works, work)
        return classify_size(work, sorted_works)

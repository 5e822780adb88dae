"""Counts how the jobs of a shard fared, by queue and size, for log and metrics.

The counts cover the jobs that the owner knows: all accepted ones until their
retention period ends. Jobs that finished under a former owner count as done
without a time.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import chain

from ragwortfield.log import event
from ragwortfield.scheduling.disruption_budget import is_serving
from ragwortfield.scheduling.job_sizes import (
    SizeClass,
    classify_size,
    estimate_work,
)
from ragwortfield.scheduling.job_state import JobRuntimeState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime

#: Maximum number of queues described, those with most jobs first.
_MAX_QUEUES = 16


class JobOutcome(StrEnum):
    """
    How a job fared so far.

    ``IN_TIME``, ``LATE``: done within its latency objective, or later;
    ``DONE``: done, at a time that is not known or not limited; ``OPEN``,
    ``OVERDUE``: not done, within its objective or past it; ``WHOLE``,
    ``PARTIAL``, ``IDLE``: long-lived, with all, some or none of its tasks at
    work.
    """

    IN_TIME = 'in_time'
    LATE = 'late'
    DONE = 'done'
    OPEN = 'open'
    OVERDUE = 'overdue'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    WHOLE = 'whole'
    PARTIAL = 'partial'
    IDLE = 'idle'


#: Outcomes of jobs that still want something from the scheduler.
_UNMET_OUTCOMES = frozenset(
    (
        JobOutcome.OPEN,
        JobOutcome.OVERDUE,
        JobOutcome.PARTIAL,
        JobOutcome.IDLE,
    )
)


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeCounts:
    """
    Outcomes of the jobs of one queue and size class.

    :param priority: priority of the queue.
    :param count_by_outcome: number of jobs.
    :param wait_s_by_cause: time for which the jobs that are not done have
        waited or run, in seconds, summed over the jobs.
    """

    queue: str
    size: SizeClass
    priority: int
    count_by_outcome: Counter[JobOutcome] = field(default_factory=Counter)
    wait_s_by_cause: Counter[str] = field(default_factory=Counter)

    def accepted(self) -> int:
        """Return the number of accepted jobs."""
        return sum(self.count_by_outcome.values())

    def add(self, job: JobRuntimeState, now: MonotonicTime) -> None:
        """
        Add a job.

        :param job: the job.
        :param now: monotonic time, in seconds.
        """
        outcome = find_outcome(job, now)
        self.count_by_outcome[outcome] += 1
        if outcome in _UNMET_OUTCOMES:
            self.wait_s_by_cause.update(job.wait_s_by_cause)

    def sum_waits(self) -> Counter[str]:
        """
        Sum up the waits by cause, whatever the rank of the step.

        :returns: seconds by cause.
        """
        total_by_cause: Counter[str] = Counter()
        for name, wait_s in self.wait_s_by_cause.items():
            total_by_cause[name.partition('/')[0]] += wait_s
        return total_by_cause

    def format_waits(self) -> str:
        """
        Format the waits for the log, the longest first.

        :returns: cause and seconds, joined by colons.
        """
        return ','.join(
            f'{cause}:{wait_s:.1f}'
            for cause, wait_s in self.wait_s_by_cause.most_common()
        )


def count_outcomes(
    state: ShardState, now: MonotonicTime
) -> list[OutcomeCounts]:
    """
    Count the outcomes of the jobs that the owner knows.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :returns: counts by queue and size class, largest jobs first; the queues
        with most jobs if there are many.
    """
    jobs_by_queue: dict[str, list[JobRuntimeState]] = {}
    for job in state.job_by_id.values():
        jobs_by_queue.setdefault(job.job.queue, []).append(job)
    largest_queues = sorted(
        jobs_by_queue, key=lambda queue: -len(jobs_by_queue[queue])
    )
    return [
        counts
        for queue in largest_queues[:_MAX_QUEUES]
        for counts in _count_queue(queue, jobs_by_queue[queue], now)
    ]


def log_outcomes(state: ShardState, shard: int, now: MonotonicTime) -> None:
    """
    Log the outcomes of the jobs that the owner knows.

    :param state: state of the shard.
    :param shard: number of the shard.
    :param now: monotonic time, in seconds.
    """
    for counts in count_outcomes(state, now):
        event(
            'job_outcomes',
            shard=shard,
            queue=counts.queue,
            priority=counts.priority,
            size=counts.size,
            accepted=counts.accepted(),
            **counts.count_by_outcome,
            waits=counts.format_waits(),
        )


def find_outcome(job: JobRuntimeState, now: MonotonicTime) -> JobOutcome:
    """
    Find how a job fared so far.

    :param job: the job.
    :param now: monotonic time, in seconds.
    :returns: its outcome.
    """
    if job.is_cancelled and not job.is_durably_done:
        return JobOutcome.CANCELLED
    if job.is_failed:
        return JobOutcome.FAILED
    if any(step.is_long_lived for step in job.job.steps):
        return _find_long_lived_outcome(job)
    if job.finished_at and (job.is_finish_restored or job.job.repeat_count):
        return JobOutcome.DONE
    end = job.finished_at or now
    is_in_objective = end - job.accepted_at_monotonic <= job.objective_s()
    if job.finished_at:
        return JobOutcome.IN_TIME if is_in_objective else JobOutcome.LATE
    return (
        JobOutcome.OPEN
        if is_in_objective or job.job.repeat_count
        else JobOutcome.OVERDUE
    )


def _find_long_lived_outcome(job: JobRuntimeState) -> JobOutcome:
    steps = chain.from_iterable(
        occurrence.steps for occurrence in job.occurrence_by_number.values()
    )
    at_work = [is_serving(task) for step in steps for task in step.tasks]
    if not any(at_work):
        return JobOutcome.IDLE
    return JobOutcome.WHOLE if all(at_work) else JobOutcome.PARTIAL


def _count_queue(
    queue: str, jobs: Iterable[JobRuntimeState], now: MonotonicTime
) -> list[OutcomeCounts]:
    job_by_work = [(estimate_work(job.job), job) for job in jobs]
    sorted_works = sorted(work for work, _ in job_by_work)
    counts_by_size = {
        size: OutcomeCounts(
            queue=queue, size=size, priority=job_by_work[0][1].queue.priority
        )
        for size in SizeClass
    }
    for work, job in job_by_work:
        counts_by_size[classify_size(work, sorted_works)].add(job, now)
    return list(counts_by_size.values())

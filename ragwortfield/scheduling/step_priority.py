"""Ranks the steps that wait for workers.

More tasks wait than fit. The priority of the queue decides first, so that an
urgent job is never behind a less urgent one. Within a priority the order is:

- short jobs far beyond their latency objective, which a stream of others would
  keep waiting;
- steps that can still meet their objective, least slack first (under overload:
  least work for their value), unless the plan for overload has deferred their
  job;
- long-lived tasks, which earn for each second that they run;
- steps that still earn if they finish late, oldest first (under overload:
  smallest remaining share of the job's work), and those of deferred jobs;
- all others;
- long-lived steps that only grow.

Under overload, a late job that is nearly done counts as one in time: its last
tasks cost little, and most of its work would otherwise have been in vain. A
continuous stream of urgent jobs must not starve long-lived tasks, so a
long-lived step that has waited too long comes before all others of its
priority, unless it only grows.
"""

from ragwortfield.scheduling.headroom import is_growth
from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
    StepState,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, Seconds

#: Time for which a long-lived task waits before it counts as starved, in
#: seconds: the users require it to run again within six seconds.
_STARVATION_S: Seconds = 2.5
#: Value of a late job as a share of that of one in time. The last tasks of a
#: late job, up to this share of its work, are worth as much as a job in time.
_LATE_VALUE = 1 / 7
#: Age from which on a short job comes before those that can be in time, as a
#: multiple of its latency objective: jobs that were put off for others must not
#: wait for as long as a stream of these goes on.
_OVERDUE_FACTOR = 20
#: Ranks within a priority; a lower one comes first.
_STARVED = 0
_OVERDUE = 1
_ON_TIME = 2
_LONG_LIVED = 3
_LATE = 4
_MISSED = 5
_GROWING = 6
_NAME_BY_RANK = {
    _STARVED: 'starved',
    _OVERDUE: 'overdue',
    _ON_TIME: 'on_time',
    _LONG_LIVED: 'long_lived',
    _LATE: 'late',
    _MISSED: 'missed',
    _GROWING: 'growing',
}

#: Priority of the queue, rank within it, and order within the rank: slack or
#: negative age in seconds, or remaining work.
UrgencyKey = tuple[int, int, float]


def sort_by_urgency(state: ShardState, now: MonotonicTime) -> list[StepState]:
    """
    Sort the steps that may start.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :returns: steps with waiting tasks, most urgent first.
    """
    return sorted(
        state.ready_step_by_key.values(),
        key=lambda step: compute_urgency(
            state.job_by_id[step.job_id],
            step,
            now,
        ),
    )


def compute_urgency(
    job: JobRuntimeState, step: StepState, now: MonotonicTime
) -> UrgencyKey:
    """
    Compute the sort key of a step.

    :param job: job of the step.
    :param step: the step.
    :param now: monotonic time, in seconds.
    :returns: sort key; a smaller one is more urgent.
    """
    age_s = now - job.accepted_at_monotonic
    if step.step.is_long_lived:
        return job.queue.priority, _rank_long_lived(step, now), -age_s
    objective_s = job.objective_s()
    critical_path_s = job.critical_path_s(step.number)
    if age_s + critical_path_s <= objective_s and not job.is_deferred:
        slack_s = objective_s - age_s - critical_path_s
        return job.queue.priority, _ON_TIME, job.work_per_value or slack_s
    if age_s + critical_path_s <= MAX_LATENESS_FACTOR * objective_s:
        if not job.work_per_value:
            return job.queue.priority, _LATE, -age_s
        if job.remaining_share <= _LATE_VALUE:
            return job.queue.priority, _ON_TIME, 0
        return job.queue.priority, _LATE, job.remaining_share
    if age_s > _OVERDUE_FACTOR * objective_s:
        return job.queue.priority, _OVERDUE, -age_s
    return job.queue.priority, _MISSED, -age_s


def can_still_earn(
    job: JobRuntimeState, step: StepState, now: MonotonicTime
) -> bool:
    """
    Tell whether a short step can end while its caller still waits.

    :param job: job of the step.
    :param step: the step.
    :param now: monotonic time, in seconds.
    """
    return compute_urgency(job, step, now)[1] in {_ON_TIME, _LATE}


def is_worth_finishing(
    job: JobRuntimeState, step: StepState, now: MonotonicTime
) -> bool:
    """
    Tell whether a task of a step is among those that are to end soonest.

    :param job: job of the step.
    :param step: the step.
    :param now: monotonic time, in seconds.
    :returns: whether the job can be in time and is not deferred, or is late and
        nearly done.
    """
    return compute_urgency(job, step, now)[1] == _ON_TIME


def describe_rank(
    job: JobRuntimeState, step: StepState, now: MonotonicTime
) -> str:
    """
    Name the rank of a step within its priority, for the log.

    :param job: job of the step.
    :param step: the step.
    :param now: monotonic time, in seconds.
    :returns: name of the rank.
    """
    return _NAME_BY_RANK[compute_urgency(job, step, now)[1]]


def _rank_long_lived(step: StepState, now: MonotonicTime) -> int:
    if all(
        is_growth(step, step.tasks[index]) for index in step.waiting_indexes
    ):
        return _GROWING
    since = step.unplaced_since
    is_starved = since > 0 and now - since > _STARVATION_S
    return _STARVED if is_starved else _LONG_LIVED

"""Which waiting step comes next.

Pattern: more work waits than fits. Priority comes first, so that an urgent
job is never behind a less urgent one. Within a priority the jobs that can
still meet their objective come first, by the time that they have left; then
tasks that last, which earn by each second that they are at work; then those
that can still earn as late ones; then the rest, oldest first. A stream of
urgent jobs must not keep a lasting task out for good, so one that has waited
for a while comes before all others.
"""

from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
    StepState,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, Seconds

#: Time for which a task that lasts waits before it comes first, in seconds:
#: the users ask for it to run again within six.
_LONGEST_WAIT_S: Seconds = 2.5
#: Order within a priority.
_STARVED = 0
_ON_TIME = 1
_LASTING = 2
_LATE = 3
_MISSED = 4

UrgencyKey = tuple[int, int, float]


def sort_by_urgency(state: ShardState, now: MonotonicTime) -> list[StepState]:
    """
    Order the steps that may start.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    :returns: steps with waiting tasks, most urgent first.
    """
    return sorted(
        state.ready_step_by_key.values(),
        key=lambda step: compute_urgency(
            state.job_by_id[step.job_id], step, now
        ),
    )


def compute_urgency(
    job: JobRuntimeState, step: StepState, now: MonotonicTime
) -> UrgencyKey:
    """
    Rank a step.

    :param job: its job.
    :param step: the step.
    :param now: reading of the monotonic clock.
    :returns: sort key; smaller comes first.
    """
    age_s = now - job.accepted_at_monotonic
    if step.step.is_long_lived:
        return job.queue.priority, _rank_of_lasting(step, now), -age_s
    objective_s = job.objective_s()
    left_s = job.critical_path_s(step.number)
    if age_s + left_s <= objective_s:
        slack_s = objective_s - age_s - left_s
        return job.queue.priority, _ON_TIME, slack_s
    if age_s + left_s <= MAX_LATENESS_FACTOR * objective_s:
        return job.queue.priority, _LATE, -age_s
    return job.queue.priority, _MISSED, -age_s


def _rank_of_lasting(step: StepState, now: MonotonicTime) -> int:
    since = step.unplaced_since
    is_starved = since > 0 and now - since > _LONGEST_WAIT_S
    return _STARVED if is_starved else _LASTING

"""Cancellations of jobs that do not exist, and when they expire.

The submission of such a job may still be under way, and the row of the
cancellation keeps it from being stored. Submissions are not under way for
minutes, so the row is removed after a while.
"""

from itertools import islice

from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import JobId, MonotonicTime

#: Most such cancellations that a shard keeps; beyond it, the oldest ones expire
#: early. A new owner reads 500 rows per call.
MAX_UNMATCHED_CANCELLATIONS = 10_000


def list_expired_cancellations(
    state: ShardState, now: MonotonicTime, limit: int
) -> tuple[JobId, ...]:
    """
    List the cancellations whose rows are to be removed.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :param limit: largest number of jobs to list.
    :returns: the cancelled jobs, oldest cancellations first.
    """
    since_by_id = state.unmatched_since_by_id
    excess = len(since_by_id) - MAX_UNMATCHED_CANCELLATIONS
    expired_before = now - state.bounds.retention_s()
    return tuple(
        job_id
        for position, (job_id, since) in enumerate(
            islice(since_by_id.items(), limit)
        )
        if position < excess or since < expired_before
    )


def forget_cancellation(state: ShardState, job_id: JobId) -> None:
    """
    Drop a cancellation whose row was removed.

    :param state: state of the shard.
    :param job_id: the cancelled job.
    """
    if state.unmatched_since_by_id.pop(job_id, None) is not None:
        state.cancelled_job_ids.discard(job_id)

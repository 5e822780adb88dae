"""Log of statuses that callers got without an answer of the shard's owner."""

import time

from ragwortfield.engine.cluster_view import KnownOwner
from ragwortfield.log import event
from ragwortfield.types import JobId, MonotonicTime, Seconds

#: Most lines per interval, so that callers who keep asking while a shard has no
#: owner do not fill the log.
_MAX_LINES_PER_INTERVAL = 20
#: Length of that interval, in seconds.
_INTERVAL_S: Seconds = 1


class UnownedStatusLog:
    """Logs and counts statuses that the owner of a shard did not answer."""

    def __init__(self) -> None:
        """Create without any counts."""
        self.count = 0
        self._interval_started_at: MonotonicTime = 0
        self._line_count = 0
        self._unlogged_count = 0

    def record(
        self,
        job_id: JobId,
        shard: int,
        owner: KnownOwner | None,
        *,
        reason: str,
        source: str,
        answer: str,
    ) -> None:
        """
        Record a status that did not come from the owner.

        :param job_id: the job.
        :param shard: number of its shard.
        :param owner: owner of the shard as this instance knows it.
        :param reason: why the owner gave no answer.
        :param source: what was asked last in its place.
        :param answer: what the caller is told.
        """
        self.count += 1
        now = time.monotonic()
        if now - self._interval_started_at >= _INTERVAL_S:
            self._interval_started_at = now
            self._line_count = 0
        if self._line_count >= _MAX_LINES_PER_INTERVAL:
            self._unlogged_count += 1
            return
        self._line_count += 1
        event(
            'status_unowned',
            job=job_id,
            shard=shard,
            owner='' if owner is None else owner.record.instance_id,
            epoch=0 if owner is None else owner.record.epoch,
            known_s=-1 if owner is None else now - owner.seen_at,
            reason=reason,
            source=source,
            answer=answer,
            unlogged_before=self._unlogged_count,
        )
        self._unlogged_count = 0

"""Log of statuses that callers got without an answer of the shard's owner."""

import time

from ragwortfield.engine.cluster_view import KnownOwner
from ragwortfield.scheduling.decision_log import DecisionLog
from ragwortfield.types import JobId


class UnownedStatusLog:
    """Logs and counts statuses that the owner of a shard did not answer."""

    def __init__(self) -> None:
        """Create without any counts."""
        self.count = 0
        # Callers who keep asking while a shard has no owner would otherwise
        # fill the log.
        self._lines = DecisionLog()

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
        self._lines.record(
            'status_unowned',
            now,
            job=job_id,
            shard=shard,
            owner='' if owner is None else owner.record.instance_id,
            epoch=0 if owner is None else owner.record.epoch,
            known_s=-1 if owner is None else now - owner.seen_at,
            reason=reason,
            source=source,
            answer=answer,
        )

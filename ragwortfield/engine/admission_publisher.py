"""Publication of the queues that take no new jobs, for all instances."""

import time

import gevent

from ragwortfield.engine.row_names import admission_row, owner_row
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowStore,
    RowWrite,
    Transaction,
    TransactionDone,
)
from ragwortfield.scheduling.records import AdmissionRecord, encode_record
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, Seconds

#: Interval at which the owner looks for a change, in seconds.
_CHECK_INTERVAL_S: Seconds = 0.25
#: Interval at which refusals that go on are written again, in seconds; they
#: expire at the instances after ``AdmissionRecord.valid_s``.
_RENEWAL_INTERVAL_S: Seconds = 1.5


class AdmissionPublisher:
    """
    Writes the closed queues of one shard to the store.

    It writes once at the beginning, and from then on while there are any.

    :param shard: number of the shard.
    :param state: state of the shard.
    :param store: the platform's store.
    :param owner_version: version of the owner row; writes expect it, so that
        a replaced owner closes no queue.
    """

    def __init__(
        self,
        *,
        shard: int,
        state: ShardState,
        store: RowStore,
        owner_version: int,
    ) -> None:
        """Create without a call to the store."""
        self._shard = shard
        self._state = state
        self._store = store
        self._owner_version = owner_version
        # What an earlier owner has written is not known. Its row, if any, would
        # close queues at each instance that reads it for the first time.
        self._written: dict[str, int] | None = None
        self._written_at: MonotonicTime = 0

    def run(self) -> None:
        """Publish endlessly."""
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            self.publish_if_due(time.monotonic())

    def publish_if_due(self, now: MonotonicTime) -> None:
        """
        Write the closed queues if they have changed or their row expires.

        :param now: monotonic time, in seconds.
        """
        closed = dict(self._state.retry_after_s_by_queue)
        is_changed = (
            self._written is None or closed.keys() != self._written.keys()
        )
        is_expiring = now - self._written_at > _RENEWAL_INTERVAL_S
        if not is_changed and not (closed and is_expiring):
            return
        outcome = self._store.commit(
            Transaction(
                expected=(
                    ExpectedVersion(
                        name=owner_row(self._shard),
                        version=self._owner_version,
                    ),
                ),
                writes=(
                    RowWrite(
                        name=admission_row(self._shard),
                        content=encode_record(
                            AdmissionRecord(retry_after_s_by_queue=closed)
                        ),
                    ),
                ),
            ),
            COMMIT_TIMEOUT_S,
        )
        if isinstance(outcome, TransactionDone):
            self._written = closed
            self._written_at = now

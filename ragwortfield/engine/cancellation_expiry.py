"""Removal of the rows of cancellations whose jobs were never stored."""

import time

from ragwortfield.engine.row_names import cancel_row, job_row, owner_row
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowStore,
    RowWrite,
    Transaction,
    TransactionRefused,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.unmatched_cancellations import (
    forget_cancellation,
    list_expired_cancellations,
)
from ragwortfield.types import JobId

#: Most cancellations that one transaction removes. The store takes 100 entries,
#: and each removal takes two besides the one of the owner row.
_MAX_PER_TRANSACTION = 49


class CancellationExpiry:
    """
    Removes cancellations of jobs that do not exist after a retention period.

    :param shard: number of the shard.
    :param state: state of the shard.
    :param store: the platform's store.
    :param owner_version: version of the owner row that this owner wrote; a
        replaced owner removes nothing.
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

    def remove_expired(self) -> None:
        """Remove the rows that are due; what fails is due again."""
        while job_ids := self._list_due():
            if not self._remove(job_ids):
                return

    def _list_due(self) -> tuple[JobId, ...]:
        return list_expired_cancellations(
            self._state, time.monotonic(), _MAX_PER_TRANSACTION
        )

    def _remove(self, job_ids: tuple[JobId, ...]) -> bool:
        outcome = self._store.commit(
            self._build_transaction(job_ids), COMMIT_TIMEOUT_S
        )
        if isinstance(outcome, Unavailable):
            event(
                'cancellations_kept',
                shard=self._shard,
                count=len(job_ids),
                reason=outcome.reason,
            )
            return False
        if isinstance(outcome, TransactionRefused):
            return self._keep_stored_jobs(job_ids, outcome)
        for job_id in job_ids:
            forget_cancellation(self._state, job_id)
        event('cancellations_expired', shard=self._shard, count=len(job_ids))
        return True

    def _keep_stored_jobs(
        self, job_ids: tuple[JobId, ...], refused: TransactionRefused
    ) -> bool:
        # The row of a stored job can be unreadable, or not have been read yet.
        # Its cancellation is removed together with it.
        stored = [
            job_id
            for job_id in job_ids
            if refused.is_present(job_row(self._shard, job_id))
        ]
        for job_id in stored:
            self._state.unmatched_since_by_id.pop(job_id, None)
        return bool(stored)

    def _build_transaction(self, job_ids: tuple[JobId, ...]) -> Transaction:
        return Transaction(
            expected=(
                ExpectedVersion(
                    name=owner_row(self._shard), version=self._owner_version
                ),
                *(
                    ExpectedVersion(
                        name=job_row(self._shard, job_id), version=0
                    )
                    for job_id in job_ids
                ),
            ),
            writes=tuple(
                RowWrite(name=cancel_row(self._shard, job_id), content=None)
                for job_id in job_ids
            ),
        )

"""Commits of a shard owner, each of which is applied exactly once."""

from collections.abc import Iterator
from enum import Enum

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_names import (
    cancel_row,
    job_row,
    owner_row,
    progress_row,
    sequence_row,
)
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowName,
    RowStore,
    RowWrite,
    Transaction,
    TransactionDone,
    TransactionRefused,
)
from ragwortfield.scheduling.commits import CommitBatch
from ragwortfield.scheduling.records import (
    SequenceRecord,
    decode_record,
    encode_record,
)
from ragwortfield.types import Seconds

#: Time-out of one call to commit, in seconds; a store that is 60 times slower
#: than usual still answers within it.
COMMIT_TIMEOUT_S: Seconds = 1.2


class CommitResult(Enum):
    """Result of one attempt to commit a batch."""

    DONE = 'done'
    RETRY = 'again'
    FENCED = 'deposed'


class ShardCommitter:
    """
    Commits the batches of one owner of a shard.

    Each commit expects the owner row and the sequence row in the versions that
    this owner wrote. So an owner that was replaced writes nothing, and a
    commit whose answer was lost is found in the sequence row and not repeated.

    :param shard: number of the shard.
    :param store: the platform's store.
    :param owner_version: version of the owner row that this owner wrote.
    :param sequence_version: version of the sequence row that this owner wrote.
    """

    def __init__(
        self,
        *,
        shard: int,
        store: RowStore,
        owner_version: int,
        sequence_version: int,
    ) -> None:
        """Create right after the takeover, before the first commit."""
        self.owner_version = owner_version
        self.number = 0
        self.last_failure: Unavailable | None = None
        self._shard = shard
        self._store = store
        self._sequence_version = sequence_version

    def try_commit(self, batch: CommitBatch) -> CommitResult:
        """
        Try to commit a batch.

        :param batch: the batch; the same one until it is committed.
        :returns: whether it is committed, has to be retried, or never will be
            committed, because this owner was replaced.
        """
        outcome = self._store.commit(
            self._build_transaction(batch),
            COMMIT_TIMEOUT_S,
        )
        self.last_failure = (
            outcome if isinstance(outcome, Unavailable) else None
        )
        if isinstance(outcome, Unavailable):
            return CommitResult.RETRY
        if isinstance(outcome, TransactionRefused):
            return self._resolve_refusal(batch, outcome)
        return self._record_commit(batch, outcome)

    def _record_commit(
        self, batch: CommitBatch, outcome: TransactionDone
    ) -> CommitResult:
        self._sequence_version = outcome.version
        self.number = batch.sequence.number
        return CommitResult.DONE

    def _resolve_refusal(
        self, batch: CommitBatch, refused: TransactionRefused
    ) -> CommitResult:
        row_by_name = {row.name: row for row in refused.rows}
        owner = row_by_name.get(owner_row(self._shard))
        last = row_by_name.get(sequence_row(self._shard))
        if owner is None or owner.version != self.owner_version:
            return CommitResult.FENCED
        if last is None:
            return CommitResult.FENCED
        record = decode_record(last.content or b'', SequenceRecord)
        if isinstance(record, Malformed):
            event('row_unreadable', key=last.name.key, reason=record.reason)
            return CommitResult.FENCED
        self._sequence_version = last.version
        if record != batch.sequence:
            return CommitResult.RETRY
        self.number = batch.sequence.number
        return CommitResult.DONE

    def _build_transaction(self, batch: CommitBatch) -> Transaction:
        sequence = sequence_row(self._shard)
        writes = [
            RowWrite(name=sequence, content=encode_record(batch.sequence)),
        ]
        writes.extend(
            RowWrite(
                name=progress_row(self._shard, job_id, number),
                content=content,
            )
            for (job_id, number), content in batch.record_by_key.items()
        )
        writes.extend(
            RowWrite(name=name, content=None)
            for name in self._list_removed_rows(batch)
        )
        return Transaction(
            expected=(
                ExpectedVersion(
                    name=owner_row(self._shard),
                    version=self.owner_version,
                ),
                ExpectedVersion(name=sequence, version=self._sequence_version),
            ),
            writes=tuple(writes),
        )

    def _list_removed_rows(self, batch: CommitBatch) -> Iterator[RowName]:
        for job in batch.removed:
            yield job_row(self._shard, job.job.job_id)
            if job.is_cancelled:
                yield cancel_row(self._shard, job.job.job_id)
        for job_id, number in batch.removed_occurrences:
            yield progress_row(self._shard, job_id, number)

"""Persistence of what the owner of a shard has learned."""

from dataclasses import replace

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_names import interference_row, owner_row
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowStore,
    RowWrite,
    Transaction,
    TransactionDone,
)
from ragwortfield.scheduling.duration_model import DurationModel
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.records import (
    InterferenceRecord,
    decode_record,
    encode_record,
)
from ragwortfield.types import Seconds

#: Interval between saves, in seconds; what an owner learned since the last one
#: is lost when it fails.
_SAVE_INTERVAL_S: Seconds = 4


class LearnedModelStore:
    """
    Stores interference weights and durations learned in one shard.

    :param shard: number of the shard.
    :param store: the platform's store.
    :param owner_version: version of the owner row; writes expect it, so that
        a replaced owner writes nothing.
    """

    def __init__(
        self,
        *,
        shard: int,
        store: RowStore,
        owner_version: int,
    ) -> None:
        """Create without a call to the store."""
        self._shard = shard
        self._store = store
        self._owner_version = owner_version
        self._saved_content = b''

    def restore(
        self, model: InterferenceModel, durations: DurationModel
    ) -> None:
        """
        Load what earlier owners have learned, if the store can be read now.

        :param model: the model of interference to fill.
        :param durations: the model of durations to fill.
        """
        name = interference_row(self._shard)
        page = self._store.read(name.table, name.partition)
        if isinstance(page, Unavailable):
            event('learned_unread', shard=self._shard, reason=page.reason)
            return
        for row in page.rows:
            record = decode_record(row.content or b'', InterferenceRecord)
            if isinstance(record, Malformed):
                event(
                    'row_unreadable',
                    key=row.name.key,
                    reason=record.reason,
                )
                continue
            model.restore(record)
            durations.restore(record.durations)
            event(
                'learned_restored',
                shard=self._shard,
                pairs=len(record.weights),
                queues=len(record.durations),
                version=row.version,
            )

    def save_periodically(
        self, model: InterferenceModel, durations: DurationModel
    ) -> None:
        """
        Save the models endlessly whenever they have changed.

        :param model: the model of interference.
        :param durations: the model of durations.
        """
        while True:
            gevent.sleep(_SAVE_INTERVAL_S)
            record = replace(model.record(), durations=durations.record())
            content = encode_record(record)
            is_learned = bool(record.weights or record.durations)
            if is_learned and content != self._saved_content:
                self._write(content)

    def _write(self, content: bytes) -> None:
        owner = owner_row(self._shard)
        outcome = self._store.commit(
            Transaction(
                expected=(
                    ExpectedVersion(name=owner, version=self._owner_version),
                ),
                writes=(
                    RowWrite(
                        name=interference_row(self._shard), content=content
                    ),
                ),
            ),
            COMMIT_TIMEOUT_S,
        )
        if isinstance(outcome, TransactionDone):
            self._saved_content = content
            return
        event(
            'learned_not_kept',
            shard=self._shard,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, 'reason', 'the owner row has changed'),
        )

"""Persistence of the learned interference model of a shard."""

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
    Stores the interference weights of pairs of images of one shard.

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

    def restore(self, model: InterferenceModel) -> None:
        """
        Load what earlier owners have learned, if the store can be read now.

        :param model: the model to fill.
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
            event(
                'learned_restored',
                shard=self._shard,
                pairs=len(record.weights),
                version=row.version,
            )

    def save_periodically(self, model: InterferenceModel) -> None:
        """
        Save the model endlessly whenever it has changed.

        :param model: the model.
        """
        while True:
            gevent.sleep(_SAVE_INTERVAL_S)
            content = encode_record(model.record())
            if content != self._saved_content and model.weight_by_pair:
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

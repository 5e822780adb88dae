"""Record of the workers that confirm the owner of a shard in an outage."""

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_names import electorate_row, owner_row
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionDone,
    TransactionRefused,
)
from ragwortfield.scheduling.former_owner import (
    UNREADABLE_ELECTORATE,
    load_former_electorate,
)
from ragwortfield.scheduling.ownership_confirmation import Electorate
from ragwortfield.scheduling.records import (
    ElectorateRecord,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime


class ElectorateStore:
    """
    Stores the electorate of one owner, and reads that of the owner before it.

    Until earlier owners can no longer act, their record stays: later owners
    have to fence those workers too.

    :param shard: number of the shard.
    :param store: the platform's store.
    :param owner_version: version of the owner row; writes expect it, so that
        the record of a replaced owner never changes.
    """

    def __init__(
        self,
        *,
        shard: int,
        store: RowStore,
        owner_version: int,
    ) -> None:
        """Create; ``load`` reads the record."""
        self._shard = shard
        self._store = store
        self._owner_version = owner_version
        self._row_version = 0
        # Set while it is not known whether the last write took effect.
        self._uncertain: Electorate | None = None

    def load(self, state: ShardState) -> Unavailable | None:
        """
        Read the record of an earlier owner.

        :param state: state of the shard, before its workers are polled.
        :returns: why it could not be read; ``None`` when it was.
        """
        name = electorate_row(self._shard)
        page = self._store.read(name.table, name.partition)
        if isinstance(page, Unavailable):
            return page
        for row in page.rows:
            if row.name == name:
                self._row_version = row.version
                record = _decode(row)
                load_former_electorate(state, record or UNREADABLE_ELECTORATE)
        return None

    def save_if_changed(
        self, state: ShardState, now: MonotonicTime
    ) -> TransactionDone | TransactionRefused | Unavailable | None:
        """
        Store the workers that have reported, if they have changed.

        :param state: state of the shard; the electorate in force is changed.
        :param now: monotonic time, in seconds.
        :returns: outcome of the call to the store; ``None`` if none was due.
        """
        if now <= state.former_authority_end():
            return None
        electorate = self._uncertain or _list_reported_workers(state)
        stored = state.confirmation.electorates
        if not electorate or stored == (electorate,):
            return None
        before = stored[0] if stored else {}
        was_uncertain = self._uncertain is not None
        # The write may take effect although its answer is lost, or the code
        # fails on it.
        self._uncertain = electorate
        state.confirmation.electorates = (before, electorate)
        outcome = self._write(state.epoch, electorate)
        is_without_effect = (
            isinstance(outcome, Unavailable) and not outcome.is_effect_possible
        )
        if is_without_effect and not was_uncertain:
            self._uncertain = None
            state.confirmation.electorates = (before,)
        else:
            self._apply_outcome(state, electorate, outcome)
        return outcome

    def _apply_outcome(
        self,
        state: ShardState,
        electorate: Electorate,
        outcome: TransactionDone | TransactionRefused | Unavailable,
    ) -> None:
        confirmation = state.confirmation
        if isinstance(outcome, TransactionDone):
            self._row_version = outcome.version
            confirmation.electorates = (electorate,)
            self._uncertain = None
            event(
                'electorate_stored',
                shard=self._shard,
                epoch=state.epoch,
                workers=len(electorate),
            )
        elif isinstance(outcome, TransactionRefused):
            self._apply_refusal(state, outcome)

    def _apply_refusal(
        self, state: ShardState, refused: TransactionRefused
    ) -> None:
        """Use the row that an earlier write without an answer has left."""
        name = electorate_row(self._shard)
        for row in refused.rows:
            if row.name != name or row.content is None:
                continue
            record = _decode(row)
            if record is not None and record.epoch == state.epoch:
                self._row_version = row.version
                self._uncertain = None
                state.confirmation.electorates = (record.born_ms_by_worker,)

    def _write(
        self, epoch: int, electorate: Electorate
    ) -> TransactionDone | TransactionRefused | Unavailable:
        name = electorate_row(self._shard)
        record = ElectorateRecord(
            epoch=epoch, born_ms_by_worker=dict(electorate)
        )
        return self._store.commit(
            Transaction(
                expected=(
                    ExpectedVersion(
                        name=owner_row(self._shard),
                        version=self._owner_version,
                    ),
                    ExpectedVersion(name=name, version=self._row_version),
                ),
                writes=(RowWrite(name=name, content=encode_record(record)),),
            ),
            COMMIT_TIMEOUT_S,
        )


def _list_reported_workers(state: ShardState) -> Electorate:
    return {
        worker.worker_id: worker.born_ms
        for worker in state.worker_by_id.values()
        if worker.is_listed and worker.first_reported_at and worker.born_ms
    }


def _decode(row: StoredRow) -> ElectorateRecord | None:
    record = decode_record(row.content or b'', ElectorateRecord)
    if isinstance(record, Malformed):
        event('row_unreadable', key=row.name.key, reason=record.reason)
        return None
    return record

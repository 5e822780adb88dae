"""Confirmation of an owner by the store, as long as it owns a shard."""

import time
from collections.abc import Callable

import gevent

from ragwortfield.engine.change_feed import OutcomeHandler
from ragwortfield.engine.electorate_store import ElectorateStore
from ragwortfield.engine.row_names import owner_row
from ragwortfield.engine.wall_clock import get_total_suspended_s
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowStore, TransactionDone
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, Seconds

#: Interval of the checks, and age from which on a confirmation by the store is
#: renewed, in seconds. The commits of a busy owner renew it as well.
_CHECK_INTERVAL_S: Seconds = 0.5
#: Pause before a failed read is repeated, in seconds.
_RETRY_S: Seconds = 0.1
#: Interval between writes of the electorate, in seconds.
_SAVE_INTERVAL_S: Seconds = 1


def count_suspension(state: ShardState) -> None:
    """
    Count the time for which the machine was suspended, if it was.

    :param state: state of a shard; its confirmation is dated back.
    """
    state.confirmation.record_suspension(
        get_total_suspended_s(), time.monotonic()
    )


class OwnershipKeeper:
    """
    Confirms the ownership of a shard, and logs when it is in doubt.

    :param shard: number of the shard.
    :param state: state of the shard.
    :param store: the platform's store.
    :param owner_version: version of the owner row that this owner wrote.
    :param on_replaced: called when the row was written by another owner.
    """

    def __init__(
        self,
        *,
        shard: int,
        state: ShardState,
        store: RowStore,
        owner_version: int,
        on_replaced: Callable[[], None],
    ) -> None:
        """Create without a call to the store."""
        self._shard = shard
        self._state = state
        self._store = store
        self._owner_version = owner_version
        self._on_replaced = on_replaced
        self._electorate_store = ElectorateStore(
            shard=shard, store=store, owner_version=owner_version
        )
        self._is_replaced = False
        self._is_in_doubt = False
        self._saved_at: MonotonicTime = 0

    def load(self, on_outcome: OutcomeHandler) -> None:
        """
        Read which workers may confirm an earlier owner, until it succeeds.

        :param on_outcome: called after each read.
        """
        while True:
            failure = self._electorate_store.load(self._state)
            on_outcome(failure)
            if failure is None:
                return
            gevent.sleep(_RETRY_S)

    def run(self) -> None:
        """Confirm the ownership until another owner is found."""
        while not self._is_replaced:
            gevent.sleep(_CHECK_INTERVAL_S)
            self.check_age()
            self._save_electorate()

    def check_age(self) -> None:
        """Read the owner row if the latest confirmation by the store is old."""
        confirmation = self._state.confirmation
        if time.monotonic() - confirmation.stored_at > _CHECK_INTERVAL_S:
            self.read_owner_row()
        self._log_doubt()

    def read_owner_row(self) -> bool | Unavailable:
        """
        Read the owner row, which decides who owns the shard.

        :returns: whether it still names this owner, or why it is not known.
        """
        name = owner_row(self._shard)
        sent_at = time.monotonic()
        page = self._store.read(name.table, name.partition)
        if isinstance(page, Unavailable):
            return page
        versions = [row.version for row in page.rows if row.name == name]
        if versions == [self._owner_version]:
            count_suspension(self._state)
            self._state.confirmation.record_store_call(sent_at)
            return True
        self._is_replaced = True
        self._on_replaced()
        return False

    def _save_electorate(self) -> None:
        now = time.monotonic()
        if now - self._saved_at < _SAVE_INTERVAL_S:
            return
        self._saved_at = now
        outcome = self._electorate_store.save_if_changed(self._state, now)
        if isinstance(outcome, TransactionDone):
            count_suspension(self._state)
            self._state.confirmation.record_store_call(now)

    def _log_doubt(self) -> None:
        state = self._state
        now = time.monotonic()
        is_in_doubt = not state.confirmation.is_valid(state.bounds, now)
        if is_in_doubt == self._is_in_doubt:
            return
        self._is_in_doubt = is_in_doubt
        event(
            'ownership_in_doubt' if is_in_doubt else 'ownership_confirmed',
            shard=self._shard,
            epoch=state.epoch,
            stored_age_s=now - state.confirmation.stored_at,
            valid_s=state.confirmation.valid_until(state.bounds) - now,
            electorate=max(map(len, state.confirmation.electorates), default=0),
            workers=len(state.worker_by_id),
        )

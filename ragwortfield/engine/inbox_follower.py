"""Delivery of accepted jobs and cancellations to the owner of a shard."""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ragwortfield.engine.change_feed import ChangeFeed, OutcomeHandler
from ragwortfield.engine.row_names import inbox_table, partition_of_shard
from ragwortfield.engine.shard_loading import apply_inbox_rows
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.log import event
from ragwortfield.ports.row_store import RowStore, StoredRow
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import Seconds

#: Pause before a failed call is retried, in seconds.
_RETRY_S: Seconds = 0.1


class InboxFollower:
    """
    Follows the inbox of a shard and records up to when its rows are known.

    :param shard: number of the shard.
    :param state: state of the shard.
    :param store: the platform's store.
    :param wall_clock: source of wall time.
    :param on_update: called when the state has changed.
    :param on_outcome: called with the outcome of each call to the store.
    """

    def __init__(
        self,
        *,
        shard: int,
        state: ShardState,
        store: RowStore,
        wall_clock: WallClock,
        on_update: Callable[[], None],
        on_outcome: OutcomeHandler,
    ) -> None:
        """Create without a call to the store."""
        self._shard = shard
        self._state = state
        self._wall_clock = wall_clock
        self._on_update = on_update
        self._catch_up_due = Event()
        self._feed = ChangeFeed(
            store=store,
            table=inbox_table(shard),
            list_partitions=lambda: (partition_of_shard(shard),),
            on_rows=self._apply_rows,
            on_outcome=on_outcome,
            on_progress=self._record_progress,
        )

    def follow(self, version: int) -> None:
        """
        Follow the inbox endlessly.

        :param version: version up to which its rows are known.
        """
        self._feed.run(version)

    def request_catch_up(self) -> None:
        """Let ``catch_up_when_due`` ask for the rows that held starts need."""
        event(
            'starts_held',
            shard=self._shard,
            count=len(self._state.held_starts),
            inbox_age_s=time.monotonic() - self._state.inbox_known_until,
        )
        self._catch_up_due.set()

    def catch_up_when_due(self) -> None:
        """Ask the store again and again while starts are held back."""
        while True:
            self._catch_up_due.wait()
            self._catch_up_due.clear()
            while not self._state.is_inbox_current(time.monotonic()):
                if not self._feed.catch_up():
                    gevent.sleep(_RETRY_S)

    def _apply_rows(
        self, rows: tuple[StoredRow, ...], _is_complete: bool
    ) -> None:
        apply_inbox_rows(
            self._state,
            rows,
            now=time.monotonic(),
            wall_time=self._wall_clock.now(),
        )
        self._on_update()

    def _record_progress(self, age_s: Seconds) -> None:
        self._state.inbox_known_until = max(
            self._state.inbox_known_until, time.monotonic() - age_s
        )
        if self._state.held_starts:
            self._on_update()

"""Change feed of a table of the store, without gaps."""

from collections.abc import Callable

import gevent

from ragwortfield.engine.wall_clock import get_boot_time
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    HistoryGone,
    RowPage,
    RowStore,
    StoredRow,
)
from ragwortfield.types import Seconds

#: Longest time that the store waits for a change before it answers a poll, in
#: seconds. It also bounds, with a margin, how late a dead connection is found.
_LONG_POLL_S: Seconds = 1
#: Pause before a failed call is retried, in seconds.
_RETRY_S: Seconds = 0.2

#: Called with changed rows; the flag tells whether they are all rows of the
#: table.
RowHandler = Callable[[tuple[StoredRow, ...], bool], None]
#: Called after each call with its failure, or with ``None`` on success.
OutcomeHandler = Callable[[Unavailable | None], None]
#: Called with the time for which changes may not have been delivered, in
#: seconds; the time for which the machine was suspended counts.
ProgressHandler = Callable[[Seconds], None]


def read_all_rows(
    store: RowStore,
    table: str,
    partition: str,
    *,
    first_key: str = '',
) -> RowPage | Unavailable:
    """
    Read all rows of a partition of a table, page by page.

    Rows that change in the meantime are delivered by a feed that starts at the
    version of the first page.

    :param store: the store.
    :param table: name of the table.
    :param partition: name of the partition.
    :param first_key: key to begin with.
    :returns: the rows with the version of the first page.
    """
    rows: list[StoredRow] = []
    version = 0
    while True:
        page = store.read(table, partition, first_key=first_key)
        if isinstance(page, Unavailable):
            return page
        version = version or page.version
        rows.extend(page.rows)
        if not page.has_more or not page.rows:
            return RowPage(rows=tuple(rows), version=version)
        # The smallest key after the last one in byte order.
        first_key = f'{page.rows[-1].name.key}\0'


class ChangeFeed:
    """
    Loop that delivers the changes of one table.

    :param store: the store.
    :param table: name of the table.
    :param list_partitions: returns the partitions to read when the table has
        to be read as a whole.
    :param on_rows: called with the changed rows.
    :param on_outcome: called with the outcome of each call to the store.
    :param on_progress: called after each delivery; ``None`` if nobody needs to
        know how recent the rows are.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        table: str,
        list_partitions: Callable[[], tuple[str, ...]],
        on_rows: RowHandler,
        on_outcome: OutcomeHandler,
        on_progress: ProgressHandler | None = None,
    ) -> None:
        """Create; ``run`` starts the feed."""
        self._on_outcome = on_outcome
        self._on_progress = on_progress
        self._store = store
        self._table = table
        self._list_partitions = list_partitions
        self._on_rows = on_rows
        self._is_reachable = True
        self._version = 0
        self._table_read_count = 0

    def run(self, version: int = 0) -> None:
        """
        Follow the table endlessly.

        :param version: version up to which the rows are known; 0 if the table
            has to be read first.
        """
        self._version = version
        while True:
            if not self._version:
                self._version = self._read_table()
            elif not self._poll(_LONG_POLL_S) and self._version:
                gevent.sleep(_RETRY_S)

    def catch_up(self) -> bool:
        """
        Deliver what has changed up to now, beside the loop.

        The call of the loop may wait for a change, or for an answer that is
        lost. Rows may be delivered again by the loop.

        :returns: whether the store has answered.
        """
        return self._version > 0 and self._poll(0)

    def _poll(self, wait_s: Seconds) -> bool:
        after = self._version
        table_read_count = self._table_read_count
        called_at = get_boot_time()
        page = self._store.wait_for_changes(self._table, after, wait_s)
        if self._table_read_count != table_read_count:
            # The rows of the table that were read since the call are newer.
            return True
        if isinstance(page, HistoryGone):
            event('feed_history_gone', table=self._table, after=after)
            self._version = 0
            return False
        if isinstance(page, Unavailable):
            self._report_outcome(page)
            return False
        self._report_outcome(None)
        self._version = max(page.version, self._version)
        if page.rows:
            self._on_rows(page.rows, False)
            self._report_progress(called_at)
        else:
            # Without a change, the store answers after the wait.
            self._report_progress(called_at + wait_s)
        return True

    def _read_table(self) -> int:
        self._table_read_count += 1
        called_at = get_boot_time()
        rows: list[StoredRow] = []
        version = 0
        for partition in self._list_partitions():
            page = read_all_rows(self._store, self._table, partition)
            if isinstance(page, Unavailable):
                self._report_outcome(page)
                gevent.sleep(_RETRY_S)
                return 0
            rows.extend(page.rows)
            version = min(version or page.version, page.version)
        self._report_outcome(None)
        self._on_rows(tuple(rows), True)
        self._report_progress(called_at)
        return version

    def _report_progress(self, known_until: Seconds) -> None:
        if self._on_progress is not None:
            self._on_progress(max(get_boot_time() - known_until, 0))

    def _report_outcome(self, failure: Unavailable | None) -> None:
        self._on_outcome(failure)
        is_reachable = failure is None
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if failure is None:
            event('feed_regained', table=self._table)
        else:
            event('feed_lost', table=self._table, reason=failure.reason)

"""Following a table of the store without gaps."""

from collections.abc import Callable

import gevent

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    HistoryGone,
    RowPage,
    RowStore,
    StoredRow,
)
from ragwortfield.types import Seconds

#: How long the store may wait for a change before it answers, in seconds.
#: A connection that went silent is noticed within this and a margin.
_WAIT_S: Seconds = 1
#: Pause after a failed call, in seconds.
_RETRY_S: Seconds = 0.2

#: Takes changed rows in; the flag tells that they are all the rows.
RowHandler = Callable[[tuple[StoredRow, ...], bool], None]
#: Told of each call's outcome: the failure, or ``None``.
OutcomeHandler = Callable[[Unavailable | None], None]


def read_all_rows(
    store: RowStore,
    table: str,
    partition: str,
    *,
    first_key: str = '',
) -> RowPage | Unavailable:
    """
    Read every row of a part, page by page.

    Rows that change meanwhile are told by the feed from the first page's
    version on.

    :param store: the store.
    :param table: the table.
    :param partition: its part.
    :param first_key: key to begin with.
    :returns: the rows, with the version of the first page.
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
        # The next key in byte order.
        first_key = f'{page.rows[-1].name.key}\0'


class ChangeFeed:
    """
    Loop that follows one table.

    :param store: the store.
    :param table: the table.
    :param parts: gives the parts to read when the history is gone.
    :param on_rows: takes the rows in.
    :param on_outcome: told of the outcome of each call.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        table: str,
        parts: Callable[[], tuple[str, ...]],
        on_rows: RowHandler,
        on_outcome: OutcomeHandler,
    ) -> None:
        """Create; ``run`` follows."""
        self._on_outcome = on_outcome
        self._store = store
        self._table = table
        self._parts = parts
        self._handler = on_rows
        self._is_reachable = True

    def run(self, version: int = 0) -> None:
        """
        Follow the table for ever.

        :param version: version up to which the rows are known; 0 when the
            table has to be read first.
        """
        while True:
            if not version:
                version = self._read()
                continue
            page = self._store.wait_for_changes(self._table, version, _WAIT_S)
            if isinstance(page, HistoryGone):
                event('feed_history_gone', table=self._table, after=version)
                version = 0
            elif isinstance(page, Unavailable):
                self._note(page)
                gevent.sleep(_RETRY_S)
            else:
                self._note(None)
                version = max(page.version, version)
                if page.rows:
                    self._handler(page.rows, False)

    def _read(self) -> int:
        rows: list[StoredRow] = []
        version = 0
        for partition in self._parts():
            page = read_all_rows(self._store, self._table, partition)
            if isinstance(page, Unavailable):
                self._note(page)
                gevent.sleep(_RETRY_S)
                return 0
            rows.extend(page.rows)
            version = min(version or page.version, page.version)
        self._note(None)
        self._handler(tuple(rows), True)
        return version

    def _note(self, failure: Unavailable | None) -> None:
        self._on_outcome(failure)
        is_reachable = failure is None
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if failure is None:
            event('feed_regained', table=self._table)
        else:
            event('feed_lost', table=self._table, reason=failure.reason)

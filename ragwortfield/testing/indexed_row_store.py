"""In-memory fake of the platform's row store for many rows and readers."""

from bisect import bisect_left, bisect_right, insort
from collections import defaultdict
from dataclasses import dataclass, field

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    HistoryGone,
    RowName,
    RowPage,
    StoredRow,
    Transaction,
    TransactionDone,
    TransactionRefused,
)
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.types import Seconds

#: Maximum number of rows in one page of a read, as on the platform.
_PAGE_ROWS = 500


@dataclass(kw_only=True, slots=True)
class IndexedRowStore(FakeRowStore):
    """
    Fake row store whose calls take time by the rows that they return.

    :param keys_by_place: sorted keys of the rows of each table and partition.
    :param changes_by_table: version and name of each change, in their order.
    """

    keys_by_place: dict[tuple[str, str], list[str]] = field(
        default_factory=lambda: defaultdict(list),
    )
    changes_by_table: dict[str, list[tuple[int, RowName]]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def read(
        self,
        table: str,
        partition: str,
        *,
        first_key: str = '',
        end_key: str = '',
    ) -> RowPage | Unavailable:
        """
        Read one page of the rows of a partition, in the order of their keys.

        :param table: table of the rows.
        :param partition: partition of the table.
        :param first_key: first key, inclusive; empty for no lower bound.
        :param end_key: last key, exclusive; empty for no upper bound.
        :returns: the page.
        """
        keys = self.keys_by_place[table, partition]
        first = bisect_left(keys, first_key)
        end = bisect_left(keys, end_key) if end_key else len(keys)
        rows = tuple(
            self.row_by_name[RowName(table=table, partition=partition, key=key)]
            for key in keys[first : min(end, first + _PAGE_ROWS)]
        )
        return RowPage(
            rows=rows, version=self.version, has_more=end - first > _PAGE_ROWS
        )

    def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: Seconds,
    ) -> RowPage | HistoryGone | Unavailable:
        """
        Return the rows of a table that changed after a version, without a wait.

        :param table: table of the rows.
        :param after: version up to which the caller knows the changes.
        :param wait_s: not used.
        :returns: the changed rows in the order of their versions.
        """
        if after < self.history_start_version:
            return HistoryGone()
        changes = self.changes_by_table[table]
        first = bisect_right(changes, after, key=lambda change: change[0])
        names = {name for _, name in changes[first:]}
        rows = sorted(
            (self.row_by_name[name] for name in names),
            key=lambda row: row.version,
        )
        return RowPage(rows=tuple(rows), version=self.version)

    def _apply(
        self,
        transaction: Transaction,
    ) -> TransactionDone | TransactionRefused:
        outcome = FakeRowStore._apply(self, transaction)
        if isinstance(outcome, TransactionDone):
            for write in transaction.writes:
                self._index(self.row_by_name[write.name])
        return outcome

    def _index(self, row: StoredRow) -> None:
        name = row.name
        self.changes_by_table[name.table].append((row.version, name))
        keys = self.keys_by_place[name.table, name.partition]
        position = bisect_left(keys, name.key)
        is_present = position < len(keys) and keys[position] == name.key
        if row.content is None and is_present:
            keys.pop(position)
        elif row.content is not None and not is_present:
            insort(keys, name.key)

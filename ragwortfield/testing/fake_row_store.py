"""In-memory fake of the platform's row store."""

from collections.abc import Callable
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
from ragwortfield.types import Seconds

#: Maximum number of rows in one page of a read, as on the platform.
_PAGE_ROWS = 500


@dataclass(kw_only=True, slots=True)
class FakeRowStore:
    """
    Fake row store with conditional transactions, changes and faults.

    :param version: version of the last commit.
    :param is_down: whether every call fails without taking effect.
    :param is_answer_lost: called at each commit that is not delayed; true
        loses its response.
    :param is_commit_delayed: called at each commit; true delays the commit
        until ``apply_delayed`` and gives no response.
    :param history_start_version: oldest version from which changes can be
        followed; earlier ones get ``HistoryGone``.
    :param delayed_transactions: transactions that are delayed.
    :param commits: number of calls of ``commit``.
    """

    row_by_name: dict[RowName, StoredRow] = field(default_factory=dict)
    version: int = 0
    is_down: bool = False
    is_answer_lost: Callable[[], bool] = field(default=bool)
    is_commit_delayed: Callable[[], bool] = field(default=bool)
    history_start_version: int = 0
    delayed_transactions: list[Transaction] = field(default_factory=list)
    commits: int = 0

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
        :returns: the page, or why there is none.
        """
        if self.is_down:
            return Unavailable(reason='the store is down')
        rows = [
            row
            for name, row in self.row_by_name.items()
            if (name.table, name.partition) == (table, partition)
            and row.content is not None
            and name.key >= first_key
            and (not end_key or name.key < end_key)
        ]
        rows.sort(key=lambda row: row.name.key)
        return RowPage(
            rows=tuple(rows[:_PAGE_ROWS]),
            version=self.version,
            has_more=len(rows) > _PAGE_ROWS,
        )

    def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: Seconds,
    ) -> RowPage | HistoryGone | Unavailable:
        """
        Return the rows of a table that changed after a version.

        The fake returns immediately, also when no row has changed.

        :param table: table of the rows.
        :param after: version up to which the caller knows the changes.
        :param wait_s: longest wait for a change, in seconds; only named in
            the reason of a failure.
        :returns: the changed rows in the order of their versions.
        """
        if self.is_down:
            return Unavailable(
                reason=f'the store is down, asked to wait {wait_s} s'
            )
        if after < self.history_start_version:
            return HistoryGone()
        rows = [
            row
            for name, row in self.row_by_name.items()
            if name.table == table and row.version > after
        ]
        rows.sort(key=lambda row: row.version)
        return RowPage(rows=tuple(rows), version=self.version)

    def commit(
        self,
        transaction: Transaction,
        timeout_s: Seconds,
    ) -> TransactionDone | TransactionRefused | Unavailable:
        """
        Apply all writes or none of them.

        :param transaction: expected row versions and writes.
        :param timeout_s: longest wait, in seconds; only named in the reason
            of a failure.
        :returns: outcome as the caller sees it.
        """
        self.commits += 1
        if self.is_down:
            return Unavailable(reason='the store is down')
        if self.is_commit_delayed():
            self.delayed_transactions.append(transaction)
            return _make_unknown_outcome(timeout_s)
        outcome = self._apply(transaction)
        if self.is_answer_lost():
            return _make_unknown_outcome(timeout_s)
        return outcome

    def apply_delayed(self) -> None:
        """Apply the delayed commits whose expected versions still hold."""
        delayed_transactions = self.delayed_transactions
        self.delayed_transactions = []
        for transaction in delayed_transactions:
            self._apply(transaction)

    def _apply(
        self,
        transaction: Transaction,
    ) -> TransactionDone | TransactionRefused:
        if any(
            self._get_version(expected_row.name) != expected_row.version
            for expected_row in transaction.expected
        ):
            return TransactionRefused(
                rows=tuple(
                    self.row_by_name[expected_row.name]
                    for expected_row in transaction.expected
                    if self._get_version(expected_row.name)
                ),
            )
        self.version += 1
        for write in transaction.writes:
            self.row_by_name[write.name] = StoredRow(
                name=write.name,
                version=self.version,
                content=write.content,
            )
        return TransactionDone(version=self.version)

    def _get_version(self, name: RowName) -> int:
        row = self.row_by_name.get(name)
        if row is None or row.content is None:
            return 0
        return row.version


def _make_unknown_outcome(timeout_s: Seconds) -> Unavailable:
    return Unavailable(
        reason=f'no response within {timeout_s} s',
        is_effect_possible=True,
    )

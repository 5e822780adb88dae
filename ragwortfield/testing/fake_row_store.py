"""Stand-in of the platform's store, in memory."""

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

#: Rows of one answer, as the platform limits them.
_PAGE_ROWS = 500


@dataclass(kw_only=True, slots=True)
class FakeRowStore:
    """
    Rows with versions, conditions, a feed and faults.

    :param is_down: whether every call is turned away.
    :param is_answer_lost: asked at each commit; true loses the answer of a
        commit that takes effect.
    :param is_commit_delayed: asked at each commit; true keeps the commit back
        until ``apply_delayed`` and gives no answer.
    :param history_start_version: version from which on the history is known.
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
        Read rows of a part in the order of their keys.

        :param table: table of the rows.
        :param partition: part of the table.
        :param first_key: key to begin with; empty for the first.
        :param end_key: key to end before; empty for the last.
        :returns: one page.
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
        Give the rows of a table that changed after a version, at once.

        :param table: the table.
        :param after: version up to which changes are known.
        :param wait_s: not waited here.
        :returns: the changed rows.
        """
        if self.is_down:
            return Unavailable(reason=f'down, asked to wait {wait_s} s')
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

        :param transaction: expected versions and writes.
        :param timeout_s: not waited here.
        :returns: what the caller learns.
        """
        self.commits += 1
        if self.is_down:
            return Unavailable(reason='the store is down')
        if self.is_commit_delayed():
            self.delayed_transactions.append(transaction)
            return _unanswered(timeout_s)
        outcome = self._apply(transaction)
        if self.is_answer_lost():
            return _unanswered(timeout_s)
        return outcome

    def apply_delayed(self) -> None:
        """Apply the commits that were kept back, if they still may be."""
        delayed_transactions = self.delayed_transactions
        self.delayed_transactions = []
        for transaction in delayed_transactions:
            self._apply(transaction)

    def _apply(
        self,
        transaction: Transaction,
    ) -> TransactionDone | TransactionRefused:
        if any(
            self._version_of(one.name) != one.version
            for one in transaction.expected
        ):
            return TransactionRefused(
                rows=tuple(
                    self.row_by_name[one.name]
                    for one in transaction.expected
                    if self._version_of(one.name)
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

    def _version_of(self, name: RowName) -> int:
        row = self.row_by_name.get(name)
        if row is None or row.content is None:
            return 0
        return row.version


def _unanswered(timeout_s: Seconds) -> Unavailable:
    return Unavailable(
        reason=f'no answer for {timeout_s} s',
        is_effect_possible=True,
    )

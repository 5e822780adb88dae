"""Protocol of the platform's transactional row store."""

from dataclasses import dataclass
from typing import Protocol

from ragwortfield.ports.platform import Unavailable
from ragwortfield.types import Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class RowName:
    """
    Identity of a row.

    :param partition: a transaction can change only rows of one partition.
    """

    table: str
    partition: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """
    Row as read from the store.

    :param version: store-wide version of the row's latest change; every
        change of any row raises it.
    :param content: ``None`` when the row was deleted.
    """

    name: RowName
    version: int
    content: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RowPage:
    """
    Snapshot of rows, or rows that changed after a version.

    :param version: version of the store at the time of the read.
    :param has_more: whether rows after the last one were left out.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryGone:
    """The store has discarded changes made after the requested version."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RowWrite:
    """New content of a row; ``None`` deletes the row."""

    name: RowName
    content: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectedVersion:
    """Version that a row must have; 0 means that the row must not exist."""

    name: RowName
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Writes to rows of one partition that are applied atomically."""

    expected: tuple[ExpectedVersion, ...] = ()
    writes: tuple[RowWrite, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionDone:
    """
    The transaction was committed.

    :param version: new version of the rows that it wrote.
    """

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionRefused:
    """
    The transaction was aborted: a row did not have the expected version.

    :param rows: current state of the rows in ``expected``.
    """

    rows: tuple[StoredRow, ...]

    def is_present(self, name: RowName) -> bool:
        """
        Tell whether a row existed when the transaction was aborted.

        :param name: a row in ``expected``.
        :returns: whether it did.
        """
        return any(
            row.name == name and row.content is not None for row in self.rows
        )


class RowStore(Protocol):
    """Store of rows with transactions and a change feed."""

    def read(
        self,
        table: str,
        partition: str,
        *,
        first_key: str = '',
        end_key: str = '',
    ) -> RowPage | Unavailable:
        """Read rows of a partition in key order."""

    def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: Seconds,
    ) -> RowPage | HistoryGone | Unavailable:
        """Wait until rows of a table change after a version."""

    def commit(
        self,
        transaction: Transaction,
        timeout_s: Seconds,
    ) -> TransactionDone | TransactionRefused | Unavailable:
        """Apply all writes atomically."""


def read_row(store: RowStore, name: RowName) -> RowPage | Unavailable:
    """
    Read one row.

    :param store: the store.
    :param name: the row.
    :returns: a page with the row; without any if it does not exist.
    """
    return store.read(
        name.table,
        name.partition,
        first_key=name.key,
        end_key=f'{name.key}\0',
    )

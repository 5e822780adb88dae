"""Addresses as each instance sees them, which tell who calls."""

from dataclasses import dataclass, field, replace

from gevent.socket import SO_BINDTODEVICE, SOL_SOCKET, socket

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    HistoryGone,
    RowPage,
    StoredRow,
    Transaction,
    TransactionDone,
    TransactionRefused,
)
from ragwortfield.soak.processes import HOST
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.types import Seconds

#: Network device of the loopback addresses.
_LOOPBACK_DEVICE = b'lo'
_BACKLOG = 256
#: Number of values of a part of an address that take one digit.
_DIGITS = 9


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressView:
    """
    Addresses as one instance sees them.

    All addresses of the loopback network lead to this machine. Workers and
    peers have another host for each instance that calls them, and from the
    local address of a connection they learn which one it is. The rows of the
    store hold the common addresses. All forms have the same length, so they can
    be exchanged in any encoding.

    :param host: host of all workers and peers for this instance.
    :param own_address: address at which the instance listens.
    :param link_address: common address at which peers reach the instance.
    """

    host: str
    own_address: str
    link_address: str

    def to_common(self, content: bytes) -> bytes:
        """
        Replace the addresses that the instance uses.

        :param content: document with addresses.
        :returns: the document with common addresses.
        """
        return content.replace(
            self.own_address.encode(), self.link_address.encode()
        ).replace(f'{self.host}:'.encode(), f'{HOST}:'.encode())

    def from_common(self, content: bytes) -> bytes:
        """
        Replace common addresses by those that the instance uses.

        :param content: document with addresses.
        :returns: the document with the addresses that the instance uses.
        """
        common = f'{HOST}:'.encode()
        seen = f'{self.host}:'.encode()
        return content.replace(common, seen).replace(
            self.link_address.encode().replace(common, seen),
            self.own_address.encode(),
        )


@dataclass(kw_only=True, slots=True)
class StoreView:
    """
    Row store as one instance sees it.

    :param store: store with the common addresses.
    :param view: addresses of the instance.
    """

    store: FakeRowStore
    view: AddressView
    is_down: bool = field(default=False, init=False)

    @property
    def version(self) -> int:
        """Version of the last commit."""
        return self.store.version

    @property
    def history_start_version(self) -> int:
        """Oldest version from which changes can be followed."""
        return self.store.history_start_version

    def read(
        self,
        table: str,
        partition: str,
        *,
        first_key: str = '',
        end_key: str = '',
    ) -> RowPage | Unavailable:
        """
        Read one page of the rows of a partition.

        :param table: table of the rows.
        :param partition: partition of the table.
        :param first_key: first key, inclusive; empty for no lower bound.
        :param end_key: last key, exclusive; empty for no upper bound.
        :returns: the page, or why there is none.
        """
        page = self.store.read(
            table, partition, first_key=first_key, end_key=end_key
        )
        return self._show_page(page) if isinstance(page, RowPage) else page

    def wait_for_changes(
        self, table: str, after: int, wait_s: Seconds
    ) -> RowPage | HistoryGone | Unavailable:
        """
        Return the rows of a table that changed after a version.

        :param table: table of the rows.
        :param after: version up to which the caller knows the changes.
        :param wait_s: longest wait for a change, in seconds.
        :returns: the changed rows.
        """
        page = self.store.wait_for_changes(table, after, wait_s)
        return self._show_page(page) if isinstance(page, RowPage) else page

    def commit(
        self, transaction: Transaction, timeout_s: Seconds
    ) -> TransactionDone | TransactionRefused | Unavailable:
        """
        Apply all writes or none of them.

        :param transaction: expected row versions and writes.
        :param timeout_s: longest wait, in seconds.
        :returns: outcome as the caller sees it.
        """
        writes = tuple(
            write
            if write.content is None
            else replace(write, content=self.view.to_common(write.content))
            for write in transaction.writes
        )
        outcome = self.store.commit(
            replace(transaction, writes=writes), timeout_s
        )
        if isinstance(outcome, TransactionRefused):
            return TransactionRefused(rows=self._show_rows(outcome.rows))
        return outcome

    def _show_page(self, page: RowPage) -> RowPage:
        return replace(page, rows=self._show_rows(page.rows))

    def _show_rows(self, rows: tuple[StoredRow, ...]) -> tuple[StoredRow, ...]:
        return tuple(
            row
            if row.content is None
            else replace(row, content=self.view.from_common(row.content))
            for row in rows
        )


def make_caller_host(number: int) -> str:
    """
    Return the host under which an instance sees workers and peers.

    :param number: number of the instance.
    :returns: a loopback address with as many digits as the common one.
    """
    high, low = divmod(number, _DIGITS)
    return f'127.{high + 1}.{low + 1}.1'


def listen_on_loopback() -> socket:
    """
    Listen on all loopback addresses, and on no others.

    :returns: the listening socket.
    """
    listener = socket()
    listener.setsockopt(SOL_SOCKET, SO_BINDTODEVICE, _LOOPBACK_DEVICE)
    listener.bind(('', 0))
    listener.listen(_BACKLOG)
    return listener

"""Fake of the group-commit writer: each write is its own transaction."""

from gevent.event import AsyncResult

from ragwortfield.engine.group_commit import WriteResult
from ragwortfield.ports.platform import TableService, Write
from ragwortfield.types import Seconds


class FakeGroupCommitWriter:
    """
    Writer that commits immediately, so that tests need no writer greenlet.

    :param table: table service that the writes go to.
    """

    def __init__(self, *, table: TableService) -> None:
        self._table = table

    def submit(self, write: Write) -> AsyncResult:
        """
        Write one row.

        :param write: the write.
        :returns: result that is already set.
        """
        result = AsyncResult()
        result.set(self.write(write, 0))
        return result

    def write(self, write: Write, timeout_s: Seconds) -> WriteResult:
        """
        Write one row.

        :param write: the write.
        :param timeout_s: ignored, as nothing is waited for.
        :returns: outcome of the transaction.
        """
        return self._table.transact((write,))

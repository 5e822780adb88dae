"""Stand-in for the grouped writer: every write is its own transaction."""

from gevent.event import AsyncResult

from ragwortfield.engine.group_commit import WriteResult
from ragwortfield.ports.platform import TableService, Write
from ragwortfield.types import Seconds


class FakeGroupCommitWriter:
    """
    Writes at once, so that a test needs no running greenlet.

    :param table: the platform's table.
    """

    def __init__(self, *, table: TableService) -> None:
        """Create a writer."""
        self._table = table

    def submit(self, write: Write) -> AsyncResult:
        """
        Write without waiting.

        :param write: the write.
        :returns: holds the result already.
        """
        result = AsyncResult()
        result.set(self.write(write, 0))
        return result

    def write(self, write: Write, timeout_s: Seconds) -> WriteResult:
        """
        Write one row.

        :param write: the write.
        :param timeout_s: without meaning here.
        :returns: the result.
        """
        return self._table.transact((write,))

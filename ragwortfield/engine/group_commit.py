"""Writer that puts many small writes into one transaction."""

import gevent
from gevent.event import AsyncResult, Event

from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    TableService,
    Unavailable,
    Write,
)
from ragwortfield.types import Seconds

#: Time in which writes gather before a transaction starts, in seconds.
_GATHER_S = 0.003
#: Writes of one transaction at most.
_MAX_GROUP = 64

#: Result of one write of a group.
WriteResult = Committed | Conflict | Unavailable


class GroupCommitWriter:
    """
    Groups writes of independent rows into transactions.

    A conflict of one row must not fail the others: a group that meets one is
    written again without the row.

    :param table: the platform's table.
    """

    def __init__(self, *, table: TableService) -> None:
        """Create a writer; ``start`` lets it run."""
        self._table = table
        self._waiting: list[tuple[Write, AsyncResult]] = []
        self._has_work = Event()
        self.transactions = 0
        self.rows = 0

    def start(self) -> gevent.Greenlet:
        """
        Start writing in the background.

        :returns: the greenlet that writes.
        """
        return gevent.spawn(self._run)

    def submit(self, write: Write) -> AsyncResult:
        """
        Hand a write over without waiting.

        :param write: the write.
        :returns: will hold the :data:`WriteResult`.
        """
        result = AsyncResult()
        self._waiting.append((write, result))
        self._has_work.set()
        return result

    def write(self, write: Write, timeout_s: Seconds) -> WriteResult:
        """
        Write one row and wait for the result.

        :param write: the write.
        :param timeout_s: longest wait, in seconds.
        :returns: the result; ``Unavailable`` after the timeout.
        """
        result = self.submit(write)
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            return Unavailable(
                reason=f'no answer of the table for {timeout_s:.3f} s',
                is_effect_possible=True,
            )

    def _run(self) -> None:
        while True:
            self._has_work.wait()
            gevent.sleep(_GATHER_S)
            group = self._waiting[:_MAX_GROUP]
            self._waiting = self._waiting[_MAX_GROUP:]
            if not self._waiting:
                self._has_work.clear()
            gevent.spawn(self._write_group, group)

    def _write_group(self, group: list[tuple[Write, AsyncResult]]) -> None:
        while group:
            writes = tuple(write for write, _ in group)
            outcome = self._table.transact(writes)
            self.transactions += 1
            self.rows += len(writes)
            if not isinstance(outcome, Conflict):
                for _, result in group:
                    result.set(outcome)
                return
            for write, result in group:
                if write.key == outcome.key:
                    result.set(outcome)
            group = [pair for pair in group if pair[0].key != outcome.key]

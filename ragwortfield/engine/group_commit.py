"""Group commit: writes of several rows in one transaction."""

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

#: Time for which writes are collected before a transaction starts, in seconds.
_GROUP_WINDOW_S = 0.003
#: Largest number of writes in one transaction.
_MAX_GROUP_WRITES = 64

#: Result of one write of a group.
WriteResult = Committed | Conflict | Unavailable


class GroupCommitWriter:
    """
    Groups writes of independent rows into transactions.

    A conflict on one row must not fail the other writes: the transaction is
    retried without that row.

    :param table: the platform's table.
    """

    def __init__(self, *, table: TableService) -> None:
        """Create a writer; :meth:`start` runs it."""
        self._table = table
        self._pending: list[tuple[Write, AsyncResult]] = []
        self._has_pending = Event()
        self.transaction_count = 0
        self.row_count = 0

    def start(self) -> gevent.Greenlet:
        """
        Start writing in the background.

        :returns: the greenlet that writes.
        """
        return gevent.spawn(self._run_loop)

    def submit(self, write: Write) -> AsyncResult:
        """
        Queue a write without waiting for its result.

        :param write: the write.
        :returns: future that will hold the :data:`WriteResult`.
        """
        result = AsyncResult()
        self._pending.append((write, result))
        self._has_pending.set()
        return result

    def write(self, write: Write, timeout_s: Seconds) -> WriteResult:
        """
        Write one row and wait for the result.

        :param write: the write.
        :param timeout_s: longest wait, in seconds.
        :returns: the result; ``Unavailable`` after the time-out, with the
            write possibly in effect.
        """
        result = self.submit(write)
        try:
            return result.get(timeout=timeout_s)
        except gevent.Timeout:
            return Unavailable(
                reason=f'the table did not respond within {timeout_s:.3f} s',
                is_effect_possible=True,
            )

    def _run_loop(self) -> None:
        while True:
            self._has_pending.wait()
            gevent.sleep(_GROUP_WINDOW_S)
            group = self._pending[:_MAX_GROUP_WRITES]
            self._pending = self._pending[_MAX_GROUP_WRITES:]
            if not self._pending:
                self._has_pending.clear()
            gevent.spawn(self._write_group, group)

    def _write_group(self, group: list[tuple[Write, AsyncResult]]) -> None:
        while group:
            writes = tuple(write for write, _ in group)
            outcome = self._table.transact(writes)
            self.transaction_count += 1
            self.row_count += len(writes)
            if not isinstance(outcome, Conflict):
                for _, result in group:
                    result.set(outcome)
                return
            for write, result in group:
                if write.key == outcome.key:
                    result.set(outcome)
            group = [entry for entry in group if entry[0].key != outcome.key]

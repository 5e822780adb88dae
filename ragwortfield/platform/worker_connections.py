"""Connections of one owner to one worker.

A worker accepts few connections, from the present owner of its shard and from
former ones that were lost and have not closed theirs. So an owner opens only
some of them.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from gevent.lock import BoundedSemaphore

from ragwortfield.adapters.http_client import (
    ConnectionLimits,
    HttpConnectionPool,
)
from ragwortfield.core.outcomes import (
    Broken,
    ExchangeOutcome,
    NotSent,
    WholeAnswer,
)
from ragwortfield.log import event
from ragwortfield.types import Seconds

#: Largest number of concurrent orders to a worker. With the poll, an owner uses
#: at most 7 of the 64 connections that a worker accepts.
MAX_CONCURRENT_ORDERS = 6
#: Longest wait of an order for its turn, in seconds; start orders are valid for
#: about as long.
MAX_TURN_WAIT_S: Seconds = 2
#: One connection is kept for orders that come now and then; the others are
#: needed for many orders at once only.
_ORDER_LIMITS = ConnectionLimits(
    max_open=MAX_CONCURRENT_ORDERS, max_kept=1, spare_idle_s=5
)
_POLL_LIMITS = ConnectionLimits(max_open=1)


class WorkerConnections:
    """
    Connections of one owner to one worker.

    Orders share a few connections and wait in turn. The poll that extends the
    lease of the worker has one of its own.

    :param address: host and port of the worker.
    """

    def __init__(self, *, address: str) -> None:
        """Create; connections are opened when they are needed."""
        self.orders = HttpConnectionPool(address=address, limits=_ORDER_LIMITS)
        self.polls = HttpConnectionPool(address=address, limits=_POLL_LIMITS)
        self.refused_count = 0
        self._address = address
        self._refused_before = 0
        self._turns = BoundedSemaphore(MAX_CONCURRENT_ORDERS)

    @contextmanager
    def await_turn(self) -> Iterator[bool]:
        """
        Wait until few enough other orders are under way.

        :returns: a context in which the order counts as under way; its value
            tells whether the turn has come in time.
        """
        is_turn = self._turns.acquire(timeout=MAX_TURN_WAIT_S)
        try:
            yield is_turn
        finally:
            if is_turn:
                self._turns.release()

    def count_open(self) -> int:
        """
        Count the open connections.

        :returns: number of connections, idle and in use.
        """
        return self.orders.open_count + self.polls.open_count

    def record_outcome(self, outcome: ExchangeOutcome) -> None:
        """
        Count new connections that the worker has closed without a response.

        The log tells when the worker begins to do so and when it answers again.

        :param outcome: outcome of an exchange with the worker.
        """
        if isinstance(outcome, WholeAnswer):
            refused_in_series = self.refused_count - self._refused_before
            self._refused_before = self.refused_count
            if refused_in_series:
                event(
                    'connections_accepted',
                    address=self._address,
                    refused=refused_in_series,
                )
        elif _is_refused_connection(outcome):
            self.refused_count += 1
            if self.refused_count == self._refused_before + 1:
                event(
                    'connections_refused',
                    address=self._address,
                    open=self.count_open(),
                    reason=outcome.reason,
                )

    def close_spare(self) -> None:
        """Close connections that many orders at once had needed."""
        self.orders.close_spare()

    def retire(self) -> None:
        """Close idle connections now and those in use after their exchange."""
        self.orders.retire_connections()
        self.polls.retire_connections()

    def close(self) -> None:
        """
        Send no further requests.

        Idle connections are closed now, those in use after their exchange.
        """
        self.orders.close()
        self.polls.close()


def _is_refused_connection(outcome: NotSent | Broken) -> bool:
    """
    Check whether a worker that lives has closed a new connection.

    A worker whose process has ended refuses to connect, and one that is cut off
    or stands still is silent.
    """
    if isinstance(outcome, NotSent):
        return outcome.is_reset
    return not (outcome.is_silent or outcome.is_reused)

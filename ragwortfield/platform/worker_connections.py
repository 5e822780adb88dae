"""Connections of one owner to one worker.

A worker serves a limited number of connections. If an owner is lost with its
machine, nobody closes its connections, so those of all lost owners add up. An
owner therefore has as few open as it can at any moment: one when it sends no
orders, two when it does, and more only while orders would have to wait.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from gevent.lock import Semaphore

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

#: Largest number of concurrent orders to a worker.
MAX_CONCURRENT_ORDERS = 6
#: Longest wait of an order for its turn, in seconds; start orders are valid for
#: about as long.
MAX_TURN_WAIT_S: Seconds = 2
#: Wait of an order after which one more order may be under way, in seconds. A
#: sound worker answers several orders in this time.
_SHARED_WAIT_S: Seconds = 0.1
#: The next order mostly follows soon, and a new connection costs two round
#: trips more.
_ORDER_LIMITS = ConnectionLimits(
    max_open=MAX_CONCURRENT_ORDERS,
    max_kept=1,
    spare_idle_s=0,
    kept_idle_s=1,
)
_POLL_LIMITS = ConnectionLimits(max_open=1)


class OrderTurns:
    """
    Turns of the orders to one worker.

    One order is under way at a time. Each order that waits for long, because
    there are many or the worker is slow to answer, lets one more be under way,
    until no order waits any more.
    """

    def __init__(self) -> None:
        """Start with one turn."""
        self._turns = Semaphore(1)
        self._turn_count = 1
        self._waiting_count = 0

    @property
    def is_awaited(self) -> bool:
        """Whether an order waits for its turn."""
        return self._waiting_count > 0

    def acquire(self) -> bool:
        """
        Wait for a turn.

        :returns: whether the turn has come within ``MAX_TURN_WAIT_S``.
        """
        self._waiting_count += 1
        try:
            return self._turns.acquire(timeout=_SHARED_WAIT_S) or (
                self._acquire_extra()
            )
        finally:
            self._waiting_count -= 1

    def release(self) -> None:
        """End a turn."""
        if self._turn_count > 1 and not self.is_awaited:
            self._turn_count -= 1
        else:
            self._turns.release()

    def _acquire_extra(self) -> bool:
        if self._turn_count < MAX_CONCURRENT_ORDERS:
            self._turn_count += 1
            self._turns.release()
        return self._turns.acquire(timeout=MAX_TURN_WAIT_S - _SHARED_WAIT_S)


class WorkerConnections:
    """
    Connections of one owner to one worker.

    Orders share a connection as long as they are answered soon. The poll that
    extends the lease of the worker has one of its own, so that it waits for no
    order.

    :param address: host and port of the worker.
    """

    def __init__(self, *, address: str) -> None:
        """Create; connections are opened when they are needed."""
        self.orders = HttpConnectionPool(address=address, limits=_ORDER_LIMITS)
        self.polls = HttpConnectionPool(address=address, limits=_POLL_LIMITS)
        self.refused_count = 0
        self._address = address
        self._refused_before = 0
        self._turns = OrderTurns()

    @contextmanager
    def await_turn(self) -> Iterator[bool]:
        """
        Wait until few enough other orders are under way.

        :returns: a context in which the order counts as under way; its value
            tells whether the turn has come in time.
        """
        is_turn = self._turns.acquire()
        try:
            yield is_turn
        finally:
            if is_turn:
                self._turns.release()
            if not self._turns.is_awaited:
                self.close_spare()

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
        """
        Close connections that are not needed.

        They are those that many orders at once have opened, and the last one if
        no order has been sent for a while.
        """
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

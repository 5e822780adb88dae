"""Bounds of what all connections of clients to one server hold.

Addresses clients outside the limits: many incomplete requests at once, and
connections that stay open without a complete request or a reader of answers.
"""

import math
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import gevent

from ragwortfield.core.client_limits import LENIENT_LIMITS, ClientLimits
from ragwortfield.http_api.turn_queue import TurnQueue
from ragwortfield.scheduling.decision_log import DecisionLog
from ragwortfield.types import MonotonicTime, Seconds

#: Interval at which time limits are checked, in seconds.
_CHECK_INTERVAL_S: Seconds = 0.25
#: Most time that counts between two checks, in seconds. If more has passed,
#: the process was suspended or got no CPU time, and clients may not be at
#: fault.
_MAX_COUNTED_S: Seconds = 0.5
#: Time without a new byte after which a request may be ended for the sake of
#: others when the byte budget is used up, in seconds.
_STALL_S: Seconds = 1
#: Time for the rest of a request that has its answer already, in seconds.
_DISCARD_TIMEOUT_S: Seconds = 2
#: Longest time for a whole body, in seconds. The pages limit only the pauses
#: in it; a body with pauses of 15 s that takes longer has under 40 pieces.
_BODY_TIMEOUT_S: Seconds = 600
#: Size up to which a request counts as small, in bytes held. Small requests
#: may use the whole byte budget, and larger ones only a part of it.
_SMALL_REQUEST_BYTES = 32768
_LARGE_REQUEST_SHARE = 0.75
#: Share of the connections above which waiting ones are closed, and the share
#: of them that is closed at a time.
_FULL_SHARE = 0.9
_CLOSED_SHARE = 0.05
#: Share of the machine's memory for heads and bodies of all connections.
_BUDGET_SHARE = 0.08
#: Largest requests that the budget always has space for.
_MIN_LARGEST_REQUESTS = 4
#: Connections for each MiB of the machine's memory: a connection that waits
#: takes about 8 KB in the process and up to 64 KB in the kernel.
_CONNECTIONS_PER_MB = 5
_BYTES_PER_MB = 1_048_576


class Phase(StrEnum):
    """What a connection waits for."""

    #: The first byte of a request.
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    #: The rest of a request that has its answer already.
    DISCARD = 'discard'
    #: The client, which is to take the answer.
    ANSWER = 'answer'
    #: Its turn to have received bytes handled.
    TURN = 'turn'
    #: A read that this process repeats until it succeeds.
    RETRY = 'retry'
    #: This process.
    BUSY = 'busy'


#: Phases in which a connection waits for bytes of its client.
READING_PHASES = frozenset((Phase.IDLE, Phase.HEAD, Phase.BODY, Phase.DISCARD))
#: Phases in which a request can be ended while the process works on it.
_RESET_CHECKED_PHASES = frozenset((Phase.TURN, Phase.RETRY))
#: Phases in which a connection may be closed for others at any time.
_CLOSABLE_PHASES = READING_PHASES | _RESET_CHECKED_PHASES


class EndCause(StrEnum):
    """Why a connection or its request was ended."""

    NONE = ''
    TIMED_OUT = 'timed_out'
    #: For the bytes of other requests.
    BYTES = 'bytes'
    #: For other connections.
    CONNECTIONS = 'connections'
    HEAD_TOO_LARGE = 'head_too_large'
    CHUNKS = 'chunks'
    REQUESTS_AHEAD = 'requests_ahead'
    #: The client has reset the connection.
    RESET = 'reset'


class GuardedConnection(Protocol):
    """
    Connection as its guard sees it.

    :param phase_since: running time at which the phase began.
    :param progress_at: running time of the last received byte.
    :param held_bytes: bytes of the present request that count against the
        budget.
    """

    remote: object
    phase: Phase
    phase_since: Seconds
    progress_at: Seconds
    held_bytes: int

    def end(self, cause: EndCause) -> None:
        """
        End what the connection waits for.

        :param cause: why it is ended.
        """

    def has_unread_bytes(self) -> bool:
        """
        Check for bytes that this process has not read yet.

        :returns: whether there are some.
        """

    def is_reset(self) -> bool:
        """
        Check whether the client has reset the connection.

        :returns: whether it has, also if bytes of it are still unread.
        """


class ClientGuard:
    """
    Bounds of what the connections of clients hold, and their time limits.

    Time counts only while the process runs: ``running_s`` stands still while
    it is suspended or gets no CPU time.

    :param limits: returns the limits in force.
    :param budget_bytes: most bytes of heads and bodies that are held, of all
        connections together.
    :param max_connections: most connections at a time.
    :param turns: queue of the connections with work that can take long.
    :param is_timed: whether time limits are checked, and connections that have
        waited are closed for others.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], ClientLimits] = lambda: LENIENT_LIMITS,
        budget_bytes: float = math.inf,
        max_connections: int,
        turns: TurnQueue | None = None,
        is_timed: bool = True,
    ) -> None:
        """Create a guard; ``start`` makes it check the time limits."""
        self.limits = limits()
        self.running_s: Seconds = 0
        self.held_bytes = 0
        self.decisions = DecisionLog()
        self.connections: set[GuardedConnection] = set()
        self.max_connections = max_connections
        self.is_timed = is_timed
        self._get_limits = limits
        self._budget_bytes = budget_bytes
        self._turns = turns or TurnQueue()
        self._watch: gevent.Greenlet | None = None

    def start(self) -> None:
        """Check the time limits from now on."""
        if self.is_timed and not self._watch:
            self._watch = gevent.spawn(self._check_forever)

    def stop(self) -> None:
        """Stop checking the time limits."""
        if self._watch is not None:
            self._watch.kill(block=False)
            self._watch = None

    def add(self, connection: GuardedConnection) -> None:
        """
        Add a new connection; others may be closed for it.

        :param connection: the connection.
        """
        if len(self.connections) >= _FULL_SHARE * self.max_connections:
            self._make_place()
        self.connections.add(connection)

    def remove(self, connection: GuardedConnection) -> None:
        """
        Remove a connection that ends.

        :param connection: the connection.
        """
        self.release(connection)
        self.connections.discard(connection)

    def charge(self, connection: GuardedConnection, size: int) -> bool:
        """
        Count received bytes against the budget.

        Other requests may be ended for them. Bytes that do not fit are not
        counted, nor are those that the connection held before.

        :param connection: connection that has received them.
        :param size: number of bytes.
        :returns: whether they fit.
        """
        connection.held_bytes += size
        self.held_bytes += size
        if self._excess_bytes(connection) <= 0:
            return True
        if self._make_space(connection):
            return True
        self.release(connection)
        return False

    def release(self, connection: GuardedConnection) -> None:
        """
        Return the bytes of a request to the budget.

        :param connection: connection whose request has ended.
        """
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def wait_for_turn(self, connection: GuardedConnection) -> bool:
        """
        Wait until work that can take long may go on for one short step.

        One such step is taken at a time, so that short requests are not kept
        waiting by more than one of them.

        :param connection: connection whose bytes cause the work.
        :returns: whether it may go on; false if the connection was ended.
        """
        return self._turns.wait(connection)

    def cancel_turn(self, connection: GuardedConnection) -> None:
        """
        End a connection's wait for its turn.

        :param connection: the connection.
        """
        self._turns.cancel(connection)

    def end(self, connection: GuardedConnection, cause: EndCause) -> None:
        """
        End what a connection waits for; its bytes no longer count.

        :param connection: the connection.
        :param cause: why it is ended.
        """
        self.note_end(connection, cause)
        self.release(connection)
        connection.end(cause)

    def note_end(self, connection: GuardedConnection, cause: EndCause) -> None:
        """
        Count and log that a connection or its request is ended.

        :param connection: the connection.
        :param cause: why it is ended.
        """
        self.decisions.record(
            f'client_{cause}',
            time.monotonic(),
            remote=connection.remote,
            phase=connection.phase,
            held_bytes=connection.held_bytes,
            all_held_bytes=self.held_bytes,
            connections=len(self.connections),
        )

    def check(self, elapsed_s: Seconds) -> None:
        """
        End the connections that are over their time limits, or were reset.

        :param elapsed_s: time since the last check, in seconds.
        """
        self.running_s += min(elapsed_s, _MAX_COUNTED_S)
        self.limits = self._get_limits()
        for connection in tuple(self.connections):
            # A connection notices a reset only when it reads.
            if connection.phase in _RESET_CHECKED_PHASES:
                if connection.is_reset():
                    self.end(connection, EndCause.RESET)
            elif self._is_overdue(connection):
                self.end(connection, EndCause.TIMED_OUT)
        # A full server accepts no connections, so ``add`` makes no place.
        if len(self.connections) >= self.max_connections:
            self._make_place()

    def _check_forever(self) -> None:
        checked_at: MonotonicTime = time.monotonic()
        while True:
            gevent.sleep(_CHECK_INTERVAL_S)
            now = time.monotonic()
            self.check(now - checked_at)
            checked_at = now

    def _is_overdue(self, connection: GuardedConnection) -> bool:
        phase = connection.phase
        if phase == Phase.BUSY:
            return False
        # ``running_s`` is behind by up to one interval.
        latest_start = self.running_s - _CHECK_INTERVAL_S
        phase_s = latest_start - connection.phase_since
        silence_s = latest_start - connection.progress_at
        limits = self.limits
        if phase == Phase.BODY:
            is_overdue = (
                silence_s > limits.idle_timeout_s or phase_s > _BODY_TIMEOUT_S
            )
        elif phase == Phase.HEAD:
            is_overdue = phase_s > limits.header_timeout_s
        elif phase == Phase.DISCARD:
            is_overdue = phase_s > _DISCARD_TIMEOUT_S
        else:
            is_overdue = phase_s > limits.idle_timeout_s
        # The client has done its part if its bytes have arrived.
        return is_overdue and not (
            phase in READING_PHASES and connection.has_unread_bytes()
        )

    def _excess_bytes(self, connection: GuardedConnection) -> float:
        limits = self.limits
        largest = limits.max_body_bytes + limits.max_header_bytes
        budget = max(self._budget_bytes, _MIN_LARGEST_REQUESTS * largest)
        if connection.held_bytes > _SMALL_REQUEST_BYTES:
            budget *= _LARGE_REQUEST_SHARE
        return self.held_bytes - budget

    def _make_space(self, connection: GuardedConnection) -> bool:
        latest_progress = self.running_s - _STALL_S
        reading = [
            other
            for other in self.connections
            if other.held_bytes
            and other is not connection
            and other.phase in READING_PHASES
        ]
        victims = sorted(
            (other for other in reading if other.progress_at < latest_progress),
            key=lambda other: other.progress_at,
        )
        if connection.held_bytes <= _SMALL_REQUEST_BYTES:
            victims.extend(
                sorted(
                    (
                        other
                        for other in reading
                        if other.held_bytes > _SMALL_REQUEST_BYTES
                        and other.progress_at >= latest_progress
                    ),
                    key=lambda other: -other.held_bytes,
                )
            )
        for victim in victims:
            self.end(victim, EndCause.BYTES)
            if self._excess_bytes(connection) <= 0:
                return True
        return False

    def _make_place(self) -> None:
        if not self.is_timed:
            return
        # Of those that have waited for equally long, the largest go first.
        waiting = sorted(
            filter(self._is_closable, self.connections),
            key=lambda connection: (
                _get_waiting_since(connection),
                -connection.held_bytes,
            ),
        )
        count = math.ceil(_CLOSED_SHARE * self.max_connections)
        for connection in waiting[:count]:
            self.end(connection, EndCause.CONNECTIONS)

    def _is_closable(self, connection: GuardedConnection) -> bool:
        if connection.phase == Phase.ANSWER:
            return connection.progress_at < self.running_s - _STALL_S
        return connection.phase in _CLOSABLE_PHASES


def compute_budget_bytes(memory_mb: float) -> float:
    """
    Compute the byte budget for heads and bodies.

    :param memory_mb: memory of the machine, in MiB.
    :returns: bytes.
    """
    return memory_mb * _BYTES_PER_MB * _BUDGET_SHARE


def compute_max_connections(memory_mb: float, highest: int) -> int:
    """
    Compute the number of connections that a machine has memory for.

    :param memory_mb: memory of the machine, in MiB.
    :param highest: most connections, for other reasons.
    :returns: number of connections.
    """
    return min(highest, int(memory_mb * _CONNECTIONS_PER_MB))


def _get_waiting_since(connection: GuardedConnection) -> Seconds:
    # The bytes of one that waits for this process may still be coming.
    if connection.phase in _RESET_CHECKED_PHASES:
        return connection.phase_since
    return connection.progress_at

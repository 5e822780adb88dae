"""Turns of connections at work that can take long, one short step at a time."""

import time
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from ragwortfield.types import MonotonicTime, Seconds

#: Number of waiting connections from which on there are pauses.
_CROWDED_COUNT = 4
#: Time between two pauses, and length of a pause, in seconds. Without them the
#: event loop takes steps for 5 ms before it looks for new bytes.
_CROWDED_WORK_S: Seconds = 0.001
_CROWDED_PAUSE_S: Seconds = 0.001


class TurnQueue:
    """
    Queue of connections, of which one may take a step at a time.

    :param sleep: lets others run for a duration in seconds.
    """

    def __init__(
        self, *, sleep: Callable[[Seconds], None] = gevent.sleep
    ) -> None:
        """Create an empty queue."""
        self._sleep = sleep
        self._is_taken = False
        self._turn_by_holder: dict[object, AsyncResult] = {}
        self._paused_at: MonotonicTime = 0

    def wait(self, holder: object) -> bool:
        """
        Wait until a connection may take its next step.

        The step follows the call. Connections take their steps in the order in
        which they came; with many of them there are pauses for other work.

        :param holder: the connection; it waits for one turn at a time.
        :returns: whether it may; false if its turn was cancelled.
        """
        if self._is_taken and not self._await_turn(holder):
            return False
        self._is_taken = True
        try:
            self._give_way()
        finally:
            self._pass_on()
        return True

    def cancel(self, holder: object) -> None:
        """
        End the wait of a connection.

        :param holder: the connection; nothing happens if it does not wait.
        """
        turn = self._turn_by_holder.pop(holder, None)
        if turn is not None:
            turn.set(False)

    def count_waiting(self) -> int:
        """
        Count the connections that wait.

        :returns: number of them, without the one whose turn it is.
        """
        return len(self._turn_by_holder)

    def _give_way(self) -> None:
        is_pause_due = (
            len(self._turn_by_holder) >= _CROWDED_COUNT
            and time.monotonic() - self._paused_at > _CROWDED_WORK_S
        )
        self._sleep(_CROWDED_PAUSE_S if is_pause_due else 0)
        if is_pause_due:
            self._paused_at = time.monotonic()

    def _await_turn(self, holder: object) -> bool:
        turn: AsyncResult = AsyncResult()
        self._turn_by_holder[holder] = turn
        try:
            return bool(turn.get())
        except gevent.GreenletExit:
            if turn.ready() and turn.value:
                self._pass_on()
            raise
        finally:
            self._turn_by_holder.pop(holder, None)

    def _pass_on(self) -> None:
        if not self._turn_by_holder:
            self._is_taken = False
            return
        first = next(iter(self._turn_by_holder))
        self._turn_by_holder.pop(first).set(True)

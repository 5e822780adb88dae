"""Work that outlives unexpected errors: each is told, and it goes on."""

import time
import traceback
from collections.abc import Callable
from typing import TypeVar

import gevent

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.types import MonotonicTime, Seconds

#: Pause before a loop goes on after an unexpected error, in seconds.
_PAUSE_S: Seconds = 0.1
#: Least time between two lines of the log about one work, in seconds.
_TELL_EVERY_S: Seconds = 1
#: Longest text of an error that is told, in characters.
_TEXT_LIMIT = 200

_Outcome = TypeVar('_Outcome')


class Supervisor:
    """
    Guard of one loop, or of one kind of short work.

    The end of a greenlet by ``GreenletExit`` passes.

    :param name: name of the work, for the log.
    :param pause_s: pause before the work begins anew, in seconds.
    :param pairs: what the log tells of the work besides.
    """

    def __init__(
        self,
        *,
        name: str,
        pause_s: Seconds = _PAUSE_S,
        **pairs: str | int,
    ) -> None:
        """Create; nothing is logged before the first error."""
        self._name = name
        self._pause_s = pause_s
        self._pairs = pairs
        self._told_at: MonotonicTime | None = None
        self._untold = 0

    def run(
        self,
        work: Callable[..., _Outcome],
        *arguments: object,
    ) -> _Outcome:
        """
        Do work, and begin it anew after each unexpected error.

        :param work: the work, mostly an endless loop.
        :param arguments: its arguments.
        :returns: what the work returns when it ends by itself.
        """
        while True:
            try:
                return work(*arguments)
            # Whatever the error is, a loop that ended with its greenlet would
            # leave a process that lives and no longer does this work.
            except Exception as error:
                self._tell(error)
            gevent.sleep(self._pause_s)

    def run_once(
        self,
        work: Callable[..., _Outcome],
        *arguments: object,
    ) -> _Outcome | Unavailable:
        """
        Do work once.

        :param work: the work.
        :param arguments: its arguments.
        :returns: what the work returns; after an unexpected error, that
            nothing is certain about its effect.
        """
        try:
            return work(*arguments)
        # Whatever the error is, those who wait for the outcome need one.
        except Exception as error:
            self._tell(error)
            return Unavailable(
                reason=f'unexpected error: {_text(error)}',
                is_effect_possible=True,
            )

    def _tell(self, error: Exception) -> None:
        now = time.monotonic()
        is_early = self._told_at is not None and (
            now - self._told_at < _TELL_EVERY_S
        )
        if is_early:
            self._untold += 1
            return
        event(
            'unexpected_error',
            work=self._name,
            **self._pairs,
            error=_text(error),
            place=_place(error),
            untold_before=self._untold,
        )
        self._told_at = now
        self._untold = 0


def _text(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'[:_TEXT_LIMIT]


def _place(error: Exception) -> str:
    """Function and line where the error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f'{frames[-1].name}:{frames[-1].lineno}'

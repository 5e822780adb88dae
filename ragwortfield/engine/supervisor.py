"""Supervision of greenlets: errors are logged and loops are restarted."""

import time
import traceback
from collections.abc import Callable
from typing import TypeVar

import gevent

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.types import MonotonicTime, Seconds

#: Default pause before a loop is restarted after an unexpected error, in
#: seconds.
_DEFAULT_PAUSE_S: Seconds = 0.1
#: Minimum time between two log lines of one supervisor, in seconds.
_LOG_INTERVAL_S: Seconds = 1
#: Maximum length of the text of a logged error, in characters.
_MAX_ERROR_TEXT = 200

_Result = TypeVar('_Result')


class Supervisor:
    """
    Runs one loop, or one kind of short task, and handles unexpected errors.

    ``GreenletExit`` is not caught, so that greenlets can be killed.

    :param name: name of the work, for the log.
    :param pause_s: pause before a restart, in seconds.
    :param log_fields: further fields of the log lines.
    """

    def __init__(
        self,
        *,
        name: str,
        pause_s: Seconds = _DEFAULT_PAUSE_S,
        **log_fields: str | int,
    ) -> None:
        """Create; nothing is logged before the first error."""
        self._name = name
        self._pause_s = pause_s
        self._log_fields = log_fields
        self._logged_at: MonotonicTime | None = None
        self._suppressed_count = 0

    def run(
        self,
        work: Callable[..., _Result],
        *arguments: object,
    ) -> _Result:
        """
        Run the work and restart it after each unexpected error.

        :param work: the work, usually an endless loop.
        :param arguments: its arguments.
        :returns: the result of the work once it returns.
        """
        while True:
            try:
                return work(*arguments)
            # Any error is caught, because a loop that ended here would leave a
            # process that is alive but no longer does this work.
            except Exception as error:
                self._log_error(error)
            gevent.sleep(self._pause_s)

    def run_once(
        self,
        work: Callable[..., _Result],
        *arguments: object,
    ) -> _Result | Unavailable:
        """
        Run the work once.

        :param work: the work.
        :param arguments: its arguments.
        :returns: the result of the work; after an unexpected error, an
            ``Unavailable`` that says that the work may have had an effect.
        """
        try:
            return work(*arguments)
        # Any error is caught, because the caller needs an outcome.
        except Exception as error:
            self._log_error(error)
            return Unavailable(
                reason=f'unexpected error: {_format_error(error)}',
                is_effect_possible=True,
            )

    def _log_error(self, error: Exception) -> None:
        now = time.monotonic()
        is_suppressed = self._logged_at is not None and (
            now - self._logged_at < _LOG_INTERVAL_S
        )
        if is_suppressed:
            self._suppressed_count += 1
            return
        event(
            'unexpected_error',
            work=self._name,
            **self._log_fields,
            error=_format_error(error),
            place=_format_location(error),
            untold_before=self._suppressed_count,
        )
        self._logged_at = now
        self._suppressed_count = 0


def _format_error(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'[:_MAX_ERROR_TEXT]


def _format_location(error: Exception) -> str:
    """Return the function and the line where the error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f'{frames[-1].name}:{frames[-1].lineno}'

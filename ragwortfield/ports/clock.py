"""Port to time."""

import time
from typing import Protocol

from ragwortfield.types import MonotonicTime, WallTime


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> MonotonicTime:
        """Read a clock that never goes back."""

    def wall_time(self) -> WallTime:
        """Read the wall clock."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> MonotonicTime:
        """
        Read a clock that never goes back.

        :returns: seconds; only differences have a meaning.
        """
        return time.monotonic()

    def wall_time(self) -> WallTime:
        """
        Read the wall clock.

        :returns: seconds since the Unix epoch.
        """
        return time.time()

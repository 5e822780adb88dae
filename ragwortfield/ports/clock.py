"""Protocol for clocks, and the clock of the operating system."""

import time
from typing import Protocol

from ragwortfield.types import MonotonicTime, WallTime


class Clock(Protocol):
    """Monotonic clock and wall clock."""

    def monotonic(self) -> MonotonicTime:
        """Read the monotonic clock."""

    def wall_time(self) -> WallTime:
        """Read the wall clock."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> MonotonicTime:
        """
        Read the monotonic clock.

        :returns: seconds since an unspecified origin; only differences are
            meaningful.
        """
        return time.monotonic()

    def wall_time(self) -> WallTime:
        """
        Read the wall clock.

        :returns: seconds since the Unix epoch.
        """
        return time.time()

"""Wall clock that ignores steps of the system clock."""

import time
from collections import deque
from statistics import median

from ragwortfield.types import Seconds, WallTime

#: Samples of the offset that the median is taken over, one per second.
_OFFSET_SAMPLES = 31


class WallClock:
    """
    Wall time as a steady clock plus the median offset of the system clock.

    The steady clock (``CLOCK_BOOTTIME``) also runs while the machine is
    suspended.
    """

    def __init__(self) -> None:
        """Create with a first sample of the offset."""
        self._offsets: deque[float] = deque(maxlen=_OFFSET_SAMPLES)
        self.sample_offset()

    def sample_offset(self) -> None:
        """Sample the offset; to be called about once per second."""
        self._offsets.append(time.time() - get_boot_time())

    def now(self) -> WallTime:
        """
        Return the wall time.

        :returns: seconds since the Unix epoch.
        """
        return get_boot_time() + median(self._offsets)


def get_boot_time() -> Seconds:
    """
    Return the time since the machine was started.

    :returns: seconds; the time for which it was suspended counts.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def get_total_suspended_s() -> Seconds:
    """
    Return how long the machine has been suspended since its start.

    :returns: seconds, which the monotonic clock does not count.
    """
    return get_boot_time() - time.monotonic()

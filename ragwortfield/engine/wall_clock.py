"""Wall time that does not follow jumps of the clock."""

import time
from collections import deque
from statistics import median

from ragwortfield.types import WallTime

#: Readings that the offset is taken from, one a second.
_OFFSET_SAMPLES = 31


class WallClock:
    """
    Wall time from a steady clock and the usual offset between the two.

    The steady clock counts the time for which the machine was suspended.
    """

    def __init__(self) -> None:
        """Create with the offset of this moment."""
        self._offsets: deque[float] = deque(maxlen=_OFFSET_SAMPLES)
        self.observe()

    def observe(self) -> None:
        """Take a reading of the offset; to be called about once a second."""
        self._offsets.append(time.time() - _steady())

    def now(self) -> WallTime:
        """
        Give the wall time.

        :returns: seconds since the Unix epoch.
        """
        return _steady() + median(self._offsets)


def _steady() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)

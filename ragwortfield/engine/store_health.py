"""Tracking of whether the store is reachable from this instance."""

import time

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.types import MonotonicTime, Seconds

#: Consecutive failures after which the store counts as unavailable.
_FAILURE_THRESHOLD = 2


class StoreHealth:
    """Outcomes of the latest calls to the store, shared by all loops."""

    def __init__(self) -> None:
        """Create; the store counts as available until calls fail."""
        self._failures = 0
        self._failing_since: MonotonicTime = 0

    def record_outcome(self, failure: Unavailable | None) -> None:
        """
        Record the outcome of a call.

        :param failure: why it failed; ``None`` when it succeeded.
        """
        if failure is None:
            if self.is_unavailable():
                event('store_back', away_s=self.outage_s())
            self._failures = 0
            self._failing_since = 0
            return
        if not self._failures:
            self._failing_since = time.monotonic()
        self._failures += 1
        if self._failures == _FAILURE_THRESHOLD:
            event('store_away', reason=failure.reason)

    def is_unavailable(self) -> bool:
        """
        Tell whether the store counts as unavailable.

        :returns: whether enough of the latest calls have failed in a row.
        """
        return self._failures >= _FAILURE_THRESHOLD

    def outage_s(self) -> Seconds:
        """
        Return how long calls have been failing.

        :returns: seconds; 0 when the latest call succeeded.
        """
        if not self._failures:
            return 0
        return time.monotonic() - self._failing_since

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
        self._last_failed_at: MonotonicTime = 0

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
        self._last_failed_at = time.monotonic()
        if not self._failures:
            self._failing_since = self._last_failed_at
        self._failures += 1
        if self._failures == _FAILURE_THRESHOLD:
            event('store_away', reason=failure.reason)

    def is_unavailable(self) -> bool:
        """
        Tell whether the store counts as unavailable.

        :returns: whether enough of the latest calls have failed in a row.
        """
        return self._failures >= _FAILURE_THRESHOLD

    def has_failed_within(self, period_s: Seconds) -> bool:
        """
        Tell whether a call has failed lately, or none succeeded since.

        :param period_s: how far to look back, in seconds.
        :returns: whether the store may be away for all instances, or may just
            have come back.
        """
        if self._failures:
            return True
        is_known = self._last_failed_at > 0
        return is_known and time.monotonic() - self._last_failed_at < period_s

    def outage_s(self) -> Seconds:
        """
        Return how long calls have been failing.

        :returns: seconds; 0 when the latest call succeeded.
        """
        if not self._failures:
            return 0
        return time.monotonic() - self._failing_since

"""Whether the store answers this instance."""

import time

from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.types import MonotonicTime, Seconds

#: Failures in a row after which the store counts as away.
_FAILURES = 2


class StoreHealth:
    """Outcomes of the latest calls to the store, from all loops."""

    def __init__(self) -> None:
        """Create; the store counts as present until calls fail."""
        self._failures = 0
        self._failing_since: MonotonicTime = 0

    def record_outcome(self, failure: Unavailable | None) -> None:
        """
        Note the outcome of a call.

        :param failure: why it failed; ``None`` when it succeeded.
        """
        if failure is None:
            if self.is_unavailable():
                event('store_back', away_s=self.away_s())
            self._failures = 0
            self._failing_since = 0
            return
        if not self._failures:
            self._failing_since = time.monotonic()
        self._failures += 1
        if self._failures == _FAILURES:
            event('store_away', reason=failure.reason)

    def is_unavailable(self) -> bool:
        """
        Tell whether the store does not answer this instance.

        :returns: whether the latest calls have failed.
        """
        return self._failures >= _FAILURES

    def away_s(self) -> Seconds:
        """
        Tell for how long calls have failed.

        :returns: seconds; 0 when the latest call succeeded.
        """
        if not self._failures:
            return 0
        return time.monotonic() - self._failing_since

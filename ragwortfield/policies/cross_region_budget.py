"""Budget for traffic between regions, which is billed by volume."""

from ragwortfield.types import MonotonicTime, Seconds

#: Burst allowance, in seconds of the budget.
_BURST_S: Seconds = 2.0


class CrossRegionBudget:
    """
    Leaky bucket for the share of the budget that one instance may use.

    Traffic is charged after it has been sent, so the budget may be overdrawn;
    nothing more may be sent until enough of the debt has drained.
    """

    def __init__(self) -> None:
        """Create an unused budget."""
        self.charged_bytes = 0
        self._undrained_bytes: float = 0
        self._drained_at: MonotonicTime | None = None

    def is_within_budget(self, bytes_per_s: float, now: MonotonicTime) -> bool:
        """
        Return whether anything may be sent now.

        :param bytes_per_s: this instance's share of the budget.
        :param now: monotonic time, in seconds.
        :returns: whether less than the burst allowance is undrained.
        """
        self._drain(bytes_per_s, now)
        return self._undrained_bytes < bytes_per_s * _BURST_S

    def charge(self, transferred_bytes: int) -> None:
        """
        Charge traffic to the budget.

        :param transferred_bytes: bytes sent and received.
        """
        self.charged_bytes += transferred_bytes
        self._undrained_bytes += transferred_bytes

    def _drain(self, bytes_per_s: float, now: MonotonicTime) -> None:
        if self._drained_at is not None:
            drained_bytes = (now - self._drained_at) * bytes_per_s
            self._undrained_bytes = max(
                self._undrained_bytes - drained_bytes, 0
            )
        self._drained_at = now

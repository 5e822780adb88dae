"""Budget of bytes over the link between regions, which is paid by volume."""

from ragwortfield.types import MonotonicTime, Seconds

#: Seconds of the budget that may be spent at once.
_BURST_S: Seconds = 2.0


class CrossRegionBudget:
    """
    Budget of one instance: its seats' part of the deployment's budget.

    What has been sent is charged afterwards, so the budget may go below zero;
    nothing more is allowed until it has recovered.
    """

    def __init__(self) -> None:
        """Create a full budget."""
        self.charged_bytes = 0
        self._owed_bytes: float = 0
        self._changed_at: MonotonicTime | None = None

    def is_within_budget(self, bytes_per_s: float, now: MonotonicTime) -> bool:
        """
        Tell whether anything may be sent.

        :param bytes_per_s: this instance's part of the budget.
        :param now: reading of the monotonic clock.
        :returns: whether the budget is above zero.
        """
        self._recover(bytes_per_s, now)
        return self._owed_bytes < bytes_per_s * _BURST_S

    def charge(self, sent_bytes: int) -> None:
        """
        Charge what was sent and received.

        :param sent_bytes: bytes in both directions.
        """
        self.charged_bytes += sent_bytes
        self._owed_bytes += sent_bytes

    def _recover(self, bytes_per_s: float, now: MonotonicTime) -> None:
        if self._changed_at is not None:
            recovered = (now - self._changed_at) * bytes_per_s
            self._owed_bytes = max(self._owed_bytes - recovered, 0)
        self._changed_at = now

"""Durations and limits that the decisions on jobs and workers keep to."""

from dataclasses import dataclass

from ragwortfield.types import Seconds

#: Part of its rate by which a worker's clock may be slow (users' pages).
MAX_CLOCK_DRIFT = 0.02
#: Milliseconds in a second.
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class TimingBounds:
    """
    Durations in seconds, from the settings of the instance.

    :param lease_s: lease that is asked of workers; the longest one where
        that is shorter.
    :param longest_lease_ms: lease to which workers shorten a longer one, in
        milliseconds, as the platform states it.
    :param start_window_s: time in which a start order must be carried out.
    :param contact_s: silence after which a worker gets no new runs.
    :param status_s: time for which a finished job stays known.
    :param unaware_s: longest time for which a replaced owner may still
        extend leases, not knowing that it was replaced.
    """

    lease_s: Seconds = 4
    longest_lease_ms: float = 10_000
    start_window_s: Seconds = 2
    contact_s: Seconds = 1.2
    status_s: Seconds = 120
    unaware_s: Seconds = 5

    def longest_lease_s(self) -> Seconds:
        """
        Give the lease to which workers shorten a longer one.

        :returns: seconds.
        """
        return self.longest_lease_ms / MS_PER_S

    def requested_lease_s(self) -> Seconds:
        """
        Give the lease that owners ask of workers.

        :returns: seconds; never more than workers grant.
        """
        return min(self.lease_s, self.longest_lease_s())

"""Durations and limits that govern scheduling, with their defaults."""

from dataclasses import dataclass

from ragwortfield.types import Seconds

#: Largest fraction by which a worker's clock may run slow, as the users'
#: documentation allows.
MAX_CLOCK_DRIFT = 0.02
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class TimingBounds:
    """
    Durations and limits from the settings of the instance.

    :param lease_s: lease that owners request from workers, in seconds; capped
        by ``longest_lease_ms``.
    :param longest_lease_ms: longest lease that workers grant, in milliseconds,
        as the platform states it; workers shorten a longer one to this.
    :param start_window_s: seconds within which a start order must be carried
        out.
    :param contact_s: silence, in seconds, after which a worker gets no new
        runs.
    :param status_s: seconds for which the status of a finished job stays
        available.
    :param unaware_s: longest time, in seconds, for which a replaced owner may
        still extend leases and start runs because it does not know of its
        replacement. It does neither later than that after its ownership was
        last confirmed; see ``OwnershipConfirmation``.
    :param longest_outage_s: longest time, in seconds, for which an owner goes
        on without the store, confirmed by its workers alone. Its successor
        waits for that time if it reaches too few of these workers.
    :param inbox_age_s: longest time, in seconds, since which cancellations may
        be unknown when a start is ordered. An owner that learns of them later
        holds its starts back. The platform allows 3 s and more from the
        acknowledgement of a cancellation to the last start.
    :param evacuation_age_s: longest time, in seconds, since which evacuations
        of zones may be unknown when a start is ordered.
    :param evacuate_ms: time from the acknowledgement of an evacuation to the
        last start in the zone that the platform allows, in milliseconds.
    :param late_order_s: longest time, in seconds, after which a worker carries
        out an order that it has received and not answered.
    """

    lease_s: Seconds = 4
    longest_lease_ms: float = 10_000
    start_window_s: Seconds = 2
    contact_s: Seconds = 1.2
    status_s: Seconds = 120
    unaware_s: Seconds = 3.5
    longest_outage_s: Seconds = 3600
    inbox_age_s: Seconds = 1.8
    evacuation_age_s: Seconds = 1.8
    evacuate_ms: float = 5000
    late_order_s: Seconds = 15

    def longest_lease_s(self) -> Seconds:
        """Return the longest lease that workers grant, in seconds."""
        return self.longest_lease_ms / MS_PER_S

    def retention_s(self) -> Seconds:
        """
        Return how long the rows of a finished job are kept.

        :returns: seconds from its end; more than its status has to stay
            available, because the instances' clocks and feeds lag.
        """
        return self.status_s * 2

    def longest_order_effect_s(self) -> Seconds:
        """
        Return how long a start order may have an effect in a restarted worker.

        Such a worker reads the deadline of the order on its new clock, which is
        behind the old one, and shortens it to the longest lease.

        :returns: seconds from the end of the call.
        """
        longest_lease_s = self.longest_lease_s() / (1 - MAX_CLOCK_DRIFT)
        return longest_lease_s + self.start_window_s

    def longest_evacuation_age_s(self) -> Seconds:
        """
        Return since when evacuations may be unknown when a start is ordered.

        :returns: seconds; short enough for the start to take effect within
            ``evacuate_ms``.
        """
        longest_start_s = self.start_window_s / (1 - MAX_CLOCK_DRIFT)
        return min(
            self.evacuation_age_s,
            self.evacuate_ms / MS_PER_S - longest_start_s,
        )

    def requested_lease_s(self) -> Seconds:
        """
        Return the lease that owners request from workers.

        :returns: seconds; never more than workers grant.
        """
        return min(self.lease_s, self.longest_lease_s())

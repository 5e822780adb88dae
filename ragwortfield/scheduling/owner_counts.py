"""Counts of events about owners of shards, since the start of the process."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class OwnerCounts:
    """
    Counts of one instance over all shards and terms in which it owned one.

    :param lapses_after_report: leases that lapsed on workers that had reported
        to this owner.
    :param lapses_without_report: leases that lapsed on workers that had not:
        what is known of them comes from earlier owners.
    :param fenced_orders: orders that a worker refused for their epoch.
    :param second_runs: runs that workers reported beside later ones of the
        same tasks.
    :param takeovers: shards that this instance has taken over.
    :param seen_changes: changes of an owner that this instance has seen, its
        own takeovers included.
    """

    lapses_after_report: int = 0
    lapses_without_report: int = 0
    fenced_orders: int = 0
    second_runs: int = 0
    takeovers: int = 0
    seen_changes: int = 0

    def count_lapse(self, *, has_reported: bool) -> None:
        """
        Count a lapsed lease.

        :param has_reported: whether the worker had reported to this owner.
        """
        if has_reported:
            self.lapses_after_report += 1
        else:
            self.lapses_without_report += 1

"""Durations and limits that the decisions on jobs and workers keep to."""

from dataclasses import dataclass

from ragwortfield.types import Seconds

#: Part of its rate by which a worker's clock may be slow (users' pages).
CLOCK_DRIFT = 0.02
#: Milliseconds in a second.
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """
    Durations in seconds, from the settings of the instance.

    :param lease_s: lease that is asked of workers.
    :param longest_lease_s: lease to which workers shorten a longer one.
    :param start_window_s: time in which a start order must be carried out.
    :param contact_s: silence after which a worker gets no new runs.
    :param stop_s: time in which a worker ends a stopped run.
    :param gang_s: time that members of a gang wait for each other.
    :param status_s: time for which a finished job stays known.
    :param early_s: how much early a timed task may start.
    :param unaware_s: longest time for which a replaced owner may still
        extend leases, not knowing that it was replaced.
    :param restore_s: time that resuming from a checkpoint takes.
    :param distant_factor: slow-down of a task away from its data.
    :param pace_s: delay after which a new pace has its effect.
    :param harm_s: time for which a target may be missed on end.
    :param notice_s: time after which a missing task counts as unavailable.
    """

    lease_s: Seconds = 4
    longest_lease_s: Seconds = 10
    start_window_s: Seconds = 2
    contact_s: Seconds = 1.2
    stop_s: Seconds = 0.2
    gang_s: Seconds = 3
    status_s: Seconds = 120
    early_s: Seconds = 0.25
    unaware_s: Seconds = 5
    restore_s: Seconds = 0.6
    distant_factor: float = 1.5
    pace_s: Seconds = 0.1
    harm_s: Seconds = 4
    notice_s: Seconds = 4.5

"""How well an owner keeps up with its workers, for the log and metrics."""

from dataclasses import dataclass, field

from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds


@dataclass(kw_only=True, slots=True)
class OwnerStatistics:
    """
    Slowest moments of an owner since they were last told.

    :param longest_round_s: longest round of decisions, in seconds.
    :param longest_lag_s: longest time by which the pause after a round was
        exceeded, because other work of the process came first, in seconds.
    :param longest_gap_s: longest time between two reports of one worker, in
        seconds.
    :param shortest_lease_left_s: shortest time that a worker with tasks had left when
        its lease was extended, in seconds; ``None`` when none was.
    :param failed_looks: looks at workers that got no report.
    :param last_collected: amounts by name, as they were last told.
    """

    longest_round_s: Seconds = 0
    longest_lag_s: Seconds = 0
    longest_gap_s: Seconds = 0
    shortest_lease_left_s: Seconds | None = None
    failed_looks: int = 0
    last_collected: dict[str, float] = field(default_factory=dict)

    def record_round(self, duration_s: Seconds) -> None:
        """
        Note a round of decisions.

        :param duration_s: how long it took, in seconds.
        """
        self.longest_round_s = max(self.longest_round_s, duration_s)

    def record_lag(self, lag_s: Seconds) -> None:
        """
        Note by how much a pause was exceeded.

        :param lag_s: time beyond the pause, in seconds.
        """
        self.longest_lag_s = max(self.longest_lag_s, lag_s)

    def record_report(
        self,
        worker: WorkerState,
        now: MonotonicTime,
        *,
        lease_end_ms: float,
        clock_ms: int,
    ) -> None:
        """
        Note a report that is about to be taken in.

        :param worker: the worker, as it was before the report.
        :param now: reading of the monotonic clock.
        :param lease_end_ms: end of its lease before the look extended it, by
            its own clock.
        :param clock_ms: its clock as reported.
        """
        if not worker.first_reported_at:
            return
        self.longest_gap_s = max(self.longest_gap_s, now - worker.reported_at)
        if not worker.run_by_key or not lease_end_ms:
            return
        left_s = (lease_end_ms - clock_ms) / MS_PER_S
        if (
            self.shortest_lease_left_s is None
            or left_s < self.shortest_lease_left_s
        ):
            self.shortest_lease_left_s = left_s

    def record_failed_poll(self) -> None:
        """Note a look at a worker that got no report."""
        self.failed_looks += 1

    def collect(self) -> dict[str, float]:
        """
        Give the amounts and begin anew.

        :returns: amounts by name; ``lease_left_s`` only where a lease was
            extended.
        """
        self.last_collected = {
            'round_s': self.longest_round_s,
            'lag_s': self.longest_lag_s,
            'look_gap_s': self.longest_gap_s,
            'failed_looks': self.failed_looks,
        }
        if self.shortest_lease_left_s is not None:
            self.last_collected['lease_left_s'] = self.shortest_lease_left_s
        self.longest_round_s = 0
        self.longest_lag_s = 0
        self.longest_gap_s = 0
        self.shortest_lease_left_s = None
        self.failed_looks = 0
        return self.last_collected

"""Worst-case timings of a shard owner, for the log and the metrics."""

from dataclasses import dataclass, field

from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds


@dataclass(kw_only=True, slots=True)
class OwnerStatistics:
    """
    Worst-case timings of a shard owner since they were last collected.

    :param longest_round_s: longest scheduling round, in seconds.
    :param longest_lag_s: longest overrun of the pause after a round, because
        other greenlets of the process ran first, in seconds.
    :param longest_gap_s: longest time between two reports of one worker, in
        seconds.
    :param shortest_remaining_lease_s: shortest remaining lease of a worker with
        tasks when it was renewed, in seconds; ``None`` when none was.
    :param longest_miss_s: longest time for which a serving task missed its
        target beside fillers, in seconds.
    :param failed_poll_count: polls of workers that got no report.
    :param last_collected: values by name from the last ``collect``.
    """

    longest_round_s: Seconds = 0
    longest_lag_s: Seconds = 0
    longest_gap_s: Seconds = 0
    shortest_remaining_lease_s: Seconds | None = None
    longest_miss_s: Seconds = 0
    failed_poll_count: int = 0
    last_collected: dict[str, float] = field(default_factory=dict)

    def record_round(self, duration_s: Seconds) -> None:
        """
        Record the duration of a scheduling round.

        :param duration_s: duration in seconds.
        """
        self.longest_round_s = max(self.longest_round_s, duration_s)

    def record_lag(self, lag_s: Seconds) -> None:
        """
        Record the overrun of a pause.

        :param lag_s: time beyond the intended pause, in seconds.
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
        Record a report before it is applied.

        :param worker: the worker's state before the report.
        :param now: monotonic time, in seconds.
        :param lease_end_ms: end of its lease before this renewal, in
            milliseconds of the worker's clock; 0 when it had none.
        :param clock_ms: the worker's clock as reported, in milliseconds.
        """
        if not worker.first_reported_at:
            return
        self.longest_gap_s = max(self.longest_gap_s, now - worker.reported_at)
        if not worker.run_by_key or not lease_end_ms:
            return
        remaining_s = (lease_end_ms - clock_ms) / MS_PER_S
        if (
            self.shortest_remaining_lease_s is None
            or remaining_s < self.shortest_remaining_lease_s
        ):
            self.shortest_remaining_lease_s = remaining_s

    def record_target_miss(self, missed_s: Seconds) -> None:
        """
        Record for how long a serving task has missed its target.

        :param missed_s: time beside fillers that used CPU, in seconds.
        """
        self.longest_miss_s = max(self.longest_miss_s, missed_s)

    def record_failed_poll(self) -> None:
        """Count a poll of a worker that got no report."""
        self.failed_poll_count += 1

    def collect(self) -> dict[str, float]:
        """
        Return the values and reset them.

        :returns: values by name; ``lease_left_s`` only if a lease was renewed.
        """
        self.last_collected = {
            'round_s': self.longest_round_s,
            'lag_s': self.longest_lag_s,
            'look_gap_s': self.longest_gap_s,
            'missed_s': self.longest_miss_s,
            'failed_looks': self.failed_poll_count,
        }
        if self.shortest_remaining_lease_s is not None:
            self.last_collected['lease_left_s'] = (
                self.shortest_remaining_lease_s
            )
        self.longest_round_s = 0
        self.longest_lag_s = 0
        self.longest_gap_s = 0
        self.longest_miss_s = 0
        self.shortest_remaining_lease_s = None
        self.failed_poll_count = 0
        return self.last_collected

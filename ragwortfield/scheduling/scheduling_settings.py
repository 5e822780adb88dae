"""Settings of the scheduling decisions, with their defaults."""

from dataclasses import dataclass

from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.types import Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulingSettings:
    """
    Settings of the decisions that may differ between deployments.

    :param is_duration_learned: whether durations of tasks are learned from
        their runs; otherwise the declared ones are believed.
    :param is_overload_planned: whether jobs that cannot all be done in time are
        divided into those to be served in time and those to be deferred.
    :param is_admission_controlled: whether new jobs are refused before they are
        accepted while even a late end is out of reach.
    :param longest_evacuated_run_s: remaining time of a checkpointed task from
        which on it leaves an evacuated zone instead of running to its end
        there, in seconds.
    :param longest_retry_after_s: longest time that a refused caller is told to
        wait, in seconds.
    :param uncovered_filler_margin: share of the full margin that the
        interference of fillers gets until a reading covers them. More keeps
        serving tasks within their targets, at the cost of filler jobs.
    :param is_straggler_restarted: whether a task that runs far slower than the
        others of its step is stopped and started on another worker.
    :param is_straggler_copied: whether such a task of a speculative step gets a
        second run on another worker instead.
    :param max_straggler_actions: most of both in a round, for each 24 workers
        of the shard.
    :param copy_share: largest share of the CPU and of the memory of a pool that
        second runs may use.
    :param stop_ms: longest time that a worker takes to stop a run, in
        milliseconds.
    :param restore_ms: time that a run needs to resume from a checkpoint, in
        milliseconds.
    :param is_worker_speed_learned: whether the speed of workers is learned from
        their runs; otherwise all count as equally fast.
    :param slow_worker_speed: share of full speed below which a worker counts as
        slow. Objectives are 1.5 to 2 times the critical path, so that a job
        misses its objective at half of the speed.
    :param remote_duration_factor: duration of a task away from its data, or of
        the tasks of a ``same_rack`` step on several racks, as a multiple of
        that in its place; with 1, no task waits for a rack.
    """

    is_duration_learned: bool = True
    is_overload_planned: bool = True
    is_admission_controlled: bool = True
    longest_retry_after_s: Seconds = 30
    # Twice the time that the platform leaves for the last starts in the zone:
    # the zone is empty of tasks that can move soon after that.
    longest_evacuated_run_s: Seconds = 10
    # On a small pool, the full margin cost a fifth of the filler jobs in time.
    uncovered_filler_margin: float = 0
    is_straggler_restarted: bool = True
    is_straggler_copied: bool = True
    max_straggler_actions: int = 2
    copy_share: float = 0.05
    stop_ms: float = 1000
    restore_ms: float = 250
    is_worker_speed_learned: bool = True
    slow_worker_speed: float = 0.5
    remote_duration_factor: float = 1

    def scale_margin(self, factor: float) -> float:
        """Return a factor on the interference of an uncovered filler."""
        return 1 + self.uncovered_filler_margin * (factor - 1)

    def stop_s(self) -> Seconds:
        """Return the longest time that a stop takes, in seconds."""
        return self.stop_ms / MS_PER_S

    def restore_s(self) -> Seconds:
        """Return the time to resume from a checkpoint, in seconds."""
        return self.restore_ms / MS_PER_S


#: Lowest and highest value allowed for each numeric setting.
BOUNDS_BY_SETTING: dict[str, tuple[float, float]] = {
    'longest_retry_after_s': (1, 300),
    'longest_evacuated_run_s': (0, 3600),
    'uncovered_filler_margin': (0, 1),
    'max_straggler_actions': (1, 100),
    'copy_share': (0, 0.5),
    'stop_ms': (0, 60_000),
    'restore_ms': (0, 60_000),
    'slow_worker_speed': (0.05, 0.9),
    'remote_duration_factor': (1, 20),
}


def find_setting_problems(settings: SchedulingSettings) -> list[str]:
    """
    Find values that are out of bounds.

    :param settings: the settings.
    :returns: one message each, with the value and what was expected.
    """
    problems = []
    for key, (lowest, highest) in BOUNDS_BY_SETTING.items():
        amount = getattr(settings, key)
        if not lowest <= amount <= highest:
            problems.append(
                f"key 'scheduling.{key}' is {amount}, "
                f'expected {lowest} to {highest}'
            )
    return problems

"""Settings of the scheduling decisions, with their defaults."""

from dataclasses import dataclass

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
    """

    is_duration_learned: bool = True
    is_overload_planned: bool = True
    is_admission_controlled: bool = True
    longest_retry_after_s: Seconds = 30
    # Twice the time that the platform leaves for the last starts in the zone:
    # the zone is empty of tasks that can move soon after that.
    longest_evacuated_run_s: Seconds = 10


#: Lowest and highest value allowed for each numeric setting.
BOUNDS_BY_SETTING: dict[str, tuple[float, float]] = {
    'longest_retry_after_s': (1, 300),
    'longest_evacuated_run_s': (0, 3600),
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

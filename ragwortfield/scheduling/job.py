"""Jobs as callers submit them."""

from dataclasses import dataclass, field
from typing import NamedTuple

from ragwortfield.core.resources import Resources
from ragwortfield.types import JobId, Seconds, WallTime


class TaskKey(NamedTuple):
    """
    Identity of one task.

    :param job_id: the job.
    :param occurrence: number of the repetition; 0 for a job that runs once.
    :param step: number of the step.
    :param index: index of the task within its step.
    """

    job_id: JobId
    occurrence: int
    step: int
    index: int

    def text(self) -> str:
        """
        Format the identity of the task for the log.

        :returns: job, occurrence, step and index, joined by dots.
        """
        return '.'.join(str(part) for part in self)


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """
    Group of identical tasks.

    :param count: number of tasks.
    :param need: resources that each task requires.
    :param estimate_s: rough duration of a task, in seconds.
    :param after: numbers of the steps that must be done first.
    :param is_checkpointed: whether a stopped task can resume from a checkpoint.
    :param is_gang: whether the tasks must all run at the same time.
    :param is_same_rack: whether the tasks slow down when spread over racks.
    :param required_label: label that the worker must have; empty for any.
    :param data_rack: rack that holds the data, where the tasks run fastest.
    :param per_worker_limit: most tasks on one worker; 0 for no limit.
    :param is_speculative: whether several copies of a task may run at once.
    :param is_long_lived: whether the tasks run until the job is cancelled.
    :param image: software that the tasks run; tasks of one image are assumed
        to behave alike.
    :param latency_target_ms: target of the tail latency, in milliseconds, for
        tasks that serve requests; 0 for other tasks.
    :param is_filler: whether the tasks use only CPU that others leave idle.
    :param max_unavailable: most long-lived tasks that the scheduler itself may
        take down at once; ``None`` for no limit.
    """

    count: int
    need: Resources = field(default_factory=Resources)
    estimate_s: Seconds = 0
    after: tuple[int, ...] = ()
    is_checkpointed: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    per_worker_limit: int = 0
    is_speculative: bool = False
    is_long_lived: bool = False
    image: str = ''
    latency_target_ms: float = 0
    is_filler: bool = False
    max_unavailable: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """
    Job as it was accepted.

    :param queue: name of the queue that accepted it.
    :param spec: text that is passed to every task.
    :param accepted_at: wall-clock time of the acceptance.
    :param repeat_count: number of repetitions; 0 for a job that runs once.
    :param first_due_at: wall-clock time at which repetition 0 is due.
    :param interval_s: time between repetitions, in seconds.
    """

    job_id: JobId
    queue: str
    spec: str
    steps: tuple[Step, ...]
    accepted_at: WallTime
    repeat_count: int = 0
    first_due_at: WallTime = 0
    interval_s: Seconds = 0

    def due_at(self, occurrence: int) -> WallTime:
        """
        Return the earliest start of a repetition.

        :param occurrence: its number.
        :returns: wall-clock time; 0 for a job that runs once.
        """
        if not self.repeat_count:
            return 0
        return self.first_due_at + occurrence * self.interval_s


def depends_on_earlier_steps(number: int, after: tuple[int, ...]) -> bool:
    """
    Return whether a step depends on earlier steps of its job only.

    :param number: number of the step.
    :param after: numbers of the steps that it depends on.
    """
    return all(0 <= earlier < number for earlier in after)


def compute_critical_paths(
    steps: tuple[Step, ...], duration_s_by_step: tuple[Seconds, ...]
) -> tuple[Seconds, ...]:
    """
    Compute the critical path from each step to the end of the job.

    :param steps: steps; each names only earlier ones in ``after``.
    :param duration_s_by_step: duration of a task of each step, in seconds.
    :returns: sum of the durations along the longest path, in seconds, by
        number of the step and including the step itself.
    """
    longest_after_s: dict[int, Seconds] = {}
    critical_path_s: list[Seconds] = []
    for number in range(len(steps) - 1, -1, -1):
        path_s = duration_s_by_step[number] + longest_after_s.get(number, 0)
        critical_path_s.append(path_s)
        for earlier in steps[number].after:
            longest_after_s[earlier] = max(
                longest_after_s.get(earlier, 0), path_s
            )
    return tuple(reversed(critical_path_s))

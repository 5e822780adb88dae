"""Jobs as their owners submit them."""

from dataclasses import dataclass, field
from typing import NamedTuple

from ragwortfield.core.resources import Resources
from ragwortfield.types import JobId, Seconds, WallTime


class TaskKey(NamedTuple):
    """
    Identity of one task.

    :param occurrence: number of the repetition; 0 for a job without any.
    """

    job_id: JobId
    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """
    Group of like tasks.

    :param count: number of tasks.
    :param need: what each task asks of its worker.
    :param estimate_s: rough duration of a task, in seconds.
    :param after: numbers of the steps that must be done first.
    :param is_checkpointed: whether a stopped task can resume.
    :param is_gang: whether the tasks work only all together.
    :param is_same_rack: whether the tasks are slow on several racks.
    :param required_label: label the worker must have; empty for any.
    :param data_rack: rack on which the tasks run fastest.
    :param per_worker_limit: most tasks on one worker; 0 for no limit.
    :param is_speculative: whether several copies may run at once.
    :param is_long_lived: whether the tasks run until the job is cancelled.
    :param image: what the tasks run; alike images behave alike.
    :param latency_target_ms: bound of the tail latency that the tasks'
        own users see; 0 for none.
    :param is_filler: whether the tasks use processor that others leave.
    :param max_unavailable: long-lived tasks that may be away at once
        through the scheduler's own doing; ``None`` for no bound.
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

    :param queue: name of the queue that took it.
    :param spec: text handed to every task.
    :param accepted_at: when it was accepted, by the wall clock.
    :param repeat_count: number of repetitions; 0 for a plain job.
    :param first_due_at: when repetition 0 is due.
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
        Tell when a repetition may start.

        :param occurrence: its number.
        :returns: the wall time; 0 for a plain job.
        """
        if not self.repeat_count:
            return 0
        return self.first_due_at + occurrence * self.interval_s


def critical_path_by_step(steps: tuple[Step, ...]) -> tuple[Seconds, ...]:
    """
    Sum the estimates from each step on, along the longest path.

    :param steps: steps that name only earlier ones in ``after``.
    :returns: seconds, by number of the step.
    """
    critical_path_s_by_step: dict[int, Seconds] = {}
    for number in range(len(steps) - 1, -1, -1):
        after = max(
            (
                critical_path_s_by_step[later]
                for later in range(number + 1, len(steps))
                if number in steps[later].after
            ),
            default=0,
        )
        critical_path_s_by_step[number] = steps[number].estimate_s + after
    return tuple(
        critical_path_s_by_step[number] for number in range(len(steps))
    )

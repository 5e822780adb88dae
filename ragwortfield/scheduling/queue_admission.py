"""Decides which queues take no new jobs, as even a late end is out of reach.

The load that it answers: jobs keep arriving faster than they can be done, for
longer than a burst. Deferring jobs then only lengthens the backlog; its jobs
end when their callers have given up. A caller that is told at once when to come
back loses nothing by it, and the jobs that were accepted before are still of
use.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil
from statistics import median

from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
)
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.types import Seconds

#: Share of the limit below which a closed queue opens again (hysteresis).
_REOPEN_SHARE = 0.8
#: Fewest unfinished jobs of a queue from which its objective is judged.
_MIN_JOBS = 8
_MIN_RETRY_AFTER_S = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Backlog:
    """
    Unfinished jobs that share capacity.

    :param work: their remaining work, in core-seconds.
    :param capacity_cpu: CPU that they get together, in cores.
    """

    work: float
    capacity_cpu: float

    def duration_s(self) -> Seconds:
        """Return the time that the capacity needs for the work, in seconds."""
        return self.work / self.capacity_cpu if self.capacity_cpu else 0


def decide_refusals(
    jobs: Iterable[JobRuntimeState],
    backlog: Backlog,
    closed: Mapping[str, int],
    settings: SchedulingSettings,
) -> dict[str, int]:
    """
    Decide which queues are closed to new jobs, and for how long.

    :param jobs: unfinished jobs of one pool and priority.
    :param backlog: their remaining work.
    :param closed: queues that are closed now.
    :param settings: settings of the decision.
    :returns: by name of each closed queue, whole seconds after which a caller
        may expect the queue to be open again.
    """
    objectives_by_queue: dict[str, list[Seconds]] = {}
    for job in jobs:
        objectives_by_queue.setdefault(job.job.queue, []).append(
            job.objective_s()
        )
    retry_after_s_by_queue: dict[str, int] = {}
    for queue, objectives_s in objectives_by_queue.items():
        limit_s = MAX_LATENESS_FACTOR * median(objectives_s)
        reopen_s = limit_s * _REOPEN_SHARE
        highest_s = reopen_s if queue in closed else limit_s
        is_judged = len(objectives_s) >= _MIN_JOBS
        if is_judged and backlog.duration_s() > highest_s:
            wait_s = ceil(backlog.duration_s() - reopen_s)
            retry_after_s_by_queue[queue] = int(
                min(
                    max(wait_s, _MIN_RETRY_AFTER_S),
                    settings.longest_retry_after_s,
                )
            )
    return retry_after_s_by_queue

"""Runs of tasks as the workers have recorded them."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import pairwise

from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.soak.workers import WorkerHost
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

_ENDINGS = frozenset(('end', 'lost'))


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordedRun:
    """
    Run of a task on a worker.

    :param number: number of the run.
    :param fencing_token: token of the owner that started it.
    :param caller_host: host under which that owner sees others.
    :param noted_at: time at which its end was acknowledged before the lease of
        the worker had expired; infinite if it was not.
    :param ended_at: its end; infinite while it goes on.
    :param how: how it ended; empty while it goes on.
    """

    key: TaskKey
    worker_id: WorkerId
    number: int
    fencing_token: int
    caller_host: str
    started_at: MonotonicTime
    ended_at: MonotonicTime = math.inf
    how: str = ''
    noted_at: MonotonicTime = math.inf

    def text(self, since: MonotonicTime) -> str:
        """
        Describe the run in one line.

        :param since: time from which times are counted.
        :returns: number, worker, token, times in seconds and end.
        """
        times = ' to '.join(
            f'{at - since:.2f}'
            for at in (self.started_at, self.ended_at, self.noted_at)
        )
        return (
            f'run {self.number} on {self.worker_id} under {self.fencing_token} '
            f'from {times} {self.how}'
        )


def list_runs(hosts: Iterable[WorkerHost]) -> dict[TaskKey, list[RecordedRun]]:
    """
    List the runs of all tasks.

    :param hosts: all workers.
    :returns: the runs of each task in the order of their starts.
    """
    runs_by_key: dict[TaskKey, list[RecordedRun]] = defaultdict(list)
    for host in hosts:
        for run in _list_runs_of_worker(host):
            runs_by_key[run.key].append(run)
    for runs in runs_by_key.values():
        runs.sort(key=lambda run: run.started_at)
    return runs_by_key


def list_overlaps(
    hosts: Iterable[WorkerHost],
) -> list[tuple[RecordedRun, RecordedRun]]:
    """
    List runs of one task that went on at the same time.

    :param hosts: all workers.
    :returns: the earlier and the later run of each case.
    """
    overlaps = []
    for runs in list_runs(hosts).values():
        latest = runs[0]
        for run in runs[1:]:
            if run.started_at < latest.ended_at:
                overlaps.append((latest, run))
            latest = max(latest, run, key=lambda known: known.ended_at)
    return overlaps


def count_ends(hosts: Iterable[WorkerHost]) -> Counter[str]:
    """
    Count the ends of runs.

    :param hosts: all workers.
    :returns: number of runs by how they ended.
    """
    return Counter(
        run.how for runs in list_runs(hosts).values() for run in runs
    )


def find_least_gaps(hosts: Iterable[WorkerHost]) -> dict[str, Seconds]:
    """
    Find the shortest times from the end of a run to the next of its task.

    :param hosts: all workers.
    :returns: time in seconds, by how the earlier run ended.
    """
    gaps_by_how: dict[str, Seconds] = {}
    for runs in list_runs(hosts).values():
        for earlier, later in pairwise(runs):
            gap_s = later.started_at - earlier.ended_at
            least_s = gaps_by_how.get(earlier.how, math.inf)
            gaps_by_how[earlier.how] = min(gap_s, least_s)
    return gaps_by_how


def list_starts_after_end(
    hosts: Iterable[WorkerHost],
) -> list[tuple[RecordedRun, RecordedRun]]:
    """
    List runs that began after another run of their task had ended as done.

    Ends count that were acknowledged, at any time, before the lease of their
    worker had expired.

    :param hosts: all workers.
    :returns: the run that was done and the later one of each case.
    """
    repeats = []
    for runs in list_runs(hosts).values():
        noted = [
            run
            for run in runs
            if run.how == EndKind.DONE and run.noted_at < math.inf
        ]
        if noted:
            first = min(noted, key=lambda run: run.ended_at)
            repeats.extend(
                (first, run) for run in runs if run.started_at > first.ended_at
            )
    return repeats


def _list_runs_of_worker(host: WorkerHost) -> list[RecordedRun]:
    worker = host.worker
    runs: list[RecordedRun] = []
    # A restarted worker may carry out an order for an earlier run again.
    position_by_number: dict[tuple[TaskKey, int], int] = {}
    for kind, at, key, number, detail in worker.history:
        if kind == 'start':
            position_by_number[key, number] = len(runs)
            runs.append(
                RecordedRun(
                    key=key,
                    worker_id=worker.worker_id,
                    number=number,
                    fencing_token=worker.starter_by_run[key, number][0],
                    caller_host=worker.starter_by_run[key, number][1],
                    started_at=at,
                )
            )
        elif kind in _ENDINGS:
            position = position_by_number[key, number]
            runs[position] = replace(
                runs[position], ended_at=at, how=detail or kind
            )
        elif kind == 'noted':
            position = position_by_number[key, number]
            runs[position] = replace(runs[position], noted_at=at)
    return runs

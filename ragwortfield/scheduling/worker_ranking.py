"""Ranks workers for a resource need without looking at all of them each time.

Hundreds of tasks wait, while only a few of hundreds of workers change in each
fraction of a second. Checking every worker for every task would cost more than
running the task. Therefore a need that no worker met is checked again only on
workers that have changed since, and the tasks of one step share a ranking.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import WorkerId

#: Sort key of a worker; a smaller one is better.
Rank = tuple[float, ...]
#: Needs that the same workers can meet: pool, required label, and
#: ``filler IMAGE`` for fillers, empty for others.
NeedGroup = tuple[str, str, str]
RankFunction = Callable[[WorkerState], Rank | None]


class WorkerRanking:
    """
    Priority queue of the workers that meet one need.

    An entry whose worker has changed since is outdated; it is ranked again
    only when it comes first.

    :param workers: workers that may meet the need.
    :param rank: function that returns the rank of a worker, or ``None`` if it
        does not meet the need.
    """

    def __init__(
        self,
        *,
        workers: Iterable[WorkerState],
        rank: RankFunction,
    ) -> None:
        """Rank the workers."""
        self._rank = rank
        self._entries: list[tuple[Rank, WorkerId, int, WorkerState]] = []
        for worker in workers:
            worker_rank = rank(worker)
            if worker_rank is not None:
                self._entries.append(_build_entry(worker_rank, worker))
        heapify(self._entries)

    def is_empty(self) -> bool:
        """
        Tell whether no worker meets the need.

        Outdated entries count as workers that meet it.

        :returns: whether there are no entries.
        """
        return not self._entries

    def find_best(
        self,
        is_admitted: Callable[[WorkerState], bool],
        avoided_workers: Container[WorkerId],
    ) -> WorkerState | None:
        """
        Find the best worker; it keeps its place in the ranking.

        :param is_admitted: tells whether a worker may get the task.
        :param avoided_workers: workers to be used only if there is no other.
        :returns: the worker; ``None`` if none is admitted.
        """
        popped = []
        fallback: WorkerState | None = None
        chosen: WorkerState | None = None
        while self._entries and chosen is None:
            entry = heappop(self._entries)
            worker = entry[-1]
            if entry[2] != worker.change_number:
                self.refresh(worker)
                continue
            popped.append(entry)
            if not is_admitted(worker):
                continue
            if worker.worker_id not in avoided_workers:
                chosen = worker
            elif fallback is None:
                fallback = worker
        for entry in popped:
            heappush(self._entries, entry)
        return chosen or fallback

    def refresh(self, worker: WorkerState) -> None:
        """
        Add a worker with its present rank; its earlier entries are outdated.

        :param worker: worker that has changed.
        """
        worker_rank = self._rank(worker)
        if worker_rank is not None:
            heappush(self._entries, _build_entry(worker_rank, worker))


@dataclass(kw_only=True, slots=True)
class UnmetNeeds:
    """
    Needs that no worker met, each with the last change checked for it.

    A larger need of the same group is then known to be unmet, too.
    """

    unmet_by_group: dict[NeedGroup, list[tuple[Resources, int]]] = field(
        default_factory=dict,
    )

    def find_last_checked_change(
        self, group: NeedGroup, need: Resources
    ) -> int:
        """
        Return the last change that is known to have left a need unmet.

        :param group: group of the need.
        :param need: amounts of resources.
        :returns: number of a change of a worker, -1 if there is none; only
            later changes can have made room.
        """
        return max(
            (
                change
                for known, change in self.unmet_by_group.get(group, ())
                if known.is_within(need)
            ),
            default=-1,
        )

    def mark_unmet(
        self, group: NeedGroup, need: Resources, change: int
    ) -> None:
        """
        Record that no worker meets a need.

        Replaces the needs of the group that are at least as large.

        :param group: group of the need.
        :param need: amounts of resources.
        :param change: number of the last change that was checked.
        """
        known = self.unmet_by_group.get(group, [])
        self.unmet_by_group[group] = [
            entry for entry in known if not need.is_within(entry[0])
        ]
        self.unmet_by_group[group].append((need, change))


def _build_entry(
    rank: Rank,
    worker: WorkerState,
) -> tuple[Rank, WorkerId, int, WorkerState]:
    # Worker identifiers break ties, so that the states are never compared.
    return rank, worker.worker_id, worker.change_number, worker

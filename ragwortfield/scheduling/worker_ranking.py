"""Workers in the order in which they suit a need, kept cheaply.

Pattern: hundreds of tasks wait, and every fraction of a second a few workers
of hundreds change. Looking at every worker for every task costs more than
running the task, so a need that no worker meets is looked at again only on
the workers that have changed since, and the tasks of one step share a ranking.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import WorkerId

#: Order of workers; smaller suits better.
Rank = tuple[float, ...]
#: Needs that compete for the same room: pool, label, image of fillers.
NeedGroup = tuple[str, str, str]
RankFunction = Callable[[WorkerState], Rank | None]


class WorkerRanking:
    """
    Workers that meet one need.

    :param workers: those that may meet it.
    :param rank: rank of a worker; ``None`` where the need is not met.
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
            found = rank(worker)
            if found is not None:
                self._entries.append(_entry(found, worker))
        heapify(self._entries)

    def is_empty(self) -> bool:
        """
        Tell whether no worker meets the need.

        :returns: whether nothing is left.
        """
        return not self._entries

    def find_best(
        self,
        is_admitted: Callable[[WorkerState], bool],
        avoided_workers: Container[WorkerId],
    ) -> WorkerState | None:
        """
        Find the best worker.

        :param is_admitted: whether a worker may get the task.
        :param avoided_workers: workers that come only where no other is left.
        :returns: the worker; ``None`` where none is left.
        """
        passed = []
        fallback: WorkerState | None = None
        chosen: WorkerState | None = None
        while self._entries and chosen is None:
            entry = heappop(self._entries)
            worker = entry[-1]
            if entry[2] != worker.change_number:
                self.refresh(worker)
                continue
            passed.append(entry)
            if not is_admitted(worker):
                continue
            if worker.worker_id not in avoided_workers:
                chosen = worker
            elif fallback is None:
                fallback = worker
        for entry in passed:
            heappush(self._entries, entry)
        return chosen or fallback

    def refresh(self, worker: WorkerState) -> None:
        """
        Rank a worker anew; what was said of it before no longer counts.

        :param worker: the worker.
        """
        found = self._rank(worker)
        if found is not None:
            heappush(self._entries, _entry(found, worker))


@dataclass(kw_only=True, slots=True)
class UnmetNeeds:
    """
    Needs that no worker met, each with the last change that was looked at.

    A larger need of the same group is not met either.
    """

    unmet_by_group: dict[NeedGroup, list[tuple[Resources, int]]] = field(
        default_factory=dict,
    )

    def find_last_checked_change(
        self, group: NeedGroup, need: Resources
    ) -> int:
        """
        Tell which changes may have made room for a need.

        :param group: group of the need.
        :param need: the need.
        :returns: number of a change; only later ones may have.
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
        Note that no worker meets a need.

        :param group: group of the need.
        :param need: the need.
        :param change: last change that was looked at.
        """
        known = self.unmet_by_group.get(group, [])
        self.unmet_by_group[group] = [
            one for one in known if not need.is_within(one[0])
        ]
        self.unmet_by_group[group].append((need, change))


def _entry(
    rank: Rank,
    worker: WorkerState,
) -> tuple[Rank, WorkerId, int, WorkerState]:
    # Names decide between equals, so that rows are never compared.
    return rank, worker.worker_id, worker.change_number, worker

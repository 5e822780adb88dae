"""Queue of requests that wait for a slot: by class, fair between teams."""

import heapq
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ragwortfield.core.configuration import RANK_BY_CLASS
from ragwortfield.core.requests import CallerRequest
from ragwortfield.types import ServiceName, TeamName

_Item = TypeVar('_Item')


@dataclass(order=True, slots=True)
class _QueuedRequest(Generic[_Item]):
    rank: int
    virtual_finish: float
    sequence: int
    item: _Item = field(compare=False)
    is_removed: bool = field(default=False, compare=False)


@dataclass(kw_only=True, slots=True)
class _ServiceQueue(Generic[_Item]):
    entries: list[_QueuedRequest[_Item]] = field(default_factory=list)
    size: int = 0
    virtual_time: float = 0
    virtual_finish_by_team: dict[TeamName, float] = field(default_factory=dict)


class RequestQueue(Generic[_Item]):
    """
    Waiting requests of one instance, with one queue per service.

    More urgent classes are served first. Within a class, weighted fair queueing
    by virtual finish times makes a team with many requests wait for its own
    requests instead of delaying those of other teams.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queue_by_service: dict[ServiceName, _ServiceQueue[_Item]] = {}
        self._entry_by_sequence: dict[int, _QueuedRequest[_Item]] = {}
        self._sequence = 0

    def push(
        self,
        request: CallerRequest,
        item: _Item,
        weight: float,
    ) -> int:
        """
        Add a request.

        :param item: object that ``pop`` returns for the request.
        :param weight: weight of the team; values below 1 count as 1.
        :returns: sequence number, which ``remove`` accepts.
        """
        queue = self._queue_by_service.setdefault(
            request.service,
            _ServiceQueue(),
        )
        virtual_start = max(
            queue.virtual_time,
            queue.virtual_finish_by_team.get(request.team, 0),
        )
        virtual_finish = virtual_start + 1 / max(weight, 1)
        queue.virtual_finish_by_team[request.team] = virtual_finish
        self._sequence += 1
        entry = _QueuedRequest(
            rank=RANK_BY_CLASS[request.request_class],
            virtual_finish=virtual_finish,
            sequence=self._sequence,
            item=item,
        )
        heapq.heappush(queue.entries, entry)
        queue.size += 1
        self._entry_by_sequence[entry.sequence] = entry
        return entry.sequence

    def pop(self, service: ServiceName) -> _Item | None:
        """
        Remove the request that is to be served next.

        :returns: its item; ``None`` if no request is waiting.
        """
        queue = self._queue_by_service.get(service)
        if queue is None:
            return None
        while queue.entries:
            entry = heapq.heappop(queue.entries)
            if entry.is_removed:
                continue
            queue.size -= 1
            queue.virtual_time = max(queue.virtual_time, entry.virtual_finish)
            del self._entry_by_sequence[entry.sequence]
            return entry.item
        queue.virtual_finish_by_team.clear()
        return None

    def remove(self, service: ServiceName, sequence: int) -> None:
        """
        Remove a request that no longer waits; ignore one that was served.

        :param sequence: sequence number that ``push`` returned.
        """
        entry = self._entry_by_sequence.pop(sequence, None)
        if entry is not None:
            entry.is_removed = True
            self._queue_by_service[service].size -= 1

    def size(self, service: ServiceName) -> int:
        """Count the requests that wait for a service."""
        queue = self._queue_by_service.get(service)
        return 0 if queue is None else queue.size

    def services(self) -> tuple[ServiceName, ...]:
        """List the services for which requests are waiting."""
        return tuple(
            name for name, queue in self._queue_by_service.items() if queue.size
        )

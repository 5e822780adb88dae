"""Making room for wide tasks that need processor of their own.

Pattern: tasks with users of their own leave pieces of free processor on many
workers, each too small for an urgent task of several cores, though together
they are room enough. The same befalls tasks with users whose step may have
only a few of them on one worker. Where a few serving tasks fit into pieces
elsewhere, they are stopped and start there, so that one worker has room. That
costs their users a moment; the wide task would wait until one of them leaves.
"""

from bisect import bisect_left
from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from ragwortfield.log import event
from ragwortfield.scheduling.disruption_budget import (
    is_serving,
    select_disruptable_tasks,
)
from ragwortfield.scheduling.job_state import StepState, TaskState
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.scheduling.task_lifecycle import request_stop, format_task_key
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    fits,
    is_placement_allowed,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Time between two rounds, in seconds: a stop takes effect by then.
_ROUND_S: Seconds = 0.5
#: Time for which a cleared worker gets no other serving tasks, in seconds.
_CLEARING_S: Seconds = 2
#: Most tasks that leave one worker for a wide one.
_MOST_LEAVING = 3
#: Workers for each of which one worker is cleared in a round.
_WORKERS_A_CLEARANCE = 24
#: Workers, those with most room first, and pieces that are tried for a step.
_WORKERS_TRIED = 32
_PIECES_TRIED = 8
#: Steps, the most urgent first, for which room is looked for in a round.
_STEPS_A_ROUND = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class _Clearance:
    """Serving tasks that would leave a worker, and where they fit."""

    worker: WorkerState
    tasks: tuple[TaskState, ...]
    place_ids: tuple[WorkerId, ...]

    def cost(self) -> tuple[int, float]:
        """Order: fewest tasks, then least processor."""
        moved_cpu = sum(task.step.need.cpu for task in self.tasks)
        return len(self.tasks), moved_cpu


def defragment(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop serving tasks that leave wide tasks no room, to start elsewhere.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    if now - state.defragmented_at < _ROUND_S:
        return
    wide = list(islice(_wide_steps(state, now), _STEPS_A_ROUND))
    if not wide:
        return
    state.defragmented_at = now
    left = 1 + len(state.worker_by_id) // _WORKERS_A_CLEARANCE
    selector = WorkerSelector(state=state, now=now)
    taken: set[WorkerId] = set()
    for step in wide:
        for clearance in _clearances(state, selector, step, taken, now):
            _clear(state, clearance, step, now)
            left -= 1
            if not left:
                return


def _wide_steps(state: ShardState, now: MonotonicTime) -> Iterator[StepState]:
    """Give the steps whose tasks no worker has room for, urgent ones first."""
    for step in sort_by_urgency(state, now):
        terms = step.step
        if terms.need.cpu and not (terms.is_filler or terms.is_gang):
            yield step


def _clearances(
    state: ShardState,
    selector: WorkerSelector,
    step: StepState,
    taken: set[WorkerId],
    now: MonotonicTime,
) -> Iterator[_Clearance]:
    """Give cheap clearances, one for each waiting task at most."""
    eligible_workers = selector.eligible_workers(state.job_by_id[step.job_id])
    workers = [
        worker
        for worker in eligible_workers
        if now >= worker.avoid_serving_until
        and is_placement_allowed(worker, step)
    ]
    if any(fits(worker, step) for worker in workers):
        return
    pieces = _Pieces(state, eligible_workers, step.step.need.cpu)
    # Workers that lack least have to give up fewest tasks.
    workers.sort(key=WorkerState.free_cpu, reverse=True)
    found = [
        clearance
        for worker in workers[:_WORKERS_TRIED]
        if (clearance := _clearance(state, pieces, step, worker, taken))
    ]
    found.sort(key=_Clearance.cost)
    for clearance in found[: len(step.waiting_indexes)]:
        ids = {clearance.worker.worker_id, *clearance.place_ids}
        if ids.isdisjoint(taken):
            taken |= ids
            yield clearance


class _Pieces:
    """Pieces of room too small for a wide task, the smallest first."""

    def __init__(
        self,
        state: ShardState,
        eligible_workers: Iterable[WorkerState],
        wide_cpu: float,
    ) -> None:
        self._state = state
        self._workers = sorted(
            (one for one in eligible_workers if one.free_cpu() < wide_cpu),
            key=WorkerState.free_cpu,
        )
        self._sizes = [one.free_cpu() for one in self._workers]

    def find(
        self,
        task: TaskState,
        closed: Container[WorkerId],
    ) -> WorkerState | None:
        """Find the smallest piece that a serving task fits into."""
        step = self._state.get_step(task)
        first = bisect_left(self._sizes, task.step.need.cpu)
        for worker in self._workers[first : first + _PIECES_TRIED]:
            is_open = worker.worker_id not in closed
            if (
                is_open
                and fits(worker, step)
                and is_placement_allowed(worker, step)
            ):
                return worker
        return None


def _clearance(
    state: ShardState,
    pieces: _Pieces,
    step: StepState,
    worker: WorkerState,
    taken: set[WorkerId],
) -> _Clearance | None:
    missing_cpu = step.step.need.cpu - worker.free_cpu()
    is_memory_short = step.step.need.memory_mb > worker.free_memory_mb()
    if worker.worker_id in taken or is_memory_short:
        return None
    leaving: list[TaskState] = []
    place_ids: list[WorkerId] = []
    for task in _movable(state, worker, missing_cpu):
        if len(leaving) == _MOST_LEAVING or missing_cpu <= 0:
            break
        place = pieces.find(task, {*taken, *place_ids, worker.worker_id})
        if place is None:
            continue
        leaving.append(task)
        place_ids.append(place.worker_id)
        missing_cpu -= task.step.need.cpu
    if missing_cpu > 0:
        return None
    return _Clearance(
        worker=worker,
        tasks=tuple(leaving),
        place_ids=tuple(place_ids),
    )


def _movable(
    state: ShardState,
    worker: WorkerState,
    missing_cpu: float,
) -> list[TaskState]:
    """List the serving tasks, one of a step: first those that suffice alone."""
    serving = (
        task
        for task in worker.run_by_key.values()
        if task.step.latency_target_ms and is_serving(task)
    )
    return sorted(
        select_disruptable_tasks(state, serving),
        key=lambda one: (
            one.step.need.cpu < missing_cpu,
            abs(one.step.need.cpu - missing_cpu),
        ),
    )


def _clear(
    state: ShardState,
    clearance: _Clearance,
    step: StepState,
    now: MonotonicTime,
) -> None:
    clearance.worker.avoid_serving_until = now + _CLEARING_S
    event(
        'room_cleared',
        job=step.job_id,
        step=step.number,
        worker=clearance.worker.worker_id,
        cores=step.step.need.cpu,
        leaving=','.join(format_task_key(task) for task in clearance.tasks),
    )
    for task in clearance.tasks:
        request_stop(state, task, now)

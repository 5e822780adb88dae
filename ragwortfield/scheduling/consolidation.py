"""Moving serving tasks off workers that fillers could use better.

Pattern: serving tasks start before anything is known of the fillers to come,
so a few of them end up on workers of which most stays unused, or beside an
image that bears fillers which they do not. They keep all those fillers away.
Where other workers have room for them and bear those fillers no better anyway,
the tasks of one image, or all that serve on a worker, are stopped and start
there. That costs their users a moment of one task, so it happens only for a
gain that outweighs it, one task of a step at a time.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortfield.log import event
from ragwortfield.scheduling.disruption_budget import (
    is_serving,
    select_disruptable_tasks,
)
from ragwortfield.scheduling.job_state import StepState, TaskState
from ragwortfield.scheduling.task_lifecycle import request_stop, format_task_key
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.filler_capacity import FillerCapacity
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    fits,
    is_placement_allowed,
    build_filler_capacity,
)
from ragwortfield.scheduling.worker_state import (
    SERVING_CPU_UTILISATION,
    WorkerState,
)
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Time between two rounds, in seconds: a moved task is at work again by then.
_ROUND_S: Seconds = 1
#: Tasks moved off one worker in one round.
_MOVES_A_ROUND = 3
#: Workers for each of which one worker is cleared at a time.
_WORKERS_A_MOVE = 24
#: Cores for fillers that a move must gain for each core of the moved tasks.
_LEAST_GAIN = 0.4
#: Time for which a worker that is being cleared gets no other serving tasks,
#: in seconds; the tasks of one step leave one after the other.
_CLEARING_S: Seconds = 3
#: Departures, the most promising first, for which places are looked for.
_DEPARTURES_TRIED = 8
#: Share of all workers' processor that waiting fillers ask for, from which on
#: they wait for more than the next round.
_CROWDED_SHARE = 0.03


@dataclass(frozen=True, kw_only=True, slots=True)
class _Departure:
    """Tasks that would leave a worker, and what that gains there, in cores."""

    worker: WorkerState
    tasks: tuple[TaskState, ...]
    gain_cpu: float


@dataclass(kw_only=True, slots=True)
class _Place:
    """
    Worker as it would be with the tasks that were found a place there.

    :param images: images that serve there.
    :param added_by_step: tasks given a place, by identity of their step.
    """

    worker: WorkerState
    images: frozenset[str]
    free_cpu: float
    idle_cpu: float
    added_by_step: Counter[int] = field(default_factory=Counter)


def consolidate(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop serving tasks that are in the way of fillers, to start elsewhere.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    if now - state.consolidated_at < _ROUND_S or not _is_crowded(state):
        return
    state.consolidated_at = now
    limit = 1 + len(state.worker_by_id) // _WORKERS_A_MOVE
    for departure in _Planner(state, now).best(limit):
        departure.worker.avoid_serving_until = now + _CLEARING_S
        movable = select_disruptable_tasks(state, departure.tasks)
        for task in movable[:_MOVES_A_ROUND]:
            event(
                'serving_moved',
                task=format_task_key(task),
                run=task.run,
                worker=task.worker_id,
                image=task.step.image,
                gain_cores=departure.gain_cpu,
            )
            request_stop(state, task, now)


def _is_crowded(state: ShardState) -> bool:
    waiting_indexes = sum(
        len(step.waiting_indexes) * step.step.need.cpu
        for step in state.ready_step_by_key.values()
        if step.step.is_filler
    )
    room = sum(one.listed.room.cpu for one in state.worker_by_id.values())
    return waiting_indexes > _CROWDED_SHARE * room


class _Planner:
    """Search for the departures that gain most, within one round."""

    def __init__(self, state: ShardState, now: MonotonicTime) -> None:
        self._state = state
        self._now = now
        self._selector = WorkerSelector(state=state, now=now)
        self._tolerance: FillerCapacity = build_filler_capacity(state)
        self._place_by_worker: dict[WorkerId, _Place] = {}

    def best(self, limit: int) -> list[_Departure]:
        """Give the best departures, each from another worker."""
        promising = sorted(
            self._departures(),
            key=lambda one: one.gain_cpu,
            reverse=True,
        )
        chosen: list[_Departure] = []
        cleared: set[WorkerId] = set()
        for departure in promising[: _DEPARTURES_TRIED * limit]:
            if departure.worker.worker_id in cleared:
                continue
            places = self._find_places(departure, cleared)
            if places is None:
                continue
            for place in places:
                self._place_by_worker[place.worker.worker_id] = place
            cleared.add(departure.worker.worker_id)
            chosen.append(departure)
            if len(chosen) == limit:
                break
        return chosen

    def _departures(self) -> Iterator[_Departure]:
        for worker in self._state.worker_by_id.values():
            images = worker.serving_by_image
            if not images or not all(map(self._tolerance.is_estimable, images)):
                continue
            wholes = [frozenset(images)] if len(images) > 1 else []
            for leaving in (*(frozenset((one,)) for one in images), *wholes):
                departure = self._departure(worker, leaving)
                if departure is not None:
                    yield departure

    def _departure(
        self,
        worker: WorkerState,
        leaving: frozenset[str],
    ) -> _Departure | None:
        tasks = tuple(
            task
            for task in worker.run_by_key.values()
            if task.step.latency_target_ms and task.step.image in leaving
        )
        cpu = sum(task.step.need.cpu for task in tasks)
        gain = self._tolerance.gain(worker, leaving, cpu) - _LEAST_GAIN * cpu
        if gain <= 0 or not all(map(is_serving, tasks)):
            return None
        return _Departure(worker=worker, tasks=tasks, gain_cpu=gain)

    def _find_places(
        self,
        departure: _Departure,
        cleared: set[WorkerId],
    ) -> list[_Place] | None:
        """Give the places as they would be; None where the move is no gain."""
        gain = departure.gain_cpu
        closed = {*cleared, departure.worker.worker_id}
        changed: dict[WorkerId, _Place] = {}
        for task in sorted(departure.tasks, key=_need, reverse=True):
            best: _Place | None = None
            best_loss = gain
            for place in self._open_places(task, closed, changed):
                loss = self._loss(place, task)
                if loss < best_loss:
                    best = place
                    best_loss = loss
            if best is None:
                return None
            gain -= best_loss
            changed[best.worker.worker_id] = _with_task(
                best,
                self._state.get_step(task),
            )
        return list(changed.values())

    def _open_places(
        self,
        task: TaskState,
        closed: set[WorkerId],
        changed: dict[WorkerId, _Place],
    ) -> Iterator[_Place]:
        step = self._state.get_step(task)
        job = self._state.job_by_id[task.key.job_id]
        for worker in self._selector.eligible_workers(job):
            if (
                worker.worker_id in closed
                or self._now < worker.avoid_serving_until
            ):
                continue
            if not fits(worker, step):
                continue
            place = changed.get(worker.worker_id) or self._place(worker)
            if _has_room(place, step):
                yield place

    def _place(self, worker: WorkerState) -> _Place:
        place = self._place_by_worker.get(worker.worker_id)
        if place is None:
            place = _Place(
                worker=worker,
                images=frozenset(worker.serving_by_image),
                free_cpu=worker.free_cpu(),
                idle_cpu=worker.idle_cpu(),
            )
            self._place_by_worker[worker.worker_id] = place
        return place

    def _loss(self, place: _Place, task: TaskState) -> float:
        return self._tolerance.estimate_loss_beside(
            place.images,
            task.step.image,
            task.step.need.cpu,
            idle_cpu=place.idle_cpu,
            capacity_cpu=place.worker.listed.room.cpu,
        )


def _need(task: TaskState) -> float:
    return task.step.need.cpu


def _has_room(place: _Place, step: StepState) -> bool:
    if place.free_cpu < step.step.need.cpu:
        return False
    added = place.added_by_step[id(step)]
    limit = step.step.per_worker_limit
    known = step.count_by_worker.get(place.worker.worker_id, 0)
    return is_placement_allowed(place.worker, step) and (
        not limit or known + added < limit
    )


def _with_task(place: _Place, step: StepState) -> _Place:
    cpu = step.step.need.cpu
    return _Place(
        worker=place.worker,
        images=place.images | {step.step.image},
        free_cpu=place.free_cpu - cpu,
        idle_cpu=place.idle_cpu - cpu * SERVING_CPU_UTILISATION,
        added_by_step=place.added_by_step + Counter((id(step),)),
    )

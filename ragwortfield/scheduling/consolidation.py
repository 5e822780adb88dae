"""Moves serving tasks off workers whose CPU fillers could use better.

Serving tasks start before it is known which fillers will come. So some of them
run on workers that are mostly idle, or beside an image that tolerates fillers
which they do not tolerate, and keep these fillers away. If other workers have
room for them and tolerate these fillers no better anyway, the tasks of one
image, or all serving tasks of a worker, are stopped and start on those
workers. Each move makes one task unavailable for a moment, so tasks are moved
only for a gain that outweighs this, and only one task of a step at a time.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortfield.log import event
from ragwortfield.scheduling.disruption_budget import (
    is_serving,
    select_disruptable_tasks,
)
from ragwortfield.scheduling.filler_capacity import FillerCapacity
from ragwortfield.scheduling.job_state import StepState, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import format_task_key, request_stop
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    build_filler_capacity,
    has_free_resources,
    is_placement_allowed,
)
from ragwortfield.scheduling.worker_state import (
    SERVING_CPU_UTILISATION,
    WorkerState,
)
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Time between two rounds, in seconds: a moved task serves again by then.
_ROUND_INTERVAL_S: Seconds = 1
#: Maximum number of tasks moved off one worker in a round.
_MAX_MOVES_PER_ROUND = 3
#: One worker is cleared in a round, plus one for each so many workers of the
#: shard.
_WORKERS_PER_CLEARANCE = 24
#: Cores that fillers must gain for each core reserved for the moved tasks.
_MIN_GAIN = 0.4
#: Time during which a worker that is being cleared gets no other serving tasks
#: if others have room, in seconds. The tasks of one step leave it one after the
#: other.
_CLEARING_S: Seconds = 3
#: Number of migrations, those with the largest gain first, for which
#: destinations are searched, for each worker that may be cleared.
_MIGRATIONS_TRIED = 8
#: Share of the CPU of all workers that waiting fillers request. Above it they
#: wait for more than just the next round.
_MIN_WAITING_SHARE = 0.03


@dataclass(frozen=True, kw_only=True, slots=True)
class _Migration:
    """
    Serving tasks that could be moved off a worker.

    :param gain_cpu: CPU that fillers gain there, less the minimum gain, in
        cores.
    """

    worker: WorkerState
    tasks: tuple[TaskState, ...]
    gain_cpu: float


@dataclass(kw_only=True, slots=True)
class _Destination:
    """
    Worker as it would be with the tasks that are planned to move there.

    :param images: images that would serve there.
    :param free_cpu: CPU that would not be reserved, in cores.
    :param idle_cpu: CPU that would be idle without fillers, in cores.
    :param added_by_step: number of planned tasks by identity of their step.
    """

    worker: WorkerState
    images: frozenset[str]
    free_cpu: float
    idle_cpu: float
    added_by_step: Counter[int] = field(default_factory=Counter)


def consolidate(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop serving tasks that keep fillers away, so that they move.

    Does nothing if the latest round was less than the round interval ago, or
    if too few fillers wait.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    if now - state.consolidated_at < _ROUND_INTERVAL_S:
        return
    # An entry in the list of workers may name none.
    workers = [
        worker
        for worker in state.worker_by_id.values()
        if worker.is_in_contact(state.bounds, now) and not worker.is_evacuated
    ]
    if not _is_filler_demand_high(state, workers):
        return
    state.consolidated_at = now
    limit = 1 + len(workers) // _WORKERS_PER_CLEARANCE
    for migration in _MigrationPlanner(state, now).plan(limit):
        migration.worker.avoid_serving_until = now + _CLEARING_S
        movable = select_disruptable_tasks(state, migration.tasks)
        for task in movable[:_MAX_MOVES_PER_ROUND]:
            event(
                'serving_moved',
                task=format_task_key(task),
                run=task.run,
                worker=task.worker_id,
                image=task.step.image,
                gain_cores=migration.gain_cpu,
            )
            request_stop(state, task, now)


def _is_filler_demand_high(
    state: ShardState, workers: list[WorkerState]
) -> bool:
    waiting_cpu = sum(
        len(step.waiting_indexes) * step.step.need.cpu
        for step in state.ready_step_by_key.values()
        if step.step.is_filler
    )
    total_cpu = sum(worker.listed.capacity.cpu for worker in workers)
    return waiting_cpu > _MIN_WAITING_SHARE * total_cpu


class _MigrationPlanner:
    """Search for the migrations with the largest gain, within one round."""

    def __init__(self, state: ShardState, now: MonotonicTime) -> None:
        self._state = state
        self._now = now
        self._selector = WorkerSelector(state=state, now=now)
        self._filler_capacity: FillerCapacity = build_filler_capacity(state)
        self._destination_by_worker: dict[WorkerId, _Destination] = {}

    def plan(self, limit: int) -> list[_Migration]:
        """
        Plan the best migrations, each from another worker.

        :param limit: maximum number of migrations.
        """
        promising = sorted(
            self._iterate_promising_migrations(),
            key=lambda migration: migration.gain_cpu,
            reverse=True,
        )
        chosen: list[_Migration] = []
        cleared_ids: set[WorkerId] = set()
        for migration in promising[: _MIGRATIONS_TRIED * limit]:
            if migration.worker.worker_id in cleared_ids:
                continue
            destinations = self._find_destinations(migration, cleared_ids)
            if destinations is None:
                continue
            for destination in destinations:
                self._destination_by_worker[destination.worker.worker_id] = (
                    destination
                )
            cleared_ids.add(migration.worker.worker_id)
            chosen.append(migration)
            if len(chosen) == limit:
                break
        return chosen

    def _iterate_promising_migrations(self) -> Iterator[_Migration]:
        for worker in self._state.worker_by_id.values():
            images = worker.serving_by_image
            # No filler may start on an evacuated worker.
            is_considered = images and not worker.is_evacuated
            if not is_considered or not all(
                map(self._filler_capacity.is_estimable, images)
            ):
                continue
            all_images = [frozenset(images)] if len(images) > 1 else []
            for leaving in (
                *(frozenset((image,)) for image in images),
                *all_images,
            ):
                migration = self._evaluate_migration(worker, leaving)
                if migration is not None:
                    yield migration

    def _evaluate_migration(
        self,
        worker: WorkerState,
        leaving: frozenset[str],
    ) -> _Migration | None:
        tasks = tuple(
            task
            for task in worker.run_by_key.values()
            if task.step.latency_target_ms and task.step.image in leaving
        )
        cpu = sum(task.step.need.cpu for task in tasks)
        gain = (
            self._filler_capacity.estimate_gain(worker, leaving, cpu)
            - _MIN_GAIN * cpu
        )
        if gain <= 0 or not all(map(is_serving, tasks)):
            return None
        return _Migration(worker=worker, tasks=tasks, gain_cpu=gain)

    def _find_destinations(
        self,
        migration: _Migration,
        cleared_ids: set[WorkerId],
    ) -> list[_Destination] | None:
        """
        Find destinations for all tasks, with the tasks added to them.

        :returns: ``None`` if a task fits nowhere, or the losses at the
            destinations use up the gain.
        """
        gain = migration.gain_cpu
        excluded_ids = {*cleared_ids, migration.worker.worker_id}
        changed_by_worker: dict[WorkerId, _Destination] = {}
        for task in sorted(
            migration.tasks, key=_get_required_cpu, reverse=True
        ):
            cheapest: _Destination | None = None
            lowest_loss = gain
            for destination in self._iterate_possible_destinations(
                task, excluded_ids, changed_by_worker
            ):
                loss = self._estimate_loss(destination, task)
                if loss < lowest_loss:
                    cheapest = destination
                    lowest_loss = loss
            if cheapest is None:
                return None
            gain -= lowest_loss
            changed_by_worker[cheapest.worker.worker_id] = _add_task(
                cheapest,
                self._state.get_step(task),
            )
        return list(changed_by_worker.values())

    def _iterate_possible_destinations(
        self,
        task: TaskState,
        excluded_ids: set[WorkerId],
        changed_by_worker: dict[WorkerId, _Destination],
    ) -> Iterator[_Destination]:
        step = self._state.get_step(task)
        job = self._state.job_by_id[task.key.job_id]
        for worker in self._selector.list_eligible_workers(job):
            if (
                worker.worker_id in excluded_ids
                or self._now < worker.avoid_serving_until
                or worker.speed.is_slow
            ):
                continue
            if not has_free_resources(worker, step):
                continue
            destination = changed_by_worker.get(
                worker.worker_id
            ) or self._get_destination(worker)
            if _has_remaining_room(destination, step):
                yield destination

    def _get_destination(self, worker: WorkerState) -> _Destination:
        destination = self._destination_by_worker.get(worker.worker_id)
        if destination is None:
            destination = _Destination(
                worker=worker,
                images=frozenset(worker.serving_by_image),
                free_cpu=worker.free_cpu(),
                idle_cpu=worker.idle_cpu(),
            )
            self._destination_by_worker[worker.worker_id] = destination
        return destination

    def _estimate_loss(
        self, destination: _Destination, task: TaskState
    ) -> float:
        return self._filler_capacity.estimate_loss_beside(
            destination.images,
            task.step.image,
            task.step.need.cpu,
            idle_cpu=destination.idle_cpu,
            capacity_cpu=destination.worker.listed.capacity.cpu,
        )


def _get_required_cpu(task: TaskState) -> float:
    return task.step.need.cpu


def _has_remaining_room(destination: _Destination, step: StepState) -> bool:
    if destination.free_cpu < step.step.need.cpu:
        return False
    added = destination.added_by_step[id(step)]
    limit = step.step.per_worker_limit
    bound = step.count_by_worker.get(destination.worker.worker_id, 0)
    return is_placement_allowed(destination.worker, step) and (
        not limit or bound + added < limit
    )


def _add_task(destination: _Destination, step: StepState) -> _Destination:
    """Return a copy of the destination with one more task."""
    cpu = step.step.need.cpu
    return _Destination(
        worker=destination.worker,
        images=destination.images | {step.step.image},
        free_cpu=destination.free_cpu - cpu,
        idle_cpu=destination.idle_cpu - cpu * SERVING_CPU_UTILISATION,
        added_by_step=destination.added_by_step + Counter((id(step),)),
    )

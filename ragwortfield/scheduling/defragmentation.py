"""Frees CPU on one worker for a large task by moving serving tasks away.

Serving tasks, which have users of their own, can leave free CPU fragmented:
many workers have some, and their sum is sufficient, but no single worker has
enough for an urgent task of several cores. A serving task whose step allows
only a few tasks on one worker can lack room in the same way. Where a few
serving tasks fit into the fragments on other workers, they are stopped and
start there, so that one worker has room. The users of a moved task are
disturbed for a moment; without the move the large task would wait until a
serving task ends.
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
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.scheduling.task_lifecycle import format_task_key, request_stop
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    has_free_resources,
    is_placement_allowed,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Time between two rounds, in seconds: a stop takes effect within this time.
_ROUND_INTERVAL_S: Seconds = 0.5
#: Time during which a worker that is being cleared gets no other serving tasks
#: if others have room, in seconds.
_CLEARING_S: Seconds = 2
#: Maximum number of serving tasks moved off a worker for one large task.
_MAX_MOVES_PER_WORKER = 3
#: One worker is cleared in a round, plus one for each so many workers of the
#: shard.
_WORKERS_PER_CLEARANCE = 24
#: Limits of the search for a step: the workers with most free CPU, and for each
#: task to be moved the smallest fragments that are large enough.
_MAX_WORKERS_TRIED = 32
_MAX_FRAGMENTS_TRIED = 8
#: Maximum number of steps considered in a round, the most urgent first.
_MAX_STEPS_PER_ROUND = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class _Clearance:
    """
    Serving tasks to be moved off a worker.

    :param worker: worker that gets room for the large task.
    :param destination_ids: workers with room for the tasks, in the same order.
    """

    worker: WorkerState
    tasks: tuple[TaskState, ...]
    destination_ids: tuple[WorkerId, ...]

    def cost(self) -> tuple[int, float]:
        """Return the sort key: number of tasks moved, then their CPU."""
        moved_cpu = sum(task.step.need.cpu for task in self.tasks)
        return len(self.tasks), moved_cpu


def defragment(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop serving tasks whose CPU a large task needs, so that they move.

    Does nothing if the latest round was less than the round interval ago.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    if now - state.defragmented_at < _ROUND_INTERVAL_S:
        return
    large_steps = list(
        islice(_iterate_large_steps(state, now), _MAX_STEPS_PER_ROUND)
    )
    if not large_steps:
        return
    state.defragmented_at = now
    remaining = 1 + len(state.worker_by_id) // _WORKERS_PER_CLEARANCE
    selector = WorkerSelector(state=state, now=now)
    reserved_ids: set[WorkerId] = set()
    for step in large_steps:
        for clearance in _find_clearances(
            state,
            selector,
            step,
            reserved_ids,
            now,
        ):
            _clear_worker(state, clearance, step, now)
            remaining -= 1
            if not remaining:
                return


def _iterate_large_steps(
    state: ShardState, now: MonotonicTime
) -> Iterator[StepState]:
    """
    Yield waiting steps that reserve CPU, most urgent first.

    Gangs, and steps whose tasks are held back, are left out.
    """
    for step in sort_by_urgency(state, now):
        definition = step.step
        if definition.need.cpu and not (
            definition.is_filler or definition.is_gang or step.is_held_back
        ):
            yield step


def _find_clearances(
    state: ShardState,
    selector: WorkerSelector,
    step: StepState,
    reserved_ids: set[WorkerId],
    now: MonotonicTime,
) -> Iterator[_Clearance]:
    """
    Yield the cheapest clearances, at most one for each waiting task.

    :param reserved_ids: workers that clearances of this round use; those of
        each yielded clearance are added.
    """
    eligible_workers = selector.list_eligible_workers(
        state.job_by_id[step.job_id]
    )
    workers = [
        worker
        for worker in eligible_workers
        if now >= worker.avoid_serving_until
        and worker.worker_id not in step.denied_workers
        and is_placement_allowed(worker, step)
    ]
    if any(has_free_resources(worker, step) for worker in workers):
        return
    fragments = _Fragments(state, eligible_workers, step.step.need.cpu)
    # The less CPU a worker lacks, the fewer tasks have to be moved off it.
    workers.sort(key=WorkerState.free_cpu, reverse=True)
    found = [
        clearance
        for worker in workers[:_MAX_WORKERS_TRIED]
        if (
            clearance := _plan_clearance(
                state,
                fragments,
                step,
                worker,
                reserved_ids,
            )
        )
    ]
    found.sort(key=_Clearance.cost)
    for clearance in found[: len(step.waiting_indexes)]:
        ids = {clearance.worker.worker_id, *clearance.destination_ids}
        if ids.isdisjoint(reserved_ids):
            reserved_ids |= ids
            yield clearance


class _Fragments:
    """
    Workers whose free CPU is too small for a large task, smallest first.

    :param required_cpu: CPU that the large task needs, in cores.
    """

    def __init__(
        self,
        state: ShardState,
        eligible_workers: Iterable[WorkerState],
        required_cpu: float,
    ) -> None:
        self._state = state
        self._workers = sorted(
            (
                worker
                for worker in eligible_workers
                if worker.free_cpu() < required_cpu
            ),
            key=WorkerState.free_cpu,
        )
        self._free_cpus = [worker.free_cpu() for worker in self._workers]

    def find(
        self,
        task: TaskState,
        excluded_ids: Container[WorkerId],
    ) -> WorkerState | None:
        """Find the worker with the smallest fragment that a task fits into."""
        step = self._state.get_step(task)
        first = bisect_left(self._free_cpus, task.step.need.cpu)
        for worker in self._workers[first : first + _MAX_FRAGMENTS_TRIED]:
            is_candidate = worker.worker_id not in excluded_ids
            if (
                is_candidate
                and has_free_resources(worker, step)
                and is_placement_allowed(worker, step)
            ):
                return worker
        return None


def _plan_clearance(
    state: ShardState,
    fragments: _Fragments,
    step: StepState,
    worker: WorkerState,
    reserved_ids: set[WorkerId],
) -> _Clearance | None:
    missing_cpu = step.step.need.cpu - worker.free_cpu()
    is_memory_short = step.step.need.memory_mb > worker.free_memory_mb()
    if worker.worker_id in reserved_ids or is_memory_short:
        return None
    tasks: list[TaskState] = []
    destination_ids: list[WorkerId] = []
    for task in _list_movable_tasks(state, worker, missing_cpu):
        if len(tasks) == _MAX_MOVES_PER_WORKER or missing_cpu <= 0:
            break
        destination = fragments.find(
            task,
            {*reserved_ids, *destination_ids, worker.worker_id},
        )
        if destination is None:
            continue
        tasks.append(task)
        destination_ids.append(destination.worker_id)
        missing_cpu -= task.step.need.cpu
    if missing_cpu > 0:
        return None
    return _Clearance(
        worker=worker,
        tasks=tuple(tasks),
        destination_ids=tuple(destination_ids),
    )


def _list_movable_tasks(
    state: ShardState,
    worker: WorkerState,
    missing_cpu: float,
) -> list[TaskState]:
    """
    List the serving tasks that may be moved, at most one of each step.

    Tasks that free enough CPU on their own come first; among these, and among
    the others, the closest to the missing amount.
    """
    serving = (
        task
        for task in worker.run_by_key.values()
        if task.step.latency_target_ms and is_serving(task)
    )
    return sorted(
        select_disruptable_tasks(state, serving),
        key=lambda task: (
            task.step.need.cpu < missing_cpu,
            abs(task.step.need.cpu - missing_cpu),
        ),
    )


def _clear_worker(
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

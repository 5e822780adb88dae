"""Moving serving tasks off workers that fillers could use better.

Pattern: serving tasks start before anything is known of the fillers to come,
so a few of them end up alone on large workers, or beside an image that bears
fillers which they do not. One such task keeps all those fillers away. Where
other workers have room for it and bear those fillers no better anyway, it is
stopped and starts there. That costs its users a moment of one task, so it
happens only for a clear gain, one task of a step at a time.
"""

from dataclasses import dataclass

from ragwortfield.log import event
from ragwortfield.scheduling.job_rows import RunStage, StepRow, TaskRow
from ragwortfield.scheduling.progress import request_stop, task_name
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.scheduling.tolerance import Tolerance
from ragwortfield.scheduling.worker_choice import (
    Chooser,
    fits,
    is_allowed,
    tolerance_of,
)
from ragwortfield.scheduling.worker_rows import WorkerRow
from ragwortfield.types import Instant, Seconds

#: Time between two rounds, in seconds: a moved task is at work again by then.
_ROUND_S: Seconds = 1
#: Tasks moved in one round.
_MOVES_A_ROUND = 3
#: Cores of usable processor that one moved task must gain.
_LEAST_GAIN_CPU = 5.0
#: Share of all workers' processor that waiting fillers ask for, from which on
#: they wait for more than the next round.
_CROWDED_SHARE = 0.03
_FULL_PERCENT = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class _Move:
    """Tasks of one image that would leave a worker, and what that gains."""

    worker: WorkerRow
    tasks: tuple[TaskRow, ...]
    gain_cpu: float


def consolidate(tables: ShardTables, now: Instant) -> None:
    """
    Stop serving tasks that are in the way of fillers, to start elsewhere.

    :param tables: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    if now - tables.consolidated_at < _ROUND_S or not _is_crowded(tables):
        return
    tables.consolidated_at = now
    move = _best_move(tables, now)
    if move is None:
        return
    for task in _movable_now(tables, move.tasks):
        event(
            'serving_moved',
            task=task_name(task),
            run=task.run,
            worker=task.worker_id,
            image=task.step.image,
            gain_cores=move.gain_cpu,
        )
        request_stop(tables, task, now)


def _is_crowded(tables: ShardTables) -> bool:
    waiting = sum(
        len(step.waiting) * step.step.need.cpu
        for step in tables.open_step_by_key.values()
        if step.step.is_filler
    )
    room = sum(one.listed.room.cpu for one in tables.worker_by_id.values())
    return waiting > _CROWDED_SHARE * room


def _best_move(tables: ShardTables, now: Instant) -> _Move | None:
    chooser = Chooser(tables=tables, now=now)
    tolerance = tolerance_of(tables)
    best: _Move | None = None
    for worker in tables.worker_by_id.values():
        for image in filter(tolerance.is_known, worker.serving_by_image):
            move = _move(tables, chooser, tolerance, worker, image)
            if move is not None and _is_better(move, best):
                best = move
    return best


def _is_better(move: _Move, best: _Move | None) -> bool:
    return best is None or move.gain_cpu > best.gain_cpu


def _move(
    tables: ShardTables,
    chooser: Chooser,
    tolerance: Tolerance,
    worker: WorkerRow,
    image: str,
) -> _Move | None:
    tasks = tuple(
        task
        for task in worker.run_by_key.values()
        if task.step.latency_target_ms and task.step.image == image
    )
    gain = tolerance.gain(worker, image) - _LEAST_GAIN_CPU * len(tasks)
    if gain <= 0 or not all(_is_at_work(task) for task in tasks):
        return None
    free_by_worker: dict[str, float] = {}
    opened: set[str] = set()
    for task in tasks:
        place = _place(tables, chooser, tolerance, task, free_by_worker)
        if place is None:
            return None
        free = free_by_worker.get(place.worker_id, place.free_cpu())
        free_by_worker[place.worker_id] = free - task.step.need.cpu
        if place.worker_id not in opened:
            opened.add(place.worker_id)
            gain -= tolerance.loss(place, image)
    if gain <= 0:
        return None
    return _Move(worker=worker, tasks=tasks, gain_cpu=gain)


def _place(
    tables: ShardTables,
    chooser: Chooser,
    tolerance: Tolerance,
    task: TaskRow,
    free_by_worker: dict[str, float],
) -> WorkerRow | None:
    step = tables.step_of(task)
    job = tables.job_by_id[task.key.job_id]
    places = [
        worker
        for worker in chooser.candidates(job)
        if worker.worker_id != task.worker_id
        and fits(worker, step)
        and is_allowed(worker, step)
        and free_by_worker.get(worker.worker_id, worker.free_cpu())
        >= step.step.need.cpu
    ]
    image = task.step.image
    return min(
        places,
        key=lambda one: tolerance.loss(one, image),
        default=None,
    )


def _movable_now(
    tables: ShardTables,
    tasks: tuple[TaskRow, ...],
) -> list[TaskRow]:
    task_by_step: dict[int, TaskRow] = {}
    for task in tasks:
        step = tables.step_of(task)
        if _is_disruptable(step):
            task_by_step.setdefault(id(step), task)
    return list(task_by_step.values())[:_MOVES_A_ROUND]


def _is_disruptable(step: StepRow) -> bool:
    """Tell whether all tasks of a step are at work, and one may be away."""
    limit = step.step.max_unavailable
    is_whole = all(_is_at_work(task) for task in step.tasks)
    return is_whole and (limit is None or limit > 0)


def _is_at_work(task: TaskRow) -> bool:
    is_running = task.stage == RunStage.RUNNING and not task.is_stop_wanted
    return is_running and task.percent >= _FULL_PERCENT

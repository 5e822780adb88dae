"""Protecting tasks that serve users from the fillers beside them.

Pattern: fillers disturb the tasks that serve on the same worker, by amounts
that differ by image and change within seconds, and readings lag by half a
second. The pace of all fillers of a worker falls quickly when a reading nears
its target and rises slowly when there is room again.
"""

from ragwortfield.ports.task_worker import OrderDone, OrderOutcome, PaceRun
from ragwortfield.scheduling.job_rows import RunStage, TaskRow
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.scheduling.worker_rows import WorkerRow
from ragwortfield.types import Instant, Seconds

#: Share of its target above which a reading slows the fillers down.
_HIGH = 0.85
#: Share of its target below which the fillers may speed up.
_LOW = 0.6
#: Share of its target above which the fillers stand still at once.
_FAR_OVER = 1.6
#: Part of its pace that a filler keeps in one step down.
_STEP_DOWN = 0.5
#: Percent that a filler gains in one step up.
_STEP_UP = 20
#: Pace below which a filler stands still, in percent.
_LEAST_PACE = 10
_FULL_PACE = 100
#: Time between two changes on one worker: the readings cover half a second.
_SETTLE_S: Seconds = 0.6


def adjust_paces(tables: ShardTables, now: Instant) -> None:
    """
    Set the pace of the fillers on each worker.

    :param tables: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    for worker in tables.worker_by_id.values():
        if now - worker.paced_at < _SETTLE_S:
            continue
        pressure = _pressure(worker)
        if pressure is None:
            wanted = _FULL_PACE
        else:
            wanted = _wanted_pace(worker.pace, pressure)
        if wanted != worker.pace:
            worker.pace = wanted
            worker.paced_at = now
        _order_paces(tables, worker)


def take_pace_outcome(
    tables: ShardTables,
    order: PaceRun,
    outcome: OrderOutcome,
) -> None:
    """
    Take in what came of a change of pace.

    :param tables: tables of the shard.
    :param order: the order.
    :param outcome: answer of the worker.
    """
    task = tables.find_task(order.key)
    if task is None or task.run != order.run:
        return
    if isinstance(outcome, OrderDone):
        task.pace = order.percent
    task.is_pacing = False


def _pressure(worker: WorkerRow) -> float | None:
    """Worst reading as a share of its target; None without any reading."""
    shares = [
        task.reading / task.step.latency_target_ms
        for task in worker.run_by_key.values()
        if task.step.latency_target_ms and task.reading is not None
    ]
    return max(shares, default=None)


def _wanted_pace(pace: int, pressure: float) -> int:
    if pressure > _FAR_OVER:
        return 0
    if pressure > _HIGH:
        lower = int(pace * _STEP_DOWN)
        return lower if lower >= _LEAST_PACE else 0
    if pressure < _LOW:
        return min(pace + _STEP_UP, _FULL_PACE)
    return pace


def _order_paces(tables: ShardTables, worker: WorkerRow) -> None:
    for task in worker.run_by_key.values():
        if _is_pace_due(worker, task):
            task.is_pacing = True
            tables.orders.append(
                PaceRun(
                    worker_id=worker.worker_id,
                    address=worker.listed.address,
                    key=task.key,
                    run=task.run,
                    percent=worker.pace,
                    fencing_token=tables.epoch,
                ),
            )


def _is_pace_due(worker: WorkerRow, task: TaskRow) -> bool:
    return (
        task.step.is_filler
        and task.stage == RunStage.RUNNING
        and task.pace != worker.pace
        and not task.is_pacing
        and not task.is_stop_wanted
    )

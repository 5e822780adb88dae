"""Moving fillers that stand still to workers that bear them.

Pattern: the headroom of a worker goes while a filler runs there, and one task
that stands still holds up its whole job. If it can resume from a checkpoint
and another worker bears it at full speed, it is stopped and placed anew.
"""

from ragwortfield.log import event
from ragwortfield.scheduling.interference import (
    Headroom,
    spare_headroom,
    speed_and_cost,
)
from ragwortfield.scheduling.job_rows import RunStage, TaskRow
from ragwortfield.scheduling.progress import request_stop, task_name
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.scheduling.worker_choice import (
    Chooser,
    fits,
    is_allowed,
)
from ragwortfield.scheduling.worker_rows import WorkerRow
from ragwortfield.types import Instant, Seconds, WorkerId

#: Time for which a filler stands still before it is moved, in seconds. A
#: move costs a restore of about this length.
_PATIENCE_S: Seconds = 0.8
#: Pace up to which a filler counts as standing still, in percent.
_STILL_PACE = 25
#: Disturbance up to which a worker bears a filler without notice.
_NEGLIGIBLE = 0.1
#: Moves in one round, so that the next one sees their effect.
_MOVES_A_ROUND = 4


def relocate(tables: ShardTables, now: Instant) -> None:
    """
    Stop fillers that would get on better elsewhere.

    :param tables: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    still = [
        task
        for worker in tables.worker_by_id.values()
        for task in worker.run_by_key.values()
        if _is_stuck(task, now)
    ]
    if not still:
        return
    chooser = Chooser(tables=tables, now=now)
    taken: set[WorkerId] = set()
    for task in still:
        place = _better_place(tables, chooser, task, taken)
        if place is None:
            continue
        taken.add(place.worker_id)
        event(
            'filler_moved',
            task=task_name(task),
            run=task.run,
            worker=task.worker_id,
            pace=task.pace,
            better=place.worker_id,
        )
        request_stop(tables, task, now)
        if len(taken) == _MOVES_A_ROUND:
            return


def _is_stuck(task: TaskRow, now: Instant) -> bool:
    can_move = task.step.is_checkpointed and not task.step.is_gang
    is_running = task.stage == RunStage.RUNNING and not task.is_stop_wanted
    is_still = task.pace <= _STILL_PACE and now - task.slowed_at > _PATIENCE_S
    return task.step.is_filler and can_move and is_running and is_still


def _better_place(
    tables: ShardTables,
    chooser: Chooser,
    task: TaskRow,
    taken: set[WorkerId],
) -> WorkerRow | None:
    job = tables.job_by_id[task.key.job_id]
    step = tables.step_of(task)
    others = [
        worker
        for worker in chooser.candidates(job)
        if worker.worker_id not in {*taken, task.worker_id}
    ]
    for worker in others:
        if not fits(worker, step) or not is_allowed(worker, step):
            continue
        spare: Headroom = spare_headroom(tables, worker)
        speed, cost = speed_and_cost(
            tables,
            worker,
            spare,
            task.step.image,
            task.step.need.cpu,
        )
        if speed >= 1 and cost <= _NEGLIGIBLE:
            return worker
    return None

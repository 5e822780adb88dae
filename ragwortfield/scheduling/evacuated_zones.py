"""Zones that the operator evacuates: no task starts on their workers.

Bindings to these workers whose start order has not been sent are released, so
that the tasks go elsewhere at once.
"""

from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import release_task
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime

_RELEASE_REASON = 'zone of the worker is evacuated'


def update_zones(
    state: ShardState,
    zones: frozenset[str],
    known_until: MonotonicTime,
    now: MonotonicTime,
) -> None:
    """
    Apply the zones that the operator evacuates at present.

    :param state: state of the shard.
    :param zones: the zones.
    :param known_until: monotonic time up to which they are known.
    :param now: monotonic time, in seconds.
    """
    state.evacuations_known_until = known_until
    if zones == state.evacuated_zones:
        return
    for zone in sorted(zones ^ state.evacuated_zones):
        workers = [
            worker
            for worker in state.worker_by_id.values()
            if worker.listed.data_centre == zone
        ]
        state.decisions.record(
            'zone_evacuated' if zone in zones else 'zone_returned',
            now,
            zone=zone,
            epoch=state.epoch,
            workers=len(workers),
            tasks=sum(len(worker.run_by_key) for worker in workers),
        )
    state.evacuated_zones = zones
    for worker in state.worker_by_id.values():
        worker.is_evacuated = worker.listed.data_centre in zones


def release_unordered_tasks(state: ShardState, now: MonotonicTime) -> None:
    """
    Release the tasks in evacuated zones whose start order was not sent.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    if not state.evacuated_zones:
        return
    unordered_tasks = [
        task
        for worker in state.worker_by_id.values()
        if worker.is_evacuated
        for task in worker.run_by_key.values()
        if task.stage == RunStage.UNCOMMITTED
    ]
    for task in unordered_tasks:
        release_unordered_task(state, task, now)


def release_unordered_task(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    """
    Release a task whose start order was not sent, and all of its gang.

    The other members of a gang would start in vain without it.

    :param state: state of the shard.
    :param task: the task.
    :param now: monotonic time, in seconds.
    """
    members = state.get_step(task).tasks if task.step.is_gang else [task]
    for member in members:
        if member.stage == RunStage.UNCOMMITTED:
            state.decisions.record(
                'evacuated_start_released',
                now,
                task=member.key.text(),
                run=member.run,
                worker=member.worker_id,
            )
            release_task(state, member, _RELEASE_REASON)


def is_start_evacuated(state: ShardState, task: TaskState) -> bool:
    """
    Tell whether a start would break the evacuation of a zone.

    :param state: state of the shard.
    :param task: a bound task.
    :returns: whether its worker, or that of any other member of its gang, is
        in an evacuated zone.
    """
    members = state.get_step(task).tasks if task.step.is_gang else [task]
    workers = (state.worker_by_id.get(member.worker_id) for member in members)
    return any(map(_is_evacuated, workers))


def list_evacuated_workers(state: ShardState) -> list[WorkerState]:
    """
    List the listed workers of evacuated zones.

    :param state: state of the shard.
    :returns: the workers.
    """
    return [
        worker
        for worker in state.worker_by_id.values()
        if worker.is_evacuated and worker.is_listed
    ]


def is_without_workers(state: ShardState) -> bool:
    """
    Tell whether all listed workers of a shard are in evacuated zones.

    :param state: state of the shard.
    :returns: whether there are workers, and none of them may start tasks.
    """
    listed_count = sum(
        worker.is_listed for worker in state.worker_by_id.values()
    )
    evacuated_count = len(list_evacuated_workers(state))
    return evacuated_count > 0 and evacuated_count == listed_count


def _is_evacuated(worker: WorkerState | None) -> bool:
    return worker is not None and worker.is_evacuated

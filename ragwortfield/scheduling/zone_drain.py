"""Moves running tasks out of zones that the operator evacuates.

Short tasks, gangs and most fillers run to their end. Long-lived tasks never end
by themselves, so they move, one of a step at a time, as long as enough room is
kept for short tasks elsewhere. Tasks that can resume from a checkpoint move if
they would go on for long, and only to a worker that runs them at full speed
and that no waiting task needs.
"""

from ragwortfield.scheduling.disruption_budget import select_disruptable_tasks
from ragwortfield.scheduling.evacuated_zones import list_evacuated_workers
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.long_lived_growth import LongLivedGrowth
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import (
    format_task_key,
    get_move_limit,
    request_stop,
)
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

_FULL_PERCENT = 100
_FULL_PACE_PERCENT = 100


def drain_zones(state: ShardState, now: MonotonicTime) -> None:
    """
    Stop tasks in evacuated zones that are to go on elsewhere.

    Does nothing while starts are held back, as the tasks could not start again.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    workers = [
        worker
        for worker in list_evacuated_workers(state)
        if worker.is_in_contact(state.bounds, now)
    ]
    if not workers or not _are_starts_possible(state, now):
        return
    candidates = _list_candidates(state, workers)
    if not candidates:
        return
    drain = _ZoneDrain(state=state, now=now)
    for task in candidates:
        if drain.is_limit_reached():
            return
        drain.move(task)


class _ZoneDrain:
    """Moves of one scheduling round."""

    def __init__(self, *, state: ShardState, now: MonotonicTime) -> None:
        self._state = state
        self._now = now
        self._selector = WorkerSelector(state=state, now=now)
        self._growth = LongLivedGrowth(
            state=state, selector=self._selector, now=now
        )
        self._destination_ids: set[WorkerId] = set()
        self._move_limit = get_move_limit(state)

    def is_limit_reached(self) -> bool:
        """Tell whether the other tasks have to wait for the next round."""
        return len(self._destination_ids) >= self._move_limit

    def move(self, task: TaskState) -> None:
        """Stop a task if another worker has room for it."""
        destination = (
            self._find_long_lived_destination(task)
            if task.step.is_long_lived
            else self._find_fast_destination(task)
        )
        if destination is None:
            return
        self._destination_ids.add(destination.worker_id)
        worker = self._state.worker_by_id[task.worker_id]
        self._state.decisions.record(
            'task_left_zone',
            self._now,
            task=format_task_key(task),
            run=task.run,
            worker=task.worker_id,
            zone=worker.listed.data_centre,
            better=destination.worker_id,
        )
        request_stop(self._state, task, self._now)

    def _find_long_lived_destination(
        self, task: TaskState
    ) -> WorkerState | None:
        job = self._state.job_by_id[task.key.job_id]
        headroom = self._growth.get_headroom(job)
        destination = self._selector.select_worker(
            job,
            self._state.get_step(task),
            task,
            excluded_ids=self._destination_ids,
            headroom=headroom,
        )
        if destination is not None:
            headroom.take(destination, task.step.need)
        return destination

    def _find_fast_destination(self, task: TaskState) -> WorkerState | None:
        if self._is_room_wanted(task):
            return None
        step = self._state.get_step(task)
        destination = self._selector.select_worker(
            self._state.job_by_id[task.key.job_id],
            step,
            task,
            excluded_ids=self._destination_ids,
        )
        if destination is None or not task.step.is_filler:
            return destination
        speed, _ = self._selector.estimate_speed_and_interference(
            destination, step
        )
        return destination if speed >= 1 else None

    def _is_room_wanted(self, task: TaskState) -> bool:
        """Tell whether tasks that are as urgent have found no room."""
        queue = self._state.job_by_id[task.key.job_id].queue
        waiting = (
            self._state.job_by_id[step.job_id].queue
            for step in self._state.ready_step_by_key.values()
            if step.unplaced_since
        )
        return any(
            other.pool == queue.pool and other.priority <= queue.priority
            for other in waiting
        )


def _are_starts_possible(state: ShardState, now: MonotonicTime) -> bool:
    return state.is_inbox_current(now) and state.are_evacuations_current(now)


def _list_candidates(
    state: ShardState, workers: list[WorkerState]
) -> list[TaskState]:
    """
    List the tasks that should leave, long-lived ones first.

    :param workers: workers in evacuated zones.
    """
    running = [
        task
        for worker in workers
        for task in worker.run_by_key.values()
        if task.stage == RunStage.RUNNING
        and not (task.is_stop_wanted or task.step.is_gang)
    ]
    return select_disruptable_tasks(
        state, (task for task in running if task.step.is_long_lived)
    ) + [task for task in running if _is_too_long(state, task)]


def _is_too_long(state: ShardState, task: TaskState) -> bool:
    if task.step.is_long_lived or not task.step.is_checkpointed:
        return False
    remaining_s = _estimate_remaining_s(state, task)
    return remaining_s > state.settings.longest_evacuated_run_s


def _estimate_remaining_s(state: ShardState, task: TaskState) -> Seconds:
    job = state.job_by_id[task.key.job_id]
    expected_s = job.expected_task_s(task.key.step)
    if task.pace < _FULL_PACE_PERCENT:
        # The percentage of a paced filler is its speed.
        return expected_s
    undone_share = max(_FULL_PERCENT - task.percent, 0) / _FULL_PERCENT
    return expected_s * undone_share

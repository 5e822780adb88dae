"""Decides which serving tasks may be stopped in order to be moved."""

from collections.abc import Iterable

from ragwortfield.scheduling.job_state import RunStage, StepState, TaskState
from ragwortfield.scheduling.shard_state import ShardState

_FULL_PERCENT = 100


def is_serving(task: TaskState) -> bool:
    """
    Tell whether a task serves its users.

    :param task: the task.
    :returns: whether it runs, has started up and is not being stopped.
    """
    is_running = task.stage == RunStage.RUNNING and not task.is_stop_wanted
    return is_running and task.percent >= _FULL_PERCENT


def is_disruption_allowed(step: StepState) -> bool:
    """
    Tell whether one task of a step may be unavailable for a moment.

    :param step: the step.
    :returns: whether all its tasks serve, and its limit of unavailable tasks
        is not zero.
    """
    limit = step.step.max_unavailable
    is_complete = all(is_serving(task) for task in step.tasks)
    return is_complete and (limit is None or limit > 0)


def select_disruptable_tasks(
    state: ShardState,
    tasks: Iterable[TaskState],
) -> list[TaskState]:
    """
    Select tasks that may be stopped now, at most one of each step.

    :param state: state of the shard.
    :param tasks: serving tasks.
    :returns: the first task of each step that allows a disruption.
    """
    task_by_step: dict[int, TaskState] = {}
    for task in tasks:
        step = state.get_step(task)
        if is_disruption_allowed(step):
            task_by_step.setdefault(id(step), task)
    return list(task_by_step.values())

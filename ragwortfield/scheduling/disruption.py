"""Which tasks with users of their own may be stopped to be moved."""

from ragwortfield.scheduling.job_rows import RunStage, StepRow, TaskRow

_FULL_PERCENT = 100


def is_at_work(task: TaskRow) -> bool:
    """
    Tell whether a task serves its users.

    :param task: the task.
    :returns: whether it runs, has started up and is not being stopped.
    """
    is_running = task.stage == RunStage.RUNNING and not task.is_stop_wanted
    return is_running and task.percent >= _FULL_PERCENT


def is_disruptable(step: StepRow) -> bool:
    """
    Tell whether one task of a step may be away.

    :param step: the step.
    :returns: whether all its tasks are at work, and its terms allow it.
    """
    limit = step.step.max_unavailable
    is_whole = all(is_at_work(task) for task in step.tasks)
    return is_whole and (limit is None or limit > 0)

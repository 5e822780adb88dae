"""Invariants of the change of owners, checked while the program runs."""

from ragwortfield.invariants import INVARIANTS
from ragwortfield.ports.task_worker import ListedRun
from ragwortfield.scheduling.job_state import RunStage, TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import format_task_key
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime


def check_former_owner(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> bool:
    """
    Check that no earlier owner can extend the lease of an unheard worker.

    It is asked independently of the computed end of the lease, from what the
    owner has seen.

    :param state: state of the shard.
    :param worker: a worker that has not reported to this owner.
    :param now: monotonic time, in seconds.
    :returns: whether the runs on the worker may be given up.
    """
    former = state.former_electorate
    has_answered = worker.worker_id in state.former_run_end_by_worker
    has_ended = bool(state.ended_owner_epoch)
    is_fenced = 2 * former.count_unfenced() <= len(former.electorate) or (
        has_ended and former.epoch == state.ended_owner_epoch
    )
    term_s = now - state.owner_since
    is_over = (
        has_answered
        or term_s > state.bounds.longest_outage_s
        or (is_fenced and (has_ended or term_s > state.bounds.unaware_s))
    )
    INVARIANTS.check(
        'former_owner_over',
        is_satisfied=is_over,
        detail=(
            f'worker {worker.worker_id}, epoch {state.epoch}, term of '
            f'{term_s:.2f} s, {former.count_unfenced()} of '
            f'{len(former.electorate)} workers of epoch {former.epoch} not '
            'fenced'
        ),
    )
    return is_over


def check_single_run(
    state: ShardState, task: TaskState, worker: WorkerState, run: ListedRun
) -> None:
    """
    Check that a worker does not run a task that runs elsewhere.

    :param state: state of the shard.
    :param task: the task.
    :param worker: a worker that has just reported a run of it.
    :param run: that run, which the task is not bound to.
    """
    other = state.worker_by_id.get(task.worker_id)
    if other is None or other is worker or task.stage != RunStage.RUNNING:
        return
    is_elsewhere = other.is_in_contact(state.bounds, worker.reported_at)
    INVARIANTS.check(
        'task_runs_once',
        is_satisfied=run.run > task.run or not is_elsewhere,
        detail=(
            f'task {format_task_key(task)}, epoch {state.epoch}: run '
            f'{run.run} on {worker.worker_id} beside run {task.run} on '
            f'{task.worker_id}'
        ),
    )

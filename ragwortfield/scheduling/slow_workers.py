"""Decides which tasks a worker that has become slow still gets.

Workers of full speed come first for every task. A slow one gets a task only if
the job loses nothing by it: the task ends there within the objective of its
job; or, if that is out of reach everywhere, within the time up to which a late
job still has value; or that is out of reach as well. So a task rather waits
until a worker of full speed has capacity, but for a bounded time.
"""

from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
    StepState,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.speed_learning import update_speed_class
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Share of a pool's workers from which on slow ones are not declined: there is
#: too little capacity beside them to wait for, and speed is relative.
_MAX_SLOW_SHARE = 0.5
#: Time after which a step takes a slow worker, in seconds. The users require
#: lost long-lived tasks to run again within six seconds.
_LONGEST_WAIT_S: Seconds = 2.5


class SlowWorkers:
    """
    Slow workers of a shard in one scheduling round.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :param workers_by_pool: workers that can get tasks in this round.
    :param is_trial: whether to leave the state as it is, for questions of
        operators; workers then count as slow as in the latest round.
    """

    def __init__(
        self,
        *,
        state: ShardState,
        now: MonotonicTime,
        workers_by_pool: dict[str, list[WorkerState]],
        is_trial: bool = False,
    ) -> None:
        """Update which workers count as slow."""
        self._state = state
        self._now = now
        self._is_trial = is_trial
        self.slow_ids: set[WorkerId] = set()
        self._scarce_pools: set[str] = set()
        for pool, workers in workers_by_pool.items():
            for worker in () if is_trial else workers:
                update_speed_class(state, worker, now)
            slow_ids = {
                worker.worker_id for worker in workers if worker.speed.is_slow
            }
            self.slow_ids |= slow_ids
            if len(slow_ids) > _MAX_SLOW_SHARE * len(workers):
                self._scarce_pools.add(pool)

    def is_start_allowed(
        self, worker: WorkerState, job: JobRuntimeState, step: StepState
    ) -> bool:
        """
        Tell whether a task may start on a worker, as far as its speed matters.

        :param worker: the worker.
        :param job: job of the task.
        :param step: step of the task.
        """
        if not worker.speed.is_slow or job.queue.pool in self._scarce_pools:
            return True
        since = step.unplaced_since
        if since and self._now - since > _LONGEST_WAIT_S:
            return True
        is_allowed = not step.step.is_long_lived and self._has_slack(
            worker, job, step
        )
        if not (is_allowed or self._is_trial):
            self._state.decisions.count('slow_worker_declined')
        return is_allowed

    def _has_slack(
        self, worker: WorkerState, job: JobRuntimeState, step: StepState
    ) -> bool:
        objective_s = job.objective_s()
        age_s = self._now - job.accepted_at_monotonic
        expected_s = job.expected_task_s(step.number)
        rest_s = job.critical_path_s(step.number) - expected_s
        for limit_s in (objective_s, MAX_LATENESS_FACTOR * objective_s):
            left_s = limit_s - age_s - rest_s
            if expected_s <= left_s:
                slow_s = expected_s / worker.speed.estimate(self._now)
                return slow_s <= left_s
        return True

"""Binds the tasks that make long-lived jobs grow, as far as there is headroom.

The load that it answers: long-lived jobs keep arriving at a pool that they fill
almost alone, while urgent jobs of wide steps come and go.
"""

from collections.abc import Iterator

from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.headroom import (
    Headroom,
    is_first_start,
    is_growth,
    is_short,
)
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import can_still_earn
from ragwortfield.scheduling.task_lifecycle import (
    bind_task,
    update_waiting_step,
)
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.types import MonotonicTime, Seconds

#: Time after which long-lived tasks that found no worker are considered again,
#: in seconds; the search for headroom looks at all workers.
_RETRY_S: Seconds = 0.2


class LongLivedGrowth:
    """
    Growth of the long-lived jobs of one priority in a scheduling round.

    :param state: state of the shard.
    :param selector: selects the workers of this round.
    :param now: monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        state: ShardState,
        selector: WorkerSelector,
        now: MonotonicTime,
    ) -> None:
        """Start without any deferred step."""
        self._state = state
        self._selector = selector
        self._now = now
        self._deferred: list[StepState] = []
        self._headroom_by_pool: dict[str, Headroom] = {}

    def is_deferred(
        self, job: JobRuntimeState, step: StepState, task: TaskState
    ) -> bool:
        """
        Tell whether a task has to wait until all short ones had their turn.

        :param job: job of the task.
        :param step: step of the task.
        :param task: a waiting task.
        :returns: whether it makes its step grow, or is the first of its step
            and long-lived tasks hold their fair share already.
        """
        if not is_first_start(step, task):
            return False
        if not is_growth(step, task):
            if not self._has_room(job, step, task):
                return False
            headroom = self.get_headroom(job)
            if headroom.is_first_start_allowed():
                headroom.reserve(step.step.need)
                return False
        if step not in self._deferred[-1:]:
            self._deferred.append(step)
        return True

    def bind(self, max_count: int) -> int:
        """
        Bind deferred tasks, after the short tasks of their priority.

        :param max_count: number of bindings after which the others wait for
            the next round.
        :returns: number of tasks bound.
        """
        # Short tasks have been bound since it was measured.
        self._headroom_by_pool.clear()
        bound_count = 0
        for step in sorted(self._deferred, key=_compute_growth_order):
            bound_count += self._bind_step(step)
            update_waiting_step(self._state, step, self._now)
            if step.is_held_back:
                self._state.growth_retry_at = self._now + _RETRY_S
            if bound_count >= max_count:
                break
        return bound_count

    def get_headroom(self, job: JobRuntimeState) -> Headroom:
        """
        Return the room that is kept for short tasks in this round.

        :param job: job whose pool and priority matter.
        :returns: headroom of the pool, measured at its first use.
        """
        pool = job.queue.pool
        headroom = self._headroom_by_pool.get(pool)
        if headroom is None:
            headroom = self._measure_headroom(job)
            self._headroom_by_pool[pool] = headroom
        return headroom

    def _bind_step(self, step: StepState) -> int:
        job = self._state.job_by_id[step.job_id]
        bound_count = 0
        for task in self._iterate_first_starts(step):
            if not self._has_room(job, step, task):
                break
            headroom = self.get_headroom(job)
            worker = self._selector.select_worker(
                job, step, task, headroom=headroom
            )
            if worker is None:
                step.is_held_back = True
                break
            headroom.take(worker, step.step.need)
            bind_task(
                self._state, task, worker, run=task.run + 1, now=self._now
            )
            self._selector.update_after_binding(worker, step)
            bound_count += 1
        return bound_count

    def _iterate_first_starts(self, step: StepState) -> Iterator[TaskState]:
        for index in tuple(step.waiting_indexes):
            if is_first_start(step, step.tasks[index]):
                yield step.tasks[index]

    def _has_room(
        self, job: JobRuntimeState, step: StepState, task: TaskState
    ) -> bool:
        """Tell whether a worker has room for a task, headroom aside."""
        return self._selector.select_worker(job, step, task) is not None

    def _measure_headroom(self, job: JobRuntimeState) -> Headroom:
        queue = job.queue
        steps = self._state.ready_step_by_key.values()
        return Headroom(
            workers=self._selector.list_eligible_workers(job),
            recent=self._state.short_demand.list_recent(
                queue.pool, queue.priority, self._now
            ),
            waiting=[step for step in steps if self._is_competing(step, queue)],
            waiting_cpu=_sum_first_starts_cpu(self._state, queue),
        )

    def _is_competing(self, step: StepState, queue: Queue) -> bool:
        job = self._state.job_by_id[step.job_id]
        return (
            is_short(step.step)
            and job.queue.pool == queue.pool
            and job.queue.priority <= queue.priority
            and can_still_earn(job, step, self._now)
        )


def _compute_growth_order(step: StepState) -> tuple[bool, MonotonicTime]:
    """Return the sort key: steps without any task first, then by their wait."""
    return bool(step.count_by_worker), step.unplaced_since


def _sum_first_starts_cpu(state: ShardState, queue: Queue) -> float:
    return sum(
        len(step.waiting_indexes) * step.step.need.cpu
        for step in state.ready_step_by_key.values()
        if step.step.is_long_lived
        and state.job_by_id[step.job_id].queue.pool == queue.pool
    )

"""Records what the unfinished jobs of a shard wait for, and for how long.

Each sample attributes the time since the previous one to a single cause for
each job, that of its task which is furthest behind: a task without a worker
before one whose binding is being stored, before one whose start is not
confirmed, before one that runs.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    RunStage,
    StepState,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import describe_rank
from ragwortfield.scheduling.worker_health import is_usable
from ragwortfield.scheduling.worker_selection import (
    compute_free_filler_cpu,
    has_free_resources,
    is_placement_allowed,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import JobId, MonotonicTime, Seconds

#: Time between two samples, in seconds.
_SAMPLE_INTERVAL_S: Seconds = 0.25
#: Longest time that one sample stands for, in seconds; the process may have
#: been paused.
_MAX_SAMPLE_S: Seconds = 2
#: Maximum number of steps in a sample for which single workers are examined.
_MAX_STEPS_EXAMINED = 16


class WaitCause(StrEnum):
    """
    What a job waits for.

    ``OWNER``: the present owner to know the job; ``CPU``, ``MEMORY``,
    ``ACCELERATORS``: no worker has enough of it free; ``COMBINATION``: no
    worker has enough of all together; ``WORKER_STATE``: only workers have room
    that get no starts now; ``PLACEMENT``: only workers have room that the step
    does not allow; ``APPROVAL``: no worker has been approved; ``GANG``: room
    for all members at once; ``INTERFERENCE``: fillers would slow down serving
    tasks; ``HEADROOM``: room is kept for short tasks; ``RACK``: the rack of
    their data, although others have room; ``ROUND``: a worker has
    room and gets the task in a later round; ``COMMIT``: the binding is being
    stored; ``START``: the worker has not confirmed the start; ``STOP``: the
    end of a run that is being stopped; ``RUN``: the tasks run;
    ``NOT_EXAMINED``: some worker has enough of each resource, and too many
    steps wait to find out more.
    """

    OWNER = 'owner'
    CPU = 'cpu'
    MEMORY = 'memory'
    ACCELERATORS = 'accelerators'
    COMBINATION = 'combination'
    WORKER_STATE = 'worker_state'
    PLACEMENT = 'placement'
    APPROVAL = 'approval'
    GANG = 'gang'
    INTERFERENCE = 'interference'
    HEADROOM = 'headroom'
    RACK = 'rack'
    ROUND = 'round'
    COMMIT = 'commit'
    START = 'start'
    STOP = 'stop'
    RUN = 'run'
    NOT_EXAMINED = 'not_examined'


#: Causes of bound tasks, the one that is furthest behind first.
_BOUND_CAUSES = (
    WaitCause.COMMIT,
    WaitCause.START,
    WaitCause.STOP,
    WaitCause.RUN,
)
_CAUSE_BY_STAGE = {
    RunStage.UNCOMMITTED: WaitCause.COMMIT,
    RunStage.ORDERED: WaitCause.START,
    RunStage.STOPPING: WaitCause.STOP,
}


@dataclass(kw_only=True, slots=True)
class WaitRecorder:
    """
    Samples the waits of a shard's jobs.

    :param sampled_at: monotonic time of the latest sample; 0 before it.
    """

    sampled_at: MonotonicTime = 0

    def sample(self, state: ShardState, now: MonotonicTime) -> None:
        """
        Attribute the time since the previous sample, if one is due.

        :param state: state of the shard, after a scheduling round.
        :param now: monotonic time, in seconds.
        """
        elapsed_s = now - self.sampled_at
        if elapsed_s < _SAMPLE_INTERVAL_S:
            return
        is_first = not self.sampled_at
        self.sampled_at = now
        if is_first:
            return
        for job_id, name in _find_wait_names(state, now).items():
            wait_s_by_cause = state.job_by_id[job_id].wait_s_by_cause
            wait_s_by_cause[name] = wait_s_by_cause.get(name, 0) + min(
                elapsed_s, _MAX_SAMPLE_S
            )


def _find_wait_names(state: ShardState, now: MonotonicTime) -> dict[JobId, str]:
    bound_cause_by_job = _find_bound_causes(state)
    name_by_job = {
        job_id: cause.value for job_id, cause in bound_cause_by_job.items()
    }
    finder = _CauseFinder(state=state, now=now)
    for step in state.ready_step_by_key.values():
        job = state.job_by_id[step.job_id]
        cause = finder.find(job, step)
        name_by_job[step.job_id] = f'{cause}/{describe_rank(job, step, now)}'
    return name_by_job


def _find_bound_causes(state: ShardState) -> dict[JobId, WaitCause]:
    cause_by_job: dict[JobId, WaitCause] = {}
    for worker in state.worker_by_id.values():
        for key, task in worker.run_by_key.items():
            cause = _CAUSE_BY_STAGE.get(task.stage, WaitCause.RUN)
            known = cause_by_job.get(key.job_id, WaitCause.RUN)
            cause_by_job[key.job_id] = min(
                cause, known, key=_BOUND_CAUSES.index
            )
    return cause_by_job


@dataclass(kw_only=True, slots=True)
class _LargestRoom:
    """Largest free amount of each resource on any of some workers."""

    cpu: float = 0
    filler_cpu: float = 0
    memory_mb: float = 0
    accelerators: float = 0

    def include(self, worker: WorkerState) -> None:
        self.cpu = max(self.cpu, worker.free_cpu())
        self.filler_cpu = max(self.filler_cpu, compute_free_filler_cpu(worker))
        self.memory_mb = max(self.memory_mb, worker.free_memory_mb())
        self.accelerators = max(self.accelerators, worker.free_accelerators())

    def find_shortage(self, step: StepState) -> WaitCause | None:
        need = step.step.need
        cpu = self.filler_cpu if step.step.is_filler else self.cpu
        if need.cpu > cpu:
            return WaitCause.CPU
        if need.memory_mb > self.memory_mb:
            return WaitCause.MEMORY
        if need.accelerators > self.accelerators:
            return WaitCause.ACCELERATORS
        return None


@dataclass(kw_only=True, slots=True)
class _CauseFinder:
    """Finds out why steps have tasks without a worker, within one sample."""

    state: ShardState
    now: MonotonicTime
    examined_count: int = 0
    workers_by_pool: dict[str, list[WorkerState]] = field(default_factory=dict)
    room_by_pool: dict[str, _LargestRoom] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Sum up the workers of each pool."""
        for worker in self.state.worker_by_id.values():
            if not worker.is_listed:
                continue
            pool = worker.listed.pool
            self.workers_by_pool.setdefault(pool, []).append(worker)
            self.room_by_pool.setdefault(pool, _LargestRoom()).include(worker)

    def find(self, job: JobRuntimeState, step: StepState) -> WaitCause:
        """Find what the waiting tasks of a step lack."""
        if step.is_held_back:
            return WaitCause.HEADROOM
        if step.is_waiting_for_rack:
            return WaitCause.RACK
        if job.queue.advice is not None and not step.ticket_by_worker:
            return WaitCause.APPROVAL
        pool = job.queue.pool
        shortage = self.room_by_pool.get(pool, _LargestRoom()).find_shortage(
            step
        )
        if shortage is not None:
            return shortage
        if step.step.is_gang:
            return WaitCause.GANG
        if self.examined_count == _MAX_STEPS_EXAMINED:
            return WaitCause.NOT_EXAMINED
        self.examined_count += 1
        return self._examine_workers(step, self.workers_by_pool[pool])

    def _examine_workers(
        self, step: StepState, workers: Iterable[WorkerState]
    ) -> WaitCause:
        # Each filter leaves fewer workers; the first that leaves none is the
        # cause.
        filters: tuple[tuple[WaitCause, Callable[[WorkerState], bool]], ...] = (
            (
                WaitCause.COMBINATION,
                lambda worker: has_free_resources(worker, step),
            ),
            (
                WaitCause.WORKER_STATE,
                lambda worker: is_usable(worker, self.state.bounds, self.now),
            ),
            (
                WaitCause.PLACEMENT,
                lambda worker: is_placement_allowed(worker, step),
            ),
        )
        remaining = list(workers)
        for cause, is_suitable in filters:
            remaining = [worker for worker in remaining if is_suitable(worker)]
            if not remaining:
                return cause
        return (
            WaitCause.INTERFERENCE if step.step.is_filler else WaitCause.ROUND
        )

"""Which worker a task goes to.

Tasks that need processor of their own go where the least stays unused, so
that room for wide tasks remains. Fillers use what others leave; they go where
most is left for each of them.
"""

from ragwortfield.scheduling.job_rows import JobRow, StepRow, TaskRow
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.scheduling.worker_rows import WorkerRow
from ragwortfield.types import Instant

#: Tolerance for sums of floating-point amounts of processor, in cores.
_CPU_TOLERANCE = 1e-6
#: Part of its processor that must be left over for a filler to start.
_FILLER_SHARE = 0.6


class Chooser:
    """
    Choice of workers within one round of decisions.

    :param tables: tables of the shard.
    :param now: reading of the monotonic clock.
    """

    def __init__(self, *, tables: ShardTables, now: Instant) -> None:
        """Collect the workers that may get tasks in this round."""
        self._tables = tables
        self._now = now
        self._candidates_by_pool: dict[str, list[WorkerRow]] = {}
        for worker in tables.worker_by_id.values():
            if self._is_usable(worker):
                pool = worker.listed.pool
                self._candidates_by_pool.setdefault(pool, []).append(worker)
        self._unfit: set[tuple[str, float, float, float, str, bool]] = set()

    def choose(
        self,
        job: JobRow,
        step: StepRow,
        task: TaskRow,
    ) -> WorkerRow | None:
        """
        Choose a worker for one task.

        :param job: its job.
        :param step: its step.
        :param task: the task.
        :returns: the worker; ``None`` when none fits now.
        """
        shape = self._shape(job, step)
        if shape in self._unfit:
            return None
        fitting = [
            worker
            for worker in self._candidates_by_pool.get(job.queue.pool, ())
            if fits(worker, step)
        ]
        if not fitting:
            self._unfit.add(shape)
            return None
        allowed = [one for one in fitting if is_allowed(one, step)]
        preferred = [
            one for one in allowed if one.worker_id not in task.avoided
        ]
        return self._best(preferred or allowed, step)

    def choose_gang(
        self,
        job: JobRow,
        step: StepRow,
    ) -> list[WorkerRow] | None:
        """
        Choose workers for all members of a gang at once.

        :param job: its job.
        :param step: its step.
        :returns: one worker a member; ``None`` when they do not all fit.
        """
        candidates = [
            worker
            for worker in self._candidates_by_pool.get(job.queue.pool, ())
            if is_allowed(worker, step) and fits(worker, step)
        ]
        if step.step.is_same_rack:
            racks = sorted({one.listed.rack for one in candidates})
            for rack in racks:
                on_rack = [one for one in candidates if one.listed.rack == rack]
                chosen = _spread(on_rack, step)
                if chosen is not None:
                    return chosen
        return _spread(candidates, step)

    def _is_usable(self, worker: WorkerRow) -> bool:
        return (
            worker.is_listed
            and not worker.listed.is_draining
            and worker.is_in_contact(self._tables.bounds, self._now)
            and self._now >= worker.full_until
            and self._now >= worker.resting_until
        )

    def _best(
        self,
        workers: list[WorkerRow],
        step: StepRow,
    ) -> WorkerRow | None:
        if not workers:
            return None
        rack = step.step.data_rack
        near = [one for one in workers if not rack or one.listed.rack == rack]
        if step.step.is_filler:
            return max(near or workers, key=_left_for_fillers)
        return min(near or workers, key=_unused)

    def _shape(
        self,
        job: JobRow,
        step: StepRow,
    ) -> tuple[str, float, float, float, str, bool]:
        need = step.step.need
        return (
            job.queue.pool,
            need.cpu,
            need.memory_mb,
            need.accelerators,
            step.step.required_label,
            step.step.is_filler,
        )


def fits(worker: WorkerRow, step: StepRow) -> bool:
    """
    Tell whether one more task of a step fits on a worker.

    :param worker: the worker.
    :param step: the step.
    :returns: whether each resource suffices.
    """
    need = step.step.need
    if need.memory_mb > worker.free_memory_mb():
        return False
    if need.accelerators > worker.free_accelerators():
        return False
    if step.step.is_filler:
        left = worker.free_cpu() - worker.filler_cpu
        return left >= need.cpu * _FILLER_SHARE
    return need.cpu <= worker.free_cpu() + _CPU_TOLERANCE


def is_allowed(worker: WorkerRow, step: StepRow) -> bool:
    """
    Tell whether the step's terms admit one more task on a worker.

    :param worker: the worker.
    :param step: the step.
    :returns: whether label and number of tasks are as the step wants.
    """
    label = step.step.required_label
    if label and label not in worker.listed.labels:
        return False
    limit = step.step.per_worker_limit
    return not limit or step.count_by_worker.get(worker.worker_id, 0) < limit


def _unused(worker: WorkerRow) -> float:
    return worker.free_cpu()


def _left_for_fillers(worker: WorkerRow) -> float:
    return worker.free_cpu() - worker.filler_cpu


def _spread(
    workers: list[WorkerRow],
    step: StepRow,
) -> list[WorkerRow] | None:
    """Fill workers in turn, the emptiest first."""
    need = step.step.need
    limit = step.step.per_worker_limit or step.step.count
    chosen: list[WorkerRow] = []
    for worker in sorted(workers, key=_unused, reverse=True):
        amounts = [limit, step.step.count - len(chosen)]
        if need.cpu and not step.step.is_filler:
            amounts.append(int((worker.free_cpu() + _CPU_TOLERANCE) / need.cpu))
        if need.memory_mb:
            amounts.append(int(worker.free_memory_mb() / need.memory_mb))
        if need.accelerators:
            amounts.append(int(worker.free_accelerators() / need.accelerators))
        chosen.extend([worker] * max(min(amounts), 0))
        if len(chosen) == step.step.count:
            return chosen
    return None

"""Which worker a task goes to.

Tasks that need processor of their own go where the least stays unused, so
that room for wide tasks remains. Fillers use what others leave; they go where
most is left for each of them.
"""

from itertools import repeat

from ragwortfield.scheduling.interference import (
    Headroom,
    intolerance,
    is_fast_enough,
    spare_headroom,
    speed_and_cost,
)
from ragwortfield.scheduling.job_rows import JobRow, StepRow, TaskRow
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.scheduling.tolerance import Tolerance
from ragwortfield.scheduling.worker_rows import WorkerRow
from ragwortfield.types import Instant, Seconds, WorkerId

#: Tolerance for sums of floating-point amounts of processor, in cores.
_CPU_TOLERANCE = 1e-6

#: Time from a binding to the start at the worker, in seconds; a ticket has to
#: hold for it.
_START_TIME_S: Seconds = 0.3

#: What decides whether any worker has room: pool, need, label and image.
_Shape = tuple[str, tuple[float, float, float], str, str]


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
        self._spare_by_worker: dict[WorkerId, Headroom] = {}
        self._candidates_by_pool: dict[str, list[WorkerRow]] = {}
        for worker in tables.worker_by_id.values():
            if self._is_usable(worker):
                pool = worker.listed.pool
                self._candidates_by_pool.setdefault(pool, []).append(worker)
        self._unfit: set[_Shape] = set()
        # Nothing is learned within a round, so one judgement serves it.
        self._tolerance = tolerance_of(tables)

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
            worker for worker in self.candidates(job) if fits(worker, step)
        ]
        if not fitting:
            self._unfit.add(shape)
            return None
        allowed = [one for one in fitting if self._is_admitted(job, one, step)]
        preferred = [
            one for one in allowed if one.worker_id not in task.avoided
        ]
        return self._best(preferred or allowed, step)

    def candidates(self, job: JobRow) -> list[WorkerRow]:
        """
        List the workers of a job's pool that may get tasks.

        :param job: the job.
        :returns: the workers, whether a task fits there or not.
        """
        return self._candidates_by_pool.get(job.queue.pool, [])

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
            for worker in self.candidates(job)
            if self._is_admitted(job, worker, step) and fits(worker, step)
        ]
        if step.step.is_same_rack:
            racks = sorted({one.listed.rack for one in candidates})
            for rack in racks:
                on_rack = [one for one in candidates if one.listed.rack == rack]
                chosen = _spread(on_rack, step)
                if chosen is not None:
                    return chosen
        return _spread(candidates, step)

    def _is_admitted(
        self,
        job: JobRow,
        worker: WorkerRow,
        step: StepRow,
    ) -> bool:
        if not is_allowed(worker, step):
            return False
        return job.queue.advice is None or has_ticket(worker, step, self._now)

    def _is_usable(self, worker: WorkerRow) -> bool:
        return (
            worker.is_listed
            and not worker.listed.is_draining
            and worker.is_in_contact(self._tables.bounds, self._now)
            and self._now >= max(worker.full_until, worker.resting_until)
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
            return self._best_for_filler(near or workers, step)
        if step.step.latency_target_ms:
            return self._best_for_serving(near or workers, step.step.image)
        return min(near or workers, key=_unused)

    def _best_for_serving(
        self,
        workers: list[WorkerRow],
        image: str,
    ) -> WorkerRow:
        tolerance = self._tolerance
        if tolerance.is_known(image):
            return min(
                workers,
                key=lambda one: (
                    round(tolerance.loss(one, image)),
                    _rank_for_serving(one, image),
                ),
            )
        return min(workers, key=lambda one: _rank_for_serving(one, image))

    def _best_for_filler(
        self,
        workers: list[WorkerRow],
        step: StepRow,
    ) -> WorkerRow | None:
        best: WorkerRow | None = None
        best_rank: tuple[float, float, float] | None = None
        for worker in workers:
            speed, cost = speed_and_cost(
                self._tables,
                worker,
                self._spare(worker),
                step.step.image,
                step.step.need.cpu,
            )
            rank = (
                -round(cost, 1),
                intolerance(self._tables, worker),
                left_for_fillers(worker),
            )
            is_better = best_rank is None or rank > best_rank
            if is_fast_enough(speed) and is_better:
                best = worker
                best_rank = rank
        if best is not None:
            self._spare_by_worker.pop(best.worker_id, None)
        return best

    def _spare(self, worker: WorkerRow) -> Headroom:
        known = self._spare_by_worker.get(worker.worker_id)
        if known is None:
            known = spare_headroom(self._tables, worker)
            self._spare_by_worker[worker.worker_id] = known
        return known

    def _shape(
        self,
        job: JobRow,
        step: StepRow,
    ) -> _Shape:
        need = step.step.need
        return (
            job.queue.pool,
            (need.cpu, need.memory_mb, need.accelerators),
            step.step.required_label,
            step.step.image if step.step.is_filler else '',
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
        return left_for_fillers(worker) >= need.cpu
    return need.cpu <= worker.free_cpu() + _CPU_TOLERANCE


def is_allowed(worker: WorkerRow, step: StepRow) -> bool:
    """
    Tell whether the step's terms admit one more task on a worker.

    :param worker: the worker.
    :param step: the step.
    :returns: whether label and number of tasks are as the step wants.
    """
    if not has_label(worker, step):
        return False
    limit = step.step.per_worker_limit
    return not limit or step.count_by_worker.get(worker.worker_id, 0) < limit


def has_label(worker: WorkerRow, step: StepRow) -> bool:
    """
    Tell whether a worker has the label that a step asks for.

    :param worker: the worker.
    :param step: the step.
    :returns: whether it has it, or none is asked for.
    """
    label = step.step.required_label
    return not label or label in worker.listed.labels


def has_ticket(worker: WorkerRow, step: StepRow, now: Instant) -> bool:
    """
    Tell whether a worker is approved for a step.

    :param worker: the worker.
    :param step: the step.
    :param now: reading of the monotonic clock.
    :returns: whether its ticket holds long enough for a start.
    """
    ticket = step.ticket_by_worker.get(worker.worker_id)
    if ticket is None or ticket.born_ms != worker.born_ms:
        return False
    return now + _START_TIME_S < ticket.valid_until


def room_for(worker: WorkerRow, step: StepRow) -> int:
    """
    Count the tasks of a step that fit on a worker.

    :param worker: the worker.
    :param step: the step.
    :returns: number of tasks; at most those that the step has.
    """
    need = step.step.need
    limit = step.step.per_worker_limit or step.step.count
    amounts = [limit, step.step.count]
    if need.cpu and not step.step.is_filler:
        amounts.append(int((worker.free_cpu() + _CPU_TOLERANCE) / need.cpu))
    if need.memory_mb:
        amounts.append(int(worker.free_memory_mb() / need.memory_mb))
    if need.accelerators:
        amounts.append(int(worker.free_accelerators() / need.accelerators))
    return max(min(amounts), 0)


def _rank_for_serving(worker: WorkerRow, image: str) -> tuple[int, float]:
    """Serving tasks of one image together leave most room for fillers."""
    others = len(worker.serving_by_image)
    if image in worker.serving_by_image:
        return others - 1, worker.free_cpu()
    return others * 2, worker.free_cpu()


def _unused(worker: WorkerRow) -> float:
    return worker.free_cpu()


def left_for_fillers(worker: WorkerRow) -> float:
    """
    Estimate the processor that a further filler would find unused.

    :param worker: the worker.
    :returns: cores.
    """
    return worker.idle_cpu() - worker.filler_cpu


def tolerance_of(tables: ShardTables) -> Tolerance:
    """
    Judge the idle processor of a shard's workers.

    :param tables: tables of the shard.
    :returns: what fillers can make of it.
    """
    return Tolerance(
        model=tables.pressure,
        work_by_filler=tables.work_by_filler,
    )


def _spread(
    workers: list[WorkerRow],
    step: StepRow,
) -> list[WorkerRow] | None:
    """Fill workers in turn, the emptiest first."""
    chosen: list[WorkerRow] = []
    for worker in sorted(workers, key=_unused, reverse=True):
        left = step.step.count - len(chosen)
        chosen.extend(repeat(worker, min(room_for(worker, step), left)))
        if len(chosen) == step.step.count:
            return chosen
    return None

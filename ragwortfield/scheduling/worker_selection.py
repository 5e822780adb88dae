"""Which worker a task goes to.

Tasks that need processor of their own go where the least stays unused, so
that room for wide tasks remains. Fillers use what others leave; they go where
most is left for each of them.
"""

from collections.abc import Container
from functools import partial
from itertools import repeat

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.interference_control import (
    HeadroomByImage,
    is_speed_sufficient,
    compute_spare_headroom,
    estimate_speed_and_interference,
)
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.worker_ranking import (
    NeedGroup,
    Rank,
    RankFunction,
    WorkerRanking,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.filler_capacity import FillerCapacity
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Tolerance for sums of floating-point amounts of processor, in cores.
_CPU_TOLERANCE_CORES = 1e-6

#: Time from a binding to the start at the worker, in seconds; a ticket has to
#: hold for it.
_START_TIME_S: Seconds = 0.3

#: What a core in a piece too small for another serving task counts, against
#: a core that fillers lose, while tasks wait for room of their own.
_WASTE_WEIGHT = 1.0
#: Steps in which the loss that a serving task brings is told apart, for each
#: time its own processor.
_LOSS_STEPS = 4

#: What tells needs apart: group, amounts, rack of the data, serving image.
_Need = tuple[NeedGroup, Resources, str, str]


class WorkerSelector:
    """
    Choice of workers within one round of decisions.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    """

    def __init__(self, *, state: ShardState, now: MonotonicTime) -> None:
        """Collect the workers that may get tasks in this round."""
        self._state = state
        self._now = now
        self._spare_by_worker: dict[WorkerId, tuple[int, HeadroomByImage]] = {}
        self._candidates_by_pool: dict[str, list[WorkerState]] = {}
        for worker in state.worker_by_id.values():
            if self._is_usable(worker):
                pool = worker.listed.pool
                self._candidates_by_pool.setdefault(pool, []).append(worker)
        self._ranking_by_need: dict[_Need, WorkerRanking] = {}
        # Nothing is learned within a round, so one judgement serves it.
        self._tolerance = build_filler_capacity(state)
        self._intolerance_by_image: dict[str, float] = {}
        # Room in pieces is only worth something to tasks that want it.
        self._is_tight = any(
            step.unplaced_since and not step.step.is_filler
            for step in state.ready_step_by_key.values()
        )

    def select_worker(
        self,
        job: JobRuntimeState,
        step: StepState,
        task: TaskState,
        closed: Container[WorkerId] = (),
    ) -> WorkerState | None:
        """
        Choose a worker for one task.

        :param job: its job.
        :param step: its step.
        :param task: the task.
        :param closed: workers that it must not go to.
        :returns: the worker; ``None`` when none fits now.
        """
        need = _need(job, step)
        ranking = self._ranking_by_need.get(need)
        if ranking is None:
            ranking = self._rank(job, step)
            self._ranking_by_need[need] = ranking
        worker = ranking.find_best(
            lambda worker: (
                worker.worker_id not in closed
                and self._is_admitted(job, worker, step=step)
            ),
            task.avoided_workers,
        )
        if worker is None and ranking.is_empty():
            self._state.unmet_needs.mark_unmet(
                need[0],
                step.step.need,
                self._state.change_counter.latest,
            )
        return worker

    def estimate_speed_and_interference(
        self,
        worker: WorkerState,
        step: StepState,
    ) -> tuple[float, float]:
        """
        Judge a worker for one more filler.

        :param worker: the worker.
        :param step: step of the filler.
        :returns: share of its full speed that it would find, and how much it
            would disturb.
        """
        return estimate_speed_and_interference(
            self._state,
            worker,
            self._spare(worker),
            step.step.image,
            step.step.need.cpu,
        )

    def update_after_binding(
        self, worker: WorkerState, step: StepState
    ) -> None:
        """
        Take into account that a task was bound in this round.

        :param worker: its worker.
        :param step: its step.
        """
        if step.step.is_filler:
            # A filler only leaves less, which is seen when its worker is next.
            return
        for need, ranking in self._ranking_by_need.items():
            if not _is_for_fillers(need):
                ranking.refresh(worker)

    def eligible_workers(self, job: JobRuntimeState) -> list[WorkerState]:
        """
        List the workers of a job's pool that may get tasks.

        :param job: the job.
        :returns: the workers, whether a task fits there or not.
        """
        return self._candidates_by_pool.get(job.queue.pool, [])

    def select_gang_workers(
        self,
        job: JobRuntimeState,
        step: StepState,
    ) -> list[WorkerState] | None:
        """
        Choose workers for all members of a gang at once.

        :param job: its job.
        :param step: its step.
        :returns: one worker a member; ``None`` when they do not all fit.
        """
        eligible_workers = [
            worker
            for worker in self.eligible_workers(job)
            if self._is_admitted(job, worker, step=step) and fits(worker, step)
        ]
        if step.step.is_same_rack:
            racks = sorted({one.listed.rack for one in eligible_workers})
            for rack in racks:
                on_rack = [
                    one for one in eligible_workers if one.listed.rack == rack
                ]
                chosen = _spread(on_rack, step)
                if chosen is not None:
                    return chosen
        return _spread(eligible_workers, step)

    def _is_admitted(
        self,
        job: JobRuntimeState,
        worker: WorkerState,
        *,
        step: StepState,
    ) -> bool:
        if not is_placement_allowed(worker, step):
            return False
        return job.queue.advice is None or has_valid_ticket(
            worker, step, self._now
        )

    def _is_usable(self, worker: WorkerState) -> bool:
        was_usable = (
            worker.is_listed
            and not worker.listed.is_draining
            and worker.is_in_contact(self._state.bounds, self._now)
            and self._now
            >= max(worker.start_backoff_until, worker.quarantined_until)
        )
        if was_usable and not worker.was_usable:
            worker.record_change()
        worker.was_usable = was_usable
        return was_usable

    def _rank(self, job: JobRuntimeState, step: StepState) -> WorkerRanking:
        since = self._state.unmet_needs.find_last_checked_change(
            _need(job, step)[0],
            step.step.need,
        )
        return WorkerRanking(
            workers=(
                worker
                for worker in self.eligible_workers(job)
                if worker.change_number > since
            ),
            rank=self._rank_function(step),
        )

    def _rank_function(self, step: StepState) -> RankFunction:
        if step.step.is_filler:
            return partial(self._rank_for_filler, step)
        if step.step.latency_target_ms:
            return partial(self._rank_for_serving, step)
        return partial(_rank_for_fit, step)

    def _rank_for_serving(
        self, step: StepState, worker: WorkerState
    ) -> Rank | None:
        if not fits(worker, step):
            return None
        image = step.step.image
        cpu = step.step.need.cpu
        lost_cpu: float = 0
        if self._is_tight:
            lost_cpu += _WASTE_WEIGHT * _waste(worker, cpu)
        if self._tolerance.is_estimable(image):
            lost_cpu += self._tolerance.loss(worker, image, cpu)
        loss = round(_LOSS_STEPS * lost_cpu / max(cpu, _CPU_TOLERANCE_CORES))
        return (
            _is_far(worker, step),
            self._now < worker.avoid_serving_until,
            loss,
            *_order_for_serving(worker, image),
        )

    def _rank_for_filler(
        self, step: StepState, worker: WorkerState
    ) -> Rank | None:
        if not fits(worker, step):
            return None
        speed, cost = self.estimate_speed_and_interference(worker, step)
        if not is_speed_sufficient(speed):
            return None
        return (
            _is_far(worker, step),
            round(cost, 1),
            -self._intolerance(worker),
            -compute_free_filler_cpu(worker),
        )

    def _spare(self, worker: WorkerState) -> HeadroomByImage:
        known = self._spare_by_worker.get(worker.worker_id)
        if known is None or known[0] != worker.change_number:
            known = (
                worker.change_number,
                compute_spare_headroom(self._state, worker),
            )
            self._spare_by_worker[worker.worker_id] = known
        return known[1]

    def _intolerance(self, worker: WorkerState) -> float:
        """
        Tell how badly a worker's serving tasks get on with fillers in general.

        A filler that disturbs nobody goes to such a worker, so that the
        tolerant ones stay free for fillers that disturb most others.
        """
        known = self._intolerance_by_image
        for image in worker.serving_by_image:
            if image not in known:
                mean = self._state.interference_model.compute_mean_weight(image)
                known[image] = round(mean, 1)
        return max(
            (known[image] for image in worker.serving_by_image), default=0
        )


def fits(worker: WorkerState, step: StepState) -> bool:
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
        return compute_free_filler_cpu(worker) >= need.cpu
    return need.cpu <= worker.free_cpu() + _CPU_TOLERANCE_CORES


def is_placement_allowed(worker: WorkerState, step: StepState) -> bool:
    """
    Tell whether the step's terms admit one more task on a worker.

    :param worker: the worker.
    :param step: the step.
    :returns: whether label and number of tasks are as the step wants.
    """
    if not has_required_label(worker, step):
        return False
    limit = step.step.per_worker_limit
    return not limit or step.count_by_worker.get(worker.worker_id, 0) < limit


def has_required_label(worker: WorkerState, step: StepState) -> bool:
    """
    Tell whether a worker has the label that a step asks for.

    :param worker: the worker.
    :param step: the step.
    :returns: whether it has it, or none is asked for.
    """
    label = step.step.required_label
    if not label:
        return True
    # A worker may come back as one of another kind before its entry does.
    lives = {worker.born_ms, worker.listed.born_ms} - {0}
    return len(lives) < 2 and label in worker.listed.labels


def has_valid_ticket(
    worker: WorkerState, step: StepState, now: MonotonicTime
) -> bool:
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


def count_fitting_tasks(worker: WorkerState, step: StepState) -> int:
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
        amounts.append(
            int((worker.free_cpu() + _CPU_TOLERANCE_CORES) / need.cpu)
        )
    if need.memory_mb:
        amounts.append(int(worker.free_memory_mb() / need.memory_mb))
    if need.accelerators:
        amounts.append(int(worker.free_accelerators() / need.accelerators))
    return max(min(amounts), 0)


def _need(job: JobRuntimeState, step: StepState) -> _Need:
    terms = step.step
    group = (
        job.queue.pool,
        terms.required_label,
        f'filler {terms.image}' if terms.is_filler else '',
    )
    serving = terms.image if terms.latency_target_ms else ''
    return group, terms.need, terms.data_rack, serving


def _is_for_fillers(need: _Need) -> bool:
    return bool(need[0][-1])


def _rank_for_fit(step: StepState, worker: WorkerState) -> Rank | None:
    if not fits(worker, step):
        return None
    return _is_far(worker, step), worker.free_cpu()


def _is_far(worker: WorkerState, step: StepState) -> bool:
    rack = step.step.data_rack
    return bool(rack) and worker.listed.rack != rack


def _waste(worker: WorkerState, cpu: float) -> float:
    """A piece that is left but too small for another such task, in cores."""
    left_cpu = worker.free_cpu() - cpu
    return left_cpu if left_cpu < cpu else 0


def _order_for_serving(worker: WorkerState, image: str) -> tuple[int, float]:
    """Serving tasks of one image together leave most room for fillers."""
    others = len(worker.serving_by_image)
    if image in worker.serving_by_image:
        return others - 1, worker.free_cpu()
    return others * 2, worker.free_cpu()


def compute_free_filler_cpu(worker: WorkerState) -> float:
    """
    Estimate the processor that a further filler would find unused.

    :param worker: the worker.
    :returns: cores.
    """
    return worker.idle_cpu() - worker.filler_cpu


def build_filler_capacity(state: ShardState) -> FillerCapacity:
    """
    Judge the idle processor of a shard's workers.

    :param state: tables of the shard.
    :returns: what fillers can make of it.
    """
    return FillerCapacity(
        model=state.interference_model,
        work_by_filler=state.work_by_filler,
    )


def _spread(
    workers: list[WorkerState],
    step: StepState,
) -> list[WorkerState] | None:
    """Fill workers in turn, the emptiest first."""
    chosen: list[WorkerState] = []
    for worker in sorted(workers, key=WorkerState.free_cpu, reverse=True):
        left = step.step.count - len(chosen)
        chosen.extend(
            repeat(worker, min(count_fitting_tasks(worker, step), left))
        )
        if len(chosen) == step.step.count:
            return chosen
    return None

"""Selects the worker for a task.

Tasks with reserved CPU are packed (best fit), so that room for large tasks
remains. Serving tasks go where fillers lose least by them. Fillers use the CPU
that others leave idle and go where they interfere least.
"""

from collections.abc import Container, Iterable
from functools import partial
from itertools import repeat

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.filler_capacity import FillerCapacity
from ragwortfield.scheduling.filler_starvation import (
    WaitingLevel,
    compute_waiting_level,
    is_slow_start_allowed,
)
from ragwortfield.scheduling.headroom import Headroom
from ragwortfield.scheduling.interference_control import (
    HeadroomByImage,
    compute_spare_headroom,
    estimate_speed_and_interference,
    is_speed_sufficient,
)
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.shard_state import ShardState, StepKey
from ragwortfield.scheduling.slow_workers import SlowWorkers
from ragwortfield.scheduling.worker_health import is_on_trial, is_usable
from ragwortfield.scheduling.worker_ranking import (
    NeedGroup,
    Rank,
    RankFunction,
    WorkerRanking,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Tolerance for rounding errors in sums of CPU amounts, in cores.
_CPU_TOLERANCE_CORES = 1e-6

#: Time from a binding to the start on the worker, in seconds; a ticket must
#: still be valid then.
_START_DELAY_S: Seconds = 0.3

#: Time for which a task that has lost an attempt waits for a worker that it
#: does not avoid, in seconds.
_AVOIDED_WORKER_DELAY_S: Seconds = 3

#: Weight of a stranded core, in a fragment too small for another task like the
#: one placed, relative to a core that fillers lose. It counts only while tasks
#: with reserved CPU wait for room.
_STRANDED_CPU_WEIGHT = 1.0
#: Resolution at which losses caused by a serving task are compared: steps for
#: each multiple of the CPU of the task.
_LOSS_RESOLUTION = 4

#: Steps with the same key share a ranking: group of the need, amounts, rack of
#: the data, serving image, and whether warm workers come first.
_RankingKey = tuple[NeedGroup, Resources, str, str, bool]


class WorkerSelector:
    """
    Selects workers for tasks within one scheduling round.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :param is_trial: whether to leave the state as it is, for questions of
        operators; what earlier rounds have found out is then not used.
    """

    def __init__(
        self,
        *,
        state: ShardState,
        now: MonotonicTime,
        is_trial: bool = False,
    ) -> None:
        """Collect the workers that can get tasks in this round."""
        self._state = state
        self._is_trial = is_trial
        self._now = now
        self._spare_headroom_by_worker: dict[
            WorkerId, tuple[int, HeadroomByImage]
        ] = {}
        self._eligible_workers_by_pool: dict[str, list[WorkerState]] = {}
        for worker in state.worker_by_id.values():
            if self._check_usable(worker):
                pool = worker.listed.pool
                self._eligible_workers_by_pool.setdefault(pool, []).append(
                    worker
                )
        self._has_cold_workers = any(
            worker.is_cold(now)
            for workers in self._eligible_workers_by_pool.values()
            for worker in workers
        )
        self._slow_workers = SlowWorkers(
            state=state,
            now=now,
            workers_by_pool=self._eligible_workers_by_pool,
            is_trial=is_trial,
        )
        self._ranking_by_key: dict[_RankingKey, WorkerRanking] = {}
        # Workers that got tasks in this round, in order, and how many of them
        # each ranking has taken into account.
        self._bound_workers: list[WorkerState] = []
        self._seen_count_by_key: dict[_RankingKey, int] = {}
        # The interference model does not change within a round.
        self._filler_capacity = build_filler_capacity(state)
        self._sensitivity_by_image: dict[str, float] = {}
        # Stranded CPU matters only while tasks with reserved CPU wait.
        self._is_capacity_scarce = any(
            step.unplaced_since and not step.step.is_filler
            for step in state.ready_step_by_key.values()
        )
        # Tasks that need not run in these racks leave them to those that do.
        self._wanted_racks: frozenset[str] = frozenset()
        if state.settings.remote_duration_factor > 1:
            self._wanted_racks = frozenset(
                step.step.data_rack for step in state.ready_step_by_key.values()
            ) - {''}
        self._chosen_rack_by_step: dict[StepKey, str] = {}

    def choose_rack(self, step: StepState, rack: str) -> None:
        """
        Prefer a rack for the tasks of a ``same_rack`` step in this round.

        :param step: the step; the rack of its data, if any, comes first.
        :param rack: the rack; empty for none.
        """
        key = (step.job_id, step.occurrence, step.number)
        self._chosen_rack_by_step[key] = rack

    def get_preferred_rack(self, step: StepState) -> str:
        """
        Return the rack where the tasks of a step run fastest.

        :param step: the step.
        :returns: the rack; empty if they run equally fast anywhere.
        """
        if step.step.data_rack or not step.step.is_same_rack:
            return step.step.data_rack
        key = (step.job_id, step.occurrence, step.number)
        return self._chosen_rack_by_step.get(key, '')

    def list_suitable_workers(
        self,
        job: JobRuntimeState,
        step: StepState,
        workers: Iterable[WorkerState],
    ) -> list[WorkerState]:
        """
        Return the workers that a step allows, with or without free room.

        :param job: job of the step.
        :param step: the step; its limit per worker is not considered.
        :param workers: workers that can get tasks in this round.
        :returns: those of them that can get tasks of the step.
        """
        return [
            worker
            for worker in workers
            if has_required_label(worker, step)
            and self._is_trusted(job, worker, step=step)
        ]

    def select_worker(
        self,
        job: JobRuntimeState,
        step: StepState,
        task: TaskState,
        excluded_ids: Container[WorkerId] = (),
        headroom: Headroom | None = None,
    ) -> WorkerState | None:
        """
        Select a worker for one task.

        :param job: job of the task.
        :param step: step of the task.
        :param task: the task.
        :param excluded_ids: workers that must not be selected.
        :param headroom: room that the task has to leave; ``None`` for none.
        :returns: the worker; ``None`` if no worker has room at present.
        """
        key = self._build_ranking_key(job, step)
        ranking = self._get_ranking(key, job, step)
        worker = ranking.find_best(
            lambda worker: (
                worker.worker_id not in excluded_ids
                and self._is_admitted(job, worker, step=step)
                and (
                    headroom is None
                    or headroom.is_start_allowed(worker, step.step.need)
                )
            ),
            task.avoided_workers,
        )
        if worker is not None and self._is_too_early(task, worker):
            return None
        if worker is None and ranking.is_empty() and not self._is_trial:
            self._state.unmet_needs.mark_unmet(
                key[0],
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
        Estimate the effect of starting one more filler on a worker.

        :param worker: the worker.
        :param step: step of the filler.
        :returns: share of its full speed at which the filler could run, 0 to
            1, and the largest utilisation that it would add at full speed.
        """
        return estimate_speed_and_interference(
            self._state,
            worker,
            self._get_spare_headroom(worker),
            step.step.image,
            step.step.need.cpu,
        )

    def update_after_binding(
        self, worker: WorkerState, step: StepState
    ) -> None:
        """
        Note that a task was bound in this round.

        :param worker: worker of the task.
        :param step: step of the task.
        """
        # A filler can only make its worker rank lower, and a ranking detects
        # that when the worker comes first.
        if not step.step.is_filler:
            self._bound_workers.append(worker)

    def list_eligible_workers(self, job: JobRuntimeState) -> list[WorkerState]:
        """
        Return the workers of a job's pool that can get tasks in this round.

        :param job: the job.
        :returns: the workers, with or without free room.
        """
        return self._eligible_workers_by_pool.get(job.queue.pool, [])

    def select_gang_workers(
        self,
        job: JobRuntimeState,
        step: StepState,
    ) -> list[WorkerState] | None:
        """
        Select workers for all members of a gang at once.

        Prefers workers that are not slow and that no member has to avoid and,
        if the step asks for it, workers of one rack.

        :param job: job of the gang.
        :param step: step of the gang.
        :returns: one worker for each member; ``None`` if not all of them fit.
        """
        eligible_workers = [
            worker
            for worker in self.list_eligible_workers(job)
            if self._is_admitted(job, worker, step=step)
            and has_free_resources(worker, step)
        ]
        avoided_ids = self._slow_workers.slow_ids.union(
            *(task.avoided_workers for task in step.tasks)
        )
        preferred = [
            worker
            for worker in eligible_workers
            if worker.worker_id not in avoided_ids
        ]
        return _place_gang(preferred, step) or _place_gang(
            eligible_workers, step
        )

    def _is_admitted(
        self,
        job: JobRuntimeState,
        worker: WorkerState,
        *,
        step: StepState,
    ) -> bool:
        return is_placement_allowed(worker, step) and self._is_trusted(
            job, worker, step=step
        )

    def _is_trusted(
        self,
        job: JobRuntimeState,
        worker: WorkerState,
        *,
        step: StepState,
    ) -> bool:
        if not self._slow_workers.is_start_allowed(worker, job, step):
            return False
        if is_on_trial(
            worker,
            self._now,
            is_attempt_limited=not (
                step.step.is_long_lived or step.step.is_gang
            ),
        ):
            return False
        return job.queue.advice is None or has_valid_ticket(
            worker, step, self._now
        )

    def _is_too_early(self, task: TaskState, worker: WorkerState) -> bool:
        """
        Tell whether a task should wait for a worker that it does not avoid.

        A task that has lost an attempt may lose the next one on a worker that
        it avoids, and others can be full only for a moment. A task that was
        stopped because it was slow would be slow there again.
        """
        return (
            (task.failures > 0 or task.restart_count > 0)
            and worker.worker_id in task.avoided_workers
            and self._now - task.not_running_since < _AVOIDED_WORKER_DELAY_S
        )

    def _check_usable(self, worker: WorkerState) -> bool:
        """Tell whether a worker can get tasks; record when that begins."""
        if self._is_trial:
            return is_usable(worker, self._state.bounds, self._now)
        was_usable = worker.was_usable
        worker.was_usable = is_usable(worker, self._state.bounds, self._now)
        if worker.was_usable and not was_usable:
            worker.record_change()
        return worker.was_usable

    def _get_ranking(
        self, key: _RankingKey, job: JobRuntimeState, step: StepState
    ) -> WorkerRanking:
        """Return the up-to-date ranking of a key, built at its first use."""
        ranking = self._ranking_by_key.get(key)
        if ranking is None:
            ranking = self._build_ranking(job, step)
            self._ranking_by_key[key] = ranking
        elif not _is_for_fillers(key):
            changed_by_id = {
                worker.worker_id: worker
                for worker in self._bound_workers[
                    self._seen_count_by_key[key] :
                ]
                if worker.listed.pool == job.queue.pool
            }
            for worker in changed_by_id.values():
                ranking.refresh(worker)
        self._seen_count_by_key[key] = len(self._bound_workers)
        return ranking

    def _build_ranking(
        self, job: JobRuntimeState, step: StepState
    ) -> WorkerRanking:
        checked_change = -1
        if not self._is_trial:
            checked_change = self._state.unmet_needs.find_last_checked_change(
                self._build_ranking_key(job, step)[0],
                step.step.need,
            )
        return WorkerRanking(
            workers=(
                worker
                for worker in self.list_eligible_workers(job)
                if worker.change_number > checked_change
            ),
            rank=self._choose_warm_rank_function(job, step),
        )

    def _build_ranking_key(
        self, job: JobRuntimeState, step: StepState
    ) -> _RankingKey:
        definition = step.step
        filler_group = ''
        if definition.is_filler:
            waiting = compute_waiting_level(job, step, self._now)
            filler_group = f'filler {definition.image} {waiting.name}'
        group = (job.queue.pool, definition.required_label, filler_group)
        serving_image = definition.image if definition.latency_target_ms else ''
        return (
            group,
            definition.need,
            self.get_preferred_rack(step),
            serving_image,
            self._is_warm_preferred(job, step),
        )

    def _is_warm_preferred(self, job: JobRuntimeState, step: StepState) -> bool:
        """
        Tell whether a step should avoid workers that are still cold.

        :returns: whether its job would miss its latency objective if the task
            took twice as long.
        """
        if not self._has_cold_workers or step.step.is_long_lived:
            return False
        age_s = self._now - job.accepted_at_monotonic
        slack_s = job.objective_s() - age_s - job.critical_path_s(step.number)
        return 0 <= slack_s < job.expected_task_s(step.number)

    def _choose_warm_rank_function(
        self, job: JobRuntimeState, step: StepState
    ) -> RankFunction:
        rank = self._choose_rank_function(job, step)
        if not self._is_warm_preferred(job, step):
            return rank
        return partial(_rank_warm_first, rank, self._now)

    def _choose_rank_function(
        self, job: JobRuntimeState, step: StepState
    ) -> RankFunction:
        rack = self.get_preferred_rack(step)
        if step.step.is_filler:
            waiting = compute_waiting_level(job, step, self._now)
            return partial(self._rank_filler, step, waiting, rack)
        if step.step.latency_target_ms:
            return partial(self._rank_serving, step, rack)
        if rack or self._wanted_racks:
            return partial(self._rank_by_rack, step, rack)
        return partial(_rank_best_fit, step)

    def _rank_by_rack(
        self, step: StepState, rack: str, worker: WorkerState
    ) -> Rank | None:
        if not has_free_resources(worker, step):
            return None
        return (
            worker.speed.is_slow,
            self._rank_rack(worker, rack),
            worker.free_cpu(),
        )

    def _rank_rack(self, worker: WorkerState, rack: str) -> int:
        """
        Return a sort key for the rack of a worker.

        :param worker: the worker.
        :param rack: rack where the task runs fastest; empty for any.
        :returns: lowest for that rack; racks that waiting tasks want for their
            data come after others.
        """
        if worker.listed.rack == rack:
            return 0
        is_wanted_by_others = worker.listed.rack in self._wanted_racks
        return 2 * bool(rack) + is_wanted_by_others

    def _rank_serving(
        self, step: StepState, rack: str, worker: WorkerState
    ) -> Rank | None:
        if not has_free_resources(worker, step):
            return None
        image = step.step.image
        cpu = step.step.need.cpu
        lost_cpu: float = 0
        if self._is_capacity_scarce:
            lost_cpu += _STRANDED_CPU_WEIGHT * _compute_stranded_cpu(
                worker, cpu
            )
        if self._filler_capacity.is_estimable(image):
            lost_cpu += self._filler_capacity.estimate_loss(worker, image, cpu)
        loss = round(
            _LOSS_RESOLUTION * lost_cpu / max(cpu, _CPU_TOLERANCE_CORES)
        )
        return (
            worker.is_remote_from(rack),
            worker.speed.is_slow or self._now < worker.avoid_serving_until,
            loss,
            *_rank_image_mix(worker, image),
        )

    def _rank_filler(
        self,
        step: StepState,
        waiting: WaitingLevel,
        rack: str,
        worker: WorkerState,
    ) -> Rank | None:
        if not has_free_resources(worker, step):
            return None
        speed, interference = self.estimate_speed_and_interference(worker, step)
        is_fast = is_speed_sufficient(speed)
        if not is_fast and not is_slow_start_allowed(waiting, worker):
            return None
        return (
            worker.speed.is_slow or not is_fast,
            worker.is_remote_from(rack),
            round(interference, 1),
            -self._get_sensitivity(worker),
            -compute_free_filler_cpu(worker),
        )

    def _get_spare_headroom(self, worker: WorkerState) -> HeadroomByImage:
        cached = self._spare_headroom_by_worker.get(worker.worker_id)
        if cached is None or cached[0] != worker.change_number:
            cached = (
                worker.change_number,
                compute_spare_headroom(self._state, worker),
            )
            self._spare_headroom_by_worker[worker.worker_id] = cached
        return cached[1]

    def _get_sensitivity(self, worker: WorkerState) -> float:
        """
        Return how sensitive a worker's serving tasks are to fillers in general.

        A filler that does not interfere is placed on a sensitive worker, so
        that the others stay free for fillers that interfere with most images.
        """
        sensitivity_by_image = self._sensitivity_by_image
        for image in worker.serving_by_image:
            if image not in sensitivity_by_image:
                mean = self._state.interference_model.compute_mean_weight(image)
                sensitivity_by_image[image] = round(mean, 1)
        return max(
            (sensitivity_by_image[image] for image in worker.serving_by_image),
            default=0,
        )


def has_free_resources(worker: WorkerState, step: StepState) -> bool:
    """
    Tell whether a worker has room for one more task of a step.

    :param worker: the worker.
    :param step: the step.
    :returns: whether CPU, memory and accelerators are sufficient.
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
    Tell whether the constraints of a step allow one more task on a worker.

    :param worker: the worker.
    :param step: the step.
    :returns: whether the worker has the required label and fewer tasks of the
        step than its limit.
    """
    if not has_required_label(worker, step):
        return False
    limit = step.step.per_worker_limit
    return not limit or step.count_by_worker.get(worker.worker_id, 0) < limit


def has_required_label(worker: WorkerState, step: StepState) -> bool:
    """
    Tell whether a worker has the label that a step requires.

    :param worker: the worker.
    :param step: the step.
    :returns: whether it has the label, or none is required.
    """
    label = step.step.required_label
    if not label:
        return True
    # A worker can restart with other labels before its entry in the listing
    # shows that, so the labels count only if both have the same start time.
    start_times = {worker.born_ms, worker.listed.born_ms} - {0}
    return len(start_times) < 2 and label in worker.listed.labels


def has_valid_ticket(
    worker: WorkerState, step: StepState, now: MonotonicTime
) -> bool:
    """
    Tell whether a worker has a valid ticket for a step.

    :param worker: the worker.
    :param step: the step.
    :param now: monotonic time, in seconds.
    :returns: whether the ticket belongs to the present start of the worker and
        stays valid long enough for a task to start.
    """
    ticket = step.ticket_by_worker.get(worker.worker_id)
    if ticket is None or ticket.born_ms != worker.born_ms:
        return False
    return now + _START_DELAY_S < ticket.valid_until


def count_fitting_tasks(worker: WorkerState, step: StepState) -> int:
    """
    Count the further tasks of a step for which a worker has room.

    :param worker: the worker.
    :param step: the step.
    :returns: number of tasks, at most as many as the step has and as it still
        allows on the worker; the CPU of fillers is not considered.
    """
    need = step.step.need
    limits = [step.step.count]
    if step.step.per_worker_limit:
        bound_count = step.count_by_worker.get(worker.worker_id, 0)
        limits.append(step.step.per_worker_limit - bound_count)
    if need.cpu and not step.step.is_filler:
        limits.append(
            int((worker.free_cpu() + _CPU_TOLERANCE_CORES) / need.cpu)
        )
    if need.memory_mb:
        limits.append(int(worker.free_memory_mb() / need.memory_mb))
    if need.accelerators:
        limits.append(int(worker.free_accelerators() / need.accelerators))
    return max(min(limits), 0)


def _is_for_fillers(key: _RankingKey) -> bool:
    return bool(key[0][-1])


def _rank_warm_first(
    rank: RankFunction, now: MonotonicTime, worker: WorkerState
) -> Rank | None:
    usual_rank = rank(worker)
    return usual_rank and (worker.is_cold(now), *usual_rank)


def _rank_best_fit(step: StepState, worker: WorkerState) -> Rank | None:
    if not has_free_resources(worker, step):
        return None
    return worker.speed.is_slow, worker.free_cpu()


def _compute_stranded_cpu(worker: WorkerState, cpu: float) -> float:
    """Return the CPU left after a task, if too little for another like it."""
    remaining_cpu = worker.free_cpu() - cpu
    return remaining_cpu if remaining_cpu < cpu else 0


def _rank_image_mix(worker: WorkerState, image: str) -> tuple[int, float]:
    """
    Return a sort key that prefers workers serving the same image only.

    Fillers have most room where tasks of one image serve together.
    """
    image_count = len(worker.serving_by_image)
    if image in worker.serving_by_image:
        return image_count - 1, worker.free_cpu()
    return image_count * 2, worker.free_cpu()


def compute_free_filler_cpu(worker: WorkerState) -> float:
    """
    Estimate the idle CPU that the present fillers have not requested.

    :param worker: the worker.
    :returns: cores; can be negative.
    """
    return worker.idle_cpu() - worker.filler_cpu


def build_filler_capacity(state: ShardState) -> FillerCapacity:
    """
    Create the estimate of the CPU that fillers can use in a shard.

    :param state: state of the shard.
    :returns: estimate from the present interference model.
    """
    return FillerCapacity(
        model=state.interference_model,
        work_by_filler=state.work_by_filler,
    )


def _place_gang(
    workers: list[WorkerState],
    step: StepState,
) -> list[WorkerState] | None:
    for rack in _list_gang_racks(workers, step):
        on_rack = [worker for worker in workers if worker.listed.rack == rack]
        chosen = _assign_gang(on_rack, step)
        if chosen is not None:
            return chosen
    return _assign_gang(workers, step)


def _list_gang_racks(workers: list[WorkerState], step: StepState) -> list[str]:
    """List the racks to be tried for a whole gang, that of its data first."""
    data_rack = step.step.data_rack
    racks = {worker.listed.rack for worker in workers}
    others = sorted(racks - {data_rack}) if step.step.is_same_rack else []
    return [data_rack, *others] if data_rack in racks else others


def _assign_gang(
    workers: list[WorkerState],
    step: StepState,
) -> list[WorkerState] | None:
    """Fill one worker after the other, the one with most free CPU first."""
    chosen: list[WorkerState] = []
    for worker in sorted(workers, key=WorkerState.free_cpu, reverse=True):
        remaining = step.step.count - len(chosen)
        chosen.extend(
            repeat(worker, min(count_fitting_tasks(worker, step), remaining))
        )
        if len(chosen) == step.step.count:
            return chosen
    return None

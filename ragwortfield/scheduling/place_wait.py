"""Decides how long tasks wait for the rack where they run fastest.

The load that it answers: half of the jobs have their data in a rack, many of
them in the same one for some seconds. A task takes a multiple of its duration
on any other rack, and so do the tasks of a ``same_rack`` step on several racks.
Running elsewhere at once then loses more time than a short wait, and takes the
capacity of several tasks.

A task waits only if its rack is expected to have capacity sooner than the time
that it would lose elsewhere. The expected wait counts all tasks that are
dispatched before it. Those that would wait too long go elsewhere in the same
round. A waiting task reserves nothing, and the decision is made anew in each
round from acceptance, progress and reports, so that it ends when the rack loses
its workers, and a successor decides alike.
"""

from collections import Counter
from dataclasses import dataclass, field

from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
    StepState,
    TaskState,
)
from ragwortfield.scheduling.rack_outlook import (
    PlaceRequest,
    RackOutlook,
    get_hold_s,
)
from ragwortfield.scheduling.shard_state import ShardState, StepKey
from ragwortfield.scheduling.step_priority import compute_urgency
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    compute_free_filler_cpu,
    count_fitting_tasks,
    has_free_resources,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Share of the time lost elsewhere up to which a task waits. Tasks of one step
#: differ by 15 %, and jobs that are not accepted yet may come before it.
_WAITED_SHARE = 0.8
#: Longest wait of a long-lived task, in seconds; it has to run again within
#: six seconds of its end.
_MAX_LONG_LIVED_WAIT_S: Seconds = 2.5
#: Most steps that wait for their racks in a round; the others go elsewhere at
#: once. Each costs about a tenth of a millisecond.
_MAX_STEPS_ESTIMATED = 40
#: Length of the intervals in which the waits of a step are estimated once, in
#: seconds; rounds can follow each other in 0.02 s. All steps use the same
#: intervals, so that they count each other in the same round.
_ESTIMATE_INTERVAL_S: Seconds = 0.1
#: Time within which steps that find no worker anywhere are expected to take
#: places of their rack, in seconds; later ones matter to no wait.
_UNSERVED_HORIZON_S: Seconds = 2.5
#: Racks that are compared for a ``same_rack`` step which fits in none now.
_MAX_RACKS_COMPARED = 3
#: A step has only its last tasks waiting if at most one in this many waits.
_LAST_TASKS_DIVISOR = 4

#: Pool, rack, and whether it is about fillers.
_RackKey = tuple[str, str, bool]


@dataclass(kw_only=True, slots=True)
class _StepPlan:
    """
    Decision on the waiting tasks of one step in this round.

    :param waiting_count: number of tasks that are to wait.
    :param told_count: number of tasks that were told to wait.
    """

    waiting_count: int
    told_count: int = 0


@dataclass(kw_only=True, slots=True)
class PlaceWaits:
    """
    Decisions of one scheduling round.

    :param state: state of the shard.
    :param selector: selects the workers of this round.
    :param now: monotonic time, in seconds.
    :param is_trial: whether to count and log nothing, for questions of
        operators.
    """

    state: ShardState
    selector: WorkerSelector
    now: MonotonicTime
    is_trial: bool = False
    _outlook_by_rack: dict[_RackKey, RackOutlook] = field(default_factory=dict)
    _plan_by_step: dict[StepKey, _StepPlan] = field(default_factory=dict)
    _unserved_by_rack: dict[_RackKey, list[StepState]] = field(
        default_factory=dict
    )
    _workers_by_rack: dict[tuple[str, str], list[WorkerState]] = field(
        default_factory=dict
    )
    _estimated_count: int = 0

    def choose_rack(self, job: JobRuntimeState, step: StepState) -> None:
        """
        Choose a rack for the waiting tasks of a ``same_rack`` step.

        Does nothing for other steps, and for those with ``data_rack``. The
        rack is that of its bound tasks; before the first, the one with least
        room among those with room for all tasks; otherwise the one that is
        expected to have it first.

        :param job: job of the step.
        :param step: the step.
        """
        if not step.step.is_same_rack:
            return
        if step.step.is_gang or step.step.data_rack:
            return
        if step.count_by_worker:
            racks = self._list_racks(step)
            self.selector.choose_rack(
                step, racks.pop() if len(racks) == 1 else ''
            )
            return
        first = step.tasks[next(iter(step.waiting_indexes))]
        if self.selector.select_worker(job, step, first) is not None:
            rack = self._find_best_rack(job, step, len(step.waiting_indexes))
            self.selector.choose_rack(step, rack)

    def is_waiting(
        self,
        job: JobRuntimeState,
        step: StepState,
        task: TaskState,
        worker: WorkerState | None,
    ) -> bool:
        """
        Tell whether a task waits for its rack instead of starting elsewhere.

        :param job: job of the task.
        :param step: step of the task.
        :param task: a waiting task, no member of a gang.
        :param worker: worker that could get it now; ``None`` if there is none,
            which lets later tasks count the step as waiting, too.
        :returns: whether it waits although it could start.
        """
        if not (step.step.data_rack or step.step.is_same_rack):
            return False
        rack = self.selector.get_preferred_rack(step)
        if not rack or self.state.settings.remote_duration_factor <= 1:
            return False
        if worker is None:
            self._add_unserved(job, step, rack)
            return False
        if worker.listed.rack == rack or task.avoided_workers:
            return False
        key = (step.job_id, step.occurrence, step.number)
        plan = self._plan_by_step.get(key)
        if plan is None:
            plan = _StepPlan(waiting_count=self._count_waiting(job, step, rack))
            self._plan_by_step[key] = plan
        if plan.told_count == plan.waiting_count:
            return False
        plan.told_count += 1
        task.rack_wait_since = task.rack_wait_since or self.now
        return True

    def is_step_waiting(self, step: StepState) -> bool:
        """
        Tell whether all waiting tasks of a step wait for their rack by choice.

        :param step: the step, after its tasks had their turn.
        """
        if not self._plan_by_step:
            return False
        key = (step.job_id, step.occurrence, step.number)
        plan = self._plan_by_step.get(key)
        waiting_count = len(step.waiting_indexes)
        if plan is None or not waiting_count:
            return False
        return plan.told_count == waiting_count

    def is_gang_waiting(
        self,
        job: JobRuntimeState,
        step: StepState,
        workers: list[WorkerState],
    ) -> bool:
        """
        Tell whether a gang waits for a rack instead of starting elsewhere.

        :param job: job of the gang.
        :param step: step of the gang.
        :param workers: workers that its members could get now.
        :returns: whether all members wait.
        """
        if self.state.settings.remote_duration_factor <= 1:
            return False
        definition = step.step
        racks = {worker.listed.rack for worker in workers}
        if definition.data_rack:
            if racks == {definition.data_rack}:
                return False
            rack = definition.data_rack
        elif definition.is_same_rack and len(racks) > 1:
            rack = self._find_best_rack(job, step, definition.count)
        else:
            return False
        is_waiting = bool(self.plan(job, step, rack))
        for task in step.tasks if is_waiting else ():
            task.rack_wait_since = task.rack_wait_since or self.now
        return is_waiting

    def record_binding(
        self, step: StepState, task: TaskState, worker: WorkerState
    ) -> None:
        """
        Count the end of a task's wait, if it has waited for its rack.

        :param step: step of the task.
        :param task: a task that is bound now.
        :param worker: its worker.
        """
        if not task.rack_wait_since:
            return
        decisions = self.state.decisions
        rack = self.selector.get_preferred_rack(step)
        is_away = worker.is_remote_from(rack)
        decisions.count(
            'rack_wait_ended_away' if is_away else 'rack_wait_ended_in_rack'
        )
        decisions.count('rack_wait_seconds', self.now - task.rack_wait_since)
        task.rack_wait_since = 0

    def plan(
        self, job: JobRuntimeState, step: StepState, rack: str
    ) -> list[Seconds]:
        """
        Decide how many of the waiting tasks of a step wait for a rack.

        Later steps count their places as taken.

        :param job: job of the step.
        :param step: the step; none of its tasks has room in the rack now.
        :param rack: the rack.
        :returns: expected waits in seconds, one for each task that waits; the
            others start elsewhere.
        """
        count = len(step.waiting_indexes)
        longest_s = compute_longest_wait_s(self.state, job, step, self.now)
        if longest_s <= 0 or self._estimated_count >= _MAX_STEPS_ESTIMATED:
            return []
        self._estimated_count += 1
        outlook = self._get_outlook(job, step, rack)
        workers = self._list_workers(job, step, rack)
        request = PlaceRequest(
            step=step,
            count=count,
            hold_s=get_hold_s(job, step),
            is_free_room_counted=step.step.is_gang,
        )
        estimate = outlook.estimate(request, workers, longest_s)
        waits_s = estimate.waits_s
        is_all_or_none = step.step.is_same_rack or step.step.is_gang
        if is_all_or_none and len(waits_s) < count:
            # The others would slow them down all the same.
            waits_s = []
        if waits_s:
            outlook.take(estimate)
        if not self.is_trial:
            self._record_plan(step, rack, waits_s, longest_s)
        return waits_s

    def _count_waiting(
        self, job: JobRuntimeState, step: StepState, rack: str
    ) -> int:
        """Return how many tasks wait; estimated once in each interval."""
        if len(self._plan_by_step) >= _MAX_STEPS_ESTIMATED:
            return 0
        slot = int(self.now / _ESTIMATE_INTERVAL_S)
        waiting_count = len(step.waiting_indexes)
        is_known = step.rack_plan_slot == slot and step.rack_plan_count > 0
        if step.step.is_same_rack and waiting_count > step.rack_plan_count:
            is_known = False
        if is_known and not self.is_trial and self._list_rack(job, rack):
            # Counted only if a later step needs an estimate in this round.
            self._add_unserved(job, step, rack)
            return min(step.rack_plan_count, waiting_count)
        count = len(self.plan(job, step, rack))
        if not self.is_trial:
            step.rack_plan_slot = slot
            step.rack_plan_count = count
        return count

    def _record_plan(
        self,
        step: StepState,
        rack: str,
        waits_s: list[Seconds],
        longest_s: Seconds,
    ) -> None:
        tasks = [step.tasks[index] for index in step.waiting_indexes]
        new_count = sum(
            not task.rack_wait_since for task in tasks[: len(waits_s)]
        )
        decisions = self.state.decisions
        if new_count:
            decisions.count('rack_wait', new_count - 1)
            decisions.record(
                'rack_wait',
                self.now,
                job=step.job_id,
                step=step.number,
                rack=rack,
                tasks=new_count,
                expected_s=waits_s[-1],
                longest_s=longest_s,
            )
        away_count = len(tasks) - len(waits_s)
        if away_count:
            decisions.record(
                'rack_passed_over',
                self.now,
                job=step.job_id,
                step=step.number,
                rack=rack,
                tasks=away_count,
                longest_s=longest_s,
            )

    def _find_best_rack(
        self, job: JobRuntimeState, step: StepState, count: int
    ) -> str:
        """Return the rack that has, or will first have, room for all tasks."""
        room_by_rack: Counter[str] = Counter()
        for worker in self.selector.list_suitable_workers(
            job, step, self.selector.list_eligible_workers(job)
        ):
            room_by_rack[worker.listed.rack] += _count_places(worker, step)
        sufficient = [
            (room, rack) for rack, room in room_by_rack.items() if room >= count
        ]
        if sufficient:
            return min(sufficient)[1]
        longest_s = compute_longest_wait_s(self.state, job, step, self.now)
        best: tuple[Seconds, str] | None = None
        for rack, _ in room_by_rack.most_common(_MAX_RACKS_COMPARED):
            estimate = self._get_outlook(job, step, rack).estimate(
                PlaceRequest(
                    step=step,
                    count=count,
                    hold_s=get_hold_s(job, step),
                    is_free_room_counted=True,
                ),
                self._list_workers(job, step, rack),
                longest_s,
            )
            if len(estimate.waits_s) == count:
                candidate = (estimate.waits_s[-1], rack)
                best = candidate if best is None else min(best, candidate)
        return '' if best is None else best[1]

    def _list_racks(self, step: StepState) -> set[str]:
        return {
            worker.listed.rack
            for worker_id in step.count_by_worker
            if (worker := self.state.worker_by_id.get(worker_id)) is not None
        }

    def _list_workers(
        self, job: JobRuntimeState, step: StepState, rack: str
    ) -> list[WorkerState]:
        return self.selector.list_suitable_workers(
            job, step, self._list_rack(job, rack)
        )

    def _list_rack(self, job: JobRuntimeState, rack: str) -> list[WorkerState]:
        key = (job.queue.pool, rack)
        workers = self._workers_by_rack.get(key)
        if workers is None:
            workers = [
                worker
                for worker in self.selector.list_eligible_workers(job)
                if worker.listed.rack == rack
            ]
            self._workers_by_rack[key] = workers
        return workers

    def _add_unserved(
        self, job: JobRuntimeState, step: StepState, rack: str
    ) -> None:
        key = (job.queue.pool, rack, step.step.is_filler)
        outlook = self._outlook_by_rack.get(key)
        if outlook is None:
            unserved = self._unserved_by_rack.setdefault(key, [])
            if step not in unserved[-1:]:
                unserved.append(step)
        else:
            self._give_to_unserved(outlook, job, step, rack)

    def _get_outlook(
        self, job: JobRuntimeState, step: StepState, rack: str
    ) -> RackOutlook:
        key = (job.queue.pool, rack, step.step.is_filler)
        outlook = self._outlook_by_rack.get(key)
        if outlook is None:
            outlook = RackOutlook(
                state=self.state,
                workers=self._list_rack(job, rack),
                is_for_fillers=step.step.is_filler,
                now=self.now,
            )
            self._outlook_by_rack[key] = outlook
            for unserved in self._unserved_by_rack.pop(key, ()):
                self._give_to_unserved(
                    outlook,
                    self.state.job_by_id[unserved.job_id],
                    unserved,
                    rack,
                )
        return outlook

    def _give_to_unserved(
        self,
        outlook: RackOutlook,
        job: JobRuntimeState,
        step: StepState,
        rack: str,
    ) -> None:
        if self._estimated_count >= _MAX_STEPS_ESTIMATED:
            return
        self._estimated_count += 1
        outlook.place(
            PlaceRequest(
                step=step,
                count=len(step.waiting_indexes),
                hold_s=get_hold_s(job, step),
            ),
            self._list_workers(job, step, rack),
            _UNSERVED_HORIZON_S,
        )


def compute_longest_wait_s(
    state: ShardState,
    job: JobRuntimeState,
    step: StepState,
    now: MonotonicTime,
) -> Seconds:
    """
    Return for how long the tasks of a step may wait for their rack from now on.

    A wait that is shorter than the time lost elsewhere lets the job end
    earlier: a job that would still meet its objective elsewhere meets it after
    the wait, too. The sum of all waits is bounded by the time after which a
    late end has no value.

    :param state: state of the shard.
    :param job: job of the step.
    :param step: the step.
    :param now: monotonic time, in seconds.
    :returns: seconds; not positive if they must not wait.
    """
    expected_s = job.expected_task_s(step.number)
    lost_s = expected_s * (state.settings.remote_duration_factor - 1)
    longest_s = lost_s * _WAITED_SHARE
    age_s = now - job.accepted_at_monotonic
    if step.step.is_long_lived:
        return min(longest_s, _MAX_LONG_LIVED_WAIT_S - _get_idle_s(step, age_s))
    latest_end_s = MAX_LATENESS_FACTOR * job.objective_s()
    latest_start_s = latest_end_s - job.critical_path_s(step.number)
    return min(longest_s, latest_start_s - age_s)


def put_last_tasks_first(
    state: ShardState, steps: list[StepState], now: MonotonicTime
) -> list[StepState]:
    """
    Let the last tasks of a step come first among the tasks for one rack.

    The others of their step are placed already, so a few places complete it.

    :param state: state of the shard.
    :param steps: steps with waiting tasks, most urgent first.
    :param now: monotonic time, in seconds.
    :returns: the steps; only such for one rack, of the same priority and rank,
        have changed places.
    """
    if not any(step.step.data_rack and _has_last_tasks(step) for step in steps):
        return steps
    positions_by_group: dict[tuple[str, int, int], list[int]] = {}
    for position, step in enumerate(steps):
        if step.step.data_rack:
            priority, rank, _ = compute_urgency(
                state.job_by_id[step.job_id], step, now
            )
            group = (step.step.data_rack, priority, rank)
            positions_by_group.setdefault(group, []).append(position)
    ordered = list(steps)
    for positions in positions_by_group.values():
        group_steps = sorted(
            (steps[position] for position in positions),
            key=_has_last_tasks,
            reverse=True,
        )
        for position, step in zip(positions, group_steps, strict=True):
            ordered[position] = step
    return ordered


def _has_last_tasks(step: StepState) -> bool:
    waiting_count = len(step.waiting_indexes)
    return waiting_count * _LAST_TASKS_DIVISOR <= step.step.count


def _get_idle_s(step: StepState, age_s: Seconds) -> Seconds:
    """Return the time since acceptance; enough to end any wait after a run."""
    has_run = any(step.tasks[index].run for index in step.waiting_indexes)
    return _MAX_LONG_LIVED_WAIT_S if has_run else age_s


def _count_places(worker: WorkerState, step: StepState) -> int:
    if not has_free_resources(worker, step):
        return 0
    places = count_fitting_tasks(worker, step)
    need_cpu = step.step.need.cpu
    if step.step.is_filler and need_cpu:
        places = min(places, int(compute_free_filler_cpu(worker) / need_cpu))
    return places

"""In-memory fake of the workers that run tasks under leases."""

from dataclasses import dataclass, field

from ragwortfield.core.jobs import TaskPhase, TaskReport, WorkerReport
from ragwortfield.core.resources import Resources, sum_resources
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import RenewTasks, StartTask, Unavailable
from ragwortfield.types import JobId, Seconds, WallTime, WorkerId

#: Command of a task that fails as soon as it starts.
FAIL_COMMAND = 'fail'
#: Command of a task that runs for a time: ``sleep SECONDS``.
SLEEP_COMMAND = 'sleep'


@dataclass(kw_only=True, slots=True)
class WorkerFaults:
    """
    Injected faults of a worker; none by default.

    :param is_unreachable: whether control calls fail without taking effect.
    :param lost_answers: number of the next start, renew and stop calls whose
        responses are lost; starts and renewals take effect first.
    :param is_failing_all: whether every task fails as soon as it starts.
    :param usage_factor: measured usage as a multiple of the declared
        resources.
    :param usage_lag_s: age of the reported usage, in seconds.
    :param checkpoint_s: time between a stop order and the end of the task,
        which is when the checkpoint is complete, in seconds.
    """

    is_unreachable: bool = False
    lost_answers: int = 0
    is_failing_all: bool = False
    usage_factor: float = 1
    usage_lag_s: Seconds = 0
    checkpoint_s: Seconds = 0


@dataclass(kw_only=True, slots=True)
class FakeTask:
    """
    Task on a fake worker; all times are by the worker's wall clock.

    :param progress_s: work done so far, in seconds at full speed.
    :param stepped_at: time up to which the progress is computed.
    :param share: fraction of its CPU grant that the task gets.
    :param stops_at: when a stop order takes effect; infinite without one.
    """

    job_id: JobId
    generation: int
    resources: Resources
    duration_s: Seconds
    progress_s: Seconds
    started_at: WallTime
    stepped_at: WallTime
    expires_at: WallTime
    share: float = 1
    phase: TaskPhase = TaskPhase.RUNNING
    reason: str = ''
    ended_at: WallTime = 0
    stops_at: WallTime = float('inf')


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskSpan:
    """Interval in which one generation of a job ran on one worker."""

    worker_id: WorkerId
    job_id: JobId
    generation: int
    started_at: WallTime
    ended_at: WallTime
    progress_s: Seconds
    phase: TaskPhase


class FakeWorker:
    """
    Fake worker that computes the progress of its tasks from a clock.

    :param worker_id: identifier of the worker.
    :param capacity: resources of the worker. Starts beyond it are accepted
        and counted in ``over_capacity``.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        worker_id: WorkerId,
        capacity: Resources,
        clock: Clock,
    ) -> None:
        self.worker_id = worker_id
        self.capacity = capacity
        self.faults = WorkerFaults()
        self.spans: list[TaskSpan] = []
        self.over_capacity = 0
        self._clock = clock
        self._task_by_job: dict[JobId, FakeTask] = {}
        self._highest_generation_by_job: dict[JobId, int] = {}
        self._usage_history: list[tuple[WallTime, Resources]] = []

    def start(self, order: StartTask) -> bool:
        """
        Start a task.

        :param order: the start order.
        :returns: whether the task was started; false when this generation
            or a newer one was started before, or the lease has expired.
        """
        self.step()
        now = self._clock.wall_time()
        highest = self._highest_generation_by_job.get(order.job_id, 0)
        if order.generation <= highest or now >= order.expires_at:
            return False
        self._highest_generation_by_job[order.job_id] = order.generation
        kind, _, argument = order.command.partition(' ')
        is_failing = kind == FAIL_COMMAND or self.faults.is_failing_all
        progress_s = float(order.checkpoint or 0)
        task = FakeTask(
            job_id=order.job_id,
            generation=order.generation,
            resources=order.resources,
            duration_s=float(argument)
            if kind == SLEEP_COMMAND and argument
            else 0,
            progress_s=progress_s,
            started_at=now,
            stepped_at=now,
            expires_at=order.expires_at,
        )
        self._task_by_job[order.job_id] = task
        if is_failing:
            self._end(task, TaskPhase.FAILED, now, 'exit status 1')
        if not sum_resources(self._list_running_resources()).is_within(
            self.capacity
        ):
            self.over_capacity += 1
        return True

    def renew_leases(self, order: RenewTasks) -> WorkerReport:
        """
        Renew the leases of the named generations and report.

        :param order: generations and the new expiry of their leases.
        :returns: the report.
        """
        self.step()
        for job_id, generation in order.generation_by_job.items():
            task = self._task_by_job.get(job_id)
            if task is not None and task.generation == generation:
                task.expires_at = max(task.expires_at, order.expires_at)
        return self.make_report()

    def make_report(self) -> WorkerReport:
        """
        Report all tasks, and the usage as old as the injected lag.

        :returns: the report.
        """
        return WorkerReport(
            worker_id=self.worker_id,
            tasks=tuple(
                TaskReport(
                    job_id=task.job_id,
                    generation=task.generation,
                    phase=task.phase,
                    usage=self._compute_usage(task),
                    checkpoint=f'{task.progress_s:.3f}',
                    reason=task.reason,
                    ran_s=task.progress_s,
                )
                for task in self._task_by_job.values()
            ),
            usage=self._get_delayed_usage(),
        )

    def stop(self, job_id: JobId, generation: int) -> bool:
        """
        Checkpoint and stop a task; other generations are left alone.

        :param job_id: job of the task.
        :param generation: generation to stop.
        :returns: always true.
        """
        self.step()
        task = self._task_by_job.get(job_id)
        if task is not None and task.generation == generation:
            stops_at = self._clock.wall_time() + self.faults.checkpoint_s
            task.stops_at = min(task.stops_at, stops_at)
            self.step()
        return True

    def throttle(self, job_id: JobId, share: float) -> bool:
        """
        Limit the CPU use of a task.

        :param job_id: job of the task.
        :param share: fraction of its CPU grant, above 0 to 1.
        :returns: always true.
        """
        self.step()
        task = self._task_by_job.get(job_id)
        if task is not None:
            task.share = share
        return True

    def discard_reports(self, generation_by_job: dict[JobId, int]) -> bool:
        """
        Drop the reports of ended tasks.

        :param generation_by_job: generation to drop for each job; a task that
            still runs or has another generation is kept.
        :returns: always true.
        """
        for job_id, generation in generation_by_job.items():
            task = self._task_by_job.get(job_id)
            if task is None or task.generation != generation:
                continue
            if task.phase is not TaskPhase.RUNNING:
                del self._task_by_job[job_id]
        return True

    def step(self) -> None:
        """Advance running tasks to the current time and sample the usage."""
        now = self._clock.wall_time()
        for task in self._task_by_job.values():
            if task.phase is TaskPhase.RUNNING:
                self._step_task(task, now)
        self._usage_history.append((now, self._compute_total_usage()))

    def list_running_tasks(self) -> tuple[tuple[JobId, int], ...]:
        """
        List the running tasks.

        :returns: job and generation of each task.
        """
        self.step()
        return tuple(
            (task.job_id, task.generation)
            for task in self._task_by_job.values()
            if task.phase is TaskPhase.RUNNING
        )

    def _step_task(self, task: FakeTask, now: WallTime) -> None:
        # A task does no work after its lease has expired.
        until = min(now, task.expires_at)
        remaining_s = task.duration_s - task.progress_s
        work_s = max(until - task.stepped_at, 0) * task.share
        if work_s >= remaining_s:
            ends_at = task.stepped_at + remaining_s / task.share
            task.progress_s = task.duration_s
            self._end(task, TaskPhase.DONE, ends_at, '')
            return
        task.progress_s += work_s
        task.stepped_at = now
        if now >= task.stops_at:
            self._end(task, TaskPhase.STOPPED, now, 'stopped by order')
        elif now >= task.expires_at:
            self._end(task, TaskPhase.STOPPED, task.expires_at, 'lease expired')

    def _end(
        self,
        task: FakeTask,
        phase: TaskPhase,
        at: WallTime,
        reason: str,
    ) -> None:
        task.phase = phase
        task.reason = reason
        task.ended_at = at
        self.spans.append(
            TaskSpan(
                worker_id=self.worker_id,
                job_id=task.job_id,
                generation=task.generation,
                started_at=task.started_at,
                ended_at=at,
                progress_s=task.progress_s,
                phase=phase,
            ),
        )

    def _list_running_resources(self) -> list[Resources]:
        return [
            task.resources
            for task in self._task_by_job.values()
            if task.phase is TaskPhase.RUNNING
        ]

    def _compute_usage(self, task: FakeTask) -> Resources:
        if task.phase is not TaskPhase.RUNNING:
            return Resources()
        factor = self.faults.usage_factor
        return Resources(
            cpu=task.resources.cpu * factor * task.share,
            memory_mb=int(task.resources.memory_mb * factor),
            accelerators=task.resources.accelerators,
        )

    def _compute_total_usage(self) -> Resources:
        return sum_resources(
            [self._compute_usage(task) for task in self._task_by_job.values()],
        )

    def _get_delayed_usage(self) -> Resources:
        as_of = self._clock.wall_time() - self.faults.usage_lag_s
        usage = Resources()
        for at, measured in self._usage_history:
            if at <= as_of:
                usage = measured
        self._usage_history = [
            sample for sample in self._usage_history if sample[0] > as_of - 1
        ]
        return usage


@dataclass(kw_only=True)
class FakeWorkerControl:
    """
    Fake of the ``WorkerControl`` port that calls fake workers directly.

    :param worker_by_address: workers that can be reached.
    :param delayed_starts: start orders that were sent but have not
        arrived yet.
    :param duplicate_starts: start orders that have arrived and will be
        delivered a second time.
    :param is_delaying_starts: whether new start orders are delayed and answered
        with ``Unavailable``.
    """

    worker_by_address: dict[str, FakeWorker] = field(default_factory=dict)
    delayed_starts: list[tuple[str, StartTask]] = field(default_factory=list)
    duplicate_starts: list[tuple[str, StartTask]] = field(default_factory=list)
    is_delaying_starts: bool = False

    def start(self, address: str, order: StartTask) -> bool | Unavailable:
        """
        Send a start order.

        :param address: address of the worker.
        :param order: the start order.
        :returns: whether the task was started, or why that is not known.
        """
        worker = self._find_reachable(address)
        if isinstance(worker, Unavailable):
            return worker
        if self.is_delaying_starts:
            self.delayed_starts.append((address, order))
            return Unavailable(reason='no response', is_effect_possible=True)
        is_started = worker.start(order)
        return self._lose_response(worker) or is_started

    def deliver_delayed_starts(self) -> None:
        """
        Deliver the delayed start orders.

        Each order is delivered a second time by the next call, as a network
        that duplicates messages does.
        """
        orders = (*self.delayed_starts, *self.duplicate_starts)
        for address, order in orders:
            worker = self.worker_by_address.get(address)
            if worker is not None:
                worker.start(order)
        self.duplicate_starts = self.delayed_starts
        self.delayed_starts = []

    def renew_leases(
        self,
        address: str,
        order: RenewTasks,
    ) -> WorkerReport | Unavailable:
        """
        Renew leases and fetch the report.

        :param address: address of the worker.
        :param order: generations and the new expiry of their leases.
        :returns: the report, or why there is none.
        """
        worker = self._find_reachable(address)
        if isinstance(worker, Unavailable):
            return worker
        report = worker.renew_leases(order)
        return self._lose_response(worker) or report

    def stop(
        self,
        address: str,
        job_id: JobId,
        generation: int,
    ) -> bool | Unavailable:
        """
        Checkpoint and stop a task.

        :param address: address of the worker.
        :param job_id: job of the task.
        :param generation: generation to stop.
        :returns: true, or why it is not known that the order arrived.
        """
        worker = self._find_reachable(address)
        if isinstance(worker, Unavailable):
            return worker
        return self._lose_response(worker) or worker.stop(job_id, generation)

    def throttle(
        self,
        address: str,
        job_id: JobId,
        share: float,
    ) -> bool | Unavailable:
        """
        Limit the CPU use of a task.

        :param address: address of the worker.
        :param job_id: job of the task.
        :param share: fraction of its CPU grant, above 0 to 1.
        :returns: true, or why the order did not arrive.
        """
        worker = self._find_reachable(address)
        if isinstance(worker, Unavailable):
            return worker
        return worker.throttle(job_id, share)

    def discard_reports(
        self,
        address: str,
        generation_by_job: dict[JobId, int],
    ) -> bool | Unavailable:
        """
        Drop the reports of ended tasks.

        :param address: address of the worker.
        :param generation_by_job: generation to drop for each job.
        :returns: true, or why the order did not arrive.
        """
        worker = self._find_reachable(address)
        if isinstance(worker, Unavailable):
            return worker
        return worker.discard_reports(generation_by_job)

    def _find_reachable(self, address: str) -> FakeWorker | Unavailable:
        worker = self.worker_by_address.get(address)
        if worker is None or worker.faults.is_unreachable:
            return Unavailable(reason=f'no connection to {address}')
        return worker

    def _lose_response(self, worker: FakeWorker) -> Unavailable | None:
        if worker.faults.lost_answers <= 0:
            return None
        worker.faults.lost_answers -= 1
        return Unavailable(reason='response lost', is_effect_possible=True)

"""Stand-in for a worker: runs tasks under leases and serves a target."""

from dataclasses import dataclass, field

from ragwortfield.core.jobs import TaskPhase, TaskReport, WorkerReport
from ragwortfield.core.resources import Resources, sum_resources
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import RenewTasks, StartTask, Unavailable
from ragwortfield.types import JobId, Seconds, WallTime, WorkerId

#: Command of a task that fails at once.
FAIL_COMMAND = 'fail'
#: Start of the command of a task that works for some seconds.
SLEEP_COMMAND = 'sleep'


@dataclass(kw_only=True, slots=True)
class WorkerFaults:
    """
    Faults of a worker; all off by default.

    :param is_unreachable: control calls fail without an effect.
    :param lost_answers: control answers to come that are lost.
    :param is_failing_all: every task fails at once.
    :param usage_factor: measured usage as a multiple of the declared size.
    :param usage_lag_s: age of the usage reported, in seconds.
    :param checkpoint_s: time that a checkpoint takes, in seconds.
    """

    is_unreachable: bool = False
    lost_answers: int = 0
    is_failing_all: bool = False
    usage_factor: float = 1
    usage_lag_s: Seconds = 0
    checkpoint_s: Seconds = 0


@dataclass(kw_only=True, slots=True)
class FakeTask:
    """Task as the stand-in keeps it; times by the worker's wall clock."""

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
    """Time in which one generation of a job ran on one worker."""

    worker_id: WorkerId
    job_id: JobId
    generation: int
    started_at: WallTime
    ended_at: WallTime
    progress_s: Seconds
    phase: TaskPhase


class FakeWorker:
    """
    Worker in memory, driven by a clock.

    :param worker_id: identifier of the worker.
    :param capacity: its size.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        worker_id: WorkerId,
        capacity: Resources,
        clock: Clock,
    ) -> None:
        """Create a worker without tasks."""
        self.worker_id = worker_id
        self.capacity = capacity
        self.faults = WorkerFaults()
        self.spans: list[TaskSpan] = []
        self.over_capacity = 0
        self._clock = clock
        self._task_by_job: dict[JobId, FakeTask] = {}
        self._floor_by_job: dict[JobId, int] = {}
        self._usage_history: list[tuple[WallTime, Resources]] = []

    def start(self, order: StartTask) -> bool:
        """
        Start a task unless its generation was seen or its lease is over.

        :param order: the order.
        :returns: whether the task was started.
        """
        self.step()
        now = self._clock.wall_time()
        floor = self._floor_by_job.get(order.job_id, 0)
        if order.generation <= floor or now >= order.expires_at:
            return False
        self._floor_by_job[order.job_id] = order.generation
        kind, _, text = order.command.partition(' ')
        is_failing = kind == FAIL_COMMAND or self.faults.is_failing_all
        progress_s = float(order.checkpoint or 0)
        task = FakeTask(
            job_id=order.job_id,
            generation=order.generation,
            resources=order.resources,
            duration_s=float(text) if kind == SLEEP_COMMAND and text else 0,
            progress_s=progress_s,
            started_at=now,
            stepped_at=now,
            expires_at=order.expires_at,
        )
        self._task_by_job[order.job_id] = task
        if is_failing:
            self._end(task, TaskPhase.FAILED, now, 'exit status 1')
        if not sum_resources(self._running_sizes()).is_within(self.capacity):
            self.over_capacity += 1
        return True

    def renew_leases(self, order: RenewTasks) -> WorkerReport:
        """
        Prolong leases and report.

        :param order: the order.
        :returns: the report.
        """
        self.step()
        for job_id, generation in order.generation_by_job.items():
            task = self._task_by_job.get(job_id)
            if task is not None and task.generation == generation:
                task.expires_at = max(task.expires_at, order.expires_at)
        return self.report()

    def report(self) -> WorkerReport:
        """
        Report tasks and usage.

        :returns: the report.
        """
        return WorkerReport(
            worker_id=self.worker_id,
            tasks=tuple(
                TaskReport(
                    job_id=task.job_id,
                    generation=task.generation,
                    phase=task.phase,
                    usage=self._usage_of(task),
                    checkpoint=f'{task.progress_s:.3f}',
                    reason=task.reason,
                    ran_s=task.progress_s,
                )
                for task in self._task_by_job.values()
            ),
            usage=self._lagging_usage(),
        )

    def stop(self, job_id: JobId, generation: int) -> bool:
        """
        Checkpoint and stop a task.

        :param job_id: the job.
        :param generation: the generation to stop.
        :returns: true.
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
        Limit a task.

        :param job_id: the job.
        :param share: share of its processor grant.
        :returns: true.
        """
        self.step()
        task = self._task_by_job.get(job_id)
        if task is not None:
            task.share = share
        return True

    def discard_reports(self, generation_by_job: dict[JobId, int]) -> bool:
        """
        Drop reports of ended tasks.

        :param generation_by_job: ended generation of each job.
        :returns: true.
        """
        for job_id, generation in generation_by_job.items():
            task = self._task_by_job.get(job_id)
            if task is None or task.generation != generation:
                continue
            if task.phase is not TaskPhase.RUNNING:
                del self._task_by_job[job_id]
        return True

    def step(self) -> None:
        """Let the running tasks work until now."""
        now = self._clock.wall_time()
        for task in self._task_by_job.values():
            if task.phase is TaskPhase.RUNNING:
                self._step_task(task, now)
        self._usage_history.append((now, self._usage()))

    def running_tasks(self) -> tuple[tuple[JobId, int], ...]:
        """
        List what runs.

        :returns: jobs with their generations.
        """
        self.step()
        return tuple(
            (task.job_id, task.generation)
            for task in self._task_by_job.values()
            if task.phase is TaskPhase.RUNNING
        )

    def _step_task(self, task: FakeTask, now: WallTime) -> None:
        until = min(now, task.expires_at)
        left_s = task.duration_s - task.progress_s
        works_s = max(until - task.stepped_at, 0) * task.share
        if works_s >= left_s:
            ends_at = task.stepped_at + left_s / task.share
            task.progress_s = task.duration_s
            self._end(task, TaskPhase.DONE, ends_at, '')
            return
        task.progress_s += works_s
        task.stepped_at = now
        if now >= task.stops_at:
            self._end(task, TaskPhase.STOPPED, now, 'stopped by order')
        elif now >= task.expires_at:
            self._end(task, TaskPhase.STOPPED, task.expires_at, 'lease over')

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

    def _running_sizes(self) -> list[Resources]:
        return [
            task.resources
            for task in self._task_by_job.values()
            if task.phase is TaskPhase.RUNNING
        ]

    def _usage_of(self, task: FakeTask) -> Resources:
        if task.phase is not TaskPhase.RUNNING:
            return Resources()
        factor = self.faults.usage_factor
        return Resources(
            cpu=task.resources.cpu * factor * task.share,
            memory_mb=int(task.resources.memory_mb * factor),
            accelerators=task.resources.accelerators,
        )

    def _usage(self) -> Resources:
        return sum_resources(
            [self._usage_of(task) for task in self._task_by_job.values()],
        )

    def _lagging_usage(self) -> Resources:
        as_of = self._clock.wall_time() - self.faults.usage_lag_s
        usage = Resources()
        for at, measured in self._usage_history:
            if at <= as_of:
                usage = measured
        self._usage_history = [
            pair for pair in self._usage_history if pair[0] > as_of - 1
        ]
        return usage


@dataclass(kw_only=True)
class FakeWorkerControl:
    """
    Control of workers in memory, for tests without sockets.

    :param worker_by_address: the workers.
    :param delayed_starts: orders that are still on their way.
    :param duplicate_starts: orders that arrived and will arrive again.
    :param is_delaying_starts: whether further orders are delayed.
    """

    worker_by_address: dict[str, FakeWorker] = field(default_factory=dict)
    delayed_starts: list[tuple[str, StartTask]] = field(default_factory=list)
    duplicate_starts: list[tuple[str, StartTask]] = field(default_factory=list)
    is_delaying_starts: bool = False

    def start(self, address: str, order: StartTask) -> bool | Unavailable:
        """
        Start a task.

        :param address: address of the worker.
        :param order: the order.
        :returns: whether it was started.
        """
        worker = self._reach(address)
        if isinstance(worker, Unavailable):
            return worker
        if self.is_delaying_starts:
            self.delayed_starts.append((address, order))
            return Unavailable(reason='no answer', is_effect_possible=True)
        is_started = worker.start(order)
        return self._lose(worker) or is_started

    def deliver_delayed_starts(self) -> None:
        """Let the delayed orders reach their workers, and once more later."""
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
        Prolong leases and report.

        :param address: address of the worker.
        :param order: the order.
        :returns: the report.
        """
        worker = self._reach(address)
        if isinstance(worker, Unavailable):
            return worker
        report = worker.renew_leases(order)
        return self._lose(worker) or report

    def stop(
        self,
        address: str,
        job_id: JobId,
        generation: int,
    ) -> bool | Unavailable:
        """
        Checkpoint and stop a task.

        :param address: address of the worker.
        :param job_id: the job.
        :param generation: the generation to stop.
        :returns: true when the order was taken.
        """
        worker = self._reach(address)
        if isinstance(worker, Unavailable):
            return worker
        return self._lose(worker) or worker.stop(job_id, generation)

    def throttle(
        self,
        address: str,
        job_id: JobId,
        share: float,
    ) -> bool | Unavailable:
        """
        Limit a task.

        :param address: address of the worker.
        :param job_id: the job.
        :param share: share of its processor grant.
        :returns: true when the order was taken.
        """
        worker = self._reach(address)
        if isinstance(worker, Unavailable):
            return worker
        return worker.throttle(job_id, share)

    def discard_reports(
        self,
        address: str,
        generation_by_job: dict[JobId, int],
    ) -> bool | Unavailable:
        """
        Drop reports of ended tasks.

        :param address: address of the worker.
        :param generation_by_job: ended generation of each job.
        :returns: true when the order was taken.
        """
        worker = self._reach(address)
        if isinstance(worker, Unavailable):
            return worker
        return worker.discard_reports(generation_by_job)

    def _reach(self, address: str) -> FakeWorker | Unavailable:
        worker = self.worker_by_address.get(address)
        if worker is None or worker.faults.is_unreachable:
            return Unavailable(reason=f'no connection to {address}')
        return worker

    def _lose(self, worker: FakeWorker) -> Unavailable | None:
        if worker.faults.lost_answers <= 0:
            return None
        worker.faults.lost_answers -= 1
        return Unavailable(reason='answer lost', is_effect_possible=True)

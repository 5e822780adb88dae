"""State of the workers of a shard: leases, allocated resources and reports."""

from dataclasses import dataclass, field

from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.scheduling.timing_bounds import (
    MAX_CLOCK_DRIFT,
    MS_PER_S,
    TimingBounds,
)
from ragwortfield.scheduling.worker_speed import WorkerSpeed
from ragwortfield.types import MonotonicTime, WorkerId

#: Share of their allocated CPU that serving tasks use.
SERVING_CPU_UTILISATION = 0.42


@dataclass(kw_only=True, slots=True)
class WorkerClock:
    """
    Lower bound of a worker's clock.

    :param reading_ms: a reading that the worker sent, in milliseconds.
    :param read_at: monotonic time of its arrival; ``None`` before the first.
    """

    reading_ms: float = 0
    read_at: MonotonicTime | None = None

    def observe(self, reading_ms: float, now: MonotonicTime) -> None:
        """
        Take over a reading unless the bound is already higher.

        :param reading_ms: the worker's clock, in milliseconds.
        :param now: monotonic time, in seconds.
        """
        if self.read_at is None or reading_ms >= self.earliest_ms(now):
            self.reading_ms = reading_ms
            self.read_at = now

    def earliest_ms(self, now: MonotonicTime) -> float:
        """
        Return the least that the worker's clock can show now.

        :param now: monotonic time, in seconds.
        :returns: milliseconds of the worker's clock; 0 before the first
            reading.
        """
        if self.read_at is None:
            return 0
        passed_ms = (now - self.read_at) * MS_PER_S
        return self.reading_ms + passed_ms * (1 - MAX_CLOCK_DRIFT)


@dataclass(kw_only=True, slots=True)
class ChangeCounter:
    """Numbers the changes of a shard's workers."""

    latest: int = 0

    def advance(self) -> int:
        """Count one more change and return its number."""
        self.latest += 1
        return self.latest


@dataclass(kw_only=True, slots=True)
class WorkerState:
    """
    Worker as the owner of its shard knows it.

    :param listed: its latest entry in the list of workers.
    :param change_counter: numbers the changes of all workers of the shard.
    :param change_number: number of the latest change that matters to tasks
        that wait for capacity.
    :param was_usable: whether it could get tasks at the latest check.
    :param is_listed: whether its entry is still in the list.
    :param is_evacuated: whether the operator evacuates its zone.
    :param born_ms: start of its process, as Unix time in milliseconds.
    :param lease_end_ms: latest possible end of its lease, by its own clock.
    :param lease_extended_at: monotonic time of the answer to the latest order
        of this owner that extended its lease; 0 for none.
    :param first_reported_at: monotonic time of its first report to the
        present owner; 0 before it.
    :param reported_at: monotonic time of its latest report.
    :param is_responding: whether the latest finished poll got a report.
    :param poll_sent_at: monotonic time of the poll under way; 0 for none.
    :param report_clock_ms: reading of its clock in the newest report.
    :param processed_end: number of the last run end that was applied.
    :param acknowledged_end: number of the last run end whose effect is durable.
    :param acknowledged_to_worker: number of the last run end whose
        acknowledgement has reached the worker.
    :param acknowledged_commit: number of the commit since which the effect of
        ``acknowledged_end`` is certainly durable.
    :param uncertain_acknowledgement: number of the last run end whose
        acknowledgement may have reached the worker, as far as it is logged.
    :param leftover_by_end: second runs of tasks that are over, by number of the
        end that is not acknowledged while they may still start, with the
        monotonic time up to which that is possible.
    :param is_restart_suspected: whether an answer since the latest report
        shows an earlier clock, as after a restart.
    :param run_by_key: tasks bound to it.
    :param allocated_cpu: CPU allocated to tasks that are no fillers, in cores.
    :param serving_cpu: part of it that is allocated to serving tasks.
    :param filler_cpu: CPU that fillers request, in cores.
    :param serving_by_image: number of its serving tasks, by image.
    :param start_backoff_until: monotonic time before which it gets no starts
        because starts had no effect or tasks failed.
    :param failed_start_count: number of times in a row that it got no starts
        for that reason; 0 once a start has had an effect.
    :param quarantined_until: monotonic time before which it gets no starts
        because of failures.
    :param avoid_serving_until: monotonic time before which it gets no serving
        tasks if others have capacity, while its own are moved away.
    :param is_newer_owner_claimed: whether it refused an order as that of a
        replaced owner, and the owner row has not been checked since.
    :param fence_ignored_until: monotonic time before which such refusals are
        ignored, because the owner row contradicted one.
    :param failed_task_keys: tasks that failed on it since its last success.
    :param blamed_task_keys: those of them that have succeeded elsewhere.
    :param latency_ratio_by_image: latest worst tail latency as a ratio to its
        target, by image of the serving tasks.
    :param cpu_share_by_filler: CPU that fillers used at the latest reading, as
        a share of the worker's, by image.
    :param last_reading_clock_ms: its clock at the latest evaluated readings.
    :param paced_at: monotonic time of the latest change of a filler's pace.
    :param filler_speed_limit: highest speed of the fillers, as a share of their
        full speed; lowered when a serving task misses its target.
    :param speed: its speed relative to other workers.
    """

    worker_id: WorkerId
    listed: ListedWorker
    change_counter: ChangeCounter = field(default_factory=ChangeCounter)
    change_number: int = 0
    was_usable: bool = False
    is_listed: bool = True
    is_evacuated: bool = False
    clock: WorkerClock = field(default_factory=WorkerClock)
    born_ms: int = 0
    lease_end_ms: float = 0
    lease_extended_at: MonotonicTime = 0
    first_reported_at: MonotonicTime = 0
    reported_at: MonotonicTime = 0
    is_responding: bool = False
    poll_sent_at: MonotonicTime = 0
    report_clock_ms: float = 0
    processed_end: int = 0
    acknowledged_end: int = 0
    acknowledged_to_worker: int = 0
    acknowledged_commit: int = 0
    uncertain_acknowledgement: int = 0
    leftover_by_end: dict[int, tuple[TaskState, MonotonicTime]] = field(
        default_factory=dict
    )
    is_restart_suspected: bool = False
    run_by_key: dict[TaskKey, TaskState] = field(default_factory=dict)
    allocated_cpu: float = 0
    allocated_memory_mb: float = 0
    allocated_accelerators: float = 0
    serving_cpu: float = 0
    filler_cpu: float = 0
    serving_by_image: dict[str, int] = field(default_factory=dict)
    start_backoff_until: MonotonicTime = 0
    failed_start_count: int = 0
    quarantined_until: MonotonicTime = 0
    avoid_serving_until: MonotonicTime = 0
    is_newer_owner_claimed: bool = False
    fence_ignored_until: MonotonicTime = 0
    failed_task_keys: set[TaskKey] = field(default_factory=set)
    blamed_task_keys: set[TaskKey] = field(default_factory=set)
    quarantine_count: int = 0
    latency_ratio_by_image: dict[str, float] = field(default_factory=dict)
    cpu_share_by_filler: dict[str, float] = field(default_factory=dict)
    last_reading_clock_ms: float = 0
    paced_at: MonotonicTime = 0
    filler_speed_limit: float = 1
    speed: WorkerSpeed = field(default_factory=WorkerSpeed)

    def observe_clock(self, clock_ms: float, now: MonotonicTime) -> None:
        """
        Take over the reading of its clock in an answer to an order.

        :param clock_ms: the reading, in milliseconds.
        :param now: monotonic time, in seconds.
        """
        self.clock.observe(clock_ms, now)
        self.suspect_restart(clock_ms)

    def suspect_restart(self, clock_ms: float) -> None:
        """
        Suspect a restart if an answer shows an earlier clock than a report.

        :param clock_ms: reading of the worker's clock, in milliseconds.
        """
        if clock_ms < self.report_clock_ms:
            self.is_restart_suspected = True

    def is_in_contact(self, bounds: TimingBounds, now: MonotonicTime) -> bool:
        """
        Tell whether the worker is not silent.

        An old report alone may be due to an owner that is late itself; only a
        poll that stays unanswered shows silence. An owner that was paused for a
        whole lease may have been replaced, so it polls first.

        :param bounds: durations in force.
        :param now: monotonic time, in seconds.
        :returns: whether its lease is extended and it may get new runs.
        """
        if not self.first_reported_at:
            return False
        age_s = now - self.reported_at
        if age_s <= bounds.contact_s:
            return True
        if not self.is_responding or age_s > bounds.requested_lease_s():
            return False
        return (
            not self.poll_sent_at or now - self.poll_sent_at <= bounds.contact_s
        )

    def is_cold(self, now: MonotonicTime) -> bool:
        """
        Tell whether the worker is slow for a while, as its entry says.

        :param now: monotonic time, in seconds.
        :returns: whether it may still be by its own clock; an entry of an
            earlier process says nothing.
        """
        cold_ms = self.listed.cold_remaining_ms
        start_times = {self.born_ms, self.listed.born_ms} - {0}
        if not cold_ms or len(start_times) > 1:
            return False
        return self.clock.earliest_ms(now) < self.listed.clock_ms + cold_ms

    def is_lease_expired(
        self, now: MonotonicTime, former_run_end: MonotonicTime
    ) -> bool:
        """
        Tell whether every run on the worker has certainly ended.

        :param now: monotonic time, in seconds.
        :param former_run_end: monotonic time at which all runs have ended that
            former owners started there.
        :returns: whether no order of any owner can have kept its lease valid.
        """
        if self.first_reported_at:
            return self.clock.earliest_ms(now) > self.lease_end_ms
        return now > former_run_end

    def record_durable_ends(self, last_end: int, commit: int) -> None:
        """
        Record that the effect of run ends is durable.

        :param last_end: number of the last of them.
        :param commit: number of the commit since which it certainly is.
        """
        if last_end > self.acknowledged_end:
            self.acknowledged_end = last_end
            self.acknowledged_commit = commit

    def add(self, task: TaskState) -> None:
        """Bind a task to the worker and allocate its resources."""
        if task.key in self.run_by_key:
            return
        self.run_by_key[task.key] = task
        self._update_allocation(task, 1)

    def remove(self, task: TaskState) -> None:
        """Unbind a task from the worker and free its resources."""
        if self.run_by_key.pop(task.key, None) is not None:
            self._update_allocation(task, -1)

    def record_change(self) -> None:
        """Record a change that matters to tasks that wait for capacity."""
        self.change_number = self.change_counter.advance()

    def are_fillers_working(self) -> bool:
        """Return whether fillers used CPU at the latest reading."""
        return any(self.cpu_share_by_filler.values())

    def forget_readings(self) -> None:
        """Forget the readings of its tasks, which a restart has ended."""
        self.last_reading_clock_ms = 0
        self.latency_ratio_by_image.clear()
        self.cpu_share_by_filler.clear()
        self.filler_speed_limit = 1

    def forget_failures(self) -> None:
        """Forget failures and refusals of a process that has ended."""
        self.start_backoff_until = 0
        self.failed_start_count = 0
        self.quarantined_until = 0
        self.quarantine_count = 0
        self.failed_task_keys.clear()
        self.blamed_task_keys.clear()
        self.fence_ignored_until = 0

    def is_remote_from(self, rack: str) -> bool:
        """
        Tell whether the worker is in another rack.

        :param rack: the rack; empty for any, which no worker is remote from.
        """
        return bool(rack) and self.listed.rack != rack

    def free_cpu(self) -> float:
        """Return the CPU that is not allocated, in cores."""
        return self.listed.capacity.cpu - self.allocated_cpu

    def idle_cpu(self) -> float:
        """
        Estimate the CPU that tasks other than fillers leave unused.

        :returns: cores.
        """
        return self.free_cpu() + self.serving_cpu * (
            1 - SERVING_CPU_UTILISATION
        )

    def free_memory_mb(self) -> float:
        """Return the memory that is not allocated, in MiB."""
        return self.listed.capacity.memory_mb - self.allocated_memory_mb

    def free_accelerators(self) -> float:
        """Return the number of accelerators that are not allocated."""
        return self.listed.capacity.accelerators - self.allocated_accelerators

    def _update_allocation(self, task: TaskState, sign: int) -> None:
        self.record_change()
        need = task.step.need
        if task.step.is_filler:
            self.filler_cpu += sign * need.cpu
        else:
            self.allocated_cpu += sign * need.cpu
        if task.step.latency_target_ms:
            self.serving_cpu += sign * need.cpu
            image = task.step.image
            count = self.serving_by_image.get(image, 0) + sign
            if count:
                self.serving_by_image[image] = count
            else:
                self.serving_by_image.pop(image, None)
        self.allocated_memory_mb += sign * need.memory_mb
        self.allocated_accelerators += sign * need.accelerators

"""Workers of a shard, with their leases and what is placed on them."""

from dataclasses import dataclass, field

from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.timing_bounds import (
    MAX_CLOCK_DRIFT,
    MS_PER_S,
    TimingBounds,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.types import MonotonicTime, WorkerId

#: Part of their processor that tasks with users of their own use.
SERVING_CPU_UTILISATION = 0.42


@dataclass(kw_only=True, slots=True)
class WorkerClock:
    """
    Lower bound of a worker's clock.

    :param reading_ms: a reading that the worker sent.
    :param read_at: when it arrived, by the own clock; ``None`` before the
        first one.
    """

    reading_ms: float = 0
    read_at: MonotonicTime | None = None

    def observe(self, reading_ms: float, now: MonotonicTime) -> None:
        """
        Take a reading in.

        :param reading_ms: the worker's clock.
        :param now: reading of the own monotonic clock.
        """
        if self.read_at is None or reading_ms >= self.earliest_ms(now):
            self.reading_ms = reading_ms
            self.read_at = now

    def earliest_ms(self, now: MonotonicTime) -> float:
        """
        Tell what the worker's clock shows at least.

        :param now: reading of the own monotonic clock.
        :returns: milliseconds of the worker's clock.
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
        """
        Count one more change.

        :returns: its number.
        """
        self.latest += 1
        return self.latest


@dataclass(kw_only=True, slots=True)
class WorkerState:
    """
    Worker as the owner of its shard knows it.

    :param listed: its latest own entry.
    :param is_listed: whether the entry still stands.
    :param lease_end_ms: latest end of its lease, by its own clock.
    :param first_reported_at: first report under the present owner; 0 before it.
    :param reported_at: latest report.
    :param is_responding: whether the latest look that ended got a report.
    :param poll_sent_at: when the look under way was sent; 0 while there is none.
    :param processed_end: last end that was taken into the tables.
    :param acknowledged: last end whose effect is durable.
    :param acknowledged_to_worker: last end of which the worker knows that.
    :param is_restart_suspected: whether an answer since the latest report shows
        an earlier clock, as after a new start.
    :param run_by_key: tasks bound to it.
    :param allocated_cpu: processor promised to tasks that are no fillers.
    :param serving_cpu: part of it that is promised to tasks with users.
    :param serving_by_image: number of its tasks with users, by image.
    :param filler_cpu: processor asked for by fillers.
    :param start_backoff_until: no starts before this, after a refusal for room.
    :param quarantined_until: no starts before this, for its failures.
    :param avoid_serving_until: no serving tasks before this if others have room,
        while those that serve here are moved off.
    :param failed_task_keys: tasks that failed here since the last success.
    :param latency_ratio_by_image: latest worst tail latency, as a share of its
        target, by image of the serving tasks.
    :param cpu_share_by_filler: processor that fillers used at the last reading,
        as a share of the worker's, by image.
    :param change_counter: numbers the changes of all workers of the shard.
    :param change_number: number of the latest change that matters to tasks that
        wait for room.
    :param was_usable: whether it could get tasks when that was last looked at.
    """

    worker_id: WorkerId
    listed: ListedWorker
    change_counter: ChangeCounter = field(default_factory=ChangeCounter)
    change_number: int = 0
    was_usable: bool = False
    is_listed: bool = True
    clock: WorkerClock = field(default_factory=WorkerClock)
    born_ms: int = 0
    lease_end_ms: float = 0
    first_reported_at: MonotonicTime = 0
    reported_at: MonotonicTime = 0
    is_responding: bool = False
    poll_sent_at: MonotonicTime = 0
    report_clock_ms: float = 0
    processed_end: int = 0
    acknowledged: int = 0
    acknowledged_to_worker: int = 0
    is_restart_suspected: bool = False
    run_by_key: dict[TaskKey, TaskState] = field(default_factory=dict)
    allocated_cpu: float = 0
    allocated_memory_mb: float = 0
    allocated_accelerators: float = 0
    serving_cpu: float = 0
    filler_cpu: float = 0
    serving_by_image: dict[str, int] = field(default_factory=dict)
    start_backoff_until: MonotonicTime = 0
    quarantined_until: MonotonicTime = 0
    avoid_serving_until: MonotonicTime = 0
    failed_task_keys: set[TaskKey] = field(default_factory=set)
    quarantine_count: int = 0
    latency_ratio_by_image: dict[str, float] = field(default_factory=dict)
    cpu_share_by_filler: dict[str, float] = field(default_factory=dict)
    last_reading_clock_ms: float = 0
    paced_at: MonotonicTime = 0

    def is_in_contact(self, bounds: TimingBounds, now: MonotonicTime) -> bool:
        """
        Tell whether the worker is not silent.

        An old report alone may be due to an owner that is late itself; only
        a look that waits for its answer shows silence. An owner that stood
        still for a whole lease may have been replaced, and looks first.

        :param bounds: durations in force.
        :param now: reading of the monotonic clock.
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

    def is_lease_expired(
        self,
        bounds: TimingBounds,
        now: MonotonicTime,
        owner_since: MonotonicTime,
    ) -> bool:
        """
        Tell whether everything on the worker has certainly ended.

        :param bounds: durations in force.
        :param now: reading of the monotonic clock.
        :param owner_since: when the present owner took the shard.
        :returns: whether no order of anybody can have kept a lease alive.
        """
        if self.first_reported_at:
            return self.clock.earliest_ms(now) > self.lease_end_ms
        # Before the first report the lease may stem from the owner before.
        longest_s = bounds.longest_lease_s() / (1 - MAX_CLOCK_DRIFT)
        return now - owner_since > bounds.unaware_s + longest_s

    def add(self, task: TaskState) -> None:
        """
        Count a task as placed here.

        :param task: the task.
        """
        if task.key in self.run_by_key:
            return
        self.run_by_key[task.key] = task
        self._count(task, 1)

    def remove(self, task: TaskState) -> None:
        """
        Count a task as gone.

        :param task: the task.
        """
        if self.run_by_key.pop(task.key, None) is not None:
            self._count(task, -1)

    def record_change(self) -> None:
        """Number a change that matters to tasks that wait for room."""
        self.change_number = self.change_counter.advance()

    def free_cpu(self) -> float:
        """
        Tell how much processor is not promised.

        :returns: cores.
        """
        return self.listed.capacity.cpu - self.allocated_cpu

    def idle_cpu(self) -> float:
        """
        Estimate how much processor tasks other than fillers leave unused.

        :returns: cores.
        """
        return self.free_cpu() + self.serving_cpu * (
            1 - SERVING_CPU_UTILISATION
        )

    def free_memory_mb(self) -> float:
        """
        Tell how much memory is not promised.

        :returns: MiB.
        """
        return self.listed.capacity.memory_mb - self.allocated_memory_mb

    def free_accelerators(self) -> float:
        """
        Tell how many accelerators are not promised.

        :returns: whole accelerators.
        """
        return self.listed.capacity.accelerators - self.allocated_accelerators

    def _count(self, task: TaskState, sign: int) -> None:
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

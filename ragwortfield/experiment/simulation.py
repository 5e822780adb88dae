"""Simulation of a worker pool under the real scheduling decisions."""

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass

from ragwortfield.core.resources import Resources
from ragwortfield.experiment.loads import (
    POOL,
    QUEUES,
    SERVING,
    PoolWorkload,
    WorkloadGenerator,
)
from ragwortfield.experiment.simulated_worker import SimulatedWorker
from ragwortfield.ports.task_worker import OrderDone, PaceRun, StartRun
from ragwortfield.scheduling import (
    commits,
    interference_control,
    shard_updates,
    worker_reports,
)
from ragwortfield.scheduling.catalogue import Catalogue, Pool
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
)
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.shard_state import Order, ShardState
from ragwortfield.scheduling.timing_bounds import MS_PER_S, TimingBounds
from ragwortfield.types import MonotonicTime, Seconds

#: Interval between scheduling rounds, in seconds. A commit takes one round.
_ROUND_INTERVAL_S: Seconds = 0.05
#: Interval between reports of a worker without ended runs, in seconds.
_REPORT_INTERVAL_S: Seconds = 0.5
#: Time until an order on pace takes effect, in seconds.
_PACE_DELAY_S: Seconds = 0.1
#: Time for the serving jobs to start before other jobs are submitted, in
#: seconds.
_WARM_UP_S: Seconds = 4
#: Time for the jobs to finish after the last submission, in seconds.
_COOL_DOWN_S: Seconds = 6
#: Score of a late job, relative to a job on time.
_LATE_JOB_SCORE = 0.15
#: Memory of a worker, in MB.
_WORKER_MEMORY_MB = 128_000
#: One in this many workers is large.
_LARGE_WORKER_PERIOD = 3
#: CPU of a large worker, as a multiple of a normal one's.
_LARGE_WORKER_FACTOR = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class SimulationResult:
    """
    Result of a simulation.

    :param workers: number of workers.
    :param seed: seed of the workload.
    :param runs: number of started runs.
    :param decision_ms_a_run: CPU time of all decisions divided by the number
        of runs, in milliseconds.
    :param slowest_round_ms: CPU time of the most expensive round, in
        milliseconds.
    :param on_time_by_queue: fraction of the jobs of each queue that finished
        on time; a late job counts as part of one.
    :param serving: fraction of the tail-latency readings of serving tasks that
        met the target.
    :param missed_share: fraction of these readings that missed it because of
        fillers.
    :param filler_work_s: work that the fillers have done, in core-seconds.
    :param longest_miss_s: longest time for which a serving task missed its
        target without a break because of fillers, in seconds.
    """

    workers: int
    seed: int
    runs: int
    decision_ms_a_run: float
    slowest_round_ms: float
    on_time_by_queue: dict[str, float]
    serving: float
    missed_share: float
    filler_work_s: float
    longest_miss_s: Seconds

    def to_document(self) -> dict[str, object]:
        """
        Convert the result to a JSON-compatible dictionary.

        :returns: fields by name.
        """
        return asdict(self)


class Simulation:
    """
    Simulation of one worker pool under one shard owner.

    :param workload: the pool and its workload.
    :param seed: seed of the workload.
    """

    def __init__(self, *, workload: PoolWorkload, seed: int) -> None:
        """Create the pool; ``run`` simulates the workload."""
        self.state = ShardState(
            epoch=1,
            owner_since=0,
            bounds=TimingBounds(),
            catalogue=Catalogue(
                version=1,
                queue_by_name={queue.name: queue for queue in QUEUES},
                pool_by_name={POOL: Pool(name=POOL)},
            ),
        )
        self._workload = workload
        self._seed = seed
        self._generator = WorkloadGenerator(workload=workload, seed=seed)
        self._rounds = SchedulingRounds()
        # Starts above 0 because a time of 0 means "never" in the shard state.
        self._now: MonotonicTime = 1
        self._runs = 0
        self._commits = 0
        self._decision_cpu_s: Seconds = 0
        self._slowest_round_s: Seconds = 0
        self._latency_readings_in_target = 0
        self._latency_readings_missed = 0
        self._latency_readings = 0
        self._delayed_orders: deque[tuple[MonotonicTime, PaceRun]] = deque()
        self._missed_since_by_task: dict[
            tuple[str, TaskKey], MonotonicTime
        ] = {}
        self._longest_miss_s: Seconds = 0
        self._worker_by_id = {
            f'w{number:04}': self._create_worker(number)
            for number in range(workload.workers)
        }

    def run(self, length_s: Seconds) -> SimulationResult:
        """
        Run the simulation.

        :param length_s: time during which jobs are submitted, in seconds.
        :returns: the result.
        """
        for job in self._generator.generate_serving_jobs():
            shard_updates.register_job(
                self.state, job, now=self._now, wall_time=self._now
            )
        submission_start = self._now + _WARM_UP_S
        submission_end = submission_start + length_s
        while self._now < submission_end + _COOL_DOWN_S:
            self._simulate_round(
                is_submitting=submission_start <= self._now < submission_end
            )
        return SimulationResult(
            workers=self._workload.workers,
            seed=self._seed,
            runs=self._runs,
            decision_ms_a_run=self._decision_cpu_s
            * MS_PER_S
            / max(self._runs, 1),
            slowest_round_ms=self._slowest_round_s * MS_PER_S,
            on_time_by_queue=self._score_queues(),
            serving=self._latency_readings_in_target
            / max(self._latency_readings, 1),
            missed_share=self._latency_readings_missed
            / max(self._latency_readings, 1),
            filler_work_s=sum(
                worker.filler_work_s for worker in self._worker_by_id.values()
            ),
            longest_miss_s=self._longest_miss_s,
        )

    def _create_worker(self, number: int) -> SimulatedWorker:
        size_factor = (
            1 if number % _LARGE_WORKER_PERIOD else _LARGE_WORKER_FACTOR
        )
        worker = SimulatedWorker(
            worker_id=f'w{number:04}',
            capacity=Resources(
                cpu=self._workload.worker_cpu * size_factor,
                memory_mb=_WORKER_MEMORY_MB,
            ),
            pool=POOL,
            generator=self._generator,
            idle_ms=self._workload.idle_ms,
            speed=self._choose_speed(number),
        )
        shard_updates.update_worker(self.state, worker.make_listing())
        return worker

    def _choose_speed(self, number: int) -> float:
        """Spread the slow workers evenly over the pool."""
        slow_share = self._workload.slow_share
        is_slow = int((number + 1) * slow_share) > int(number * slow_share)
        return 1 / self._workload.slow_factor if is_slow else 1

    def _simulate_round(self, *, is_submitting: bool) -> None:
        self._now += _ROUND_INTERVAL_S
        now = self._now
        for worker in self._worker_by_id.values():
            worker.advance(now, _ROUND_INTERVAL_S)
        if is_submitting:
            jobs = tuple(
                self._generator.generate_jobs(now - _ROUND_INTERVAL_S, now)
            )
            self._count_latency_readings()
        else:
            jobs = ()
        cpu_before_s = time.process_time()
        for job in jobs:
            shard_updates.register_job(self.state, job, now=now, wall_time=now)
        # A calm owner reads its row now and then.
        self.state.confirmation.record_store_call(now)
        self._apply_reports()
        self._rounds.decide(
            self.state, now, wall_time=now, is_binding_allowed=True
        )
        self._commit()
        spent_s = time.process_time() - cpu_before_s
        self._decision_cpu_s += spent_s
        self._slowest_round_s = max(self._slowest_round_s, spent_s)
        orders = self.state.orders
        self.state.orders = []
        for order in orders:
            if isinstance(order, PaceRun):
                self._delayed_orders.append((now + _PACE_DELAY_S, order))
            else:
                self._execute_order(order)
        while self._delayed_orders and self._delayed_orders[0][0] <= now:
            self._execute_order(self._delayed_orders.popleft()[1])

    def _apply_reports(self) -> None:
        for worker in self._worker_by_id.values():
            is_due = self._now - worker.reported_at >= _REPORT_INTERVAL_S
            if not worker.ends and not is_due:
                continue
            worker_state = self.state.worker_by_id[worker.worker_id]
            report = worker.make_report(
                self._now, worker_state.acknowledged_end
            )
            worker_reports.apply_report(
                self.state,
                worker_state,
                report,
                self._now,
                acknowledged_to_worker=worker_state.acknowledged_end,
            )
            interference_control.apply_readings(
                self.state, worker_state, self._now
            )

    def _commit(self) -> None:
        batch = commits.collect_batch(self.state, self._commits + 1)
        while batch is not None:
            self._commits += 1
            commits.apply_committed(
                self.state, batch, self._now, sent_at=self._now
            )
            batch = commits.collect_batch(self.state, self._commits + 1)
        commits.acknowledge_if_clean(self.state)

    def _execute_order(self, order: Order) -> None:
        worker = self._worker_by_id[order.worker_id]
        done = OrderDone(clock_ms=round(self._now * MS_PER_S))
        if isinstance(order, StartRun):
            task = self.state.find_task(order.key)
            if task is not None:
                self._runs += 1
                worker.start_run(order.key, task.step, order.run, self._now)
                self._measure_cpu(
                    lambda: worker_reports.apply_start_outcome(
                        self.state,
                        order,
                        done,
                        self._now,
                    ),
                )
        elif isinstance(order, PaceRun):
            worker.change_pace(order.key, order.percent)
            interference_control.apply_pace_outcome(
                self.state,
                order,
                done,
                self._now,
            )
        else:
            worker.stop_run(order.key)
            worker_reports.apply_stop_outcome(
                self.state, order, done, self._now
            )

    def _measure_cpu(self, decide: Callable[[], None]) -> None:
        cpu_before_s = time.process_time()
        decide()
        self._decision_cpu_s += time.process_time() - cpu_before_s

    def _count_latency_readings(self) -> None:
        missed_since_by_task = {}
        for worker in self._worker_by_id.values():
            for latency in worker.list_tail_latencies():
                self._latency_readings += 1
                self._latency_readings_in_target += (
                    latency.tail_ms <= latency.target_ms
                )
                if latency.is_missed_by_fillers():
                    self._latency_readings_missed += 1
                    key = (worker.worker_id, latency.key)
                    missed_since_by_task[key] = self._missed_since_by_task.get(
                        key, self._now
                    )
        self._missed_since_by_task = missed_since_by_task
        first_missed_at = min(missed_since_by_task.values(), default=self._now)
        self._longest_miss_s = max(
            self._longest_miss_s, self._now - first_missed_at
        )

    def _score_queues(self) -> dict[str, float]:
        score_by_queue: Counter[str] = Counter()
        jobs_by_queue: Counter[str] = Counter()
        for job_state in self.state.job_by_id.values():
            if job_state.job.queue != SERVING:
                jobs_by_queue[job_state.job.queue] += 1
                score_by_queue[job_state.job.queue] += _score_job(job_state)
        return {
            queue: score_by_queue[queue] / jobs_by_queue[queue]
            for queue in sorted(jobs_by_queue)
        }


def _score_job(job_state: JobRuntimeState) -> float:
    if not job_state.finished_at:
        return 0
    duration_s = job_state.finished_at - job_state.accepted_at_monotonic
    if duration_s <= job_state.objective_s():
        return 1
    return (
        _LATE_JOB_SCORE
        if duration_s <= MAX_LATENESS_FACTOR * job_state.objective_s()
        else 0
    )

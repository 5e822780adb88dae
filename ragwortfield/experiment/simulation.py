"""One trial: a drawn load, the real decisions, emulated workers."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass

from ragwortfield.core.resources import Resources
from ragwortfield.experiment.loads import (
    POOL,
    QUEUES,
    SERVING,
    WorkloadGenerator,
    PoolWorkload,
)
from ragwortfield.experiment.simulated_worker import SimulatedWorker
from ragwortfield.ports.task_worker import OrderDone, PaceRun, StartRun
from ragwortfield.scheduling import (
    commits,
    shard_updates,
    interference_control,
    worker_reports,
)
from ragwortfield.scheduling.timing_bounds import MS_PER_S, TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue, Pool
from ragwortfield.scheduling.job_state import (
    MAX_LATENESS_FACTOR,
    JobRuntimeState,
)
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.shard_state import Order, ShardState
from ragwortfield.types import MonotonicTime, Seconds

#: Time between rounds, which is also how long a commit takes, in seconds.
_ROUND_S: Seconds = 0.05
#: Time between reports of a worker where nothing ends, in seconds.
_REPORT_S: Seconds = 0.5
#: Time before the drawn jobs come, for the standing ones to start.
_LEAD_S: Seconds = 4
#: Time after the drawn jobs, for them to finish.
_FINISH_S: Seconds = 6
#: Worth of a job that is late, beside one that is on time.
_LATE_WORTH = 0.15
_MEMORY_MB = 128_000
#: Every so many workers one is larger by this factor.
_LARGE_EVERY = 3
_LARGE_SIZE = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class SimulationResult:
    """
    What came of a trial.

    :param runs: runs that were started.
    :param decision_ms_a_run: processor of all decisions, in milliseconds,
        divided by the runs.
    :param slowest_round_ms: processor of the dearest round, in milliseconds.
    :param on_time_by_queue: share of the jobs that were on time, late ones
        counted with a part, by queue.
    :param serving: share of the time for which tasks with users were at work
        and within their target.
    """

    workers: int
    seed: int
    runs: int
    decision_ms_a_run: float
    slowest_round_ms: float
    on_time_by_queue: dict[str, float]
    serving: float

    def to_document(self) -> dict[str, object]:
        """
        Give the result for a line of JSON.

        :returns: fields by name.
        """
        return asdict(self)


class Simulation:
    """
    One pool under one owner.

    :param workload: the pool and its load.
    :param seed: seed of the draw.
    """

    def __init__(self, *, workload: PoolWorkload, seed: int) -> None:
        """Create the pool; ``run`` plays the load."""
        self.state = ShardState(
            epoch=1,
            owner_since=0,
            bounds=TimingBounds(),
            catalogue=Catalogue(
                version=1,
                queue_by_name={one.name: one for one in QUEUES},
                pool_by_name={POOL: Pool(name=POOL)},
            ),
        )
        self._load = workload
        self._seed = seed
        self._generator = WorkloadGenerator(workload=workload, seed=seed)
        self._rounds = SchedulingRounds()
        # Readings of zero mean "never" in the tables.
        self._now: MonotonicTime = 1
        self._runs = 0
        self._commits = 0
        self._spent_s: Seconds = 0
        self._slowest_s: Seconds = 0
        self._good_tails = 0
        self._tails = 0
        self._worker_by_id = {
            f'w{number:04}': self._worker(number)
            for number in range(workload.workers)
        }

    def run(self, length_s: Seconds) -> SimulationResult:
        """
        Play the load.

        :param length_s: how long jobs are handed in, in seconds.
        :returns: what came of it.
        """
        for job in self._generator.generate_serving_jobs():
            shard_updates.register_job(
                self.state, job, now=self._now, wall_time=self._now
            )
        first = self._now + _LEAD_S
        last = first + length_s
        while self._now < last + _FINISH_S:
            self._round(is_loaded=first <= self._now < last)
        return SimulationResult(
            workers=self._load.workers,
            seed=self._seed,
            runs=self._runs,
            decision_ms_a_run=self._spent_s * MS_PER_S / max(self._runs, 1),
            slowest_round_ms=self._slowest_s * MS_PER_S,
            on_time_by_queue=self._on_time_by_queue(),
            serving=self._good_tails / max(self._tails, 1),
        )

    def _worker(self, number: int) -> SimulatedWorker:
        size = 1 if number % _LARGE_EVERY else _LARGE_SIZE
        worker = SimulatedWorker(
            worker_id=f'w{number:04}',
            capacity=Resources(
                cpu=self._load.worker_cpu * size,
                memory_mb=_MEMORY_MB,
            ),
            pool=POOL,
            generator=self._generator,
            idle_ms=self._load.idle_ms,
        )
        shard_updates.update_worker(self.state, worker.make_listing())
        return worker

    def _round(self, *, is_loaded: bool) -> None:
        self._now += _ROUND_S
        now = self._now
        for worker in self._worker_by_id.values():
            worker.advance(now, _ROUND_S)
        if is_loaded:
            jobs = tuple(self._generator.generate_jobs(now - _ROUND_S, now))
            self._judge_tails()
        else:
            jobs = ()
        started_s = time.process_time()
        for job in jobs:
            shard_updates.register_job(self.state, job, now=now, wall_time=now)
        self._take_reports()
        self._rounds.decide(
            self.state, now, wall_time=now, is_binding_allowed=True
        )
        self._commit()
        spent_s = time.process_time() - started_s
        self._spent_s += spent_s
        self._slowest_s = max(self._slowest_s, spent_s)
        orders = self.state.orders
        self.state.orders = []
        for order in orders:
            self._carry_out(order)

    def _take_reports(self) -> None:
        for worker in self._worker_by_id.values():
            is_due = self._now - worker.reported_at >= _REPORT_S
            if not worker.ends and not is_due:
                continue
            row = self.state.worker_by_id[worker.worker_id]
            report = worker.report(self._now, row.acknowledged)
            worker_reports.apply_report(
                self.state,
                row,
                report,
                self._now,
                acknowledged_to_worker=row.acknowledged,
            )
            interference_control.apply_readings(self.state, row, self._now)

    def _commit(self) -> None:
        batch = commits.collect_batch(self.state, self._commits + 1)
        while batch is not None:
            self._commits += 1
            commits.apply_committed(self.state, batch, self._now)
            batch = commits.collect_batch(self.state, self._commits + 1)
        commits.acknowledge_if_clean(self.state)

    def _carry_out(self, order: Order) -> None:
        worker = self._worker_by_id[order.worker_id]
        done = OrderDone(clock_ms=round(self._now * MS_PER_S))
        if isinstance(order, StartRun):
            task = self.state.find_task(order.key)
            if task is not None:
                self._runs += 1
                worker.start(order.key, task.step, order.run, self._now)
                self._spend(
                    lambda: worker_reports.apply_start_outcome(
                        self.state,
                        order,
                        done,
                        self._now,
                    ),
                )
        elif isinstance(order, PaceRun):
            worker.pace(order.key, order.percent)
            interference_control.apply_pace_outcome(
                self.state,
                order,
                done,
                self._now,
            )
        else:
            worker.stop(order.key)
            worker_reports.apply_stop_outcome(self.state, order, done)

    def _spend(self, work: Callable[[], None]) -> None:
        started_s = time.process_time()
        work()
        self._spent_s += time.process_time() - started_s

    def _judge_tails(self) -> None:
        for worker in self._worker_by_id.values():
            for _, tail_ms, target_ms in worker.list_tail_latencies():
                self._tails += 1
                self._good_tails += tail_ms <= target_ms

    def _on_time_by_queue(self) -> dict[str, float]:
        earned: Counter[str] = Counter()
        owed: Counter[str] = Counter()
        for row in self.state.job_by_id.values():
            if row.job.queue != SERVING:
                owed[row.job.queue] += 1
                earned[row.job.queue] += _worth(row)
        return {queue: earned[queue] / owed[queue] for queue in sorted(owed)}


def _worth(row: JobRuntimeState) -> float:
    if not row.finished_at:
        return 0
    taken_s = row.finished_at - row.accepted_at_monotonic
    if taken_s <= row.objective_s():
        return 1
    return (
        _LATE_WORTH if taken_s <= MAX_LATENESS_FACTOR * row.objective_s() else 0
    )

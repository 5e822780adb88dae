"""Workers of trials: what they run, how fast, and what they report."""

from dataclasses import dataclass, field

from ragwortfield.core.resources import Resources
from ragwortfield.experiment.loads import WorkloadGenerator
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseReport,
    ListedEnd,
    ListedRun,
    ListedWorker,
)
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.job import Step, TaskKey
from ragwortfield.types import MonotonicTime, Seconds

#: Time from a start to the first work, in seconds.
_STARTUP_S: Seconds = 0.3
_WHOLE = 100
#: Use from which on a queue of users no longer drains.
_SATURATED = 0.97


@dataclass(kw_only=True, slots=True)
class _Run:
    step: Step
    run: int
    left_s: Seconds
    started_at: MonotonicTime
    pace: int = _WHOLE
    reading: float = 0


@dataclass(kw_only=True, slots=True)
class SimulatedWorker:
    """
    One worker.

    :param generator: where weights of pairs and loads of users come from.
    :param reported_at: latest report.
    """

    worker_id: str
    capacity: Resources
    pool: str
    generator: WorkloadGenerator
    idle_ms: float
    run_by_key: dict[TaskKey, _Run] = field(default_factory=dict)
    ends: list[ListedEnd] = field(default_factory=list)
    last_end: int = 0
    reported_at: MonotonicTime = 0

    def make_listing(self) -> ListedWorker:
        """
        Give the worker's own entry.

        :returns: the entry.
        """
        return ListedWorker(
            worker_id=self.worker_id,
            pool=self.pool,
            address=f'{self.worker_id}:1',
            data_centre='dc',
            capacity=self.capacity,
            labels=(),
            rack='rack',
            clock_ms=0,
            born_ms=1,
        )

    def start(
        self,
        key: TaskKey,
        step: Step,
        run: int,
        now: MonotonicTime,
    ) -> None:
        """
        Start a run.

        :param key: its task.
        :param step: what the task asks for.
        :param run: number of the run.
        :param now: time of the trial.
        """
        self.run_by_key[key] = _Run(
            step=step,
            run=run,
            left_s=self.generator.work_s(step),
            started_at=now,
        )

    def stop(self, key: TaskKey) -> None:
        """
        Stop a run, if it is there.

        :param key: its task.
        """
        if key in self.run_by_key:
            self._end(key, EndKind.STOPPED)

    def pace(self, key: TaskKey, percent: int) -> None:
        """
        Set the pace of a run, if it is there.

        :param key: its task.
        :param percent: its share of full speed.
        """
        run = self.run_by_key.get(key)
        if run is not None:
            run.pace = percent

    def advance(self, now: MonotonicTime, passed_s: Seconds) -> None:
        """
        Let everything work.

        :param now: time of the trial.
        :param passed_s: for how long, in seconds.
        """
        speed = self._filler_speed(now)
        for key, run in tuple(self.run_by_key.items()):
            if run.step.is_long_lived:
                continue
            share = speed * run.pace / _WHOLE if run.step.is_filler else 1
            run.reading = run.step.need.cpu * share
            run.left_s -= passed_s * share
            if run.left_s <= 0:
                self._end(key, EndKind.DONE)
        self._read_tails(now)

    def list_tail_latencies(self) -> list[tuple[TaskKey, float, float]]:
        """
        Give the tail latencies of the tasks with users that are at work.

        :returns: task, latency and target, in milliseconds.
        """
        return [
            (key, run.reading, run.step.latency_target_ms)
            for key, run in self.run_by_key.items()
            if run.step.latency_target_ms and run.reading
        ]

    def report(self, now: MonotonicTime, acknowledged: int) -> LeaseReport:
        """
        Report.

        :param now: time of the trial.
        :param acknowledged: ends up to this number are forgotten.
        :returns: what runs and what has ended.
        """
        self.reported_at = now
        self.ends = [one for one in self.ends if one.number > acknowledged]
        return LeaseReport(
            clock_ms=round(now * MS_PER_S),
            born_ms=1,
            runs=tuple(
                self._listed(key, run, now)
                for key, run in self.run_by_key.items()
            ),
            ends=tuple(self.ends),
        )

    def _listed(self, key: TaskKey, run: _Run, now: MonotonicTime) -> ListedRun:
        if run.step.latency_target_ms:
            is_up = now - run.started_at > _STARTUP_S
            reading = float(round(run.reading)) if is_up else None
            return ListedRun(
                key=key,
                run=run.run,
                checkpoint='',
                percent=_WHOLE if is_up else 0,
                reading=reading,
            )
        return ListedRun(
            key=key,
            run=run.run,
            checkpoint='',
            percent=0,
            reading=run.reading * MS_PER_S,
        )

    def _filler_speed(self, now: MonotonicTime) -> float:
        used_cpu: float = 0
        wanted_cpu: float = 0
        for key, run in self.run_by_key.items():
            if run.step.is_filler:
                wanted_cpu += run.step.need.cpu * run.pace / _WHOLE
            elif run.step.latency_target_ms:
                workload = self.generator.compute_utilisation(key.job_id, now)
                used_cpu += run.step.need.cpu * workload
            else:
                used_cpu += run.step.need.cpu
        if not wanted_cpu:
            return 1
        return min(max(self.capacity.cpu - used_cpu, 0) / wanted_cpu, 1)

    def _read_tails(self, now: MonotonicTime) -> None:
        fillers = [
            one for one in self.run_by_key.values() if one.step.is_filler
        ]
        for key, run in self.run_by_key.items():
            if not run.step.latency_target_ms:
                continue
            if now - run.started_at < _STARTUP_S:
                continue
            use = (
                self.generator.compute_utilisation(key.job_id, now)
                + sum(
                    self.generator.weight_by_pair[
                        run.step.image, one.step.image
                    ]
                    * one.reading
                    for one in fillers
                )
                / self.capacity.cpu
            )
            run.reading = self.idle_ms / (1 - min(use, _SATURATED))

    def _end(self, key: TaskKey, kind: EndKind) -> None:
        run = self.run_by_key.pop(key)
        self.last_end += 1
        self.ends.append(
            ListedEnd(
                number=self.last_end,
                key=key,
                run=run.run,
                kind=kind,
                checkpoint='',
            ),
        )

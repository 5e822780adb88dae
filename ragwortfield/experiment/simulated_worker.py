"""Simulated worker: the progress of its runs and its lease reports."""

from collections import deque
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
from ragwortfield.scheduling.job import Step, TaskKey
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.types import MonotonicTime, Seconds

#: Time that a reading in a report covers, in seconds.
_READING_S: Seconds = 0.5
#: Time from the start of a serving task until it serves, in seconds.
_STARTUP_S: Seconds = 0.3
#: Lease reports state CPU usage in thousandths of a core.
_MILLICORES_PER_CORE = 1000
#: Pace of a run at full speed, in percent.
_FULL_PACE_PERCENT = 100
#: Utilisation above which the queue of a serving task no longer drains; its
#: tail latency is computed for at most this value.
_MAX_UTILISATION = 0.97


@dataclass(kw_only=True, slots=True)
class _Run:
    """
    Active run of a task.

    :param work_s: work at full speed, in seconds.
    :param remaining_s: remaining part of it, in seconds.
    :param pace: pace that the owner ordered, in percent of full speed.
    :param reading: tail latency in milliseconds of a serving task, zero until
        it serves; CPU in use, in cores, of another task.
    :param recent_readings: readings of the latest half second, which a report
        covers.
    :param reading_without_fillers: tail latency in milliseconds that a serving
        task would have without the fillers beside it.
    """

    step: Step
    run: int
    work_s: Seconds
    remaining_s: Seconds
    started_at: MonotonicTime
    pace: int = _FULL_PACE_PERCENT
    reading: float = 0
    recent_readings: deque[float] = field(default_factory=deque)
    reading_without_fillers: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TailLatency:
    """
    Tail latency of a serving task.

    :param tail_ms: tail latency, in milliseconds.
    :param tail_without_fillers_ms: tail latency without the fillers beside the
        task, in milliseconds.
    :param target_ms: target of the tail latency, in milliseconds.
    """

    key: TaskKey
    tail_ms: float
    tail_without_fillers_ms: float
    target_ms: float

    def is_missed_by_fillers(self) -> bool:
        """Return whether the target is missed because of fillers."""
        return self.tail_without_fillers_ms <= self.target_ms < self.tail_ms


@dataclass(kw_only=True, slots=True)
class SimulatedWorker:
    """
    Simulated worker.

    :param generator: source of the work of tasks, the utilisation by users
        and the interference weights.
    :param idle_ms: tail latency of an idle serving task, in milliseconds.
    :param speed: speed of short tasks, as a share of full speed.
    :param filler_work_s: work that its fillers have done, in core-seconds.
    :param run_by_key: active runs.
    :param ends: ended runs that the owner has not acknowledged yet.
    :param last_end: number of the latest ended run.
    :param reported_at: time of the latest report.
    """

    worker_id: str
    capacity: Resources
    pool: str
    generator: WorkloadGenerator
    idle_ms: float
    speed: float = 1
    filler_work_s: float = 0
    run_by_key: dict[TaskKey, _Run] = field(default_factory=dict)
    ends: list[ListedEnd] = field(default_factory=list)
    last_end: int = 0
    reported_at: MonotonicTime = 0

    def make_listing(self) -> ListedWorker:
        """
        Create the entry with which the worker registers.

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

    def start_run(
        self,
        key: TaskKey,
        step: Step,
        run: int,
        now: MonotonicTime,
    ) -> None:
        """
        Start a run of a task.

        :param key: key of the task.
        :param step: step of the task, with its resource needs.
        :param run: number of the run.
        :param now: simulated time.
        """
        work_s = self.generator.draw_work_s(key, step)
        self.run_by_key[key] = _Run(
            step=step,
            run=run,
            work_s=work_s,
            remaining_s=work_s,
            started_at=now,
        )

    def stop_run(self, key: TaskKey) -> None:
        """
        Stop the run of a task, if there is one.

        :param key: key of the task.
        """
        if key in self.run_by_key:
            self._end_run(key, EndKind.STOPPED)

    def change_pace(self, key: TaskKey, percent: int) -> None:
        """
        Change the pace of the run of a task, if there is one.

        :param key: key of the task.
        :param percent: new pace, in percent of full speed.
        """
        run = self.run_by_key.get(key)
        if run is not None:
            run.pace = percent

    def advance(self, now: MonotonicTime, passed_s: Seconds) -> None:
        """
        Advance all runs and update the tail latencies.

        :param now: simulated time at the end of the interval.
        :param passed_s: length of the interval, in seconds.
        """
        filler_speed = self._compute_filler_speed(now)
        for key, run in tuple(self.run_by_key.items()):
            if run.step.is_long_lived:
                continue
            speed_share = (
                filler_speed * run.pace / _FULL_PACE_PERCENT
                if run.step.is_filler
                else 1
            )
            run.reading = run.step.need.cpu * speed_share
            if run.step.is_filler:
                self.filler_work_s += run.reading * passed_s * self.speed
            run.remaining_s -= passed_s * speed_share * self.speed
            if run.remaining_s <= 0:
                self._end_run(key, EndKind.DONE)
        self._update_tail_latencies(now)
        self._keep_readings(round(_READING_S / passed_s))

    def list_tail_latencies(self) -> list[TailLatency]:
        """
        List the tail latencies of the serving tasks that have one.

        :returns: one entry for each of these tasks.
        """
        return [
            TailLatency(
                key=key,
                tail_ms=run.reading,
                tail_without_fillers_ms=run.reading_without_fillers,
                target_ms=run.step.latency_target_ms,
            )
            for key, run in self.run_by_key.items()
            if run.step.latency_target_ms and run.reading
        ]

    def make_report(
        self, now: MonotonicTime, acknowledged_end: int
    ) -> LeaseReport:
        """
        Create the report for the owner and drop acknowledged ends.

        :param now: simulated time.
        :param acknowledged_end: number of the latest acknowledged end.
        :returns: active runs and ends that are not acknowledged.
        """
        self.reported_at = now
        self.ends = [end for end in self.ends if end.number > acknowledged_end]
        return LeaseReport(
            clock_ms=round(now * MS_PER_S),
            born_ms=1,
            runs=tuple(
                self._list_run(key, run, now)
                for key, run in self.run_by_key.items()
            ),
            ends=tuple(self.ends),
        )

    def _list_run(
        self, key: TaskKey, run: _Run, now: MonotonicTime
    ) -> ListedRun:
        if run.step.latency_target_ms:
            is_serving = now - run.started_at > _STARTUP_S
            reading = float(round(_compute_mean(run))) if is_serving else None
            return ListedRun(
                key=key,
                run=run.run,
                checkpoint='',
                percent=_FULL_PACE_PERCENT if is_serving else 0,
                reading=reading,
            )
        return ListedRun(
            key=key,
            run=run.run,
            checkpoint='',
            percent=int(
                _FULL_PACE_PERCENT * (1 - run.remaining_s / run.work_s)
            ),
            reading=_compute_mean(run) * _MILLICORES_PER_CORE,
        )

    def _keep_readings(self, count: int) -> None:
        for run in self.run_by_key.values():
            if run.reading or run.step.is_filler:
                run.recent_readings.append(run.reading)
            while len(run.recent_readings) > count:
                run.recent_readings.popleft()

    def _compute_filler_speed(self, now: MonotonicTime) -> float:
        used_cpu: float = 0
        wanted_cpu: float = 0
        for key, run in self.run_by_key.items():
            if run.step.is_filler:
                wanted_cpu += run.step.need.cpu * run.pace / _FULL_PACE_PERCENT
            elif run.step.latency_target_ms:
                utilisation = self.generator.compute_utilisation(
                    key.job_id, now
                )
                used_cpu += run.step.need.cpu * utilisation
            else:
                used_cpu += run.step.need.cpu
        if not wanted_cpu:
            return 1
        return min(max(self.capacity.cpu - used_cpu, 0) / wanted_cpu, 1)

    def _update_tail_latencies(self, now: MonotonicTime) -> None:
        fillers = [
            filler
            for filler in self.run_by_key.values()
            if filler.step.is_filler
        ]
        for key, run in self.run_by_key.items():
            if not run.step.latency_target_ms:
                continue
            if now - run.started_at < _STARTUP_S:
                continue
            own_utilisation = self.generator.compute_utilisation(
                key.job_id, now
            )
            interference = sum(
                self.generator.compute_weight(
                    run.step.image, filler.step.image, now
                )
                * filler.reading
                for filler in fillers
            )
            run.reading_without_fillers = self._compute_tail_ms(own_utilisation)
            run.reading = self._compute_tail_ms(
                own_utilisation + interference / self.capacity.cpu
            )

    def _compute_tail_ms(self, utilisation: float) -> float:
        return self.idle_ms / (1 - min(utilisation, _MAX_UTILISATION))

    def _end_run(self, key: TaskKey, kind: EndKind) -> None:
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


def _compute_mean(run: _Run) -> float:
    readings = run.recent_readings
    return sum(readings) / len(readings) if readings else run.reading

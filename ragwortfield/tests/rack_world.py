"""Simulated pools in which the data of many jobs lie in one rack."""

import random
from dataclasses import replace

from ragwortfield.experiment.loads import (
    POOL,
    SERVING,
    URGENT,
    JobDistribution,
    PoolWorkload,
)
from ragwortfield.experiment.simulated_worker import SimulatedWorker
from ragwortfield.experiment.simulation import Simulation
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings

_FULL_PERCENT = 100
#: Standard deviations of the logarithm of the durations: of a step over the
#: declared one, and of a task over that of its step.
_STEP_DEVIATION = 0.6
_TASK_DEVIATION = 0.15
#: Share of the jobs that have their data in a rack.
_DATA_SHARE = 0.5
_HOT_RACK = 'rack-0'


class RackWorker(SimulatedWorker):
    """Worker on which tasks take longer away from their data."""

    world = None

    def rack(self):
        """Return the rack of the worker."""
        return self.world.rack_of(self.worker_id)

    def make_listing(self):
        """Return the listing, with the rack."""
        return replace(super().make_listing(), rack=self.rack())

    def start_run(self, key, step, run, now):
        """Start a run; it takes longer away from its data."""
        super().start_run(key, step, run, now)
        started = self.run_by_key[key]
        started.remaining_s = self.world.draw_duration_s(key)
        if step.data_rack and step.data_rack != self.rack():
            started.remaining_s *= self.world.remote_factor
            self.world.remote_starts += 1
        self.world.duration_by_key[key] = started.remaining_s

    def _list_run(self, key, run, now):
        listed = super()._list_run(key, run, now)
        if run.step.is_long_lived:
            return listed
        duration_s = self.world.duration_by_key[key]
        done_share = min(1 - run.remaining_s / duration_s, 1)
        return replace(listed, percent=int(done_share * _FULL_PERCENT))


class HotRackSimulation(Simulation):
    """
    Simulation in which half of the urgent jobs have their data in a rack.

    :param per_rack: workers of a rack.
    :param remote_factor: real duration of a task away from its data, as a
        multiple of that beside them.
    :param is_waiting: whether the scheduler knows that factor.
    :param hot_share: share of those jobs whose data are in the same rack.
    """

    def __init__(
        self,
        *,
        workload,
        seed,
        per_rack,
        remote_factor,
        is_waiting,
        hot_share=0.8,
    ):
        self.per_rack = per_rack
        self.remote_factor = remote_factor
        self.hot_share = hot_share
        self.remote_starts = 0
        self.duration_by_key = {}
        super().__init__(workload=workload, seed=seed)
        self.state.settings = SchedulingSettings(
            remote_duration_factor=remote_factor if is_waiting else 1
        )
        generate = self._generator.generate_jobs
        # Draws at each start would let the jobs depend on the decisions.
        self._generator.draw_work_s = lambda _key, step: step.estimate_s
        self._generator.generate_jobs = lambda start, end: [
            self._place_data(job) for job in generate(start, end)
        ]

    def rack_of(self, worker_id):
        """Return the rack of a worker."""
        return f'rack-{int(worker_id[1:]) // self.per_rack}'

    def draw_duration_s(self, key):
        """Return the duration of a task beside its data."""
        job = self.state.job_by_id[key.job_id].job
        # Does not depend on the order of the starts.
        step_draw = random.Random(f'{self._seed} {key.job_id} {key.step}')
        task_draw = random.Random(f'{self._seed} {key}')
        return (
            job.steps[key.step].estimate_s
            * step_draw.lognormvariate(0, _STEP_DEVIATION)
            * task_draw.lognormvariate(0, _TASK_DEVIATION)
        )

    def count_urgent(self):
        """Return how many urgent jobs ended in time, and how many there are."""
        jobs = [
            job
            for job in self.state.job_by_id.values()
            if job.job.queue == URGENT
        ]
        return sum(self._is_in_time(job) for job in jobs), len(jobs)

    def _is_in_time(self, job):
        chain_s = sum(
            max(
                self.draw_duration_s(TaskKey(job.job.job_id, 0, number, index))
                for index in range(step.count)
            )
            for number, step in enumerate(job.job.steps)
        )
        objective_s = job.queue.stretch * chain_s + job.queue.slack_s
        took_s = job.finished_at - job.accepted_at_monotonic
        return 0 < job.finished_at and took_s <= objective_s

    def _create_worker(self, number):
        worker = super()._create_worker(number)
        rack_worker = RackWorker(
            worker_id=worker.worker_id,
            capacity=worker.capacity,
            pool=POOL,
            generator=self._generator,
            idle_ms=worker.idle_ms,
        )
        rack_worker.world = self
        shard_updates.update_worker(self.state, rack_worker.make_listing())
        return rack_worker

    def _place_data(self, job):
        draw = random.Random(f'{self._seed} {job.job_id}')
        if job.queue == SERVING or draw.random() >= _DATA_SHARE:
            return job
        rack = _HOT_RACK
        if draw.random() >= self.hot_share:
            number = draw.randrange(self._workload.workers // self.per_rack)
            rack = f'rack-{number}'
        steps = tuple(replace(step, data_rack=rack) for step in job.steps)
        return replace(job, steps=steps)


def build_hot_workload(*, workers, worker_cpu, cpu, work_s, per_s, serving):
    """Build a pool of urgent and serving jobs."""
    return PoolWorkload(
        workers=workers,
        worker_cpu=worker_cpu,
        kinds=(
            JobDistribution(
                queue=URGENT,
                per_worker_s=per_s / workers,
                steps=2,
                width=10,
                cpu=cpu / worker_cpu,
                work_s=work_s,
            ),
        ),
        serving=JobDistribution(
            queue=SERVING, per_worker_s=0, steps=1, width=14, cpu=0.1
        ),
        serving_share=serving,
    )

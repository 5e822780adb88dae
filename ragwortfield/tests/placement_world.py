"""Small shard with serving tasks and fillers, for tests of interference."""

from ragwortfield.core.resources import Resources
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import dispatch, shard_updates
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue, Pool, Queue
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.interference_model import (
    LoadEstimate,
    InterferenceModel,
)
from ragwortfield.scheduling.task_lifecycle import record_run_end
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.testing.fake_task_workers import FakeTaskWorker

#: Target of the users' serving tasks, in milliseconds.
TARGET_MS = 18
#: Weights of the pairs in these tests.
WEAK_INTERFERENCE = 0.2
STRONG_INTERFERENCE = 2.0
NOW = 1000.0


class PlacementWorld:
    """Owner's tables with workers of 32 cores."""

    def __init__(self, *, workers):
        queue = Queue(
            name='queue',
            host='',
            path_prefix='',
            pool='pool',
            attempts=2,
        )
        self.state = ShardState(
            epoch=1,
            owner_since=0,
            bounds=TimingBounds(),
            catalogue=Catalogue(
                version=1,
                queue_by_name={'queue': queue},
                pool_by_name={'pool': Pool(name='pool')},
            ),
        )
        for number in range(workers):
            self.add_worker(f'w{number}')

    def learn(self, amount_by_pair):
        """Let pairs of images be known with their weights."""
        model = InterferenceModel()
        for (serving, filler), amount in amount_by_pair.items():
            model.learn(
                serving,
                LoadEstimate(),
                {filler: 0.1},
                changes={},
                tail_ms=5,
                target_ms=TARGET_MS,
            )
            model.weight_by_pair[serving, filler].amount = amount
        self.state.interference_model.weight_by_pair.update(
            model.weight_by_pair
        )

    def add_job(self, job_id, **terms):
        """Submit a job of one step; what can be placed runs at once."""
        step = Step(
            count=terms.pop('count', 1),
            need=Resources(cpu=terms.pop('cpu', 4), memory_mb=1),
            estimate_s=1,
            **terms,
        )
        job = Job(
            job_id=job_id,
            queue='queue',
            spec='',
            steps=(step,),
            accepted_at=0,
        )
        shard_updates.register_job(self.state, job, now=NOW, wall_time=0)
        self.dispatch()
        row = self.state.job_by_id[job_id].occurrence_by_number[0]
        return row.steps[0].tasks

    def dispatch(self):
        """Place what waits, and let it run."""
        dispatch.dispatch(self.state, NOW)
        for worker in self.state.worker_by_id.values():
            for task in worker.run_by_key.values():
                if task.stage == RunStage.UNCOMMITTED:
                    task.stage = RunStage.RUNNING
                    task.percent = 100

    def serve(self, image, *, load, cpu=20, job_id='', **terms):
        """Let tasks of an image serve, named like it; returns the first."""
        task = self.add_job(
            job_id or image,
            cpu=cpu,
            image=image,
            latency_target_ms=TARGET_MS,
            is_long_lived=True,
            **terms,
        )[0]
        step = self.state.get_step(task)
        step.load.level = load
        step.load.long_term_level = load
        return task

    def end_stopped(self, task):
        """Let a run that was told to stop end."""
        record_run_end(self.state, task, EndKind.STOPPED, '', NOW)
        self.dispatch()

    def add_worker(self, worker_id, cpu=32, **terms):
        """Let a worker register and report."""
        fake = FakeTaskWorker(
            worker_id=worker_id,
            clock=lambda: NOW,
            capacity=Resources(cpu=cpu, memory_mb=1000, accelerators=0),
            **terms,
        )
        shard_updates.update_worker(self.state, fake.listing())
        row = self.state.worker_by_id[worker_id]
        row.first_reported_at = NOW
        row.reported_at = NOW

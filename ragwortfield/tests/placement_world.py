"""State of one shard, without a store, for tests of placement decisions."""

from ragwortfield.core.resources import Resources
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import dispatch, shard_updates
from ragwortfield.scheduling.catalogue import Catalogue, Pool, Queue
from ragwortfield.scheduling.interference_model import (
    InterferenceModel,
    LoadEstimate,
)
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import record_run_end
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_task_workers import FakeTaskWorker

#: Latency target of the serving tasks, in milliseconds.
TARGET_MS = 18
#: Weights of a pair of images in the interference model: a filler hardly slows
#: the serving tasks, or slows them a lot.
WEAK_INTERFERENCE = 0.2
STRONG_INTERFERENCE = 2.0
#: Monotonic time of the tests, in seconds.
NOW = 1000.0


class PlacementWorld:
    """
    State of a shard whose workers have 32 cores each.

    There is no store, and no orders are sent: a task that is bound counts as
    running at once.
    """

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

    def set_interference_weights(self, amount_by_pair):
        """Set the learned weight of each pair of serving and filler image."""
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

    def add_job(self, job_id, **options):
        """
        Submit a job of one step and dispatch.

        :param options: fields of the step.
        :returns: tasks of the step.
        """
        step = Step(
            count=options.pop('count', 1),
            need=Resources(cpu=options.pop('cpu', 4), memory_mb=1),
            estimate_s=1,
            **options,
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
        occurrence = self.state.job_by_id[job_id].occurrence_by_number[0]
        return occurrence.steps[0].tasks

    def dispatch(self):
        """Bind waiting tasks and set the bound ones as running."""
        dispatch.dispatch(self.state, NOW)
        for worker in self.state.worker_by_id.values():
            for task in worker.run_by_key.values():
                if task.stage == RunStage.UNCOMMITTED:
                    task.stage = RunStage.RUNNING
                    task.percent = 100

    def add_serving_task(self, image, *, load, cpu=20, job_id='', **options):
        """
        Submit a job of serving tasks and dispatch.

        :param load: utilisation by the users, now and in the long term.
        :param job_id: id of the job; empty for the name of the image.
        :returns: first task of the job.
        """
        task = self.add_job(
            job_id or image,
            cpu=cpu,
            image=image,
            latency_target_ms=TARGET_MS,
            is_long_lived=True,
            **options,
        )[0]
        step = self.state.get_step(task)
        step.load.level = load
        step.load.long_term_level = load
        return task

    def finish_stop(self, task):
        """Record the end of a run that was ordered to stop, and dispatch."""
        record_run_end(self.state, task, EndKind.STOPPED, '', NOW)
        self.dispatch()

    def add_worker(self, worker_id, cpu=32, **options):
        """Add a worker that is listed and has reported."""
        fake_worker = FakeTaskWorker(
            worker_id=worker_id,
            clock=lambda: NOW,
            capacity=Resources(cpu=cpu, memory_mb=1000, accelerators=0),
            **options,
        )
        shard_updates.update_worker(self.state, fake_worker.listing())
        worker = self.state.worker_by_id[worker_id]
        worker.first_reported_at = NOW
        worker.reported_at = NOW

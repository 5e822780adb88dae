"""Loads of trials: pools of workers and the jobs that are drawn for them."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.types import MonotonicTime, Seconds

#: Pool of every trial.
POOL = 'pool'
#: Queues of urgent tasks, of fillers and of tasks with users of their own.
URGENT = 'urgent'
FILLERS = 'fillers'
SERVING = 'serving'

QUEUES = (
    Queue(
        name=URGENT,
        host='',
        path_prefix=URGENT,
        pool=POOL,
        attempts=4,
        stretch=1.5,
        slack_s=0.4,
    ),
    Queue(
        name=FILLERS,
        host='',
        path_prefix=FILLERS,
        pool=POOL,
        priority=2,
        attempts=4,
        stretch=2,
        slack_s=1,
    ),
    Queue(
        name=SERVING,
        host='',
        path_prefix=SERVING,
        pool=POOL,
        attempts=2,
        stretch=2.2,
        slack_s=2.5,
    ),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class JobDistribution:
    """
    Jobs of one queue, as means of what is drawn.

    :param per_worker_s: jobs handed in a second, for each worker.
    :param steps: steps that follow one another.
    :param width: tasks of a step.
    :param cpu: processor of a task, as a share of a worker's.
    :param work_s: work of a task at full speed, in seconds.
    """

    queue: str
    per_worker_s: float
    steps: int
    width: float
    cpu: float
    work_s: Seconds = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolWorkload:
    """
    Pool of workers with its load.

    :param serving_share: processor promised to tasks with users at the
        start, as a share of the pool's.
    :param filler_images: images of fillers.
    :param serving_images: images of tasks with users.
    :param harsh_share: share of pairs of images that do not get on.
    """

    workers: int
    worker_cpu: float = 32
    kinds: tuple[JobDistribution, ...] = ()
    serving: JobDistribution = field(
        default_factory=lambda: JobDistribution(
            queue=SERVING,
            per_worker_s=0,
            steps=1,
            width=6,
            cpu=0.2,
        ),
    )
    serving_share: float = 0.85
    filler_images: int = 9
    serving_images: int = 5
    harsh_share: float = 0.65
    target_ms: float = 18
    idle_ms: float = 4


def make_pool_workload(workers: int) -> PoolWorkload:
    """
    Give the load of a pool of the users' kind.

    Jobs come in proportion to the workers; larger pools get wider steps and
    more images, as the users' larger deployments do.

    :param workers: number of workers.
    :returns: the load.
    """
    growth = max(workers / 24, 1) ** 0.5
    return PoolWorkload(
        workers=workers,
        kinds=(
            JobDistribution(
                queue=URGENT,
                per_worker_s=0.1 / growth,
                steps=2,
                width=5 * growth,
                cpu=0.15,
                work_s=0.8,
            ),
            JobDistribution(
                queue=FILLERS,
                per_worker_s=0.14 / growth,
                steps=2,
                width=8 * growth,
                cpu=0.11,
                work_s=1.7,
            ),
        ),
        serving=JobDistribution(
            queue=SERVING,
            per_worker_s=0,
            steps=1,
            width=6 * growth,
            cpu=0.2,
        ),
        filler_images=round(9 * growth),
        serving_images=round(5 * growth),
    )


class WorkloadGenerator:
    """
    Drawn jobs and pairs of images of a load.

    :param workload: what is drawn from.
    :param seed: seed of the draw.
    """

    def __init__(self, *, workload: PoolWorkload, seed: int) -> None:
        """Draw the pairs of images."""
        self._load = workload
        self._random = random.Random(seed)
        self._number = 0
        self.weight_by_pair = {
            (serving, filler): self._weight()
            for serving in _images('s', workload.serving_images)
            for filler in _images('f', workload.filler_images)
        }

    def generate_serving_jobs(self) -> list[Job]:
        """
        Draw the jobs with users that are there from the start.

        :returns: jobs that fill the load's share of the pool.
        """
        workload = self._load
        wanted_cpu = (
            workload.workers * workload.worker_cpu * workload.serving_share
        )
        jobs = []
        while wanted_cpu > 0:
            job = self._job(workload.serving, now=0)
            wanted_cpu -= sum(one.count * one.need.cpu for one in job.steps)
            jobs.append(job)
        return jobs

    def generate_jobs(
        self, start: MonotonicTime, end: MonotonicTime
    ) -> Iterator[Job]:
        """
        Draw the jobs that are handed in within a time.

        :param start: when it begins.
        :param end: when it ends.
        :returns: the jobs.
        """
        for kind in self._load.kinds:
            mean = kind.per_worker_s * self._load.workers * (end - start)
            for _ in range(self._poisson(mean)):
                yield self._job(kind, now=end)

    def work_s(self, step: Step) -> Seconds:
        """
        Draw the work of one task; the estimate is a rough one.

        :param step: its step.
        :returns: seconds at full speed.
        """
        return step.estimate_s * self._random.lognormvariate(-0.1, 0.45)

    def compute_utilisation(self, job_id: str, now: MonotonicTime) -> float:
        """
        Give the load of a job's users, which swings.

        :param job_id: the job.
        :param now: time since the start, in seconds.
        :returns: use without any filler, 0 to 1.
        """
        phase = int(job_id, 16) % 7 / 7
        return 0.42 * (1 + 0.5 * math.sin((now / 10 + phase) * math.tau))

    def _job(self, kind: JobDistribution, *, now: MonotonicTime) -> Job:
        self._number += 1
        step = self._step(kind)
        return Job(
            job_id=f'{self._number:016x}',
            queue=kind.queue,
            spec='',
            steps=tuple(
                step if number == 0 else _after(step, number)
                for number in range(kind.steps)
            ),
            accepted_at=now,
        )

    def _step(self, kind: JobDistribution) -> Step:
        workload = self._load
        need = Resources(
            cpu=kind.cpu * workload.worker_cpu * self._random.uniform(0.7, 1.3),
            memory_mb=64,
        )
        count = max(round(kind.width * self._random.uniform(0.4, 1.6)), 1)
        if kind.queue == SERVING:
            return Step(
                count=count,
                need=need,
                is_long_lived=True,
                image=self._image('s', workload.serving_images),
                latency_target_ms=workload.target_ms,
                per_worker_limit=self._random.choice((0, 2)),
            )
        is_filler = kind.queue == FILLERS
        return Step(
            count=count,
            need=need,
            estimate_s=kind.work_s * self._random.uniform(0.5, 1.5),
            is_filler=is_filler,
            is_checkpointed=is_filler,
            image=self._image('f', workload.filler_images) if is_filler else '',
        )

    def _image(self, prefix: str, count: int) -> str:
        # A few images are asked for far more often than the others.
        shares = [1 / (number + 1) for number in range(count)]
        return self._random.choices(_images(prefix, count), shares)[0]

    def _weight(self) -> float:
        if self._random.random() < self._load.harsh_share:
            return self._random.uniform(1.2, 3.3)
        return self._random.uniform(0, 0.3)

    def _poisson(self, mean: float) -> int:
        # Knuth's method; the means are far below one for each round.
        limit = math.exp(-mean)
        count = 0
        product = self._random.random()
        while product > limit:
            count += 1
            product *= self._random.random()
        return count


def _images(prefix: str, count: int) -> list[str]:
    return [f'{prefix}{number}' for number in range(count)]


def _after(step: Step, number: int) -> Step:
    return Step(
        count=step.count,
        need=step.need,
        estimate_s=step.estimate_s,
        after=(number - 1,),
        is_checkpointed=step.is_checkpointed,
        image=step.image,
        is_filler=step.is_filler,
    )

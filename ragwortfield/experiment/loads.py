"""Random workloads for simulations: worker pools and the jobs they run."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.job import Job, Step, TaskKey
from ragwortfield.types import MonotonicTime, Seconds

#: Name of the worker pool of every simulation.
POOL = 'pool'
#: Shortest period of the swing of an interference weight, in seconds, and
#: number of different periods, which are a second apart.
_MIN_WEIGHT_PERIOD_S: Seconds = 5
_WEIGHT_PERIODS = 7
#: Names of the queues of urgent tasks, fillers and serving tasks.
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
    Distribution of the random jobs of one queue, given by its means.

    :param per_worker_s: jobs submitted per second and worker.
    :param steps: number of steps, each of which depends on the previous one.
    :param width: mean number of tasks of a step.
    :param cpu: mean CPU of a task, as a fraction of a worker's CPU.
    :param work_s: mean duration of a task at full speed, in seconds.
    :param is_gang: whether the tasks of a step must run at the same time.
    """

    queue: str
    per_worker_s: float
    steps: int
    width: float
    cpu: float
    work_s: Seconds = 0
    is_gang: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolWorkload:
    """
    Worker pool with the workload that runs on it.

    :param workers: number of workers.
    :param worker_cpu: CPU cores of a worker of normal size.
    :param kinds: distributions of the jobs submitted during the simulation.
    :param serving: distribution of the serving jobs that run from the start.
    :param serving_share: CPU requested by the serving jobs, as a fraction of
        the pool's CPU.
    :param mean_load: utilisation of serving tasks by their users, on average.
    :param filler_images: number of filler images.
    :param serving_images: number of serving images.
    :param harsh_share: fraction of the pairs of serving and filler images that
        interfere strongly.
    :param weight_swing: amplitude of the change of interference weights over
        time, as a fraction of their mean.
    :param target_ms: tail-latency target of the serving tasks, in
        milliseconds.
    :param idle_ms: tail latency of an idle serving task, in milliseconds.
    :param slow_share: fraction of the workers that become slow.
    :param slow_factor: how many times as long tasks take there.
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
    mean_load: float = 0.42
    filler_images: int = 9
    serving_images: int = 5
    harsh_share: float = 0.65
    weight_swing: float = 0.8
    target_ms: float = 18
    idle_ms: float = 4
    slow_share: float = 0
    slow_factor: float = 7.5


def make_pool_workload(workers: int, *, slow_share: float = 0) -> PoolWorkload:
    """
    Create a workload like those of the users' deployments.

    Submitted tasks are proportional to the number of workers. Larger pools
    get wider steps and more images, as the users' larger deployments do.

    :param workers: number of workers.
    :param slow_share: fraction of them that become slow.
    :returns: the workload.
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
        slow_share=slow_share,
    )


class WorkloadGenerator:
    """
    Generator of the random jobs and interference weights of a workload.

    :param workload: distributions to generate from.
    :param seed: seed of the random numbers.
    """

    def __init__(self, *, workload: PoolWorkload, seed: int) -> None:
        """Generate the interference weight of each pair of images."""
        self._workload = workload
        self._random = random.Random(seed)
        self._job_count = 0
        self._work_s_by_step: dict[tuple[str, int], Seconds] = {}
        self._mean_weight_by_pair = {
            (serving, filler): self._draw_weight()
            for serving in _list_images('s', workload.serving_images)
            for filler in _list_images('f', workload.filler_images)
        }

    def generate_serving_jobs(self) -> list[Job]:
        """
        Generate the serving jobs that run from the start.

        :returns: jobs that together request the workload's ``serving_share``
            of the pool's CPU.
        """
        workload = self._workload
        wanted_cpu = (
            workload.workers * workload.worker_cpu * workload.serving_share
        )
        jobs = []
        while wanted_cpu > 0:
            job = self._make_job(workload.serving, now=0)
            wanted_cpu -= sum(step.count * step.need.cpu for step in job.steps)
            jobs.append(job)
        return jobs

    def generate_jobs(
        self, start: MonotonicTime, end: MonotonicTime
    ) -> Iterator[Job]:
        """
        Generate the jobs submitted within an interval.

        :param start: start of the interval.
        :param end: end of the interval.
        :returns: the jobs, accepted at the end of the interval.
        """
        for distribution in self._workload.kinds:
            mean = (
                distribution.per_worker_s
                * self._workload.workers
                * (end - start)
            )
            for _ in range(self._draw_poisson(mean)):
                yield self._make_job(distribution, now=end)

    def draw_work_s(self, key: TaskKey, step: Step) -> Seconds:
        """
        Draw the work of one task.

        That of its step deviates from the estimate; the tasks of a step differ
        by 15 %.

        :param key: key of the task.
        :param step: its step.
        :returns: duration at full speed, in seconds.
        """
        step_key = (key.job_id, key.step)
        if step_key not in self._work_s_by_step:
            self._work_s_by_step[step_key] = (
                step.estimate_s * self._random.lognormvariate(-0.1, 0.45)
            )
        deviation = self._random.lognormvariate(0, 0.15)
        return self._work_s_by_step[step_key] * deviation

    def compute_utilisation(self, job_id: str, now: MonotonicTime) -> float:
        """
        Compute the utilisation that the users of a serving job cause.

        It oscillates with a period of ten seconds; the phase depends on the
        job.

        :param job_id: ID of the job.
        :param now: simulated time, in seconds.
        :returns: utilisation without any filler, 0 to 1.
        """
        phase = int(job_id, 16) % 7 / 7
        return self._workload.mean_load * (
            1 + 0.5 * math.sin((now / 10 + phase) * math.tau)
        )

    def compute_weight(
        self, serving: str, filler: str, now: MonotonicTime
    ) -> float:
        """
        Compute the interference weight of a pair of images.

        It oscillates around its mean; period and phase depend on the filler.

        :param serving: image of the serving task.
        :param filler: image of the filler.
        :param now: simulated time, in seconds.
        :returns: utilisation added by fillers that use the whole CPU of a
            worker.
        """
        number = int(filler[1:])
        period_s = _MIN_WEIGHT_PERIOD_S + number % _WEIGHT_PERIODS
        swing = self._workload.weight_swing * math.sin(
            (now / period_s + number / _WEIGHT_PERIODS) * math.tau
        )
        return self._mean_weight_by_pair[serving, filler] * (1 + swing)

    def _make_job(
        self, distribution: JobDistribution, *, now: MonotonicTime
    ) -> Job:
        self._job_count += 1
        step = self._make_step(distribution)
        return Job(
            job_id=f'{self._job_count:016x}',
            queue=distribution.queue,
            spec='',
            steps=tuple(
                step if number == 0 else _make_following_step(step, number)
                for number in range(distribution.steps)
            ),
            accepted_at=now,
        )

    def _make_step(self, distribution: JobDistribution) -> Step:
        workload = self._workload
        need = Resources(
            cpu=distribution.cpu
            * workload.worker_cpu
            * self._random.uniform(0.7, 1.3),
            memory_mb=64,
        )
        count = max(
            round(distribution.width * self._random.uniform(0.4, 1.6)), 1
        )
        if distribution.queue == SERVING:
            return Step(
                count=count,
                need=need,
                is_long_lived=True,
                image=self._choose_image('s', workload.serving_images),
                latency_target_ms=workload.target_ms,
                per_worker_limit=self._random.choice((0, 2)),
            )
        is_filler = distribution.queue == FILLERS
        return Step(
            count=count,
            need=need,
            estimate_s=distribution.work_s * self._random.uniform(0.5, 1.5),
            is_gang=distribution.is_gang,
            is_filler=is_filler,
            is_checkpointed=is_filler,
            image=self._choose_image('f', workload.filler_images)
            if is_filler
            else '',
        )

    def _choose_image(self, prefix: str, count: int) -> str:
        # Zipf distribution: a few images are used far more often than others.
        weights = [1 / (number + 1) for number in range(count)]
        return self._random.choices(_list_images(prefix, count), weights)[0]

    def _draw_weight(self) -> float:
        if self._random.random() < self._workload.harsh_share:
            return self._random.uniform(1.2, 3.3)
        return self._random.uniform(0, 0.3)

    def _draw_poisson(self, mean: float) -> int:
        # Knuth's algorithm. It is slow for large means, but the mean of one
        # round is far below one.
        threshold = math.exp(-mean)
        count = 0
        product = self._random.random()
        while product > threshold:
            count += 1
            product *= self._random.random()
        return count


def _list_images(prefix: str, count: int) -> list[str]:
    return [f'{prefix}{number}' for number in range(count)]


def _make_following_step(step: Step, number: int) -> Step:
    return Step(
        count=step.count,
        need=step.need,
        estimate_s=step.estimate_s,
        after=(number - 1,),
        is_checkpointed=step.is_checkpointed,
        is_gang=step.is_gang,
        image=step.image,
        is_filler=step.is_filler,
    )

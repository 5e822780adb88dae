"""Deployments that a soak starts: instances, workers and load."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ragwortfield.core.resources import Resources
from ragwortfield.types import Seconds

#: Pool of all workers.
POOL = 'pool'
#: Timing bounds of the deployment, by their names in the settings template.
BOUNDS = {
    'grace_s': 6,
    'hold_max_ms': 6000,
    'status_s': 120,
}
_LONG_STOP_S: Seconds = 0.9
_LONG_STOP_BOUNDS = {
    **BOUNDS,
    'hold_max_ms': 10_000,
    'stop_ms': 900,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Workload:
    """
    Jobs of one queue.

    :param prefix: path prefix of the queue.
    :param jobs_per_s: mean number of submitted jobs a second.
    :param tasks: number of tasks of each step.
    :param max_steps: largest number of steps of a job.
    :param duration_s: duration of each task, in seconds; 0 for tasks that last
        until their job is cancelled.
    :param is_filler: whether the tasks use what others leave unused.
    """

    prefix: str
    jobs_per_s: float
    tasks: int
    max_steps: int
    duration_s: Seconds
    resources: Resources
    is_filler: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Site:
    """
    Size and load of a deployment.

    :param data_centres: data centre of each instance.
    :param racks: number of racks of workers.
    :param workers_per_rack: number of workers in each rack.
    :param callers: number of callers; each stays with one instance for as
        long as it can.
    :param traffic_s: duration of the traffic, in seconds.
    :param bounds: timing bounds, by their names in the settings template.
    :param stop_s: time that workers take to stop a run, in seconds.
    :param clock_rates: speeds of the workers' clocks.
    :param straggler_interval: one run in each so many tasks of a step takes
        seven times as long; 0 for none.
    """

    data_centres: tuple[str, ...]
    racks: int
    workers_per_rack: int
    callers: int
    traffic_s: Seconds
    workloads: tuple[Workload, ...]
    bounds: Mapping[str, int] = field(default_factory=lambda: BOUNDS)
    stop_s: Seconds = 0
    clock_rates: tuple[float, ...] = (1,)
    straggler_interval: int = 0


def _make_workloads(scale: float) -> tuple[Workload, ...]:
    return (
        Workload(
            prefix='/match/',
            jobs_per_s=3.18 * scale,
            tasks=6,
            max_steps=2,
            duration_s=0.64,
            resources=Resources(cpu=6.3, memory_mb=2000),
        ),
        Workload(
            prefix='/draft/',
            jobs_per_s=4.66 * scale,
            tasks=8,
            max_steps=3,
            duration_s=1.7,
            resources=Resources(cpu=7, memory_mb=4000),
        ),
        Workload(
            prefix='/watch/',
            jobs_per_s=0.141 * scale,
            tasks=6,
            max_steps=1,
            duration_s=0,
            resources=Resources(cpu=5, memory_mb=8000),
        ),
    )


def full_site(traffic_s: Seconds) -> Site:
    """
    Describe nine instances in three data centres and 33 workers.

    :param traffic_s: duration of the traffic, in seconds.
    :returns: the site.
    """
    return Site(
        data_centres=('a',) * 4 + ('b',) * 3 + ('c',) * 2,
        racks=3,
        workers_per_rack=11,
        callers=38,
        traffic_s=traffic_s,
        workloads=_make_workloads(0.5),
    )


def small_site(traffic_s: Seconds) -> Site:
    """
    Describe four instances in two data centres and eight workers.

    :param traffic_s: duration of the traffic, in seconds.
    :returns: the site.
    """
    return Site(
        data_centres=('a', 'a', 'b', 'b'),
        racks=2,
        workers_per_rack=4,
        callers=12,
        traffic_s=traffic_s,
        workloads=_make_workloads(0.2),
    )


def long_stop_site(traffic_s: Seconds, instances: int) -> Site:
    """
    Describe 24 workers with many tasks each, long leases and long stops.

    :param traffic_s: duration of the traffic, in seconds.
    :param instances: number of instances, in three data centres.
    :returns: the site.
    """
    lasting = Workload(
        prefix='/serve/',
        jobs_per_s=0.2,
        tasks=14,
        max_steps=1,
        duration_s=0,
        resources=Resources(cpu=2, memory_mb=4000),
    )
    fillers = Workload(
        prefix='/sweep/',
        jobs_per_s=0.4,
        tasks=16,
        max_steps=2,
        duration_s=3,
        resources=Resources(cpu=4, memory_mb=3000),
        is_filler=True,
    )
    return Site(
        data_centres=tuple('abc'[number % 3] for number in range(instances)),
        racks=3,
        workers_per_rack=8,
        callers=24,
        traffic_s=traffic_s,
        workloads=(*_make_workloads(0.25), fillers, lasting),
        bounds=_LONG_STOP_BOUNDS,
        stop_s=_LONG_STOP_S,
        clock_rates=(1, 0.98),
        straggler_interval=9,
    )

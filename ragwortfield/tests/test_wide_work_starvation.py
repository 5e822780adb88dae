"""Urgent work that needs much room at a time beside a stream of small tasks.

Small tasks fit into each piece of room that becomes free. Work that needs
several pieces at the same time then waits for as long as the stream goes on.
"""

import unittest

from absl import logging

from ragwortfield.experiment.loads import (
    URGENT,
    JobDistribution,
    PoolWorkload,
)
from ragwortfield.experiment.simulation import Simulation
from ragwortfield.scheduling.job_state import MAX_LATENESS_FACTOR

_SMALL_CPU = 0.06
_WIDE_CPU = 0.6


def build_workload(*, width, is_gang):
    """
    Build a pool of 12 workers of which small tasks use 0.7.

    :param width: mean number of tasks of a wide job, each of which needs more
        than half a worker.
    """
    return PoolWorkload(
        workers=12,
        kinds=(
            JobDistribution(
                queue=URGENT,
                per_worker_s=1.7,
                steps=2,
                width=5,
                cpu=_SMALL_CPU,
                work_s=0.8,
            ),
            JobDistribution(
                queue=URGENT,
                per_worker_s=0.02,
                steps=1,
                width=width,
                cpu=_WIDE_CPU,
                work_s=0.8,
                is_gang=is_gang,
            ),
        ),
        serving_share=0,
    )


class SmallTaskStreamTest(unittest.TestCase):
    def setUp(self):
        level = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, level)

    def list_waits(self, workload, seed):
        """List how long each wide job took, in multiples of its objective."""
        simulation = Simulation(workload=workload, seed=seed)
        simulation.run(30)
        smallest_wide_cpu = 0.6 * _WIDE_CPU * workload.worker_cpu
        return [
            (job.finished_at - job.accepted_at_monotonic) / job.objective_s()
            if job.finished_at
            else float('inf')
            for job in simulation.state.job_by_id.values()
            if job.job.steps[0].need.cpu > smallest_wide_cpu
        ]

    def check(self, **options):
        for seed in (1, 2):
            waits = self.list_waits(build_workload(**options), seed)
            self.assertGreater(len(waits), 2)
            self.assertLessEqual(max(waits), MAX_LATENESS_FACTOR, waits)

    # Guards against gangs that wait for the end of a stream of small tasks.
    def test_gang_is_done_while_small_tasks_go_on(self):
        self.check(width=8, is_gang=True)

    # Guards against large tasks that find no worker because each is filled up
    # with small ones.
    def test_large_tasks_are_done_while_small_ones_go_on(self):
        self.check(width=8, is_gang=False)

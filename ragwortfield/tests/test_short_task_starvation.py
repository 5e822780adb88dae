"""A pool that long-lived tasks fill while short urgent tasks come and go.

Each core that a short task gives back may go to a long-lived task, which keeps
it. If every one does, the pool fills up, the largest short tasks find no worker
first, and at last none does.
"""

import unittest
from collections import Counter

from absl import logging

from ragwortfield.experiment.loads import (
    SERVING,
    URGENT,
    JobDistribution,
    PoolWorkload,
)
from ragwortfield.experiment.simulation import Simulation
from ragwortfield.scheduling.job_outcomes import JobOutcome, count_outcomes
from ragwortfield.scheduling.job_sizes import SizeClass

_SUBMISSION_S = 34
#: The users take a size class as starved below this part of the served share of
#: the whole queue.
_MIN_RELATIVE_SHARE = 0.5


def build_workload(*, serving_share, serving_per_worker_s, urgent_per_worker_s):
    """Build a pool of 24 workers with urgent and long-lived jobs only."""
    return PoolWorkload(
        workers=24,
        worker_cpu=64,
        kinds=(
            JobDistribution(
                queue=URGENT,
                per_worker_s=urgent_per_worker_s,
                steps=2,
                width=10,
                cpu=0.17,
                work_s=0.8,
            ),
            JobDistribution(
                queue=SERVING,
                per_worker_s=serving_per_worker_s,
                steps=1,
                width=14,
                cpu=0.15,
            ),
        ),
        serving=JobDistribution(
            queue=SERVING, per_worker_s=0, steps=1, width=14, cpu=0.15
        ),
        serving_share=serving_share,
    )


class SqueezedPoolTest(unittest.TestCase):
    """More long-lived tasks arrive than fit beside the urgent ones."""

    def setUp(self):
        level = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, level)

    def count_urgent_jobs(self, workload, seed):
        simulation = Simulation(workload=workload, seed=seed)
        simulation.run(_SUBMISSION_S)
        end = simulation.state.owner_since + _SUBMISSION_S
        return {
            counts.size: counts.count_by_outcome
            for counts in count_outcomes(simulation.state, end)
            if counts.queue == URGENT
        }

    def check(self, seed, **workload):
        with self.subTest(seed=seed, **workload):
            count_by_size = self.count_urgent_jobs(
                build_workload(**workload), seed
            )
            total = sum(count_by_size.values(), Counter())
            share = _compute_served_share(total)
            for size in SizeClass:
                self.assertGreaterEqual(
                    _compute_served_share(count_by_size[size]),
                    _MIN_RELATIVE_SHARE * share,
                    f'{size}: {count_by_size}',
                )
            self.assertEqual(share, 1, f'accepted and not done: {total}')

    # Guards against accepted urgent jobs that never run, the largest first,
    # because long-lived tasks take the room that urgent ones give back.
    def test_urgent_jobs_of_each_size_are_done(self):
        for seed in range(1, 4):
            self.check(
                seed,
                serving_share=0.85,
                serving_per_worker_s=0.003,
                urgent_per_worker_s=0.028,
            )

    # Guards against the same where long-lived tasks come quickly to a pool that
    # urgent tasks share equally.
    def test_urgent_jobs_are_done_beside_a_rush_of_long_lived_ones(self):
        for seed in range(1, 4):
            self.check(
                seed,
                serving_share=0.5,
                serving_per_worker_s=0.012,
                urgent_per_worker_s=0.06,
            )


def _compute_served_share(count_by_outcome):
    done = (
        count_by_outcome[JobOutcome.IN_TIME] + count_by_outcome[JobOutcome.LATE]
    )
    return done / max(count_by_outcome.total(), 1)

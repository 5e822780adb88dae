"""The random world's own check: what it calls a second run, and what not."""

import unittest

from ragwortfield.ports.task_worker import EndKind, StartRun
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.tests.shard_world import ShardWorld, build_single_step


class OverlappingRunsTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.key = TaskKey(self.world.submit(build_single_step()), 0, 0, 0)

    def worker(self, number):
        return self.world.workers.worker_by_id[f'w{number}']

    def start(self, number, run):
        self.worker(number).start(
            StartRun(
                worker_id=f'w{number}',
                address='',
                key=self.key,
                run=run,
                spec='',
                checkpoint='',
                deadline_ms=10**9,
                fencing_token=1,
            ),
        )

    def test_run_may_end_when_it_starts_and_the_next_start_then(self):
        """Seed 2051: the second run's worker comes first by name."""
        self.start(1, 1)
        self.worker(1).end(self.key, EndKind.FAILED)
        self.start(0, 2)
        self.world.advance(1)
        self.world.check()

    def test_two_runs_that_start_together_are_detected(self):
        self.start(1, 1)
        self.start(0, 2)
        with self.assertRaisesRegex(AssertionError, 'runs twice'):
            self.world.check()

    def test_overlapping_runs_are_detected(self):
        self.start(1, 1)
        self.world.advance(1)
        self.start(0, 2)
        self.world.advance(1)
        self.worker(1).end(self.key, EndKind.FAILED)
        with self.assertRaisesRegex(AssertionError, 'runs twice'):
            self.world.check()

"""The check of the simulated shard detects overlapping runs of a task."""

import unittest

from ragwortfield.ports.task_worker import EndKind, StartRun
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.tests.shard_world import ShardWorld, build_single_step


class OverlappingRunsTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.key = TaskKey(self.world.submit(build_single_step()), 0, 0, 0)

    def get_worker(self, number):
        return self.world.workers.worker_by_id[f'w{number}']

    def start_run(self, number, run):
        self.get_worker(number).start(
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
        """
        Guards against a false alarm, seen with seed 2051: a run starts at the
        instant in which the first one started and ended, and its worker comes
        first by name.
        """
        self.start_run(1, 1)
        self.get_worker(1).end(self.key, EndKind.FAILED)
        self.start_run(0, 2)
        self.world.advance(1)
        self.world.check()

    def test_two_runs_that_start_together_are_detected(self):
        self.start_run(1, 1)
        self.start_run(0, 2)
        with self.assertRaisesRegex(AssertionError, 'runs twice'):
            self.world.check()

    def test_overlapping_runs_are_detected(self):
        self.start_run(1, 1)
        self.world.advance(1)
        self.start_run(0, 2)
        self.world.advance(1)
        self.get_worker(1).end(self.key, EndKind.FAILED)
        with self.assertRaisesRegex(AssertionError, 'runs twice'):
            self.world.check()

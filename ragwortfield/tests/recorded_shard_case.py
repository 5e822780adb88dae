"""A shard whose start orders are written down, for the operators' stories."""

import unittest

from ragwortfield.tests.shard_world import ShardWorld

#: Time between two acts of an owner, in seconds.
STEP_S = 0.1


class NotingWorkers:
    """Workers whose start orders go through a function."""

    def __init__(self, *, workers, start):
        self._workers = workers
        self.start = start

    def __getattr__(self, name):
        return getattr(self._workers, name)


class StoryTest(unittest.TestCase):
    """A world of two workers whose starts are written down."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.starts = []
        self.outcome_by_start = {}
        start = self.world.workers.start

        def noted(order):
            outcome = start(order)
            self.starts.append(order)
            self.outcome_by_start[order.key, order.fencing_token] = outcome
            return outcome

        self.world.workers = NotingWorkers(
            workers=self.world.workers,
            start=noted,
        )

    def act(self, seconds, owner=None):
        """Let one owner act for a while; nothing runs twice meanwhile."""
        for _ in range(int(seconds / STEP_S)):
            (owner or self.world.owners[-1]).act()
            self.world.advance(STEP_S)
            self.world.check()

    def running(self):
        """Workers with runs."""
        workers = self.world.workers.worker_by_id.values()
        return [worker for worker in workers if worker.run_by_key]

    def started(self, job_id):
        """Run numbers that any worker has begun for a job."""
        return sorted(
            (entry[2].index, entry[3])
            for worker in self.world.workers.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'start' and entry[2].job_id == job_id
        )

    def orders(self, job_id):
        """Starts that any owner has ordered for a job."""
        return sorted(
            (order.key.index, order.run)
            for order in self.starts
            if order.key.job_id == job_id
        )

"""Test case of a shard that records every start order."""

import unittest

from ragwortfield.tests.shard_world import ShardWorld

#: Time between two steps of an owner, in seconds.
STEP_S = 0.1


class RecordingWorkers:
    """Workers whose start orders pass through a function."""

    def __init__(self, *, workers, start):
        self._workers = workers
        self.start = start

    def __getattr__(self, name):
        return getattr(self._workers, name)


class RecordedShardTestCase(unittest.TestCase):
    """A shard with two workers whose start orders are recorded."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.start_orders = []
        self.outcome_by_order = {}
        start = self.world.workers.start

        def record_start(order):
            outcome = start(order)
            self.start_orders.append(order)
            self.outcome_by_order[order.key, order.fencing_token] = outcome
            return outcome

        self.world.workers = RecordingWorkers(
            workers=self.world.workers,
            start=record_start,
        )

    def run_owner(self, seconds, owner=None):
        """Run an owner, the last one by default; no task may run twice."""
        for _ in range(int(seconds / STEP_S)):
            (owner or self.world.owners[-1]).act()
            self.world.advance(STEP_S)
            self.world.check()

    def list_busy_workers(self):
        """List the workers that run a task."""
        workers = self.world.workers.worker_by_id.values()
        return [worker for worker in workers if worker.run_by_key]

    def list_started_runs(self, job_id):
        """List task index and run of each start at any worker for a job."""
        return sorted(
            (entry[2].index, entry[3])
            for worker in self.world.workers.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'start' and entry[2].job_id == job_id
        )

    def list_ordered_runs(self, job_id):
        """List task index and run of each start order for a job."""
        return sorted(
            (order.key.index, order.run)
            for order in self.start_orders
            if order.key.job_id == job_id
        )

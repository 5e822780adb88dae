"""Which waiting step comes next."""

import unittest

from ragwortfield.scheduling.dispatch import dispatch
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.tests.placement_world import NOW, PlacementWorld


class LastingTest(unittest.TestCase):
    """Pattern: a full pool, urgent jobs that come on, a lasting task's turn."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.full = self.world.add_job('full', cpu=32)[0]
        self.world.serve('lasting', load=0.4, cpu=20)
        self.world.add_job('urgent', cpu=20)

    def order(self, now):
        return [step.job_id for step in sort_by_urgency(self.world.state, now)]

    def test_urgent_job_on_time_comes_before_a_long_lived_task(self):
        self.assertEqual(self.order(NOW), ['urgent', 'lasting'])

    def test_long_lived_task_comes_before_a_late_urgent_job(self):
        self.assertEqual(self.order(NOW + 2), ['lasting', 'urgent'])

    def test_long_lived_task_that_has_waited_comes_first(self):
        self.world.add_job('newer', cpu=20)
        row = self.world.state.job_by_id['newer']
        row.accepted_at_monotonic = NOW + 3
        self.assertEqual(
            self.order(NOW + 3),
            ['lasting', 'newer', 'urgent'],
        )

    def test_wait_starts_when_no_worker_was_found(self):
        step = self.world.state.find_step(('lasting', 0, 0))
        self.assertEqual(step.unplaced_since, NOW)
        dispatch(self.world.state, NOW + 1)
        self.assertEqual(step.unplaced_since, NOW)
        worker = self.world.state.worker_by_id['w0']
        worker.remove(self.full)
        worker.reported_at = NOW + 3
        dispatch(self.world.state, NOW + 3)
        self.assertEqual(step.unplaced_since, 0)

"""Order in which waiting steps are placed."""

import unittest

from ragwortfield.scheduling.dispatch import dispatch
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.tests.placement_world import NOW, PlacementWorld


class LongLivedTaskTest(unittest.TestCase):
    """A long-lived task waits for a full pool while urgent jobs arrive."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.running = self.world.add_job('full', cpu=32)[0]
        self.world.add_serving_task('long_lived', load=0.4, cpu=20)
        self.world.add_job('urgent', cpu=20)

    def list_job_ids(self, now):
        return [step.job_id for step in sort_by_urgency(self.world.state, now)]

    def test_urgent_job_on_time_comes_before_a_long_lived_task(self):
        self.assertEqual(self.list_job_ids(NOW), ['urgent', 'long_lived'])

    def test_long_lived_task_comes_before_a_late_urgent_job(self):
        self.assertEqual(self.list_job_ids(NOW + 2), ['long_lived', 'urgent'])

    def test_long_lived_task_that_has_waited_comes_first(self):
        self.world.add_job('newer', cpu=20)
        job_state = self.world.state.job_by_id['newer']
        job_state.accepted_at_monotonic = NOW + 3
        self.assertEqual(
            self.list_job_ids(NOW + 3),
            ['long_lived', 'newer', 'urgent'],
        )

    def test_wait_starts_when_no_worker_was_found(self):
        step = self.world.state.find_step(('long_lived', 0, 0))
        self.assertEqual(step.unplaced_since, NOW)
        dispatch(self.world.state, NOW + 1)
        self.assertEqual(step.unplaced_since, NOW)
        worker = self.world.state.worker_by_id['w0']
        worker.remove(self.running)
        worker.reported_at = NOW + 3
        dispatch(self.world.state, NOW + 3)
        self.assertEqual(step.unplaced_since, 0)

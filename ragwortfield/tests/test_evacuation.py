"""Tasks on workers that are about to leave."""

import unittest
from dataclasses import replace

from ragwortfield.scheduling import evacuation
from ragwortfield.tests.placement_world import NOW, PlacementWorld


class EvacuationTest(unittest.TestCase):
    """Pattern: a worker is emptied and taken away two seconds later."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)

    def drain(self, worker_id, remaining_ms=2000):
        row = self.world.state.worker_by_id[worker_id]
        row.listed = replace(
            row.listed,
            is_draining=True,
            remaining_ms=remaining_ms,
        )

    def evacuate(self):
        evacuation.evacuate(self.world.state, NOW)

    def test_long_lived_task_moves_at_once(self):
        task = self.world.add_job('job', is_long_lived=True)[0]
        left = task.worker_id
        self.drain(left)
        self.evacuate()
        self.assertTrue(task.is_stop_wanted)
        self.world.end_stopped(task)
        self.assertNotIn(task.worker_id, {left, ''})

    def test_task_without_a_destination_stays(self):
        task = self.world.add_job('job', is_long_lived=True)[0]
        self.drain('w0')
        self.drain('w1')
        self.evacuate()
        self.assertFalse(task.is_stop_wanted)

    def test_short_task_is_left_to_finish(self):
        task = self.world.add_job('job', is_checkpointed=True)[0]
        task.percent = 0
        self.drain(task.worker_id)
        self.evacuate()
        self.assertFalse(task.is_stop_wanted)

    def test_task_that_cannot_finish_in_time_moves_if_it_can_resume(self):
        resumable = self.world.add_job('job', is_checkpointed=True)[0]
        other = self.world.add_job('other')[0]
        for task in (resumable, other):
            task.percent = 0
            self.drain(task.worker_id, remaining_ms=500)
        self.world.state.worker_by_id['w1'].listed = replace(
            self.world.state.worker_by_id['w1'].listed,
            is_draining=resumable.worker_id == 'w1',
        )
        self.evacuate()
        self.assertTrue(resumable.is_stop_wanted)
        self.assertFalse(other.is_stop_wanted)

    def test_gang_members_are_not_moved(self):
        task = self.world.add_job(
            'job',
            count=2,
            is_gang=True,
            is_checkpointed=True,
        )[0]
        self.drain(task.worker_id, remaining_ms=0)
        self.evacuate()
        self.assertFalse(task.is_stop_wanted)

"""Evacuation moves tasks off workers that are about to leave."""

import unittest
from dataclasses import replace

from ragwortfield.scheduling import evacuation
from ragwortfield.tests.placement_world import NOW, PlacementWorld


class EvacuationTest(unittest.TestCase):
    """A worker is drained and leaves two seconds later."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)

    def drain(self, worker_id, remaining_ms=2000):
        worker = self.world.state.worker_by_id[worker_id]
        worker.listed = replace(
            worker.listed,
            is_draining=True,
            remaining_ms=remaining_ms,
        )

    def evacuate(self):
        evacuation.evacuate(self.world.state, NOW)

    def test_long_lived_task_moves_at_once(self):
        task = self.world.add_job('job', is_long_lived=True)[0]
        drained_id = task.worker_id
        self.drain(drained_id)
        self.evacuate()
        self.assertTrue(task.is_stop_wanted)
        self.world.finish_stop(task)
        self.assertNotIn(task.worker_id, {drained_id, ''})

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
        not_resumable = self.world.add_job('other')[0]
        for task in (resumable, not_resumable):
            task.percent = 0
            self.drain(task.worker_id, remaining_ms=500)
        self.world.state.worker_by_id['w1'].listed = replace(
            self.world.state.worker_by_id['w1'].listed,
            is_draining=resumable.worker_id == 'w1',
        )
        self.evacuate()
        self.assertTrue(resumable.is_stop_wanted)
        self.assertFalse(not_resumable.is_stop_wanted)

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

"""Effects of a start order that a worker refuses."""

import unittest

from ragwortfield.ports.task_worker import OrderRefused, Refusal, StartRun
from ragwortfield.scheduling.dispatch import dispatch, queue_start_order
from ragwortfield.scheduling.worker_reports import apply_start_outcome
from ragwortfield.tests.placement_world import NOW, PlacementWorld


class MalformedRefusalTest(unittest.TestCase):
    """A worker refuses a start order as malformed that others carry out."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.task = self.world.add_job('job', cpu=2)[0]

    def refuse_start(self, refusal):
        state = self.world.state
        queue_start_order(state, self.task, NOW)
        order = state.orders.pop()
        self.assertIsInstance(order, StartRun)
        apply_start_outcome(
            state,
            order,
            OrderRefused(refusal=refusal, clock_ms=0),
            NOW,
        )

    def test_next_start_goes_to_another_worker(self):
        first = self.task.worker_id
        self.refuse_start(Refusal.MALFORMED)
        self.assertEqual(self.task.worker_id, '')
        dispatch(self.world.state, NOW)
        self.assertNotIn(self.task.worker_id, {'', first})

    def test_only_worker_is_retried_after_a_pause(self):
        del self.world.state.worker_by_id[
            next(
                worker_id
                for worker_id in self.world.state.worker_by_id
                if worker_id != self.task.worker_id
            )
        ]
        first = self.task.worker_id
        self.refuse_start(Refusal.MALFORMED)
        dispatch(self.world.state, NOW)
        self.assertEqual(self.task.worker_id, '')
        dispatch(self.world.state, NOW + 1.1)
        self.assertEqual(self.task.worker_id, first)

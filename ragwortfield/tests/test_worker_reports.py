"""Effects of a start order that a worker refuses."""

import unittest

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    LeaseReport,
    ListedRun,
    OrderRefused,
    Refusal,
    StartRun,
)
from ragwortfield.scheduling.dispatch import dispatch, queue_start_order
from ragwortfield.scheduling.worker_reports import (
    apply_report,
    apply_start_outcome,
)
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


class RepeatedStartTest(unittest.TestCase):
    """
    A start has no answer, and its repetition is refused.

    The answer to the repetition comes after the deadline of both, as when the
    order has waited for its turn, or the owner was paused.
    """

    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.state = self.world.state
        self.task = self.world.add_job('job', cpu=2)[0]
        self.worker = self.state.worker_by_id[self.task.worker_id]
        self.apply(
            self.send(NOW), Unavailable(reason='lost', is_effect_possible=True)
        )

    def send(self, now):
        queue_start_order(self.state, self.task, now)
        return self.state.orders.pop()

    def apply(self, order, outcome):
        apply_start_outcome(self.state, order, outcome, NOW + 3)

    def refuse_repetition(self, refusal):
        order = self.send(NOW + 0.5)
        self.clock_ms = order.deadline_ms + 1
        self.apply(order, OrderRefused(refusal=refusal, clock_ms=self.clock_ms))

    def report(self, *runs, clock_ms, now=NOW + 3.1):
        report = LeaseReport(clock_ms=clock_ms, born_ms=0, runs=runs, ends=())
        apply_report(self.state, self.worker, report, now)

    def list_run(self):
        return ListedRun(
            key=self.task.key, run=self.task.run, checkpoint='', percent=100
        )

    # Guards against two runs of one task: the first start was carried out, and
    # the refusal of its repetition releases the task.
    def test_refusal_shows_nothing_of_an_earlier_start(self):
        for refusal in (
            Refusal.UNHEALTHY,
            Refusal.DEADLINE_PASSED,
            Refusal.MALFORMED,
        ):
            with self.subTest(refusal=refusal):
                self.setUp()
                self.refuse_repetition(refusal)
                self.assertEqual(self.task.worker_id, self.worker.worker_id)
                self.report(self.list_run(), clock_ms=self.clock_ms + 1)
                self.assertEqual(self.task.worker_id, self.worker.worker_id)

    # Guards against the same where a report has listed the run meanwhile.
    def test_refusal_does_not_release_a_listed_run(self):
        self.report(self.list_run(), clock_ms=1000, now=NOW + 0.4)
        self.refuse_repetition(Refusal.UNHEALTHY)
        self.assertEqual(self.task.worker_id, self.worker.worker_id)

    # Guards against a task that waits for ever for a run that never began.
    def test_report_without_the_run_releases_it(self):
        self.refuse_repetition(Refusal.UNHEALTHY)
        self.report(clock_ms=self.clock_ms + 1)
        self.assertEqual(self.task.worker_id, '')

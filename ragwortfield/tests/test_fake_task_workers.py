"""Stops of the fake worker, which take time as those of the platform's do."""

import unittest

from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseOrder,
    OrderDone,
    OrderRefused,
    Refusal,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.testing.fake_task_workers import FakeTaskWorker

_KEY = TaskKey('job', 0, 0, 0)
_STOP_S = 0.9
_LEASE_MS = 4000


class StopTest(unittest.TestCase):
    def setUp(self):
        self.now = 0
        self.worker = FakeTaskWorker(
            worker_id='w', clock=lambda: self.now, stop_s=_STOP_S
        )
        self.start(run=1)
        self.stop()

    def start(self, run):
        return self.worker.start(
            StartRun(
                worker_id='w',
                address='',
                key=_KEY,
                run=run,
                spec='',
                checkpoint='',
                deadline_ms=_LEASE_MS,
                fencing_token=1,
            ),
        )

    def stop(self):
        return self.worker.stop(
            StopRun(
                worker_id='w', address='', key=_KEY, run=1, fencing_token=1
            ),
        )

    def read(self):
        """Return the listed runs and how the listed ones have ended."""
        report = self.worker.renew_lease(
            LeaseOrder(
                worker_id='w',
                address='',
                fencing_token=1,
                acknowledged_end=0,
                deadline_ms=None,
                wait_ms=0,
            ),
        )
        return (
            [run.run for run in report.runs],
            [end.kind for end in report.ends],
        )

    # Guards against a stand-in whose runs are over when the stop is answered.
    def test_run_goes_on_after_the_answer_to_its_stop(self):
        self.assertIsInstance(self.stop(), OrderDone)
        self.now = _STOP_S - 0.01
        self.assertEqual(self.read(), ([1], []))
        self.now = _STOP_S
        self.assertEqual(self.read(), ([], [EndKind.STOPPED]))

    def test_second_stop_does_not_delay_the_end(self):
        self.now = _STOP_S / 2
        self.stop()
        self.now = _STOP_S
        self.assertEqual(self.read(), ([], [EndKind.STOPPED]))

    def test_run_that_is_being_stopped_is_not_started_again(self):
        outcome = self.start(run=1)
        self.assertIsInstance(outcome, OrderRefused)
        self.assertEqual(outcome.refusal, Refusal.SUPERSEDED)

    def test_run_may_end_as_done_while_it_is_being_stopped(self):
        self.worker.end(_KEY, EndKind.DONE)
        self.now = _STOP_S
        self.assertEqual(self.read(), ([], [EndKind.DONE]))

    def test_end_of_the_lease_comes_before_the_end_of_the_stop(self):
        self.worker.end(_KEY, EndKind.FAILED)
        self.start(run=2)
        self.now = _LEASE_MS / 1000 - _STOP_S / 2
        self.worker.stop(
            StopRun(
                worker_id='w', address='', key=_KEY, run=2, fencing_token=1
            ),
        )
        self.now += _STOP_S * 2
        self.assertEqual(
            self.read(), ([], [EndKind.FAILED, EndKind.LEASE_EXPIRED])
        )

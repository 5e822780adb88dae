"""Orders with a deadline reach only the worker process that they are for."""

import unittest

import gevent

from ragwortfield.platform.task_worker_client import TaskWorkerClient
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    LeaseOrder,
    LeaseReport,
    OrderDone,
    OrderRefused,
    Refusal,
    StartRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.tests.worker_process import WorkerProcess

_KEY = TaskKey('0' * 16, 0, 0, 0)
_FIRST = 1_000
_SECOND = 2_000


class WorkerProcessTest(unittest.TestCase):
    def setUp(self):
        self.client = TaskWorkerClient()
        self.process = self.run_process(_FIRST)

    def run_process(self, born_ms, **options):
        process = WorkerProcess(born_ms=born_ms, **options)
        self.addCleanup(process.server.stop)
        return process

    def restart(self):
        """End the process; another one answers at the same address."""
        port = self.process.server.server_port
        # Ends the connections as well, like the end of a process.
        self.process.server.stop(timeout=0)
        former = self.process
        self.process = self.run_process(_SECOND, port=port)
        return former

    def renew_lease(self, born_ms=_FIRST):
        return self.client.renew_lease(
            LeaseOrder(
                worker_id='w0',
                address=self.process.address,
                fencing_token=1,
                acknowledged_end=7,
                deadline_ms=99,
                wait_ms=0,
                born_ms=born_ms,
            )
        )

    def start(self, born_ms=_FIRST):
        return self.client.start(
            StartRun(
                worker_id='w0',
                address=self.process.address,
                key=_KEY,
                run=1,
                spec='',
                checkpoint='',
                deadline_ms=99,
                fencing_token=1,
                born_ms=born_ms,
            )
        )

    # Guards against a lease of 10 s instead of 4 s: a deadline by the clock of
    # a worker before its restart reaches the process after it, for which it
    # lies far in the future.
    def test_lease_of_a_restarted_worker_is_not_extended(self):
        self.renew_lease()
        self.renew_lease()
        former = self.restart()
        for _ in range(3):
            self.renew_lease()
        self.assertEqual(former.list_deadlines(), [('/hold', 99)])
        self.assertEqual(self.process.list_deadlines(), [])
        self.assertEqual(self.process.list_acknowledgements(), [])
        report = self.renew_lease(born_ms=_SECOND)
        self.assertTrue(report.is_order_applied)
        self.assertEqual(self.process.list_deadlines(), [('/hold', 99)])

    # Guards against a run under such a lease in the process after the restart,
    # which no owner knows of.
    def test_start_does_not_reach_a_restarted_worker(self):
        self.assertIsInstance(self.start(), OrderDone)
        self.restart()
        for _ in range(3):
            outcome = self.start()
            self.assertIsInstance(outcome, Unavailable)
            self.assertFalse(outcome.is_effect_possible)
        self.assertEqual(self.process.list_deadlines(), [])
        self.assertIsInstance(self.start(born_ms=_SECOND), OrderDone)

    def test_report_tells_that_the_lease_was_not_extended(self):
        report = self.renew_lease()
        self.assertIsInstance(report, LeaseReport)
        self.assertFalse(report.is_order_applied)
        self.assertEqual(report.born_ms, _FIRST)
        self.assertEqual(self.process.list_deadlines(), [])
        self.assertTrue(self.renew_lease().is_order_applied)
        self.assertEqual(self.process.list_acknowledgements(), [7])

    # Guards against a poll before each start; only a new connection needs one.
    def test_known_connections_are_used_without_a_poll(self):
        for _ in range(3):
            self.start()
        paths = [path for path, _ in self.process.calls]
        self.assertEqual(paths, ['/hold', *['/run-start'] * 3])

    def test_concurrent_starts_are_all_carried_out(self):
        starts = [gevent.spawn(self.start) for _ in range(5)]
        gevent.joinall(starts)
        for start in starts:
            self.assertIsInstance(start.value, OrderDone)

    # Guards against a task that stays bound to a worker on which it cannot run:
    # the worker does not answer on a new connection, so the start is not sent.
    def test_start_is_not_sent_to_a_silent_worker(self):
        self.process.is_silent = True
        outcome = self.start()
        self.assertIsInstance(outcome, Unavailable)
        self.assertFalse(outcome.is_effect_possible)
        self.assertEqual(self.process.list_deadlines(), [])

    def test_refusal_of_the_first_poll_is_that_of_the_start(self):
        self.process.status = '409 Conflict'
        outcome = self.start()
        self.assertIsInstance(outcome, OrderRefused)
        self.assertEqual(outcome.refusal, Refusal.FENCED)

    # Guards against an order for a process that the owner has no report of.
    def test_order_for_no_known_process_is_not_sent(self):
        self.renew_lease()
        self.assertIsInstance(self.start(born_ms=0), Unavailable)
        self.assertFalse(self.renew_lease(born_ms=0).is_order_applied)
        self.assertEqual(self.process.list_deadlines(), [])

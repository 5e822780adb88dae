"""Test of a paused scheduler process that resumes after its replacement."""

import signal
import time
from unittest import mock

import gevent

from ragwortfield.engine.row_names import owner_row
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorker
from ragwortfield.tests.scheduler_process_case import SchedulerProcessTestCase

_PAUSE_S = 5
#: Time in which a resumed process would send pending orders, in seconds.
_WAIT_AFTER_RESUME_S = 2


class PausedProcessTest(SchedulerProcessTestCase):
    """The owner of a shard is paused and resumes after its replacement."""

    def setUp(self):
        self.start_orders = []
        self.recorded_commits = []
        start = FakeTaskWorker.start
        commit = FakeRowStore.commit

        def record_start(worker, order):
            self.start_orders.append(order)
            return start(worker, order)

        def record_commit(store, transaction, timeout_s):
            outcome = commit(store, transaction, timeout_s)
            self.recorded_commits.append((transaction, outcome))
            return outcome

        for patched_class, name, record in (
            (FakeTaskWorker, 'start', record_start),
            (FakeRowStore, 'commit', record_commit),
        ):
            patch = mock.patch.object(patched_class, name, record)
            patch.start()
            self.addCleanup(patch.stop)
        self.start(2)

    def get_owner_version(self):
        return self.deployment.store.row_by_name[owner_row(0)].version

    def is_expecting_owner(self, transaction, version):
        return any(
            row.name == owner_row(0) and row.version == version
            for row in transaction.expected
        )

    # Guards against orders and commits of an owner that was paused for five
    # seconds and resumes after another instance has taken over its shard.
    def test_resumed_owner_sends_no_order_and_commits_nothing(self):
        first_job_id = '00000000000000a1'
        self.submit(self.instances[0], first_job_id, 'sleep 0.3', (2,) * 12)
        self.await_state(self.instances[0], first_job_id, 'active')
        paused = self.deployment.owner()
        other = next(
            instance for instance in self.instances if instance is not paused
        )
        version = self.get_owner_version()
        paused.process.send_signal(signal.SIGSTOP)
        self.addCleanup(paused.process.send_signal, signal.SIGCONT)
        self.await_true(lambda: self.get_owner_version() > version)
        replaced_at = time.monotonic()
        gevent.sleep(_PAUSE_S)
        tokens = {order.fencing_token for order in self.start_orders}
        start_count, commit_count = (
            len(self.start_orders),
            len(self.recorded_commits),
        )
        paused.process.send_signal(signal.SIGCONT)
        second_job_id = '00000000000000a2'
        self.submit(other, second_job_id, 'sleep 0.1', (2, 2))
        gevent.sleep(_WAIT_AFTER_RESUME_S)
        self.assertGreaterEqual(time.monotonic() - replaced_at, _PAUSE_S)
        # The paused owner's token is the lower one.
        self.assertEqual(len(tokens), 2)
        stale = [
            order
            for order in self.start_orders[start_count:]
            if order.fencing_token < max(tokens)
        ]
        self.assertEqual(stale, [])
        committed = [
            transaction
            for transaction, outcome in self.recorded_commits[commit_count:]
            if self.is_expecting_owner(transaction, version)
            and type(outcome).__name__ == 'TransactionDone'
        ]
        self.assertEqual(committed, [])
        self.await_state(other, first_job_id, 'complete')
        self.await_state(paused, second_job_id, 'complete')
        self.assertIn('event=shard_left', self.deployment.read_log(paused))
        self.assert_each_ran_once()

    def assert_each_ran_once(self):
        completed_runs = [
            entry[2]
            for worker in self.deployment.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'end' and entry[4] == 'done'
        ]
        self.assertEqual(len(completed_runs), 2 * 12 + 4)
        self.assertEqual(len(set(completed_runs)), len(completed_runs))

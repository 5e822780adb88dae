"""Operators' story 3 on processes of the job scheduler."""

import signal
import time
from unittest import mock

import gevent

from ragwortfield.engine.row_names import owner_row
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorker
from ragwortfield.tests.scheduler_process_case import SchedulerProcessTestCase

_PAUSE_S = 5
#: Time in which a process that woke would send what it has held back.
_AFTER_S = 2


class PausedProcessTest(SchedulerProcessTestCase):
    """Story 3: the owner stands still and wakes after its replacement."""

    def setUp(self):
        self.starts = []
        self.commits = []
        start = FakeTaskWorker.start
        commit = FakeRowStore.commit

        def noted_start(worker, order):
            self.starts.append(order)
            return start(worker, order)

        def noted_commit(store, transaction, timeout_s):
            outcome = commit(store, transaction, timeout_s)
            self.commits.append((transaction, outcome))
            return outcome

        for kind, name, noted in (
            (FakeTaskWorker, 'start', noted_start),
            (FakeRowStore, 'commit', noted_commit),
        ):
            patch = mock.patch.object(kind, name, noted)
            patch.start()
            self.addCleanup(patch.stop)
        self.start(2)

    def owner_version(self):
        return self.deployment.store.row_by_name[owner_row(0)].version

    def expects_owner(self, transaction, version):
        return any(
            one.name == owner_row(0) and one.version == version
            for one in transaction.expected
        )

    # Guards against orders and commits of a process that was paused for five
    # seconds, replaced meanwhile and woken.
    def test_woken_owner_sends_no_order_and_commits_nothing(self):
        first = '00000000000000a1'
        self.submit(self.instances[0], first, 'sleep 0.3', (2,) * 12)
        self.await_state(self.instances[0], first, 'active')
        paused = self.deployment.owner()
        other = next(one for one in self.instances if one is not paused)
        version = self.owner_version()
        paused.process.send_signal(signal.SIGSTOP)
        self.addCleanup(paused.process.send_signal, signal.SIGCONT)
        self.await_true(lambda: self.owner_version() > version)
        replaced_at = time.monotonic()
        gevent.sleep(_PAUSE_S)
        tokens = {order.fencing_token for order in self.starts}
        starts, commits = len(self.starts), len(self.commits)
        paused.process.send_signal(signal.SIGCONT)
        second = '00000000000000a2'
        self.submit(other, second, 'sleep 0.1', (2, 2))
        gevent.sleep(_AFTER_S)
        self.assertGreaterEqual(time.monotonic() - replaced_at, _PAUSE_S)
        # The paused owner's token is the lower one.
        self.assertEqual(len(tokens), 2)
        stale = [
            order
            for order in self.starts[starts:]
            if order.fencing_token < max(tokens)
        ]
        self.assertEqual(stale, [])
        made = [
            transaction
            for transaction, outcome in self.commits[commits:]
            if self.expects_owner(transaction, version)
            and type(outcome).__name__ == 'TransactionDone'
        ]
        self.assertEqual(made, [])
        self.await_state(other, first, 'complete')
        self.await_state(paused, second, 'complete')
        self.assertIn('event=shard_left', self.deployment.read_log(paused))
        self.assert_each_ran_once()

    def assert_each_ran_once(self):
        done = [
            entry[2]
            for worker in self.deployment.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'end' and entry[4] == 'done'
        ]
        self.assertEqual(len(done), 2 * 12 + 4)
        self.assertEqual(len(set(done)), len(done))

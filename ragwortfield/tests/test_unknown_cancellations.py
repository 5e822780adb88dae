"""An owner starts nothing while it may not know of a cancellation.

A cancellation is acknowledged once it is stored. The owner learns of it by the
change feed, which can answer late while commits go through: over a link that is
full, or after an outage of the store.
"""

import time
import unittest
from unittest import mock

import gevent
from gevent.event import Event

from ragwortfield.core.resources import Resources
from ragwortfield.engine.row_names import (
    COMMON_PARTITION,
    PROGRESS_TABLE,
    cancel_row,
    inbox_table,
    job_row,
    owner_row,
)
from ragwortfield.engine.shard_committer import ShardCommitter
from ragwortfield.engine.shard_loading import WorkerRegistry
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.records import (
    CancellationRecord,
    JobRecord,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.tests.job_request_world import JOB_ID, build_job
from ragwortfield.tests.shard_world import (
    CATALOGUE,
    ShardWorld,
    build_single_step,
)

#: Time after a cancellation until which the platform allows starts of the job,
#: in seconds.
_CANCEL_S = 3
_STEP_S = 0.1
_WORKER_TABLE = 'workers'
#: Duration of a load over a link that is full, in seconds.
_LOAD_S = TimingBounds().inbox_age_s + 0.2
#: Time until the change feed delivers rows over that link, in seconds.
_DELIVERY_S = 0.8
#: Longest delay of a start after a load if nothing has changed, in seconds;
#: shorter than the wait of a call of the change feed.
_MAX_START_DELAY_S = 0.6
_TIMEOUT_S = 5
#: Duration of a suspension, in seconds.
_SUSPENSION_S = 10


class SilentFeedTest(unittest.TestCase):
    """The change feed does not answer, and commits go through."""

    def setUp(self):
        self.world = ShardWorld(workers=1)
        self.world.take_over()
        self.first_id = self.world.submit(build_single_step(cpu=4))
        self.act(0.5)
        self.waiting_id = self.world.submit(build_single_step(cpu=4))
        self.act(0.5)
        self.worker = self.world.find_busy_worker()
        patch = mock.patch.object(
            FakeRowStore,
            'wait_for_changes',
            return_value=Unavailable(reason='no answer'),
        )
        patch.start()
        self.resume_feed = patch.stop
        self.addCleanup(mock.patch.stopall)
        self.silent_since = self.world.now

    def act(self, seconds):
        for _ in range(round(seconds / _STEP_S)):
            self.world.owners[-1].act()
            self.world.advance(_STEP_S)
            self.world.check()

    def list_starts(self):
        """List when tasks of the waiting job were started."""
        return [
            at
            for kind, at, key, _, _ in self.worker.history
            if kind == 'start' and key.job_id == self.waiting_id
        ]

    # Guards against a start after the cancellation was acknowledged: the owner
    # does not know of it when room for the waiting job becomes free.
    def test_cancelled_job_is_not_started(self):
        self.world.cancel(self.waiting_id)
        self.act(_CANCEL_S)
        self.world.end_runs(EndKind.DONE)
        self.act(2)
        self.resume_feed()
        self.act(2)
        self.assertEqual(self.list_starts(), [])

    # Guards against a job that is never started once starts were held back.
    def test_job_is_started_when_the_feed_answers_again(self):
        self.act(_CANCEL_S)
        self.world.end_runs(EndKind.DONE)
        self.act(2)
        self.assertEqual(self.list_starts(), [])
        self.resume_feed()
        self.act(0.5)
        self.assertEqual(len(self.list_starts()), 1)

    # Guards against a start of a cancelled job by a repeated order: the answer
    # to the first one was lost before the cancellation could be known.
    def test_unanswered_start_is_not_repeated(self):
        self.act(TimingBounds().inbox_age_s - 0.3)
        self.world.end_runs(EndKind.DONE)
        start = 'ragwortfield.testing.fake_task_workers.FakeTaskWorker.start'
        lost = Unavailable(reason='no answer', is_effect_possible=True)
        with mock.patch(start, return_value=lost) as orders:
            self.act(0.3)
            self.assertTrue(orders.called)
        self.act(2)
        self.assertEqual(self.list_starts(), [])


class _FullLinkStore(FakeRowStore):
    """Store that is reached over a full link, so rows take their time."""

    def __init__(self):
        super().__init__()
        self.on_inbox_read = mock.Mock()

    def read(self, table, partition, **limits):
        if table == PROGRESS_TABLE:
            self.on_inbox_read()
            gevent.sleep(_LOAD_S)
        return super().read(table, partition, **limits)

    def wait_for_changes(self, table, after, wait_s):
        page = super().wait_for_changes(table, after, wait_s)
        gevent.sleep(_DELIVERY_S if page.rows else max(wait_s, _STEP_S))
        return page


class _YieldingWorkers(FakeTaskWorkerControl):
    """Workers whose reports take some time, so others can run."""

    def renew_lease(self, order):
        gevent.sleep(0.01)
        return super().renew_lease(order)


class _RunnerTestCase(unittest.TestCase):
    """Runner of a shard with one job and one worker."""

    def set_up_runner(self, store, *, is_worker_listed=True):
        self.store = store
        self.worker = FakeTaskWorker(
            worker_id='w0',
            clock=time.monotonic,
            capacity=Resources(cpu=4, memory_mb=100),
        )
        if is_worker_listed:
            self.list_worker()
        job = build_job(steps=build_single_step())
        record = JobRecord(job=job, queue=CATALOGUE.queue_by_name['queue'])
        self.write(job_row(0, JOB_ID), encode_record(record))
        self.write(owner_row(0), b'')
        self.runner = self.make_runner()
        self.addCleanup(self.runner.stop, 'end of the test')

    def write(self, name, content):
        self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=content),)), 1
        )

    def list_worker(self):
        name = RowName(
            table=_WORKER_TABLE, partition=COMMON_PARTITION, key='w0'
        )
        self.write(name, b'entry')

    def make_runner(self):
        return ShardRunner(
            shard=0,
            state=ShardState(
                epoch=1,
                owner_since=time.monotonic(),
                bounds=TimingBounds(),
                catalogue=CATALOGUE,
            ),
            committer=ShardCommitter(
                shard=0,
                store=self.store,
                owner_version=self.store.version,
                sequence_version=0,
            ),
            store=self.store,
            workers=_YieldingWorkers(worker_by_id={'w0': self.worker}),
            approval_service=ApprovalServiceClient(address=''),
            registry=WorkerRegistry(
                table=_WORKER_TABLE,
                parse=lambda worker_id, content: self.worker.listing(),
                is_in_shard=lambda worker_id: True,
            ),
            wall_clock=WallClock(),
        )

    def cancel(self):
        record = CancellationRecord(job_id=JOB_ID)
        self.write(cancel_row(0, JOB_ID), encode_record(record))

    def load(self):
        self.runner.start()
        self.await_true(lambda: self.runner.is_ready)

    def await_true(self, condition, timeout_s=_TIMEOUT_S):
        end = time.monotonic() + timeout_s
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.01)
        self.assertTrue(condition())


class SlowLoadTest(_RunnerTestCase):
    """A new owner loads its shard over a link that is full."""

    def setUp(self):
        self.set_up_runner(_FullLinkStore())

    # Guards against a start seconds after the cancellation was acknowledged: it
    # was stored just after the new owner had read the jobs. Seen on a day with
    # an outage of the store.
    def test_job_that_is_cancelled_during_the_load_is_not_started(self):
        self.store.on_inbox_read = self.cancel
        self.load()
        gevent.sleep(2 * _DELIVERY_S)
        self.assertEqual(self.worker.history, [])

    # Guards against starts that wait for the next answer of the change feed
    # although nothing has changed.
    def test_job_is_started_soon_after_the_load(self):
        self.load()
        self.await_true(lambda: self.worker.history, _MAX_START_DELAY_S)


class _SilentFeedStore(FakeRowStore):
    """Store whose feed of the inbox answers late once it is silent."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.resumed = Event()

    def wait_for_changes(self, table, after, wait_s):
        page = super().wait_for_changes(table, after, wait_s)
        gevent.sleep(_STEP_S)
        if table == inbox_table(0) and self.is_silent:
            # The answer was given before the machine was suspended.
            self.resumed.wait()
            self.resumed.clear()
        return page


class SuspensionTest(_RunnerTestCase):
    """The machine of an owner is suspended, and its monotonic clock stops."""

    def setUp(self):
        self.set_up_runner(_SilentFeedStore(), is_worker_listed=False)
        self.load()
        gevent.sleep(3 * _STEP_S)
        self.store.is_silent = True
        gevent.sleep(3 * _STEP_S)
        self.cancel()

    def suspend(self):
        read = time.clock_gettime
        patch = mock.patch(
            'time.clock_gettime', lambda clock: read(clock) + _SUSPENSION_S
        )
        patch.start()
        self.addCleanup(patch.stop)

    # Guards against a start long after the cancellation: the owner was
    # suspended meanwhile, and its clock says that its rows are recent.
    def test_job_cancelled_during_a_suspension_is_not_started(self):
        self.suspend()
        self.list_worker()
        gevent.sleep(1)
        self.assertEqual(self.worker.history, [])

    # The same, with an answer of the change feed from before the suspension.
    def test_answer_from_before_a_suspension_is_old(self):
        self.suspend()
        gevent.sleep(3 * _STEP_S)
        self.store.resumed.set()
        self.list_worker()
        gevent.sleep(1)
        self.assertEqual(self.worker.history, [])

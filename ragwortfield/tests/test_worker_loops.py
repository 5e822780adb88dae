"""Lease renewal and the sending of orders continue after errors."""

import time
import unittest
from collections import Counter
from unittest import mock

import gevent
from gevent.lock import Semaphore

from ragwortfield.core.resources import Resources
from ragwortfield.engine import ownership_keeper
from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.engine.worker_loops import WorkerLoops
from ragwortfield.platform.task_worker_client import TaskWorkerClient
from ragwortfield.ports.task_worker import (
    EndKind,
    ListedWorker,
    OrderRefused,
    PaceRun,
    Refusal,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling import (
    interference_control,
    shard_updates,
    worker_reports,
)
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.records import TaskPhase
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import MS_PER_S, TimingBounds
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.shard_world import ShardWorld, build_single_step
from ragwortfield.tests.worker_process import WorkerProcess

#: Longest wait for the greenlets of a test, in seconds.
_TIMEOUT_S = 5
#: Time until a fake worker answers, in seconds.
_RESPONSE_TIME_S = 0.01
#: Start of the process of a worker, as Unix time in milliseconds.
_BORN_MS = 1_000
#: Time until a late report arrives, in seconds: longer than polls count as
#: under way, shorter than a lease.
_LATE_ANSWER_S = 1.8
#: Number of polls that shows that a loop continues.
_MIN_POLLS = 3


class _RaisingWorkers(FakeTaskWorkerControl):
    """Workers for which a set number of calls raise."""

    def __init__(self, **options):
        super().__init__(**options)
        self.remaining_failures = 0
        self.poll_count = 0
        self.attempt_count = 0

    def renew_lease(self, order):
        self.poll_count += 1
        # A pause lets the other greenlets run.
        gevent.sleep(_RESPONSE_TIME_S)
        self._raise_if_due()
        return super().renew_lease(order)

    def start(self, order):
        self._raise_if_due()
        return super().start(order)

    def pace(self, order):
        self._raise_if_due()
        return super().pace(order)

    def _raise_if_due(self):
        self.attempt_count += 1
        if self.remaining_failures > 0:
            self.remaining_failures -= 1
            raise ValueError('599 is not a valid HTTPStatus')


class _PausingWorkers(FakeTaskWorkerControl):
    """Workers whose answers can be held back on their way."""

    def __init__(self, **options):
        super().__init__(**options)
        self.poll_counts = Counter()
        self._permits_by_worker = {}

    def hold_back(self, worker_id):
        self._permits_by_worker[worker_id] = Semaphore(0)

    def let_answer(self, worker_id, *, polls):
        for _ in range(polls):
            self._permits_by_worker[worker_id].release()

    def renew_lease(self, order):
        report = super().renew_lease(order)
        gevent.sleep(_RESPONSE_TIME_S)
        permits = self._permits_by_worker.get(order.worker_id)
        if permits is not None:
            permits.acquire()
        self.poll_counts[order.worker_id] += 1
        return report


def _raise_once(function):
    """Wrap a function so that its first call raises."""
    state = {'is_first': True}

    def call(*arguments, **options):
        if state.pop('is_first', False):
            raise LookupError('a fault of the code')
        return function(*arguments, **options)

    return call


class _WorkerLoopsTestCase(unittest.TestCase):
    def make_loops(self, state, workers):
        self.update_times = []
        loops = WorkerLoops(
            state=state,
            workers=workers,
            statistics=OwnerStatistics(),
            on_update=lambda: self.update_times.append(time.monotonic()),
        )
        self.addCleanup(loops.stop)
        return loops

    def await_true(self, condition):
        end = time.monotonic() + _TIMEOUT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(_RESPONSE_TIME_S)
        self.assertTrue(condition())


class LeaseRenewalTest(_WorkerLoopsTestCase):
    def setUp(self):
        self.worker = FakeTaskWorker(
            worker_id='w0',
            clock=time.monotonic,
            capacity=Resources(cpu=4, memory_mb=100),
        )
        self.workers = _RaisingWorkers(worker_by_id={'w0': self.worker})
        self.state = ShardState(
            epoch=1,
            owner_since=time.monotonic(),
            bounds=TimingBounds(),
            catalogue=Catalogue(version=1),
        )
        shard_updates.update_worker(self.state, self.worker.listing())
        self.loops = self.make_loops(self.state, self.workers)

    def await_polls(self):
        self.await_true(lambda: self.workers.poll_count >= _MIN_POLLS)

    # Guards against a lease that expires because one call to renew it raised.
    def test_lease_is_renewed_after_a_call_that_raises(self):
        self.workers.remaining_failures = 1
        self.loops.start_loops()
        self.await_polls()
        self.await_true(lambda: self.worker.lease_end_ms > 0)

    # Guards against a lease that expires because a report could not be applied.
    def test_lease_is_renewed_after_a_report_that_cannot_be_applied(self):
        raising = _raise_once(worker_reports.apply_report)
        with mock.patch.object(worker_reports, 'apply_report', raising):
            self.loops.start_loops()
            self.await_polls()
            self.await_true(lambda: self.worker.lease_end_ms > 0)

    # Guards against a lease that expires because readings could not be applied.
    def test_lease_is_renewed_after_readings_that_cannot_be_applied(self):
        raising = _raise_once(interference_control.apply_readings)
        with mock.patch.object(interference_control, 'apply_readings', raising):
            self.loops.start_loops()
            self.await_polls()
            self.await_true(lambda: self.worker.lease_end_ms > 0)

    # Guards against an acknowledgement of which the log tells nothing.
    def test_acknowledgement_of_an_end_is_logged(self):
        known = self.state.worker_by_id['w0']
        key = TaskKey('job', 0, 0, 0)
        order = StartRun(
            worker_id='w0',
            address='',
            key=key,
            run=1,
            spec='',
            checkpoint='',
            deadline_ms=int(self.worker.now_ms()) + 1000,
            fencing_token=1,
        )
        self.worker.start(order)
        self.worker.end(key, EndKind.DONE)
        with capture_log_lines() as lines:
            self.loops.start_loops()
            self.await_true(lambda: known.processed_end)
            known.record_durable_ends(1, commit=5)
            self.loops.committed.set()
            self.await_true(lambda: known.acknowledged_to_worker)
        logged = [line for line in lines if 'event=ends_ack' in line]
        self.assertEqual(len(logged), 1)
        self.assertIn('worker=w0 epoch=1 first=1 last=1 commit=5', logged[0])

    # Guards against a log that is filled by one entry of another writer, whose
    # address is that of another worker.
    def test_persistent_refusal_is_logged_once(self):
        refusal = OrderRefused(refusal=Refusal.OTHER_INCARNATION, clock_ms=1)
        renew_lease = self.workers.renew_lease
        with capture_log_lines() as lines:
            self.workers.renew_lease = mock.Mock(return_value=refusal)
            self.loops.start_loops()
            self.await_true(
                lambda: self.workers.renew_lease.call_count >= _MIN_POLLS
            )
            self.workers.renew_lease = renew_lease
            self.await_polls()
        refused = [line for line in lines if 'event=hold_refused' in line]
        self.assertEqual(len(refused), 1, refused)

    # Guards against a loop that ends, spins or fills the log while each poll
    # raises.
    def test_persistent_error_neither_spins_nor_fills_the_log(self):
        self.workers.remaining_failures = 1000
        with capture_log_lines() as lines:
            self.loops.start_loops()
            gevent.sleep(0.8)
        self.assertGreaterEqual(self.workers.poll_count, _MIN_POLLS)
        self.assertLess(self.workers.poll_count, 20)
        logged = [line for line in lines if 'ValueError' in line]
        self.assertEqual(len(logged), 1)
        self.assertIn('599 is not a valid HTTPStatus', logged[0])


class SuspendedMachineTest(_WorkerLoopsTestCase):
    """The machine is suspended while a worker answers a poll."""

    def setUp(self):
        self.workers = _PausingWorkers(
            worker_by_id={
                worker_id: FakeTaskWorker(
                    worker_id=worker_id,
                    clock=time.monotonic,
                    capacity=Resources(cpu=4, memory_mb=100),
                    born_at=_BORN_MS / MS_PER_S,
                )
                for worker_id in ('w0', 'w1')
            }
        )
        self.state = ShardState(
            epoch=1,
            owner_since=time.monotonic(),
            bounds=TimingBounds(),
            catalogue=Catalogue(version=1),
        )
        for worker in self.workers.worker_by_id.values():
            shard_updates.update_worker(self.state, worker.listing())
        self.state.confirmation.electorates = ({'w0': _BORN_MS},)
        self.loops = self.make_loops(self.state, self.workers)

    def is_confirmed(self):
        return self.state.confirmation.is_valid(
            self.state.bounds, time.monotonic()
        )

    # Guards against two runs of one task: polls that were answered before the
    # machine was suspended are read when it goes on, and their sending times
    # seem recent, as the monotonic clock stood still.
    def test_poll_from_before_a_suspension_confirms_nothing(self):
        with mock.patch.object(
            ownership_keeper, 'get_total_suspended_s', return_value=0
        ) as get_suspended_s:
            self.workers.hold_back('w0')
            self.loops.start_loops()
            self.await_true(lambda: self.workers.poll_counts['w1'])
            self.assertTrue(self.is_confirmed())
            get_suspended_s.return_value = 60
            self.await_true(lambda: self.state.confirmation.suspended_s == 60)
            self.workers.let_answer('w0', polls=1)
            self.await_true(
                lambda: self.state.worker_by_id['w0'].first_reported_at
            )
            self.assertFalse(self.is_confirmed())
            self.workers.let_answer('w0', polls=1)
            self.await_true(self.is_confirmed)


class StoppedLoopsTest(_WorkerLoopsTestCase):
    """An owner that has left its shard, and another one of the same process."""

    def setUp(self):
        self.process = WorkerProcess(born_ms=_BORN_MS)
        self.addCleanup(self.process.server.stop, timeout=0)

    def use_worker(self):
        """Poll the worker and send it an order, in loops of their own."""
        self.process.calls.clear()
        state = ShardState(
            epoch=1,
            owner_since=time.monotonic(),
            bounds=TimingBounds(),
            catalogue=Catalogue(version=1),
        )
        shard_updates.update_worker(
            state,
            ListedWorker(worker_id='w0', address=self.process.address),
        )
        loops = self.make_loops(state, TaskWorkerClient())
        loops.start_loops()
        self.await_true(self.process.list_deadlines)
        state.orders.append(
            StopRun(
                worker_id='w0',
                address=self.process.address,
                key=TaskKey('0' * 16, 0, 0, 0),
                run=1,
                fencing_token=1,
            )
        )
        loops.send_orders()
        self.await_true(lambda: '/run-stop' in self.process.list_paths())
        return loops

    # Guards against a worker that the next owner does not reach: a former one
    # lives on and keeps its connections (review/6).
    def test_stopped_owner_closes_its_own_connections_only(self):
        stopped = self.use_worker()
        self.use_worker()
        self.assertEqual(self.process.count_connections(), 4)
        stopped.stop()
        self.await_true(lambda: self.process.count_connections() == 2)
        self.process.calls.clear()
        self.await_true(self.process.list_deadlines)
        self.assertEqual(self.process.count_connections(), 2)


class LateReportTest(_WorkerLoopsTestCase):
    """Reports arrive later than polls count as silent, as on a full link."""

    def setUp(self):
        self.process = WorkerProcess(born_ms=_BORN_MS)
        self.addCleanup(self.process.server.stop, timeout=0)
        self.state = ShardState(
            epoch=1,
            owner_since=time.monotonic(),
            bounds=TimingBounds(),
            catalogue=Catalogue(version=1),
        )
        shard_updates.update_worker(
            self.state,
            ListedWorker(worker_id='w0', address=self.process.address),
        )
        self.worker = self.state.worker_by_id['w0']
        self.make_loops(self.state, TaskWorkerClient()).start_loops()
        self.await_true(self.process.list_deadlines)
        self.process.ended = [[1, f'{"0" * 16}.0.0.0', 1, 'done', '']]
        self.process.answer_s = _LATE_ANSWER_S

    # Guards against a task that is started again although its worker has
    # listed its end (TWICE, review/1): the report is on its way when the poll
    # is given up, and so is that of each further poll.
    def test_end_in_a_late_report_is_known_before_the_lease_is_over(self):
        self.await_true(lambda: self.worker.processed_end)
        now = time.monotonic()
        self.assertFalse(self.worker.is_lease_expired(now, 0))

    # Guards against a lease that is never extended again: the connection of a
    # late report is closed, and a new one needs more time than there is.
    def test_lease_is_extended_over_the_connection_of_a_late_report(self):
        self.await_true(lambda: self.worker.processed_end)
        deadline_count = len(self.process.list_deadlines())
        self.await_true(
            lambda: len(self.process.list_deadlines()) > deadline_count
        )
        self.assertLessEqual(self.process.most_connections, 2)

    # Guards against a worker that stays silent after its answers are quick
    # again, and against connections that add up.
    def test_worker_with_late_reports_is_heard_when_they_are_quick_again(self):
        self.await_true(lambda: not self.worker.is_responding)
        self.process.answer_s = 0
        self.await_true(lambda: self.worker.is_responding)
        self.await_true(lambda: self.process.count_connections() == 1)


class OrderSendingTest(_WorkerLoopsTestCase):
    def setUp(self):
        self.world = ShardWorld(workers=1)
        self.world.workers = _RaisingWorkers(
            worker_by_id=self.world.workers.worker_by_id,
        )
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.loops = self.make_loops(self.owner.state, self.world.workers)

    def act_until_order_is_queued(self):
        """Let the owner act without sending orders until one is queued."""
        with mock.patch.object(self.owner, '_send_orders'):
            while not self.owner.state.orders:
                self.owner.act()
                self.world.advance(0.1)

    def act(self):
        for _ in range(30):
            self.owner.act()
            self.world.advance(0.1)
        self.world.check()

    def send_orders_once(self):
        # The loops use the real clock, the world a simulated one.
        confirmation = self.owner.state.confirmation
        confirmation.record_store_call(time.monotonic())
        self.loops.send_orders()
        gevent.sleep(0.05)

    def find_task(self, job_id):
        return self.owner.state.find_step((job_id, 0, 0)).tasks[0]

    # Guards against a task whose start is never retried because its count of
    # pending start calls stays above zero.
    def test_task_runs_although_its_first_start_raised(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act_until_order_is_queued()
        self.world.workers.remaining_failures = 1
        self.send_orders_once()
        self.assertEqual(self.find_task(job_id).pending_start_calls, 0)
        self.act()
        worker = self.world.workers.worker_by_id['w0']
        self.assertIn(self.find_task(job_id).key, worker.run_by_key)

    # Guards against a log that does not show a pause between the commit of a
    # binding and its start.
    def test_time_of_a_start_order_is_recorded_when_it_is_sent(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act_until_order_is_queued()
        self.assertEqual(self.find_task(job_id).order_sent_at, 0)
        sent_after = time.monotonic()
        self.send_orders_once()
        self.assertGreaterEqual(
            self.find_task(job_id).order_sent_at, sent_after
        )

    # Guards against two runs of one task: the process is paused after it has
    # created a start order, and sends it when the shard has another owner.
    def test_order_is_withheld_while_the_ownership_is_in_doubt(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act_until_order_is_queued()
        confirmation = self.owner.state.confirmation
        confirmation.stored_at = time.monotonic() - 10
        self.loops.send_orders()
        gevent.sleep(0.05)
        worker = self.world.workers.worker_by_id['w0']
        self.assertEqual(worker.history, [])
        task = self.find_task(job_id)
        self.assertEqual(task.phase, TaskPhase.WAITING)
        self.assertEqual(task.avoided_workers, set())

    # Guards against a start that has taken effect, raises, and is then treated
    # as if it had no effect.
    def test_start_that_raised_may_have_taken_effect(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act_until_order_is_queued()
        self.world.workers.remaining_failures = 1
        self.send_orders_once()
        self.assertTrue(self.find_task(job_id).is_start_uncertain)
        self.assertTrue(self.update_times)

    # Guards against a filler whose pace can never be changed again because a
    # change that raised still counts as pending.
    def test_pace_can_be_set_again_after_one_that_raised(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act()
        task = self.find_task(job_id)
        task.is_pacing = True
        self.owner.state.orders.append(
            PaceRun(
                worker_id='w0',
                address='w0:1',
                key=task.key,
                run=task.run,
                percent=50,
                fencing_token=1,
            ),
        )
        self.world.workers.remaining_failures = 1
        self.send_orders_once()
        self.assertFalse(task.is_pacing)

    # Guards against an outcome that is lost without a log line and without a
    # new round of the owner.
    def test_outcome_that_cannot_be_applied_is_logged(self):
        self.world.submit(build_single_step(is_long_lived=True))
        self.act_until_order_is_queued()
        raising = _raise_once(worker_reports.apply_start_outcome)
        with capture_log_lines() as lines:
            with mock.patch.object(
                worker_reports, 'apply_start_outcome', raising
            ):
                self.send_orders_once()
        logged = [line for line in lines if 'a fault of the code' in line]
        self.assertEqual(len(logged), 1)
        self.assertTrue(self.update_times)

    # Guards against a second run of a task: its end is acknowledged although it
    # could not be applied.
    def test_run_end_that_raised_is_applied_from_the_next_report(self):
        job_id = self.world.submit(build_single_step())
        self.act()
        self.world.end_runs(EndKind.DONE)
        raising = _raise_once(worker_reports.record_run_end)
        with mock.patch.object(worker_reports, 'record_run_end', raising):
            with self.assertRaises(LookupError):
                self.owner.act()
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

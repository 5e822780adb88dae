"""Loops of workers and the sending of orders outlive unexpected errors."""

import time
import unittest
from unittest import mock

import gevent

from ragwortfield.core.resources import Resources
from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.engine.worker_loops import WorkerLoops
from ragwortfield.ports.task_worker import EndKind, PaceRun
from ragwortfield.scheduling import (
    interference_control,
    shard_updates,
    worker_reports,
)
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Longest wait for the greenlets of a test, in seconds.
_LIMIT_S = 5
#: Time that a stand-in takes to answer, in seconds.
_ANSWER_S = 0.01
#: Looks after which a loop certainly goes on.
_LOOKS = 3


class _FailingWorkers(FakeTaskWorkerControl):
    """Workers whose next answers raise."""

    def __init__(self, **known):
        super().__init__(**known)
        self.failures = 0
        self.looks = 0
        self.tried = 0

    def renew_lease(self, order):
        self.looks += 1
        # Answers take a moment, so that the other greenlets run.
        gevent.sleep(_ANSWER_S)
        self._fail()
        return super().renew_lease(order)

    def start(self, order):
        self._fail()
        return super().start(order)

    def pace(self, order):
        self._fail()
        return super().pace(order)

    def _fail(self):
        self.tried += 1
        if self.failures > 0:
            self.failures -= 1
            raise ValueError('599 is not a valid HTTPStatus')


def _fails_once(function):
    """The function, but its first call raises."""
    state = {'is_first': True}

    def call(*arguments, **options):
        if state.pop('is_first', False):
            raise LookupError('a fault of the code')
        return function(*arguments, **options)

    return call


class _LoopsTest(unittest.TestCase):
    def make_loops(self, state, workers):
        self.news = []
        loops = WorkerLoops(
            state=state,
            workers=workers,
            statistics=OwnerStatistics(),
            on_update=lambda: self.news.append(time.monotonic()),
        )
        self.addCleanup(loops.stop)
        return loops

    def await_true(self, condition):
        end = time.monotonic() + _LIMIT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(_ANSWER_S)
        self.assertTrue(condition())


class HoldTest(_LoopsTest):
    def setUp(self):
        self.worker = FakeTaskWorker(
            worker_id='w0',
            clock=time.monotonic,
            capacity=Resources(cpu=4, memory_mb=100),
        )
        self.workers = _FailingWorkers(worker_by_id={'w0': self.worker})
        self.state = ShardState(
            epoch=1,
            owner_since=time.monotonic(),
            bounds=TimingBounds(),
            catalogue=Catalogue(version=1),
        )
        shard_updates.update_worker(self.state, self.worker.listing())
        self.loops = self.make_loops(self.state, self.workers)

    def await_looks(self):
        self.await_true(lambda: self.workers.looks >= _LOOKS)

    # Guards against a lease that lapses because one answer could not be read.
    def test_worker_is_held_after_an_answer_that_raises(self):
        self.workers.failures = 1
        self.loops.start_loops()
        self.await_looks()
        self.await_true(lambda: self.worker.lease_end_ms > 0)

    # Guards against a lease that lapses because a report could not be taken.
    def test_worker_is_held_after_a_report_that_cannot_be_taken(self):
        failing = _fails_once(worker_reports.apply_report)
        with mock.patch.object(worker_reports, 'apply_report', failing):
            self.loops.start_loops()
            self.await_looks()
            self.await_true(lambda: self.worker.lease_end_ms > 0)

    # Guards against a lease that lapses because readings could not be taken.
    def test_worker_is_held_after_readings_that_cannot_be_taken(self):
        failing = _fails_once(interference_control.apply_readings)
        with mock.patch.object(interference_control, 'apply_readings', failing):
            self.loops.start_loops()
            self.await_looks()
            self.await_true(lambda: self.worker.lease_end_ms > 0)

    # Guards against a loop that ends, spins or fills the log while each look
    # raises.
    def test_lasting_error_neither_spins_nor_fills_the_log(self):
        self.workers.failures = 1000
        with capture_log_lines() as lines:
            self.loops.start_loops()
            gevent.sleep(0.8)
        self.assertGreaterEqual(self.workers.looks, _LOOKS)
        self.assertLess(self.workers.looks, 20)
        told = [line for line in lines if 'ValueError' in line]
        self.assertEqual(len(told), 1)
        self.assertIn('599 is not a valid HTTPStatus', told[0])


class SendTest(_LoopsTest):
    def setUp(self):
        self.world = ShardWorld(workers=1)
        self.world.workers = _FailingWorkers(
            worker_by_id=self.world.workers.worker_by_id,
        )
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.loops = self.make_loops(self.owner.state, self.world.workers)

    def decide(self):
        """Rounds without the sending of orders, until one is due."""
        with mock.patch.object(self.owner, '_send_orders'):
            while not self.owner.state.orders:
                self.owner.act()
                self.world.advance(0.1)

    def act(self):
        for _ in range(30):
            self.owner.act()
            self.world.advance(0.1)
        self.world.check()

    def send(self):
        self.loops.send_orders()
        gevent.sleep(0.05)

    def task(self, job_id):
        return self.owner.state.find_step((job_id, 0, 0)).tasks[0]

    # Guards against a task that is never ordered again because the count of
    # its orders under way stays up.
    def test_task_runs_although_its_first_start_raised(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.decide()
        self.world.workers.failures = 1
        self.send()
        self.assertEqual(self.task(job_id).pending_start_calls, 0)
        self.act()
        worker = self.world.workers.worker_by_id['w0']
        self.assertIn(self.task(job_id).key, worker.run_by_key)

    # Guards against a start whose effect is unknown and taken for none.
    def test_start_that_raised_may_have_taken_effect(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.decide()
        self.world.workers.failures = 1
        self.send()
        self.assertTrue(self.task(job_id).is_start_uncertain)
        self.assertTrue(self.news)

    # Guards against a filler that keeps its pace for good because its change
    # counts as under way.
    def test_pace_can_be_set_again_after_one_that_raised(self):
        job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act()
        task = self.task(job_id)
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
        self.world.workers.failures = 1
        self.send()
        self.assertFalse(task.is_pacing)

    # Guards against an outcome that is lost without a word to the owner.
    def test_outcome_that_cannot_be_taken_is_told(self):
        self.world.submit(build_single_step(is_long_lived=True))
        self.decide()
        failing = _fails_once(worker_reports.apply_start_outcome)
        with capture_log_lines() as lines:
            with mock.patch.object(
                worker_reports, 'apply_start_outcome', failing
            ):
                self.send()
        told = [line for line in lines if 'a fault of the code' in line]
        self.assertEqual(len(told), 1)
        self.assertTrue(self.news)

    # Guards against an end that is acknowledged although it was not taken:
    # its task would run a second time.
    def test_end_that_could_not_be_taken_is_taken_from_the_next_report(self):
        job_id = self.world.submit(build_single_step())
        self.act()
        self.world.end_runs(EndKind.DONE)
        failing = _fails_once(worker_reports.record_run_end)
        with mock.patch.object(worker_reports, 'record_run_end', failing):
            with self.assertRaises(LookupError):
                self.owner.act()
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

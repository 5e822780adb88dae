"""Runner of an owned shard: errors, spacing of rounds, loading, the model."""

import time
import unittest
from dataclasses import replace
from unittest.mock import patch

import gevent
from gevent.monkey import get_original

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.core.resources import Resources
from ragwortfield.engine import shard_runner
from ragwortfield.engine.former_owner_calls import answer_as_former_owner
from ragwortfield.engine.learned_model_store import LearnedModelStore
from ragwortfield.engine.row_names import (
    interference_row,
    job_row,
    owner_row,
    progress_row,
)
from ragwortfield.engine.shard_committer import ShardCommitter
from ragwortfield.engine.shard_loading import WorkerRegistry
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling import approvals, shard_updates
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.fence_refusals import record_fence_refusal
from ragwortfield.scheduling.duration_model import DurationModel
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.records import (
    JobRecord,
    ProgressRecord,
    TaskPhase,
    TaskRecord,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.placement_world import (
    STRONG_INTERFERENCE,
    PlacementWorld,
)

#: Longest wait for the runner's greenlets, in seconds.
_TIMEOUT_S = 5
#: Jobs of a large shard, and the maximum average number of jobs that may be
#: loaded per turn of the event loop.
_MANY_JOBS = 300
_MAX_JOBS_PER_TURN = 50
_TASKS_PER_STEP = 20
#: Unpatched sleep, which blocks all greenlets.
_sleep_blocking = get_original('time', 'sleep')
#: Turns of the event loop until a worker answers.
_TURNS_PER_POLL = 4
#: Duration of an expensive scheduling round, in seconds, and the number of
#: rounds that the test waits for.
_ROUND_DURATION_S = 0.02
_ROUNDS = 20


class _YieldingStore(FakeRowStore):
    """Store whose change feeds answer after a pause, so others can run."""

    def wait_for_changes(self, table, after, wait_s):
        gevent.sleep(0.01)
        return super().wait_for_changes(table, after, wait_s)


def _make_runner():
    store = _YieldingStore()
    # The change feed needs a version to continue from.
    store.commit(
        Transaction(writes=(RowWrite(name=owner_row(0), content=b''),)),
        1,
    )
    return ShardRunner(
        shard=0,
        state=ShardState(
            epoch=1,
            owner_since=time.monotonic(),
            bounds=TimingBounds(),
            catalogue=Catalogue(version=1),
        ),
        committer=ShardCommitter(
            shard=0,
            store=store,
            owner_version=1,
            sequence_version=1,
        ),
        store=store,
        workers=FakeTaskWorkerControl(),
        approval_service=ApprovalServiceClient(address=''),
        registry=WorkerRegistry(
            table='workers',
            parse=lambda worker_id, content: Malformed(reason=worker_id),
            is_in_shard=lambda worker_id: True,
        ),
        wall_clock=WallClock(),
    )


def _store_finished_jobs(store, count):
    """Store jobs of two steps whose tasks are all done; return their ids."""
    step = Step(count=_TASKS_PER_STEP, need=Resources(cpu=1), estimate_s=1)
    done = tuple(
        TaskRecord(phase=TaskPhase.DONE, run=1) for _ in range(_TASKS_PER_STEP)
    )
    job_ids = [f'{number:016x}' for number in range(count)]
    for job_id in job_ids:
        job = Job(
            job_id=job_id,
            queue='queue',
            spec='',
            steps=(step, replace(step, after=(0,))),
            accepted_at=0,
        )
        progress = ProgressRecord(
            job_id=job_id,
            occurrence=0,
            steps=(done, done),
        )
        row_by_name = {
            job_row(0, job_id): JobRecord(job=job),
            progress_row(0, job_id, 0): progress,
        }
        writes = tuple(
            RowWrite(name=name, content=encode_record(record))
            for name, record in row_by_name.items()
        )
        store.commit(Transaction(writes=writes), 1)
    return job_ids


class _RunnerTestCase(unittest.TestCase):
    def await_true(self, condition):
        end = time.monotonic() + _TIMEOUT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.01)
        self.assertTrue(condition())


class ShardRunnerTest(_RunnerTestCase):
    def test_runner_stops_when_a_round_raises(self):
        runner = _make_runner()
        self.addCleanup(runner.stop, 'end of the test')
        runner.start()
        self.await_true(lambda: runner.is_ready)
        self.assertFalse(runner.is_stopped)
        runner.state.worker_by_id = None
        self.await_true(lambda: runner.is_stopped)

    # Guards against a shard without an owner: a call to the approval service
    # raised, which ended the owner.
    def test_runner_survives_an_error_in_a_question_for_approval(self):
        runner = _make_runner()
        self.addCleanup(runner.stop, 'end of the test')
        calls = []

        def raise_once(_state, _now):
            calls.append(1)
            if len(calls) == 1:
                raise OverflowError('a fault of the code')

        with patch.object(approvals, 'build_approval_request', raise_once):
            runner.start()
            self.await_true(lambda: len(calls) > 2)
        self.assertFalse(runner.is_stopped)

    # Guards against two runs of one task: the former owner's stop failed half
    # way, so it goes on, and its next answer says that it has stopped.
    def test_owner_whose_stop_failed_is_stopped_by_the_next_question(self):
        runner = _make_runner()
        self.addCleanup(runner._worker_loops.stop)
        runner.start()
        self.await_true(lambda: runner.is_ready)
        with (
            patch.object(shard_runner, 'event', side_effect=OSError('full')),
            self.assertRaises(OSError),
        ):
            answer_as_former_owner('own', '1', runner, epoch=2, former_epoch=1)
        answer = answer_as_former_owner(
            'own', '1', runner, epoch=2, former_epoch=1
        )
        gevent.sleep(0.1)
        is_any_alive = not all(greenlet.dead for greenlet in runner._greenlets)
        self.assertFalse(is_any_alive and answer['remaining'] is not None)


class LeavingTest(_RunnerTestCase):
    def stop(self, runner):
        """Stop a runner; return the line about it."""
        with capture_log_lines() as lines:
            runner.stop('replaced by another owner')
        (line,) = lines
        self.assertIn('event=shard_left shard=0 epoch=1', line)
        return line

    # Guards against a log that does not tell for how long a replaced owner had
    # been without the store, and which leases it went on extending.
    def test_line_tells_the_age_of_the_latest_calls(self):
        runner = _make_runner()
        worker = FakeTaskWorker(worker_id='w0', clock=time.monotonic)
        workers = _YieldingWorkers(worker_by_id={'w0': worker})
        runner._worker_loops._workers = workers
        runner.start()
        self.await_true(lambda: runner.is_ready)
        shard_updates.update_worker(runner.state, worker.listing())
        runner._worker_loops.start_loops()
        known = runner.state.worker_by_id['w0']
        self.await_true(lambda: known.lease_extended_at)
        runner._store.is_down = True
        gevent.sleep(0.5)
        line = self.stop(runner)
        self.assertRegex(line, r'store_age_s=0\.[4-9]')
        self.assertRegex(line, r'lease_order_age_s=0\.[0-3]')
        self.assertIn('held=1 held_workers=w0', line)

    def test_owner_without_any_answer_has_no_ages(self):
        line = self.stop(_make_runner())
        self.assertIn('store_age_s=-1 valid_s=', line)
        self.assertIn('lease_order_age_s=-1 held=0', line)


class FenceRefusalTest(_RunnerTestCase):
    """A worker refuses an order as that of a replaced owner."""

    def setUp(self):
        self.runner = _make_runner()
        self.addCleanup(self.runner.stop, 'end of the test')
        self.runner.start()
        self.await_true(lambda: self.runner.is_ready)

    def refuse(self):
        worker = WorkerState(worker_id='w', listed=ListedWorker(worker_id='w'))
        record_fence_refusal(self.runner.state, worker, time.monotonic())

    # Guards against a worker that drives out one owner after another.
    def test_owner_that_the_owner_row_names_goes_on(self):
        self.refuse()
        self.await_true(lambda: not self.runner.state.is_newer_owner_claimed)
        self.assertFalse(self.runner.is_stopped)

    def test_replaced_owner_stops(self):
        write = RowWrite(name=owner_row(0), content=b'')
        self.runner._store.commit(Transaction(writes=(write,)), 1)
        self.refuse()
        self.await_true(lambda: self.runner.is_stopped)

    def test_owner_that_cannot_read_the_owner_row_stops(self):
        self.runner._store.is_down = True
        self.refuse()
        self.await_true(lambda: self.runner.is_stopped)

    # Guards against a replaced owner that goes on: the row was read a moment
    # before the takeover, and the worker refused before the row arrived.
    def test_refusal_during_the_check_is_checked_again(self):
        store = self.runner._store
        read = store.read
        write = RowWrite(name=owner_row(0), content=b'')

        def read_before_takeover(*names, **limits):
            page = read(*names, **limits)
            store.read = read
            store.commit(Transaction(writes=(write,)), 1)
            self.refuse()
            return page

        store.read = read_before_takeover
        # A pause of the process makes a check due.
        self.runner._last_round_at -= shard_runner._OWNERSHIP_CHECK_S
        self.await_true(lambda: self.runner.is_stopped)


class _YieldingWorkers(FakeTaskWorkerControl):
    """Workers whose answers take some turns of the loop, as on a network."""

    def renew_lease(self, order):
        for _ in range(_TURNS_PER_POLL):
            gevent.sleep(0.001)
        self.delayed_orders.append((order, 0))
        return super().renew_lease(order)


class RoundSpacingTest(unittest.TestCase):
    """Rounds are expensive, and each worker report requests another round."""

    def setUp(self):
        self.rounds = 0
        self.runner = _make_runner()
        self.addCleanup(self.runner.stop, 'end of the test')
        worker = FakeTaskWorker(worker_id='w0', clock=time.monotonic)
        self.workers = _YieldingWorkers(worker_by_id={'w0': worker})
        self.runner._worker_loops._workers = self.workers
        shard_updates.update_worker(self.runner.state, worker.listing())
        self.runner._rounds = self

    def decide(self, *_details, **_options):
        """Stand in for a scheduling round and block the process."""
        self.rounds += 1
        _sleep_blocking(_ROUND_DURATION_S)

    def request_rounds(self):
        while True:
            self.runner._round_due.set()
            gevent.sleep(0.001)

    # Guards against lost runs as in incident 0006: rounds that followed each
    # report at once left no time to renew the leases on workers.
    def test_each_round_leaves_time_to_renew_a_lease(self):
        self.runner.start()
        requester = gevent.spawn(self.request_rounds)
        self.addCleanup(requester.kill)
        end = time.monotonic() + 2 * _TIMEOUT_S
        while self.rounds < _ROUNDS and time.monotonic() < end:
            gevent.sleep(0.001)
        polls = len(self.workers.delayed_orders)
        self.assertGreaterEqual(polls, self.rounds)


class ShardLoadingTest(unittest.TestCase):
    """A new owner loads a shard with many jobs."""

    # Guards against leases that expire and owners that replace one another: a
    # new owner blocks all other greenlets while it loads its shard.
    @patch.object(shard_runner, '_LOAD_SLICE_S', 0)
    def test_loading_a_large_shard_lets_other_greenlets_run(self):
        runner = _make_runner()
        self.addCleanup(runner.stop, 'end of the test')
        _store_finished_jobs(runner._store, _MANY_JOBS)
        runner.start()
        turns = 0
        end = time.monotonic() + 2 * _TIMEOUT_S
        while not runner.is_ready and time.monotonic() < end:
            # A pause above zero: like sockets, timers are only served when the
            # event loop polls, which switching between greenlets does not do.
            gevent.sleep(0.001)
            turns += 1
        self.assertTrue(runner.is_ready)
        self.assertEqual(len(runner.state.job_by_id), _MANY_JOBS)
        self.assertGreater(turns, _MANY_JOBS / _MAX_JOBS_PER_TURN)

    # Guards against takeovers whose duration grows with the number of finished
    # jobs.
    def test_finished_jobs_are_loaded_without_their_tasks(self):
        runner = _make_runner()
        self.addCleanup(runner.stop, 'end of the test')
        job_ids = _store_finished_jobs(runner._store, 1)
        runner.start()
        end = time.monotonic() + _TIMEOUT_S
        while not runner.is_ready and time.monotonic() < end:
            gevent.sleep(0)
        self.assertEqual(runner.status(job_ids[0]), JobStatus.COMPLETE)
        job_state = runner.state.job_by_id[job_ids[0]]
        self.assertEqual(list(job_state.occurrence_by_number), [0])
        self.assertEqual(len(job_state.occurrence_by_number[0].steps), 0)


class LearnedModelStoreTest(unittest.TestCase):
    def test_new_owner_restores_the_learned_model(self):
        store = _YieldingStore()
        version = store.commit(
            Transaction(writes=(RowWrite(name=owner_row(0), content=b''),)),
            1,
        ).version
        model_store = LearnedModelStore(
            shard=0, store=store, owner_version=version
        )
        world = PlacementWorld(workers=1)
        world.set_interference_weights({('a', 'f'): STRONG_INTERFERENCE})
        durations = DurationModel()
        durations.observe('queue', 1, 4)
        saver = gevent.spawn(
            model_store.save_periodically,
            world.state.interference_model,
            durations,
        )
        self.addCleanup(saver.kill)
        name = interference_row(0)
        end = time.monotonic() + 2 * _TIMEOUT_S
        while name not in store.row_by_name and time.monotonic() < end:
            gevent.sleep(0.1)
        model = InterferenceModel()
        restored_durations = DurationModel()
        model_store.restore(model, restored_durations)
        self.assertEqual(model.weight('a', 'f'), STRONG_INTERFERENCE)
        self.assertAlmostEqual(
            restored_durations.predict('queue', 1),
            durations.predict('queue', 1),
            places=2,
        )

    def test_replaced_owner_writes_nothing(self):
        store = _YieldingStore()
        model_store = LearnedModelStore(shard=0, store=store, owner_version=7)
        world = PlacementWorld(workers=1)
        world.set_interference_weights({('a', 'f'): STRONG_INTERFERENCE})
        model_store._write(
            encode_record(world.state.interference_model.record())
        )
        self.assertNotIn(interference_row(0), store.row_by_name)

"""The owner of a shard at work: what becomes of it when a part fails."""

import time
import unittest
from dataclasses import replace
from unittest.mock import patch

import gevent
from gevent.monkey import get_original

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.core.resources import Resources
from ragwortfield.engine import shard_runner
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.engine.learned_model_store import LearnedModelStore
from ragwortfield.engine.row_names import (
    job_row,
    owner_row,
    interference_row,
    progress_row,
)
from ragwortfield.engine.shard_committer import ShardCommitter
from ragwortfield.engine.shard_loading import WorkerRegistry
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.records import (
    JobRecord,
    ProgressRecord,
    TaskPhase,
    TaskRecord,
    encode_record,
)
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.tests.placement_world import (
    STRONG_INTERFERENCE,
    PlacementWorld,
)

#: Longest wait for the runner's greenlets, in seconds.
_LIMIT_S = 5


#: Jobs of a large shard, and most of them that one turn may take in.
_MANY_JOBS = 300
_JOBS_A_TURN = 50
_TASKS = 20
#: Sleeps without letting other greenlets run.
_block = get_original('time', 'sleep')
#: Turns of the loop that an answer of a worker takes.
_TURNS_A_LOOK = 4
#: Length of a dear round, in seconds, and how many of them are waited for.
_BUSY_S = 0.02
_ROUNDS = 20


class _PacedStore(FakeRowStore):
    """Feeds answer after a moment, so that the other greenlets run."""

    def wait_for_changes(self, table, after, wait_s):
        gevent.sleep(0.01)
        return super().wait_for_changes(table, after, wait_s)


def _make_runner():
    store = _PacedStore()
    # A feed goes on from the version that it has read.
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
    """Jobs of two steps whose tasks are all done; gives their names."""
    step = Step(count=_TASKS, need=Resources(cpu=1), estimate_s=1)
    done = tuple(TaskRecord(phase=TaskPhase.DONE, run=1) for _ in range(_TASKS))
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


class ShardRunnerTest(unittest.TestCase):
    def await_true(self, condition):
        end = time.monotonic() + _LIMIT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.01)
        self.assertTrue(condition())

    def test_owner_whose_decisions_fail_leaves_the_shard_to_others(self):
        runner = _make_runner()
        self.addCleanup(runner.stop, 'end of the test')
        runner.start()
        self.await_true(lambda: runner.is_ready)
        self.assertFalse(runner.is_stopped)
        runner.state.worker_by_id = None
        self.await_true(lambda: runner.is_stopped)


class _RemoteWorkers(FakeTaskWorkerControl):
    """Workers whose answers take a few turns of the loop, as over a wire."""

    def renew_lease(self, order):
        for _ in range(_TURNS_A_LOOK):
            gevent.sleep(0.001)
        self.delayed_orders.append((order, 0))
        return super().renew_lease(order)


class SpacingTest(unittest.TestCase):
    """Pattern: rounds are dear, and each report brings news for the next."""

    def setUp(self):
        self.rounds = 0
        self.runner = _make_runner()
        self.addCleanup(self.runner.stop, 'end of the test')
        worker = FakeTaskWorker(worker_id='w0', clock=time.monotonic)
        self.workers = _RemoteWorkers(worker_by_id={'w0': worker})
        self.runner._worker_loops._workers = self.workers
        shard_updates.update_worker(self.runner.state, worker.listing())
        self.runner._rounds = self

    def decide(self, *_details, **_options):
        """A round that is busy for a while."""
        self.rounds += 1
        _block(_BUSY_S)

    def bring_news(self):
        while True:
            self.runner._round_due.set()
            gevent.sleep(0.001)

    # Guards against LOST of incident 0006: rounds that followed each report
    # at once left the leases of workers no time.
    def test_each_round_leaves_time_to_extend_a_lease(self):
        self.runner.start()
        news = gevent.spawn(self.bring_news)
        self.addCleanup(news.kill)
        end = time.monotonic() + 2 * _LIMIT_S
        while self.rounds < _ROUNDS and time.monotonic() < end:
            gevent.sleep(0.001)
        looks = len(self.workers.delayed_orders)
        self.assertGreaterEqual(looks, self.rounds)


class LoadTest(unittest.TestCase):
    """Pattern: a new owner reads a shard with hundreds of jobs."""

    # Guards against leases that lapse and owners that replace one another
    # because a successor does nothing else while it takes its shard in.
    @patch.object(shard_runner, '_LOAD_SLICE_S', 0)
    def test_owner_that_takes_a_large_shard_in_lets_other_work_run(self):
        runner = _make_runner()
        self.addCleanup(runner.stop, 'end of the test')
        _store_finished_jobs(runner._store, _MANY_JOBS)
        runner.start()
        turns = 0
        end = time.monotonic() + 2 * _LIMIT_S
        while not runner.is_ready and time.monotonic() < end:
            # A timer, as sockets are: a turn of other greenlets alone polls
            # neither.
            gevent.sleep(0.001)
            turns += 1
        self.assertTrue(runner.is_ready)
        self.assertEqual(len(runner.state.job_by_id), _MANY_JOBS)
        self.assertGreater(turns, _MANY_JOBS / _JOBS_A_TURN)

    # Guards against a takeover that lasts longer the more jobs are done.
    def test_finished_jobs_are_shown_without_rows_for_their_tasks(self):
        runner = _make_runner()
        self.addCleanup(runner.stop, 'end of the test')
        job_ids = _store_finished_jobs(runner._store, 1)
        runner.start()
        end = time.monotonic() + _LIMIT_S
        while not runner.is_ready and time.monotonic() < end:
            gevent.sleep(0)
        self.assertEqual(runner.status(job_ids[0]), JobStatus.COMPLETE)
        row = runner.state.job_by_id[job_ids[0]]
        self.assertEqual(list(row.occurrence_by_number), [0])
        self.assertEqual(len(row.occurrence_by_number[0].steps), 0)


class LearnedRowsTest(unittest.TestCase):
    def test_new_owner_knows_what_the_one_before_has_learned(self):
        store = _PacedStore()
        version = store.commit(
            Transaction(writes=(RowWrite(name=owner_row(0), content=b''),)),
            1,
        ).version
        rows = LearnedModelStore(shard=0, store=store, owner_version=version)
        world = PlacementWorld(workers=1)
        world.set_interference_weights({('a', 'f'): STRONG_INTERFERENCE})
        keeping = gevent.spawn(
            rows.save_periodically, world.state.interference_model
        )
        self.addCleanup(keeping.kill)
        name = interference_row(0)
        end = time.monotonic() + 2 * _LIMIT_S
        while name not in store.row_by_name and time.monotonic() < end:
            gevent.sleep(0.1)
        model = InterferenceModel()
        rows.restore(model)
        self.assertEqual(model.weight('a', 'f'), STRONG_INTERFERENCE)

    def test_replaced_owner_writes_nothing(self):
        store = _PacedStore()
        rows = LearnedModelStore(shard=0, store=store, owner_version=7)
        model = PlacementWorld(workers=1)
        model.set_interference_weights({('a', 'f'): STRONG_INTERFERENCE})
        rows._write(encode_record(model.state.interference_model.record()))
        self.assertNotIn(interference_row(0), store.row_by_name)

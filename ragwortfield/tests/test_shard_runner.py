"""The owner of a shard at work: what becomes of it when a part fails."""

import time
import unittest

import gevent

from ragwortfield.adapters.documents import Malformed
from ragwortfield.engine.calendar import Calendar
from ragwortfield.engine.learned_rows import LearnedRows
from ragwortfield.engine.names import owner_row, pressure_row
from ragwortfield.engine.shard_commits import ShardCommits
from ragwortfield.engine.shard_rows import WorkerEntries
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.platform.advice import AdviceClient
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.scheduling.bounds import Bounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.pressure import PressureModel
from ragwortfield.scheduling.records import encode_record
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.testing.row_store import MemoryRowStore
from ragwortfield.testing.task_workers import FakeWorkers
from ragwortfield.tests.filler_world import HARSH, FillerWorld

#: Longest wait for the runner's greenlets, in seconds.
_LIMIT_S = 5


class _PacedStore(MemoryRowStore):
    """Feeds answer after a moment, so that the other greenlets run."""

    def follow(self, table, after, wait_s):
        gevent.sleep(0.01)
        return super().follow(table, after, wait_s)


def _make_runner():
    store = _PacedStore()
    # A feed goes on from the version that it has read.
    store.commit(
        Transaction(writes=(RowWrite(name=owner_row(0), content=b''),)),
        1,
    )
    return ShardRunner(
        shard=0,
        tables=ShardTables(
            epoch=1,
            owner_since=time.monotonic(),
            bounds=Bounds(),
            catalogue=Catalogue(version=1),
        ),
        commits=ShardCommits(
            shard=0,
            store=store,
            owner_version=1,
            sequence_version=1,
        ),
        store=store,
        workers=FakeWorkers(),
        approval_service=AdviceClient(address=''),
        entries=WorkerEntries(
            table='workers',
            parse=lambda worker_id, content: Malformed(reason=worker_id),
            is_own=lambda worker_id: True,
        ),
        calendar=Calendar(),
    )


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
        runner.tables.worker_by_id = None
        self.await_true(lambda: runner.is_stopped)


class LearnedRowsTest(unittest.TestCase):
    def test_new_owner_knows_what_the_one_before_has_learned(self):
        store = _PacedStore()
        version = store.commit(
            Transaction(writes=(RowWrite(name=owner_row(0), content=b''),)),
            1,
        ).version
        rows = LearnedRows(shard=0, store=store, owner_version=version)
        world = FillerWorld(workers=1)
        world.learn({('a', 'f'): HARSH})
        keeping = gevent.spawn(rows.keep, world.tables.pressure)
        self.addCleanup(keeping.kill)
        name = pressure_row(0)
        end = time.monotonic() + 2 * _LIMIT_S
        while name not in store.row_by_name and time.monotonic() < end:
            gevent.sleep(0.1)
        model = PressureModel()
        rows.restore(model)
        self.assertEqual(model.weight('a', 'f'), HARSH)

    def test_replaced_owner_writes_nothing(self):
        store = _PacedStore()
        rows = LearnedRows(shard=0, store=store, owner_version=7)
        model = FillerWorld(workers=1)
        model.learn({('a', 'f'): HARSH})
        rows._write(encode_record(model.tables.pressure.record()))
        self.assertNotIn(pressure_row(0), store.row_by_name)

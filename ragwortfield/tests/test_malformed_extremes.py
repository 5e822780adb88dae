"""Story 5, single rows and bodies that are far out of bounds."""

import time
import unittest
from dataclasses import replace

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.engine.row_names import job_row, owner_row, progress_row
from ragwortfield.engine.shard_committer import ShardCommitter
from ragwortfield.engine.shard_loading import WorkerRegistry
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.platform.document_parsing import (
    parse_catalogue,
    parse_job,
    parse_worker,
)
from ragwortfield.platform.fake_servers import (
    encode_configuration,
    encode_worker_entry,
)
from ragwortfield.ports.row_store import (
    RowName,
    RowWrite,
    Transaction,
)
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.records import (
    JobRecord,
    LayoutRecord,
    OwnerRecord,
    ProgressRecord,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_JOB_ID = 'f' * 16
_WORKERS = 'servers'
_ENTRY = encode_worker_entry(
    ShardWorld().workers.worker_by_id['w0'], 'h:1', 'pool'
)
_CONFIGURATION = encode_configuration(2, '/a/', 'pool')
#: Levels of a document that is nested far deeper than any reader descends.
_DEPTH = 50_000
_LARGE = b'1' + b'0' * 400
#: Longest wait for the greenlets of a test, in seconds.
_LIMIT_S = 5


def _with(document, field):
    return b'%b,%b}' % (document[:-1], field)


class _PacedStore(FakeRowStore):
    """Feeds answer after a moment, so that the other greenlets run."""

    def wait_for_changes(self, table, after, wait_s):
        gevent.sleep(0.01)
        return super().wait_for_changes(table, after, wait_s)


def _write(store, name, content):
    write = RowWrite(name=name, content=content)
    return store.commit(Transaction(writes=(write,)), 1).version


class ExtremeTest(unittest.TestCase):
    # Guards against a job with a number that no row holds: the client gets
    # status 500 in place of a reason.
    def test_job_with_a_number_beyond_every_bound_is_named(self):
        for field in (b'cpu', b'mem_mb', b'anti_affinity'):
            job = b'{"spec":"x","steps":[{"count":1,"%b":%b}]}'
            parsed = parse_job(
                job % (field, _LARGE),
                job_id=_JOB_ID,
                queue='queue',
                accepted_at=0,
            )
            self.assertIsInstance(parsed, Malformed)

    # Guards against a document that is nested so deeply that its reader gives
    # up with another error than for all others.
    def test_document_of_great_depth_is_named(self):
        deep = b'"x":' + b'[' * _DEPTH
        entry = parse_worker('w', _with(_ENTRY, deep))
        self.assertIsInstance(entry, Malformed)
        catalogue = parse_catalogue(_with(_CONFIGURATION, deep))
        self.assertIsInstance(catalogue, Malformed)

    # Guards against a record that is nested as deeply.
    def test_record_of_great_depth_is_named(self):
        content = b'\x81\xa1x' + b'\x91' * _DEPTH
        for kind in (JobRecord, ProgressRecord, OwnerRecord, LayoutRecord):
            self.assertIsInstance(decode_record(content, kind), Malformed)


class OwnerTest(unittest.TestCase):
    """An owner at work meets an entry that another writer left."""

    def setUp(self):
        self.store = _PacedStore()
        version = _write(self.store, owner_row(0), b'')
        self.runner = ShardRunner(
            shard=0,
            state=ShardState(
                epoch=1,
                owner_since=time.monotonic(),
                bounds=TimingBounds(),
                catalogue=Catalogue(version=1),
            ),
            committer=ShardCommitter(
                shard=0,
                store=self.store,
                owner_version=version,
                sequence_version=version,
            ),
            store=self.store,
            workers=FakeTaskWorkerControl(),
            approval_service=ApprovalServiceClient(address=''),
            registry=WorkerRegistry(
                table=_WORKERS,
                parse=parse_worker,
                is_in_shard=lambda _worker_id: True,
            ),
            wall_clock=WallClock(),
        )
        self.addCleanup(self.runner.stop, 'end of the test')
        self.runner.start()
        self.await_true(lambda: self.runner.is_ready)

    def await_true(self, condition):
        end = time.monotonic() + _LIMIT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.01)
        self.assertTrue(condition())

    def list_worker(self, worker_id, entry):
        name = RowName(table=_WORKERS, partition='', key=worker_id)
        _write(self.store, name, entry)

    def is_known(self, worker_id):
        return worker_id in self.runner.state.worker_by_id

    # Guards against an owner that ends at an entry with bytes, fields or
    # states that nobody expects.
    def test_owner_outlives_foreign_entries(self):
        contents = (b'\xff', b'[]', b'{}', _with(_ENTRY, b'"state":7'))
        for number, content in enumerate(contents):
            self.list_worker(f'foreign-{number}', content)
        self.list_worker('good', _ENTRY)
        self.await_true(lambda: self.is_known('good'))
        self.assertFalse(self.runner.is_stopped)

    # Guards against an owner that ends at a number that no float holds, as
    # does each of its successors.
    def test_owner_outlives_an_entry_with_a_number_beyond_every_bound(self):
        self.list_worker(
            'foreign', _with(_ENTRY, b'"room":{"cpu":%b}' % _LARGE)
        )
        self.list_worker('good', _ENTRY)
        self.await_true(lambda: self.is_known('good'))
        self.assertFalse(self.runner.is_stopped)


class MismatchedRowTest(unittest.TestCase):
    """Rows that can be read and do not fit the job that they are about."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.job_id = self.world.submit(build_single_step())
        self.act()

    def act(self):
        for _ in range(10):
            self.world.owners[-1].act()
            self.world.advance(0.1)

    def end(self):
        self.world.end_runs(EndKind.DONE)
        self.act()
        status = self.world.status(self.job_id)
        self.assertEqual(status, JobStatus.COMPLETE)

    def spoil(self, content):
        """Spoil the row of progress, and let another owner read it."""
        name = progress_row(0, self.job_id, 0)
        _write(self.world.store, name, content)
        self.world.take_over()
        self.act()

    # Guards against a job row whose step waits for one that is not there, at
    # which each owner ends.
    def test_owner_survives_a_job_row_with_an_unknown_step(self):
        job = self.world.accepted_job_by_id[self.job_id]
        steps = (replace(job.steps[0], after=(7,)),)
        record = JobRecord(job=replace(job, job_id=_JOB_ID, steps=steps))
        _write(self.world.store, job_row(0, _JOB_ID), encode_record(record))
        self.act()
        self.end()

    # Guards against a job that is shown as complete and has not run.
    def test_job_whose_progress_names_no_step_is_not_complete(self):
        record = ProgressRecord(job_id=self.job_id, occurrence=0, steps=())
        self.spoil(encode_record(record))
        status = self.world.status(self.job_id)
        self.assertNotEqual(status, JobStatus.COMPLETE)

    # Guards against a second run of a job that is done, because the row which
    # tells so cannot be read.
    def test_job_with_unreadable_progress_is_not_run_again(self):
        self.end()
        self.spoil(b'\xff')
        self.world.check()

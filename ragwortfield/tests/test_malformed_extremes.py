"""Story 5, single rows and bodies that are far out of bounds."""

import time
import unittest
from unittest import mock

import gevent

from ragwortfield.adapters.documents import Malformed
from ragwortfield.engine.calendar import Calendar
from ragwortfield.engine.cluster import Cluster, KnownOwner
from ragwortfield.engine.names import owner_row
from ragwortfield.engine.ownership import Identity, Ownership
from ragwortfield.engine.shard_commits import ShardCommits
from ragwortfield.engine.shard_rows import WorkerEntries
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.platform.advice import AdviceClient
from ragwortfield.platform.documents import (
    parse_catalogue,
    parse_job,
    parse_worker,
)
from ragwortfield.platform.stand_in import configuration_of, entry_of
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.scheduling.bounds import Bounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.records import (
    JobRecord,
    LayoutRecord,
    MemberRecord,
    OwnerRecord,
    ProgressRecord,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.testing.row_store import MemoryRowStore
from ragwortfield.testing.task_workers import FakeWorkers
from ragwortfield.tests.shard_world import ShardWorld

_JOB_ID = 'f' * 16
_WORKERS = 'servers'
_ENTRY = entry_of(ShardWorld().workers.worker_by_id['w0'], 'h:1', 'pool')
_CONFIGURATION = configuration_of(2, '/a/', 'pool')
#: Levels of a document that is nested far deeper than any reader descends.
_DEPTH = 50_000
_LARGE = b'1' + b'0' * 400
#: Longest wait for the greenlets of a test, in seconds.
_LIMIT_S = 5
#: Time after which a silent owner is certainly replaced, in seconds.
_SILENT_S = 60
_LOOKS = 3


def _with(document, field):
    return b'%b,%b}' % (document[:-1], field)


class _PacedStore(MemoryRowStore):
    """Feeds answer after a moment, so that the other greenlets run."""

    def follow(self, table, after, wait_s):
        gevent.sleep(0.01)
        return super().follow(table, after, wait_s)


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
            tables=ShardTables(
                epoch=1,
                owner_since=time.monotonic(),
                bounds=Bounds(),
                catalogue=Catalogue(version=1),
            ),
            commits=ShardCommits(
                shard=0,
                store=self.store,
                owner_version=version,
                sequence_version=version,
            ),
            store=self.store,
            workers=FakeWorkers(),
            approval_service=AdviceClient(address=''),
            entries=WorkerEntries(
                table=_WORKERS,
                parse=parse_worker,
                is_own=lambda _worker_id: True,
            ),
            calendar=Calendar(),
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
        name = RowName(table=_WORKERS, part='', key=worker_id)
        _write(self.store, name, entry)

    def is_known(self, worker_id):
        return worker_id in self.runner.tables.worker_by_id

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


class _Runner:
    """Runner of a shard that was taken; it does nothing."""

    is_stopped = False

    def trouble_s(self):
        return 0


class VacancyTest(unittest.TestCase):
    """A successor finds the owner's row spoilt."""

    def setUp(self):
        self.store = MemoryRowStore()
        self.cluster = Cluster(shards=1)
        self.cluster.member_by_id['own'] = MemberRecord(
            instance_id='own',
            incarnation='1',
            address='own:1',
            data_centre='dc',
            cores=1,
        )
        peers = mock.Mock()
        peers.call.return_value = Unavailable(reason='refused')
        self.ownership = Ownership(
            identity=Identity(
                instance_id='own',
                incarnation='1',
                address='own:1',
            ),
            cluster=self.cluster,
            store=self.store,
            peers=peers,
            lease_s=4,
            make_runner=lambda _tenure: _Runner(),
        )

    def look(self):
        """Look several times, after a silence of any length."""
        self.ownership._silent_since[0] = time.monotonic() - _SILENT_S
        for _ in range(_LOOKS):
            self.ownership._look(0, 0)
        return self.ownership.runner(0)

    def own(self, epoch=3):
        record = OwnerRecord(
            instance_id='other',
            incarnation='1',
            epoch=epoch,
            address='other:1',
        )
        return encode_record(record)

    # The plain case, against which the others stand.
    def test_shard_of_a_silent_owner_is_taken(self):
        version = _write(self.store, owner_row(0), self.own())
        self.cluster.owner_by_shard[0] = KnownOwner(
            record=decode_record(self.own(), OwnerRecord),
            version=version,
        )
        self.assertIsNotNone(self.look())

    # Guards against a shard that no instance that has just started takes.
    def test_shard_with_an_unreadable_owner_is_taken(self):
        _write(self.store, owner_row(0), b'\xff')
        self.assertIsNotNone(self.look())

    # Guards against a shard that none takes which knew the owner before.
    def test_shard_whose_owner_became_unreadable_is_taken(self):
        version = _write(self.store, owner_row(0), self.own())
        self.cluster.owner_by_shard[0] = KnownOwner(
            record=decode_record(self.own(), OwnerRecord),
            version=version,
        )
        _write(self.store, owner_row(0), b'\xff')
        self.assertIsNotNone(self.look())

    # Guards against a fencing token after which no other can be written.
    def test_shard_with_the_greatest_token_is_taken(self):
        _write(self.store, owner_row(0), self.own(epoch=2**64 - 1))
        self.assertIsNotNone(self.look())

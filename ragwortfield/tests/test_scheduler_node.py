"""Loops of an instance outlive unexpected errors."""

import time
import unittest
from unittest import mock

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.row_names import COMMON_PARTITION, layout_row
from ragwortfield.engine.ownership import SchedulerIdentity, OwnershipManager
from ragwortfield.engine.scheduler_node import PlatformTables, SchedulerNode
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.records import (
    LayoutRecord,
    OwnerRecord,
    encode_record,
)
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl

#: Longest wait for the greenlets of a test, in seconds.
_LIMIT_S = 8
_OPERATOR_TABLE = 'operator'
_CATALOGUE_ROW = RowName(
    table=_OPERATOR_TABLE,
    partition=COMMON_PARTITION,
    key='catalogue',
)


class _PacedStore(FakeRowStore):
    """Store that answers after a moment and whose commits may raise."""

    def __init__(self):
        super().__init__()
        self.failing_commits = 0

    def read(self, table, partition, **keys):
        self._pass_time()
        return super().read(table, partition, **keys)

    def wait_for_changes(self, table, after, wait_s):
        self._pass_time()
        return super().wait_for_changes(table, after, wait_s)

    def commit(self, transaction, timeout_s):
        self._pass_time()
        if self.failing_commits:
            self.failing_commits -= 1
            raise LookupError('a fault of the code')
        return super().commit(transaction, timeout_s)

    def _pass_time(self):
        gevent.sleep(0.02)


def _parse_catalogue(_content):
    return Catalogue(version=1)


def _raises_once(function):
    """The function, but its first call raises."""
    state = {'is_first': True}

    def call(*arguments, **options):
        if state.pop('is_first', False):
            raise LookupError('a fault of the code')
        return function(*arguments, **options)

    return call


class SchedulerNodeTest(unittest.TestCase):
    def setUp(self):
        self.spawned = []
        spawn = gevent.spawn
        patch = mock.patch.object(
            gevent,
            'spawn',
            lambda *work: self.note(spawn(*work)),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.store = _PacedStore()
        self.parse_catalogue = _parse_catalogue
        self.node = SchedulerNode(
            identity=SchedulerIdentity(
                instance_id='own',
                incarnation='1',
                address='own:1',
            ),
            data_centre='dc',
            cores=1,
            store=self.store,
            workers=FakeTaskWorkerControl(),
            approval_service=ApprovalServiceClient(address=''),
            table_names=PlatformTables(
                operator_table=_OPERATOR_TABLE,
                worker_table='workers',
                is_configuration_row=lambda _name: True,
                parse_catalogue=lambda content: self.parse_catalogue(content),
                parse_worker=lambda _id, _content: Malformed(reason='none'),
            ),
            bounds=TimingBounds(),
        )
        self.write(
            layout_row(),
            encode_record(LayoutRecord(shards=1, worker_limits=())),
        )
        self.write(_CATALOGUE_ROW, b'{}')
        self.addCleanup(self.end)

    def note(self, greenlet):
        self.spawned.append(greenlet)
        return greenlet

    def write(self, name, content):
        write = RowWrite(name=name, content=content)
        FakeRowStore.commit(self.store, Transaction(writes=(write,)), 1)

    def start(self):
        with mock.patch.object(self.node._peers, 'listen'):
            self.node.start()

    def end(self):
        for runner in self.node.ownership.runner_by_shard.values():
            runner.stop('end of the test')
        gevent.killall(self.spawned, timeout=_LIMIT_S)
        self.assertTrue(all(one.dead for one in self.spawned))

    def await_true(self, condition):
        end = time.monotonic() + _LIMIT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.02)
        self.assertTrue(condition())

    def owns_the_shard(self):
        return self.node.ownership.runner(0) is not None

    # Guards against a wall time that stands still after one failed look.
    def test_calendar_is_kept_after_an_error(self):
        failing = mock.Mock(side_effect=_raises_once(lambda: None))
        with mock.patch.object(WallClock, 'sample_offset', failing):
            self.start()
            self.await_true(lambda: failing.call_count > 1)

    # Guards against configurations that are no longer followed.
    def test_operator_is_followed_after_an_error(self):
        self.parse_catalogue = _raises_once(_parse_catalogue)
        self.start()
        self.await_true(lambda: self.node.catalogue() is not None)

    # Guards against an instance that knows neither owners nor members.
    def test_cluster_is_followed_after_an_error(self):
        failing = _raises_once(ClusterView.apply_rows)
        with mock.patch.object(ClusterView, 'apply_rows', failing):
            self.start()
            self.await_true(self.owns_the_shard)

    # Guards against an instance that runs and never takes part.
    def test_instance_takes_part_after_an_error_in_its_registration(self):
        self.store.failing_commits = 1
        self.start()
        self.await_true(self.owns_the_shard)

    # Guards against a division into shards that one error puts off for good.
    def test_division_is_awaited_after_an_error(self):
        failing = _raises_once(ClusterView.find_rank)
        with mock.patch.object(ClusterView, 'find_rank', failing):
            self.start()
            self.await_true(self.owns_the_shard)

    # Guards against a shard that this instance never watches again.
    def test_owner_is_watched_after_an_error(self):
        failing = _raises_once(OwnershipManager._check_owner)
        with mock.patch.object(OwnershipManager, '_check_owner', failing):
            self.start()
            self.await_true(self.owns_the_shard)

    # Guards against a vacancy that is left without a word.
    def test_vacancy_that_could_not_be_taken_is_told(self):
        ownership = self.node.ownership
        ownership.runner_by_shard[0] = mock.Mock(
            is_stopped=False,
            owner_version=lambda: 1,
        )
        self.node._cluster.owner_by_shard[0] = KnownOwner(
            record=OwnerRecord(instance_id='', incarnation='', epoch=1),
            version=2,
        )
        fault = mock.Mock(side_effect=LookupError('a fault of the code'))
        with capture_log_lines() as lines:
            with mock.patch.object(
                OwnershipManager, '_take_over_vacant_shard', fault
            ):
                ownership.handle_owner_change(0)
                self.await_true(lambda: fault.call_count > 0)
                gevent.sleep(0.05)
        told = [line for line in lines if 'a fault of the code' in line]
        self.assertEqual(len(told), 1, lines)

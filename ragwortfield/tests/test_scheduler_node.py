"""Loops of a scheduler instance continue after unexpected errors."""

import time
import unittest
from unittest import mock

import gevent

from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.ownership import (
    OwnershipManager,
    OwnershipTerm,
)
from ragwortfield.engine.ownership_keeper import OwnershipKeeper
from ragwortfield.engine.row_names import (
    COMMON_PARTITION,
    layout_row,
    owner_row,
)
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.ownership_confirmation import (
    OwnershipConfirmation,
)
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.records import (
    LayoutRecord,
    OwnerRecord,
    decode_record,
    encode_record,
)
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.scheduler_node_world import (
    build_scheduler_node,
    reject_worker,
)

#: Longest wait for the greenlets of a test, in seconds.
_TIMEOUT_S = 8
_OPERATOR_TABLE = 'operator'
_CATALOGUE_ROW = RowName(
    table=_OPERATOR_TABLE,
    partition=COMMON_PARTITION,
    key='catalogue',
)


class _YieldingStore(FakeRowStore):
    """Store that answers after a pause and can raise on commits."""

    def __init__(self):
        super().__init__()
        self.remaining_commit_failures = 0

    def read(self, table, partition, **keys):
        self._yield_to_others()
        return super().read(table, partition, **keys)

    def wait_for_changes(self, table, after, wait_s):
        self._yield_to_others()
        return super().wait_for_changes(table, after, wait_s)

    def commit(self, transaction, timeout_s):
        self._yield_to_others()
        if self.remaining_commit_failures:
            self.remaining_commit_failures -= 1
            raise LookupError('a fault of the code')
        return super().commit(transaction, timeout_s)

    def _yield_to_others(self):
        gevent.sleep(0.02)


def _parse_catalogue(_content):
    return Catalogue(version=1)


def _parse_worker(worker_id, content):
    if content.startswith(b'odd'):
        raise LookupError('a fault of the code')
    return ListedWorker(worker_id=worker_id, address='h:1')


def _raise_once(function):
    """Wrap a function so that its first call raises."""
    state = {'is_first': True}

    def call(*arguments, **options):
        if state.pop('is_first', False):
            raise LookupError('a fault of the code')
        return function(*arguments, **options)

    return call


class SchedulerNodeTest(unittest.TestCase):
    def setUp(self):
        self.greenlets = []
        spawn = gevent.spawn
        patch = mock.patch.object(
            gevent,
            'spawn',
            lambda *work: self.record_greenlet(spawn(*work)),
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.store = _YieldingStore()
        self.parse_catalogue = _parse_catalogue
        self.parse_worker = reject_worker
        self.node = build_scheduler_node(
            self.store,
            instance_id='own',
            operator_table=_OPERATOR_TABLE,
            is_configuration_row=lambda _name: True,
            find_evacuated_zone=lambda _name: '',
            parse_catalogue=lambda content: self.parse_catalogue(content),
            parse_worker=lambda worker_id, content: self.parse_worker(
                worker_id, content
            ),
        )
        self.write_row(
            layout_row(),
            encode_record(LayoutRecord(shards=1, worker_limits=())),
        )
        self.write_row(_CATALOGUE_ROW, b'{}')
        self.addCleanup(self.stop_all)

    def record_greenlet(self, greenlet):
        self.greenlets.append(greenlet)
        return greenlet

    def write_row(self, name, content):
        write = RowWrite(name=name, content=content)
        FakeRowStore.commit(self.store, Transaction(writes=(write,)), 1)

    def start(self):
        with mock.patch.object(self.node._peers, 'listen'):
            self.node.start()

    def stop_all(self):
        for runner in self.node.ownership.runner_by_shard.values():
            runner.stop('end of the test')
        gevent.killall(self.greenlets, timeout=_TIMEOUT_S)
        self.assertTrue(all(one.dead for one in self.greenlets))

    def await_true(self, condition):
        end = time.monotonic() + _TIMEOUT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.02)
        self.assertTrue(condition())

    def is_shard_owned(self):
        return self.node.ownership.runner(0) is not None

    # Guards against two runs of one task: the machine is suspended while the
    # takeover is under way, and when it goes on, another one owns the shard.
    def test_takeover_from_before_a_suspension_confirms_nothing(self):
        suspended_s = [0]
        read_clock = time.clock_gettime
        commit = self.store.commit

        def commit_and_suspend(transaction, timeout_s):
            outcome = commit(transaction, timeout_s)
            if any(write.name == owner_row(0) for write in transaction.writes):
                suspended_s[0] = 60
            return outcome

        self.store.commit = commit_and_suspend
        with (
            mock.patch.object(
                time,
                'clock_gettime',
                lambda clock: read_clock(clock) + suspended_s[0],
            ),
            mock.patch.object(
                OwnershipKeeper, 'run', lambda _: gevent.sleep(9)
            ),
        ):
            self.start()
            self.await_true(self.is_shard_owned)
            runner = self.node.ownership.runner(0)
            self.await_true(lambda: runner.is_ready and runner._last_round_at)
            self.assertEqual(suspended_s, [60])
            self.assertFalse(
                runner.state.confirmation.is_valid(
                    runner.state.bounds, time.monotonic()
                )
            )
            runner._keeper.check_age()
            self.assertTrue(
                runner.state.confirmation.is_valid(
                    runner.state.bounds, time.monotonic()
                )
            )

    # Guards against an owner whose connections to workers are closed at the end
    # of a former owner in the same process.
    def test_each_owner_has_connections_of_its_own(self):
        made = []

        def make_workers():
            made.append(mock.Mock(spec=FakeTaskWorkerControl))
            return made[-1]

        self.node._make_workers = make_workers
        self.start()
        self.await_true(self.is_shard_owned)
        self.node.ownership.runner(0).stop('part of the test')
        self.await_true(self.is_shard_owned)
        first, second = made
        first.close.assert_called_once_with()
        second.close.assert_not_called()

    # Guards against a wall clock that is no longer updated after one error.
    def test_wall_clock_is_updated_after_an_error(self):
        raising = mock.Mock(side_effect=_raise_once(lambda: None))
        with mock.patch.object(WallClock, 'sample_offset', raising):
            self.start()
            self.await_true(lambda: raising.call_count > 1)

    # Guards against an instance that misses new configurations after one
    # error.
    def test_configuration_is_followed_after_an_error(self):
        self.parse_catalogue = _raise_once(_parse_catalogue)
        self.start()
        self.await_true(lambda: self.node.catalogue() is not None)

    # Guards against an instance that knows neither owners nor members after one
    # error in its cluster view.
    def test_cluster_view_is_updated_after_an_error(self):
        raising = _raise_once(ClusterView.apply_rows)
        with mock.patch.object(ClusterView, 'apply_rows', raising):
            self.start()
            self.await_true(self.is_shard_owned)

    # Guards against an instance that runs but never becomes a member: its
    # registration raised.
    def test_instance_joins_after_an_error_in_its_registration(self):
        self.store.remaining_commit_failures = 1
        self.start()
        self.await_true(self.is_shard_owned)

    # Guards against a deployment that is never divided into shards after one
    # error.
    def test_layout_is_awaited_after_an_error(self):
        raising = _raise_once(ClusterView.find_rank)
        with mock.patch.object(ClusterView, 'find_rank', raising):
            self.start()
            self.await_true(self.is_shard_owned)

    # Guards against a deployment that is divided into far more shards than its
    # workers need, for good: the entries of another writer counted as workers.
    def test_entries_that_name_no_worker_are_not_counted_for_the_layout(self):
        self.store.row_by_name.pop(layout_row())
        self.parse_worker = _parse_worker
        names = [
            *(f'odd-{number}' for number in range(900)),
            *(f'worker-{number}' for number in range(16)),
        ]
        for key in names:
            name = RowName(table='workers', partition='', key=key)
            self.write_row(name, key.encode())
        self.start()
        self.await_true(lambda: self.store.row_by_name.get(layout_row()))
        content = self.store.row_by_name[layout_row()].content
        self.assertEqual(decode_record(content, LayoutRecord).shards, 1)

    # Guards against a shard that has no owner: after one error the instance
    # never polls its owner again.
    def test_owner_is_polled_after_an_error(self):
        raising = _raise_once(OwnershipManager._check_owner)
        with mock.patch.object(OwnershipManager, '_check_owner', raising):
            self.start()
            self.await_true(self.is_shard_owned)

    # Guards against a vacant shard that is not taken over without any log line.
    def test_failed_takeover_of_a_vacant_shard_is_logged(self):
        ownership = self.node.ownership
        ownership.runner_by_shard[0] = mock.Mock(
            is_stopped=False,
            owner_version=lambda: 1,
        )
        self.node._cluster.owner_by_shard[0] = KnownOwner(
            record=OwnerRecord(instance_id='', incarnation='', epoch=1),
            version=2,
        )
        raising_takeover = mock.Mock(
            side_effect=LookupError('a fault of the code')
        )
        with capture_log_lines() as lines:
            with mock.patch.object(
                OwnershipManager, '_take_over_vacant_shard', raising_takeover
            ):
                ownership.handle_owner_change(0)
                self.await_true(lambda: raising_takeover.call_count > 0)
                gevent.sleep(0.05)
        logged = [line for line in lines if 'a fault of the code' in line]
        self.assertEqual(len(logged), 1, lines)

    # Guards against an owner whose log does not tell which one it has replaced.
    def test_state_of_an_owner_tells_the_one_before(self):
        former = OwnerRecord(
            instance_id='', incarnation='', epoch=6, departed_id='other'
        )
        runner = self.node._make_runner(
            OwnershipTerm(
                shard=0,
                epoch=7,
                confirmation=OwnershipConfirmation(stored_at=1),
                version=1,
                previous_lease_s=4,
                is_process_bound=True,
                former=former,
            )
        )
        self.assertEqual(runner.state.former_id, 'other')
        self.assertEqual(runner.state.former_epoch, 6)

    # Guards against counters that start again with each term of an owner: those
    # of all its terms are one, and they are exported.
    def test_counts_about_owners_are_exported(self):
        self.start()
        self.await_true(self.is_shard_owned)
        counts = self.node.ownership.runner(0).state.counts
        self.assertIs(counts, self.node._cluster.counts)
        counts.count_lapse(has_reported=True)
        counts.count_lapse(has_reported=False)
        counts.count_lapse(has_reported=False)
        counts.fenced_orders += 3
        counts.second_runs += 6
        counts.seen_changes += 4
        self.node.job_requests.unowned_statuses.count = 5
        self.node.refresh_metrics()
        text = self.node.metrics.render()[0].decode()
        for line in (
            'ragwortfield_lapsed_leases_total{has_reported="true"} 1',
            'ragwortfield_lapsed_leases_total{has_reported="false"} 2',
            'ragwortfield_fenced_orders_total 3',
            'ragwortfield_second_runs_total 6',
            'ragwortfield_owner_changes_total{kind="seen"} 4',
            'ragwortfield_owner_changes_total{kind="taken_over"} 1',
            'ragwortfield_unowned_statuses_total 5',
        ):
            self.assertIn(line, text)

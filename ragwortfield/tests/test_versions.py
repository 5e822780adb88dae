"""Configurations are followed forwards only, and jobs keep their terms."""

import time
import unittest
from dataclasses import replace

import gevent
import msgspec

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_names import COMMON_PARTITION
from ragwortfield.engine.ownership import SchedulerIdentity
from ragwortfield.engine.scheduler_node import PlatformTables, SchedulerNode
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.platform.document_parsing import parse_catalogue
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.tests.shard_world import (
    CATALOGUE,
    ShardWorld,
    build_single_step,
)

#: Longest wait for the greenlets of a test, in seconds.
_LIMIT_S = 5
_OPERATOR_TABLE = 'operator'
_ROW = RowName(table=_OPERATOR_TABLE, partition=COMMON_PARTITION, key='config')


class _PacedStore(FakeRowStore):
    """Store whose answers let other greenlets run; counts whole reads."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    def read(self, table, partition, **keys):
        gevent.sleep(0.001)
        self.reads += 1
        return super().read(table, partition, **keys)

    def wait_for_changes(self, table, after, wait_s):
        gevent.sleep(0.001)
        return super().wait_for_changes(table, after, wait_s)


def _document(version, pool):
    """Configuration as the operator writes it."""
    return msgspec.json.encode(
        {
            'version': version,
            'routes': [
                {
                    'name': 'queue',
                    'host': 'host',
                    'path_prefix': '/q/',
                    'service': pool,
                },
            ],
        },
    )


def _configuration(version, pool):
    return parse_catalogue(_document(version, pool))


class NodeTest(unittest.TestCase):
    """Pattern: the operator's row is read late, twice, or out of order."""

    def setUp(self):
        self.store = _PacedStore()
        self.node = SchedulerNode(
            identity=SchedulerIdentity(
                instance_id='i', incarnation='1', address='i:1'
            ),
            data_centre='dc',
            cores=1,
            store=self.store,
            workers=FakeTaskWorkerControl(),
            approval_service=ApprovalServiceClient(address=''),
            table_names=PlatformTables(
                operator_table=_OPERATOR_TABLE,
                worker_table='workers',
                is_configuration_row=lambda name: name == _ROW,
                parse_catalogue=parse_catalogue,
                parse_worker=lambda _id, _content: Malformed(reason='none'),
            ),
            bounds=TimingBounds(),
        )
        self.write(5, 'fifth')
        following = gevent.spawn(self.node._follow_operator)
        self.addCleanup(following.kill)
        self.await_true(lambda: self.node.catalogue() is not None)

    def write(self, version, pool):
        write = RowWrite(name=_ROW, content=_document(version, pool))
        self.store.commit(Transaction(writes=(write,)), 1)

    def await_true(self, condition):
        end = time.monotonic() + _LIMIT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.005)
        self.assertTrue(condition())

    def pool(self):
        return self.node.catalogue().queue_by_name['queue'].pool

    def drop_history(self):
        """Let the feed read the table anew."""
        reads = self.store.reads
        self.store.history_start_version = self.store.version + 1
        self.await_true(lambda: self.store.reads > reads)
        self.store.history_start_version = 0
        gevent.sleep(0.05)

    # Guards against an instance that stays at its first configuration.
    def test_newer_version_is_taken(self):
        self.write(9, 'ninth')
        self.await_true(lambda: self.pool() == 'ninth')

    # Guards against CONFIG: an older version that the feed brings late.
    def test_older_version_from_the_feed_is_not_taken(self):
        self.write(4, 'fourth')
        gevent.sleep(0.05)
        self.assertEqual(self.pool(), 'fifth')

    # Guards against CONFIG: another text under the version in force.
    def test_equal_version_from_the_feed_is_not_taken(self):
        self.write(5, 'another')
        gevent.sleep(0.05)
        self.assertEqual(self.pool(), 'fifth')

    # Guards against CONFIG: a table read anew that shows an older version.
    def test_older_version_of_a_table_read_anew_is_not_taken(self):
        for version in (4, 5):
            with self.subTest(version=version):
                self.write(version, 'stale')
                self.drop_history()
                self.assertEqual(self.pool(), 'fifth')

    # Guards against a version that is missed while the history was gone.
    def test_newer_version_of_a_table_read_anew_is_taken(self):
        self.store.history_start_version = self.store.version + 2
        self.write(6, 'sixth')
        self.store.history_start_version = self.store.version + 1
        self.await_true(lambda: self.store.reads > 1)
        self.store.history_start_version = 0
        self.await_true(lambda: self.pool() == 'sixth')

    # Guards against a document without a meaning that replaces the one known.
    def test_unreadable_version_leaves_the_one_in_force(self):
        write = RowWrite(name=_ROW, content=b'{"version": 7, "routes": 1}')
        self.store.commit(Transaction(writes=(write,)), 1)
        gevent.sleep(0.05)
        self.assertEqual(self.pool(), 'fifth')

    # Guards against an owner whose tables stay behind its instance.
    def test_tables_of_a_new_owner_have_the_version_in_force(self):
        state = self.node._make_shard_state(1)
        self.assertEqual(state.catalogue.version, 5)


class OwnerTest(unittest.TestCase):
    """Pattern: the operator changes queues while their jobs wait or run."""

    def setUp(self):
        self.world = ShardWorld(workers=1)
        self.world.add_worker(1, pool='other')
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.act()

    def act(self, rounds=4):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
        self.world.check()

    def set_catalogue(self, version, **terms):
        """Put a version in force in which the queue has other terms."""
        queue = replace(CATALOGUE.queue_by_name['queue'], **terms)
        self.world.catalogue = replace(
            CATALOGUE,
            version=version,
            queue_by_name={'queue': queue},
        )

    def drop_queue(self):
        self.world.catalogue = Catalogue(version=2)

    def runs(self, worker_id):
        return list(self.world.workers.worker_by_id[worker_id].run_by_key)

    # Guards against CONFIG in an owner's tables, whose runner takes versions
    # from its instance and from its own start.
    def test_older_and_equal_versions_are_not_taken(self):
        state = self.owner.state
        job_id = self.world.submit(build_single_step())
        self.set_catalogue(7, pool='other')
        self.act()
        row = state.job_by_id[job_id]
        for version in (6, 7):
            with self.subTest(version=version):
                shard_updates.update_catalogue(
                    state, _configuration(version, 'pool')
                )
                self.assertEqual(state.catalogue, self.world.catalogue)
                self.assertEqual(row.queue.pool, 'other')

    # Guards against ROUTE and LOST: jobs that wait for the old pool for ever.
    def test_new_pool_of_a_queue_is_followed_by_jobs_that_wait(self):
        first = self.world.submit(build_single_step(cpu=4))
        self.act()
        waiting = self.world.submit(build_single_step(cpu=4))
        self.act()
        self.assertEqual(self.runs('w1'), [])
        self.set_catalogue(2, pool='other')
        self.act()
        self.assertEqual([key.job_id for key in self.runs('w0')], [first])
        self.assertEqual([key.job_id for key in self.runs('w1')], [waiting])

    # Guards against a job that fails after the number of an older version.
    def test_new_attempts_of_a_queue_are_followed(self):
        job_id = self.world.submit(build_single_step())
        self.act()
        self.set_catalogue(2, attempts=1)
        self.act()
        self.world.end_runs(EndKind.FAILED)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.FAILED)

    # Guards against LOST: a dropped queue takes its accepted jobs with it.
    def test_job_of_a_dropped_queue_keeps_its_terms(self):
        job_id = self.world.submit(build_single_step())
        self.act(rounds=1)
        self.drop_queue()
        self.act()
        row = self.owner.state.job_by_id[job_id]
        self.assertEqual(row.queue, CATALOGUE.queue_by_name['queue'])
        self.act()
        self.world.end_runs(EndKind.FAILED)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.world.run_to_completion(rounds=10)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against LOST: only the owner before knew the pool of the queue.
    def test_job_of_a_dropped_queue_runs_under_the_next_owner(self):
        job_id = self.world.submit(build_single_step())
        self.act(rounds=1)
        self.drop_queue()
        self.act()
        self.world.take_over()
        self.act()
        self.world.end_runs(EndKind.FAILED)
        self.act()
        self.assertNotEqual(self.world.status(job_id), JobStatus.FAILED)
        self.world.run_to_completion(rounds=20)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a queue that is back while its jobs keep their old terms.
    def test_job_follows_its_queue_when_that_is_back(self):
        job_id = self.world.submit(build_single_step())
        self.drop_queue()
        self.act()
        self.world.take_over()
        self.act()
        self.set_catalogue(3)
        self.world.run_to_completion(rounds=20)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

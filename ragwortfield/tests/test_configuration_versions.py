"""Only newer configurations are applied, and jobs keep their settings."""

import time
import unittest
from dataclasses import replace

import gevent
import msgspec

from ragwortfield.engine.row_names import COMMON_PARTITION
from ragwortfield.platform.document_parsing import parse_catalogue
from ragwortfield.platform.table_names import find_evacuated_zone
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.scheduler_node_world import build_scheduler_node
from ragwortfield.tests.shard_world import (
    CATALOGUE,
    ShardWorld,
    build_single_step,
)

#: Longest wait for the greenlets of a test, in seconds.
_TIMEOUT_S = 5
_OPERATOR_TABLE = 'operator'
_CONFIGURATION_ROW = RowName(
    table=_OPERATOR_TABLE, partition=COMMON_PARTITION, key='config'
)


class _YieldingStore(FakeRowStore):
    """Store that lets other greenlets run and counts full reads."""

    def __init__(self):
        super().__init__()
        self.read_count = 0

    def read(self, table, partition, **keys):
        gevent.sleep(0.001)
        self.read_count += 1
        return super().read(table, partition, **keys)

    def wait_for_changes(self, table, after, wait_s):
        gevent.sleep(0.001)
        return super().wait_for_changes(table, after, wait_s)


def _encode_configuration(version, pool):
    """Encode a configuration as the operator writes it."""
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


def _parse_configuration(version, pool):
    return parse_catalogue(_encode_configuration(version, pool))


class NodeCatalogueTest(unittest.TestCase):
    """An instance reads the operator's row late, twice, or out of order."""

    def setUp(self):
        self.store = _YieldingStore()
        self.node = build_scheduler_node(
            self.store,
            operator_table=_OPERATOR_TABLE,
            is_configuration_row=lambda name: name == _CONFIGURATION_ROW,
            find_evacuated_zone=find_evacuated_zone,
            parse_catalogue=parse_catalogue,
        )
        self.write_configuration(5, 'fifth')
        follower = gevent.spawn(self.node._follow_operator)
        self.addCleanup(follower.kill)
        self.await_true(lambda: self.node.catalogue() is not None)

    def write_configuration(self, version, pool):
        write = RowWrite(
            name=_CONFIGURATION_ROW,
            content=_encode_configuration(version, pool),
        )
        self.store.commit(Transaction(writes=(write,)), 1)

    def await_true(self, condition):
        end = time.monotonic() + _TIMEOUT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.005)
        self.assertTrue(condition())

    def find_pool(self):
        return self.node.catalogue().queue_by_name['queue'].pool

    def force_full_read(self):
        """Drop the history so that the feed has to read the whole table."""
        read_count = self.store.read_count
        self.store.history_start_version = self.store.version + 1
        self.await_true(lambda: self.store.read_count > read_count)
        self.store.history_start_version = 0
        gevent.sleep(0.05)

    # Guards against an instance that keeps its first configuration.
    def test_newer_version_is_applied(self):
        self.write_configuration(9, 'ninth')
        self.await_true(lambda: self.find_pool() == 'ninth')

    # Guards against a stale configuration: the feed delivers an older version
    # late.
    def test_older_version_from_the_feed_is_not_applied(self):
        self.write_configuration(4, 'fourth')
        gevent.sleep(0.05)
        self.assertEqual(self.find_pool(), 'fifth')

    # Guards against instances with different configurations: the feed delivers
    # another content under the current version number.
    def test_equal_version_from_the_feed_is_not_applied(self):
        self.write_configuration(5, 'another')
        gevent.sleep(0.05)
        self.assertEqual(self.find_pool(), 'fifth')

    # Guards against a stale configuration: a full read of the table returns an
    # older version.
    def test_older_version_from_a_full_read_is_not_applied(self):
        for version in (4, 5):
            with self.subTest(version=version):
                self.write_configuration(version, 'stale')
                self.force_full_read()
                self.assertEqual(self.find_pool(), 'fifth')

    # Guards against a missed version: it was written in the part of the history
    # that the store has dropped.
    def test_newer_version_from_a_full_read_is_applied(self):
        self.store.history_start_version = self.store.version + 2
        self.write_configuration(6, 'sixth')
        self.store.history_start_version = self.store.version + 1
        self.await_true(lambda: self.store.read_count > 1)
        self.store.history_start_version = 0
        self.await_true(lambda: self.find_pool() == 'sixth')

    # Guards against an unreadable configuration that replaces the current one.
    def test_unreadable_version_leaves_the_current_one(self):
        write = RowWrite(
            name=_CONFIGURATION_ROW, content=b'{"version": 7, "routes": 1}'
        )
        self.store.commit(Transaction(writes=(write,)), 1)
        gevent.sleep(0.05)
        self.assertEqual(self.find_pool(), 'fifth')

    # Guards against a new owner whose state has an older configuration than
    # its instance.
    def test_state_of_a_new_owner_has_the_current_version(self):
        state = self.node._make_shard_state(1)
        self.assertEqual(state.catalogue.version, 5)


class OwnerCatalogueTest(unittest.TestCase):
    """The operator changes queues while their jobs wait or run."""

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

    def set_catalogue(self, version, **changes):
        """Set a version of the catalogue with changes to the queue."""
        queue = replace(CATALOGUE.queue_by_name['queue'], **changes)
        self.world.catalogue = replace(
            CATALOGUE,
            version=version,
            queue_by_name={'queue': queue},
        )

    def remove_queue(self):
        self.world.catalogue = Catalogue(version=2)

    def list_runs(self, worker_id):
        return list(self.world.workers.worker_by_id[worker_id].run_by_key)

    # Guards against a stale configuration in the state of a shard: its runner
    # gets versions from its instance and from its own start.
    def test_older_and_equal_versions_are_not_applied(self):
        state = self.owner.state
        job_id = self.world.submit(build_single_step())
        self.set_catalogue(7, pool='other')
        self.act()
        job_state = state.job_by_id[job_id]
        for version in (6, 7):
            with self.subTest(version=version):
                shard_updates.update_catalogue(
                    state, _parse_configuration(version, 'pool')
                )
                self.assertEqual(state.catalogue, self.world.catalogue)
                self.assertEqual(job_state.queue.pool, 'other')

    # Guards against jobs that run on the wrong pool or never run: they keep
    # waiting for the previous pool of their queue.
    def test_waiting_jobs_follow_a_new_pool_of_their_queue(self):
        running_job_id = self.world.submit(build_single_step(cpu=4))
        self.act()
        waiting_job_id = self.world.submit(build_single_step(cpu=4))
        self.act()
        self.assertEqual(self.list_runs('w1'), [])
        self.set_catalogue(2, pool='other')
        self.act()
        self.assertEqual(
            [key.job_id for key in self.list_runs('w0')], [running_job_id]
        )
        self.assertEqual(
            [key.job_id for key in self.list_runs('w1')], [waiting_job_id]
        )

    # Guards against a job that fails only after the number of attempts in an
    # older version.
    def test_new_attempt_limit_of_a_queue_is_applied(self):
        job_id = self.world.submit(build_single_step())
        self.act()
        self.set_catalogue(2, attempts=1)
        self.act()
        self.world.end_runs(EndKind.FAILED)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.FAILED)

    # Guards against an accepted job that is lost when its queue is removed.
    def test_job_of_a_removed_queue_keeps_its_settings(self):
        job_id = self.world.submit(build_single_step())
        self.act(rounds=1)
        self.remove_queue()
        self.act()
        job_state = self.owner.state.job_by_id[job_id]
        self.assertEqual(job_state.queue, CATALOGUE.queue_by_name['queue'])
        self.act()
        self.world.end_runs(EndKind.FAILED)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.world.run_to_completion(rounds=10)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against an accepted job that is lost at a takeover: only the
    # previous owner knew the pool of its removed queue.
    def test_job_of_a_removed_queue_runs_under_the_next_owner(self):
        job_id = self.world.submit(build_single_step())
        self.act(rounds=1)
        self.remove_queue()
        self.act()
        self.world.take_over()
        self.act()
        self.world.end_runs(EndKind.FAILED)
        self.act()
        self.assertNotEqual(self.world.status(job_id), JobStatus.FAILED)
        self.world.run_to_completion(rounds=20)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against jobs that never run because they ignore that their removed
    # queue exists again.
    def test_job_follows_its_queue_when_it_is_restored(self):
        job_id = self.world.submit(build_single_step())
        self.remove_queue()
        self.act()
        self.world.take_over()
        self.act()
        self.set_catalogue(3)
        self.world.run_to_completion(rounds=20)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

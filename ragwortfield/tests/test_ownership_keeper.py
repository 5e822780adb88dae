"""Confirmation of an owner by the store."""

import unittest
from unittest import mock

import gevent

from ragwortfield.engine import ownership_keeper
from ragwortfield.engine.ownership_keeper import OwnershipKeeper
from ragwortfield.engine.row_names import owner_row
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.shard_world import CATALOGUE, SHARD

_INTERVAL_S = 0.01


class OwnershipKeeperTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeRowStore()
        self.state = ShardState(
            epoch=1, owner_since=0, bounds=TimingBounds(), catalogue=CATALOGUE
        )
        self.on_replaced = mock.Mock()
        self.keeper = OwnershipKeeper(
            shard=SHARD,
            state=self.state,
            store=self.store,
            owner_version=self.write_owner_row(),
            on_replaced=self.on_replaced,
        )
        interval = mock.patch.object(
            ownership_keeper, '_CHECK_INTERVAL_S', _INTERVAL_S
        )
        interval.start()
        self.addCleanup(interval.stop)
        self.loop = gevent.spawn(self.keeper.run)
        self.addCleanup(self.loop.kill)

    def write_owner_row(self):
        write = RowWrite(name=owner_row(SHARD), content=b'owner')
        return self.store.commit(Transaction(writes=(write,)), 1).version

    def test_unchanged_row_confirms_the_owner(self):
        gevent.sleep(20 * _INTERVAL_S)
        self.assertGreater(self.state.confirmation.stored_at, 0)
        self.on_replaced.assert_not_called()

    # Guards against calls to the store that never end: an owner that finds its
    # replacement by itself goes on reading the row.
    def test_replaced_owner_reads_its_row_no_more(self):
        self.write_owner_row()
        self.loop.join(timeout=100 * _INTERVAL_S)
        self.assertTrue(self.loop.dead)
        self.on_replaced.assert_called_once()

"""Story 5, owners' rows: none that cannot be read leaves a shard alone."""

import time
import unittest
from dataclasses import replace
from unittest import mock

from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.row_names import owner_row
from ragwortfield.engine.ownership import SchedulerIdentity, OwnershipManager
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowWrite, StoredRow, Transaction
from ragwortfield.scheduling.records import (
    MemberRecord,
    OwnerRecord,
    decode_record,
    encode_record,
)
from ragwortfield.testing.fake_row_store import FakeRowStore

#: Time after which a silent owner is certainly replaced, in seconds.
_SILENT_S = 60
_LOOKS = 3


def _write(store, name, content):
    write = RowWrite(name=name, content=content)
    return store.commit(Transaction(writes=(write,)), 1).version


class _Runner:
    """Runner of a shard that was taken; it does nothing."""

    is_stopped = False

    def start(self):
        self.is_started = True

    def store_outage_s(self):
        return 0


class UnreadableOwnerTest(unittest.TestCase):
    """A successor finds the owner's row spoilt."""

    def setUp(self):
        self.store = FakeRowStore()
        self.cluster = ClusterView(shards=1)
        self.cluster.member_by_id['own'] = MemberRecord(
            instance_id='own',
            incarnation='1',
            address='own:1',
            data_centre='dc',
            cores=1,
        )
        peers = mock.Mock()
        peers.call.return_value = Unavailable(reason='refused')
        self.ownership = OwnershipManager(
            identity=SchedulerIdentity(
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
        self.ownership._failing_since[0] = time.monotonic() - _SILENT_S
        for _ in range(_LOOKS):
            self.ownership._check_owner(0, 0)
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
    def test_shard_with_an_unreadable_owner_is_taken_over(self):
        _write(self.store, owner_row(0), b'\xff')
        self.assertIsNotNone(self.look())

    # Guards against a shard that none takes which knew the owner before.
    def test_shard_whose_owner_became_unreadable_is_taken_over(self):
        version = _write(self.store, owner_row(0), self.own())
        self.cluster.owner_by_shard[0] = KnownOwner(
            record=decode_record(self.own(), OwnerRecord),
            version=version,
        )
        _write(self.store, owner_row(0), b'\xff')
        self.assertIsNotNone(self.look())

    # Guards against an instance that follows the cluster no longer after a row
    # with the owner's key in the part that belongs to no shard.
    def test_owner_row_without_a_shard_hides_no_owner(self):
        stray = replace(owner_row(0), partition='')
        rows = (
            StoredRow(name=stray, version=1, content=self.own()),
            StoredRow(name=owner_row(0), version=2, content=self.own()),
        )
        self.cluster.apply_rows(rows)
        self.assertEqual(self.cluster.owner_by_shard[0].version, 2)

    # Guards against a fencing token after which no other can be written.
    def test_shard_with_the_highest_fencing_token_is_taken_over(self):
        _write(self.store, owner_row(0), self.own(epoch=2**64 - 1))
        self.assertIsNotNone(self.look())

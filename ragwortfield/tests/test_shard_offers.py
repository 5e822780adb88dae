"""An owner that does not reach the store offers its shard to other members."""

import unittest
from unittest import mock

from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.ownership import OwnershipManager, SchedulerIdentity
from ragwortfield.scheduling.records import MemberRecord
from ragwortfield.testing.fake_row_store import FakeRowStore

#: Outage after which an owner offers its shard, in seconds.
_OUTAGE_S = 1


def _build_member(instance_id):
    return MemberRecord(
        instance_id=instance_id,
        incarnation='1',
        address=f'{instance_id}:1',
        data_centre='dc',
        cores=1,
    )


class OfferTest(unittest.TestCase):
    def setUp(self):
        self.runner = mock.Mock(is_stopped=False)
        self.runner.store_outage_s.return_value = _OUTAGE_S
        self.peers = mock.Mock()
        self.peers.is_unreachable.return_value = False
        member_by_id = {
            instance_id: _build_member(instance_id)
            for instance_id in ('own', 'other', 'third')
        }
        self.ownership = OwnershipManager(
            identity=SchedulerIdentity(
                instance_id='own', incarnation='1', address='own:1'
            ),
            cluster=ClusterView(shards=1, member_by_id=member_by_id),
            store=FakeRowStore(),
            peers=self.peers,
            lease_s=4,
            make_runner=mock.Mock(),
        )
        self.ownership.runner_by_shard[0] = self.runner

    def offer(self, *, is_taken, is_store_back=False):
        """Let the owner offer its shard; return how many were asked."""

        def answer(*_call):
            if is_store_back:
                self.runner.store_outage_s.return_value = 0
            return {'taken': is_taken}

        self.peers.call.side_effect = answer
        self.ownership._check_owner(0)
        return self.peers.call.call_count

    # Guards against a replaced owner that goes on with its orders although it
    # was told of its successor: the store was back before the answer.
    def test_owner_stops_once_its_shard_is_taken(self):
        self.offer(is_taken=True, is_store_back=True)
        self.runner.stop.assert_called_once()

    def test_owner_goes_on_if_its_shard_is_not_taken(self):
        self.assertEqual(self.offer(is_taken=False), 2)
        self.runner.stop.assert_not_called()

    def test_owner_that_reaches_the_store_again_asks_no_other(self):
        self.assertEqual(self.offer(is_taken=False, is_store_back=True), 1)
        self.runner.stop.assert_not_called()

    # Guards against a shard without an owner: the owner stops because a member
    # calls it taken, which has not noticed that this owner had replaced it.
    def test_replaced_owner_does_not_call_an_offered_shard_taken(self):
        self.runner.owner_version.return_value = 3
        answer = self.ownership.answer_shard_offer({'shard': 0, 'version': 7})
        self.assertFalse(answer['taken'])

    def test_repeated_offer_of_a_taken_shard_is_answered_alike(self):
        self.runner.owner_version.return_value = 8
        answer = self.ownership.answer_shard_offer({'shard': 0, 'version': 7})
        self.assertTrue(answer['taken'])

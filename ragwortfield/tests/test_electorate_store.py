"""Record of the workers that confirm an owner while the store is away."""

import unittest
from unittest import mock

from ragwortfield.engine.electorate_store import ElectorateStore
from ragwortfield.engine.row_names import electorate_row, owner_row
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.shard_world import CATALOGUE, SHARD

_BOUNDS = TimingBounds()
#: Time after a takeover from which on earlier owners cannot act any more.
_LATER = 100 + _BOUNDS.unaware_s + 0.1


class ElectorateStoreTest(unittest.TestCase):
    def setUp(self):
        self.lost_answers = []
        self.delayed = []
        self.store = FakeRowStore(
            is_answer_lost=lambda: bool(
                self.lost_answers and self.lost_answers.pop()
            ),
            is_commit_delayed=lambda: bool(self.delayed and self.delayed.pop()),
        )
        self.replace_owner(1)
        self.report('w0', 10)
        self.report('w1', 11)

    def replace_owner(self, epoch):
        owner = self.take_over(epoch)
        self.state = owner[0]
        self.electorate_store = owner[1]

    def take_over(self, epoch):
        outcome = self.store.commit(
            Transaction(
                writes=(RowWrite(name=owner_row(SHARD), content=b'row'),)
            ),
            1,
        )
        state = ShardState(
            epoch=epoch, owner_since=100, bounds=_BOUNDS, catalogue=CATALOGUE
        )
        electorate_store = ElectorateStore(
            shard=SHARD, store=self.store, owner_version=outcome.version
        )
        self.assertIsNone(electorate_store.load(state))
        return state, electorate_store

    def report(self, worker_id, born_ms):
        shard_updates.update_worker(
            self.state, ListedWorker(worker_id=worker_id)
        )
        worker = self.state.worker_by_id[worker_id]
        worker.first_reported_at = 100
        worker.born_ms = born_ms

    def save(self, now=_LATER):
        self.electorate_store.save_if_changed(self.state, now)
        return self.state.confirmation.electorates

    def test_successor_reads_the_workers_that_have_reported(self):
        self.assertEqual(self.save(), ({'w0': 10, 'w1': 11},))
        successor, _ = self.take_over(2)
        former = successor.former_electorate
        self.assertEqual(former.epoch, 1)
        self.assertEqual(former.electorate, {'w0': 10, 'w1': 11})
        self.assertIsNone(former.fenced_at)

    def test_unchanged_electorate_is_not_written_again(self):
        self.save()
        commits = self.store.commits
        self.save()
        self.assertEqual(self.store.commits, commits)
        self.report('w1', 12)
        self.assertEqual(self.save(), ({'w0': 10, 'w1': 12},))

    # Guards against two runs of one task: owners change in quick succession,
    # and the last one fences only workers of the one before it.
    def test_record_of_an_owner_that_may_act_is_kept(self):
        self.save()
        self.replace_owner(2)
        self.report('w5', 50)
        self.assertEqual(self.save(), ())
        self.assertEqual(
            self.take_over(3)[0].former_electorate.electorate,
            {'w0': 10, 'w1': 11},
        )

    def test_record_is_replaced_when_the_owner_before_cannot_act(self):
        self.save()
        self.replace_owner(2)
        self.report('w5', 50)
        self.state.former_electorate.record_fenced('w0', 100)
        self.assertEqual(self.save(), ({'w5': 50},))

    # Guards against two runs of one task: the answer to a write is lost, so
    # that either electorate may be the one that a successor fences.
    def test_both_electorates_hold_until_the_write_is_known(self):
        self.save()
        self.report('w2', 12)
        self.lost_answers = [True]
        new = {'w0': 10, 'w1': 11, 'w2': 12}
        self.assertEqual(self.save(), ({'w0': 10, 'w1': 11}, new))
        self.assertEqual(self.save(), (new,))

    def test_late_write_does_not_replace_a_newer_one(self):
        self.save()
        self.report('w2', 12)
        self.delayed = [True]
        self.assertEqual(len(self.save()), 2)
        self.assertEqual(len(self.save()), 1)
        self.report('w3', 13)
        (newest,) = self.save()
        self.store.apply_delayed()
        self.assertEqual(
            self.take_over(2)[0].former_electorate.electorate, newest
        )

    # Guards against two runs of one task: a write takes effect, the code fails
    # on its answer, and the next write does not reach the store.
    def test_both_electorates_hold_after_an_unexpected_error(self):
        self.save()
        self.report('w2', 12)
        commit = FakeRowStore.commit

        def commit_and_fail(store, transaction, timeout_s):
            commit(store, transaction, timeout_s)
            raise LookupError('a fault of the code')

        with (
            mock.patch.object(FakeRowStore, 'commit', commit_and_fail),
            self.assertRaises(LookupError),
        ):
            self.save()
        self.store.is_down = True
        new = {'w0': 10, 'w1': 11, 'w2': 12}
        self.report('w3', 13)
        self.assertEqual(self.save(), ({'w0': 10, 'w1': 11}, new))

    def test_write_without_effect_changes_nothing(self):
        self.save()
        self.report('w2', 12)
        self.store.is_down = True
        self.assertEqual(self.save(), ({'w0': 10, 'w1': 11},))

    def test_replaced_owner_writes_nothing(self):
        self.save()
        self.take_over(2)
        self.report('w2', 12)
        self.save()
        self.assertEqual(
            self.take_over(3)[0].former_electorate.electorate,
            {'w0': 10, 'w1': 11},
        )

    # Guards against two runs of one task: a damaged record counts as if nobody
    # had to be fenced.
    def test_record_that_cannot_be_read_is_never_fenced(self):
        self.save()
        name = electorate_row(SHARD)
        self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=b'\xc1'),)), 1
        )
        self.replace_owner(2)
        self.report('w0', 10)
        self.state.former_electorate.record_fenced('w0', 100)
        self.assertIsNone(self.state.former_electorate.fenced_at)
        later = self.state.former_authority_end() + 1
        self.assertEqual(self.save(later), ({'w0': 10},))

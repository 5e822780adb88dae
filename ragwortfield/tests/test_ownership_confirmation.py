"""Bounds on what an owner does that may have been replaced."""

import math
import unittest

from ragwortfield.engine.shard_committer import CommitResult
from ragwortfield.scheduling import commits
from ragwortfield.scheduling.ownership_confirmation import (
    FormerElectorate,
    OwnershipConfirmation,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.tests.shard_world import (
    CATALOGUE,
    ShardWorld,
    build_single_step,
)

_BOUNDS = TimingBounds()
_UNAWARE_S = _BOUNDS.unaware_s
#: Largest error of the rate of an instance's clock, as docs/INVARIANTS.md says.
_MAX_INSTANCE_DRIFT = 0.005
_SLOWEST_WORKER_RATE = 0.98
_WORKERS = {'w0': 10, 'w1': 11, 'w2': 12, 'w3': 13}


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.confirmation = OwnershipConfirmation(stored_at=100)

    def poll(self, *worker_ids, sent_at, born_by_worker=_WORKERS):
        for worker_id in worker_ids:
            self.confirmation.record_poll(
                worker_id, born_by_worker[worker_id], sent_at
            )

    def is_valid(self, now):
        is_valid = self.confirmation.is_valid(_BOUNDS, now)
        self.assertEqual(
            is_valid, now <= self.confirmation.valid_until(_BOUNDS)
        )
        return is_valid

    # Guards against two runs of one task: an owner that reaches neither the
    # store nor its peers goes on for longer than its successor waits.
    def test_owner_without_the_store_stops_before_its_successor_starts(self):
        self.assertTrue(self.is_valid(100 + 0.9 * _UNAWARE_S))
        self.assertFalse(self.is_valid(100 + 0.99 * _UNAWARE_S))

    def test_calls_to_the_store_count_from_when_they_were_sent(self):
        self.confirmation.record_store_call(105)
        self.confirmation.record_store_call(102)
        self.assertTrue(self.is_valid(105 + 0.9 * _UNAWARE_S))
        self.assertFalse(self.is_valid(105 + _UNAWARE_S))

    def test_majority_of_the_electorate_confirms_in_an_outage(self):
        self.confirmation.electorates = (_WORKERS,)
        self.poll('w0', 'w1', sent_at=150)
        self.assertFalse(self.is_valid(150))
        self.poll('w2', sent_at=148)
        self.assertTrue(self.is_valid(148 + 0.9 * _UNAWARE_S))
        self.assertFalse(self.is_valid(150 + _UNAWARE_S))

    # Guards against two runs of one task: workers that are not in the stored
    # electorate, which successors fence, confirm the former owner.
    def test_other_workers_and_restarted_ones_do_not_count(self):
        self.confirmation.electorates = (_WORKERS,)
        self.poll('w0', 'w1', sent_at=150)
        self.confirmation.record_poll('other', 1, 150)
        self.confirmation.record_poll('w2', _WORKERS['w2'] + 1, 150)
        self.assertFalse(self.is_valid(150))

    def test_each_electorate_that_may_be_stored_needs_a_majority(self):
        self.confirmation.electorates = ({'w0': 10}, _WORKERS)
        self.poll('w1', 'w2', 'w3', sent_at=150)
        self.assertFalse(self.is_valid(150))
        self.poll('w0', sent_at=150)
        self.assertTrue(self.is_valid(150))

    def test_no_electorate_is_stored_yet(self):
        self.confirmation.electorates = ({}, _WORKERS)
        self.poll(*_WORKERS, sent_at=150)
        self.assertFalse(self.is_valid(150))

    def test_outage_is_survived_for_a_limited_time(self):
        self.confirmation.electorates = (_WORKERS,)
        now = 100 + _BOUNDS.longest_outage_s
        self.poll(*_WORKERS, sent_at=now)
        self.assertFalse(self.is_valid(now))
        self.assertTrue(self.is_valid(now * 0.97))

    # Guards against two runs of one task: a machine was suspended, and its
    # monotonic clock stood still meanwhile.
    def test_suspension_of_the_machine_counts(self):
        self.confirmation.electorates = (_WORKERS,)
        self.poll(*_WORKERS, sent_at=101)
        self.assertTrue(self.is_valid(102))
        self.confirmation.record_suspension(60, 102)
        self.assertFalse(self.is_valid(102))

    # Guards against two runs of one task: calls that were under way while the
    # machine was suspended are answered when it goes on.
    def test_calls_from_before_a_suspension_confirm_nothing(self):
        self.confirmation.electorates = (_WORKERS,)
        self.confirmation.record_suspension(60, 102)
        self.confirmation.record_store_call(101.9)
        self.poll(*_WORKERS, sent_at=101.9)
        self.assertFalse(self.is_valid(102))
        self.confirmation.record_store_call(102.1)
        self.assertTrue(self.is_valid(102.2))
        self.assertEqual(self.confirmation.poll_by_worker, {})


class ClockRateTest(unittest.TestCase):
    """Clocks of two owners and of a worker differ in rate from real time."""

    def compute_former_end(self, rate):
        """Return for how long a replaced owner may leave a lease behind."""
        confirmation = OwnershipConfirmation(stored_at=0)
        acting_s = confirmation.valid_until(_BOUNDS) / rate
        return acting_s + _BOUNDS.lease_s / _SLOWEST_WORKER_RATE

    def compute_wait(self, rate):
        """Return for how long its successor waits."""
        successor = ShardState(
            epoch=2,
            owner_since=0,
            bounds=_BOUNDS,
            catalogue=CATALOGUE,
            previous_lease_s=_BOUNDS.lease_s,
            is_process_bound=True,
        )
        return successor.former_run_end('w0') / rate

    # Guards against two runs of one task: the clock of the former owner is slow
    # and that of its successor fast, and the worker's clock is slow as well.
    def test_successor_waits_by_a_fast_clock_for_slow_ones(self):
        for error in (0, 0.001, _MAX_INSTANCE_DRIFT):
            self.assertGreaterEqual(
                self.compute_wait(1 + error), self.compute_former_end(1 - error)
            )


class FormerElectorateTest(unittest.TestCase):
    def test_half_of_the_workers_leaves_no_majority(self):
        former = FormerElectorate(epoch=3, electorate=_WORKERS)
        former.record_fenced('w0', 200)
        former.record_fenced('other', 201)
        former.record_fenced('w0', 202)
        self.assertIsNone(former.fenced_at)
        former.record_fenced('w2', 203)
        self.assertEqual(former.fenced_at, 203)
        former.record_fenced('w3', 204)
        self.assertEqual(former.fenced_at, 203)

    def test_without_a_record_there_is_nothing_to_fence(self):
        self.assertEqual(FormerElectorate().fenced_at, -math.inf)

    def test_only_the_end_of_the_recorded_owner_counts(self):
        former = FormerElectorate(epoch=3, electorate=_WORKERS)
        former.record_ended(4)
        self.assertIsNone(former.fenced_at)
        former.record_ended(3)
        self.assertEqual(former.fenced_at, -math.inf)


class ReplacedOwnerTest(unittest.TestCase):
    """Owners that do not know of their replacement, beside successors."""

    def setUp(self):
        self.world = ShardWorld(workers=4, is_process_checked=True)
        self.world.take_over()
        self.act(10)
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))

    def act(self, seconds):
        for _ in range(round(seconds * 10)):
            for owner in self.world.owners:
                owner.act()
            self.world.advance(0.1)
        self.world.check()

    def list_run_workers(self):
        return [
            worker.worker_id
            for worker in self.world.workers.worker_by_id.values()
            if worker.run_by_key
        ]

    def keep_to(self, owner, worker_ids):
        """Let an owner reach only some of the workers."""
        owner.unreachable_worker_ids = (
            set(self.world.workers.worker_by_id) - worker_ids
        )

    # Guards against two runs of one task: an owner without the store keeps one
    # of its workers, while its successor reaches only the others.
    def test_worker_of_an_isolated_owner_is_left_in_time(self):
        self.act(1)
        (kept_id,) = self.list_run_workers()
        former = self.world.owners[-1]
        self.keep_to(former, {kept_id})
        self.world.take_over()
        self.keep_to(
            self.world.owners[-1],
            set(self.world.workers.worker_by_id) - {kept_id},
        )
        self.act(30)
        self.assertEqual(len(self.list_run_workers()), 1)
        self.assertNotEqual(self.list_run_workers(), [kept_id])

    # Guards against two runs of one task: as above, with owners that follow
    # one another before the first has stopped.
    def test_owners_in_quick_succession_allow_for_the_first(self):
        self.act(1)
        (kept_id,) = self.list_run_workers()
        others = set(self.world.workers.worker_by_id) - {kept_id}
        self.keep_to(self.world.owners[-1], {kept_id})
        for pause_s in (0.4, 1.1, 0.6):
            self.world.take_over()
            self.keep_to(self.world.owners[-1], others)
            self.act(pause_s)
        self.act(30)
        self.assertEqual(len(self.list_run_workers()), 1)

    # Guards against two runs of one task: the former owner reaches most of the
    # workers, which confirm it, so its successor must not give it up.
    def test_owner_with_most_workers_goes_on_in_an_outage(self):
        self.act(1)
        (kept_id,) = self.list_run_workers()
        lost_id = next(iter(set(self.world.workers.worker_by_id) - {kept_id}))
        kept = set(self.world.workers.worker_by_id) - {lost_id}
        self.keep_to(self.world.owners[-1], kept)
        self.world.take_over()
        self.keep_to(self.world.owners[-1], {lost_id})
        self.act(60)
        self.assertEqual(self.list_run_workers(), [kept_id])
        # The cut ends: the successor fences the others.
        self.keep_to(
            self.world.owners[-1], set(self.world.workers.worker_by_id)
        )
        self.act(30)
        self.assertEqual(len(self.list_run_workers()), 1)
        state = self.world.owners[-1].state
        self.assertTrue(state.former_electorate.fenced_at)

    # Guards against a lasting task without a run through an outage of the store
    # for all instances: nobody can have replaced the owner.
    def test_outage_for_all_ends_no_run(self):
        self.act(1)
        (worker_id,) = self.list_run_workers()
        worker = self.world.workers.worker_by_id[worker_id]
        self.world.store.is_down = True
        self.act(60)
        self.world.store.is_down = False
        self.act(2)
        self.assertEqual(
            [entry[0] for entry in worker.history if entry[0] != 'noted'],
            ['start'],
        )

    # Guards against two runs of one task, and against a start after a
    # cancellation: an owner is paused between the commit of a binding and the
    # start order, and creates the order when it goes on.
    def test_start_is_not_ordered_long_after_its_commit(self):
        self.act(1)
        owner = self.world.owners[-1]
        batch = self.bind_without_order(owner)
        sent_at = self.world.now
        self.assertEqual(owner.committer.try_commit(batch), CommitResult.DONE)
        self.assertEqual(len(batch.starts), 1)
        self.world.advance(9)
        commits.apply_committed(
            owner.state, batch, self.world.now, sent_at=sent_at
        )
        self.assertEqual(owner.state.orders, [])

    def bind_without_order(self, owner):
        """Let the owner bind a task, up to the batch that is to be sent."""
        self.world.submit(build_single_step())
        owner._poll_changes()
        commit = owner._commit
        owner._commit = lambda: None
        owner.act()
        owner._commit = commit
        return commits.collect_batch_with_term(
            owner.state, owner.committer.number + 1, self.world.now
        )

"""Tests of seats: leases, hand-overs and takeovers."""

from itertools import count
from unittest import TestCase

from ragwortfield.core.claims import (
    ClaimKey,
    FinishedClaim,
    NewClaim,
    RunningClaim,
)
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.seats import SeatId
from ragwortfield.policies.idempotency import find_home_seat
from ragwortfield.policies.seat_leases import restore_unreleased_seat
from ragwortfield.tests.seat_world import STEP_S, SeatWorld

_ANSWER = WholeAnswer(status=200, fields=(), body=b'booked')


class SeatTests(TestCase):
    """Single cases; the seat state machine covers their combinations."""

    def setUp(self):
        self.world = SeatWorld()
        for _ in range(3):
            self.world.add_instance()
        self.world.run(6)

    def list_holders(self):
        return [
            self.world.list_holders(key) for key in self.world.list_seat_keys()
        ]

    def test_every_seat_gets_one_holder(self):
        self.assertEqual([len(names) for names in self.list_holders()], [1] * 4)

    def test_seats_spread_over_instances(self):
        names = {name for names in self.list_holders() for name in names}
        self.assertEqual(len(names), 3)

    def test_holders_stay_through_an_outage_of_an_hour(self):
        before = self.list_holders()
        self.world.platform.faults.is_down = True
        self.world.run(3600)
        self.assertEqual(self.list_holders(), before)

    def test_lost_instance_is_replaced(self):
        self.world.kill(self.world.instance_by_id['entry-1'])
        self.world.run(12)
        self.assertEqual([len(names) for names in self.list_holders()], [1] * 4)

    def test_frozen_instance_does_not_use_a_lost_seat(self):
        frozen = self.world.instance_by_id['entry-1']
        frozen.is_frozen = True
        self.world.platform.faults.hidden_instances = (frozen.name,)
        self.world.run(15)
        frozen.is_frozen = False
        now = self.world.clock.monotonic()
        self.assertEqual(frozen.instance_state.list_trusted_seats(now), [])

    def test_listed_instance_keeps_its_seats_while_cut_off(self):
        cut_off = self.world.instance_by_id['entry-1']
        before = set(cut_off.instance_state.held_seat_by_key)
        cut_off.platform_access.is_cut = True
        self.world.run(60)
        self.assertEqual(set(cut_off.instance_state.held_seat_by_key), before)

    # Guards against two holders of one seat: its holder lacks the store and the
    # instance that takes over, but still hears a third one.
    def test_holder_that_hears_a_third_instance_stops_before_a_takeover(self):
        holder = self.world.instance_by_id['entry-1']
        holder.platform_access.is_cut = True
        self.world.cut_pairs.append({'entry-1', 'entry-2'})
        self.world.platform.faults.hidden_instances = (holder.name,)
        self.world.run(seconds=120, check=self.check_single_holders)

    def test_isolated_instance_stops_before_a_takeover(self):
        isolated = self.world.instance_by_id['entry-1']
        isolated.platform_access.is_cut = True
        isolated.is_cut_from_peers = True
        self.world.platform.faults.hidden_instances = (isolated.name,)
        self.world.run(30, self.check_single_holders)
        now = self.world.clock.monotonic()
        self.assertEqual(isolated.instance_state.list_trusted_seats(now), [])

    def test_release_with_a_lost_answer_leaves_one_holder(self):
        self.world.platform.faults.lost_answers = 3
        self.world.add_instance()
        self.world.run(20, self.check_single_holders)
        self.assertEqual([len(names) for names in self.list_holders()], [1] * 4)

    def test_new_instance_observes_leases_before_it_takes_over(self):
        for instance in self.world.instance_by_id.values():
            instance.platform_access.is_cut = True
        self.world.run(12)
        for instance in self.world.instance_by_id.values():
            instance.platform_access.is_cut = False
        hidden = self.world.instance_by_id['entry-2']
        hidden.is_frozen = True
        self.world.platform.faults.hidden_instances = (hidden.name,)
        self.world.add_instance()
        self.world.run(2, self.check_single_holders)
        hidden.is_frozen = False
        self.world.run(2, self.check_single_holders)

    # Guards against two holders of a seat: a holder whose writes alone are
    # refused is replaced and goes on using its seat.
    def test_holder_that_can_read_but_not_write_is_no_second_holder(self):
        holder = self.world.instance_by_id['entry-1']
        holder.platform_access.is_refusing_writes = True
        holder.is_cut_from_peers = True
        self.world.platform.faults.hidden_instances = ('entry-1',)
        self.world.run(20, self.check_single_holders)

    def check_single_holders(self):
        for names in self.list_holders():
            self.assertLessEqual(len(names), 1)


class HandOverTests(TestCase):
    """The holder of all seats hands some over while the store fails."""

    def setUp(self):
        self.world = SeatWorld()
        self.old_holder = self.world.add_instance()
        self.world.run(3)
        self.assertEqual(self.list_holders(), [[self.old_holder.name]] * 4)

    # Guards against a seat without a holder during an outage after the write
    # that releases it was refused.
    def test_refused_release_leaves_the_seat_with_its_holder(self):
        self.old_holder.platform_access.is_refusing_writes = True
        self.world.add_instance()
        self.world.run(3)
        releases = [
            write
            for write in self.old_holder.platform_access.refused_writes
            if not write.body['holder']
        ]
        self.assertTrue(releases)
        self.world.stop_store()
        self.world.run(60)
        self.assertEqual(self.list_holders(), [[self.old_holder.name]] * 4)

    # Guards against requests refused during an outage that begins when a seat
    # is released and not yet taken.
    def test_outage_between_release_and_taking_leaves_a_holder(self):
        self.world.add_instance()
        self.world.run(5, self.stop_store_when_a_seat_is_vacant)
        self.assertTrue(self.world.platform.faults.is_down)
        self.world.run(60)
        self.assertEqual([len(names) for names in self.list_holders()], [1] * 4)

    # Guards against requests refused during an outage that begins when a new
    # holder has taken a seat and not yet read its claims.
    def test_outage_before_claims_are_read_leaves_a_ready_home(self):
        keys = [
            ClaimKey(team='hospitals', key=f'bergamo:{number}')
            for number in range(40)
        ]
        for key in keys:
            self.acquire_at_home(key)
            self.old_holder.claim_store.record_ran(key, _ANSWER)
        self.assertTrue(self.old_holder.claim_store.flush())
        new_instance = self.world.add_instance()
        new_instance.platform_access.after_write = self.world.stop_store
        self.world.run(5)
        self.assertTrue(self.world.platform.faults.is_down)
        self.assertTrue(new_instance.instance_state.held_seat_by_key)
        self.world.run(60)
        self.assertEqual(
            [len(names) for names in self.list_ready_home_holders()], [1] * 4
        )
        for key in keys:
            self.assertIsInstance(self.acquire_at_home(key), FinishedClaim)

    # Guards against a second run at the next holder of a request whose claim
    # was acquired after the release of its seat was planned.
    def test_seat_with_an_unwritten_claim_is_not_released(self):
        key = self.find_key_of_first_released_seat()
        self.old_holder.platform_access.after_write = lambda: (
            self.acquire_without_write(key)
        )
        self.world.add_instance()
        self.world.run(10)
        self.assertIn(key.text(), self.old_holder.instance_state.claim_by_key)
        self.assertIsInstance(self.acquire_at_home(key), RunningClaim)

    # Guards against the use of a seat that is restored after a refused release
    # and a pause: another instance may have taken it over meanwhile.
    def test_seat_restored_after_a_pause_is_not_used(self):
        instance_state = self.old_holder.instance_state
        now = self.world.clock.monotonic()
        key, held = instance_state.held_seat_by_key.popitem()
        pause_s = instance_state.compute_pause_limit_s() + STEP_S
        restore_unreleased_seat(
            instance_state, held, relinquished_at=now - pause_s, now=now
        )
        self.assertEqual(self.world.list_holders(key), [])
        del instance_state.held_seat_by_key[key]
        restore_unreleased_seat(
            instance_state, held, relinquished_at=now - STEP_S, now=now
        )
        self.assertEqual(self.world.list_holders(key), [self.old_holder.name])

    def acquire_at_home(self, key):
        home = find_home_seat(self.world.configuration, key)
        decisions = [
            instance.claim_store.acquire(key, 'digest')
            for instance in self.world.instance_by_id.values()
            if instance.claim_store.is_home_seat_ready(home)
        ]
        self.assertEqual(len(decisions), 1)
        return decisions[0]

    def acquire_without_write(self, key):
        self.old_holder.platform_access.is_refusing_writes = True
        self.assertIsInstance(self.acquire_at_home(key), NewClaim)
        self.old_holder.platform_access.is_refusing_writes = False

    def find_key_of_first_released_seat(self):
        last = SeatId(data_centre='bergamo', index=3)
        return next(
            key
            for key in (
                ClaimKey(team='hospitals', key=f'bergamo:{number}')
                for number in count()
            )
            if find_home_seat(self.world.configuration, key) == last
        )

    def list_holders(self):
        return [
            self.world.list_holders(key) for key in self.world.list_seat_keys()
        ]

    def list_ready_home_holders(self):
        return [
            [
                instance.name
                for instance in self.world.instance_by_id.values()
                if instance.claim_store.is_home_seat_ready(
                    SeatId(data_centre='bergamo', index=index),
                )
            ]
            for index in range(len(self.world.list_seat_keys()))
        ]

    def stop_store_when_a_seat_is_vacant(self):
        if [] in self.list_holders():
            self.world.stop_store()

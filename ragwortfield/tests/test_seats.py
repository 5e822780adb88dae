"""Tests of the seats: holding, handing over, taking over."""

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
    """Directed cases; the machine covers their combinations."""

    def setUp(self):
        self.world = SeatWorld()
        for _ in range(3):
            self.world.bear()
        self.world.run(6)

    def holders(self):
        return [self.world.holders(key) for key in self.world.seat_keys()]

    def test_every_seat_finds_one_holder(self):
        self.assertEqual([len(names) for names in self.holders()], [1] * 4)

    def test_seats_spread_over_instances(self):
        names = {name for names in self.holders() for name in names}
        self.assertEqual(len(names), 3)

    def test_holders_stay_through_an_outage_of_an_hour(self):
        before = self.holders()
        self.world.platform.faults.is_down = True
        self.world.run(3600)
        self.assertEqual(self.holders(), before)

    def test_lost_instance_is_replaced(self):
        self.world.kill(self.world.member_by_id['entry-1'])
        self.world.run(12)
        self.assertEqual([len(names) for names in self.holders()], [1] * 4)

    def test_frozen_instance_does_not_act_on_lost_seat(self):
        frozen = self.world.member_by_id['entry-1']
        frozen.is_frozen = True
        self.world.platform.faults.hidden_instances = (frozen.name,)
        self.world.run(15)
        frozen.is_frozen = False
        now = self.world.clock.monotonic()
        self.assertEqual(frozen.instance_state.list_trusted_seats(now), [])

    def test_listed_instance_keeps_its_seats_while_cut_off(self):
        cut_off = self.world.member_by_id['entry-1']
        before = set(cut_off.instance_state.held_seat_by_key)
        cut_off.reach.is_cut = True
        self.world.run(60)
        self.assertEqual(set(cut_off.instance_state.held_seat_by_key), before)

    def test_isolated_instance_stops_before_a_takeover(self):
        isolated = self.world.member_by_id['entry-1']
        isolated.reach.is_cut = True
        isolated.is_peer_cut = True
        self.world.platform.faults.hidden_instances = (isolated.name,)
        self.world.run(30, self.check_single)
        now = self.world.clock.monotonic()
        self.assertEqual(isolated.instance_state.list_trusted_seats(now), [])

    def test_lost_answer_of_a_release_leaves_one_holder(self):
        self.world.platform.faults.lost_answers = 3
        self.world.bear()
        self.world.run(20, self.check_single)
        self.assertEqual([len(names) for names in self.holders()], [1] * 4)

    def test_newcomer_watches_before_it_takes_over(self):
        for member in self.world.member_by_id.values():
            member.reach.is_cut = True
        self.world.run(12)
        for member in self.world.member_by_id.values():
            member.reach.is_cut = False
        hidden = self.world.member_by_id['entry-2']
        hidden.is_frozen = True
        self.world.platform.faults.hidden_instances = (hidden.name,)
        self.world.bear()
        self.world.run(2, self.check_single)
        hidden.is_frozen = False
        self.world.run(2, self.check_single)

    # A holder whose writes alone are refused is replaced and goes on.
    def test_holder_that_can_read_but_not_write_is_no_second_holder(self):
        lost = self.world.member_by_id['entry-1']
        lost.reach.is_refusing_writes = True
        lost.is_peer_cut = True
        self.world.platform.faults.hidden_instances = ('entry-1',)
        self.world.run(20, self.check_single)

    def check_single(self):
        for names in self.holders():
            self.assertLessEqual(len(names), 1)


class HandOverTests(TestCase):
    """The holder of all seats hands some over as the store fails."""

    def setUp(self):
        self.world = SeatWorld()
        self.old = self.world.bear()
        self.world.run(3)
        self.assertEqual(self.holders(), [[self.old.name]] * 4)

    # A refused release left its seat without a holder through the outage.
    def test_refused_release_leaves_the_seat_with_its_holder(self):
        self.old.reach.is_refusing_writes = True
        self.world.bear()
        self.world.run(3)
        releases = [
            write
            for write in self.old.reach.refused
            if not write.body['holder']
        ]
        self.assertTrue(releases)
        self.world.stop_store()
        self.world.run(60)
        self.assertEqual(self.holders(), [[self.old.name]] * 4)

    # A seat released and not yet taken refuses bookings through the outage.
    def test_outage_between_release_and_taking_leaves_a_holder(self):
        self.world.bear()
        self.world.run(5, self.stop_store_at_a_vacancy)
        self.assertTrue(self.world.platform.faults.is_down)
        self.world.run(60)
        self.assertEqual([len(names) for names in self.holders()], [1] * 4)

    # A holder with unread claims refused bookings through the outage.
    def test_outage_between_taking_and_claims_leaves_a_home(self):
        keys = [
            ClaimKey(team='hospitals', key=f'bergamo:{number}')
            for number in range(40)
        ]
        for key in keys:
            self.open_at_home(key)
            self.old.claim_store.record_ran(key, _ANSWER)
        self.assertTrue(self.old.claim_store.flush())
        newcomer = self.world.bear()
        newcomer.reach.after_write = self.world.stop_store
        self.world.run(5)
        self.assertTrue(self.world.platform.faults.is_down)
        self.assertTrue(newcomer.instance_state.held_seat_by_key)
        self.world.run(60)
        self.assertEqual([len(names) for names in self.homes()], [1] * 4)
        for key in keys:
            self.assertIsInstance(self.open_at_home(key), FinishedClaim)

    # A claim opened after a release was planned ran again at the next holder.
    def test_seat_with_an_unwritten_claim_is_not_released(self):
        key = self.key_of_the_seat_released_first()
        self.old.reach.after_write = lambda: self.open_unwritten(key)
        self.world.bear()
        self.world.run(10)
        self.assertIn(key.text(), self.old.instance_state.claim_by_key)
        self.assertIsInstance(self.open_at_home(key), RunningClaim)

    # A seat taken back after a pause may have been taken over meanwhile.
    def test_seat_taken_back_after_a_pause_is_not_used(self):
        instance_state = self.old.instance_state
        now = self.world.clock.monotonic()
        key, held = instance_state.held_seat_by_key.popitem()
        pause_s = instance_state.compute_pause_limit_s() + STEP_S
        restore_unreleased_seat(
            instance_state, held, relinquished_at=now - pause_s, now=now
        )
        self.assertEqual(self.world.holders(key), [])
        del instance_state.held_seat_by_key[key]
        restore_unreleased_seat(
            instance_state, held, relinquished_at=now - STEP_S, now=now
        )
        self.assertEqual(self.world.holders(key), [self.old.name])

    def open_at_home(self, key):
        home = find_home_seat(self.world.configuration, key)
        decisions = [
            member.claim_store.acquire(key, 'digest')
            for member in self.world.member_by_id.values()
            if member.claim_store.is_home_seat_ready(home)
        ]
        self.assertEqual(len(decisions), 1)
        return decisions[0]

    def open_unwritten(self, key):
        self.old.reach.is_refusing_writes = True
        self.assertIsInstance(self.open_at_home(key), NewClaim)
        self.old.reach.is_refusing_writes = False

    def key_of_the_seat_released_first(self):
        last = SeatId(data_centre='bergamo', index=3)
        return next(
            key
            for key in (
                ClaimKey(team='hospitals', key=f'bergamo:{number}')
                for number in count()
            )
            if find_home_seat(self.world.configuration, key) == last
        )

    def holders(self):
        return [self.world.holders(key) for key in self.world.seat_keys()]

    def homes(self):
        return [
            [
                member.name
                for member in self.world.member_by_id.values()
                if member.claim_store.is_home_seat_ready(
                    SeatId(data_centre='bergamo', index=index),
                )
            ]
            for index in range(len(self.world.seat_keys()))
        ]

    def stop_store_at_a_vacancy(self):
        if [] in self.holders():
            self.world.stop_store()

"""Tests of the seats: holding, handing over, taking over."""

from unittest import TestCase

from ragwortfield.tests.seat_world import SeatWorld


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
        self.world.platform.switches.is_down = True
        self.world.run(3600)
        self.assertEqual(self.holders(), before)

    def test_lost_instance_is_replaced(self):
        self.world.kill(self.world.member_by_id['entry-1'])
        self.world.run(12)
        self.assertEqual([len(names) for names in self.holders()], [1] * 4)

    def test_frozen_instance_does_not_act_on_lost_seat(self):
        frozen = self.world.member_by_id['entry-1']
        frozen.is_frozen = True
        self.world.platform.switches.hidden_instances = (frozen.name,)
        self.world.run(15)
        frozen.is_frozen = False
        now = self.world.clock.monotonic()
        self.assertEqual(frozen.tables.trusted_seats(now), [])

    def test_listed_instance_keeps_its_seats_while_cut_off(self):
        cut_off = self.world.member_by_id['entry-1']
        before = set(cut_off.tables.held_by_key)
        cut_off.reach.is_cut = True
        self.world.run(60)
        self.assertEqual(set(cut_off.tables.held_by_key), before)

    def test_isolated_instance_stops_before_a_takeover(self):
        isolated = self.world.member_by_id['entry-1']
        isolated.reach.is_cut = True
        isolated.is_peer_cut = True
        self.world.platform.switches.hidden_instances = (isolated.name,)
        self.world.run(30, self.check_single)
        now = self.world.clock.monotonic()
        self.assertEqual(isolated.tables.trusted_seats(now), [])

    def test_lost_answer_of_a_release_leaves_one_holder(self):
        self.world.platform.switches.lost_answers = 3
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
        self.world.platform.switches.hidden_instances = (hidden.name,)
        self.world.bear()
        self.world.run(2, self.check_single)
        hidden.is_frozen = False
        self.world.run(2, self.check_single)

    def check_single(self):
        for names in self.holders():
            self.assertLessEqual(len(names), 1)

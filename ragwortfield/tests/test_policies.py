"""Tests of the decisions that stand for themselves."""

import random
from unittest import TestCase

from hypothesis import given, settings, strategies

from ragwortfield.core.configuration import RequestClass
from ragwortfield.core.outcomes import Broken, NotSent
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.instance_state import (
    InstanceIdentity,
    InstanceState,
    TargetShare,
)
from ragwortfield.core.targets import Target, TargetState
from ragwortfield.ports.platform import ListedInstance, Listing
from ragwortfield.policies.cross_region_budget import CrossRegionBudget
from ragwortfield.policies.idempotency import parse_key_time
from ragwortfield.policies.target_health import is_available, record_failure
from ragwortfield.policies.membership import is_link_required, apply_listing
from ragwortfield.policies.request_queue import RequestQueue
from ragwortfield.policies.request_quota import TeamRateLimiter, WithinQuota
from ragwortfield.policies.retry_budget import RetryBudget, is_retry_safe
from ragwortfield.policies.routing import TargetChoice, choose_target
from ragwortfield.policies.target_shares import compute_seat_share
from ragwortfield.tests.seat_world import SeatWorld

_COUNTS = strategies.integers(min_value=1, max_value=16)


def request(**changes):
    details = {
        'request_id': 'r',
        'team': 'hospitals',
        'service': 'shifts',
        'request_class': RequestClass.NORMAL,
        'method': 'GET',
        'path': '/',
        'fields': (),
        'body': b'',
        'deadline': 10,
        'is_idempotent': True,
        **changes,
    }
    return CallerRequest(**details)


def tables_with_targets(count):
    instance_state = InstanceState(
        identity=InstanceIdentity(
            instance_id='entry-1',
            data_centre='bergamo',
            region='lombardy',
            http_address='a:1',
            peer_address='a:2',
        ),
    )
    for number in range(count):
        name = f'target-{number}'
        instance_state.target_by_id[name] = Target(
            target_id=name,
            service='shifts',
            data_centre='bergamo',
            address='a:3',
        )
        instance_state.share_by_target[name] = TargetShare(
            slots=2, connections=16
        )
    instance_state.shared_targets_by_service['shifts'] = list(
        instance_state.target_by_id
    )
    return instance_state


class ShareTests(TestCase):
    """Parts of a whole."""

    @settings(database=None, deadline=None, derandomize=True)
    @given(total=strategies.integers(0, 200), seats=_COUNTS, offset=_COUNTS)
    def test_parts_of_all_seats_add_up_to_the_whole(
        self,
        total,
        seats,
        offset,
    ):
        parts = [
            compute_seat_share(total, seats, index, offset)
            for index in range(seats)
        ]
        self.assertEqual(sum(parts), total)
        self.assertLessEqual(max(parts) - min(parts), 1)


class QueueTests(TestCase):
    """Order of waiting requests."""

    def test_urgent_goes_first_and_teams_take_turns(self):
        queue = RequestQueue()
        for number in range(3):
            queue.push(request(team='loud'), f'loud-{number}', 1)
        queue.push(request(team='quiet'), 'quiet-0', 1)
        urgent = request(team='loud', request_class=RequestClass.URGENT)
        queue.push(urgent, 'urgent', 1)
        order = [queue.pop('shifts') for _ in range(5)]
        self.assertEqual(order[0], 'urgent')
        self.assertLess(order.index('quiet-0'), order.index('loud-1'))

    def test_removed_request_is_not_served(self):
        queue = RequestQueue()
        sequence = queue.push(request(), 'gone', 1)
        queue.push(request(), 'stays', 1)
        queue.remove('shifts', sequence)
        self.assertEqual(queue.size('shifts'), 1)
        self.assertEqual(queue.pop('shifts'), 'stays')
        self.assertIsNone(queue.pop('shifts'))


class QuotaTests(TestCase):
    """Quotas that are divided among instances."""

    def test_parts_of_a_quota_keep_its_sum(self):
        world = SeatWorld()
        team = world.configuration.teams['hospitals']
        served = 0
        for fraction in (0.25, 0.25, 0.5):
            keeper = TeamRateLimiter()
            for step in range(40_000):
                left = keeper.charge(
                    'hospitals',
                    team,
                    fraction=fraction,
                    now=step / 20_000,
                )
                served += isinstance(left, WithinQuota)
        spent_s = 2
        limit = team.requests_per_s * (spent_s + team.burst_s)
        self.assertLessEqual(served, limit)

    def test_byte_budget_closes_and_recovers(self):
        budget = CrossRegionBudget()
        self.assertTrue(budget.is_within_budget(100, 0))
        budget.charge(250)
        self.assertFalse(budget.is_within_budget(100, 0.1))
        self.assertTrue(budget.is_within_budget(100, 2))


class RetryTests(TestCase):
    """Which attempts may be followed by another."""

    def test_unknown_run_of_a_booking_is_never_sent_again(self):
        booking = request(method='POST', is_idempotent=False)
        self.assertFalse(is_retry_safe(booking, Broken(reason='cut')))
        self.assertTrue(is_retry_safe(booking, NotSent(reason='refused')))
        self.assertTrue(is_retry_safe(request(), Broken(reason='cut')))

    def test_budget_is_a_tenth_of_the_successes(self):
        budget = RetryBudget()
        for _ in range(10):
            budget.try_spend()
        spent = 0
        for _ in range(1000):
            budget.record_success()
            spent += budget.try_spend()
        self.assertLessEqual(spent, 100)
        self.assertGreaterEqual(spent, 90)


class RoutingTests(TestCase):
    """Choice among targets."""

    def test_full_sample_does_not_hide_the_only_free_target(self):
        instance_state = tables_with_targets(40)
        for name in instance_state.target_by_id:
            instance_state.slots_in_use_by_target[name] = 2
        instance_state.slots_in_use_by_target['target-39'] = 0
        for seed in range(20):
            choice = choose_target(
                instance_state,
                'shifts',
                0,
                random_generator=random.Random(seed),
            )
            self.assertIsInstance(choice, TargetChoice)
            self.assertEqual(choice.target.target_id, 'target-39')

    def test_target_that_failed_once_is_taken_last_for_a_while(self):
        instance_state = tables_with_targets(2)
        record_failure(instance_state, 'target-0', 100)
        chosen = [
            choose_target(instance_state, 'shifts', now).target.target_id
            for now in (100, 104, 106)
        ]
        self.assertEqual(chosen, ['target-1', 'target-1', 'target-0'])

    def test_at_least_half_of_the_pool_stays_in_use(self):
        instance_state = tables_with_targets(4)
        for name in instance_state.target_by_id:
            for _ in range(10):
                record_failure(instance_state, name, 0)
        open_targets = [
            target
            for target in instance_state.target_by_id.values()
            if is_available(instance_state, target, 0.5)
        ]
        self.assertEqual(len(open_targets), 2)


class MembershipTests(TestCase):
    """Lagging lists and links."""

    def listed(self, name, data_centre='bergamo', kind='entry'):
        return ListedInstance(
            instance_id=name,
            kind=kind,
            data_centre=data_centre,
            address='a:3',
            service='shifts',
        )

    def test_target_that_said_it_leaves_stays_left_with_a_stale_list(self):
        instance_state = tables_with_targets(1)
        known = instance_state.target_by_id['target-0']
        instance_state.target_by_id['target-0'] = Target(
            target_id=known.target_id,
            service=known.service,
            data_centre=known.data_centre,
            address=known.address,
            state=TargetState.LEAVING,
        )
        listed = self.listed('target-0', kind='target')
        apply_listing(instance_state, Listing(as_of=1, instances=(listed,)))
        state = instance_state.target_by_id['target-0'].state
        self.assertIs(state, TargetState.LEAVING)

    def test_older_list_is_ignored(self):
        instance_state = tables_with_targets(0)
        listed = self.listed('target-0', kind='target')
        apply_listing(instance_state, Listing(as_of=2, instances=(listed,)))
        apply_listing(instance_state, Listing(as_of=1))
        self.assertIn('target-0', instance_state.target_by_id)

    def test_links_join_a_large_deployment_with_few_links_each(self):
        entries = [
            self.listed(f'{place}-{number}', place)
            for place in ('a', 'b', 'c', 'd', 'e')
            for number in range(8)
        ]
        linked = {
            first.instance_id: {
                second.instance_id
                for second in entries
                if first != second and is_link_required(first, second, entries)
            }
            for first in entries
        }
        self.assertLessEqual(max(len(names) for names in linked.values()), 10)
        reached = {'a-0'}
        frontier = {'a-0'}
        while frontier:
            frontier = set().union(*(linked[name] for name in frontier))
            frontier -= reached
            reached |= frontier
        self.assertEqual(len(reached), len(entries))


class KeyTests(TestCase):
    """Times inside keys."""

    def test_time_of_a_version_7_uuid(self):
        made_at = parse_key_time('bergamo:01934f6a-1c2d-7abc-8def-0123456789ab')
        self.assertAlmostEqual(made_at, 0x01934F6A1C2D / 1000)

    def test_other_keys_have_no_time(self):
        for key in ('', 'ward-7', '01934f6a-1c2d-4abc-8def-0123456789ab'):
            self.assertIsNone(parse_key_time(key))

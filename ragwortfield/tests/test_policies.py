"""Tests of single decision rules of an entry instance."""

import random
from unittest import TestCase

from hypothesis import given, settings, strategies

from ragwortfield.core.configuration import RequestClass
from ragwortfield.core.instance_state import (
    InstanceIdentity,
    InstanceState,
    TargetShare,
)
from ragwortfield.core.outcomes import Broken, NotSent
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.targets import Target, TargetState
from ragwortfield.policies.cross_region_budget import CrossRegionBudget
from ragwortfield.policies.idempotency import parse_key_time
from ragwortfield.policies.membership import apply_listing, is_link_required
from ragwortfield.policies.request_queue import RequestQueue
from ragwortfield.policies.request_quota import TeamRateLimiter, WithinQuota
from ragwortfield.policies.retry_budget import RetryBudget, is_retry_safe
from ragwortfield.policies.routing import TargetChoice, choose_target
from ragwortfield.policies.target_health import is_available, record_failure
from ragwortfield.policies.target_shares import compute_seat_share
from ragwortfield.ports.platform import ListedInstance, Listing
from ragwortfield.tests.seat_world import SeatWorld

_COUNTS = strategies.integers(min_value=1, max_value=16)


def build_request(**changes):
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


def build_instance_state(count):
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


class SeatShareTests(TestCase):
    """Division of a total among seats."""

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


class RequestQueueTests(TestCase):
    """Order of waiting requests."""

    def test_urgent_goes_first_and_teams_take_turns(self):
        queue = RequestQueue()
        for number in range(3):
            queue.push(build_request(team='loud'), f'loud-{number}', 1)
        queue.push(build_request(team='quiet'), 'quiet-0', 1)
        urgent = build_request(team='loud', request_class=RequestClass.URGENT)
        queue.push(urgent, 'urgent', 1)
        order = [queue.pop('shifts') for _ in range(5)]
        self.assertEqual(order[0], 'urgent')
        self.assertLess(order.index('quiet-0'), order.index('loud-1'))

    def test_removed_request_is_not_served(self):
        queue = RequestQueue()
        sequence = queue.push(build_request(), 'gone', 1)
        queue.push(build_request(), 'stays', 1)
        queue.remove('shifts', sequence)
        self.assertEqual(queue.size('shifts'), 1)
        self.assertEqual(queue.pop('shifts'), 'stays')
        self.assertIsNone(queue.pop('shifts'))


class QuotaTests(TestCase):
    """Team quotas that are divided among instances, and byte budgets."""

    def test_shares_of_a_quota_add_up_to_at_most_the_quota(self):
        world = SeatWorld()
        team = world.configuration.teams['hospitals']
        served = 0
        for fraction in (0.25, 0.25, 0.5):
            rate_limiter = TeamRateLimiter()
            for step in range(40_000):
                outcome = rate_limiter.charge(
                    'hospitals',
                    team,
                    fraction=fraction,
                    now=step / 20_000,
                )
                served += isinstance(outcome, WithinQuota)
        charged_s = 2
        limit = team.requests_per_s * (charged_s + team.burst_s)
        self.assertLessEqual(served, limit)

    def test_byte_budget_runs_out_and_recovers(self):
        budget = CrossRegionBudget()
        self.assertTrue(budget.is_within_budget(100, 0))
        budget.charge(250)
        self.assertFalse(budget.is_within_budget(100, 0.1))
        self.assertTrue(budget.is_within_budget(100, 2))


class RetryTests(TestCase):
    """Which attempts may be retried, and how many."""

    def test_non_idempotent_request_that_may_have_run_is_not_retried(self):
        booking = build_request(method='POST', is_idempotent=False)
        self.assertFalse(is_retry_safe(booking, Broken(reason='cut')))
        self.assertTrue(is_retry_safe(booking, NotSent(reason='refused')))
        self.assertTrue(is_retry_safe(build_request(), Broken(reason='cut')))

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
    """Choice of a target for a request."""

    def test_full_sample_does_not_hide_the_only_free_target(self):
        instance_state = build_instance_state(40)
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

    def test_target_that_failed_once_is_chosen_last_for_a_while(self):
        instance_state = build_instance_state(2)
        record_failure(instance_state, 'target-0', 100)
        chosen = [
            choose_target(instance_state, 'shifts', now).target.target_id
            for now in (100, 104, 106)
        ]
        self.assertEqual(chosen, ['target-1', 'target-1', 'target-0'])

    def test_at_least_half_of_the_pool_stays_in_use(self):
        instance_state = build_instance_state(4)
        for name in instance_state.target_by_id:
            for _ in range(10):
                record_failure(instance_state, name, 0)
        available_targets = [
            target
            for target in instance_state.target_by_id.values()
            if is_available(instance_state, target, 0.5)
        ]
        self.assertEqual(len(available_targets), 2)


class MembershipTests(TestCase):
    """Stale listings, and which instances connect to each other."""

    def build_listed_instance(self, name, data_centre='bergamo', kind='entry'):
        return ListedInstance(
            instance_id=name,
            kind=kind,
            data_centre=data_centre,
            address='a:3',
            service='shifts',
        )

    def test_leaving_target_stays_leaving_with_a_stale_listing(self):
        instance_state = build_instance_state(1)
        known = instance_state.target_by_id['target-0']
        instance_state.target_by_id['target-0'] = Target(
            target_id=known.target_id,
            service=known.service,
            data_centre=known.data_centre,
            address=known.address,
            state=TargetState.LEAVING,
        )
        listed = self.build_listed_instance('target-0', kind='target')
        apply_listing(instance_state, Listing(as_of=1, instances=(listed,)))
        state = instance_state.target_by_id['target-0'].state
        self.assertIs(state, TargetState.LEAVING)

    def test_older_listing_is_ignored(self):
        instance_state = build_instance_state(0)
        listed = self.build_listed_instance('target-0', kind='target')
        apply_listing(instance_state, Listing(as_of=2, instances=(listed,)))
        apply_listing(instance_state, Listing(as_of=1))
        self.assertIn('target-0', instance_state.target_by_id)

    def test_few_connections_each_join_a_large_deployment(self):
        entries = [
            self.build_listed_instance(f'{data_centre}-{number}', data_centre)
            for data_centre in ('a', 'b', 'c', 'd', 'e')
            for number in range(8)
        ]
        peer_ids_by_id = {
            first.instance_id: {
                second.instance_id
                for second in entries
                if first != second and is_link_required(first, second, entries)
            }
            for first in entries
        }
        self.assertLessEqual(
            max(len(peer_ids) for peer_ids in peer_ids_by_id.values()), 10
        )
        reached = {'a-0'}
        frontier = {'a-0'}
        while frontier:
            frontier = set().union(*(peer_ids_by_id[name] for name in frontier))
            frontier -= reached
            reached |= frontier
        self.assertEqual(len(reached), len(entries))


class KeyTimeTests(TestCase):
    """Times that idempotency keys contain."""

    def test_time_of_a_version_7_uuid(self):
        created_at = parse_key_time(
            'bergamo:01934f6a-1c2d-7abc-8def-0123456789ab'
        )
        self.assertAlmostEqual(created_at, 0x01934F6A1C2D / 1000)

    def test_other_keys_have_no_time(self):
        for key in ('', 'ward-7', '01934f6a-1c2d-4abc-8def-0123456789ab'):
            self.assertIsNone(parse_key_time(key))

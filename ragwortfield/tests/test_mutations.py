"""Mutation tests: without a safety mechanism randomised runs must fail."""

from dataclasses import replace
from unittest import TestCase, mock

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.policies.job_transitions import derive_expiry_transition
from ragwortfield.testing.fake_platform import FakePlatform
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.test_claim_machine import ClaimMachine
from ragwortfield.tests.test_job_machine import JobMachine
from ragwortfield.tests.test_seat_machine import SeatMachine

_STEPS = 40
_RUNS = 150
_transact = FakePlatform.transact


def _expire_lease_at_once(job_row, worker_row, evidence, wall_time):
    return derive_expiry_transition(
        job_row,
        worker_row,
        replace(evidence, lease_until=0, is_worker_listed=False),
        wall_time,
    )


def _transact_without_version_check(platform, writes):
    scanned = platform.scan('')
    version_by_key = {
        row.key: row.version for row in getattr(scanned, 'rows', ())
    }
    return _transact(
        platform,
        tuple(
            replace(write, expected_version=version_by_key.get(write.key, 0))
            for write in writes
        ),
    )


class MutationTests(TestCase):
    """Disable one mechanism at a time; its state machine must detect it."""

    def assert_mutation_is_detected(self, machine, patch, steps=_STEPS):
        with patch, self.assertRaises(AssertionError):
            run_state_machine(
                machine,
                steps=steps,
                runs=_RUNS,
                is_shrinking=False,
            )

    def test_pause_check_of_seats(self):
        self.assert_mutation_is_detected(
            SeatMachine,
            mock.patch.object(
                InstanceState, 'is_paused', lambda instance_state, now: False
            ),
        )

    def test_lease_observation_before_takeover(self):
        self.assert_mutation_is_detected(
            SeatMachine,
            mock.patch(
                'ragwortfield.policies.seat_leases._is_holder_gone',
                lambda instance_state, timing, row, now: (
                    now > row.seat.expires_at
                ),
            ),
            steps=30,
        )

    def test_claim_gap_after_lost_holder(self):
        self.assert_mutation_is_detected(
            ClaimMachine,
            mock.patch(
                'ragwortfield.policies.idempotency._find_claim_gap',
                lambda instance_state, key, wall_time: '',
            ),
        )

    def test_claims_read_back_at_takeover(self):
        self.assert_mutation_is_detected(
            ClaimMachine,
            mock.patch(
                'ragwortfield.engine.claim_store.adopt_claims',
                lambda instance_state, claims, own: None,
            ),
        )

    def test_wait_for_lease_expiry(self):
        self.assert_mutation_is_detected(
            JobMachine,
            mock.patch(
                'ragwortfield.engine.job_scheduler.derive_expiry_transition',
                _expire_lease_at_once,
            ),
        )

    def test_versions_checked_in_transactions(self):
        self.assert_mutation_is_detected(
            JobMachine,
            mock.patch.object(
                FakePlatform, 'transact', _transact_without_version_check
            ),
        )

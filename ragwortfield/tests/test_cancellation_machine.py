"""Random runs of owners that learn late of cancellations.

The change feed of the inbox falls silent while commits go through, beside all
that the shard machine does.
"""

import unittest
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import initialize, rule

from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import (
    MAX_CLOCK_DRIFT,
    TimingBounds,
)
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.shard_world import (
    STOP_S,
    ShardOwner,
    ShardWorld,
    build_dependent_steps,
    build_single_step,
)
from ragwortfield.tests.test_shard_machine import ShardMachine

_BOUNDS = TimingBounds()
#: Longest time from the acknowledgement of a cancellation to a start, in
#: seconds: the age of the inbox and the start window on a slow clock.
_MAX_START_DELAY_S = _BOUNDS.inbox_age_s + _BOUNDS.start_window_s / (
    1 - MAX_CLOCK_DRIFT
)
#: Allowance for sums of simulated times, in seconds.
_ROUNDING_S = 1e-6
_STEPS = 40
#: Runs until a missing mechanism has to be found.
_MUTATION_RUNS = 150


class _SilentFeedOwner(ShardOwner):
    """Owner whose change feed gets no answer at times."""

    def _poll_changes(self):
        if not self.world.is_feed_silent:
            super()._poll_changes()


class CancellationWorld(ShardWorld):
    """World that checks when cancelled jobs were started last."""

    owner_type = _SilentFeedOwner

    def __init__(self, **options):
        super().__init__(**options)
        self.is_feed_silent = False
        self.cancelled_at_by_id = {}

    def cancel(self, job_id):
        super().cancel(job_id)
        if job_id in self.cancelled_job_ids:
            self.cancelled_at_by_id.setdefault(job_id, self.now)

    def check(self):
        super().check()
        for worker in self.workers.worker_by_id.values():
            for kind, at, key, _, _ in worker.history:
                if kind == 'start':
                    self._check_start(key, at)

    def _check_start(self, key, started_at):
        cancelled_at = self.cancelled_at_by_id.get(key.job_id, started_at)
        delay_s = started_at - cancelled_at
        assert delay_s <= _MAX_START_DELAY_S + _ROUNDING_S, (
            f'{key} started {delay_s} s after its cancellation'
        )


class CancellationMachine(ShardMachine):
    """Shard machine with a change feed that falls silent."""

    @initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed):
        self.world = CancellationWorld(
            workers=3, seed=seed, is_process_checked=True, stop_s=STOP_S
        )
        self.world.take_over()
        self.world.submit(build_dependent_steps())
        self.world.submit(build_single_step(count=3))

    @rule(is_silent=strategies.booleans())
    def silence_feed(self, is_silent):
        self.world.is_feed_silent = is_silent

    @rule(
        data=strategies.data(),
        seconds=strategies.sampled_from((1, 2, 4, 6)),
    )
    def cancel_beside_a_silent_feed(self, data, seconds):
        """Cancel a job; later its runs end, and its tasks could start anew."""
        self.world.is_feed_silent = True
        self.cancel(data)
        self.act_newest(seconds)
        self.world.end_runs(EndKind.FAILED, count=9)
        self.act_newest(1)

    def act_newest(self, seconds):
        for _ in range(seconds * 4):
            self.world.owners[-1].act()
            self.world.advance(0.25)
            self.world.check()


def test_no_start_follows_a_cancellation():
    run_state_machine(CancellationMachine, steps=_STEPS)


class MutationTest(unittest.TestCase):
    # Guards against a machine that would not notice starts of cancelled jobs.
    def test_machine_finds_starts_while_cancellations_are_unknown(self):
        patch = mock.patch.object(
            ShardState, 'is_inbox_current', lambda state, now: True
        )
        found = self.assertRaisesRegex(AssertionError, 'after its cancellation')
        with patch, found:
            run_state_machine(
                CancellationMachine,
                steps=_STEPS,
                runs=_MUTATION_RUNS,
                is_shrinking=False,
            )

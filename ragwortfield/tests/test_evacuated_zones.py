"""No task starts on a worker whose zone the operator evacuates."""

import unittest
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import initialize, rule

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import commits, evacuated_zones
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.evacuation_world import EVACUATE_S, EvacuationWorld
from ragwortfield.tests.shard_world import build_single_step
from ragwortfield.tests.test_shard_machine import ShardMachine

_STEP_S = 0.1
#: Random runs; fewer let starts in evacuated zones pass unnoticed.
_RUNS = 100


class StartTest(unittest.TestCase):
    """Two workers of four cores, each in a zone of its own."""

    def setUp(self):
        self.world = EvacuationWorld(workers=2, is_process_checked=True)
        self.world.take_over()
        self.act(0.5)

    def act(self, seconds):
        for _ in range(round(seconds / _STEP_S)):
            self.world.owners[-1].act()
            self.world.advance(_STEP_S)
            self.world.check()

    def count_starts(self, job_id):
        """Count the starts of a job on each worker."""
        return [
            len(self.world.list_starts(worker_id, job_id))
            for worker_id in ('w0', 'w1')
        ]

    # Guards against starts in the zone, and against a zone that stays unused
    # after its return.
    def test_evacuated_zone_gets_no_task_until_its_return(self):
        self.world.evacuate('z0')
        job_id = self.world.submit(build_single_step(count=8))
        self.act(2)
        self.assertEqual(self.count_starts(job_id), [0, 4])
        self.world.return_to_service('z0')
        self.act(0.5)
        self.assertEqual(self.count_starts(job_id), [4, 4])

    # Guards against starts while every worker is in an evacuated zone.
    def test_tasks_wait_while_all_zones_are_evacuated(self):
        self.world.evacuate('z0')
        self.world.evacuate('z1')
        job_id = self.world.submit(build_single_step())
        self.act(EVACUATE_S + 2)
        self.assertEqual(self.count_starts(job_id), [0, 0])
        self.world.return_to_service('z1')
        self.act(0.5)
        self.assertEqual(self.count_starts(job_id), [0, 1])

    # Guards against starts of an owner that does not hear of evacuations, and
    # against starts that are held back for good.
    def test_starts_are_held_while_the_operator_feed_is_silent(self):
        self.world.is_operator_feed_silent = True
        self.act(2)
        self.world.evacuate('z0')
        job_id = self.world.submit(build_single_step(count=2))
        self.act(EVACUATE_S + 2)
        self.assertEqual(self.count_starts(job_id), [0, 0])
        self.world.is_operator_feed_silent = False
        self.act(0.5)
        self.assertEqual(self.count_starts(job_id), [0, 2])

    # Guards against a start order for a binding that was made before the
    # evacuation was known: its commit goes through later.
    def test_binding_that_waits_for_its_commit_is_released(self):
        job_id = self.world.submit(build_single_step(count=8))
        with mock.patch.object(
            FakeRowStore,
            'commit',
            return_value=Unavailable(reason='full', is_effect_possible=False),
        ):
            self.act(0.3)
        self.world.evacuate('z0')
        self.act(2)
        self.assertEqual(self.count_starts(job_id), [0, 4])

    # Guards against a gang of which only the members outside the zone start.
    def test_gang_with_a_member_in_the_zone_is_released_as_a_whole(self):
        self.world.is_operator_feed_silent = True
        self.act(2)
        job_id = self.world.submit(
            build_single_step(count=2, cpu=3, is_gang=True)
        )
        self.act(0.5)
        self.assertEqual(len(self.world.owners[-1].state.held_starts), 2)
        self.world.evacuate('z0')
        self.world.is_operator_feed_silent = False
        self.act(2)
        self.assertEqual(self.count_starts(job_id), [0, 0])
        self.world.return_to_service('z0')
        self.act(0.5)
        self.assertEqual(self.count_starts(job_id), [1, 1])

    # Guards against the start of a gang when the zone becomes known between a
    # scheduling round and the end of a commit.
    def test_gang_is_released_when_its_commit_ends(self):
        self.world.is_operator_feed_silent = True
        self.act(2)
        job_id = self.world.submit(
            build_single_step(count=2, cpu=3, is_gang=True)
        )
        self.act(0.5)
        now = self.world.now
        state = self.world.owners[-1].state
        evacuated_zones.update_zones(state, frozenset(('z0',)), now, now)
        commits.order_held_starts(state, now)
        self.assertEqual(state.orders, [])
        step = state.find_step((job_id, 0, 0))
        self.assertEqual(len(step.waiting_indexes), 2)

    # Guards against a repeated start order in the zone, and against a task that
    # waits there: the answer to the first order was lost.
    def test_unanswered_start_is_stopped_and_goes_elsewhere(self):
        lost = Unavailable(reason='no answer', is_effect_possible=True)
        with mock.patch.object(
            FakeTaskWorkerControl, 'start', return_value=lost
        ) as start:
            job_id = self.world.submit(build_single_step(count=8))
            self.act(0.2)
            self.assertTrue(start.called)
            self.world.evacuate('z0')
            self.act(0.2)
        self.act(2)
        self.assertEqual(self.count_starts(job_id), [0, 4])

    # Guards against starts of a successor that has read its shard but not yet
    # the operator's rows; its former owner had bound tasks in the zone.
    def test_successor_starts_nothing_before_it_knows_the_zones(self):
        self.world.is_operator_feed_silent = True
        self.act(2)
        job_id = self.world.submit(build_single_step(count=8))
        self.act(0.5)
        self.world.evacuate('z0')
        self.world.hand_over()
        self.act(EVACUATE_S + 2)
        self.assertEqual(self.count_starts(job_id), [0, 0])
        self.world.is_operator_feed_silent = False
        self.act(1)
        self.assertEqual(self.count_starts(job_id), [0, 4])
        self.world.end_runs(EndKind.DONE, count=4)
        self.act(0.5)
        self.assertEqual(self.count_starts(job_id), [0, 8])


class EvacuationMachine(ShardMachine):
    """Competing owners, failing store and workers, and evacuated zones."""

    is_process_checked = True

    @initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed):
        self.world = EvacuationWorld(
            workers=3, seed=seed, is_process_checked=True
        )
        self.world.take_over()
        self.world.submit(build_single_step(count=6))

    @rule(number=strategies.integers(0, 1))
    def evacuate(self, number):
        self.world.evacuate(f'z{number}')

    @rule(number=strategies.integers(0, 1))
    def return_to_service(self, number):
        self.world.return_to_service(f'z{number}')

    @rule(count=strategies.integers(4, 8))
    def work_on(self, count):
        """Let tasks of a new job start and end until evacuations hold."""
        self.world.submit(build_single_step(count=count))
        for _ in range(2 * EVACUATE_S):
            for owner in self.world.owners:
                owner.act()
            self.world.advance(0.6)
            self.world.end_runs(EndKind.FAILED)
        self.world.check()

    @rule(is_silent=strategies.booleans())
    def silence_operator_feed(self, is_silent):
        self.world.is_operator_feed_silent = is_silent


def test_no_start_in_an_evacuated_zone_whoever_owns_the_shard():
    run_state_machine(EvacuationMachine, steps=40, runs=_RUNS)

"""Consolidation moves serving tasks so that waiting fillers can run."""

import unittest

from ragwortfield.core.resources import Resources
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling import consolidation, shard_updates
from ragwortfield.scheduling.filler_capacity import FillerCapacity
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    WEAK_INTERFERENCE,
    PlacementWorld,
)


class FillerCapacityTest(unittest.TestCase):
    def setUp(self):
        world = PlacementWorld(workers=1)
        world.set_interference_weights(
            {('a', 'f'): STRONG_INTERFERENCE, ('b', 'f'): WEAK_INTERFERENCE}
        )
        self.filler_capacity = FillerCapacity(
            model=world.state.interference_model,
            work_by_filler={'f': 10},
        )

    def estimate_usable_cpu(self, *images):
        return self.filler_capacity.estimate_usable_cpu(
            frozenset(images),
            idle_cpu=20,
            capacity_cpu=32,
        )

    def test_all_idle_cpu_is_usable_without_serving_tasks(self):
        self.assertEqual(self.estimate_usable_cpu(), 20)

    def test_strongest_interference_decides(self):
        usable_cpu = self.estimate_usable_cpu('a')
        usable_cpu_of_both = self.estimate_usable_cpu('a', 'b')
        self.assertEqual(usable_cpu, usable_cpu_of_both)
        self.assertLess(usable_cpu, self.estimate_usable_cpu('b'))

    def test_usable_cpu_is_at_most_the_idle_cpu(self):
        self.assertEqual(self.estimate_usable_cpu('b'), 20)

    def test_image_is_estimable_once_its_pairs_are_known(self):
        self.assertTrue(self.filler_capacity.is_estimable('a'))
        self.assertFalse(self.filler_capacity.is_estimable('c'))
        empty = FillerCapacity(model=InterferenceModel(), work_by_filler={})
        self.assertFalse(empty.is_estimable('a'))


class ConsolidationTest(unittest.TestCase):
    """Fillers wait, as each of two workers has a task that they would slow."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.world.set_interference_weights(
            {('a', 'f'): STRONG_INTERFERENCE, ('b', 'f'): STRONG_INTERFERENCE}
        )

    def add_jobs(self, **options):
        """
        Start serving images a and b on a worker each; fillers wait.

        :returns: task of image a, which leaves most of its worker idle.
        """
        movable = self.world.add_serving_task('a', cpu=6, load=0.7, **options)
        self.world.add_serving_task('b', cpu=20, load=0.7)
        self.world.add_job('fillers', count=12, image='f', is_filler=True)
        return movable

    def consolidate(self):
        consolidation.consolidate(self.world.state, NOW)

    def test_task_moves_to_a_worker_that_fits_no_more_fillers(self):
        movable = self.add_jobs()
        self.consolidate()
        self.assertTrue(movable.is_stop_wanted)
        self.world.finish_stop(movable)
        other = self.world.state.find_step(('b', 0, 0)).tasks[0]
        self.assertEqual(movable.worker_id, other.worker_id)

    # Guards against fillers that wait for ever beside idle CPU: an entry that
    # names no worker lists more CPU than all workers have, so the waiting
    # fillers look few.
    def test_entry_of_no_worker_does_not_prevent_a_move(self):
        movable = self.add_jobs()
        capacity = Resources(cpu=2**40, memory_mb=1)
        odd = ListedWorker(worker_id='odd', address='h:1', capacity=capacity)
        shard_updates.update_worker(self.world.state, odd)
        self.consolidate()
        self.assertTrue(movable.is_stop_wanted)

    # Guards against a serving task without a run for the rest of an outage of
    # the store: a move needs a commit before the task can start elsewhere.
    def test_nothing_moves_while_the_store_is_away(self):
        movable = self.add_jobs()
        confirmation = self.world.state.confirmation
        workers = self.world.state.worker_by_id
        confirmation.electorates = (dict.fromkeys(workers, 1),)
        for worker_id in workers:
            confirmation.record_poll(worker_id, 1, NOW)
        for stored_at, is_moved in ((NOW - 60, False), (NOW, True)):
            confirmation.stored_at = stored_at
            SchedulingRounds().decide(
                self.world.state, NOW, wall_time=NOW, is_binding_allowed=True
            )
            self.assertEqual(movable.is_stop_wanted, is_moved)

    def test_nothing_moves_while_no_filler_waits(self):
        movable = self.world.add_serving_task('a', cpu=6, load=0.7)
        self.world.add_serving_task('b', cpu=20, load=0.7)
        self.consolidate()
        self.assertFalse(movable.is_stop_wanted)

    def test_task_that_must_stay_available_is_not_moved(self):
        movable = self.add_jobs(max_unavailable=0)
        self.consolidate()
        self.assertFalse(movable.is_stop_wanted)

    def test_step_with_an_unavailable_task_is_not_disrupted(self):
        first = self.add_jobs(count=2, per_worker_limit=1, max_unavailable=1)
        step = self.world.state.get_step(first)
        step.tasks[1].percent = 50
        self.consolidate()
        self.assertFalse(any(task.is_stop_wanted for task in step.tasks))

    def test_images_without_known_interference_are_not_moved(self):
        self.world.state.interference_model.weight_by_pair.clear()
        movable = self.add_jobs()
        self.consolidate()
        self.assertFalse(movable.is_stop_wanted)

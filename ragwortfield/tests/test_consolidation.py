"""Serving tasks that keep waiting fillers off workers are moved."""

import unittest

from ragwortfield.scheduling import consolidation
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.filler_capacity import FillerCapacity
from ragwortfield.tests.placement_world import (
    WEAK_INTERFERENCE,
    STRONG_INTERFERENCE,
    NOW,
    PlacementWorld,
)


class FillerCapacityTest(unittest.TestCase):
    def setUp(self):
        world = PlacementWorld(workers=1)
        world.learn(
            {('a', 'f'): STRONG_INTERFERENCE, ('b', 'f'): WEAK_INTERFERENCE}
        )
        self.tolerance = FillerCapacity(
            model=world.state.interference_model,
            work_by_filler={'f': 10},
        )

    def usable(self, *images):
        return self.tolerance.estimate_usable_cpu(
            frozenset(images),
            idle_cpu=20,
            capacity_cpu=32,
        )

    def test_all_idle_cpu_is_usable_without_serving_tasks(self):
        self.assertEqual(self.usable(), 20)

    def test_strongest_interference_decides(self):
        alone = self.usable('a')
        mixed = self.usable('a', 'b')
        self.assertEqual(alone, mixed)
        self.assertLess(alone, self.usable('b'))

    def test_usable_cpu_is_at_most_the_idle_cpu(self):
        self.assertEqual(self.usable('b'), 20)

    def test_image_is_estimable_once_its_pairs_are_known(self):
        self.assertTrue(self.tolerance.is_estimable('a'))
        self.assertFalse(self.tolerance.is_estimable('c'))
        empty = FillerCapacity(model=InterferenceModel(), work_by_filler={})
        self.assertFalse(empty.is_estimable('a'))


class ConsolidationTest(unittest.TestCase):
    """Pattern: one harsh serving task alone, and harsh fillers that wait."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.world.learn(
            {('a', 'f'): STRONG_INTERFERENCE, ('b', 'f'): STRONG_INTERFERENCE}
        )

    def arrange(self, **terms):
        """Images a and b serve on one worker each; fillers wait for both."""
        alone = self.world.serve('a', cpu=6, load=0.7, **terms)
        self.world.serve('b', cpu=20, load=0.7)
        self.world.add_job('fillers', count=12, image='f', is_filler=True)
        return alone

    def consolidate(self):
        consolidation.consolidate(self.world.state, NOW)

    def test_task_moves_to_a_worker_that_fits_no_more_fillers(self):
        alone = self.arrange()
        self.consolidate()
        self.assertTrue(alone.is_stop_wanted)
        self.world.end_stopped(alone)
        other = self.world.state.find_step(('b', 0, 0)).tasks[0]
        self.assertEqual(alone.worker_id, other.worker_id)

    def test_nothing_moves_while_no_filler_waits(self):
        alone = self.world.serve('a', cpu=6, load=0.7)
        self.world.serve('b', cpu=20, load=0.7)
        self.consolidate()
        self.assertFalse(alone.is_stop_wanted)

    def test_task_that_must_stay_available_is_not_moved(self):
        alone = self.arrange(max_unavailable=0)
        self.consolidate()
        self.assertFalse(alone.is_stop_wanted)

    def test_step_with_an_unavailable_task_is_not_disrupted(self):
        first = self.arrange(count=2, per_worker_limit=1, max_unavailable=1)
        step = self.world.state.get_step(first)
        step.tasks[1].percent = 50
        self.consolidate()
        self.assertFalse(any(task.is_stop_wanted for task in step.tasks))

    def test_images_without_known_interference_are_not_moved(self):
        self.world.state.interference_model.weight_by_pair.clear()
        alone = self.arrange()
        self.consolidate()
        self.assertFalse(alone.is_stop_wanted)

"""Serving tasks give way to wide tasks that find only pieces of room."""

import unittest

from ragwortfield.scheduling import defragmentation
from ragwortfield.tests.placement_world import NOW, PlacementWorld


class FragmentTest(unittest.TestCase):
    """Pattern: two workers of 32 cores with pieces of 10 and 8 left."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.serving = [
            self.world.serve(image, load=0.4, cpu=cpu)
            for image, cpu in (('a', 12), ('b', 14), ('c', 10), ('d', 10))
        ]
        free = sorted(
            worker.free_cpu()
            for worker in self.world.state.worker_by_id.values()
        )
        self.assertEqual(free, [8, 10])

    def arrange(self, **terms):
        return self.world.add_job('wide', cpu=16, **terms)

    def defragment(self):
        defragmentation.defragment(self.world.state, NOW)

    def stopped(self):
        return [task for task in self.serving if task.is_stop_wanted]

    def test_large_task_waits_while_no_fragment_is_large_enough(self):
        wide = self.arrange()[0]
        self.assertEqual(wide.worker_id, '')

    def test_one_task_moves_into_a_fragment_and_the_large_task_starts(self):
        wide = self.arrange()[0]
        self.defragment()
        leaving = self.stopped()
        self.assertEqual(len(leaving), 1)
        cleared = leaving[0].worker_id
        self.world.end_stopped(leaving[0])
        self.assertEqual(wide.worker_id, cleared)
        self.assertNotEqual(leaving[0].worker_id, cleared)

    def test_serving_task_is_moved_for_a_large_serving_task(self):
        late = self.world.serve('late', load=0.4, cpu=16)
        self.assertEqual(late.worker_id, '')
        self.defragment()
        self.world.end_stopped(self.stopped()[0])
        self.assertNotEqual(late.worker_id, '')

    def test_nothing_moves_while_the_waiting_task_fits(self):
        self.world.add_job('narrow', cpu=2)
        self.defragment()
        self.assertEqual(self.stopped(), [])

    def test_nothing_moves_without_a_destination(self):
        self.world.serve('e', load=0.4, cpu=10)
        self.arrange()
        self.defragment()
        self.assertEqual(self.stopped(), [])

    def test_tasks_that_must_stay_available_are_not_moved(self):
        for task in self.serving:
            task.percent = 50
        self.arrange()
        self.defragment()
        self.assertEqual(self.stopped(), [])

    def test_waiting_fillers_move_no_task(self):
        self.world.add_job('f', cpu=30, is_filler=True, image='f')
        self.defragment()
        self.assertEqual(self.stopped(), [])

    def test_next_clearance_waits_for_the_previous_one(self):
        self.arrange(count=2)
        self.defragment()
        count = len(self.stopped())
        self.defragment()
        self.assertEqual(len(self.stopped()), count)


class BestFitTest(unittest.TestCase):
    """Pattern: wide tasks wait, and each piece left by a poor fit is lost."""

    def place(self, *, is_tight):
        world = PlacementWorld(workers=2)
        world.serve('a', load=0.4, cpu=10)
        world.serve('b', load=0.4, cpu=18)
        if is_tight:
            world.add_job('wide', cpu=31)
        task = world.serve('a', load=0.4, cpu=14, job_id='a2')
        return world.state.worker_by_id[task.worker_id].free_cpu()

    def test_exact_fit_is_preferred_while_large_tasks_wait(self):
        self.assertEqual(self.place(is_tight=True), 0)

    def test_image_mix_decides_while_nothing_waits(self):
        self.assertEqual(self.place(is_tight=False), 8)


class DisruptionBudgetTest(unittest.TestCase):
    """Pattern: one step serves on several workers that would be cleared."""

    def setUp(self):
        self.world = PlacementWorld(workers=6)
        for number in range(2):
            self.world.serve(f'full{number}', load=0.4, cpu=24)
        self.step = self.world.state.get_step(
            self.world.serve(
                'spread',
                load=0.4,
                cpu=8,
                count=4,
                per_worker_limit=1,
                max_unavailable=1,
            ),
        )
        for number in range(2):
            self.world.serve(f'half{number}', load=0.4, cpu=22)

    def test_only_one_task_of_a_step_moves_at_a_time(self):
        # A round clears at most one worker for each 24 and one more.
        for number in range(24):
            self.world.add_worker(f'x{number}', cpu=4)
        for number in range(2):
            self.world.add_job(f'wide{number}', cpu=26)
        defragmentation.defragment(self.world.state, NOW)
        away = [task for task in self.step.tasks if task.is_stop_wanted]
        self.assertEqual(len(away), 1)

"""Fillers beside tasks that serve users: learning, placing, pacing."""

import math
import unittest

from ragwortfield.scheduling import interference_control, filler_relocation
from ragwortfield.scheduling.interference_model import (
    LoadEstimate,
    InterferenceModel,
)
from ragwortfield.scheduling.worker_selection import compute_free_filler_cpu
from ragwortfield.tests.placement_world import (
    WEAK_INTERFERENCE,
    STRONG_INTERFERENCE,
    NOW,
    TARGET_MS,
    PlacementWorld,
)

#: Tail latency of the users' serving tasks when idle.
_IDLE_MS = 4


def _tail_ms(load, shares, weights):
    use = load + sum(weights[image] * share for image, share in shares.items())
    return _IDLE_MS / (1 - min(use, 0.99))


class InterferenceModelTest(unittest.TestCase):
    """Loads swing by half of their mean with a period of ten seconds."""

    def learn(self, weights):
        model = InterferenceModel()
        load = LoadEstimate()
        for step in range(400):
            now = step / 2
            true_load = 0.42 * (1 + math.sin(now * math.tau / 10) / 2)
            image = ('gentle', 'harsh')[step // 7 % 2]
            shares = {} if step % 3 else {image: 0.1}
            load.predict(now + 1)
            model.learn(
                'serving',
                load,
                shares,
                changes={},
                tail_ms=round(_tail_ms(true_load, shares, weights)),
                target_ms=TARGET_MS,
            )
        return model

    def test_weak_and_strong_interference_are_distinguished(self):
        model = self.learn(
            {'gentle': WEAK_INTERFERENCE, 'harsh': STRONG_INTERFERENCE}
        )
        gentle = model.weight('serving', 'gentle')
        harsh = model.weight('serving', 'harsh')
        self.assertLess(gentle, STRONG_INTERFERENCE / 2)
        self.assertGreater(harsh, STRONG_INTERFERENCE / 2)
        self.assertGreater(harsh, 2 * gentle)

    def test_reading_delayed_after_a_change_has_little_effect(self):
        """A tail that was read while harsh fillers left is not the gentle's."""
        model = self.learn(
            {'gentle': WEAK_INTERFERENCE, 'harsh': STRONG_INTERFERENCE}
        )
        for _ in range(10):
            model.learn(
                'serving',
                LoadEstimate(level=0.42, level_variance=0.001),
                {'gentle': 0.1},
                changes={'harsh': 0.2},
                tail_ms=round(
                    _tail_ms(
                        0.42, {'harsh': 0.2}, {'harsh': STRONG_INTERFERENCE}
                    ),
                ),
                target_ms=TARGET_MS,
            )
        self.assertLess(
            model.weight('serving', 'gentle'), STRONG_INTERFERENCE / 2
        )

    def test_weights_stay_within_their_range(self):
        model = self.learn({'gentle': 0, 'harsh': 0})
        for image in ('gentle', 'harsh'):
            self.assertGreaterEqual(model.weight('serving', image), 0)
            self.assertLess(model.weight('serving', image), 1)


class FillerTest(unittest.TestCase):
    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.state = self.world.state
        self.add_job = self.world.add_job
        self.world.learn(
            {
                ('a', 'f'): STRONG_INTERFERENCE,
                ('b', 'f'): WEAK_INTERFERENCE,
                ('a', 'g'): WEAK_INTERFERENCE,
                ('b', 'g'): WEAK_INTERFERENCE,
            },
        )

    def serve(self, load):
        """One serving task of image a, another of image b, elsewhere."""
        for image in ('a', 'b'):
            self.world.serve(image, load=load)
        return [self.serve_place(image) for image in ('a', 'b')]

    def test_serving_images_run_on_different_workers(self):
        first, second = self.serve(0.4)
        self.assertNotEqual(first, second)

    def test_filler_goes_where_it_interferes_least(self):
        _, place_of_b = self.serve(0.4)
        task = self.add_job('filler', image='f', is_filler=True)[0]
        self.assertEqual(task.worker_id, place_of_b)

    def test_weak_filler_leaves_the_insensitive_worker_to_others(self):
        place_of_a, _ = self.serve(0.4)
        task = self.add_job('filler', image='g', is_filler=True)[0]
        self.assertEqual(task.worker_id, place_of_a)

    def test_filler_waits_if_it_would_stall(self):
        self.serve(0.8)
        del self.state.worker_by_id[self.serve_place('b')]
        task = self.add_job('filler', image='f', is_filler=True)[0]
        self.assertEqual(task.worker_id, '')

    def serve_place(self, image):
        step = self.state.find_step((image, 0, 0))
        return step.tasks[0].worker_id

    def test_rising_load_slows_only_interfering_fillers(self):
        self.serve(0.4)
        gentle = self.add_job('gentle', image='g', is_filler=True)[0]
        harsh = self.add_job('harsh', image='f', is_filler=True)[0]
        worker = self.state.worker_by_id[self.serve_place('a')]
        worker.add(harsh)
        load = self.state.find_step(('a', 0, 0)).load
        load.level = 0.65
        interference_control.adjust_paces(self.state, NOW + 1)
        percent_by_key = {
            order.key: order.percent for order in self.state.orders
        }
        self.assertLess(percent_by_key[harsh.key], 50)
        self.assertGreaterEqual(percent_by_key.get(gentle.key, 100), 50)

    def test_slowed_filler_keeps_its_cpu(self):
        """Fillers that took its place would run beside it when it resumes."""
        self.serve(0.4)
        task = self.add_job('filler', image='g', is_filler=True)[0]
        worker = self.state.worker_by_id[task.worker_id]
        left = compute_free_filler_cpu(worker)
        task.pace = 0
        self.assertEqual(compute_free_filler_cpu(worker), left)

    def test_stalled_filler_moves_if_it_can_resume(self):
        self.serve(0.4)
        task = self.add_job(
            'filler',
            image='f',
            is_filler=True,
            is_checkpointed=True,
        )[0]
        worker_by_id = self.state.worker_by_id
        worker_by_id[task.worker_id].remove(task)
        task.worker_id = self.serve_place('a')
        worker_by_id[task.worker_id].add(task)
        task.pace = 0
        task.slowed_at = NOW - 5
        filler_relocation.relocate_stalled_fillers(self.state, NOW)
        self.assertTrue(task.is_stop_wanted)

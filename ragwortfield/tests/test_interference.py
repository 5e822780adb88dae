"""Fillers on workers of serving tasks: learning, placement and pacing."""

import math
import unittest

from ragwortfield.scheduling import (
    dispatch,
    filler_relocation,
    interference_control,
)
from ragwortfield.scheduling.filler_relocation import relocate_stalled_fillers
from ragwortfield.scheduling.interference_model import (
    InterferenceModel,
    LoadEstimate,
)
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.scheduling.worker_selection import compute_free_filler_cpu
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    TARGET_MS,
    WEAK_INTERFERENCE,
    PlacementWorld,
)

#: Tail latency of idle serving tasks, in milliseconds.
_IDLE_MS = 4


def _compute_tail_ms(load, shares, weights):
    utilisation = load + sum(
        weights[image] * share for image, share in shares.items()
    )
    return _IDLE_MS / (1 - min(utilisation, 0.99))


class InterferenceModelTest(unittest.TestCase):
    """The load swings by half of its mean with a period of ten seconds."""

    def learn(self, weights):
        model = InterferenceModel()
        load = LoadEstimate()
        for step in range(400):
            now = step / 2
            true_load = 0.42 * (1 + math.sin(now * math.tau / 10) / 2)
            image = ('weak', 'strong')[step // 7 % 2]
            shares = {} if step % 3 else {image: 0.1}
            load.predict(now + 1)
            model.learn(
                'serving',
                load,
                shares,
                changes={},
                tail_ms=round(_compute_tail_ms(true_load, shares, weights)),
                target_ms=TARGET_MS,
            )
        return model

    def test_weak_and_strong_interference_are_distinguished(self):
        model = self.learn(
            {'weak': WEAK_INTERFERENCE, 'strong': STRONG_INTERFERENCE}
        )
        weak = model.weight('serving', 'weak')
        strong = model.weight('serving', 'strong')
        self.assertLess(weak, STRONG_INTERFERENCE / 2)
        self.assertGreater(strong, STRONG_INTERFERENCE / 2)
        self.assertGreater(strong, 2 * weak)

    def test_reading_delayed_after_a_change_has_little_effect(self):
        """
        Guards against a wrong weight: a tail latency that was read while
        fillers with strong interference left is attributed to the weak filler
        that stays.
        """
        model = self.learn(
            {'weak': WEAK_INTERFERENCE, 'strong': STRONG_INTERFERENCE}
        )
        for _ in range(10):
            model.learn(
                'serving',
                LoadEstimate(level=0.42, level_variance=0.001),
                {'weak': 0.1},
                changes={'strong': 0.2},
                tail_ms=round(
                    _compute_tail_ms(
                        0.42, {'strong': 0.2}, {'strong': STRONG_INTERFERENCE}
                    ),
                ),
                target_ms=TARGET_MS,
            )
        self.assertLess(
            model.weight('serving', 'weak'), STRONG_INTERFERENCE / 2
        )

    def test_weights_stay_within_their_range(self):
        model = self.learn({'weak': 0, 'strong': 0})
        for image in ('weak', 'strong'):
            self.assertGreaterEqual(model.weight('serving', image), 0)
            self.assertLess(model.weight('serving', image), 1)


class FillerPlacementTest(unittest.TestCase):
    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.state = self.world.state
        self.add_job = self.world.add_job
        self.world.set_interference_weights(
            {
                ('a', 'f'): STRONG_INTERFERENCE,
                ('b', 'f'): WEAK_INTERFERENCE,
                ('a', 'g'): WEAK_INTERFERENCE,
                ('b', 'g'): WEAK_INTERFERENCE,
            },
        )

    def add_serving_tasks(self, load):
        """
        Start a serving task of image a and one of image b.

        :returns: ids of their workers.
        """
        for image in ('a', 'b'):
            self.world.add_serving_task(image, load=load)
        return [self.get_serving_worker_id(image) for image in ('a', 'b')]

    def test_serving_images_run_on_different_workers(self):
        first, second = self.add_serving_tasks(0.4)
        self.assertNotEqual(first, second)

    def test_filler_goes_where_it_interferes_least(self):
        _, worker_id_of_b = self.add_serving_tasks(0.4)
        task = self.add_job('filler', image='f', is_filler=True)[0]
        self.assertEqual(task.worker_id, worker_id_of_b)

    def test_weak_filler_leaves_the_insensitive_worker_to_others(self):
        worker_id_of_a, _ = self.add_serving_tasks(0.4)
        task = self.add_job('filler', image='g', is_filler=True)[0]
        self.assertEqual(task.worker_id, worker_id_of_a)

    def test_filler_waits_if_it_would_stall(self):
        self.add_serving_tasks(0.8)
        del self.state.worker_by_id[self.get_serving_worker_id('b')]
        task = self.add_job('filler', image='f', is_filler=True)[0]
        self.assertEqual(task.worker_id, '')

    def get_serving_worker_id(self, image):
        step = self.state.find_step((image, 0, 0))
        return step.tasks[0].worker_id

    def test_rising_load_slows_only_interfering_fillers(self):
        self.add_serving_tasks(0.4)
        weak = self.add_job('weak', image='g', is_filler=True)[0]
        strong = self.add_job('strong', image='f', is_filler=True)[0]
        worker = self.state.worker_by_id[self.get_serving_worker_id('a')]
        worker.add(strong)
        load = self.state.find_step(('a', 0, 0)).load
        load.level = 0.65
        interference_control.adjust_paces(self.state, NOW + 1)
        percent_by_key = {
            order.key: order.percent for order in self.state.orders
        }
        self.assertLess(percent_by_key[strong.key], 50)
        self.assertGreaterEqual(percent_by_key.get(weak.key, 100), 50)

    def test_slowed_filler_keeps_its_cpu(self):
        """
        Guards against overload: if the CPU of a slowed filler counted as free,
        other fillers would start and run beside it when it resumes.
        """
        self.add_serving_tasks(0.4)
        task = self.add_job('filler', image='g', is_filler=True)[0]
        worker = self.state.worker_by_id[task.worker_id]
        free_cpu = compute_free_filler_cpu(worker)
        task.pace = 0
        self.assertEqual(compute_free_filler_cpu(worker), free_cpu)

    def test_stalled_filler_moves_if_it_can_resume(self):
        self.add_serving_tasks(0.4)
        task = self.add_job(
            'filler',
            image='f',
            is_filler=True,
            is_checkpointed=True,
        )[0]
        worker_by_id = self.state.worker_by_id
        worker_by_id[task.worker_id].remove(task)
        task.worker_id = self.get_serving_worker_id('a')
        worker_by_id[task.worker_id].add(task)
        task.pace = 0
        task.slowed_at = NOW - 5
        filler_relocation.relocate_stalled_fillers(self.state, NOW)
        self.assertTrue(task.is_stop_wanted)


class UncoveredFillerTest(unittest.TestCase):
    """No reading has shown yet how much a new filler interferes."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.world.state.settings = SchedulingSettings(
            uncovered_filler_margin=1
        )
        self.world.set_interference_weights({('a', 'f'): 1.05})
        self.worker = self.world.state.worker_by_id['w0']
        self.serving = self.world.add_serving_task('a', load=0.4)
        self.filler = self.add_filler('first')
        self.filler.started_at = NOW

    def add_filler(self, job_id):
        return self.world.add_job(job_id, image='f', is_filler=True)[0]

    # Guards against several fillers that start on one worker between two
    # readings, and together take its serving tasks over their targets.
    def test_next_filler_waits_until_a_reading_covers_the_first(self):
        second = self.add_filler('second')
        self.assertEqual(second.worker_id, '')
        self.worker.reported_at = NOW + 0.5
        self.worker.record_change()
        self.world.dispatch()
        self.assertEqual(second.worker_id, 'w0')

    # Guards against a filler at full pace whose weight has grown since it was
    # learned, where there is little headroom.
    def test_new_filler_is_slowed_until_a_reading_covers_it(self):
        self.world.state.get_step(self.serving).load.level = 0.55
        self.assertLess(self.find_pace(NOW), 80)
        self.worker.reported_at = NOW + 0.5
        self.assertEqual(self.find_pace(NOW + 0.5), 100)

    def find_pace(self, now):
        self.filler.is_pacing = False
        self.filler.pace = 0
        self.world.state.orders.clear()
        interference_control.adjust_paces(self.world.state, now)
        return self.world.state.orders[0].percent


class StarvedFillerTest(unittest.TestCase):
    """Fillers that would slow the serving tasks of every worker."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.world.set_interference_weights({('a', 'f'): STRONG_INTERFERENCE})
        for number in range(2):
            self.world.add_serving_task('a', load=0.7, job_id=f's{number}')

    def add_fillers(self, job_id, count):
        return self.world.add_job(
            job_id, count=count, cpu=8, image='f', is_filler=True
        )

    def dispatch_after(self, seconds):
        now = NOW + seconds
        for worker in self.world.state.worker_by_id.values():
            worker.reported_at = now
        dispatch.dispatch(self.world.state, now)

    def count_bound(self, tasks):
        return sum(bool(task.worker_id) for task in tasks)

    def test_fillers_wait_at_first(self):
        self.assertEqual(self.count_bound(self.add_fillers('f', 2)), 0)

    # Guards against a job that never starts although all workers have room: its
    # fillers would nowhere reach the speed from which on they are started.
    def test_job_without_a_run_gets_one(self):
        tasks = self.add_fillers('f', 3)
        self.dispatch_after(4)
        self.assertEqual(self.count_bound(tasks), 1)
        self.dispatch_after(5)
        self.assertEqual(self.count_bound(tasks), 1)

    def test_workers_without_fillers_are_used_first(self):
        first = self.add_fillers('f', 1)
        second = self.add_fillers('g', 1)
        third = self.add_fillers('h', 1)
        self.dispatch_after(4)
        self.assertEqual(self.count_bound(first + second + third), 2)
        workers = {task.worker_id for task in first + second + third}
        self.assertEqual(workers, {'', 'w0', 'w1'})

    # Guards against the same where each worker has such a filler already.
    def test_job_gets_a_run_beside_other_fillers_later(self):
        jobs = [self.add_fillers(job_id, 1) for job_id in ('f', 'g', 'h')]
        self.dispatch_after(4)
        self.dispatch_after(11)
        self.assertEqual([self.count_bound(job) for job in jobs], [1, 1, 1])


class StalledFillerTest(unittest.TestCase):
    """A stalled filler in a full pool, while others of its kind find places."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.task = self.world.add_job(
            'stalled', is_filler=True, image='f', is_checkpointed=True
        )[0]
        self.task.pace = 0
        self.task.slowed_at = NOW - 2

    def relocate(self, bound_at, label=''):
        self.task.ordered_at = NOW - 3
        group = ('pool', label, 'f')
        self.world.state.filler_bound_at_by_group = {group: bound_at}
        relocate_stalled_fillers(self.world.state, NOW)
        return self.task.is_stop_wanted

    # Guards against a job that waits for its last task, which stands still
    # beside a serving task while every free place goes to another job.
    def test_it_is_stopped_while_others_find_places(self):
        self.assertTrue(self.relocate(NOW - 0.1))

    def test_it_stays_while_no_other_finds_one(self):
        self.assertFalse(self.relocate(NOW - 0.9))

    def test_places_of_other_labels_do_not_count(self):
        self.assertFalse(self.relocate(NOW - 0.1, label='gpu'))

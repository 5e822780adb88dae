"""Durations of tasks, learned from runs."""

import unittest
from math import exp
from random import Random

from ragwortfield.scheduling.duration_learning import learn_from_progress
from ragwortfield.scheduling.duration_model import DurationModel
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.tests.placement_world import NOW, PlacementWorld

_QUEUE = 'queue'


def train(model, *, error, steps=200):
    """Show steps of 1 s in the median whose declarations are off."""
    random = Random(1)
    for _ in range(steps):
        real = random.gauss(0, 0.6)
        declared = real + random.gauss(0, error)
        model.observe(_QUEUE, exp(declared), exp(real))


class DurationModelTest(unittest.TestCase):
    def setUp(self):
        self.model = DurationModel()

    def test_declared_duration_is_believed_before_anything_is_known(self):
        self.assertEqual(self.model.predict(_QUEUE, 3), 3)

    # Guards against an order by slack that follows declarations without
    # information: a task of 1 s declared as 9 s seemed nine times as urgent.
    def test_uninformative_declarations_are_drawn_to_the_mean(self):
        train(self.model, error=1.5)
        self.assertLess(self.model.predict(_QUEUE, 9), 2.5)
        self.assertGreater(self.model.predict(_QUEUE, 1 / 9), 0.4)

    def test_exact_declarations_stay_believed(self):
        train(self.model, error=0.02)
        self.assertAlmostEqual(self.model.predict(_QUEUE, 4), 4, delta=0.3)

    def test_queues_do_not_influence_each_other(self):
        train(self.model, error=1.5)
        self.assertEqual(self.model.predict('other', 9), 9)

    def test_restored_model_predicts_the_same(self):
        train(self.model, error=1)
        restored = DurationModel()
        restored.restore(self.model.record())
        self.assertAlmostEqual(
            restored.predict(_QUEUE, 5), self.model.predict(_QUEUE, 5), places=1
        )


class LearningTest(unittest.TestCase):
    """A job of four tasks declared as 1 s each; they take 4 s."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.tasks = self.world.add_job('job', count=4)
        self.job = self.world.state.job_by_id['job']

    def report(self, task, percent, age_s):
        task.ordered_at = NOW
        task.started_at = NOW
        task.percent = percent
        learn_from_progress(self.world.state, task, NOW + age_s)

    def test_progress_shows_the_duration_long_before_the_end(self):
        self.report(self.tasks[0], 25, 1)
        self.assertEqual(self.job.expected_task_s(0), 4)
        self.assertEqual(self.job.critical_path_s(0), 4)

    # Guards against a step that seems to take as long as its slowest run.
    def test_one_straggler_does_not_change_the_expected_duration(self):
        for task in self.tasks[:3]:
            self.report(task, 25, 1)
        self.report(self.tasks[3], 25, 7)
        self.assertEqual(self.job.expected_task_s(0), 4)

    def test_first_percents_and_resumed_runs_say_nothing(self):
        self.report(self.tasks[0], 5, 1)
        self.tasks[1].run = 2
        self.report(self.tasks[1], 50, 1)
        self.assertEqual(self.job.expected_task_s(0), 1)

    # Guards against fillers that seem long because they were paced.
    def test_paced_filler_says_nothing(self):
        filler = self.world.add_job('filler', is_filler=True)[0]
        filler.pace = 50
        self.report(filler, 25, 1)
        self.assertEqual(
            self.world.state.job_by_id['filler'].expected_task_s(0), 1
        )

    # Guards against an expected duration that doubles as soon as one task runs
    # away from its data; objectives and waits follow from it.
    def test_run_away_from_its_data_shows_the_duration_beside_them(self):
        state = self.world.state
        state.settings = SchedulingSettings(remote_duration_factor=2)
        task = self.world.add_job('remote', data_rack='none')[0]
        task.ordered_at = NOW
        task.started_at = NOW
        task.percent = 25
        learn_from_progress(state, task, NOW + 1)
        self.assertEqual(state.job_by_id['remote'].expected_task_s(0), 2)

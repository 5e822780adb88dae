"""Simulations of the scheduling decisions on random workloads."""

import unittest

from absl import app, logging

from ragwortfield.experiment import main
from ragwortfield.experiment.loads import (
    FILLERS,
    URGENT,
    WorkloadGenerator,
    make_pool_workload,
)
from ragwortfield.experiment.simulation import Simulation


class SimulationTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        level = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        cls.addClassCleanup(logging.set_verbosity, level)
        cls.result = Simulation(workload=make_pool_workload(12), seed=3).run(4)

    def test_same_seed_gives_the_same_results(self):
        again = Simulation(workload=make_pool_workload(12), seed=3).run(4)
        self.assertEqual(again.runs, self.result.runs)
        self.assertEqual(again.on_time_by_queue, self.result.on_time_by_queue)
        self.assertEqual(again.serving, self.result.serving)

    # Guards against a simulation in which nothing starts any more after a few
    # seconds without a commit.
    def test_load_after_a_quiet_time_is_served(self):
        simulation = Simulation(workload=make_pool_workload(12), seed=3)
        simulation._now = 60
        self.assertGreater(simulation.run(4).runs, 0)

    def test_a_light_load_is_served(self):
        self.assertGreater(self.result.runs, 0)
        self.assertGreater(self.result.serving, 0.9)
        self.assertEqual(set(self.result.on_time_by_queue), {URGENT, FILLERS})

    def test_result_is_formatted_as_row_and_document(self):
        row = main.format_result(self.result)
        self.assertEqual(row.split()[:2], ['12', '3'])
        self.assertEqual(self.result.to_document()['workers'], 12)

    def test_plot_is_drawn(self):
        self.assertIn(b'<svg', main.render_cost_plot([self.result]))


class WorkloadGeneratorTest(unittest.TestCase):
    def test_serving_jobs_use_their_share_of_the_cpu(self):
        workload = make_pool_workload(24)
        jobs = WorkloadGenerator(
            workload=workload, seed=1
        ).generate_serving_jobs()
        reserved_cpu = sum(
            step.count * step.need.cpu for job in jobs for step in job.steps
        )
        target_cpu = (
            workload.workers * workload.worker_cpu * workload.serving_share
        )
        self.assertGreaterEqual(reserved_cpu, target_cpu)
        self.assertLess(reserved_cpu, 1.3 * target_cpu)

    def test_invalid_number_is_named_in_the_error(self):
        with self.assertRaisesRegex(app.UsageError, "--workers: 'x'"):
            main._parse_positive_integers('workers', ['24', 'x'])

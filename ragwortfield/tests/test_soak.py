"""A short run of the soak on the small site, with the deploy file's build."""

import tempfile
import unittest
from pathlib import Path

from ragwortfield.soak.processes import build, render_template
from ragwortfield.soak.run import SoakPlan, run_soak
from ragwortfield.soak.site import small_site

_ROOT = Path(__file__).parent.parent.parent
_SEED = 1
_TRAFFIC_S = 24


class SoakTest(unittest.TestCase):
    def run_kinds(self, theme, *kinds):
        plan = SoakPlan(
            seed=_SEED, site=small_site(_TRAFFIC_S), theme=theme, kinds=kinds
        )
        with tempfile.TemporaryDirectory() as folder:
            return run_soak(plan, build(_ROOT), Path(folder))

    # Guards against answers that are cut off at planned stops, and accepted
    # jobs that are lost by them.
    def test_planned_stops_that_overlap_lose_nothing(self):
        report = self.run_kinds('overlapping', 'roll_term_together', 'hup')
        self.assertEqual(report.violations, ())
        self.assertEqual(len(report.struck), 2)

    # Guards against lasting tasks that stay away after all instances and some
    # workers have lost power together.
    def test_loss_of_all_instances_and_some_workers_loses_nothing(self):
        report = self.run_kinds('power', 'srv_gone', 'herd_power')
        self.assertEqual(report.violations, ())
        self.assertEqual(len(report.struck), 2)

    # Guards against two runs of one task, and tasks of cancelled jobs that run
    # on, while an owner is cut off with some of the workers, other workers
    # carry out their orders late, and jobs are cancelled.
    def test_isolated_owner_beside_cancellations_runs_nothing_twice(self):
        report = self.run_kinds(
            'cuts', 'owner_isolated', 'srv_freeze', 'cancel_wave'
        )
        self.assertEqual(report.violations, ())
        self.assertEqual(len(report.struck), 3)

    # Guards against jobs that are lost, run twice or cancelled by crowds of
    # clients outside the limits, also while an owner stops.
    def test_crowds_of_clients_lose_nothing(self):
        report = self.run_kinds(
            'clients', 'client_crowd', 'owner_term', 'client_crowd'
        )
        self.assertEqual(report.violations, ())
        self.assertEqual(len(report.struck), 3)


class TemplateTest(unittest.TestCase):
    def test_placeholders_are_filled_in_from_tables_and_lists(self):
        text = render_template(
            'a = {{listen.front}} {{port_range.0}} "{{advice}}"',
            {'listen': {'front': 'h:1'}, 'port_range': [7, 9]},
        )
        self.assertEqual(text, 'a = h:1 7 ""')

    # Guards against a settings line without a value, which no TOML reader
    # takes, where a deployment lacks a bound.
    def test_section_without_a_value_is_left_out(self):
        template = '{{#bounds.a}}a = {{bounds.a}}{{/bounds.a}}.'
        for bounds, expected in (({'a': 5}, 'a = 5.'), ({}, '.')):
            self.assertEqual(
                render_template(template, {'bounds': bounds}), expected
            )

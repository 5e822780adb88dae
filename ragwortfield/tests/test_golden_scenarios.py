"""Golden files: the decision core logs the same events as before."""

from unittest import TestCase

from ragwortfield.tests.golden_scenarios import (
    SCENARIO_BY_NAME,
    compare_with_golden_file,
)


class GoldenScenarioTests(TestCase):
    """Compare whole scenarios event by event."""

    maxDiff = None

    def test_scenarios_match_their_golden_files(self):
        for name in SCENARIO_BY_NAME:
            with self.subTest(name):
                self.assertEqual(compare_with_golden_file(name), '')

"""Tests that the suite counts every kind of failure."""

import unittest

from nose2 import events, result

from ragwortfield.testing.run_tests import _make_plugin

_ERROR = (ValueError, ValueError('wrong'), None)


class _Example(unittest.TestCase):
    """Test whose outcomes are passed to the plugin; not collected by name."""

    def check(self):
        """Run one subtest that passes and one that fails."""
        for number in (1, 2):
            with self.subTest(number=number):
                self.assertEqual(number, 1)


class _OutcomeForwarder(unittest.TestResult):
    """Passes the outcomes of subtests to the plugin as the test runner does."""

    def __init__(self, plugin):
        super().__init__()
        self.plugin = plugin

    def addSubTest(self, test, subtest, err):
        event = events.TestOutcomeEvent(subtest, self, result.SUBTEST, err)
        self.plugin.testOutcome(event)


class FailureListTest(unittest.TestCase):
    def setUp(self):
        self.plugin = _make_plugin()
        self.plugin.ran = set()
        self.plugin.failed = set()
        self.example = _Example('check')

    # Guards against a suite that passes although a subtest has failed.
    def test_failed_subtest_fails_its_test(self):
        self.example.run(_OutcomeForwarder(self.plugin))
        self.assertEqual(self.plugin.failed, {self.example.id()})

    def test_failures_and_errors_are_recorded(self):
        for outcome in (result.FAIL, result.ERROR):
            self.plugin.failed.clear()
            event = events.TestOutcomeEvent(self.example, None, outcome, _ERROR)
            self.plugin.testOutcome(event)
            self.assertEqual(self.plugin.failed, {self.example.id()})

    def test_success_is_no_failure(self):
        event = events.TestOutcomeEvent(self.example, None, result.PASS)
        self.plugin.testOutcome(event)
        self.assertEqual(self.plugin.ran, {self.example.id()})
        self.assertEqual(self.plugin.failed, set())

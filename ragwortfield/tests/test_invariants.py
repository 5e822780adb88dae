"""Invariants that are checked while the program runs."""

import unittest

from ragwortfield.invariants import InvariantChecker, InvariantError
from ragwortfield.testing.log_capture import capture_log_lines


class InvariantCheckerTest(unittest.TestCase):
    # Guards against a TypeError in place of the count and the log line of a
    # violation: the name of the invariant was passed as the name of the event.
    def test_violation_is_counted_and_logged(self):
        checker = InvariantChecker()
        with capture_log_lines() as lines:
            checker.check('one_holder', is_satisfied=False, detail='two')
        self.assertEqual(checker.count_by_name, {'one_holder': 1})
        self.assertEqual(
            lines, ['event=invariant_violated invariant=one_holder detail=two']
        )

    def test_violation_raises_under_test(self):
        checker = InvariantChecker(is_raising=True)
        with self.assertRaisesRegex(InvariantError, 'one_holder: two'):
            checker.check('one_holder', is_satisfied=False, detail='two')

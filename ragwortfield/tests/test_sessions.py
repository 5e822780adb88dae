"""Golden files: the decision core tells the same stories as before."""

from unittest import TestCase

from ragwortfield.tests.golden_scenarios import SESSION_BY_NAME, difference


class SessionTests(TestCase):
    """Whole sessions, event by event."""

    maxDiff = None

    def test_sessions_are_as_their_golden_files(self):
        for name in SESSION_BY_NAME:
            with self.subTest(name):
                self.assertEqual(difference(name), '')

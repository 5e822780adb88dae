"""Supervision of greenlets: restarts, bounded logging, and kills."""

import unittest
from unittest import mock

import gevent

from ragwortfield.engine import supervisor
from ragwortfield.engine.supervisor import Supervisor
from ragwortfield.ports.platform import Unavailable
from ragwortfield.testing.log_capture import capture_log_lines

_PAUSE_S = 0.01


def _fail():
    raise LookupError('no such row ' * 100)


def _wait():
    gevent.sleep(60)


class SupervisorTest(unittest.TestCase):
    def setUp(self):
        self.supervisor = Supervisor(name='some', pause_s=_PAUSE_S, shard=3)

    # Guards against work that is restarted although it has completed.
    def test_completed_work_returns_its_result(self):
        work = mock.Mock(side_effect=[LookupError('a'), ValueError('b'), 7])
        with capture_log_lines():
            self.assertEqual(self.supervisor.run(work, 'x'), 7)
        self.assertEqual(work.mock_calls, [mock.call('x')] * 3)

    # Guards against loops that cannot be killed, as the supervisor catches the
    # kill as an error.
    def test_kill_ends_a_loop_during_its_work_and_its_pause(self):
        for work in (_wait, _fail):
            with capture_log_lines():
                loop = gevent.spawn(self.supervisor.run, work)
                gevent.sleep(2 * _PAUSE_S)
                self.assertFalse(loop.dead)
                loop.kill(timeout=1)
            self.assertTrue(loop.dead)

    # Guards against a log that fills with repetitions of one error or with one
    # long error text.
    def test_errors_are_logged_once_a_second_and_shortened(self):
        with mock.patch.object(supervisor, 'time') as fake_time:
            with capture_log_lines() as lines:
                for now in (0, 0.4, 0.9, 1.1):
                    fake_time.monotonic.return_value = now
                    self.supervisor.run_once(_fail)
        self.assertEqual(len(lines), 2)
        self.assertIn('event=unexpected_error work=some shard=3', lines[0])
        self.assertIn('LookupError: no such row', lines[0])
        self.assertIn('place=_fail:', lines[0])
        self.assertIn('untold_before=0', lines[0])
        self.assertIn('untold_before=2', lines[1])
        self.assertLess(len(lines[0]), 400)

    # Guards against an operation that has taken effect, raises, and is then
    # treated as if it had no effect.
    def test_failed_attempt_may_have_had_an_effect(self):
        with capture_log_lines():
            outcome = self.supervisor.run_once(_fail)
        self.assertIsInstance(outcome, Unavailable)
        self.assertTrue(outcome.is_effect_possible)

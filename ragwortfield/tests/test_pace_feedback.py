"""
Serving tasks that miss their targets beside fillers.

Guards against fillers that work on for as long as a task misses its target
because of them (incident 0008).
"""

import math
import unittest

from ragwortfield.tests.pacing_world import PacingWorld

#: Time for which a serving task may miss its target on end because of fillers,
#: in seconds; the shortest that the users' deployments state (``harm_ms``).
_HARM_S = 4
_LENGTH_S = 40


def _steady(amount):
    return lambda _seconds: amount


def _swing(mean, share, period_s, phase=0):
    return lambda seconds: (
        mean * (1 + share * math.sin((seconds / period_s + phase) * math.tau))
    )


class PaceFeedbackTest(unittest.TestCase):
    def assert_no_long_miss(self, world):
        world.run(_LENGTH_S)
        self.assertLess(world.longest_miss_s, _HARM_S)

    def test_fillers_with_small_learned_weights_yield(self):
        """
        Guards against fillers that are never slowed because each of them
        counts as harmless, while together they take a task over its target.
        """
        for weight in (0.3, 0.5, 0.8):
            with self.subTest(weight=weight):
                self.assert_no_long_miss(
                    PacingWorld(
                        filler_count=6,
                        filler_cpu=7,
                        load=_steady(0.6),
                        weight=_steady(weight),
                        learned_weight=0.1,
                    )
                )

    def test_fillers_whose_interference_grows_yield(self):
        """
        Guards against a model that takes a growing interference for load of
        the task's own users.
        """
        for period_s in (6, 10, 20):
            with self.subTest(period_s=period_s):
                self.assert_no_long_miss(
                    PacingWorld(
                        filler_count=6,
                        filler_cpu=7,
                        load=_swing(0.42, 0.5, 14),
                        weight=_swing(0.5, 0.9, period_s),
                        learned_weight=0.1,
                    )
                )

    def test_small_reductions_of_many_paces_are_made(self):
        """
        Guards against many fillers that each stay a few points above the pace
        that the target allows, because each change is too small to be sent.
        """
        for load in (0.6, 0.66, 0.7):
            with self.subTest(load=load):
                self.assert_no_long_miss(
                    PacingWorld(
                        filler_count=8,
                        filler_cpu=5.5,
                        load=_steady(load),
                        weight=_steady(2.6),
                        learned_weight=2.4,
                    )
                )


class PaceBeliefTest(unittest.TestCase):
    """The pace of a run differs from the one that the owner remembers."""

    def make_world(self, load):
        return PacingWorld(
            filler_count=6,
            filler_cpu=7,
            load=load,
            weight=_steady(2),
            learned_weight=2,
        )

    def test_order_without_an_answer_does_not_leave_fillers_at_full_pace(self):
        """
        Guards against fillers that work on at a pace that their owner does not
        know: the order to resume was carried out, and its answer was lost.
        """
        world = self.make_world(_steady(0.74))
        world.run(5)
        for task in world.fillers:
            world.lose_answer(task, 100)
        world.run(_LENGTH_S)
        self.assertLess(world.longest_miss_s, _HARM_S)

    def test_late_order_does_not_leave_fillers_at_full_pace(self):
        """
        Guards against fillers that work on at a pace that their owner does not
        know: an old order to resume was carried out after a newer one.
        """
        world = self.make_world(_steady(0.74))
        world.run(5)
        for task in world.fillers:
            world.pace_by_key[task.key] = 100
        world.run(_LENGTH_S)
        self.assertLess(world.longest_miss_s, _HARM_S)

    def test_fillers_paused_by_an_earlier_owner_resume(self):
        """
        Guards against fillers that stand still for good: the owner that paused
        them was replaced, and the new one takes them to be at full pace.
        """
        kept, replaced = (self.make_world(_steady(0.74)) for _ in range(2))
        for world in (kept, replaced):
            world.run(5)
            self.assertEqual(set(world.pace_by_key.values()), {0})
            world.change_load(_steady(0.1))
        replaced.take_over()
        for world in (kept, replaced):
            world.run(_LENGTH_S)
        self.assertGreater(replaced.filler_work_s, 0.8 * kept.filler_work_s)

"""Runs that are far slower than the others of their step."""

import unittest
from unittest import mock

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.run_progress import observe_progress
from ragwortfield.scheduling.stragglers import handle_stragglers
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_TASKS = 8


class RestartTest(unittest.TestCase):
    """The other tasks of a step take 1 s; one is at 10 % after 0.7 s."""

    def setUp(self):
        self.world = PlacementWorld(workers=3)

    def add_step(self, known=_TASKS - 1, duration_s=1, **options):
        """Submit a step whose other runs have shown their durations."""
        self.tasks = self.world.add_job('job', count=_TASKS, **options)
        self.show_durations('job', [duration_s] * known)
        return self.tasks[0]

    def show_durations(self, job_id, durations_s):
        job = self.world.state.job_by_id[job_id]
        for duration_s in durations_s:
            job.durations_by_step[0].add(duration_s)

    def show_progress(self, task, percent, age_s, *, restore_s=0):
        """Let reports show a run that started a while ago."""
        task.started_at = NOW - age_s
        task.percent_seen_at = 0
        task.speed_since = 0
        task.percent = 0
        observe_progress(task, task.started_at, restore_s)
        task.percent = percent
        observe_progress(task, NOW, restore_s)

    def handle(self):
        self.world.state.stragglers_checked_at = 0
        handle_stragglers(self.world.state, NOW)

    def assert_stopped(self, task, is_stopped):
        self.handle()
        self.assertEqual(task.is_stop_wanted, is_stopped)

    def test_straggler_starts_elsewhere_once_its_run_is_over(self):
        straggler = self.add_step()
        former_id = straggler.worker_id
        self.show_progress(straggler, 10, 0.7)
        self.assert_stopped(straggler, True)
        self.assertEqual((straggler.run, straggler.worker_id), (1, former_id))
        self.world.finish_stop(straggler)
        self.assertEqual(straggler.run, 2)
        self.assertNotIn(straggler.worker_id, {former_id, ''})
        self.assertEqual(
            self.world.state.decisions.count_by_name['straggler_restarted'], 1
        )

    # Guards against runs that are slow by the usual spread, or nearly done.
    def test_restart_has_to_end_much_sooner(self):
        for percent, age_s in ((35, 0.7), (85, 6), (60, 4)):
            with self.subTest(percent=percent):
                self.setUp()
                straggler = self.add_step()
                self.show_progress(straggler, percent, age_s)
                self.assert_stopped(straggler, False)

    def test_checkpoint_makes_a_later_restart_pay(self):
        straggler = self.add_step(is_checkpointed=True)
        self.show_progress(straggler, 60, 4)
        self.assert_stopped(straggler, False)
        # A run of 20 s that takes 49 s is no straggler; 6 s are gone for good.
        self.setUp()
        straggler = self.add_step(is_checkpointed=True, duration_s=20)
        self.show_progress(straggler, 60, 30)
        self.assert_stopped(straggler, False)
        self.show_progress(straggler, 60, 70)
        self.assert_stopped(straggler, True)

    # Guards against stops in a step that simply is long.
    def test_expected_duration_has_to_be_known_from_the_step(self):
        straggler = self.add_step(known=2)
        self.show_progress(straggler, 10, 0.7)
        self.assert_stopped(straggler, False)
        self.setUp()
        straggler = self.add_step(duration_s=7)
        self.show_progress(straggler, 10, 0.7)
        self.assert_stopped(straggler, False)

    def test_gangs_and_long_lived_tasks_are_left_alone(self):
        for kind in ('is_gang', 'is_long_lived'):
            with self.subTest(kind):
                self.setUp()
                straggler = self.add_step(**{kind: True})
                self.show_progress(straggler, 10, 0.7)
                self.assert_stopped(straggler, False)

    # Guards against fillers that are stopped because they were paced or found
    # less CPU than they asked for.
    def test_slow_filler_is_a_straggler_only_at_full_pace_and_cpu(self):
        for pace, reading, is_stopped in (
            (100, 4, True),
            (50, 4, False),
            (0, 0, False),
            (100, 2, False),
            (100, None, False),
        ):
            with self.subTest(pace=pace, reading=reading):
                self.setUp()
                straggler = self.add_step(is_filler=True)
                straggler.pace = pace
                straggler.reading = reading
                self.show_progress(straggler, 10, 0.7)
                self.assert_stopped(straggler, is_stopped)

    def test_time_before_a_return_to_full_pace_does_not_count(self):
        straggler = self.add_step(is_filler=True)
        straggler.reading = 4
        straggler.pace = 30
        self.show_progress(straggler, 20, 0.7)
        straggler.pace = 100
        observe_progress(straggler, NOW, 0)
        straggler.percent = 70
        observe_progress(straggler, NOW + 0.5, 0)
        self.assert_stopped(straggler, False)

    # Guards against the time of the restore counting as slowness.
    def test_resumed_run_is_measured_after_its_restore(self):
        straggler = self.add_step()
        straggler.is_resumed = True
        self.show_progress(straggler, 10, 0.4, restore_s=0.3)
        self.assert_stopped(straggler, False)

    def test_straggler_without_another_worker_goes_on(self):
        straggler = self.add_step(cpu=4)
        for number in range(2):
            self.world.add_job(f'other-{number}', cpu=32)
        self.show_progress(straggler, 10, 0.7)
        self.assert_stopped(straggler, False)

    def test_task_is_restarted_at_most_twice(self):
        straggler = self.add_step()
        for count in range(3):
            self.show_progress(straggler, 10, 0.7)
            self.assert_stopped(straggler, count < 2)
            if straggler.is_stop_wanted:
                self.world.finish_stop(straggler)

    # Guards against a whole pool of runs stopped at once: the first of them
    # must be those of jobs that lack nothing else.
    def test_round_is_limited_and_serves_last_open_tasks_first(self):
        for number in range(6):
            self.world.add_worker(f'x{number}')
        self.add_step()
        for task in self.tasks[:6]:
            self.show_progress(task, 10, 0.7)
        last = self.world.add_job('last', count=1)[0]
        self.show_durations('last', [1] * 3)
        self.show_progress(last, 10, 0.7)
        self.handle()
        stopped = [task for task in self.tasks if task.is_stop_wanted]
        self.assertEqual(len(stopped), 1)
        self.assertTrue(last.is_stop_wanted)


class OwnerChangeTest(unittest.TestCase):
    """One of four tasks makes no progress after the others are done."""

    def setUp(self):
        self.world = ShardWorld(workers=3, is_process_checked=True)
        self.world.take_over()
        self.job_id = self.world.submit(build_single_step(count=4))
        self.act(10)
        for index in range(3):
            self.end(index)

    def act_until_stop(self):
        while not self.find_task().restart_count:
            self.act(1)

    def act(self, rounds):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
            self.world.check()

    def end(self, index):
        for worker in self.world.workers.worker_by_id.values():
            for key in tuple(worker.run_by_key):
                if key.index == index:
                    worker.end(key, EndKind.DONE)

    def find_task(self):
        return (
            self.world.owners[-1].state.find_step((self.job_id, 0, 0)).tasks[3]
        )

    def list_starts(self):
        return [
            (run, worker.worker_id)
            for worker in self.world.workers.worker_by_id.values()
            for change, _, key, run, _ in worker.history
            if change == 'start' and key.index == 3
        ]

    # Guards against two runs of a task whose stop an earlier owner ordered,
    # and against a task that starts where it was slow.
    def test_owner_lost_after_its_stop_order_leaves_one_run(self):
        self.act_until_stop()
        self.world.take_over()
        self.act(20)
        ((_, first_id), (_, second_id)) = self.list_starts()
        self.assertEqual(self.find_task().restart_count, 1)
        self.assertEqual(self.find_task().failures, 0)
        self.assertNotEqual(first_id, second_id)

    # Guards against a start while the end of the first run is uncertain: its
    # worker is cut off with the stop order unanswered.
    def test_lost_worker_keeps_the_task_until_its_lease_is_over(self):
        with mock.patch.object(
            FakeTaskWorkerControl,
            'stop',
            return_value=Unavailable(reason='lost', is_effect_possible=True),
        ):
            self.act_until_stop()
        for worker in self.world.workers.worker_by_id.values():
            worker.is_reachable = not worker.run_by_key
        self.act(20)
        self.assertEqual(len(self.list_starts()), 1)
        for _ in range(120):
            if len(self.list_starts()) == 1:
                self.act(1)
        self.assertEqual(len(self.list_starts()), 2)

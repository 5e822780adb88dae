"""Runs that are far slower than the others of their step."""

import unittest
from dataclasses import replace
from unittest import mock

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import create_occurrence
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.run_progress import observe_progress
from ragwortfield.scheduling.stragglers import handle_stragglers
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_TASKS = 8


class RestartTestCase(unittest.TestCase):
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


class RestartTest(RestartTestCase):
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

    # Guards against a restart of each run of a task that reports no progress.
    def test_run_without_any_progress_is_left_alone(self):
        straggler = self.add_step()
        self.show_progress(straggler, 0, 7)
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

    # Guards against rows that outgrow the store: the limit of tasks with an
    # entry was only checked before the round, so one round could double it.
    def test_round_keeps_the_limit_of_tasks_in_a_row(self):
        self.world = PlacementWorld(workers=270)
        tasks = self.world.add_job('wide', count=100, cpu=1)
        self.show_durations('wide', [1] * 3)
        for count in (20, 100):
            for task in tasks[:count]:
                self.show_progress(task, 10, 0.7)
            self.handle()
        self.assertEqual(sum(task.restart_count for task in tasks), 24)


class CopyTest(RestartTestCase):
    """The same for a speculative step, in a pool of 288 cores."""

    def setUp(self):
        self.world = PlacementWorld(workers=9)
        self.straggler = self.add_step(is_speculative=True)
        self.show_progress(self.straggler, 10, 0.7)

    def assert_copied(self, is_copied):
        self.handle()
        self.assertEqual(self.straggler.copy is not None, is_copied)

    def test_copy_runs_on_another_worker_beside_the_first_run(self):
        self.assert_copied(True)
        copy = self.straggler.copy
        self.assertFalse(self.straggler.is_stop_wanted)
        self.assertEqual((self.straggler.run, copy.run), (1, 2))
        self.assertNotEqual(copy.worker_id, self.straggler.worker_id)
        self.handle()
        self.assertIs(self.straggler.copy, copy)

    # Guards against copies that take a pool for themselves: 5 % of it are room
    # for three tasks.
    def test_copies_use_a_share_of_the_pool(self):
        for task in self.tasks:
            self.show_progress(task, 10, 0.7)
        for _ in range(9):
            self.handle()
        copies = [task for task in self.tasks if task.copy is not None]
        self.assertEqual(len(copies), 3)

    def test_copy_does_not_take_the_place_of_an_urgent_waiting_task(self):
        self.world.add_job('large', cpu=33)
        self.assert_copied(False)
        job = self.world.state.job_by_id['large']
        job.queue = replace(job.queue, priority=job.queue.priority + 1)
        self.assert_copied(True)

    # Guards against a job that fails because of its copies alone.
    def test_task_with_one_attempt_left_gets_no_copy(self):
        self.straggler.failures = 1
        self.assert_copied(False)


class OwnerTestCase(unittest.TestCase):
    """One of four tasks is at one percent when the others are done."""

    is_speculative = False

    def setUp(self):
        self.start_job()

    def start_job(self, later_steps=()):
        step = build_single_step(count=4, is_speculative=self.is_speculative)
        self.world = ShardWorld(workers=3, is_process_checked=True)
        self.world.take_over()
        self.job_id = self.world.submit(step + later_steps)
        self.act(10)
        self.world.end_all_but_first()

    def act(self, rounds):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
            self.world.check()

    def act_until(self, is_reached, rounds=150):
        for _ in range(rounds):
            if is_reached():
                return
            self.act(1)
        self.fail('not reached')

    def list_running(self):
        """List the runs of a task, the first one first."""
        return sorted(
            (run.run, worker.worker_id)
            for worker in self.world.workers.worker_by_id.values()
            for key, run in worker.run_by_key.items()
            if (key.step, key.index) == (0, 0)
        )

    def end(self, kind, number=0):
        """End a run of the task: the first one, or the second."""
        _, worker_id = self.list_running()[number]
        self.get_worker(worker_id).end(self.find_task().key, kind)

    def cut(self, number):
        """Make the worker of a run unreachable."""
        _, worker_id = self.list_running()[number]
        self.get_worker(worker_id).is_reachable = False

    def get_worker(self, worker_id):
        return self.world.workers.worker_by_id[worker_id]

    def find_task(self):
        state = self.world.owners[-1].state
        return state.find_task(TaskKey(self.job_id, 0, 0, 0))

    def list_starts(self):
        return sorted(
            (run, worker.worker_id)
            for worker in self.world.workers.worker_by_id.values()
            for change, _, key, run, _ in worker.history
            if change == 'start' and (key.step, key.index) == (0, 0)
        )


class RestartedRunTest(OwnerTestCase):
    def act_until_stop(self):
        self.act_until(lambda: self.find_task().restart_count)

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
        self.cut(0)
        self.act(20)
        self.assertEqual(len(self.list_starts()), 1)
        self.act_until(lambda: len(self.list_starts()) == 2)


class CopiedRunTest(OwnerTestCase):
    is_speculative = True

    def has_copy(self):
        return self.find_task().copy is not None

    def has_no_copy(self):
        return self.find_task().copy is None

    def act_until_copy(self):
        self.act_until(lambda: len(self.list_running()) == 2)

    def assert_done(self):
        """Check that the job completes and nothing of it runs on."""
        self.act(10)
        self.assertEqual(self.world.status(self.job_id), JobStatus.COMPLETE)
        self.assertEqual(self.list_running(), [])
        state = self.world.owners[-1].state
        for worker in state.worker_by_id.values():
            self.assertEqual(worker.run_by_key, {})
            self.assertEqual(worker.allocated_cpu, 0)

    def test_first_end_as_done_counts_and_stops_the_other_run(self):
        for number in range(2):
            with self.subTest(number=number):
                self.setUp()
                self.act_until_copy()
                self.end(EndKind.DONE, number)
                self.assert_done()
                self.assertEqual(len(self.list_starts()), 2)

    # Guards against a job that fails, or a run that is stopped, because its
    # copy has failed, and against a run number that is used twice.
    def test_failure_of_one_run_counts_and_leaves_the_other(self):
        for number in range(2):
            with self.subTest(number=number):
                self.setUp()
                self.act_until_copy()
                left = self.list_running()[1 - number]
                self.end(EndKind.FAILED, number)
                self.act(10)
                self.assertEqual(self.list_running(), [left])
                task = self.find_task()
                self.assertEqual((task.run, task.worker_id), left)
                self.assertEqual(task.failures, 1)
                self.assertEqual(task.next_run(), 3)
                self.world.take_over()
                self.act(3)
                self.assertEqual(self.find_task().next_run(), 3)
                self.end(EndKind.DONE)
                self.assert_done()

    # Guards against a failure that is counted for a task that is done.
    def test_failure_of_the_run_that_is_left_over_is_ignored(self):
        self.act_until_copy()
        self.cut(1)
        self.end(EndKind.DONE)
        self.act(3)
        self.end(EndKind.FAILED)
        self.world.clear_faults()
        self.assert_done()
        self.assertEqual(self.find_task().failures, 0)

    # Guards against a run that is given up when the attempts are reduced.
    def test_run_that_has_started_goes_on_after_the_last_attempt(self):
        self.act_until_copy()
        state = self.world.owners[-1].state
        job = state.job_by_id[self.job_id]
        job.queue = replace(job.queue, attempts=1)
        self.end(EndKind.FAILED)
        self.act(5)
        self.end(EndKind.DONE)
        self.assert_done()

    def lose_contact_after_the_end(self):
        """End the first run as done, unreported until its lease expires."""
        self.act_until_copy()
        worker = self.get_worker(self.list_running()[0][1])
        self.end(EndKind.DONE)
        worker.is_reachable = False
        self.act_until(self.has_no_copy)
        return worker

    def test_expired_lease_ends_only_its_own_run(self):
        for number in range(2):
            with self.subTest(number=number):
                self.setUp()
                self.act_until_copy()
                left = self.list_running()[1 - number]
                self.cut(number)
                self.act_until(self.has_no_copy)
                self.assertEqual(
                    (self.find_task().run, self.find_task().worker_id), left
                )
                self.end(EndKind.DONE, len(self.list_running()) - 1)
                self.world.clear_faults()
                self.act(5)
                self.assertEqual(self.list_running(), [])

    # Guards against a start after an acknowledged end as done: the lease of the
    # first run expired before its end was reported, and the end was ignored. A
    # third run started when the copy failed.
    def test_end_reported_after_the_lease_counts(self):
        worker = self.lose_contact_after_the_end()
        worker.is_reachable = True
        self.assert_done()
        self.assertFalse(worker.ends)
        self.assertEqual(len(self.list_starts()), 2)

    # Guards against the same while a third run goes on in place of the copy.
    def test_end_reported_after_the_lease_counts_beside_a_third_run(self):
        worker = self.lose_contact_after_the_end()
        self.end(EndKind.FAILED)
        self.act_until(lambda: len(self.list_starts()) == 3)
        worker.is_reachable = True
        self.assert_done()
        self.assertFalse(worker.ends)

    # Guards against a successor that does not know that the copy is left over.
    def test_successor_knows_of_the_end_reported_after_the_lease(self):
        worker = self.lose_contact_after_the_end()
        worker.is_reachable = True
        self.cut(0)
        self.act(3)
        self.world.take_over()
        self.act(3)
        self.assertEqual(self.find_task().copy.run, 2)
        self.world.clear_faults()
        self.assert_done()

    def test_cancellation_stops_both_runs(self):
        self.act_until_copy()
        self.world.cancel(self.job_id)
        self.act(10)
        self.assertEqual(self.list_running(), [])
        self.assertEqual(len(self.list_starts()), 2)

    # Guards against a successor that stops the copy as a stray run, starts a
    # third one or uses a run number twice: the owner is lost before the commit
    # of the binding, before the start order and after it.
    def test_successor_knows_both_runs(self):
        for lost_step, run_count, next_run in (
            ('_commit', 1, 2),
            ('_send_orders', 1, 3),
            ('_check_ownership', 2, 3),
        ):
            with self.subTest(lost_step):
                self.setUp()
                with mock.patch.object(self.world.owners[-1], lost_step):
                    self.act_until(self.has_copy)
                self.world.take_over()
                self.act(8)
                self.assertEqual(len(self.list_running()), run_count)
                self.assertEqual(len(self.list_starts()), run_count)
                self.assertEqual(self.find_task().next_run(), next_run)
                self.end(EndKind.DONE)
                self.assert_done()

    # Guards against a successor that does not know of the run that is left
    # over: its worker is cut off when the other run ends. The job goes on.
    def test_successor_stops_the_run_that_is_left_over(self):
        self.start_job(build_single_step(after=(0,)))
        self.act_until_copy()
        self.cut(0)
        self.end(EndKind.DONE, 1)
        self.act(5)
        self.world.take_over()
        self.act(3)
        (left,) = self.list_running()
        task = self.find_task()
        self.assertEqual((task.copy.run, task.copy.worker_id), left)
        self.world.clear_faults()
        self.act(10)
        self.assertEqual(self.list_running(), [])
        self.world.end_runs(EndKind.DONE)
        self.assert_done()

    # Guards against a start after an acknowledged end as done: the start order
    # of the copy is under way when the first run ends, also for a successor.
    def test_end_is_acknowledged_once_the_copy_cannot_start_any_more(self):
        for is_replaced in (False, True):
            with self.subTest(is_replaced=is_replaced):
                self.setUp()
                with mock.patch.object(
                    FakeTaskWorkerControl,
                    'start',
                    return_value=Unavailable(
                        reason='late', is_effect_possible=True
                    ),
                ) as start:
                    self.act_until(self.has_copy)
                order = start.call_args.args[0]
                destination = self.get_worker(order.worker_id)
                destination.is_reachable = False
                _, worker_id = self.list_running()[0]
                self.end(EndKind.DONE)
                if is_replaced:
                    self.act(3)
                    self.world.take_over()
                self.act(10)
                worker = self.get_worker(worker_id)
                self.assertTrue(worker.ends)
                destination.start(order)
                self.world.check()
                self.world.clear_faults()
                self.assert_done()
                self.act(3)
                self.assertFalse(worker.ends)

    def test_lost_answers_to_the_start_of_a_copy_leave_two_runs(self):
        self.world.order_loss_probability = 0.5
        self.act_until_copy()
        self.act(20)
        self.world.clear_faults()
        self.act(10)
        self.end(EndKind.DONE)
        self.assert_done()

    # Guards against a damaged row that makes a task run twice on a worker.
    def test_impossible_copy_makes_the_row_unreadable(self):
        self.act_until_copy()
        task = self.find_task()
        state = self.world.owners[-1].state
        record = state.get_occurrence(task).to_record()
        job = self.world.accepted_job_by_id[self.job_id]
        (copy,) = record.copies
        for damaged_copy in (
            copy._replace(worker_id=task.worker_id),
            copy._replace(index=4),
            copy._replace(step=1),
        ):
            damaged = replace(record, copies=(damaged_copy,))
            with self.assertRaises((ValueError, IndexError)):
                create_occurrence(job, 0, damaged)

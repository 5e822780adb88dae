"""Each occurrence of a repeating job runs once, when due, a few at a time."""

import time
import unittest
from dataclasses import replace
from unittest import mock

from ragwortfield.core.resources import Resources
from ragwortfield.engine import wall_clock
from ragwortfield.engine.shard_loading import load_rows
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.ports.row_store import RowName, StoredRow
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import commits, dispatch, shard_updates
from ragwortfield.scheduling.catalogue import ApprovalTerms
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_state import ApprovalTicket
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.records import JobRecord, encode_record
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Maximum number of occurrences of a job that exist at a time.
_MAX_OPEN_OCCURRENCES = 16
#: Jumps of the wall clock: offset and duration, in seconds.
_CLOCK_JUMPS = ((4, 12), (-4, 12), (7, 3))
#: Due time of the first occurrence, before the clock jumps, in seconds.
_FIRST_DUE_S = 40
#: Rounding error of the arithmetic on wall-clock times, in seconds.
_ROUNDING_S = 1e-3


class _RepeatingJobTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.run_rounds()

    def submit(self, repeat_count, *, delay_s=0, interval_s=0.1, cpu=0.1):
        return self.world.submit(
            build_single_step(cpu=cpu),
            repeat_count=repeat_count,
            first_due_at=self.world.now + delay_s,
            interval_s=interval_s,
        )

    def run_rounds(self, rounds=5):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
        self.world.check()

    def list_running_occurrences(self):
        """List the numbers of the running occurrences."""
        return sorted(
            key.occurrence
            for worker in self.world.workers.worker_by_id.values()
            for key in worker.run_by_key
        )

    def list_starts(self):
        """List occurrence and time of all starts, in order."""
        return sorted(
            (key.occurrence, at)
            for worker in self.world.workers.worker_by_id.values()
            for change, at, key, _, _ in worker.history
            if change == 'start'
        )

    def run_and_end_tasks(self, rounds=10):
        for _ in range(rounds):
            self.run_rounds()
            self.world.end_runs(EndKind.DONE, count=99)
        self.run_rounds()


class DueTimeTest(_RepeatingJobTest):
    """Occurrences become due one after the other."""

    # Guards against a start before its due time.
    def test_occurrence_starts_when_it_is_due_and_not_before(self):
        due_at = self.world.now + 1
        self.submit(3, delay_s=1, interval_s=1)
        for _ in range(50):
            self.run_rounds(rounds=1)
        starts = self.list_starts()
        self.assertEqual([number for number, _ in starts], [0, 1, 2])
        for number, at in starts:
            self.assertGreaterEqual(at, due_at + number)
            self.assertLess(at, due_at + number + 0.5)

    # Guards against a start before its due time: the successor loads a job
    # with occurrences that are not due yet.
    def test_occurrence_is_not_early_after_a_takeover(self):
        due_at = self.world.now + 2
        self.submit(2, delay_s=2, interval_s=2)
        self.run_rounds(rounds=3)
        self.world.take_over()
        for _ in range(50):
            self.run_rounds(rounds=1)
        starts = self.list_starts()
        self.assertEqual([number for number, _ in starts], [0, 1])
        for number, at in starts:
            self.assertGreaterEqual(at, due_at + 2 * number)

    # Guards against occurrences that wait until the previous one has ended.
    def test_occurrences_overlap(self):
        self.submit(3, interval_s=0.2)
        self.run_rounds(rounds=10)
        self.assertEqual(self.list_running_occurrences(), [0, 1, 2])


class WallClockJumpTest(unittest.TestCase):
    """The wall clock jumps by seconds, and later back again."""

    def simulate_clock_jumps(self, jumps):
        """
        Run a job with an occurrence each second while the wall clock jumps.

        :param jumps: start, end and offset of each jump, in seconds.
        :returns: true time at which each occurrence was created, in seconds.
        """
        true_s = 0
        offset_s = 0
        created_at_s = []
        job_state = None
        world = PlacementWorld(workers=1)
        with (
            mock.patch.object(time, 'time', lambda: 1e9 + true_s + offset_s),
            mock.patch.object(
                wall_clock, 'get_boot_time', lambda: float(true_s)
            ),
        ):
            clock = WallClock()
            for true_s in range(150):
                offset_s = sum(
                    jump_s
                    for begin_s, end_s, jump_s in jumps
                    if begin_s <= true_s < end_s
                )
                clock.sample_offset()
                if true_s == _FIRST_DUE_S - 10:
                    job = _build_repeating_job(100, 1e9 + _FIRST_DUE_S, 1)
                    job_state = shard_updates.register_job(
                        world.state,
                        job,
                        now=NOW,
                        wall_time=clock.now(),
                    )
                if job_state is None:
                    continue
                # Occurrences are removed as if done, so that the limit of open
                # occurrences does not delay the next ones.
                opened_before = job_state.next_occurrence
                job_state.occurrence_by_number.clear()
                shard_updates.create_due_occurrences(world.state, clock.now())
                created_at_s.extend(
                    [true_s] * (job_state.next_occurrence - opened_before)
                )
        return created_at_s

    # Guards against a start before its due time because the wall clock is
    # ahead.
    def test_no_occurrence_is_early_while_the_clock_is_ahead(self):
        for jump_s, length_s in _CLOCK_JUMPS:
            with self.subTest(jump_s=jump_s, length_s=length_s):
                begin_s = _FIRST_DUE_S + 5
                created_at_s = self.simulate_clock_jumps(
                    [(begin_s, begin_s + length_s, jump_s)]
                )
                self.assertEqual(len(created_at_s), 100)
                for number, at in enumerate(created_at_s):
                    due = _FIRST_DUE_S + number
                    self.assertGreaterEqual(at + _ROUNDING_S, due)
                    self.assertLessEqual(at, due + 1)

    # Guards against occurrences that are created again because the wall clock
    # shows the same time twice.
    def test_each_occurrence_is_created_once_if_the_clock_jumps_back(self):
        jumps = [(50, 58, 5), (60, 68, -5), (75, 83, 5), (90, 98, -5)]
        created_at_s = self.simulate_clock_jumps(jumps)
        self.assertEqual(len(created_at_s), 100)
        self.assertEqual(created_at_s, sorted(created_at_s))


class OccurrenceTakeoverTest(_RepeatingJobTest):
    """The owner is replaced between and during occurrences."""

    # Guards against an occurrence that a successor starts again or leaves out.
    def test_each_occurrence_runs_once_across_takeovers(self):
        job_id = self.submit(6, interval_s=0.7)
        for round_number in range(12):
            self.run_rounds(rounds=3)
            if round_number % 2:
                self.world.end_runs(EndKind.DONE, count=9)
            if round_number % 3 == 0:
                self.world.take_over()
        self.run_and_end_tasks(rounds=4)
        numbers = [number for number, _ in self.list_starts()]
        self.assertEqual(numbers, list(range(6)))
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a job that is shown as complete while it has occurrences
    # that are not due yet.
    def test_job_is_not_complete_before_its_last_occurrence(self):
        job_id = self.submit(2, interval_s=5)
        self.run_and_end_tasks(rounds=3)
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.world.take_over()
        self.run_and_end_tasks(rounds=3)
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.run_and_end_tasks(rounds=10)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against an occurrence that never runs: tickets let a later one
    # start first, the owner is replaced, and the successor assumes that the
    # earlier one has been created.
    def test_occurrence_without_a_record_is_created_by_the_successor(self):
        world = PlacementWorld(workers=1)
        _require_tickets(world.state)
        job = _build_repeating_job(2, 0, 1)
        job_state = shard_updates.register_job(
            world.state, job, now=NOW, wall_time=1
        )
        shard_updates.create_due_occurrences(world.state, 1)
        shard_updates.create_due_occurrences(world.state, 1)
        later = job_state.occurrence_by_number[1].steps[0]
        later.ticket_by_worker['w0'] = ApprovalTicket(
            text='ticket',
            born_ms=0,
            valid_until=NOW + 10,
        )
        dispatch.dispatch(world.state, NOW)
        batch = commits.collect_batch(world.state, 1)
        self.assertEqual(list(batch.record_by_key), [('repeating', 1)])
        successor = PlacementWorld(workers=1)
        _load_successor(successor.state, job, batch)
        shard_updates.create_due_occurrences(successor.state, 1)
        successor_job = successor.state.job_by_id['repeating']
        self.assertEqual(sorted(successor_job.occurrence_by_number), [0, 1])


class OpenOccurrenceLimitTest(_RepeatingJobTest):
    """Occurrences become due faster than they are done."""

    # Guards against a single job that fills the state of a shard.
    def test_occurrences_beyond_the_limit_wait(self):
        self.submit(_MAX_OPEN_OCCURRENCES + 4)
        self.run_rounds(rounds=30)
        self.assertEqual(
            self.list_running_occurrences(), list(range(_MAX_OPEN_OCCURRENCES))
        )

    # Guards against occurrences that never run: those that are done still count
    # as open.
    def test_occurrences_beyond_the_limit_run_once_others_are_done(self):
        job_id = self.submit(_MAX_OPEN_OCCURRENCES + 4)
        self.run_and_end_tasks(rounds=8)
        numbers = [number for number, _ in self.list_starts()]
        self.assertEqual(numbers, list(range(_MAX_OPEN_OCCURRENCES + 4)))
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a successor that ignores the limit.
    def test_occurrences_beyond_the_limit_wait_after_a_takeover(self):
        self.submit(_MAX_OPEN_OCCURRENCES + 4)
        self.run_rounds(rounds=30)
        self.world.take_over()
        self.run_rounds(rounds=10)
        self.assertEqual(
            self.list_running_occurrences(), list(range(_MAX_OPEN_OCCURRENCES))
        )


class OccurrenceCancellationTest(_RepeatingJobTest):
    """A job is cancelled with running and future occurrences."""

    # Guards against occurrences that start or go on after the cancellation.
    def test_cancellation_ends_all_occurrences(self):
        job_id = self.submit(8, interval_s=0.3)
        self.run_rounds(rounds=8)
        count = len(self.list_starts())
        self.assertGreater(count, 1)
        self.assertLess(count, 8)
        self.world.cancel(job_id)
        self.run_rounds(rounds=1)
        state = self.world.owners[-1].state
        job_state = state.job_by_id[job_id]
        opened_before = job_state.next_occurrence
        self.run_rounds(rounds=40)
        self.assertEqual(job_state.next_occurrence, opened_before)
        self.assertEqual(self.list_running_occurrences(), [])
        self.assertEqual(len(self.list_starts()), count)
        self.assertEqual(self.world.status(job_id), JobStatus.CANCELLED)

    # Guards against occurrences that start after the cancellation: the
    # successor loads both the job and its cancellation.
    def test_cancelled_job_creates_no_occurrences_after_a_takeover(self):
        job_id = self.submit(8, interval_s=0.3)
        self.run_rounds(rounds=8)
        self.world.cancel(job_id)
        count = len(self.list_starts())
        self.world.take_over()
        self.run_rounds(rounds=40)
        self.assertEqual(self.list_running_occurrences(), [])
        self.assertEqual(len(self.list_starts()), count)
        self.assertEqual(self.world.status(job_id), JobStatus.CANCELLED)

    # Guards against a job that goes on after one of its occurrences has failed.
    def test_failure_of_one_occurrence_ends_all(self):
        job_id = self.submit(8, interval_s=0.3)
        for _ in range(3):
            self.run_rounds(rounds=4)
            self.world.end_runs(EndKind.FAILED, count=9)
        self.run_rounds(rounds=4)
        count = len(self.list_starts())
        self.run_rounds(rounds=40)
        self.assertEqual(self.world.status(job_id), JobStatus.FAILED)
        self.assertEqual(self.list_running_occurrences(), [])
        self.assertEqual(len(self.list_starts()), count)


def _build_repeating_job(repeat_count, first_due_at, interval_s):
    step = Step(count=1, need=Resources(cpu=1, memory_mb=1), estimate_s=1)
    return Job(
        job_id='repeating',
        queue='queue',
        spec='',
        steps=(step,),
        accepted_at=0,
        repeat_count=repeat_count,
        first_due_at=first_due_at,
        interval_s=interval_s,
    )


def _require_tickets(state):
    """Make the queue require approval tickets."""
    queue = state.catalogue.queue_by_name['queue']
    terms = ApprovalTerms(decide_s=0.1, each_s=0.1, valid_s=10)
    state.catalogue.queue_by_name['queue'] = replace(queue, advice=terms)


def _load_successor(state, job, batch):
    """Load the state of a successor from a job and the batch of its owner."""
    name = RowName(table='table', partition='', key='key')
    inbox = encode_record(JobRecord(job=job))
    steps = load_rows(
        state,
        (StoredRow(name=name, version=1, content=inbox),),
        tuple(
            StoredRow(name=name, version=1, content=content)
            for content in batch.record_by_key.values()
        ),
        now=NOW,
        wall_time=1,
    )
    tuple(steps)

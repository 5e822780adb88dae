"""Timed jobs: each occurrence once, when it is due, and no more at a time."""

import time
import unittest
from dataclasses import replace
from unittest import mock

from ragwortfield.core.resources import Resources
from ragwortfield.engine import wall_clock
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.engine.shard_loading import load_rows
from ragwortfield.ports.row_store import RowName, StoredRow
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import commits, dispatch, shard_updates
from ragwortfield.scheduling.catalogue import ApprovalTerms
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_state import ApprovalTicket
from ragwortfield.scheduling.records import JobRecord, encode_record
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Occurrences of one job that may be open at once.
_OPEN = 16
#: Jumps of the wall clock in these tests, in seconds: by how much, how long.
_JUMPS = ((4, 12), (-4, 12), (7, 3))
#: Time before the first jump, in seconds.
_SETTLED_S = 40
#: Error of the calendar's arithmetic, in seconds.
_ROUNDING_S = 1e-3


class _RepeatingJobTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.act()

    def submit(self, repeat_count, *, wait_s=0, interval_s=0.1, cpu=0.1):
        return self.world.submit(
            build_single_step(cpu=cpu),
            repeat_count=repeat_count,
            first_due_at=self.world.now + wait_s,
            interval_s=interval_s,
        )

    def act(self, rounds=5):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
        self.world.check()

    def working(self):
        """Occurrences at work."""
        return sorted(
            key.occurrence
            for worker in self.world.workers.worker_by_id.values()
            for key in worker.run_by_key
        )

    def started(self):
        """Occurrences and times of all starts, in order."""
        return sorted(
            (key.occurrence, at)
            for worker in self.world.workers.worker_by_id.values()
            for what, at, key, _, _ in worker.history
            if what == 'start'
        )

    def finish(self, rounds=10):
        for _ in range(rounds):
            self.act()
            self.world.end_runs(EndKind.DONE, count=99)
        self.act()


class DueTimeTest(_RepeatingJobTest):
    """Pattern: occurrences come due one after the other."""

    # Guards against ORDER: a start before its time.
    def test_occurrence_starts_when_it_is_due_and_not_before(self):
        due_at = self.world.now + 1
        self.submit(3, wait_s=1, interval_s=1)
        for _ in range(50):
            self.act(rounds=1)
        starts = self.started()
        self.assertEqual([number for number, _ in starts], [0, 1, 2])
        for number, at in starts:
            self.assertGreaterEqual(at, due_at + number)
            self.assertLess(at, due_at + number + 0.5)

    # Guards against ORDER at a successor, which reads what is not due yet.
    def test_occurrence_is_not_early_after_a_takeover(self):
        due_at = self.world.now + 2
        self.submit(2, wait_s=2, interval_s=2)
        self.act(rounds=3)
        self.world.take_over()
        for _ in range(50):
            self.act(rounds=1)
        starts = self.started()
        self.assertEqual([number for number, _ in starts], [0, 1])
        for number, at in starts:
            self.assertGreaterEqual(at, due_at + 2 * number)

    # Guards against a time of which the one before holds up the next.
    def test_occurrences_overlap(self):
        self.submit(3, interval_s=0.2)
        self.act(rounds=10)
        self.assertEqual(self.working(), [0, 1, 2])


class ClockTest(unittest.TestCase):
    """Pattern: the wall clock jumps by seconds, and later back again."""

    def opened(self, jumps):
        """Open occurrences, one a second; gives each one's opening."""
        true_s = 0
        offset_s = 0
        opened_at = []
        row = None
        world = PlacementWorld(workers=1)
        with (
            mock.patch.object(time, 'time', lambda: 1e9 + true_s + offset_s),
            mock.patch.object(wall_clock, '_steady', lambda: float(true_s)),
        ):
            kept = WallClock()
            for true_s in range(150):
                offset_s = sum(
                    jump for begin, end, jump in jumps if begin <= true_s < end
                )
                kept.observe()
                if true_s == _SETTLED_S - 10:
                    job = _timed_job(100, 1e9 + _SETTLED_S, 1)
                    row = shard_updates.register_job(
                        world.state,
                        job,
                        now=NOW,
                        wall_time=kept.now(),
                    )
                if row is None:
                    continue
                # Occurrences that are done leave room for the next ones.
                before = row.opened
                row.occurrence_by_number.clear()
                shard_updates.create_due_occurrences(world.state, kept.now())
                opened_at.extend([true_s] * (row.opened - before))
        return opened_at

    # Guards against ORDER on days on which clocks jump.
    def test_no_occurrence_is_early_while_the_clock_is_ahead(self):
        for jump, length in _JUMPS:
            with self.subTest(jump=jump, length=length):
                begin = _SETTLED_S + 5
                opened_at = self.opened([(begin, begin + length, jump)])
                self.assertEqual(len(opened_at), 100)
                for number, at in enumerate(opened_at):
                    due = _SETTLED_S + number
                    self.assertGreaterEqual(at + _ROUNDING_S, due)
                    self.assertLessEqual(at, due + 1)

    # Guards against occurrences that come again with the time.
    def test_each_occurrence_is_created_once_if_the_clock_jumps_back(self):
        jumps = [(50, 58, 5), (60, 68, -5), (75, 83, 5), (90, 98, -5)]
        opened_at = self.opened(jumps)
        self.assertEqual(len(opened_at), 100)
        self.assertEqual(opened_at, sorted(opened_at))


class OccurrenceTakeoverTest(_RepeatingJobTest):
    """Pattern: owners change between and during the occurrences."""

    # Guards against TWICE and LOST: an occurrence that a successor starts
    # anew, or leaves out.
    def test_each_occurrence_runs_once_across_takeovers(self):
        job_id = self.submit(6, interval_s=0.7)
        for round_number in range(12):
            self.act(rounds=3)
            if round_number % 2:
                self.world.end_runs(EndKind.DONE, count=9)
            if round_number % 3 == 0:
                self.world.take_over()
        self.finish(rounds=4)
        numbers = [number for number, _ in self.started()]
        self.assertEqual(numbers, list(range(6)))
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against MIXED: shown as complete while a time is still to come.
    def test_job_is_not_complete_before_its_last_occurrence(self):
        job_id = self.submit(2, interval_s=5)
        self.finish(rounds=3)
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.world.take_over()
        self.finish(rounds=3)
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.finish(rounds=10)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against LOST: tickets let a later occurrence start first, the
    # owner changes, and the earlier one is taken for opened.
    def test_occurrence_without_a_record_is_created_by_the_successor(self):
        world = PlacementWorld(workers=1)
        _give_advice(world.state)
        job = _timed_job(2, 0, 1)
        row = shard_updates.register_job(world.state, job, now=NOW, wall_time=1)
        shard_updates.create_due_occurrences(world.state, 1)
        shard_updates.create_due_occurrences(world.state, 1)
        later = row.occurrence_by_number[1].steps[0]
        later.ticket_by_worker['w0'] = ApprovalTicket(
            text='ticket',
            born_ms=0,
            valid_until=NOW + 10,
        )
        dispatch.dispatch(world.state, NOW)
        batch = commits.collect_batch(world.state, 1)
        self.assertEqual(list(batch.record_by_key), [('timed', 1)])
        successor = PlacementWorld(workers=1)
        _load(successor.state, job, batch)
        shard_updates.create_due_occurrences(successor.state, 1)
        opened = successor.state.job_by_id['timed'].occurrence_by_number
        self.assertEqual(sorted(opened), [0, 1])


class OpenTest(_RepeatingJobTest):
    """Pattern: occurrences come due faster than they are done."""

    # Guards against a job that fills a shard's tables by itself.
    def test_occurrences_beyond_the_limit_wait(self):
        self.submit(_OPEN + 4)
        self.act(rounds=30)
        self.assertEqual(self.working(), list(range(_OPEN)))

    # Guards against LOST: occurrences that are done count as open for ever.
    def test_occurrences_beyond_the_limit_run_once_others_are_done(self):
        job_id = self.submit(_OPEN + 4)
        self.finish(rounds=8)
        numbers = [number for number, _ in self.started()]
        self.assertEqual(numbers, list(range(_OPEN + 4)))
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a bound that the successor does not keep to.
    def test_occurrences_beyond_the_limit_wait_after_a_takeover(self):
        self.submit(_OPEN + 4)
        self.act(rounds=30)
        self.world.take_over()
        self.act(rounds=10)
        self.assertEqual(self.working(), list(range(_OPEN)))


class CancelTest(_RepeatingJobTest):
    """Pattern: a job is cancelled with times at work and times to come."""

    # Guards against UNASKED: times that start, or work on, after that.
    def test_cancellation_ends_all_occurrences(self):
        job_id = self.submit(8, interval_s=0.3)
        self.act(rounds=8)
        count = len(self.started())
        self.assertGreater(count, 1)
        self.assertLess(count, 8)
        self.world.cancel(job_id)
        self.act(rounds=1)
        state = self.world.owners[-1].state
        row = state.job_by_id[job_id]
        opened = row.opened
        self.act(rounds=40)
        self.assertEqual(row.opened, opened)
        self.assertEqual(self.working(), [])
        self.assertEqual(len(self.started()), count)
        self.assertEqual(self.world.status(job_id), JobStatus.CANCELLED)

    # Guards against UNASKED under an owner that reads job and cancellation.
    def test_cancelled_job_creates_no_occurrences_after_a_takeover(self):
        job_id = self.submit(8, interval_s=0.3)
        self.act(rounds=8)
        self.world.cancel(job_id)
        count = len(self.started())
        self.world.take_over()
        self.act(rounds=40)
        self.assertEqual(self.working(), [])
        self.assertEqual(len(self.started()), count)
        self.assertEqual(self.world.status(job_id), JobStatus.CANCELLED)

    # Guards against BUDGET: a job that failed in one of its times goes on.
    def test_failure_of_one_occurrence_ends_all(self):
        job_id = self.submit(8, interval_s=0.3)
        for _ in range(3):
            self.act(rounds=4)
            self.world.end_runs(EndKind.FAILED, count=9)
        self.act(rounds=4)
        count = len(self.started())
        self.act(rounds=40)
        self.assertEqual(self.world.status(job_id), JobStatus.FAILED)
        self.assertEqual(self.working(), [])
        self.assertEqual(len(self.started()), count)


def _timed_job(repeat_count, first_due_at, interval_s):
    step = Step(count=1, need=Resources(cpu=1, memory_mb=1), estimate_s=1)
    return Job(
        job_id='timed',
        queue='queue',
        spec='',
        steps=(step,),
        accepted_at=0,
        repeat_count=repeat_count,
        first_due_at=first_due_at,
        interval_s=interval_s,
    )


def _give_advice(state):
    """Let the starts of the queue need tickets."""
    queue = state.catalogue.queue_by_name['queue']
    advice = ApprovalTerms(decide_s=0.1, each_s=0.1, valid_s=10)
    state.catalogue.queue_by_name['queue'] = replace(queue, advice=advice)


def _load(state, job, batch):
    """Let a successor read what was written."""
    name = RowName(table='table', partition='', key='key')
    inbox = encode_record(JobRecord(job=job))
    load = load_rows(
        state,
        (StoredRow(name=name, version=1, content=inbox),),
        tuple(
            StoredRow(name=name, version=1, content=content)
            for content in batch.record_by_key.values()
        ),
        now=NOW,
        wall_time=1,
    )
    tuple(load)

"""Occurrences of a repeating job are created once each, a few at a time."""

import unittest
from dataclasses import replace

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.records import (
    ProgressRecord,
    TaskPhase,
    TaskRecord,
)
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.placement_world import NOW, PlacementWorld

_OCCURRENCES = 40
_DONE_TASK = TaskRecord(phase=TaskPhase.DONE, run=1)


class OccurrenceTest(unittest.TestCase):
    def setUp(self):
        self.state = PlacementWorld(workers=1).state
        self.job = Job(
            job_id='repeating',
            queue='queue',
            spec='',
            steps=(Step(count=1, need=Resources(cpu=1)),),
            accepted_at=0,
            repeat_count=_OCCURRENCES,
            first_due_at=1,
            interval_s=1,
        )
        self.job_state = shard_updates.register_job(
            self.state, self.job, now=NOW, wall_time=0
        )

    def restore_occurrence(self, number, *steps):
        record = ProgressRecord(
            job_id='repeating',
            occurrence=number,
            steps=steps,
        )
        shard_updates.restore_progress(self.state, record, NOW)

    def create_due_occurrences(self):
        for _ in range(_OCCURRENCES):
            shard_updates.create_due_occurrences(self.state, 2 * _OCCURRENCES)

    def list_occurrences(self):
        return sorted(self.job_state.occurrence_by_number)

    # Guards against a job that stops after its first 16 occurrences: those that
    # are done still count as open.
    def test_finished_occurrences_make_room_for_later_ones(self):
        self.create_due_occurrences()
        self.assertEqual(self.list_occurrences(), list(range(16)))
        for number in self.list_occurrences():
            self.restore_occurrence(number, (_DONE_TASK,))
        self.create_due_occurrences()
        self.assertEqual(self.list_occurrences(), list(range(32)))

    # Guards against an occurrence that never runs: the owner was replaced when
    # only a later occurrence had been written.
    def test_occurrence_without_a_record_is_created_after_a_takeover(self):
        self.restore_occurrence(0, (_DONE_TASK,))
        self.restore_occurrence(
            2, (replace(_DONE_TASK, phase=TaskPhase.WAITING),)
        )
        shard_updates.create_due_occurrences(self.state, 2)
        self.assertEqual(self.list_occurrences(), [0, 1, 2])


class TakenJobTest(unittest.TestCase):
    def setUp(self):
        self.state = PlacementWorld(workers=1).state
        self.state.epoch = 7
        self.job = Job(
            job_id='job',
            queue='queue',
            spec='',
            steps=(Step(count=2, need=Resources(cpu=1)),),
            accepted_at=10,
        )

    def register(self):
        """Register the job 3 s after its acceptance; return the log."""
        with capture_log_lines() as lines:
            shard_updates.register_job(
                self.state, self.job, now=NOW, wall_time=13
            )
        return lines

    # Guards against a log from which it cannot be told which of several owners
    # in succession has read a job.
    def test_taken_job_is_logged_once_with_the_epoch(self):
        (line,) = self.register()
        self.assertIn('event=job_taken job=job queue=queue epoch=7', line)
        self.assertIn('age_s=3 tasks=2 is_cancelled=False', line)
        self.assertEqual(self.register(), [])

    # Guards against a log that does not tell whether an owner had read the
    # cancellation of a job when it took the job.
    def test_cancellation_that_is_read_first_shows_in_the_line(self):
        shard_updates.cancel_job(self.state, 'job', NOW)
        (line,) = self.register()
        self.assertIn('is_cancelled=True', line)

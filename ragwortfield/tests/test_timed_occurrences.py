"""Timed jobs: each occurrence once, however many there are."""

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
from ragwortfield.tests.placement_world import NOW, PlacementWorld

_TIMES = 40
_DONE = TaskRecord(phase=TaskPhase.DONE, run=1)


class OccurrenceTest(unittest.TestCase):
    def setUp(self):
        self.state = PlacementWorld(workers=1).state
        self.job = Job(
            job_id='timed',
            queue='queue',
            spec='',
            steps=(Step(count=1, need=Resources(cpu=1)),),
            accepted_at=0,
            repeat_count=_TIMES,
            first_due_at=1,
            interval_s=1,
        )
        self.row = shard_updates.register_job(
            self.state, self.job, now=NOW, wall_time=0
        )

    def restore(self, number, *steps):
        record = ProgressRecord(
            job_id='timed',
            occurrence=number,
            steps=steps,
        )
        shard_updates.restore_progress(self.state, record, NOW)

    def open_all(self):
        for _ in range(_TIMES):
            shard_updates.create_due_occurrences(self.state, 2 * _TIMES)

    def numbers(self):
        return sorted(self.row.occurrence_by_number)

    # Guards against a timed job that stops for good after its first sixteen
    # occurrences.
    def test_finished_occurrences_make_room_for_later_ones(self):
        self.open_all()
        self.assertEqual(self.numbers(), list(range(16)))
        for number in self.numbers():
            self.restore(number, (_DONE,))
        self.open_all()
        self.assertEqual(self.numbers(), list(range(32)))

    # Guards against an occurrence that never runs because a later one was
    # written before it when the owner changed.
    def test_occurrence_without_a_record_is_created_after_a_takeover(self):
        self.restore(0, (_DONE,))
        self.restore(2, (replace(_DONE, phase=TaskPhase.WAITING),))
        shard_updates.create_due_occurrences(self.state, 2)
        self.assertEqual(self.numbers(), [0, 1, 2])

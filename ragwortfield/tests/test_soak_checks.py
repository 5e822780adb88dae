"""Tests of the soak's checks of what workers have recorded."""

import io
import unittest
from random import Random
from types import SimpleNamespace

from ragwortfield.core.resources import Resources
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseOrder,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.soak.checks import Checker
from ragwortfield.soak.jobs import JobBook
from ragwortfield.soak.run_history import list_overlaps, list_starts_after_end
from ragwortfield.soak.site import small_site
from ragwortfield.soak.timeline import Timeline
from ragwortfield.soak.workers import GuardedWorker

_STARTER = 'edge-a-0'
_LEASE_MS = 5000


class RecordCase(unittest.TestCase):
    def setUp(self):
        self.now = 100
        self.workers = [self.make_worker('i-1'), self.make_worker('i-2')]
        self.hosts = [SimpleNamespace(worker=worker) for worker in self.workers]
        self.jobs = JobBook(random=Random(1))
        self.job = self.jobs.create(small_site(1).workloads[-1])
        self.key = TaskKey(self.job.job_id, 0, 0, 0)

    def make_worker(self, worker_id):
        return GuardedWorker(
            worker_id=worker_id,
            clock=lambda: self.now,
            capacity=Resources(cpu=64, memory_mb=256_000),
            find_resources=lambda key: Resources(cpu=1, memory_mb=1),
        )

    def start(self, worker, run):
        worker.start(
            StartRun(
                worker_id=worker.worker_id,
                address='',
                key=self.key,
                run=run,
                fencing_token=run,
                spec='',
                checkpoint='',
                deadline_ms=int(worker.now_ms()) + _LEASE_MS,
            )
        )

    def acknowledge(self, worker):
        worker.renew_lease(
            LeaseOrder(
                worker_id=worker.worker_id,
                address='',
                fencing_token=worker.highest_fencing_token,
                acknowledged_end=worker.last_end_number,
                deadline_ms=None,
                wait_ms=0,
            )
        )


class RunHistoryTest(RecordCase):
    # Guards against two runs at a time that the soak does not report, because
    # they lie on workers that differ, or end between two of its looks.
    def test_runs_at_the_same_time_are_listed(self):
        first, second = self.workers
        self.start(first, 1)
        self.now += 1
        self.start(second, 2)
        self.now += 0.01
        first.end(self.key, EndKind.STOPPED)
        (overlap,) = list_overlaps(self.hosts)
        self.assertEqual([run.fencing_token for run in overlap], [1, 2])

    def test_runs_one_after_another_are_not_listed(self):
        first, second = self.workers
        self.start(first, 1)
        first.lose_runs()
        self.now += 1
        self.start(second, 2)
        self.assertEqual(list_overlaps(self.hosts), [])

    # Guards against overlaps that the soak reports, or misses, because it sees
    # the end of a lease later than it was.
    def test_runs_end_with_their_lease_also_if_that_is_seen_later(self):
        for gap_s, overlaps in ((0.01, 0), (-0.01, 1)):
            self.setUp()
            first, second = self.workers
            self.start(first, 1)
            self.now += _LEASE_MS / 1000 + gap_s
            self.start(second, 2)
            self.now += 1
            first.expire_lease()
            self.assertEqual(len(list_overlaps(self.hosts)), overlaps, gap_s)

    # Guards against a second run that goes unreported because the first was
    # already being stopped.
    def test_run_that_is_being_stopped_still_counts(self):
        first, second = self.workers
        first.stop_s = 0.9
        self.start(first, 1)
        first.stop(
            StopRun(
                worker_id=first.worker_id,
                address='',
                key=self.key,
                run=1,
                fencing_token=1,
            )
        )
        self.now += 0.8
        self.start(second, 2)
        self.now += 1
        first.expire_lease()
        ((stopped, _),) = list_overlaps(self.hosts)
        self.assertEqual(stopped.how, 'stopped')

    # Guards against starts after an end as done that go unreported because the
    # end is acknowledged only later.
    def test_start_after_an_end_that_is_noted_later_is_listed(self):
        first, second = self.workers
        self.start(first, 1)
        first.end(self.key, EndKind.DONE)
        self.now += 1
        self.start(second, 2)
        self.assertEqual(list_starts_after_end(self.hosts), [])
        self.acknowledge(first)
        ((done, later),) = list_starts_after_end(self.hosts)
        self.assertEqual((done.number, later.number), (1, 2))

    def test_end_that_is_noted_after_its_lease_does_not_count(self):
        first, second = self.workers
        self.start(first, 1)
        first.end(self.key, EndKind.DONE)
        self.now += _LEASE_MS / 1000 + 1
        self.start(second, 2)
        self.acknowledge(first)
        self.assertEqual(list_starts_after_end(self.hosts), [])


class CancellationCheckTest(RecordCase):
    def check(self, disrupted=''):
        timeline = Timeline(output=io.StringIO())
        self.job.cancel_answered_at = self.now
        if disrupted:
            timeline.begin('cut', disrupted).started_at = self.now
        self.now += 4
        self.start(self.workers[0], 1)
        deployment = SimpleNamespace(
            workers=self.hosts, jobs=self.jobs, find_caller=lambda _: _STARTER
        )
        Checker(deployment=deployment, timeline=timeline).check_end(None)
        return timeline.violations

    # Guards against starts of cancelled jobs that go unreported.
    def test_start_after_an_answered_cancellation_is_reported(self):
        (violation,) = self.check()
        self.assertIn('UNASKED', violation)

    def test_start_by_a_cut_instance_or_on_a_cut_worker_is_not(self):
        for target in (_STARTER, 'i-1'):
            self.setUp()
            self.assertEqual(self.check(target), [], target)

    def test_start_beside_a_cut_of_another_instance_is_reported(self):
        self.assertTrue(self.check('edge-b-1'))

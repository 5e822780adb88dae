"""Counts of jobs by queue, size and outcome, and what unfinished ones lack."""

import unittest

from ragwortfield.core.resources import Resources
from ragwortfield.report.scheduler_metrics import SchedulerMetrics
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_outcomes import (
    JobOutcome,
    count_outcomes,
    find_outcome,
)
from ragwortfield.scheduling.job_sizes import (
    RecentSizes,
    SizeClass,
    classify_size,
)
from ragwortfield.scheduling.wait_causes import WaitRecorder
from ragwortfield.tests.placement_world import NOW, PlacementWorld


def build_job(job_id, cpu):
    step = Step(count=1, need=Resources(cpu=cpu), estimate_s=1)
    return Job(
        job_id=job_id, queue='queue', spec='', steps=(step,), accepted_at=0
    )


class SizeClassTest(unittest.TestCase):
    def test_ten_jobs_fill_the_classes_by_their_shares(self):
        works = [float(work) for work in range(1, 11)]
        classes = [classify_size(work, works) for work in works]
        self.assertEqual(classes[-1], SizeClass.LARGEST_TENTH)
        self.assertEqual(classes[-3:-1], [SizeClass.NEXT_FIFTH] * 2)
        self.assertEqual(classes[:-3], [SizeClass.REST] * 7)

    def test_only_recent_jobs_of_the_queue_are_compared(self):
        sizes = RecentSizes()
        for number in range(512):
            sizes.add(build_job(f'large{number}', cpu=9))
        self.assertEqual(sizes.add(build_job('small', cpu=1)), SizeClass.REST)
        for number in range(512):
            sizes.add(build_job(f'small{number}', cpu=1))
        self.assertEqual(
            sizes.add(build_job('medium', cpu=2)), SizeClass.LARGEST_TENTH
        )


class OutcomeTest(unittest.TestCase):
    def setUp(self):
        self.world = PlacementWorld(workers=1)

    def find(self, job_id, now):
        return find_outcome(self.world.state.job_by_id[job_id], now)

    def test_job_is_overdue_once_its_objective_has_passed(self):
        # The objective of the queue is the estimated duration, one second.
        self.world.add_job('job')
        self.assertEqual(self.find('job', NOW + 0.9), JobOutcome.OPEN)
        self.assertEqual(self.find('job', NOW + 1.1), JobOutcome.OVERDUE)

    def test_finished_job_was_in_time_or_late(self):
        self.world.add_job('job')
        job = self.world.state.job_by_id['job']
        job.finished_at = NOW + 0.9
        self.assertEqual(self.find('job', NOW + 5), JobOutcome.IN_TIME)
        job.finished_at = NOW + 1.1
        self.assertEqual(self.find('job', NOW + 5), JobOutcome.LATE)

    def test_end_under_a_former_owner_counts_as_neither(self):
        self.world.add_job('job')
        job = self.world.state.job_by_id['job']
        job.finished_at = NOW
        job.is_finish_restored = True
        self.assertEqual(self.find('job', NOW), JobOutcome.DONE)

    def test_long_lived_job_counts_by_its_tasks_at_work(self):
        self.world.add_serving_task('a', load=0.1, cpu=20, count=2)
        self.assertEqual(self.find('a', NOW), JobOutcome.PARTIAL)
        self.world.add_worker('w1')
        self.world.dispatch()
        self.assertEqual(self.find('a', NOW), JobOutcome.WHOLE)


class WaitTest(unittest.TestCase):
    """One worker of 32 cores and 1,000 MiB; 30 cores are taken."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.world.add_job('taken', cpu=30)
        self.recorder = WaitRecorder()

    def sample(self, *offsets):
        for offset in (0, *offsets):
            self.recorder.sample(self.world.state, NOW + offset)

    def get_waits(self, job_id):
        return self.world.state.job_by_id[job_id].wait_s_by_cause

    def test_time_goes_to_the_cause_and_the_rank(self):
        self.world.add_job('large', cpu=8)
        self.sample(0.5, 0.9, 1.4)
        waits = self.get_waits('large')
        self.assertAlmostEqual(waits['cpu/late'], 1.4)
        self.assertAlmostEqual(self.get_waits('taken')['run'], 1.4)

    def test_room_on_a_worker_without_starts_is_told_apart(self):
        self.world.state.worker_by_id['w0'].quarantined_until = NOW + 9
        self.world.add_job('small', cpu=1)
        self.sample(0.5)
        self.assertIn('worker_state/late', self.get_waits('small'))

    def test_steps_beyond_the_examined_ones_are_told_apart(self):
        self.world.state.worker_by_id['w0'].quarantined_until = NOW + 9
        for number in range(17):
            self.world.add_job(f'small{number}', cpu=1)
        self.sample(0.5)
        self.assertIn('worker_state/late', self.get_waits('small15'))
        self.assertIn('not_examined/late', self.get_waits('small16'))

    def test_limit_for_each_worker_is_told_apart(self):
        self.world.add_job('spread', cpu=1, count=2, per_worker_limit=1)
        self.sample(0.5)
        self.assertIn('placement/late', self.get_waits('spread'))

    def test_counts_sum_up_the_waits_of_unfinished_jobs(self):
        self.world.add_job('large', cpu=8)
        self.sample(1.0)
        counts = {
            entry.size: entry
            for entry in count_outcomes(self.world.state, NOW + 2)
        }
        self.assertEqual(sum(entry.accepted() for entry in counts.values()), 2)
        text = ''.join(entry.format_waits() for entry in counts.values())
        self.assertIn('cpu/late:1.0', text)

    def test_metrics_show_outcomes_and_waits(self):
        self.world.add_job('large', cpu=8)
        self.sample(1.0)
        metrics = SchedulerMetrics()
        metrics.record_submission('queue', SizeClass.LARGEST_TENTH, 'Rejected')
        for counts in count_outcomes(self.world.state, NOW + 2):
            metrics.record_outcomes(0, counts)
            metrics.record_outcomes(1, counts)
        text = metrics.render()[0].decode()
        self.assertRegex(text, 'ragwortfield_jobs{.*shard="0".*} [12]')
        self.assertRegex(text, 'ragwortfield_jobs{.*shard="1".*} [12]')
        self.assertRegex(text, 'ragwortfield_jobs{.*overdue.*} [12]')
        self.assertRegex(text, 'ragwortfield_submissions_total{.*Rejected.*} 1')
        self.assertIn('ragwortfield_unfinished_job_seconds{cause="cpu"', text)
        metrics.clear_outcomes()
        text = metrics.render()[0].decode()
        self.assertNotIn('ragwortfield_jobs{', text)
        self.assertNotIn('ragwortfield_unfinished_job_seconds{', text)

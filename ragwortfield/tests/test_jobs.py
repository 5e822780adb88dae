"""Tests of batch jobs: placement, eviction, blame, cancels, leases."""

from unittest import TestCase

from ragwortfield.core.jobs import JobState, TaskPhase
from ragwortfield.tests.job_world import JobWorld


class JobTests(TestCase):
    """Directed cases; the machine covers their combinations."""

    def setUp(self):
        self.world = JobWorld(runners=1, workers=1)
        self.worker = self.world.worker_by_id['worker-1']

    def run_for(self, seconds):
        self.world.run(seconds, None, self.world.check)

    def state(self, job_id):
        return self.world.jobs()[job_id].state

    def test_evicted_job_keeps_its_grant_until_it_has_stopped(self):
        victim = self.world.submit(command='sleep 100', cpu=6)
        self.run_for(1)
        self.worker.faults.usage_factor = 4
        self.worker.faults.checkpoint_s = 5
        waiting = self.world.submit(command='sleep 100', cpu=6, urgency=0)
        for _ in range(20):
            if self.state(victim) is not JobState.STOPPING:
                self.run_for(0.5)
        self.assertIs(self.state(victim), JobState.STOPPING)
        self.worker.faults.usage_factor = 1
        self.run_for(3)
        self.assertIs(self.state(waiting), JobState.PENDING)
        self.run_for(3)
        self.assertIsNot(self.state(victim), JobState.STOPPING)
        self.run_for(8)
        self.assertIs(self.state(waiting), JobState.BOUND)

    def test_evicted_job_goes_to_a_worker_without_pressure(self):
        self.world.add_worker('worker-2')
        job_ids = [
            self.world.submit(command='sleep 100', cpu=5) for _ in range(2)
        ]
        self.run_for(1)
        self.worker.faults.usage_factor = 6
        for _ in range(20):
            self.run_for(0.5)
        places = {job.job_id: job.worker for job in self.world.jobs().values()}
        evicted = [
            job_id for job_id in job_ids if self.world.jobs()[job_id].evictions
        ]
        self.assertEqual(len(evicted), 1)
        self.assertEqual(places[evicted[0]], 'worker-2')

    def test_evicted_job_resumes_from_its_checkpoint(self):
        job_id = self.world.submit(command='sleep 20', cpu=6)
        self.run_for(4)
        self.worker.faults.usage_factor = 4
        self.run_for(4)
        self.worker.faults.usage_factor = 1
        self.run_for(30)
        job = self.world.jobs()[job_id]
        self.assertIs(job.state, JobState.DONE)
        self.assertGreaterEqual(job.evictions, 1)
        spans = [span for span in self.worker.spans if span.job_id == job_id]
        done = [span for span in spans if span.phase is TaskPhase.DONE]
        self.assertEqual(len(done), 1)
        worked = sum(span.ended_at - span.started_at for span in spans)
        self.assertLess(worked, 30)

    def test_job_too_large_for_every_worker_is_parked_with_the_reason(self):
        job_id = self.world.submit(command='sleep 1', cpu=11)
        self.run_for(1)
        job = self.world.jobs()[job_id]
        self.assertIs(job.state, JobState.PARKED)
        self.assertIn('11 cores', job.reason)

    def test_cancel_of_running_job_stops_it(self):
        job_id = self.world.submit(command='sleep 100')
        self.run_for(1)
        self.world.cancel(job_id)
        self.run_for(2)
        self.assertIs(self.state(job_id), JobState.CANCELLED)
        self.assertEqual(self.worker.running_tasks(), ())

    def test_unreachable_worker_keeps_its_job_while_it_is_listed(self):
        job_id = self.world.submit(command='sleep 3')
        self.run_for(1)
        self.worker.faults.is_unreachable = True
        self.world.add_worker('worker-2')
        self.run_for(30)
        self.assertIs(self.state(job_id), JobState.BOUND)
        self.worker.faults.is_unreachable = False
        self.run_for(2)
        job = self.world.jobs()[job_id]
        self.assertEqual((job.state, job.generation), (JobState.DONE, 1))

    def test_job_of_a_lost_worker_runs_again_elsewhere(self):
        job_id = self.world.submit(command='sleep 8')
        self.run_for(1)
        self.world.add_worker('worker-2')
        self.world.kill_worker('worker-1')
        self.run_for(20)
        job = self.world.jobs()[job_id]
        self.assertEqual((job.state, job.worker), (JobState.DONE, 'worker-2'))

    def test_running_job_outlives_a_store_outage(self):
        job_id = self.world.submit(command='sleep 60')
        self.run_for(1)
        self.world.platform.faults.is_down = True
        self.run_for(58)
        self.assertEqual(self.worker.running_tasks(), ((job_id, 1),))
        self.world.platform.faults.is_down = False
        self.run_for(4)
        self.assertIs(self.state(job_id), JobState.DONE)

    def test_starts_share_a_transaction(self):
        for _ in range(8):
            self.world.submit(command='sleep 5', cpu=1)
        self.run_for(1)
        counts = self.world.runner_by_id['entry-1'].counts
        self.assertEqual((counts.starts, counts.binding_transactions), (8, 1))


class BlameTests(TestCase):
    """The worker or the job, by cross-evidence."""

    def setUp(self):
        self.world = JobWorld(runners=1, workers=4)

    def run_for(self, seconds):
        self.world.run(seconds, None, self.world.check)

    def quarantined(self):
        runner = self.world.runner_by_id['entry-1']
        rows = runner._instance_state.worker_row_by_id  # noqa: SLF001
        return {
            worker_id
            for worker_id, row in rows.items()
            if row.worker.quarantines
        }

    def test_worker_that_fails_everything_is_quarantined(self):
        bad = self.world.worker_by_id['worker-2']
        bad.faults.is_failing_all = True
        job_ids = []
        for _ in range(20):
            job_ids.append(self.world.submit(command='sleep 2', cpu=1))
            self.run_for(0.5)
        self.run_for(20)
        self.assertEqual(self.quarantined(), {'worker-2'})
        failed = [span for span in bad.spans if span.phase is TaskPhase.FAILED]
        self.assertLessEqual(len(failed), 5)
        states = {self.world.jobs()[job_id].state for job_id in job_ids}
        self.assertEqual(states, {JobState.DONE})

    def test_impossible_job_is_parked_and_blames_no_worker(self):
        impossible = [
            self.world.submit(command='fail', cpu=1) for _ in range(6)
        ]
        for _ in range(10):
            self.world.submit(command='sleep 1', cpu=1)
            self.run_for(0.5)
        self.run_for(20)
        for job_id in impossible:
            job = self.world.jobs()[job_id]
            self.assertIs(job.state, JobState.PARKED)
            self.assertIn('failed on workers', job.reason)
        self.assertEqual(self.quarantined(), set())

    def test_quarantined_worker_returns_after_one_success(self):
        bad = self.world.worker_by_id['worker-2']
        bad.faults.is_failing_all = True
        for _ in range(20):
            self.world.submit(command='sleep 2', cpu=1)
            self.run_for(0.5)
        self.assertEqual(self.quarantined(), {'worker-2'})
        bad.faults.is_failing_all = False
        for _ in range(60):
            self.world.submit(command='sleep 2', cpu=4)
            self.run_for(1)
        self.assertEqual(self.quarantined(), set())

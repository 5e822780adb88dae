"""Workers that have become slow: learning, and the choice of workers."""

import unittest
from dataclasses import replace

from ragwortfield.ports.task_worker import LeaseReport, ListedRun
from ragwortfield.scheduling import worker_reports
from ragwortfield.scheduling.job_state import RunStage, create_occurrence
from ragwortfield.scheduling.speed_learning import update_speed_class
from ragwortfield.tests.placement_world import NOW, PlacementWorld

#: Duration of the tasks at full speed, in seconds, and how many times as long
#: they take on a slow worker.
_TASK_S = 2
_SLOW_FACTOR = 7.5
_MS_PER_S = 1000


class WorkerSpeedTest(unittest.TestCase):
    """Each step has one run on each of three workers; w0 is slow."""

    def setUp(self):
        self.world = PlacementWorld(workers=3)
        self.state = self.world.state
        self.workers = self.state.worker_by_id

    def start_step(self, job_id, **options):
        tasks = self.world.add_job(
            job_id, count=3, per_worker_limit=1, **options
        )
        for task in tasks:
            task.started_at = NOW
            task.percent = 0
        return sorted(tasks, key=lambda task: task.worker_id)

    def report(self, age_s, slow_ids=('w0',)):
        """Report the progress of all runs after they ran for some time."""
        for worker in self.workers.values():
            factor = _SLOW_FACTOR if worker.worker_id in slow_ids else 1
            percent = min(int(100 * age_s / _TASK_S / factor), 99)
            runs = tuple(
                ListedRun(
                    key=task.key,
                    run=task.run,
                    checkpoint='',
                    percent=percent,
                    reading=4000,
                )
                for task in worker.run_by_key.values()
            )
            worker_reports.apply_report(
                self.state,
                worker,
                LeaseReport(
                    clock_ms=int((NOW + age_s) * _MS_PER_S),
                    born_ms=1,
                    runs=runs,
                    ends=(),
                ),
                NOW + age_s,
            )

    def list_slow(self, now=NOW + 1):
        for worker in self.workers.values():
            update_speed_class(self.state, worker, now)
        return [
            worker.worker_id
            for worker in self.workers.values()
            if worker.speed.is_slow
        ]

    def make_slow(self, worker_id='w0'):
        for number in range(2):
            self.start_step(f'job-{number}', cpu=1)
        self.report(1, slow_ids=(worker_id,))

    def test_slow_worker_is_found_from_two_steps(self):
        self.make_slow()
        self.assertEqual(self.list_slow(), ['w0'])
        counts = self.state.decisions.count_by_name
        self.assertEqual(counts['worker_slow'], 1)

    # Guards against a worker that is avoided because of one run that took
    # long by chance.
    def test_one_slow_run_proves_nothing(self):
        self.start_step('job', cpu=1)
        self.report(1)
        self.assertEqual(self.list_slow(), [])

    # Guards against a worker that is avoided because its fillers are paced.
    def test_paced_fillers_show_nothing(self):
        for number in range(2):
            step = self.start_step(f'job-{number}', cpu=1, is_filler=True)
            step[0].pace = 10
        self.report(1)
        self.assertEqual(self.list_slow(), [])

    # Guards against a worker that counts as slow because it reports no
    # progress at all.
    def test_missing_progress_shows_nothing(self):
        self.make_slow('none')
        for task in self.workers['w0'].run_by_key.values():
            task.percent = 0
        self.report(0.01)
        self.assertEqual(self.list_slow(), [])

    def test_slow_worker_is_tried_again_after_some_time(self):
        self.make_slow()
        self.assertEqual(self.list_slow(NOW + 90), [])

    def test_restart_makes_a_worker_count_as_fast(self):
        self.make_slow()
        self.list_slow()
        worker_reports.apply_report(
            self.state,
            self.workers['w0'],
            LeaseReport(clock_ms=10, born_ms=2, runs=(), ends=()),
            NOW + 1,
        )
        self.assertEqual(self.list_slow(), [])

    # Guards against a successor that sends urgent tasks to slow workers for
    # as long as the runs take that it has adopted.
    def test_successor_learns_the_speed_from_adopted_runs(self):
        self.make_slow()
        for job in self.state.job_by_id.values():
            record = job.occurrence_by_number[0].to_record()
            occurrence = create_occurrence(job.job, 0, record)
            for step in occurrence.steps:
                for task in step.tasks:
                    worker = self.workers[task.worker_id]
                    worker.remove(worker.run_by_key[task.key])
                    worker.add(task)
                    self.assertEqual(task.stage, RunStage.ORDERED)
            job.occurrence_by_number[0] = occurrence
        for worker in self.workers.values():
            worker.speed.forget()
        for age_s in (1.1, 1.6):
            self.report(age_s)
        self.assertEqual(self.list_slow(NOW + 1.6), ['w0'])

    # Guards against tasks that are packed on a slow worker as its free CPU
    # fits best.
    def test_task_goes_to_a_worker_of_full_speed(self):
        self.make_slow()
        self.workers['w0'].allocated_cpu = 28
        self.assertNotEqual(self.place('urgent'), 'w0')

    def test_task_without_slack_waits_for_a_worker_of_full_speed(self):
        self.make_slow()
        self.fill('w1', 'w2')
        self.assertEqual(self.place('urgent'), '')
        counts = self.state.decisions.count_by_name
        self.assertGreater(counts['slow_worker_declined'], 0)

    # Guards against a task that never starts because the workers of full
    # speed stay full.
    def test_wait_for_a_worker_of_full_speed_is_bounded(self):
        self.make_slow()
        self.fill('w1', 'w2')
        self.place('urgent')
        for step in self.state.ready_step_by_key.values():
            step.unplaced_since = NOW - 3
        self.world.dispatch()
        self.assertEqual(self.find_worker('urgent'), 'w0')

    def test_task_with_slack_uses_a_slow_worker(self):
        self.make_slow()
        self.fill('w1', 'w2')
        queues = self.state.catalogue.queue_by_name
        queues['queue'] = replace(queues['queue'], slack_s=60)
        self.assertEqual(self.place('deferred'), 'w0')

    # Guards against a pool that stands still because most of it is slow.
    def test_slow_workers_are_used_where_most_are_slow(self):
        self.make_slow()
        self.list_slow()
        del self.workers['w1']
        self.fill('w2')
        self.workers['w2'].speed = self.workers['w0'].speed
        self.assertEqual(self.place('urgent'), 'w0')

    def test_long_lived_task_goes_to_a_worker_of_full_speed(self):
        self.make_slow()
        task = self.world.add_serving_task('a', load=0.4, cpu=4)
        self.assertNotEqual(task.worker_id, 'w0')

    def fill(self, *worker_ids):
        for worker_id in worker_ids:
            self.workers[worker_id].allocated_cpu = 32

    def place(self, job_id):
        self.world.add_job(job_id, cpu=4)
        return self.find_worker(job_id)

    def find_worker(self, job_id):
        step = self.state.find_step((job_id, 0, 0))
        return step.tasks[0].worker_id

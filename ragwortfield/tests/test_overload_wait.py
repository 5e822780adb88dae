"""Waits of jobs that an overloaded priority has deferred."""

import unittest
from dataclasses import replace

from ragwortfield.core.resources import Resources
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import dispatch, shard_updates
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.overload_control import OverloadControl
from ragwortfield.scheduling.task_lifecycle import record_run_end
from ragwortfield.tests.placement_world import NOW, PlacementWorld

_DURATION_S = 180
_ROUNDS_PER_S = 10


class DeferredJobWaitTest(unittest.TestCase):
    """One worker; each job needs all of it for a second, one comes a second."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.state = self.world.state
        self.state.settings = replace(
            self.state.settings, is_admission_controlled=False
        )
        queue = self.state.catalogue.queue_by_name['queue']
        self.state.catalogue.queue_by_name['queue'] = replace(queue, stretch=3)
        self.started = set()

    def add_job(self, job_id, now):
        step = Step(count=1, need=Resources(cpu=32, memory_mb=1), estimate_s=1)
        job = Job(
            job_id=job_id, queue='queue', spec='', steps=(step,), accepted_at=0
        )
        shard_updates.register_job(self.state, job, now=now, wall_time=0)

    def run_tasks(self, now):
        for task in list(self.state.worker_by_id['w0'].run_by_key.values()):
            if task.stage == RunStage.UNCOMMITTED:
                task.stage = RunStage.RUNNING
                task.started_at = now
                self.started.add(task.key.job_id)
            if now - task.started_at >= 1:
                record_run_end(self.state, task, EndKind.DONE, '', now)

    # Guards against jobs of a burst that never start while new jobs of their
    # priority take the whole capacity: 60 times their objective have to do.
    def test_deferred_jobs_start_while_others_keep_coming(self):
        control = OverloadControl()
        burst = [f'burst {number}' for number in range(12)]
        for job_id in burst:
            self.add_job(job_id, NOW)
        for number in range(_DURATION_S * _ROUNDS_PER_S):
            now = NOW + number / _ROUNDS_PER_S
            if not number % _ROUNDS_PER_S:
                self.add_job(str(number), now)
            self.state.worker_by_id['w0'].reported_at = now
            control.update(self.state, now)
            self.run_tasks(now)
            dispatch.dispatch(self.state, now)
            self.run_tasks(now)
        self.assertEqual(set(burst) - self.started, set())

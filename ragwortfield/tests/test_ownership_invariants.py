"""Invariants of the change of owners in the running program."""

import unittest
from unittest import mock

from ragwortfield.invariants import INVARIANTS, InvariantError
from ragwortfield.ports.task_worker import ListedRun
from ragwortfield.scheduling import worker_reports
from ragwortfield.scheduling.job_state import ReleasedRun
from ragwortfield.scheduling.run_log import log_second_run
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.shard_world import ShardWorld, build_single_step


class OwnershipInvariantsTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=3, is_process_checked=True)
        self.world.take_over()
        self.act(10)
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act(1)
        self.busy = self.world.find_busy_worker()

    def act(self, seconds):
        for _ in range(round(seconds * 10)):
            self.world.owners[-1].act()
            self.world.advance(0.1)

    def replace_owner(self):
        self.world.take_over()
        owner = self.world.owners[-1]
        owner.unreachable_worker_ids = {self.busy.worker_id}
        self.act(0.5)
        return owner.state

    # Guards against two runs of one task: a fault in the computed wait for the
    # former owner makes its successor give up a worker too early.
    def test_runs_are_not_released_while_the_former_owner_may_act(self):
        state = self.replace_owner()
        state.former_owner_until = 0
        state.former_electorate.fenced_at = 0
        with self.assertRaisesRegex(InvariantError, 'former_owner_over'):
            worker_reports.release_expired_leases(state, self.world.now)
        with mock.patch.object(INVARIANTS, 'is_raising', False):
            worker_reports.release_expired_leases(state, self.world.now)
        worker = state.worker_by_id[self.busy.worker_id]
        self.assertEqual(len(worker.run_by_key), 1)

    def test_runs_are_not_released_before_the_workers_are_fenced(self):
        state = self.replace_owner()
        self.act(5)
        state.former_electorate._fenced_worker_ids.clear()
        with self.assertRaisesRegex(InvariantError, '3 of 3 workers'):
            self.act(5)

    def test_runs_are_released_when_the_former_owner_is_over(self):
        state = self.replace_owner()
        self.act(10)
        worker = state.worker_by_id[self.busy.worker_id]
        self.assertEqual(worker.run_by_key, {})

    def test_second_run_of_a_task_is_reported(self):
        state = self.world.owners[-1].state
        task = state.find_step((self.job_id, 0, 0)).tasks[0]
        task.run = 2
        (other, _) = (
            worker
            for worker in state.worker_by_id.values()
            if worker.worker_id != self.busy.worker_id
        )
        listed = ListedRun(key=task.key, run=1, checkpoint='', percent=100)
        task.released = ReleasedRun(
            run=1, worker_id=other.worker_id, reason='lease over'
        )
        with capture_log_lines() as lines:
            log_second_run(state, task, other, listed)
            log_second_run(state, task, other, listed)
        self.assertEqual(len(lines), 1)
        self.assertIn('second_run_reported', lines[0])
        self.assertIn('released="lease over"', lines[0])
        self.assertEqual(state.counts.second_runs, 1)

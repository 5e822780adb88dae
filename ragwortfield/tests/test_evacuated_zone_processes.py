"""Scheduler processes follow the zones that the operator evacuates."""

import re

from ragwortfield.platform.table_names import OPERATOR_TABLE
from ragwortfield.tests.scheduler_process_case import SchedulerProcessTestCase

_ROW_KEY = 'evacuate/bergamo'


class EvacuatedZoneProcessTest(SchedulerProcessTestCase):
    """Both workers are in one zone."""

    def list_starts(self):
        return [
            entry
            for worker in self.deployment.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'start'
        ]

    def find_waiting_owners(self):
        """List the running processes that have found their shard evacuated."""
        return [
            instance
            for instance in self.instances
            if instance.process.poll() is None
            and re.search(
                'event=shard_without_workers .*evacuated_zones=bergamo',
                self.deployment.read_log(instance),
            )
        ]

    # Guards against starts in the zone by an owner or its successor, and
    # against a zone that stays unused after its row was removed.
    def test_no_task_starts_before_the_return_of_the_zone(self):
        self.start(instances=2)
        self.deployment.write_row(OPERATOR_TABLE, _ROW_KEY, b'{}')
        self.await_true(self.find_waiting_owners)
        job_id = '00000000000000e1'
        self.submit(self.instances[0], job_id, 'sleep 0.1', (3,))
        (owner,) = self.find_waiting_owners()
        owner.process.kill()
        owner.process.wait()
        self.await_true(self.find_waiting_owners)
        self.assertEqual(self.list_starts(), [])
        (successor,) = self.find_waiting_owners()
        self.deployment.write_row(OPERATOR_TABLE, _ROW_KEY, None)
        self.await_state(successor, job_id, 'complete')
        self.assertEqual(len(self.list_starts()), 3)

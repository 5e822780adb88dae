"""Scheduler processes against a fake platform: jobs from start to end."""

import time
import unittest

import gevent
import msgspec

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.testing.scheduler_deployment import (
    PREFIX,
    SchedulerDeployment,
)

#: Longest wait for a job that takes one or two seconds, in seconds.
_TIMEOUT_S = 40


class SchedulerProcessTest(unittest.TestCase):
    def setUp(self):
        self.deployment = SchedulerDeployment()
        self.addCleanup(self.deployment.stop)
        self.deployment.start(instances=3, workers=3)
        self.instances = list(self.deployment.instance_by_name.values())

    def submit(self, instance, job_id, body):
        path = f'{PREFIX}{job_id}'
        return self.deployment.call(instance, 'POST', path, body)

    def fetch_state(self, instance, job_id):
        response = self.deployment.call(instance, 'GET', f'{PREFIX}{job_id}')
        if response is None or response.status != 200:
            return None if response is None else response.status
        return msgspec.json.decode(response.body)['state']

    def await_state(self, instance, job_id, expected_state):
        end = time.monotonic() + _TIMEOUT_S
        state = None
        while time.monotonic() < end:
            state = self.fetch_state(instance, job_id)
            if state == expected_state:
                return
            gevent.sleep(0.05)
        self.fail(f'job {job_id} is {state!r}, expected {expected_state!r}')

    def list_completed_runs(self, job_id):
        return [
            entry[2]
            for worker in self.deployment.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'end'
            and entry[4] == 'done'
            and entry[2].job_id == job_id
        ]

    def test_job_is_accepted_anywhere_and_shown_complete(self):
        job_id = '00000000000000a1'
        body = encode_job('sleep 0.1', (3, 2))
        self.assertEqual(
            self.submit(self.instances[0], job_id, body).status, 200
        )
        self.assertEqual(
            self.submit(self.instances[1], job_id, body).status, 200
        )
        self.await_state(self.instances[2], job_id, 'complete')
        self.assertEqual(len(self.list_completed_runs(job_id)), 5)
        self.assertEqual(len(set(self.list_completed_runs(job_id))), 5)

    def test_invalid_requests_get_error_statuses(self):
        first = self.instances[0]
        cases = (
            ('00000000000000b1', b'{"spec":1}', 400),
            ('00000000000000b2', b'{"spec":"x","steps":[]}', 400),
            ('short', encode_job('sleep 1', (1,)), 400),
        )
        for job_id, body, status in cases:
            self.assertEqual(self.submit(first, job_id, body).status, status)
        self.assertEqual(self.fetch_state(first, '00000000000000b3'), 410)
        response = self.deployment.call(first, 'GET', '/elsewhere/')
        self.assertEqual(response.status, 404)

    def test_metrics_show_requests_and_the_state_of_the_shard(self):
        job_id = '00000000000000ba'
        self.submit(self.instances[0], job_id, encode_job('sleep 0', (1,)))
        self.await_state(self.instances[0], job_id, 'complete')
        texts = [
            self.deployment.fetch_metrics(instance)
            for instance in self.instances
        ]
        self.assertIn('ragwortfield_job_requests_total', texts[0])
        self.assertIn('ragwortfield_job_request_seconds_bucket', texts[0])
        self.assertTrue(any('shard_0_workers"} 3' in text for text in texts))

    def test_failing_job_is_shown_as_failed_after_its_attempts(self):
        job_id = '00000000000000c1'
        self.submit(self.instances[0], job_id, encode_job('fail', (1,)))
        self.await_state(self.instances[1], job_id, 'failed')

    def test_cancelled_job_stops(self):
        job_id = '00000000000000d1'
        self.submit(self.instances[0], job_id, encode_job('sleep 60', (2,)))
        self.await_state(self.instances[0], job_id, 'active')
        path = f'{PREFIX}{job_id}'
        response = self.deployment.call(self.instances[1], 'DELETE', path)
        self.assertEqual(response.status, 200)
        self.await_state(self.instances[2], job_id, 'cancelled')
        end = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < end and self.list_running_tasks(job_id):
            gevent.sleep(0.05)
        self.assertEqual(self.list_running_tasks(job_id), [])

    def list_running_tasks(self, job_id):
        return [
            key
            for worker in self.deployment.worker_by_id.values()
            for key in worker.run_by_key
            if key.job_id == job_id
        ]

    def test_jobs_continue_after_the_owner_is_killed(self):
        job_id = '00000000000000e1'
        body = encode_job('sleep 1', (4, 2))
        self.submit(self.instances[0], job_id, body)
        self.await_state(self.instances[0], job_id, 'active')
        owner = self.deployment.owner()
        owner.process.kill()
        owner.process.wait()
        remaining_instances = [
            one for one in self.instances if one is not owner
        ]
        self.await_state(remaining_instances[0], job_id, 'complete')
        done = self.list_completed_runs(job_id)
        self.assertEqual(len(done), 6)
        self.assertEqual(len(set(done)), 6)

    def test_store_outage_is_reported_at_once_and_jobs_continue(self):
        job_id = '00000000000000f1'
        body = encode_job('sleep 1', (2,))
        self.submit(self.instances[0], job_id, body)
        self.await_state(self.instances[0], job_id, 'active')
        self.deployment.store.is_down = True
        gevent.sleep(1)
        other = '00000000000000f2'
        response = self.submit(self.instances[0], other, body)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.get_header('retry-after'), '1')
        self.assertEqual(self.fetch_state(self.instances[1], job_id), 'active')
        self.deployment.store.is_down = False
        self.await_state(self.instances[1], job_id, 'complete')
        self.assertEqual(self.fetch_state(self.instances[1], other), 410)
        self.assertEqual(self.list_running_tasks(other), [])

    def test_planned_stop_hands_the_shard_over(self):
        job_id = '00000000000000ab'
        self.submit(self.instances[0], job_id, encode_job('sleep 2', (2, 1)))
        self.await_state(self.instances[0], job_id, 'active')
        owner = self.deployment.owner()
        owner.process.terminate()
        self.assertEqual(owner.process.wait(timeout=_TIMEOUT_S), 0)
        remaining_instances = [
            one for one in self.instances if one is not owner
        ]
        self.await_state(remaining_instances[0], job_id, 'complete')
        self.assertEqual(len(self.list_completed_runs(job_id)), 3)

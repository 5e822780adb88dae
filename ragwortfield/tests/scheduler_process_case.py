"""Base class of tests that run scheduler processes."""

import time
import unittest

import gevent

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.testing.scheduler_deployment import (
    PREFIX,
    SchedulerDeployment,
)

#: Longest wait for something that takes one or two seconds, in seconds.
TIMEOUT_S = 40


class SchedulerProcessTestCase(unittest.TestCase):
    """Test case with scheduler processes, a fake store and two workers."""

    def start(self, instances):
        self.deployment = SchedulerDeployment()
        self.addCleanup(self.deployment.stop)
        self.deployment.start(instances=instances, workers=2)
        self.instances = list(self.deployment.instance_by_name.values())

    def submit(self, instance, job_id, spec, task_counts):
        response = self.deployment.call(
            instance,
            'POST',
            f'{PREFIX}{job_id}',
            encode_job(spec, task_counts),
        )
        self.assertIsNotNone(response)
        self.assertEqual(response.status, 200, response.body)

    def await_state(self, instance, job_id, expected_state):
        end = time.monotonic() + TIMEOUT_S
        response = None
        while time.monotonic() < end:
            response = self.deployment.call(
                instance, 'GET', f'{PREFIX}{job_id}'
            )
            if (
                response is not None
                and expected_state in response.body.decode()
            ):
                return
            gevent.sleep(0.05)
        self.fail(f'job {job_id}: {response}, expected {expected_state!r}')

    def await_true(self, condition):
        end = time.monotonic() + TIMEOUT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.05)
        self.assertTrue(condition())

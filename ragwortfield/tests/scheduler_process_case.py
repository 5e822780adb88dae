"""Processes of the job scheduler with what tests ask of them."""

import time
import unittest

import gevent

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.testing.scheduler_deployment import (
    PREFIX,
    SchedulerDeployment,
)

#: Longest wait for what takes a second or two.
LIMIT_S = 40


class SchedulerProcessTestCase(unittest.TestCase):
    def start(self, instances):
        self.deployment = SchedulerDeployment()
        self.addCleanup(self.deployment.stop)
        self.deployment.start(instances=instances, workers=2)
        self.instances = list(self.deployment.instance_by_name.values())

    def submit(self, instance, job_id, text, counts):
        answer = self.deployment.call(
            instance,
            'POST',
            f'{PREFIX}{job_id}',
            encode_job(text, counts),
        )
        self.assertIsNotNone(answer)
        self.assertEqual(answer.status, 200, answer.body)

    def await_state(self, instance, job_id, wanted):
        end = time.monotonic() + LIMIT_S
        answer = None
        while time.monotonic() < end:
            answer = self.deployment.call(instance, 'GET', f'{PREFIX}{job_id}')
            if answer is not None and wanted in answer.body.decode():
                return
            gevent.sleep(0.05)
        self.fail(f'job {job_id}: {answer}, expected {wanted!r}')

    def await_true(self, condition):
        end = time.monotonic() + LIMIT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.05)
        self.assertTrue(condition())

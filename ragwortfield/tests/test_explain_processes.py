"""The command ``explain`` beside real processes."""

import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.testing.scheduler_deployment import PREFIX
from ragwortfield.tests.scheduler_process_case import SchedulerProcessTestCase

_JOB_ID = '00000000000000aa'
_REFUSED = 1
_USAGE = 2
_NO_RESPONSE = 3
_GONE = 410


class ExplainProcessTest(SchedulerProcessTestCase):
    def setUp(self):
        self.start(instances=2)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'job.json'
        self.path.write_bytes(encode_job('sleep 1', (2, 1), anti_affinity=1))

    def explain(self, instance, *arguments):
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'ragwortfield.command.main',
                '--instance',
                instance.health,
                'explain',
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )

    def explain_request(self, instance, *flags, path=f'{PREFIX}{_JOB_ID}'):
        return self.explain(
            instance,
            'request',
            str(self.path),
            '--to',
            f'127.0.0.1{path}',
            *flags,
        )

    # Guards against an answer that only the owner can give, and against a
    # question that submits the job.
    def test_any_instance_explains_and_nothing_is_submitted(self):
        for instance in self.instances:
            told = self.explain_request(instance)
            self.assertEqual(told.returncode, 0, told.stderr)
            self.assertIn('step 0: starts now', told.stdout)
            self.assertIn('step 1: waits for the steps before it', told.stdout)
        response = self.deployment.call(
            self.instances[0], 'GET', f'{PREFIX}{_JOB_ID}'
        )
        self.assertEqual(response.status, _GONE)

    def test_errors_are_told_apart(self):
        instance = self.instances[0]
        unknown = self.explain_request(instance, path='/none/')
        self.assertEqual(unknown.returncode, _REFUSED)
        self.assertIn('unknown-queue', unknown.stderr)
        missing = self.explain(instance, 'job', _JOB_ID)
        self.assertEqual(missing.returncode, _REFUSED)
        self.assertIn('unknown-job', missing.stderr)
        self.path.write_text('{"spec": "sleep 1", "steps": 3}')
        malformed = self.explain_request(instance)
        self.assertEqual(malformed.returncode, _USAGE)
        self.assertIn('malformed-job', malformed.stderr)

    def test_lost_owner_is_told(self):
        told = self.explain_request(self.instances[0], '--json')
        owner_name = msgspec.json.decode(told.stdout)['owner']
        owner = self.deployment.instance_by_name[owner_name]
        (other,) = (
            instance
            for instance in self.instances
            if instance.name != owner_name
        )
        # The other instance must know the owner before it is stopped.
        self.assertEqual(self.explain_request(other).returncode, 0)
        owner.process.send_signal(signal.SIGSTOP)
        self.addCleanup(owner.process.send_signal, signal.SIGCONT)
        lost = self.explain_request(other)
        if lost.returncode:
            self.assertEqual(lost.returncode, _NO_RESPONSE)
            self.assertIn('owner-unreachable', lost.stderr)
        else:
            # A takeover was faster than the command.
            self.assertIn(f'owner {other.name}', lost.stdout)

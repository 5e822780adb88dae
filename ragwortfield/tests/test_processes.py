"""Tests of entry instances with real processes, sockets and signals."""

import json
import shutil
import signal
import socket
import tempfile
import uuid
from pathlib import Path
from unittest import TestCase

import gevent

from ragwortfield.adapters.http_client import HttpRequest
from ragwortfield.http_api.headers import (
    IDEMPOTENCY_KEY_HEADER,
    TEAM_HEADER,
    TOKEN_HEADER,
)
from ragwortfield.testing.entry_deployment import (
    CONFIGURATION,
    SERVICE,
    TEAM,
    TEAM_TOKEN,
    EntryDeployment,
)

_CALLER_FIELDS = ((TEAM_HEADER, TEAM), (TOKEN_HEADER, TEAM_TOKEN))


class ProcessTests(TestCase):
    """Two entry instances and two workers in one data centre."""

    def setUp(self):
        self.folder = Path(tempfile.mkdtemp())
        self.deployment = EntryDeployment(folder=self.folder)
        self.addCleanup(shutil.rmtree, self.folder)
        self.addCleanup(self.deployment.stop)
        self.deployment.start_platform()
        for number in (1, 2):
            self.deployment.start_worker(f'worker-{number}', 'bergamo')
        for number in (1, 2):
            self.deployment.start_entry_instance(f'entry-{number}', 'bergamo')
        address = self.get_address('entry-1')
        self.deployment.wait_for(
            lambda: self.deployment.is_answering(address, '/health'),
        )
        accepted = self.deployment.accept_configuration('entry-1')
        self.assertEqual(accepted.status, 200)
        self.deployment.wait_until_ready(20)

    def get_address(self, name):
        return self.deployment.entry_by_id[name].address

    def call(self, name, path='/echo', method='GET', body=b'', **fields):
        extra_fields = tuple(
            (key.replace('_', '-'), value) for key, value in fields.items()
        )
        return self.deployment.send_request(
            self.get_address(name),
            HttpRequest(
                method=method,
                path=f'/services/{SERVICE}{path}',
                fields=(*_CALLER_FIELDS, *extra_fields),
                body=body,
            ),
        )

    def send_booking(self, name, booking, key):
        return self.deployment.send_request(
            self.get_address(name),
            HttpRequest(
                method='POST',
                path=f'/services/{SERVICE}/bookings',
                fields=(*_CALLER_FIELDS, (IDEMPOTENCY_KEY_HEADER, key)),
                body=booking,
            ),
        )

    def count_runs(self, booking):
        total = 0
        for worker_id in self.deployment.worker_by_id:
            description = self.deployment.describe_worker(worker_id)
            total += description['target']['runs_by_booking'].get(booking, 0)
        return total

    def count_target_requests(self):
        return sum(
            self.deployment.describe_worker(worker_id)['target']['requests']
            for worker_id in self.deployment.worker_by_id
        )

    def test_repeat_at_another_instance_in_an_outage_runs_once(self):
        self.deployment.set_platform_faults(is_down=True)
        gevent.sleep(4)
        for number in range(12):
            key = f'bergamo:{uuid.uuid4()}'
            booking = f'booking-{number}'
            first = self.send_booking('entry-1', booking.encode(), key)
            second = self.send_booking('entry-2', booking.encode(), key)
            message = f'booking {number}: {first.status} {first.body!r}'
            self.assertEqual(
                first.get_header('ragwortfield-run'), 'ran', message
            )
            self.assertEqual(second.get_header('ragwortfield-run'), 'ran')
            self.assertEqual(second.body, booking.encode())
            self.assertEqual(self.count_runs(booking), 1)

    def test_planned_stop_completes_running_requests(self):
        calls = [
            gevent.spawn(self.call, 'entry-1', f'/echo?ms=1500&n={number}')
            for number in range(4)
        ]
        gevent.sleep(0.3)
        stopping = self.deployment.entry_by_id['entry-1']
        self.deployment.send_signal(stopping, signal.SIGTERM)
        gevent.joinall(calls)
        self.assertEqual([call.value.status for call in calls], [200] * 4)
        self.deployment.wait_for(lambda: stopping.process.poll() is not None)
        self.assertEqual(stopping.process.returncode, 0)
        del self.deployment.entry_by_id['entry-1']
        self.deployment.wait_until_ready()

    def test_paused_instance_sends_nothing_after_it_resumes(self):
        paused = self.deployment.entry_by_id['entry-1']
        killed = self.deployment.entry_by_id['entry-2']
        self.deployment.send_signal(paused, signal.SIGSTOP)
        gevent.sleep(4)
        self.deployment.set_platform_faults(is_down=True)
        self.deployment.send_signal(killed, signal.SIGKILL)
        # A request relayed to a process that is still ending was sent, so its
        # run state would be unknown.
        self.deployment.wait_for(lambda: killed.process.poll() is not None)
        before = self.count_target_requests()
        self.deployment.send_signal(paused, signal.SIGCONT)
        answer = self.call('entry-1', ragwortfield_deadline_ms='500')
        self.assertEqual(
            answer.get_header('ragwortfield-run'),
            'not-run',
            f'{answer.status} {answer.body!r}',
        )
        self.assertEqual(self.count_target_requests(), before)

    def test_request_to_a_silent_target_is_answered_by_another(self):
        self.deployment.set_target_faults('worker-1', is_silent=True)
        answers = [self.call('entry-1') for _ in range(4)]
        run_states = {
            answer.get_header('ragwortfield-run') for answer in answers
        }
        self.assertEqual(run_states, {'ran'})

    def test_truncated_answer_is_reported_as_unknown_and_not_sent_again(self):
        for worker_id in self.deployment.worker_by_id:
            self.deployment.set_target_faults(worker_id, is_truncating=True)
        answer = self.send_booking('entry-1', b'cut', f'bergamo:{uuid.uuid4()}')
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.get_header('ragwortfield-run'), 'unknown')
        self.assertEqual(self.count_runs('cut'), 1)

    def test_leaving_target_gets_no_new_requests_in_an_outage(self):
        self.deployment.set_platform_faults(is_down=True)
        self.deployment.set_target_faults('worker-1', is_leaving=True)
        gevent.sleep(3)
        before = self.deployment.describe_worker('worker-1')['target'][
            'requests'
        ]
        for _ in range(20):
            self.call('entry-1')
            self.call('entry-2')
        after = self.deployment.describe_worker('worker-1')['target'][
            'requests'
        ]
        self.assertEqual(after, before)

    def test_new_instance_in_an_outage_serves_with_its_peers_configuration(
        self,
    ):
        self.deployment.set_platform_faults(is_down=True)
        seed_address = self.deployment.entry_by_id['entry-1'].peer_address
        new_instance = self.deployment.start_entry_instance(
            'entry-3', 'bergamo', seeds=(seed_address,)
        )
        self.deployment.wait_for(
            lambda: self.deployment.is_answering(
                new_instance.address, '/health'
            ),
        )
        self.deployment.wait_for(
            lambda: self.call('entry-3').status == 200,
            timeout_s=8,
        )

    def test_of_two_concurrent_configurations_one_gets_a_conflict(self):
        template = CONFIGURATION.replace('objective_ms = 500', '{0}')
        texts = [
            template.replace('{0}', f'objective_ms = {number}')
            for number in (400, 600)
        ]
        submissions = [
            gevent.spawn(self.deployment.accept_configuration, name, text, 1)
            for name, text in zip(
                ('entry-1', 'entry-2'),
                texts,
                strict=True,
            )
        ]
        gevent.joinall(submissions)
        statuses = sorted(submission.value.status for submission in submissions)
        self.assertEqual(statuses, [200, 409])
        self.deployment.wait_for(
            lambda: self.list_versions_in_force() == {2}, timeout_s=5
        )

    def test_bad_requests_are_refused_with_an_exact_error(self):
        cases = (
            ('unknown-service', '/services/nothing/x', {}),
            ('wrong-token', None, {'ragwortfield-token': 'wrong'}),
            ('unknown-team', None, {'ragwortfield-team': 'nobody'}),
            ('bad-deadline', None, {'ragwortfield-deadline-ms': 'soon'}),
            ('deadline-passed', None, {'ragwortfield-deadline-ms': '-1'}),
            ('unknown-class', None, {'ragwortfield-class': 'asap'}),
        )
        for code, path, changes in cases:
            fields = {**dict(_CALLER_FIELDS), **changes}
            answer = self.deployment.send_request(
                self.get_address('entry-1'),
                HttpRequest(
                    method='GET',
                    path=path or f'/services/{SERVICE}/echo',
                    fields=tuple(fields.items()),
                ),
            )
            document = json.loads(answer.body)
            self.assertEqual(document['error'], code)
            self.assertEqual(document['run'], 'not-run')
        self.assertEqual(self.call('entry-1').status, 200)

    def test_unreadable_requests_are_refused_as_not_run(self):
        headers = '\r\n'.join(
            f'{name}: {value}' for name, value in _CALLER_FIELDS
        )
        path = f'/services/{SERVICE}/echo'
        cases = (
            f'GET {path} HTTP/1.1\r\n{headers}\r\nx: {"a" * 100_000}\r\n\r\n',
            f'GET {path} HTTP/1.1\r\n{headers}\r\n{"x: y" * 3}\r\n' * 300,
            f'POST {path} HTTP/1.1\r\n{headers}\r\ncontent-length: x\r\n\r\n',
            f'POST {path} HTTP/1.1\r\n{headers}\r\ncontent-length: -5\r\n\r\n',
            f'GET {path}{"e" * 9000} HTTP/1.1\r\n{headers}\r\n\r\n',
            'NONSENSE\r\n\r\n',
        )
        host, _, port = self.get_address('entry-1').rpartition(':')
        for case in cases:
            with self.subTest(case[:40]):
                with socket.create_connection((host, int(port))) as caller:
                    caller.settimeout(5)
                    caller.sendall(case.encode())
                    answer = caller.recv(10_000).decode()
                self.assertIn('ragwortfield-run: not-run', answer)
        self.assertEqual(self.call('entry-1').status, 200)

    def list_versions_in_force(self):
        answer = self.deployment.call_operator_api(
            'entry-1', 'GET', 'configuration'
        )
        return set(json.loads(answer.body)['in_force'].values())

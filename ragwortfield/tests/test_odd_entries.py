"""Odd documents of others in the store, with real scheduler processes."""

from collections import Counter
from dataclasses import replace
from functools import partial
from itertools import count, cycle
from unittest.mock import patch

import gevent

from ragwortfield.platform.fake_servers import (
    FakeTaskWorkerServer,
    encode_job,
)
from ragwortfield.platform.table_names import OPERATOR_TABLE, WORKER_TABLE
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.testing.scheduler_deployment import (
    POOL,
    PREFIX,
    SchedulerDeployment,
)
from ragwortfield.tests.odd_entries import build_odd_entries
from ragwortfield.tests.scheduler_process_case import SchedulerProcessTestCase

#: Workers with an entry of their own from the start.
_WORKERS = 3
#: Time after each odd entry, so that an owner decides with it, in seconds.
_PAUSE_S = 0.12
#: Keys that are no identifiers of workers, for good entries.
_ODD_KEYS = ('line\r\nx: y', 'ü' * 9, 'nul\0', ' ', '/' * 200)
_HUGE_NUMBER = b'1' + b'0' * 400
_NESTED = b'[' * 50_000
_ODD_CONFIGURATIONS = (
    b'',
    b'\xff',
    b'null',
    b'{"version":2',
    b'{"version":%b}' % _HUGE_NUMBER,
    b'{"version":9,"routes":%b' % _NESTED,
    b'{"version":9,"x":%b' % _NESTED,
    b'{"version":9,"routes":[{"name":"r"}]}',
    b'{"version":9,"routes":[{"name":"r","host":"h","path_prefix":"/a/",'
    b'"priority":%b}]}' % _HUGE_NUMBER,
)
_ODD_JOBS = (
    b'',
    b'\xff',
    b'{"spec":"x","steps":%b' % _NESTED,
    b'{"spec":"x","steps":[{"count":%b}]}' % _HUGE_NUMBER,
    b'{"spec":"x","steps":[{"count":1,"may_miss":%b}]}' % _HUGE_NUMBER,
    b'{"spec":"x","steps":[{"count":850,"cpu":1500,"est_ms":1.7e308,'
    b'"image":"f","fills":true}]}',
    b'{"spec":"x","steps":[{"count":1,"after":[-1]}]}',
    b'{"spec":"x","steps":[{"count":1}],"interval_ms":1e308}',
)
_ODD_ANSWERS = (
    b'',
    b'\xff',
    b'[]',
    b'{"clock_ms":null}',
    b'{"clock_ms":%b}' % _HUGE_NUMBER,
    b'{"clock_ms":%b' % _NESTED,
    b'{"clock_ms":1e9,"running":[["a.0.0.0",null,"",1]]}',
    b'{"clock_ms":1,"running":[["a.0.0.0",1,"",%b]]}' % _HUGE_NUMBER,
    b'{"clock_ms":1,"running":[["a.0.0.0",1,"",1,%b' % _NESTED,
    b'{"clock_ms":1,"ended":[[%b,"a.0.0.0",1,"done",""]]}' % _HUGE_NUMBER,
    b'{"clock_ms":1,"ended":[[1,"a.0.0.0",1,"vanished",""]]}',
)
_LASTING_JOB_ID = '00000000000000a1'
_SERVING_JOB_ID = '00000000000000a2'
_FILLER_JOB_ID = '00000000000000a3'
_CHECKPOINTED_JOB_ID = '00000000000000a4'
_LASTING_TASKS = 4


class _OddDocumentsTestCase(SchedulerProcessTestCase):
    """Test case with a check that no process, owner or loop has failed."""

    def assert_no_failure(self):
        for instance in self.instances:
            self.assertIsNone(instance.process.poll(), instance.name)
        for instance in self.deployment.instance_by_name.values():
            log = self.deployment.read_log(instance)
            failures = [
                line
                for line in log.splitlines()
                if 'event=owner_failed' in line
                or 'event=unexpected_error' in line
                or 'Traceback' in line
            ]
            self.assertEqual(failures[:3], [], instance.name)


class OddEntriesTest(_OddDocumentsTestCase):
    # Guards against processes that stop, owners that give up one after the
    # other, and lasting tasks that are not started again: another writer left
    # an odd entry among those of the workers, here also in place of the entry
    # of a worker with running tasks.
    def test_odd_worker_entries_cost_only_themselves(self):
        self.deployment = SchedulerDeployment()
        self.addCleanup(self.deployment.stop)
        odd_entries = build_odd_entries('127.0.0.1:1', POOL)
        for number, entry in enumerate(odd_entries.values()):
            self.write_entry(f'odd-before-{number}', entry)
        self.deployment.start(instances=2, workers=_WORKERS)
        self.instances = list(self.deployment.instance_by_name.values())
        self.submit_long_jobs()
        self.overwrite_living_worker()
        self.assert_runs_jobs('00000000000000b1')
        self.replace_owner()
        self.overwrite_living_worker(stride=3)
        self.assert_runs_jobs('00000000000000b2')
        self.deployment.add_worker('worker-added')
        self.assert_uses_worker('worker-added')
        self.await_true(self.are_lasting_tasks_running)
        self.assert_no_failure()

    def submit_long_jobs(self):
        step_fields_by_job = {
            _LASTING_JOB_ID: {'count': _LASTING_TASKS, 'long_lived': True},
            _SERVING_JOB_ID: {
                'count': _WORKERS,
                'long_lived': True,
                'image': 'serving',
                'target_ms': 10,
                'anti_affinity': 1,
            },
            _FILLER_JOB_ID: {
                'count': _WORKERS,
                'fills': True,
                'image': 'filler',
                'anti_affinity': 1,
                'cpu': 10,
            },
            _CHECKPOINTED_JOB_ID: {'count': _WORKERS, 'saves_progress': True},
        }
        for job_id, step_fields in step_fields_by_job.items():
            self.submit_job(
                job_id, encode_job('sleep 600', (1,), **step_fields)
            )
        self.await_true(self.are_lasting_tasks_running)

    def submit_job(self, job_id, body):
        # An instance may have found the store unreachable while this process,
        # which serves the store, was busy.
        def is_accepted():
            response = self.deployment.call(
                self.instances[-1], 'POST', f'{PREFIX}{job_id}', body
            )
            return response is not None and response.status == 200

        self.await_true(is_accepted)

    def overwrite_living_worker(self, stride=1):
        """Write odd entries as ones of their own and over a living worker's."""
        address = self.deployment.address_by_worker['worker-0']
        odd_entries = list(build_odd_entries(address, POOL).values())
        for number, entry in enumerate(odd_entries[::stride]):
            self.write_entry('worker-0', entry)
            self.write_entry(f'odd-{number}', entry)
            gevent.sleep(_PAUSE_S)
        for key in _ODD_KEYS:
            self.write_entry(key, self.deployment.encode_entry('worker-0'))

    def write_entry(self, key, content):
        self.deployment.write_row(WORKER_TABLE, key, content)

    def replace_owner(self):
        """Kill the owner; its successor and a new process read all entries."""
        owner = self.deployment.owner()
        self.assertIsNotNone(owner)
        owner.process.kill()
        owner.process.wait()
        instance = self.deployment.start_instance('entry-late')
        self.deployment.wait_until_serving(instance)
        self.instances = [one for one in self.instances if one is not owner] + [
            instance
        ]

    def assert_runs_jobs(self, job_id):
        self.submit_job(job_id, encode_job('sleep 0.1', (4, 2)))
        self.await_state(self.instances[-1], job_id, 'complete')
        self.assert_no_failure()

    def assert_uses_worker(self, worker_id):
        job_id = '00000000000000c1'
        body = encode_job(
            'sleep 0.1', (1,), count=_WORKERS + 1, anti_affinity=1
        )
        self.submit_job(job_id, body)
        self.await_state(self.instances[0], job_id, 'complete')
        history = self.deployment.worker_by_id[worker_id].history
        keys = {entry[2] for entry in history if entry[2].job_id == job_id}
        self.assertEqual(len(keys), 1)

    def are_lasting_tasks_running(self):
        expected = {
            TaskKey(job_id, 0, 0, index)
            for job_id, count in (
                (_LASTING_JOB_ID, _LASTING_TASKS),
                (_SERVING_JOB_ID, _WORKERS),
            )
            for index in range(count)
        }
        running = {
            key
            for worker in self.deployment.worker_by_id.values()
            for key in worker.run_by_key
        }
        return expected <= running


class OddOperatorRowsTest(_OddDocumentsTestCase):
    # Guards against processes that stop, and against a configuration that is
    # never taken: another writer left odd documents among the operator's, also
    # in place of the configuration, and clients submit odd jobs.
    def test_odd_configurations_and_jobs_cost_only_themselves(self):
        self.start(2)
        for content in _ODD_CONFIGURATIONS:
            self.deployment.write_row(OPERATOR_TABLE, 'config', content)
            self.deployment.write_row(OPERATOR_TABLE, 'odd\r\nkey', content)
            gevent.sleep(_PAUSE_S)
        for number, body in enumerate(_ODD_JOBS):
            response = self.deployment.call(
                self.instances[0], 'POST', f'{PREFIX}{number:016x}', body
            )
            self.assertEqual(response.status, 400, body[:200])
        self.deployment.configure(3, '/later/')
        job_id = '00000000000000d1'
        body = encode_job('sleep 0.1', (2, 1))
        for instance in self.instances:
            submit = partial(self.is_accepted, instance)
            self.await_true(partial(submit, f'/later/{job_id}', body))
        self.await_true(lambda: self.is_complete(f'/later/{job_id}'))
        self.assert_no_failure()

    def is_accepted(self, instance, path, body):
        response = self.deployment.call(instance, 'POST', path, body)
        return response is not None and response.status == 200

    def is_complete(self, path):
        response = self.deployment.call(self.instances[0], 'GET', path)
        return response is not None and b'complete' in response.body


class OddAnswersTest(_OddDocumentsTestCase):
    # Guards against loops that fail, leases that expire and tasks that run
    # twice: workers carry out each order, and every third answer is odd.
    def test_odd_answers_of_workers_cost_only_themselves(self):
        odd_bodies = cycle(_ODD_ANSWERS)
        answer_number = count(1)

        def make_odd(method):
            def respond(*arguments):
                response = method(*arguments)
                if next(answer_number) % 3:
                    return response
                return replace(response, body=next(odd_bodies))

            return respond

        self.start(2)
        with (
            patch.object(
                FakeTaskWorkerServer,
                '_renew_lease',
                make_odd(FakeTaskWorkerServer._renew_lease),
            ),
            patch.object(
                FakeTaskWorkerServer,
                '_carry_out',
                make_odd(FakeTaskWorkerServer._carry_out),
            ),
        ):
            lasting = encode_job('sleep 600', (2,), long_lived=True)
            self.submit_body(_LASTING_JOB_ID, lasting)
            for number in range(8):
                job_id = f'{number:016x}'
                self.submit_body(job_id, encode_job('sleep 0.2', (3, 2)))
                self.await_state(self.instances[0], job_id, 'complete')
        self.assert_no_failure()
        self.assert_no_second_run()

    def submit_body(self, job_id, body):
        response = self.deployment.call(
            self.instances[0], 'POST', f'{PREFIX}{job_id}', body
        )
        self.assertEqual(response.status, 200, response.body)

    def assert_no_second_run(self):
        # A binding whose start was not sent counts as a run, so the one run
        # that a worker has started need not have number 1.
        started = Counter(
            entry[2]
            for worker in self.deployment.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'start'
        )
        self.assertEqual(set(started.values()), {1})

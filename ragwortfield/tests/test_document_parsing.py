"""Parsing of the platform's documents: invalid ones are reported."""

import json
import time
import unittest
from dataclasses import replace

import msgspec

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.platform.document_parsing import (
    MAX_TASKS_PER_JOB,
    is_job_id,
    parse_catalogue,
    parse_job,
    parse_worker,
)
from ragwortfield.platform.task_worker_client import parse_task_name
from ragwortfield.scheduling.job import TaskKey, compute_critical_paths
from ragwortfield.scheduling.records import (
    ProgressRecord,
    TaskPhase,
    TaskRecord,
    encode_record,
)

#: Largest row that the platform's store accepts, in bytes.
_MAX_ROW_BYTES = 65536

_WORKER_ENTRY = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'bergamo',
    'state': 'ready',
    'room': {'cpu': 16000, 'mem_mb': 10, 'gpu': 1},
    'labels': ['a', 'r1-2'],
}


def _parse_job(**changes):
    document = {'spec': 'x', 'steps': [{'count': 1}], **changes}
    return _parse_body(msgspec.json.encode(document))


def _parse_body(body):
    return parse_job(
        body,
        job_id='0' * 16,
        queue='queue',
        accepted_at=1,
    )


class DocumentParsingTest(unittest.TestCase):
    def test_worker_entry(self):
        worker = parse_worker('i-1', msgspec.json.encode(_WORKER_ENTRY))
        self.assertEqual(worker.capacity.cpu, 16)
        self.assertEqual(worker.rack, 'r1-2')
        self.assertFalse(worker.is_draining)

    def test_invalid_worker_entries_are_malformed(self):
        invalid = (
            b'\xff\xfe',
            b'[]',
            msgspec.json.encode({**_WORKER_ENTRY, 'state': 'asleep'}),
            msgspec.json.encode({**_WORKER_ENTRY, 'room': 'large'}),
            msgspec.json.encode({**_WORKER_ENTRY, 'address': 'nowhere'}),
            msgspec.json.encode({'service': 'pool'}),
        )
        for content in invalid:
            self.assertIsInstance(parse_worker('i-1', content), Malformed)

    # Guards against an owner that stops long after it has accepted the entry:
    # an integer that no float can represent was first divided when the worker
    # was drained.
    def test_worker_entry_with_an_oversized_number_is_malformed(self):
        for field in ('born', 'clock_ms', 'remaining_ms'):
            for number in (b'1' + b'0' * 400, b'9' * 5000, b'-1' + b'0' * 400):
                content = msgspec.json.encode(_WORKER_ENTRY)[:-1]
                content += b',"%b":%b}' % (field.encode(), number)
                self.assertIsInstance(parse_worker('i-1', content), Malformed)

    # Guards against an owner that stops in a later round: the shares of tasks
    # are divided by the capacity of their worker, and an entry without any was
    # accepted in place of the worker's own.
    def test_worker_entry_without_capacity_is_malformed(self):
        for room in (
            {},
            {'cpu': 0, 'mem_mb': 10},
            {'mem_mb': 10},
            {'cpu': 16000},
            {'cpu': 16000, 'mem_mb': 0},
        ):
            content = msgspec.json.encode({**_WORKER_ENTRY, 'room': room})
            self.assertIsInstance(parse_worker('i-1', content), Malformed)
        room = {'cpu': 1, 'mem_mb': 1}
        content = msgspec.json.encode({**_WORKER_ENTRY, 'room': room})
        self.assertEqual(parse_worker('i-1', content).capacity.accelerators, 0)

    # Guards against calls that raise instead of failing, again and again: a
    # worker entry names a host that no resolver can encode.
    def test_worker_entry_with_an_impossible_host_is_malformed(self):
        hosts = (
            'a' * 64,
            'a..b',
            '.',
            'ü.example',
            'two words',
            'line\r\nx: y',
            'nul\0',
            '.'.join(('a' * 50,) * 6),
        )
        for host in hosts:
            entry = {**_WORKER_ENTRY, 'address': f'{host}:80'}
            content = msgspec.json.encode(entry)
            self.assertIsInstance(parse_worker('i-1', content), Malformed, host)
        for host in ('10.0.0.1', 'w_1.zone-a.example', 'a' * 63):
            entry = {**_WORKER_ENTRY, 'address': f'{host}:80'}
            content = msgspec.json.encode(entry)
            address = parse_worker('i-1', content).address
            self.assertEqual(address, f'{host}:80')

    # Guards against a forged request to a worker: the key of an entry goes into
    # a header field of each order.
    def test_worker_entry_with_an_odd_key_is_malformed(self):
        content = msgspec.json.encode(_WORKER_ENTRY)
        for key in ('', ' ', 'a b', 'a\r\nx: y', 'nul\0', 'ü', '\x7f', 'বিচার'):
            self.assertIsInstance(parse_worker(key, content), Malformed, key)
        for key in ('i-47d196bc80', 'worker/0:1', '~'):
            self.assertEqual(parse_worker(key, content).worker_id, key)

    # Guards against a drained worker that gets tasks: its entry is discarded
    # because the time that it said it would stay has passed.
    def test_draining_worker_past_its_time_is_draining(self):
        entry = {**_WORKER_ENTRY, 'state': 'draining', 'remaining_ms': -5}
        worker = parse_worker('i-1', msgspec.json.encode(entry))
        self.assertTrue(worker.is_draining)
        self.assertEqual(worker.remaining_ms, 0)

    # Guards against a job that is accepted although its progress record is too
    # large to be stored.
    def test_state_of_the_largest_job_fits_a_row(self):
        job = _parse_job(steps=[{'count': MAX_TASKS_PER_JOB}])
        task = TaskRecord(
            phase=TaskPhase.BOUND,
            run=100,
            worker_id='i-0123456789',
            failures=3,
            checkpoint='f' * 16,
        )
        record = ProgressRecord(
            job_id=job.job_id,
            occurrence=0,
            steps=((task,) * job.steps[0].count,),
        )
        self.assertLessEqual(len(encode_record(record)), _MAX_ROW_BYTES)
        too_large_job = _parse_job(
            steps=[{'count': MAX_TASKS_PER_JOB}, {'count': 1}]
        )
        self.assertIsInstance(too_large_job, Malformed)

    def test_job_with_optional_fields(self):
        job = _parse_job(
            steps=[
                {'count': 4, 'cpu': 500, 'est_ms': 900, 'data_rack': 'r1'},
                {'count': 2, 'after': [0], 'saves_progress': True},
            ],
        )
        self.assertEqual(job.steps[0].need.cpu, 0.5)
        self.assertEqual(job.steps[1].after, (0,))
        self.assertTrue(job.steps[1].is_checkpointed)

    def test_malformed_jobs_have_a_reason(self):
        invalid = (
            _parse_job(spec=1),
            _parse_job(spec='x' * 4001),
            _parse_job(steps=[]),
            _parse_job(steps=[{'count': 0}]),
            _parse_job(steps=[{'count': 1, 'after': [0]}]),
            _parse_job(steps=[{'count': 5000}]),
        )
        for outcome in invalid:
            self.assertIsInstance(outcome, Malformed)
            self.assertTrue(outcome.reason)

    # Guards against a shard without an owner, and against status 500: sums over
    # the estimates of accepted fillers became infinite, and a number of this
    # size cannot be stored.
    def test_job_with_an_amount_out_of_range_is_malformed(self):
        huge = 10**400
        for field, amount in (
            ('est_ms', 1e300),
            ('est_ms', -1),
            ('target_ms', 1e300),
            ('target_ms', -1),
            ('may_miss', huge),
            ('anti_affinity', huge),
        ):
            body = json.dumps(
                {'spec': 'x', 'steps': [{'count': 1, field: amount}]}
            )
            outcome = _parse_body(body.encode())
            self.assertIsInstance(outcome, Malformed, field)
        for field, amount in (
            ('start_at_ms', 1e300),
            ('interval_ms', -1),
            ('repeat_count', huge),
        ):
            body = json.dumps(
                {'spec': 'x', 'steps': [{'count': 1}], field: amount}
            )
            outcome = _parse_body(body.encode())
            self.assertIsInstance(outcome, Malformed, field)

    # Guards against leases that expire on all workers: an owner computed for
    # seconds on one job that names the same earlier step again and again.
    def test_repeated_dependencies_do_not_block_an_owner(self):
        steps = [{'count': 1} for _ in range(MAX_TASKS_PER_JOB)]
        steps[1] = {'count': 1, 'est_ms': 2000}
        steps[-1] = {'count': 1, 'est_ms': 1000, 'after': [1] * 100_000}
        job = _parse_job(steps=steps)
        self.assertEqual(job.steps[-1].after, (1,))
        repeated = (replace(job.steps[-1], after=(1,) * 100_000),)
        started_at = time.process_time()
        critical_paths = compute_critical_paths(
            job.steps[:-1] + repeated,
            tuple(step.estimate_s for step in job.steps),
        )
        self.assertLess(time.process_time() - started_at, 0.2)
        self.assertEqual(critical_paths[:3], (0, 3, 0))
        self.assertEqual(critical_paths[-1], 1)

    def test_configuration_with_two_queues(self):
        content = msgspec.json.encode(
            {
                'version': 7,
                'routes': [
                    {'name': 'r', 'host': 'h', 'path_prefix': '/a/'},
                    {'name': 's', 'host': 'h', 'path_prefix': '/a/b/'},
                ],
                'services': [{'name': 'pool', 'enforces_capacity': True}],
            },
        )
        catalogue = parse_catalogue(content)
        self.assertEqual(catalogue.match_queue('h', '/a/b/1').name, 's')
        self.assertEqual(catalogue.match_queue('h', '/a/1').name, 'r')
        self.assertIsNone(catalogue.match_queue('x', '/a/1'))
        self.assertIsInstance(parse_catalogue(b'{"version":"x"}'), Malformed)

    # Guards against a configuration that no later one can replace, and against
    # time-outs that no timer can represent.
    def test_configuration_with_an_amount_out_of_range_is_malformed(self):
        route = {'name': 'r', 'host': 'h', 'path_prefix': '/a/'}
        for changes in (
            {'version': 10**400},
            {'routes': [{**route, 'priority': 10**400}]},
            {'routes': [{**route, 'attempts': 10**400}]},
            {'routes': [{**route, 'stretch': 1e300}]},
            {'routes': [{**route, 'target_latency_ms': 1e300}]},
            {'routes': [{**route, 'advice': {'decide_ms': 1e300}}]},
            {'routes': [{**route, 'advice': {'each_ms': -1}}]},
            {'routes': [{**route, 'advice': {'valid_ms': 1e300}}]},
        ):
            content = json.dumps({'version': 1, **changes}).encode()
            self.assertIsInstance(parse_catalogue(content), Malformed, content)

    def test_job_ids_and_task_names(self):
        self.assertTrue(is_job_id('5c0e7a21d94b36f8'))
        self.assertFalse(is_job_id('5c0e7a21d94b36f'))
        key = parse_task_name('5c0e7a21d94b36f8.0.1.17')
        self.assertEqual(key, TaskKey('5c0e7a21d94b36f8', 0, 1, 17))
        self.assertIsNone(parse_task_name('5c0e7a21d94b36f8.0.1'))
        self.assertIsNone(parse_task_name('5c0e7a21d94b36f8.0.x.1'))

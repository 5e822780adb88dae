"""What is accepted from other writers makes no later decision fail."""

import json
import unittest
from dataclasses import replace
from unittest import mock

import msgspec
from hypothesis import given, strategies

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.engine.row_names import job_row
from ragwortfield.platform.document_parsing import (
    parse_catalogue,
    parse_job,
    parse_worker,
)
from ragwortfield.platform.fake_servers import encode_configuration, encode_job
from ragwortfield.platform.task_worker_client import TaskWorkerClient
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.ports.task_worker import EndKind, LeaseReport
from ragwortfield.scheduling import approvals, job_status, shard_updates
from ragwortfield.scheduling.records import JobRecord, encode_record
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.tests.malformed_inputs import json_messages, run_examples
from ragwortfield.tests.odd_entries import build_odd_entries
from ragwortfield.tests.shard_world import (
    CATALOGUE,
    ShardWorld,
    build_serving_step,
    build_single_step,
)

#: Rounds before and after an odd document.
_ROUNDS = 6
_ROUND_S = 0.3
_SEED = 1
_EXAMPLES = 100
_JOB_ID = 'f' * 16
#: Amounts at the limits of what a decoder takes for a number.
_EXTREME_AMOUNTS = (0, -1, 5e-324, 1e-9, 1e15, 2**53, 2**63, 1e308, 10**400)
#: Tail latencies in milliseconds, or CPU in thousandths of a core.
_READINGS = (0, 0.001, 3, 8, 9, 40, 400, 9e15)
_STEP_AMOUNTS = (
    'count',
    'cpu',
    'mem_mb',
    'gpu',
    'est_ms',
    'anti_affinity',
    'target_ms',
    'may_miss',
)
_JOB_AMOUNTS = ('repeat_count', 'start_at_ms', 'interval_ms')
_QUEUE_AMOUNTS = ('priority', 'attempts', 'stretch', 'target_latency_ms')
_APPROVAL_AMOUNTS = ('decide_ms', 'each_ms', 'valid_ms')
_GOOD_JOB = msgspec.json.decode(
    encode_job(
        'spec',
        (1, 1),
        gpu=0,
        saves_progress=True,
        anti_affinity=1,
        image='serving',
        target_ms=10,
        required_label='kind',
        data_rack='rack-1',
        may_miss=1,
    )
) | {'repeat_count': 2, 'start_at_ms': 1, 'interval_ms': 1}
_GOOD_CONFIGURATION = msgspec.json.decode(
    encode_configuration(2, '/q/', 'pool')
)
_GOOD_CONFIGURATION['routes'][0]['advice'] = {
    'decide_ms': 1,
    'each_ms': 1,
    'valid_ms': 1000,
}
_GOOD_ENTRY = {
    'service': 'pool',
    'address': 'w0:1',
    'zone': 'bergamo',
    'state': 'draining',
    'room': {'cpu': 4000, 'mem_mb': 1000, 'gpu': 0},
    'labels': ['kind', 'rack-1'],
    'clock_ms': 1,
    'born': 1,
    'remaining_ms': 1,
}


def _add_readings(report):
    if not isinstance(report, LeaseReport):
        return report
    reading = _READINGS[report.clock_ms % len(_READINGS)]
    return replace(
        report,
        runs=tuple(replace(run, reading=reading) for run in report.runs),
    )


def _act(world, rounds=_ROUNDS):
    renew_lease = FakeTaskWorkerControl.renew_lease
    with mock.patch.object(
        FakeTaskWorkerControl,
        'renew_lease',
        lambda workers, order: _add_readings(renew_lease(workers, order)),
    ):
        for _ in range(rounds):
            world.owners[-1].act()
            world.mark_all_ready()
            world.advance(_ROUND_S)


def _build_busy_world():
    """Build a shard in which tasks of every kind run on each worker."""
    world = ShardWorld(workers=2)
    world.take_over()
    world.submit(build_serving_step(count=2))
    world.submit(
        build_single_step(count=2, cpu=0.1, image='filler', is_filler=True)
    )
    world.submit(build_single_step(count=2, cpu=0.5, is_checkpointed=True))
    world.submit(build_single_step(count=2, cpu=0.5, is_gang=True))
    _act(world)
    return world


def _read_all(world):
    """Read what callers, operators and the approval service are told."""
    state = world.owners[-1].state
    for job in tuple(state.job_by_id.values()):
        job_status.get_job_status(job)
    job_status.count_waiting_jobs(state, 'queue')
    job_status.summarise_shard(state)
    approvals.build_approval_request(state, world.now)


class WorkerEntryTest(unittest.TestCase):
    def check_entry(self, content):
        """Let an owner decide while an entry replaces that of a worker."""
        listed = parse_worker('w0', content)
        if isinstance(listed, Malformed):
            return
        world = _build_busy_world()
        listing = FakeTaskWorker.listing
        with mock.patch.object(
            FakeTaskWorker,
            'listing',
            lambda worker: (
                listed if worker.worker_id == 'w0' else listing(worker)
            ),
        ):
            _act(world)
            world.submit(build_single_step(count=2))
            _act(world)
            world.submit(
                build_single_step(cpu=0, image='other', is_filler=True)
            )
            world.take_over()
            _act(world)
            _read_all(world)
        _act(world)
        world.check()

    # Guards against a shard without an owner: an entry that takes the place of
    # a worker's is accepted, and a number of it makes a round fail later.
    def test_accepted_worker_entry_makes_no_decision_fail(self):
        for description, content in build_odd_entries('w0:1', 'pool').items():
            with self.subTest(description):
                self.check_entry(content)
                for state in (b'"state":"ready"', b'"state":"draining"'):
                    self.check_entry(b'%b,%b}' % (content[:-1], state))

    # Guards against the same for entries that nobody has thought of.
    def test_random_worker_entry_makes_no_decision_fail(self):
        def check(content):
            self.check_entry(content)

        run_examples(
            given(json_messages(_GOOD_ENTRY))(check),
            runs=_EXAMPLES,
            first_seed=_SEED,
        )


class JobTest(unittest.TestCase):
    def check_job(self, content):
        """Let two owners decide about a job, if it is accepted."""
        job = parse_job(content, job_id=_JOB_ID, queue='queue', accepted_at=100)
        if isinstance(job, Malformed):
            return
        world = _build_busy_world()
        world.accepted_job_by_id[_JOB_ID] = job
        record = JobRecord(job=job, queue=CATALOGUE.queue_by_name['queue'])
        write = RowWrite(
            name=job_row(0, _JOB_ID), content=encode_record(record)
        )
        world.store.commit(Transaction(writes=(write,)), 1)
        _act(world)
        world.submit(build_serving_step(count=2))
        _act(world)
        world.end_runs(EndKind.DONE, count=3)
        world.take_over()
        _act(world)
        _read_all(world)
        world.end_runs(EndKind.FAILED)
        _act(world, 2)
        world.cancel(_JOB_ID)
        _act(world, 2)

    # Guards against a shard without an owner, or an accepted job that cannot be
    # stored: an amount of a job is accepted and too large for a later decision.
    def test_accepted_job_makes_no_decision_fail(self):
        for flag in ('speculative', 'long_lived', 'fills', 'gang'):
            step = _GOOD_JOB['steps'][0] | {flag: True}
            self.check_jobs(
                _GOOD_JOB | {'steps': [step | {field: amount}]}
                for field in _STEP_AMOUNTS
                for amount in _EXTREME_AMOUNTS
            )
        self.check_jobs(
            _GOOD_JOB | {field: amount}
            for field in _JOB_AMOUNTS
            for amount in _EXTREME_AMOUNTS
        )

    def check_jobs(self, jobs):
        for job in jobs:
            with self.subTest(repr(job)[:300]):
                self.check_job(_encode(job))

    # Guards against a shard in which no serving task can be placed any more:
    # the work of all fillers together is infinite, and their shares of it are
    # no numbers.
    def test_work_of_accepted_fillers_is_finite(self):
        step = {
            'count': 850,
            'cpu': 1500,
            'est_ms': 1.7e308,
            'image': 'filler',
            'fills': True,
        }
        self.check_job(_encode({'spec': 'x', 'steps': [step]}))

    # Guards against the same for jobs that nobody has thought of.
    def test_random_job_makes_no_decision_fail(self):
        def check(content):
            self.check_job(content)

        run_examples(
            given(json_messages(_GOOD_JOB))(check),
            runs=_EXAMPLES,
            first_seed=_SEED,
        )


class ConfigurationTest(unittest.TestCase):
    def check_configuration(self, content):
        """Let an owner decide with a configuration, if it is accepted."""
        catalogue = parse_catalogue(content)
        if isinstance(catalogue, Malformed):
            return
        world = _build_busy_world()
        catalogue.match_queue('h', '/q/')
        shard_updates.update_catalogue(world.owners[-1].state, catalogue)
        world.catalogue = catalogue
        world.submit(build_single_step(count=2))
        _act(world)
        _read_all(world)
        world.end_runs(EndKind.FAILED, count=3)
        _act(world)
        float(catalogue.version)

    # Guards against a shard without an owner, or a configuration that no later
    # one can replace: an amount of it is too large.
    def test_accepted_configuration_makes_no_decision_fail(self):
        route = _GOOD_CONFIGURATION['routes'][0]
        advice = route['advice']
        variants = [
            _GOOD_CONFIGURATION | {'version': amount}
            for amount in _EXTREME_AMOUNTS
        ]
        variants += [
            _GOOD_CONFIGURATION | {'routes': [route | {field: amount}]}
            for field in _QUEUE_AMOUNTS
            for amount in _EXTREME_AMOUNTS
        ]
        variants += [
            _GOOD_CONFIGURATION
            | {'routes': [route | {'advice': advice | {field: amount}}]}
            for field in _APPROVAL_AMOUNTS
            for amount in _EXTREME_AMOUNTS
        ]
        for variant in variants:
            with self.subTest(repr(variant)[:300]):
                self.check_configuration(_encode(variant))

    # Guards against the same for configurations that nobody has thought of.
    def test_random_configuration_makes_no_decision_fail(self):
        def check(content):
            self.check_configuration(content)

        run_examples(
            given(json_messages(_GOOD_CONFIGURATION))(check),
            runs=_EXAMPLES,
            first_seed=_SEED,
        )


class WorkerReportTest(unittest.TestCase):
    # Guards against a shard without an owner: a worker lists runs, ends or
    # readings that a later round cannot compute with.
    def test_random_report_makes_no_decision_fail(self):
        def check(chooser):
            world = _build_busy_world()
            renew_lease = FakeTaskWorkerControl.renew_lease

            def renew_and_mutate(workers, order):
                report = renew_lease(workers, order)
                if order.worker_id != 'w0':
                    return report
                return _parse_report(
                    chooser.draw(json_messages(_encode_report(report))), order
                )

            with mock.patch.object(
                FakeTaskWorkerControl, 'renew_lease', renew_and_mutate
            ):
                for _ in range(2 * _ROUNDS):
                    world.owners[-1].act()
                    world.advance(_ROUND_S)
                world.submit(build_single_step(count=2))
                world.take_over()
                for _ in range(_ROUNDS):
                    world.owners[-1].act()
                    world.advance(_ROUND_S)
            _act(world)
            _read_all(world)

        run_examples(
            given(strategies.data())(check),
            runs=_EXAMPLES,
            first_seed=_SEED,
        )


def _encode(document):
    """Encode JSON with integers of any size."""
    return json.dumps(document).encode()


def _encode_report(report):
    if not isinstance(report, LeaseReport):
        return {}
    return {
        'clock_ms': report.clock_ms,
        'born': report.born_ms,
        'running': [
            ['.'.join(map(str, run.key)), run.run, '', run.percent, 8]
            for run in report.runs
        ],
        'ended': [
            [end.number, '.'.join(map(str, end.key)), end.run, end.kind, '']
            for end in report.ends
        ],
    }


def _parse_report(body, order):
    client = TaskWorkerClient()
    answer = WholeAnswer(status=200, fields=(), body=body)
    client.get_connections(order.address).polls = mock.Mock(
        exchange=lambda request, timeouts, **options: answer,
        exchange_with_peer=lambda peer, request, timeouts: answer,
    )
    return client.renew_lease(order)

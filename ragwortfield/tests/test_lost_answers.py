"""Tests of lost answers, and of stale state after a restart."""

import io
import unittest
from unittest import mock

import msgspec

from ragwortfield.engine.job_request_handler import (
    Accepted,
    Cancelled,
    Rejected,
    Uncertain,
)
from ragwortfield.engine.scheduler_node import SchedulerNode
from ragwortfield.engine.shard_loading import WorkerRegistry, apply_worker_rows
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.http_api.wsgi import RAW_PATH_KEY
from ragwortfield.platform.document_parsing import parse_catalogue, parse_worker
from ragwortfield.platform.fake_servers import (
    encode_configuration,
    encode_worker_entry,
)
from ragwortfield.platform.job_api import JobApi
from ragwortfield.ports.row_store import RowName, StoredRow
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.tests.job_request_world import (
    CALLER_TIMEOUT_S,
    JOB_ID,
    build_job_request_handler,
)
from ragwortfield.tests.recorded_shard_case import STEP_S, RecordedShardTestCase
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Longer than any lease, in seconds: an unlisted worker is then given up.
_BEYOND_LEASES_S = 30
_TASKS = 3
_PREFIX = '/jobs/'
_HOST = '127.0.0.1'
_BODY = msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1}]})


def _run_owner(world, seconds):
    for _ in range(int(seconds / STEP_S)):
        world.owners[-1].act()
        world.advance(STEP_S)
        world.check()


def _list_starts(world, job_id):
    return [
        entry
        for worker in world.workers.worker_by_id.values()
        for entry in worker.history
        if entry[0] == 'start' and entry[2].job_id == job_id
    ]


class LostAnswerTest(unittest.TestCase):
    """The store's answer to a caller's change is lost."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.health = StoreHealth()
        self.job_requests = build_job_request_handler(
            self.world.store, self.health
        )
        self.job = Job(
            job_id=JOB_ID,
            queue='queue',
            spec='spec',
            steps=build_single_step(),
            accepted_at=self.world.now,
        )
        self.world.accepted_job_by_id[JOB_ID] = self.job

    def call_with_lost_answer(self, change, *details):
        """Return the outcome of a change while all answers are lost."""
        self.world.store_loss_probability = 1.0
        outcome = change(*details, CALLER_TIMEOUT_S)
        self.world.store_loss_probability = 0
        return outcome

    def record_store_answer(self):
        """Record an answer of the store, as change feeds get every second."""
        self.health.record_outcome(None)

    # Guards against a job that is reported as rejected and runs, and against
    # a second run after the caller has submitted it again.
    def test_submission_whose_answer_is_lost_runs_once(self):
        outcome = self.call_with_lost_answer(self.job_requests.submit, self.job)
        self.assertIsInstance(outcome, Uncertain)
        _run_owner(self.world, 1)
        self.world.run_to_completion()
        self.record_store_answer()
        second_outcome = self.job_requests.submit(self.job, CALLER_TIMEOUT_S)
        self.assertIsInstance(second_outcome, Accepted)
        self.world.run_to_completion()
        self.assertEqual(len(_list_starts(self.world, JOB_ID)), 1)
        self.assertEqual(self.world.status(JOB_ID), JobStatus.COMPLETE)

    # Guards against a caller who submits a job again after a lost answer and
    # gets "not accepted and never runs" although the job has run.
    def test_resubmission_of_a_job_that_ran_is_not_refused(self):
        self.call_with_lost_answer(self.job_requests.submit, self.job)
        _run_owner(self.world, 1)
        self.world.run_to_completion()
        self.assertEqual(len(_list_starts(self.world, JOB_ID)), 1)
        # The store has not answered since.
        second_outcome = self.job_requests.submit(self.job, CALLER_TIMEOUT_S)
        self.assertNotIsInstance(second_outcome, Rejected)

    # Guards against a job that continues, or is reported as unknown, after a
    # cancellation whose answer was lost.
    def test_cancel_whose_answer_is_lost_takes_effect(self):
        self.job_requests.submit(self.job, CALLER_TIMEOUT_S)
        _run_owner(self.world, 1)
        outcome = self.call_with_lost_answer(self.job_requests.cancel, JOB_ID)
        self.assertIsInstance(outcome, Uncertain)
        _run_owner(self.world, 1)
        self.assertEqual(self.world.status(JOB_ID), JobStatus.CANCELLED)
        self.record_store_answer()
        second_outcome = self.job_requests.cancel(JOB_ID, CALLER_TIMEOUT_S)
        self.assertIsInstance(second_outcome, Accepted)
        _run_owner(self.world, 1)
        self.assertEqual(len(_list_starts(self.world, JOB_ID)), 1)
        for worker in self.world.workers.worker_by_id.values():
            self.assertEqual(worker.run_by_key, {})

    # Guards against an uncertain outcome that the API reports as a rejection.
    def test_uncertain_outcome_is_reported_as_a_gateway_timeout(self):
        for method in ('POST', 'DELETE'):
            answer = _send_request(
                _build_node(
                    parse_catalogue(encode_configuration(1, _PREFIX, 'pool'))
                ),
                method,
                _PREFIX + JOB_ID,
            )
            self.assertEqual(answer, '504 Gateway Timeout')

    # Guards against callers who repeat a submission that can never be accepted.
    def test_submission_of_a_cancelled_job_is_refused_for_good(self):
        node = _build_node(
            parse_catalogue(encode_configuration(1, _PREFIX, 'pool'))
        )
        node.job_requests.submit.return_value = Cancelled(reason='cancelled')
        status, headers = _send_request_for_headers(
            node, 'POST', _PREFIX + JOB_ID
        )
        self.assertEqual(status, '503 Service Unavailable')
        self.assertNotIn('retry-after', {name.lower() for name, _ in headers})


class LostOrderTest(RecordedShardTestCase):
    """The answer of a worker to a start order is lost."""

    def start_with_lost_answers(self, steps):
        """Start a job on workers whose answers to orders are lost."""
        self.run_owner(1)
        job_id = self.world.submit(steps)
        self.world.order_loss_probability = 1.0
        for _ in range(5):
            self.world.owners[-1].act(is_renewing_leases=False)
            self.world.advance(STEP_S)
        self.assertTrue(self.list_started_runs(job_id))
        return job_id

    # Guards against a second run of a task whose start took effect although
    # its answer was lost.
    def test_start_whose_answer_is_lost_runs_once(self):
        job_id = self.start_with_lost_answers(build_single_step(count=_TASKS))
        self.world.order_loss_probability = 0
        self.run_owner(1)
        expected_runs = [(index, 1) for index in range(_TASKS)]
        self.assertEqual(self.list_started_runs(job_id), expected_runs)
        self.world.run_to_completion()
        self.assertEqual(self.list_started_runs(job_id), expected_runs)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a task that is started again because the answer to its
    # start was lost and its end was not reported for a while.
    def test_run_whose_end_was_not_reported_is_not_run_again(self):
        job_id = self.start_with_lost_answers(
            build_single_step(is_checkpointed=True)
        )
        self.world.end_runs(EndKind.DONE)
        self.run_owner(2)
        self.world.order_loss_probability = 0
        self.world.run_to_completion()
        self.assertEqual(len(self.list_started_runs(job_id)), 1)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)


class RestartTest(RecordedShardTestCase):
    """Stale workers and queues must not come back after a full restart."""

    # Guards against tasks for a worker that was removed while no owner ran:
    # rows still bind a task to it, and it would accept orders.
    def test_worker_without_an_entry_gets_nothing_after_a_restart(self):
        job_id = self.world.submit(
            build_single_step(count=2, cpu=3, is_long_lived=True)
        )
        self.run_owner(1)
        self.world.owners.clear()
        self.world.take_over()
        owner = self.world.owners[-1]
        listing = self.world.workers.worker_by_id['w1'].listing()
        before = len(self.start_orders)
        with mock.patch.object(
            owner,
            '_update_workers',
            lambda: shard_updates.update_worker(owner.state, listing),
        ):
            self.world.submit(build_single_step(count=3))
            self.run_owner(_BEYOND_LEASES_S)
        started = {order.worker_id for order in self.start_orders[before:]}
        self.assertEqual(started, {'w1'})
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)

    # Guards against a complete listing that is applied as a change, which
    # would keep the workers that it does not name.
    def test_complete_listing_drops_workers_that_it_does_not_name(self):
        self.world.owners[-1].load()
        state = self.world.owners[-1].state
        listed_worker = self.world.workers.worker_by_id['w1']
        row = StoredRow(
            name=RowName(table='servers', partition='', key='w1'),
            version=9,
            content=encode_worker_entry(listed_worker, 'h:1', 'pool'),
        )
        registry = WorkerRegistry(
            table='servers',
            parse=parse_worker,
            is_in_shard=lambda _worker_id: True,
        )
        apply_worker_rows(state, (row,), is_complete=True, registry=registry)
        self.assertFalse(state.worker_by_id['w0'].is_listed)
        self.assertTrue(state.worker_by_id['w1'].is_listed)

    # Guards against a queue of an older configuration that is accepted by an
    # instance that has just started or that reads an older version late.
    def test_removed_queue_stays_unknown(self):
        node = _build_node(None)
        newer = encode_configuration(2, '/other/', 'pool')
        older = encode_configuration(1, _PREFIX, 'pool')
        path = _PREFIX + JOB_ID
        self.assertEqual(
            _send_request(node, 'POST', path), '503 Service Unavailable'
        )
        for content in (newer, older, b'\xff', newer):
            SchedulerNode._apply_catalogue(node, content)
            self.assertEqual(_send_request(node, 'POST', path), '404 Not Found')


def _build_node(catalogue):
    """Build a node for the job API whose changes are uncertain."""
    node = mock.MagicMock()
    node._catalogue = catalogue
    node._table_names.parse_catalogue = parse_catalogue
    node.ownership.runner_by_shard = {}
    node.catalogue = lambda: node._catalogue
    node.wall_time.return_value = 0
    node.is_leaving = False
    uncertain = Uncertain(reason='no answer in time')
    node.job_requests.submit.return_value = uncertain
    node.job_requests.cancel.return_value = uncertain
    return node


def _send_request(node, method, path):
    return _send_request_for_headers(node, method, path)[0]


def _send_request_for_headers(node, method, path):
    environ = {
        'REQUEST_METHOD': method,
        RAW_PATH_KEY: path,
        'HTTP_HOST': _HOST,
        'CONTENT_LENGTH': str(len(_BODY)),
        'wsgi.input': io.BytesIO(_BODY),
    }
    responses = []
    list(JobApi(node=node)(environ, lambda *parts: responses.append(parts)))
    return responses[0][:2]

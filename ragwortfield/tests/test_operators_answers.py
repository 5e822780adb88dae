"""Answers that are lost, and what is in use again after a restart."""

import io
import unittest
from unittest import mock

import msgspec

from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.job_request_handler import (
    Accepted,
    JobRequestHandler,
    Rejected,
    Uncertain,
)
from ragwortfield.engine.scheduler_node import SchedulerNode
from ragwortfield.engine.shard_loading import WorkerRegistry, apply_worker_rows
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.http_api.wsgi import RAW_PATH_KEY
from ragwortfield.platform.document_parsing import parse_catalogue, parse_worker
from ragwortfield.platform.job_api import JobApi
from ragwortfield.platform.fake_servers import (
    encode_configuration,
    encode_worker_entry,
)
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowName, StoredRow
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.tests.shard_world import ShardWorld, build_single_step
from ragwortfield.tests.recorded_shard_case import STEP_S, StoryTest

_JOB_ID = '00000000000000aa'
_CALLER_LIMIT_S = 0.5
#: Longer than any lease, so that a worker without an entry is given up.
_LONG_S = 30
_TASKS = 3
_PREFIX = '/jobs/'
_HOST = '127.0.0.1'
_BODY = msgspec.json.encode({'spec': 'x', 'steps': [{'count': 1}]})


class _Alone:
    """An instance that owns nothing and reaches no peer."""

    runner_by_shard = {}

    def runner(self, shard):
        return self.runner_by_shard.get(shard)

    def call(self, *_details):
        return Unavailable(reason='refused')


def _desk(store, health):
    return JobRequestHandler(
        instance_id='own',
        cluster=ClusterView(shards=1),
        ownership=_Alone(),
        store=store,
        health=health,
        peers=_Alone(),
        make_empty_state=lambda: ShardState(
            epoch=0,
            owner_since=0,
            bounds=TimingBounds(),
            catalogue=Catalogue(version=1),
        ),
    )


def _act(world, seconds):
    for _ in range(int(seconds / STEP_S)):
        world.owners[-1].act()
        world.advance(STEP_S)
        world.check()


def _starts(world, job_id):
    return [
        entry
        for worker in world.workers.worker_by_id.values()
        for entry in worker.history
        if entry[0] == 'start' and entry[2].job_id == job_id
    ]


class LostAnswerTest(unittest.TestCase):
    """Story 4: the store's answer to a caller's change is lost."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.health = StoreHealth()
        self.job_requests = _desk(self.world.store, self.health)
        self.job = Job(
            job_id=_JOB_ID,
            queue='queue',
            spec='spec',
            steps=build_single_step(),
            accepted_at=self.world.now,
        )
        self.world.accepted_job_by_id[_JOB_ID] = self.job

    def unheard(self, change, *details):
        """What a caller is told while every answer of the store is lost."""
        self.world.store_loss_probability = 1.0
        outcome = change(*details, _CALLER_LIMIT_S)
        self.world.store_loss_probability = 0
        return outcome

    def hear_the_store(self):
        """A feed gets its answer, as it does every second."""
        self.health.record_outcome(None)

    # Guards against a caller who is told "not run" of a job that runs, and
    # against a second run after the caller has sent it again.
    def test_submission_whose_answer_is_lost_runs_once(self):
        outcome = self.unheard(self.job_requests.submit, self.job)
        self.assertIsInstance(outcome, Uncertain)
        _act(self.world, 1)
        self.world.run_to_completion()
        self.hear_the_store()
        again = self.job_requests.submit(self.job, _CALLER_LIMIT_S)
        self.assertIsInstance(again, Accepted)
        self.world.run_to_completion()
        self.assertEqual(len(_starts(self.world, _JOB_ID)), 1)
        self.assertEqual(self.world.status(_JOB_ID), JobStatus.COMPLETE)

    # Guards against a caller who sends a job again after a lost answer and is
    # told "not accepted and never runs", while the first one has run.
    def test_repeat_of_a_job_that_ran_is_not_refused(self):
        self.unheard(self.job_requests.submit, self.job)
        _act(self.world, 1)
        self.world.run_to_completion()
        self.assertEqual(len(_starts(self.world, _JOB_ID)), 1)
        # No answer of the store was heard since.
        again = self.job_requests.submit(self.job, _CALLER_LIMIT_S)
        self.assertNotIsInstance(again, Rejected)

    # Guards against a job that goes on, or is shown as unknown, after a
    # cancellation whose answer was lost.
    def test_cancel_whose_answer_is_lost_is_in_force(self):
        self.job_requests.submit(self.job, _CALLER_LIMIT_S)
        _act(self.world, 1)
        outcome = self.unheard(self.job_requests.cancel, _JOB_ID)
        self.assertIsInstance(outcome, Uncertain)
        _act(self.world, 1)
        self.assertEqual(self.world.status(_JOB_ID), JobStatus.CANCELLED)
        self.hear_the_store()
        again = self.job_requests.cancel(_JOB_ID, _CALLER_LIMIT_S)
        self.assertIsInstance(again, Accepted)
        _act(self.world, 1)
        self.assertEqual(len(_starts(self.world, _JOB_ID)), 1)
        for worker in self.world.workers.worker_by_id.values():
            self.assertEqual(worker.run_by_key, {})

    # Guards against an uncertain outcome that a caller reads as a refusal.
    def test_caller_is_not_told_that_an_uncertain_job_never_runs(self):
        for method in ('POST', 'DELETE'):
            answer = _ask(
                _node(
                    parse_catalogue(encode_configuration(1, _PREFIX, 'pool'))
                ),
                method,
                _PREFIX + _JOB_ID,
            )
            self.assertEqual(answer, '504 Gateway Timeout')


class LostOrderTest(StoryTest):
    """Story 4: the answer of a worker is lost."""

    def start_unheard(self, steps):
        """Start a job at workers whose answers to orders are lost."""
        self.act(1)
        job_id = self.world.submit(steps)
        self.world.order_loss_probability = 1.0
        for _ in range(5):
            self.world.owners[-1].act(is_renewing_leases=False)
            self.world.advance(STEP_S)
        self.assertTrue(self.started(job_id))
        return job_id

    # Guards against a second run of a task whose start took effect unheard.
    def test_start_whose_answer_is_lost_runs_once(self):
        job_id = self.start_unheard(build_single_step(count=_TASKS))
        self.world.order_loss_probability = 0
        self.act(1)
        wanted = [(index, 1) for index in range(_TASKS)]
        self.assertEqual(self.started(job_id), wanted)
        self.world.run_to_completion()
        self.assertEqual(self.started(job_id), wanted)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a task that is started elsewhere after its start and its
    # end both went unheard for a while.
    def test_run_that_ended_unheard_is_not_run_again(self):
        job_id = self.start_unheard(build_single_step(is_checkpointed=True))
        self.world.end_runs(EndKind.DONE)
        self.act(2)
        self.world.order_loss_probability = 0
        self.world.run_to_completion()
        self.assertEqual(len(self.started(job_id)), 1)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)


class RestartTest(StoryTest):
    """Story 6: what had left is in use again after a restart of all."""

    # Guards against tasks for a worker that left while every owner was away;
    # the rows still bind a task to it, and it would obey.
    def test_worker_without_an_entry_gets_nothing_after_a_restart(self):
        job_id = self.world.submit(
            build_single_step(count=2, cpu=3, is_long_lived=True)
        )
        self.act(1)
        self.world.owners.clear()
        self.world.take_over()
        owner = self.world.owners[-1]
        left = self.world.workers.worker_by_id['w1'].listing()
        before = len(self.starts)
        with mock.patch.object(
            owner,
            '_update_workers',
            lambda: shard_updates.update_worker(owner.state, left),
        ):
            self.world.submit(build_single_step(count=3))
            self.act(_LONG_S)
        started = {order.worker_id for order in self.starts[before:]}
        self.assertEqual(started, {'w1'})
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)

    # Guards against a listing that is read as a change: workers of which it
    # says nothing would be kept.
    def test_whole_listing_drops_workers_that_it_does_not_name(self):
        self.world.owners[-1].load()
        state = self.world.owners[-1].state
        left = self.world.workers.worker_by_id['w1']
        row = StoredRow(
            name=RowName(table='servers', partition='', key='w1'),
            version=9,
            content=encode_worker_entry(left, 'h:1', 'pool'),
        )
        registry = WorkerRegistry(
            table='servers',
            parse=parse_worker,
            is_in_shard=lambda _worker_id: True,
        )
        apply_worker_rows(state, (row,), is_complete=True, registry=registry)
        self.assertFalse(state.worker_by_id['w0'].is_listed)
        self.assertTrue(state.worker_by_id['w1'].is_listed)

    # Guards against a queue of an older configuration in a process that has
    # just started, and in one that reads an older version late.
    def test_dropped_queue_is_unknown_and_stays_so(self):
        node = _node(None)
        newer = encode_configuration(2, '/other/', 'pool')
        older = encode_configuration(1, _PREFIX, 'pool')
        path = _PREFIX + _JOB_ID
        self.assertEqual(_ask(node, 'POST', path), '503 Service Unavailable')
        for content in (newer, older, b'\xff', newer):
            SchedulerNode._apply_catalogue(node, content)
            self.assertEqual(_ask(node, 'POST', path), '404 Not Found')


def _node(catalogue):
    """An instance as its front sees it, whose changes are uncertain."""
    node = mock.MagicMock()
    node._catalogue = catalogue
    node._table_names.parse_catalogue = parse_catalogue
    node.ownership.runner_by_shard = {}
    node.catalogue = lambda: node._catalogue
    node.wall_time.return_value = 0
    node.is_leaving = False
    unheard = Uncertain(reason='no answer in time')
    node.job_requests.submit.return_value = unheard
    node.job_requests.cancel.return_value = unheard
    return node


def _ask(node, method, path):
    environ = {
        'REQUEST_METHOD': method,
        RAW_PATH_KEY: path,
        'HTTP_HOST': _HOST,
        'CONTENT_LENGTH': str(len(_BODY)),
        'wsgi.input': io.BytesIO(_BODY),
    }
    told = []
    list(JobApi(node=node)(environ, lambda *parts: told.append(parts)))
    return told[0][0]

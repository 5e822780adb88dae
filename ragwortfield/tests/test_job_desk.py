"""What a caller is told about a submission is true."""

import unittest
from unittest import mock

import gevent

from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.job_request_handler import (
    Accepted,
    JobRequestHandler,
    Rejected,
    Uncertain,
    Unknown,
)
from ragwortfield.engine.row_names import job_row
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.records import MemberRecord
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.testing.fake_row_store import FakeRowStore

_JOB_ID = '00000000000000aa'
#: Silence of a store, and the limit of a test that must not wait for it.
_FOREVER_S = 120
_LIMIT_S = 30
#: Time that a caller allows.
_CALLER_LIMIT_S = 1.3


class _NoOwnership:
    """This instance owns nothing."""

    runner_by_shard = {}

    def runner(self, shard):
        return self.runner_by_shard.get(shard)


class _Peers:
    """Peers that give a fixed answer."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = []

    def call(self, address, name, body, timeout_s):
        self.calls.append(name)
        return self.answer


class _SilentStore:
    """Store that takes transactions and never answers."""

    def commit(self, transaction, timeout_s):
        gevent.sleep(_FOREVER_S)
        return _SILENT


_SILENT = Unavailable(reason='no answer', is_effect_possible=True)
_UNREACHED = Unavailable(reason='refused')


def _state():
    return ShardState(
        epoch=0,
        owner_since=0,
        bounds=TimingBounds(),
        catalogue=Catalogue(version=1),
    )


class JobDeskTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeRowStore()
        self.health = StoreHealth()
        self.peers = _Peers(_UNREACHED)
        self.cluster = ClusterView(shards=1)
        self.cluster.member_by_id['other'] = MemberRecord(
            instance_id='other',
            incarnation='1',
            address='other:1',
            data_centre='dc',
            cores=1,
        )
        self.job_requests = JobRequestHandler(
            instance_id='own',
            cluster=self.cluster,
            ownership=_NoOwnership(),
            store=self.store,
            health=self.health,
            peers=self.peers,
            make_empty_state=_state,
        )
        self.job = Job(
            job_id=_JOB_ID,
            queue='queue',
            spec='spec',
            steps=(Step(count=1),),
            accepted_at=0,
        )

    def has_row(self):
        return job_row(0, _JOB_ID) in self.store.row_by_name

    def test_accepted_means_stored(self):
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Accepted
        )
        self.assertTrue(self.has_row())

    def test_nothing_is_accepted_before_the_shards_are_known(self):
        self.cluster.shards = 0
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Rejected
        )
        self.assertIsInstance(
            self.job_requests.cancel(_JOB_ID, _CALLER_LIMIT_S), Rejected
        )
        self.assertIsInstance(self.job_requests.status(_JOB_ID, 0), Unavailable)
        for ask in (
            self.job_requests.get_owned_status,
            self.job_requests.read_stored_status,
        ):
            self.assertIsInstance(ask(_JOB_ID), Unavailable)
        written = self.job_requests.write_for_peer(Accepted)
        self.assertIsInstance(written, Rejected)
        self.assertEqual(self.store.commits, 0)

    def test_repeat_is_the_same_job(self):
        self.job_requests.submit(self.job, _CALLER_LIMIT_S)
        version = self.store.version
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Accepted
        )
        self.assertEqual(self.store.version, version)

    def test_refusal_means_that_no_row_can_appear(self):
        self.store.is_down = True
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Rejected
        )
        self.store.is_down = False
        self.store.apply_delayed()
        self.assertFalse(self.has_row())

    def test_lost_answer_is_never_a_refusal(self):
        self.store.is_commit_delayed = lambda: True
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Uncertain
        )
        self.store.apply_delayed()
        self.assertTrue(self.has_row())

    def test_silent_peer_makes_a_refusal_uncertain(self):
        self.store.is_down = True
        self.peers.answer = _SILENT
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Uncertain
        )

    def test_peer_writes_while_the_store_turns_this_instance_away(self):
        self.store.is_down = True
        self.peers.answer = {'outcome': 'Accepted', 'reason': ''}
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Accepted
        )
        self.assertIn('submit', self.peers.calls)

    def test_peer_writes_while_the_store_is_silent_to_this_instance(self):
        """Pattern: calls held until a silent store's answer is given up."""
        self.peers.answer = {'outcome': 'Accepted', 'reason': ''}
        self.job_requests._store = _SilentStore()
        with gevent.Timeout(_LIMIT_S):
            outcome = self.job_requests.submit(self.job, _CALLER_LIMIT_S)
        self.assertIsInstance(outcome, Accepted)

    def test_caller_is_not_held_by_a_silent_store(self):
        self.peers.answer = _SILENT
        self.job_requests._store = _SilentStore()
        with gevent.Timeout(_LIMIT_S):
            outcome = self.job_requests.submit(self.job, _CALLER_LIMIT_S)
        self.assertIsInstance(outcome, Uncertain)

    def test_caller_in_a_hurry_is_answered_before_it_leaves(self):
        """Pattern: a repeat that was sent shortly before its deadline."""
        self.peers.answer = _SILENT
        self.job_requests._store = _SilentStore()
        longest = 'ragwortfield.engine.job_request_handler._PERSIST_LIMIT_S'
        with mock.patch(longest, _FOREVER_S), gevent.Timeout(_LIMIT_S):
            outcome = self.job_requests.submit(self.job, 0.1)
        self.assertIsInstance(outcome, Uncertain)

    def test_store_known_to_be_away_is_not_waited_for(self):
        self.health.record_outcome(_UNREACHED)
        self.health.record_outcome(_UNREACHED)
        commits = self.store.commits
        self.assertIsInstance(
            self.job_requests.submit(self.job, _CALLER_LIMIT_S), Rejected
        )
        self.assertEqual(self.store.commits, commits)

    def test_cancel_of_an_unknown_job_writes_nothing(self):
        self.assertIsInstance(
            self.job_requests.cancel(_JOB_ID, _CALLER_LIMIT_S), Unknown
        )
        self.assertEqual(self.store.commits, 0)

    def test_state_is_worked_out_from_rows_without_an_owner(self):
        self.job_requests.submit(self.job, _CALLER_LIMIT_S)
        self.assertEqual(
            self.job_requests.status(_JOB_ID, 1), JobStatus.PENDING
        )
        self.job_requests.cancel(_JOB_ID, _CALLER_LIMIT_S)
        self.assertEqual(
            self.job_requests.status(_JOB_ID, 1), JobStatus.CANCELLED
        )

    def test_unknown_job_is_only_told_by_the_store(self):
        self.assertIsInstance(self.job_requests.status(_JOB_ID, 1), Unknown)
        self.store.is_down = True
        found = self.job_requests.status(_JOB_ID, 0)
        self.assertIsInstance(found, Unavailable)

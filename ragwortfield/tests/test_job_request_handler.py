"""Tests of outcomes that callers get for submissions and cancellations."""

import unittest
from unittest import mock

import gevent

from ragwortfield.engine import unowned_status_log
from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.job_request_handler import (
    Accepted,
    Rejected,
    Uncertain,
    Unknown,
)
from ragwortfield.engine.row_names import cancel_row, job_row
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.job import Step
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.records import MemberRecord, OwnerRecord
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.job_request_world import (
    JOB_ID,
    build_job,
    build_job_request_handler,
)

#: How long a silent store blocks, in seconds; tests must not wait that long.
_SILENCE_S = 120
#: Time-out of a test that must not wait for a silent store, in seconds.
_TEST_TIMEOUT_S = 30
#: Time that a caller allows for an answer, in seconds.
_CALLER_TIMEOUT_S = 1.3


class _Peers:
    """Peers that return a fixed answer and record the calls."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = []

    def call(self, address, name, body, timeout_s):
        self.calls.append(name)
        return self.answer

    def is_unreachable(self, _address):
        return False


class _SilentStore:
    """Store that accepts transactions and does not answer."""

    def commit(self, transaction, timeout_s):
        gevent.sleep(_SILENCE_S)
        return _NO_ANSWER


_NO_ANSWER = Unavailable(reason='no answer', is_effect_possible=True)
_CONNECTION_REFUSED = Unavailable(reason='refused')


class JobRequestHandlerTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeRowStore()
        self.health = StoreHealth()
        self.peers = _Peers(_CONNECTION_REFUSED)
        self.cluster = ClusterView(shards=1)
        self.cluster.member_by_id['other'] = MemberRecord(
            instance_id='other',
            incarnation='1',
            address='other:1',
            data_centre='dc',
            cores=1,
        )
        self.request_handler = build_job_request_handler(
            self.store, self.health, self.cluster, self.peers
        )
        self.job = build_job(steps=(Step(count=1),))

    def is_job_stored(self):
        return job_row(0, JOB_ID) in self.store.row_by_name

    def test_accepted_means_stored(self):
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Accepted
        )
        self.assertTrue(self.is_job_stored())

    def test_nothing_is_accepted_before_the_shards_are_known(self):
        self.cluster.shards = 0
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Rejected
        )
        self.assertIsInstance(
            self.request_handler.cancel(JOB_ID, _CALLER_TIMEOUT_S), Rejected
        )
        self.assertIsInstance(
            self.request_handler.status(JOB_ID, 0), Unavailable
        )
        for query in (
            self.request_handler.get_owned_status,
            self.request_handler.read_stored_status,
        ):
            self.assertIsInstance(query(JOB_ID), Unavailable)
        outcome = self.request_handler.write_for_peer(Accepted)
        self.assertIsInstance(outcome, Rejected)
        self.assertEqual(self.store.commits, 0)

    def test_resubmission_is_the_same_job(self):
        self.request_handler.submit(self.job, _CALLER_TIMEOUT_S)
        version = self.store.version
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Accepted
        )
        self.assertEqual(self.store.version, version)

    def test_rejection_means_that_no_row_can_appear(self):
        self.store.is_down = True
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Rejected
        )
        self.store.is_down = False
        self.store.apply_delayed()
        self.assertFalse(self.is_job_stored())

    def test_lost_answer_is_never_a_rejection(self):
        self.store.is_commit_delayed = lambda: True
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Uncertain
        )
        self.store.apply_delayed()
        self.assertTrue(self.is_job_stored())

    def test_silent_peer_makes_a_rejection_uncertain(self):
        self.store.is_down = True
        self.peers.answer = _NO_ANSWER
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Uncertain
        )

    def test_peer_writes_while_the_store_refuses_this_instance(self):
        self.store.is_down = True
        self.peers.answer = {'outcome': 'Accepted', 'reason': ''}
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Accepted
        )
        self.assertIn('submit', self.peers.calls)

    def test_peer_writes_while_the_store_is_silent_to_this_instance(self):
        """A silent store must not block the request until the call ends."""
        self.peers.answer = {'outcome': 'Accepted', 'reason': ''}
        self.request_handler._store = _SilentStore()
        with gevent.Timeout(_TEST_TIMEOUT_S):
            outcome = self.request_handler.submit(self.job, _CALLER_TIMEOUT_S)
        self.assertIsInstance(outcome, Accepted)

    def test_caller_is_not_blocked_by_a_silent_store(self):
        self.peers.answer = _NO_ANSWER
        self.request_handler._store = _SilentStore()
        with gevent.Timeout(_TEST_TIMEOUT_S):
            outcome = self.request_handler.submit(self.job, _CALLER_TIMEOUT_S)
        self.assertIsInstance(outcome, Uncertain)

    def test_caller_is_answered_before_a_short_deadline(self):
        """A repeated request may arrive shortly before its deadline."""
        self.peers.answer = _NO_ANSWER
        self.request_handler._store = _SilentStore()
        limit_name = 'ragwortfield.engine.job_request_handler._PERSIST_LIMIT_S'
        with (
            mock.patch(limit_name, _SILENCE_S),
            gevent.Timeout(_TEST_TIMEOUT_S),
        ):
            outcome = self.request_handler.submit(self.job, 0.1)
        self.assertIsInstance(outcome, Uncertain)

    def test_store_known_to_be_unreachable_is_not_called(self):
        self.health.record_outcome(_CONNECTION_REFUSED)
        self.health.record_outcome(_CONNECTION_REFUSED)
        commits = self.store.commits
        self.assertIsInstance(
            self.request_handler.submit(self.job, _CALLER_TIMEOUT_S), Rejected
        )
        self.assertEqual(self.store.commits, commits)

    def test_cancel_of_an_unknown_job_writes_only_its_cancellation(self):
        for _ in range(2):
            self.assertIsInstance(
                self.request_handler.cancel(JOB_ID, _CALLER_TIMEOUT_S),
                Unknown,
            )
        self.assertEqual(self.store.version, 1)
        self.assertEqual(list(self.store.row_by_name), [cancel_row(0, JOB_ID)])
        self.assertFalse(self.is_job_stored())

    def test_state_is_derived_from_rows_without_an_owner(self):
        self.request_handler.submit(self.job, _CALLER_TIMEOUT_S)
        self.assertEqual(
            self.request_handler.status(JOB_ID, 1), JobStatus.PENDING
        )
        self.request_handler.cancel(JOB_ID, _CALLER_TIMEOUT_S)
        self.assertEqual(
            self.request_handler.status(JOB_ID, 1), JobStatus.CANCELLED
        )

    def test_job_is_unknown_only_if_the_store_says_so(self):
        self.assertIsInstance(self.request_handler.status(JOB_ID, 1), Unknown)
        self.store.is_down = True
        status = self.request_handler.status(JOB_ID, 0)
        self.assertIsInstance(status, Unavailable)


class UnownedStatusTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeRowStore()
        self.cluster = ClusterView(shards=1)
        self.peers = _Peers(_CONNECTION_REFUSED)
        self.request_handler = build_job_request_handler(
            self.store, None, self.cluster, self.peers
        )
        self.request_handler.submit(build_job(steps=(Step(count=1),)), 1)
        self.cluster.owner_by_shard[0] = KnownOwner(
            record=OwnerRecord(
                instance_id='lost', incarnation='1', epoch=7, address='lost:1'
            ),
            version=1,
        )

    def ask(self, count=1):
        """Ask for the status of the job; return the lines of the log."""
        with capture_log_lines() as lines:
            for _ in range(count):
                self.request_handler.status(JOB_ID, 0)
        return lines

    # Guards against a log in which an instance that answers from the store
    # looks like an owner that has taken the job just after its acceptance.
    def test_status_without_an_owner_is_not_logged_as_taken(self):
        lines = self.ask()
        self.assertNotIn('event=job_taken', ' '.join(lines))

    # Guards against a log that does not tell which owner was asked, and why it
    # gave no answer.
    def test_status_without_an_owner_names_the_owner_and_the_reason(self):
        (line,) = self.ask()
        self.assertIn('event=status_unowned', line)
        for part in (
            f'job={JOB_ID}',
            'shard=0',
            'owner=lost',
            'epoch=7',
            'known_s=',
            'reason=refused',
            'source=store',
            'answer=pending',
        ):
            self.assertIn(part, line)

    def test_status_without_a_known_owner_is_logged(self):
        self.cluster.owner_by_shard.clear()
        (line,) = self.ask()
        self.assertIn('owner="" epoch=0 known_s=-1', line)
        self.assertIn('reason="shard 0 has no owner"', line)

    def test_status_that_nobody_knows_is_logged(self):
        self.store.is_down = True
        (line,) = self.ask()
        self.assertIn('source=peers answer=unavailable', line)

    # Guards against a log that is filled by callers who keep asking.
    def test_lines_are_bounded_and_the_rest_is_counted(self):
        with mock.patch.object(
            unowned_status_log, 'time', mock.Mock(monotonic=lambda: self.now)
        ):
            self.now = 100.0
            self.assertEqual(len(self.ask(60)), 20)
            self.now += 1
            (line,) = self.ask()
        self.assertIn('unlogged_before=40', line)
        self.assertEqual(self.request_handler.unowned_statuses.count, 61)

"""Client of task workers: no response raises, whatever its status."""

import unittest
from unittest import mock

from ragwortfield.core.outcomes import Broken, WholeAnswer
from ragwortfield.platform.task_worker_client import TaskWorkerClient
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    LeaseOrder,
    PaceRun,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.job import TaskKey

_ADDRESS = 'w0:1'
_KEY = TaskKey('0' * 16, 0, 0, 0)
#: Statuses without a special meaning; only the first is in ``HTTPStatus``.
_UNKNOWN_STATUSES = (500, 299, 499, 520, 599)
_HUGE_NUMBER = b'1' + b'0' * 400
#: Levels of a document that is nested too deeply for any decoder.
_NESTED = b'[' * 50_000
#: Answers to any order that cannot be read.
_UNREADABLE_ANSWERS = (
    b'',
    b'\xff',
    b'[]',
    b'{"clock_ms":null}',
    b'{"clock_ms":-1}',
    b'{"clock_ms":%b}' % _HUGE_NUMBER,
    b'{"clock_ms":1e400}',
    b'{"clock_ms":"\xff"}',
    b'{"clock_ms":1,"x":%b' % _NESTED,
)
_RUN = b'["%b.0.0.0",1,"",41,%b]'
#: Rows of running and of ended tasks that cannot be read.
_UNREADABLE_RUNS = (
    b'7',
    b'[]',
    b'["x",1,"",41]',
    b'["a.0.%b.0",1,"",41]' % (b'9' * 5000),
    b'["a.0.0.0",null,"",41]',
    b'["a.0.0.0",-1,"",41]',
    b'["a.0.0.0",%b,"",41]' % _HUGE_NUMBER,
    b'["a.0.0.0","1","",41]',
    b'["a.0.0.0",1,null,41]',
    b'["a.0.0.0",1,"",null]',
    b'["a.0.0.0",1,"","nan"]',
    b'["a.0.0.0",1,"",%b]' % _HUGE_NUMBER,
    b'["a.0.0.0",1,"",[]]',
    b'["a.0.0.0",1,"",41,%b]' % _NESTED,
)
_UNREADABLE_ENDS = (
    b'7',
    b'[]',
    b'[0,"a.0.0.0",1,"done",""]',
    b'[-1,"a.0.0.0",1,"done",""]',
    b'[%b,"a.0.0.0",1,"done",""]' % _HUGE_NUMBER,
    b'[1,"a.0.0.0",%b,"done",""]' % _HUGE_NUMBER,
    b'[1,"a.0.0.0",-1,"done",""]',
    b'[1,"a.0.0.0",1,"vanished",""]',
    b'[1,"a.0.0.0",1,"done",null]',
)


class _FakePool:
    """Connection pool on which all responses are the same."""

    def __init__(self, status, body=b'{}'):
        self.status = status
        self.body = body

    def exchange(self, request, timeouts):
        return WholeAnswer(status=self.status, fields=(), body=self.body)

    def exchange_with_peer(self, peer, request, timeouts):
        return self.exchange(request, timeouts)

    def close_spare(self):
        """Do nothing."""


def _use_pool(client, pool):
    connections = client.get_connections(_ADDRESS)
    connections.orders = pool
    connections.polls = pool


def _call_each_method(client):
    order_fields = {'worker_id': 'w0', 'address': _ADDRESS, 'fencing_token': 1}
    run_fields = {**order_fields, 'key': _KEY, 'run': 1}
    yield client.renew_lease(
        LeaseOrder(
            acknowledged_end=0, deadline_ms=1, wait_ms=0, **order_fields
        ),
    )
    yield client.start(
        StartRun(spec='x', checkpoint='', deadline_ms=1, **run_fields),
    )
    yield client.stop(StopRun(**run_fields))
    yield client.pace(PaceRun(percent=50, **run_fields))


def _renew_lease(body):
    client = TaskWorkerClient()
    _use_pool(client, _FakePool(200, body))
    return next(_call_each_method(client))


class UnreadableAnswerTest(unittest.TestCase):
    # Guards against an expired lease: an answer that cannot be read raised in
    # the loop that renews the lease, and was taken for no answer only after
    # that.
    def test_unreadable_answer_leaves_an_effect_possible(self):
        for body in _UNREADABLE_ANSWERS:
            self.check_outcomes(200, body)
            # A refusal may come without a body.
            self.check_outcomes(409, body or b'[]')

    def check_outcomes(self, status, body):
        client = TaskWorkerClient()
        _use_pool(client, _FakePool(status, body))
        for outcome in _call_each_method(client):
            self.assertIsInstance(outcome, Unavailable, body[:60])
            self.assertTrue(outcome.is_effect_possible)

    # Guards against a second run of a task, and against the acknowledgement of
    # an end that was not taken: the rest of a report with a row that cannot be
    # read says neither which runs are over nor up to which end.
    def test_report_with_an_unreadable_row_is_no_report(self):
        for row in _UNREADABLE_RUNS:
            report = _renew_lease(b'{"clock_ms":1,"running":[%b]}' % row)
            self.assertIsInstance(report, Unavailable, row[:60])
        for row in _UNREADABLE_ENDS:
            report = _renew_lease(b'{"clock_ms":1,"ended":[%b]}' % row)
            self.assertIsInstance(report, Unavailable, row[:60])
        for field in (b'"born":-1', b'"born":%b' % _HUGE_NUMBER):
            report = _renew_lease(b'{"clock_ms":1,%b}' % field)
            self.assertIsInstance(report, Unavailable, field[:60])

    # Guards against a failing round, and against leases that expire, because of
    # a reading that nothing can be computed from.
    def test_unusable_reading_costs_itself_only(self):
        for reading in (
            b'null',
            b'"nan"',
            b'-1',
            b'[]',
            b'true',
            b'1e300',
            _HUGE_NUMBER,
        ):
            run = _RUN % (b'0' * 16, reading)
            report = _renew_lease(b'{"clock_ms":1,"running":[%b]}' % run)
            self.assertEqual([one.reading for one in report.runs], [None])
        for reading, expected in (
            (b'0', 0),
            (b'224', 224),
            (b'0.5', 0.5),
            (b'5e-324', 0),
        ):
            run = _RUN % (b'0' * 16, reading)
            report = _renew_lease(b'{"clock_ms":1,"running":[%b]}' % run)
            self.assertEqual([one.reading for one in report.runs], [expected])


class UnknownStatusTest(unittest.TestCase):
    # Guards against an expired lease: a status that ``HTTPStatus`` does not
    # know raised and ended the loop that renews the lease on the worker.
    def test_unknown_status_leaves_an_effect_possible(self):
        for status in _UNKNOWN_STATUSES:
            client = TaskWorkerClient()
            _use_pool(client, _FakePool(status))
            for outcome in _call_each_method(client):
                self.assertIsInstance(outcome, Unavailable)
                self.assertTrue(outcome.is_effect_possible)
                self.assertIn(str(status), outcome.reason)


class KnownConnectionTest(unittest.TestCase):
    """Whether an order without an answer can have reached a new process."""

    def start(self, outcome):
        client = TaskWorkerClient()
        pool = mock.Mock(open_count=1)
        pool.exchange_with_peer.return_value = outcome
        _use_pool(client, pool)
        return client.start(
            StartRun(
                worker_id='w0',
                address=_ADDRESS,
                key=_KEY,
                run=1,
                spec='',
                checkpoint='',
                deadline_ms=1,
                fencing_token=1,
            )
        )

    def test_connection_that_had_carried_a_response_is_known(self):
        for is_reused in (True, False):
            outcome = self.start(Broken(reason='silent', is_reused=is_reused))
            self.assertTrue(outcome.is_effect_possible)
            self.assertEqual(outcome.is_known_connection, is_reused)

"""Answers of workers: each is turned into an outcome, none raises."""

import unittest

from ragwortfield.core.outcomes import WholeAnswer
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
#: Statuses without a meaning of their own; the first one has a name.
_UNKNOWN = (500, 299, 499, 520, 599)


class _Pool:
    """Connections on which every answer has one status."""

    def __init__(self, status):
        self.status = status

    def exchange(self, request, timeouts):
        return WholeAnswer(status=self.status, fields=(), body=b'{}')


def _outcomes(calls):
    order = {'worker_id': 'w0', 'address': _ADDRESS, 'fencing_token': 1}
    run = {**order, 'key': _KEY, 'run': 1}
    yield calls.renew_lease(
        LeaseOrder(acknowledged_end=0, deadline_ms=1, wait_ms=0, **order),
    )
    yield calls.start(
        StartRun(spec='x', checkpoint='', deadline_ms=1, **run),
    )
    yield calls.stop(StopRun(**run))
    yield calls.pace(PaceRun(percent=50, **run))


class UnknownStatusTest(unittest.TestCase):
    # Guards against a status that the standard library has no name for, which
    # ended the loop that keeps the worker's lease.
    def test_any_unknown_status_leaves_the_effect_open(self):
        for status in _UNKNOWN:
            calls = TaskWorkerClient()
            calls._pool_by_address[_ADDRESS] = _Pool(status)
            for outcome in _outcomes(calls):
                self.assertIsInstance(outcome, Unavailable)
                self.assertTrue(outcome.is_effect_possible)
                self.assertIn(str(status), outcome.reason)

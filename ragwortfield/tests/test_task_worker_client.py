"""Client of task workers: no response raises, whatever its status."""

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
#: Statuses without a special meaning; only the first is in ``HTTPStatus``.
_UNKNOWN_STATUSES = (500, 299, 499, 520, 599)


class _FakePool:
    """Connection pool on which all responses have the same status."""

    def __init__(self, status):
        self.status = status

    def exchange(self, request, timeouts):
        return WholeAnswer(status=self.status, fields=(), body=b'{}')


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


class UnknownStatusTest(unittest.TestCase):
    # Guards against an expired lease: a status that ``HTTPStatus`` does not
    # know raised and ended the loop that renews the lease on the worker.
    def test_unknown_status_leaves_an_effect_possible(self):
        for status in _UNKNOWN_STATUSES:
            client = TaskWorkerClient()
            client._pool_by_address[_ADDRESS] = _FakePool(status)
            for outcome in _call_each_method(client):
                self.assertIsInstance(outcome, Unavailable)
                self.assertTrue(outcome.is_effect_possible)
                self.assertIn(str(status), outcome.reason)

"""Queues that take no new jobs while even a late end is out of reach."""

import unittest
from unittest import mock

from ragwortfield.core.resources import Resources
from ragwortfield.engine.admission_publisher import AdmissionPublisher
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.job_request_handler import Accepted
from ragwortfield.engine.queue_refusals import Refused
from ragwortfield.engine.row_names import (
    CLUSTER_TABLE,
    admission_row,
    job_row,
    owner_row,
    partition_of_shard,
)
from ragwortfield.ports.row_store import RowWrite, StoredRow, Transaction
from ragwortfield.scheduling.job import Step
from ragwortfield.scheduling.queue_admission import Backlog, decide_refusals
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.job_request_world import (
    CALLER_TIMEOUT_S,
    JOB_ID,
    build_job,
    build_job_request_handler,
)
from ragwortfield.tests.placement_world import NOW, PlacementWorld

_CLOCK = 'ragwortfield.engine.cluster_view.time.monotonic'


class DecisionTest(unittest.TestCase):
    """Jobs with an objective of 1 s; a late end is worth something for 3 s."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        for number in range(10):
            self.world.add_job(str(number), cpu=30)

    def decide(self, backlog_s, closed=(), **settings):
        return decide_refusals(
            self.world.state.job_by_id.values(),
            Backlog(work=backlog_s * 32, capacity_cpu=32),
            dict.fromkeys(closed, 1),
            SchedulingSettings(**settings),
        )

    def test_burst_that_can_still_be_done_late_closes_no_queue(self):
        self.assertEqual(self.decide(2.9), {})

    # Guards against accepting jobs that end when nobody waits for them.
    def test_longer_backlog_closes_the_queue_until_it_has_shrunk(self):
        self.assertEqual(self.decide(10), {'queue': 8})
        self.assertEqual(self.decide(2.7, closed=['queue']), {'queue': 1})
        self.assertEqual(self.decide(2.3, closed=['queue']), {})

    def test_callers_are_not_sent_away_for_longer_than_allowed(self):
        self.assertEqual(
            self.decide(100, longest_retry_after_s=20), {'queue': 20}
        )


class RefusalTest(unittest.TestCase):
    """An instance that follows the rows of the owner."""

    def setUp(self):
        self.store = FakeRowStore()
        self.version = self.store.commit(
            Transaction(writes=(RowWrite(name=owner_row(0), content=b''),)), 1
        ).version
        self.state = PlacementWorld(workers=1).state
        self.cluster = ClusterView(shards=1)
        self.job = build_job((Step(count=1, need=Resources(cpu=1)),))
        self.handler = build_job_request_handler(
            self.store, cluster=self.cluster
        )

    def publish(self, retry_after_s_by_queue, version=None):
        self.state.retry_after_s_by_queue = retry_after_s_by_queue
        publisher = AdmissionPublisher(
            shard=0,
            state=self.state,
            store=self.store,
            owner_version=version or self.version,
        )
        publisher.publish_if_due(NOW)
        page = self.store.read(CLUSTER_TABLE, partition_of_shard(0))
        self.cluster.apply_rows(
            tuple(row for row in page.rows if row.name == admission_row(0))
        )
        return publisher

    def submit(self):
        return self.handler.submit(self.job, CALLER_TIMEOUT_S)

    # Guards against a refusal that is not true: nothing may be stored.
    def test_closed_queue_refuses_before_anything_is_stored(self):
        self.publish({'queue': 7})
        outcome = self.submit()
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(outcome.retry_after_s, 7)
        self.assertNotIn(job_row(0, JOB_ID), self.store.row_by_name)

    # Guards against "never runs" about a job whose first answer was lost.
    def test_stored_job_is_not_refused(self):
        self.assertIsInstance(self.submit(), Accepted)
        self.publish({'queue': 7})
        self.assertIsInstance(self.submit(), Accepted)

    def test_other_queues_stay_open(self):
        self.publish({'other': 7})
        self.assertIsInstance(self.submit(), Accepted)

    # Guards against a queue that a lost owner has left closed.
    def test_refusals_of_a_lost_owner_expire(self):
        with mock.patch(_CLOCK, return_value=NOW):
            self.publish({'queue': 7})
            self.assertTrue(self.cluster.find_retry_after_s(0, 'queue'))
        with mock.patch(_CLOCK, return_value=NOW + 5):
            self.assertEqual(self.cluster.find_retry_after_s(0, 'queue'), 0)

    # Guards against a refusal that is not true: the row of a lost owner closed
    # its queues at each instance that read it first, long after the owner.
    def test_successor_opens_the_queues_of_a_lost_owner(self):
        self.publish({'queue': 7})
        self.cluster.admission_by_shard.clear()
        self.publish({})
        self.assertIsInstance(self.submit(), Accepted)

    def test_replaced_owner_closes_no_queue(self):
        self.publish({'queue': 7}, version=self.version + 5)
        self.assertIsInstance(self.submit(), Accepted)

    def test_owner_opens_the_queue_again(self):
        publisher = self.publish({'queue': 7})
        self.state.retry_after_s_by_queue = {}
        publisher.publish_if_due(NOW + 1)
        page = self.store.read(CLUSTER_TABLE, partition_of_shard(0))
        self.cluster.apply_rows(page.rows)
        self.assertIsInstance(self.submit(), Accepted)

    # Guards against a shard that nobody can take over: instances took the first
    # row of the partition for that of the owner, and found this one.
    def test_owner_row_stays_the_first_of_its_partition(self):
        self.publish({'queue': 7})
        page = self.store.read(CLUSTER_TABLE, partition_of_shard(0))
        self.assertEqual(
            [row.name for row in page.rows], [owner_row(0), admission_row(0)]
        )

    def test_unreadable_row_closes_nothing(self):
        self.publish({'queue': 7})
        row = StoredRow(name=admission_row(0), version=99, content=b'\xc1')
        self.cluster.apply_rows((row,))
        self.assertIsInstance(self.submit(), Accepted)

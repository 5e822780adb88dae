"""Cluster view: workers are divided among shards, shards among members."""

import unittest
from collections import Counter

from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.row_names import (
    compute_worker_limits,
    member_row,
    owner_row,
    shard_of_worker,
)
from ragwortfield.engine.shard_sizing import PoolSizeMonitor, choose_shard_count
from ragwortfield.ports.row_store import StoredRow
from ragwortfield.scheduling.records import (
    MemberRecord,
    OwnerRecord,
    encode_record,
)

_SHARDS = 5


def _make_cluster_view(members, cores=(1,), store_ms=(0,)):
    cluster = ClusterView(shards=_SHARDS)
    rows = []
    for number in range(members):
        record = MemberRecord(
            instance_id=f'i{number}',
            incarnation='1',
            address=f'i{number}:1',
            data_centre='dc',
            cores=cores[number % len(cores)],
            store_ms=store_ms[number % len(store_ms)],
        )
        rows.append(
            StoredRow(
                name=member_row(record.instance_id),
                version=1,
                content=encode_record(record),
            ),
        )
    cluster.apply_rows(tuple(rows))
    return cluster


class WorkerLimitsTest(unittest.TestCase):
    def test_workers_are_divided_evenly(self):
        worker_ids = [f'w{number}' for number in range(177)]
        limits = compute_worker_limits(worker_ids, _SHARDS)
        count_by_shard = Counter(
            shard_of_worker(one, limits) for one in worker_ids
        )
        self.assertEqual(set(count_by_shard), set(range(_SHARDS)))
        spread = max(count_by_shard.values()) - min(count_by_shard.values())
        self.assertLessEqual(spread, 1)

    def test_one_shard_has_every_worker(self):
        limits = compute_worker_limits(['w0', 'w1'], 1)
        self.assertEqual(limits, ())
        self.assertEqual(shard_of_worker('w9', limits), 0)


class PoolSizingTest(unittest.TestCase):
    """Workers register within some seconds of the start."""

    def observe_pool(self, counts, rank=0):
        monitor = PoolSizeMonitor(started_at=0)
        for step, count in enumerate(counts):
            now = 1.1 + step / 2
            if monitor.is_observer(rank, now) and monitor.is_size_stable(
                count, now
            ):
                return count
        return None

    def test_filling_pool_is_awaited(self):
        counts = (19, 60, 120, 200, 246, 246, 246, 246, 246)
        self.assertEqual(choose_shard_count(self.observe_pool(counts), 0.5), 5)

    def test_pool_that_keeps_growing_is_divided_anyway(self):
        self.assertIsNotNone(self.observe_pool(range(1, 40)))

    def test_empty_pool_is_not_divided(self):
        self.assertIsNone(self.observe_pool([0] * 40))

    def test_other_members_wait_for_the_first_one(self):
        self.assertIsNone(self.observe_pool([50] * 10, rank=5))
        self.assertEqual(self.observe_pool([50] * 60, rank=5), 50)

    def test_small_pools_are_one_shard(self):
        for workers in (1, 24, 33):
            self.assertEqual(choose_shard_count(workers, 0.75), 1)

    def test_strong_owners_get_more_workers_per_shard(self):
        self.assertLess(
            choose_shard_count(270, 2.15), choose_shard_count(270, 1)
        )

    def test_weak_owners_get_shards_with_capacity_for_large_tasks(self):
        self.assertLessEqual(choose_shard_count(48, 0.07), 3)


class PreferredOwnerTest(unittest.TestCase):
    def list_preferred_owners(self, cluster):
        return [
            cluster.rank_members(shard)[0].instance_id
            for shard in range(_SHARDS)
        ]

    def test_each_shard_prefers_an_instance_of_its_own(self):
        preferred = self.list_preferred_owners(_make_cluster_view(8))
        self.assertEqual(len(set(preferred)), _SHARDS)

    def test_every_member_gives_the_same_order(self):
        first = _make_cluster_view(8)
        second = _make_cluster_view(8)
        self.assertEqual(
            self.list_preferred_owners(first)[::-1],
            [
                second.rank_members(one)[0].instance_id
                for one in (4, 3, 2, 1, 0)
            ],
        )

    def test_shards_share_instances_where_there_are_few(self):
        count_by_id = Counter(self.list_preferred_owners(_make_cluster_view(2)))
        self.assertLessEqual(max(count_by_id.values()), 3)


class UnequalInstancesTest(unittest.TestCase):
    """A few instances with many CPU cores among many with few."""

    def setUp(self):
        # Every fifth instance is strong; every second strong one is far from
        # the store.
        self.cores = (2.15, 0.3, 0.3, 0.3, 0.3)
        self.cluster = _make_cluster_view(
            97,
            cores=self.cores,
            store_ms=(5, 5, 5, 5, 5, 25, 5, 5, 5, 5),
        )

    def test_strong_instances_own_every_shard(self):
        for shard in range(_SHARDS):
            first = self.cluster.rank_members(shard)[:3]
            self.assertEqual([one.cores for one in first], [2.15] * 3)

    def test_shards_are_sized_for_strong_owners(self):
        self.assertEqual(self.cluster.expected_owner_cores(), 2.15)

    def test_lone_strong_instance_does_not_size_the_shards(self):
        cluster_with_one_strong = _make_cluster_view(
            9, cores=(2.15, *(0.3 for _ in range(8)))
        )
        self.assertEqual(cluster_with_one_strong.expected_owner_cores(), 0.3)

    def test_few_members_size_the_shards_too(self):
        self.assertEqual(_make_cluster_view(1).expected_owner_cores(), 1)
        self.assertEqual(_make_cluster_view(0).expected_owner_cores(), 0)


class OwnerChangeTest(unittest.TestCase):
    def see(self, epoch, version):
        record = OwnerRecord(instance_id='i', incarnation='1', epoch=epoch)
        self.cluster.apply_owner_row(
            StoredRow(
                name=owner_row(0),
                version=version,
                content=encode_record(record),
            )
        )
        return self.cluster.counts.seen_changes

    # Guards against a count that also counts the first sight of an owner, or
    # rows that are delivered twice.
    def test_changes_of_an_owner_are_counted_once(self):
        self.cluster = ClusterView(shards=1)
        self.assertEqual(self.see(epoch=3, version=10), 0)
        self.assertEqual(self.see(epoch=4, version=11), 1)
        self.assertEqual(self.see(epoch=4, version=11), 1)
        self.assertEqual(self.see(epoch=3, version=10), 1)

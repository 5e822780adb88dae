"""Statistics that tell an owner's lack of CPU time from other causes."""

import unittest

from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.worker_state import WorkerState


def _make_worker(has_tasks=True):
    worker = WorkerState(
        worker_id='w0',
        listed=ListedWorker(worker_id='w0'),
        first_reported_at=1,
        reported_at=10,
    )
    if has_tasks:
        worker.run_by_key[TaskKey('0' * 16, 0, 0, 0)] = None
    return worker


class OwnerStatisticsTest(unittest.TestCase):
    def setUp(self):
        self.statistics = OwnerStatistics()

    def test_maxima_are_collected_once(self):
        self.statistics.record_round(0.2)
        self.statistics.record_round(0.1)
        self.statistics.record_lag(0.3)
        self.statistics.record_target_miss(1.5)
        self.statistics.record_target_miss(0.5)
        self.statistics.record_failed_poll()
        self.statistics.record_report(
            _make_worker(), 13, lease_end_ms=9000, clock_ms=8500
        )
        expected = {
            'round_s': 0.2,
            'lag_s': 0.3,
            'look_gap_s': 3,
            'missed_s': 1.5,
            'failed_looks': 1,
            'lease_left_s': 0.5,
        }
        self.assertEqual(self.statistics.collect(), expected)
        self.assertEqual(self.statistics.last_collected, expected)
        self.assertEqual(self.statistics.collect()['round_s'], 0)

    def test_worker_without_tasks_reports_no_remaining_lease(self):
        worker = _make_worker(has_tasks=False)
        self.statistics.record_report(
            worker, 13, lease_end_ms=9000, clock_ms=9500
        )
        self.assertNotIn('lease_left_s', self.statistics.collect())

    def test_first_report_of_a_worker_counts_as_no_gap(self):
        worker = _make_worker()
        worker.first_reported_at = 0
        self.statistics.record_report(
            worker, 13, lease_end_ms=9000, clock_ms=9500
        )
        self.assertEqual(self.statistics.collect()['look_gap_s'], 0)

"""Tasks with little slack avoid workers that are slow after their return."""

import unittest
from dataclasses import replace

import msgspec

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.platform.document_parsing import parse_worker
from ragwortfield.tests.placement_world import NOW, PlacementWorld

_COLD_MS = 4000
_ENTRY = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'bergamo',
    'state': 'ready',
    'room': {'cpu': 16000, 'mem_mb': 10, 'gpu': 0},
}


class ColdWorkerTest(unittest.TestCase):
    """The worker that fits best is cold; another one has room."""

    def setUp(self):
        self.world = PlacementWorld(workers=0)
        self.world.add_worker('cold', cpu=4)
        self.world.add_worker('warm', cpu=32)
        self.cold = self.world.state.worker_by_id['cold']
        self.cold.listed = replace(
            self.cold.listed, clock_ms=1000, cold_remaining_ms=_COLD_MS
        )
        self.cold.clock.observe(1000, NOW)

    def set_slack(self, slack_s):
        catalogue = self.world.state.catalogue
        queue = replace(catalogue.queue_by_name['queue'], slack_s=slack_s)
        self.world.state.catalogue = replace(
            catalogue, queue_by_name={'queue': queue}
        )

    # Guards against a job that is late because of a worker that is still slow.
    def test_task_with_little_slack_avoids_a_cold_worker(self):
        self.set_slack(0.5)
        self.assertEqual(self.world.add_job('a')[0].worker_id, 'warm')

    # Guards against tasks that wait beside a cold worker.
    def test_cold_worker_is_used_where_no_other_has_room(self):
        self.set_slack(0.5)
        tasks = self.world.add_job('a', count=9)
        workers = [task.worker_id for task in tasks]
        self.assertEqual(workers, ['warm'] * 8 + ['cold'])

    # Guards against warm workers that fill with tasks which have time.
    def test_task_with_slack_may_use_a_cold_worker(self):
        self.set_slack(60)
        self.assertEqual(self.world.add_job('a')[0].worker_id, 'cold')

    # Guards against a worker that is avoided for good.
    def test_worker_is_warm_after_the_time_in_its_entry(self):
        self.set_slack(0.5)
        self.cold.clock.observe(1000 + _COLD_MS, NOW)
        self.assertEqual(self.world.add_job('a')[0].worker_id, 'cold')

    # Guards against the entry of an earlier process, whose clock was ahead.
    def test_entry_of_an_earlier_process_does_not_count(self):
        self.cold.listed = replace(self.cold.listed, born_ms=5)
        self.cold.born_ms = 5
        self.assertTrue(self.cold.is_cold(NOW))
        self.cold.born_ms = 6
        self.assertFalse(self.cold.is_cold(NOW))


class ColdEntryTest(unittest.TestCase):
    # Guards against a worker that is lost because of the new field.
    def test_field_is_optional_and_never_negative(self):
        cases = (({}, 0), ({'cold_remaining_ms': -3}, 0))
        for fields, expected in (*cases, ({'cold_remaining_ms': 7}, 7)):
            content = msgspec.json.encode(_ENTRY | fields)
            worker = parse_worker('w', content)
            self.assertEqual(worker.cold_remaining_ms, expected)

    def test_unreadable_field_is_reported(self):
        content = msgspec.json.encode(_ENTRY | {'cold_remaining_ms': 'x'})
        self.assertIsInstance(parse_worker('w', content), Malformed)

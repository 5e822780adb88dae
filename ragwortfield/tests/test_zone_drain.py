"""Running tasks leave evacuated zones where others have room for them."""

import unittest
from dataclasses import replace
from unittest import mock

from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling import evacuated_zones, zone_drain
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.tests.evacuation_world import EvacuationWorld
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import build_single_step


class ZoneDrainTest(unittest.TestCase):
    """Workers of 32 cores; some of their zones are evacuated."""

    def setUp(self):
        self.set_up_world(workers=2)

    def set_up_world(self, workers):
        self.world = PlacementWorld(workers=workers)
        self.state = self.world.state
        for worker in self.state.worker_by_id.values():
            worker.listed = replace(
                worker.listed, data_centre=f'zone of {worker.worker_id}'
            )

    def evacuate(self, *worker_ids, known_until=NOW):
        zones = frozenset(f'zone of {worker_id}' for worker_id in worker_ids)
        evacuated_zones.update_zones(self.state, zones, known_until, NOW)

    def drain(self):
        zone_drain.drain_zones(self.state, NOW)

    def add_long_lived(self, **options):
        return self.world.add_job('long-lived', is_long_lived=True, **options)

    def expect_long_run(self, task):
        """Let a task at its start take longer than it may in the zone."""
        limit_s = self.state.settings.longest_evacuated_run_s
        job = self.state.job_by_id[task.key.job_id]
        durations = mock.Mock()
        durations.expected_s.return_value = 1.5 * limit_s
        job.durations_by_step = (durations,)
        task.percent = 0

    # Guards against a task that would stay in the zone for good.
    def test_long_lived_task_moves(self):
        task = self.add_long_lived()[0]
        worker_id = task.worker_id
        self.evacuate(worker_id)
        self.drain()
        self.assertTrue(task.is_stop_wanted)
        self.world.finish_stop(task)
        self.assertNotIn(task.worker_id, {worker_id, ''})

    # Guards against a step without service: all its tasks are in the zone.
    def test_tasks_of_a_step_move_one_after_the_other(self):
        tasks = self.add_long_lived(count=3)
        self.evacuate(tasks[0].worker_id)
        for moved_count in range(1, 4):
            self.drain()
            self.drain()
            stopped = [task for task in tasks if task.is_stop_wanted]
            self.assertEqual(len(stopped), 1, moved_count)
            self.world.finish_stop(stopped[0])
        self.drain()
        self.assertFalse(any(task.is_stop_wanted for task in tasks))

    # Guards against a move that the job does not allow.
    def test_task_stays_if_none_may_be_unavailable(self):
        task = self.add_long_lived(max_unavailable=0)[0]
        self.evacuate(task.worker_id)
        self.drain()
        self.assertFalse(task.is_stop_wanted)

    # Guards against a task that is stopped without room elsewhere, also if the
    # only room is in another evacuated zone.
    def test_task_without_a_destination_stays(self):
        task = self.add_long_lived()[0]
        self.evacuate('w0', 'w1')
        self.drain()
        self.assertFalse(task.is_stop_wanted)

    # Guards against moves into the room that short tasks need.
    def test_room_for_short_tasks_is_kept(self):
        task = self.add_long_lived(cpu=20)[0]
        short = replace(
            task.step, is_long_lived=False, need=replace(task.step.need, cpu=16)
        )
        self.state.short_demand.add(
            (replace(short, count=40),),
            pool='pool',
            priority=0,
            accepted_at=NOW,
        )
        self.evacuate(task.worker_id)
        self.drain()
        self.assertFalse(task.is_stop_wanted)

    # Guards against a task that is stopped and then cannot start again.
    def test_nothing_moves_while_starts_are_held(self):
        task = self.add_long_lived()[0]
        self.evacuate(task.worker_id, known_until=NOW - 2)
        self.drain()
        self.assertFalse(task.is_stop_wanted)

    # Guards against all tasks of a zone that are stopped at once.
    def test_moves_of_a_round_are_bounded(self):
        self.set_up_world(workers=12)
        tasks = [
            self.world.add_job(f'job{number}', cpu=30, is_long_lived=True)[0]
            for number in range(6)
        ]
        self.evacuate(*(task.worker_id for task in tasks))
        self.drain()
        self.assertEqual(sum(task.is_stop_wanted for task in tasks), 4)

    # Guards against lost work, and against tasks that stay for long although
    # they can resume.
    def test_only_long_tasks_with_checkpoints_move(self):
        self.set_up_world(workers=5)
        long, halfway, lossy, gang = (
            self.world.add_job(name, cpu=1, **options)[0]
            for name, options in (
                ('long', {'is_checkpointed': True}),
                ('halfway', {'is_checkpointed': True}),
                ('lossy', {}),
                ('gang', {'is_checkpointed': True, 'is_gang': True}),
            )
        )
        for task in (long, halfway, lossy, gang):
            self.expect_long_run(task)
        halfway.percent = 50
        self.evacuate(long.worker_id, gang.worker_id)
        self.drain()
        stopped = [task.is_stop_wanted for task in (long, halfway, lossy, gang)]
        self.assertEqual(stopped, [True, False, False, False])

    # Guards against a move that takes the room of a task that waits.
    def test_task_with_a_checkpoint_leaves_room_to_waiting_ones(self):
        task = self.world.add_job('long', cpu=32, is_checkpointed=True)[0]
        self.expect_long_run(task)
        self.evacuate(task.worker_id)
        waiting = self.world.add_job('waiting', cpu=33)[0]
        self.assertEqual(waiting.worker_id, '')
        self.drain()
        self.assertFalse(task.is_stop_wanted)


class TakeoverTest(unittest.TestCase):
    # Guards against a task that is lost, or runs twice, when its owner is
    # replaced between the stop order and the start elsewhere.
    def test_successor_completes_a_move(self):
        world = EvacuationWorld(workers=2, is_process_checked=True)
        world.take_over()
        job_id = world.submit(build_single_step(is_long_lived=True))
        for _ in range(5):
            world.owners[-1].act()
            world.advance(0.1)
        worker = world.find_busy_worker()
        world.mark_all_ready()
        world.owners[-1].act()
        world.evacuate(world.get_zone(worker.worker_id))
        with mock.patch.object(
            FakeTaskWorkerControl,
            'stop',
            return_value=Unavailable(reason='lost', is_effect_possible=False),
        ) as stop:
            while not stop.called:
                world.owners[-1].act()
                world.advance(0.1)
        world.take_over()
        for _ in range(150):
            world.owners[-1].act()
            world.advance(0.1)
            world.mark_all_ready()
            world.check()
        other = world.find_busy_worker()
        self.assertNotEqual(other.worker_id, worker.worker_id)
        self.assertEqual(len(world.list_starts(other.worker_id, job_id)), 1)

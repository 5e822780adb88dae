"""Room kept for short tasks that long-lived tasks would not give back."""

import unittest

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling import dispatch, shard_updates
from ragwortfield.scheduling.headroom import (
    DemandHistory,
    Headroom,
    StepDemand,
    estimate_peak_cpu,
)
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.task_lifecycle import release_task
from ragwortfield.scheduling.wait_causes import WaitRecorder
from ragwortfield.tests.placement_world import NOW, PlacementWorld


def build_demand(*, cpu, count=1, estimate_s=1.0, memory_mb=1, at=NOW):
    return StepDemand(
        accepted_at=at,
        pool='pool',
        priority=0,
        step=Step(
            count=count,
            need=Resources(cpu=cpu, memory_mb=memory_mb),
            estimate_s=estimate_s,
        ),
    )


class DemandTest(unittest.TestCase):
    def test_peak_is_mean_plus_two_standard_deviations(self):
        # 10 cores for 1 s in a window of 10 s: mean 1, variance 10.
        demand = build_demand(cpu=5, count=2)
        self.assertAlmostEqual(estimate_peak_cpu([demand]), 1 + 2 * 10**0.5)

    def test_history_keeps_short_steps_of_the_window_and_priority(self):
        history = DemandHistory()
        need = Resources(cpu=1)
        for at, priority in ((NOW - 11, 0), (NOW - 9, 0), (NOW, 1)):
            history.add(
                (
                    Step(count=1, need=need),
                    Step(count=1, need=need, is_long_lived=True),
                    Step(count=1, need=need, is_filler=True),
                    Step(count=1, need=Resources(memory_mb=1)),
                ),
                pool='pool',
                priority=priority,
                accepted_at=at,
            )
        recent = history.list_recent('pool', 0, NOW)
        self.assertEqual([demand.accepted_at for demand in recent], [NOW - 9])
        self.assertEqual(len(history.list_recent('pool', 1, NOW)), 2)
        self.assertEqual(history.list_recent('other', 1, NOW), [])

    def test_history_is_bounded_without_long_lived_jobs(self):
        history = DemandHistory()
        for offset in range(100):
            history.add(
                (Step(count=1, need=Resources(cpu=1)),),
                pool='pool',
                priority=0,
                accepted_at=NOW + offset,
            )
        self.assertLess(len(history.demands), 15)


class PlacesTest(unittest.TestCase):
    """Two workers of 32 cores and 1,000 MiB; the demand is one task a time."""

    def setUp(self):
        self.world = PlacementWorld(workers=2)
        self.workers = list(self.world.state.worker_by_id.values())

    def build_headroom(self, *demands, waiting_cpu=0):
        return Headroom(
            workers=self.workers,
            recent=list(demands),
            waiting=[],
            waiting_cpu=waiting_cpu,
        )

    def is_allowed(self, headroom, cpu, memory_mb=1):
        need = Resources(cpu=cpu, memory_mb=memory_mb)
        return headroom.is_start_allowed(self.workers[0], need)

    def test_without_demand_everything_may_start(self):
        self.assertTrue(self.is_allowed(self.build_headroom(), 32))

    def test_places_for_the_demand_remain(self):
        # Two tasks of 16 cores at a time, and four places.
        headroom = self.build_headroom(build_demand(cpu=16, estimate_s=10))
        self.assertEqual(headroom._levels[0].spare_places, 1)
        self.assertTrue(self.is_allowed(headroom, 16))
        self.assertFalse(self.is_allowed(headroom, 17))

    def test_room_too_small_for_a_short_task_is_free_to_take(self):
        headroom = self.build_headroom(
            build_demand(cpu=20, estimate_s=10),
            build_demand(cpu=20, estimate_s=10),
        )
        self.assertEqual(headroom._levels[0].spare_places, 2 - 4)
        self.assertTrue(self.is_allowed(headroom, 12))
        self.assertFalse(self.is_allowed(headroom, 13))

    def test_memory_limits_places(self):
        headroom = self.build_headroom(
            build_demand(cpu=1, estimate_s=10, memory_mb=500),
            waiting_cpu=0,
        )
        self.assertEqual(headroom._levels[0].spare_places, 4 - 3)
        self.assertFalse(self.is_allowed(headroom, 1, memory_mb=501))

    def test_demand_larger_than_any_worker_keeps_no_room(self):
        headroom = self.build_headroom(build_demand(cpu=33, estimate_s=10))
        self.assertTrue(self.is_allowed(headroom, 32))

    def test_each_gets_half_if_both_want_more(self):
        demands = [build_demand(cpu=8, estimate_s=10) for _ in range(20)]
        headroom = self.build_headroom(*demands, waiting_cpu=64)
        # Half of the pool is four places of eight.
        self.assertEqual(headroom._levels[0].spare_places, 4)
        headroom.reserve(Resources(cpu=31))
        self.assertTrue(headroom.is_first_start_allowed())
        headroom.reserve(Resources(cpu=1))
        self.assertFalse(headroom.is_first_start_allowed())


class GrowthTest(unittest.TestCase):
    """Four workers of 32 cores run short tasks of 16 cores and 2.5 s."""

    def setUp(self):
        self.world = PlacementWorld(workers=4)
        self.register(
            'short',
            Step(count=2, need=Resources(cpu=16, memory_mb=1), estimate_s=2.5),
        )
        self.dispatch(NOW)

    def register(self, job_id, step, now=NOW, **options):
        job = Job(
            job_id=job_id,
            queue='queue',
            spec='',
            steps=(step,),
            accepted_at=0,
            **options,
        )
        shard_updates.register_job(self.world.state, job, now=now, wall_time=0)

    def register_long_lived(self, job_id, *, count, cpu=16, **options):
        step = Step(
            count=count,
            need=Resources(cpu=cpu, memory_mb=1),
            is_long_lived=True,
            **options,
        )
        self.register(job_id, step)
        return self.world.state.find_step((job_id, 0, 0))

    def dispatch(self, now):
        for worker in self.world.state.worker_by_id.values():
            worker.reported_at = now
        dispatch.dispatch(self.world.state, now)
        for worker in self.world.state.worker_by_id.values():
            for task in worker.run_by_key.values():
                task.stage = RunStage.RUNNING

    # Guards against long-lived tasks that take the last room which short tasks
    # give back: of 8 places, short tasks use 2 and need up to 3.
    def test_growth_leaves_room_for_short_tasks(self):
        step = self.register_long_lived('long', count=8)
        self.dispatch(NOW)
        self.assertEqual(len(step.waiting_indexes), 3)
        self.assertTrue(step.is_held_back)

    def test_growth_goes_on_when_the_demand_is_over(self):
        step = self.register_long_lived('long', count=8)
        self.dispatch(NOW)
        self.dispatch(NOW + 11)
        self.assertEqual(len(step.waiting_indexes), 2)
        self.assertFalse(step.is_held_back)

    def test_task_that_has_run_starts_in_any_case(self):
        step = self.register_long_lived('long', count=8)
        for task in step.tasks:
            task.run = 1
        self.dispatch(NOW)
        self.assertEqual(len(step.waiting_indexes), 2)

    def test_failed_task_of_a_step_that_is_held_back_restarts_at_once(self):
        step = self.register_long_lived('long', count=8)
        self.dispatch(NOW)
        failed = step.tasks[0]
        release_task(self.world.state, failed, 'run ended')
        self.dispatch(NOW)
        self.assertNotEqual(failed.worker_id, '')
        self.assertEqual(len(step.waiting_indexes), 3)

    def test_each_long_lived_job_starts_a_task_while_its_share_allows(self):
        # Twice the demand keeps 61 of 128 cores.
        short = self.world.state.job_by_id['short'].job
        self.world.state.short_demand.add(
            short.steps,
            pool='pool',
            priority=0,
            accepted_at=NOW,
        )
        steps = [
            self.register_long_lived(f'long{number}', count=4)
            for number in range(5)
        ]
        self.dispatch(NOW)
        self.assertTrue(all(step.count_by_worker for step in steps))
        last = self.register_long_lived('last', count=4)
        self.dispatch(NOW + 1)
        self.assertEqual(last.count_by_worker, {})
        self.assertTrue(last.is_held_back)

    def test_small_long_lived_task_fits_into_a_fragment(self):
        self.register_long_lived('long', count=5, cpu=17)
        small = self.register_long_lived('small', count=2, cpu=4)
        self.dispatch(NOW)
        self.assertEqual(small.waiting_indexes, {})

    def test_due_repetition_counts_as_demand(self):
        world = self.world
        step = Step(count=1, need=Resources(cpu=1, memory_mb=1), estimate_s=1)
        self.register(
            'timed', step, repeat_count=2, first_due_at=5, interval_s=1
        )
        world.state.wall_offset_s = 5 - NOW
        before = len(world.state.short_demand.list_recent('pool', 0, NOW))
        shard_updates.create_due_occurrences(world.state, 5)
        after = len(world.state.short_demand.list_recent('pool', 0, NOW))
        self.assertEqual(after - before, 1)

    def test_wait_is_attributed_to_the_headroom(self):
        self.register_long_lived('long', count=8)
        self.dispatch(NOW)
        recorder = WaitRecorder()
        recorder.sample(self.world.state, NOW)
        recorder.sample(self.world.state, NOW + 1)
        waits = self.world.state.job_by_id['long'].wait_s_by_cause
        self.assertEqual(waits['headroom/growing'], 1)

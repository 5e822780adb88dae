"""No worker runs more tasks of a step than the step's limit per worker."""

import unittest
from collections import Counter
from dataclasses import replace

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling import (
    consolidation,
    defragmentation,
    evacuation,
    filler_relocation,
    shard_updates,
)
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.task_lifecycle import request_stop
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    TARGET_MS,
    PlacementWorld,
)
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Fields of the three kinds of step; workers are ranked differently for each.
_STEP_KINDS = (
    {},
    {'image': 'a', 'latency_target_ms': TARGET_MS, 'is_long_lived': True},
    {'image': 'f', 'is_filler': True},
)


def _count_tasks_by_worker(tasks):
    """Count bound tasks by worker."""
    return Counter(task.worker_id for task in tasks if task.worker_id)


def _drain(world, worker_id):
    worker = world.state.worker_by_id[worker_id]
    worker.listed = replace(worker.listed, is_draining=True)


class DispatchTest(unittest.TestCase):
    # Guards against too many tasks on one worker: the worker of lowest rank is
    # selected for every task.
    def test_no_worker_gets_more_tasks_than_the_limit(self):
        for options in _STEP_KINDS:
            for limit in (1, 2):
                with self.subTest(options=options, limit=limit):
                    world = PlacementWorld(workers=2)
                    tasks = world.add_job(
                        'job',
                        count=3 * limit,
                        cpu=1,
                        per_worker_limit=limit,
                        **options,
                    )
                    task_count_by_worker = _count_tasks_by_worker(tasks)
                    self.assertEqual(
                        task_count_by_worker, {'w0': limit, 'w1': limit}
                    )
                    world.add_worker('w2')
                    world.dispatch()
                    self.assertEqual(
                        set(_count_tasks_by_worker(tasks).values()), {limit}
                    )

    # Guards against too many tasks on one worker: a round does not count the
    # tasks that earlier rounds bound to it.
    def test_next_round_counts_tasks_of_previous_rounds(self):
        world = PlacementWorld(workers=1)
        tasks = world.add_job('job', count=3, cpu=1, per_worker_limit=1)
        for _ in range(3):
            world.dispatch()
        self.assertEqual(_count_tasks_by_worker(tasks), {'w0': 1})

    # Guards against tasks that never run: the limit counts the tasks of all
    # occurrences of a job together.
    def test_limit_applies_per_occurrence(self):
        world = PlacementWorld(workers=1)
        step = Step(
            count=1,
            need=Resources(cpu=1, memory_mb=1),
            per_worker_limit=1,
        )
        job = Job(
            job_id='job',
            queue='queue',
            spec='',
            steps=(step,),
            accepted_at=0,
            repeat_count=2,
        )
        job_state = shard_updates.register_job(
            world.state, job, now=NOW, wall_time=1
        )
        for _ in range(2):
            shard_updates.create_due_occurrences(world.state, 1)
        world.dispatch()
        tasks = [
            occurrence.steps[0].tasks[0]
            for occurrence in job_state.occurrence_by_number.values()
        ]
        self.assertEqual(_count_tasks_by_worker(tasks), {'w0': 2})

    # Guards against tasks that never run: the limit counts the tasks of other
    # jobs.
    def test_limit_applies_per_job(self):
        world = PlacementWorld(workers=1)
        for job_id in ('first', 'second'):
            tasks = world.add_job(job_id, per_worker_limit=1)
            self.assertEqual(_count_tasks_by_worker(tasks), {'w0': 1})


class StopTest(unittest.TestCase):
    # Guards against too many tasks on one worker: a task that was ordered to
    # stop is no longer counted while it still runs.
    def test_stopping_task_counts_until_its_run_has_ended(self):
        world = PlacementWorld(workers=1)
        tasks = world.add_job('job', count=2, per_worker_limit=1)
        request_stop(world.state, tasks[0], NOW)
        world.dispatch()
        self.assertEqual(tasks[1].worker_id, '')
        world.finish_stop(tasks[0])
        self.assertEqual(_count_tasks_by_worker(tasks), {'w0': 1})

    # Guards against tasks that never run: a run that was lost when its worker
    # restarted still counts.
    def test_run_lost_in_a_restart_does_not_count(self):
        world = ShardWorld(workers=1)
        world.take_over()
        owner = world.owners[-1]
        owner.act()
        job_id = world.submit(build_single_step(per_worker_limit=1))
        owner.act()
        owner.act()
        step = owner.state.find_step((job_id, 0, 0))
        self.assertEqual(step.count_by_worker, {'w0': 1})
        world.workers.worker_by_id['w0'].restart()
        world.advance(0.1)
        owner._renew_leases()
        self.assertEqual(step.count_by_worker, {})


class TakeoverTest(unittest.TestCase):
    """A new owner finds tasks that the previous one has bound."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.world.submit(build_single_step(count=3, per_worker_limit=1))
        self.run_rounds()

    def run_rounds(self, rounds=5):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
        self.world.check()

    def count_runs_by_worker(self):
        return [
            len(worker.run_by_key)
            for worker in self.world.workers.worker_by_id.values()
        ]

    # Guards against too many tasks on one worker: a successor counts only the
    # tasks that it has bound itself.
    def test_tasks_bound_by_the_previous_owner_count(self):
        self.assertEqual(self.count_runs_by_worker(), [1, 1])
        self.world.take_over()
        self.run_rounds()
        self.assertEqual(self.count_runs_by_worker(), [1, 1])

    # Guards against too many tasks on one worker: the successor does not count
    # the tasks of a worker that did not report at the takeover.
    def test_tasks_on_a_worker_unreachable_at_takeover_count(self):
        unreachable = self.world.workers.worker_by_id['w0']
        unreachable.is_reachable = False
        self.world.take_over()
        self.run_rounds(rounds=2)
        unreachable.is_reachable = True
        self.run_rounds()
        self.assertEqual(self.count_runs_by_worker(), [1, 1])

    # Guards against too many tasks on one worker: a stop order of the previous
    # owner is delayed, and the successor does not count the task.
    def test_task_that_the_previous_owner_was_stopping_counts(self):
        previous_state = self.world.owners[-1].state
        task = next(iter(previous_state.worker_by_id['w0'].run_by_key.values()))
        self.world.order_delay_probability = 1
        request_stop(previous_state, task, self.world.now)
        self.world.owners[-1]._send_orders()
        self.world.order_delay_probability = 0
        self.world.take_over()
        self.run_rounds()
        self.assertEqual(self.count_runs_by_worker(), [1, 1])
        self.world.workers.apply_delayed()
        self.run_rounds()
        self.assertEqual(self.count_runs_by_worker(), [1, 1])


class MigrationTest(unittest.TestCase):
    """A task could move only to a worker that runs another task of its step."""

    # Guards against a task that is stopped without a destination.
    def test_evacuation_needs_a_destination_below_the_limit(self):
        world = PlacementWorld(workers=2)
        tasks = world.add_job(
            'job',
            count=2,
            is_long_lived=True,
            per_worker_limit=1,
        )
        _drain(world, tasks[0].worker_id)
        evacuation.evacuate(world.state, NOW)
        self.assertFalse(tasks[0].is_stop_wanted)
        world.add_worker('w2')
        evacuation.evacuate(world.state, NOW)
        self.assertTrue(tasks[0].is_stop_wanted)
        world.finish_stop(tasks[0])
        self.assertEqual(tasks[0].worker_id, 'w2')

    # Guards against a filler that is stopped without a destination.
    def test_relocation_needs_a_destination_below_the_limit(self):
        world = PlacementWorld(workers=2)
        tasks = world.add_job(
            'job',
            count=2,
            is_filler=True,
            image='f',
            is_checkpointed=True,
            per_worker_limit=1,
        )
        tasks[0].pace = 0
        filler_relocation.relocate_stalled_fillers(world.state, NOW)
        self.assertFalse(tasks[0].is_stop_wanted)
        world.add_worker('w2')
        filler_relocation.relocate_stalled_fillers(world.state, NOW)
        self.assertTrue(tasks[0].is_stop_wanted)

    # Guards against a serving task that is stopped for a worker which already
    # runs as many tasks of the step as allowed.
    def test_consolidation_needs_a_destination_below_the_limit(self):
        for limit, is_moved in ((1, False), (2, True)):
            with self.subTest(limit=limit):
                step = self.consolidate_image(count=2, limit=limit)
                stop_flags = [task.is_stop_wanted for task in step.tasks]
                self.assertEqual(any(stop_flags), is_moved)

    # Guards against two tasks that are moved to one worker together, though it
    # may run only one more.
    def test_consolidation_counts_tasks_moved_together(self):
        for limit, is_moved in ((1, False), (2, True)):
            with self.subTest(limit=limit):
                world = PlacementWorld(workers=1)
                world.set_interference_weights(
                    {
                        ('a', 'f'): STRONG_INTERFERENCE,
                        ('b', 'f'): STRONG_INTERFERENCE,
                    }
                )
                first = world.add_serving_task('a', cpu=3, load=0.7, count=2)
                world.add_worker('w1')
                world.add_serving_task(
                    'b', cpu=20, load=0.7, per_worker_limit=1
                )
                step = world.state.get_step(first)
                # The limit is set only now, so that both tasks could be placed
                # on one worker.
                step.step = replace(step.step, per_worker_limit=limit)
                world.add_job('fill', count=20, image='f', is_filler=True)
                consolidation.consolidate(world.state, NOW)
                stop_flags = [task.is_stop_wanted for task in step.tasks]
                self.assertEqual(any(stop_flags), is_moved)

    # Guards against a serving task that is stopped for the free CPU of a worker
    # which already runs as many tasks of the step as allowed.
    def test_defragmentation_needs_a_destination_below_the_limit(self):
        for limit, is_moved in ((1, False), (2, True)):
            with self.subTest(limit=limit):
                world = PlacementWorld(workers=2)
                first = world.add_serving_task(
                    'a',
                    load=0.4,
                    cpu=8,
                    count=2,
                    per_worker_limit=1,
                )
                step = world.state.get_step(first)
                world.add_serving_task('b', load=0.4, cpu=6)
                world.add_serving_task('c', load=0.4, cpu=6)
                step.step = replace(step.step, per_worker_limit=limit)
                world.add_job('large', cpu=26)
                defragmentation.defragment(world.state, NOW)
                stop_flags = [task.is_stop_wanted for task in step.tasks]
                self.assertEqual(any(stop_flags), is_moved)

    def consolidate_image(self, count, limit):
        """
        Serve image a on one worker alone and on another with image b, and
        consolidate while fillers wait.

        :returns: state of the step of image a.
        """
        world = PlacementWorld(workers=2)
        world.set_interference_weights(
            {('a', 'f'): STRONG_INTERFERENCE, ('b', 'f'): STRONG_INTERFERENCE}
        )
        first = world.add_serving_task(
            'a',
            cpu=6,
            load=0.7,
            count=count,
            per_worker_limit=1,
        )
        world.add_serving_task('b', cpu=14, load=0.7)
        step = world.state.get_step(first)
        step.step = replace(step.step, per_worker_limit=limit)
        world.add_job('fill', count=12, image='f', is_filler=True)
        consolidation.consolidate(world.state, NOW)
        return step


class GangTest(unittest.TestCase):
    # Guards against too many tasks on one worker: all members of a gang are
    # assigned to the worker with most free CPU.
    def test_gang_members_are_spread_by_the_limit(self):
        world = PlacementWorld(workers=1)
        options = {'count': 4, 'cpu': 1, 'per_worker_limit': 2}
        tasks = world.add_job('gang', is_gang=True, **options)
        self.assertEqual(_count_tasks_by_worker(tasks), {})
        world.add_worker('w1')
        world.dispatch()
        self.assertEqual(_count_tasks_by_worker(tasks), {'w0': 2, 'w1': 2})

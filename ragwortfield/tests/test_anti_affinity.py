"""No worker holds more tasks of a step than the step allows on one."""

import unittest
from collections import Counter
from dataclasses import replace

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling import (
    defragmentation,
    consolidation,
    evacuation,
    shard_updates,
    filler_relocation,
)
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.task_lifecycle import request_stop
from ragwortfield.tests.placement_world import (
    STRONG_INTERFERENCE,
    NOW,
    TARGET_MS,
    PlacementWorld,
)
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Terms of the three kinds of step, each placed by an order of its own.
_KINDS = (
    {},
    {'image': 'a', 'latency_target_ms': TARGET_MS, 'is_long_lived': True},
    {'image': 'f', 'is_filler': True},
)


def _counts(tasks):
    """Tasks by worker; those that wait are left out."""
    return Counter(task.worker_id for task in tasks if task.worker_id)


def _drain(world, worker_id):
    row = world.state.worker_by_id[worker_id]
    row.listed = replace(row.listed, is_draining=True)


class DispatchTest(unittest.TestCase):
    # Guards against ROUTE: the best worker gets more than it may.
    def test_no_worker_gets_more_tasks_than_the_limit(self):
        for terms in _KINDS:
            for limit in (1, 2):
                with self.subTest(terms=terms, limit=limit):
                    world = PlacementWorld(workers=2)
                    tasks = world.add_job(
                        'job',
                        count=3 * limit,
                        cpu=1,
                        per_worker_limit=limit,
                        **terms,
                    )
                    counts = _counts(tasks)
                    self.assertEqual(counts, {'w0': limit, 'w1': limit})
                    world.add_worker('w2')
                    world.dispatch()
                    self.assertEqual(set(_counts(tasks).values()), {limit})

    # Guards against ROUTE: more room on a worker that has its share.
    def test_next_round_counts_tasks_of_previous_rounds(self):
        world = PlacementWorld(workers=1)
        tasks = world.add_job('job', count=3, cpu=1, per_worker_limit=1)
        for _ in range(3):
            world.dispatch()
        self.assertEqual(_counts(tasks), {'w0': 1})

    # Guards against LOST: times that keep each other from their workers.
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
        row = shard_updates.register_job(world.state, job, now=NOW, wall_time=1)
        for _ in range(2):
            shard_updates.create_due_occurrences(world.state, 1)
        world.dispatch()
        tasks = [
            occurrence.steps[0].tasks[0]
            for occurrence in row.occurrence_by_number.values()
        ]
        self.assertEqual(_counts(tasks), {'w0': 2})

    # Guards against LOST: jobs that keep each other from their workers.
    def test_limit_applies_per_job(self):
        world = PlacementWorld(workers=1)
        for job_id in ('first', 'second'):
            tasks = world.add_job(job_id, per_worker_limit=1)
            self.assertEqual(_counts(tasks), {'w0': 1})


class StopTest(unittest.TestCase):
    # Guards against ROUTE: what is being stopped still runs.
    def test_stopping_task_counts_until_its_run_has_ended(self):
        world = PlacementWorld(workers=1)
        tasks = world.add_job('job', count=2, per_worker_limit=1)
        request_stop(world.state, tasks[0], NOW)
        world.dispatch()
        self.assertEqual(tasks[1].worker_id, '')
        world.end_stopped(tasks[0])
        self.assertEqual(_counts(tasks), {'w0': 1})

    # Guards against LOST: a run that ended with its worker and still counts.
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
    """Pattern: an owner finds tasks that the one before has bound."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.world.submit(build_single_step(count=3, per_worker_limit=1))
        self.act()

    def act(self, rounds=5):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
        self.world.check()

    def counts(self):
        return [
            len(worker.run_by_key)
            for worker in self.world.workers.worker_by_id.values()
        ]

    # Guards against ROUTE: a successor that counts only its own bindings.
    def test_tasks_bound_by_the_previous_owner_count(self):
        self.assertEqual(self.counts(), [1, 1])
        self.world.take_over()
        self.act()
        self.assertEqual(self.counts(), [1, 1])

    # Guards against ROUTE: a worker that was silent when the owner came.
    def test_tasks_on_a_worker_unreachable_at_takeover_count(self):
        silent = self.world.workers.worker_by_id['w0']
        silent.is_reachable = False
        self.world.take_over()
        self.act(rounds=2)
        silent.is_reachable = True
        self.act()
        self.assertEqual(self.counts(), [1, 1])

    # Guards against ROUTE: a stop of the owner before that is on its way.
    def test_task_that_the_previous_owner_was_stopping_counts(self):
        before = self.world.owners[-1].state
        task = next(iter(before.worker_by_id['w0'].run_by_key.values()))
        self.world.order_delay_probability = 1
        request_stop(before, task, self.world.now)
        self.world.owners[-1]._send_orders()
        self.world.order_delay_probability = 0
        self.world.take_over()
        self.act()
        self.assertEqual(self.counts(), [1, 1])
        self.world.workers.apply_delayed()
        self.act()
        self.assertEqual(self.counts(), [1, 1])


class MigrationTest(unittest.TestCase):
    """Pattern: a task would be moved to where another of its step is."""

    # Guards against a task that is stopped and finds no place.
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
        world.end_stopped(tasks[0])
        self.assertEqual(tasks[0].worker_id, 'w2')

    # Guards against a filler that gives its worker up for nothing.
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

    # Guards against a serving task that leaves for a worker that has its
    # share already.
    def test_consolidation_needs_a_destination_below_the_limit(self):
        for limit, is_moved in ((1, False), (2, True)):
            with self.subTest(limit=limit):
                step = self.consolidated(count=2, limit=limit)
                stopped = [task.is_stop_wanted for task in step.tasks]
                self.assertEqual(any(stopped), is_moved)

    # Guards against two tasks that leave for one place, each counted alone.
    def test_consolidation_counts_tasks_moved_together(self):
        for limit, is_moved in ((1, False), (2, True)):
            with self.subTest(limit=limit):
                world = PlacementWorld(workers=1)
                world.learn(
                    {
                        ('a', 'f'): STRONG_INTERFERENCE,
                        ('b', 'f'): STRONG_INTERFERENCE,
                    }
                )
                first = world.serve('a', cpu=3, load=0.7, count=2)
                world.add_worker('w1')
                world.serve('b', cpu=20, load=0.7, per_worker_limit=1)
                step = world.state.get_step(first)
                # Its tasks came to one worker under a wider limit.
                step.step = replace(step.step, per_worker_limit=limit)
                world.add_job('fill', count=20, image='f', is_filler=True)
                consolidation.consolidate(world.state, NOW)
                stopped = [task.is_stop_wanted for task in step.tasks]
                self.assertEqual(any(stopped), is_moved)

    # Guards against a serving task that leaves for a piece of room on a
    # worker that has its share already.
    def test_defragmentation_needs_a_destination_below_the_limit(self):
        for limit, is_moved in ((1, False), (2, True)):
            with self.subTest(limit=limit):
                world = PlacementWorld(workers=2)
                first = world.serve(
                    'a',
                    load=0.4,
                    cpu=8,
                    count=2,
                    per_worker_limit=1,
                )
                step = world.state.get_step(first)
                world.serve('b', load=0.4, cpu=6)
                world.serve('c', load=0.4, cpu=6)
                step.step = replace(step.step, per_worker_limit=limit)
                world.add_job('wide', cpu=26)
                defragmentation.defragment(world.state, NOW)
                stopped = [task.is_stop_wanted for task in step.tasks]
                self.assertEqual(any(stopped), is_moved)

    def consolidated(self, count, limit):
        """Serve on one worker alone, and on another beside an image."""
        world = PlacementWorld(workers=2)
        world.learn(
            {('a', 'f'): STRONG_INTERFERENCE, ('b', 'f'): STRONG_INTERFERENCE}
        )
        first = world.serve(
            'a',
            cpu=6,
            load=0.7,
            count=count,
            per_worker_limit=1,
        )
        world.serve('b', cpu=14, load=0.7)
        step = world.state.get_step(first)
        step.step = replace(step.step, per_worker_limit=limit)
        world.add_job('fill', count=12, image='f', is_filler=True)
        consolidation.consolidate(world.state, NOW)
        return step


class GangTest(unittest.TestCase):
    # Guards against ROUTE: members that are all placed on the emptiest worker.
    def test_gang_members_are_spread_by_the_limit(self):
        world = PlacementWorld(workers=1)
        terms = {'count': 4, 'cpu': 1, 'per_worker_limit': 2}
        tasks = world.add_job('gang', is_gang=True, **terms)
        self.assertEqual(_counts(tasks), {})
        world.add_worker('w1')
        world.dispatch()
        self.assertEqual(_counts(tasks), {'w0': 2, 'w1': 2})

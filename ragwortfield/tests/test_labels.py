"""Tasks run only on workers that have the label of their step."""

import unittest
from dataclasses import replace

from ragwortfield.scheduling import (
    consolidation,
    defragmentation,
    evacuation,
    filler_relocation,
    shard_updates,
)
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    TARGET_MS,
    PlacementWorld,
)
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_LABEL = 'special'
#: Fields of the three kinds of step; workers are ranked differently for each.
_STEP_KINDS = (
    {},
    {'image': 'a', 'latency_target_ms': TARGET_MS, 'is_long_lived': True},
    {'image': 'f', 'is_filler': True},
)


def _create_world(*workers):
    """Create a world in which only workers named ``own…`` have the label."""
    world = PlacementWorld(workers=0)
    for worker_id in workers:
        _add_worker(world, worker_id)
    return world


def _add_worker(world, worker_id, cpu=32):
    labels = ('kind', 'rack-1')
    if worker_id.startswith('own'):
        labels = ('kind', _LABEL)
    world.add_worker(worker_id, cpu=cpu, labels=labels)


def _drain(world, worker_id):
    worker = world.state.worker_by_id[worker_id]
    worker.listed = replace(worker.listed, is_draining=True)


def _list_worker_ids(tasks):
    return [task.worker_id for task in tasks]


class DispatchTest(unittest.TestCase):
    # Guards against tasks on workers without the label: the worker with most
    # free CPU is selected whatever its labels.
    def test_tasks_go_only_to_workers_with_the_label(self):
        for number, options in enumerate(_STEP_KINDS):
            with self.subTest(options=options):
                world = _create_world('other0', 'own0', 'other1')
                world.add_job('before', cpu=8, required_label=_LABEL)
                tasks = world.add_job(
                    f'job{number}',
                    count=4,
                    cpu=4,
                    required_label=_LABEL,
                    **options,
                )
                self.assertEqual(set(_list_worker_ids(tasks)), {'own0'})

    # Guards against tasks on workers without the label: if no worker has it,
    # the task is bound to another one instead of waiting.
    def test_tasks_wait_for_a_worker_with_the_label(self):
        for options in _STEP_KINDS:
            with self.subTest(options=options):
                world = _create_world('other0')
                task = world.add_job('job', required_label=_LABEL, **options)[0]
                self.assertEqual(task.worker_id, '')
                _add_worker(world, 'own0')
                world.dispatch()
                self.assertEqual(task.worker_id, 'own0')

    # Guards against tasks on workers without the label: steps of equal resource
    # needs share one ranking of workers.
    def test_steps_with_equal_needs_keep_their_own_labels(self):
        world = _create_world('other0', 'own0')
        world.add_job('free', count=9, cpu=4)
        task = world.add_job('bound', count=8, cpu=4, required_label=_LABEL)
        self.assertLessEqual(set(_list_worker_ids(task)), {'own0', ''})

    # Guards against tasks that never run: a step without a label is kept off
    # workers because another step with the same needs requires a label.
    def test_task_without_a_label_runs_anywhere(self):
        world = _create_world('other0')
        world.add_job('bound', required_label=_LABEL)
        task = world.add_job('free')[0]
        self.assertEqual(task.worker_id, 'other0')


class GangTest(unittest.TestCase):
    # Guards against gang members on workers without the label: their free CPU
    # is counted for the gang.
    def test_gang_members_go_only_to_workers_with_the_label(self):
        world = _create_world('other0', 'own0')
        options = {'count': 2, 'cpu': 20, 'required_label': _LABEL}
        tasks = world.add_job('gang', is_gang=True, **options)
        self.assertEqual(_list_worker_ids(tasks), ['', ''])
        _add_worker(world, 'own1')
        world.dispatch()
        self.assertEqual(sorted(_list_worker_ids(tasks)), ['own0', 'own1'])


class MigrationTest(unittest.TestCase):
    """A task could move only to a worker that lacks its label."""

    # Guards against a task that is stopped without a destination that has its
    # label.
    def test_evacuation_needs_a_destination_with_the_label(self):
        world = _create_world('own0', 'other0')
        task = world.add_job(
            'job',
            is_long_lived=True,
            required_label=_LABEL,
        )[0]
        _drain(world, 'own0')
        evacuation.evacuate(world.state, NOW)
        self.assertFalse(task.is_stop_wanted)
        _add_worker(world, 'own1')
        evacuation.evacuate(world.state, NOW)
        self.assertTrue(task.is_stop_wanted)
        world.finish_stop(task)
        self.assertEqual(task.worker_id, 'own1')

    # Guards against a filler that is stopped without a destination that has its
    # label.
    def test_relocation_needs_a_destination_with_the_label(self):
        world = _create_world('own0', 'other0')
        task = world.add_job(
            'job',
            is_filler=True,
            image='f',
            is_checkpointed=True,
            required_label=_LABEL,
        )[0]
        task.pace = 0
        filler_relocation.relocate_stalled_fillers(world.state, NOW)
        self.assertFalse(task.is_stop_wanted)
        _add_worker(world, 'own1')
        filler_relocation.relocate_stalled_fillers(world.state, NOW)
        self.assertTrue(task.is_stop_wanted)

    # Guards against a serving task that is stopped for a worker without its
    # label.
    def test_consolidation_needs_a_destination_with_the_label(self):
        for destination_id, is_moved in (('other0', False), ('own1', True)):
            with self.subTest(destination_id=destination_id):
                world = _create_world('own0', destination_id)
                world.set_interference_weights(
                    {
                        ('a', 'f'): STRONG_INTERFERENCE,
                        ('b', 'f'): STRONG_INTERFERENCE,
                    }
                )
                movable = world.add_serving_task(
                    'a', cpu=6, load=0.7, required_label=_LABEL
                )
                world.add_serving_task('b', cpu=20, load=0.7)
                world.add_job('fill', count=12, image='f', is_filler=True)
                self.assertEqual(movable.worker_id, 'own0')
                consolidation.consolidate(world.state, NOW)
                self.assertEqual(movable.is_stop_wanted, is_moved)


class DefragmentationTest(unittest.TestCase):
    """A large task fits into none of the fragments of free CPU."""

    def defragment(self, *workers, label_of_movable='', label_of_large_task=''):
        """
        Leave 20 and 12 cores free, request 24 and defragment.

        :returns: whether the serving task that can move is stopped.
        """
        world = _create_world(*workers)
        movable = world.add_serving_task(
            'a',
            load=0.4,
            cpu=12,
            required_label=label_of_movable,
        )
        world.add_serving_task('b', load=0.4, cpu=20, max_unavailable=0)
        large = world.add_job(
            'large', cpu=24, required_label=label_of_large_task
        )
        self.assertEqual(large[0].worker_id, '')
        defragmentation.defragment(world.state, NOW)
        return movable.is_stop_wanted

    # Guards against a serving task that is stopped for free CPU on a worker
    # without its label.
    def test_moved_task_needs_a_destination_with_its_label(self):
        for destination_id, is_moved in (('other0', False), ('own1', True)):
            with self.subTest(destination_id=destination_id):
                is_stopped = self.defragment(
                    'own0',
                    destination_id,
                    label_of_movable=_LABEL,
                )
                self.assertEqual(is_stopped, is_moved)

    # Guards against clearing a worker without the label of the large task.
    def test_only_workers_with_the_label_are_cleared(self):
        workers = ('other0', 'other1')
        self.assertTrue(self.defragment(*workers))
        self.assertFalse(self.defragment(*workers, label_of_large_task=_LABEL))


class WorkerRestartTest(unittest.TestCase):
    """A worker restarts and is listed with other labels."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.owner.act()
        self.owner.act()

    def worker(self):
        return self.world.workers.worker_by_id['w1']

    def restart_without_label(self):
        """Restart the worker without its label."""
        self.worker().restart()
        self.worker().labels = ('kind', 'rack-0')
        self.world.advance(0.1)

    def run_rounds(self, rounds=5):
        for _ in range(rounds):
            self.owner.act()
            self.world.advance(0.1)

    # Guards against tasks on workers without the label: a task is started again
    # on its worker, which has lost the label in a restart.
    def test_task_does_not_run_on_a_worker_restarted_without_the_label(self):
        self.world.submit(build_single_step(required_label='rack-1'))
        self.run_rounds()
        self.assertEqual(len(self.worker().run_by_key), 1)
        self.restart_without_label()
        self.run_rounds()
        self.assertEqual(self.worker().run_by_key, {})

    # Guards against tasks on workers without the label: a binding takes long to
    # be committed, and its worker has restarted without the label by then.
    def test_start_after_a_slow_commit_checks_the_label_again(self):
        self.world.submit(build_single_step(required_label='rack-1'))
        store = self.world.store
        self.owner._poll_changes()
        store.is_down = True
        self.run_rounds(rounds=2)
        self.assertEqual(self.worker().run_by_key, {})
        self.restart_without_label()
        shard_updates.update_worker(self.owner.state, self.worker().listing())
        self.owner._renew_leases()
        store.is_down = False
        self.run_rounds()
        self.assertEqual(self.worker().run_by_key, {})

    # Guards against tasks on workers without the label: a restarted worker
    # reports while it is still listed with the labels that it had before.
    def test_restarted_worker_gets_no_labelled_task_before_it_is_listed(self):
        self.owner._update_workers = list
        self.restart_without_label()
        self.world.submit(build_single_step(required_label='rack-1'))
        self.run_rounds()
        self.assertEqual(self.worker().run_by_key, {})

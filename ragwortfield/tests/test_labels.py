"""Tasks run only on workers that have the label of their step."""

import unittest
from dataclasses import replace

from ragwortfield.scheduling import (
    defragmentation,
    consolidation,
    evacuation,
    shard_updates,
    filler_relocation,
)
from ragwortfield.tests.placement_world import (
    STRONG_INTERFERENCE,
    NOW,
    TARGET_MS,
    PlacementWorld,
)
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_LABEL = 'special'
#: Terms of the three kinds of step, each placed by an order of its own.
_KINDS = (
    {},
    {'image': 'a', 'latency_target_ms': TARGET_MS, 'is_long_lived': True},
    {'image': 'f', 'is_filler': True},
)


def _world(*workers):
    """World in which only workers named ``own…`` have the label."""
    world = PlacementWorld(workers=0)
    for worker_id in workers:
        _add(world, worker_id)
    return world


def _add(world, worker_id, cpu=32):
    labels = ('kind', 'rack-1')
    if worker_id.startswith('own'):
        labels = ('kind', _LABEL)
    world.add_worker(worker_id, cpu=cpu, labels=labels)


def _drain(world, worker_id):
    row = world.state.worker_by_id[worker_id]
    row.listed = replace(row.listed, is_draining=True)


def _places(tasks):
    return [task.worker_id for task in tasks]


class DispatchTest(unittest.TestCase):
    # Guards against ROUTE: a start on the emptiest worker, whatever its label.
    def test_tasks_go_only_to_workers_with_the_label(self):
        for number, terms in enumerate(_KINDS):
            with self.subTest(terms=terms):
                world = _world('other0', 'own0', 'other1')
                world.add_job('before', cpu=8, required_label=_LABEL)
                tasks = world.add_job(
                    f'job{number}',
                    count=4,
                    cpu=4,
                    required_label=_LABEL,
                    **terms,
                )
                self.assertEqual(set(_places(tasks)), {'own0'})

    # Guards against ROUTE: any worker is better than none.
    def test_tasks_wait_for_a_worker_with_the_label(self):
        for terms in _KINDS:
            with self.subTest(terms=terms):
                world = _world('other0')
                task = world.add_job('job', required_label=_LABEL, **terms)[0]
                self.assertEqual(task.worker_id, '')
                _add(world, 'own0')
                world.dispatch()
                self.assertEqual(task.worker_id, 'own0')

    # Guards against a ranking that steps of equal needs share.
    def test_steps_with_equal_needs_keep_their_own_labels(self):
        world = _world('other0', 'own0')
        world.add_job('free', count=9, cpu=4)
        task = world.add_job('bound', count=8, cpu=4, required_label=_LABEL)
        self.assertLessEqual(set(_places(task)), {'own0', ''})

    # Guards against LOST: the label of one step keeps another from its room.
    def test_task_without_a_label_runs_anywhere(self):
        world = _world('other0')
        world.add_job('bound', required_label=_LABEL)
        task = world.add_job('free')[0]
        self.assertEqual(task.worker_id, 'other0')


class GangTest(unittest.TestCase):
    # Guards against ROUTE: members beside the room of the label's workers.
    def test_gang_members_go_only_to_workers_with_the_label(self):
        world = _world('other0', 'own0')
        terms = {'count': 2, 'cpu': 20, 'required_label': _LABEL}
        tasks = world.add_job('gang', is_gang=True, **terms)
        self.assertEqual(_places(tasks), ['', ''])
        _add(world, 'own1')
        world.dispatch()
        self.assertEqual(sorted(_places(tasks)), ['own0', 'own1'])


class MigrationTest(unittest.TestCase):
    """Pattern: a task would be moved, and only others have room for it."""

    # Guards against a task that is stopped and finds no place with its label.
    def test_evacuation_needs_a_destination_with_the_label(self):
        world = _world('own0', 'other0')
        task = world.add_job(
            'job',
            is_long_lived=True,
            required_label=_LABEL,
        )[0]
        _drain(world, 'own0')
        evacuation.evacuate(world.state, NOW)
        self.assertFalse(task.is_stop_wanted)
        _add(world, 'own1')
        evacuation.evacuate(world.state, NOW)
        self.assertTrue(task.is_stop_wanted)
        world.end_stopped(task)
        self.assertEqual(task.worker_id, 'own1')

    # Guards against a filler that gives its worker up for nothing.
    def test_relocation_needs_a_destination_with_the_label(self):
        world = _world('own0', 'other0')
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
        _add(world, 'own1')
        filler_relocation.relocate_stalled_fillers(world.state, NOW)
        self.assertTrue(task.is_stop_wanted)

    # Guards against a serving task that leaves for a worker it may not go to.
    def test_consolidation_needs_a_destination_with_the_label(self):
        for place, is_moved in (('other0', False), ('own1', True)):
            with self.subTest(place=place):
                world = _world('own0', place)
                world.learn(
                    {
                        ('a', 'f'): STRONG_INTERFERENCE,
                        ('b', 'f'): STRONG_INTERFERENCE,
                    }
                )
                alone = world.serve('a', cpu=6, load=0.7, required_label=_LABEL)
                world.serve('b', cpu=20, load=0.7)
                world.add_job('fill', count=12, image='f', is_filler=True)
                self.assertEqual(alone.worker_id, 'own0')
                consolidation.consolidate(world.state, NOW)
                self.assertEqual(alone.is_stop_wanted, is_moved)


class DefragmentationTest(unittest.TestCase):
    """Pattern: a wide task finds only pieces of room."""

    def arrange(self, *workers, label_of_serving='', label_of_wide=''):
        """Pieces of 20 and 12 cores are left, and 24 are asked for."""
        world = _world(*workers)
        movable = world.serve(
            'a',
            load=0.4,
            cpu=12,
            required_label=label_of_serving,
        )
        world.serve('b', load=0.4, cpu=20, max_unavailable=0)
        wide = world.add_job('wide', cpu=24, required_label=label_of_wide)
        self.assertEqual(wide[0].worker_id, '')
        defragmentation.defragment(world.state, NOW)
        return movable.is_stop_wanted

    # Guards against a serving task that is stopped for a piece of room that
    # it may not use.
    def test_moved_task_needs_a_destination_with_its_label(self):
        for place, is_moved in (('other0', False), ('own1', True)):
            with self.subTest(place=place):
                is_leaving = self.arrange(
                    'own0',
                    place,
                    label_of_serving=_LABEL,
                )
                self.assertEqual(is_leaving, is_moved)

    # Guards against room that is made where the wide task may not run.
    def test_only_workers_with_the_label_are_cleared(self):
        workers = ('other0', 'other1')
        self.assertTrue(self.arrange(*workers))
        self.assertFalse(self.arrange(*workers, label_of_wide=_LABEL))


class WorkerRestartTest(unittest.TestCase):
    """Pattern: a worker comes back as one of another kind."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.owner.act()
        self.owner.act()

    def worker(self):
        return self.world.workers.worker_by_id['w1']

    def come_back(self):
        """Start again without the label, and register so."""
        self.worker().restart()
        self.worker().labels = ('kind', 'rack-0')
        self.world.advance(0.1)

    def act(self, rounds=5):
        for _ in range(rounds):
            self.owner.act()
            self.world.advance(0.1)

    # Guards against ROUTE: a task that follows its worker into a new life.
    def test_task_does_not_run_on_a_worker_restarted_without_the_label(self):
        self.world.submit(build_single_step(required_label='rack-1'))
        self.act()
        self.assertEqual(len(self.worker().run_by_key), 1)
        self.come_back()
        self.act()
        self.assertEqual(self.worker().run_by_key, {})

    # Guards against ROUTE: the store takes a while to note a binding, and its
    # worker has another label by then.
    def test_start_after_a_slow_commit_checks_the_label_again(self):
        self.world.submit(build_single_step(required_label='rack-1'))
        store = self.world.store
        self.owner._poll_changes()
        store.is_down = True
        self.act(rounds=2)
        self.assertEqual(self.worker().run_by_key, {})
        self.come_back()
        shard_updates.update_worker(self.owner.state, self.worker().listing())
        self.owner._renew_leases()
        store.is_down = False
        self.act()
        self.assertEqual(self.worker().run_by_key, {})

    # Guards against ROUTE: the life that reports is not the one that is listed.
    def test_restarted_worker_gets_no_labelled_task_before_it_is_listed(self):
        self.owner._update_workers = list
        self.come_back()
        self.world.submit(build_single_step(required_label='rack-1'))
        self.act()
        self.assertEqual(self.worker().run_by_key, {})

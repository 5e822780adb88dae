"""Tasks wait for the rack of their data where this takes less time."""

import unittest
from dataclasses import replace

from ragwortfield.core.resources import Resources
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import dispatch, shard_updates
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.records import TaskPhase
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.scheduling.task_lifecycle import record_run_end
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    PlacementWorld,
)
from ragwortfield.tests.rack_world import HotRackSimulation, build_hot_workload
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_SETTINGS = SchedulingSettings(remote_duration_factor=2)
_HOT = 'hot'
_OTHER = 'other'
#: CPU of a task that leaves no room for another one on its worker, in cores.
_WHOLE_CPU = 30


class _RackTest(unittest.TestCase):
    """Two racks of two workers; a task has room for itself on each worker."""

    def setUp(self):
        self.world = PlacementWorld(workers=0)
        self.state = self.world.state
        self.state.settings = _SETTINGS
        for number in range(2):
            self.world.add_worker(f'{_HOT}{number}', rack=_HOT)
            self.world.add_worker(f'{_OTHER}{number}', rack=_OTHER)
        self.busy = []

    def fill(self, rack, *percents, started_s=0.5, **options):
        """Let a task run on workers of a rack, with that progress."""
        for percent in percents:
            task = self.world.add_job(
                f'busy-{len(self.busy)}',
                cpu=_WHOLE_CPU,
                data_rack=rack,
                **options,
            )[0]
            self.assertTrue(task.worker_id.startswith(rack))
            self.busy.append(task)
            task.started_at = NOW - started_s
            task.percent = percent

    def add_job(self, job_id, **options):
        options.setdefault('data_rack', _HOT)
        return self.world.add_job(job_id, cpu=_WHOLE_CPU, **options)

    def finish(self, task, now):
        record_run_end(self.state, task, EndKind.DONE, '', now)

    def dispatch(self, now=NOW):
        for worker in self.state.worker_by_id.values():
            worker.reported_at = now
        dispatch.dispatch(self.state, now)

    def count(self, name):
        return self.state.decisions.count_by_name[name]

    def list_racks(self, tasks):
        return [task.worker_id[:-1] for task in tasks]


class SingleTaskTest(_RackTest):
    # Guards against a task that runs twice as long elsewhere although a worker
    # beside its data is free a moment later.
    def test_task_waits_for_a_run_that_ends_soon(self):
        self.fill(_HOT, 90, 20)
        task = self.add_job('job')[0]
        self.assertEqual(task.worker_id, '')
        self.finish(self.busy[0], NOW + 0.2)
        self.dispatch(NOW + 0.2)
        self.assertEqual(task.worker_id, self.busy[0].worker_id or 'hot0')
        self.assertEqual(self.count('rack_wait'), 1)
        self.assertEqual(self.count('rack_wait_ended_in_rack'), 1)
        self.assertAlmostEqual(self.count('rack_wait_seconds'), 0.2)

    # Guards against a task that waits for longer than it would lose elsewhere.
    def test_task_starts_elsewhere_at_once_if_the_runs_go_on(self):
        self.fill(_HOT, 20, 20)
        self.assertEqual(self.list_racks(self.add_job('job')), [_OTHER])
        self.assertEqual(self.count('rack_wait'), 0)

    # Guards against waits in deployments where tasks run equally fast anywhere.
    def test_no_task_waits_without_a_loss_elsewhere(self):
        self.state.settings = SchedulingSettings()
        self.fill(_HOT, 99, 99)
        self.assertEqual(self.list_racks(self.add_job('job')), [_OTHER])

    # Guards against a herd: each task expects the one place that is free soon,
    # and all but one wait in vain.
    def test_tasks_count_those_before_them(self):
        self.fill(_HOT, 90, 20)
        first = self.add_job('first')
        second = self.add_job('second')
        self.assertEqual(first[0].worker_id, '')
        self.assertEqual(self.list_racks(second), [_OTHER])
        third = self.add_job('third')
        self.assertEqual(self.list_racks(third), [_OTHER])

    # Guards against the same within a step.
    def test_tasks_of_a_step_beyond_the_places_start_elsewhere(self):
        self.fill(_HOT, 90, 20)
        tasks = self.add_job('job', count=3)
        self.assertEqual(self.list_racks(tasks), ['', _OTHER, _OTHER])

    # Guards against waits without end: each round expects a place that never
    # comes.
    def test_wait_ends_although_the_rack_seems_to_have_room_soon(self):
        self.fill(_HOT, 99, 99)
        task = self.add_job('job')[0]
        for tenths in range(1, 60):
            now = NOW + tenths / 10
            for busy in self.busy:
                busy.started_at = now - 1
            self.dispatch(now)
        self.assertEqual(self.list_racks([task]), [_OTHER])
        self.assertEqual(self.count('rack_wait_ended_away'), 1)

    # Guards against starved tasks beside free workers: a task that declines a
    # worker records its need as unmet.
    def test_waiting_task_leaves_its_need_to_others(self):
        self.fill(_HOT, 90, 20)
        self.assertEqual(self.add_job('waiting')[0].worker_id, '')
        others = self.add_job('others', data_rack='', count=2)
        self.assertEqual(self.list_racks(others), [_OTHER, _OTHER])

    # Guards against overload control and gathering of room for a pool that has
    # room: a wait by choice looks like a lack of capacity.
    def test_wait_does_not_count_as_lack_of_capacity(self):
        self.fill(_HOT, 90, 20)
        task = self.add_job('job')[0]
        step = self.state.get_step(task)
        self.assertTrue(step.is_waiting_for_rack)
        self.assertEqual(step.unplaced_since, 0)

    # Guards against long-lived tasks that are not running for longer than
    # their users accept.
    def test_long_lived_task_waits_at_most_for_its_limit(self):
        self.fill(_HOT, 25, 25, started_s=1)
        self.state.settings = replace(_SETTINGS, remote_duration_factor=9)
        task = self.add_job('job', is_long_lived=True)[0]
        self.assertEqual(self.list_racks([task]), [_OTHER])
        self.busy[0].percent = 50
        waiting = self.add_job('waiting', is_long_lived=True)[0]
        self.assertEqual(waiting.worker_id, '')
        self.dispatch(NOW + 2)
        self.assertEqual(self.list_racks([waiting]), [_OTHER])


class FillerTest(_RackTest):
    """Fillers wait for the CPU that others leave idle in their rack."""

    def add_filler(self, job_id, **options):
        return self.add_job(job_id, image='f', is_filler=True, **options)

    def fill_with_fillers(self, percent, pace):
        for number in range(2):
            task = self.add_filler(f'filler-{number}')[0]
            self.assertEqual(task.worker_id[:-1], _HOT)
            task.started_at = NOW - 0.5
            task.percent = percent
            task.pace = pace

    def test_filler_waits_for_the_end_of_another(self):
        self.fill_with_fillers(percent=90, pace=100)
        self.assertEqual(self.add_filler('job')[0].worker_id, '')

    # Guards against waits for CPU that goes to the fillers beside it.
    def test_filler_does_not_wait_for_paced_ones(self):
        self.fill_with_fillers(percent=90, pace=40)
        self.assertEqual(self.list_racks(self.add_filler('job')), [_OTHER])

    # Guards against waits for workers that have room and are not chosen for
    # another reason, which no end of a run changes.
    def test_filler_does_not_wait_where_it_would_interfere(self):
        self.world.set_interference_weights({('s', 'f'): STRONG_INTERFERENCE})
        for number in range(2):
            serving = self.world.add_serving_task(
                's',
                job_id=f's{number}',
                load=0.8,
                cpu=20,
                data_rack=_HOT,
            )
            self.assertEqual(serving.worker_id[:-1], _HOT)
        task = self.world.add_job(
            'job', cpu=4, image='f', is_filler=True, data_rack=_HOT
        )[0]
        self.assertEqual(self.list_racks([task]), [_OTHER])


class OrderTest(_RackTest):
    # Guards against a step that ends late for the sake of its last task, while
    # tasks of steps that have just begun take its place.
    def test_last_tasks_of_a_step_get_the_place_first(self):
        self.fill(_HOT, 20, 20)
        self.fill(_OTHER, 20, 20)
        fresh = self.add_job('fresh', count=2)
        step = Step(
            count=4,
            need=Resources(cpu=_WHOLE_CPU, memory_mb=1),
            estimate_s=1,
            data_rack=_HOT,
        )
        job = Job(
            job_id='last', queue='queue', spec='', steps=(step,), accepted_at=0
        )
        shard_updates.register_job(self.state, job, now=NOW, wall_time=0)
        last = self.state.find_step(('last', 0, 0))
        for task in last.tasks[:3]:
            task.phase = TaskPhase.DONE
            last.done_count += 1
            del last.waiting_indexes[task.key.index]
        self.finish(self.busy[0], NOW)
        self.dispatch()
        self.assertEqual(self.list_racks(last.tasks[3:]), [_HOT])
        self.assertEqual(self.list_racks(fresh), ['', ''])


class RackTest(_RackTest):
    # Guards against waits for a rack that never has capacity.
    def test_no_task_waits_for_a_rack_of_long_lived_tasks(self):
        self.fill(_HOT, 100, 100, is_long_lived=True)
        self.assertEqual(self.list_racks(self.add_job('job')), [_OTHER])

    def test_no_task_waits_for_an_unknown_rack(self):
        tasks = self.add_job('job', data_rack='gone')
        self.assertNotEqual(tasks[0].worker_id, '')

    # Guards against tasks that go on waiting for workers that have left.
    def test_wait_ends_when_the_workers_leave(self):
        self.fill(_HOT, 90, 90)
        task = self.add_job('job')[0]
        self.assertEqual(task.worker_id, '')
        for number in range(2):
            worker = self.state.worker_by_id[f'{_HOT}{number}']
            worker.listed = replace(worker.listed, is_draining=True)
        self.dispatch(NOW + 0.1)
        self.assertEqual(self.list_racks([task]), [_OTHER])
        self.assertEqual(self.count('rack_wait_ended_away'), 1)

    # Guards against tasks that stay without a worker in a full shard because
    # they wait for their rack.
    def test_task_takes_the_first_room_in_a_full_shard(self):
        self.fill(_HOT, 20, 20)
        self.fill(_OTHER, 20, 20)
        task = self.add_job('job')[0]
        self.assertGreater(self.state.get_step(task).unplaced_since, 0)
        self.finish(self.busy[2], NOW)
        self.dispatch()
        self.assertEqual(self.list_racks([task]), [_OTHER])


class StepTest(_RackTest):
    # Guards against the slow-down of all tasks of a step, because they are
    # spread over racks although one has room for all.
    def test_same_rack_step_starts_where_all_fit(self):
        self.fill(_HOT, 20)
        tasks = self.add_job('job', data_rack='', count=2, is_same_rack=True)
        self.assertEqual(self.list_racks(tasks), [_OTHER, _OTHER])

    def test_same_rack_step_waits_for_its_last_place(self):
        self.fill(_HOT, 20, 20)
        self.fill(_OTHER, 90)
        tasks = self.add_job('job', data_rack='', count=2, is_same_rack=True)
        self.assertEqual(self.list_racks(tasks), [_OTHER, ''])

    # Guards against waits that gain nothing: one task of the step has to run
    # elsewhere in any case.
    def test_same_rack_step_is_spread_at_once_if_a_place_comes_late(self):
        self.fill(_HOT, 20)
        self.fill(_OTHER, 20)
        tasks = self.add_job('job', data_rack='', count=2, is_same_rack=True)
        self.assertEqual(set(self.list_racks(tasks)), {_HOT, _OTHER})

    def test_gang_waits_for_its_rack(self):
        self.fill(_HOT, 90)
        options = {'count': 2, 'is_gang': True}
        tasks = self.add_job('job', **options)
        self.assertEqual(self.list_racks(tasks), ['', ''])
        self.finish(self.busy[0], NOW)
        self.dispatch()
        self.assertEqual(self.list_racks(tasks), [_HOT, _HOT])

    def test_gang_starts_elsewhere_at_once_if_a_place_comes_late(self):
        self.fill(_HOT, 20)
        tasks = self.add_job('job', count=2, is_gang=True, is_same_rack=True)
        self.assertEqual(self.list_racks(tasks), [_OTHER, _OTHER])

    # Guards against waits for places that the limit per worker does not allow.
    def test_limit_per_worker_bounds_the_places_in_the_rack(self):
        self.state.worker_by_id['hot1'].quarantined_until = NOW + 9
        tasks = self.world.add_job(
            'job', count=3, cpu=1, data_rack=_HOT, per_worker_limit=1
        )
        self.assertEqual(
            [task.worker_id for task in tasks], ['hot0', 'other0', 'other1']
        )


class HotRackTest(unittest.TestCase):
    # Guards against waits that cost more than they save: with a hot rack, fewer
    # jobs are in time than if every task started at once.
    def test_waits_lose_no_job_that_would_be_in_time(self):
        in_time = {}
        remote_starts = {}
        for is_waiting in (False, True):
            simulation = HotRackSimulation(
                workload=build_hot_workload(
                    workers=48,
                    worker_cpu=18,
                    cpu=1.9,
                    work_s=1,
                    per_s=3,
                    serving=0.5,
                ),
                seed=1,
                per_rack=8,
                remote_factor=2,
                is_waiting=is_waiting,
            )
            simulation.run(8)
            in_time[is_waiting] = simulation.count_urgent()
            remote_starts[is_waiting] = simulation.remote_starts
        self.assertGreaterEqual(in_time[True], in_time[False])
        self.assertLess(remote_starts[True], remote_starts[False])


class TakeoverTest(unittest.TestCase):
    """The owner changes, or the store is away, while a task waits."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.busy_id = self.submit()
        self.run_rounds(8)
        self.set_percent(80)
        self.waiting_id = self.submit()
        self.run_rounds(1)
        self.assertEqual(self.list_workers(self.waiting_id), [])

    def submit(self):
        return self.world.submit(build_single_step(cpu=4, data_rack='rack-0'))

    def run_rounds(self, rounds):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)

    def list_runs(self):
        return [
            (worker, key, run)
            for worker in self.world.workers.worker_by_id.values()
            for key, run in worker.run_by_key.items()
        ]

    def set_percent(self, percent):
        for _, _, run in self.list_runs():
            run.percent = percent

    def finish(self):
        for worker, key, _ in self.list_runs():
            worker.end(key, EndKind.DONE)

    def list_workers(self, job_id):
        return [
            worker.worker_id
            for worker, key, _ in self.list_runs()
            if key.job_id == job_id
        ]

    # Guards against a successor that starts the task elsewhere because only
    # the former owner knew what it waits for.
    def test_successor_goes_on_waiting(self):
        self.world.take_over()
        self.run_rounds(3)
        self.assertEqual(self.list_workers(self.waiting_id), [])
        self.finish()
        self.run_rounds(4)
        self.assertEqual(self.list_workers(self.waiting_id), ['w0'])
        self.world.check()

    # Guards against a wait that an outage of the store prolongs, or that ends
    # with two runs.
    def test_wait_ends_after_an_outage_of_the_store(self):
        self.world.store.is_down = True
        self.run_rounds(5)
        self.finish()
        self.run_rounds(5)
        self.world.store.is_down = False
        self.run_rounds(6)
        self.assertEqual(self.list_workers(self.waiting_id), ['w0'])
        self.world.check()

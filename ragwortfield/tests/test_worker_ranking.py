"""Rankings of workers, and needs that are checked again only on changes."""

import unittest
from dataclasses import replace
from unittest.mock import patch

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling import worker_selection
from ragwortfield.scheduling.dispatch import dispatch
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.shard_updates import register_job
from ragwortfield.scheduling.worker_ranking import UnmetNeeds, WorkerRanking
from ragwortfield.scheduling.worker_selection import WorkerSelector
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    PlacementWorld,
)

_RANKING_KEY = ('pool', '', '')


def _build_need(cpu, memory_mb=1):
    return Resources(cpu=cpu, memory_mb=memory_mb)


class WorkerRankingTest(unittest.TestCase):
    def setUp(self):
        self.world = PlacementWorld(workers=3)
        self.workers = tuple(self.world.state.worker_by_id.values())
        self.rank_by_id = {'w0': 2, 'w1': 1, 'w2': 3}

    def compute_rank(self, worker):
        rank = self.rank_by_id.get(worker.worker_id)
        return None if rank is None else (rank,)

    def find_best(self, ranking, *, refused_ids=(), avoided_workers=()):
        worker = ranking.find_best(
            lambda candidate: candidate.worker_id not in refused_ids,
            avoided_workers,
        )
        return None if worker is None else worker.worker_id

    def create_ranking(self):
        return WorkerRanking(workers=self.workers, rank=self.compute_rank)

    def test_worker_of_lowest_rank_is_found_repeatedly(self):
        ranking = self.create_ranking()
        self.assertEqual(self.find_best(ranking), 'w1')
        self.assertEqual(self.find_best(ranking), 'w1')

    def test_changed_worker_is_ranked_again(self):
        ranking = self.create_ranking()
        self.rank_by_id['w1'] = 9
        self.workers[1].record_change()
        self.assertEqual(self.find_best(ranking), 'w0')

    def test_worker_that_no_longer_meets_the_need_is_skipped(self):
        ranking = self.create_ranking()
        self.rank_by_id.clear()
        for worker in self.workers:
            worker.record_change()
        self.assertIsNone(self.find_best(ranking))
        self.assertTrue(ranking.is_empty())

    def test_refused_workers_remain_for_other_tasks(self):
        ranking = self.create_ranking()
        self.assertEqual(self.find_best(ranking, refused_ids={'w1'}), 'w0')
        self.assertIsNone(self.find_best(ranking, refused_ids=self.rank_by_id))
        self.assertFalse(ranking.is_empty())
        self.assertEqual(self.find_best(ranking), 'w1')

    def test_avoided_workers_come_last(self):
        ranking = self.create_ranking()
        self.assertEqual(
            self.find_best(ranking, avoided_workers={'w1', 'w0'}), 'w2'
        )
        self.assertEqual(
            self.find_best(ranking, avoided_workers=self.rank_by_id),
            'w1',
        )


class UnmetNeedsTest(unittest.TestCase):
    def setUp(self):
        self.needs = UnmetNeeds()
        self.needs.mark_unmet(_RANKING_KEY, _build_need(4), 7)

    def find_last_checked_change(self, cpu, memory_mb=1, group=_RANKING_KEY):
        return self.needs.find_last_checked_change(
            group, _build_need(cpu, memory_mb)
        )

    def test_larger_needs_are_unmet_too(self):
        self.assertEqual(self.find_last_checked_change(4), 7)
        self.assertEqual(self.find_last_checked_change(5, 2), 7)

    def test_smaller_and_unrelated_needs_are_checked(self):
        self.assertEqual(self.find_last_checked_change(3), -1)
        self.assertEqual(self.find_last_checked_change(5, 0), -1)
        self.assertEqual(
            self.find_last_checked_change(5, group=('other', '', '')), -1
        )

    def test_latest_check_counts(self):
        self.needs.mark_unmet(_RANKING_KEY, _build_need(5), 9)
        self.assertEqual(self.find_last_checked_change(6), 9)
        self.assertEqual(self.find_last_checked_change(4), 7)


class UnmetNeedRetryTest(unittest.TestCase):
    """No worker meets a need until one of them changes."""

    def test_task_starts_once_a_worker_has_free_cpu_again(self):
        world = PlacementWorld(workers=3)
        serving = [
            world.add_serving_task(f's{number}', load=0.4, cpu=30)
            for number in range(3)
        ]
        large = world.add_job('large', cpu=20)[0]
        for _ in range(3):
            dispatch(world.state, NOW)
        self.assertEqual(large.worker_id, '')
        freed_worker_id = serving[1].worker_id
        world.state.cancelled_job_ids.add('s1')
        serving[1].is_stop_wanted = True
        world.state.job_by_id['s1'].is_cancelled = True
        world.finish_stop(serving[1])
        self.assertEqual(large.worker_id, freed_worker_id)

    def test_worker_is_checked_after_its_quarantine(self):
        world = PlacementWorld(workers=1)
        worker = world.state.worker_by_id['w0']
        worker.quarantined_until = NOW + 1
        task = world.add_job('job', cpu=2)[0]
        self.assertEqual(task.worker_id, '')
        worker.quarantined_until = NOW - 1
        world.dispatch()
        self.assertEqual(task.worker_id, 'w0')

    def test_filler_starts_once_the_serving_load_falls(self):
        world = PlacementWorld(workers=1)
        world.set_interference_weights({('s', 'f'): STRONG_INTERFERENCE})
        serving = world.add_serving_task('s', load=0.8)
        filler = world.add_job('f', cpu=4, image='f', is_filler=True)[0]
        self.assertEqual(filler.worker_id, '')
        load = world.state.get_step(serving).load
        load.level = 0.1
        load.long_term_level = 0.1
        world.dispatch()
        self.assertEqual(
            filler.worker_id,
            '',
            'started before the lower load was read',
        )
        world.state.worker_by_id['w0'].record_change()
        world.dispatch()
        self.assertEqual(filler.worker_id, 'w0')

    def test_equal_needs_share_one_check_per_round(self):
        world = PlacementWorld(workers=2)
        selector = WorkerSelector(state=world.state, now=NOW)
        tasks = world.add_job('job', count=3, cpu=30)
        job = world.state.job_by_id['job']
        step = world.state.get_step(tasks[2])
        self.assertEqual(list(step.waiting_indexes), [2])
        self.assertIsNone(selector.select_worker(job, step, tasks[2]))
        last_checked_change = world.state.unmet_needs.find_last_checked_change(
            _RANKING_KEY, _build_need(30)
        )
        self.assertEqual(last_checked_change, world.state.change_counter.latest)


class BacklogTest(unittest.TestCase):
    """Hundreds of jobs wait for a full pool."""

    # Guards against lost runs as in incident 0006: each waiting job made the
    # rounds slower, until the leases of running tasks expired.
    def test_jobs_that_fit_nowhere_cause_no_worker_checks(self):
        world = PlacementWorld(workers=12)
        for number in range(12):
            world.add_serving_task(f's{number}', load=0.4, cpu=30)
        for number in range(100):
            world.add_job(f'large{number}', cpu=4 + number / 100)
            world.add_job(f'filler{number}', cpu=40, is_filler=True)
        with patch.object(
            worker_selection,
            'has_free_resources',
            wraps=worker_selection.has_free_resources,
        ) as fit_checks:
            self.assertEqual(dispatch(world.state, NOW), 0)
        self.assertEqual(fit_checks.call_count, 0)


class RoundLimitTest(unittest.TestCase):
    """Thousands of tasks wait at once, as after a start of the owner."""

    def test_round_is_bounded_and_later_rounds_bind_the_rest(self):
        world = PlacementWorld(workers=40)
        state = world.state
        state.bounds = replace(state.bounds, contact_s=-1)
        for number in range(8):
            world.add_job(f'job{number}', count=100, cpu=1)
        state.bounds = replace(state.bounds, contact_s=1)
        bound_counts = [dispatch(state, NOW) for _ in range(3)]
        self.assertEqual(bound_counts, [600, 200, 0])


class PoolTest(unittest.TestCase):
    """Two pools whose workers have room for tasks of the same need."""

    # Guards against a task on a worker of another pool: the worker was added to
    # the rankings of all pools once a task had been bound to it.
    def test_task_is_bound_to_a_worker_of_its_pool_only(self):
        world = PlacementWorld(workers=1)
        world.add_worker('other0', cpu=4, pool='other')
        catalogue = world.state.catalogue
        other = replace(
            catalogue.queue_by_name['queue'], name='other', pool='other'
        )
        world.state.catalogue = replace(
            catalogue,
            queue_by_name={**catalogue.queue_by_name, 'other': other},
        )
        for job_id, queue in (('a', 'other'), ('b', 'queue'), ('c', 'other')):
            step = Step(count=2, need=_build_need(4), estimate_s=1)
            job = Job(
                job_id=job_id,
                queue=queue,
                spec='',
                steps=(step,),
                accepted_at=0,
            )
            register_job(world.state, job, now=NOW, wall_time=0)
        dispatch(world.state, NOW)
        keys = world.state.worker_by_id['w0'].run_by_key
        self.assertEqual({key.job_id for key in keys}, {'b'})

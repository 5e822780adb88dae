"""Jobs served and jobs deferred while more arrive than can be done in time."""

import unittest
from unittest import mock

from ragwortfield.scheduling.dispatch import dispatch
from ragwortfield.scheduling.job_sizes import SizeClass
from ragwortfield.scheduling.overload_control import (
    FairShares,
    JobDemand,
    OverloadControl,
    select_deferred,
)
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.tests.placement_world import NOW, PlacementWorld

_CAPACITY = 10.0


def make_demand(name, **options):
    options = {
        'group': ('queue', SizeClass.REST),
        'deadline': NOW + 8,
        'path_s': 2,
        'work': 20,
    } | options
    return JobDemand(job_id=name, **options)


class SelectionTest(unittest.TestCase):
    def setUp(self):
        self.shares = FairShares()

    def select(self, demands):
        return select_deferred(
            demands, capacity_cpu=_CAPACITY, now=NOW, shares=self.shares
        )

    def test_nothing_is_deferred_while_all_fits(self):
        self.assertEqual(
            self.select([make_demand(str(number)) for number in range(4)]),
            set(),
        )

    # Guards against the domino of least slack first: with twice the work that
    # fits, nearly every job was started too late to be in time.
    def test_half_of_the_jobs_stay_in_time_under_double_load(self):
        deferred = self.select(
            [make_demand(str(number)) for number in range(8)]
        )
        self.assertEqual(len(deferred), 4)

    # Guards against work that was done in vain: a job is given up shortly
    # before its end while new ones begin.
    def test_jobs_that_are_nearly_done_are_kept(self):
        demands = [make_demand(str(number)) for number in range(8)]
        nearly_done = [
            make_demand(f'nearly done {number}', work=4) for number in range(5)
        ]
        deferred = self.select([*demands, *nearly_done])
        self.assertEqual(len(deferred), 5)
        self.assertFalse(deferred & {demand.job_id for demand in nearly_done})

    # Guards against overload that only the largest jobs pay for.
    def test_sizes_take_turns(self):
        self.shares.planned_by_group.update(
            {
                ('queue', SizeClass.LARGEST_TENTH): 4,
                ('queue', SizeClass.REST): 36,
            }
        )
        demands = [
            make_demand(f'small {number}', deadline=NOW + 48)
            for number in range(36)
        ]
        demands += [
            make_demand(
                f'large {number}',
                work=60,
                deadline=NOW + 48,
                group=('queue', SizeClass.LARGEST_TENTH),
            )
            for number in range(4)
        ]
        deferred = self.select(demands)
        large = [job_id for job_id in deferred if 'large' in job_id]
        self.assertIn(len(large), {1, 2, 3})

    def test_jobs_that_cannot_be_in_time_take_no_capacity(self):
        hopeless = [
            make_demand(f'late {number}', path_s=9) for number in range(8)
        ]
        fitting = [make_demand(str(number)) for number in range(4)]
        self.assertEqual(self.select([*hopeless, *fitting]), set())

    def test_deferred_job_returns_when_it_fits_again(self):
        demands = [make_demand('kept'), make_demand('back', is_deferred=True)]
        self.assertEqual(self.select(demands), set())

    # Guards against plans that take more than the capacity: a deferred job
    # returned at once, as the runs of late and deferred jobs did not count.
    def test_deferred_job_does_not_return_to_capacity_in_use(self):
        late = make_demand('late', path_s=9, work=70, running_work=70)
        self.assertEqual(self.select([late, make_demand('new')]), {'new'})
        begun = make_demand('begun', work=90, running_work=70)
        self.assertEqual(
            self.select([begun, make_demand('new')]), {'begun', 'new'}
        )

    # Guards against size groups that count as disadvantaged by jobs that were
    # served: each plan counted a job again that it deferred and took back.
    def test_only_jobs_that_stay_deferred_count_for_fairness(self):
        demands = [
            make_demand('early', deadline=NOW + 8, work=40, value=1),
            make_demand('middle', deadline=NOW + 11, work=40, value=2),
            make_demand('late', deadline=NOW + 12, work=110, value=3),
        ]
        deferred = self.select(demands)
        self.assertEqual(self.shares.deferred_by_group.total(), len(deferred))

    # Guards against plans that take longer than their interval: each deferral
    # compared all jobs with one another.
    def test_effort_grows_with_the_number_of_jobs(self):
        demands = [make_demand(str(number)) for number in range(200)]
        with mock.patch.object(
            FairShares, 'deferred_share', return_value=0
        ) as deferred_share:
            self.assertEqual(len(self.select(demands)), 196)
        self.assertLessEqual(deferred_share.call_count, 200)


class OverloadControlTest(unittest.TestCase):
    """One worker of 32 cores; each job needs all of it for a second."""

    def setUp(self):
        self.world = PlacementWorld(workers=1)
        self.state = self.world.state
        queue = self.state.catalogue.queue_by_name['queue']
        self.assertEqual(queue.stretch, 1)
        for number in range(6):
            self.world.add_job(str(number), count=8)
        for job in self.state.job_by_id.values():
            job.queue = type(queue)(
                name='queue',
                host='',
                path_prefix='',
                pool='pool',
                stretch=3,
            )

    def plan(self, control, at):
        self.state.worker_by_id['w0'].reported_at = at
        dispatch(self.state, at)
        control.update(self.state, at)
        return [
            job_id
            for job_id, job in self.state.job_by_id.items()
            if job.is_deferred
        ]

    def test_jobs_beyond_the_capacity_are_deferred(self):
        deferred = self.plan(OverloadControl(), NOW + 0.5)
        # The first one runs, and two more fit until the objective of 3 s.
        self.assertEqual(len(deferred), 3)
        self.assertNotIn('0', deferred)
        waiting = [step.job_id for step in sort_by_urgency(self.state, NOW)]
        self.assertEqual(set(waiting[2:]), set(deferred))

    # Guards against a successor that decides otherwise than the owner before
    # it: both see the same jobs, runs and acceptance times.
    def test_successor_keeps_as_many_jobs(self):
        before = self.plan(OverloadControl(), NOW + 0.5)
        for job in self.state.job_by_id.values():
            job.is_deferred = False
        after = self.plan(OverloadControl(), NOW + 0.5)
        self.assertEqual(len(after), len(before))

    # Guards against deferring everything while a new owner does not know yet
    # what the workers run.
    def test_new_owner_waits_for_reports(self):
        self.state.owner_since = NOW
        self.assertEqual(self.plan(OverloadControl(), NOW + 0.5), [])

    def test_all_jobs_return_when_nothing_waits(self):
        control = OverloadControl()
        self.assertTrue(self.plan(control, NOW + 0.5))
        for step in self.state.ready_step_by_key.values():
            step.unplaced_since = 0
        control.update(self.state, NOW + 1)
        self.assertFalse(
            any(job.is_deferred for job in self.state.job_by_id.values())
        )

    # Guards against callers sent away by a new owner or in a short burst: a
    # queue was closed while hardly anything ran yet.
    def test_queue_closes_only_while_its_backlog_stays_too_long(self):
        for number in range(40):
            self.world.add_job(f'more {number}', count=8)
        control = OverloadControl()
        self.plan(control, NOW + 0.5)
        self.assertEqual(self.state.retry_after_s_by_queue, {})
        self.plan(control, NOW + 3)
        self.assertIn('queue', self.state.retry_after_s_by_queue)
        for step in self.state.ready_step_by_key.values():
            step.unplaced_since = 0
        control.update(self.state, NOW + 4)
        self.assertEqual(self.state.retry_after_s_by_queue, {})

    # Guards against a refusal that is not true: jobs that waited for a label
    # that no worker had, or for more than it offers, closed the queue while the
    # worker had room.
    def test_jobs_that_fit_no_worker_close_no_queue(self):
        for options in ({'required_label': 'absent'}, {'cpu': 64}):
            with self.subTest(**options):
                world = PlacementWorld(workers=1)
                for number in range(20):
                    world.add_job(str(number), count=10, **options)
                world.add_job('running', count=2)
                control = OverloadControl()
                self.state = world.state
                for elapsed_s in (0.5, 2, 4):
                    self.plan(control, NOW + elapsed_s)
                    self.assertEqual(self.state.retry_after_s_by_queue, {})

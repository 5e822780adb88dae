"""Leases: a silent worker's tasks run again soon, and never twice."""

import unittest

from ragwortfield.ports.task_worker import EndKind, OrderDone, StopRun
from ragwortfield.scheduling import leases
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.worker_state import WorkerClock
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Longest time from a worker's loss to the next run of its tasks: the users
#: ask for a lasting task to run again within six seconds.
_AGAIN_S = 6
_SETTLED_S = 30
#: Time between two rounds of an owner that is late, in seconds: longer than
#: the silence after which a worker gets no new runs.
_LATE_S = 1.5


def _act(world, seconds):
    """Let the newest owner act for a while."""
    for _ in range(int(seconds / 0.1)):
        world.owners[-1].act()
        world.advance(0.1)
    world.check()


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))
        _act(self.world, 1)

    def running(self):
        return [
            worker
            for worker in self.world.workers.worker_by_id.values()
            if worker.run_by_key
        ]

    def first_task(self, job_id):
        state = self.world.owners[-1].state
        step = state.find_step((job_id, 0, 0))
        return step.tasks[0]

    def test_tasks_of_a_silent_worker_run_elsewhere_within_the_bound(self):
        lost = self.running()[0]
        lost.is_reachable = False
        _act(self.world, _AGAIN_S)
        others = [one for one in self.running() if one is not lost]
        self.assertEqual(len(others), 1)

    def test_tasks_wait_while_the_lease_may_still_run(self):
        lost = self.running()[0]
        lost.is_reachable = False
        _act(self.world, 2)
        self.assertEqual(self.running(), [lost])

    # Guards against LOST of incident 0006: an owner that was late itself took
    # every worker for silent and extended no lease.
    def test_task_runs_on_under_an_owner_that_is_late_itself(self):
        worker = self.running()[0]
        for _ in range(20):
            self.world.owners[-1].act()
            self.world.advance(_LATE_S)
        self.world.check()
        self.assertEqual(self.running(), [worker])
        self.assertEqual(self.first_task(self.job_id).run, 1)

    # Guards against leases that lapse because single looks are turned away.
    def test_task_runs_on_while_every_second_look_is_turned_away(self):
        worker = self.running()[0]
        for number in range(60):
            worker.is_reachable = number % 2 == 0
            self.world.owners[-1].act()
            self.world.advance(0.5)
        self.world.check()
        self.assertEqual(self.running(), [worker])
        self.assertEqual(self.first_task(self.job_id).run, 1)

    # Guards against a late owner that places nothing and acknowledges nothing.
    def test_late_owner_starts_tasks_and_acknowledges_their_ends(self):
        owner = self.world.owners[-1]
        job_id = self.world.submit(build_single_step(count=2))
        for _ in range(8):
            owner._renew_leases()
            self.world.advance(_LATE_S)
            owner.act(is_renewing_leases=False)
            self.world.end_runs(EndKind.DONE, count=9)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)
        ends = [
            end
            for worker in self.world.workers.worker_by_id.values()
            for end in worker.ends
            if end.key.job_id == job_id
        ]
        self.assertEqual(ends, [])

    # Guards against an owner that was stopped and extends leases which its
    # successor takes for over.
    def test_owner_that_stood_still_for_a_lease_looks_before_it_extends(self):
        owner = self.world.owners[-1]
        row = next(iter(owner.state.worker_by_id.values()))
        later = self.world.now + TimingBounds().requested_lease_s() + 0.1
        order = leases.create_lease_order(owner.state, row, later)
        self.assertIsNone(order.deadline_ms)
        self.assertLess(
            TimingBounds().requested_lease_s(), TimingBounds().unaware_s
        )

    def test_reborn_worker_gets_its_tasks_anew(self):
        lost = self.running()[0]
        lost.restart()
        _act(self.world, 1)
        self.assertEqual(self.first_task(self.job_id).run, 2)
        self.assertEqual(self.world.status(self.job_id), JobStatus.ACTIVE)

    def test_unanswered_start_is_stopped_at_a_reborn_worker(self):
        owner = self.world.owners[-1]
        self.world.order_delay_probability = 1.0
        job_id = self.world.submit(build_single_step())
        owner.act(is_renewing_leases=False)
        task = self.first_task(job_id)
        worker = self.world.workers.worker_by_id[task.worker_id]
        self.world.order_delay_probability = 0
        worker.restart()
        owner._renew_leases()
        owner.act(is_renewing_leases=False)
        stopped = worker.highest_run_by_key.get(task.key, 0)
        self.assertGreaterEqual(stopped, 1)

    def start_in_a_new_life(self, answer_is_lost):
        """A repeated start meets a life that cannot report (seed 2090)."""
        # Deadlines of the old life's clock lie far ahead of the new one's.
        _act(self.world, 15)
        owner = self.world.owners[-1]
        self.world.order_delay_probability = 1.0
        job_id = self.world.submit(build_single_step())
        owner.act(is_renewing_leases=False)
        task = self.first_task(job_id)
        worker = self.world.workers.worker_by_id[task.worker_id]
        self.world.workers.delayed_orders.clear()
        self.world.order_delay_probability = 0
        worker.restart()
        self.world.advance(0.5)
        self.world.order_loss_probability = 1.0 if answer_is_lost else 0
        owner.act(is_renewing_leases=False)
        self.world.order_loss_probability = 0
        self.assertIn(task.key, worker.run_by_key)
        worker.is_reachable = False
        return worker, task.key

    def test_start_that_met_a_new_life_keeps_its_longest_lease(self):
        for answer_is_lost in (False, True):
            with self.subTest(answer_is_lost=answer_is_lost):
                self.setUp()
                worker, key = self.start_in_a_new_life(answer_is_lost)
                # The check finds a second run while the first goes on.
                _act(self.world, 9)
                self.assertIn(key, worker.run_by_key)
                _act(self.world, 6)
                self.assertNotIn(key, worker.run_by_key)
                self.assertEqual(self.first_task(key.job_id).run, 2)

    def test_end_is_not_acknowledged_before_it_is_durable(self):
        worker = self.running()[0]
        key = next(iter(worker.run_by_key))
        self.world.store.is_down = True
        worker.end(key, EndKind.FAILED)
        _act(self.world, 1)
        self.assertEqual(len(worker.ends), 1)
        self.world.store.is_down = False
        _act(self.world, 1)
        self.assertEqual(worker.ends, [])

    def test_fake_worker_refuses_a_stopped_run(self):
        worker = self.running()[0]
        key = next(iter(worker.run_by_key))
        order = StopRun(
            worker_id=worker.worker_id,
            address='',
            key=key,
            run=1,
            fencing_token=1,
        )
        self.assertIsInstance(worker.stop(order), OrderDone)
        self.assertEqual(worker.highest_run_by_key[key], 1)


class WorkerClockTest(unittest.TestCase):
    def test_first_reading_is_taken_however_small(self):
        clock = WorkerClock()
        clock.observe(1000, 5000.0)
        self.assertAlmostEqual(clock.earliest_ms(5000.0), 1000)

    def test_worker_clock_may_be_slow_by_two_percent(self):
        clock = WorkerClock()
        clock.observe(1000, 50.0)
        self.assertAlmostEqual(clock.earliest_ms(60.0), 10800)


class RebornLeaseTest(unittest.TestCase):
    """Seed 19 of the shard machine: a deadline of the life before."""

    def test_lease_given_before_the_rebirth_was_noticed_is_waited_for(self):
        world = ShardWorld(workers=1)
        world.take_over()
        owner = world.owners[-1]
        world.submit(build_single_step())
        for _ in range(100):
            owner.act()
            world.advance(0.1)
        worker = world.workers.worker_by_id['w0']
        worker.restart()
        owner.act()
        row = owner.state.worker_by_id['w0']
        lease_s = (worker.lease_end_ms - worker.now_ms()) / 1000
        known_s = (row.lease_end_ms - worker.now_ms()) / 1000
        self.assertGreaterEqual(known_s, lease_s)

    def test_old_acknowledgement_forgets_no_end_of_a_new_life(self):
        """Seed 30 of the shard machine: ends are counted anew."""
        world = ShardWorld(workers=1)
        world.take_over()
        owner = world.owners[-1]
        for _ in range(3):
            world.submit(build_single_step())
            for _ in range(5):
                owner.act()
                world.advance(0.1)
            world.end_runs(EndKind.DONE)
        for _ in range(5):
            owner.act()
            world.advance(0.1)
        worker = world.workers.worker_by_id['w0']
        worker.restart()
        job_id = world.submit(build_single_step())
        owner.act(is_renewing_leases=False)
        world.end_runs(EndKind.DONE)
        for _ in range(5):
            owner.act()
            world.advance(0.1)
        world.check()
        self.assertEqual(world.status(job_id), JobStatus.COMPLETE)

    def test_fresh_acknowledgement_waits_where_a_start_met_a_new_life(self):
        """Seed 30 of the shard machine, second part."""
        world = ShardWorld(workers=1)
        world.take_over()
        owner = world.owners[-1]
        world.submit(build_single_step())
        for _ in range(5):
            owner.act()
            world.advance(0.1)
        world.end_runs(EndKind.DONE)
        owner.act()
        worker = world.workers.worker_by_id['w0']
        worker.restart()
        job_id = world.submit(build_single_step())
        owner.act(is_renewing_leases=False)
        world.end_runs(EndKind.DONE)
        row = owner.state.worker_by_id['w0']
        self.assertGreater(row.acknowledged_end, row.acknowledged_to_worker)
        for _ in range(5):
            owner.act()
            world.advance(0.1)
        world.check()
        self.assertEqual(world.status(job_id), JobStatus.COMPLETE)


class InheritedLeaseTest(unittest.TestCase):
    """A new owner waits for the lease that the one before can have asked."""

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.world.submit(build_single_step(is_long_lived=True))
        # A worker's life counts as settled after the longest lease and more.
        _act(self.world, _SETTLED_S)

    def test_worker_of_a_young_life_may_hold_the_longest_lease(self):
        """Seed 622 of the shard machine: a deadline of the life before.

        An owner that has not noticed the new life extends the lease by the
        old clock, then a second owner takes over and loses the worker.
        """
        worker = next(
            one
            for one in self.world.workers.worker_by_id.values()
            if one.run_by_key
        )
        before = self.world.owners[-1]
        worker.restart()
        before._renew_leases()
        lease_s = (worker.lease_end_ms - worker.now_ms()) / 1000
        self.world.take_over()
        _act(self.world, 0.5)
        state = self.world.owners[-1].state
        row = state.worker_by_id[worker.worker_id]
        known_s = (row.lease_end_ms - worker.now_ms()) / 1000
        self.assertGreaterEqual(known_s + 0.5, lease_s)

    def test_tasks_of_a_worker_lost_after_a_takeover_run_again_in_time(self):
        self.world.take_over()
        _act(self.world, 0.5)
        lost = next(
            worker
            for worker in self.world.workers.worker_by_id.values()
            if worker.run_by_key
        )
        lost.is_reachable = False
        _act(self.world, _AGAIN_S)
        others = [
            worker
            for worker in self.world.workers.worker_by_id.values()
            if worker.run_by_key and worker is not lost
        ]
        self.assertEqual(len(others), 1)

    def test_unknown_lease_of_the_owner_before_counts_as_the_longest(self):
        state = self.world.owners[-1].state
        longest_s = state.bounds.longest_lease_s()
        inherited_s = state.inherited_lease_s(0, self.world.now)
        self.assertEqual(inherited_s, longest_s)

    def test_asked_lease_is_never_longer_than_workers_grant(self):
        bounds = TimingBounds(lease_s=4, longest_lease_ms=1500)
        self.assertEqual(bounds.requested_lease_s(), 1.5)

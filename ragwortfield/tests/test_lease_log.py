"""Lines of the log about leases: adopted, extended, refused, lapsed."""

import unittest

from ragwortfield.ports.task_worker import LeaseOrder, LeaseReport
from ragwortfield.scheduling import leases
from ragwortfield.scheduling.lease_log import describe_held_leases
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_ROUND_S = 0.1
_TASKS = 12


class LeaseLogTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=1, is_process_checked=True)
        self.world.take_over()
        self.act(0.5)
        self.job_id = self.world.submit(
            build_single_step(count=_TASKS, cpu=0.1, is_long_lived=True)
        )
        self.act(0.5)

    def act(self, seconds, event=''):
        """Let the newest owner act; return the lines of an event."""
        with capture_log_lines() as lines:
            for _ in range(round(seconds / _ROUND_S)):
                self.world.owners[-1].act()
                self.world.advance(_ROUND_S)
        return [line for line in lines if f'event={event} ' in line]

    def replace_owner(self):
        self.world.take_over()
        state = self.world.owners[-1].state
        state.former_id = 'i1'
        state.former_epoch = 1
        return self.world.owners[-1]

    def lapse(self):
        """Wait until the lease of the worker is over; return the line."""
        (line,) = self.act(12, 'lease_lapsed')
        self.assertIn('worker=w0 epoch=', line)
        self.assertIn(f'tasks={_TASKS}', line)
        # Some tasks are named, not all.
        self.assertEqual(line.count(f'{self.job_id}.0.0.'), 8)
        return line

    # Guards against a log that does not tell under which epoch a worker was
    # polled, and what the new owner found there.
    def test_first_report_to_an_owner_is_logged_once(self):
        self.replace_owner()
        (line,) = self.act(2, 'worker_adopted')
        self.assertIn('worker=w0 epoch=2 owned_s=0.1', line)
        self.assertIn('inherited_s=4', line)
        self.assertIn(f'runs={_TASKS}', line)
        self.assertIn(f'tasks={self.job_id}.0.0.0,', line)

    # Guards against a log that does not tell whether the lease of a worker was
    # known to be over, or only assumed to be.
    def test_lapse_of_an_own_lease_shows_its_inputs(self):
        self.world.workers.worker_by_id['w0'].is_reachable = False
        line = self.lapse()
        self.assertIn('epoch=1', line)
        self.assertIn('has_reported=True bound=own_lease', line)
        self.assertRegex(line, 'lease_end_ms=[0-9]+ clock_ms=[0-9]+')
        self.assertRegex(line, 'report_age_s=[45]')

    def test_lapse_after_an_unaware_owner_shows_its_inputs(self):
        self.replace_owner().unreachable_worker_ids = {'w0'}
        line = self.lapse()
        self.assertIn('epoch=2', line)
        self.assertIn('has_reported=False bound=former_unaware', line)
        self.assertIn('former=i1 former_epoch=1 former_answer=none', line)
        self.assertIn('former_until_s=3.5 electorate=0 unfenced=0', line)
        self.assertIn('previous_lease_s=4 is_process_bound=True', line)
        self.assertIn('bound_s=7.58', line)
        self.assertIn('owned_s=7.', line)

    def test_lapse_after_an_answer_shows_its_inputs(self):
        self.replace_owner().unreachable_worker_ids = {'w0'}
        state = self.world.owners[-1].state
        state.former_run_end_by_worker = {'w0': state.owner_since + 2}
        state.former_answer = 'leases'
        line = self.lapse()
        self.assertIn('bound=former_answer', line)
        self.assertIn('former_answer=leases bound_s=2', line)

    # Guards against a log that does not tell when an owner could have noticed
    # its replacement, or that grows with each refused order.
    def test_first_refusal_of_an_order_is_logged(self):
        former = self.world.owners[-1]
        self.replace_owner()
        self.act(0.2)
        self.world.store.is_down = True
        with capture_log_lines() as lines:
            for _ in range(3):
                former._renew_leases()
        (line,) = [line for line in lines if 'event=order_fenced' in line]
        self.assertIn('worker=w0 epoch=1', line)
        self.assertIn('report_age_s=0.', line)
        self.assertIn(f'tasks={_TASKS}', line)


class HeldLeasesTest(unittest.TestCase):
    def setUp(self):
        self.state = PlacementWorld(workers=2).state

    def extend(self, worker_id, now, **options):
        """Record an accepted order that extends a lease by 4 s."""
        worker = self.state.worker_by_id[worker_id]
        worker.clock.observe(1000, now)
        worker.lease_end_ms = 5000
        order = LeaseOrder(
            worker_id=worker_id,
            address='',
            fencing_token=1,
            acknowledged_end=0,
            deadline_ms=options.pop('deadline_ms', 5000),
            wait_ms=0,
        )
        report = LeaseReport(
            clock_ms=1000, born_ms=1, runs=(), ends=(), **options
        )
        leases.record_extension(worker, order, report, now)

    def describe(self):
        self.state.confirmation.record_store_call(NOW - 1)
        described = describe_held_leases(self.state, NOW)
        self.assertAlmostEqual(described.pop('valid_s'), 2.43)
        return described

    def test_owner_that_extended_nothing_holds_nothing(self):
        self.extend('w0', NOW, deadline_ms=None)
        self.extend('w1', NOW, is_order_applied=False)
        self.assertEqual(
            self.describe(),
            {'lease_order_age_s': -1, 'held': 0, 'held_workers': ''},
        )

    # Guards against a log that does not tell which workers a replaced owner had
    # kept at work, and until when.
    def test_held_workers_are_those_whose_lease_may_last(self):
        self.extend('w0', NOW - 1)
        self.extend('w1', NOW - 5)
        self.assertEqual(
            self.describe(),
            {'lease_order_age_s': 1, 'held': 1, 'held_workers': 'w0'},
        )

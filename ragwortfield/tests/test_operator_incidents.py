"""Failures that operators of similar systems reported, replayed on a shard."""

from ragwortfield.ports.task_worker import (
    OrderRefused,
    Refusal,
    StartRun,
)
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.tests.recorded_shard_case import STEP_S, RecordedShardTestCase
from ragwortfield.tests.shard_world import build_single_step

#: Silence of a worker, in seconds: as long as its lease.
_SILENCE_S = 4
#: Delay after which a paused owner sends a start order, in seconds.
_DELAY_S = 6
#: Time in which a job of one short task is certainly run, in seconds.
_RUN_S = 1
_TASKS = 3


class SilentWorkerTest(RecordedShardTestCase):
    """A worker that is only silent or slow keeps its run."""

    def setUp(self):
        super().setUp()
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.run_owner(_RUN_S)
        self.worker = self.list_busy_workers()[0]

    def assert_run_was_kept(self):
        self.assertEqual(self.list_busy_workers(), [self.worker])
        self.assertEqual(self.list_started_runs(self.job_id), [(0, 1)])
        step = self.world.owners[-1].state.find_step((self.job_id, 0, 0))
        self.assertEqual(step.tasks[0].failures, 0)
        self.assertEqual(self.world.status(self.job_id), JobStatus.ACTIVE)

    # Guards against a second run of a task whose worker reports again before
    # its lease expires.
    def test_run_of_a_silent_worker_is_adopted_when_it_reports_again(self):
        self.worker.is_reachable = False
        # The lease was last renewed at most one poll before the silence.
        self.run_owner(_SILENCE_S - 2 * STEP_S)
        self.assertEqual(self.list_started_runs(self.job_id), [(0, 1)])
        self.worker.is_reachable = True
        self.run_owner(_SILENCE_S + _RUN_S)
        self.assert_run_was_kept()

    # Guards against a task that is given up because each report of its worker
    # arrives a second late.
    def test_run_of_a_slow_worker_is_kept(self):
        for _ in range(_SILENCE_S):
            self.worker.is_reachable = False
            self.run_owner(1)
            self.worker.is_reachable = True
            self.run_owner(STEP_S)
        self.run_owner(_SILENCE_S + _RUN_S)
        self.assert_run_was_kept()

    # Guards against a task that a new owner gives up because its worker is
    # silent during the takeover.
    def test_run_of_a_silent_worker_is_adopted_by_a_new_owner(self):
        self.worker.is_reachable = False
        self.run_owner(_RUN_S)
        self.world.take_over()
        self.run_owner(_SILENCE_S - _RUN_S - 2 * STEP_S)
        self.assertEqual(self.list_started_runs(self.job_id), [(0, 1)])
        self.worker.is_reachable = True
        self.run_owner(_SILENCE_S + _RUN_S)
        self.assert_run_was_kept()

    # Guards against a second run that starts while the lease of the first may
    # be valid: nobody renews it, and the worker ends it by its own clock.
    def test_second_run_starts_only_after_the_lease_of_the_first_expired(self):
        self.worker.is_reachable = False
        self.run_owner(2 * _DELAY_S)
        self.assertEqual(self.list_started_runs(self.job_id), [(0, 1), (0, 2)])
        self.worker.is_reachable = True
        self.run_owner(_RUN_S)
        self.assertEqual(self.list_started_runs(self.job_id), [(0, 1), (0, 2)])


class HandOverTest(RecordedShardTestCase):
    """Two owners act at the same time during a hand-over."""

    def commit_bindings_without_answer(self):
        """Commit bindings and lose the answer; no order is sent yet."""
        self.job_id = self.world.submit(build_single_step(count=_TASKS))
        old_owner = self.world.owners[-1]
        self.world.store_loss_probability = 1.0
        old_owner.act()
        old_owner.act()
        self.world.store_loss_probability = 0
        self.assertIsNotNone(old_owner.batch)
        self.assertEqual(self.list_ordered_runs(self.job_id), [])
        return old_owner

    # Guards against orders that both the previous and the new owner send after
    # a commit whose answer was lost.
    def test_unanswered_commit_before_a_hand_over_is_ordered_once(self):
        old_owner = self.commit_bindings_without_answer()
        self.world.take_over()
        new_owner = self.world.owners[-1]
        for _ in range(20):
            old_owner.act()
            new_owner.act()
            self.world.advance(STEP_S)
            self.world.check()
        self.assertTrue(old_owner.is_fenced_off)
        # The first run was bound and never ordered, so it counts as expired.
        expected_runs = [(index, 2) for index in range(_TASKS)]
        self.assertEqual(self.list_started_runs(self.job_id), expected_runs)
        self.assertEqual(self.list_ordered_runs(self.job_id), expected_runs)
        tokens = {order.fencing_token for order in self.start_orders}
        self.assertEqual(tokens, {new_owner.state.epoch})
        self.world.run_to_completion()
        self.assertEqual(self.world.status(self.job_id), JobStatus.COMPLETE)

    # Guards against a batch that its owner commits a second time because it
    # got no answer.
    def test_unanswered_commit_is_found_and_not_repeated(self):
        old_owner = self.commit_bindings_without_answer()
        self.run_owner(_RUN_S, old_owner)
        self.assertFalse(old_owner.is_fenced_off)
        expected_runs = [(index, 1) for index in range(_TASKS)]
        self.assertEqual(self.list_ordered_runs(self.job_id), expected_runs)

    # Guards against a commit that takes effect although it reaches the store
    # only after a new owner has taken over.
    def test_commit_that_arrives_after_the_hand_over_changes_nothing(self):
        self.job_id = self.world.submit(build_single_step(count=_TASKS))
        old_owner = self.world.owners[-1]
        old_owner.act()
        self.world.store_delay_probability = 1.0
        old_owner.act()
        self.world.store_delay_probability = 0
        self.world.take_over()
        version = self.world.store.version
        self.world.store.apply_delayed()
        self.assertEqual(self.world.store.version, version)


class PausedOwnerTest(RecordedShardTestCase):
    """A paused owner acts after its ownership has ended."""

    def replace_owner_with_orders_due(self):
        """Replace an owner that has committed and not yet sent its orders."""
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))
        old_owner = self.world.owners[-1]
        orders = []
        while not orders:
            old_owner._poll_changes()
            old_owner._renew_leases()
            _run_decision_round(old_owner)
            old_owner._commit()
            orders = list(old_owner.state.orders)
        self.world.advance(_DELAY_S)
        self.world.take_over()
        self.run_owner(_RUN_S)
        return old_owner, orders

    # Guards against a start order that a paused owner sends six seconds late,
    # after a new owner has taken over.
    def test_late_start_order_is_refused_by_its_fencing_token(self):
        old_owner, orders = self.replace_owner_with_orders_due()
        before = self.list_started_runs(self.job_id)
        old_owner._send_orders()
        order = next(order for order in orders if isinstance(order, StartRun))
        outcome = self.outcome_by_order[order.key, order.fencing_token]
        self.assertIsInstance(outcome, OrderRefused)
        self.assertEqual(outcome.refusal, Refusal.FENCED)
        self.assertEqual(self.list_started_runs(self.job_id), before)
        self.world.check()

    # Guards against a late start order that is carried out by a worker which
    # does not know the new owner's fencing token yet.
    def test_late_start_order_is_refused_by_its_deadline(self):
        old_owner, orders = self.replace_owner_with_orders_due()
        order = next(order for order in orders if isinstance(order, StartRun))
        worker = self.world.workers.worker_by_id[order.worker_id]
        worker.highest_fencing_token = order.fencing_token
        outcome = worker.start(order)
        self.assertIsInstance(outcome, OrderRefused)
        self.assertEqual(outcome.refusal, Refusal.DEADLINE_PASSED)

    # Guards against commits and starts by a replaced owner that resumes.
    def test_replaced_owner_that_resumes_commits_and_starts_nothing(self):
        old_owner, _ = self.replace_owner_with_orders_due()
        self.world.submit(build_single_step(count=_TASKS))
        version = self.world.store.version
        order_count = len(self.start_orders)
        for _ in range(5):
            old_owner.act()
        self.assertTrue(old_owner.is_fenced_off)
        self.assertEqual(self.world.store.version, version)
        later_orders = self.start_orders[order_count:]
        for order in later_orders:
            outcome = self.outcome_by_order[order.key, order.fencing_token]
            self.assertIsInstance(outcome, OrderRefused)
        self.world.check()


def _run_decision_round(owner):
    SchedulingRounds().decide(
        owner.state,
        owner.world.now,
        wall_time=owner.world.now,
        is_binding_allowed=True,
    )

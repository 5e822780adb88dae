"""What went wrong for operators of similar systems, tried on a shard."""

from ragwortfield.ports.task_worker import (
    OrderRefused,
    Refusal,
    StartRun,
)
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.tests.shard_world import build_single_step
from ragwortfield.tests.recorded_shard_case import STEP_S, StoryTest

#: Silence of the first story, in seconds: as long as the lease.
_SILENCE_S = 4
#: Delay of the third story's order, in seconds.
_DELAY_S = 6
#: Time in which a job of one short task certainly runs, in seconds.
_WORK_S = 1
_TASKS = 3


class SilentWorkerTest(StoryTest):
    """Story 1: a machine that was only silent or slow to report."""

    def setUp(self):
        super().setUp()
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act(_WORK_S)
        self.worker = self.running()[0]

    def assert_adopted(self):
        self.assertEqual(self.running(), [self.worker])
        self.assertEqual(self.started(self.job_id), [(0, 1)])
        task = self.world.owners[-1].state.find_step((self.job_id, 0, 0))
        self.assertEqual(task.tasks[0].failures, 0)
        self.assertEqual(self.world.status(self.job_id), JobStatus.ACTIVE)

    # Guards against a second run of work whose machine reports again before
    # its lease is over.
    def test_run_of_a_silent_worker_is_adopted_when_it_reports_again(self):
        self.worker.is_reachable = False
        # The last extension was sent at most one look before the silence.
        self.act(_SILENCE_S - 2 * STEP_S)
        self.assertEqual(self.started(self.job_id), [(0, 1)])
        self.worker.is_reachable = True
        self.act(_SILENCE_S + _WORK_S)
        self.assert_adopted()

    # Guards against work that is given up because reports arrive late, each
    # of them a second after it was asked for.
    def test_run_of_a_slow_worker_is_kept(self):
        for _ in range(_SILENCE_S):
            self.worker.is_reachable = False
            self.act(1)
            self.worker.is_reachable = True
            self.act(STEP_S)
        self.act(_SILENCE_S + _WORK_S)
        self.assert_adopted()

    # Guards against work that a new owner gives up because its worker is
    # silent while the shard changes hands.
    def test_run_of_a_silent_worker_is_adopted_by_a_new_owner(self):
        self.worker.is_reachable = False
        self.act(_WORK_S)
        self.world.take_over()
        self.act(_SILENCE_S - _WORK_S - 2 * STEP_S)
        self.assertEqual(self.started(self.job_id), [(0, 1)])
        self.worker.is_reachable = True
        self.act(_SILENCE_S + _WORK_S)
        self.assert_adopted()

    # Guards against a run that is begun elsewhere while a lease may last
    # which nobody renews: the worker's own clock ends it first.
    def test_second_run_begins_only_after_the_lease_has_ended_the_first(self):
        self.worker.is_reachable = False
        self.act(2 * _DELAY_S)
        self.assertEqual(self.started(self.job_id), [(0, 1), (0, 2)])
        self.worker.is_reachable = True
        self.act(_WORK_S)
        self.assertEqual(self.started(self.job_id), [(0, 1), (0, 2)])


class HandOverTest(StoryTest):
    """Story 2: both sides of a hand-over act for a moment."""

    def bind_without_answer(self):
        """Commit bindings whose answer is lost; no order goes out yet."""
        self.job_id = self.world.submit(build_single_step(count=_TASKS))
        old = self.world.owners[-1]
        self.world.store_loss_probability = 1.0
        old.act()
        old.act()
        self.world.store_loss_probability = 0
        self.assertIsNotNone(old.batch)
        self.assertEqual(self.orders(self.job_id), [])
        return old

    # Guards against orders that the owner before and the new one both send
    # after a commit whose answer was lost.
    def test_unanswered_commit_before_a_hand_over_is_ordered_once(self):
        old = self.bind_without_answer()
        self.world.take_over()
        new = self.world.owners[-1]
        for _ in range(20):
            old.act()
            new.act()
            self.world.advance(STEP_S)
            self.world.check()
        self.assertTrue(old.is_fenced_off)
        # The first run was bound and never ordered, so it counts as lapsed.
        wanted = [(index, 2) for index in range(_TASKS)]
        self.assertEqual(self.started(self.job_id), wanted)
        self.assertEqual(self.orders(self.job_id), wanted)
        tokens = {order.fencing_token for order in self.starts}
        self.assertEqual(tokens, {new.state.epoch})
        self.world.run_to_completion()
        self.assertEqual(self.world.status(self.job_id), JobStatus.COMPLETE)

    # Guards against a batch that is written a second time by the owner that
    # got no answer.
    def test_unanswered_commit_is_found_and_not_made_again(self):
        old = self.bind_without_answer()
        self.act(_WORK_S, old)
        self.assertFalse(old.is_fenced_off)
        wanted = [(index, 1) for index in range(_TASKS)]
        self.assertEqual(self.orders(self.job_id), wanted)

    # Guards against a commit that reaches the store only after the shard has
    # changed hands.
    def test_commit_that_arrives_after_the_hand_over_changes_nothing(self):
        self.job_id = self.world.submit(build_single_step(count=_TASKS))
        old = self.world.owners[-1]
        old.act()
        self.world.store_delay_probability = 1.0
        old.act()
        self.world.store_delay_probability = 0
        self.world.take_over()
        version = self.world.store.version
        self.world.store.apply_delayed()
        self.assertEqual(self.world.store.version, version)


class PausedOwnerTest(StoryTest):
    """Story 3: a process acts on a permission that has run out."""

    def replace(self):
        """A commit and its orders are due as the owner is replaced."""
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))
        old = self.world.owners[-1]
        orders = []
        while not orders:
            old._poll_changes()
            old._renew_leases()
            _decide(old)
            old._commit()
            orders = list(old.state.orders)
        self.world.advance(_DELAY_S)
        self.world.take_over()
        self.act(_WORK_S)
        return old, orders

    # Guards against a start order that a process held back for six seconds
    # and sends after a change of owner.
    def test_late_start_order_is_refused_by_the_fence(self):
        old, orders = self.replace()
        before = self.started(self.job_id)
        old._send_orders()
        order = next(one for one in orders if isinstance(one, StartRun))
        outcome = self.outcome_by_start[order.key, order.fencing_token]
        self.assertIsInstance(outcome, OrderRefused)
        self.assertEqual(outcome.refusal, Refusal.FENCED)
        self.assertEqual(self.started(self.job_id), before)
        self.world.check()

    # Guards against a start order that is carried out at a worker which has
    # not heard of the new owner yet.
    def test_late_start_order_is_refused_by_its_deadline(self):
        old, orders = self.replace()
        order = next(one for one in orders if isinstance(one, StartRun))
        worker = self.world.workers.worker_by_id[order.worker_id]
        worker.highest_fencing_token = order.fencing_token
        outcome = worker.start(order)
        self.assertIsInstance(outcome, OrderRefused)
        self.assertEqual(outcome.refusal, Refusal.DEADLINE_PASSED)

    # Guards against commits and further orders of a replaced process.
    def test_replaced_owner_that_wakes_commits_and_starts_nothing(self):
        old, _ = self.replace()
        self.world.submit(build_single_step(count=_TASKS))
        version = self.world.store.version
        sent = len(self.starts)
        for _ in range(5):
            old.act()
        self.assertTrue(old.is_fenced_off)
        self.assertEqual(self.world.store.version, version)
        done = self.starts[sent:]
        for order in done:
            outcome = self.outcome_by_start[order.key, order.fencing_token]
            self.assertIsInstance(outcome, OrderRefused)
        self.world.check()


def _decide(owner):
    SchedulingRounds().decide(
        owner.state,
        owner.world.now,
        wall_time=owner.world.now,
        is_binding_allowed=True,
    )

"""States of an owner in which a task that could run stays without a run."""

import unittest
from dataclasses import replace
from unittest import mock

from ragwortfield.ports.approvals import Approved
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    EndKind,
    OrderDone,
    OrderRefused,
    Refusal,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling import approvals, dispatch, worker_reports
from ragwortfield.scheduling.catalogue import ApprovalTerms, Catalogue
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.task_lifecycle import record_run_end
from ragwortfield.scheduling.worker_health import quarantine_worker
from ragwortfield.tests.liveness_world import (
    CARRIED_OUT_LATE,
    NOT_SENT,
    ONLY_CLAIMED,
    UNANSWERED,
    FaultyTaskWorkerControl,
    LivenessWorld,
)
from ragwortfield.tests.placement_world import (
    NOW,
    STRONG_INTERFERENCE,
    PlacementWorld,
)
from ragwortfield.tests.shard_world import CATALOGUE, build_single_step

#: Longest time without a run that users accept, in seconds.
_MAX_RERUN_S = 6
#: Longest time without a run of a task whose worker falls silent, in seconds.
_MAX_OUTAGE_S = 9
#: Longest time until the lease of a silent worker is certainly over, in
#: seconds.
_MAX_LEASE_WAIT_S = 17
#: Time after which a late order is carried out, in seconds; the users'
#: documentation allows seconds.
_LATENESS_S = 4
_ROUND_S = 0.1
#: Length of a run that fails by the fault of its task, in seconds.
_FAILING_RUN_S = 0.5
#: Age of a worker's process at its restart, in seconds.
_AGE_S = 60


def _build_lasting_step(**options):
    return build_single_step(is_long_lived=True, **options)


class _StuckTaskTest(unittest.TestCase):
    def set_up_world(self, workers, **options):
        self.world = LivenessWorld(workers=workers, **options)
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.act(1)

    def act(self, seconds):
        for _ in range(round(seconds / _ROUND_S)):
            self.owner.act()
            self.world.advance(_ROUND_S)
        self.world.check()

    def get_worker(self, worker_id):
        return self.world.workers.worker_by_id[worker_id]

    def list_workers(self):
        return list(self.world.workers.worker_by_id.values())

    def set_fault_of_all(self, **options):
        for worker in self.list_workers():
            self.world.set_fault(worker.worker_id, **options)

    def measure_until_running(self, job_id, count):
        """Return the seconds until so many tasks of a job run, at most 60."""
        waited_s = 0
        while waited_s < 60 and len(self.list_run_workers(job_id)) < count:
            self.act(_ROUND_S)
            waited_s += _ROUND_S
        return waited_s

    def find_task(self, job_id, index=0):
        return self.owner.state.find_step((job_id, 0, 0)).tasks[index]

    def list_run_workers(self, job_id):
        """List the workers on which tasks of a job run."""
        return [
            worker.worker_id
            for worker in self.world.workers.worker_by_id.values()
            for key in worker.run_by_key
            if key.job_id == job_id
        ]


class FormerProcessTest(_StuckTaskTest):
    """An answer of a former process arrives after its worker's restart."""

    def setUp(self):
        self.set_up_world(workers=3)
        self.act(_AGE_S)

    def restart_during_start(self):
        """
        Restart a worker after it has carried out a start, before its answer.

        :returns: job, start order, and the answer of the former process.
        """
        job_id = self.world.submit(_build_lasting_step())
        self.owner._send_orders = list
        self.owner.act()
        del self.owner._send_orders
        order = self.owner.state.orders.pop()
        self.assertIsInstance(order, StartRun)
        worker = self.get_worker(order.worker_id)
        answer = worker.start(order)
        worker.restart()
        self.world.advance(_ROUND_S)
        self.owner.act()
        return job_id, order, answer

    def answer_late(self, order, answer):
        worker_reports.apply_start_outcome(
            self.owner.state, order, answer, self.world.now
        )

    def test_task_runs_again_when_the_answer_is_lost(self):
        job_id, order, _ = self.restart_during_start()
        self.answer_late(
            order, Unavailable(reason='lost', is_effect_possible=True)
        )
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against a task without a run: the owner takes the run of a former
    # process for one of the present process.
    def test_start_of_a_former_process_confirms_no_run(self):
        job_id, order, answer = self.restart_during_start()
        self.assertIsInstance(answer, OrderDone)
        self.answer_late(order, answer)
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against a task without a run: a refusal that a former process sent
    # counts as a reading of the present process's clock.
    def test_old_refusal_of_a_former_process_holds_no_task(self):
        job_id, order, answer = self.restart_during_start()
        refused = OrderRefused(
            refusal=Refusal.SUPERSEDED, clock_ms=answer.clock_ms
        )
        self.answer_late(order, refused)
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against a task without a run: the answer of a former process to a
    # stop counts as a reading of the present process's clock.
    def test_stop_of_a_former_process_holds_no_task(self):
        job_id, order, answer = self.restart_during_start()
        self.answer_late(
            order, Unavailable(reason='lost', is_effect_possible=True)
        )
        worker_reports.apply_stop_outcome(
            self.owner.state, _build_stop(order), answer, self.world.now
        )
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against two runs of one task: a reading of a former process's clock
    # makes the owner take a lease for expired that the worker still holds.
    def test_clock_of_a_former_process_shortens_no_lease(self):
        job_id, order, answer = self.restart_during_start()
        self.answer_late(order, answer)
        self.world.cancel(job_id)
        other_id = self.world.submit(
            _build_lasting_step(required_label='rack-0')
        )
        self.act(1)
        worker = self.get_worker(order.worker_id)
        self.assertEqual(self.list_run_workers(other_id), [order.worker_id])
        worker.is_reachable = False
        self.act(16)
        self.assertEqual(len(self.list_run_workers(other_id)), 1)


class RestartTest(_StuckTaskTest):
    """A worker restarts under its id."""

    # Guards against a task without a run: a start had no answer before a
    # restart, and the new process answers no stops.
    def test_task_of_a_worker_that_answers_no_stops_runs_elsewhere(self):
        self.set_up_world(workers=3)
        job_id = self.world.submit(_build_lasting_step())
        self.set_fault_of_all(start=UNANSWERED, stop=UNANSWERED)
        self.act(0.2)
        worker_id = self.find_task(job_id).worker_id
        self.set_fault_of_all()
        self.world.set_fault(worker_id, stop=UNANSWERED)
        self.get_worker(worker_id).restart()
        self.act(_MAX_LEASE_WAIT_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against two runs of one task: a start that was sent to a restarted
    # worker with a deadline by the clock of its former process is carried out
    # seconds later, and stops have no answer.
    def test_late_start_on_a_restarted_worker_is_awaited(self):
        self.set_up_world(workers=3)
        self.act(_AGE_S)
        for worker in self.list_workers():
            worker.restart()
        self.set_fault_of_all(start=CARRIED_OUT_LATE, stop=UNANSWERED)
        job_id = self.world.submit(_build_lasting_step())
        self.owner.act(is_renewing_leases=False)
        worker_id = self.find_task(job_id).worker_id
        self.set_fault_of_all()
        self.world.set_fault(worker_id, stop=UNANSWERED)
        self.act(2 * _MAX_RERUN_S)
        self.world.workers.apply_delayed()
        self.assertEqual(self.list_run_workers(job_id), [worker_id])
        self.act(_MAX_RERUN_S)
        self.assertEqual(self.list_run_workers(job_id), [worker_id])

    # Guards against two runs of one task: as above, and the worker does not
    # answer polls either, so that its lease is taken for expired.
    def test_late_start_on_a_silent_restarted_worker_is_awaited(self):
        self.set_up_world(workers=3)
        self.act(_AGE_S)
        for worker in self.list_workers():
            worker.restart()
        self.set_fault_of_all(start=CARRIED_OUT_LATE)
        job_id = self.world.submit(_build_lasting_step())
        self.owner.act(is_renewing_leases=False)
        worker_id = self.find_task(job_id).worker_id
        self.set_fault_of_all()
        self.get_worker(worker_id).is_reachable = False
        self.act(_LATENESS_S)
        self.world.workers.apply_delayed()
        self.assertEqual(self.list_run_workers(job_id), [worker_id])
        self.act(_MAX_LEASE_WAIT_S)
        self.assertEqual(len(self.list_run_workers(job_id)), 1)

    # Guards against fillers that wait although all workers are idle: after a
    # restart, no readings are evaluated until the clock has caught up.
    def test_fillers_start_after_a_restart_as_before(self):
        self.set_up_world(workers=2)
        self.act(_AGE_S)
        for worker in self.owner.state.worker_by_id.values():
            worker.filler_speed_limit = 0
        for worker in self.list_workers():
            worker.restart()
        job_id = self.world.submit(
            build_single_step(is_filler=True, image='filler')
        )
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against a task without a run: the pause of a worker is due to its
    # former process.
    def test_worker_in_quarantine_is_used_after_its_restart(self):
        self.set_up_world(workers=1)
        worker = self.owner.state.worker_by_id['w0']
        worker.quarantine_count = 2
        quarantine_worker(worker, self.world.now, 'failures')
        self.get_worker('w0').restart()
        job_id = self.world.submit(_build_lasting_step())
        self.assertLess(self.measure_until_running(job_id, 1), _MAX_RERUN_S)


class ProcessBoundStartTest(_StuckTaskTest):
    """
    A start is carried out late at a worker that falls silent.

    As with the client of the platform's workers, a start only reaches the
    process for whose clock its deadline was computed.
    """

    def setUp(self):
        self.set_up_world(workers=3, is_process_checked=True)
        self.act(_AGE_S)

    def send_late_start(self):
        """
        Order a start that is carried out late, at a worker that falls silent.

        :returns: job and worker.
        """
        sent_orders = []
        start = self.world.workers.start

        def start_late(order):
            sent_orders.append(order)
            return start(order)

        self.set_fault_of_all(start=CARRIED_OUT_LATE)
        job_id = self.world.submit(_build_lasting_step())
        with mock.patch.object(
            FaultyTaskWorkerControl, 'start', side_effect=start_late
        ):
            self.owner.act(is_renewing_leases=False)
        self.set_fault_of_all()
        (order,) = sent_orders
        worker = self.get_worker(order.worker_id)
        worker.is_reachable = False
        return job_id, worker

    # Guards against two runs of one task: a start for a worker's former process
    # is carried out seconds later by the present one, which judges the deadline
    # by a clock that is behind. Also guards against a task that waits for it.
    def test_start_for_a_former_process_is_never_carried_out(self):
        for worker in self.list_workers():
            worker.restart()
        job_id, worker = self.send_late_start()
        self.assertEqual(self.world.workers.delayed_orders, [])
        self.act(_LATENESS_S)
        self.world.workers.apply_delayed()
        self.act(_MAX_RERUN_S - _LATENESS_S)
        self.assertEqual(len(self.list_run_workers(job_id)), 1)
        self.assertEqual(worker.run_by_key, {})
        self.act(_MAX_LEASE_WAIT_S)
        self.assertEqual(len(self.list_run_workers(job_id)), 1)

    # Guards against two runs of one task: the worker carries the start out at
    # any moment until its deadline, or refuses it after that.
    def test_late_start_on_a_silent_worker_is_awaited(self):
        for lateness_s in (0.5, 1, 1.5, 1.9, 2.5, _LATENESS_S, 8):
            with self.subTest(lateness_s=lateness_s):
                self.setUp()
                job_id, _ = self.send_late_start()
                self.act(lateness_s)
                self.world.workers.apply_delayed()
                self.act(_MAX_OUTAGE_S)
                self.assertEqual(len(self.list_run_workers(job_id)), 1)
                self.act(_MAX_LEASE_WAIT_S)
                self.assertEqual(len(self.list_run_workers(job_id)), 1)

    # Guards against the same where the worker restarts after it has received
    # the start, which is lost with its process.
    def test_late_start_is_lost_with_the_process_that_received_it(self):
        job_id, worker = self.send_late_start()
        self.act(1)
        worker.restart()
        self.act(_LATENESS_S)
        self.world.workers.apply_delayed()
        self.assertEqual(worker.run_by_key, {})
        self.act(_MAX_OUTAGE_S - _LATENESS_S)
        self.assertEqual(len(self.list_run_workers(job_id)), 1)


class FailingTaskTest(_StuckTaskTest):
    """Tasks fail, by their own fault or that of a worker."""

    # Guards against a task without a run: two tasks that fail by their own
    # fault quarantine all workers.
    def test_failed_lasting_tasks_run_again_on_sound_workers(self):
        self.set_up_world(workers=3)
        job_id = self.world.submit(_build_lasting_step(count=2))
        longest_s = 0
        for _ in range(12):
            self.act(2)
            self.world.end_runs(EndKind.FAILED, count=9)
            waited_s = self.measure_until_running(job_id, count=2)
            longest_s = max(longest_s, waited_s)
        self.assertLess(longest_s, _MAX_RERUN_S)

    # Guards against a gang that never runs: each attempt includes a worker on
    # which its member fails at once.
    def test_gang_avoids_a_worker_on_which_its_member_failed(self):
        self.set_up_world(workers=4)
        self.world.set_fault('w0', run_s=0)
        job_id = self.world.submit(
            _build_lasting_step(count=2, per_worker_limit=1, is_gang=True)
        )
        self.act(2 * _MAX_RERUN_S)
        self.assertEqual(len(self.list_run_workers(job_id)), 2)

    # Guards against a task without a lasting run: it has failed once on each
    # worker, and the best of them fails it each time.
    def test_task_that_failed_everywhere_leaves_the_worker_that_fails(self):
        self.set_up_world(workers=3)
        self.world.set_fault('w0', run_s=0)
        job_id = self.world.submit(_build_lasting_step())
        for _ in range(3):
            self.act(1)
            self.world.end_runs(EndKind.FAILED)
        self.act(_MAX_RERUN_S)
        self.assertNotIn(self.list_run_workers(job_id), ([], ['w0']))

    # Guards against a task without a lasting run: one worker ends each run, not
    # as failed, and gets the task again at once.
    def test_task_leaves_a_worker_that_ends_each_run(self):
        for kind in EndKind:
            if kind in {EndKind.DONE, EndKind.FAILED}:
                continue
            with self.subTest(kind=kind):
                self.set_up_world(workers=3)
                self.world.set_fault('w0', run_s=0, end_kind=kind)
                job_id = self.world.submit(_build_lasting_step())
                self.act(_MAX_RERUN_S)
                self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against a job that fails although it could be done: its task uses
    # up all attempts on one worker while the other is full for a moment.
    def test_task_keeps_an_attempt_for_the_worker_that_is_full(self):
        self.set_up_world(workers=2)
        self.world.set_fault('w0', start=Refusal.UNHEALTHY)
        self.world.submit(build_single_step(cpu=4))
        self.act(6)
        self.world.set_fault('w0', run_s=0)
        job_id = self.world.submit(build_single_step())
        self.act(2)
        self.world.end_runs(EndKind.DONE)
        self.act(2)
        self.assertEqual(self.list_run_workers(job_id), ['w1'])

    # Guards against the same where the runs last long enough to be reported.
    def test_task_keeps_an_attempt_after_a_run_that_was_reported(self):
        self.set_up_world(workers=2)
        self.world.set_fault('w0', start=Refusal.UNHEALTHY)
        self.world.submit(build_single_step(cpu=4))
        self.act(6)
        self.world.set_fault('w0', run_s=0.5)
        job_id = self.world.submit(build_single_step())
        self.act(2.5)
        self.world.end_runs(EndKind.DONE)
        self.act(2)
        self.assertEqual(self.list_run_workers(job_id), ['w1'])

    # Guards against a task without a run beside free room: tasks of a more
    # urgent queue that fail everywhere put all workers in doubt, and each of
    # these gives its only start to one of them.
    def test_tasks_that_fail_everywhere_leave_room_for_others(self):
        self.set_up_world(workers=4)
        job_id = ''
        for second in range(20):
            self.submit_failing_jobs(2)
            if second == 10:
                job_id = self.world.submit(_build_lasting_step())
                self.owner.act()
                job = self.owner.state.job_by_id[job_id]
                job.queue = replace(job.queue, priority=1)
            self.act_with_failing_jobs(1)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against a gang that never runs beside free room: each worker in
    # doubt has a task at any moment that has just started.
    def test_tasks_that_fail_everywhere_leave_room_for_a_gang(self):
        self.set_up_world(workers=4)
        for _ in range(5):
            self.submit_failing_jobs(4)
            self.act_with_failing_jobs(1)
        job_id = self.world.submit(
            _build_lasting_step(count=4, per_worker_limit=1, is_gang=True)
        )
        for _ in range(2 * _MAX_RERUN_S):
            self.submit_failing_jobs(4)
            self.act_with_failing_jobs(1)
        self.assertEqual(len(self.list_run_workers(job_id)), 4)

    def submit_failing_jobs(self, count):
        for _ in range(count):
            self.world.submit(build_single_step())

    def act_with_failing_jobs(self, seconds):
        """Act; tasks that are not to last fail after half a second."""
        for _ in range(round(seconds / _ROUND_S)):
            self.act(_ROUND_S)
            for worker in self.list_workers():
                self.fail_due_runs(worker)

    def fail_due_runs(self, worker):
        for key, run in tuple(worker.run_by_key.items()):
            is_due = self.world.now - run.started_at >= _FAILING_RUN_S
            if is_due and not self.world.is_task_long_lived(key):
                worker.end(key, EndKind.FAILED)


class ClaimedStartTest(_StuckTaskTest):
    # Guards against a task without a run: a worker answers each start as done
    # and never lists the run.
    def test_task_leaves_a_worker_that_only_claims_starts(self):
        self.set_up_world(workers=3)
        self.world.set_fault('w0', start=ONLY_CLAIMED)
        job_id = self.world.submit(_build_lasting_step())
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])

    # Guards against a task without a run: several workers answer no starts, and
    # the task tries one after the other.
    def test_task_meets_few_of_the_workers_that_answer_no_starts(self):
        self.set_up_world(workers=6)
        for number in range(4):
            self.world.set_fault(f'w{number}', start=UNANSWERED)
        job_id = self.world.submit(_build_lasting_step())
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])


class BackoffTest(_StuckTaskTest):
    # Guards against a task without a run: two workers without room take turns,
    # since each rests for less time than the next attempt takes.
    def test_workers_without_room_do_not_take_turns(self):
        for fault in (
            Refusal.INSUFFICIENT_CAPACITY,
            Refusal.UNHEALTHY,
            NOT_SENT,
        ):
            with self.subTest(fault=fault):
                self.set_up_world(workers=6)
                self.world.commit_s = 0.3
                for number in range(4):
                    self.world.set_fault(f'w{number}', start=fault)
                job_id = self.world.submit(_build_lasting_step())
                self.act(_MAX_RERUN_S)
                self.assertNotEqual(self.list_run_workers(job_id), [])


class FenceTest(_StuckTaskTest):
    # Guards against tasks without a run: one worker refuses the calls of each
    # owner as those of a replaced one, and each owner leaves the shard.
    def test_worker_that_claims_a_newer_owner_stops_no_owner(self):
        self.set_up_world(workers=3)
        self.world.set_fault('w0', poll=Refusal.FENCED, start=Refusal.FENCED)
        job_id = self.world.submit(_build_lasting_step())
        for _ in range(round(_MAX_RERUN_S / _ROUND_S)):
            if self.owner.is_fenced_off:
                self.world.take_over()
                self.owner = self.world.owners[-1]
            self.act(_ROUND_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])


class ConfigurationTest(_StuckTaskTest):
    # Guards against a task without a run after a change of owner: its queue has
    # moved to another pool and is in the configuration no more.
    def test_dropped_queue_keeps_its_last_pool_for_the_next_owner(self):
        self.set_up_world(workers=3)
        job_id = self.world.submit(_build_lasting_step())
        self.act(1)
        for worker in self.list_workers():
            worker.pool = 'other'
        queue = replace(CATALOGUE.queue_by_name['queue'], pool='other')
        self.world.catalogue = Catalogue(
            version=2, queue_by_name={'queue': queue}
        )
        self.act(1)
        self.world.catalogue = Catalogue(version=3)
        self.act(1)
        self.world.end_runs(EndKind.FAILED)
        self.act(1)
        self.assertNotEqual(self.list_run_workers(job_id), [])
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.act(1)
        self.world.end_runs(EndKind.FAILED)
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])


class ClockTest(_StuckTaskTest):
    # Guards against a task without a run: the clock of a worker's reports
    # stands still, and its runs are gone.
    def test_task_leaves_a_worker_whose_clock_stands_still(self):
        self.set_up_world(workers=3)
        job_id = self.world.submit(_build_lasting_step())
        self.act(1)
        worker_id = self.find_task(job_id).worker_id
        self.world.set_fault(worker_id, is_clock_frozen=True)
        self.owner.act()
        self.get_worker(worker_id).lose_runs()
        self.act(_MAX_LEASE_WAIT_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])


class FillerTest(unittest.TestCase):
    # Guards against a filler that never runs: all workers have a serving task
    # that it is believed to slow, so that it could only run at a lower pace.
    def test_filler_that_waits_long_starts_at_a_lower_pace(self):
        world = PlacementWorld(workers=4)
        world.set_interference_weights({('web', 'crunch'): STRONG_INTERFERENCE})
        world.add_serving_task(
            'web', load=0.5, cpu=8, count=4, per_worker_limit=1
        )
        (task,) = world.add_job('f', image='crunch', is_filler=True)
        for second in range(60):
            for worker in world.state.worker_by_id.values():
                worker.reported_at = NOW + second
                worker.record_change()
            dispatch.dispatch(world.state, NOW + second)
        self.assertNotEqual(task.worker_id, '')


class SlowCommitTest(_StuckTaskTest):
    # Guards against a long wait: a worker goes silent before a binding is
    # durable, and is then sent the start order all the same.
    def test_start_is_not_sent_to_a_worker_known_as_silent(self):
        self.set_up_world(workers=3)
        self.world.commit_s = 2
        job_id = self.world.submit(_build_lasting_step())
        self.act(0.2)
        task = self.find_task(job_id)
        self.assertEqual(task.stage, RunStage.UNCOMMITTED)
        self.get_worker(task.worker_id).is_reachable = False
        self.act(_MAX_RERUN_S)
        self.assertNotEqual(self.list_run_workers(job_id), [])


class ApprovalTest(unittest.TestCase):
    """The only approved worker has room, but cannot or should not be used."""

    def setUp(self):
        self.world = PlacementWorld(workers=12)
        queue_by_name = self.world.state.catalogue.queue_by_name
        queue_by_name['queue'] = replace(
            queue_by_name['queue'],
            advice=ApprovalTerms(decide_s=0.05, each_s=0.01, valid_s=60),
        )

    def approve_first_worker(self):
        """Approve one of the workers asked about, and dispatch."""
        question = approvals.build_approval_request(self.world.state, NOW)
        worker_id = question.worker_ids[0]
        answer = Approved(ticket_by_worker={worker_id: 'ticket'})
        approvals.apply_approval(self.world.state, question, answer, NOW)
        self.world.dispatch()
        return worker_id

    # Guards against a task without a run until a ticket expires: the approved
    # worker already has as many tasks of the step as it may have.
    def test_approved_worker_at_its_limit_is_not_sufficient(self):
        tasks = self.world.add_job('job', count=2, per_worker_limit=1)
        self.approve_first_worker()
        self.assertEqual(tasks[1].worker_id, '')
        question = approvals.build_approval_request(self.world.state, NOW)
        self.assertIsNotNone(question)

    # Guards against a task without a lasting run until a ticket expires: it
    # fails on the only approved worker, and no others are asked about.
    def test_approved_worker_on_which_a_task_failed_is_not_sufficient(self):
        (task,) = self.world.add_job('job', is_long_lived=True)
        worker_id = self.approve_first_worker()
        self.assertEqual(task.worker_id, worker_id)
        record_run_end(self.world.state, task, EndKind.FAILED, '', NOW)
        question = approvals.build_approval_request(self.world.state, NOW)
        self.assertIsNotNone(question)


def _build_stop(order):
    return StopRun(
        worker_id=order.worker_id,
        address=order.address,
        key=order.key,
        run=order.run,
        fencing_token=order.fencing_token,
        born_ms=order.born_ms,
    )

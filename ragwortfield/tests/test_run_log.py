"""Lines of the log about runs: starts, ends, acknowledgements, closed jobs."""

import unittest
from dataclasses import replace

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseOrder,
    LeaseReport,
    ListedEnd,
    OrderRefused,
    Refusal,
)
from ragwortfield.scheduling import worker_reports
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.run_log import (
    log_acknowledgement,
    record_start_sent,
)
from ragwortfield.scheduling.task_lifecycle import release_task
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

_ROUND_S = 0.1
_ORDER = LeaseOrder(
    worker_id='w0',
    address='',
    fencing_token=1,
    acknowledged_end=3,
    deadline_ms=5000,
    wait_ms=0,
)
_REPORT = LeaseReport(clock_ms=1000, born_ms=1, runs=(), ends=())


def _select(lines, event):
    return [line for line in lines if f'event={event} ' in line]


class _RunLogTestCase(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=1, is_process_checked=True)
        self.world.take_over()
        self.act(0.5)
        self.state = self.world.owners[-1].state
        self.worker = self.world.workers.worker_by_id['w0']

    def act(self, seconds):
        """Let all owners act; return the log."""
        with capture_log_lines() as lines:
            for _ in range(round(seconds / _ROUND_S)):
                for owner in self.world.owners:
                    owner.act()
                self.world.advance(_ROUND_S)
        return lines


class EndLogTest(_RunLogTestCase):
    def setUp(self):
        super().setUp()
        self.job_id = self.world.submit(build_single_step(count=2))
        self.act(0.5)
        self.key = TaskKey(self.job_id, 0, 0, 0)

    def report_end(self, key, run, kind=EndKind.DONE):
        """Let the worker list an end of a run; return the line about it."""
        worker = self.state.worker_by_id['w0']
        end = ListedEnd(
            number=worker.processed_end + 1,
            key=key,
            run=run,
            kind=kind,
            checkpoint='',
        )
        report = LeaseReport(
            clock_ms=int(worker.report_clock_ms),
            born_ms=worker.born_ms,
            runs=(),
            ends=(end,),
        )
        with capture_log_lines() as lines:
            worker_reports.apply_report(
                self.state, worker, report, self.world.now
            )
        return _select(lines, 'run_ended')[0]

    # Guards against a log from which it cannot be told whether an end was
    # applied, or why it was ignored.
    def test_end_is_logged_with_its_effect_and_the_recorded_state(self):
        line = self.report_end(self.key, 1)
        self.assertIn(f'task={self.job_id}.0.0.0 run=1 worker=w0', line)
        self.assertIn('number=1 epoch=1 kind=done is_latest=True', line)
        self.assertIn('effect=applied recorded=bound:1@w0', line)
        line = self.report_end(self.key, 1)
        self.assertIn('effect=none recorded=done:1@', line)
        line = self.report_end(self.key._replace(index=1), 7)
        self.assertIn('is_latest=False effect=none', line)
        self.assertIn('recorded=bound:1@w0', line)
        line = self.report_end(TaskKey('unknown', 0, 0, 0), 1)
        self.assertIn('effect=none recorded=no_job', line)

    # Guards against a log in which an end has no way to its commit: its number
    # on the worker leads to the acknowledgement, and that to the commit.
    def test_commit_of_an_end_is_known_when_it_is_acknowledged(self):
        before = self.world.owners[-1].committer.number
        self.world.end_runs(EndKind.DONE, count=1)
        self.act(0.5)
        worker = self.state.worker_by_id['w0']
        self.assertEqual(worker.acknowledged_end, 1)
        self.assertEqual(worker.acknowledged_commit, before + 1)
        self.assertEqual(self.state.committed_number, before + 1)

    # Guards against an end that seems to need a commit though it left nothing
    # to write.
    def test_end_without_an_effect_counts_as_durable_at_the_latest_commit(self):
        self.report_end(TaskKey('unknown', 0, 0, 0), 1)
        number = self.state.committed_number
        self.act(0.2)
        worker = self.state.worker_by_id['w0']
        self.assertEqual(worker.acknowledged_commit, number)


class AcknowledgementLogTest(_RunLogTestCase):
    def log(self, answer, order=_ORDER):
        worker = self.state.worker_by_id['w0']
        worker.acknowledged_commit = 9
        with capture_log_lines() as lines:
            log_acknowledgement(self.state, worker, order, answer)
        return lines

    # Guards against a log that does not tell who has acknowledged an end, under
    # which epoch and on which commit.
    def test_acknowledgement_is_logged_once(self):
        (line,) = self.log(_REPORT)
        self.assertIn('event=ends_acknowledged worker=w0 epoch=1', line)
        self.assertIn('first=1 last=3 commit=9 is_answered=True', line)
        self.state.worker_by_id['w0'].acknowledged_to_worker = 3
        self.assertEqual(self.log(_REPORT), [])

    # Guards against an acknowledgement that is carried out without a trace.
    def test_acknowledgement_that_may_have_arrived_is_logged_once(self):
        failure = Unavailable(reason='silent', is_effect_possible=True)
        (line,) = self.log(failure)
        self.assertIn('is_answered=False', line)
        self.assertEqual(self.log(failure), [])

    def test_poll_without_acknowledgement_is_not_logged(self):
        for answer, order in (
            (_REPORT, replace(_ORDER, acknowledged_end=0)),
            (replace(_REPORT, is_order_applied=False), _ORDER),
            (Unavailable(reason='refused'), _ORDER),
            (OrderRefused(refusal=Refusal.FENCED, clock_ms=1), _ORDER),
        ):
            self.assertEqual(self.log(answer, order), [])


class StartLogTest(_RunLogTestCase):
    def setUp(self):
        super().setUp()
        self.job_id = self.world.submit(build_single_step())
        self.owner = self.world.owners[-1]
        self.orders = []
        self.send_orders = self.owner._send_orders
        self.owner._send_orders = lambda: None
        self.act(0.5)
        self.order = self.state.orders[0]
        self.task = self.state.find_task(self.order.key)

    def send_after(self, pause_s):
        """Send the start order after a pause; return the log."""
        self.world.advance(pause_s)
        record_start_sent(self.state, self.order, self.world.now)
        with capture_log_lines() as lines:
            self.send_orders()
        return lines

    # Guards against a log that does not show a pause of the process between the
    # commit of a binding and the sending of its start order.
    def test_started_run_shows_commit_and_age_of_its_binding(self):
        (line,) = _select(self.send_after(1.5), 'run_started')
        self.assertIn('epoch=1 commit=1', line)
        # The binding is half a second older than the pause.
        self.assertIn('bound_s=2 queued_s=2 answer_s=0', line)

    def test_start_without_an_answer_shows_the_same(self):
        self.owner.unreachable_worker_ids = {'w0'}
        (line,) = _select(self.send_after(0), 'start_unanswered')
        self.assertIn('epoch=1 commit=1 bound_s=', line)

    def test_refused_start_shows_the_same(self):
        (line,) = _select(self.send_after(3), 'start_refused')
        self.assertIn('reason=late epoch=1 commit=1 bound_s=', line)

    # Guards against a start for a cancelled job that leaves no trace.
    def test_start_for_a_cancelled_job_is_logged_once(self):
        self.world.cancel(self.job_id)
        (cancelled,) = _select(self.act(0.2), 'job_cancelled')
        self.assertIn('epoch=1 bound=1', cancelled)
        lines = self.send_after(0.5)
        (line,) = _select(lines, 'run_of_closed_job')
        self.assertIn(f'task={self.job_id}.0.0.0 run=1 worker=w0', line)
        self.assertIn('epoch=1 commit=1 is_start=True', line)
        self.assertIn('is_cancelled=True closed_s=0.', line)


class LateRunLogTest(_RunLogTestCase):
    # Guards against a run that goes on for a cancelled job without a trace.
    def test_run_that_outlives_its_job_is_logged_once(self):
        job_id = self.world.submit(build_single_step())
        self.act(0.5)
        # Stop orders are lost.
        self.world.owners[-1]._send_orders = lambda: None
        self.world.cancel(job_id)
        self.assertEqual(_select(self.act(1), 'run_of_closed_job'), [])
        (line,) = _select(self.act(5), 'run_of_closed_job')
        self.assertIn('is_start=False is_cancelled=True closed_s=2', line)

    # Guards against a run of another owner's record that is stopped without a
    # trace of why it is not expected.
    def test_unexpected_run_shows_the_recorded_state(self):
        job_id = self.world.submit(build_single_step())
        self.act(0.5)
        task = self.state.find_task(TaskKey(job_id, 0, 0, 0))
        task.run = 2
        (line,) = _select(self.act(_ROUND_S), 'stray_run')
        self.assertIn('epoch=1 recorded=bound:2@w0 released=""', line)

    # Guards against a run that goes on after its release without a trace of the
    # reason for the release.
    def test_unexpected_run_shows_why_it_was_released(self):
        job_id = self.world.submit(build_single_step())
        self.act(0.5)
        task = self.state.find_task(TaskKey(job_id, 0, 0, 0))
        release_task(self.state, task, 'lease over')
        (line,) = _select(self.act(_ROUND_S), 'stray_run')
        self.assertIn('recorded=waiting:1@ released="lease over"', line)

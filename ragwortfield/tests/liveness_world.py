"""Simulated shard whose workers misbehave in lasting ways."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseOrder,
    LeaseReport,
    ListedRun,
    OrderDone,
    OrderRefused,
    PaceRun,
    Refusal,
    StartRun,
)
from ragwortfield.scheduling import (
    commits,
    shard_updates,
    worker_reports,
)
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.tests.shard_world import ShardOwner, ShardWorld
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Ways in which a worker can treat an order, besides refusing it.
UNANSWERED = 'unanswered'
NOT_SENT = 'not sent'
ANSWER_LOST = 'answer lost'
CARRIED_OUT_LATE = 'carried out late'
ONLY_CLAIMED = 'only claimed'
#: Ways in which a worker can treat a poll, besides leaving it unanswered.
EVERY_SECOND = 'every second'
#: What can befall a worker once it has carried out a start order.
RESTART_BEFORE_ANSWER = 'restart before the answer'
RESTART_AFTER_ANSWER = 'restart after the answer'
SILENCE_BEFORE_ANSWER = 'silence before the answer'
SILENCE_AFTER_ANSWER = 'silence after the answer'
#: Time for which a member of a gang waits for the others, in seconds.
_GANG_WAIT_S: Seconds = 2

_LOST = Unavailable(reason='no response', is_effect_possible=True)


@dataclass(kw_only=True, slots=True)
class WorkerFault:
    """
    Lasting faults of one worker.

    :param start: how it treats start orders: one of the constants of this
        module or a refusal; empty for carrying them out.
    :param stop: the same for stop orders.
    :param poll: the same for polls.
    :param answer_delay_s: time from carrying out an order to the arrival of
        its answer, in seconds.
    :param end_delay_s: time for which it lists an ended run as running, in
        seconds.
    :param run_s: length after which its runs end by themselves, in seconds;
        ``None`` if they do not.
    :param end_kind: how these runs end.
    :param is_clock_frozen: whether its reports show the same clock reading.
    """

    start: str = ''
    stop: str = ''
    poll: str = ''
    answer_delay_s: Seconds = 0
    end_delay_s: Seconds = 0
    run_s: Seconds | None = None
    end_kind: EndKind = EndKind.FAILED
    is_clock_frozen: bool = False

    def is_sound(self) -> bool:
        """Return whether this is no fault at all."""
        return self == WorkerFault()


@dataclass(kw_only=True, slots=True)
class FaultyTaskWorkerControl(FakeTaskWorkerControl):
    """
    Calls to fake workers, some of which have lasting faults.

    :param clock: time of the test, in seconds.
    :param fault_by_worker: faults of the workers that have any.
    :param event_by_worker: what befalls a worker at its next start order, once:
        one of the constants of this module.
    """

    clock: Callable[[], MonotonicTime]
    fault_by_worker: dict[WorkerId, WorkerFault] = field(default_factory=dict)
    poll_count_by_worker: dict[WorkerId, int] = field(default_factory=dict)
    frozen_clock_by_worker: dict[WorkerId, int] = field(default_factory=dict)
    event_by_worker: dict[WorkerId, str] = field(default_factory=dict)

    def get_fault(self, worker_id: WorkerId) -> WorkerFault:
        """Return the faults of a worker."""
        return self.fault_by_worker.get(worker_id) or WorkerFault()

    def renew_lease(self, order: LeaseOrder):
        """Extend a lease; the fault decides about the report."""
        fault = self.get_fault(order.worker_id)
        count = self.poll_count_by_worker.get(order.worker_id, 0)
        self.poll_count_by_worker[order.worker_id] = count + 1
        if fault.poll == EVERY_SECOND:
            is_answered = count % 2 == 0
            return self._poll(order, fault) if is_answered else _LOST
        return self._treat(order, fault.poll, self._poll, fault)

    def start(self, order: StartRun):
        """Start a run; the fault decides about effect and answer."""
        worker = self.worker_by_id.get(order.worker_id)
        if not self._is_for_process(worker, order.born_ms):
            return Unavailable(reason='another process answers')
        fault = self.get_fault(order.worker_id)
        outcome = self._treat(order, fault.start, self._carry_out, 'start')
        event = self.event_by_worker.pop(order.worker_id, '')
        if not event or worker is None:
            return outcome
        if event in {RESTART_BEFORE_ANSWER, RESTART_AFTER_ANSWER}:
            worker.restart()
        else:
            worker.is_reachable = False
        is_answered = event in {RESTART_AFTER_ANSWER, SILENCE_AFTER_ANSWER}
        return outcome if is_answered else _LOST

    def stop(self, order):
        """Stop a run; the fault decides about effect and answer."""
        fault = self.get_fault(order.worker_id)
        return self._treat(order, fault.stop, self._carry_out, 'stop')

    def pace(self, order: PaceRun):
        """Set the pace of a run."""
        return self._carry_out(order, 'pace')

    def end_faulty_runs(self) -> None:
        """End the runs that are over because of a fault of their worker."""
        for worker in self.worker_by_id.values():
            fault = self.get_fault(worker.worker_id)
            if fault.run_s is None:
                continue
            for key, run in tuple(worker.run_by_key.items()):
                if self.clock() - run.started_at >= fault.run_s:
                    worker.end(key, fault.end_kind)

    def _treat(self, order, treatment: str, carry_out, *details):
        worker = self.worker_by_id.get(order.worker_id)
        if not treatment or worker is None or not worker.is_reachable:
            return carry_out(order, *details)
        if treatment == ANSWER_LOST:
            carry_out(order, *details)
            return _LOST
        if treatment == CARRIED_OUT_LATE:
            self.delayed_orders.append((order, worker.born_at))
            return _LOST
        if treatment == UNANSWERED:
            return _LOST
        if treatment == NOT_SENT:
            return Unavailable(reason='connection refused')
        if treatment == ONLY_CLAIMED:
            return OrderDone(clock_ms=int(worker.now_ms()))
        return OrderRefused(
            refusal=Refusal(treatment), clock_ms=int(worker.now_ms())
        )

    def _poll(self, order: LeaseOrder, fault: WorkerFault):
        # ``super()`` without arguments fails in a data class with slots.
        report = FakeTaskWorkerControl.renew_lease(self, order)
        if not isinstance(report, LeaseReport):
            return report
        worker = self.worker_by_id[order.worker_id]
        if fault.end_delay_s:
            report = self._hide_ends(report, worker, fault.end_delay_s)
        if fault.is_clock_frozen:
            clock_ms = self.frozen_clock_by_worker.setdefault(
                order.worker_id, report.clock_ms
            )
            report = replace(report, clock_ms=clock_ms)
        return report

    def _hide_ends(
        self, report: LeaseReport, worker: FakeTaskWorker, delay_s: Seconds
    ) -> LeaseReport:
        """Return the report with its latest ends still as runs."""
        hidden = [
            end for end in report.ends if self._get_age(worker, end) < delay_s
        ]
        runs = [
            ListedRun(key=end.key, run=end.run, checkpoint='', percent=100)
            for end in hidden
            if end.key not in worker.run_by_key
        ]
        return replace(
            report,
            runs=(*report.runs, *runs),
            ends=tuple(end for end in report.ends if end not in hidden),
        )

    def _get_age(self, worker: FakeTaskWorker, end) -> Seconds:
        ended_at = max(
            at
            for change, at, key, run, _ in worker.history
            if change == 'end' and (key, run) == (end.key, end.run)
        )
        return self.clock() - ended_at


class LivenessOwner(ShardOwner):
    """
    Owner whose commits take time and whose orders are answered late.

    Once a worker has refused a call because of a newer owner, it does nothing.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.commit_due_at = 0
        self.answers = []

    def act(self, is_renewing_leases=True):
        """Apply the answers that have arrived, then run one round."""
        if not self.is_fenced_off:
            self._apply_answers()
        super().act(is_renewing_leases)

    def _apply_answers(self):
        answers = self.answers
        self.answers = []
        for due_at, order, outcome in answers:
            if due_at > self.world.now:
                self.answers.append((due_at, order, outcome))
            else:
                self._apply_answer(order, outcome)

    def _apply_answer(self, order, outcome):
        if isinstance(order, StartRun):
            worker_reports.apply_start_outcome(
                self.state, order, outcome, self.world.now
            )
        else:
            worker_reports.apply_stop_outcome(
                self.state, order, outcome, self.world.now
            )

    def _update_workers(self):
        for worker in self.world.workers.worker_by_id.values():
            if worker.worker_id in self.world.unlisted_ids:
                shard_updates.mark_worker_unlisted(self.state, worker.worker_id)
                continue
            is_draining = worker.worker_id in self.world.draining_ids
            listed = replace(worker.listing(), is_draining=is_draining)
            known = self.state.worker_by_id.get(worker.worker_id)
            if known is None or not known.is_listed or known.listed != listed:
                shard_updates.update_worker(self.state, listed)

    def _commit(self):
        if self.state.is_newer_owner_claimed:
            return
        if self.batch is None:
            number = self.committer.number + 1
            self.batch = commits.collect_batch(self.state, number)
            self.commit_due_at = self.world.now + self.world.commit_s
        if self.batch is None:
            commits.acknowledge_if_clean(self.state)
        elif self.world.now >= self.commit_due_at:
            super()._commit()

    def _send_orders(self):
        orders = self.state.orders
        self.state.orders = []
        if self.state.is_newer_owner_claimed:
            return
        for order in orders:
            if isinstance(order, PaceRun):
                continue
            fault = self.world.workers.get_fault(order.worker_id)
            if isinstance(order, StartRun):
                outcome = self.world.workers.start(order)
            else:
                outcome = self.world.workers.stop(order)
            if fault.answer_delay_s:
                due_at = self.world.now + fault.answer_delay_s
                self.answers.append((due_at, order, outcome))
            else:
                self._apply_answer(order, outcome)


class LivenessWorld(ShardWorld):
    """Simulated shard with lasting faults of workers and slow commits."""

    owner_type = LivenessOwner

    def __init__(self, *, is_process_checked=False, **options):
        super().__init__(is_process_checked=is_process_checked, **options)
        self.commit_s = 0
        self.draining_ids = set()
        self._complete_gang_runs = set()
        self.workers = FaultyTaskWorkerControl(
            clock=lambda: self.now,
            worker_by_id=self.workers.worker_by_id,
            is_order_answer_lost=self.workers.is_order_answer_lost,
            is_order_delayed=self.workers.is_order_delayed,
            is_process_checked=is_process_checked,
        )

    def set_fault(self, worker_id, **options):
        """Give a worker lasting faults; no options make it sound again."""
        self.workers.fault_by_worker[worker_id] = WorkerFault(**options)

    def advance(self, seconds):
        super().advance(seconds)
        self.workers.end_faulty_runs()
        self._end_broken_gangs()

    def _end_broken_gangs(self):
        """End members after another one has ended, or that wait too long."""
        worker_by_key = {
            key: worker
            for worker in self.workers.worker_by_id.values()
            for key in worker.run_by_key
        }
        members_by_run = {}
        for key, worker in worker_by_key.items():
            step = self.accepted_job_by_id[key.job_id].steps[key.step]
            if step.is_gang:
                run = worker.run_by_key[key]
                members_by_run.setdefault((key[:3], run.run), []).append(key)
        for gang, keys in members_by_run.items():
            step = self.accepted_job_by_id[gang[0][0]].steps[gang[0][2]]
            if len(keys) == step.count:
                self._complete_gang_runs.add(gang)
                continue
            is_broken = gang in self._complete_gang_runs
            for key in keys:
                worker = worker_by_key[key]
                waited_s = self.now - worker.run_by_key[key].started_at
                if is_broken:
                    worker.end(key, EndKind.GANG_BROKEN)
                elif waited_s >= _GANG_WAIT_S:
                    worker.end(key, EndKind.GANG_INCOMPLETE)

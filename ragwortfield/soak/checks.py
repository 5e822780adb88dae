"""Checks of what callers and workers see, while a soak runs and at its end."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import gevent

from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.soak.callers import CallerPool, Exchange
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.jobs import SubmittedJob
from ragwortfield.soak.run_history import (
    RecordedRun,
    list_overlaps,
    list_runs,
    list_starts_after_end,
)
from ragwortfield.soak.timeline import Timeline
from ragwortfield.types import JobId, MonotonicTime, Seconds

#: Time from the last byte of a request until the end of its connection that
#: does not count as cutting it, in seconds.
_SLACK_S: Seconds = 0.2
#: Time after which an accepted job is known to all instances, in seconds.
_VISIBLE_S: Seconds = 3
#: Time without a run of a lasting task that is too long, in seconds: six
#: seconds after its last run and three more.
_MAX_AWAY_S: Seconds = 9
#: Undisturbed time before that, in seconds.
_CALM_S: Seconds = 7
#: Time without a run of a job that is too long after the traffic, in seconds.
_MAX_IDLE_S: Seconds = 3
#: Attempts of a task after which its job fails.
_ATTEMPTS = 2
#: Time from the answer to a cancellation in which tasks of the job may still
#: be started, and time that a stop takes, in seconds.
_CANCEL_S: Seconds = 3
_STOP_S: Seconds = 0.4
_WATCH_INTERVAL_S: Seconds = 0.1
#: Number of requests for the state of a job at the end.
_FINAL_REQUESTS = 3
_FINAL_PAUSE_S: Seconds = 1
_STATUS_GONE = 410


@dataclass(kw_only=True, slots=True)
class Checker:
    """
    Checks the promises to callers and records what breaks them.

    :param counts: number of exchanges by method and outcome.
    :param longest_cut_s: longest time from the last byte of a request to the
        end of its connection without a response, in seconds.
    :param longest_away_s: longest time without a run of a lasting task, in
        seconds, disturbed or not.
    """

    deployment: SoakDeployment
    timeline: Timeline
    counts: Counter[str] = field(default_factory=Counter)
    longest_cut_s: Seconds = 0
    longest_away_s: Seconds = 0
    _away_since: dict[TaskKey, MonotonicTime] = field(default_factory=dict)
    _idle_since: dict[JobId, MonotonicTime] = field(default_factory=dict)
    _reported: set[object] = field(default_factory=set)

    def check_exchange(self, exchange: Exchange, job: SubmittedJob) -> None:
        """
        Check a response, or the end of a connection without one.

        :param exchange: the request and its outcome.
        :param job: the job that it is for.
        """
        outcome = exchange.status or exchange.error.partition('(')[0]
        self.counts[f'{exchange.method} {outcome}'] += 1
        if exchange.is_cut:
            self._check_cut(exchange)
        elif exchange.status is None and exchange.sent_at is not None:
            self._check_timeout(exchange)
        if exchange.method != 'GET' or job.cancelled_at is not None:
            return
        if exchange.status == _STATUS_GONE:
            self._check_gone(exchange, job)
        self._check_state(exchange.state(), job)

    def watch(self) -> None:
        """Check in an endless loop what runs on the workers."""
        while True:
            gevent.sleep(_WATCH_INTERVAL_S)
            runs = self._count_runs()
            for key, count in runs.items():
                if count > 1:
                    self._report(key, 'TWICE: two runs seen', task=key)
            self._check_lasting_tasks(runs)
            self._check_cancelled_jobs(runs)
            self._update_idle_jobs(runs)

    def check_end(self, callers: CallerPool) -> None:
        """
        Check after the traffic that all accepted jobs are known and done.

        :param callers: callers that request the states.
        """
        requests = [
            gevent.spawn(self._check_final_state, callers, job)
            for job in self.deployment.jobs.list_accepted()
        ]
        gevent.joinall(requests)
        self._check_runs()

    def _check_cut(self, exchange: Exchange) -> None:
        sent_at = exchange.sent_at or 0
        cut_s = exchange.ended_at - sent_at
        is_undisturbed = self.timeline.is_calm(
            sent_at, exchange.ended_at, is_planned_allowed=True
        )
        self.timeline.record(
            'cut',
            instance=exchange.instance,
            request=f'{exchange.method} {exchange.path}',
            after_s=cut_s,
            is_undisturbed=is_undisturbed,
            error=exchange.error,
        )
        if cut_s <= _SLACK_S or not is_undisturbed:
            return
        self.longest_cut_s = max(self.longest_cut_s, cut_s)
        is_planned = self.timeline.is_stopping(
            exchange.instance, sent_at, exchange.ended_at
        )
        self.timeline.violate(
            'LOST: answer cut',
            instance=exchange.instance,
            request=f'{exchange.method} {exchange.path}',
            after_s=round(cut_s, 3),
            is_around_planned_work=is_planned,
        )

    def _check_timeout(self, exchange: Exchange) -> None:
        if self.timeline.is_calm(exchange.started_at, exchange.ended_at):
            self.timeline.violate(
                'LOST: no answer before the deadline',
                instance=exchange.instance,
                request=f'{exchange.method} {exchange.path}',
            )

    def _check_gone(self, exchange: Exchange, job: SubmittedJob) -> None:
        if job.accepted_at is None:
            return
        known_s = exchange.started_at - job.accepted_at
        is_in_touch = self.timeline.is_in_touch(
            exchange.instance, exchange.started_at, exchange.ended_at
        )
        if known_s > _VISIBLE_S and is_in_touch:
            self.timeline.violate(
                'LOST: 410 for an accepted job',
                job=job.job_id,
                instance=exchange.instance,
                after_s=round(known_s, 3),
            )

    def _check_state(self, state: str, job: SubmittedJob) -> None:
        if state == 'cancelled':
            self._report(job.job_id, 'LOST: cancelled', job=job.job_id)
        elif state == 'failed':
            failures = self._count_ends(job.job_id, EndKind.FAILED)
            if max(failures.values(), default=0) < _ATTEMPTS:
                self._report(
                    job.job_id, 'LOST: failed', job=job.job_id, ends=failures
                )
        elif state == 'complete':
            self._check_complete(job)

    def _check_complete(self, job: SubmittedJob) -> None:
        done = self._count_ends(job.job_id, EndKind.DONE)
        if len(done) < sum(job.counts):
            self._report(
                job.job_id, 'MIXED: complete', job=job.job_id, done=done
            )

    def _check_lasting_tasks(self, runs: Counter[TaskKey]) -> None:
        keys = [
            TaskKey(job.job_id, 0, 0, index)
            for job in self.deployment.jobs.list_accepted()
            if job.is_lasting
            for index in range(job.counts[0])
        ]
        now = time.monotonic()
        for key in keys:
            if runs[key]:
                self._away_since.pop(key, None)
                continue
            away_s = now - self._away_since.setdefault(key, now)
            self.longest_away_s = max(self.longest_away_s, away_s)
            if away_s > _MAX_AWAY_S:
                self._check_away(key, away_s)

    def _check_away(self, key: TaskKey, away_s: Seconds) -> None:
        now = time.monotonic()
        if self.timeline.is_calm(now - _CALM_S, now):
            self._report(
                key,
                'LOST: a lasting task does not run',
                task=key,
                away_s=round(away_s, 3),
            )

    def _update_idle_jobs(self, runs: Counter[TaskKey]) -> None:
        now = time.monotonic()
        running = {key.job_id for key in runs}
        for job in self.deployment.jobs.list_accepted():
            if job.job_id in running:
                self._idle_since.pop(job.job_id, None)
            else:
                self._idle_since.setdefault(job.job_id, now)

    def _check_final_state(
        self, callers: CallerPool, job: SubmittedJob
    ) -> None:
        for caller in range(_FINAL_REQUESTS):
            exchange = callers.request(caller, 'GET', job)
            state = exchange.state()
            if state or exchange.status == _STATUS_GONE:
                break
            gevent.sleep(_FINAL_PAUSE_S)
        if not state:
            self.timeline.violate(
                'LOST: not known at the end',
                job=job.job_id,
                status=exchange.status,
                error=exchange.error,
            )
        is_open = state in {'pending', 'active'}
        idle_s = time.monotonic() - self._idle_since.get(
            job.job_id, time.monotonic()
        )
        if is_open and idle_s > _MAX_IDLE_S:
            self._report(
                job.job_id,
                'LOST: a job can run at the end and does not',
                job=job.job_id,
                idle_s=round(idle_s, 3),
            )

    def _check_runs(self) -> None:
        """Check the runs of the workers."""
        hosts = self.deployment.workers
        for earlier, later in list_overlaps(hosts):
            self._report(
                earlier.key,
                'TWICE: two runs at a time',
                task=earlier.key,
                runs=self._describe(earlier, later),
            )
        for done, later in list_starts_after_end(hosts):
            self._report(
                done.key,
                'TWICE: start after its end',
                task=done.key,
                runs=self._describe(done, later),
            )
        runs_by_key = list_runs(hosts)
        job_by_id = self.deployment.jobs.job_by_id
        for key, runs in runs_by_key.items():
            for run in runs:
                self._check_asked(run, job_by_id[key.job_id])

    def _describe(self, *runs: RecordedRun) -> list[str]:
        return [run.text(self.timeline.started_at) for run in runs]

    def _check_asked(self, run: RecordedRun, job: SubmittedJob) -> None:
        answered_at = job.cancel_answered_at
        if answered_at is None or run.started_at < answered_at + _CANCEL_S:
            return
        starter = self.deployment.find_caller(run.caller_host)
        # Orders that were held up do not count, nor those of an instance that
        # may not have heard of the cancellation.
        if all(
            self.timeline.is_in_touch(name, run.started_at, run.started_at)
            for name in (starter, run.worker_id, '')
        ):
            self.timeline.violate(
                'UNASKED: start after a cancellation',
                task=run.key,
                runs=self._describe(run),
                starter=starter,
                after_s=round(run.started_at - answered_at, 3),
            )

    def _check_cancelled_jobs(self, runs: Counter[TaskKey]) -> None:
        calm_since = self.timeline.calm_since()
        running = {key.job_id for key in runs}
        for job in self.deployment.jobs.list_cancelled():
            since = max(calm_since, job.cancel_answered_at or 0)
            bound_s = _CANCEL_S + _STOP_S + self.deployment.site.stop_s
            late_s = time.monotonic() - since - bound_s
            if job.job_id in running and late_s > _WATCH_INTERVAL_S:
                self._report(
                    job.job_id,
                    'UNASKED: a cancelled job runs on',
                    job=job.job_id,
                )

    def _list_history(self) -> list[tuple[str, float, TaskKey, int, str]]:
        return [
            entry
            for host in self.deployment.workers
            for entry in host.worker.history
        ]

    def _count_runs(self) -> Counter[TaskKey]:
        for host in self.deployment.workers:
            host.worker.expire_lease()
        return Counter(
            key
            for host in self.deployment.workers
            for key in host.worker.run_by_key
        )

    def _count_ends(self, job_id: JobId, kind: EndKind) -> dict[TaskKey, int]:
        counts: dict[TaskKey, int] = defaultdict(int)
        for record_kind, _, key, _, detail in self._list_history():
            is_end = record_kind == 'end' and detail == kind
            if is_end and key.job_id == job_id:
                counts[key] += 1
        return counts

    def _report(self, subject: object, rule: str, **fields: object) -> None:
        """Record a violation once for each subject."""
        if (subject, rule) not in self._reported:
            self._reported.add((subject, rule))
            self.timeline.violate(rule, **fields)

"""Runner of an owned shard: change feeds, leases, commits and orders."""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ragwortfield.engine.admission_publisher import AdmissionPublisher
from ragwortfield.engine.cancellation_expiry import CancellationExpiry
from ragwortfield.engine.change_feed import ChangeFeed, read_all_rows
from ragwortfield.engine.evacuation_view import EvacuationView
from ragwortfield.engine.inbox_follower import InboxFollower
from ragwortfield.engine.learned_model_store import LearnedModelStore
from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.engine.ownership_keeper import (
    OwnershipKeeper,
    count_suspension,
)
from ragwortfield.engine.row_names import (
    COMMON_PARTITION,
    PROGRESS_TABLE,
    inbox_table,
    job_row,
    partition_of_shard,
)
from ragwortfield.engine.shard_committer import CommitResult, ShardCommitter
from ragwortfield.engine.shard_loading import (
    WorkerRegistry,
    apply_job_row,
    apply_worker_rows,
    load_rows,
)
from ragwortfield.engine.supervisor import Supervisor
from ragwortfield.engine.wall_clock import (
    WallClock,
    get_total_suspended_s,
)
from ragwortfield.engine.worker_loops import WorkerLoops
from ragwortfield.log import event
from ragwortfield.ports.approvals import ApprovalService
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowPage, RowStore, StoredRow, read_row
from ragwortfield.ports.task_worker import TaskWorkerControl
from ragwortfield.scheduling import (
    approvals,
    commits,
    evacuated_zones,
    shard_updates,
)
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.commits import CommitBatch
from ragwortfield.scheduling.delayed_starts import list_delayed_starts
from ragwortfield.scheduling.duration_learning import predict_all_durations
from ragwortfield.scheduling.fence_refusals import (
    ignore_refusals,
    take_claiming_workers,
)
from ragwortfield.scheduling.job_outcomes import log_outcomes
from ragwortfield.scheduling.job_state import JobRuntimeState
from ragwortfield.scheduling.job_status import (
    JobStatus,
    count_waiting_jobs,
    get_job_status,
    summarise_shard,
)
from ragwortfield.scheduling.lease_log import describe_held_leases
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import format_task_key
from ragwortfield.types import JobId, MonotonicTime, Seconds

#: Longest time between two scheduling rounds, in seconds.
_ROUND_INTERVAL_S: Seconds = 0.05
#: Shortest pause after a scheduling round, in seconds; updates that arrive in
#: the meantime are handled by one round.
_MIN_PAUSE_S: Seconds = 0.02
#: Pause after a scheduling round as a multiple of its duration, so that calls
#: to workers and peers get their share of the process.
_PAUSE_FACTOR = 3
#: Longest pause after a scheduling round, in seconds.
_MAX_PAUSE_S: Seconds = 0.25
#: Longest time for which a shard is loaded without a pause, in seconds.
_LOAD_SLICE_S: Seconds = 0.01
#: Pause between two such slices, in seconds.
_LOAD_PAUSE_S: Seconds = 0.001
#: Interval of the check for pending commits in ``quiesce``, in seconds.
_QUIESCE_POLL_S: Seconds = 0.01
#: Pause before a failed call is retried, in seconds.
_RETRY_S: Seconds = 0.1
#: Time without a scheduling round after which the runner checks that it still
#: owns the shard, in seconds; the process may have been paused.
_OWNERSHIP_CHECK_S: Seconds = 0.7
#: Interval of the removal of expired cancellations, in seconds.
_CANCELLATION_EXPIRY_INTERVAL_S: Seconds = 10
#: Interval of the log line with the state of the shard, in seconds.
_STATE_LOG_INTERVAL_S: Seconds = 2
#: Interval of the log lines with the outcomes of its jobs, in seconds.
_OUTCOME_LOG_INTERVAL_S: Seconds = 4


class ShardRunner:
    """
    Runs a shard that this instance owns.

    :param shard: number of the shard.
    :param state: empty state of the shard, with epoch and catalogue.
    :param committer: committer of this owner.
    :param store: the platform's store.
    :param workers: calls to workers.
    :param approval_service: service that approves workers for some queues.
    :param registry: where workers register and how their entries are read.
    :param wall_clock: source of wall time.
    """

    def __init__(
        self,
        *,
        shard: int,
        state: ShardState,
        committer: ShardCommitter,
        store: RowStore,
        workers: TaskWorkerControl,
        approval_service: ApprovalService,
        registry: WorkerRegistry,
        wall_clock: WallClock,
    ) -> None:
        """Create; ``start`` loads the shard and runs it."""
        self.shard = shard
        self.state = state
        self.is_ready = False
        self.was_loaded = False
        self.is_stopped = False
        self.failing_since: MonotonicTime = 0
        self.statistics = OwnerStatistics()
        self._committer = committer
        self._store = store
        self._approval_service = approval_service
        self._registry = registry
        self._wall_clock = wall_clock
        self._evacuations: EvacuationView | None = None
        self._keeper = OwnershipKeeper(
            shard=shard,
            state=state,
            store=store,
            owner_version=committer.owner_version,
            on_replaced=lambda: self.stop('replaced by another owner'),
        )
        self._model_store = LearnedModelStore(
            shard=shard,
            store=store,
            owner_version=committer.owner_version,
        )
        self._admission = AdmissionPublisher(
            shard=shard,
            state=state,
            store=store,
            owner_version=committer.owner_version,
        )
        self._round_due = Event()
        self._commit_due = Event()
        self._is_committing = False
        self._is_quiescing = False
        self._greenlets: list[gevent.Greenlet] = []
        self._worker_loops = WorkerLoops(
            state=state,
            workers=workers,
            statistics=self.statistics,
            on_update=self._round_due.set,
        )
        self._inbox = InboxFollower(
            shard=shard,
            state=state,
            store=store,
            wall_clock=wall_clock,
            on_update=self._round_due.set,
            on_outcome=self._record_store_outcome,
        )
        self._rounds = SchedulingRounds()
        self._last_round_at: MonotonicTime = 0
        self._store_answered_at: MonotonicTime = 0
        self._state_logged_at: MonotonicTime = 0
        self._outcomes_logged_at: MonotonicTime = 0
        self._last_suspended_s = get_total_suspended_s()

    def start(self) -> None:
        """Load the shard and run it in the background."""
        self._spawn(self._load_and_run)

    def stop(self, reason: str) -> None:
        """
        Stop at once, without notifying the store, peers or workers.

        :param reason: reason for the log.
        """
        if self.is_stopped:
            return
        self.is_stopped = True
        self.is_ready = False
        self._worker_loops.stop()
        gevent.killall(
            [
                greenlet
                for greenlet in self._greenlets
                if greenlet is not gevent.getcurrent()
            ],
            block=False,
        )
        now = time.monotonic()
        event(
            'shard_left',
            shard=self.shard,
            epoch=self.state.epoch,
            reason=reason,
            owned_s=now - self.state.owner_since,
            store_age_s=now - self._store_answered_at
            if self._store_answered_at
            else -1,
            **describe_held_leases(self.state, now),
        )

    def quiesce(self, timeout_s: Seconds) -> None:
        """
        Assign no further tasks and wait until all changes are committed.

        :param timeout_s: longest wait in seconds.
        """
        self._is_quiescing = True
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and not self.is_stopped:
            if (
                not self._is_committing
                and not self.state.dirty_occurrence_by_key
            ):
                return
            gevent.sleep(_QUIESCE_POLL_S)

    def owner_version(self) -> int:
        """
        Return the version of the owner row that commits expect.

        :returns: the version.
        """
        return self._committer.owner_version

    def status(self, job_id: JobId) -> JobStatus | None | Unavailable:
        """
        Return the status of a job.

        :param job_id: the job.
        :returns: its status; ``None`` if there is no such job.
        """
        if not self.is_ready:
            return Unavailable(reason=f'shard {self.shard} is being loaded')
        job = self.state.job_by_id.get(job_id)
        if job is None:
            # The change feed may lag behind the store.
            job = self._fetch_job(job_id)
        if job is None or isinstance(job, Unavailable):
            return job
        return get_job_status(job)

    def cancel(self, job_id: JobId) -> None:
        """
        Apply a cancellation that is stored already.

        :param job_id: the job.
        """
        shard_updates.cancel_job(self.state, job_id, time.monotonic())
        self._round_due.set()

    def update_catalogue(self, catalogue: Catalogue) -> None:
        """
        Apply a newer configuration.

        :param catalogue: the newer catalogue.
        """
        shard_updates.update_catalogue(self.state, catalogue)
        self._round_due.set()

    def update_evacuations(self, evacuations: EvacuationView) -> None:
        """
        Apply a change of the evacuated zones, or newer knowledge of them.

        :param evacuations: the zones; the runner follows them from now on.
        """
        self._evacuations = evacuations
        former_zones = self.state.evacuated_zones
        self._refresh_evacuations()
        if self.state.held_starts or (
            self.state.evacuated_zones != former_zones
        ):
            self._round_due.set()

    def count_waiting(self, queue: str) -> int | Unavailable:
        """
        Count the jobs of a queue of which no task has started.

        :param queue: name of the queue.
        :returns: number of jobs in this shard.
        """
        if not self.is_ready:
            return Unavailable(reason=f'shard {self.shard} is being loaded')
        return count_waiting_jobs(self.state, queue)

    def store_outage_s(self) -> Seconds:
        """
        Return how long no call to the store has succeeded.

        :returns: seconds; 0 if the latest call succeeded.
        """
        if not self.failing_since:
            return 0
        return time.monotonic() - self.failing_since

    def _spawn(self, work: Callable[..., None], *arguments: object) -> None:
        greenlet = gevent.spawn(work, *arguments)
        greenlet.link_exception(self._stop_after_failure)
        self._greenlets.append(greenlet)

    def _spawn_supervised_loops(self) -> None:
        """Start the loops that continue after an unexpected error."""
        work_by_name = {
            'confirm_ownership': self._keeper.run,
            'request_approvals': self._request_approvals,
            'expire_cancellations': self._expire_cancellations,
            'publish_admission': self._admission.run,
        }
        for name, work in work_by_name.items():
            self._spawn(Supervisor(name=name, shard=self.shard).run, work)

    def _stop_after_failure(self, failed: gevent.Greenlet) -> None:
        # An owner with a failed greenlet would keep the shard without running
        # it. After the stop it denies ownership, so a successor takes over.
        event(
            'owner_failed',
            shard=self.shard,
            epoch=self.state.epoch,
            error=f'{type(failed.exception).__name__}: {failed.exception}',
        )
        self.stop(f'unexpected error: {type(failed.exception).__name__}')

    def _load_and_run(self) -> None:
        started_at = time.monotonic()
        self.state.inbox_known_until = started_at
        inbox = self._read_all_rows(
            inbox_table(self.shard), partition_of_shard(self.shard)
        )
        progress = self._read_all_rows(
            PROGRESS_TABLE, partition_of_shard(self.shard)
        )
        listing = self._read_all_rows(self._registry.table, COMMON_PARTITION)
        self._keeper.load(self._record_store_outcome)
        now = time.monotonic()
        apply_worker_rows(
            self.state,
            listing.rows,
            is_complete=True,
            registry=self._registry,
        )
        steps = load_rows(
            self.state,
            inbox.rows,
            progress.rows,
            now=now,
            wall_time=self._wall_clock.now(),
        )
        paused_at = now
        for _ in steps:
            if time.monotonic() - paused_at >= _LOAD_SLICE_S:
                # With a pause of 0, gevent would not poll sockets and timers.
                gevent.sleep(_LOAD_PAUSE_S)
                paused_at = time.monotonic()
        # Workers are polled only now, because reported runs that are not loaded
        # yet would be stopped.
        self._worker_loops.start_loops()
        self._model_store.restore(
            self.state.interference_model, self.state.duration_model
        )
        predict_all_durations(self.state)
        self.is_ready = True
        self.was_loaded = True
        event(
            'shard_loaded',
            shard=self.shard,
            epoch=self.state.epoch,
            jobs=len(self.state.job_by_id),
            workers=len(self.state.worker_by_id),
            read_s=now - started_at,
            duration_s=time.monotonic() - started_at,
        )
        self._spawn(self._run_commits)
        self._spawn_supervised_loops()
        self._spawn(
            self._model_store.save_periodically,
            self.state.interference_model,
            self.state.duration_model,
        )
        self._spawn(self._inbox.follow, inbox.version)
        self._spawn(self._inbox.catch_up_when_due)
        self._spawn(self._follow_workers, listing.version)
        self._run_rounds()

    def _read_all_rows(self, table: str, partition: str) -> RowPage:
        while True:
            page = read_all_rows(self._store, table, partition)
            if not isinstance(page, Unavailable):
                self._record_store_outcome(None)
                return page
            self._record_store_outcome(page)
            gevent.sleep(_RETRY_S)

    def _follow_workers(self, version: int) -> None:
        ChangeFeed(
            store=self._store,
            table=self._registry.table,
            list_partitions=lambda: (COMMON_PARTITION,),
            on_rows=self._on_worker_rows,
            on_outcome=self._record_store_outcome,
        ).run(version)

    def _fetch_job(self, job_id: JobId) -> JobRuntimeState | None | Unavailable:
        page = read_row(self._store, job_row(self.shard, job_id))
        if isinstance(page, Unavailable):
            return page
        if not page.rows:
            return None
        self._round_due.set()
        return apply_job_row(
            self.state,
            page.rows[0],
            now=time.monotonic(),
            wall_time=self._wall_clock.now(),
        )

    def _on_worker_rows(
        self,
        rows: tuple[StoredRow, ...],
        is_complete: bool,
    ) -> None:
        apply_worker_rows(
            self.state, rows, is_complete=is_complete, registry=self._registry
        )
        self._worker_loops.start_loops()

    def _run_rounds(self) -> None:
        while True:
            self._round_due.wait(_ROUND_INTERVAL_S)
            if not self._confirm_ownership():
                return
            self._round_due.clear()
            started_at = time.monotonic()
            self._run_round(started_at)
            duration_s = time.monotonic() - started_at
            self.statistics.record_round(duration_s)
            pause_s = max(_MIN_PAUSE_S, _PAUSE_FACTOR * duration_s)
            pause_s = min(pause_s, _MAX_PAUSE_S)
            gevent.sleep(pause_s)
            slept_s = time.monotonic() - started_at - duration_s
            self.statistics.record_lag(slept_s - pause_s)

    def _confirm_ownership(self) -> bool:
        now = time.monotonic()
        elapsed_s = now - self._last_round_at if self._last_round_at else 0
        count_suspension(self.state)
        suspended_s = get_total_suspended_s() - self._last_suspended_s
        self._last_suspended_s += suspended_s
        self._last_round_at = now
        # The monotonic clock stood still meanwhile.
        self.state.inbox_known_until -= suspended_s
        is_check_due = self.state.is_newer_owner_claimed or (
            elapsed_s + suspended_s > _OWNERSHIP_CHECK_S
        )
        if not is_check_due:
            return True
        event(
            'ownership_checked',
            shard=self.shard,
            paused_s=elapsed_s + suspended_s,
            is_fenced=self.state.is_newer_owner_claimed,
        )
        return self._check_owner_row()

    def _check_owner_row(self) -> bool:
        is_newer_owner_claimed = self.state.is_newer_owner_claimed
        claiming_workers = take_claiming_workers(self.state)
        is_owner = self._keeper.read_owner_row()
        if isinstance(is_owner, Unavailable):
            self._record_store_outcome(is_owner)
            if is_newer_owner_claimed:
                self.stop('a worker has seen a newer owner')
                return False
            # The store may be away for all, and then nobody can replace this
            # owner.
            return True
        if not is_owner:
            return False
        self._last_round_at = time.monotonic()
        ignore_refusals(self.state, claiming_workers, self._last_round_at)
        return True

    def _run_round(self, now: MonotonicTime) -> None:
        state = self.state
        self._refresh_evacuations()
        self._rounds.decide(
            state,
            now,
            wall_time=self._wall_clock.now(),
            is_binding_allowed=not self._is_quiescing,
        )
        if now - self._state_logged_at > _STATE_LOG_INTERVAL_S:
            self._state_logged_at = now
            self._log_state(now)
        if now - self._outcomes_logged_at > _OUTCOME_LOG_INTERVAL_S:
            self._outcomes_logged_at = now
            log_outcomes(self.state, self.shard, now)
        if (
            state.dirty_occurrence_by_key
            or state.expired_jobs
            or commits.is_term_due(state, now)
        ):
            self._commit_due.set()
        elif not self._is_committing:
            commits.acknowledge_if_clean(state)
            self._worker_loops.committed.set()
        self._worker_loops.send_orders()

    def _log_state(self, now: MonotonicTime) -> None:
        state = self.state
        event(
            'shard_state',
            shard=self.shard,
            **summarise_shard(state),
            **self.statistics.collect(),
            **self._worker_loops.describe_connections(),
        )
        if evacuated_zones.is_without_workers(state):
            event(
                'shard_without_workers',
                shard=self.shard,
                evacuated_zones=','.join(sorted(state.evacuated_zones)),
                workers=len(evacuated_zones.list_evacuated_workers(state)),
            )
        for delayed in list_delayed_starts(state, now):
            task = delayed.task
            event(
                'start_delayed',
                task=format_task_key(task),
                waited_s=now - delayed.since,
                run=task.run,
                stage=task.stage.name.lower(),
                worker=task.worker_id,
                with_room=delayed.format_workers(),
            )

    def _refresh_evacuations(self) -> None:
        if self._evacuations is None:
            return
        now = time.monotonic()
        evacuated_zones.update_zones(
            self.state,
            self._evacuations.zones,
            self._evacuations.known_until(),
            now,
        )
        is_start_held = bool(self.state.held_starts)
        if is_start_held and not self.state.are_evacuations_current(now):
            self._evacuations.request_catch_up()

    def _request_approvals(self) -> None:
        # The service accepts only one call at a time from an instance.
        while True:
            now = time.monotonic()
            approval_request = approvals.build_approval_request(self.state, now)
            if approval_request is None:
                gevent.sleep(_ROUND_INTERVAL_S)
                continue
            answer = self._approval_service.request_approvals(approval_request)
            if isinstance(answer, Unavailable):
                event(
                    'approval_failed',
                    shard=self.shard,
                    job=approval_request.job_id,
                    reason=answer.reason,
                )
                gevent.sleep(_RETRY_S)
                continue
            approvals.apply_approval(self.state, approval_request, answer, now)
            self._round_due.set()

    def _expire_cancellations(self) -> None:
        expiry = CancellationExpiry(
            shard=self.shard,
            state=self.state,
            store=self._store,
            owner_version=self._committer.owner_version,
        )
        while True:
            gevent.sleep(_CANCELLATION_EXPIRY_INTERVAL_S)
            expiry.remove_expired()

    def _run_commits(self) -> None:
        while True:
            self._commit_due.wait()
            self._commit_due.clear()
            while True:
                number = self._committer.number + 1
                batch = commits.collect_batch_with_term(
                    self.state, number, time.monotonic()
                )
                if batch is None:
                    break
                self._is_committing = True
                if not self._commit(batch):
                    return
                self._is_committing = False
                self._worker_loops.committed.set()
                self._round_due.set()

    def _commit(self, batch: CommitBatch) -> bool:
        started_at = time.monotonic()
        sent_at = started_at
        result = self._committer.try_commit(batch)
        while result == CommitResult.RETRY:
            self._record_store_outcome(self._committer.last_failure)
            gevent.sleep(_RETRY_S)
            sent_at = time.monotonic()
            result = self._committer.try_commit(batch)
        self._record_store_outcome(None)
        if result == CommitResult.FENCED:
            self.stop('replaced by another owner')
            return False
        now = time.monotonic()
        event(
            'committed',
            shard=self.shard,
            epoch=batch.sequence.epoch,
            number=batch.sequence.number,
            records=len(batch.record_by_key),
            starts=len(batch.starts),
            ends=len(batch.processed_end_by_worker),
            duration_s=now - started_at,
            sent_s=now - sent_at,
        )
        count_suspension(self.state)
        self._refresh_evacuations()
        commits.apply_committed(self.state, batch, now, sent_at=sent_at)
        if self.state.held_starts:
            self._inbox.request_catch_up()
        self._worker_loops.send_orders()
        return True

    def _record_store_outcome(self, failure: Unavailable | None) -> None:
        if failure is None:
            self._store_answered_at = time.monotonic()
            if self.failing_since:
                event('store_regained', shard=self.shard)
            self.failing_since = 0
        elif not self.failing_since:
            self.failing_since = time.monotonic()
            event('store_lost', shard=self.shard, reason=failure.reason)

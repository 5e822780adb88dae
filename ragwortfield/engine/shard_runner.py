"""The owner of a shard at work: feeds, leases, commits and orders."""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.engine.change_feed import ChangeFeed, read_all_rows
from ragwortfield.engine.learned_model_store import LearnedModelStore
from ragwortfield.engine.row_names import (
    PROGRESS_TABLE,
    inbox_table,
    job_row,
    owner_row,
    part_of,
)
from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.engine.shard_committer import ShardCommitter, CommitResult
from ragwortfield.engine.shard_loading import (
    WorkerRegistry,
    load_rows,
    apply_inbox_rows,
    apply_job_row,
    apply_worker_rows,
)
from ragwortfield.engine.worker_loops import WorkerLoops
from ragwortfield.log import event
from ragwortfield.ports.approvals import ApprovalService
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    RowPage,
    RowStore,
    StoredRow,
)
from ragwortfield.ports.task_worker import (
    TaskWorkerControl,
)
from ragwortfield.scheduling import approvals, commits, shard_updates
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.commits import CommitBatch
from ragwortfield.scheduling.job_state import JobRuntimeState
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.job_status import (
    JobStatus,
    get_job_status,
    summarise_shard,
    count_waiting_jobs,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, JobId, Seconds

#: Longest time between two rounds of decisions, in seconds.
_ROUND_S: Seconds = 0.05
#: Shortest time from one round to the next, in seconds; what is learned
#: meanwhile is decided on together.
_LEAST_PAUSE_S: Seconds = 0.02
#: Pause after a round, as a multiple of the time that it took: calls to
#: workers and peers are served meanwhile.
_PAUSE_FACTOR = 3
#: Longest pause, in seconds.
_LONGEST_PAUSE_S: Seconds = 0.25
#: Time for which a shard is taken in without a pause, in seconds.
_LOAD_SLICE_S: Seconds = 0.01
#: Pause after it, in seconds.
_LOAD_PAUSE_S: Seconds = 0.001
#: Time between looks at commits under way, in seconds.
_POLL_S: Seconds = 0.01
#: Pause before a failed call is made again, in seconds.
_RETRY_S: Seconds = 0.1
#: A process that stood still for longer checks that it is still the owner.
_PAUSE_S: Seconds = 0.7
#: Time between two lines of the log on the state of the shard, in seconds.
_TELL_EVERY_S: Seconds = 2


class ShardRunner:
    """
    Owner of one shard.

    :param shard: number of the shard.
    :param state: empty tables, with epoch and catalogue.
    :param commits: commits of this owner.
    :param store: the platform's store.
    :param workers: calls to workers.
    :param approval_service: service that approves workers for some queues.
    :param registry: where workers register, and how that is read.
    :param wall_clock: wall time.
    """

    def __init__(
        self,
        *,
        shard: int,
        state: ShardState,
        commits: ShardCommitter,
        store: RowStore,
        workers: TaskWorkerControl,
        approval_service: ApprovalService,
        registry: WorkerRegistry,
        wall_clock: WallClock,
    ) -> None:
        """Create; ``start`` reads the shard and begins to work."""
        self.shard = shard
        self.state = state
        self.is_ready = False
        self.is_stopped = False
        self.failing_since: MonotonicTime = 0
        self.statistics = OwnerStatistics()
        self._commits = commits
        self._store = store
        self._approval_service = approval_service
        self._registry = registry
        self._wall_clock = wall_clock
        self._model_store = LearnedModelStore(
            shard=shard,
            store=store,
            owner_version=commits.owner_version,
        )
        self._round_due = Event()
        self._commit_wake = Event()
        self._is_committing = False
        self._is_handing_over = False
        self._greenlets: list[gevent.Greenlet] = []
        self._worker_loops = WorkerLoops(
            state=state,
            workers=workers,
            statistics=self.statistics,
            on_update=self._round_due.set,
        )
        self._rounds = SchedulingRounds()
        self._round_at: MonotonicTime = 0
        self._told_at: MonotonicTime = 0
        self._boot_offset = _boot_offset()

    def start(self) -> None:
        """Read the shard and begin to work, in the background."""
        self._spawn(self._load_and_run)

    def stop(self, reason: str) -> None:
        """
        Stop without a word to anybody.

        :param reason: why, for the log.
        """
        if self.is_stopped:
            return
        self.is_stopped = True
        self.is_ready = False
        event(
            'shard_left',
            shard=self.shard,
            epoch=self.state.epoch,
            reason=reason,
        )
        gevent.killall(
            [one for one in self._greenlets if one is not gevent.getcurrent()],
            block=False,
        )
        self._worker_loops.stop()

    def hand_over(self, timeout_s: Seconds) -> None:
        """
        Bind nothing more and let what is under way become durable.

        :param timeout_s: longest wait, in seconds.
        """
        self._is_handing_over = True
        end = time.monotonic() + timeout_s
        while time.monotonic() < end and not self.is_stopped:
            if (
                not self._is_committing
                and not self.state.dirty_occurrence_by_key
            ):
                return
            gevent.sleep(_POLL_S)

    def owner_version(self) -> int:
        """
        Give the version of the owner's row.

        :returns: the version that commits expect.
        """
        return self._commits.owner_version

    def status(self, job_id: JobId) -> JobStatus | None | Unavailable:
        """
        Tell the state of a job.

        :param job_id: the job.
        :returns: its state; ``None`` when there is no such job.
        """
        if not self.is_ready:
            return Unavailable(reason=f'shard {self.shard} is being read')
        row = self.state.job_by_id.get(job_id)
        if row is None:
            # The feed may be behind; the store knows.
            row = self._fetch_job(job_id)
        if row is None or isinstance(row, Unavailable):
            return row
        return get_job_status(row)

    def cancel(self, job_id: JobId) -> None:
        """
        Act on a cancellation that is durable.

        :param job_id: the job.
        """
        shard_updates.cancel_job(self.state, job_id, time.monotonic())
        self._round_due.set()

    def update_catalogue(self, catalogue: Catalogue) -> None:
        """
        Follow a newer configuration.

        :param catalogue: the newer version.
        """
        shard_updates.update_catalogue(self.state, catalogue)
        self._round_due.set()

    def count_waiting(self, queue: str) -> int | Unavailable:
        """
        Count the jobs of a queue of which no task has started.

        :param queue: name of the queue.
        :returns: the number.
        """
        if not self.is_ready:
            return Unavailable(reason=f'shard {self.shard} is being read')
        return count_waiting_jobs(self.state, queue)

    def store_outage_s(self) -> Seconds:
        """
        Tell for how long no call to the store has succeeded.

        :returns: seconds; 0 when the last one did.
        """
        if not self.failing_since:
            return 0
        return time.monotonic() - self.failing_since

    def _spawn(self, work: Callable[..., None], *arguments: object) -> None:
        greenlet = gevent.spawn(work, *arguments)
        greenlet.link_exception(self._give_way)
        self._greenlets.append(greenlet)

    def _give_way(self, failed: gevent.Greenlet) -> None:
        # An owner of which a part has failed would hold the shard for ever;
        # once it disowns the shard, the next in rank takes it.
        event(
            'owner_failed',
            shard=self.shard,
            epoch=self.state.epoch,
            error=f'{type(failed.exception).__name__}: {failed.exception}',
        )
        self.stop('an unexpected error')

    def _load_and_run(self) -> None:
        started_at = time.monotonic()
        inbox = self._read(inbox_table(self.shard), part_of(self.shard))
        progress = self._read(PROGRESS_TABLE, part_of(self.shard))
        listing = self._read(self._registry.table, '')
        now = time.monotonic()
        self._list_workers(listing.rows, is_complete=True)
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
                # A pause of zero would not let sockets and timers be polled.
                gevent.sleep(_LOAD_PAUSE_S)
                paused_at = time.monotonic()
        # Not before: runs that are not known yet would be stopped.
        self._worker_loops.start_loops()
        self._model_store.restore(self.state.interference_model)
        self.is_ready = True
        event(
            'shard_loaded',
            shard=self.shard,
            epoch=self.state.epoch,
            jobs=len(self.state.job_by_id),
            workers=len(self.state.worker_by_id),
            read_s=now - started_at,
            duration_s=time.monotonic() - started_at,
        )
        self._spawn(self._commit_loop)
        self._spawn(self._ask_for_approval)
        self._spawn(
            self._model_store.save_periodically, self.state.interference_model
        )
        self._spawn(self._follow, inbox_table(self.shard), inbox.version)
        self._spawn(self._follow_workers, listing.version)
        self._run()

    def _read(self, table: str, partition: str) -> RowPage:
        while True:
            page = read_all_rows(self._store, table, partition)
            if not isinstance(page, Unavailable):
                self._note_store(None)
                return page
            self._note_store(page)
            gevent.sleep(_RETRY_S)

    def _follow(self, table: str, version: int) -> None:
        ChangeFeed(
            store=self._store,
            table=table,
            parts=lambda: (part_of(self.shard),),
            on_rows=self._take_inbox,
            on_outcome=self._note_store,
        ).run(version)

    def _follow_workers(self, version: int) -> None:
        ChangeFeed(
            store=self._store,
            table=self._registry.table,
            parts=lambda: ('',),
            on_rows=self._take_workers,
            on_outcome=self._note_store,
        ).run(version)

    def _take_inbox(
        self,
        rows: tuple[StoredRow, ...],
        _is_whole: bool,
    ) -> None:
        apply_inbox_rows(
            self.state,
            rows,
            now=time.monotonic(),
            wall_time=self._wall_clock.now(),
        )
        self._round_due.set()

    def _fetch_job(self, job_id: JobId) -> JobRuntimeState | None | Unavailable:
        name = job_row(self.shard, job_id)
        page = self._store.read(
            name.table,
            name.partition,
            first_key=name.key,
            end_key=f'{name.key}\0',
        )
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

    def _take_workers(
        self,
        rows: tuple[StoredRow, ...],
        is_complete: bool,
    ) -> None:
        self._list_workers(rows, is_complete=is_complete)
        self._worker_loops.start_loops()

    def _list_workers(
        self,
        rows: tuple[StoredRow, ...],
        *,
        is_complete: bool,
    ) -> None:
        apply_worker_rows(
            self.state,
            rows,
            is_complete=is_complete,
            registry=self._registry,
        )

    def _run(self) -> None:
        while True:
            self._round_due.wait(_ROUND_S)
            if not self._is_owner_still():
                return
            self._round_due.clear()
            started_at = time.monotonic()
            self._round(started_at)
            took_s = time.monotonic() - started_at
            self.statistics.record_round(took_s)
            pause_s = max(_LEAST_PAUSE_S, _PAUSE_FACTOR * took_s)
            pause_s = min(pause_s, _LONGEST_PAUSE_S)
            gevent.sleep(pause_s)
            slept_s = time.monotonic() - started_at - took_s
            self.statistics.record_lag(slept_s - pause_s)

    def _is_owner_still(self) -> bool:
        now = time.monotonic()
        passed_s = now - self._round_at if self._round_at else 0
        suspended_s = _boot_offset() - self._boot_offset
        self._boot_offset += suspended_s
        self._round_at = now
        is_checked = self.state.is_fenced_off or (
            passed_s + suspended_s > _PAUSE_S
        )
        if not is_checked:
            return True
        event(
            'ownership_checked',
            shard=self.shard,
            paused_s=passed_s + suspended_s,
            is_fenced=self.state.is_fenced_off,
        )
        if self.state.is_fenced_off:
            self.stop('a worker has seen a newer owner')
            return False
        return self._check_ownership()

    def _check_ownership(self) -> bool:
        name = owner_row(self.shard)
        page = self._store.read(name.table, name.partition)
        if isinstance(page, Unavailable):
            # Without the store nobody else can have become the owner since.
            self._note_store(page)
            return True
        versions = [one.version for one in page.rows if one.name == name]
        if versions != [self._commits.owner_version]:
            self.stop('replaced by another owner')
            return False
        self._round_at = time.monotonic()
        return True

    def _round(self, now: MonotonicTime) -> None:
        state = self.state
        self._rounds.decide(
            state,
            now,
            wall_time=self._wall_clock.now(),
            is_binding_allowed=not self._is_handing_over,
        )
        if now - self._told_at > _TELL_EVERY_S:
            self._told_at = now
            event(
                'shard_state',
                shard=self.shard,
                **summarise_shard(state),
                **self.statistics.collect(),
            )
        if state.dirty_occurrence_by_key or state.expired_jobs:
            self._commit_wake.set()
        elif not self._is_committing:
            commits.acknowledge_if_clean(state)
            self._worker_loops.committed.set()
        self._worker_loops.send_orders()

    def _ask_for_approval(self) -> None:
        # The service takes one call of an instance at a time.
        while True:
            now = time.monotonic()
            question = approvals.build_approval_question(self.state, now)
            if question is None:
                gevent.sleep(_ROUND_S)
                continue
            answer = self._approval_service.request_approvals(question)
            if isinstance(answer, Unavailable):
                event(
                    'approval_failed',
                    shard=self.shard,
                    job=question.job_id,
                    reason=answer.reason,
                )
                gevent.sleep(_RETRY_S)
                continue
            approvals.apply_approval(self.state, question, answer, now)
            self._round_due.set()

    def _commit_loop(self) -> None:
        while True:
            self._commit_wake.wait()
            self._commit_wake.clear()
            while True:
                number = self._commits.number + 1
                batch = commits.collect_batch(self.state, number)
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
        verdict = self._commits.try_commit(batch)
        while verdict == CommitResult.RETRY:
            self._note_store(self._commits.failure)
            gevent.sleep(_RETRY_S)
            verdict = self._commits.try_commit(batch)
        self._note_store(None)
        if verdict == CommitResult.FENCED:
            self.stop('replaced by another owner')
            return False
        now = time.monotonic()
        event(
            'committed',
            shard=self.shard,
            number=batch.sequence.number,
            records=len(batch.record_by_key),
            starts=len(batch.starts),
            duration_s=now - started_at,
        )
        commits.apply_committed(self.state, batch, now)
        self._worker_loops.send_orders()
        return True

    def _note_store(self, failure: Unavailable | None) -> None:
        if failure is None:
            if self.failing_since:
                event('store_regained', shard=self.shard)
            self.failing_since = 0
        elif not self.failing_since:
            self.failing_since = time.monotonic()
            event('store_lost', shard=self.shard, reason=failure.reason)


def _boot_offset() -> Seconds:
    """Time for which the machine was suspended since its start."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()

"""Handling of callers' requests about jobs, on any instance."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.ownership import OwnershipManager
from ragwortfield.engine.queue_refusals import Refused, find_refusal
from ragwortfield.engine.row_names import (
    PROGRESS_TABLE,
    cancel_row,
    job_row,
    partition_of_shard,
    progress_row,
    shard_of,
)
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.engine.unowned_status_log import UnownedStatusLog
from ragwortfield.log import event
from ragwortfield.peering.rpc import CallBody, PeerRpc
from ragwortfield.ports.pause import Pause, pause_uninterrupted
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowName,
    RowPage,
    RowStore,
    RowWrite,
    Transaction,
    TransactionDone,
    TransactionRefused,
    read_row,
)
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.job_status import JobStatus, get_job_status
from ragwortfield.scheduling.records import (
    CancellationRecord,
    JobRecord,
    ProgressRecord,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.shard_updates import add_job, restore_progress
from ragwortfield.types import InstanceId, JobId, MonotonicTime, Seconds

#: Time-out of a call to the owner of a shard, in seconds.
_OWNER_TIMEOUT_S: Seconds = 0.4
#: Pause between attempts, in seconds.
_RETRY_S: Seconds = 0.1
#: Value of the ``Retry-After`` header field in responses to callers, in
#: seconds.
RETRY_AFTER_S = 1
#: Time-out of a write that a peer makes for this instance, in seconds.
_RELAY_TIMEOUT_S: Seconds = 0.6
#: Time without an answer of the store after which the write is also relayed to
#: peers, in seconds; a transaction usually takes 12 to 18 ms.
_HEDGE_DELAY_S: Seconds = 0.35
#: Longest time for which a change is attempted, in seconds, even if the caller
#: would wait longer; a store that has not answered by then is down.
_PERSIST_LIMIT_S: Seconds = 1.3
#: Time for which a submission with an uncertain outcome is remembered, in
#: seconds; callers retry for a few seconds.
_UNCERTAIN_RETENTION_S: Seconds = 120
_NO_LAYOUT = 'the number of shards is not known yet'
#: Number of peers that are asked when the store does not answer.
_BACKUP_PEERS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The change is stored durably."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The change was not written and will not be."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Uncertain:
    """The change may have been written."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """The job was cancelled before it was stored, so it never runs."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The job does not exist."""


SubmitOutcome = Accepted | Rejected | Refused | Uncertain | Cancelled
CancelOutcome = Accepted | Rejected | Uncertain | Unknown
StatusOutcome = JobStatus | Unknown | Unavailable

_WriteOutcome = SubmitOutcome | CancelOutcome
_CommitOutcome = Accepted | Rejected | Uncertain | TransactionRefused

#: Outcomes that no later attempt at the same write can change.
_DEFINITE_OUTCOMES = Accepted | Unknown | Cancelled


@dataclass(frozen=True, kw_only=True, slots=True)
class _FoundStatus:
    """
    Status of a job, or why there is none, and who has answered.

    :param source: who was asked last: ``owner``, ``store`` or ``peers``.
    :param owner_failure: why the owner gave no answer; empty if it did.
    """

    status: StatusOutcome
    source: str
    owner_failure: str = ''

    def format_answer(self) -> str:
        """Return the status for the log."""
        if isinstance(self.status, JobStatus):
            return self.status.value
        return type(self.status).__name__.lower()


_OUTCOME_BY_NAME = {
    kind.__name__: kind
    for kind in (Accepted, Rejected, Uncertain, Cancelled, Unknown)
}


class JobRequestHandler:
    """
    Handles callers' requests about jobs, and peers' requests for the same.

    :param instance_id: this instance.
    :param cluster: view of the deployment.
    :param ownership: provides the runners of the shards owned by this instance.
    :param store: the platform's store.
    :param health: tells whether the store is reachable from this instance.
    :param peers: calls to peers.
    :param make_empty_state: creates an empty shard state, in which the status
        of a job is derived from its rows.
    """

    def __init__(
        self,
        *,
        instance_id: InstanceId,
        cluster: ClusterView,
        ownership: OwnershipManager,
        store: RowStore,
        health: StoreHealth,
        peers: PeerRpc,
        make_empty_state: Callable[[], ShardState],
    ) -> None:
        """Create without a call to the store."""
        self.unowned_statuses = UnownedStatusLog()
        self._instance_id = instance_id
        self._cluster = cluster
        self._ownership = ownership
        self._store = store
        self._health = health
        self._peers = peers
        self._make_empty_state = make_empty_state
        self._uncertain_at: dict[JobId, MonotonicTime] = {}

    def submit(
        self,
        job: Job,
        timeout_s: Seconds,
        queue: Queue | None = None,
    ) -> SubmitOutcome:
        """
        Submit a job.

        :param job: the job.
        :param timeout_s: longest time for all attempts, in seconds.
        :param queue: its queue in the configuration that admitted it.
        :returns: whether the job is stored.
        """
        refusal = None
        if job.job_id not in self._uncertain_at:
            refusal = find_refusal(self._cluster, self._store, job)
        outcome = refusal or self._store_job(job, timeout_s, queue)
        event(
            'job_submitted',
            job=job.job_id,
            queue=job.queue,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, 'reason', ''),
        )
        return outcome

    def cancel(self, job_id: JobId, timeout_s: Seconds) -> CancelOutcome:
        """
        Cancel a job.

        :param job_id: the job.
        :param timeout_s: longest time for all attempts, in seconds.
        :returns: whether the cancellation is stored.
        """
        outcome = self._persist(
            'cancel',
            {'job_id': job_id},
            lambda: self.write_cancel_row(job_id),
            timeout_s,
        )
        event(
            'cancel_requested',
            job=job_id,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, 'reason', ''),
        )
        return outcome

    def status(
        self,
        job_id: JobId,
        timeout_s: Seconds,
        pause: Pause = pause_uninterrupted,
    ) -> StatusOutcome:
        """
        Return the status of a job.

        The owner of its shard is asked first, then the store, then peers.

        :param job_id: the job.
        :param timeout_s: longest time for all attempts, in seconds.
        :param pause: waits before the next attempt.
        :returns: its status, or why it cannot be determined.
        """
        if not self._cluster.shards:
            return Unavailable(reason=_NO_LAYOUT)
        deadline = time.monotonic() + timeout_s
        while True:
            found = self._find_status(job_id)
            is_final = not isinstance(found.status, Unavailable)
            if is_final or not _await_next_attempt(deadline, pause):
                self._log_status(job_id, found)
                return found.status

    def count_waiting(
        self, queue: str, timeout_s: Seconds, pause: Pause = pause_uninterrupted
    ) -> int | Unavailable:
        """
        Count the jobs of a queue of which no task has started.

        :param queue: name of the queue.
        :param timeout_s: longest time for all attempts, in seconds.
        :param pause: waits before the next attempt.
        :returns: number of jobs in all shards.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            counts = [
                self._count_waiting_in(shard, queue)
                for shard in range(self._cluster.shards)
            ]
            failures = [
                count for count in counts if isinstance(count, Unavailable)
            ]
            if not failures and counts:
                return sum(counts)
            if not _await_next_attempt(deadline, pause):
                return (
                    failures[0] if failures else Unavailable(reason=_NO_LAYOUT)
                )

    def write_for_peer(
        self,
        write: Callable[[], _WriteOutcome],
    ) -> _WriteOutcome:
        """
        Write for a peer if the store is reachable from this instance.

        :param write: the write.
        :returns: its outcome.
        """
        if not self._cluster.shards:
            return Rejected(reason=_NO_LAYOUT)
        if self._health.is_unavailable():
            return Rejected(
                reason='the store is unavailable to the peer as well'
            )
        return write()

    def write_job_row(self, job_id: JobId, record: bytes) -> SubmitOutcome:
        """
        Write the row of a job unless it exists or the job was cancelled.

        A submission can arrive long after the caller has cancelled the job, for
        example at an instance that was paused.

        :param job_id: the job.
        :param record: its encoded record.
        :returns: the outcome; accepted also if the row exists already.
        """
        name = job_row(self._find_shard(job_id), job_id)
        outcome = self._commit(
            Transaction(
                expected=self._expect_neither_row(job_id),
                writes=(RowWrite(name=name, content=record),),
            ),
        )
        if not isinstance(outcome, TransactionRefused):
            return outcome
        if outcome.is_present(name):
            return Accepted()
        return Cancelled(reason=f'job {job_id} was cancelled before')

    def write_cancel_row(self, job_id: JobId) -> CancelOutcome:
        """
        Write the row of a cancellation.

        It is also written for a job that does not exist: its submission may
        still be under way, and must not be stored after this answer.

        :param job_id: the job.
        :returns: the outcome.
        """
        shard = self._find_shard(job_id)
        page = self._read_row(job_row(shard, job_id))
        if isinstance(page, Unavailable):
            return Rejected(reason=page.reason)
        if not page.rows:
            outcome = self._cancel_missing_job(job_id)
            if outcome is not None:
                return outcome
        committed = self._commit_cancellation(job_id)
        if isinstance(committed, TransactionRefused):
            return Rejected(reason='the store refused a cancellation')
        runner = self._ownership.runner(shard)
        if isinstance(committed, Accepted) and runner is not None:
            runner.cancel(job_id)
        return committed

    def get_owned_status(self, job_id: JobId) -> StatusOutcome:
        """
        Return the status of a job whose shard this instance owns.

        :param job_id: the job.
        :returns: its status.
        """
        if not self._cluster.shards:
            return Unavailable(reason=_NO_LAYOUT)
        runner = self._ownership.runner(self._find_shard(job_id))
        if runner is None:
            return Unavailable(
                reason='the shard of the job is not owned by this instance',
            )
        status = runner.status(job_id)
        return Unknown() if status is None else status

    def count_owned_waiting(self, shard: int, queue: str) -> int | Unavailable:
        """
        Count the waiting jobs of a queue in a shard that this instance owns.

        :param shard: number of the shard.
        :param queue: name of the queue.
        :returns: number of jobs.
        """
        runner = self._ownership.runner(shard)
        if runner is None:
            return Unavailable(
                reason=f'shard {shard} is not owned by this instance',
            )
        return runner.count_waiting(queue)

    def read_stored_status(self, job_id: JobId) -> StatusOutcome:
        """
        Derive the status of a job from its rows in the store.

        :param job_id: the job.
        :returns: its status.
        """
        if not self._cluster.shards:
            return Unavailable(reason=_NO_LAYOUT)
        shard = self._find_shard(job_id)
        cancelled = self._read_row(cancel_row(shard, job_id))
        job = self._read_row(job_row(shard, job_id))
        progress = self._store.read(
            PROGRESS_TABLE,
            partition_of_shard(shard),
            first_key=progress_row(shard, job_id, 0).key,
            end_key=f'{job_id}/\x7f',
        )
        for page in (cancelled, job, progress):
            if isinstance(page, Unavailable):
                return page
        if not job.rows:
            return Unknown()
        return self._derive_status(job_id, job, progress, cancelled)

    def _store_job(
        self, job: Job, timeout_s: Seconds, queue: Queue | None
    ) -> SubmitOutcome:
        record = encode_record(JobRecord(job=job, queue=queue))
        outcome = self._persist(
            'submit',
            {'job_id': job.job_id, 'record': record},
            lambda: self.write_job_row(job.job_id, record),
            timeout_s,
        )
        return self._apply_earlier_attempt(job.job_id, outcome)

    def _derive_status(
        self,
        job_id: JobId,
        job: RowPage,
        progress: RowPage,
        cancelled: RowPage,
    ) -> StatusOutcome:
        record = decode_record(job.rows[0].content or b'', JobRecord)
        if isinstance(record, Malformed):
            return Unavailable(
                reason=f'row {job.rows[0].name.key} unreadable: '
                f'{record.reason}',
            )
        state = self._make_empty_state()
        derived_job = add_job(
            state, record.job, now=0, wall_time=record.job.accepted_at
        )
        for row in progress.rows:
            progress_record = decode_record(row.content or b'', ProgressRecord)
            if isinstance(progress_record, Malformed):
                return Unavailable(
                    reason=f'row {row.name.key} unreadable: '
                    f'{progress_record.reason}',
                )
            restore_progress(state, progress_record, 0)
        derived_job.is_cancelled = bool(cancelled.rows)
        return get_job_status(derived_job)

    def _find_status(self, job_id: JobId) -> _FoundStatus:
        status = self._ask_owner(job_id)
        if not isinstance(status, Unavailable):
            return _FoundStatus(status=status, source='owner')
        owner_failure = status.reason
        source = 'store'
        status = self.read_stored_status(job_id)
        if isinstance(status, Unavailable):
            source = 'peers'
            status = self._ask_backup_peers(job_id)
        return _FoundStatus(
            status=status, source=source, owner_failure=owner_failure
        )

    def _log_status(self, job_id: JobId, found: _FoundStatus) -> None:
        if isinstance(found.status, Unknown):
            event('job_unknown', job=job_id, source=found.source)
        if not found.owner_failure:
            return
        shard = self._find_shard(job_id)
        self.unowned_statuses.record(
            job_id,
            shard,
            self._cluster.owner_by_shard.get(shard),
            reason=found.owner_failure,
            source=found.source,
            answer=found.format_answer(),
        )

    def _ask_owner(self, job_id: JobId) -> StatusOutcome:
        shard = self._find_shard(job_id)
        if self._ownership.runner(shard) is not None:
            return self.get_owned_status(job_id)
        owner = self._cluster.owner_by_shard.get(shard)
        if owner is None or not owner.record.address:
            return Unavailable(reason=f'shard {shard} has no owner')
        return self._request_status(owner.record.address, 'status', job_id)

    def _request_status(
        self,
        address: str,
        name: str,
        job_id: JobId,
    ) -> StatusOutcome:
        answer = self._peers.call(
            address,
            name,
            {'job_id': job_id},
            _OWNER_TIMEOUT_S,
        )
        if isinstance(answer, Unavailable):
            return answer
        if answer['state'] is None:
            return Unavailable(reason=answer['reason'])
        if not answer['state']:
            return Unknown()
        return JobStatus(answer['state'])

    def _ask_backup_peers(self, job_id: JobId) -> StatusOutcome:
        status: StatusOutcome = Unavailable(reason='no peer to ask')
        for address in self._list_backup_addresses(self._find_shard(job_id)):
            status = self._request_status(address, 'stored-status', job_id)
            if not isinstance(status, Unavailable):
                return status
        return status

    def _count_waiting_in(self, shard: int, queue: str) -> int | Unavailable:
        if self._ownership.runner(shard) is not None:
            return self.count_owned_waiting(shard, queue)
        owner = self._cluster.owner_by_shard.get(shard)
        if owner is None or not owner.record.address:
            return Unavailable(reason=f'shard {shard} has no owner')
        answer = self._peers.call(
            owner.record.address,
            'waiting',
            {'shard': shard, 'queue': queue},
            _OWNER_TIMEOUT_S,
        )
        if isinstance(answer, Unavailable):
            return answer
        if answer['count'] is None:
            return Unavailable(reason=answer['reason'])
        return int(answer['count'])

    def _apply_earlier_attempt(
        self,
        job_id: JobId,
        outcome: SubmitOutcome,
    ) -> SubmitOutcome:
        """Make a rejection uncertain if an earlier attempt may be stored."""
        now = time.monotonic()
        for known_id, attempted_at in tuple(self._uncertain_at.items()):
            if now - attempted_at < _UNCERTAIN_RETENTION_S:
                break
            del self._uncertain_at[known_id]
        if isinstance(outcome, _DEFINITE_OUTCOMES):
            self._uncertain_at.pop(job_id, None)
        elif isinstance(outcome, Uncertain):
            self._uncertain_at.setdefault(job_id, now)
        elif job_id in self._uncertain_at:
            reason = f'an earlier attempt is uncertain; now {outcome.reason}'
            return Uncertain(reason=reason)
        return outcome

    def _persist(
        self,
        name: str,
        body: CallBody,
        write: Callable[[], _WriteOutcome],
        timeout_s: Seconds,
    ) -> _WriteOutcome:
        """
        Write to the store, and relay to peers if it does not answer in time.

        All attempts write the same row, so the first definite answer counts.
        If the store counts as unavailable, the write is not retried, because
        callers gain nothing from waiting for it.
        """
        if not self._cluster.shards:
            # Without the number of shards, the shard of the row is not known.
            return Rejected(reason=_NO_LAYOUT)
        timeout_s = min(timeout_s, _PERSIST_LIMIT_S)
        deadline = time.monotonic() + timeout_s
        attempts: list[gevent.Greenlet] = []
        if not self._health.is_unavailable():
            attempts.append(gevent.spawn(write))
            attempts[0].join(min(_HEDGE_DELAY_S, timeout_s / 2))
        if not _has_definite_outcome(attempts):
            attempts.extend(self._relay_to_peers(name, body))
            _await_definite_outcome(attempts, deadline)
        if _has_definite_outcome(attempts) or self._health.is_unavailable():
            # The store may be available again without any instance having
            # noticed it yet.
            return _combine_outcomes(attempts)
        if time.monotonic() + _RETRY_S < deadline:
            gevent.sleep(_RETRY_S)
            attempts.append(gevent.spawn(write))
            _await_definite_outcome(attempts, deadline)
        return _combine_outcomes(attempts)

    def _relay_to_peers(
        self, name: str, body: CallBody
    ) -> list[gevent.Greenlet]:
        return [
            gevent.spawn(self._relay, address, name, body)
            for address in self._list_backup_addresses(
                self._find_shard(body['job_id'])
            )
        ]

    def _relay(
        self,
        address: str,
        name: str,
        body: CallBody,
    ) -> _WriteOutcome:
        answer = self._peers.call(address, name, body, _RELAY_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            if answer.is_effect_possible:
                return Uncertain(reason=answer.reason)
            return Rejected(reason=answer.reason)
        kind = _OUTCOME_BY_NAME[answer['outcome']]
        if kind in {Rejected, Uncertain, Cancelled}:
            return kind(reason=answer['reason'])
        return kind()

    def _list_backup_addresses(self, shard: int) -> list[str]:
        addresses = [
            member.address
            for member in self._cluster.rank_members(shard)
            if member.instance_id != self._instance_id
        ]
        return sorted(addresses, key=self._peers.is_unreachable)[:_BACKUP_PEERS]

    def _cancel_missing_job(self, job_id: JobId) -> CancelOutcome | None:
        """
        Write the row of a cancellation if neither it nor the job exists.

        :returns: the outcome; ``None`` if the job has been stored meanwhile.
        """
        shard = self._find_shard(job_id)
        outcome = self._commit_cancellation(
            job_id, expected=self._expect_neither_row(job_id)
        )
        if isinstance(outcome, Rejected | Uncertain):
            return outcome
        if isinstance(outcome, Accepted):
            return Unknown()
        if outcome.is_present(job_row(shard, job_id)):
            return None
        if outcome.is_present(cancel_row(shard, job_id)):
            return Unknown()
        return Uncertain(reason='the store refused a row that it does not have')

    def _expect_neither_row(self, job_id: JobId) -> tuple[ExpectedVersion, ...]:
        """Return the versions of a job that is neither stored nor cancelled."""
        shard = self._find_shard(job_id)
        return (
            ExpectedVersion(name=job_row(shard, job_id), version=0),
            ExpectedVersion(name=cancel_row(shard, job_id), version=0),
        )

    def _commit_cancellation(
        self, job_id: JobId, expected: tuple[ExpectedVersion, ...] = ()
    ) -> _CommitOutcome:
        name = cancel_row(self._find_shard(job_id), job_id)
        content = encode_record(CancellationRecord(job_id=job_id))
        return self._commit(
            Transaction(
                expected=expected,
                writes=(RowWrite(name=name, content=content),),
            ),
        )

    def _commit(self, transaction: Transaction) -> _CommitOutcome:
        outcome = self._store.commit(transaction, COMMIT_TIMEOUT_S)
        failure = outcome if isinstance(outcome, Unavailable) else None
        self._health.record_outcome(failure)
        if isinstance(outcome, TransactionRefused):
            return outcome
        if isinstance(outcome, TransactionDone):
            return Accepted()
        if outcome.is_effect_possible:
            return Uncertain(reason=outcome.reason)
        return Rejected(reason=outcome.reason)

    def _read_row(self, name: RowName) -> RowPage | Unavailable:
        return read_row(self._store, name)

    def _find_shard(self, job_id: JobId) -> int:
        return shard_of(job_id, self._cluster.shards)


def _await_next_attempt(deadline: MonotonicTime, pause: Pause) -> bool:
    """Wait before the next attempt of a read; return false if there is none."""
    return time.monotonic() + _RETRY_S <= deadline and pause(_RETRY_S)


def _collect_outcomes(attempts: list[gevent.Greenlet]) -> list[_WriteOutcome]:
    return [
        Uncertain(reason='no answer in time')
        if attempt.value is None
        else attempt.value
        for attempt in attempts
    ]


def _has_definite_outcome(attempts: list[gevent.Greenlet]) -> bool:
    return any(
        isinstance(outcome, _DEFINITE_OUTCOMES)
        for outcome in _collect_outcomes(attempts)
    )


def _await_definite_outcome(
    attempts: list[gevent.Greenlet], deadline: MonotonicTime
) -> None:
    pending = [attempt for attempt in attempts if not attempt.ready()]
    while pending and not _has_definite_outcome(attempts):
        wait_s = deadline - time.monotonic()
        if wait_s <= 0:
            return
        gevent.wait(pending, timeout=wait_s, count=1)
        pending = [attempt for attempt in pending if not attempt.ready()]


def _combine_outcomes(attempts: list[gevent.Greenlet]) -> _WriteOutcome:
    outcomes = _collect_outcomes(attempts)
    for kinds in (_DEFINITE_OUTCOMES, Uncertain):
        for outcome in outcomes:
            if isinstance(outcome, kinds):
                return outcome
    if outcomes:
        return outcomes[-1]
    return Rejected(
        reason='the store is unavailable and there is no peer to ask'
    )

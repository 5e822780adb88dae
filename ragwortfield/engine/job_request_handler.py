"""Callers' requests about jobs, served by any instance."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.row_names import (
    PROGRESS_TABLE,
    cancel_row,
    job_row,
    part_of,
    progress_row,
    shard_of,
)
from ragwortfield.engine.ownership import OwnershipManager
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.log import event
from ragwortfield.peering.calls import CallBody, PeerCalls
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
)
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.shard_updates import restore_progress, register_job
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.records import (
    CancellationRecord,
    JobRecord,
    ProgressRecord,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.job_status import JobStatus, get_job_status
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, InstanceId, JobId, Seconds

#: Longest wait for the owner's answer about a job, in seconds.
_OWNER_TIMEOUT_S: Seconds = 0.4
#: Pause between tries, in seconds.
_RETRY_S: Seconds = 0.1
#: Advice to callers when to come back, in seconds.
RETRY_AFTER_S = 1
#: Longest wait for a peer that writes in this instance's stead, in seconds.
_RELAY_TIMEOUT_S: Seconds = 0.6
#: Time without an answer of the store after which peers are asked to write as
#: well, in seconds; a transaction usually takes 12 to 18 ms.
_HEDGE_S: Seconds = 0.35
#: Longest time in which a caller's change is tried, in seconds, however long
#: the caller would wait: by then the store's silence is plain.
_PERSIST_LIMIT_S: Seconds = 1.3
#: Time for which a submission without a certain outcome is remembered, in
#: seconds; callers repeat for a few seconds.
_UNCERTAIN_S: Seconds = 120
_NO_LAYOUT = 'the division into shards is not known yet'
#: Peers that are asked to stand in for the store.
_STAND_INS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The change is durable."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """Nothing was written, and nothing will be."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Uncertain:
    """The change may have been written."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """There is no such job."""


SubmitOutcome = Accepted | Rejected | Uncertain
CancelOutcome = Accepted | Rejected | Uncertain | Unknown
StatusOutcome = JobStatus | Unknown | Unavailable

_OUTCOME_BY_NAME = {
    kind.__name__: kind for kind in (Accepted, Rejected, Uncertain, Unknown)
}


class JobRequestHandler:
    """
    Jobs as callers see them.

    :param instance_id: this instance.
    :param cluster: view of the deployment.
    :param ownership: shards owned here.
    :param store: the platform's store.
    :param health: whether the store answers this instance.
    :param peers: calls to peers.
    :param make_empty_state: makes tables to work a job's state out in.
    """

    def __init__(
        self,
        *,
        instance_id: InstanceId,
        cluster: ClusterView,
        ownership: OwnershipManager,
        store: RowStore,
        health: StoreHealth,
        peers: PeerCalls,
        make_empty_state: Callable[[], ShardState],
    ) -> None:
        """Create a desk."""
        self._instance_id = instance_id
        self._cluster = cluster
        self._ownership = ownership
        self._store = store
        self._health = health
        self._peers = peers
        self._empty_state = make_empty_state
        self._uncertain_at: dict[JobId, MonotonicTime] = {}

    def submit(
        self,
        job: Job,
        limit_s: Seconds,
        queue: Queue | None = None,
    ) -> SubmitOutcome:
        """
        Accept a job.

        :param job: the job.
        :param limit_s: longest time to try, in seconds.
        :param queue: its queue in the configuration that admits it.
        :returns: whether it is stored.
        """
        record = encode_record(JobRecord(job=job, queue=queue))
        outcome = self._persist(
            'submit',
            {'job_id': job.job_id, 'record': record},
            lambda: self.write_job_row(job.job_id, record),
            limit_s,
        )
        outcome = self._unless_sent_before(job.job_id, outcome)
        event(
            'job_submitted',
            job=job.job_id,
            queue=job.queue,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, 'reason', ''),
        )
        return outcome

    def cancel(self, job_id: JobId, limit_s: Seconds) -> CancelOutcome:
        """
        Cancel a job.

        :param job_id: the job.
        :param limit_s: longest time to try, in seconds.
        :returns: whether the cancellation is stored.
        """
        outcome = self._persist(
            'cancel',
            {'job_id': job_id},
            lambda: self.write_cancel_row(job_id),
            limit_s,
        )
        event(
            'cancel_requested',
            job=job_id,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, 'reason', ''),
        )
        return outcome

    def status(self, job_id: JobId, limit_s: Seconds) -> StatusOutcome:
        """
        Tell the state of a job.

        :param job_id: the job.
        :param limit_s: longest time to try, in seconds.
        :returns: its state, or why it cannot be told.
        """
        if not self._cluster.shards:
            return Unavailable(reason=_NO_LAYOUT)
        end = time.monotonic() + limit_s
        while True:
            found = self._ask_owner(job_id)
            if isinstance(found, Unavailable):
                found = self.stored_status(job_id)
            if isinstance(found, Unavailable):
                found = self._ask_stand_ins(job_id)
            if not isinstance(found, Unavailable):
                return found
            if time.monotonic() + _RETRY_S > end:
                return found
            gevent.sleep(_RETRY_S)

    def count_waiting(self, queue: str, limit_s: Seconds) -> int | Unavailable:
        """
        Count the jobs of a queue of which no task has started.

        :param queue: name of the queue.
        :param limit_s: longest time to try, in seconds.
        :returns: the number over all shards.
        """
        end = time.monotonic() + limit_s
        while True:
            counts = [
                self._count_waiting_in(shard, queue)
                for shard in range(self._cluster.shards)
            ]
            failed = [one for one in counts if isinstance(one, Unavailable)]
            if not failed and counts:
                return sum(counts)
            if time.monotonic() + _RETRY_S > end:
                return failed[0] if failed else Unavailable(reason=_NO_LAYOUT)
            gevent.sleep(_RETRY_S)

    def write_for_peer(
        self,
        write: Callable[[], CancelOutcome],
    ) -> CancelOutcome:
        """
        Write in a peer's stead, if the store answers this instance.

        :param write: the write.
        :returns: what is certain about it.
        """
        if not self._cluster.shards:
            return Rejected(reason=_NO_LAYOUT)
        if self._health.is_unavailable():
            return Rejected(reason='the store is away from the peer too')
        return write()

    def write_job_row(self, job_id: JobId, record: bytes) -> SubmitOutcome:
        """
        Write the row of a job, unless there is one.

        :param job_id: the job.
        :param record: its record.
        :returns: what is certain about the row.
        """
        name = job_row(self._shard(job_id), job_id)
        return self._commit(
            Transaction(
                expected=(ExpectedVersion(name=name, version=0),),
                writes=(RowWrite(name=name, content=record),),
            ),
        )

    def write_cancel_row(self, job_id: JobId) -> CancelOutcome:
        """
        Write the row of a cancellation, if the job exists.

        :param job_id: the job.
        :returns: what is certain about the row.
        """
        shard = self._shard(job_id)
        page = self._read_row(job_row(shard, job_id))
        if isinstance(page, Unavailable):
            return Rejected(reason=page.reason)
        if not page.rows:
            return Unknown()
        content = encode_record(CancellationRecord(job_id=job_id))
        outcome = self._commit(
            Transaction(
                writes=(
                    RowWrite(name=cancel_row(shard, job_id), content=content),
                ),
            ),
        )
        runner = self._ownership.runner(shard)
        if isinstance(outcome, Accepted) and runner is not None:
            runner.cancel(job_id)
        return outcome

    def owned_status(self, job_id: JobId) -> StatusOutcome:
        """
        Tell the state of a job whose shard is owned here.

        :param job_id: the job.
        :returns: its state.
        """
        if not self._cluster.shards:
            return Unavailable(reason=_NO_LAYOUT)
        runner = self._ownership.runner(self._shard(job_id))
        if runner is None:
            return Unavailable(reason='the shard is not owned here')
        found = runner.status(job_id)
        return Unknown() if found is None else found

    def count_owned_waiting(self, shard: int, queue: str) -> int | Unavailable:
        """
        Count waiting jobs of a shard that is owned here.

        :param shard: number of the shard.
        :param queue: name of the queue.
        :returns: the number.
        """
        runner = self._ownership.runner(shard)
        if runner is None:
            return Unavailable(reason='the shard is not owned here')
        return runner.count_waiting(queue)

    def stored_status(self, job_id: JobId) -> StatusOutcome:
        """
        Work the state of a job out from its rows.

        :param job_id: the job.
        :returns: its state.
        """
        if not self._cluster.shards:
            return Unavailable(reason=_NO_LAYOUT)
        shard = self._shard(job_id)
        cancelled = self._read_row(cancel_row(shard, job_id))
        job = self._read_row(job_row(shard, job_id))
        progress = self._store.read(
            PROGRESS_TABLE,
            part_of(shard),
            first_key=progress_row(shard, job_id, 0).key,
            end_key=f'{job_id}/\x7f',
        )
        for page in (cancelled, job, progress):
            if isinstance(page, Unavailable):
                return page
        if not job.rows:
            return Unknown()
        return self._derived_status(job_id, job, progress, cancelled)

    def _derived_status(
        self,
        job_id: JobId,
        job: RowPage,
        progress: RowPage,
        cancelled: RowPage,
    ) -> StatusOutcome:
        record = decode_record(job.rows[0].content or b'', JobRecord)
        if isinstance(record, Malformed):
            return Unavailable(reason=f'row unreadable: {record.reason}')
        state = self._empty_state()
        row = register_job(
            state, record.job, now=0, wall_time=record.job.accepted_at
        )
        for stored in progress.rows:
            kept = decode_record(stored.content or b'', ProgressRecord)
            if isinstance(kept, Malformed):
                return Unavailable(reason=f'row unreadable: {kept.reason}')
            restore_progress(state, kept, 0)
        row.is_cancelled = bool(cancelled.rows)
        return get_job_status(row)

    def _ask_owner(self, job_id: JobId) -> StatusOutcome:
        shard = self._shard(job_id)
        if self._ownership.runner(shard) is not None:
            return self.owned_status(job_id)
        owner = self._cluster.owner_by_shard.get(shard)
        if owner is None or not owner.record.address:
            return Unavailable(reason=f'shard {shard} has no owner')
        return self._call_status(owner.record.address, 'status', job_id)

    def _call_status(
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

    def _ask_stand_ins(self, job_id: JobId) -> StatusOutcome:
        found: StatusOutcome = Unavailable(reason='no peer to ask')
        for address in self._stand_ins(self._shard(job_id)):
            found = self._call_status(address, 'stored-status', job_id)
            if not isinstance(found, Unavailable):
                return found
        return found

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

    def _unless_sent_before(
        self,
        job_id: JobId,
        outcome: SubmitOutcome,
    ) -> SubmitOutcome:
        """A refusal is untrue where an earlier send may have been accepted."""
        now = time.monotonic()
        for known_id, sent_at in tuple(self._uncertain_at.items()):
            if now - sent_at < _UNCERTAIN_S:
                break
            del self._uncertain_at[known_id]
        if isinstance(outcome, Accepted):
            self._uncertain_at.pop(job_id, None)
        elif isinstance(outcome, Uncertain):
            self._uncertain_at.setdefault(job_id, now)
        elif job_id in self._uncertain_at:
            reason = f'sent before without an answer; now {outcome.reason}'
            return Uncertain(reason=reason)
        return outcome

    def _persist(
        self,
        name: str,
        body: CallBody,
        write: Callable[[], CancelOutcome],
        limit_s: Seconds,
    ) -> CancelOutcome:
        """
        Write here, and through peers where the store does not answer soon.

        All of them write the same row, so whichever answers first settles
        it. Waiting for a store that is away helps no caller, so what cannot
        be written now is given up at once.
        """
        if not self._cluster.shards:
            # The row would belong to a shard that is not known yet.
            return Rejected(reason=_NO_LAYOUT)
        limit_s = min(limit_s, _PERSIST_LIMIT_S)
        end = time.monotonic() + limit_s
        attempts: list[gevent.Greenlet] = []
        if not self._health.is_unavailable():
            attempts.append(gevent.spawn(write))
            attempts[0].join(min(_HEDGE_S, limit_s / 2))
        if not _is_settled(attempts):
            attempts.extend(self._ask_peers(name, body))
            _await_settled(attempts, end)
        if _is_settled(attempts) or self._health.is_unavailable():
            # The store may be back although nobody has seen it yet.
            return _summed_up(attempts)
        if time.monotonic() + _RETRY_S < end:
            gevent.sleep(_RETRY_S)
            attempts.append(gevent.spawn(write))
            _await_settled(attempts, end)
        return _summed_up(attempts)

    def _ask_peers(self, name: str, body: CallBody) -> list[gevent.Greenlet]:
        return [
            gevent.spawn(self._relay, address, name, body)
            for address in self._stand_ins(self._shard(body['job_id']))
        ]

    def _relay(
        self,
        address: str,
        name: str,
        body: CallBody,
    ) -> CancelOutcome:
        answer = self._peers.call(address, name, body, _RELAY_TIMEOUT_S)
        if isinstance(answer, Unavailable):
            if answer.is_effect_possible:
                return Uncertain(reason=answer.reason)
            return Rejected(reason=answer.reason)
        kind = _OUTCOME_BY_NAME[answer['outcome']]
        if kind in {Rejected, Uncertain}:
            return kind(reason=answer['reason'])
        return kind()

    def _stand_ins(self, shard: int) -> list[str]:
        return [
            member.address
            for member in self._cluster.rank_members(shard)
            if member.instance_id != self._instance_id
        ][:_STAND_INS]

    def _commit(self, transaction: Transaction) -> SubmitOutcome:
        outcome = self._store.commit(transaction, COMMIT_TIMEOUT_S)
        failure = outcome if isinstance(outcome, Unavailable) else None
        self._health.record_outcome(failure)
        if isinstance(outcome, TransactionDone | TransactionRefused):
            # Refused means that the row is there already.
            return Accepted()
        if outcome.is_effect_possible:
            return Uncertain(reason=outcome.reason)
        return Rejected(reason=outcome.reason)

    def _read_row(self, name: RowName) -> RowPage | Unavailable:
        return self._store.read(
            name.table,
            name.partition,
            first_key=name.key,
            end_key=f'{name.key}\0',
        )

    def _shard(self, job_id: JobId) -> int:
        return shard_of(job_id, self._cluster.shards)


def _outcomes(attempts: list[gevent.Greenlet]) -> list[CancelOutcome]:
    return [
        Uncertain(reason='no answer in time')
        if one.value is None
        else one.value
        for one in attempts
    ]


def _is_settled(attempts: list[gevent.Greenlet]) -> bool:
    return any(
        isinstance(one, Accepted | Unknown) for one in _outcomes(attempts)
    )


def _await_settled(attempts: list[gevent.Greenlet], end: MonotonicTime) -> None:
    left = [one for one in attempts if not one.ready()]
    while left and not _is_settled(attempts):
        wait_s = end - time.monotonic()
        if wait_s <= 0:
            return
        gevent.wait(left, timeout=wait_s, count=1)
        left = [one for one in left if not one.ready()]


def _summed_up(attempts: list[gevent.Greenlet]) -> CancelOutcome:
    outcomes = _outcomes(attempts)
    for kinds in (Accepted | Unknown, Uncertain):
        for one in outcomes:
            if isinstance(one, kinds):
                return one
    if outcomes:
        return outcomes[-1]
    return Rejected(reason='the store is away, and there is no peer to ask')

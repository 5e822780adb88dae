"""Ownership of shards: failure detection, takeover and handover.

The owner row in the store is authoritative. Any instance may replace the owner
at any time by a conditional write, because each commit of the old owner
expects the owner row in the version that it wrote. So the rules in this module
are not needed for safety; they only avoid unnecessary changes of owners.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import TypeVar

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.former_owner_calls import (
    answer_as_former_owner,
    ask_former_owner,
    use_answer,
)
from ragwortfield.engine.owner_doubts import DoubtDecision, OwnerDoubts
from ragwortfield.engine.owner_watchers import (
    MAX_NAMED_WATCHERS,
    OwnerWatchers,
)
from ragwortfield.engine.row_names import (
    owner_row,
    partition_of_shard,
    sequence_row,
)
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.engine.supervisor import Supervisor
from ragwortfield.engine.wall_clock import get_total_suspended_s
from ragwortfield.log import event
from ragwortfield.peering.rpc import CallBody, PeerRpc
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowName,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionDone,
)
from ragwortfield.scheduling.former_owner import estimate_term_start
from ragwortfield.scheduling.ownership_confirmation import (
    OwnershipConfirmation,
)
from ragwortfield.scheduling.records import (
    MemberRecord,
    OwnerRecord,
    SequenceRecord,
    decode_record,
    encode_record,
)
from ragwortfield.types import MonotonicTime, Seconds

#: Interval at which the likely successors check the owner, in seconds.
_WATCH_INTERVAL_S: Seconds = 0.3
#: Interval at which all other members check the owner, in seconds.
_SLOW_WATCH_INTERVAL_S: Seconds = 2
#: Number of members, by rank, that check an owner at the short interval.
_CLOSE_WATCHERS = 3
#: Time-out of a ping to the owner, in seconds.
_PING_TIMEOUT_S: Seconds = 0.4
#: Time without an answer of the owner after which the first successor takes
#: over, in seconds. ``TimingBounds.unaware_s`` relies on it.
OWNER_TIMEOUT_S: Seconds = 0.7
#: Additional wait per rank of a successor, in seconds, so that successors do
#: not compete.
_WAIT_PER_RANK_S: Seconds = 0.25
#: Highest rank that adds to the wait.
_MAX_WAIT_RANK = MAX_NAMED_WATCHERS
#: Additional wait of an instance that no other member answers, in seconds,
#: because it is probably isolated itself.
_ISOLATION_WAIT_S: Seconds = 2.5
#: Time without a successful call to the store after which the owner offers its
#: shard to a successor, in seconds.
_STORE_OUTAGE_LIMIT_S: Seconds = 0.6
#: Longest read of the store, in seconds, with which a successor accepts an
#: offered shard. If its read takes longer, the store is slow for all instances.
_MAX_READ_S: Seconds = 0.15
#: Time without a failed call to the store after which a member accepts an
#: offered shard, in seconds. An owner tries its commit again several times in
#: this time, so an owner that still offers is cut off alone.
_STEADY_STORE_S: Seconds = 1
#: Time-out of the offer of a shard to a member, in seconds.
_OFFER_TIMEOUT_S: Seconds = 1.5
#: Half the number of members that are asked whether they reach the owner.
_WITNESSES = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipTerm:
    """
    Term in which this instance owns a shard.

    :param epoch: fencing token of the term.
    :param confirmation: evidence of the ownership, from when the takeover was
        sent to the store.
    :param version: version of the owner row and of the sequence row, which
        were written together by the takeover.
    :param previous_lease_s: longest lease that earlier owners granted to
        workers, in seconds; 0 if it is not known.
    :param is_process_bound: whether this and all earlier owners send deadlines
        only to the worker process for whose clock they were computed.
    :param former: the owner before this term, for the log; ``None`` if it is
        not known.
    """

    shard: int
    epoch: int
    confirmation: OwnershipConfirmation
    version: int
    previous_lease_s: Seconds
    is_process_bound: bool
    former: OwnerRecord | None = None


RunnerFactory = Callable[[OwnershipTerm], ShardRunner]
_Record = TypeVar('_Record', OwnerRecord, SequenceRecord)


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerIdentity:
    """Name and address of an instance; the incarnation differs per start."""

    instance_id: str
    incarnation: str
    address: str


class _OwnerAnswer(Enum):
    """Answer of the recorded owner of a shard to a ping."""

    OWNS = 'owns'
    DISOWNS = 'disowns'
    SILENT = 'silent'


class OwnershipManager:
    """
    Watches the owners of all shards and takes over shards where needed.

    :param identity: identity of this instance.
    :param cluster: view of the deployment.
    :param store: the platform's store.
    :param peers: calls to peers.
    :param lease_s: lease that owners grant to workers, in seconds.
    :param make_runner: creates the runner of a shard that was taken over.
    :param health: outcomes of this instance's calls to the store; ``None`` if
        there are none besides those for the shards.
    """

    def __init__(
        self,
        *,
        identity: SchedulerIdentity,
        cluster: ClusterView,
        store: RowStore,
        peers: PeerRpc,
        lease_s: Seconds,
        make_runner: RunnerFactory,
        health: StoreHealth | None = None,
    ) -> None:
        """Create; ``watch`` starts to watch a shard."""
        self.runner_by_shard: dict[int, ShardRunner] = {}
        self.is_leaving = False
        self._identity = identity
        self._cluster = cluster
        self._store = store
        self._peers = peers
        self._lease_s = lease_s
        self._make_runner = make_runner
        self._health = health or StoreHealth()
        self._failing_since: dict[int, MonotonicTime] = {}
        self._doubts = OwnerDoubts()
        self._watchers = OwnerWatchers(instance_id=identity.instance_id)
        self._takeover_supervisor = Supervisor(name='take_vacancy')

    def watch(self, shard: int) -> None:
        """
        Watch the owner of a shard until this instance leaves.

        :param shard: number of the shard.
        """
        supervisor = Supervisor(
            name='watch_owner',
            pause_s=_WATCH_INTERVAL_S,
            shard=shard,
        )
        supervisor.run(self._watch, shard)

    def runner(self, shard: int) -> ShardRunner | None:
        """
        Return the runner of a shard that this instance owns.

        :param shard: number of the shard.
        :returns: the runner; ``None`` if there is none or it has stopped.
        """
        runner = self.runner_by_shard.get(shard)
        if runner is None or runner.is_stopped:
            return None
        return runner

    def handle_owner_change(self, shard: int) -> None:
        """
        Compare the runner of a shard with its changed owner row.

        A runner that was replaced is stopped. If the row names no owner, the
        shard is taken over again.

        :param shard: number of the shard.
        """
        runner = self.runner(shard)
        owner = self._cluster.owner_by_shard.get(shard)
        if runner is None or owner is None:
            return
        if owner.version > runner.owner_version():
            runner.stop('the owner row names another owner')
        if not owner.record.instance_id and not self.is_leaving:
            # If this attempt fails, the loops that watch the shard retry.
            gevent.spawn(
                self._takeover_supervisor.run_once,
                self._take_over_vacant_shard,
                shard,
            )

    def answer_ping(self, body: CallBody) -> CallBody:
        """
        Answer a peer's question whether this instance owns a shard.

        :param body: number of the shard, the peer and its rank.
        :returns: whether it does, the epoch, and which members have asked the
            same lately.
        """
        shard = int(body['shard'])
        runner = self.runner(shard)
        if runner is None:
            return {'owns': False, 'epoch': 0}
        watchers = self._watchers.record_check(
            shard,
            str(body.get('watcher', '')),
            int(body.get('rank', 0)),
            time.monotonic(),
        )
        return {
            'owns': True,
            'epoch': runner.state.epoch,
            'watchers': watchers,
        }

    def answer_owner_reachable(self, body: CallBody) -> CallBody:
        """
        Answer a peer's question whether the owner of a shard is reachable.

        :param body: number of the shard and address of its owner.
        :returns: whether the owner answers this instance and owns the shard.
        """
        answer = self._ask_owner(int(body['shard']), body['address'])
        return {'hears': answer == _OwnerAnswer.OWNS}

    def answer_shard_offer(self, body: CallBody) -> CallBody:
        """
        Take over a shard whose owner cannot reach the store.

        :param body: number of the shard and version of its owner row.
        :returns: whether the shard was taken over.
        """
        shard = int(body['shard'])
        version = int(body['version'])
        runner = self.runner(shard)
        if runner is not None:
            return {'taken': runner.owner_version() > version}
        if self.is_leaving or not self._is_store_healthy(shard):
            return {'taken': False}
        is_taken = self._take_over(
            shard, 'offered by its owner', known_version=version
        )
        return {'taken': is_taken}

    def answer_successor(self, body: CallBody) -> CallBody:
        """
        Answer the new owner of a shard what this instance left there.

        :param body: number of the shard, epochs of the new owner and of the one
            that it has replaced.
        :returns: identity of this process and its knowledge of runs.
        """
        return answer_as_former_owner(
            self._identity.instance_id,
            self._identity.incarnation,
            self.runner_by_shard.get(int(body['shard'])),
            epoch=int(body['epoch']),
            former_epoch=int(body['former_epoch']),
        )

    def leave(self, timeout_s: Seconds) -> None:
        """
        Release all shards, for a planned stop.

        :param timeout_s: longest wait for pending commits, in seconds.
        """
        self.is_leaving = True
        leaving = [
            gevent.spawn(self._release, runner, timeout_s)
            for runner in self.runner_by_shard.values()
            if not runner.is_stopped
        ]
        gevent.joinall(leaving, timeout=2 * timeout_s)

    def _watch(self, shard: int) -> None:
        while not self.is_leaving:
            self._check_owner(shard)
            is_close = (
                self._find_own_rank(shard) < _CLOSE_WATCHERS
                or shard in self._failing_since
            )
            gevent.sleep(
                _WATCH_INTERVAL_S if is_close else _SLOW_WATCH_INTERVAL_S
            )

    def _rank_reachable_first(self, shard: int) -> list[MemberRecord]:
        """Rank the members; those that did not answer lately come last."""
        return sorted(
            self._cluster.rank_members(shard),
            key=lambda member: self._peers.is_unreachable(member.address),
        )

    def _find_own_rank(self, shard: int) -> int:
        return self._watchers.find_rank(
            shard, self._cluster.rank_members(shard)
        )

    def _check_owner(self, shard: int) -> None:
        owner = self._cluster.owner_by_shard.get(shard)
        runner = self.runner(shard)
        if runner is not None:
            self._failing_since.pop(shard, None)
            if runner.store_outage_s() > _STORE_OUTAGE_LIMIT_S:
                self._offer_to_successors(shard, runner)
            return
        if owner is None or not owner.record.instance_id:
            self._take_over_vacant_shard(shard)
            return
        if self._is_this_instance(owner):
            self._take_over(
                shard,
                'named as owner without a runner',
                known_version=owner.version,
            )
            return
        answer = self._ask_owner(shard, owner.record.address)
        if answer == _OwnerAnswer.OWNS:
            self._failing_since.pop(shard, None)
            self._doubts.clear(shard, owner)
        else:
            self._consider_takeover(shard, owner, answer)

    def _consider_takeover(
        self,
        shard: int,
        owner: KnownOwner,
        answer: _OwnerAnswer,
    ) -> None:
        now = time.monotonic()
        failing_since = self._failing_since.setdefault(shard, now)
        rank = min(self._find_own_rank(shard), _MAX_WAIT_RANK)
        wait_s = rank * _WAIT_PER_RANK_S
        if answer == _OwnerAnswer.SILENT:
            wait_s += OWNER_TIMEOUT_S
        doubted_s = now - failing_since
        if doubted_s < wait_s - _PING_TIMEOUT_S:
            self._doubts.record_decision(
                shard, owner, DoubtDecision.WAIT, doubted_s
            )
            return
        is_owner_reachable: bool | None = False
        if answer == _OwnerAnswer.SILENT:
            is_owner_reachable = self._ask_witnesses(shard, owner)
        if is_owner_reachable is True:
            self._failing_since.pop(shard, None)
            self._doubts.record_decision(
                shard, owner, DoubtDecision.KEEP, doubted_s
            )
            return
        if (
            is_owner_reachable is None
            and doubted_s < wait_s + _ISOLATION_WAIT_S
        ):
            self._doubts.record_decision(
                shard, owner, DoubtDecision.WAIT_ISOLATED, doubted_s
            )
            return
        is_taken = self._take_over(
            shard,
            f'owner not confirmed for {doubted_s:.2f} s',
            known_version=owner.version,
        )
        self._failing_since.pop(shard, None)
        self._doubts.record_decision(
            shard,
            owner,
            DoubtDecision.TAKEN_OVER if is_taken else DoubtDecision.DROPPED,
            doubted_s,
        )

    def _ask_witnesses(self, shard: int, owner: KnownOwner) -> bool | None:
        """
        Ask other members whether the owner answers them.

        :returns: whether it answers any of them; ``None`` if none replied.
        """
        witnesses = [
            member
            for member in self._rank_reachable_first(shard)
            if member.instance_id
            not in {self._identity.instance_id, owner.record.instance_id}
        ]
        if not witnesses:
            return False
        requests = [
            gevent.spawn(self._ask_witness, member, shard, owner)
            for member in witnesses[: _WITNESSES * 2]
        ]
        gevent.joinall(requests, timeout=2 * _PING_TIMEOUT_S)
        self._doubts.record_witnesses(
            shard,
            {
                member.instance_id: request.value
                for member, request in zip(witnesses, requests, strict=False)
            },
        )
        answers = [
            request.value for request in requests if request.value is not None
        ]
        if not answers:
            return None
        return any(answers)

    def _ask_witness(
        self,
        member: MemberRecord,
        shard: int,
        owner: KnownOwner,
    ) -> bool | None:
        answer = self._peers.call(
            member.address,
            'hears',
            {'shard': shard, 'address': owner.record.address},
            2 * _PING_TIMEOUT_S,
        )
        if isinstance(answer, Unavailable):
            return None
        return bool(answer['hears'])

    def _is_this_instance(self, owner: KnownOwner) -> bool:
        return owner.record.incarnation == self._identity.incarnation

    def _ask_owner(self, shard: int, address: str) -> _OwnerAnswer:
        if address == self._identity.address:
            owns = self.runner(shard) is not None
            return _OwnerAnswer.OWNS if owns else _OwnerAnswer.DISOWNS
        answer = self._peers.call(
            address,
            'ping',
            {
                'shard': shard,
                'watcher': self._identity.instance_id,
                'rank': self._cluster.find_rank(
                    shard, self._identity.instance_id
                ),
            },
            _PING_TIMEOUT_S,
        )
        if isinstance(answer, Unavailable):
            self._doubts.record_failure(shard, answer.reason)
            return _OwnerAnswer.SILENT
        if not answer['owns']:
            self._doubts.record_failure(shard, 'it denies ownership')
            return _OwnerAnswer.DISOWNS
        self._watchers.record_watchers(shard, answer.get('watchers', ()))
        return _OwnerAnswer.OWNS

    def _take_over_vacant_shard(self, shard: int) -> None:
        if shard not in self._cluster.owner_by_shard:
            # The change feed delivers only changes; the owner row may have
            # been written before the feed started.
            row = self._read_row(owner_row(shard))
            if isinstance(row, StoredRow):
                self._cluster.apply_owner_row(row)
                return
        # Members with a better rank write first; the wait lets the change feed
        # deliver their write.
        known = self._cluster.owner_by_shard.get(shard)
        rank = min(self._find_own_rank(shard), _MAX_WAIT_RANK)
        gevent.sleep(rank * _WAIT_PER_RANK_S / 2)
        if self.is_leaving or self.runner(shard) is not None:
            return
        if self._cluster.owner_by_shard.get(shard) == known:
            version = 0 if known is None else known.version
            self._take_over(shard, 'no owner', known_version=version)

    def _take_over(
        self, shard: int, reason: str, *, known_version: int
    ) -> bool:
        """Become the owner if the owner row is still in the known version."""
        if self.runner(shard) is not None:
            return True
        rows = self._read_owner_and_sequence(shard)
        if rows is None or self.runner(shard) is not None:
            return False
        owner, sequence = rows
        found_version = 0 if owner is None else owner.version
        if found_version != known_version:
            event(
                'takeover_dropped',
                shard=shard,
                reason='another instance took over first',
                known=known_version,
                found=found_version,
            )
            return False
        former = _date_back(
            self._cluster.owner_by_shard.get(shard), sequence, time.monotonic()
        )
        epoch = _find_highest_epoch(owner, sequence) + 1
        record = self._build_record(epoch, owner, sequence)
        confirmation = OwnershipConfirmation(
            stored_at=time.monotonic(), suspended_s=get_total_suspended_s()
        )
        outcome = self._store.commit(
            _build_takeover_transaction(
                shard,
                record,
                found_version,
                0 if sequence is None else sequence.version,
            ),
            COMMIT_TIMEOUT_S,
        )
        event(
            'takeover',
            shard=shard,
            epoch=epoch,
            reason=reason,
            outcome=type(outcome).__name__,
            **_describe_former(former, time.monotonic()),
        )
        if not isinstance(outcome, TransactionDone):
            return False
        runner = self._make_runner(
            OwnershipTerm(
                shard=shard,
                epoch=epoch,
                confirmation=confirmation,
                version=outcome.version,
                previous_lease_s=_read_recorded_lease_s(owner),
                is_process_bound=record.is_process_bound,
                former=None if former is None else former.record,
            ),
        )
        self._cluster.counts.takeovers += 1
        former_runner = self.runner_by_shard.get(shard)
        self.runner_by_shard[shard] = runner
        runner.start()
        if former is not None and any(former.record.last_holder()):
            self._ask_former_owner(runner, former, former_runner)
        return True

    def _build_record(
        self,
        epoch: int,
        owner: StoredRow | None,
        sequence: StoredRow | None,
    ) -> OwnerRecord:
        return OwnerRecord(
            instance_id=self._identity.instance_id,
            incarnation=self._identity.incarnation,
            epoch=epoch,
            address=self._identity.address,
            lease_s=self._compute_longest_lease_s(
                epoch, _read_recorded_lease_s(owner)
            ),
            is_process_bound=_is_recorded_lease_bound(owner, sequence),
        )

    def _ask_former_owner(
        self,
        runner: ShardRunner,
        former: KnownOwner,
        former_runner: ShardRunner | None,
    ) -> None:
        instance_id, _ = former.record.last_holder()
        if instance_id != self._identity.instance_id:
            gevent.spawn(
                self._takeover_supervisor.run_once,
                ask_former_owner,
                self._peers,
                runner,
                former,
            )
            return
        answer = answer_as_former_owner(
            self._identity.instance_id,
            self._identity.incarnation,
            former_runner,
            epoch=runner.state.epoch,
            former_epoch=former.record.epoch,
        )
        use_answer(runner, former, answer)

    def _read_owner_and_sequence(
        self,
        shard: int,
    ) -> tuple[StoredRow | None, StoredRow | None] | None:
        owner = self._read_row(owner_row(shard))
        sequence = self._read_row(sequence_row(shard))
        if isinstance(owner, Unavailable) or isinstance(sequence, Unavailable):
            return None
        if owner is not None:
            self._cluster.apply_owner_row(owner)
        return owner, sequence

    def _read_row(self, name: RowName) -> StoredRow | None | Unavailable:
        page = self._store.read(name.table, name.partition)
        if isinstance(page, Unavailable):
            return page
        return next((row for row in page.rows if row.name == name), None)

    def _compute_longest_lease_s(
        self, epoch: int, previous_lease_s: Seconds
    ) -> Seconds:
        """
        Return the longest lease that this or an earlier owner may have granted.

        :returns: seconds; 0 if the lease of an earlier owner is not known.
        """
        if epoch > 1 and not previous_lease_s:
            return 0
        return max(self._lease_s, previous_lease_s)

    def _offer_to_successors(self, shard: int, runner: ShardRunner) -> None:
        for member in self._rank_reachable_first(shard):
            if member.instance_id == self._identity.instance_id:
                continue
            answer = self._peers.call(
                member.address,
                'take',
                {'shard': shard, 'version': runner.owner_version()},
                _OFFER_TIMEOUT_S,
            )
            if not isinstance(answer, Unavailable) and answer['taken']:
                runner.stop(f'handed over to {member.instance_id}')
                return
            if (
                runner.store_outage_s() <= _STORE_OUTAGE_LIMIT_S
                or runner.is_stopped
            ):
                return

    def _is_store_healthy(self, shard: int) -> bool:
        if self._health.has_failed_within(_STEADY_STORE_S):
            # The store was away for this instance as well. Its owner reaches
            # it again as soon as this one, and has the shard loaded.
            return False
        started_at = time.monotonic()
        page = self._store.read(
            owner_row(shard).table, partition_of_shard(shard)
        )
        if isinstance(page, Unavailable):
            return False
        return time.monotonic() - started_at <= _MAX_READ_S

    def _release(self, runner: ShardRunner, timeout_s: Seconds) -> None:
        runner.quiesce(timeout_s)
        if runner.is_stopped:
            return
        record = OwnerRecord(
            instance_id='',
            incarnation='',
            epoch=runner.state.epoch,
            lease_s=self._compute_longest_lease_s(
                runner.state.epoch,
                runner.state.previous_lease_s,
            ),
            is_process_bound=runner.state.is_process_bound,
            address=self._identity.address,
            departed_id=self._identity.instance_id,
            departed_incarnation=self._identity.incarnation,
        )
        transaction = Transaction(
            expected=(
                ExpectedVersion(
                    name=owner_row(runner.shard),
                    version=runner.owner_version(),
                ),
            ),
            writes=(
                RowWrite(
                    name=owner_row(runner.shard),
                    content=encode_record(record),
                ),
            ),
        )
        runner.stop('planned stop')
        outcome = self._store.commit(transaction, COMMIT_TIMEOUT_S)
        event(
            'shard_given_up',
            shard=runner.shard,
            outcome=type(outcome).__name__,
        )


def _build_takeover_transaction(
    shard: int,
    record: OwnerRecord,
    owner_version: int,
    sequence_version: int,
) -> Transaction:
    initial = SequenceRecord(epoch=record.epoch, number=0)
    return Transaction(
        expected=(
            ExpectedVersion(name=owner_row(shard), version=owner_version),
            ExpectedVersion(
                name=sequence_row(shard),
                version=sequence_version,
            ),
        ),
        writes=(
            RowWrite(name=owner_row(shard), content=encode_record(record)),
            RowWrite(name=sequence_row(shard), content=encode_record(initial)),
        ),
    )


def _decode_row(
    row: StoredRow | None, record_type: type[_Record]
) -> _Record | None:
    """Return the record in a row; ``None`` without one that can be read."""
    if row is None:
        return None
    record = decode_record(row.content or b'', record_type)
    return None if isinstance(record, Malformed) else record


def _date_back(
    owner: KnownOwner | None, sequence: StoredRow | None, now: MonotonicTime
) -> KnownOwner | None:
    """Use the age of the term in the last commit if it is that owner's."""
    if owner is None:
        return None
    term_start = estimate_term_start(
        _decode_row(sequence, SequenceRecord), owner.record.epoch, now
    )
    return replace(owner, seen_at=min(owner.seen_at, term_start))


def _describe_former(
    former: KnownOwner | None, now: MonotonicTime
) -> dict[str, str | float]:
    """Return the owner before a takeover for the log."""
    if former is None:
        return {'former': '', 'former_epoch': 0}
    return {
        'former': former.record.last_holder()[0],
        'former_epoch': former.record.epoch,
        'former_term_s': now - former.seen_at,
    }


def _read_recorded_lease_s(owner: StoredRow | None) -> Seconds:
    record = _decode_row(owner, OwnerRecord)
    return 0 if record is None else record.lease_s


def _is_recorded_lease_bound(
    owner: StoredRow | None, sequence: StoredRow | None
) -> bool:
    if owner is None:
        # Without any owner before there is no lease.
        return sequence is None
    record = _decode_row(owner, OwnerRecord)
    return record is not None and record.is_process_bound and record.lease_s > 0


def _find_highest_epoch(
    owner: StoredRow | None, sequence: StoredRow | None
) -> int:
    former = _decode_row(owner, OwnerRecord)
    last = _decode_row(sequence, SequenceRecord)
    return max(
        0 if record is None else record.epoch for record in (former, last)
    )

"""Who owns a shard: watching the owner, taking over, handing on.

The owner's row in the store decides. Anybody may replace the owner at any
moment by a conditional write, because each commit of the old one expects the
row as it wrote it. What is decided here only avoids needless changes.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.supervisor import Supervisor
from ragwortfield.engine.row_names import owner_row, part_of, sequence_row
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.log import event
from ragwortfield.peering.calls import CallBody, PeerCalls
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
    TransactionDone,
)
from ragwortfield.scheduling.records import (
    MemberRecord,
    OwnerRecord,
    SequenceRecord,
    decode_record,
    encode_record,
)
from ragwortfield.types import MonotonicTime, Seconds

#: Time between looks at the owner by its likely successors, in seconds.
_WATCH_S: Seconds = 0.3
#: Time between looks by all others, in seconds.
_SLOW_WATCH_S: Seconds = 2
#: Members that watch an owner closely.
_WATCHERS = 3
#: Longest wait for the owner's answer, in seconds.
_PING_TIMEOUT_S: Seconds = 0.4
#: Silence of the owner after which the first successor acts, in seconds.
_SILENCE_S: Seconds = 0.7
#: Further wait of each later successor, in seconds.
_RANK_STEP_S: Seconds = 0.25
#: Ranks beyond this wait no longer.
_LAST_RANK = 8
#: Further silence before an instance that hears nobody acts, in seconds.
_ISOLATED_S: Seconds = 2.5
#: The owner looks for a successor when the store has failed it this long.
_TROUBLE_S: Seconds = 0.6
#: A successor whose own read of the store takes longer does not step in,
#: because the store is then slow for everybody, in seconds.
_HEALTHY_READ_S: Seconds = 0.15
#: Longest wait for a member that is asked to take a shard, in seconds.
_OFFER_TIMEOUT_S: Seconds = 1.5
#: Members that are asked whether they hear the owner.
_WITNESSES = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipTerm:
    """
    Ownership of a shard by this instance.

    :param epoch: its fencing token.
    :param version: version of the owner's row and of the sequence row that
        were written with it.
    :param previous_lease_s: longest lease that the owners before asked of
        workers, in seconds; 0 when it is not known.
    """

    shard: int
    epoch: int
    version: int
    previous_lease_s: Seconds


RunnerFactory = Callable[[OwnershipTerm], ShardRunner]


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerIdentity:
    """Name and address of this life of an instance."""

    instance_id: str
    incarnation: str
    address: str


class _Word(Enum):
    """What the named owner of a shard says."""

    OWNS = 'owns'
    DISOWNS = 'disowns'
    SILENT = 'silent'


class OwnershipManager:
    """
    Part of one instance in the ownership of all shards.

    :param identity: this instance.
    :param cluster: view of the deployment.
    :param store: the platform's store.
    :param peers: calls to peers.
    :param lease_s: lease that owners ask of workers, in seconds.
    :param make_runner: makes the runner of a shard that was taken.
    """

    def __init__(
        self,
        *,
        identity: SchedulerIdentity,
        cluster: ClusterView,
        store: RowStore,
        peers: PeerCalls,
        lease_s: Seconds,
        make_runner: RunnerFactory,
    ) -> None:
        """Create; ``watch`` takes part."""
        self.runner_by_shard: dict[int, ShardRunner] = {}
        self.is_leaving = False
        self._identity = identity
        self._cluster = cluster
        self._store = store
        self._peers = peers
        self._lease_s = lease_s
        self._make_runner = make_runner
        self._failing_since: dict[int, MonotonicTime] = {}
        self._taking = Supervisor(name='take_vacancy')

    def watch(self, shard: int) -> None:
        """
        Watch the owner of a shard for ever.

        :param shard: number of the shard.
        """
        watching = Supervisor(
            name='watch_owner',
            pause_s=_WATCH_S,
            shard=shard,
        )
        watching.run(self._watch, shard)

    def runner(self, shard: int) -> ShardRunner | None:
        """
        Give the runner of a shard that this instance owns.

        :param shard: number of the shard.
        :returns: the runner, if it runs.
        """
        runner = self.runner_by_shard.get(shard)
        if runner is None or runner.is_stopped:
            return None
        return runner

    def handle_owner_change(self, shard: int) -> None:
        """
        Compare a changed owner with what runs here.

        :param shard: the shard whose owner changed.
        """
        runner = self.runner(shard)
        owner = self._cluster.owner_by_shard.get(shard)
        if runner is None or owner is None:
            return
        if owner.version > runner.owner_version():
            runner.stop('the store names another owner')
        if not owner.record.instance_id and not self.is_leaving:
            # Whoever watches the shard tries again.
            gevent.spawn(self._taking.run_once, self._take_vacancy, shard)

    def answer_ping(self, body: CallBody) -> CallBody:
        """
        Tell a peer whether a shard is owned here.

        :param body: the shard.
        :returns: whether it is, and under which epoch.
        """
        runner = self.runner(int(body['shard']))
        if runner is None:
            return {'owns': False, 'epoch': 0}
        return {'owns': True, 'epoch': runner.state.epoch}

    def answer_hears(self, body: CallBody) -> CallBody:
        """
        Tell a peer whether this instance hears the owner of a shard.

        :param body: shard and address of the owner.
        :returns: whether it answers here.
        """
        word = self._ask_owner(int(body['shard']), body['address'])
        return {'hears': word == _Word.OWNS}

    def answer_take(self, body: CallBody) -> CallBody:
        """
        Take a shard whose owner cannot reach the store.

        :param body: the shard.
        :returns: whether it was taken.
        """
        shard = int(body['shard'])
        if self.is_leaving or not self._is_store_healthy(shard):
            return {'taken': False}
        taken = self._take(
            shard,
            'asked by its owner',
            known_version=int(body['version']),
        )
        return {'taken': taken}

    def leave(self, timeout_s: Seconds) -> None:
        """
        Hand all shards on, for a planned stop.

        :param timeout_s: longest wait for what is under way, in seconds.
        """
        self.is_leaving = True
        leaving = [
            gevent.spawn(self._give_up, runner, timeout_s)
            for runner in self.runner_by_shard.values()
            if not runner.is_stopped
        ]
        gevent.joinall(leaving, timeout=2 * timeout_s)

    def _watch(self, shard: int) -> None:
        while not self.is_leaving:
            rank = self._rank(shard)
            self._look(shard, rank)
            gevent.sleep(_WATCH_S if rank < _WATCHERS else _SLOW_WATCH_S)

    def _rank(self, shard: int) -> int:
        return self._cluster.rank_of(shard, self._identity.instance_id)

    def _look(self, shard: int, rank: int) -> None:
        owner = self._cluster.owner_by_shard.get(shard)
        runner = self.runner(shard)
        if runner is not None:
            self._failing_since.pop(shard, None)
            if runner.store_outage_s() > _TROUBLE_S:
                self._offer(shard, runner)
            return
        if owner is None or not owner.record.instance_id:
            self._take_vacancy(shard)
            return
        if self._is_own(owner):
            self._take(
                shard,
                'named as owner without a runner',
                known_version=owner.version,
            )
            return
        word = self._ask_owner(shard, owner.record.address)
        if word == _Word.OWNS:
            self._failing_since.pop(shard, None)
        else:
            self._consider(shard, owner, rank, word)

    def _consider(
        self,
        shard: int,
        owner: KnownOwner,
        rank: int,
        word: _Word,
    ) -> None:
        now = time.monotonic()
        since = self._failing_since.setdefault(shard, now)
        wait_s = min(rank, _LAST_RANK) * _RANK_STEP_S
        if word == _Word.SILENT:
            wait_s += _SILENCE_S
        if now - since < wait_s - _PING_TIMEOUT_S:
            return
        heard: bool | None = False
        if word == _Word.SILENT:
            heard = self._ask_witnesses(shard, owner)
        if heard is True:
            self._failing_since.pop(shard, None)
            return
        if heard is None and now - since < wait_s + _ISOLATED_S:
            return
        self._take(
            shard,
            f'owner silent for {now - since:.2f} s',
            known_version=owner.version,
        )
        self._failing_since.pop(shard, None)

    def _ask_witnesses(self, shard: int, owner: KnownOwner) -> bool | None:
        """Ask others whether they hear the owner; None: nobody answers."""
        others = [
            member
            for member in self._cluster.rank_members(shard)
            if member.instance_id
            not in {self._identity.instance_id, owner.record.instance_id}
        ]
        if not others:
            return False
        asked = [
            gevent.spawn(self._ask_witness, member, shard, owner)
            for member in others[: _WITNESSES * 2]
        ]
        gevent.joinall(asked, timeout=2 * _PING_TIMEOUT_S)
        answers = [one.value for one in asked if one.value is not None]
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

    def _is_own(self, owner: KnownOwner) -> bool:
        return owner.record.incarnation == self._identity.incarnation

    def _ask_owner(self, shard: int, address: str) -> _Word:
        if address == self._identity.address:
            owns = self.runner(shard) is not None
            return _Word.OWNS if owns else _Word.DISOWNS
        answer = self._peers.call(
            address,
            'ping',
            {'shard': shard},
            _PING_TIMEOUT_S,
        )
        if isinstance(answer, Unavailable):
            return _Word.SILENT
        return _Word.OWNS if answer['owns'] else _Word.DISOWNS

    def _take_vacancy(self, shard: int) -> None:
        if shard not in self._cluster.owner_by_shard:
            # The feed tells changes only; the row may be older than it.
            row = self._read_row(owner_row(shard).table, shard)
            if isinstance(row, StoredRow):
                self._cluster.apply_owner_row(row)
                return
        # Those with a better rank go first; their write is then known here.
        known = self._cluster.owner_by_shard.get(shard)
        rank = min(self._rank(shard), _LAST_RANK)
        gevent.sleep(rank * _RANK_STEP_S / 2)
        if self.is_leaving or self.runner(shard) is not None:
            return
        if self._cluster.owner_by_shard.get(shard) == known:
            version = 0 if known is None else known.version
            self._take(shard, 'no owner', known_version=version)

    def _take(self, shard: int, reason: str, *, known_version: int) -> bool:
        """Become the owner, if it is still the one that was judged."""
        if self.runner(shard) is not None:
            return True
        rows = self._read_rows(shard)
        if rows is None or self.runner(shard) is not None:
            return False
        owner, sequence = rows
        found_version = 0 if owner is None else owner.version
        if found_version != known_version:
            event(
                'takeover_dropped',
                shard=shard,
                reason='another owner came first',
                known=known_version,
                found=found_version,
            )
            return False
        epoch = _epoch_of(owner, sequence) + 1
        previous_lease_s = _lease_of(owner)
        record = OwnerRecord(
            instance_id=self._identity.instance_id,
            incarnation=self._identity.incarnation,
            epoch=epoch,
            address=self._identity.address,
            lease_s=self._lease_after(epoch, previous_lease_s),
        )
        outcome = self._store.commit(
            _owner_change(
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
        )
        if not isinstance(outcome, TransactionDone):
            return False
        runner = self._make_runner(
            OwnershipTerm(
                shard=shard,
                epoch=epoch,
                version=outcome.version,
                previous_lease_s=previous_lease_s,
            ),
        )
        self.runner_by_shard[shard] = runner
        runner.start()
        return True

    def _read_rows(
        self,
        shard: int,
    ) -> tuple[StoredRow | None, StoredRow | None] | None:
        owner = self._read_row(owner_row(shard).table, shard)
        sequence = self._read_row(sequence_row(shard).table, shard)
        if isinstance(owner, Unavailable) or isinstance(sequence, Unavailable):
            return None
        if owner is not None:
            self._cluster.apply_owner_row(owner)
        return owner, sequence

    def _read_row(
        self,
        table: str,
        shard: int,
    ) -> StoredRow | None | Unavailable:
        page = self._store.read(table, part_of(shard))
        if isinstance(page, Unavailable):
            return page
        return page.rows[0] if page.rows else None

    def _lease_after(self, epoch: int, before_s: Seconds) -> Seconds:
        """Longest lease that an owner or one before it may leave behind."""
        if epoch > 1 and not before_s:
            return 0
        return max(self._lease_s, before_s)

    def _offer(self, shard: int, runner: ShardRunner) -> None:
        for member in self._cluster.rank_members(shard):
            if member.instance_id == self._identity.instance_id:
                continue
            answer = self._peers.call(
                member.address,
                'take',
                {'shard': shard, 'version': runner.owner_version()},
                _OFFER_TIMEOUT_S,
            )
            if runner.store_outage_s() <= _TROUBLE_S or runner.is_stopped:
                return
            if not isinstance(answer, Unavailable) and answer['taken']:
                runner.stop(f'handed to {member.instance_id}')
                return

    def _is_store_healthy(self, shard: int) -> bool:
        started_at = time.monotonic()
        page = self._store.read(owner_row(shard).table, part_of(shard))
        if isinstance(page, Unavailable):
            return False
        return time.monotonic() - started_at <= _HEALTHY_READ_S

    def _give_up(self, runner: ShardRunner, timeout_s: Seconds) -> None:
        runner.hand_over(timeout_s)
        if runner.is_stopped:
            return
        record = OwnerRecord(
            instance_id='',
            incarnation='',
            epoch=runner.state.epoch,
            lease_s=self._lease_after(
                runner.state.epoch,
                runner.state.previous_lease_s,
            ),
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


def _owner_change(
    shard: int,
    record: OwnerRecord,
    owner_version: int,
    sequence_version: int,
) -> Transaction:
    first = SequenceRecord(epoch=record.epoch, number=0)
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
            RowWrite(name=sequence_row(shard), content=encode_record(first)),
        ),
    )


def _lease_of(owner: StoredRow | None) -> Seconds:
    if owner is None:
        return 0
    record = decode_record(owner.content or b'', OwnerRecord)
    return 0 if isinstance(record, Malformed) else record.lease_s


def _epoch_of(owner: StoredRow | None, sequence: StoredRow | None) -> int:
    epoch = 0
    if owner is not None:
        record = decode_record(owner.content or b'', OwnerRecord)
        if not isinstance(record, Malformed):
            epoch = record.epoch
    if sequence is not None:
        last = decode_record(sequence.content or b'', SequenceRecord)
        if not isinstance(last, Malformed):
            epoch = max(epoch, last.epoch)
    return epoch

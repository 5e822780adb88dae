"""An instance's view of the deployment: members, shard owners, layout."""

import math
import time
from collections import Counter
from dataclasses import dataclass, field

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_names import (
    is_admission_row,
    is_layout_row,
    is_owner_row,
    member_id_of,
)
from ragwortfield.log import event
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.ports.row_store import StoredRow
from ragwortfield.scheduling.decision_log import DecisionLog
from ragwortfield.scheduling.owner_counts import OwnerCounts
from ragwortfield.scheduling.records import (
    AdmissionRecord,
    LayoutRecord,
    MemberRecord,
    OwnerRecord,
    decode_record,
)
from ragwortfield.types import InstanceId, MonotonicTime

#: Store latency above that of the fastest member up to which a member counts as
#: near the store, in milliseconds.
_NEAR_STORE_MS = 4
#: Factor on the weight of a member that is far from the store.
_FAR_WEIGHT = 0.1
#: Fraction of the largest member's CPU cores from which a member counts as
#: strong.
_STRONG_SHARE = 0.5
#: Factor on the weight of a weak member; lower than the one for distance,
#: because a strong member far from the store can manage more.
_WEAK_WEIGHT = 0.01
#: Number of strongest members that are left out when shards are sized, so that
#: their loss leaves owners of the assumed strength.
_SPARE_OWNERS = 2
#: Factor on the weight of a member for each shard of which it is the preferred
#: owner already.
_ASSIGNED_WEIGHT = 0.01
#: Lower bound of a weight, because the score is divided by it.
_MIN_WEIGHT = 1e-12
_HASH_BITS = 64
_HASH_SPAN = 2**_HASH_BITS


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownOwner:
    """
    Owner of a shard with the version of its row.

    :param seen_at: monotonic time at which the row was first seen, or an
        earlier time at which it had been written.
    """

    record: OwnerRecord
    version: int
    seen_at: MonotonicTime = field(
        default_factory=time.monotonic, compare=False
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownAdmission:
    """
    Queues of a shard that take no new jobs.

    :param valid_until: monotonic time until which that holds.
    """

    retry_after_s_by_queue: dict[str, int]
    valid_until: MonotonicTime


@dataclass(frozen=True, kw_only=True, slots=True)
class _BestFigures:
    """Lowest store latency and highest number of CPU cores of any member."""

    store_ms: float
    cores: float


@dataclass(kw_only=True, slots=True)
class ClusterView:
    """
    View of the deployment, built from the rows of the cluster table.

    :param shards: number of shards; 0 until the layout is known.
    :param worker_limits: hashes of worker identifiers at which a new shard
        begins.
    :param counts: counts of changes of owners.
    :param decisions: decisions made on this instance as an owner.
    """

    member_by_id: dict[InstanceId, MemberRecord] = field(default_factory=dict)
    owner_by_shard: dict[int, KnownOwner] = field(default_factory=dict)
    admission_by_shard: dict[int, KnownAdmission] = field(default_factory=dict)
    shards: int = 0
    worker_limits: tuple[int, ...] = ()
    counts: OwnerCounts = field(default_factory=OwnerCounts)
    decisions: DecisionLog = field(default_factory=DecisionLog)
    _preferred_by_shard: dict[int, InstanceId] = field(default_factory=dict)

    def apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """
        Apply rows of the cluster table.

        :param rows: new or changed rows.
        """
        for row in rows:
            member_id = member_id_of(row.name)
            if is_owner_row(row.name):
                self.apply_owner_row(row)
            elif is_admission_row(row.name):
                self._apply_admission_row(row)
            elif is_layout_row(row.name):
                self._apply_layout_row(row)
            elif member_id:
                self._apply_member_row(member_id, row)

    def find_retry_after_s(self, shard: int, queue: str) -> int:
        """
        Find out whether a queue takes new jobs.

        :param shard: shard of the job.
        :param queue: name of the queue.
        :returns: seconds after which the caller may come back; 0 if the queue
            takes jobs.
        """
        admission = self.admission_by_shard.get(shard)
        if admission is None or time.monotonic() > admission.valid_until:
            return 0
        return admission.retry_after_s_by_queue.get(queue, 0)

    def apply_owner_row(self, row: StoredRow) -> None:
        """
        Apply the owner row of a shard unless a newer version is known.

        :param row: the owner row.
        """
        shard = int(row.name.partition.removeprefix('s'))
        known = self.owner_by_shard.get(shard)
        if known is not None and known.version >= row.version:
            return
        record = decode_record(row.content or b'', OwnerRecord)
        if isinstance(record, Malformed):
            event('row_unreadable', key=row.name.key, reason=record.reason)
            # Whoever owned the shard can no longer commit, since commits
            # expect the row as the owner wrote it.
            record = OwnerRecord(instance_id='', incarnation='', epoch=0)
        if known is not None and known.record.epoch != record.epoch:
            self.counts.seen_changes += 1
        self.owner_by_shard[shard] = KnownOwner(
            record=record,
            version=row.version,
        )
        event(
            'owner_known',
            shard=shard,
            owner=record.instance_id,
            epoch=record.epoch,
            version=row.version,
        )

    def rank_members(self, shard: int) -> list[MemberRecord]:
        """
        Rank the members as owners of a shard by weighted rendezvous hashing.

        Strong members are far more likely to come first than weak ones, and
        among these, members near the store are more likely than distant ones.

        :param shard: number of the shard.
        :returns: members, the preferred owner first.
        """
        best_figures = self._find_best_figures()
        assigned_count_by_id = Counter(
            self._list_preferred_owners_before(shard, best_figures)
        )
        return sorted(
            self.member_by_id.values(),
            key=lambda member: _rendezvous_score(
                shard, member, best_figures, assigned_count_by_id
            ),
        )

    def expected_owner_cores(self) -> float:
        """
        Return the CPU cores that the owner of a shard can be expected to have.

        :returns: number of cores; 0 while no member is known.
        """
        by_strength = sorted(
            (member.cores for member in self.member_by_id.values()),
            reverse=True,
        )
        return next(iter(by_strength[_SPARE_OWNERS:] or by_strength[-1:]), 0)

    def find_rank(self, shard: int, instance_id: InstanceId) -> int:
        """
        Return the rank of a member as owner of a shard.

        :param shard: number of the shard.
        :param instance_id: the member.
        :returns: 0 for the preferred owner; the number of members if the
            member is unknown.
        """
        for rank, member in enumerate(self.rank_members(shard)):
            if member.instance_id == instance_id:
                return rank
        return len(self.member_by_id)

    def _list_preferred_owners_before(
        self,
        shard: int,
        best_figures: _BestFigures,
    ) -> list[InstanceId]:
        """
        List the preferred owners of all shards with lower numbers.

        They are chosen in the order of the shards, because each choice lowers
        the weight of the member for the shards after it.
        """
        if not self.member_by_id:
            return []
        for earlier in range(len(self._preferred_by_shard), shard):
            assigned_count_by_id = Counter(self._preferred_by_shard.values())
            preferred = self._choose_preferred_owner(
                earlier, best_figures, assigned_count_by_id
            )
            self._preferred_by_shard[earlier] = preferred.instance_id
        return [self._preferred_by_shard[earlier] for earlier in range(shard)]

    def _choose_preferred_owner(
        self,
        shard: int,
        best_figures: _BestFigures,
        assigned_count_by_id: Counter[InstanceId],
    ) -> MemberRecord:
        return min(
            self.member_by_id.values(),
            key=lambda member: _rendezvous_score(
                shard, member, best_figures, assigned_count_by_id
            ),
        )

    def _find_best_figures(self) -> _BestFigures:
        members = self.member_by_id.values()
        return _BestFigures(
            store_ms=min((member.store_ms for member in members), default=0),
            cores=max((member.cores for member in members), default=0),
        )

    def _apply_admission_row(self, row: StoredRow) -> None:
        shard = int(row.name.partition.removeprefix('s'))
        record = decode_record(row.content or b'', AdmissionRecord)
        if isinstance(record, Malformed):
            event('row_unreadable', key=row.name.key, reason=record.reason)
            record = AdmissionRecord()
        self.admission_by_shard[shard] = KnownAdmission(
            retry_after_s_by_queue=record.retry_after_s_by_queue,
            valid_until=time.monotonic() + record.valid_s,
        )

    def _apply_layout_row(self, row: StoredRow) -> None:
        record = decode_record(row.content or b'', LayoutRecord)
        if isinstance(record, Malformed):
            event('row_unreadable', key=row.name.key, reason=record.reason)
            return
        if record.shards < 1:
            event(
                'row_unreadable',
                key=row.name.key,
                reason=f'{record.shards} shards, expected at least 1',
            )
            return
        self.shards = record.shards
        self.worker_limits = record.worker_limits

    def _apply_member_row(self, member_id: InstanceId, row: StoredRow) -> None:
        self._preferred_by_shard.clear()
        if row.content is None:
            self.member_by_id.pop(member_id, None)
            return
        record = decode_record(row.content, MemberRecord)
        if isinstance(record, Malformed):
            event('row_unreadable', key=row.name.key, reason=record.reason)
            return
        self.member_by_id[member_id] = record


def _rendezvous_score(
    shard: int,
    member: MemberRecord,
    best_figures: _BestFigures,
    assigned_count_by_id: Counter[InstanceId],
) -> float:
    is_near = member.store_ms - best_figures.store_ms <= _NEAR_STORE_MS
    weight = member.cores
    if member.cores < _STRONG_SHARE * best_figures.cores:
        weight *= _WEAK_WEIGHT
    if not is_near:
        weight *= _FAR_WEIGHT
    # Shards should share an instance only if there are more shards than
    # members.
    weight *= _ASSIGNED_WEIGHT ** assigned_count_by_id[member.instance_id]
    draw = (stable_hash(f'{shard}|{member.instance_id}') + 1) / _HASH_SPAN
    return -math.log(draw) / max(weight, _MIN_WEIGHT)

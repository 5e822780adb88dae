"""What an instance knows of the deployment: members, owners, layout."""

import math
from collections import Counter
from dataclasses import dataclass, field

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_names import (
    is_layout_row,
    is_owner_row,
    member_id_of,
)
from ragwortfield.log import event
from ragwortfield.ports.row_store import StoredRow
from ragwortfield.scheduling.records import (
    LayoutRecord,
    MemberRecord,
    OwnerRecord,
    decode_record,
)
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.types import InstanceId

#: A member this much slower to the store than the fastest lies further away.
_NEAR_STORE_MS = 4
#: Weight of a member far from the store against one that is near.
_FAR_WEIGHT = 0.1
#: Share of the strongest member's processor from which on a member is strong.
_STRONG_SHARE = 0.5
#: Weight of a member that is not: one far from the store carries more.
_WEAK_WEIGHT = 0.01
#: Strongest members that are passed over when shards are sized, so that
#: losing them leaves owners of the same strength.
_SPARE_OWNERS = 2
#: Weight of a member for each shard that prefers it already.
_ASSIGNED_WEIGHT = 0.01
_MIN_WEIGHT = 1e-12
_HASH_BITS = 64
_HASH_SPAN = 2**_HASH_BITS


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownOwner:
    """Owner of a shard, with the version of the row that says so."""

    record: OwnerRecord
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _BestFigures:
    """Best figures of any member: time to the store, processor."""

    store_ms: float
    cores: float


@dataclass(kw_only=True, slots=True)
class ClusterView:
    """
    View of the deployment, fed by the cluster table.

    :param shards: number of shards; 0 until the layout is known.
    :param worker_limits: division of the workers among them.
    """

    member_by_id: dict[InstanceId, MemberRecord] = field(default_factory=dict)
    owner_by_shard: dict[int, KnownOwner] = field(default_factory=dict)
    shards: int = 0
    worker_limits: tuple[int, ...] = ()
    _preferred: dict[int, InstanceId] = field(default_factory=dict)

    def take_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """
        Take rows of the cluster table in.

        :param rows: rows, new or changed.
        """
        for row in rows:
            member_id = member_id_of(row.name)
            if is_owner_row(row.name):
                self.apply_owner_row(row)
            elif is_layout_row(row.name):
                self._apply_layout_row(row)
            elif member_id:
                self._apply_member_row(member_id, row)

    def apply_owner_row(self, row: StoredRow) -> None:
        """
        Take the owner's row of a shard in, unless a newer one is known.

        :param row: the row.
        """
        shard = int(row.name.partition.removeprefix('s'))
        known = self.owner_by_shard.get(shard)
        if known is not None and known.version >= row.version:
            return
        record = decode_record(row.content or b'', OwnerRecord)
        if isinstance(record, Malformed):
            event('row_unreadable', key=row.name.key, reason=record.reason)
            return
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
        Rank the members as owners of a shard.

        Weighted rendezvous hashing: strong members come before weak ones,
        and among them those near the store come first more often.

        :param shard: number of the shard.
        :returns: members, the preferred one first.
        """
        best = self._best_figures()
        busy = Counter(self._preferred_owners_before(shard, best))
        return sorted(
            self.member_by_id.values(),
            key=lambda one: _rendezvous_score(shard, one, best, busy),
        )

    def expected_owner_cores(self) -> float:
        """
        Give the processor that an owner of a shard can be expected to have.

        :returns: cores; 0 while no member is known.
        """
        by_strength = sorted(
            (one.cores for one in self.member_by_id.values()),
            reverse=True,
        )
        return next(iter(by_strength[_SPARE_OWNERS:] or by_strength[-1:]), 0)

    def rank_of(self, shard: int, instance_id: InstanceId) -> int:
        """
        Tell the rank of a member as owner of a shard.

        :param shard: number of the shard.
        :param instance_id: the member.
        :returns: 0 for the preferred one; the number of members if unknown.
        """
        for rank, member in enumerate(self.rank_members(shard)):
            if member.instance_id == instance_id:
                return rank
        return len(self.member_by_id)

    def _preferred_owners_before(
        self,
        shard: int,
        best_known: _BestFigures,
    ) -> list[InstanceId]:
        """List the preferred owners of the shards before one."""
        if not self.member_by_id:
            return []
        for earlier in range(len(self._preferred), shard):
            busy = Counter(self._preferred.values())
            best = self._best(earlier, best_known, busy)
            self._preferred[earlier] = best.instance_id
        return [self._preferred[earlier] for earlier in range(shard)]

    def _best(
        self,
        shard: int,
        best_known: _BestFigures,
        busy: Counter[InstanceId],
    ) -> MemberRecord:
        return min(
            self.member_by_id.values(),
            key=lambda one: _rendezvous_score(shard, one, best_known, busy),
        )

    def _best_figures(self) -> _BestFigures:
        members = self.member_by_id.values()
        return _BestFigures(
            store_ms=min((one.store_ms for one in members), default=0),
            cores=max((one.cores for one in members), default=0),
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
                reason=f'{record.shards} shards, expected one or more',
            )
            return
        self.shards = record.shards
        self.worker_limits = record.worker_limits

    def _apply_member_row(self, member_id: InstanceId, row: StoredRow) -> None:
        self._preferred.clear()
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
    best: _BestFigures,
    busy: Counter[InstanceId],
) -> float:
    is_near = member.store_ms - best.store_ms <= _NEAR_STORE_MS
    weight = member.cores
    if member.cores < _STRONG_SHARE * best.cores:
        weight *= _WEAK_WEIGHT
    if not is_near:
        weight *= _FAR_WEIGHT
    # Shards share an instance only where there are more of them.
    weight *= _ASSIGNED_WEIGHT ** busy[member.instance_id]
    draw = (stable_hash(f'{shard}|{member.instance_id}') + 1) / _HASH_SPAN
    return -math.log(draw) / max(weight, _MIN_WEIGHT)

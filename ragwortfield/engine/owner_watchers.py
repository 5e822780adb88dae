"""Which members watch the owner of a shard, and so are alive.

Members that are gone for good keep their rows, and with them their ranks. The
owner tells each member that checks it which others have done so lately. A
member counts only these as ranked before it.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ragwortfield.scheduling.records import MemberRecord
from ragwortfield.types import InstanceId, MonotonicTime, Seconds

#: Time for which a check of the owner counts as recent, in seconds; several
#: times the interval at which the likely successors check it.
_RECENT_S: Seconds = 1.5
#: Largest number of members that an owner names, so that its answers do not
#: grow with the deployment.
MAX_NAMED_WATCHERS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class _Check:
    """Check of the owner by a member, with the member's rank."""

    rank: int
    checked_at: MonotonicTime


class OwnerWatchers:
    """
    Checks that an owner has answered, and what other owners said of theirs.

    :param instance_id: this instance.
    """

    def __init__(self, *, instance_id: InstanceId) -> None:
        """Create without any knowledge."""
        self._instance_id = instance_id
        self._checks_by_shard: dict[int, dict[InstanceId, _Check]] = (
            defaultdict(dict)
        )
        self._watchers_by_shard: dict[int, frozenset[InstanceId]] = {}

    def record_check(
        self, shard: int, watcher: InstanceId, rank: int, now: MonotonicTime
    ) -> list[InstanceId]:
        """
        Record that a member has checked this instance as owner of a shard.

        :param shard: number of the shard.
        :param watcher: the member; empty if it does not say.
        :param rank: its rank among all members.
        :param now: monotonic time, in seconds.
        :returns: the first in rank of the members that have done so lately.
        """
        check_by_id = self._checks_by_shard[shard]
        for member_id, check in tuple(check_by_id.items()):
            if now - check.checked_at > _RECENT_S:
                del check_by_id[member_id]
        if watcher:
            check_by_id[watcher] = _Check(rank=rank, checked_at=now)
        by_rank = sorted(
            check_by_id, key=lambda member_id: check_by_id[member_id].rank
        )
        return by_rank[:MAX_NAMED_WATCHERS]

    def record_watchers(self, shard: int, watchers: Iterable[str]) -> None:
        """
        Record which members an owner has named.

        :param shard: number of the shard.
        :param watchers: the members; empty if the owner names none, as owners
            of an earlier version.
        """
        self._watchers_by_shard[shard] = frozenset(watchers)

    def find_rank(self, shard: int, ranked: list[MemberRecord]) -> int:
        """
        Return the rank of this instance among the members that are alive.

        :param shard: number of the shard.
        :param ranked: all members, the preferred owner first.
        :returns: number of members before this one that watch the owner; of
            all members before it if no owner has answered yet.
        """
        ranked_ids = [member.instance_id for member in ranked]
        if self._instance_id in ranked_ids:
            ranked_ids = ranked_ids[: ranked_ids.index(self._instance_id)]
        watchers = self._watchers_by_shard.get(shard)
        if watchers is None:
            return len(ranked_ids)
        return sum(member_id in watchers for member_id in ranked_ids)

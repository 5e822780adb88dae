"""Log of doubts about the owner of a shard, and of what is decided then."""

from enum import StrEnum

from ragwortfield.engine.cluster_view import KnownOwner
from ragwortfield.log import event
from ragwortfield.types import InstanceId, Seconds


class DoubtDecision(StrEnum):
    """
    What is decided about an owner that did not confirm its ownership.

    ``WAIT``: its time-out is not over; ``WAIT_ISOLATED``: no other member has
    answered either; ``KEEP``: another member reaches the owner; ``DROPPED``:
    the takeover did not succeed.
    """

    WAIT = 'wait'
    WAIT_ISOLATED = 'wait_isolated'
    KEEP = 'keep'
    TAKEN_OVER = 'taken_over'
    DROPPED = 'dropped'


class OwnerDoubts:
    """
    Logs each decision about an owner once, until the owner confirms again.

    Owners are checked several times a second, and the decision is often the
    same.
    """

    def __init__(self) -> None:
        """Create without a doubt."""
        self._failure_by_shard: dict[int, str] = {}
        self._witnesses_by_shard: dict[int, str] = {}
        self._logged_by_shard: dict[int, set[tuple[int, DoubtDecision]]] = {}

    def record_failure(self, shard: int, reason: str) -> None:
        """
        Record why the owner of a shard did not confirm its ownership.

        :param shard: number of the shard.
        :param reason: the reason, for the log.
        """
        self._failure_by_shard[shard] = reason

    def record_witnesses(
        self, shard: int, answer_by_member: dict[InstanceId, bool | None]
    ) -> None:
        """
        Record what other members said about the owner of a shard.

        :param shard: number of the shard.
        :param answer_by_member: whether the owner answers the member; ``None``
            if the member did not reply.
        """
        self._witnesses_by_shard[shard] = ','.join(
            f'{member_id}:{_format_answer(answer)}'
            for member_id, answer in answer_by_member.items()
        )

    def record_decision(
        self,
        shard: int,
        owner: KnownOwner,
        decision: DoubtDecision,
        doubted_s: Seconds,
    ) -> None:
        """
        Record a decision about the owner of a shard.

        :param shard: number of the shard.
        :param owner: its owner.
        :param decision: the decision.
        :param doubted_s: time since its first answer was missing, in seconds.
        """
        logged = self._logged_by_shard.setdefault(shard, set())
        if (owner.record.epoch, decision) in logged:
            return
        logged.add((owner.record.epoch, decision))
        event(
            'owner_doubted',
            shard=shard,
            owner=owner.record.instance_id,
            epoch=owner.record.epoch,
            failure=self._failure_by_shard.get(shard, ''),
            doubted_s=doubted_s,
            witnesses=self._witnesses_by_shard.get(shard, ''),
            decision=decision.value,
        )
        if decision == DoubtDecision.TAKEN_OVER:
            self._forget(shard)

    def clear(self, shard: int, owner: KnownOwner) -> None:
        """
        Forget the doubts about the owner of a shard, which has confirmed.

        :param shard: number of the shard.
        :param owner: its owner, which need not be the one that was doubted.
        """
        if self._forget(shard):
            event(
                'owner_confirmed',
                shard=shard,
                owner=owner.record.instance_id,
                epoch=owner.record.epoch,
            )

    def _forget(self, shard: int) -> bool:
        """Forget all doubts about a shard; return whether there were any."""
        self._failure_by_shard.pop(shard, None)
        self._witnesses_by_shard.pop(shard, None)
        return bool(self._logged_by_shard.pop(shard, None))


def _format_answer(answer: bool | None) -> str:
    if answer is None:
        return 'no_reply'
    return 'reached' if answer else 'not_reached'

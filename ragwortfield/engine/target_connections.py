"""Connections to targets and peers, and what targets say of themselves."""

from dataclasses import replace

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.targets import Target, TargetState
from ragwortfield.log import event
from ragwortfield.types import TargetId

#: Page on which a target says whether it takes new work.
HEALTH_PATH = '/health'
#: Header field by which a target says that it is leaving.
TARGET_STATE_HEADER = 'ragwortfield-target'
_PROBE_TIMEOUTS = Timeouts(first_byte_s=0.5, total_s=0.5)
_HEALTH_REQUEST = HttpRequest(method='GET', path=HEALTH_PATH)


class TargetLinks:
    """
    Connection pools by address.

    :param instance_state: the instance's tables.
    """

    def __init__(self, *, instance_state: InstanceState) -> None:
        """Create an empty set of pools."""
        self._instance_state = instance_state
        self._pool_by_target: dict[TargetId, HttpConnectionPool] = {}
        self._pool_by_peer_address: dict[str, HttpConnectionPool] = {}

    def pool(self, target: Target) -> HttpConnectionPool:
        """
        Find the pool of a target.

        :param target: the target.
        :returns: its pool, a new one when its address changed.
        """
        pool = self._pool_by_target.get(target.target_id)
        if pool is None or pool.address != target.address:
            if pool is not None:
                pool.retire_connections()
            pool = HttpConnectionPool(address=target.address)
            self._pool_by_target[target.target_id] = pool
        return pool

    def peer_pool(self, address: str) -> HttpConnectionPool:
        """
        Find the pool of a peer's HTTP address.

        :param address: host and port.
        :returns: the pool.
        """
        pool = self._pool_by_peer_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_peer_address[address] = pool
        return pool

    def observe(self, target: Target, answer: WholeAnswer) -> None:
        """
        Heed what an answer says about its target.

        :param target: the target.
        :param answer: a whole answer of it.
        """
        if answer.get_header(TARGET_STATE_HEADER) == TargetState.LEAVING:
            self.mark_leaving(target, 'its own word')

    def mark_leaving(self, target: Target, evidence: str) -> None:
        """
        Give a target no new work.

        :param target: the target.
        :param evidence: how it is known.
        """
        known = self._instance_state.target_by_id.get(target.target_id)
        if known is None or known.state is TargetState.LEAVING:
            return
        self._instance_state.target_by_id[target.target_id] = replace(
            known,
            state=TargetState.LEAVING,
        )
        event(
            'target_leaving',
            target=target.target_id,
            evidence=evidence,
        )

    def is_fresh_connection_fine(self, target: Target) -> bool:
        """
        Probe a target over a connection of its own.

        :param target: the target.
        :returns: whether it answered its health page in time.
        """
        outcome = self.pool(target).exchange_on_new_connection(
            _HEALTH_REQUEST,
            _PROBE_TIMEOUTS,
        )
        return isinstance(outcome, WholeAnswer)

    def check_health(self, target: Target) -> bool:
        """
        Ask a target whether it takes new work.

        :param target: the target.
        :returns: whether it answered in time.
        """
        outcome = self.pool(target).exchange(_HEALTH_REQUEST, _PROBE_TIMEOUTS)
        if isinstance(outcome, WholeAnswer):
            self.observe(target, outcome)
            return True
        return False

    def drop_unlisted(self) -> None:
        """Close the connections of targets that are known no more."""
        for target_id in tuple(self._pool_by_target):
            if target_id not in self._instance_state.target_by_id:
                self._pool_by_target.pop(target_id).retire_connections()

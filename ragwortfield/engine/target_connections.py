"""Connection pools of targets and peers, and health checks of targets."""

from dataclasses import replace

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.targets import Target, TargetState
from ragwortfield.log import event
from ragwortfield.types import TargetId

#: Path at which a target reports whether it accepts new requests.
HEALTH_PATH = '/health'
#: Header field by which a target announces that it is shutting down.
TARGET_STATE_HEADER = 'ragwortfield-target'
#: Time-outs of a health check, in seconds.
_HEALTH_CHECK_TIMEOUTS = Timeouts(first_byte_s=0.5, total_s=0.5)
_HEALTH_REQUEST = HttpRequest(method='GET', path=HEALTH_PATH)


class TargetConnections:
    """
    Connection pools by target and by peer address.

    :param instance_state: the instance's in-memory state.
    """

    def __init__(self, *, instance_state: InstanceState) -> None:
        """Create an empty set of pools."""
        self._instance_state = instance_state
        self._pool_by_target: dict[TargetId, HttpConnectionPool] = {}
        self._pool_by_peer_address: dict[str, HttpConnectionPool] = {}

    def get_target_pool(self, target: Target) -> HttpConnectionPool:
        """
        Get the connection pool of a target.

        :param target: the target.
        :returns: its pool; a new one if the target's address has changed.
        """
        pool = self._pool_by_target.get(target.target_id)
        if pool is None or pool.address != target.address:
            if pool is not None:
                pool.retire_connections()
            pool = HttpConnectionPool(address=target.address)
            self._pool_by_target[target.target_id] = pool
        return pool

    def get_peer_pool(self, address: str) -> HttpConnectionPool:
        """
        Get the connection pool of a peer's HTTP address.

        :param address: host and port.
        :returns: the pool.
        """
        pool = self._pool_by_peer_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_peer_address[address] = pool
        return pool

    def observe_response(self, target: Target, answer: WholeAnswer) -> None:
        """
        Mark a target as leaving if its response announces that.

        :param target: the target.
        :param answer: a complete response of the target.
        """
        if answer.get_header(TARGET_STATE_HEADER) == TargetState.LEAVING:
            self.mark_leaving(target, 'response header field')

    def mark_leaving(self, target: Target, evidence: str) -> None:
        """
        Mark a target as leaving, so that it is sent no new requests.

        :param target: the target.
        :param evidence: how it is known that the target leaves, for the log.
        """
        current = self._instance_state.target_by_id.get(target.target_id)
        if current is None or current.state is TargetState.LEAVING:
            return
        self._instance_state.target_by_id[target.target_id] = replace(
            current,
            state=TargetState.LEAVING,
        )
        event(
            'target_leaving',
            target=target.target_id,
            evidence=evidence,
        )

    def is_new_connection_healthy(self, target: Target) -> bool:
        """
        Probe a target over a new connection.

        :param target: the target.
        :returns: whether it answered the health check within 0.5 s.
        """
        outcome = self.get_target_pool(target).exchange_on_new_connection(
            _HEALTH_REQUEST,
            _HEALTH_CHECK_TIMEOUTS,
        )
        return isinstance(outcome, WholeAnswer)

    def check_health(self, target: Target) -> bool:
        """
        Check a target's health, and whether it announces that it leaves.

        :param target: the target.
        :returns: whether it answered the health check within 0.5 s.
        """
        outcome = self.get_target_pool(target).exchange(
            _HEALTH_REQUEST,
            _HEALTH_CHECK_TIMEOUTS,
        )
        if isinstance(outcome, WholeAnswer):
            self.observe_response(target, outcome)
            return True
        return False

    def close_unlisted(self) -> None:
        """Close the connections of targets that are no longer known."""
        for target_id in tuple(self._pool_by_target):
            if target_id not in self._instance_state.target_by_id:
                self._pool_by_target.pop(target_id).retire_connections()

"""Peers: the other entry instances as last heard of."""

from dataclasses import dataclass, field

from ragwortfield.types import (
    DataCentreName,
    InstanceId,
    MonotonicTime,
    ServiceName,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """
    Entry instance as its last heartbeat described it.

    :param http_address: where callers' requests may be relayed to.
    :param heard_at: when the last heartbeat came.
    :param free_by_service: slots that the peer could give at once.
    :param generation_by_seat: generations of the seats it holds, by row key.
    :param is_leaving: whether the peer is in a planned stop.
    :param is_store_reachable: whether the peer reached the platform lately.
    """

    instance_id: InstanceId
    data_centre: DataCentreName
    http_address: str
    heard_at: MonotonicTime
    free_by_service: dict[ServiceName, int] = field(default_factory=dict)
    generation_by_seat: dict[str, int] = field(default_factory=dict)
    configuration_version: int = 0
    is_leaving: bool = False
    is_store_reachable: bool = False

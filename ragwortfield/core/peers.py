"""Peers: the other entry instances, according to their heartbeats."""

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
    Entry instance as described by its last heartbeat.

    :param http_address: address that callers' requests can be relayed to.
    :param heard_at: time at which the last heartbeat arrived.
    :param free_by_service: number of free slots by service.
    :param generation_by_seat: generations of the seats that the peer holds, by
        row key.
    :param configuration_version: version of the peer's configuration; 0 if it
        has none.
    :param is_leaving: whether the peer is shutting down as planned.
    :param is_store_reachable: whether the peer reached the platform recently.
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

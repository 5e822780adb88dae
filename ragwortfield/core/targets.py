"""Targets: the back ends of a service, each running on a worker."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.types import (
    DataCentreName,
    MonotonicTime,
    ServiceName,
    TargetId,
)


class TargetState(StrEnum):
    """Whether a target accepts new requests."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """
    Back end that answers requests of one service.

    :param address: ``host:port``.
    :param state: state as listed by the platform or announced by the target
        itself.
    """

    target_id: TargetId
    service: ServiceName
    data_centre: DataCentreName
    address: str
    state: TargetState = TargetState.LIVE


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetHealth:
    """
    Health of one target as observed by this instance.

    :param failures: consecutive failures attributed to the target.
    :param failed_at: time of the last such failure.
    :param ejected_until: end of the ejection; 0 if not ejected.
    :param ejections: consecutive ejections; each one lasts longer than the
        previous one.
    :param is_probing: whether a request that probes the target after an
        ejection is in flight.
    :param latency_s: exponentially smoothed latency of responses, in
        seconds; 0 before the first response.
    """

    failures: int = 0
    failed_at: MonotonicTime = 0
    ejected_until: MonotonicTime = 0
    ejections: int = 0
    is_probing: bool = False
    latency_s: float = 0

"""Targets: the back ends of a service, one on a worker."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.types import (
    DataCentreName,
    MonotonicTime,
    ServiceName,
    TargetId,
)


class TargetState(StrEnum):
    """Whether a target takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """
    Back end that answers requests of one service.

    :param address: host and port, joined by a colon.
    :param state: state by the platform's list or by the target's own word.
    """

    target_id: TargetId
    service: ServiceName
    data_centre: DataCentreName
    address: str
    state: TargetState = TargetState.LIVE


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetHealth:
    """
    Evidence about one target, gathered by this instance.

    :param failures: failures in a row blamed on the target.
    :param failed_at: when the last of them was.
    :param ejected_until: end of the ejection; zero when not ejected.
    :param ejections: ejections in a row; the next one lasts longer.
    :param is_probing: whether a half-open probe is on its way.
    :param latency_s: smoothed latency of answers.
    """

    failures: int = 0
    failed_at: MonotonicTime = 0
    ejected_until: MonotonicTime = 0
    ejections: int = 0
    is_probing: bool = False
    latency_s: float = 0

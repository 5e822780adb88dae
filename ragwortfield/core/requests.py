"""Requests of callers after validation."""

from dataclasses import dataclass

from ragwortfield.core.configuration import RequestClass
from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.types import MonotonicTime, ServiceName, TeamName


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """
    Validated request of a caller, with defaults filled in.

    :param path: percent-encoded path and query to send to the target.
    :param fields: header fields to send to the target.
    :param deadline: time after which the caller no longer needs a response.
    :param is_idempotent: whether the method may be sent more than once.
    :param key: idempotency key; empty if the caller sent none.
    :param hops: number of entry instances that have relayed the request.
    :param is_quota_charged: whether an instance has already charged the
        request to the team's quota.
    """

    request_id: str
    team: TeamName
    service: ServiceName
    request_class: RequestClass
    method: str
    path: str
    fields: HeaderFields
    body: bytes
    deadline: MonotonicTime
    is_idempotent: bool
    key: str = ''
    hops: int = 0
    is_quota_charged: bool = False

"""Requests of callers, checked and complete."""

from dataclasses import dataclass

from ragwortfield.core.configuration import RequestClass
from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.types import MonotonicTime, ServiceName, TeamName


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """
    Request of a caller.

    :param path: path and query for the target, percent-encoded.
    :param fields: header fields that the target gets.
    :param deadline: instant after which no answer is wanted.
    :param key: idempotency key; empty when the caller sent none.
    :param hops: entry instances that relayed the request so far.
    :param is_quota_charged: whether an instance charged the team's quota.
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

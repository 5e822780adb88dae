"""Validation of callers' requests against the configuration."""

import hashlib
import hmac
import math
from dataclasses import dataclass
from http import HTTPStatus

from ragwortfield.core.configuration import (
    RANK_BY_CLASS,
    Configuration,
    RequestClass,
    Service,
    Team,
)
from ragwortfield.core.outcomes import HeaderFields, Refusal
from ragwortfield.core.requests import CallerRequest
from ragwortfield.types import MonotonicTime, Seconds

#: Maximum length of an idempotency key, in characters.
MAX_KEY_LENGTH = 128
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class UnvalidatedRequest:
    """
    Request as the caller sent it; omitted values are empty.

    :param class_text: requested class.
    :param deadline_text: requested deadline in milliseconds after arrival.
    :param key: idempotency key.
    :param elapsed_s: time since the request arrived, in seconds.
    :param hops: number of instances that have relayed the request; the first
        of them has already verified the token of the team.
    :param is_quota_charged: whether one of them has charged the request to
        the team's quota.
    """

    request_id: str
    service: str
    team: str
    token: str
    class_text: str
    deadline_text: str
    key: str
    method: str
    path: str
    fields: HeaderFields
    body: bytes
    elapsed_s: Seconds = 0
    hops: int = 0
    is_quota_charged: bool = False


def hash_token(token: str) -> str:
    """
    Hash a token the way the configuration stores it.

    :param token: the secret token.
    :returns: hexadecimal SHA-256 digest.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def is_token_valid(team: Team, token: str) -> bool:
    """
    Return whether a token belongs to a team.

    Compares in constant time, so that the response time reveals nothing about
    the token.

    :param token: the secret token.
    """
    return hmac.compare_digest(hash_token(token), team.token_sha256)


def validate_request(
    configuration: Configuration,
    raw: UnvalidatedRequest,
    now: MonotonicTime,
) -> CallerRequest | Refusal:
    """
    Validate a request and fill in defaults from the configuration.

    :param configuration: the current configuration.
    :param raw: the request as the caller sent it.
    :param now: monotonic time, in seconds.
    :returns: the validated request, or a refusal that explains the error.
    """
    service = configuration.services.get(raw.service)
    if service is None:
        return Refusal(
            status=HTTPStatus.NOT_FOUND,
            code='unknown-service',
            message=f'service {raw.service!r} is not in the configuration',
        )
    team = _validate_team(configuration, raw)
    if isinstance(team, Refusal):
        return team
    request_class = _resolve_class(service, team, raw)
    if isinstance(request_class, Refusal):
        return request_class
    time_limit_s = _resolve_time_limit(configuration, service, raw)
    if isinstance(time_limit_s, Refusal):
        return time_limit_s
    if len(raw.key) > MAX_KEY_LENGTH or not raw.key.isprintable():
        return Refusal(
            status=HTTPStatus.BAD_REQUEST,
            code='bad-key',
            message=(
                f'Idempotency-Key has {len(raw.key)} characters, expected at '
                f'most {MAX_KEY_LENGTH} printable ones'
            ),
        )
    return CallerRequest(
        request_id=raw.request_id,
        team=raw.team,
        service=raw.service,
        request_class=request_class,
        method=raw.method,
        path=raw.path,
        fields=raw.fields,
        body=raw.body,
        deadline=now + time_limit_s - raw.elapsed_s,
        is_idempotent=raw.method in service.idempotent_methods,
        key=raw.key,
        hops=raw.hops,
        is_quota_charged=raw.is_quota_charged,
    )


def _validate_team(
    configuration: Configuration,
    raw: UnvalidatedRequest,
) -> Team | Refusal:
    team = configuration.teams.get(raw.team)
    if team is None:
        return Refusal(
            status=HTTPStatus.UNAUTHORIZED,
            code='unknown-team',
            message=f'team {raw.team!r} is not in the configuration',
        )
    if raw.hops:
        return team
    if not is_token_valid(team, raw.token):
        return Refusal(
            status=HTTPStatus.UNAUTHORIZED,
            code='wrong-token',
            message=f'the token is not one of team {raw.team!r}',
        )
    return team


def _resolve_class(
    service: Service,
    team: Team,
    raw: UnvalidatedRequest,
) -> RequestClass | Refusal:
    class_text = raw.class_text
    if not class_text:
        rank = max(
            RANK_BY_CLASS[service.default_class],
            RANK_BY_CLASS[team.highest_class],
        )
        return tuple(RequestClass)[rank]
    if class_text not in tuple(RequestClass):
        expected = ', '.join(RequestClass)
        return Refusal(
            status=HTTPStatus.BAD_REQUEST,
            code='unknown-class',
            message=(
                f'class {class_text!r} is unknown, expected one of {expected}'
            ),
        )
    requested_class = RequestClass(class_text)
    if RANK_BY_CLASS[requested_class] < RANK_BY_CLASS[team.highest_class]:
        return Refusal(
            status=HTTPStatus.FORBIDDEN,
            code='class-too-high',
            message=(
                f'team {raw.team!r} may ask for class '
                f'{team.highest_class.value!r} at most, not {class_text!r}'
            ),
        )
    return requested_class


def _resolve_time_limit(
    configuration: Configuration,
    service: Service,
    raw: UnvalidatedRequest,
) -> Seconds | Refusal:
    if not raw.deadline_text:
        return service.deadline_s
    try:
        time_limit_s = float(raw.deadline_text) / _MS_PER_S
    except ValueError:
        time_limit_s = math.nan
    # Another instance may take over a seat after this time, so no request may
    # run longer.
    max_time_limit_s = configuration.timing.takeover_after_s
    if math.isnan(time_limit_s) or time_limit_s > max_time_limit_s:
        return Refusal(
            status=HTTPStatus.BAD_REQUEST,
            code='bad-deadline',
            message=(
                f'deadline {raw.deadline_text!r} is not a number of '
                f'milliseconds up to {max_time_limit_s * _MS_PER_S:.0f}'
            ),
        )
    if time_limit_s <= raw.elapsed_s:
        return Refusal(
            status=HTTPStatus.GATEWAY_TIMEOUT,
            code='deadline-passed',
            message=f'the deadline of {raw.deadline_text} ms has passed',
        )
    return time_limit_s

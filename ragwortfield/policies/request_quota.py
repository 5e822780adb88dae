"""Quotas of teams, divided among the seats like everything that adds up."""

from dataclasses import dataclass, replace

from ragwortfield.core.configuration import Team
from ragwortfield.types import MonotonicTime, Seconds, TeamName


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenBucket:
    """
    Tokens that refill at a steady rate.

    :param tokens: tokens at the time of the last change.
    :param changed_at: when that was.
    """

    tokens: float
    changed_at: MonotonicTime


@dataclass(frozen=True, kw_only=True, slots=True)
class WithinQuota:
    """The request is within its team's quota."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaExceeded:
    """
    The team's quota at this instance is spent.

    :param retry_after_s: when the next request fits, in seconds.
    """

    retry_after_s: Seconds


class TeamRateLimiter:
    """Token buckets of the teams at one instance."""

    def __init__(self) -> None:
        """Create a keeper without any spent quota."""
        self._bucket_by_team: dict[TeamName, TokenBucket] = {}

    def charge(
        self,
        name: TeamName,
        team: Team,
        *,
        fraction: float,
        now: MonotonicTime,
    ) -> WithinQuota | QuotaExceeded:
        """
        Charge one request to a team.

        :param name: name of the team.
        :param team: the team with its quota.
        :param fraction: this instance's part of the quota, 0 to 1.
        :param now: reading of the monotonic clock.
        :returns: whether the request is within the quota.
        """
        rate = team.requests_per_s * fraction
        if rate <= 0:
            return QuotaExceeded(retry_after_s=1)
        size = max(rate * team.burst_s, 1)
        bucket = self._bucket_by_team.get(name)
        if bucket is None:
            bucket = TokenBucket(tokens=size, changed_at=now)
        refilled = bucket.tokens + (now - bucket.changed_at) * rate
        bucket = TokenBucket(tokens=min(refilled, size), changed_at=now)
        if bucket.tokens < 1:
            self._bucket_by_team[name] = bucket
            return QuotaExceeded(retry_after_s=(1 - bucket.tokens) / rate)
        self._bucket_by_team[name] = replace(
            bucket,
            tokens=bucket.tokens - 1,
        )
        return WithinQuota()

"""Rate limits of teams; each seat gets an equal part of the quota."""

from dataclasses import dataclass, replace

from ragwortfield.core.configuration import Team
from ragwortfield.types import MonotonicTime, Seconds, TeamName


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenBucket:
    """
    Token bucket that refills at a constant rate.

    :param tokens: number of tokens at the last update.
    :param changed_at: time of the last update.
    """

    tokens: float
    changed_at: MonotonicTime


@dataclass(frozen=True, kw_only=True, slots=True)
class WithinQuota:
    """The request is within its team's quota."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaExceeded:
    """
    The team has exceeded its quota at this instance.

    :param retry_after_s: time until the next request is allowed, in seconds.
    """

    retry_after_s: Seconds


class TeamRateLimiter:
    """Token buckets of all teams at one instance."""

    def __init__(self) -> None:
        """Create a rate limiter with full buckets."""
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
        Charge one request to the quota of a team.

        :param name: name of the team.
        :param team: settings of the team.
        :param fraction: fraction of the quota that this instance may use, 0 to
            1.
        :param now: monotonic time, in seconds.
        :returns: whether the request is within the quota.
        """
        rate_per_s = team.requests_per_s * fraction
        if rate_per_s <= 0:
            return QuotaExceeded(retry_after_s=1)
        capacity = max(rate_per_s * team.burst_s, 1)
        bucket = self._bucket_by_team.get(name)
        if bucket is None:
            bucket = TokenBucket(tokens=capacity, changed_at=now)
        refilled = bucket.tokens + (now - bucket.changed_at) * rate_per_s
        bucket = TokenBucket(tokens=min(refilled, capacity), changed_at=now)
        if bucket.tokens < 1:
            self._bucket_by_team[name] = bucket
            return QuotaExceeded(retry_after_s=(1 - bucket.tokens) / rate_per_s)
        self._bucket_by_team[name] = replace(
            bucket,
            tokens=bucket.tokens - 1,
        )
        return WithinQuota()

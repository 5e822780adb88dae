"""Configuration of a deployment: data centres, services, teams and timing."""

from dataclasses import dataclass, field
from enum import StrEnum

from ragwortfield.types import (
    DataCentreName,
    Seconds,
    ServiceName,
    TeamName,
)


class RequestClass(StrEnum):
    """Urgency class of a request; members are ordered, most urgent first."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    DEFERRED = 'deferred'


#: Dispatch order of the request classes; smaller ranks are served first.
RANK_BY_CLASS = {
    RequestClass.URGENT: 0,
    RequestClass.NORMAL: 1,
    RequestClass.DEFERRED: 2,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """
    Data centre in which entry instances and workers run.

    :param seats: number of seats, the equal parts into which the capacity of
        the data centre is divided among its entry instances.
    """

    region: str
    seats: int = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    Latency-critical service that entry instances send requests to.

    :param slots: maximum number of concurrent requests per target, over all
        entry instances.
    :param connections: maximum number of connections per target, over all
        entry instances.
    :param default_class: class of requests that specify none.
    :param deadline_s: deadline of requests that specify none, in seconds.
    :param first_byte_timeout_s: maximum time to wait for the first byte of a
        response, in seconds.
    :param idempotent_methods: HTTP methods that may be sent again.
    :param is_cross_region_allowed: whether urgent requests may be relayed to
        another region.
    :param objective_ms: latency of the service-level objective, in
        milliseconds.
    :param objective_share: fraction of requests that must meet the objective.
    """

    slots: int = 8
    connections: int = 64
    default_class: RequestClass = RequestClass.NORMAL
    deadline_s: Seconds = 10
    first_byte_timeout_s: Seconds = 5
    idempotent_methods: tuple[str, ...] = (
        'GET',
        'HEAD',
        'OPTIONS',
        'PUT',
        'DELETE',
    )
    is_cross_region_allowed: bool = True
    objective_ms: float = 500
    objective_share: float = 0.99


@dataclass(frozen=True, kw_only=True, slots=True)
class Team:
    """
    Team with its token, permitted request classes and quotas.

    :param token_sha256: hexadecimal SHA-256 digest of the team's token.
    :param highest_class: most urgent class that the team may request.
    :param requests_per_s: request quota over the whole deployment.
    :param burst_s: burst allowance, in seconds of the request quota.
    :param jobs_cpu: maximum number of cores that the team's batch jobs hold
        in the whole deployment.
    """

    token_sha256: str
    highest_class: RequestClass = RequestClass.URGENT
    requests_per_s: float = 100
    burst_s: Seconds = 2
    jobs_cpu: float = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectiveWeights:
    """Relative weights of the optimisation goals; only their ratios matter."""

    tail_latency: float = 1
    throughput: float = 1
    evictions: float = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """
    Durations of leases and time-outs, in seconds.

    :param seat_lease_s: duration of a seat lease in the platform's table.
    :param takeover_after_s: time to wait after a seat lease has expired before
        another instance may take the seat over.
    :param peer_timeout_s: time without a heartbeat after which a peer is
        considered unreachable.
    :param task_lease_s: duration of a task lease at its worker.
    :param clock_bound_s: upper bound on the difference between two wall
        clocks.
    :param key_lifetime_s: time for which a caller may repeat an idempotency
        key.
    """

    seat_lease_s: Seconds = 10
    takeover_after_s: Seconds = 45
    peer_timeout_s: Seconds = 3
    task_lease_s: Seconds = 20
    clock_bound_s: Seconds = 1
    key_lifetime_s: Seconds = 3600


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """
    Settings that operators choose for one deployment.

    :param name: name of the deployment.
    :param cross_region_bytes_per_s: budget for traffic between regions, over
        all entry instances.
    """

    name: str
    data_centres: dict[DataCentreName, DataCentre]
    services: dict[ServiceName, Service] = field(default_factory=dict)
    teams: dict[TeamName, Team] = field(default_factory=dict)
    objective: ObjectiveWeights = field(default_factory=ObjectiveWeights)
    timing: Timing = field(default_factory=Timing)
    cross_region_bytes_per_s: float = 500_000

    def count_seats(self) -> int:
        """Count the seats of all data centres."""
        return sum(
            data_centre.seats for data_centre in self.data_centres.values()
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedConfiguration:
    """Configuration with the version that the platform's table assigned."""

    version: int
    configuration: Configuration

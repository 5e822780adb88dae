"""Configuration of a deployment: services, teams, places and objective."""

from dataclasses import dataclass, field
from enum import StrEnum

from ragwortfield.types import (
    DataCentreName,
    Seconds,
    ServiceName,
    TeamName,
)


class RequestClass(StrEnum):
    """Urgency of a request, most urgent first."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    DEFERRED = 'deferred'


#: Dispatch order of the classes: a smaller rank is served first.
RANK_BY_CLASS = {
    RequestClass.URGENT: 0,
    RequestClass.NORMAL: 1,
    RequestClass.DEFERRED: 2,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """Place where entry instances and workers stand."""

    region: str
    seats: int = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    Latency-critical service behind the entry instances.

    :param slots: requests that one target runs at once, over all instances.
    :param connections: connections that one target accepts in all.
    :param default_class: class of a request that names none.
    :param deadline_s: deadline of a request that names none, in seconds.
    :param first_byte_timeout_s: longest wait for the first byte of an answer.
    :param idempotent_methods: methods that may be sent again.
    :param is_cross_region_allowed: whether urgent work may leave its region.
    :param objective_ms: latency that the service-level objective promises.
    :param objective_share: share of requests that must meet the objective.
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
    Customer with tokens, classes and quotas of its own.

    :param token_sha256: hexadecimal SHA-256 digest of the team's token.
    :param highest_class: most urgent class the team may ask for.
    :param requests_per_s: quota over the whole deployment.
    :param burst_s: seconds of quota that may be spent at once.
    :param jobs_cpu: cores that the team's batch jobs may hold in all.
    """

    token_sha256: str
    highest_class: RequestClass = RequestClass.URGENT
    requests_per_s: float = 100
    burst_s: Seconds = 2
    jobs_cpu: float = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectiveWeights:
    """Weights of what the deployment measures; only ratios matter."""

    tail_latency: float = 1
    throughput: float = 1
    evictions: float = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """
    Durations of leases and rounds, all in seconds.

    :param seat_lease_s: lease of a seat in the platform's table.
    :param takeover_after_s: wait after a lapse before a seat is taken over.
    :param peer_timeout_s: silence after which a peer counts as unreachable.
    :param task_lease_s: lease of a task at its worker.
    :param clock_bound_s: largest difference between two wall clocks.
    :param key_lifetime_s: time for which a caller may repeat a key.
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
    Everything operators decide for one deployment.

    :param name: name of the deployment.
    :param cross_region_bytes_per_s: budget for all instances together.
    """

    name: str
    data_centres: dict[DataCentreName, DataCentre]
    services: dict[ServiceName, Service] = field(default_factory=dict)
    teams: dict[TeamName, Team] = field(default_factory=dict)
    objective: ObjectiveWeights = field(default_factory=ObjectiveWeights)
    timing: Timing = field(default_factory=Timing)
    cross_region_bytes_per_s: float = 500_000

    def count_seats(self) -> int:
        """
        Count the seats of all data centres.

        :returns: the number of seats.
        """
        return sum(place.seats for place in self.data_centres.values())


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedConfiguration:
    """Configuration under the version that the platform's table gave it."""

    version: int
    configuration: Configuration

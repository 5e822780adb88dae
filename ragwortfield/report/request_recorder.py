"""Recorder of requests: metrics, and what the burn report is made of."""

import time
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.invariants import INVARIANTS
from ragwortfield.types import Seconds

#: Length of one bucket of the burn report, in seconds.
BUCKET_S = 60
#: Buckets kept in memory until they are in the platform's table.
_KEPT_BUCKETS = 24 * 60
_MS_PER_S = 1000
_SERVER_ERRORS_FROM = HTTPStatus.INTERNAL_SERVER_ERROR
_LATENCY_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
#: Codes of refusals that are the caller's fault; they burn no budget.
_CALLER_FAULTS = frozenset(
    (
        'unknown-service',
        'unknown-team',
        'wrong-token',
        'unknown-class',
        'class-too-high',
        'bad-deadline',
        'bad-key',
        'quota-spent',
        'key-reused',
        'already-ran',
        'still-running',
        'earlier-send-unknown',
    )
)


@dataclass(kw_only=True, slots=True)
class BurnBucket:
    """
    Requests of one team and service in one minute.

    :param minute: minutes since the Unix epoch.
    :param total: requests that count for the objective.
    :param bad: those that missed it.
    """

    minute: int
    team: str
    service: str
    total: int = 0
    bad: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnRow:
    """Row of the platform's table with one instance's buckets of an hour."""

    buckets: tuple[BurnBucket, ...] = field(default_factory=tuple)


class RequestRecorder:
    """
    Counts outcomes and latencies.

    :param instance_state: the instance's tables.
    """

    def __init__(self, *, instance_state: InstanceState) -> None:
        """Create a recorder with all counts at zero."""
        self._instance_state = instance_state
        self._bucket_by_key: dict[tuple[int, str, str], BurnBucket] = {}
        self._order: deque[tuple[int, str, str]] = deque()
        self.registry = Registry()
        self._requests = Counter(
            'ragwortfield_requests_total',
            'Requests by service, certainty of the run and code.',
            registry=self.registry,
        )
        self._latency = Histogram(
            'ragwortfield_request_seconds',
            'Time from the request to its answer.',
            buckets=_LATENCY_BOUNDS_S,
            registry=self.registry,
        )
        self._gauge = Gauge(
            'ragwortfield_state',
            'State of the instance by name.',
            registry=self.registry,
        )

    def record(
        self,
        *,
        team: str,
        service: str,
        run_state: str,
        code: str,
        duration_s: Seconds,
        is_relayed_in: bool,
        status: int,
    ) -> None:
        """
        Record the end of a request.

        :param team: the team.
        :param service: the service.
        :param run_state: what is certain about the run.
        :param code: short word for the outcome.
        :param duration_s: time it took, in seconds.
        :param is_relayed_in: whether a peer sent it; the peer counts it.
        :param status: HTTP status of the response.
        """
        known = self._known_names(team, service)
        self._requests.inc(
            {
                'service': known[1],
                'run': run_state,
                'code': code,
            }
        )
        self._latency.observe({'service': known[1]}, duration_s)
        if is_relayed_in or code in _CALLER_FAULTS or not all(known):
            return
        self._burn(team, service, duration_s, status)

    def set_gauge(self, name: str, amount: float) -> None:
        """
        Set a state that the metrics show.

        :param name: name of the state.
        :param amount: its amount.
        """
        self._gauge.set({'name': name}, amount)

    def list_buckets_since(self, minute: int) -> tuple[BurnBucket, ...]:
        """
        List the buckets from a minute on.

        :param minute: minutes since the Unix epoch.
        :returns: the buckets, oldest first.
        """
        return tuple(
            self._bucket_by_key[key] for key in self._order if key[0] >= minute
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """
        Format the metrics for a scrape.

        :returns: body and header fields.
        """
        for name, count in INVARIANTS.count_by_name.items():
            self.set_gauge(f'violations_{name}', count)
        self.set_gauge('violations', INVARIANTS.total())
        self.set_gauge(
            'configuration_version',
            self._instance_state.configuration_version(),
        )
        self.set_gauge('seats', len(self._instance_state.held_seat_by_key))
        self.set_gauge('peers', len(self._instance_state.peer_by_id))
        return render(self.registry, [])

    def _known_names(self, team: str, service: str) -> tuple[str, str]:
        # Names that callers invent must not become label values.
        configuration = self._instance_state.configuration()
        if configuration is None:
            return '', ''
        return (
            team if team in configuration.teams else '',
            service if service in configuration.services else '',
        )

    def _burn(
        self,
        team: str,
        service: str,
        duration_s: Seconds,
        status: int,
    ) -> None:
        configuration = self._instance_state.configuration()
        if configuration is None:
            return
        objective_ms = configuration.services[service].objective_ms
        key = (int(time.time()) // BUCKET_S, team, service)
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            bucket = BurnBucket(minute=key[0], team=team, service=service)
            self._bucket_by_key[key] = bucket
            self._order.append(key)
            while len(self._order) > _KEPT_BUCKETS:
                del self._bucket_by_key[self._order.popleft()]
        is_late = duration_s * _MS_PER_S > objective_ms
        bucket.total += 1
        if is_late or status >= _SERVER_ERRORS_FROM:
            bucket.bad += 1

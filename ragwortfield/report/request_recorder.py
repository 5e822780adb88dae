"""Recording of requests for the metrics and the burn-rate report."""

import time
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.invariants import INVARIANTS
from ragwortfield.types import Seconds

#: Duration of one bucket of the burn-rate report, in seconds.
BUCKET_S = 60
#: Maximum number of buckets in memory, where they wait to be written to the
#: platform's table. The oldest are dropped first.
_MAX_BUCKETS = 24 * 60
_MS_PER_S = 1000
_FIRST_SERVER_ERROR_STATUS = HTTPStatus.INTERNAL_SERVER_ERROR
#: Upper bounds of the latency histogram, in seconds.
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
#: Codes of refusals that the caller caused; such requests do not count for the
#: error budget.
_CALLER_ERROR_CODES = frozenset(
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
    Request counts of one team and service in one minute.

    :param minute: minutes since the Unix epoch.
    :param total: number of requests that count for the objective.
    :param bad: number of these requests that missed the objective.
    """

    minute: int
    team: str
    service: str
    total: int = 0
    bad: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class BurnRow:
    """Buckets of one instance and hour, a row of the platform's table."""

    buckets: tuple[BurnBucket, ...] = field(default_factory=tuple)


class RequestRecorder:
    """
    Recorder of the outcomes and latencies of requests.

    :param instance_state: state of the instance, read for the gauges and the
        configuration.
    """

    def __init__(self, *, instance_state: InstanceState) -> None:
        """Create a recorder without any counts."""
        self._instance_state = instance_state
        self._bucket_by_key: dict[tuple[int, str, str], BurnBucket] = {}
        self._keys_by_age: deque[tuple[int, str, str]] = deque()
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
        Record a completed request.

        :param team: name of the team, as the caller sent it.
        :param service: name of the service, as the caller sent it.
        :param run_state: whether the request is known to have run.
        :param code: code of the outcome.
        :param duration_s: time from the request to its response, in seconds.
        :param is_relayed_in: whether a peer relayed the request. The peer
            counts it for the error budget.
        :param status: HTTP status of the response.
        """
        known_names = self._keep_known_names(team, service)
        self._requests.inc(
            {
                'service': known_names[1],
                'run': run_state,
                'code': code,
            }
        )
        self._latency.observe({'service': known_names[1]}, duration_s)
        if is_relayed_in or code in _CALLER_ERROR_CODES or not all(known_names):
            return
        self._count_for_error_budget(team, service, duration_s, status)

    def update_gauge(self, name: str, amount: float) -> None:
        """
        Set a gauge of the metrics.

        :param name: value of its ``name`` label.
        :param amount: value of the gauge.
        """
        self._gauge.set({'name': name}, amount)

    def list_buckets_since(self, minute: int) -> tuple[BurnBucket, ...]:
        """
        List the buckets of a minute and all later ones.

        :param minute: first minute, in minutes since the Unix epoch.
        :returns: the buckets, oldest first.
        """
        return tuple(
            self._bucket_by_key[key]
            for key in self._keys_by_age
            if key[0] >= minute
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """
        Update the gauges and format the metrics for a scrape.

        :returns: response body and header fields.
        """
        for name, count in INVARIANTS.count_by_name.items():
            self.update_gauge(f'violations_{name}', count)
        self.update_gauge('violations', INVARIANTS.count_violations())
        self.update_gauge(
            'configuration_version',
            self._instance_state.configuration_version(),
        )
        self.update_gauge('seats', len(self._instance_state.held_seat_by_key))
        self.update_gauge('peers', len(self._instance_state.peer_by_id))
        return render(self.registry, [])

    def _keep_known_names(self, team: str, service: str) -> tuple[str, str]:
        # Callers may send arbitrary names, which must not become label values.
        configuration = self._instance_state.configuration()
        if configuration is None:
            return '', ''
        return (
            team if team in configuration.teams else '',
            service if service in configuration.services else '',
        )

    def _count_for_error_budget(
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
            self._keys_by_age.append(key)
            while len(self._keys_by_age) > _MAX_BUCKETS:
                del self._bucket_by_key[self._keys_by_age.popleft()]
        is_late = duration_s * _MS_PER_S > objective_ms
        bucket.total += 1
        if is_late or status >= _FIRST_SERVER_ERROR_STATUS:
            bucket.bad += 1

"""Open-loop load: requests are sent on schedule, without waiting for others."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import gevent
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import (
    Broken,
    ExchangeOutcome,
    HeaderFields,
    NotSent,
    WholeAnswer,
)
from ragwortfield.http_api.headers import (
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    RUN_STATE_HEADER,
    TEAM_HEADER,
    TOKEN_HEADER,
)
from ragwortfield.types import Seconds

#: Largest latency that the histogram records, in microseconds; longer ones
#: are recorded as this value.
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
#: Maximum number of attempts to connect for one request.
_MAX_ATTEMPTS = 3
_US_PER_S = 1_000_000
_MS_PER_S = 1000
#: Interval between readiness checks of an instance, in seconds.
_READINESS_INTERVAL_S = 0.25
#: Time-outs of a readiness check.
_READINESS_TIMEOUTS = Timeouts(first_byte_s=0.5, total_s=0.5)


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRequest:
    """
    One request of the load.

    :param request_class: class of the request; empty for the default.
    :param key: idempotency key; empty for none.
    :param booking: identifier of a booking; empty for other requests.
    :param deadline_s: time that the caller allows for the request, in seconds.
    """

    path: str
    method: str = 'GET'
    body: bytes = b''
    request_class: str = ''
    key: str = ''
    booking: str = ''
    deadline_s: Seconds = 4


@dataclass(kw_only=True, slots=True)
class LoadResult:
    """
    Outcomes as the callers saw them.

    :param count_by_outcome: number of requests by outcome, such as ``ran``.
    :param outcomes_by_booking: outcome of each request for a booking.
    :param receipts: paths at which results of deferred requests can be read.
    :param broken_addresses: instances whose connection broke in an exchange.
    :param mismatched_responses: number of responses with the body of another
        request.
    :param histogram: latencies of the requests that ran, in microseconds.
    """

    count_by_outcome: dict[str, int] = field(default_factory=dict)
    outcomes_by_booking: dict[str, list[str]] = field(default_factory=dict)
    receipts: list[str] = field(default_factory=list)
    broken_addresses: set[str] = field(default_factory=set)
    mismatched_responses: int = 0
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1,
            _MAX_LATENCY_US,
            _SIGNIFICANT_DIGITS,
        ),
    )

    def get_latency_ms(self, percentile: float) -> float:
        """
        Return a percentile of the latencies of the requests that ran.

        :param percentile: percentile, 0 to 100.
        :returns: milliseconds since the scheduled send time.
        """
        value_us = self.histogram.get_value_at_percentile(percentile)
        return value_us * _MS_PER_S / _US_PER_S

    def count_outcome(self, outcome: str) -> None:
        """
        Count an outcome.

        :param outcome: name of the outcome.
        """
        previous_count = self.count_by_outcome.get(outcome, 0)
        self.count_by_outcome[outcome] = previous_count + 1


class FakeLoadBalancer:
    """
    Fake of the platform's load balancer, driven by ``/ready``.

    While no instance is ready, requests go to any of them.

    :param addresses: HTTP addresses of the entry instances.
    :param random_generator: source of random numbers.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        random_generator: random.Random,
    ) -> None:
        # Until the first checks are done, every instance counts as ready.
        self._addresses = list(addresses)
        self._ready_addresses: list[str] = list(addresses)
        self._random_generator = random_generator
        self._pool_by_address: dict[str, HttpConnectionPool] = {}
        self._check_pool_by_address: dict[str, HttpConnectionPool] = {}

    def start(self) -> gevent.Greenlet:
        """
        Start to check the readiness of the instances in the background.

        :returns: greenlet that checks them until it is killed.
        """
        return gevent.spawn(self._check_readiness)

    def add(self, address: str) -> None:
        """
        Add an instance.

        :param address: HTTP address of the instance.
        """
        self._addresses.append(address)

    def select_address(self) -> str:
        """
        Select a random instance that is ready.

        :returns: HTTP address of the instance.
        """
        return self._random_generator.choice(
            self._ready_addresses or self._addresses
        )

    def get_connections(self, address: str) -> HttpConnectionPool:
        """
        Return the connections for requests to an instance.

        :param address: HTTP address of the instance.
        :returns: pool of connections, created at the first use.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_address[address] = pool
        return pool

    def _check_readiness(self) -> None:
        while True:
            checks = {
                address: gevent.spawn(self._is_ready, address)
                for address in self._addresses
            }
            gevent.joinall(tuple(checks.values()))
            self._ready_addresses = [
                address for address, check in checks.items() if check.value
            ]
            gevent.sleep(_READINESS_INTERVAL_S)

    def _is_ready(self, address: str) -> bool:
        pool = self._check_pool_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._check_pool_by_address[address] = pool
        outcome = pool.exchange(
            HttpRequest(method='GET', path='/ready'),
            _READINESS_TIMEOUTS,
        )
        return (
            isinstance(outcome, WholeAnswer) and outcome.status == HTTPStatus.OK
        )


class LoadGenerator:
    """
    Sends requests on schedule and records their outcomes.

    :param balancer: selects an entry instance for each request.
    :param service: service that is called.
    :param team: team that calls.
    :param token: token of the team.
    """

    def __init__(
        self,
        *,
        balancer: FakeLoadBalancer,
        service: str,
        team: str,
        token: str,
    ) -> None:
        self.result = LoadResult()
        self._balancer = balancer
        self._service = service
        self._team = team
        self._token = token
        self._greenlets = Pool()

    def run(
        self,
        make_request: Callable[[], LoadRequest],
        *,
        rate_per_s: float,
        duration_s: Seconds,
        random_generator: random.Random,
    ) -> None:
        """
        Send requests at random times, as a Poisson process does.

        :param make_request: returns the next request to send.
        :param rate_per_s: average number of requests a second.
        :param duration_s: duration of the load, in seconds.
        :param random_generator: source of the gaps between requests.
        """
        started_at = time.monotonic()
        due_s: Seconds = 0
        while due_s < duration_s:
            due_s += random_generator.expovariate(rate_per_s)
            wait_s = started_at + due_s - time.monotonic()
            if wait_s > 0:
                gevent.sleep(wait_s)
            self._greenlets.spawn(self.send, make_request(), started_at + due_s)
        self._greenlets.join()

    def send(self, request: LoadRequest, due_at: float) -> None:
        """
        Send one request and record its outcome.

        The latency counts from the scheduled time, so that delays of the
        generator itself are not hidden.

        :param request: the request.
        :param due_at: scheduled send time, by the monotonic clock.
        """
        outcome = self._exchange(request)
        latency_us = int((time.monotonic() - due_at) * _US_PER_S)
        outcome_name = self._record_response(request, outcome)
        self.result.count_outcome(outcome_name)
        if request.booking:
            outcomes = self.result.outcomes_by_booking.setdefault(
                request.booking,
                [],
            )
            outcomes.append(outcome_name)
        if outcome_name == 'ran':
            self.result.histogram.record_value(
                min(max(latency_us, 1), _MAX_LATENCY_US),
            )

    def _exchange(self, request: LoadRequest) -> ExchangeOutcome:
        # Like a load balancer, try another instance when connecting fails.
        outcome: ExchangeOutcome = NotSent(reason='not tried')
        for _ in range(_MAX_ATTEMPTS):
            address = self._balancer.select_address()
            outcome = self._balancer.get_connections(address).exchange(
                HttpRequest(
                    method=request.method,
                    path=f'/services/{self._service}{request.path}',
                    fields=self._make_headers(request),
                    body=request.body,
                ),
                Timeouts(
                    first_byte_s=request.deadline_s + 1,
                    total_s=request.deadline_s + 1,
                ),
            )
            if isinstance(outcome, Broken):
                self.result.broken_addresses.add(address)
            if not isinstance(outcome, NotSent):
                break
        return outcome

    def _make_headers(self, request: LoadRequest) -> HeaderFields:
        fields = [
            (TEAM_HEADER, self._team),
            (TOKEN_HEADER, self._token),
            (DEADLINE_HEADER, f'{request.deadline_s * _MS_PER_S:.0f}'),
        ]
        if request.request_class:
            fields.append((CLASS_HEADER, request.request_class))
        if request.key:
            fields.append((IDEMPOTENCY_KEY_HEADER, request.key))
        return tuple(fields)

    def _record_response(
        self, request: LoadRequest, outcome: ExchangeOutcome
    ) -> str:
        if isinstance(outcome, NotSent):
            return 'not connected'
        if isinstance(outcome, Broken):
            return 'cut off'
        run_state = outcome.get_header(RUN_STATE_HEADER)
        code = outcome.get_header(CODE_HEADER)
        if code == 'accepted':
            self.result.receipts.append(outcome.get_header('location'))
            return 'accepted'
        if run_state == 'ran':
            expected = request.body or request.path.encode()
            if outcome.body != expected:
                self.result.mismatched_responses += 1
            return 'ran'
        return f'{run_state or "unsaid"}: {code}'

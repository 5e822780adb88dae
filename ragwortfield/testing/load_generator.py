"""Open-loop load: requests leave on time, whether or not others came back."""

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

#: Largest latency that the histogram keeps, in microseconds.
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_MS_PER_S = 1000
_READY_PERIOD_S = 0.25
_READY_TIMEOUTS = Timeouts(first_byte_s=0.5, total_s=0.5)


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRequest:
    """
    One request of the load.

    :param booking: identifier of a booking; empty for other requests.
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
    What the callers saw.

    :param count_by_outcome: requests by outcome, ``ran`` and others.
    :param outcomes_by_booking: what each send of a booking was told.
    :param receipts: receipts of deferred requests.
    :param broken_addresses: instances at which a request was cut off.
    :param mismatched_responses: answers that belonged to another request.
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

    def latency_ms(self, percentile: float) -> float:
        """
        Look a latency up.

        :param percentile: between 0 and 100.
        :returns: milliseconds from the intended send time.
        """
        value_us = self.histogram.get_value_at_percentile(percentile)
        return value_us * _MS_PER_S / _US_PER_S

    def count(self, outcome: str) -> None:
        """
        Count an outcome.

        :param outcome: its name.
        """
        known = self.count_by_outcome.get(outcome, 0)
        self.count_by_outcome[outcome] = known + 1


class FakeLoadBalancer:
    """
    Stand-in for the platform's balancer: sends where ``/ready`` says so.

    :param addresses: HTTP addresses of the entry instances.
    :param random_generator: source of random numbers.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        random_generator: random.Random,
    ) -> None:
        """Create a balancer that knows nothing to be ready yet."""
        self._addresses = list(addresses)
        self._ready: list[str] = list(addresses)
        self._random_generator = random_generator
        self._pool_by_address: dict[str, HttpConnectionPool] = {}
        self._probe_by_address: dict[str, HttpConnectionPool] = {}

    def start(self) -> gevent.Greenlet:
        """
        Watch the instances in the background.

        :returns: the greenlet that watches.
        """
        return gevent.spawn(self._watch)

    def add(self, address: str) -> None:
        """
        Watch one more instance.

        :param address: its HTTP address.
        """
        self._addresses.append(address)

    def choose(self) -> str:
        """
        Choose an instance for a request.

        :returns: its HTTP address.
        """
        return self._random_generator.choice(self._ready or self._addresses)

    def pool(self, address: str) -> HttpConnectionPool:
        """
        Find the connections to an instance.

        :param address: its HTTP address.
        :returns: the pool.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._pool_by_address[address] = pool
        return pool

    def _watch(self) -> None:
        while True:
            checks = {
                address: gevent.spawn(self._is_ready, address)
                for address in self._addresses
            }
            gevent.joinall(tuple(checks.values()))
            self._ready = [
                address for address, check in checks.items() if check.value
            ]
            gevent.sleep(_READY_PERIOD_S)

    def _is_ready(self, address: str) -> bool:
        pool = self._probe_by_address.get(address)
        if pool is None:
            pool = HttpConnectionPool(address=address)
            self._probe_by_address[address] = pool
        outcome = pool.exchange(
            HttpRequest(method='GET', path='/ready'),
            _READY_TIMEOUTS,
        )
        return (
            isinstance(outcome, WholeAnswer) and outcome.status == HTTPStatus.OK
        )


class LoadGenerator:
    """
    Sends calls on time and records what came of them.

    :param balancer: chooses the entry instances.
    :param service: the service to call.
    :param team: the calling team.
    :param token: its token.
    """

    def __init__(
        self,
        *,
        balancer: FakeLoadBalancer,
        service: str,
        team: str,
        token: str,
    ) -> None:
        """Create a runner without results."""
        self.result = LoadResult()
        self._balancer = balancer
        self._service = service
        self._team = team
        self._token = token
        self._pool = Pool()

    def run(
        self,
        make_request: Callable[[], LoadRequest],
        *,
        rate_per_s: float,
        duration_s: Seconds,
        random_generator: random.Random,
    ) -> None:
        """
        Send calls with exponential gaps between them.

        :param make_request: makes the next call.
        :param rate_per_s: calls a second on average.
        :param duration_s: how long, in seconds.
        :param random_generator: source of random numbers.
        """
        started_at = time.monotonic()
        due_s: Seconds = 0
        while due_s < duration_s:
            due_s += random_generator.expovariate(rate_per_s)
            ahead_s = started_at + due_s - time.monotonic()
            if ahead_s > 0:
                gevent.sleep(ahead_s)
            self._pool.spawn(self.send, make_request(), started_at + due_s)
        self._pool.join()

    def send(self, call: LoadRequest, due_at: float) -> None:
        """
        Send one call and record its outcome.

        :param call: the call.
        :param due_at: when it should have left, by the monotonic clock.
        """
        outcome = self._exchange(call)
        latency_us = int((time.monotonic() - due_at) * _US_PER_S)
        name = self._classify(call, outcome)
        self.result.count(name)
        if call.booking:
            states = self.result.outcomes_by_booking.setdefault(
                call.booking,
                [],
            )
            states.append(name)
        if name == 'ran':
            self.result.histogram.record_value(
                min(max(latency_us, 1), _MAX_LATENCY_US),
            )

    def _exchange(self, call: LoadRequest) -> ExchangeOutcome:
        # A balancer sends a request elsewhere when it could not connect.
        outcome: ExchangeOutcome = NotSent(reason='not tried')
        for _ in range(3):
            address = self._balancer.choose()
            outcome = self._balancer.pool(address).exchange(
                HttpRequest(
                    method=call.method,
                    path=f'/services/{self._service}{call.path}',
                    fields=self._fields(call),
                    body=call.body,
                ),
                Timeouts(
                    first_byte_s=call.deadline_s + 1,
                    total_s=call.deadline_s + 1,
                ),
            )
            if isinstance(outcome, Broken):
                self.result.broken_addresses.add(address)
            if not isinstance(outcome, NotSent):
                break
        return outcome

    def _fields(self, call: LoadRequest) -> HeaderFields:
        fields = [
            (TEAM_HEADER, self._team),
            (TOKEN_HEADER, self._token),
            (DEADLINE_HEADER, f'{call.deadline_s * _MS_PER_S:.0f}'),
        ]
        if call.request_class:
            fields.append((CLASS_HEADER, call.request_class))
        if call.key:
            fields.append((IDEMPOTENCY_KEY_HEADER, call.key))
        return tuple(fields)

    def _classify(self, call: LoadRequest, outcome: ExchangeOutcome) -> str:
        if isinstance(outcome, NotSent):
            return 'not connected'
        if isinstance(outcome, Broken):
            return 'cut off'
        said = outcome.get_header(RUN_STATE_HEADER)
        code = outcome.get_header(CODE_HEADER)
        if code == 'accepted':
            self.result.receipts.append(outcome.get_header('location'))
            return 'accepted'
        if said == 'ran':
            expected = call.body or call.path.encode()
            if outcome.body != expected:
                self.result.mismatched_responses += 1
            return 'ran'
        return f'{said or "unsaid"}: {code}'

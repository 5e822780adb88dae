"""Dispatching of admitted requests to targets and peers."""

import random
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Protocol

import gevent

from ragwortfield.adapters.http_client import HttpRequest, Timeouts
from ragwortfield.core.configuration import Configuration, Service
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.outcomes import (
    Broken,
    ExchangeOutcome,
    HeaderFields,
    NotSent,
    Refusal,
    Relayed,
    RequestOutcome,
    RunState,
    Served,
    WholeAnswer,
)
from ragwortfield.core.peers import Peer
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.targets import Target
from ragwortfield.engine.slot_allocator import SlotAllocator, SlotWaiter
from ragwortfield.engine.target_connections import TargetConnections
from ragwortfield.log import event
from ragwortfield.policies.cross_region_budget import CrossRegionBudget
from ragwortfield.policies.retry_budget import (
    MAX_ATTEMPTS,
    RetryBudget,
    is_retry_safe,
)
from ragwortfield.policies.routing import (
    NoneAvailable,
    PeerChoice,
    TargetChoice,
    choose_peer,
    is_same_region,
)
from ragwortfield.policies.target_health import (
    record_answer,
    record_dispatch,
    record_failure,
    record_inconclusive,
)
from ragwortfield.policies.target_shares import compute_seat_fraction
from ragwortfield.ports.clock import Clock
from ragwortfield.types import MonotonicTime, Seconds

#: Interval at which a waiting request looks again for a peer with a free slot,
#: in seconds.
_PEER_RECHECK_S = 0.05
#: Longest wait of a request for whose service this instance has no usable
#: target, in seconds.
_NO_TARGET_TIMEOUT_S = 1.5
#: Size assumed for the head of a request or response, in bytes.
_ASSUMED_HEAD_BYTES = 600
#: Shortest remaining time in which a request is still attempted, in seconds.
_MIN_REMAINING_S = 0.001


class RelayHeaderFactory(Protocol):
    """Function that makes the signed header fields of a relayed request."""

    def __call__(
        self,
        request: CallerRequest,
        remaining_s: Seconds,
    ) -> HeaderFields:
        """
        Make the header fields that the peer has to trust, with a signature.

        :param request: the request.
        :param remaining_s: time left until its deadline, in seconds.
        :returns: the header fields.
        """


@dataclass(kw_only=True, slots=True)
class DispatchCounters:
    """Counters of the dispatcher since its start."""

    dispatched: int = 0
    relayed: int = 0
    retried: int = 0
    failed_attempts: int = 0
    queued: int = 0
    refused: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _AttemptResult:
    """
    Result of one attempt to run a request.

    :param tried_id: identifier of the target or peer that was tried.
    :param response: response to the caller; ``None`` if the attempt failed.
    """

    tried_id: str
    outcome: ExchangeOutcome
    response: Served | Relayed | None = None


#: Where a request is sent next, or why it is refused.
_Destination = TargetChoice | PeerChoice | Refusal


class Dispatcher:
    """
    Sends requests to targets within this instance's shares, or to peers.

    :param instance_state: the instance's in-memory state.
    :param clock: source of time.
    :param random_generator: source of random numbers.
    :param target_connections: connections to targets and peers.
    :param make_relay_headers: makes the signed header fields of relayed
        requests.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        clock: Clock,
        random_generator: random.Random,
        target_connections: TargetConnections,
        make_relay_headers: RelayHeaderFactory,
    ) -> None:
        """Create a dispatcher with an empty queue."""
        self.counts = DispatchCounters()
        self.cross_region_budget = CrossRegionBudget()
        self._instance_state = instance_state
        self._clock = clock
        self._random_generator = random_generator
        self._target_connections = target_connections
        self._make_relay_headers = make_relay_headers
        self.slots = SlotAllocator(
            instance_state=instance_state,
            clock=clock,
            random_generator=random_generator,
        )
        self._retry_budget = RetryBudget()

    def run(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> RequestOutcome:
        """
        Run a request, and retry only where a retry is safe.

        :param configuration: the configuration in force.
        :param request: the admitted request.
        :returns: the response, or a refusal that states whether the request
            ran.
        """
        excluded: frozenset[str] = frozenset()
        outcome: ExchangeOutcome = NotSent(reason='no attempt was made yet')
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._may_retry(request, outcome):
                break
            destination = self._choose_destination(
                configuration, request, excluded
            )
            if isinstance(destination, Refusal):
                # A refusal would state that the request did not run, but an
                # earlier attempt was sent and its outcome is unknown.
                if isinstance(outcome, Broken):
                    break
                return destination
            result = self._attempt(configuration, request, destination)
            if result.response is not None:
                return result.response
            outcome = _choose_decisive(outcome, result.outcome)
            excluded = excluded | {result.tried_id}
        return self._refuse_failed_request(request, outcome)

    def relay_to(
        self,
        configuration: Configuration,
        request: CallerRequest,
        peer: Peer,
    ) -> RequestOutcome:
        """
        Relay a request to a given peer, without retries.

        :param configuration: the configuration in force.
        :param request: the admitted request.
        :param peer: the holder of the home seat of the request's key.
        :returns: the peer's response, or a refusal that states whether the
            request ran.
        """
        outcome = self._send_to_peer(request, peer)
        if isinstance(outcome, WholeAnswer):
            return Relayed(answer=outcome, peer_id=peer.instance_id)
        return self._refuse_failed_request(request, outcome)

    def _attempt(
        self,
        configuration: Configuration,
        request: CallerRequest,
        destination: TargetChoice | PeerChoice,
    ) -> _AttemptResult:
        if isinstance(destination, TargetChoice):
            service = configuration.services[request.service]
            return self._attempt_at_target(service, request, destination.target)
        peer = destination.peer
        tried_id = peer.instance_id
        outcome = self._send_to_peer(request, peer)
        if not isinstance(outcome, WholeAnswer):
            return _AttemptResult(tried_id=tried_id, outcome=outcome)
        if _is_capacity_refusal(outcome):
            reason = f'peer {tried_id} had no free slot'
            return _AttemptResult(
                tried_id=tried_id,
                outcome=NotSent(reason=reason),
            )
        return _AttemptResult(
            tried_id=tried_id,
            outcome=outcome,
            response=Relayed(answer=outcome, peer_id=tried_id),
        )

    def _attempt_at_target(
        self,
        service: Service,
        request: CallerRequest,
        target: Target,
    ) -> _AttemptResult:
        tried_id = target.target_id
        outcome = self._send_to_target(service, request, target)
        if isinstance(outcome, WholeAnswer):
            return _AttemptResult(
                tried_id=tried_id,
                outcome=outcome,
                response=Served(answer=outcome, target_id=tried_id),
            )
        return _AttemptResult(tried_id=tried_id, outcome=outcome)

    def _may_retry(
        self,
        request: CallerRequest,
        outcome: ExchangeOutcome,
    ) -> bool:
        remaining_s = request.deadline - self._clock.monotonic()
        if remaining_s < _MIN_REMAINING_S or not is_retry_safe(
            request,
            outcome,
        ):
            return False
        if not self._retry_budget.try_spend():
            return False
        self.counts.retried += 1
        return True

    def _choose_destination(
        self,
        configuration: Configuration,
        request: CallerRequest,
        excluded: frozenset[str],
    ) -> _Destination:
        now = self._clock.monotonic()
        choice = self.slots.try_acquire(request, excluded)
        if isinstance(choice, TargetChoice):
            return choice
        peer_choice = self._choose_peer(configuration, request, excluded)
        if isinstance(peer_choice, PeerChoice):
            return peer_choice
        wait_until = request.deadline
        if choice.is_wait_futile:
            # This instance may soon acquire a seat, or learn of targets and
            # peers by heartbeats, so it waits before it refuses.
            wait_until = min(wait_until, now + _NO_TARGET_TIMEOUT_S)
        return self._wait_for_slot(configuration, request, excluded, wait_until)

    def _wait_for_slot(
        self,
        configuration: Configuration,
        request: CallerRequest,
        excluded: frozenset[str],
        wait_until: MonotonicTime,
    ) -> _Destination:
        remaining_s = request.deadline - self._clock.monotonic()
        expected_s = self.slots.estimate_wait_s(request.service)
        if expected_s > remaining_s:
            return self._refuse(
                'overload',
                f'a slot is expected in {expected_s:.3f} s, the deadline is '
                f'in {remaining_s:.3f} s',
                retry_after_s=expected_s,
            )
        self.counts.queued += 1
        weight = configuration.teams[request.team].requests_per_s
        waiter = self.slots.enqueue(request, excluded, weight)
        try:
            return self._poll_slot_and_peers(configuration, waiter, wait_until)
        finally:
            self.slots.dequeue(waiter)

    def _poll_slot_and_peers(
        self,
        configuration: Configuration,
        waiter: SlotWaiter,
        wait_until: MonotonicTime,
    ) -> _Destination:
        request = waiter.request
        while True:
            remaining_s = wait_until - self._clock.monotonic()
            if remaining_s < _MIN_REMAINING_S:
                return self._refuse_after_wait(request, wait_until)
            if waiter.slot.wait(min(remaining_s, _PEER_RECHECK_S)) is not None:
                choice = waiter.slot.get()
                if isinstance(choice, TargetChoice):
                    return choice
                return self._refuse(
                    'no-target',
                    'only targets that already failed the request are free',
                )
            peer_choice = self._choose_peer(
                configuration,
                request,
                waiter.excluded,
            )
            if isinstance(peer_choice, PeerChoice):
                return peer_choice

    def _refuse_after_wait(
        self,
        request: CallerRequest,
        wait_until: MonotonicTime,
    ) -> Refusal:
        if wait_until < request.deadline:
            return self._refuse(
                'no-target',
                f'no target of service {request.service!r} can be reached',
                retry_after_s=1,
            )
        return self._refuse(
            'deadline-passed',
            'no slot became free before the deadline',
        )

    def _choose_peer(
        self,
        configuration: Configuration,
        request: CallerRequest,
        excluded: frozenset[str],
    ) -> PeerChoice | NoneAvailable:
        now = self._clock.monotonic()
        choice = choose_peer(
            self._instance_state,
            request,
            self._random_generator,
            now=now,
            peer_timeout_s=configuration.timing.peer_timeout_s,
            excluded=excluded,
        )
        is_leaving_region = (
            isinstance(choice, PeerChoice) and choice.is_cross_region
        )
        total_bytes_per_s = configuration.cross_region_bytes_per_s
        own_bytes_per_s = total_bytes_per_s * compute_seat_fraction(
            self._instance_state,
            now,
        )
        if is_leaving_region and not self.cross_region_budget.is_within_budget(
            own_bytes_per_s,
            now,
        ):
            return NoneAvailable(is_wait_futile=False)
        return choice

    def _send_to_target(
        self,
        service: Service,
        request: CallerRequest,
        target: Target,
    ) -> ExchangeOutcome:
        now = self._clock.monotonic()
        remaining_s = request.deadline - now
        if remaining_s < _MIN_REMAINING_S:
            self.slots.release(target)
            return NotSent(reason='the deadline has passed')
        record_dispatch(self._instance_state, target.target_id)
        self.counts.dispatched += 1
        outcome = self._target_connections.get_target_pool(target).exchange(
            _make_target_request(request, remaining_s),
            Timeouts(
                first_byte_s=min(service.first_byte_timeout_s, remaining_s),
                total_s=remaining_s,
            ),
            guard=self._is_not_paused,
        )
        self._record_target_outcome(request, target, outcome)
        return _convert_capacity_refusal(outcome)

    def _is_not_paused(self) -> bool:
        return not self._instance_state.is_paused(self._clock.monotonic())

    def _record_target_outcome(
        self,
        request: CallerRequest,
        target: Target,
        outcome: ExchangeOutcome,
    ) -> None:
        now = self._clock.monotonic()
        if isinstance(outcome, WholeAnswer):
            self.slots.release(target)
            self._record_target_response(target, outcome, now)
            return
        self.counts.failed_attempts += 1
        event(
            'attempt_failed',
            request=request.request_id,
            target=target.target_id,
            reason=outcome.reason,
        )
        if isinstance(outcome, NotSent):
            self.slots.release(target)
            # While this process counts as paused, it sends nothing.
            if self._is_not_paused():
                record_failure(self._instance_state, target.target_id, now)
            return
        # The target may still be running the request, so its slot stays
        # reserved until the deadline that was sent to the target.
        gevent.spawn_later(
            max(request.deadline - now, 0),
            self.slots.release,
            target,
        )
        gevent.spawn(self._diagnose_broken_exchange, target, outcome)

    def _record_target_response(
        self,
        target: Target,
        answer: WholeAnswer,
        now: MonotonicTime,
    ) -> None:
        self._target_connections.observe_response(target, answer)
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            record_failure(self._instance_state, target.target_id, now)
            return
        record_answer(self._instance_state, target.target_id, answer.duration_s)
        self.slots.record_service_time(answer.duration_s)
        self._retry_budget.record_success()

    def _diagnose_broken_exchange(
        self,
        target: Target,
        outcome: Broken,
    ) -> None:
        # A target that answers over a new connection has not failed; only the
        # reused connections to it are dead.
        is_connection_lost = (
            outcome.is_silent
            and outcome.is_reused
            and self._target_connections.is_new_connection_healthy(target)
        )
        if is_connection_lost:
            record_inconclusive(self._instance_state, target.target_id)
            self._target_connections.get_target_pool(
                target
            ).retire_connections()
            event('connections_retired', target=target.target_id)
            return
        record_failure(
            self._instance_state,
            target.target_id,
            self._clock.monotonic(),
        )

    def _send_to_peer(
        self,
        request: CallerRequest,
        peer: Peer,
    ) -> ExchangeOutcome:
        now = self._clock.monotonic()
        remaining_s = request.deadline - now
        if remaining_s < _MIN_REMAINING_S:
            return NotSent(reason='the deadline has passed')
        self.counts.relayed += 1
        self._decrement_free_slots(peer, request.service)
        pool = self._target_connections.get_peer_pool(peer.http_address)
        outcome = pool.exchange(
            HttpRequest(
                method=request.method,
                path=f'/services/{request.service}{request.path}',
                fields=(
                    *request.fields,
                    *self._make_relay_headers(request, remaining_s),
                ),
                body=request.body,
            ),
            Timeouts(first_byte_s=remaining_s, total_s=remaining_s),
        )
        if isinstance(outcome, Broken) and outcome.is_silent:
            pool.retire_connections()
        if not is_same_region(self._instance_state, peer):
            self._charge_cross_region_bytes(request, outcome)
        return outcome

    def _charge_cross_region_bytes(
        self,
        request: CallerRequest,
        outcome: ExchangeOutcome,
    ) -> None:
        sent_bytes = len(request.body) + _ASSUMED_HEAD_BYTES
        if isinstance(outcome, WholeAnswer):
            sent_bytes += len(outcome.body) + _ASSUMED_HEAD_BYTES
        self.cross_region_budget.charge(sent_bytes)

    def _decrement_free_slots(self, peer: Peer, service: str) -> None:
        current_peer = self._instance_state.peer_by_id.get(peer.instance_id)
        if current_peer is None:
            return
        free_by_service = dict(current_peer.free_by_service)
        free_slots = free_by_service.get(service, 0)
        free_by_service[service] = max(free_slots - 1, 0)
        self._instance_state.peer_by_id[peer.instance_id] = replace(
            current_peer,
            free_by_service=free_by_service,
        )

    def _refuse_failed_request(
        self,
        request: CallerRequest,
        outcome: ExchangeOutcome,
    ) -> Refusal:
        if isinstance(outcome, Broken):
            self.counts.refused += 1
            status = (
                HTTPStatus.GATEWAY_TIMEOUT
                if outcome.is_silent
                else HTTPStatus.BAD_GATEWAY
            )
            return Refusal(
                status=status,
                code='no-whole-answer',
                message=f'the request was sent, but {outcome.reason}',
                run_state=RunState.UNKNOWN,
            )
        reason = 'no attempt could be made'
        if isinstance(outcome, NotSent):
            reason = outcome.reason
        return self._refuse('not-sent', reason, retry_after_s=1)

    def _refuse(
        self,
        code: str,
        message: str,
        *,
        retry_after_s: Seconds = 0,
    ) -> Refusal:
        self.counts.refused += 1
        return Refusal(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code=code,
            message=message,
            retry_after_s=retry_after_s,
        )


def _choose_decisive(
    earlier: ExchangeOutcome, latest: ExchangeOutcome
) -> ExchangeOutcome:
    """
    Choose which of two failed attempts tells whether a request may have run.

    :param earlier: outcome that decided before the latest attempt.
    :param latest: outcome of the latest attempt.
    :returns: the latest one, unless only the earlier one may have run.
    """
    if isinstance(earlier, Broken) and isinstance(latest, NotSent):
        return earlier
    return latest


def _make_target_request(
    request: CallerRequest,
    remaining_s: Seconds,
) -> HttpRequest:
    return HttpRequest(
        method=request.method,
        path=request.path,
        fields=(
            *request.fields,
            ('ragwortfield-request-id', request.request_id),
            ('ragwortfield-team', request.team),
            ('ragwortfield-deadline-ms', f'{remaining_s * 1000:.0f}'),
        ),
        body=request.body,
    )


def _convert_capacity_refusal(outcome: ExchangeOutcome) -> ExchangeOutcome:
    # The target itself states that it did not run the request, so a retry is
    # safe.
    if isinstance(outcome, WholeAnswer) and _is_capacity_refusal(outcome):
        return NotSent(reason='the target refused to run the request')
    return outcome


def _is_capacity_refusal(answer: WholeAnswer) -> bool:
    return (
        answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        and answer.get_header('ragwortfield-run') == RunState.NOT_RUN
    )

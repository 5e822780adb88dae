"""Dispatcher: takes a checked request to a target or to a peer."""

import random
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Protocol

import gevent

from ragwortfield.adapters.http_client import HttpRequest, Timeouts
from ragwortfield.core.configuration import Configuration, Service
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
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.targets import Target
from ragwortfield.engine.slot_allocator import SlotDesk, SlotWait
from ragwortfield.engine.target_connections import TargetLinks
from ragwortfield.log import event
from ragwortfield.ports.clock import Clock
from ragwortfield.policies.cross_region_budget import CrossRegionBudget
from ragwortfield.policies.target_health import (
    record_inconclusive,
    record_answer,
    record_dispatch,
    record_failure,
)
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
from ragwortfield.policies.target_shares import compute_seat_fraction
from ragwortfield.types import MonotonicTime, Seconds

#: While a request waits it asks again for a peer after this, in seconds.
_PEER_RECHECK_S = 0.05
#: Longest wait of a request for which this instance has no share, in seconds.
_NO_SHARE_WAIT_S = 1.5
#: Bytes that the head of a request or answer is taken for.
_HEAD_BYTES = 600
#: Smallest useful rest of a deadline, in seconds.
_SMALLEST_REST_S = 0.001


class RelayFields(Protocol):
    """Makes the header fields of a request relayed to a peer."""

    def __call__(
        self,
        request: CallerRequest,
        remaining_s: Seconds,
    ) -> HeaderFields:
        """Sign what the peer has to trust."""


@dataclass(kw_only=True, slots=True)
class DispatchCounts:
    """What the dispatcher did since its start."""

    dispatched: int = 0
    relayed: int = 0
    retried: int = 0
    wasted: int = 0
    queued: int = 0
    refused: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Step:
    """
    One attempt of a request.

    :param name: the target or peer that was tried.
    :param served: what the caller gets; ``None`` when the attempt failed.
    """

    name: str
    outcome: ExchangeOutcome
    served: Served | Relayed | None = None


#: Where a request may go next.
_Placement = TargetChoice | PeerChoice | Refusal


class Dispatcher:
    """
    Takes requests to targets, inside this instance's shares.

    :param instance_state: the instance's tables.
    :param clock: source of time.
    :param random_generator: source of random numbers.
    :param links: connections to targets.
    :param relay_fields: signs relayed requests.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        clock: Clock,
        random_generator: random.Random,
        links: TargetLinks,
        relay_fields: RelayFields,
    ) -> None:
        """Create a dispatcher with an empty queue."""
        self.counts = DispatchCounts()
        self.cross_region_budget = CrossRegionBudget()
        self._instance_state = instance_state
        self._clock = clock
        self._random_generator = random_generator
        self._links = links
        self._relay_fields = relay_fields
        self.slots = SlotDesk(
            instance_state=instance_state,
            clock=clock,
            random_generator=random_generator,
        )
        self._budget = RetryBudget()

    def run(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> RequestOutcome:
        """
        Run a request once, with retries only where they are safe.

        :param configuration: the configuration in force.
        :param request: the checked request.
        :returns: the answer, or a refusal that says what is certain.
        """
        excluded: frozenset[str] = frozenset()
        outcome: ExchangeOutcome = NotSent(reason='nothing tried yet')
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._may_retry(request, outcome):
                break
            placement = self._place(configuration, request, excluded)
            if isinstance(placement, Refusal):
                # A send whose run is unknown is not undone by a refusal.
                if isinstance(outcome, Broken):
                    break
                return placement
            step = self._step(configuration, request, placement)
            if step.served is not None:
                return step.served
            outcome = step.outcome
            excluded = excluded | {step.name}
        return self._failure(request, outcome)

    def relay_to(
        self,
        configuration: Configuration,
        request: CallerRequest,
        peer: Peer,
    ) -> RequestOutcome:
        """
        Relay a request to one certain peer.

        :param configuration: the configuration in force.
        :param request: the checked request.
        :param peer: the only peer that may decide about it.
        :returns: the peer's answer, or a refusal that says what is certain.
        """
        outcome = self._relay(request, peer)
        if isinstance(outcome, WholeAnswer):
            return Relayed(answer=outcome, peer_id=peer.instance_id)
        return self._failure(request, outcome)

    def _step(
        self,
        configuration: Configuration,
        request: CallerRequest,
        placement: TargetChoice | PeerChoice,
    ) -> _Step:
        if isinstance(placement, TargetChoice):
            service = configuration.services[request.service]
            return self._step_to_target(service, request, placement.target)
        peer = placement.peer
        name = peer.instance_id
        outcome = self._relay(request, peer)
        if not isinstance(outcome, WholeAnswer):
            return _Step(name=name, outcome=outcome)
        if _is_capacity_refusal(outcome):
            reason = f'peer {name} had no free slot'
            return _Step(name=name, outcome=NotSent(reason=reason))
        return _Step(
            name=name,
            outcome=outcome,
            served=Relayed(answer=outcome, peer_id=name),
        )

    def _step_to_target(
        self,
        service: Service,
        request: CallerRequest,
        target: Target,
    ) -> _Step:
        name = target.target_id
        outcome = self._attempt(service, request, target)
        if isinstance(outcome, WholeAnswer):
            return _Step(
                name=name,
                outcome=outcome,
                served=Served(answer=outcome, target_id=name),
            )
        return _Step(name=name, outcome=outcome)

    def _may_retry(
        self,
        request: CallerRequest,
        outcome: ExchangeOutcome,
    ) -> bool:
        remaining_s = request.deadline - self._clock.monotonic()
        if remaining_s < _SMALLEST_REST_S or not is_retry_safe(
            request, outcome
        ):
            return False
        if not self._budget.try_spend():
            return False
        self.counts.retried += 1
        return True

    def _place(
        self,
        configuration: Configuration,
        request: CallerRequest,
        excluded: frozenset[str],
    ) -> _Placement:
        now = self._clock.monotonic()
        choice = self.slots.take(request, excluded)
        if isinstance(choice, TargetChoice):
            return choice
        peer_choice = self._choose_peer(configuration, request, excluded)
        if isinstance(peer_choice, PeerChoice):
            return peer_choice
        until = request.deadline
        if choice.is_wait_futile:
            # Seats and heartbeats may be on their way to this instance.
            until = min(until, now + _NO_SHARE_WAIT_S)
        return self._wait(configuration, request, excluded, until)

    def _wait(
        self,
        configuration: Configuration,
        request: CallerRequest,
        excluded: frozenset[str],
        until: MonotonicTime,
    ) -> _Placement:
        remaining_s = request.deadline - self._clock.monotonic()
        expected_s = self.slots.expected_wait_s(request.service)
        if expected_s > remaining_s:
            return self._refuse(
                'overload',
                f'a slot is expected in {expected_s:.3f} s, the deadline is '
                f'in {remaining_s:.3f} s',
                retry_after_s=expected_s,
            )
        self.counts.queued += 1
        weight = configuration.teams[request.team].requests_per_s
        waiting = self.slots.enter(request, excluded, weight)
        try:
            return self._await_slot(configuration, waiting, until)
        finally:
            self.slots.leave(waiting)

    def _await_slot(
        self,
        configuration: Configuration,
        waiting: SlotWait,
        until: MonotonicTime,
    ) -> _Placement:
        request = waiting.request
        while True:
            remaining_s = until - self._clock.monotonic()
            if remaining_s < _SMALLEST_REST_S:
                return self._refuse_waiter(request, until)
            if waiting.slot.wait(min(remaining_s, _PEER_RECHECK_S)) is not None:
                choice = waiting.slot.get()
                if isinstance(choice, TargetChoice):
                    return choice
                return self._refuse('no-target', 'no other target is free')
            peer_choice = self._choose_peer(
                configuration,
                request,
                waiting.excluded,
            )
            if isinstance(peer_choice, PeerChoice):
                return peer_choice

    def _refuse_waiter(
        self,
        request: CallerRequest,
        until: MonotonicTime,
    ) -> Refusal:
        if until < request.deadline:
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
        is_paid = isinstance(choice, PeerChoice) and choice.is_cross_region
        rate = configuration.cross_region_bytes_per_s
        part = rate * compute_seat_fraction(self._instance_state, now)
        if is_paid and not self.cross_region_budget.is_within_budget(part, now):
            return NoneAvailable(is_wait_futile=False)
        return choice

    def _attempt(
        self,
        service: Service,
        request: CallerRequest,
        target: Target,
    ) -> ExchangeOutcome:
        now = self._clock.monotonic()
        remaining_s = request.deadline - now
        if remaining_s < _SMALLEST_REST_S:
            self.slots.release(target)
            return NotSent(reason='the deadline has passed')
        record_dispatch(self._instance_state, target.target_id)
        self.counts.dispatched += 1
        outcome = self._links.pool(target).exchange(
            _target_request(request, remaining_s),
            Timeouts(
                first_byte_s=min(service.first_byte_timeout_s, remaining_s),
                total_s=remaining_s,
            ),
            guard=self._is_running_steadily,
        )
        self._settle(request, target, outcome)
        return _unless_refused_unrun(outcome)

    def _is_running_steadily(self) -> bool:
        return not self._instance_state.is_paused(self._clock.monotonic())

    def _settle(
        self,
        request: CallerRequest,
        target: Target,
        outcome: ExchangeOutcome,
    ) -> None:
        now = self._clock.monotonic()
        if isinstance(outcome, WholeAnswer):
            self.slots.release(target)
            self._settle_answer(target, outcome, now)
            return
        self.counts.wasted += 1
        event(
            'attempt_failed',
            request=request.request_id,
            target=target.target_id,
            reason=outcome.reason,
        )
        if isinstance(outcome, NotSent):
            self.slots.release(target)
            record_failure(self._instance_state, target.target_id, now)
            return
        # The target may still be working: its slot stays taken until the
        # deadline that the target was told.
        gevent.spawn_later(
            max(request.deadline - now, 0),
            self.slots.release,
            target,
        )
        gevent.spawn(self._blame, target, outcome)

    def _settle_answer(
        self,
        target: Target,
        answer: WholeAnswer,
        now: MonotonicTime,
    ) -> None:
        self._links.observe(target, answer)
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            record_failure(self._instance_state, target.target_id, now)
            return
        record_answer(self._instance_state, target.target_id, answer.duration_s)
        self.slots.record_duration(answer.duration_s)
        self._budget.record_success()

    def _blame(self, target: Target, outcome: Broken) -> None:
        is_connection_lost = (
            outcome.is_silent
            and outcome.is_reused
            and self._links.is_fresh_connection_fine(target)
        )
        if is_connection_lost:
            record_inconclusive(self._instance_state, target.target_id)
            self._links.pool(target).retire_connections()
            event('connections_retired', target=target.target_id)
            return
        record_failure(
            self._instance_state,
            target.target_id,
            self._clock.monotonic(),
        )

    def _relay(
        self,
        request: CallerRequest,
        peer: Peer,
    ) -> ExchangeOutcome:
        now = self._clock.monotonic()
        remaining_s = request.deadline - now
        if remaining_s < _SMALLEST_REST_S:
            return NotSent(reason='the deadline has passed')
        self.counts.relayed += 1
        self._count_free_slot_used(peer, request.service)
        pool = self._links.peer_pool(peer.http_address)
        outcome = pool.exchange(
            HttpRequest(
                method=request.method,
                path=f'/services/{request.service}{request.path}',
                fields=(
                    *request.fields,
                    *self._relay_fields(request, remaining_s),
                ),
                body=request.body,
            ),
            Timeouts(first_byte_s=remaining_s, total_s=remaining_s),
        )
        if isinstance(outcome, Broken) and outcome.is_silent:
            pool.retire_connections()
        if not is_same_region(self._instance_state, peer):
            self._charge_link(request, outcome)
        return outcome

    def _charge_link(
        self,
        request: CallerRequest,
        outcome: ExchangeOutcome,
    ) -> None:
        sent_bytes = len(request.body) + _HEAD_BYTES
        if isinstance(outcome, WholeAnswer):
            sent_bytes += len(outcome.body) + _HEAD_BYTES
        self.cross_region_budget.charge(sent_bytes)

    def _count_free_slot_used(self, peer: Peer, service: str) -> None:
        known = self._instance_state.peer_by_id.get(peer.instance_id)
        if known is None:
            return
        free_by_service = dict(known.free_by_service)
        free = free_by_service.get(service, 0)
        free_by_service[service] = max(free - 1, 0)
        self._instance_state.peer_by_id[peer.instance_id] = replace(
            known,
            free_by_service=free_by_service,
        )

    def _failure(
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


def _target_request(
    request: CallerRequest, remaining_s: Seconds
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


def _unless_refused_unrun(outcome: ExchangeOutcome) -> ExchangeOutcome:
    # A target that says itself that it did not run the request is believed.
    if isinstance(outcome, WholeAnswer) and _is_capacity_refusal(outcome):
        return NotSent(reason='the target refused without running')
    return outcome


def _is_capacity_refusal(answer: WholeAnswer) -> bool:
    return (
        answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        and answer.get_header('ragwortfield-run') == RunState.NOT_RUN
    )

"""Handling of a caller's request, from admission to outcome."""

from dataclasses import replace
from http import HTTPStatus

import gevent

from ragwortfield.core.claims import (
    ClaimDecision,
    ClaimKey,
    FinishedClaim,
    MismatchedClaim,
    NewClaim,
    RunningClaim,
    UncertainClaim,
)
from ragwortfield.core.configuration import Configuration, RequestClass
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.outcomes import (
    Refusal,
    Relayed,
    RequestOutcome,
    RunState,
    Served,
)
from ragwortfield.core.peers import Peer
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.seats import SeatId
from ragwortfield.engine.claim_store import ClaimStore
from ragwortfield.engine.deferred_queue import DeferredQueue
from ragwortfield.engine.dispatcher import Dispatcher
from ragwortfield.policies.admission import (
    UnvalidatedRequest,
    is_token_valid,
    validate_request,
)
from ragwortfield.policies.idempotency import (
    digest_request,
    find_home_seat,
    is_key_expired,
)
from ragwortfield.policies.request_quota import QuotaExceeded, TeamRateLimiter
from ragwortfield.policies.routing import MAX_RELAY_HOPS
from ragwortfield.policies.target_shares import compute_seat_fraction
from ragwortfield.ports.clock import Clock

#: Longest wait for a seat that changes hands to get a holder, in seconds.
_HOLDER_TIMEOUT_S = 2.0
#: Time between checks for a holder of the seat, in seconds.
_HOLDER_POLL_INTERVAL_S = 0.05
#: Retry-after for a caller whose earlier request with the same key is still
#: running, in seconds.
_RUNNING_RETRY_AFTER_S = 1
#: Retry-after for a caller while the key's home seat has no reachable holder,
#: in seconds.
_HOME_RETRY_AFTER_S = 1


class RequestHandler:
    """
    Admits, charges and runs requests of callers.

    :param instance_state: the instance's in-memory state.
    :param clock: source of time.
    :param dispatcher: sends requests to targets and peers.
    :param claim_store: claims of idempotency keys.
    :param deferred_queue: accepts deferred requests.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        clock: Clock,
        dispatcher: Dispatcher,
        claim_store: ClaimStore,
        deferred_queue: DeferredQueue,
    ) -> None:
        """Create a handler with unspent quotas."""
        self._instance_state = instance_state
        self._clock = clock
        self._dispatcher = dispatcher
        self._claim_store = claim_store
        self._deferred_queue = deferred_queue
        self._rate_limiter = TeamRateLimiter()

    def serve(self, unvalidated_request: UnvalidatedRequest) -> RequestOutcome:
        """
        Serve a request of a caller.

        :param unvalidated_request: the request as the caller sent it.
        :returns: the response or receipt, or a refusal that states whether
            the request ran.
        """
        configuration = self._instance_state.configuration()
        if configuration is None:
            return Refusal(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                code='no-configuration',
                message='this instance has not loaded a configuration yet',
                retry_after_s=1,
            )
        request = validate_request(
            configuration,
            unvalidated_request,
            self._clock.monotonic(),
        )
        if isinstance(request, Refusal):
            return request
        charged_request = self._charge_quota(configuration, request)
        if isinstance(charged_request, Refusal):
            return charged_request
        if charged_request.request_class is RequestClass.DEFERRED:
            return self._deferred_queue.accept(configuration, charged_request)
        return self.run(configuration, charged_request)

    def run(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> RequestOutcome:
        """
        Run an admitted request.

        A request with an idempotency key runs at most once, unless it is
        marked as idempotent.

        :param configuration: the configuration in force.
        :param request: the request.
        :returns: the response, or a refusal that states whether the request
            ran.
        """
        if request.key and not request.is_idempotent:
            return self._run_with_key(configuration, request)
        return self._dispatcher.run(configuration, request)

    def is_team_token(self, name: str, token: str) -> bool:
        """
        Tell whether a token belongs to a team.

        :param name: name of the team.
        :param token: the secret token.
        :returns: whether it does; false for an unknown team.
        """
        configuration = self._instance_state.configuration()
        team = None if configuration is None else configuration.teams.get(name)
        return team is not None and is_token_valid(team, token)

    def _charge_quota(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> CallerRequest | Refusal:
        now = self._clock.monotonic()
        quota_fraction = compute_seat_fraction(self._instance_state, now)
        # An instance without a seat has no share of any quota, so the request
        # is charged by the peer that it is relayed to.
        if request.is_quota_charged or not quota_fraction:
            return request
        quota_result = self._rate_limiter.charge(
            request.team,
            configuration.teams[request.team],
            fraction=quota_fraction,
            now=now,
        )
        if isinstance(quota_result, QuotaExceeded):
            return Refusal(
                status=HTTPStatus.TOO_MANY_REQUESTS,
                code='quota-spent',
                message=f'the request quota of team {request.team!r} is spent',
                retry_after_s=quota_result.retry_after_s,
            )
        return replace(request, is_quota_charged=True)

    def _run_with_key(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> RequestOutcome:
        key = ClaimKey(team=request.team, key=request.key)
        if is_key_expired(configuration, request.key, self._clock.wall_time()):
            return self._refuse_uncertain(
                'the key is older than the key lifetime',
            )
        home_seat = find_home_seat(configuration, key)
        peer = self._wait_for_holder(home_seat, request)
        if self._claim_store.is_home_seat_ready(home_seat):
            return self._run_with_claim(configuration, request, key)
        if peer is None or request.hops >= MAX_RELAY_HOPS:
            return self._refuse_home_unreachable(home_seat)
        outcome = self._dispatcher.relay_to(configuration, request, peer)
        if isinstance(outcome, Refusal):
            return replace(outcome, earlier_state=RunState.UNKNOWN)
        return outcome

    def _wait_for_holder(
        self,
        home_seat: SeatId,
        request: CallerRequest,
    ) -> Peer | None:
        # A seat has no holder for a short time while it changes hands.
        now = self._clock.monotonic()
        wait_until = min(now + _HOLDER_TIMEOUT_S, request.deadline)
        peer = self._find_holder(home_seat)
        while peer is None and not self._claim_store.is_home_seat_ready(
            home_seat
        ):
            if self._clock.monotonic() >= wait_until:
                return None
            gevent.sleep(_HOLDER_POLL_INTERVAL_S)
            peer = self._find_holder(home_seat)
        return peer

    def _run_with_claim(
        self,
        configuration: Configuration,
        request: CallerRequest,
        key: ClaimKey,
    ) -> RequestOutcome:
        digest = digest_request(request.method, request.path, request.body)
        decision = self._claim_store.acquire(key, digest)
        if not isinstance(decision, NewClaim):
            return self._answer_repeated_request(decision)
        outcome: RequestOutcome | None = None
        # This instance holds the claim, so the key is cleared: a peer that
        # runs the request on its slot must not claim the key again.
        claimed_request = replace(request, key='')
        try:
            outcome = self._dispatcher.run(configuration, claimed_request)
        finally:
            self._record_outcome(key, outcome)
        if isinstance(outcome, Refusal):
            return replace(outcome, earlier_state=RunState.NOT_RUN)
        return outcome

    def _record_outcome(
        self,
        key: ClaimKey,
        outcome: RequestOutcome | None,
    ) -> None:
        if isinstance(outcome, Served):
            self._claim_store.record_ran(key, outcome.answer)
        elif isinstance(outcome, Relayed):
            self._record_relayed_outcome(key, outcome)
        elif (
            isinstance(outcome, Refusal)
            and outcome.run_state is RunState.NOT_RUN
        ):
            self._claim_store.record_not_run(key)
        else:
            self._claim_store.record_unknown(key)

    def _record_relayed_outcome(self, key: ClaimKey, outcome: Relayed) -> None:
        run_state = outcome.answer.get_header('ragwortfield-run')
        if run_state == RunState.RAN:
            self._claim_store.record_ran(key, outcome.answer)
        elif run_state == RunState.NOT_RUN:
            self._claim_store.record_not_run(key)
        else:
            self._claim_store.record_unknown(key)

    def _answer_repeated_request(
        self,
        decision: ClaimDecision,
    ) -> RequestOutcome:
        if isinstance(decision, FinishedClaim):
            if decision.answer is not None:
                return Served(
                    answer=decision.answer,
                    target_id='',
                    is_replay=True,
                )
            return Refusal(
                status=HTTPStatus.CONFLICT,
                code='already-ran',
                message=(
                    'an earlier request with this key ran; its response was '
                    'not stored'
                ),
                earlier_state=RunState.RAN,
            )
        if isinstance(decision, RunningClaim):
            return Refusal(
                status=HTTPStatus.CONFLICT,
                code='still-running',
                message='an earlier request with this key is still running',
                earlier_state=RunState.UNKNOWN,
                retry_after_s=_RUNNING_RETRY_AFTER_S,
            )
        if isinstance(decision, MismatchedClaim):
            return Refusal(
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
                code='key-reused',
                message='this key was used before for a different request',
            )
        if isinstance(decision, UncertainClaim):
            return self._refuse_uncertain(decision.reason)
        return self._refuse_uncertain('the claim is new')

    def _refuse_uncertain(self, reason: str) -> Refusal:
        return Refusal(
            status=HTTPStatus.CONFLICT,
            code='earlier-send-unknown',
            message=f'this request was not run: {reason}',
            earlier_state=RunState.UNKNOWN,
        )

    def _refuse_home_unreachable(self, home_seat: SeatId) -> Refusal:
        own_data_centre = self._instance_state.identity.data_centre
        return Refusal(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code='key-home-unreachable',
            message=(
                f'this request was not run: seat {home_seat.row_key()}, which '
                'decides about this key, cannot be reached; if the request '
                'was never sent before, it may use a new key that starts '
                f'with "{own_data_centre}:"'
            ),
            earlier_state=RunState.UNKNOWN,
            retry_after_s=_HOME_RETRY_AFTER_S,
        )

    def _find_holder(self, home_seat: SeatId) -> Peer | None:
        seat_key = home_seat.row_key()
        newest_holder: Peer | None = None
        newest_generation = 0
        for peer in self._instance_state.peer_by_id.values():
            generation = peer.generation_by_seat.get(seat_key, 0)
            if generation > newest_generation:
                newest_holder = peer
                newest_generation = generation
        return newest_holder

"""Reception: what happens to a caller's request, from admission to outcome."""

from dataclasses import replace
from http import HTTPStatus

import gevent

from ragwortfield.core.claims import (
    ClaimDecision,
    ClaimKey,
    FinishedClaim,
    FreshClaim,
    MismatchedClaim,
    RunningClaim,
    UncertainClaim,
)
from ragwortfield.core.configuration import Configuration, RequestClass
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
from ragwortfield.core.instance_state import Tables
from ragwortfield.engine.claim_store import ClaimStore
from ragwortfield.engine.deferred_queue import DeferredQueue
from ragwortfield.engine.dispatcher import Dispatcher
from ragwortfield.ports.clock import Clock
from ragwortfield.policies.admission import RawRequest, admit, is_token_of
from ragwortfield.policies.idempotency import (
    home_of,
    is_key_expired,
    request_digest,
)
from ragwortfield.policies.request_quota import QuotaKeeper, QuotaSpent
from ragwortfield.policies.routing import MAX_HOPS
from ragwortfield.policies.target_shares import seat_fraction

#: Longest wait for the next holder of a seat, in seconds.
_HOME_WAIT_S = 2.0
#: Time between looks for the next holder, in seconds.
_HOME_STEP_S = 0.05
#: Advice to a caller whose earlier send is still running, in seconds.
_RUNNING_RETRY_S = 1
#: Advice to a caller while a seat has no reachable holder, in seconds.
_HOME_RETRY_S = 1


class RequestHandler:
    """
    Decides about each request of a caller.

    :param tables: the instance's tables.
    :param clock: source of time.
    :param dispatcher: takes requests to targets and peers.
    :param claim_store: claims of idempotency keys.
    :param deferred_queue: accepts deferred requests.
    """

    def __init__(
        self,
        *,
        tables: Tables,
        clock: Clock,
        dispatcher: Dispatcher,
        claim_store: ClaimStore,
        deferred_queue: DeferredQueue,
    ) -> None:
        """Create a reception."""
        self._tables = tables
        self._clock = clock
        self._dispatcher = dispatcher
        self._claim_store = claim_store
        self._deferred_queue = deferred_queue
        self._quota = QuotaKeeper()

    def serve(self, raw: RawRequest) -> RequestOutcome:
        """
        Serve a request of a caller.

        :param raw: the request as the caller sent it.
        :returns: the answer, or a refusal that says what is certain.
        """
        configuration = self._tables.configuration()
        if configuration is None:
            return Refusal(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                code='no-configuration',
                message='this instance knows no configuration yet',
                retry_after_s=1,
            )
        request = admit(configuration, raw, self._clock.monotonic())
        if isinstance(request, Refusal):
            return request
        charged = self._charge(configuration, request)
        if isinstance(charged, Refusal):
            return charged
        if charged.request_class is RequestClass.DEFERRED:
            return self._deferred_queue.accept(configuration, charged)
        return self.run(configuration, charged)

    def run(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> RequestOutcome:
        """
        Run an admitted request.

        :param configuration: the configuration in force.
        :param request: the request.
        :returns: the answer, or a refusal that says what is certain.
        """
        if request.key and not request.is_idempotent:
            return self._run_keyed(configuration, request)
        return self._dispatcher.run(configuration, request)

    def is_team_token(self, name: str, token: str) -> bool:
        """
        Tell whether a token is one of a team.

        :param name: name of the team.
        :param token: the secret token.
        :returns: whether it is.
        """
        configuration = self._tables.configuration()
        team = None if configuration is None else configuration.teams.get(name)
        return team is not None and is_token_of(team, token)

    def _charge(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> CallerRequest | Refusal:
        now = self._clock.monotonic()
        fraction = seat_fraction(self._tables, now)
        # An instance without a seat has no part of any quota; the peer that
        # it relays to charges the request.
        if request.is_quota_charged or not fraction:
            return request
        spent = self._quota.charge(
            request.team,
            configuration.teams[request.team],
            fraction=fraction,
            now=now,
        )
        if isinstance(spent, QuotaSpent):
            return Refusal(
                status=HTTPStatus.TOO_MANY_REQUESTS,
                code='quota-spent',
                message=f'the quota of team {request.team!r} is spent',
                retry_after_s=spent.retry_after_s,
            )
        return replace(request, is_quota_charged=True)

    def _run_keyed(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> RequestOutcome:
        key = ClaimKey(team=request.team, key=request.key)
        if is_key_expired(configuration, request.key, self._clock.wall()):
            return self._uncertain('the key is older than the key lifetime')
        home = home_of(configuration, key)
        peer = self._await_holder(home, request)
        if self._claim_store.is_home_ready(home):
            return self._run_claimed(configuration, request, key)
        if peer is None or request.hops >= MAX_HOPS:
            return self._homeless(home)
        outcome = self._dispatcher.relay_to(configuration, request, peer)
        if isinstance(outcome, Refusal):
            return replace(outcome, earlier_state=RunState.UNKNOWN)
        return outcome

    def _await_holder(
        self,
        home: SeatId,
        request: CallerRequest,
    ) -> Peer | None:
        # A seat that changes hands has no holder for a moment.
        now = self._clock.monotonic()
        until = min(now + _HOME_WAIT_S, request.deadline)
        peer = self._holder(home)
        while peer is None and not self._claim_store.is_home_ready(home):
            if self._clock.monotonic() >= until:
                return None
            gevent.sleep(_HOME_STEP_S)
            peer = self._holder(home)
        return peer

    def _run_claimed(
        self,
        configuration: Configuration,
        request: CallerRequest,
        key: ClaimKey,
    ) -> RequestOutcome:
        digest = request_digest(request.method, request.path, request.body)
        decision = self._claim_store.acquire(key, digest)
        if not isinstance(decision, FreshClaim):
            return self._answer_repeat(decision)
        outcome: RequestOutcome | None = None
        # The claim is settled here; a peer that lends a slot must not ask
        # for it again.
        claimed = replace(request, key='')
        try:
            outcome = self._dispatcher.run(configuration, claimed)
        finally:
            self._close(key, outcome)
        if isinstance(outcome, Refusal):
            return replace(outcome, earlier_state=RunState.NOT_RUN)
        return outcome

    def _close(self, key: ClaimKey, outcome: RequestOutcome | None) -> None:
        if isinstance(outcome, Served):
            self._claim_store.record_ran(key, outcome.answer)
        elif isinstance(outcome, Relayed):
            self._close_relayed(key, outcome)
        elif (
            isinstance(outcome, Refusal)
            and outcome.run_state is RunState.NOT_RUN
        ):
            self._claim_store.record_not_run(key)
        else:
            self._claim_store.record_unknown(key)

    def _close_relayed(self, key: ClaimKey, outcome: Relayed) -> None:
        said = outcome.answer.field_value('ragwortfield-run')
        if said == RunState.RAN:
            self._claim_store.record_ran(key, outcome.answer)
        elif said == RunState.NOT_RUN:
            self._claim_store.record_not_run(key)
        else:
            self._claim_store.record_unknown(key)

    def _answer_repeat(self, decision: ClaimDecision) -> RequestOutcome:
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
                message='an earlier send ran; its answer was not kept',
                earlier_state=RunState.RAN,
            )
        if isinstance(decision, RunningClaim):
            return Refusal(
                status=HTTPStatus.CONFLICT,
                code='still-running',
                message='an earlier send of this key is still running',
                earlier_state=RunState.UNKNOWN,
                retry_after_s=_RUNNING_RETRY_S,
            )
        if isinstance(decision, MismatchedClaim):
            return Refusal(
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
                code='key-reused',
                message='this key was used before for another request',
            )
        if isinstance(decision, UncertainClaim):
            return self._uncertain(decision.reason)
        return self._uncertain('the claim is new')

    def _uncertain(self, reason: str) -> Refusal:
        return Refusal(
            status=HTTPStatus.CONFLICT,
            code='earlier-send-unknown',
            message=f'this send was not run: {reason}',
            earlier_state=RunState.UNKNOWN,
        )

    def _homeless(self, home: SeatId) -> Refusal:
        place = self._tables.identity.data_centre
        return Refusal(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code='key-home-unreachable',
            message=(
                f'this send was not run: seat {home.row_key()}, which '
                'decides about this key, cannot be reached; a first send '
                f'may use a new key that starts with "{place}:"'
            ),
            earlier_state=RunState.UNKNOWN,
            retry_after_s=_HOME_RETRY_S,
        )

    def _holder(self, home: SeatId) -> Peer | None:
        key = home.row_key()
        best: Peer | None = None
        best_generation = 0
        for peer in self._tables.peer_by_id.values():
            generation = peer.generation_by_seat.get(key, 0)
            if generation > best_generation:
                best = peer
                best_generation = generation
        return best

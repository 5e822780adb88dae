"""HTTP interface of callers: requests to services, and receipts."""

import math
import time
import uuid
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from ragwortfield.core.deferred import DeferredRecord, DeferredState
from ragwortfield.core.outcomes import (
    Receipt,
    Refusal,
    Relayed,
    RequestOutcome,
    RunState,
    Served,
)
from ragwortfield.engine.deferred_queue import DeferredQueue
from ragwortfield.engine.request_handler import RequestHandler
from ragwortfield.http_api.headers import (
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    EARLIER_STATE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    RELAY_HEADER,
    REPLAY_HEADER,
    REQUEST_ID_HEADER,
    RUN_STATE_HEADER,
    TARGET_HEADER,
    TEAM_HEADER,
    TOKEN_HEADER,
    RelayMetadata,
    RelaySigner,
    filter_forwarded_headers,
    filter_relayed_headers,
)
from ragwortfield.http_api.wsgi import (
    BodyError,
    Response,
    get_header,
    get_raw_path,
    list_headers,
    make_json_response,
    read_body,
)
from ragwortfield.log import event
from ragwortfield.policies.admission import UnvalidatedRequest
from ragwortfield.ports.platform import Unavailable
from ragwortfield.report.request_recorder import RequestRecorder

#: Prefix of the paths of services; the service's name follows.
SERVICE_PATH_PREFIX = '/services/'
#: Prefix of the paths of receipts; the receipt's identifier follows.
RECEIPT_PATH_PREFIX = '/receipts/'
#: Longest request identifier accepted from a caller, in characters. Longer
#: and unprintable ones are replaced by a new identifier.
_MAX_REQUEST_ID_LENGTH = 64


class CallerApi:
    """
    Converts HTTP requests to requests of callers, and outcomes to responses.

    :param request_handler: handles the requests.
    :param deferred_queue: looks up the receipts of deferred requests.
    :param relay_signer: verifies requests that peers relay.
    :param recorder: records outcomes and latencies.
    :param max_body_bytes: largest body of a request, in bytes.
    """

    def __init__(
        self,
        *,
        request_handler: RequestHandler,
        deferred_queue: DeferredQueue,
        relay_signer: RelaySigner,
        recorder: RequestRecorder,
        max_body_bytes: int,
    ) -> None:
        """Create the interface."""
        self._request_handler = request_handler
        self._deferred_queue = deferred_queue
        self._relay_signer = relay_signer
        self._recorder = recorder
        self._max_body_bytes = max_body_bytes

    def serve(self, environ: dict[str, Any]) -> Response:
        """
        Handle a request to a service.

        :param environ: WSGI environment.
        :returns: the response.
        """
        started_at = time.monotonic()
        request_id = _get_or_create_request_id(environ)
        relay = self._read_relay_metadata(environ, request_id)
        if isinstance(relay, Refusal):
            return _make_refusal_response(relay, request_id)
        body = read_body(environ, self._max_body_bytes)
        if isinstance(body, BodyError):
            refusal = Refusal(
                status=body.status,
                code=body.code,
                message=body.message,
            )
            return _make_refusal_response(refusal, request_id)
        request = _parse_request(environ, request_id, body, relay)
        outcome = self._request_handler.serve(request)
        duration_s = time.monotonic() - started_at
        self._record_outcome(request, outcome, duration_s)
        return _make_outcome_response(outcome, request_id)

    def show_receipt(self, environ: dict[str, Any]) -> Response:
        """
        Handle a request for the result of a deferred request.

        :param environ: WSGI environment.
        :returns: the stored response of the target, or the state of the
            deferred request.
        """
        receipt_id = unquote(get_raw_path(environ)[len(RECEIPT_PATH_PREFIX) :])
        record = self._deferred_queue.look_up(receipt_id)
        if isinstance(record, Unavailable):
            return make_json_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': 'receipt-unavailable', 'message': record.reason},
                ('retry-after', '1'),
            )
        is_own = record is not None and self._request_handler.is_team_token(
            record.team,
            get_header(environ, TOKEN_HEADER),
        )
        if record is None or not is_own:
            return make_json_response(
                HTTPStatus.NOT_FOUND,
                {
                    'error': 'unknown-receipt',
                    'message': (
                        f'receipt {receipt_id!r} does not exist or belongs to '
                        'another team'
                    ),
                },
            )
        return _make_deferred_response(receipt_id, record)

    def _read_relay_metadata(
        self,
        environ: dict[str, Any],
        request_id: str,
    ) -> RelayMetadata | Refusal:
        text = get_header(environ, RELAY_HEADER)
        if not text:
            return RelayMetadata(hops=0, is_quota_charged=False)
        team = get_header(environ, TEAM_HEADER)
        relay = self._relay_signer.verify(text, request_id, team)
        if relay is None:
            return Refusal(
                status=HTTPStatus.FORBIDDEN,
                code='bad-relay',
                message=(
                    f'header field {RELAY_HEADER!r} has expired or is not '
                    'signed with the peer token'
                ),
            )
        return relay

    def _record_outcome(
        self,
        request: UnvalidatedRequest,
        outcome: RequestOutcome,
        duration_s: float,
    ) -> None:
        run_state, code = _get_run_state_and_code(outcome)
        self._recorder.record(
            team=request.team,
            service=request.service,
            run_state=run_state,
            code=code,
            duration_s=duration_s,
            is_relayed_in=request.hops > 0,
            status=_get_status(outcome),
        )
        event(
            'request_ended',
            request=request.request_id,
            team=request.team,
            service=request.service,
            run=run_state,
            code=code,
            target=outcome.target_id if isinstance(outcome, Served) else '',
            ms=duration_s * 1000,
        )


def _get_or_create_request_id(environ: dict[str, Any]) -> str:
    text = get_header(environ, REQUEST_ID_HEADER)
    if 0 < len(text) <= _MAX_REQUEST_ID_LENGTH and text.isprintable():
        return text
    return uuid.uuid4().hex


def _parse_request(
    environ: dict[str, Any],
    request_id: str,
    body: bytes,
    relay: RelayMetadata,
) -> UnvalidatedRequest:
    service_path = get_raw_path(environ)[len(SERVICE_PATH_PREFIX) :]
    service, _, path = service_path.partition('/')
    return UnvalidatedRequest(
        request_id=request_id,
        service=unquote(service.partition('?')[0]),
        team=get_header(environ, TEAM_HEADER),
        token=get_header(environ, TOKEN_HEADER),
        class_text=get_header(environ, CLASS_HEADER),
        deadline_text=get_header(environ, DEADLINE_HEADER),
        key=get_header(environ, IDEMPOTENCY_KEY_HEADER).strip('"'),
        method=str(environ['REQUEST_METHOD']),
        path=f'/{path}',
        fields=filter_forwarded_headers(list_headers(environ)),
        body=body,
        hops=relay.hops,
        is_quota_charged=relay.is_quota_charged,
    )


def _get_run_state_and_code(outcome: RequestOutcome) -> tuple[str, str]:
    if isinstance(outcome, Served):
        return RunState.RAN.value, 'replayed' if outcome.is_replay else 'ran'
    if isinstance(outcome, Receipt):
        return RunState.NOT_RUN.value, 'accepted'
    if isinstance(outcome, Relayed):
        run_state = outcome.answer.get_header(RUN_STATE_HEADER)
        return run_state or RunState.UNKNOWN.value, 'relayed'
    return outcome.run_state.value, outcome.code


def _get_status(outcome: RequestOutcome) -> int:
    if isinstance(outcome, (Served, Relayed)):
        return outcome.answer.status
    if isinstance(outcome, Receipt):
        return HTTPStatus.ACCEPTED
    return outcome.status


def _make_outcome_response(
    outcome: RequestOutcome, request_id: str
) -> Response:
    if isinstance(outcome, Served):
        return _make_served_response(outcome, request_id)
    if isinstance(outcome, Relayed):
        return Response(
            status=outcome.answer.status,
            fields=filter_relayed_headers(outcome.answer.fields),
            body=outcome.answer.body,
        )
    if isinstance(outcome, Receipt):
        return make_json_response(
            HTTPStatus.ACCEPTED,
            {
                'receipt': outcome.receipt_id,
                'result': RECEIPT_PATH_PREFIX + outcome.receipt_id,
            },
            ('location', RECEIPT_PATH_PREFIX + outcome.receipt_id),
            (RUN_STATE_HEADER, RunState.NOT_RUN.value),
            (CODE_HEADER, 'accepted'),
            (REQUEST_ID_HEADER, request_id),
        )
    return _make_refusal_response(outcome, request_id)


def _make_served_response(outcome: Served, request_id: str) -> Response:
    fields = [
        *filter_forwarded_headers(outcome.answer.fields),
        (RUN_STATE_HEADER, RunState.RAN.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if outcome.target_id:
        fields.append((TARGET_HEADER, outcome.target_id))
    if outcome.is_replay:
        fields.append((REPLAY_HEADER, 'true'))
    return Response(
        status=outcome.answer.status,
        fields=tuple(fields),
        body=outcome.answer.body,
    )


def _make_refusal_response(refusal: Refusal, request_id: str) -> Response:
    document = {
        'error': refusal.code,
        'message': refusal.message,
        'run': refusal.run_state.value,
        'request_id': request_id,
    }
    fields = [
        (RUN_STATE_HEADER, refusal.run_state.value),
        (CODE_HEADER, refusal.code),
        (REQUEST_ID_HEADER, request_id),
    ]
    if refusal.earlier_state is not None:
        document['earlier'] = refusal.earlier_state.value
        fields.append((EARLIER_STATE_HEADER, refusal.earlier_state.value))
    if refusal.retry_after_s:
        retry_after_s = max(math.ceil(refusal.retry_after_s), 1)
        fields.append(('retry-after', str(retry_after_s)))
    return make_json_response(refusal.status, document, *fields)


def _make_deferred_response(
    receipt_id: str, record: DeferredRecord
) -> Response:
    if record.state is DeferredState.DONE:
        return Response(
            status=record.answer_status,
            fields=(
                *filter_forwarded_headers(record.answer_fields),
                (RUN_STATE_HEADER, RunState.RAN.value),
                (REQUEST_ID_HEADER, record.request_id),
            ),
            body=bytes.fromhex(record.answer_body),
        )
    run_state = RunState.UNKNOWN
    status = HTTPStatus.ACCEPTED
    if record.state is DeferredState.UNKNOWN:
        status = HTTPStatus.CONFLICT
    if record.state is DeferredState.WAITING and record.attempts == 0:
        run_state = RunState.NOT_RUN
    return make_json_response(
        status,
        {
            'receipt': receipt_id,
            'state': record.state.value,
            'reason': record.reason,
            'run': run_state.value,
        },
        (RUN_STATE_HEADER, run_state.value),
        (REQUEST_ID_HEADER, record.request_id),
    )

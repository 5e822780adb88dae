"""The callers' interface: HTTP requests to services, and receipts."""

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
    list_headers,
    json_response,
    get_raw_path,
    read_body,
)
from ragwortfield.log import event
from ragwortfield.ports.platform import Unavailable
from ragwortfield.report.request_recorder import RequestRecorder
from ragwortfield.policies.admission import UnvalidatedRequest

#: Start of the paths that lead to services.
SERVICE_PATH_PREFIX = '/services/'
#: Start of the paths that lead to receipts.
RECEIPT_PATH_PREFIX = '/receipts/'
#: Longest request identifier that a caller may bring, in characters.
_MAX_REQUEST_ID_LENGTH = 64


class CallerApi:
    """
    Translates between HTTP and the reception.

    :param request_handler: decides about requests.
    :param deferred_queue: knows the receipts.
    :param relay_signer: checks relayed requests.
    :param recorder: counts outcomes and latencies.
    :param max_body_bytes: largest body of a request.
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
        """Create the front."""
        self._request_handler = request_handler
        self._deferred_queue = deferred_queue
        self._relay_signer = relay_signer
        self._recorder = recorder
        self._max_body_bytes = max_body_bytes

    def serve(self, environ: dict[str, Any]) -> Response:
        """
        Answer a request to a service.

        :param environ: WSGI environment.
        :returns: the response.
        """
        started_at = time.monotonic()
        request_id = _find_request_id(environ)
        note = self._read_relay_metadata(environ, request_id)
        if isinstance(note, Refusal):
            return _refusal_response(note, request_id)
        body = read_body(environ, self._max_body_bytes)
        if isinstance(body, BodyError):
            refusal = Refusal(
                status=body.status,
                code=body.code,
                message=body.message,
            )
            return _refusal_response(refusal, request_id)
        raw = _parse_request(environ, request_id, body, note)
        outcome = self._request_handler.serve(raw)
        duration_s = time.monotonic() - started_at
        self._record_outcome(raw, outcome, duration_s)
        return _outcome_response(outcome, request_id)

    def show_receipt(self, environ: dict[str, Any]) -> Response:
        """
        Answer a question for the result of a deferred request.

        :param environ: WSGI environment.
        :returns: the kept answer, or how far the request is.
        """
        receipt_id = unquote(get_raw_path(environ)[len(RECEIPT_PATH_PREFIX) :])
        record = self._deferred_queue.look_up(receipt_id)
        if isinstance(record, Unavailable):
            return json_response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': 'receipt-unavailable', 'message': record.reason},
                ('retry-after', '1'),
            )
        is_own = record is not None and self._request_handler.is_team_token(
            record.team,
            get_header(environ, TOKEN_HEADER),
        )
        if record is None or not is_own:
            return json_response(
                HTTPStatus.NOT_FOUND,
                {
                    'error': 'unknown-receipt',
                    'message': (
                        f'receipt {receipt_id!r} is not one of this team'
                    ),
                },
            )
        return _deferred_response(receipt_id, record)

    def _read_relay_metadata(
        self,
        environ: dict[str, Any],
        request_id: str,
    ) -> RelayMetadata | Refusal:
        text = get_header(environ, RELAY_HEADER)
        if not text:
            return RelayMetadata(hops=0, is_quota_charged=False)
        team = get_header(environ, TEAM_HEADER)
        note = self._relay_signer.check(text, request_id, team)
        if note is None:
            return Refusal(
                status=HTTPStatus.FORBIDDEN,
                code='bad-relay',
                message=f'header field {RELAY_HEADER!r} is not genuine',
            )
        return note

    def _record_outcome(
        self,
        raw: UnvalidatedRequest,
        outcome: RequestOutcome,
        duration_s: float,
    ) -> None:
        run_state, code = _summarise(outcome)
        self._recorder.record(
            team=raw.team,
            service=raw.service,
            run_state=run_state,
            code=code,
            duration_s=duration_s,
            is_relayed_in=raw.hops > 0,
            status=_get_status(outcome),
        )
        event(
            'request_ended',
            request=raw.request_id,
            team=raw.team,
            service=raw.service,
            run=run_state,
            code=code,
            target=outcome.target_id if isinstance(outcome, Served) else '',
            ms=duration_s * 1000,
        )


def _find_request_id(environ: dict[str, Any]) -> str:
    text = get_header(environ, REQUEST_ID_HEADER)
    if 0 < len(text) <= _MAX_REQUEST_ID_LENGTH and text.isprintable():
        return text
    return uuid.uuid4().hex


def _parse_request(
    environ: dict[str, Any],
    request_id: str,
    body: bytes,
    note: RelayMetadata,
) -> UnvalidatedRequest:
    rest = get_raw_path(environ)[len(SERVICE_PATH_PREFIX) :]
    service, _, path = rest.partition('/')
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
        hops=note.hops,
        is_quota_charged=note.is_quota_charged,
    )


def _summarise(outcome: RequestOutcome) -> tuple[str, str]:
    if isinstance(outcome, Served):
        return RunState.RAN.value, 'replayed' if outcome.is_replay else 'ran'
    if isinstance(outcome, Receipt):
        return RunState.NOT_RUN.value, 'accepted'
    if isinstance(outcome, Relayed):
        said = outcome.answer.get_header(RUN_STATE_HEADER)
        return said or RunState.UNKNOWN.value, 'relayed'
    return outcome.run_state.value, outcome.code


def _get_status(outcome: RequestOutcome) -> int:
    if isinstance(outcome, (Served, Relayed)):
        return outcome.answer.status
    if isinstance(outcome, Receipt):
        return HTTPStatus.ACCEPTED
    return outcome.status


def _outcome_response(outcome: RequestOutcome, request_id: str) -> Response:
    if isinstance(outcome, Served):
        return _served_response(outcome, request_id)
    if isinstance(outcome, Relayed):
        return Response(
            status=outcome.answer.status,
            fields=filter_relayed_headers(outcome.answer.fields),
            body=outcome.answer.body,
        )
    if isinstance(outcome, Receipt):
        return json_response(
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
    return _refusal_response(outcome, request_id)


def _served_response(outcome: Served, request_id: str) -> Response:
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


def _refusal_response(refusal: Refusal, request_id: str) -> Response:
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
        whole_s = max(math.ceil(refusal.retry_after_s), 1)
        fields.append(('retry-after', str(whole_s)))
    return json_response(refusal.status, document, *fields)


def _deferred_response(receipt_id: str, record: DeferredRecord) -> Response:
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
    return json_response(
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

"""Durable queue of deferred requests.

A deferred request is written to the table before its receipt is returned.
The instance that holds the seat in the row's key runs it later.
"""

import hashlib
import uuid
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

import gevent
from gevent.pool import Pool

from ragwortfield.adapters.json_codec import (
    Malformed,
    from_document,
    to_document,
)
from ragwortfield.core.claims import ClaimKey
from ragwortfield.core.configuration import Configuration, RequestClass
from ragwortfield.core.deferred import DeferredRecord, DeferredState
from ragwortfield.core.instance_state import HeldSeat, InstanceState
from ragwortfield.core.outcomes import (
    Receipt,
    Refusal,
    Relayed,
    RequestOutcome,
    RunState,
    Served,
    WholeAnswer,
)
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.seats import SeatId
from ragwortfield.engine.group_commit import GroupCommitWriter
from ragwortfield.log import event
from ragwortfield.policies.idempotency import find_home_seat
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    TableService,
    Unavailable,
    Write,
)

#: Longest wait until a new request is written to the table, in seconds.
_ACCEPT_TIMEOUT_S = 2.0
#: Largest number of deferred requests that one instance runs at once.
_MAX_CONCURRENT_RUNS = 4

#: Function that runs an admitted request and returns its outcome.
RunRequest = Callable[[Configuration, CallerRequest], RequestOutcome]


class DeferredQueue:
    """
    Accepts, stores and runs deferred requests.

    :param instance_state: the instance's in-memory state.
    :param table: the platform's table.
    :param writer: group-commits new records.
    :param clock: source of time.
    :param max_body_bytes: largest request body that is accepted.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        table: TableService,
        writer: GroupCommitWriter,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        """Create a queue that runs nothing yet."""
        self._instance_state = instance_state
        self._table = table
        self._writer = writer
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._pool = Pool(_MAX_CONCURRENT_RUNS)
        self._running: set[str] = set()

    def accept(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> Receipt | Refusal:
        """
        Write a deferred request to the table and return its receipt.

        :param configuration: the configuration in force.
        :param request: the admitted request.
        :returns: the receipt of the durable request, or a refusal.
        """
        if len(request.body) > self._max_body_bytes:
            return Refusal(
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                code='body-too-large',
                message=(
                    f'the body of a deferred request has '
                    f'{len(request.body)} bytes, expected at most '
                    f'{self._max_body_bytes}'
                ),
            )
        receipt_id = self._make_receipt_id(configuration, request)
        record = _make_record(request, self._clock.wall_time())
        row_key = receipt_row_key(receipt_id)
        outcome = self._writer.write(
            Write(
                key=row_key or '',
                expected_version=0,
                body=to_document(record),
            ),
            _ACCEPT_TIMEOUT_S,
        )
        if isinstance(outcome, Committed):
            return Receipt(receipt_id=receipt_id)
        if isinstance(outcome, Conflict):
            return self._match_existing_record(receipt_id, record)
        return self._resolve_failed_write(receipt_id, record, outcome)

    def look_up(self, receipt_id: str) -> DeferredRecord | None | Unavailable:
        """
        Read the record of a deferred request.

        :param receipt_id: identifier of its receipt.
        :returns: the record; ``None`` if there is none.
        """
        row_key = receipt_row_key(receipt_id)
        if row_key is None:
            return None
        found = self._table.scan(row_key)
        if isinstance(found, Unavailable):
            return found
        for row in found.rows:
            record = from_document(row.body, DeferredRecord)
            if row.key == row_key and isinstance(record, DeferredRecord):
                return record
        return None

    def run_round(self, run_request: RunRequest) -> None:
        """
        Start waiting requests of the held seats and recover lost runs.

        :param run_request: function that runs one request.
        """
        configuration = self._instance_state.configuration()
        if configuration is None or self._instance_state.is_leaving:
            return
        for held_seat in self._instance_state.list_usable_seats(
            self._clock.monotonic()
        ):
            self._run_seat(configuration, held_seat, run_request)

    def wait_for_running(self) -> None:
        """Wait until all running requests have ended."""
        self._pool.join()

    def _run_seat(
        self,
        configuration: Configuration,
        held_seat: HeldSeat,
        run_request: RunRequest,
    ) -> None:
        seat_id = held_seat.seat_id
        prefix = f'deferred/{seat_id.data_centre}/{seat_id.index}/'
        found = self._table.scan(prefix)
        if isinstance(found, Unavailable):
            return
        for row in found.rows:
            record = from_document(row.body, DeferredRecord)
            if isinstance(record, Malformed):
                event('deferred_row_malformed', key=row.key)
                continue
            queued = _QueuedRequest(
                row_key=row.key,
                version=row.version,
                record=record,
                generation=held_seat.generation,
            )
            self._start_or_recover(
                configuration,
                queued,
                held_seat,
                run_request,
            )

    def _start_or_recover(
        self,
        configuration: Configuration,
        queued: '_QueuedRequest',
        held_seat: HeldSeat,
        run_request: RunRequest,
    ) -> None:
        record = queued.record
        if queued.row_key in self._running:
            return
        if record.state is DeferredState.RUNNING:
            self._recover_lost_run(
                queued.row_key,
                queued.version,
                record,
                held_seat,
            )
            return
        is_waiting = record.state is DeferredState.WAITING
        if is_waiting and self._pool.free_count():
            self._running.add(queued.row_key)
            self._pool.spawn(
                self._run_queued,
                configuration,
                queued,
                run_request,
            )

    def _run_queued(
        self,
        configuration: Configuration,
        queued: '_QueuedRequest',
        run_request: RunRequest,
    ) -> None:
        try:
            self._run_and_record(configuration, queued, run_request)
        finally:
            self._running.discard(queued.row_key)

    def _run_and_record(
        self,
        configuration: Configuration,
        queued: '_QueuedRequest',
        run_request: RunRequest,
    ) -> None:
        service = configuration.services.get(queued.record.service)
        if service is None or queued.record.team not in configuration.teams:
            return
        running = replace(
            queued.record,
            state=DeferredState.RUNNING,
            runner=self._instance_state.identity.instance_id,
            generation=queued.generation,
            attempts=queued.record.attempts + 1,
        )
        version = self._write(queued.row_key, queued.version, running)
        if not version:
            return
        now = self._clock.monotonic()
        outcome = run_request(
            configuration,
            _make_request(running, now + service.deadline_s),
        )
        final_record = _apply_outcome(running, outcome)
        # Retry until the outcome is in the row: without it, the next holder
        # of the seat cannot tell whether the request ran.
        while not self._write(queued.row_key, version, final_record):
            gevent.sleep(1)
            if self._is_written(queued.row_key, version, final_record):
                break

    def _recover_lost_run(
        self,
        row_key: str,
        version: int,
        record: DeferredRecord,
        held_seat: HeldSeat,
    ) -> None:
        own_id = self._instance_state.identity.instance_id
        if (
            record.runner == own_id
            and record.generation == held_seat.generation
        ):
            return
        state = DeferredState.UNKNOWN
        if record.is_idempotent:
            state = DeferredState.WAITING
        event('deferred_recovered', key=row_key, state=state.value)
        self._write(
            row_key,
            version,
            replace(
                record,
                state=state,
                reason=f'instance {record.runner} was lost during the run',
            ),
        )

    def _write(
        self,
        row_key: str,
        version: int,
        record: DeferredRecord,
    ) -> int:
        """Write a record; return the row's new version, or 0 on failure."""
        outcome = self._table.transact(
            (
                Write(
                    key=row_key,
                    expected_version=version,
                    body=to_document(record),
                ),
            )
        )
        if isinstance(outcome, Committed):
            return outcome.version_by_key[row_key]
        if isinstance(outcome, Unavailable) and outcome.is_effect_possible:
            is_written = self._is_written(row_key, version, record)
            return version + 1 if is_written else 0
        return 0

    def _is_written(
        self,
        row_key: str,
        version: int,
        record: DeferredRecord,
    ) -> bool:
        found = self._table.scan(row_key)
        if isinstance(found, Unavailable):
            return False
        for row in found.rows:
            if row.key == row_key and row.version > version:
                return from_document(row.body, DeferredRecord) == record
        return False

    def _make_receipt_id(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> str:
        # The receipt of a request with a key is derived from the key, so that
        # a repeated request finds the row of the first one.
        if request.key:
            key = ClaimKey(team=request.team, key=request.key)
            home_seat = find_home_seat(configuration, key)
            digest = hashlib.sha256(key.text().encode()).hexdigest()
            return _format_receipt_id(home_seat, digest)
        data_centre_name = self._instance_state.identity.data_centre
        own_data_centre = configuration.data_centres[data_centre_name]
        unique_id = uuid.uuid4()
        seat_id = SeatId(
            data_centre=data_centre_name,
            index=unique_id.int % own_data_centre.seats,
        )
        return _format_receipt_id(seat_id, unique_id.hex)

    def _match_existing_record(
        self,
        receipt_id: str,
        record: DeferredRecord,
    ) -> Receipt | Refusal:
        existing = self.look_up(receipt_id)
        if not isinstance(existing, DeferredRecord):
            return _refuse_not_durable(
                f'the record of receipt {receipt_id!r} cannot be read back',
            )
        stored_request = (existing.method, existing.path, existing.body)
        if stored_request != (record.method, record.path, record.body):
            return Refusal(
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
                code='key-reused',
                message='this key was used before for a different request',
            )
        return Receipt(receipt_id=receipt_id)

    def _resolve_failed_write(
        self,
        receipt_id: str,
        record: DeferredRecord,
        outcome: Unavailable,
    ) -> Receipt | Refusal:
        if not outcome.is_effect_possible:
            return _refuse_not_durable(outcome.reason)
        existing = self.look_up(receipt_id)
        if isinstance(existing, DeferredRecord):
            return self._match_existing_record(receipt_id, record)
        return Refusal(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code='acceptance-unknown',
            message=(
                'the request may or may not have been recorded: '
                f'{outcome.reason}'
            ),
            run_state=RunState.UNKNOWN,
            retry_after_s=1,
        )


class _QueuedRequest:
    """Deferred request as read from its row by the holder of the seat."""

    __slots__ = ('generation', 'record', 'row_key', 'version')

    def __init__(
        self,
        *,
        row_key: str,
        version: int,
        record: DeferredRecord,
        generation: int,
    ) -> None:
        self.row_key = row_key
        self.version = version
        self.record = record
        self.generation = generation


def receipt_row_key(receipt_id: str) -> str | None:
    """
    Convert a receipt identifier to the key of its row.

    :param receipt_id: identifier of the receipt.
    :returns: key of the row; ``None`` if the text is not a receipt.
    """
    data_centre, _, rest = receipt_id.partition('.')
    index, _, unique_part = rest.partition('.')
    if not (data_centre and index.isdigit() and unique_part.isalnum()):
        return None
    if '/' in data_centre:
        return None
    return f'deferred/{data_centre}/{index}/{unique_part}'


def _format_receipt_id(seat_id: SeatId, unique_part: str) -> str:
    return f'{seat_id.data_centre}.{seat_id.index}.{unique_part}'


def _make_record(request: CallerRequest, wall_time: float) -> DeferredRecord:
    return DeferredRecord(
        team=request.team,
        service=request.service,
        method=request.method,
        path=request.path,
        fields=request.fields,
        body=request.body.hex(),
        request_id=request.request_id,
        is_idempotent=request.is_idempotent,
        accepted_at=wall_time,
    )


def _make_request(record: DeferredRecord, deadline: float) -> CallerRequest:
    return CallerRequest(
        request_id=record.request_id,
        team=record.team,
        service=record.service,
        request_class=RequestClass.DEFERRED,
        method=record.method,
        path=record.path,
        fields=record.fields,
        body=bytes.fromhex(record.body),
        deadline=deadline,
        is_idempotent=record.is_idempotent,
        is_quota_charged=True,
    )


def _apply_outcome(
    record: DeferredRecord,
    outcome: RequestOutcome,
) -> DeferredRecord:
    if isinstance(outcome, Served):
        return _apply_response(record, outcome.answer)
    if isinstance(outcome, Relayed):
        return _apply_relayed_response(record, outcome.answer)
    if isinstance(outcome, Refusal):
        return _apply_no_response(record, outcome.run_state, outcome.message)
    return replace(record, state=DeferredState.UNKNOWN)


def _apply_relayed_response(
    record: DeferredRecord,
    answer: WholeAnswer,
) -> DeferredRecord:
    run_state = answer.get_header('ragwortfield-run')
    if run_state == RunState.RAN:
        return _apply_response(record, answer)
    if run_state == RunState.NOT_RUN:
        return _apply_no_response(record, RunState.NOT_RUN, 'refused by a peer')
    return _apply_no_response(record, RunState.UNKNOWN, 'unknown at a peer')


def _apply_response(
    record: DeferredRecord,
    answer: WholeAnswer,
) -> DeferredRecord:
    return replace(
        record,
        state=DeferredState.DONE,
        answer_status=answer.status,
        answer_fields=answer.fields,
        answer_body=answer.body.hex(),
    )


def _apply_no_response(
    record: DeferredRecord,
    run_state: RunState,
    reason: str,
) -> DeferredRecord:
    may_run_again = run_state is RunState.NOT_RUN or record.is_idempotent
    state = DeferredState.UNKNOWN
    if may_run_again:
        state = DeferredState.WAITING
    return replace(record, state=state, reason=reason)


def _refuse_not_durable(reason: str) -> Refusal:
    return Refusal(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='not-durable',
        message=f'the request could not be recorded: {reason}',
        retry_after_s=1,
    )

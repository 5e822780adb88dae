"""Deferred requests: recorded first, run by the holder of their seat."""

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
from ragwortfield.core.instance_state import HeldSeat, InstanceState
from ragwortfield.engine.group_commit import GroupCommitWriter
from ragwortfield.log import event
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    TableService,
    Unavailable,
    Write,
)
from ragwortfield.policies.idempotency import find_home_seat

#: Longest wait for the record of a new request, in seconds.
_ACCEPT_TIMEOUT_S = 2.0
#: Deferred requests that one instance runs at once.
_CONCURRENCY = 4

#: Runs an admitted request to its outcome.
RunRequest = Callable[[Configuration, CallerRequest], RequestOutcome]


class DeferredQueue:
    """
    Accepts, keeps and runs deferred requests.

    :param instance_state: the instance's tables.
    :param table: the platform's table.
    :param writer: groups new records into transactions.
    :param clock: source of time.
    :param max_body_bytes: largest body that a row takes.
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
        """Create a desk that runs nothing yet."""
        self._instance_state = instance_state
        self._table = table
        self._writer = writer
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._pool = Pool(_CONCURRENCY)
        self._running: set[str] = set()

    def accept(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> Receipt | Refusal:
        """
        Accept a deferred request, once it is durable.

        :param configuration: the configuration in force.
        :param request: the admitted request.
        :returns: the receipt, or why the request was not accepted.
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
        receipt_id = self._receipt_id(configuration, request)
        record = _new_record(request, self._clock.wall_time())
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
            return self._accepted_before(receipt_id, record)
        return self._not_accepted(receipt_id, record, outcome)

    def look_up(self, receipt_id: str) -> DeferredRecord | None | Unavailable:
        """
        Read a deferred request.

        :param receipt_id: its receipt.
        :returns: the record; ``None`` when there is none.
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

    def run_round(self, run: RunRequest) -> None:
        """
        Start the waiting requests of the held seats.

        :param run: runs one request.
        """
        configuration = self._instance_state.configuration()
        if configuration is None or self._instance_state.is_leaving:
            return
        for held in self._instance_state.list_usable_seats(
            self._clock.monotonic()
        ):
            self._run_seat(configuration, held, run)

    def finish(self) -> None:
        """Wait until the requests that are running have ended."""
        self._pool.join()

    def _run_seat(
        self,
        configuration: Configuration,
        held: HeldSeat,
        run: RunRequest,
    ) -> None:
        seat_id = held.seat_id
        prefix = f'deferred/{seat_id.data_centre}/{seat_id.index}/'
        found = self._table.scan(prefix)
        if isinstance(found, Unavailable):
            return
        for row in found.rows:
            record = from_document(row.body, DeferredRecord)
            if isinstance(record, Malformed):
                event('deferred_row_malformed', key=row.key)
                continue
            task = _Task(
                row_key=row.key,
                version=row.version,
                record=record,
                generation=held.generation,
            )
            self._take_on(configuration, task, held, run)

    def _take_on(
        self,
        configuration: Configuration,
        task: '_Task',
        held: HeldSeat,
        run: RunRequest,
    ) -> None:
        record = task.record
        if task.row_key in self._running:
            return
        if record.state is DeferredState.RUNNING:
            self._recover(task.row_key, task.version, record, held)
            return
        is_waiting = record.state is DeferredState.WAITING
        if is_waiting and self._pool.free_count():
            self._running.add(task.row_key)
            self._pool.spawn(self._run_one, configuration, task, run)

    def _run_one(
        self,
        configuration: Configuration,
        task: '_Task',
        run: RunRequest,
    ) -> None:
        try:
            self._run_claimed(configuration, task, run)
        finally:
            self._running.discard(task.row_key)

    def _run_claimed(
        self,
        configuration: Configuration,
        task: '_Task',
        run: RunRequest,
    ) -> None:
        service = configuration.services.get(task.record.service)
        if service is None or task.record.team not in configuration.teams:
            return
        running = replace(
            task.record,
            state=DeferredState.RUNNING,
            runner=self._instance_state.identity.instance_id,
            generation=task.generation,
            attempts=task.record.attempts + 1,
        )
        version = self._write(task.row_key, task.version, running)
        if not version:
            return
        now = self._clock.monotonic()
        outcome = run(
            configuration,
            _request_of(running, now + service.deadline_s),
        )
        ended = _ended(running, outcome)
        # The outcome must reach the row: until it does, the next holder
        # could only take the run for unknown.
        while not self._write(task.row_key, version, ended):
            gevent.sleep(1)
            if self._is_written(task.row_key, version, ended):
                break

    def _recover(
        self,
        row_key: str,
        version: int,
        record: DeferredRecord,
        held: HeldSeat,
    ) -> None:
        own = self._instance_state.identity.instance_id
        if record.runner == own and record.generation == held.generation:
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

    def _receipt_id(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> str:
        if request.key:
            key = ClaimKey(team=request.team, key=request.key)
            home = find_home_seat(configuration, key)
            digest = hashlib.sha256(key.text().encode()).hexdigest()
            return _receipt_text(home, digest)
        name = self._instance_state.identity.data_centre
        place = configuration.data_centres[name]
        unique = uuid.uuid4()
        seat_id = SeatId(data_centre=name, index=unique.int % place.seats)
        return _receipt_text(seat_id, unique.hex)

    def _accepted_before(
        self,
        receipt_id: str,
        record: DeferredRecord,
    ) -> Receipt | Refusal:
        known = self.look_up(receipt_id)
        if not isinstance(known, DeferredRecord):
            return _not_durable('the record cannot be read back')
        same = (known.method, known.path, known.body)
        if same != (record.method, record.path, record.body):
            return Refusal(
                status=HTTPStatus.UNPROCESSABLE_ENTITY,
                code='key-reused',
                message='this key was used before for another request',
            )
        return Receipt(receipt_id=receipt_id)

    def _not_accepted(
        self,
        receipt_id: str,
        record: DeferredRecord,
        outcome: Unavailable,
    ) -> Receipt | Refusal:
        if not outcome.is_effect_possible:
            return _not_durable(outcome.reason)
        known = self.look_up(receipt_id)
        if isinstance(known, DeferredRecord):
            return self._accepted_before(receipt_id, record)
        return Refusal(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code='acceptance-unknown',
            message=f'the record may exist: {outcome.reason}',
            run_state=RunState.UNKNOWN,
            retry_after_s=1,
        )


class _Task:
    """Row that is about to run."""

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
    Find the row of a receipt.

    :param receipt_id: the receipt.
    :returns: key of its row; ``None`` when the text is no receipt.
    """
    data_centre, _, rest = receipt_id.partition('.')
    index, _, unique = rest.partition('.')
    if not (data_centre and index.isdigit() and unique.isalnum()):
        return None
    if '/' in data_centre:
        return None
    return f'deferred/{data_centre}/{index}/{unique}'


def _receipt_text(seat_id: SeatId, unique: str) -> str:
    return f'{seat_id.data_centre}.{seat_id.index}.{unique}'


def _new_record(request: CallerRequest, wall_time: float) -> DeferredRecord:
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


def _request_of(record: DeferredRecord, deadline: float) -> CallerRequest:
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


def _ended(record: DeferredRecord, outcome: RequestOutcome) -> DeferredRecord:
    if isinstance(outcome, Served):
        return _answered(record, outcome.answer)
    if isinstance(outcome, Relayed):
        return _ended_at_peer(record, outcome.answer)
    if isinstance(outcome, Refusal):
        return _unfinished(record, outcome.run_state, outcome.message)
    return replace(record, state=DeferredState.UNKNOWN)


def _ended_at_peer(
    record: DeferredRecord,
    answer: WholeAnswer,
) -> DeferredRecord:
    said = answer.get_header('ragwortfield-run')
    if said == RunState.RAN:
        return _answered(record, answer)
    if said == RunState.NOT_RUN:
        return _unfinished(record, RunState.NOT_RUN, 'refused by a peer')
    return _unfinished(record, RunState.UNKNOWN, 'unknown at a peer')


def _answered(record: DeferredRecord, answer: WholeAnswer) -> DeferredRecord:
    return replace(
        record,
        state=DeferredState.DONE,
        answer_status=answer.status,
        answer_fields=answer.fields,
        answer_body=answer.body.hex(),
    )


def _unfinished(
    record: DeferredRecord,
    run_state: RunState,
    reason: str,
) -> DeferredRecord:
    may_run_again = run_state is RunState.NOT_RUN or record.is_idempotent
    state = DeferredState.UNKNOWN
    if may_run_again:
        state = DeferredState.WAITING
    return replace(record, state=state, reason=reason)


def _not_durable(reason: str) -> Refusal:
    return Refusal(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='not-durable',
        message=f'the request could not be recorded: {reason}',
        retry_after_s=1,
    )

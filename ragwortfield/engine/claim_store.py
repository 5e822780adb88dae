"""Keeper of claims: decisions in memory, records in the platform's table."""

import uuid
from dataclasses import dataclass, replace

import gevent
from gevent.lock import Semaphore

from ragwortfield.adapters.json_codec import (
    Malformed,
    from_document,
    to_document,
)
from ragwortfield.core.claims import (
    Claim,
    ClaimDecision,
    ClaimKey,
    ClaimState,
    FinishedClaim,
    NewClaim,
    UncertainClaim,
)
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.seats import SeatId
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.engine.group_commit import GroupCommitWriter, WriteResult
from ragwortfield.log import event
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    Row,
    Rows,
    TableService,
    Unavailable,
    Write,
)
from ragwortfield.policies.idempotency import (
    ClaimRequest,
    adopt_claims,
    decide_claim,
    find_expired_claims,
    find_home_seat,
)
from ragwortfield.policies.seat_leases import SeatWrite
from ragwortfield.types import Seconds

#: Longest wait for the record of a claim before the request goes out.
_RECORD_TIMEOUT_S = 0.5
#: Longest wait for the record of a claim that has ended.
_CLOSING_TIMEOUT_S = 2.0
#: After the table failed, claims do not wait for it again for this time.
_STORE_PAUSE_S = 2.0
#: Largest body of an answer that is kept for repeats, in bytes.
_KEPT_BODY_BYTES = 8 * 1024


class _Record:
    """Row of one claim as this instance last knew it."""

    __slots__ = ('is_dirty', 'lock', 'row_key', 'version')

    def __init__(self, *, row_key: str, version: int) -> None:
        self.row_key = row_key
        self.version = version
        self.is_dirty = version == 0
        # Writes of one row go out one after the other, each with the version
        # that the one before it gave the row.
        self.lock = Semaphore(1)


@dataclass(frozen=True, kw_only=True, slots=True)
class _RowsAhead:
    """
    Claims of a released seat, read before it was taken.

    :param generation: generation under which it was to be taken.
    """

    generation: int
    rows: tuple[Row, ...]


class ClaimStore:
    """
    Claims of the keys whose home this instance holds.

    :param instance_state: the instance's tables.
    :param table: the platform's table.
    :param writer: groups the records into transactions.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        table: TableService,
        writer: GroupCommitWriter,
        clock: Clock,
    ) -> None:
        """Create a keeper without claims."""
        self._instance_state = instance_state
        self._table = table
        self._writer = writer
        self._clock = clock
        self._record_by_key: dict[str, _Record] = {}
        self._generation_by_seat: dict[str, int] = {}
        self._rows_ahead_by_seat: dict[str, _RowsAhead] = {}
        self._store_failed_at = float('-inf')

    def is_home_seat_ready(self, home: SeatId) -> bool:
        """
        Tell whether the claims of a home seat are known here.

        :param home: the seat.
        :returns: whether this instance holds the seat and has read its
            claims.
        """
        trusted = self._instance_state.list_trusted_seats(
            self._clock.monotonic()
        )
        for held in trusted:
            if held.seat_id == home:
                loaded = self._generation_by_seat.get(home.row_key())
                return loaded == held.generation
        return False

    def load_seats(self) -> None:
        """Read the claims of every seat that was taken since the last call."""
        for key, held in tuple(self._instance_state.held_seat_by_key.items()):
            if self._generation_by_seat.get(key) != held.generation:
                self._load(held.seat_id, held.generation)

    def read_ahead(self, write: SeatWrite) -> None:
        """
        Read the claims of a released seat before it is taken.

        Its last holder wrote every claim before the release, so they serve
        when the store goes away before they can be read as usual.

        :param write: the taking that is about to go out.
        """
        key = write.seat_id.row_key()
        self._rows_ahead_by_seat.pop(key, None)
        row = self._instance_state.seat_row_by_key.get(key)
        if row is None or row.seat.holder:
            return
        found = self._table.scan(_claim_prefix(write.seat_id))
        if not isinstance(found, Unavailable):
            self._rows_ahead_by_seat[key] = _RowsAhead(
                generation=write.seat.generation,
                rows=found.rows,
            )

    def acquire(self, key: ClaimKey, digest: str) -> ClaimDecision:
        """
        Claim the only run of a key.

        :param key: the key.
        :param digest: digest of the request.
        :returns: the decision; a fresh claim is recorded in the table, or in
            memory alone while the table is away.
        """
        question = ClaimRequest(
            key=key,
            digest=digest,
            nonce=uuid.uuid4().hex,
        )
        decision = decide_claim(
            self._instance_state, question, self._clock.wall_time()
        )
        if isinstance(decision, NewClaim):
            return self._record_fresh(key, decision)
        return decision

    def record_ran(self, key: ClaimKey, answer: WholeAnswer) -> None:
        """
        Record that a key's request ran.

        :param key: the key.
        :param answer: the answer; a small one is kept for repeats.
        """
        is_kept = len(answer.body) <= _KEPT_BODY_BYTES
        claim = self._instance_state.claim_by_key[key.text()]
        self._close(
            key,
            replace(
                claim,
                state=ClaimState.RAN,
                is_answer_kept=is_kept,
                answer_status=answer.status,
                answer_fields=answer.fields if is_kept else (),
                answer_body=answer.body.hex() if is_kept else '',
            ),
        )

    def record_unknown(self, key: ClaimKey) -> None:
        """
        Record that nobody can tell whether a key's request ran.

        :param key: the key.
        """
        claim = self._instance_state.claim_by_key[key.text()]
        self._close(key, replace(claim, state=ClaimState.UNKNOWN))

    def record_not_run(self, key: ClaimKey) -> None:
        """
        Give a claim back: its request certainly did not run.

        :param key: the key.
        """
        claim = self._instance_state.claim_by_key[key.text()]
        self._close(key, replace(claim, state=ClaimState.NOT_RUN))

    def flush(self) -> bool:
        """
        Write every claim that the table does not have yet.

        :returns: whether the table has all of them now.
        """
        writers = [
            gevent.spawn(self._persist, text, _CLOSING_TIMEOUT_S)
            for text in self._dirty_keys()
        ]
        gevent.joinall(writers)
        return not self._dirty_keys()

    def dirty_count(self) -> int:
        """
        Count the claims that the table does not have yet.

        :returns: the number.
        """
        return len(self._dirty_keys())

    def is_written(self, seat_id: SeatId) -> bool:
        """
        Tell whether the table has every claim of a seat.

        :param seat_id: the seat.
        :returns: whether it has.
        """
        prefix = _claim_prefix(seat_id)
        return not any(
            record.is_dirty and record.row_key.startswith(prefix)
            for record in self._record_by_key.values()
        )

    def drop_expired(self) -> None:
        """Forget claims that no caller can repeat any more."""
        for text in find_expired_claims(
            self._instance_state, self._clock.wall_time()
        ):
            self._instance_state.claim_by_key.pop(text, None)
            record = self._record_by_key.pop(text, None)
            if record is not None and not record.is_dirty:
                self._writer.submit(
                    Write(
                        key=record.row_key,
                        expected_version=record.version,
                        body=None,
                    ),
                )

    def _dirty_keys(self) -> frozenset[str]:
        return frozenset(
            text
            for text, record in self._record_by_key.items()
            if record.is_dirty
        )

    def _record_fresh(
        self,
        key: ClaimKey,
        decision: NewClaim,
    ) -> ClaimDecision:
        text = key.text()
        record = self._record_by_key.get(text)
        if record is None:
            record = _Record(row_key=self._row_key(key), version=0)
            self._record_by_key[text] = record
        record.is_dirty = True
        since_failure = self._clock.monotonic() - self._store_failed_at
        if since_failure < _STORE_PAUSE_S:
            return decision
        outcome = self._persist(text, _RECORD_TIMEOUT_S)
        if isinstance(outcome, Unavailable):
            self._store_failed_at = self._clock.monotonic()
            event('claim_kept_in_memory', key=text, reason=outcome.reason)
        if self._instance_state.claim_by_key.get(text) == decision.claim:
            return decision
        if self._instance_state.claim_by_key[text].state is ClaimState.RAN:
            return FinishedClaim(answer=None)
        return UncertainClaim(reason='the key has a record of another holder')

    def _close(self, key: ClaimKey, claim: Claim) -> None:
        text = key.text()
        self._instance_state.claim_by_key[text] = claim
        record = self._record_by_key.get(text)
        if record is not None:
            record.is_dirty = True
            gevent.spawn(self._persist, text, _CLOSING_TIMEOUT_S)

    def _persist(self, text: str, timeout_s: Seconds) -> WriteResult:
        record = self._record_by_key[text]
        with record.lock:
            claim = self._instance_state.claim_by_key[text]
            if not record.is_dirty:
                return Committed()
            outcome = self._write(record, claim, timeout_s)
            if isinstance(outcome, Conflict):
                outcome = self._settle_conflict(
                    text,
                    record,
                    claim,
                    timeout_s,
                )
            if isinstance(outcome, Committed):
                latest = self._instance_state.claim_by_key.get(text)
                record.is_dirty = latest is not None and latest != claim
            return outcome

    def _write(
        self,
        record: _Record,
        claim: Claim,
        timeout_s: Seconds,
    ) -> WriteResult:
        outcome = self._writer.write(
            Write(
                key=record.row_key,
                expected_version=record.version,
                body=to_document(claim),
            ),
            timeout_s,
        )
        if isinstance(outcome, Committed):
            record.version = outcome.version_by_key[record.row_key]
        return outcome

    def _settle_conflict(
        self,
        text: str,
        record: _Record,
        claim: Claim,
        timeout_s: Seconds,
    ) -> WriteResult:
        # An earlier write of this claim may have taken effect with its
        # answer lost; only then does the row carry the same nonce.
        found = self._read(record.row_key)
        if isinstance(found, Unavailable):
            return found
        if found is None:
            record.version = 0
            return self._write(record, claim, timeout_s)
        row, recorded = found
        record.version = row.version
        if recorded.nonce == claim.nonce:
            return self._write(record, claim, timeout_s)
        event('claim_of_another_holder', key=text)
        if recorded.state is ClaimState.RUNNING:
            recorded = replace(recorded, state=ClaimState.UNKNOWN)
        self._instance_state.claim_by_key[text] = recorded
        record.is_dirty = False
        return Conflict(key=record.row_key, version=row.version)

    def _read(self, row_key: str) -> tuple[Row, Claim] | None | Unavailable:
        found = self._table.scan(row_key)
        if isinstance(found, Unavailable):
            return found
        for row in found.rows:
            if row.key != row_key:
                continue
            claim = from_document(row.body, Claim)
            if isinstance(claim, Malformed):
                return Unavailable(reason=claim.reason)
            return row, claim
        return None

    def _rows_of(
        self,
        seat_id: SeatId,
        generation: int,
    ) -> tuple[Row, ...] | None:
        ahead = self._rows_ahead_by_seat.pop(seat_id.row_key(), None)
        found = self._table.scan(_claim_prefix(seat_id))
        if isinstance(found, Rows):
            return found.rows
        if ahead is None or ahead.generation != generation:
            return None
        return ahead.rows

    def _load(self, seat_id: SeatId, generation: int) -> None:
        prefix = _claim_prefix(seat_id)
        rows = self._rows_of(seat_id, generation)
        if rows is None:
            return
        claims = {}
        for row in rows:
            claim = from_document(row.body, Claim)
            text = row.key[len(prefix) :]
            if isinstance(claim, Malformed):
                event('claim_row_malformed', key=row.key, reason=claim.reason)
                continue
            claims[text] = claim
            record = self._record_by_key.get(text)
            if record is None or not record.is_dirty:
                self._record_by_key[text] = _Record(
                    row_key=row.key,
                    version=row.version,
                )
        adopt_claims(self._instance_state, claims, self._dirty_keys())
        self._generation_by_seat[seat_id.row_key()] = generation

    def _row_key(self, key: ClaimKey) -> str:
        configuration = self._instance_state.configuration()
        if configuration is None:
            return f'claims/none/0/{key.text()}'
        home = find_home_seat(configuration, key)
        return f'{_claim_prefix(home)}{key.text()}'


def _claim_prefix(seat_id: SeatId) -> str:
    return f'claims/{seat_id.data_centre}/{seat_id.index}/'

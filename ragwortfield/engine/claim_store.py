"""Store of idempotency-key claims: decides in memory, persists in the table.

Each key maps to one seat, its home seat. Only the instance that holds the home
seat decides whether a request with the key may run.
"""

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
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.seats import SeatId
from ragwortfield.engine.group_commit import GroupCommitWriter, WriteResult
from ragwortfield.log import event
from ragwortfield.policies.idempotency import (
    ClaimRequest,
    adopt_claims,
    decide_claim,
    find_expired_claims,
    find_home_seat,
)
from ragwortfield.policies.seat_leases import SeatWrite
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
from ragwortfield.types import Seconds

#: Longest wait for the row of a new claim before the request is sent anyway,
#: in seconds.
_ACQUIRE_TIMEOUT_S = 0.5
#: Longest wait for the write of a claim's outcome, in seconds.
_OUTCOME_TIMEOUT_S = 2.0
#: Time after a failed write in which new claims do not wait for the table, in
#: seconds.
_STORE_RETRY_DELAY_S = 2.0
#: Largest response body that is stored to answer repeated requests, in bytes.
_MAX_STORED_BODY_BYTES = 8 * 1024


class _ClaimRow:
    """Last known version of a claim's row, and whether it must be written."""

    __slots__ = ('is_dirty', 'lock', 'row_key', 'version')

    def __init__(self, *, row_key: str, version: int) -> None:
        self.row_key = row_key
        self.version = version
        self.is_dirty = version == 0
        # Writes of one row are serialised, because each expects the version
        # that the previous one produced.
        self.lock = Semaphore(1)


@dataclass(frozen=True, kw_only=True, slots=True)
class _PrefetchedRows:
    """
    Claim rows of a released seat, read before the seat was acquired.

    :param generation: generation under which the seat was to be acquired.
    """

    generation: int
    rows: tuple[Row, ...]


class ClaimStore:
    """
    Claims of the keys whose home seat this instance holds.

    :param instance_state: the instance's in-memory state.
    :param table: the platform's table, where claims are persisted.
    :param writer: group-commits the claim rows.
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
        """Create a store without claims."""
        self._instance_state = instance_state
        self._table = table
        self._writer = writer
        self._clock = clock
        self._claim_row_by_key: dict[str, _ClaimRow] = {}
        self._loaded_generation_by_seat: dict[str, int] = {}
        self._prefetched_by_seat: dict[str, _PrefetchedRows] = {}
        self._store_failed_at = float('-inf')

    def is_home_seat_ready(self, home_seat: SeatId) -> bool:
        """
        Tell whether this instance can decide about keys of a home seat.

        :param home_seat: the home seat.
        :returns: whether this instance holds the seat and has loaded the
            seat's claims under the current generation.
        """
        trusted_seats = self._instance_state.list_trusted_seats(
            self._clock.monotonic()
        )
        for held_seat in trusted_seats:
            if held_seat.seat_id == home_seat:
                loaded_generation = self._loaded_generation_by_seat.get(
                    home_seat.row_key()
                )
                return loaded_generation == held_seat.generation
        return False

    def load_claims(self) -> None:
        """Load the claims of every seat acquired since the last call."""
        for key, held_seat in tuple(
            self._instance_state.held_seat_by_key.items()
        ):
            if self._loaded_generation_by_seat.get(key) != held_seat.generation:
                self._load_seat_claims(held_seat.seat_id, held_seat.generation)

    def prefetch_claims(self, write: SeatWrite) -> None:
        """
        Read the claims of a released seat before acquiring it.

        The last holder wrote every claim before the release, so these rows
        are complete. They are used if the table becomes unavailable between
        the acquisition and the regular load.

        :param write: the write that is about to acquire the seat.
        """
        key = write.seat_id.row_key()
        self._prefetched_by_seat.pop(key, None)
        row = self._instance_state.seat_row_by_key.get(key)
        if row is None or row.seat.holder:
            return
        found = self._table.scan(_claim_row_prefix(write.seat_id))
        if not isinstance(found, Unavailable):
            self._prefetched_by_seat[key] = _PrefetchedRows(
                generation=write.seat.generation,
                rows=found.rows,
            )

    def acquire(self, key: ClaimKey, digest: str) -> ClaimDecision:
        """
        Claim the single run of the request with a key.

        :param key: the idempotency key.
        :param digest: digest of the request.
        :returns: the decision; a new claim is persisted in the table, or
            held only in memory while the table is unavailable.
        """
        claim_request = ClaimRequest(
            key=key,
            digest=digest,
            nonce=uuid.uuid4().hex,
        )
        decision = decide_claim(
            self._instance_state,
            claim_request,
            self._clock.wall_time(),
        )
        if isinstance(decision, NewClaim):
            return self._persist_new_claim(key, decision)
        return decision

    def record_ran(self, key: ClaimKey, answer: WholeAnswer) -> None:
        """
        Record that a key's request ran.

        :param key: the idempotency key.
        :param answer: the response; its header fields and body are stored
            for repeated requests if the body has at most 8 KiB.
        """
        is_stored = len(answer.body) <= _MAX_STORED_BODY_BYTES
        claim = self._instance_state.claim_by_key[key.text()]
        self._update_claim(
            key,
            replace(
                claim,
                state=ClaimState.RAN,
                is_answer_kept=is_stored,
                answer_status=answer.status,
                answer_fields=answer.fields if is_stored else (),
                answer_body=answer.body.hex() if is_stored else '',
            ),
        )

    def record_unknown(self, key: ClaimKey) -> None:
        """
        Record that it is unknown whether a key's request ran.

        :param key: the idempotency key.
        """
        claim = self._instance_state.claim_by_key[key.text()]
        self._update_claim(key, replace(claim, state=ClaimState.UNKNOWN))

    def record_not_run(self, key: ClaimKey) -> None:
        """
        Record that a key's request did not run, so that the key is free.

        :param key: the idempotency key.
        """
        claim = self._instance_state.claim_by_key[key.text()]
        self._update_claim(key, replace(claim, state=ClaimState.NOT_RUN))

    def flush(self) -> bool:
        """
        Write every dirty claim to the table.

        :returns: whether no dirty claim is left.
        """
        greenlets = [
            gevent.spawn(self._persist, key_text, _OUTCOME_TIMEOUT_S)
            for key_text in self._list_dirty_keys()
        ]
        gevent.joinall(greenlets)
        return not self._list_dirty_keys()

    def count_dirty(self) -> int:
        """
        Count the claims whose latest state is not in the table yet.

        :returns: number of dirty claims.
        """
        return len(self._list_dirty_keys())

    def is_seat_flushed(self, seat_id: SeatId) -> bool:
        """
        Tell whether every claim of a seat is in the table.

        :param seat_id: the seat.
        :returns: whether the seat has no dirty claim.
        """
        prefix = _claim_row_prefix(seat_id)
        return not any(
            claim_row.is_dirty and claim_row.row_key.startswith(prefix)
            for claim_row in self._claim_row_by_key.values()
        )

    def delete_expired(self) -> None:
        """
        Delete ended claims past the key lifetime, with their rows.

        Callers can no longer repeat requests with such keys.
        """
        for key_text in find_expired_claims(
            self._instance_state,
            self._clock.wall_time(),
        ):
            self._instance_state.claim_by_key.pop(key_text, None)
            claim_row = self._claim_row_by_key.pop(key_text, None)
            if claim_row is not None and not claim_row.is_dirty:
                self._writer.submit(
                    Write(
                        key=claim_row.row_key,
                        expected_version=claim_row.version,
                        body=None,
                    ),
                )

    def _list_dirty_keys(self) -> frozenset[str]:
        return frozenset(
            key_text
            for key_text, claim_row in self._claim_row_by_key.items()
            if claim_row.is_dirty
        )

    def _persist_new_claim(
        self,
        key: ClaimKey,
        decision: NewClaim,
    ) -> ClaimDecision:
        key_text = key.text()
        claim_row = self._claim_row_by_key.get(key_text)
        if claim_row is None:
            claim_row = _ClaimRow(row_key=self._make_row_key(key), version=0)
            self._claim_row_by_key[key_text] = claim_row
        claim_row.is_dirty = True
        since_failure_s = self._clock.monotonic() - self._store_failed_at
        if since_failure_s < _STORE_RETRY_DELAY_S:
            return decision
        outcome = self._persist(key_text, _ACQUIRE_TIMEOUT_S)
        if isinstance(outcome, Unavailable):
            self._store_failed_at = self._clock.monotonic()
            event('claim_kept_in_memory', key=key_text, reason=outcome.reason)
        if self._instance_state.claim_by_key.get(key_text) == decision.claim:
            return decision
        if self._instance_state.claim_by_key[key_text].state is ClaimState.RAN:
            return FinishedClaim(answer=None)
        return UncertainClaim(reason='the key has a record of another holder')

    def _update_claim(self, key: ClaimKey, claim: Claim) -> None:
        key_text = key.text()
        self._instance_state.claim_by_key[key_text] = claim
        claim_row = self._claim_row_by_key.get(key_text)
        if claim_row is not None:
            claim_row.is_dirty = True
            gevent.spawn(self._persist, key_text, _OUTCOME_TIMEOUT_S)

    def _persist(self, key_text: str, timeout_s: Seconds) -> WriteResult:
        claim_row = self._claim_row_by_key[key_text]
        with claim_row.lock:
            claim = self._instance_state.claim_by_key[key_text]
            if not claim_row.is_dirty:
                return Committed()
            outcome = self._write_claim(claim_row, claim, timeout_s)
            if isinstance(outcome, Conflict):
                outcome = self._resolve_conflict(
                    key_text,
                    claim_row,
                    claim,
                    timeout_s,
                )
            if isinstance(outcome, Committed):
                latest_claim = self._instance_state.claim_by_key.get(key_text)
                claim_row.is_dirty = (
                    latest_claim is not None and latest_claim != claim
                )
            return outcome

    def _write_claim(
        self,
        claim_row: _ClaimRow,
        claim: Claim,
        timeout_s: Seconds,
    ) -> WriteResult:
        outcome = self._writer.write(
            Write(
                key=claim_row.row_key,
                expected_version=claim_row.version,
                body=to_document(claim),
            ),
            timeout_s,
        )
        if isinstance(outcome, Committed):
            claim_row.version = outcome.version_by_key[claim_row.row_key]
        return outcome

    def _resolve_conflict(
        self,
        key_text: str,
        claim_row: _ClaimRow,
        claim: Claim,
        timeout_s: Seconds,
    ) -> WriteResult:
        # If the stored nonce matches, an earlier write of this claim took
        # effect and only its response was lost. Any other nonce means that
        # another holder has claimed the key.
        found = self._read_claim(claim_row.row_key)
        if isinstance(found, Unavailable):
            return found
        if found is None:
            claim_row.version = 0
            return self._write_claim(claim_row, claim, timeout_s)
        row, stored_claim = found
        claim_row.version = row.version
        if stored_claim.nonce == claim.nonce:
            return self._write_claim(claim_row, claim, timeout_s)
        event('claim_of_another_holder', key=key_text)
        if stored_claim.state is ClaimState.RUNNING:
            stored_claim = replace(stored_claim, state=ClaimState.UNKNOWN)
        self._instance_state.claim_by_key[key_text] = stored_claim
        claim_row.is_dirty = False
        return Conflict(key=claim_row.row_key, version=row.version)

    def _read_claim(
        self,
        row_key: str,
    ) -> tuple[Row, Claim] | None | Unavailable:
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

    def _read_rows(
        self,
        seat_id: SeatId,
        generation: int,
    ) -> tuple[Row, ...] | None:
        prefetched = self._prefetched_by_seat.pop(seat_id.row_key(), None)
        found = self._table.scan(_claim_row_prefix(seat_id))
        if isinstance(found, Rows):
            return found.rows
        if prefetched is None or prefetched.generation != generation:
            return None
        return prefetched.rows

    def _load_seat_claims(self, seat_id: SeatId, generation: int) -> None:
        prefix = _claim_row_prefix(seat_id)
        rows = self._read_rows(seat_id, generation)
        if rows is None:
            return
        claims = {}
        for row in rows:
            claim = from_document(row.body, Claim)
            key_text = row.key[len(prefix) :]
            if isinstance(claim, Malformed):
                event('claim_row_malformed', key=row.key, reason=claim.reason)
                continue
            claims[key_text] = claim
            claim_row = self._claim_row_by_key.get(key_text)
            if claim_row is None or not claim_row.is_dirty:
                self._claim_row_by_key[key_text] = _ClaimRow(
                    row_key=row.key,
                    version=row.version,
                )
        adopt_claims(self._instance_state, claims, self._list_dirty_keys())
        self._loaded_generation_by_seat[seat_id.row_key()] = generation

    def _make_row_key(self, key: ClaimKey) -> str:
        configuration = self._instance_state.configuration()
        if configuration is None:
            return f'claims/none/0/{key.text()}'
        home_seat = find_home_seat(configuration, key)
        return f'{_claim_row_prefix(home_seat)}{key.text()}'


def _claim_row_prefix(seat_id: SeatId) -> str:
    return f'claims/{seat_id.data_centre}/{seat_id.index}/'

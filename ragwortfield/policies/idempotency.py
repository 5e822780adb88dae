"""At most one run for each idempotency key.

Every key has a home: one seat of one data centre. Only the holder of that
seat may let a request with the key run, so no agreement is needed while the
platform's table is away. The holder remembers each claim and writes it to the
table before the request goes out; a holder that takes over a seat reads them
back. Claims that a lost holder may have made without a record form a gap:
a key from before its end is never run.
"""

import hashlib
import re
from dataclasses import dataclass, replace

from ragwortfield.core.claims import (
    Claim,
    ClaimDecision,
    ClaimKey,
    ClaimState,
    FinishedClaim,
    NewClaim,
    MismatchedClaim,
    RunningClaim,
    UncertainClaim,
)
from ragwortfield.core.configuration import Configuration
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.seats import Seat, SeatId
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.policies.hashing import rendezvous_hash, stable_hash
from ragwortfield.types import DataCentreName, WallTime

#: Separates the name of a data centre from the rest of a key.
_HOME_SEPARATOR = ':'
#: Time-ordered UUID (RFC 9562, version 7).
_UUID7 = re.compile(
    '([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
    re.IGNORECASE,
)
_MS_PER_S = 1000
_HEXADECIMAL_BASE = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequest:
    """
    What a holder is asked about a key.

    :param digest: digest of the request.
    :param nonce: new nonce for the claim, should it be made.
    """

    key: ClaimKey
    digest: str
    nonce: str


def digest_request(method: str, path: str, body: bytes) -> str:
    """
    Digest what must be alike in every send of a key.

    :param method: HTTP method.
    :param path: path and query.
    :param body: body of the request.
    :returns: hexadecimal digest.
    """
    digest = hashlib.sha256()
    digest.update(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def find_home_seat(configuration: Configuration, key: ClaimKey) -> SeatId:
    """
    Find the seat that decides about a key.

    A key that starts with the name of a data centre and a colon has its home
    there; any other key is spread over all data centres.

    :param configuration: the configuration in force.
    :param key: the key.
    :returns: the seat; alike on every instance with this configuration.
    """
    name = _find_home_data_centre(configuration, key)
    seats = configuration.data_centres[name].seats
    return SeatId(data_centre=name, index=stable_hash(key.text()) % seats)


def parse_key_time(key: str) -> WallTime | None:
    """
    Read the time at which a key was made.

    :param key: the caller's key.
    :returns: seconds since the epoch for a UUID of version 7, else ``None``.
    """
    match = _UUID7.search(key)
    if match is None:
        return None
    milliseconds = int(match.group(1) + match.group(2), _HEXADECIMAL_BASE)
    return milliseconds / _MS_PER_S


def decide_claim(
    instance_state: InstanceState,
    question: ClaimRequest,
    wall_time: WallTime,
) -> ClaimDecision:
    """
    Decide whether a request may run, as the holder of its key's home.

    :param instance_state: the tables of the holder.
    :param question: key, digest and nonce.
    :param wall_time: reading of the wall clock.
    :returns: the decision; a fresh claim is recorded at once.
    """
    claim = instance_state.claim_by_key.get(question.key.text())
    if claim is not None and claim.state is not ClaimState.NOT_RUN:
        return _decide_known_claim(claim, question.digest)
    gap = '' if claim else _open_gap(instance_state, question.key, wall_time)
    if gap:
        return UncertainClaim(reason=gap)
    fresh = Claim(
        state=ClaimState.RUNNING,
        digest=question.digest,
        nonce=question.nonce,
        opened_at=wall_time,
    )
    instance_state.claim_by_key[question.key.text()] = fresh
    return NewClaim(claim=fresh)


def adopt_claims(
    instance_state: InstanceState,
    claims: dict[str, Claim],
    own: frozenset[str] = frozenset(),
) -> None:
    """
    Take over the claims of an earlier holder.

    A run that the earlier holder did not see end is uncertain from then on.

    :param instance_state: the tables of the new holder.
    :param claims: claims by the text of their key, as read from the table.
    :param own: keys about which the new holder knows more than the table.
    """
    for text, claim in claims.items():
        if text in own:
            continue
        if claim.state is ClaimState.RUNNING:
            claim = replace(claim, state=ClaimState.UNKNOWN)
        instance_state.claim_by_key[text] = claim


def find_expired_claims(
    instance_state: InstanceState, wall_time: WallTime
) -> tuple[str, ...]:
    """
    List claims that no caller can repeat any more.

    :param instance_state: the instance's tables.
    :param wall_time: reading of the wall clock.
    :returns: texts of their keys.
    """
    configuration = instance_state.configuration()
    if configuration is None:
        return ()
    lifetime_s = configuration.timing.key_lifetime_s
    return tuple(
        text
        for text, claim in instance_state.claim_by_key.items()
        if wall_time - claim.opened_at > lifetime_s
        and claim.state is not ClaimState.RUNNING
    )


def is_key_expired(
    configuration: Configuration,
    key: str,
    wall_time: WallTime,
) -> bool:
    """
    Tell whether a key is too old for its claim to be remembered.

    :param configuration: the configuration in force.
    :param key: the caller's key.
    :param wall_time: reading of the wall clock.
    :returns: whether the key carries a time before the key lifetime.
    """
    made_at = parse_key_time(key)
    if made_at is None:
        return False
    timing = configuration.timing
    return wall_time - made_at > timing.key_lifetime_s - timing.clock_bound_s


def rebuild_answer(claim: Claim, body: bytes) -> WholeAnswer:
    """
    Rebuild the answer that a claim kept.

    :param claim: a claim that keeps an answer.
    :param body: its decoded body.
    :returns: the answer as the target gave it.
    """
    return WholeAnswer(
        status=claim.answer_status,
        fields=claim.answer_fields,
        body=body,
    )


def _decide_known_claim(claim: Claim, digest: str) -> ClaimDecision:
    if claim.digest != digest:
        return MismatchedClaim()
    if claim.state is ClaimState.RUNNING:
        return RunningClaim()
    if claim.state is ClaimState.UNKNOWN:
        return UncertainClaim(
            reason='an earlier send was cut off before its whole answer',
        )
    if not claim.is_answer_kept:
        return FinishedClaim(answer=None)
    # The body is text-encoded for the table; JSON rows carry no bytes.
    return FinishedClaim(
        answer=rebuild_answer(claim, bytes.fromhex(claim.answer_body)),
    )


def _open_gap(
    instance_state: InstanceState, key: ClaimKey, wall_time: WallTime
) -> str:
    configuration = instance_state.configuration()
    if configuration is None:
        return 'no configuration is known'
    home = find_home_seat(configuration, key)
    row = instance_state.seat_row_by_key.get(home.row_key())
    seat = Seat() if row is None else row.seat
    timing = configuration.timing
    if not seat.gap_until or wall_time - seat.gap_until > timing.key_lifetime_s:
        return ''
    made_at = parse_key_time(key.key)
    if made_at is not None and made_at - timing.clock_bound_s > seat.gap_until:
        return ''
    return f'the instance that held seat {home.row_key()} before was lost'


def _find_home_data_centre(
    configuration: Configuration,
    key: ClaimKey,
) -> DataCentreName:
    prefix, separator, _ = key.key.partition(_HOME_SEPARATOR)
    if separator and prefix in configuration.data_centres:
        return prefix
    return rendezvous_hash(key.text(), tuple(configuration.data_centres))

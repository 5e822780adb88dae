"""At-most-once execution of requests with an idempotency key.

Each key has a home seat in one data centre. Only the holder of that seat may
let a request with the key run, so instances need no consensus while the
platform's table is unavailable. The holder stores each claim in the table
before it sends the request; an instance that takes over the seat reads the
claims back. A holder that was lost may have made claims that were not stored.
These claims form a gap: a key that may have been used before the end of the
gap is never run.
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
    MismatchedClaim,
    NewClaim,
    RunningClaim,
    UncertainClaim,
)
from ragwortfield.core.configuration import Configuration
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.seats import Seat, SeatId
from ragwortfield.policies.hashing import rendezvous_hash, stable_hash
from ragwortfield.types import DataCentreName, WallTime

#: Separates an optional data centre prefix from the rest of a key.
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
    Request to the holder of a key's home seat for a claim on the key.

    :param digest: digest of the request.
    :param nonce: nonce for the claim if a new one is made.
    """

    key: ClaimKey
    digest: str
    nonce: str


def digest_request(method: str, path: str, body: bytes) -> str:
    """
    Hash the parts that all requests with the same key must share.

    :param method: HTTP method.
    :param path: path and query.
    :param body: body of the request.
    :returns: hexadecimal SHA-256 digest.
    """
    digest = hashlib.sha256()
    digest.update(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def find_home_seat(configuration: Configuration, key: ClaimKey) -> SeatId:
    """
    Find the seat whose holder decides about a key.

    A key that starts with the name of a data centre and a colon has its home
    there; other keys are distributed over all data centres by hash.

    :param configuration: the current configuration.
    :returns: the seat; the same on all instances with this configuration.
    """
    name = _find_home_data_centre(configuration, key)
    seats = configuration.data_centres[name].seats
    return SeatId(data_centre=name, index=stable_hash(key.text()) % seats)


def parse_key_time(key: str) -> WallTime | None:
    """
    Extract the creation time from a key.

    :param key: the caller's key.
    :returns: seconds since the Unix epoch if the key contains a UUID of
        version 7, otherwise ``None``.
    """
    match = _UUID7.search(key)
    if match is None:
        return None
    milliseconds = int(match.group(1) + match.group(2), _HEXADECIMAL_BASE)
    return milliseconds / _MS_PER_S


def decide_claim(
    instance_state: InstanceState,
    request: ClaimRequest,
    wall_time: WallTime,
) -> ClaimDecision:
    """
    Decide whether a request may run, as the holder of its key's home seat.

    :param instance_state: state of the holder; a new claim is added to it.
    :param request: key, digest and nonce.
    :param wall_time: wall-clock time, in seconds.
    :returns: the new claim, or why the request may not run.
    """
    claim = instance_state.claim_by_key.get(request.key.text())
    if claim is not None and claim.state is not ClaimState.NOT_RUN:
        return _decide_known_claim(claim, request.digest)
    gap = (
        '' if claim else _find_claim_gap(instance_state, request.key, wall_time)
    )
    if gap:
        return UncertainClaim(reason=gap)
    new_claim = Claim(
        state=ClaimState.RUNNING,
        digest=request.digest,
        nonce=request.nonce,
        opened_at=wall_time,
    )
    instance_state.claim_by_key[request.key.text()] = new_claim
    return NewClaim(claim=new_claim)


def adopt_claims(
    instance_state: InstanceState,
    claims: dict[str, Claim],
    own: frozenset[str] = frozenset(),
) -> None:
    """
    Adopt the claims of an earlier seat holder.

    It is unknown how requests ended that the earlier holder left running, so
    their claims become uncertain.

    :param instance_state: state of the new holder.
    :param claims: claims by the text of their key, as read from the table.
    :param own: keys of which the new holder has newer claims than the table.
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
    Find the claims whose keys have exceeded the key lifetime.

    :param instance_state: state of this instance.
    :param wall_time: wall-clock time, in seconds.
    :returns: texts of their keys; running claims are left out.
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
    Return whether a key is so old that its claim may have been discarded.

    :param configuration: the current configuration.
    :param key: the caller's key.
    :param wall_time: wall-clock time, in seconds.
    :returns: ``True`` if the key contains a creation time that is older than
        the key lifetime; ``False`` for a key without a creation time.
    """
    created_at = parse_key_time(key)
    if created_at is None:
        return False
    timing = configuration.timing
    return wall_time - created_at > timing.key_lifetime_s - timing.clock_bound_s


def rebuild_answer(claim: Claim, body: bytes) -> WholeAnswer:
    """
    Rebuild the target's response from a claim.

    :param claim: a claim that stores a response.
    :param body: the decoded body of the response.
    :returns: the response without its duration.
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
            reason=(
                'an earlier request with this key was interrupted before its '
                'answer was complete'
            ),
        )
    if not claim.is_answer_kept:
        return FinishedClaim(answer=None)
    # The body is stored in hexadecimal because JSON rows cannot hold bytes.
    return FinishedClaim(
        answer=rebuild_answer(claim, bytes.fromhex(claim.answer_body)),
    )


def _find_claim_gap(
    instance_state: InstanceState, key: ClaimKey, wall_time: WallTime
) -> str:
    configuration = instance_state.configuration()
    if configuration is None:
        return 'this instance has no configuration yet'
    home = find_home_seat(configuration, key)
    row = instance_state.seat_row_by_key.get(home.row_key())
    seat = Seat() if row is None else row.seat
    timing = configuration.timing
    if not seat.gap_until or wall_time - seat.gap_until > timing.key_lifetime_s:
        return ''
    created_at = parse_key_time(key.key)
    if (
        created_at is not None
        and created_at - timing.clock_bound_s > seat.gap_until
    ):
        return ''
    return (
        f'an earlier holder of seat {home.row_key()} was lost, and claims on '
        'the key may have been lost with it'
    )


def _find_home_data_centre(
    configuration: Configuration,
    key: ClaimKey,
) -> DataCentreName:
    prefix, separator, _ = key.key.partition(_HOME_SEPARATOR)
    if separator and prefix in configuration.data_centres:
        return prefix
    return rendezvous_hash(key.text(), tuple(configuration.data_centres))

"""Header fields of the callers' interface, and signatures of relays."""

import hashlib
import hmac
from dataclasses import dataclass

from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.core.requests import CallerRequest
from ragwortfield.ports.clock import Clock
from ragwortfield.types import Seconds

#: Name of the caller's team.
TEAM_HEADER = 'ragwortfield-team'
#: Secret of the caller's team.
TOKEN_HEADER = 'ragwortfield-token'
#: Class of the request.
CLASS_HEADER = 'ragwortfield-class'
#: Time left until the deadline of the request, in milliseconds.
DEADLINE_HEADER = 'ragwortfield-deadline-ms'
#: Identifier of the request, from the caller or new.
REQUEST_ID_HEADER = 'ragwortfield-request-id'
#: Response: whether the request ran.
RUN_STATE_HEADER = 'ragwortfield-run'
#: Response: whether earlier requests with the same idempotency key ran.
EARLIER_STATE_HEADER = 'ragwortfield-earlier'
#: Response: whether it is the stored response of an earlier request.
REPLAY_HEADER = 'ragwortfield-replay'
#: Response: code of the refusal, or ``accepted`` for a deferred request.
CODE_HEADER = 'ragwortfield-code'
#: Response: identifier of the target that served the request.
TARGET_HEADER = 'ragwortfield-served-by'
#: Hops, quota flag, time and signature of a relayed request.
RELAY_HEADER = 'ragwortfield-relay'
#: Idempotency key of the request.
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

#: Fields that apply to one connection only, or that the next hop sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    )
)
#: Prefix of the header fields that this project defines.
_PROJECT_HEADER_PREFIX = 'ragwortfield-'
#: Largest difference between the time in a relay field and the clock of this
#: instance, in seconds. It bounds how long a captured field can be replayed.
_RELAY_HEADER_LIFETIME_S = 60
#: Parts of a relay field, separated by semicolons: hops, quota flag, wall
#: time in seconds, signature.
_RELAY_HEADER_PARTS = 4
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayMetadata:
    """
    What the relaying instance states about a request.

    :param hops: number of relays so far; 0 for a request from a caller.
    :param is_quota_charged: whether the team's quota was charged already.
    """

    hops: int
    is_quota_charged: bool


class RelaySigner:
    """
    Signs requests that are relayed to peers, and verifies those of peers.

    :param token: secret shared by all entry instances.
    :param clock: clock whose wall time is signed.
    """

    def __init__(self, *, token: str, clock: Clock) -> None:
        """Create a signer."""
        self._token = token.encode()
        self._clock = clock

    def __call__(
        self,
        request: CallerRequest,
        remaining_s: Seconds,
    ) -> HeaderFields:
        """
        Create the header fields of a request that is relayed.

        :param request: the request.
        :param remaining_s: time left until its deadline, in seconds.
        :returns: the fields, with a signature.
        """
        charged = int(request.is_quota_charged)
        metadata = f'{request.hops + 1};{charged};{self._clock.wall_time():.3f}'
        fields = [
            (TEAM_HEADER, request.team),
            (CLASS_HEADER, request.request_class.value),
            (DEADLINE_HEADER, f'{remaining_s * _MS_PER_S:.3f}'),
            (REQUEST_ID_HEADER, request.request_id),
        ]
        if request.key:
            fields.append((IDEMPOTENCY_KEY_HEADER, request.key))
        mac = self._sign(metadata, request.request_id, request.team)
        fields.append((RELAY_HEADER, f'{metadata};{mac}'))
        return tuple(fields)

    def verify(
        self,
        text: str,
        request_id: str,
        team: str,
    ) -> RelayMetadata | None:
        """
        Verify the signature and the age of a relayed request.

        :param text: value of the relay field.
        :param request_id: identifier of the request.
        :param team: team of the request.
        :returns: what the relaying instance states; ``None`` if the signature
            is wrong or the field is too old.
        """
        parts = text.split(';')
        if len(parts) != _RELAY_HEADER_PARTS:
            return None
        metadata = ';'.join(parts[:-1])
        expected = self._sign(metadata, request_id, team)
        if not hmac.compare_digest(parts[-1], expected):
            return None
        age_s = self._clock.wall_time() - float(parts[2])
        if abs(age_s) > _RELAY_HEADER_LIFETIME_S:
            return None
        return RelayMetadata(
            hops=int(parts[0]),
            is_quota_charged=parts[1] == '1',
        )

    def _sign(self, metadata: str, request_id: str, team: str) -> str:
        text = f'relay|{metadata}|{request_id}|{team}'
        return hmac.new(
            self._token,
            text.encode(),
            hashlib.sha256,
        ).hexdigest()


def filter_forwarded_headers(fields: HeaderFields) -> HeaderFields:
    """
    Select the fields that are forwarded between callers and targets.

    :param fields: fields as received.
    :returns: fields without those of one connection, those that this project
        defines, and the idempotency key.
    """
    return tuple(
        (name, text)
        for name, text in fields
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and not name.lower().startswith(_PROJECT_HEADER_PREFIX)
        and name.lower() != IDEMPOTENCY_KEY_HEADER
    )


def filter_relayed_headers(fields: HeaderFields) -> HeaderFields:
    """
    Select the fields of a peer's response that are forwarded to the caller.

    Fields that this project defines are kept: the peer has set them for the
    caller.

    :param fields: fields of the peer's response.
    :returns: fields without those of one connection.
    """
    return tuple(
        (name, text)
        for name, text in fields
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )

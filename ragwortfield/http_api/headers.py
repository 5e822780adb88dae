"""Header fields of the callers' interface and of relays between instances."""

import hashlib
import hmac
from dataclasses import dataclass

from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.core.requests import CallerRequest
from ragwortfield.ports.clock import Clock
from ragwortfield.types import Seconds

TEAM_HEADER = 'ragwortfield-team'
TOKEN_HEADER = 'ragwortfield-token'
CLASS_HEADER = 'ragwortfield-class'
DEADLINE_HEADER = 'ragwortfield-deadline-ms'
REQUEST_ID_HEADER = 'ragwortfield-request-id'
RUN_STATE_HEADER = 'ragwortfield-run'
EARLIER_STATE_HEADER = 'ragwortfield-earlier'
REPLAY_HEADER = 'ragwortfield-replay'
CODE_HEADER = 'ragwortfield-code'
TARGET_HEADER = 'ragwortfield-served-by'
RELAY_HEADER = 'ragwortfield-relay'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

#: Fields that speak of one connection only, or that are made anew.
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
#: Prefix of the fields of this interface.
_PROJECT_HEADER_PREFIX = 'ragwortfield-'
#: A relay note older than this is not accepted, in seconds.
_RELAY_HEADER_LIFETIME_S = 60
_RELAY_HEADER_PARTS = 4
_MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayMetadata:
    """What an instance says about a request that it relays."""

    hops: int
    is_quota_charged: bool


class RelaySigner:
    """
    Signs and checks relayed requests.

    :param token: secret shared by all entry instances.
    :param clock: source of time.
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
        Make the header fields of a relayed request.

        :param request: the request.
        :param remaining_s: time left until its deadline, in seconds.
        :returns: the fields, signed.
        """
        charged = int(request.is_quota_charged)
        note = f'{request.hops + 1};{charged};{self._clock.wall_time():.3f}'
        fields = [
            (TEAM_HEADER, request.team),
            (CLASS_HEADER, request.request_class.value),
            (DEADLINE_HEADER, f'{remaining_s * _MS_PER_S:.3f}'),
            (REQUEST_ID_HEADER, request.request_id),
        ]
        if request.key:
            fields.append((IDEMPOTENCY_KEY_HEADER, request.key))
        mac = self._sign(note, request.request_id, request.team)
        fields.append((RELAY_HEADER, f'{note};{mac}'))
        return tuple(fields)

    def check(
        self,
        text: str,
        request_id: str,
        team: str,
    ) -> RelayMetadata | None:
        """
        Check the note of a relayed request.

        :param text: the header field.
        :param request_id: identifier of the request.
        :param team: team of the request.
        :returns: the note; ``None`` when it is not genuine.
        """
        parts = text.split(';')
        if len(parts) != _RELAY_HEADER_PARTS:
            return None
        note = ';'.join(parts[:-1])
        expected = self._sign(note, request_id, team)
        if not hmac.compare_digest(parts[-1], expected):
            return None
        age_s = self._clock.wall_time() - float(parts[2])
        if abs(age_s) > _RELAY_HEADER_LIFETIME_S:
            return None
        return RelayMetadata(
            hops=int(parts[0]),
            is_quota_charged=parts[1] == '1',
        )

    def _sign(self, note: str, request_id: str, team: str) -> str:
        text = f'relay|{note}|{request_id}|{team}'
        return hmac.new(
            self._token,
            text.encode(),
            hashlib.sha256,
        ).hexdigest()


def filter_forwarded_headers(fields: HeaderFields) -> HeaderFields:
    """
    Keep the fields that go on to the other side.

    :param fields: fields as they came.
    :returns: fields without those of one connection and of this interface.
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
    Keep the fields of a peer's answer that the caller gets.

    :param fields: fields of the peer's answer.
    :returns: fields without those of one connection.
    """
    return tuple(
        (name, text)
        for name, text in fields
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )

"""Typed messages between entry instances, as CBOR with a version."""

import hashlib
import hmac
from dataclasses import dataclass, field
from typing import Any

import cbor2

from ragwortfield.adapters.json_codec import (
    Malformed,
    from_document,
    to_document,
)
from ragwortfield.types import DataCentreName, InstanceId, ServiceName

#: Version of the messages; both ends of a link must have the same.
PROTOCOL_VERSION = 1
#: Largest frame, in bytes.
MAX_FRAME_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Challenge:
    """First message of the end that was dialled."""

    nonce: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """
    Answer of the end that dialled.

    :param nonce: challenge for the other end.
    :param proof: proof that the sender knows the peer token.
    """

    instance_id: InstanceId
    nonce: str
    proof: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Welcome:
    """Proof of the end that was dialled."""

    instance_id: InstanceId
    proof: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """What an instance says about itself, once a second."""

    instance_id: InstanceId
    data_centre: DataCentreName
    http_address: str
    free_by_service: dict[ServiceName, int] = field(default_factory=dict)
    generation_by_seat: dict[str, int] = field(default_factory=dict)
    configuration_version: int = 0
    is_leaving: bool = False
    is_store_reachable: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationAsk:
    """Question for a configuration newer than the sender's."""

    known_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationOffer:
    """Configuration that the sender has in force."""

    version: int
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PeersAsk:
    """Question for other instances, of one that has no list yet."""

    data_centre: DataCentreName


@dataclass(frozen=True, kw_only=True, slots=True)
class PeersOffer:
    """Peer addresses of the instances that the sender knows."""

    addresses: tuple[str, ...]


#: Any message.
Message = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | ConfigurationAsk
    | ConfigurationOffer
    | PeersAsk
    | PeersOffer
)

_MESSAGE_TYPE_BY_NAME: dict[str, type[Message]] = {
    kind.__name__: kind
    for kind in (
        Challenge,
        Hello,
        Welcome,
        Heartbeat,
        ConfigurationAsk,
        ConfigurationOffer,
        PeersAsk,
        PeersOffer,
    )
}


def encode_message(message: Message) -> bytes:
    """
    Encode a message.

    :param message: the message.
    :returns: one frame.
    """
    return cbor2.dumps(
        {
            'version': PROTOCOL_VERSION,
            'kind': type(message).__name__,
            'body': to_document(message),
        }
    )


def decode_message(frame: bytes | str) -> Message | Malformed:
    """
    Decode a frame.

    :param frame: the frame as it came.
    :returns: the message, or what is wrong with the frame.
    """
    if isinstance(frame, str):
        return Malformed(reason='text frame, expected a binary one')
    try:
        document = cbor2.loads(frame)
    # The decoder raises many kinds of errors on hostile input; each means
    # the same here.
    except Exception as error:
        return Malformed(reason=f'no CBOR: {error}')
    return _decode_document(document)


def compute_proof(token: str, nonce: str, instance_id: InstanceId) -> str:
    """
    Prove knowledge of the peer token.

    :param token: the peer token.
    :param nonce: challenge of the other end.
    :param instance_id: identifier of the end that proves.
    :returns: hexadecimal HMAC-SHA-256.
    """
    text = f'{PROTOCOL_VERSION}|{nonce}|{instance_id}'
    return hmac.new(
        token.encode(),
        text.encode(),
        hashlib.sha256,
    ).hexdigest()


def _decode_document(document: Any) -> Message | Malformed:
    if not isinstance(document, dict):
        return Malformed(reason='frame holds no map')
    version = document.get('version')
    if version != PROTOCOL_VERSION:
        return Malformed(
            reason=f'version {version!r}, expected {PROTOCOL_VERSION}',
        )
    name = document.get('kind')
    kind = _MESSAGE_TYPE_BY_NAME.get(name) if isinstance(name, str) else None
    if kind is None:
        return Malformed(reason=f'unknown kind of message {name!r}')
    return from_document(document.get('body'), kind)

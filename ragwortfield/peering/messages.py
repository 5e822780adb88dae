"""Messages between entry instances, encoded as versioned CBOR."""

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

#: Version of the message format; both ends of a connection must use the same.
PROTOCOL_VERSION = 1
#: Largest websocket frame, in bytes.
MAX_FRAME_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Challenge:
    """
    First message of the handshake, from the end that was dialled.

    :param nonce: random text that the other end must use in its proof.
    """

    nonce: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """
    Second message of the handshake, from the end that dialled.

    :param nonce: random text that the other end must use in its proof.
    :param proof: proof that the sender knows the peer token.
    """

    instance_id: InstanceId
    nonce: str
    proof: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Welcome:
    """
    Last message of the handshake, from the end that was dialled.

    :param proof: proof that the sender knows the peer token.
    """

    instance_id: InstanceId
    proof: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """
    State of an instance, sent once a second.

    :param http_address: host and port of its HTTP interfaces.
    :param free_by_service: free slots at its targets, by service.
    :param generation_by_seat: generation of each seat that it holds and that
        is not suspended.
    :param configuration_version: version of its configuration; 0 for none.
    :param is_leaving: whether it drains before it stops.
    :param is_store_reachable: whether the store has answered it recently.
    """

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
    """
    Request for a configuration newer than the sender's.

    :param known_version: version of the sender's configuration; 0 for none.
    """

    known_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationOffer:
    """Configuration that is in force at the sender."""

    version: int
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PeersAsk:
    """
    Request for peer addresses, from an instance without an instance list.

    :param data_centre: data centre of the sender.
    """

    data_centre: DataCentreName


@dataclass(frozen=True, kw_only=True, slots=True)
class PeersOffer:
    """Peer addresses of the instances known to the sender."""

    addresses: tuple[str, ...]


#: Message of any type.
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
    message_type.__name__: message_type
    for message_type in (
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
    Encode a message as one binary frame.

    :param message: the message.
    :returns: the frame.
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

    :param frame: the frame as received; text frames are malformed.
    :returns: the message, or what is wrong with the frame.
    """
    if isinstance(frame, str):
        return Malformed(reason='got a text frame, expected a binary frame')
    try:
        document = cbor2.loads(frame)
    # The decoder raises many types of exceptions on malformed or hostile
    # input, and all of them mean that the frame is malformed.
    except Exception as error:
        return Malformed(reason=f'frame is not valid CBOR: {error}')
    return _decode_document(document)


def compute_proof(token: str, nonce: str, instance_id: InstanceId) -> str:
    """
    Compute the proof that an instance knows the peer token.

    :param token: the peer token.
    :param nonce: nonce that the other end chose.
    :param instance_id: identifier of the instance that gives the proof.
    :returns: HMAC-SHA-256 in hexadecimal.
    """
    text = f'{PROTOCOL_VERSION}|{nonce}|{instance_id}'
    return hmac.new(
        token.encode(),
        text.encode(),
        hashlib.sha256,
    ).hexdigest()


def _decode_document(document: Any) -> Message | Malformed:
    if not isinstance(document, dict):
        return Malformed(
            reason=f'frame holds {type(document).__name__}, expected a map'
        )
    version = document.get('version')
    if version != PROTOCOL_VERSION:
        return Malformed(
            reason=f'message version {version!r}, expected {PROTOCOL_VERSION}',
        )
    name = document.get('kind')
    message_type = (
        _MESSAGE_TYPE_BY_NAME.get(name) if isinstance(name, str) else None
    )
    if message_type is None:
        return Malformed(reason=f'unknown message type {name!r}')
    return from_document(document.get('body'), message_type)

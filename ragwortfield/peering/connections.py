"""Authenticated connections between entry instances, over websockets."""

import hmac
import secrets
import time
from collections.abc import Callable
from typing import Protocol, TypeVar

import gevent
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import ServerConnection, serve

from ragwortfield.adapters.http_client import set_socket_options
from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.log import event
from ragwortfield.peering.link_record import LinkRecord, classify_link_end
from ragwortfield.peering.messages import (
    MAX_FRAME_BYTES,
    Challenge,
    Hello,
    Message,
    Welcome,
    compute_proof,
    decode_message,
    encode_message,
)
from ragwortfield.settings.instance import split_address
from ragwortfield.types import InstanceId, Seconds

#: Time-out for connecting and for each message of the handshake, in seconds.
_HANDSHAKE_TIMEOUT_S = 2.0
#: Time between heartbeats on a connection, in seconds.
_HEARTBEAT_INTERVAL_S = 1.0
#: Time without a message after which a connection is closed, in seconds. The
#: end that dialled then dials again.
_RECEIVE_TIMEOUT_S = 3.0
#: Pause before an address is dialled again after its connection ended, and
#: time-out for the closing handshake, in seconds.
_REDIAL_DELAY_S = 0.5
#: Length of a handshake nonce, in bytes.
_NONCE_BYTES = 16

_MessageType = TypeVar('_MessageType')


class PeerProtocolHandler(Protocol):
    """Produces heartbeats and handles messages of peers."""

    def heartbeat(self) -> Message:
        """Create a heartbeat from the current state."""

    def receive(self, peer_id: InstanceId, message: Message) -> Message | None:
        """Handle a message and return the response, if there is one."""


class PeerConnectionError(Exception):
    """A connection must be closed; the text says why."""


#: Errors that end a connection.
_LINK_ERRORS = (OSError, WebSocketException, PeerConnectionError)


class PeerConnections:
    """
    Accepted and dialled connections between this instance and its peers.

    Both ends prove in a handshake that they know the peer token. Then both
    send heartbeats and other messages until the connection fails.

    :param instance_id: identifier of this instance.
    :param token: secret shared by all entry instances.
    :param handler: produces heartbeats and handles messages.
    """

    def __init__(
        self,
        *,
        instance_id: InstanceId,
        token: str,
        handler: PeerProtocolHandler,
    ) -> None:
        """Start without connections; ``listen`` and ``dial`` open them."""
        self._instance_id = instance_id
        self._token = token
        self._handler = handler
        self._dial_greenlet_by_address: dict[str, gevent.Greenlet] = {}
        self._connection_by_peer: dict[InstanceId, Connection] = {}

    def listen(self, address: str) -> Callable[[], None]:
        """
        Start a server that accepts connections of peers.

        :param address: host and port to listen on.
        :returns: function that stops the server.
        """
        host, port = split_address(address) or ('', 0)
        server = serve(
            self._accept,
            host,
            port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
            server_header=None,
        )
        gevent.spawn(server.serve_forever)
        return server.shutdown

    def dial(self, addresses: frozenset[str]) -> None:
        """
        Keep connections to exactly these addresses.

        Addresses of an earlier call that are missing in this one are no longer
        dialled, and connections to them are closed.

        :param addresses: peer addresses, host and port.
        """
        for address in tuple(self._dial_greenlet_by_address):
            if address not in addresses:
                self._dial_greenlet_by_address.pop(address).kill(block=False)
        for address in addresses:
            if address not in self._dial_greenlet_by_address:
                self._dial_greenlet_by_address[address] = gevent.spawn(
                    self._redial_forever,
                    address,
                )

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every connection, ahead of the regular one."""
        frame = encode_message(self._handler.heartbeat())
        for connection in tuple(self._connection_by_peer.values()):
            _try_send(connection, frame)

    def count_connections(self) -> int:
        """
        Count the connections that have completed the handshake.

        :returns: number of connected peers.
        """
        return len(self._connection_by_peer)

    def _redial_forever(self, address: str) -> None:
        while True:
            link = LinkRecord()
            try:
                self._dial_once(address, link)
            except _LINK_ERRORS as error:
                event(
                    'peer_link_failed',
                    address=address,
                    **_describe_end(link, error),
                )
            gevent.sleep(_REDIAL_DELAY_S)

    def _dial_once(self, address: str, link: LinkRecord) -> None:
        with connect(
            f'ws://{address}/',
            open_timeout=_HANDSHAKE_TIMEOUT_S,
            close_timeout=_REDIAL_DELAY_S,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
            proxy=None,
            user_agent_header=None,
        ) as connection:
            link.opened_at = time.monotonic()
            set_socket_options(connection.socket)
            challenge = _receive_type(connection, Challenge)
            nonce = secrets.token_hex(_NONCE_BYTES)
            hello = Hello(
                instance_id=self._instance_id,
                nonce=nonce,
                proof=compute_proof(
                    self._token,
                    challenge.nonce,
                    self._instance_id,
                ),
            )
            connection.send(encode_message(hello))
            welcome = _receive_type(connection, Welcome)
            self._verify_peer(welcome.proof, nonce, welcome.instance_id)
            self._exchange_messages(connection, welcome.instance_id, link)

    def _accept(self, connection: ServerConnection) -> None:
        # Read first: a closed socket no longer knows its remote address.
        remote = connection.remote_address
        link = LinkRecord(opened_at=time.monotonic())
        try:
            set_socket_options(connection.socket)
            self._accept_hello(connection, link)
        except _LINK_ERRORS as error:
            event(
                'peer_link_closed',
                remote=remote,
                **_describe_end(link, error),
            )

    def _accept_hello(
        self, connection: ServerConnection, link: LinkRecord
    ) -> None:
        nonce = secrets.token_hex(_NONCE_BYTES)
        connection.send(encode_message(Challenge(nonce=nonce)))
        hello = _receive_type(connection, Hello)
        self._verify_peer(hello.proof, nonce, hello.instance_id)
        welcome = Welcome(
            instance_id=self._instance_id,
            proof=compute_proof(self._token, hello.nonce, self._instance_id),
        )
        connection.send(encode_message(welcome))
        self._exchange_messages(connection, hello.instance_id, link)

    def _verify_peer(self, proof: str, nonce: str, peer_id: InstanceId) -> None:
        expected = compute_proof(self._token, nonce, peer_id)
        if not hmac.compare_digest(proof, expected):
            raise PeerConnectionError(
                f'peer {peer_id!r} sent a wrong proof of the peer token'
            )
        if peer_id == self._instance_id:
            raise PeerConnectionError(
                f'peer uses the identifier of this instance, {peer_id!r}'
            )

    def _exchange_messages(
        self,
        connection: Connection,
        peer_id: InstanceId,
        link: LinkRecord,
    ) -> None:
        self._connection_by_peer[peer_id] = connection
        heartbeat_greenlet = gevent.spawn(
            self._send_heartbeats_periodically, connection
        )
        try:
            while True:
                message = _receive_message(connection, _RECEIVE_TIMEOUT_S)
                link.received_at = time.monotonic()
                response = self._handler.receive(peer_id, message)
                if response is not None:
                    connection.send(encode_message(response))
        finally:
            heartbeat_greenlet.kill(block=False)
            if self._connection_by_peer.get(peer_id) is connection:
                del self._connection_by_peer[peer_id]

    def _send_heartbeats_periodically(self, connection: Connection) -> None:
        while True:
            frame = encode_message(self._handler.heartbeat())
            if not _try_send(connection, frame):
                return
            gevent.sleep(_HEARTBEAT_INTERVAL_S)


def _describe_end(link: LinkRecord, error: Exception) -> dict[str, object]:
    return {
        'cause': classify_link_end(error).value,
        'reason': error,
        **link.format_ages(time.monotonic()),
    }


def _receive_type(
    connection: Connection, expected_type: type[_MessageType]
) -> _MessageType:
    message = _receive_message(connection, _HANDSHAKE_TIMEOUT_S)
    if not isinstance(message, expected_type):
        name = type(message).__name__
        raise PeerConnectionError(
            f'got message {name}, expected {expected_type.__name__}'
        )
    return message


def _receive_message(connection: Connection, timeout_s: Seconds) -> Message:
    try:
        frame = connection.recv(timeout=timeout_s)
    except TimeoutError as error:
        raise PeerConnectionError(f'no message within {timeout_s} s') from error
    message = decode_message(frame)
    if isinstance(message, Malformed):
        raise PeerConnectionError(f'malformed frame: {message.reason}')
    return message


def _try_send(connection: Connection, frame: bytes) -> bool:
    try:
        connection.send(frame)
    except (OSError, WebSocketException):
        return False
    return True

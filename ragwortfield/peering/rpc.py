"""Remote procedure calls between instances, over websockets with CBOR."""

import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import cbor2
import gevent
from gevent.event import AsyncResult
from gevent.lock import BoundedSemaphore
from gevent.pool import Group
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import Server, ServerConnection, serve

from ragwortfield.adapters.http_client import set_socket_options
from ragwortfield.log import event
from ragwortfield.peering.link_record import (
    LinkEnd,
    LinkRecord,
    classify_link_end,
)
from ragwortfield.peering.receive_guard import ReceiveGuard
from ragwortfield.ports.platform import Unavailable
from ragwortfield.settings.instance import split_address
from ragwortfield.types import MonotonicTime, Seconds

#: Time-out for a connection and its websocket handshake, in seconds.
_CONNECT_TIMEOUT_S: Seconds = 0.8
#: Largest frame, in bytes; several times the size of a job with its
#: specification.
_MAX_FRAME_BYTES = 262144
#: Limit of the received frames that websockets buffers; ``None`` for no
#: limit. When a limit is reached, websockets pauses reading, and if the
#: connection is reset during the pause, the process dies (libev: invalid fd).
_MAX_QUEUED_FRAMES = None
#: Time after a failed connection attempt during which calls to the address
#: fail immediately, in seconds.
_RECONNECT_DELAY_S: Seconds = 0.2
#: Most connections that are served at a time. Up to 97 instances run, and each
#: has one connection to each other one.
_MAX_SERVED_CONNECTIONS = 128
#: Most calls of one connection that are under way at a time.
_MAX_CALLS_UNDER_WAY = 1000
#: Keys of the CBOR map in a frame.
_NUMBER_KEY = 'number'
_NAME_KEY = 'name'
_BODY_KEY = 'body'

#: Errors raised while a malformed frame is decoded or handled.
_MALFORMED_FRAME_ERRORS = (
    cbor2.CBORDecodeError,
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
)
#: Errors that end the reading of a connection.
_CONNECTION_ERRORS = (OSError, WebSocketException, *_MALFORMED_FRAME_ERRORS)

#: Arguments or results of a call by name, as CBOR-compatible values.
CallBody = dict[str, Any]
#: Takes the name and the body of a call, and returns the body of the response.
CallHandler = Callable[[str, CallBody], CallBody]


@dataclass(kw_only=True, slots=True)
class _PeerConnection:
    """
    Connection to one peer, with the calls that wait for its responses.

    :param is_discarded: whether it is no longer used.
    """

    websocket: Connection
    pending_response_by_number: dict[int, AsyncResult] = field(
        default_factory=dict
    )
    link: LinkRecord = field(default_factory=LinkRecord)
    is_discarded: bool = False


class PeerRpc:
    """
    Client for calls to peers, and server for their calls.

    The connection to a peer is opened by the first call and reused. It is
    closed when a call times out and no frame was received after the call was
    sent, so that the next call does not use a dead connection.

    :param monotonic: monotonic clock, in seconds.
    """

    def __init__(self, *, monotonic: Callable[[], MonotonicTime]) -> None:
        """Create a client; ``listen`` starts the server."""
        self._monotonic = monotonic
        self._connection_by_address: dict[str, _PeerConnection] = {}
        self._connect_lock_by_address: dict[str, BoundedSemaphore] = {}
        self._connect_failed_at_by_address: dict[str, MonotonicTime] = {}
        self._unreachable_since_by_address: dict[str, MonotonicTime] = {}
        self._last_call_number = 0
        self._served_link_by_socket: dict[socket.socket, LinkRecord] = {}
        self._receive_guard = ReceiveGuard()

    def listen(self, address: str, handler: CallHandler) -> Callable[[], None]:
        """
        Start a server that answers calls of peers.

        :param address: host and port to listen on.
        :param handler: handles each call, in a greenlet of its own.
        :returns: function that stops the server.
        """
        host, port = split_address(address) or ('', 0)
        server = serve(
            lambda websocket: _serve_connection(
                websocket,
                handler,
                self._monotonic,
                self._served_link_by_socket.get(websocket.socket),
            ),
            host,
            port,
            create_connection=self._create_served_connection,
            max_size=_MAX_FRAME_BYTES,
            max_queue=_MAX_QUEUED_FRAMES,
            compression=None,
            ping_interval=None,
            server_header=None,
        )
        gevent.spawn(server.serve_forever)
        guard_greenlet = gevent.spawn(self._receive_guard.run)
        return partial(_stop_listening, server, guard_greenlet)

    def is_unreachable(self, address: str) -> bool:
        """
        Check whether the latest attempt to reach a peer has failed.

        :param address: host and port of the peer.
        :returns: whether it has, and nothing came from the peer since.
        """
        return address in self._unreachable_since_by_address

    def call(
        self,
        address: str,
        call_name: str,
        body: CallBody,
        timeout_s: Seconds,
    ) -> CallBody | Unavailable:
        """
        Call a peer and wait for its response.

        :param address: host and port of the peer.
        :param call_name: name of the call, passed to the peer's handler.
        :param body: arguments of the call.
        :param timeout_s: time-out for the response, in seconds; connecting is
            not included.
        :returns: body of the response, or why there is none;
            ``is_effect_possible`` if the call may have been sent.
        """
        connection = self._get_or_connect(address)
        if isinstance(connection, Unavailable):
            return connection
        self._last_call_number += 1
        call_number = self._last_call_number
        pending_response: AsyncResult = AsyncResult()
        connection.pending_response_by_number[call_number] = pending_response
        called_at = self._monotonic()
        frame = cbor2.dumps(
            {_NUMBER_KEY: call_number, _NAME_KEY: call_name, _BODY_KEY: body}
        )
        try:
            connection.websocket.send(frame)
            return pending_response.get(timeout=timeout_s)
        except gevent.Timeout:
            if connection.link.received_at < called_at:
                reason = f'{call_name} not answered within {timeout_s:.2f} s'
                self._discard(address, connection, LinkEnd.CALL_TIMEOUT, reason)
                self._mark_unreachable(address, reason)
            return Unavailable(
                reason=f'{address} did not answer within {timeout_s:.2f} s',
                is_effect_possible=True,
            )
        except (OSError, WebSocketException) as error:
            self._discard(
                address, connection, classify_link_end(error), repr(error)
            )
            return Unavailable(
                reason=f'connection to {address} broke: {error}',
                is_effect_possible=True,
            )
        finally:
            connection.pending_response_by_number.pop(call_number, None)

    def _create_served_connection(
        self, sock: socket.socket, protocol: Any, server: Server, **options: Any
    ) -> ServerConnection:
        """Create the server's end of a connection; a silent one may end."""
        link_by_socket = self._served_link_by_socket
        for other in tuple(link_by_socket):
            if other.fileno() < 0:
                del link_by_socket[other]
        if len(link_by_socket) >= _MAX_SERVED_CONNECTIONS:
            silent = min(
                link_by_socket,
                # Those without a frame so far come first.
                key=lambda other: (
                    link_by_socket[other].received_at,
                    link_by_socket[other].opened_at,
                ),
            )
            link = link_by_socket.pop(silent)
            event('peer_link_displaced', **link.format_ages(self._monotonic()))
            with suppress(OSError):
                silent.shutdown(socket.SHUT_RDWR)
        link_by_socket[sock] = LinkRecord(opened_at=self._monotonic())
        guarded_protocol = self._receive_guard.create_protocol(
            sock, max_size=_MAX_FRAME_BYTES, logger=protocol.logger
        )
        return ServerConnection(sock, guarded_protocol, server, **options)

    def _get_or_connect(self, address: str) -> _PeerConnection | Unavailable:
        lock = self._connect_lock_by_address.setdefault(
            address, BoundedSemaphore()
        )
        with lock:
            existing = self._connection_by_address.get(address)
            if existing is not None:
                return existing
            failed_at = self._connect_failed_at_by_address.get(address)
            if failed_at and self._monotonic() - failed_at < _RECONNECT_DELAY_S:
                return Unavailable(
                    reason=f'connecting to {address} failed less than '
                    f'{_RECONNECT_DELAY_S} s ago',
                )
            return self._connect(address)

    def _connect(self, address: str) -> _PeerConnection | Unavailable:
        try:
            websocket = connect(
                f'ws://{address}/',
                open_timeout=_CONNECT_TIMEOUT_S,
                close_timeout=_CONNECT_TIMEOUT_S,
                max_size=_MAX_FRAME_BYTES,
                max_queue=_MAX_QUEUED_FRAMES,
                compression=None,
                ping_interval=None,
                proxy=None,
                user_agent_header=None,
            )
        except (OSError, WebSocketException) as error:
            self._connect_failed_at_by_address[address] = self._monotonic()
            self._mark_unreachable(address, f'connecting failed: {error}')
            return Unavailable(
                reason=f'connecting to {address} failed: {error}'
            )
        set_socket_options(websocket.socket)
        connection = _PeerConnection(
            websocket=websocket, link=LinkRecord(opened_at=self._monotonic())
        )
        self._connection_by_address[address] = connection
        gevent.spawn(self._read_responses, address, connection)
        return connection

    def _read_responses(
        self, address: str, connection: _PeerConnection
    ) -> None:
        end = LinkEnd.CLOSED_BY_PEER
        reason = ''
        try:
            for frame in connection.websocket:
                connection.link.received_at = self._monotonic()
                self._mark_reached(address)
                response = cbor2.loads(frame)
                pending_response = connection.pending_response_by_number.get(
                    response[_NUMBER_KEY]
                )
                if pending_response is not None:
                    pending_response.set(response[_BODY_KEY])
        except _CONNECTION_ERRORS as error:
            end = classify_link_end(error)
            reason = repr(error)
        self._discard(address, connection, end, reason)

    def _mark_unreachable(self, address: str, reason: str) -> None:
        if address in self._unreachable_since_by_address:
            return
        self._unreachable_since_by_address[address] = self._monotonic()
        event('peer_unreachable', address=address, reason=reason)

    def _mark_reached(self, address: str) -> None:
        since = self._unreachable_since_by_address.pop(address, None)
        if since is not None:
            event(
                'peer_reached',
                address=address,
                unreachable_s=self._monotonic() - since,
            )

    def _discard(
        self,
        address: str,
        connection: _PeerConnection,
        end: LinkEnd,
        reason: str,
    ) -> None:
        if not connection.is_discarded:
            connection.is_discarded = True
            event(
                'peer_link_broken',
                address=address,
                cause=end.value,
                reason=reason,
                waiting=len(connection.pending_response_by_number),
                **connection.link.format_ages(self._monotonic()),
            )
        if self._connection_by_address.get(address) is connection:
            del self._connection_by_address[address]
        for pending_response in tuple(
            connection.pending_response_by_number.values()
        ):
            pending_response.set(
                Unavailable(
                    reason=f'connection to {address} was lost',
                    is_effect_possible=True,
                ),
            )
        connection.pending_response_by_number.clear()
        gevent.spawn(_close_socket, connection.websocket)


def _stop_listening(server: Server, guard_greenlet: gevent.Greenlet) -> None:
    guard_greenlet.kill(block=False)
    server.shutdown()


def _close_socket(websocket: Connection) -> None:
    try:
        websocket.close_socket()
    except (OSError, WebSocketException) as error:
        event('peer_link_close_failed', reason=error)


def _serve_connection(
    websocket: ServerConnection,
    handler: CallHandler,
    monotonic: Callable[[], MonotonicTime],
    link: LinkRecord | None = None,
) -> None:
    link = link or LinkRecord(opened_at=monotonic())
    calls = Group()
    call_count = 0
    remote = None
    end = LinkEnd.CLOSED_BY_PEER
    reason = ''
    try:
        # Read first: a closed socket no longer knows its remote address.
        remote = websocket.remote_address
        set_socket_options(websocket.socket)
        for frame in websocket:
            link.received_at = monotonic()
            call_count += 1
            if len(calls) >= _MAX_CALLS_UNDER_WAY:
                raise ConnectionAbortedError(f'{len(calls)} calls under way')
            calls.spawn(_handle_call, websocket, handler, frame)
    except (OSError, WebSocketException) as error:
        end = classify_link_end(error)
        reason = repr(error)
    event(
        'peer_link_closed',
        remote=remote,
        cause=end.value,
        reason=reason,
        calls=call_count,
        **link.format_ages(monotonic()),
    )


def _handle_call(
    websocket: ServerConnection,
    handler: CallHandler,
    frame: str | bytes,
) -> None:
    try:
        call = cbor2.loads(frame)
        body = handler(call[_NAME_KEY], call[_BODY_KEY])
        websocket.send(
            cbor2.dumps({_NUMBER_KEY: call[_NUMBER_KEY], _BODY_KEY: body})
        )
    except _MALFORMED_FRAME_ERRORS as error:
        event('peer_call_malformed', reason=repr(error))
    except (OSError, WebSocketException) as error:
        event('peer_answer_lost', reason=error)

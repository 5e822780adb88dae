"""Faults of the stand-ins of the row store and the workers."""

import socket
import struct
from collections import defaultdict
from collections.abc import Callable, Iterable
from contextvars import ContextVar
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from random import Random
from typing import Any

import gevent

from ragwortfield.http_api.wsgi import (
    Response,
    StartResponse,
    get_raw_path,
    send_response,
)
from ragwortfield.http_api.wsgi_server import HttpServer
from ragwortfield.types import Seconds

#: Interval at which a call that gets no response checks whether the fault is
#: over, in seconds.
_CHECK_INTERVAL_S: Seconds = 0.05
#: Time after which a connection without responses is reset, in seconds.
_SILENCE_S: Seconds = 60
#: Socket option value that makes ``close`` reset the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
#: Key in the WSGI environment of the socket of the connection.
_SOCKET_KEY = 'ragwortfield.socket'
#: Calls that change something.
_WRITE_PATHS = frozenset(
    ('/rows-tx', '/run-start', '/run-stop', '/pace', '/hold')
)

#: Local address of the connection on which the current call has arrived.
CALLED_HOST: ContextVar[str] = ContextVar('called_host', default='')


class FaultKind(StrEnum):
    """What happens to all calls of a server."""

    NONE = 'none'
    BUSY = 'busy'
    THROTTLED = 'many'
    RESET = 'reset'
    SILENT = 'silent'
    #: Calls wait for the end of the fault and are carried out then.
    HELD = 'held'
    #: The same, and responses wait for the end of the fault as well.
    PAUSED = 'paused'
    #: Calls are carried out and get no response.
    UNANSWERED = 'unanswered'


_STATUS_BY_FAULT = {
    FaultKind.BUSY: HTTPStatus.SERVICE_UNAVAILABLE,
    FaultKind.THROTTLED: HTTPStatus.TOO_MANY_REQUESTS,
}
_WAITING_KINDS = frozenset((FaultKind.HELD, FaultKind.PAUSED))


@dataclass(kw_only=True, slots=True)
class CallFaults:
    """
    Faults of the calls to a server; tests change them while it serves.

    :param kind: what happens to all calls.
    :param delay_s: time that each call takes, in seconds.
    :param jitter_s: longest time by which each call and each response is late,
        in seconds; they overtake each other.
    :param unanswered_share: share of the writes that are carried out and not
        answered.
    :param earliest_s: shortest time after which such a write is carried out, in
        seconds.
    :param latest_s: longest time after which such a write is carried out, in
        seconds; 0 for at once.
    :param silent_ports: ports of connections that get no responses any more.
    :param known_ports: ports of all connections so far.
    """

    kind: FaultKind = FaultKind.NONE
    delay_s: Seconds = 0
    jitter_s: Seconds = 0
    unanswered_share: float = 0
    earliest_s: Seconds = 0
    latest_s: Seconds = 0
    silent_ports: set[str] = field(default_factory=set)
    known_ports: set[str] = field(default_factory=set)

    def silence_connections(self) -> None:
        """Answer nothing any more on the connections that are open now."""
        self.silent_ports |= self.known_ports


class _SocketHandler(HttpServer.handler_class):
    """Handler that passes the socket of the connection to the application."""

    def get_environ(self) -> dict[str, Any]:
        """
        Create the WSGI environment, with the socket in it.

        :returns: the environment.
        """
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, *_error: Any) -> None:
        """Close the connection without a response, as it has been reset."""
        self.close_connection = True


class FaultyHttpServer(HttpServer):
    """HTTP server whose application may reset connections."""

    handler_class = _SocketHandler


class FaultyServer:
    """
    WSGI application that applies faults to another one.

    :param application: the server without faults.
    :param faults: the faults.
    :param random: decides which calls get no response.
    :param life: value that changes with each restart of the server; a write
        that is still under way at a restart is lost.
    """

    def __init__(
        self,
        *,
        application: Any,
        faults: CallFaults,
        random: Random,
        life: Callable[[], object],
    ) -> None:
        """Create the application."""
        self._application = application
        self._faults = faults
        self._random = random
        self._life = life

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Handle one call.

        :param environ: WSGI environment.
        :param start_response: WSGI function that starts the response.
        :returns: chunks of the response body.
        """
        self._faults.known_ports.add(environ['REMOTE_PORT'])
        if self._is_silent(environ):
            return self._stay_silent(environ)
        if self._faults.kind == FaultKind.RESET:
            return _reset_connection(environ)
        status = _STATUS_BY_FAULT.get(self._faults.kind)
        if status is not None:
            return send_response(
                Response(status=status, fields=(), body=b'{}'), start_response
            )
        if not self._is_sent_to_this_life():
            return _reset_connection(environ)
        path = get_raw_path(environ)
        if path in _WRITE_PATHS and self._is_unanswered():
            return self._carry_out_unanswered(environ, start_response)
        chunks = self._application(environ, start_response)
        if not self._is_answered_by_this_life():
            return _reset_connection(environ)
        if self._is_answer_lost(environ):
            return self._stay_silent(environ)
        return chunks

    def _is_silent(self, environ: dict[str, Any]) -> bool:
        if environ['REMOTE_PORT'] in self._faults.silent_ports:
            return True
        return self._faults.kind == FaultKind.SILENT

    def _is_answer_lost(self, environ: dict[str, Any]) -> bool:
        is_unanswered = self._faults.kind == FaultKind.UNANSWERED
        return is_unanswered or self._is_silent(environ)

    def _is_sent_to_this_life(self) -> bool:
        """Wait for delays and holds; return whether the server has lived on."""
        life = self._life()
        gevent.sleep(self._faults.delay_s + self._draw_jitter_s())
        while self._faults.kind in _WAITING_KINDS:
            gevent.sleep(_CHECK_INTERVAL_S)
        return life == self._life()

    def _draw_jitter_s(self) -> Seconds:
        return self._random.uniform(0, self._faults.jitter_s)

    def _is_answered_by_this_life(self) -> bool:
        """Wait during a pause; return whether the server has lived on."""
        life = self._life()
        gevent.sleep(self._draw_jitter_s())
        while self._faults.kind == FaultKind.PAUSED:
            gevent.sleep(_CHECK_INTERVAL_S)
        return life == self._life()

    def _is_unanswered(self) -> bool:
        return self._random.random() < self._faults.unanswered_share

    def _carry_out_unanswered(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        life = self._life()
        gevent.sleep(
            self._random.uniform(
                min(self._faults.earliest_s, self._faults.latest_s),
                self._faults.latest_s,
            )
        )
        if life == self._life():
            self._application(environ, start_response)
        self._faults.silent_ports.add(environ['REMOTE_PORT'])
        return self._stay_silent(environ)

    def _stay_silent(self, environ: dict[str, Any]) -> Iterable[bytes]:
        waited_s: Seconds = 0
        while waited_s < _SILENCE_S and self._is_answer_lost(environ):
            gevent.sleep(_CHECK_INTERVAL_S)
            waited_s += _CHECK_INTERVAL_S
        return _reset_connection(environ)


class CallerFaults:
    """
    WSGI application that applies the faults of each caller to another one.

    Callers are told apart by the local address of their connections.

    :param application: the server without these faults.
    :param random: decides which calls get no response.
    :param life: value that changes with each restart of the server.
    :ivar faults_by_host: faults of the calls to each local address.
    """

    def __init__(
        self, *, application: Any, random: Random, life: Callable[[], object]
    ) -> None:
        """Create the application."""
        self.faults_by_host: defaultdict[str, CallFaults] = defaultdict(
            CallFaults
        )
        self._application = application
        self._random = random
        self._life = life
        self._server_by_host: dict[str, FaultyServer] = {}

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """
        Handle one call.

        :param environ: WSGI environment.
        :param start_response: WSGI function that starts the response.
        :returns: chunks of the response body.
        """
        host = environ[_SOCKET_KEY].getsockname()[0]
        CALLED_HOST.set(host)
        if host not in self._server_by_host:
            self._server_by_host[host] = FaultyServer(
                application=self._application,
                faults=self.faults_by_host[host],
                random=self._random,
                life=self._life,
            )
        return self._server_by_host[host](environ, start_response)


def reset_on_close(connection: socket.socket) -> None:
    """
    Close a connection with a reset.

    :param connection: the connection.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    connection.close()


def _reset_connection(environ: dict[str, Any]) -> Iterable[bytes]:
    reset_on_close(environ[_SOCKET_KEY])
    raise ConnectionResetError('connection reset by a fault')

"""Links between instances, which can be cut one by one and one way."""

import struct
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.server import StreamServer
from gevent.socket import SHUT_WR, create_connection, socket

from ragwortfield.adapters.http_client import set_socket_options
from ragwortfield.platform.faulty_servers import (
    CallFaults,
    FaultKind,
    reset_on_close,
)
from ragwortfield.soak.address_view import AddressView, listen_on_loopback
from ragwortfield.types import Seconds

_CHUNK_BYTES = 65536
#: Interval at which a connection checks whether a cut is over, in seconds.
_CHECK_INTERVAL_S: Seconds = 0.02
_END_OF_HEADERS = b'\r\n\r\n'
#: Layout of websocket frames (RFC 6455, section 5.2).
_SHORT_HEAD_BYTES = 2
_MASK_BIT = 0x80
_MASK_BYTES = 4
_LENGTH_FORMAT_BY_CODE = {126: '!H', 127: '!Q'}

_Translate = Callable[[bytes], bytes]


@dataclass(kw_only=True, slots=True)
class FrameTranslator:
    """
    Translates the payloads of the websocket frames of a client.

    :param translate: translates a payload and keeps its length.
    """

    translate: _Translate
    _pending: bytes = b''
    _is_open: bool = False

    def feed(self, chunk: bytes) -> bytes:
        """
        Take bytes of the client.

        :param chunk: the next bytes of the connection.
        :returns: bytes to pass on; those of an incomplete frame wait.
        """
        self._pending += chunk
        passed = b''
        if not self._is_open:
            if _END_OF_HEADERS not in self._pending:
                return passed
            headers, _, rest = self._pending.partition(_END_OF_HEADERS)
            self._pending = rest
            self._is_open = True
            passed = headers + _END_OF_HEADERS
        frame = self._take_frame()
        while frame:
            passed += frame
            frame = self._take_frame()
        return passed

    def _take_frame(self) -> bytes:
        pending = self._pending
        if len(pending) < _SHORT_HEAD_BYTES:
            return b''
        code = pending[1] % _MASK_BIT
        head_bytes = _SHORT_HEAD_BYTES
        length = code
        length_format = _LENGTH_FORMAT_BY_CODE.get(code)
        if length_format is not None:
            head_bytes += struct.calcsize(length_format)
            if len(pending) < head_bytes:
                return b''
            length = struct.unpack_from(
                length_format, pending, _SHORT_HEAD_BYTES
            )[0]
        start = head_bytes + _MASK_BYTES
        end = start + length
        if len(pending) < end:
            return b''
        mask = pending[head_bytes:start]
        payload = self.translate(_apply_mask(pending[start:end], mask))
        self._pending = pending[end:]
        return pending[:start] + _apply_mask(payload, mask)


@dataclass(kw_only=True, slots=True, eq=False)
class PeerLinks:
    """
    Address of an instance, from which connections are passed on to it.

    Bytes of a connection that is cut wait. After ``SILENT`` the connection is
    reset; after ``HELD`` they are passed on. ``UNANSWERED`` holds back what the
    instance sends.

    :param view_by_host: views of all instances by their hosts.
    :param view: view of the instance; set before ``start`` returns an address.
    :param faults_by_host: faults of the connections of each caller, by the
        host under which it sees others.
    """

    view_by_host: dict[str, AddressView]
    view: AddressView | None = None
    faults_by_host: defaultdict[str, CallFaults] = field(
        default_factory=lambda: defaultdict(CallFaults),
    )
    _server: StreamServer | None = None

    def start(self) -> int:
        """
        Accept connections.

        :returns: port of the server.
        """
        self._server = StreamServer(listen_on_loopback(), self._serve)
        self._server.start()
        return self._server.server_port

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.stop()

    def _serve(self, caller: socket, _address: object) -> None:
        host = caller.getsockname()[0]
        faults = self.faults_by_host[host]
        callee = self._connect(faults)
        if callee is None or self.view is None:
            reset_on_close(caller)
            return
        own_view = self.view
        caller_view = self.view_by_host[host]
        translator = FrameTranslator(
            translate=lambda payload: own_view.from_common(
                caller_view.to_common(payload)
            ),
        )
        set_socket_options(caller)
        set_socket_options(callee)
        pumps = [
            gevent.spawn(_pump, caller, callee, faults, translator.feed),
            gevent.spawn(_pump, callee, caller, faults, None),
        ]
        while not all(pump.ready() for pump in pumps):
            gevent.joinall(pumps, timeout=_CHECK_INTERVAL_S)
            is_broken = any(pump.ready() and not pump.value for pump in pumps)
            if is_broken or faults.kind == FaultKind.RESET:
                break
        gevent.killall(pumps)
        is_reset = not all(pump.value is True for pump in pumps)
        for connection in (caller, callee):
            if is_reset:
                reset_on_close(connection)
            else:
                connection.close()

    def _connect(self, faults: CallFaults) -> socket | None:
        if not _wait_until_passing(faults, is_answer=False):
            return None
        if self.view is None:
            return None
        host, _, port = self.view.own_address.partition(':')
        try:
            return create_connection((host, int(port)))
        except OSError:
            return None


def _pump(
    source: socket,
    sink: socket,
    faults: CallFaults,
    translate: _Translate | None,
) -> bool:
    """Pass bytes on; return whether the connection ended in good order."""
    try:
        while True:
            chunk = source.recv(_CHUNK_BYTES)
            if not _wait_until_passing(faults, is_answer=translate is None):
                return False
            if not chunk:
                sink.shutdown(SHUT_WR)
                return True
            sink.sendall(translate(chunk) if translate else chunk)
    except OSError:
        return False


def _wait_until_passing(faults: CallFaults, *, is_answer: bool) -> bool:
    """Wait for the end of a cut; return whether the connection goes on."""
    blocking = {FaultKind.SILENT, FaultKind.HELD}
    if is_answer:
        blocking.add(FaultKind.UNANSWERED)
    is_dropped = False
    while faults.kind in blocking:
        is_dropped = faults.kind != FaultKind.HELD
        gevent.sleep(_CHECK_INTERVAL_S)
    return not is_dropped and faults.kind != FaultKind.RESET


def _apply_mask(payload: bytes, mask: bytes) -> bytes:
    repeats = len(payload) // _MASK_BYTES + 1
    mask_number = int.from_bytes((mask * repeats)[: len(payload)])
    masked = int.from_bytes(payload) ^ mask_number
    return masked.to_bytes(len(payload))

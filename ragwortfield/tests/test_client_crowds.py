"""Crowds that fill a process, reset their connections, or find it in trouble.

Each test checks what does not depend on the speed of the machine, as those of
``test_abusive_clients`` do.
"""

import base64
import signal
import socket
import struct
from contextlib import suppress
from itertools import repeat

import gevent
from gevent.pool import Group

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.testing.scheduler_deployment import PREFIX
from ragwortfield.tests.client_crowd_case import (
    CROWD,
    LIMITS,
    MAKE_PIECES_BY_KIND,
    MAX_LEFT_DESCRIPTORS,
    ClientCrowdTestCase,
    encode_head,
    encode_sized_head,
)
from ragwortfield.tests.scheduler_process_case import TIMEOUT_S

#: Connections to callers that fill a process of 64 MiB, which serves 320.
_FULL_CROWD = 400
#: Connections of each client that comes again when it was refused.
_RECONNECTIONS = 5
#: A pause that is longer than a test.
_LONG_MS = 600_000
#: A read that waits for eleven days if the store is away.
_PATIENT_READ = (
    b'GET %b%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n'
    b'X-Ragwortfield-Deadline-Ms: 999999999\r\n\r\n'
)
_STATUS_UNAVAILABLE = 503
#: Connections to the health address; more than it serves at a time.
_HEALTH_CROWD = 80
#: Size of the receive buffer of a client that reads nothing.
_SMALL_BUFFER_BYTES = 2048
#: Requests for metrics of a client that reads no answer.
_UNREAD_ANSWERS = 20
_METRICS_REQUEST = b'GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n'
_UPGRADE = (
    b'GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: %b\r\n\r\n' % base64.b64encode(b'0123456789abcdef')
)
#: Largest message of a peer; one that is sent stops just short of its end.
_FRAME_BYTES = 262144
_INCOMPLETE_FRAME = b'\x82\xff%b\0\0\0\0%b' % (
    struct.pack('!Q', _FRAME_BYTES),
    b'a' * (_FRAME_BYTES - 1),
)
_PEER_HEAD_FIELD = b'X-A: %b\r\n' % (b'a' * 8000)
#: Requests of ordinary callers, each on a connection of its own.
_ORDINARY_REQUESTS = 20


def _read_patiently(number):
    return (_PATIENT_READ % (PREFIX.encode(), number),)


class CrowdAfterCrowdTest(ClientCrowdTestCase):
    # Guards against connections of a crowd that has gone, which are kept until
    # all that it sent is decoded, and so fill the process with the next crowds.
    def test_one_crowd_after_the_other_is_forgotten(self):
        for make_pieces in MAKE_PIECES_BY_KIND.values():
            self.send_crowd(make_pieces)
            self.reset()
        self.assert_bounded()

    def test_the_same_crowd_again_and_again_is_forgotten(self):
        for _ in range(6):
            self.send_crowd(MAKE_PIECES_BY_KIND['tiny chunks'])
            self.reset()
        self.assert_bounded()

    # Guards against a process that has no time or place for others while a
    # crowd comes back at once after each refusal.
    def test_crowd_that_returns_after_each_refusal_is_bounded(self):
        def come_again(number):
            pieces = MAKE_PIECES_BY_KIND['body'](number)
            for _ in range(_RECONNECTIONS):
                self.exchange(pieces)

        crowd = Group()
        for number in range(CROWD):
            crowd.spawn(come_again, number)
        crowd.join(timeout=TIMEOUT_S)
        crowd.kill()
        self.assert_bounded()


class FullProcessTest(ClientCrowdTestCase):
    # Guards against connections that wait for this process, which are never
    # closed for others, so that each new one is closed instead.
    def test_full_crowds_are_bounded(self):
        for kind in ('tiny chunks', 'body in pieces', 'nothing'):
            self.send_crowd(MAKE_PIECES_BY_KIND[kind], _FULL_CROWD)
            self.assert_bounded()
            self.reset()

    # Guards against a full process that closes the newest connection, as it is
    # the only one that waits for its client.
    def test_ordinary_callers_are_answered_beside_a_full_crowd(self):
        make_pieces = MAKE_PIECES_BY_KIND['body in pieces']
        self.exchanges = 0
        crowd = Group()
        for number in range(_FULL_CROWD):
            crowd.spawn(self.return_for_ever, make_pieces(number))
        self.await_true(lambda: self.exchanges > _FULL_CROWD)
        unanswered = 0
        for number in range(_ORDINARY_REQUESTS):
            body = encode_job('sleep 0', (1,))
            connection = self.connect()
            with suppress(OSError):
                length = b'Content-Length: %d' % len(body)
                connection.sendall(encode_head(_FULL_CROWD + number, length))
                connection.sendall(body)
            unanswered += not self.read_status(connection)
        crowd.kill()
        self.assertEqual(unanswered, 0)
        self.reset()
        self.assert_bounded()

    def return_for_ever(self, pieces):
        while True:
            self.exchange(pieces)
            self.exchanges += 1


class OutageTest(ClientCrowdTestCase):
    def setUp(self):
        super().setUp()
        self.deployment.store.is_down = True
        self.await_true(lambda: self.read_once() == _STATUS_UNAVAILABLE)

    def read_once(self):
        """Return the status of one ordinary read; 0 without an answer."""
        response = self.deployment.call(
            self.instance, 'GET', f'{PREFIX}{0xB0000000:016x}'
        )
        return 0 if response is None else response.status

    # Guards against reads that wait for the store for as long as their clients
    # say, and keep ordinary callers out meanwhile.
    def test_patient_reads_leave_place_for_others(self):
        self.send_crowd(_read_patiently, _FULL_CROWD)
        self.assertTrue(
            self.happens(lambda: self.read_once() == _STATUS_UNAVAILABLE)
        )
        self.deployment.store.is_down = False
        self.reset()
        self.assert_bounded()

    # Guards against reads that go on after their clients have left.
    def test_reads_end_with_their_clients(self):
        self.send_crowd(_read_patiently)
        self.reset()
        left = self.idle_descriptors + MAX_LEFT_DESCRIPTORS
        self.assertTrue(
            self.happens(lambda: self.count_descriptors() <= left),
            f'{self.count_descriptors()} descriptors, expected {left}',
        )
        self.deployment.store.is_down = False
        self.assert_bounded()

    def test_bodies_in_an_outage_are_bounded(self):
        for kind in ('body', 'tiny chunks', 'endless head'):
            self.send_crowd(MAKE_PIECES_BY_KIND[kind])
        self.deployment.store.is_down = False
        self.assert_bounded()

    # Guards against a planned stop that waits for a place in a full process,
    # until the platform kills it.
    def test_planned_stop_of_a_full_process_ends(self):
        self.send_crowd(_read_patiently, _FULL_CROWD)
        self.instance.process.send_signal(signal.SIGTERM)
        self.await_true(lambda: self.instance.process.poll() is not None)
        self.assertEqual(self.instance.process.returncode, 0)


class StopTest(ClientCrowdTestCase):
    limits = {
        **LIMITS,
        'header_timeout_ms': _LONG_MS,
        'idle_timeout_ms': _LONG_MS,
    }

    # Guards against a planned stop that waits for requests without end.
    def test_planned_stop_beside_a_crowd_ends(self):
        self.send_crowd(MAKE_PIECES_BY_KIND['tiny chunks'])
        self.send_crowd(lambda number: (encode_sized_head(number)[:-1],))
        self.instance.process.send_signal(signal.SIGTERM)
        self.send_crowd(MAKE_PIECES_BY_KIND['body'])
        self.await_true(lambda: self.instance.process.poll() is not None)
        self.assertEqual(self.instance.process.returncode, 0)


class HealthAddressTest(ClientCrowdTestCase):
    # Guards against clients that keep the load balancer from its checks.
    def test_health_address_withstands_each_kind(self):
        for kind, make_pieces in MAKE_PIECES_BY_KIND.items():
            with self.subTest(kind=kind):
                self.send_crowd(
                    make_pieces, _HEALTH_CROWD, self.instance.health
                )
                self.await_metrics()
                self.reset()
        self.assert_bounded()


class UnreadMetricsTest(ClientCrowdTestCase):
    limits = {**LIMITS, 'idle_timeout_ms': _LONG_MS}

    # Guards against answers that nobody reads, which keep the load balancer
    # out for as long as a client may pause.
    def test_metrics_that_nobody_reads_leave_place(self):
        for _ in range(_HEALTH_CROWD):
            connection = socket.socket()
            self.connections.append(connection)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
            host, _, port = self.instance.health.rpartition(':')
            connection.connect((host, int(port)))
            with suppress(OSError):
                connection.sendall(_METRICS_REQUEST * _UNREAD_ANSWERS)
        self.await_metrics()
        self.reset()
        self.assert_bounded()


class PeerPortTest(ClientCrowdTestCase):
    """Crowds at the port on which instances call each other."""

    # Guards against a process that runs out of memory over heads, which are
    # kept until a handshake ends.
    def test_heads_without_end_are_bounded(self):
        self.send_crowd(
            lambda _number: (
                b'GET / HTTP/1.1\r\n',
                *repeat(_PEER_HEAD_FIELD, 126),
            ),
            address=self.instance.peers,
        )
        self.assert_bounded()

    # Guards against a process that runs out of memory over messages that stop
    # just short of their end.
    def test_incomplete_messages_are_bounded(self):
        self.send_crowd(
            lambda _number: (_UPGRADE, _INCOMPLETE_FRAME),
            address=self.instance.peers,
        )
        gevent.sleep(1)
        self.assert_bounded()

    def test_connections_that_send_nothing_are_ended(self):
        self.send_crowd(lambda _number: (), address=self.instance.peers)
        self.assert_bounded()

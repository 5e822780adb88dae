"""Clients outside the limits against one process, one kind of them a test.

Each test starts a small crowd that stays connected, and checks what does not
depend on the speed of the machine: the process lives, its memory stays under a
bound, it ends the connections of the crowd, and one ordinary request is
answered.
"""

import os
import signal
import socket
import time
from contextlib import suppress
from itertools import repeat
from pathlib import Path

import gevent
from gevent.pool import Group

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.settings.instance import split_address
from ragwortfield.testing.scheduler_deployment import (
    PREFIX,
    SchedulerDeployment,
)
from ragwortfield.tests.scheduler_process_case import (
    TIMEOUT_S,
    SchedulerProcessTestCase,
)

#: Connections of a crowd.
_CROWD = 100
#: Largest body, and the part of it that a client sends which stops just short
#: of its end, in bytes.
_BODY_BYTES = 262144
_SENT_BYTES = _BODY_BYTES - 1
#: Limits in the configuration: times are short, so that the test is.
_LIMITS = {
    'max_header_bytes': 8192,
    'max_body_bytes': _BODY_BYTES,
    'header_timeout_ms': 1000,
    'idle_timeout_ms': 1500,
}
#: Memory that the settings name; all bounds of the process follow from it.
_MEMORY_MB = 64
#: Most memory that a crowd may add to that of the idle process, in KiB. The
#: bodies of a crowd alone have 25,600.
_MAX_GROWTH_KB = 16_384
#: Most descriptors that a crowd may leave open.
_MAX_LEFT_DESCRIPTORS = 12
#: Bytes after which a client without end stops, if nobody ends it before.
_ENDLESS_BYTES = 2_000_000
_PIECE_BYTES = 1024
_CHUNK_BYTES = 32768
#: Connections to the health address; more than it serves at a time.
_HEALTH_CROWD = 80
_SUSPENSION_S = 3
_DRIP_S = 0.2
_STATUS_OK = 200
_STATUS_GONE = 410
_QUERY = b'GET %b HTTP/1.1\r\nHost: 127.0.0.1\r\n' % PREFIX.encode()
_SUBMISSION = b'POST %b%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n'


def _head(number, *fields):
    start = _SUBMISSION % (PREFIX.encode(), number)
    return start + b''.join(b'%b\r\n' % field for field in fields) + b'\r\n'


def _sized_head(number):
    return _head(number, b'Content-Length: %d' % _BODY_BYTES)


def _chunked_head(number):
    return _head(number, b'Transfer-Encoding: chunked')


def _padded_job():
    job = encode_job('sleep 0', (1,))
    return job + b' ' * (_BODY_BYTES - len(job))


class AbusiveClientTest(SchedulerProcessTestCase):
    """One process with lowered limits."""

    def setUp(self):
        self.deployment = SchedulerDeployment(
            limits=_LIMITS, tables={'clients': {'memory_mb': _MEMORY_MB}}
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start(instances=1, workers=1)
        self.instance = self.deployment.instance_by_name['entry-0']
        self.connections = []
        self.addCleanup(self.close)
        self.assertTrue(self.answers(0))
        self.measure_idle()

    def measure_idle(self):
        self.proc = Path('/proc') / str(self.instance.process.pid)
        # Resets the peak of the resident memory, which the start has raised.
        (self.proc / 'clear_refs').write_text('5', encoding='ascii')
        self.idle_kb = self.read_kb('VmRSS')
        self.idle_descriptors = self.count_descriptors()

    def close(self):
        for connection in self.connections:
            connection.close()

    def read_kb(self, name):
        status = (self.proc / 'status').read_text(encoding='ascii')
        line = status.partition(f'{name}:')[2]
        return int(line.split()[0])

    def count_descriptors(self):
        return len(os.listdir(self.proc / 'fd'))

    def connect(self, address=''):
        connection = socket.create_connection(
            split_address(address or self.instance.callers), TIMEOUT_S
        )
        self.connections.append(connection)
        return connection

    def send(self, pieces, address=''):
        """Send pieces until they end or the process ends the connection."""
        with suppress(OSError):
            connection = self.connect(address)
            for piece in pieces:
                connection.sendall(piece)

    def send_crowd(self, make_pieces, count=_CROWD, address=''):
        """Let clients send at once; all of them stay connected."""
        crowd = Group()
        for number in range(count):
            crowd.spawn(self.send, make_pieces(number), address)
        crowd.join(timeout=TIMEOUT_S)
        # Clients whose connection is neither read nor ended stay connected.
        crowd.kill()

    def answers(self, number):
        """Submit one ordinary job, as often as it takes."""
        job_id = f'{0xA0000000 + number:016x}'
        body = encode_job('sleep 0', (1,))

        def submit():
            response = self.deployment.call(
                self.instance, 'POST', f'{PREFIX}{job_id}', body
            )
            return response is not None and response.status == _STATUS_OK

        return self.happens(submit)

    def happens(self, condition):
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > end:
                return False
            gevent.sleep(0.05)
        return True

    def assert_withstands(self, make_pieces, count=_CROWD):
        self.send_crowd(make_pieces, count)
        self.assert_bounded()

    def assert_bounded(self):
        problems = []
        if not self.answers(1):
            problems.append('no answer while the crowd is connected')
        allowed = self.idle_descriptors + _MAX_LEFT_DESCRIPTORS
        if not self.happens(lambda: self.count_descriptors() <= allowed):
            problems.append(
                f'{self.count_descriptors()} descriptors, expected {allowed}'
            )
        self.assertIsNone(self.instance.process.poll())
        growth_kb = self.read_kb('VmHWM') - self.idle_kb
        if growth_kb > _MAX_GROWTH_KB:
            problems.append(
                f'memory grew by {growth_kb} KiB, expected {_MAX_GROWTH_KB}'
            )
        if not self.answers(2):
            problems.append('no answer afterwards')
        self.assertEqual(problems, [])
        self.assertIsNone(self.instance.process.poll())

    def assert_refused(self, request):
        connection = self.connect()
        connection.sendall(request)
        self.assertIn(self.read_status(connection), {b'431', b'400'})

    def read_status(self, connection):
        """Return the status of the answer; empty if there is none."""
        with suppress(OSError):
            line = connection.makefile('rb').readline()
            return line.split(b' ')[1] if line else b''
        return b''


class HeadTest(AbusiveClientTest):
    # Guards against heads of any size that are kept in memory.
    def test_head_over_the_limit_is_refused(self):
        field = b'X-A: ' + b'a' * _LIMITS['max_header_bytes']
        self.assert_refused(b'%b%b\r\n\r\n' % (_QUERY, field))
        self.assert_withstands(
            lambda number: (
                _head(number, field, field, field, field, field, field),
            )
        )

    # Guards against a process that runs out of memory or time over field after
    # field of one head.
    def test_heads_without_end_are_ended(self):
        field = b'X-A: %b\r\n' % (b'a' * 60_000)
        count = _ENDLESS_BYTES // len(field)
        self.assert_withstands(
            lambda number: (
                _SUBMISSION % (PREFIX.encode(), number),
                *repeat(field, count),
            )
        )

    # Guards against connections that stay open for a head that never ends.
    def test_heads_in_drips_are_ended(self):
        def drip(number):
            yield _SUBMISSION % (PREFIX.encode(), number)
            for _ in range(25):
                gevent.sleep(_DRIP_S)
                yield b'X'

        self.assert_withstands(drip)

    def test_lines_without_content_are_ended(self):
        empty_lines = b'\r\n' * _PIECE_BYTES
        self.assert_withstands(
            lambda _number: repeat(empty_lines, _ENDLESS_BYTES // _PIECE_BYTES)
        )

    def test_very_many_fields_are_refused(self):
        fields = (b'a:',) * 1000
        self.assert_refused(_QUERY + b'a:\r\n' * 1000 + b'\r\n')
        self.assert_withstands(lambda number: (_head(number, *fields * 10),))

    # Guards against connections without a request that keep others out.
    def test_connections_that_send_nothing_are_ended(self):
        self.assert_withstands(lambda _number: ())


class BodyTest(AbusiveClientTest):
    # Guards against a process that runs out of memory over bodies of legal
    # size that stay incomplete.
    def test_bodies_one_byte_short_are_bounded(self):
        body = b'a' * _SENT_BYTES
        self.assert_withstands(lambda number: (_sized_head(number), body))

    def test_bodies_in_pieces_one_byte_short_are_bounded(self):
        piece = b'a' * _PIECE_BYTES
        count = _SENT_BYTES // _PIECE_BYTES
        self.assert_withstands(
            lambda number: (_sized_head(number), *repeat(piece, count))
        )

    def test_large_chunks_are_bounded(self):
        chunk = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, b'a' * _CHUNK_BYTES)
        last_chunk = b'%x\r\n%b' % (_CHUNK_BYTES, b'a' * (_CHUNK_BYTES - 1))
        count = _BODY_BYTES // _CHUNK_BYTES - 1
        self.assert_withstands(
            lambda number: (
                _chunked_head(number),
                *repeat(chunk, count),
                last_chunk,
            )
        )

    # Guards against a process that has no time for others while it reads one
    # chunk after the other.
    def test_tiny_chunks_are_bounded(self):
        chunks = b'1\r\na\r\n' * (_SENT_BYTES // 4)
        self.assert_withstands(lambda number: (_chunked_head(number), chunks))

    # Guards against chunk heads that are read without a bound.
    def test_chunk_extensions_without_end_are_ended(self):
        chunk = b'1;%b\r\na\r\n' % (b'a' * 8000)
        count = _ENDLESS_BYTES // len(chunk)
        self.assert_withstands(
            lambda number: (_chunked_head(number), *repeat(chunk, count)),
            count=_CROWD // 4,
        )

    # Guards against trailers that are read without a bound.
    def test_trailers_without_end_are_ended(self):
        trailer = b'X-A: %b\r\n' % (b'a' * 8000)
        count = _ENDLESS_BYTES // len(trailer)
        self.assert_withstands(
            lambda number: (
                _chunked_head(number),
                b'0\r\n',
                *repeat(trailer, count),
            ),
            count=_CROWD // 4,
        )

    # Guards against a refusal of requests that are inside the limits.
    def test_largest_bodies_are_served_in_calm(self):
        body = _padded_job()
        chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
        for number, pieces in enumerate(
            (
                (_sized_head(1), body),
                (_sized_head(2), *(bytes((byte,)) for byte in body[:200])),
                (_chunked_head(3), chunks, b'0\r\n\r\n'),
            )
        ):
            connection = self.connect()
            for piece in pieces:
                connection.sendall(piece)
            if number == 1:
                connection.sendall(body[200:])
            self.assertEqual(self.read_status(connection), b'200')

    # Guards against a refusal that is not final: a job that its caller was told
    # has not run, and that is stored all the same.
    def test_refused_jobs_are_not_stored(self):
        body = _padded_job()
        refused = set()

        def submit(number):
            connection = self.connect()
            with suppress(OSError):
                connection.sendall(_sized_head(number))
                connection.sendall(body)
            if self.read_status(connection) == b'503':
                refused.add(number)

        crowd = Group()
        for number in range(_CROWD):
            crowd.spawn(submit, number)
        crowd.join(timeout=TIMEOUT_S)
        self.assertTrue(self.answers(1))
        for number in refused:
            response = self.deployment.call(
                self.instance, 'GET', f'{PREFIX}{number:016x}'
            )
            self.assertEqual(response.status, _STATUS_GONE)


class AnswerTest(AbusiveClientTest):
    # Guards against answers that are kept for clients that never read them.
    def test_answers_that_nobody_reads_are_ended(self):
        requests = b'%b\r\n' % _QUERY * 20
        self.assert_withstands(
            lambda _number: repeat(requests, 1000), count=_CROWD // 4
        )

    # Guards against clients that keep the load balancer from its checks.
    def test_health_address_answers_beside_idle_connections(self):
        self.send_crowd(
            lambda _number: (), _HEALTH_CROWD, address=self.instance.health
        )
        self.await_true(
            lambda: 'members' in self.deployment.fetch_metrics(self.instance)
        )
        self.assert_bounded()


class TakeoverTest(AbusiveClientTest):
    # Guards against a successor that is slower to serve, or ends as well, when
    # the clients of a lost owner come to it.
    def test_successor_withstands_the_clients_of_a_lost_owner(self):
        successor = self.deployment.start_instance('entry-1')
        self.deployment.wait_until_serving(successor)
        body = b'a' * _SENT_BYTES

        def make_pieces(number):
            return (_sized_head(number), body)

        self.send_crowd(make_pieces)
        self.instance.process.kill()
        self.instance = successor
        self.measure_idle()
        self.assert_withstands(make_pieces)


class TimeTest(AbusiveClientTest):
    # Guards against time limits that go on while the process is suspended.
    def test_suspension_ends_no_request(self):
        # The answers show that head and body were read to their ends; they do
        # not depend on the store, which may count as away after a suspension.
        query = b'GET /unknown/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n'
        submission = _head(5, b'Content-Length: 6') + b'no job'
        in_head = self.connect()
        in_head.sendall(query[:30])
        in_body = self.connect()
        in_body.sendall(submission[:-3])
        gevent.sleep(_DRIP_S)
        self.instance.process.send_signal(signal.SIGSTOP)
        gevent.sleep(_SUSPENSION_S)
        self.instance.process.send_signal(signal.SIGCONT)
        in_head.sendall(query[30:])
        in_body.sendall(submission[-3:])
        self.assertEqual(self.read_status(in_head), b'404')
        self.assertIn(b'JSON is malformed', in_body.recv(_PIECE_BYTES))

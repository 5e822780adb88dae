"""Base class of tests with crowds of clients outside the limits."""

import os
import socket
import time
from contextlib import suppress
from itertools import repeat
from pathlib import Path

import gevent
from gevent.pool import Group

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.platform.faulty_servers import reset_on_close
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
CROWD = 100
#: Largest body, and the part of it that a client sends which stops just short
#: of its end, in bytes.
BODY_BYTES = 262144
SENT_BYTES = BODY_BYTES - 1
#: Limits in the configuration: times are short, so that the test is.
LIMITS = {
    'max_header_bytes': 8192,
    'max_body_bytes': BODY_BYTES,
    'header_timeout_ms': 1000,
    'idle_timeout_ms': 1500,
}
#: Memory that the settings name; all bounds of the process follow from it.
_MEMORY_MB = 64
#: Most memory that a crowd may add to that of the idle process, in KiB. The
#: bodies of a crowd alone have 25,600.
_MAX_GROWTH_KB = 16_384
#: Most descriptors that a crowd may leave open.
MAX_LEFT_DESCRIPTORS = 12
#: Bytes after which a client without end stops, if nobody ends it before.
ENDLESS_BYTES = 2_000_000
PIECE_BYTES = 1024
CHUNK_BYTES = 32768
_LONG_LINE = b'X-A: %b\r\n' % (b'a' * 8000)
_STATUS_OK = 200
_SUBMISSION = b'POST %b%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n'


def encode_head(number, *fields):
    """Encode the head of a submission."""
    start = encode_head_start(number)
    return start + b''.join(b'%b\r\n' % field for field in fields) + b'\r\n'


def encode_head_start(number):
    """Encode the head of a submission up to its further fields."""
    return _SUBMISSION % (PREFIX.encode(), number)


def encode_sized_head(number):
    """Encode the head of a submission with the largest body."""
    return encode_head(number, b'Content-Length: %d' % BODY_BYTES)


def encode_chunked_head(number):
    """Encode the head of a submission with a chunked body."""
    return encode_head(number, b'Transfer-Encoding: chunked')


def make_body_in_pieces(number):
    """Make a body in pieces that stops just short of its end."""
    piece = b'a' * PIECE_BYTES
    return (encode_sized_head(number), *repeat(piece, SENT_BYTES // 1024))


def make_large_chunks(number):
    """Make a body in large chunks that stops just short of its end."""
    chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, b'a' * CHUNK_BYTES)
    last_chunk = b'%x\r\n%b' % (CHUNK_BYTES, b'a' * (CHUNK_BYTES - 1))
    count = BODY_BYTES // CHUNK_BYTES - 1
    return (encode_chunked_head(number), *repeat(chunk, count), last_chunk)


def make_tiny_chunks(number):
    """Make a body in chunks of one byte that stops short of its end."""
    return (encode_chunked_head(number), b'1\r\na\r\n' * (SENT_BYTES // 4))


#: Makes the pieces that a client sends, by the kind of the client.
MAKE_PIECES_BY_KIND = {
    'endless head': lambda number: (
        encode_head_start(number),
        *repeat(_LONG_LINE, ENDLESS_BYTES // len(_LONG_LINE)),
    ),
    'empty lines': lambda _number: repeat(
        b'\r\n' * PIECE_BYTES, ENDLESS_BYTES // PIECE_BYTES
    ),
    'nothing': lambda _number: (),
    'body': lambda number: (encode_sized_head(number), b'a' * SENT_BYTES),
    'body in pieces': make_body_in_pieces,
    'large chunks': make_large_chunks,
    'tiny chunks': make_tiny_chunks,
    'chunk extensions': lambda number: (
        encode_chunked_head(number),
        *repeat(b'1;%b\r\na\r\n' % (b'a' * 8000), 250),
    ),
    'trailers': lambda number: (
        encode_chunked_head(number),
        b'0\r\n',
        *repeat(_LONG_LINE, ENDLESS_BYTES // len(_LONG_LINE)),
    ),
}


class ClientCrowdTestCase(SchedulerProcessTestCase):
    """One process with lowered limits."""

    limits = LIMITS

    def setUp(self):
        self.deployment = SchedulerDeployment(
            limits=self.limits, tables={'clients': {'memory_mb': _MEMORY_MB}}
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

    def reset(self):
        """Reset all connections of the crowd."""
        for connection in self.connections:
            with suppress(OSError):
                reset_on_close(connection)
        self.connections.clear()

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

    def exchange(self, pieces):
        """Send pieces, await the answer, and close the connection."""
        connection = self.connect()
        with suppress(OSError):
            for piece in pieces:
                connection.sendall(piece)
        self.read_status(connection)
        self.connections.remove(connection)
        connection.close()

    def send_crowd(self, make_pieces, count=CROWD, address=''):
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

    def assert_withstands(self, make_pieces, count=CROWD):
        self.send_crowd(make_pieces, count)
        self.assert_bounded()

    def assert_bounded(self):
        problems = []
        if not self.answers(1):
            problems.append('no answer while the crowd is connected')
        allowed = self.idle_descriptors + MAX_LEFT_DESCRIPTORS
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

    def await_metrics(self):
        self.await_true(
            lambda: 'members' in self.deployment.fetch_metrics(self.instance)
        )

    def read_status(self, connection):
        """Return the status of the answer; empty if there is none."""
        with suppress(OSError):
            line = connection.makefile('rb').readline()
            return line.split(b' ')[1] if line else b''
        return b''

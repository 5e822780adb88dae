"""Clients outside the limits against one process, one kind of them a test.

Each test starts a small crowd that stays connected, and checks what does not
depend on the speed of the machine: the process lives, its memory stays under a
bound, it ends the connections of the crowd, and one ordinary request is
answered.
"""

import signal
from contextlib import suppress
from itertools import repeat

import gevent
from gevent.pool import Group

from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.testing.scheduler_deployment import PREFIX
from ragwortfield.tests.client_crowd_case import (
    BODY_BYTES,
    CROWD,
    ENDLESS_BYTES,
    LIMITS,
    PIECE_BYTES,
    SENT_BYTES,
    ClientCrowdTestCase,
    encode_chunked_head,
    encode_head,
    encode_head_start,
    encode_sized_head,
    make_body_in_pieces,
    make_large_chunks,
    make_tiny_chunks,
)
from ragwortfield.tests.scheduler_process_case import TIMEOUT_S

#: Connections to the health address; more than it serves at a time.
_HEALTH_CROWD = 80
_SUSPENSION_S = 3
_DRIP_S = 0.2
_STATUS_GONE = 410
_QUERY = b'GET %b HTTP/1.1\r\nHost: 127.0.0.1\r\n' % PREFIX.encode()


def _padded_job():
    job = encode_job('sleep 0', (1,))
    return job + b' ' * (BODY_BYTES - len(job))


class HeadTest(ClientCrowdTestCase):
    def assert_refused(self, request):
        connection = self.connect()
        connection.sendall(request)
        self.assertIn(self.read_status(connection), {b'431', b'400'})

    # Guards against heads of any size that are kept in memory.
    def test_head_over_the_limit_is_refused(self):
        field = b'X-A: ' + b'a' * LIMITS['max_header_bytes']
        self.assert_refused(b'%b%b\r\n\r\n' % (_QUERY, field))
        self.assert_withstands(
            lambda number: (
                encode_head(number, field, field, field, field, field, field),
            )
        )

    # Guards against a process that runs out of memory or time over field after
    # field of one head.
    def test_heads_without_end_are_ended(self):
        field = b'X-A: %b\r\n' % (b'a' * 60_000)
        count = ENDLESS_BYTES // len(field)
        self.assert_withstands(
            lambda number: (
                encode_head_start(number),
                *repeat(field, count),
            )
        )

    # Guards against connections that stay open for a head that never ends.
    def test_heads_in_drips_are_ended(self):
        def drip(number):
            yield encode_head_start(number)
            for _ in range(25):
                gevent.sleep(_DRIP_S)
                yield b'X'

        self.assert_withstands(drip)

    def test_lines_without_content_are_ended(self):
        empty_lines = b'\r\n' * PIECE_BYTES
        self.assert_withstands(
            lambda _number: repeat(empty_lines, ENDLESS_BYTES // PIECE_BYTES)
        )

    def test_very_many_fields_are_refused(self):
        fields = (b'a:',) * 1000
        self.assert_refused(_QUERY + b'a:\r\n' * 1000 + b'\r\n')
        self.assert_withstands(
            lambda number: (encode_head(number, *fields * 10),)
        )

    # Guards against connections without a request that keep others out.
    def test_connections_that_send_nothing_are_ended(self):
        self.assert_withstands(lambda _number: ())


class BodyTest(ClientCrowdTestCase):
    # Guards against a process that runs out of memory over bodies of legal
    # size that stay incomplete.
    def test_bodies_one_byte_short_are_bounded(self):
        body = b'a' * SENT_BYTES
        self.assert_withstands(lambda number: (encode_sized_head(number), body))

    def test_bodies_in_pieces_one_byte_short_are_bounded(self):
        self.assert_withstands(make_body_in_pieces)

    def test_large_chunks_are_bounded(self):
        self.assert_withstands(make_large_chunks)

    # Guards against a process that has no time for others while it reads one
    # chunk after the other.
    def test_tiny_chunks_are_bounded(self):
        self.assert_withstands(make_tiny_chunks)

    # Guards against chunk heads that are read without a bound.
    def test_chunk_extensions_without_end_are_ended(self):
        chunk = b'1;%b\r\na\r\n' % (b'a' * 8000)
        count = ENDLESS_BYTES // len(chunk)
        self.assert_withstands(
            lambda number: (encode_chunked_head(number), *repeat(chunk, count)),
            count=CROWD // 4,
        )

    # Guards against trailers that are read without a bound.
    def test_trailers_without_end_are_ended(self):
        trailer = b'X-A: %b\r\n' % (b'a' * 8000)
        count = ENDLESS_BYTES // len(trailer)
        self.assert_withstands(
            lambda number: (
                encode_chunked_head(number),
                b'0\r\n',
                *repeat(trailer, count),
            ),
            count=CROWD // 4,
        )

    # Guards against a refusal of requests that are inside the limits.
    def test_largest_bodies_are_served_in_calm(self):
        body = _padded_job()
        chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
        for number, pieces in enumerate(
            (
                (encode_sized_head(1), body),
                (
                    encode_sized_head(2),
                    *(bytes((byte,)) for byte in body[:200]),
                ),
                (encode_chunked_head(3), chunks, b'0\r\n\r\n'),
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
                connection.sendall(encode_sized_head(number))
                connection.sendall(body)
            if self.read_status(connection) == b'503':
                refused.add(number)

        crowd = Group()
        for number in range(CROWD):
            crowd.spawn(submit, number)
        crowd.join(timeout=TIMEOUT_S)
        self.assertTrue(self.answers(1))
        for number in refused:
            response = self.deployment.call(
                self.instance, 'GET', f'{PREFIX}{number:016x}'
            )
            self.assertEqual(response.status, _STATUS_GONE)


class AnswerTest(ClientCrowdTestCase):
    # Guards against answers that are kept for clients that never read them.
    def test_answers_that_nobody_reads_are_ended(self):
        requests = b'%b\r\n' % _QUERY * 20
        self.assert_withstands(
            lambda _number: repeat(requests, 1000), count=CROWD // 4
        )

    # Guards against clients that keep the load balancer from its checks.
    def test_health_address_answers_beside_idle_connections(self):
        self.send_crowd(
            lambda _number: (), _HEALTH_CROWD, address=self.instance.health
        )
        self.await_metrics()
        self.assert_bounded()


class TakeoverTest(ClientCrowdTestCase):
    # Guards against a successor that is slower to serve, or ends as well, when
    # the clients of a lost owner come to it.
    def test_successor_withstands_the_clients_of_a_lost_owner(self):
        successor = self.deployment.start_instance('entry-1')
        self.deployment.wait_until_serving(successor)
        body = b'a' * SENT_BYTES

        def make_pieces(number):
            return (encode_sized_head(number), body)

        self.send_crowd(make_pieces)
        self.instance.process.kill()
        self.instance = successor
        self.measure_idle()
        self.assert_withstands(make_pieces)


class TimeTest(ClientCrowdTestCase):
    # Guards against time limits that go on while the process is suspended.
    def test_suspension_ends_no_request(self):
        # The answers show that head and body were read to their ends; they do
        # not depend on the store, which may count as away after a suspension.
        query = b'GET /unknown/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n'
        submission = encode_head(5, b'Content-Length: 6') + b'no job'
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
        self.assertIn(b'JSON is malformed', in_body.recv(PIECE_BYTES))

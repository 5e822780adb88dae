"""Bounds of clients: byte budget, time limits and chunked bodies."""

import unittest
from dataclasses import dataclass

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.core.client_limits import ClientLimits
from ragwortfield.http_api.chunked_body import ChunkDecoder, ChunkError
from ragwortfield.http_api.client_guard import ClientGuard, EndCause, Phase
from ragwortfield.platform.document_parsing import parse_catalogue

#: Largest requests of 1,200 bytes, so the budget is 300,000 bytes.
_LIMITS = ClientLimits(
    max_header_bytes=200,
    max_body_bytes=1000,
    header_timeout_s=3,
    idle_timeout_s=15,
)
_BUDGET_BYTES = 300_000
#: Part of the budget that large requests may use.
_LARGE_BYTES = 225_000
_STALLED_S = 2
_TICK_S = 0.25


@dataclass(kw_only=True, eq=False)
class FakeConnection:
    """Connection that remembers why it was ended."""

    phase: Phase
    phase_since: float
    progress_at: float
    remote: str = 'client'
    held_bytes: int = 0
    cause: EndCause = EndCause.NONE
    is_readable: bool = False
    was_reset: bool = False

    def end(self, cause):
        self.cause = cause

    def has_unread_bytes(self):
        return self.is_readable

    def is_reset(self):
        return self.was_reset


class GuardTest(unittest.TestCase):
    def setUp(self):
        self.guard = ClientGuard(
            limits=lambda: _LIMITS,
            budget_bytes=_BUDGET_BYTES,
            max_connections=20,
        )

    def add(self, phase=Phase.BODY, size=0):
        connection = FakeConnection(
            phase=phase,
            phase_since=self.guard.running_s,
            progress_at=self.guard.running_s,
        )
        self.guard.add(connection)
        if size:
            self.assertTrue(self.guard.charge(connection, size))
        return connection

    def run_for(self, duration_s):
        for _ in range(int(duration_s / _TICK_S)):
            self.guard.check(_TICK_S)

    # Guards against clients that are timed out because this process, or its
    # machine, was suspended.
    def test_suspensions_do_not_count(self):
        connection = self.add(Phase.HEAD)
        for _ in range(5):
            self.guard.check(100)
        self.assertEqual(connection.cause, EndCause.NONE)
        self.run_for(3)
        self.assertEqual(connection.cause, EndCause.TIMED_OUT)

    # Guards against clients that are timed out because this process is late
    # with reading what they have sent.
    def test_client_with_unread_bytes_is_not_timed_out(self):
        connection = self.add(Phase.HEAD)
        connection.is_readable = True
        self.run_for(20)
        self.assertEqual(connection.cause, EndCause.NONE)

    def test_each_phase_has_its_limit(self):
        limit_by_phase = {
            Phase.IDLE: 15,
            Phase.HEAD: 3,
            Phase.BODY: 15,
            Phase.DISCARD: 2,
            Phase.ANSWER: 15,
        }
        connections = [self.add(phase) for phase in Phase]
        self.run_for(1)
        for connection in connections:
            self.assertEqual(connection.cause, EndCause.NONE)
        for _ in range(80):
            self.run_for(_TICK_S)
            for connection in connections:
                limit_s = limit_by_phase.get(connection.phase, 1000)
                if self.guard.running_s <= limit_s:
                    self.assertEqual(connection.cause, EndCause.NONE)
        for connection in connections:
            self.assertEqual(
                connection.cause == EndCause.TIMED_OUT,
                connection.phase in limit_by_phase,
            )

    # Guards against requests that stop short of their end and keep the budget.
    def test_stalled_requests_make_space(self):
        stalled = self.add(size=_LARGE_BYTES)
        self.run_for(_STALLED_S)
        self.add(size=_LARGE_BYTES)
        self.assertEqual(stalled.cause, EndCause.BYTES)
        self.assertEqual(self.guard.held_bytes, _LARGE_BYTES)

    # Guards against large requests that end each other, so that none is served.
    def test_large_request_does_not_end_one_under_way(self):
        first = self.add(size=_LARGE_BYTES)
        second = self.add()
        self.assertFalse(self.guard.charge(second, 40_000))
        self.assertEqual(first.cause, EndCause.NONE)
        self.assertEqual(second.held_bytes, 0)
        self.assertEqual(self.guard.held_bytes, _LARGE_BYTES)

    # Guards against ordinary requests that are refused beside large ones.
    def test_small_requests_get_through(self):
        large = self.add(size=_LARGE_BYTES)
        small = [self.add(size=30_000) for _ in range(3)]
        self.assertEqual(large.cause, EndCause.BYTES)
        for connection in small:
            self.assertEqual(connection.cause, EndCause.NONE)

    def test_ended_requests_return_their_bytes(self):
        connection = self.add(size=1000)
        self.guard.remove(connection)
        self.assertEqual(self.guard.held_bytes, 0)
        self.assertEqual(self.guard.connections, set())

    # Guards against idle connections that keep new ones out.
    def test_longest_idle_connection_makes_place(self):
        first = self.add(Phase.IDLE)
        self.run_for(1)
        others = [self.add(Phase.IDLE) for _ in range(18)]
        self.assertEqual(first.cause, EndCause.CONNECTIONS)
        for connection in others:
            self.assertEqual(connection.cause, EndCause.NONE)

    # Guards against connections that wait for their turn, which keep others
    # out: the new connection alone waits for its client, and would be closed.
    def test_connection_in_turn_makes_place(self):
        in_turn = [self.add(Phase.TURN, size=1000) for _ in range(18)]
        newest = [self.add(Phase.IDLE) for _ in range(2)]
        self.assertIn(
            EndCause.CONNECTIONS, [connection.cause for connection in in_turn]
        )
        for connection in newest:
            self.assertEqual(connection.cause, EndCause.NONE)

    # Guards against connections of clients that have gone, which are kept until
    # all that they sent is handled.
    def test_reset_connection_does_not_wait_for_its_turn(self):
        connections = [self.add(Phase.TURN, size=1000) for _ in range(2)]
        connections[0].was_reset = True
        self.run_for(_TICK_S)
        self.assertEqual(connections[0].cause, EndCause.RESET)
        self.assertEqual(connections[1].cause, EndCause.NONE)
        self.assertEqual(self.guard.held_bytes, 1000)

    # Guards against a full process that accepts nothing any more, and so never
    # looks for a connection to close.
    def test_full_guard_makes_place_without_a_new_connection(self):
        connections = [self.add(Phase.BUSY) for _ in range(20)]
        connections[5].phase = Phase.TURN
        self.run_for(_TICK_S)
        self.assertEqual(connections[5].cause, EndCause.CONNECTIONS)

    def test_answer_that_is_not_taken_makes_place(self):
        connections = [self.add(Phase.ANSWER) for _ in range(20)]
        self.run_for(1)
        self.assertEqual(connections[0].cause, EndCause.NONE)
        self.run_for(1)
        self.assertIn(
            EndCause.CONNECTIONS, [other.cause for other in connections]
        )


class ChunkDecoderTest(unittest.TestCase):
    def test_content_is_the_same_however_it_arrives(self):
        wire = b'3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nx: y\r\n\r\n'
        for size in range(1, len(wire) + 1):
            decoder = ChunkDecoder()
            for start in range(0, len(wire), size):
                self.assertFalse(decoder.message_complete)
                decoder.decode(wire[start : start + size])
            self.assertTrue(decoder.message_complete)
            self.assertFalse(decoder.has_surplus)
            self.assertEqual(decoder.take(100), b'abc0123456789')

    def test_bytes_of_the_next_request_are_noticed(self):
        decoder = ChunkDecoder()
        decoder.decode(b'1\r\na\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n')
        self.assertTrue(decoder.has_surplus)
        self.assertEqual(decoder.take(100), b'a')

    def test_malformed_and_padded_bodies_are_refused(self):
        for wire in (
            b'x\r\n',
            b'-1\r\n',
            b'3\r\nabcd\r\n',
            b'F' * 17 + b'\r\n',
            b'1;' + b'a' * 20_000,
            b'0\r\n' + b'x: y\r\n' * 4000,
        ):
            with self.assertRaises(ChunkError):
                ChunkDecoder().decode(wire)

    # Guards against chunks of one byte that a limit on chunk heads refuses.
    def test_chunks_of_one_byte_are_allowed(self):
        decoder = ChunkDecoder()
        for _ in range(1000):
            decoder.decode(b'1\r\na\r\n' * 100)
        self.assertEqual(decoder.count_available(), 100_000)


class LimitsTest(unittest.TestCase):
    def test_missing_limits_have_their_defaults(self):
        for text in (
            b'{"version":1}',
            b'{"version":1,"limits":{}}',
            b'{"version":1,"limits":{"max_body_bytes":262144}}',
        ):
            self.assertEqual(
                parse_catalogue(text).client_limits, ClientLimits()
            )

    def test_limits_are_read(self):
        text = (
            b'{"version":1,"limits":{"max_header_bytes":200000,'
            b'"max_body_bytes":1024,"header_timeout_ms":500,'
            b'"idle_timeout_ms":1500}}'
        )
        self.assertEqual(
            parse_catalogue(text).client_limits,
            ClientLimits(
                max_header_bytes=200_000,
                max_body_bytes=1024,
                header_timeout_s=0.5,
                idle_timeout_s=1.5,
            ),
        )

    def test_limits_out_of_range_are_refused(self):
        for limit in (
            b'"max_header_bytes":0',
            b'"max_body_bytes":-1',
            b'"header_timeout_ms":0',
            b'"idle_timeout_ms":1e99',
            b'"idle_timeout_ms":"1"',
        ):
            text = b'{"version":1,"limits":{%b}}' % limit
            self.assertIsInstance(parse_catalogue(text), Malformed)

"""Tests of HTTP exchanges with servers that break the protocol."""

import _socket
import time
from unittest import TestCase, mock

import gevent
from gevent import socket
from gevent.monkey import get_original

from ragwortfield.adapters import http_client
from ragwortfield.adapters.http_client import (
    ConnectionLimits,
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import Broken, NotSent, WholeAnswer

_TIMEOUTS = Timeouts(first_byte_s=0.3, total_s=0.6)
#: Time that a slow resolver takes, in seconds.
_LOOKUP_S = 1.6
_block_thread = get_original('time', 'sleep')
_REQUEST = HttpRequest(method='GET', path='/')


class ScriptedServer:
    """Server that sends fixed bytes for each request it reads."""

    def __init__(self, *replies, is_closing=False):
        self.replies = list(replies)
        self.is_closing = is_closing
        self.requests = 0
        self.connections = 0
        self._listener = socket.socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self.address = '127.0.0.1:{0}'.format(self._listener.getsockname()[1])
        self._greenlet = gevent.spawn(self._accept)

    def close(self):
        self._greenlet.kill()
        self._listener.close()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            self.connections += 1
            gevent.spawn(self._serve, connection)

    def _serve(self, connection):
        while self.replies:
            head = b''
            while b'\r\n\r\n' not in head:
                block = connection.recv(1000)
                if not block:
                    return
                head += block
            self.requests += 1
            connection.sendall(self.replies.pop(0))
            if self.is_closing:
                break
        if self.is_closing:
            connection.close()
        else:
            gevent.sleep(5)


def build_answer(body, length=None):
    declared_length = len(body) if length is None else length
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (
        declared_length,
        body,
    )


class ExchangeTests(TestCase):
    """Outcome of an exchange after each kind of failure."""

    def exchange(self, *replies, is_closing=False, count=1):
        self.server = ScriptedServer(*replies, is_closing=is_closing)
        self.addCleanup(self.server.close)
        self.pool = HttpConnectionPool(address=self.server.address)
        return [self.pool.exchange(_REQUEST, _TIMEOUTS) for _ in range(count)]

    def test_whole_answer(self):
        (outcome,) = self.exchange(build_answer(b'whole'))
        self.assertIsInstance(outcome, WholeAnswer)
        self.assertEqual(outcome.body, b'whole')

    def test_connection_is_used_again(self):
        self.exchange(build_answer(b'one'), build_answer(b'two'), count=2)
        self.assertEqual(self.server.connections, 1)

    def test_truncated_answer_is_broken(self):
        (outcome,) = self.exchange(
            build_answer(b'part', length=9), is_closing=True
        )
        self.assertIsInstance(outcome, Broken)
        self.assertEqual(self.pool.count_idle(), 0)

    def test_connection_closed_without_an_answer(self):
        (outcome,) = self.exchange(b'', is_closing=True)
        self.assertIsInstance(outcome, Broken)

    def test_answer_that_is_not_http(self):
        (outcome,) = self.exchange(b'nonsense\r\n\r\n', is_closing=True)
        self.assertIsInstance(outcome, Broken)

    def test_missing_answer_is_marked_silent(self):
        (outcome,) = self.exchange(b'')
        self.assertIsInstance(outcome, Broken)
        self.assertTrue(outcome.is_silent)

    def test_overlong_answer_never_reaches_the_next_request(self):
        first, second = self.exchange(
            build_answer(b'four')
            + b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale',
            build_answer(b'fresh'),
            count=2,
        )
        bodies = [
            outcome.body
            for outcome in (first, second)
            if isinstance(outcome, WholeAnswer)
        ]
        self.assertNotIn(b'stale', bodies)
        self.assertIsInstance(second, WholeAnswer)
        self.assertEqual(second.body, b'fresh')

    def test_late_answer_never_reaches_the_next_request(self):
        server = ScriptedServer()
        self.addCleanup(server.close)
        pool = HttpConnectionPool(address=server.address)
        outcome = pool.exchange(_REQUEST, _TIMEOUTS)
        self.assertIsInstance(outcome, Broken)
        self.assertEqual((pool.count_idle(), pool.open_count), (0, 0))

    def test_refused_connection_is_not_sent(self):
        server = ScriptedServer()
        server.close()
        pool = HttpConnectionPool(address=server.address)
        outcome = pool.exchange(_REQUEST, _TIMEOUTS)
        self.assertIsInstance(outcome, NotSent)

    def test_request_that_cannot_be_encoded_is_not_sent(self):
        server = ScriptedServer(build_answer(b'ran'))
        self.addCleanup(server.close)
        pool = HttpConnectionPool(address=server.address)
        request = HttpRequest(
            method='GET',
            path='/',
            fields=(('x-team', 'বিচার'),),
        )
        outcome = pool.exchange(request, _TIMEOUTS)
        self.assertIsInstance(outcome, NotSent)
        self.assertEqual(server.requests, 0)

    def test_request_is_not_sent_if_the_guard_refuses(self):
        server = ScriptedServer(build_answer(b'ran'))
        self.addCleanup(server.close)
        pool = HttpConnectionPool(address=server.address)
        outcome = pool.exchange(_REQUEST, _TIMEOUTS, guard=bool)
        self.assertIsInstance(outcome, NotSent)
        self.assertEqual(server.requests, 0)

    def test_stale_idle_connection_is_replaced_before_sending(self):
        (first,) = self.exchange(build_answer(b'one'), is_closing=True)
        self.assertIsInstance(first, WholeAnswer)
        gevent.sleep(0.05)
        self.server.replies.append(build_answer(b'two'))
        second = self.pool.exchange(_REQUEST, _TIMEOUTS)
        self.assertIsInstance(second, WholeAnswer)
        self.assertEqual(self.server.connections, 2)


class ConnectionLimitTests(TestCase):
    """Connections that a pool may open and keep."""

    def setUp(self):
        self.server = ScriptedServer(*[build_answer(b'whole')] * 9)
        self.addCleanup(self.server.close)

    def make_pool(self, **limits):
        return HttpConnectionPool(
            address=self.server.address, limits=ConnectionLimits(**limits)
        )

    def exchange_at_once(self, pool, count):
        exchanges = [
            gevent.spawn(pool.exchange, _REQUEST, _TIMEOUTS)
            for _ in range(count)
        ]
        gevent.joinall(exchanges)
        return [exchange.value for exchange in exchanges]

    def test_request_beyond_the_limit_is_not_sent(self):
        pool = self.make_pool(max_open=2)
        outcomes = self.exchange_at_once(pool, 3)
        not_sent = [one for one in outcomes if isinstance(one, NotSent)]
        self.assertEqual(len(not_sent), 1)
        self.assertEqual((self.server.requests, pool.open_count), (2, 2))

    def test_idle_connection_makes_room_for_a_new_one(self):
        pool = self.make_pool(max_open=1)
        for _ in range(2):
            outcome = pool.exchange_on_new_connection(_REQUEST, _TIMEOUTS)
            self.assertIsInstance(outcome, WholeAnswer)
        self.assertEqual((self.server.connections, pool.open_count), (2, 1))

    # Guards against a pool that opens no connection any more: attempts that
    # failed count as open.
    def test_failed_attempts_leave_room(self):
        pool = self.make_pool(max_open=1)
        address = pool._endpoint
        pool._endpoint = (address[0], 1)
        self.assertIsInstance(pool.exchange(_REQUEST, _TIMEOUTS), NotSent)
        pool._endpoint = address
        self.assertIsInstance(pool.exchange(_REQUEST, _TIMEOUTS), WholeAnswer)

    # Guards against the same by greenlets that were killed while connecting.
    def test_killed_attempts_leave_room(self):
        pool = self.make_pool(max_open=1)
        with mock.patch.object(
            http_client, 'open_connection', lambda *_: gevent.sleep(5)
        ):
            exchange = gevent.spawn(pool.exchange, _REQUEST, _TIMEOUTS)
            gevent.sleep(0.05)
            exchange.kill()
        self.assertIsInstance(pool.exchange(_REQUEST, _TIMEOUTS), WholeAnswer)

    def test_spare_connections_are_closed_after_their_time(self):
        pool = self.make_pool(max_kept=1, spare_idle_s=0.05)
        self.exchange_at_once(pool, 3)
        pool.close_spare()
        self.assertEqual(pool.count_idle(), 3)
        gevent.sleep(0.1)
        pool.close_spare()
        self.assertEqual((pool.count_idle(), pool.open_count), (1, 1))

    def test_closed_pool_sends_nothing(self):
        pool = self.make_pool()
        pool.exchange(_REQUEST, _TIMEOUTS)
        pool.close()
        self.assertEqual(pool.open_count, 0)
        self.assertIsInstance(pool.exchange(_REQUEST, _TIMEOUTS), NotSent)
        self.assertEqual(self.server.requests, 1)

    # Guards against a request of a pool that was closed while it connected.
    def test_pool_that_is_closed_while_connecting_sends_nothing(self):
        pool = self.make_pool()
        connect = http_client.open_connection

        def connect_slowly(*endpoint):
            gevent.sleep(0.1)
            return connect(*endpoint)

        with mock.patch.object(http_client, 'open_connection', connect_slowly):
            exchange = gevent.spawn(pool.exchange, _REQUEST, _TIMEOUTS)
            gevent.sleep(0.05)
            pool.close()
            exchange.join()
        self.assertIsInstance(exchange.value, NotSent)
        self.assertEqual((self.server.requests, pool.open_count), (0, 0))


class HostNameTests(TestCase):
    """Hosts that are names, of which some are looked up slowly or never."""

    def setUp(self):
        self.server = ScriptedServer(build_answer(b'whole'))
        self.addCleanup(self.server.close)
        look_up = _socket.getaddrinfo

        def look_up_slowly(host, *arguments, **options):
            if host in {'slow.invalid', b'slow.invalid'}:
                _block_thread(_LOOKUP_S)
                raise _socket.gaierror('no such name')
            return look_up(host, *arguments, **options)

        patch = mock.patch.object(_socket, 'getaddrinfo', look_up_slowly)
        patch.start()
        self.addCleanup(patch.stop)

    def exchange(self, address):
        return HttpConnectionPool(address=address).exchange(_REQUEST, _TIMEOUTS)

    # Guards against leases that expire on all workers: the entry of another
    # writer names a host that a resolver is slow to deny, and connections to
    # all other addresses waited for the same few threads.
    def test_slow_lookups_delay_no_connection_to_an_address(self):
        lookups = [
            gevent.spawn(self.exchange, 'slow.invalid:80') for _ in range(30)
        ]
        self.addCleanup(gevent.joinall, lookups)
        gevent.sleep(0.05)
        started_at = time.monotonic()
        outcome = self.exchange(self.server.address)
        self.assertIsInstance(outcome, WholeAnswer)
        self.assertLess(time.monotonic() - started_at, _LOOKUP_S / 2)

    # Guards against an exchange that takes longer than its time-outs allow.
    def test_slow_lookup_ends_after_the_connection_timeout(self):
        started_at = time.monotonic()
        outcome = self.exchange('slow.invalid:80')
        self.assertIsInstance(outcome, NotSent)
        self.assertLess(time.monotonic() - started_at, _LOOKUP_S)

    def test_name_is_looked_up(self):
        port = self.server.address.rpartition(':')[2]
        outcome = self.exchange(f'localhost:{port}')
        self.assertIsInstance(outcome, WholeAnswer)

    # Guards against an error in place of an outcome: the resolver cannot encode
    # the name.
    def test_name_that_cannot_be_looked_up_is_not_sent(self):
        for host in ('a' * 64, 'a..b', 'nul\0', 'absent.invalid'):
            outcome = self.exchange(f'{host}:80')
            self.assertIsInstance(outcome, NotSent, host)

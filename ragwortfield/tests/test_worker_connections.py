"""An owner leaves room for others among the connections of a worker."""

import os
import time
import unittest
from random import Random
from unittest import mock

import gevent
from gevent.server import StreamServer

from ragwortfield.adapters import http_client
from ragwortfield.platform.task_worker_client import TaskWorkerClient
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    LeaseOrder,
    LeaseReport,
    OrderDone,
    PaceRun,
    StartRun,
    StopRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.worker_process import MAX_CONNECTIONS, WorkerProcess

_BORN_MS = 1_000
#: Tasks of a gang that start on one worker at once; more than its connections.
_GANG = 80
#: Owners of one shard, one after the other, each of which was lost with its
#: connections open.
_LOST_OWNERS = 8
#: Connections of lost owners that leave room for those of the present one.
_MAX_KEPT_OPEN = MAX_CONNECTIONS - 4
#: Owners that are lost: one connection of each without orders, two amid orders.
_MANY_LOST_AT_REST = 60
_MANY_LOST_AMID_ORDERS = 28
#: Tasks of a step that start on one worker at once in the load of users.
_WIDE_STEP = 5
_SEED = 7
#: Time until the worker answers, in seconds.
_ANSWER_S = 0.02
_FAST_ANSWER_S = 0.005
_SLOW_ANSWER_S = 0.3
#: Longest time for which an order waits for its turn and for its answer, in
#: seconds, as the lasting tasks of users need it.
_MAX_ORDER_S = 5
#: Longest time for which a connection without orders stays open, in seconds.
_MAX_SPARE_S = 2
#: Longest time until a lease is extended, in seconds; far below the lease.
_MAX_RENEWAL_S = 1


class _WorkerConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.process = WorkerProcess(born_ms=_BORN_MS, answer_s=_ANSWER_S)
        self.addCleanup(self.process.server.stop, timeout=0)
        self.client = TaskWorkerClient()

    def make_fields(self, index=0):
        return {
            'worker_id': 'w0',
            'address': self.process.address,
            'fencing_token': 1,
            'key': TaskKey('0' * 16, 0, 0, index),
            'run': 1,
        }

    def start(self, index=0, client=None):
        return (client or self.client).start(
            StartRun(
                spec='',
                checkpoint='',
                deadline_ms=99,
                born_ms=_BORN_MS,
                **self.make_fields(index),
            )
        )

    def spawn_starts(self, count=_GANG, client=None):
        return [
            gevent.spawn(self.start, index, client) for index in range(count)
        ]

    def start_gang(self, client=None):
        """Start all tasks of a gang at once; return the outcomes."""
        starts = self.spawn_starts(client=client)
        gevent.joinall(starts, timeout=_MAX_ORDER_S)
        return [start.value for start in starts]

    def renew_lease(self):
        return self.client.renew_lease(
            LeaseOrder(
                worker_id='w0',
                address=self.process.address,
                fencing_token=1,
                acknowledged_end=0,
                deadline_ms=99,
                wait_ms=0,
                born_ms=_BORN_MS,
            )
        )

    def pass_time(self, elapsed_s):
        """Return a context in which so much time has passed for the pools."""
        clock = mock.Mock(
            monotonic=mock.Mock(return_value=time.monotonic() + elapsed_s)
        )
        return mock.patch.object(http_client, 'time', clock)

    def await_connections(self, count):
        """Wait until the worker has so many connections or fewer."""
        end = time.monotonic() + _MAX_ORDER_S
        while (
            self.process.count_connections() > count and time.monotonic() < end
        ):
            gevent.sleep(_ANSWER_S)
        self.assertLessEqual(self.process.count_connections(), count)

    def assert_all_done(self, outcomes):
        for outcome in outcomes:
            self.assertIsInstance(outcome, OrderDone)


class OrderTurnTest(_WorkerConnectionsTest):
    """Orders to one worker share a few connections."""

    # Guards against a gang of which some members do not start: more of them
    # than a worker has connections start there at once (review/10).
    def test_gang_on_one_worker_starts_whole(self):
        self.assert_all_done(self.start_gang())

    # Guards against workers that nobody else reaches: one owner uses up the
    # connections of a worker with many orders at once (review/6).
    def test_orders_of_one_owner_leave_room_for_several_others(self):
        self.start_gang()
        self.assertLessEqual(
            self.process.most_connections * _LOST_OWNERS, MAX_CONNECTIONS
        )

    # Guards against a shard whose tasks never run: each owner that was lost
    # with its machine left many half-open connections (review/7).
    def test_worker_is_reached_after_several_lost_owners(self):
        lost_clients = [TaskWorkerClient() for _ in range(_LOST_OWNERS)]
        for client in lost_clients:
            self.start_gang(client)
        self.assert_all_done(self.start_gang())

    # Guards against tasks that wait for a worker that leaves some orders
    # unanswered: the orders behind them wait for each time-out in turn.
    def test_unanswered_order_holds_up_the_next_ones_for_a_moment(self):
        self.renew_lease()
        self.process.unanswered_orders = 3
        starts = self.spawn_starts(2 * self.process.unanswered_orders)
        started_at = time.monotonic()
        gevent.joinall(starts[3:], timeout=_MAX_ORDER_S)
        self.assert_all_done([start.value for start in starts[3:]])
        self.assertLess(time.monotonic() - started_at, _MAX_RENEWAL_S)
        gevent.killall(starts)

    def test_orders_of_all_kinds_share_the_connections(self):
        orders = self.spawn_starts(_GANG)
        for index in range(_GANG):
            fields = self.make_fields(index)
            orders.append(gevent.spawn(self.client.stop, StopRun(**fields)))
            orders.append(
                gevent.spawn(self.client.pace, PaceRun(percent=50, **fields))
            )
        polls = [gevent.spawn(self.renew_lease)]
        gevent.joinall([*orders, *polls], timeout=_MAX_ORDER_S)
        self.assert_all_done([order.value for order in orders])
        self.assertLessEqual(
            self.process.most_connections * _LOST_OWNERS, MAX_CONNECTIONS
        )

    # Guards against an expired lease: its extension waits behind starts.
    def test_lease_is_extended_beside_many_slow_orders(self):
        self.renew_lease()
        self.process.answer_s = _SLOW_ANSWER_S
        starts = self.spawn_starts()
        gevent.sleep(_ANSWER_S)
        for _ in range(3):
            started_at = time.monotonic()
            report = self.renew_lease()
            self.assertTrue(report.is_order_applied)
            self.assertLess(time.monotonic() - started_at, _MAX_RENEWAL_S)
        gevent.killall(starts)

    # Guards against tasks that wait for long on a worker that is lost: their
    # starts wait for each other's time-outs.
    def test_orders_to_a_silent_worker_end_in_time(self):
        self.renew_lease()
        self.process.is_silent = True
        outcomes = self.start_gang()
        for outcome in outcomes:
            self.assertIsInstance(outcome, Unavailable)
        # Only what was sent may have an effect.
        sent_count = self.process.list_paths().count('/run-start')
        possible = [one for one in outcomes if one.is_effect_possible]
        self.assertEqual(len(possible), sent_count)

    # Guards against new connections for each order, which users pay for.
    def test_orders_after_each_other_use_the_same_connection(self):
        for index in range(_GANG):
            self.assertIsInstance(self.start(index), OrderDone)
        self.assertEqual(self.process.list_paths().count('/hold'), 1)
        self.assertEqual(self.process.count_connections(), 1)

    # Guards against connections that an owner keeps from a moment of many
    # orders on, and that nobody closes if its machine is lost then.
    def test_connections_for_many_orders_are_closed_after_the_last(self):
        self.renew_lease()
        self.start_gang()
        connections = self.client.get_connections(self.process.address)
        self.assertGreater(self.process.most_connections, 2)
        self.assertEqual(connections.orders.count_idle(), 1)
        # The last one, and that of the polls.
        self.await_connections(2)

    def test_owner_without_orders_keeps_the_connection_of_the_polls(self):
        self.renew_lease()
        self.start()
        with self.pass_time(_MAX_SPARE_S):
            self.renew_lease()
        self.await_connections(1)


class LostOwnersTest(_WorkerConnectionsTest):
    """
    Owners that are lost with their machines, one after the other.

    The worker keeps the connections of each for good, as nobody closes them.
    """

    def setUp(self):
        super().setUp()
        self.random = Random(_SEED)
        self.opened = []
        # Connections of lost owners; the worker would see an end of the
        # connection as soon as the last descriptor is closed.
        self.kept_open = []
        opener = http_client.open_connection
        patcher = mock.patch.object(
            http_client,
            'open_connection',
            lambda *endpoint: (
                self.opened.append(opener(*endpoint)) or self.opened[-1]
            ),
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.addCleanup(self.close_kept)

    def close_kept(self):
        for descriptor in self.kept_open:
            os.close(descriptor)

    def lose_owner(self, greenlets=()):
        """Lose the present owner; another one takes over."""
        is_open = [sock for sock in self.opened if sock.fileno() >= 0]
        self.kept_open.extend(os.dup(sock.fileno()) for sock in is_open)
        self.opened.clear()
        gevent.killall(list(greenlets))
        self.client.close()
        self.client = TaskWorkerClient()

    def assert_owner_reaches_worker(self):
        """Check that lost owners left room, and that the next one uses it."""
        self.assertLessEqual(len(self.kept_open), _MAX_KEPT_OPEN)
        self.assertIsInstance(self.renew_lease(), LeaseReport)
        self.assert_all_done(self.start_gang())

    # Guards against a shard whose tasks never run: the connections of owners
    # that were lost at rest fill the worker (review/7).
    def test_worker_is_reached_after_many_owners_lost_at_rest(self):
        for _ in range(_MANY_LOST_AT_REST):
            self.renew_lease()
            self.start()
            with self.pass_time(_MAX_SPARE_S):
                self.renew_lease()
            self.lose_owner()
        self.assert_owner_reaches_worker()

    # Guards against the same by owners that were lost amid the orders of a
    # usual load.
    def test_worker_is_reached_after_many_owners_lost_amid_orders(self):
        self.process.answer_s = _FAST_ANSWER_S
        for _ in range(_MANY_LOST_AMID_ORDERS):
            self.renew_lease()
            poll = gevent.spawn(self.renew_lease)
            starts = self.spawn_starts(_WIDE_STEP)
            gevent.sleep(self.random.uniform(0, _WIDE_STEP * _FAST_ANSWER_S))
            self.lose_owner([poll, *starts])
        self.assert_owner_reaches_worker()

    # Guards against the same by owners that had started a gang just before.
    def test_worker_is_reached_after_many_owners_lost_after_a_burst(self):
        self.process.answer_s = _FAST_ANSWER_S
        for _ in range(_MANY_LOST_AMID_ORDERS):
            self.renew_lease()
            self.assert_all_done(self.start_gang())
            self.lose_owner()
        self.assert_owner_reaches_worker()


class ClosedClientTest(_WorkerConnectionsTest):
    """An owner that has left its shard."""

    # Guards against workers that the next owner does not reach: the former one
    # lives on and keeps its connections (review/6).
    def test_closed_client_keeps_no_connection(self):
        self.renew_lease()
        self.assert_all_done(self.start_gang())
        self.client.close()
        self.await_connections(0)

    # Guards against a start by a replaced owner: it waits for its turn while
    # the owner leaves the shard, and is sent after that.
    def test_order_that_waits_is_not_sent_after_the_close(self):
        self.renew_lease()
        self.process.answer_s = _SLOW_ANSWER_S
        starts = self.spawn_starts()
        gevent.sleep(_SLOW_ANSWER_S / 2)
        self.client.close()
        sent_count = self.process.list_paths().count('/run-start')
        gevent.joinall(starts, timeout=_MAX_ORDER_S)
        not_sent = [
            start
            for start in starts
            if isinstance(start.value, Unavailable)
            and not start.value.is_effect_possible
        ]
        self.assertEqual(
            self.process.list_paths().count('/run-start'), sent_count
        )
        self.assertEqual(len(not_sent), _GANG - sent_count)
        self.await_connections(0)

    # Guards against the same with a start for which a connection is being
    # opened: the poll on it is answered after the owner has left.
    def test_start_is_not_sent_after_a_poll_that_ends_after_the_close(self):
        self.process.answer_s = _SLOW_ANSWER_S
        start = gevent.spawn(self.start)
        gevent.sleep(_SLOW_ANSWER_S / 2)
        self.client.close()
        start.join(_MAX_ORDER_S)
        self.assertIsInstance(start.value, Unavailable)
        self.assertFalse(start.value.is_effect_possible)
        self.assertEqual(self.process.list_paths(), ['/hold'])

    def test_closed_client_opens_no_connection(self):
        self.client.close()
        self.assertIsInstance(self.start(), Unavailable)
        self.assertIsInstance(self.renew_lease(), Unavailable)
        self.assertEqual(self.process.calls, [])


class RefusedConnectionTest(unittest.TestCase):
    """A worker that lives and serves as many connections as it can."""

    def setUp(self):
        self.refused = []
        self.server = StreamServer(('127.0.0.1', 0), self.refuse)
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.port = self.server.server_port
        self.client = TaskWorkerClient()

    def refuse(self, sock, _address):
        self.refused.append(sock)
        sock.close()

    def renew_lease(self):
        return self.client.renew_lease(
            LeaseOrder(
                worker_id='w0',
                address=f'127.0.0.1:{self.port}',
                fencing_token=1,
                acknowledged_end=0,
                deadline_ms=None,
                wait_ms=0,
            )
        )

    # Guards against a full worker that looks like a lost one in the log.
    def test_log_tells_refused_connections_from_a_lost_worker(self):
        with capture_log_lines() as lines:
            for _ in range(3):
                self.assertIsInstance(self.renew_lease(), Unavailable)
            self.assertEqual(len(self.refused), 3)
            self.server.stop(timeout=0)
            # Nobody listens, as when the worker has crashed.
            self.assertIsInstance(self.renew_lease(), Unavailable)
            process = WorkerProcess(born_ms=_BORN_MS, port=self.port)
            self.addCleanup(process.server.stop, timeout=0)
            self.renew_lease()
        self.assertEqual(len(lines), 2)
        self.assertIn('event=connections_refused', lines[0])
        self.assertIn('event=connections_accepted', lines[1])
        self.assertIn('refused=3', lines[1])
        use = self.client.get_connection_use()
        self.assertEqual((use.open_count, use.refused_count), (1, 3))

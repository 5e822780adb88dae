"""Malformed messages to a scheduler process: none of them stops it."""

import socket
from functools import partial

import cbor2
import gevent
import msgspec
from hypothesis import given

from ragwortfield.engine.row_names import member_row
from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.scheduling.records import MemberRecord, decode_record
from ragwortfield.settings.instance import split_address
from ragwortfield.testing.scheduler_deployment import PREFIX
from ragwortfield.tests.malformed_inputs import (
    frame_messages,
    json_messages,
    request_messages,
    run_examples,
)
from ragwortfield.tests.scheduler_process_case import SchedulerProcessTestCase

_SOCKET_TIMEOUT_S = 2
_HANDSHAKE = b'\r\n'.join(
    (
        b'GET / HTTP/1.1',
        b'Host: x',
        b'Upgrade: websocket',
        b'Connection: Upgrade',
        b'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==',
        b'Sec-WebSocket-Version: 13',
        b'\r\n',
    ),
)
#: Calls in a burst, and number of bursts.
_CALLS_PER_BURST = 500
_BURST_COUNT = 20
#: Levels of a document that is nested too deeply for any decoder.
_NESTING_DEPTH = 50_000
#: First byte of a final binary frame of a websocket.
_BINARY_FRAME = 0x82
#: Bit of the second byte that marks a masked frame.
_MASK_BIT = 0x80
#: Longest content whose size fits into the second byte, in bytes.
_MAX_SHORT_FRAME_BYTES = 125
_EXAMPLES = 60
_SEED = 1
#: Start of a job document with a spec that the fake workers can run.
_JOB_PREFIX = b'{"spec":"sleep 0",'
_JOB = msgspec.json.decode(encode_job('sleep 0', (1, 1)))
_FRAME = {
    'number': 1,
    'name': 'take',
    'body': {
        'shard': 0,
        'version': 1,
        'address': '127.0.0.1:1',
        'job_id': 'f' * 16,
        'record': b'\x80',
        'queue': 'queue',
    },
}
_CALL_NAMES = (
    'ping',
    'hears',
    'take',
    'status',
    'stored-status',
    'waiting',
    'submit',
    'cancel',
)


def _mask_frame(content):
    """Build a binary frame of a client with a mask that changes nothing."""
    size = len(content)
    if size <= _MAX_SHORT_FRAME_BYTES:
        head = bytes((_BINARY_FRAME, _MASK_BIT | size))
    else:
        head = bytes(
            (_BINARY_FRAME, _MASK_BIT | _MAX_SHORT_FRAME_BYTES + 1)
        ) + size.to_bytes(2)
    return head + bytes(4) + content


class MalformedMessageTest(SchedulerProcessTestCase):
    """Malformed messages on each listening address of a process."""

    def setUp(self):
        self.start(1)
        self.instance = self.instances[0]
        self.statuses = set()
        self.body_count = 0
        self.connection = None
        row = self.deployment.store.row_by_name[member_row(self.instance.name)]
        self.peer_address = decode_record(row.content, MemberRecord).address

    def send_raw(self, address, content):
        """Send bytes and wait for the first part of an answer."""
        with socket.create_connection(
            split_address(address),
            _SOCKET_TIMEOUT_S,
        ) as connection:
            connection.sendall(content)
            connection.shutdown(socket.SHUT_WR)
            try:
                connection.recv(1024)
            except OSError:
                self.statuses.add('reset')

    def send_body(self, body):
        self.body_count += 1
        job_id = f'{self.body_count:016x}'
        if body.startswith(b'{'):
            body = _JOB_PREFIX + body[1:]
        response = self.deployment.call(
            self.instance,
            'POST',
            f'{PREFIX}{job_id}',
            body,
        )
        self.assertIsNotNone(response)
        self.statuses.add(response.status)

    def connect_as_peer(self):
        """Connect like a peer, with a completed websocket handshake."""
        connection = socket.create_connection(
            split_address(self.peer_address), _SOCKET_TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.sendall(_HANDSHAKE)
        self.assertIn(b' 101 ', connection.recv(1024))
        return connection

    def disconnect_after_burst(self):
        """Connect like a peer, send many calls at once and disconnect."""
        call = cbor2.dumps({**_FRAME, 'name': 'ping', 'body': {'shard': 0}})
        with self.connect_as_peer() as connection:
            try:
                connection.sendall(_mask_frame(call) * _CALLS_PER_BURST)
            except OSError:
                self.statuses.add('reset')

    def send_frame(self, frame):
        if self.connection is None:
            self.connection = self.connect_as_peer()
        try:
            self.connection.sendall(_mask_frame(frame))
        except OSError:
            self.connection = None
        # The fake store and workers are served by this process as well.
        gevent.sleep(0.001)

    # Guards against a process that stops, or no longer answers, after a message
    # that it cannot decode, and against a job that is lost with it.
    def test_process_survives_unreadable_messages(self):
        earlier_job_id = '00000000000000b1'
        self.submit(self.instance, earlier_job_id, 'sleep 3', (2,))
        request = b'POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}'
        for address in (
            self.instance.callers,
            self.instance.health,
            self.peer_address,
        ):
            messages = request_messages(request % PREFIX.encode())
            self.run_examples(
                partial(self.send_raw, address), messages, _EXAMPLES
            )
        bodies = json_messages({'steps': _JOB['steps']})
        self.run_examples(self.send_body, bodies, _EXAMPLES)
        self.send_body(b'{"x":' + b'[' * _NESTING_DEPTH)
        for name in _CALL_NAMES:
            messages = frame_messages({**_FRAME, 'name': name})
            self.run_examples(self.send_frame, messages, _EXAMPLES // 4)
        self.assert_runs_jobs(earlier_job_id)

    # Guards against a process that stops when a peer disconnects while many of
    # its calls are in progress.
    def test_process_survives_a_peer_lost_in_a_burst_of_calls(self):
        for _ in range(_BURST_COUNT):
            self.disconnect_after_burst()
            gevent.sleep(0.1)
            self.assertIsNone(self.instance.process.poll())

    def run_examples(self, test, messages, runs):
        def try_message(content):
            test(content)

        run_examples(given(messages)(try_message), runs=runs, first_seed=_SEED)

    def is_store_reachable(self):
        return 'name="store_away_s"} 0\n' in self.deployment.fetch_metrics(
            self.instance,
        )

    def assert_runs_jobs(self, earlier_job_id):
        self.assertIsNone(self.instance.process.poll())
        log = self.deployment.read_log(self.instance)
        self.assertNotIn('event=owner_failed', log)
        self.assertEqual(log.count('event=shard_loaded'), 1)
        later_job_id = '00000000000000b2'
        # This process serves the fake store as well; while it was busy with
        # drawing messages the instance may have found the store unreachable.
        self.await_true(self.is_store_reachable)
        self.submit(self.instance, later_job_id, 'sleep 0', (1,))
        self.await_state(self.instance, later_job_id, 'complete')
        self.await_state(self.instance, earlier_job_id, 'complete')
        self.assertIn('members', self.deployment.fetch_metrics(self.instance))
        with self.connect_as_peer() as connection:
            ping = {'number': 7, 'name': 'ping', 'body': {'shard': 0}}
            connection.sendall(_mask_frame(cbor2.dumps(ping)))
            response = connection.recv(1024)
        # The first two bytes are the header of the frame.
        self.assertTrue(cbor2.loads(response[2:])['body']['owns'])

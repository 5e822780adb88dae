"""Story 5, messages: none at a listening address takes a process down."""

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
    play,
    text_messages,
)
from ragwortfield.tests.scheduler_process_case import SchedulerProcessTestCase

_SOCKET_S = 2
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
#: Calls of a burst, and how many bursts there are.
_BURST = 500
_BURSTS = 20
#: Levels of a document that is nested far deeper than any reader descends.
_DEPTH = 50_000
#: Bits and sizes of a frame.
_BINARY = 0x82
_MASKED = 0x80
_SHORT = 125
_RUNS = 60
_SEED = 1
#: What follows the text for a job's tasks, which the stand-ins must be able
#: to work on.
_JOB_START = b'{"spec":"sleep 0",'
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
_CALLS = (
    'ping',
    'hears',
    'take',
    'status',
    'stored-status',
    'waiting',
    'submit',
    'cancel',
)


def _masked(content):
    """A binary frame of a client, with a mask that changes nothing."""
    size = len(content)
    if size <= _SHORT:
        head = bytes((_BINARY, _MASKED | size))
    else:
        head = bytes((_BINARY, _MASKED | _SHORT + 1)) + size.to_bytes(2)
    return head + bytes(4) + content


class MalformedMessageTest(SchedulerProcessTestCase):
    """Story 5: messages that nobody expects, on each listening address."""

    def setUp(self):
        self.start(1)
        self.instance = self.instances[0]
        self.statuses = set()
        self.bodies = 0
        self.link = None
        row = self.deployment.store.row_by_name[member_row(self.instance.name)]
        self.peers = decode_record(row.content, MemberRecord).address

    def send_raw(self, address, content):
        """Send bytes, and wait a moment for an answer."""
        with socket.create_connection(
            split_address(address),
            _SOCKET_S,
        ) as link:
            link.sendall(content)
            link.shutdown(socket.SHUT_WR)
            try:
                link.recv(1024)
            except OSError:
                self.statuses.add('reset')

    def send_body(self, body):
        self.bodies += 1
        job_id = f'{self.bodies:016x}'
        if body.startswith(b'{'):
            body = _JOB_START + body[1:]
        answer = self.deployment.call(
            self.instance,
            'POST',
            f'{PREFIX}{job_id}',
            body,
        )
        self.assertIsNotNone(answer)
        self.statuses.add(answer.status)

    def open_link(self):
        """Be a peer that has made its handshake."""
        link = socket.create_connection(split_address(self.peers), _SOCKET_S)
        self.addCleanup(link.close)
        link.sendall(_HANDSHAKE)
        self.assertIn(b' 101 ', link.recv(1024))
        return link

    def leave_in_a_burst(self):
        """Be a peer that sends many calls at once and is gone."""
        call = cbor2.dumps({**_FRAME, 'name': 'ping', 'body': {'shard': 0}})
        with self.open_link() as link:
            try:
                link.sendall(_masked(call) * _BURST)
            except OSError:
                self.statuses.add('reset')

    def send_frame(self, frame):
        if self.link is None:
            self.link = self.open_link()
        try:
            self.link.sendall(_masked(frame))
        except OSError:
            self.link = None
        # The store and the workers are served by this process too.
        gevent.sleep(0.001)

    # Guards against a process that ends, or serves nobody, after a message
    # that it cannot read; and against a job that is lost with it.
    def test_process_outlives_messages_that_it_cannot_read(self):
        kept = '00000000000000b1'
        self.submit(self.instance, kept, 'sleep 3', (2,))
        request = b'POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}'
        for address in (
            self.instance.callers,
            self.instance.health,
            self.peers,
        ):
            messages = text_messages(request % PREFIX.encode())
            self.play(partial(self.send_raw, address), messages, _RUNS)
        bodies = json_messages({'steps': _JOB['steps']})
        self.play(self.send_body, bodies, _RUNS)
        self.send_body(b'{"x":' + b'[' * _DEPTH)
        for name in _CALLS:
            messages = frame_messages({**_FRAME, 'name': name})
            self.play(self.send_frame, messages, _RUNS // 4)
        self.assert_serves(kept)

    # Guards against a process that ends when a peer is lost while many of its
    # calls are on their way.
    def test_process_outlives_a_peer_that_is_lost_in_a_burst_of_calls(self):
        for _ in range(_BURSTS):
            self.leave_in_a_burst()
            gevent.sleep(0.1)
            self.assertIsNone(self.instance.process.poll())

    def play(self, test, messages, runs):
        def try_message(content):
            test(content)

        play(given(messages)(try_message), runs=runs, first_seed=_SEED)

    def is_store_seen(self):
        return 'name="store_away_s"} 0\n' in self.deployment.fetch_metrics(
            self.instance,
        )

    def assert_serves(self, kept):
        self.assertIsNone(self.instance.process.poll())
        log = self.deployment.read_log(self.instance)
        self.assertNotIn('event=owner_failed', log)
        self.assertEqual(log.count('event=shard_loaded'), 1)
        good = '00000000000000b2'
        # This process serves the store as well; while it drew messages the
        # instance may have held the store for away.
        self.await_true(self.is_store_seen)
        self.submit(self.instance, good, 'sleep 0', (1,))
        self.await_state(self.instance, good, 'complete')
        self.await_state(self.instance, kept, 'complete')
        self.assertIn('members', self.deployment.fetch_metrics(self.instance))
        with self.open_link() as link:
            ping = {'number': 7, 'name': 'ping', 'body': {'shard': 0}}
            link.sendall(_masked(cbor2.dumps(ping)))
            answer = link.recv(1024)
        # The first two bytes are the frame's own.
        self.assertTrue(cbor2.loads(answer[2:])['body']['owns'])

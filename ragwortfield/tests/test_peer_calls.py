"""Frames of peers: what cannot be read costs a line of the log, no more."""

import time
import unittest
from unittest import mock

import cbor2

from ragwortfield.peering.rpc import PeerRpc, _answer_call, _PeerConnection
from ragwortfield.testing.log_capture import capture_log_lines

_ADDRESS = 'other:1'


def _frame(**changes):
    return cbor2.dumps({'number': 1, 'name': 'ping', 'body': {}, **changes})


def _owns(_name, body):
    return {'owns': int(body['shard'])}


class AnswerTest(unittest.TestCase):
    def answer(self, handler, frame):
        websocket = mock.Mock()
        with capture_log_lines() as lines:
            _answer_call(websocket, handler, frame)
        websocket.send.assert_not_called()
        self.assertEqual(len(lines), 1, lines)
        self.assertIn('event=peer_call_malformed', lines[0])

    # Guards against bodies with a value or a kind that the handler of the call
    # does not expect, of which only some kinds of errors were looked for.
    def test_body_that_a_handler_cannot_read_gets_no_answer(self):
        bodies = ({'shard': 'x'}, {'shard': None}, {}, [], 7)
        for body in bodies:
            self.answer(_owns, _frame(body=body))

    # Guards against bodies whose values lack what the handler asks of them.
    def test_body_of_another_kind_gets_no_answer(self):
        self.answer(
            lambda _name, sent: {'id': sent['job_id'].strip()},
            _frame(body={'job_id': 7}),
        )

    # Guards against calls that no handler knows.
    def test_unknown_call_gets_no_answer(self):
        self.answer(
            lambda name, _sent: {'ping': {}}[name],
            _frame(name='pong'),
        )


class ReadTest(unittest.TestCase):
    # Guards against a connection that stays in use while nobody reads it.
    def test_link_with_an_answer_that_cannot_be_read_is_dropped(self):
        for frame in (cbor2.dumps({}), cbor2.dumps(7), cbor2.dumps([])):
            calls = PeerRpc(monotonic=time.monotonic)
            websocket = mock.MagicMock()
            websocket.__iter__.return_value = iter((frame,))
            connection = _PeerConnection(websocket=websocket)
            calls._connection_by_address[_ADDRESS] = connection
            with capture_log_lines() as lines:
                calls._read_answers(_ADDRESS, connection)
            self.assertNotIn(_ADDRESS, calls._connection_by_address)
            self.assertIn('event=peer_link_broken', lines[0])

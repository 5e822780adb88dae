"""Dispatching of requests: blame of targets, and what callers are told."""

import unittest
from unittest import mock

from ragwortfield.core.configuration import RequestClass
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.outcomes import Broken, NotSent, Refusal, RunState
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.targets import Target, TargetHealth
from ragwortfield.engine.dispatcher import Dispatcher, _AttemptResult

#: Monotonic time of the test and length of the pause before it, in seconds.
_NOW = 100
_PAUSE_S = 50
_REQUESTS = 3


class _GuardedPool:
    """Connections on which nothing is sent if the guard forbids it."""

    def exchange(self, _request, _timeouts, guard):
        is_allowed = guard()
        return NotSent(reason=f'guard returned {is_allowed}')


class PausedProcessTest(unittest.TestCase):
    # Guards against sound targets that are ejected because this process was
    # paused: it sends nothing after the pause, and no target has failed.
    def test_request_that_a_pause_holds_back_blames_no_target(self):
        target = Target(
            target_id='t', service='s', data_centre='dc', address='t:1'
        )
        instance_state = InstanceState(
            identity=mock.Mock(),
            target_by_id={'t': target, 'u': target},
            last_tick_at=_NOW - _PAUSE_S,
        )
        connections = mock.Mock()
        connections.get_target_pool.return_value = _GuardedPool()
        dispatcher = Dispatcher(
            instance_state=instance_state,
            clock=mock.Mock(monotonic=mock.Mock(return_value=_NOW)),
            random_generator=mock.Mock(),
            target_connections=connections,
            make_relay_headers=mock.Mock(),
        )
        for _ in range(_REQUESTS):
            instance_state.slots_in_use_by_target['t'] = 1
            outcome = dispatcher._send_to_target(
                mock.Mock(first_byte_timeout_s=1), _make_request(), target
            )
            self.assertEqual(outcome.reason, 'guard returned False')
        health = instance_state.health_by_target.get('t', TargetHealth())
        self.assertEqual((health.failures, health.ejections), (0, 0))


class RepeatedRequestTest(unittest.TestCase):
    def run_request(self, outcomes, destinations):
        """Run a request whose attempts end as given."""
        dispatcher = Dispatcher(
            instance_state=InstanceState(identity=mock.Mock()),
            clock=mock.Mock(monotonic=mock.Mock(return_value=_NOW)),
            random_generator=mock.Mock(),
            target_connections=mock.Mock(),
            make_relay_headers=mock.Mock(),
        )
        dispatcher._retry_budget = mock.Mock(try_spend=lambda: True)
        results = [
            _AttemptResult(tried_id=str(number), outcome=outcome)
            for number, outcome in enumerate(outcomes)
        ]
        with mock.patch.multiple(
            dispatcher,
            _choose_destination=mock.Mock(side_effect=destinations),
            _attempt=mock.Mock(side_effect=results),
        ):
            return dispatcher.run(mock.Mock(), _make_request())

    # Guards against a false "not run": a later attempt that is not sent tells
    # nothing of the one before, which may have run.
    def test_repetition_that_is_not_sent_says_nothing_of_a_broken_attempt(self):
        refusal = self.run_request(
            [Broken(reason='no answer')] + [NotSent(reason='refused')] * 9,
            [mock.sentinel.destination] * 10,
        )
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual(refusal.run_state, RunState.UNKNOWN)

    # Guards against the same when no target is left after the repetition.
    def test_lack_of_targets_says_nothing_of_a_broken_attempt(self):
        refusal = self.run_request(
            [Broken(reason='no answer'), NotSent(reason='refused')],
            [
                mock.sentinel.destination,
                mock.sentinel.destination,
                Refusal(status=503, code='no-target', message='none'),
            ],
        )
        self.assertEqual(refusal.run_state, RunState.UNKNOWN)


def _make_request():
    return CallerRequest(
        request_id='r',
        team='team',
        service='s',
        request_class=next(iter(RequestClass)),
        method='GET',
        path='/',
        fields=(),
        body=b'',
        deadline=_NOW + 1,
        is_idempotent=True,
    )

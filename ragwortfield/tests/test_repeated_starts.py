"""Start orders that are repeated because the first one had no answer."""

import unittest

from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import OrderRefused, Refusal
from ragwortfield.tests.shard_world import ShardWorld, build_single_step

#: Longest time from the answer to a stop order to the end of the run, in
#: seconds.
_STOP_S = 0.9
#: Time for which a repeated order waits for its turn and for its answer, in
#: seconds; longer than the start window.
_CALL_S = 2.2
_ROUND_S = 0.1


class SlowRefusals:
    """
    Calls to workers: the first start is not answered, the next one is refused.

    :param call_s: time from the creation of the second order to its answer, in
        seconds.
    :param refusal: the answer.
    :param is_polled: whether reports of the workers arrive in that time.
    """

    def __init__(self, *, world, call_s, refusal, is_polled):
        self.start_count = 0
        self._call_s = call_s
        self._refusal = refusal
        self._is_polled = is_polled
        self._world = world
        self._workers = world.workers
        world.workers = self

    def __getattr__(self, name):
        return getattr(self._workers, name)

    def start(self, order):
        self.start_count += 1
        if self.start_count == 1:
            self._workers.start(order)
            return Unavailable(reason='response lost', is_effect_possible=True)
        if self.start_count > 2:
            return self._workers.start(order)
        self._wait()
        worker = self._workers.worker_by_id[order.worker_id]
        return OrderRefused(
            refusal=self._refusal, clock_ms=int(worker.now_ms())
        )

    def _wait(self):
        owner = self._world.owners[-1]
        for _ in range(round(self._call_s / _ROUND_S)):
            self._world.advance(_ROUND_S)
            if self._is_polled:
                owner._renew_leases()


class RepeatedStartTest(unittest.TestCase):
    def set_up_world(self, refusal, *, is_polled):
        self.world = ShardWorld(workers=3, is_process_checked=True)
        for worker in self.world.workers.worker_by_id.values():
            worker.stop_s = _STOP_S
        self.world.take_over()
        self.act(1)
        self.calls = SlowRefusals(
            world=self.world,
            call_s=_CALL_S,
            refusal=refusal,
            is_polled=is_polled,
        )
        self.world.submit(build_single_step())

    def act(self, seconds, **options):
        for _ in range(round(seconds / _ROUND_S)):
            self.world.owners[-1].act(**options)
            self.world.advance(_ROUND_S)
            self.world.check()

    # Guards against two runs of one task: a worker that has carried out a start
    # without an answer refuses its repetition, as it is unhealthy by then. The
    # run goes on, and its stop takes time.
    def test_refused_repetition_does_not_end_a_run_that_may_have_started(self):
        self.set_up_world(Refusal.UNHEALTHY, is_polled=False)
        self.act(0.6, is_renewing_leases=False)
        self.assertEqual(self.calls.start_count, 2)
        self.act(3)
        self.assertEqual(self.count_starts(), 1)

    # Guards against the same if reports have shown the run meanwhile.
    def test_refused_repetition_does_not_end_a_run_that_is_reported(self):
        self.set_up_world(Refusal.UNHEALTHY, is_polled=True)
        self.act(0.6, is_renewing_leases=False)
        self.assertEqual(self.calls.start_count, 2)
        self.act(3)
        self.assertEqual(self.count_starts(), 1)

    def count_starts(self):
        return sum(
            entry[0] == 'start'
            for worker in self.world.workers.worker_by_id.values()
            for entry in worker.history
        )

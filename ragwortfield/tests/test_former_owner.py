"""Takeover while workers are lost: what the former owner knows is used."""

import math
import time
import unittest
from dataclasses import replace
from unittest import mock

import gevent

from ragwortfield.engine import former_owner_calls
from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.former_owner_calls import (
    answer_as_former_owner,
    ask_former_owner,
)
from ragwortfield.engine.ownership import OwnershipManager, SchedulerIdentity
from ragwortfield.engine.row_names import owner_row, sequence_row
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.ports.task_worker import EndKind, ListedWorker
from ragwortfield.scheduling.former_owner import (
    load_former_electorate,
    record_ended_owner,
)
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.records import (
    ElectorateRecord,
    OwnerRecord,
    SequenceRecord,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.log_capture import capture_log_lines
from ragwortfield.tests.shard_world import (
    CATALOGUE,
    ShardWorld,
    build_single_step,
)

#: Time within which a lasting task has to run again, in seconds.
_MAX_WAIT_S = 6
#: Time within which it has to run again if its owner is lost for good as well,
#: in seconds: contact within 3 s, 4 s without disruptions, and 3 s more.
_MAX_WAIT_AFTER_LOSSES_S = 10
#: Longest time that the tests allow for the takeover then, in seconds.
_MAX_TAKEOVER_S = 2
_ROUND_S = 0.1
#: Wait of a new owner that knows nothing of the former one, in seconds.
_LONGEST_WAIT_S = TimingBounds().unaware_s + TimingBounds().longest_lease_s()


class FormerOwnerTest(unittest.TestCase):
    def setUp(self):
        self.set_up_world(is_process_checked=True)

    def set_up_world(self, *, is_process_checked):
        self.world = ShardWorld(
            workers=3, is_process_checked=is_process_checked
        )
        self.world.take_over()
        self.act(1)
        self.job_id = self.world.submit(build_single_step(is_long_lived=True))
        self.act(1)

    def act(self, seconds):
        for _ in range(round(seconds / _ROUND_S)):
            for owner in self.world.owners:
                owner.act()
            self.world.advance(_ROUND_S)
        self.world.check()

    def lose_worker(self):
        """Lose the worker of the task for good."""
        worker = self.world.find_busy_worker()
        worker.restart()
        worker.is_reachable = False
        return worker

    def list_runs(self):
        return [
            key
            for worker in self.world.workers.worker_by_id.values()
            for key in worker.run_by_key
        ]

    # Guards against a lasting task without a run for 15 s: its worker is lost,
    # and the shard changes its owner before the lease is over.
    def test_task_of_a_lost_worker_runs_soon_after_a_handover(self):
        self.lose_worker()
        self.act(0.8)
        self.world.hand_over()
        self.act(_MAX_WAIT_S - 0.8)
        self.assertEqual(len(self.list_runs()), 1)

    # Guards against a lasting task without a run for 11 to 13 s: its worker is
    # lost, and the owner is killed at the same time. Its restarted process
    # answers, so only the longest lease is waited for, not the one asked for.
    def test_task_of_a_lost_worker_runs_soon_after_the_owner_ended(self):
        self.act(60)
        self.lose_worker()
        self.act(0.8)
        former = self.world.owners[-1]
        former.is_fenced_off = True
        self.world.take_over()
        record_ended_owner(
            self.world.owners[-1].state,
            former.state.epoch,
            former.state.owner_since,
            self.world.now,
        )
        self.act(_MAX_WAIT_S - 0.8)
        self.assertEqual(len(self.list_runs()), 1)

    # Guards against a lasting task without a run for 15 s: its worker is lost,
    # and so is the machine of the owner, which answers nobody any more.
    def test_task_of_a_lost_worker_runs_soon_after_the_owner_was_lost(self):
        self.lose_worker()
        former = self.world.owners[-1]
        former.is_fenced_off = True
        self.act(_MAX_TAKEOVER_S)
        self.world.take_over()
        self.act(_MAX_WAIT_AFTER_LOSSES_S - _MAX_TAKEOVER_S)
        self.assertEqual(len(self.list_runs()), 1)

    # Guards against the same while a worker of which nothing is heard lives on,
    # and its former owner, too, which has not noticed its replacement.
    def test_task_of_a_worker_that_lives_on_is_not_run_twice(self):
        worker = self.world.find_busy_worker()
        self.world.take_over()
        self.world.owners[-1].unreachable_worker_ids = {worker.worker_id}
        # ``act`` checks that nothing runs twice.
        self.act(20)
        self.assertEqual(len(self.list_runs()), 1)
        self.assertEqual(worker.run_by_key, {})

    # Guards against two runs of one task: a start that was under way when the
    # former owner stopped may still have an effect in a restarted worker.
    def test_start_under_way_at_a_handover_is_waited_for(self):
        self.set_up_world(is_process_checked=False)
        worker = self.lose_worker()
        state = self.world.owners[-1].state
        (task,) = state.worker_by_id[worker.worker_id].run_by_key.values()
        task.pending_start_calls = 1
        self.world.hand_over()
        self.act(state.bounds.longest_order_effect_s() - 1)
        self.assertEqual(self.list_runs(), [])
        self.act(2)
        self.assertEqual(len(self.list_runs()), 1)

    # Guards against a lasting task without a run for 12 s in the same case: the
    # start can only have reached the process whose lease is waited for.
    def test_start_to_its_process_is_waited_for_like_a_lease(self):
        worker = self.lose_worker()
        state = self.world.owners[-1].state
        (task,) = state.worker_by_id[worker.worker_id].run_by_key.values()
        task.pending_start_calls = 1
        self.world.hand_over()
        self.act(state.bounds.requested_lease_s() - 0.5)
        self.assertEqual(self.list_runs(), [])
        self.act(_MAX_WAIT_S - state.bounds.requested_lease_s() + 0.5)
        self.assertEqual(len(self.list_runs()), 1)

    # Guards against a second run of a task that is done: the former owner had
    # seen the end and could not store it, and the worker, on which nothing runs
    # any more, has not reported to the new owner yet.
    def test_end_that_was_not_stored_is_waited_for(self):
        job_id = self.world.submit(build_single_step())
        self.act(1)
        self.world.store.is_down = True
        self.world.end_runs(EndKind.DONE, count=9)
        self.act(0.5)
        self.world.store.is_down = False
        self.world.hand_over()
        workers = self.world.workers.worker_by_id.values()
        for worker in workers:
            worker.is_reachable = not worker.ends
        self.act(0.5)
        for worker in workers:
            worker.is_reachable = True
        self.act(1)
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)
        starts = [
            entry
            for worker in workers
            for entry in worker.history
            if entry[0] == 'start' and entry[2].job_id == job_id
        ]
        self.assertEqual(len(starts), 1)

    # Guards against two runs of one task: the former owner had not heard of the
    # worker itself, so it does not know its lease.
    def test_worker_unknown_to_the_former_owner_is_waited_for(self):
        worker = self.lose_worker()
        self.world.take_over()
        self.act(0.5)
        second = self.world.owners[-1].state
        self.world.hand_over()
        expected = second.former_run_end(worker.worker_id)
        state = self.world.owners[-1].state
        self.assertAlmostEqual(state.former_run_end(worker.worker_id), expected)


class FormerOwnerAnswerTest(unittest.TestCase):
    """The new owner uses what a process at the former owner's address says."""

    def setUp(self):
        self.runner = mock.Mock(shard=0, is_stopped=False)
        self.runner.state = _make_state(epoch=2)
        self.former = KnownOwner(
            record=OwnerRecord(
                instance_id='former', incarnation='1', epoch=1, address='f:1'
            ),
            version=1,
        )

    def ask(self, **answer):
        body = {
            'instance': 'former',
            'incarnation': '1',
            'remaining': None,
        } | answer
        peers = mock.Mock()
        peers.call.return_value = body
        ask_former_owner(peers, self.runner, self.former)
        return self.runner.state

    def compute_wait_s(self, worker_id='w'):
        return self.runner.state.former_run_end(worker_id) - time.monotonic()

    def test_remaining_times_replace_the_longest_wait(self):
        self.assertGreater(self.compute_wait_s(), _LONGEST_WAIT_S)
        self.ask(remaining={'w': 3})
        self.assertLess(self.compute_wait_s(), 3)
        self.assertGreater(self.compute_wait_s('other'), _LONGEST_WAIT_S)

    def test_ended_process_extends_no_leases(self):
        known_for = replace(self.former, seen_at=time.monotonic() - 60)
        self.former = known_for
        self.ask(incarnation='2')
        self.assertLess(self.compute_wait_s(), 10.3)
        self.assertGreater(self.compute_wait_s(), 10)

    # Guards against a wait that is too short: the ended process had been the
    # owner for a moment only, and the one before it may not know that.
    def test_owner_before_a_short_term_is_waited_for(self):
        self.ask(incarnation='2')
        self.assertGreater(self.compute_wait_s(), _LONGEST_WAIT_S)

    def test_process_of_another_instance_tells_nothing(self):
        self.ask(instance='other', remaining={'w': 0})
        self.assertGreater(self.compute_wait_s(), _LONGEST_WAIT_S)

    def test_former_owner_that_had_not_loaded_tells_nothing(self):
        self.ask(remaining=None)
        self.assertGreater(self.compute_wait_s(), _LONGEST_WAIT_S)

    def test_impossible_times_are_refused(self):
        for remaining_s in (-1, math.nan, math.inf):
            with self.assertRaises(ValueError):
                self.ask(remaining={'w': remaining_s})
        self.assertGreater(self.compute_wait_s(), _LONGEST_WAIT_S)

    # Guards against a log that does not tell what a new owner took for granted
    # about the one before it.
    def test_answer_is_kept_for_the_log(self):
        self.assertEqual(self.runner.state.former_answer, 'none')
        for answer, name in (
            ({'remaining': {'w': 3}}, 'leases'),
            ({'remaining': None}, 'unknown'),
            ({'incarnation': '2'}, 'process_ended'),
        ):
            with capture_log_lines() as lines:
                state = self.ask(**answer)
            self.assertEqual(state.former_answer, name)
            self.assertIn('former=former former_epoch=1', lines[0])
            self.assertIn(f'answer={name} owned_s=', lines[0])

    def test_silent_former_owner_is_asked_again(self):
        peers = mock.Mock()
        peers.call.side_effect = [
            Unavailable(reason='silent'),
            {'instance': 'former', 'incarnation': '1', 'remaining': {'w': 0}},
        ]
        ask_former_owner(peers, self.runner, self.former)
        self.assertLess(self.compute_wait_s(), 0)

    # Guards against tasks of lost workers without a run for an hour: most of
    # the workers that confirm the former owner are lost, and its process is
    # back only after its leases are over.
    def test_former_owner_that_workers_may_confirm_is_asked_for_longer(self):
        state = self.runner.state
        load_former_electorate(
            state, ElectorateRecord(epoch=1, born_ms_by_worker={'w': 1})
        )
        clock = mock.Mock(monotonic=lambda: self.now)
        self.now = state.owner_since
        back_at = self.now + 60

        def answer(*_):
            self.now += 0.4
            if self.now < back_at:
                return Unavailable(reason='silent')
            return {'instance': 'former', 'incarnation': '2', 'remaining': None}

        with (
            mock.patch.object(former_owner_calls, 'time', clock),
            mock.patch.object(gevent, 'sleep', self.advance),
        ):
            ask_former_owner(mock.Mock(call=answer), self.runner, self.former)
        self.assertLess(state.former_run_end('w'), back_at + _LONGEST_WAIT_S)

    def advance(self, seconds):
        self.now += seconds


class RetirementTest(unittest.TestCase):
    """A former owner answers its successor."""

    def setUp(self):
        self.runner = mock.Mock(was_loaded=True)
        self.runner.state = _make_state(epoch=1)

    def answer(self, epoch):
        return answer_as_former_owner(
            'own', '1', self.runner, epoch=epoch, former_epoch=1
        )

    def test_former_owner_stops_before_it_answers(self):
        self.assertEqual(self.answer(epoch=2)['remaining'], {})
        self.runner.stop.assert_called_once()

    # Guards against an owner that is stopped by an answer to an older owner.
    def test_newer_owner_goes_on(self):
        self.assertIsNone(self.answer(epoch=1)['remaining'])
        self.runner.stop.assert_not_called()

    def test_owner_that_has_not_loaded_knows_nothing(self):
        self.runner.was_loaded = False
        self.assertIsNone(self.answer(epoch=2)['remaining'])
        self.runner.stop.assert_called_once()

    def test_process_without_a_runner_knows_nothing(self):
        self.runner = None
        self.assertIsNone(self.answer(epoch=2)['remaining'])


class EarlierTermTest(unittest.TestCase):
    """The latest runner of a process is not that of its latest term."""

    def setUp(self):
        self.store = FakeRowStore()
        self.terms = []
        peers = mock.Mock()
        peers.call.return_value = Unavailable(reason='refused')
        self.ownership = OwnershipManager(
            identity=SchedulerIdentity(
                instance_id='own', incarnation='1', address='own:1'
            ),
            cluster=ClusterView(shards=1),
            store=self.store,
            peers=peers,
            lease_s=4,
            make_runner=self.make_runner,
        )

    def make_runner(self, term):
        self.terms.append(term)
        return _make_runner(epoch=term.epoch)

    def name_owner(self, instance_id, epoch, incarnation='1'):
        record = OwnerRecord(
            instance_id=instance_id,
            incarnation=incarnation,
            epoch=epoch,
            address=f'{instance_id}:1',
        )
        write = RowWrite(name=owner_row(0), content=encode_record(record))
        self.store.commit(Transaction(writes=(write,)), 1)
        (row,) = self.store.read(owner_row(0).table, 's0').rows
        self.ownership._cluster.apply_owner_row(row)

    # Guards against a lasting task without a run for 15 s: its worker is lost,
    # and the owner, which knows when the lease ends, leaves as planned.
    def test_planned_stop_leaves_the_time_until_leases_end(self):
        leaving = _make_runner(epoch=1)
        leaving.owner_version.return_value = 1
        leaving.stop.side_effect = lambda _: setattr(
            leaving, 'is_stopped', True
        )
        _add_reported_worker(leaving.state, 'w')
        self.name_owner('own', epoch=1)
        self.ownership.runner_by_shard[0] = leaving
        self.ownership.leave(1)
        self.ownership.is_leaving = False
        (row,) = self.store.read(owner_row(0).table, 's0').rows
        self.ownership._cluster.apply_owner_row(row)
        self.ownership._take_over_vacant_shard(0)
        state = self.ownership.runner(0).state
        wait_s = state.former_run_end('w') - time.monotonic()
        self.assertLess(wait_s, state.bounds.requested_lease_s() + 1)

    # Guards against lasting tasks without a run for over 10 s: all instances
    # and some workers lose power at one moment, and the restarted processes
    # do not know for how long the former owner had owned the shard.
    def test_long_term_of_an_owner_that_ended_is_known_after_a_restart(self):
        self.take_over_from_ended_owner(sequence_epoch=7, term_ms=60_000)
        wait_s = self.get_unaware_end() - time.monotonic()
        self.assertLess(wait_s, 0.1)

    # Guards against two runs of one task: the owner before the one that ended
    # has not noticed its replacement yet.
    def test_short_term_of_an_owner_that_ended_is_waited_for(self):
        self.take_over_from_ended_owner(sequence_epoch=7, term_ms=1000)
        wait_s = self.get_unaware_end() - time.monotonic()
        self.assertGreater(wait_s, TimingBounds().unaware_s - 1.1)

    def test_term_of_an_earlier_owner_does_not_count(self):
        self.take_over_from_ended_owner(sequence_epoch=6, term_ms=60_000)
        wait_s = self.get_unaware_end() - time.monotonic()
        self.assertGreater(wait_s, TimingBounds().unaware_s - 0.1)

    def take_over_from_ended_owner(self, *, sequence_epoch, term_ms):
        self.name_owner('own', epoch=7, incarnation='0')
        sequence = SequenceRecord(
            epoch=sequence_epoch, number=5, term_ms=term_ms
        )
        write = RowWrite(name=sequence_row(0), content=encode_record(sequence))
        self.store.commit(Transaction(writes=(write,)), 1)
        owner = self.ownership._cluster.owner_by_shard[0]
        self.assertTrue(
            self.ownership._take_over(0, 'lost', known_version=owner.version)
        )
        self.assertEqual(self.terms[-1].former, owner.record)

    def get_unaware_end(self):
        return self.ownership.runner(0).state.former_owner_until

    # Guards against two runs of one task: an instance owns the shard, another
    # one after it, then the first again by a takeover whose answer is lost, so
    # that its latest runner knows nothing of the leases of the term between.
    def test_runner_of_an_earlier_term_does_not_tell_the_leases(self):
        old = _make_runner(epoch=1)
        _add_reported_worker(old.state, 'w')
        old.is_stopped = True
        self.ownership.runner_by_shard[0] = old
        self.name_owner('other', epoch=2)
        self.name_owner('own', epoch=3)
        self.ownership._check_owner(0)
        state = self.ownership.runner(0).state
        self.assertEqual(state.epoch, 4)
        wait_s = state.former_run_end('w') - time.monotonic()
        self.assertGreater(wait_s, state.bounds.longest_lease_s())


def _add_reported_worker(state, worker_id):
    """Add a worker that has reported and whose lease is over."""
    shard_updates.update_worker(state, ListedWorker(worker_id=worker_id))
    worker = state.worker_by_id[worker_id]
    worker.clock.observe(60_000, time.monotonic())
    worker.first_reported_at = time.monotonic()
    worker.lease_end_ms = 4_000


def _make_runner(epoch):
    runner = mock.Mock(shard=0, is_stopped=False, was_loaded=True)
    runner.state = _make_state(epoch)
    return runner


def _make_state(epoch):
    return ShardState(
        epoch=epoch,
        owner_since=time.monotonic(),
        bounds=TimingBounds(),
        catalogue=CATALOGUE,
    )

"""All short sequences of events of the model of ownership, and found ones."""

import math
import unittest
from unittest import mock

from ragwortfield.engine import ownership_keeper
from ragwortfield.engine.electorate_store import ElectorateStore
from ragwortfield.engine.ownership_keeper import OwnershipKeeper
from ragwortfield.invariants import InvariantError
from ragwortfield.scheduling import commits, worker_reports
from ragwortfield.scheduling.ownership_confirmation import (
    FormerElectorate,
    OwnershipConfirmation,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import release_task
from ragwortfield.tests.ownership_search import (
    CORE_EVENTS,
    SINGLE_EVENTS,
    START_EVENTS,
    STOP_EVENTS,
    finish,
    replay,
    search,
    select_shortest,
)

#: Length of the searched sequences; longer ones take minutes.
_DEPTH = 3
_START_DEPTH = 4
#: Smallest number of states that a search has to find, so that it cannot pass
#: by finding nothing to do.
_MIN_STATES = 400


class SearchTest(unittest.TestCase):
    # Guards against two runs of one task, a start after an acknowledged end or
    # cancellation, and a task that never runs again, whatever up to three
    # faults, changes of owner, pauses and late calls come together.
    def test_no_sequence_of_events_breaks_an_invariant(self):
        self.search(_DEPTH, SINGLE_EVENTS)

    # Guards against the same after changes of owner and pauses of which each
    # takes several single events, and so in longer sequences.
    def test_no_sequence_of_takeovers_and_pauses_breaks_an_invariant(self):
        self.search(_DEPTH, CORE_EVENTS)

    # Guards against the same around a start that was under way when its owner
    # was paused and replaced.
    def test_no_sequence_of_events_around_a_start_breaks_an_invariant(self):
        self.search(_START_DEPTH, START_EVENTS)

    # Guards against the same around stops that are under way, since runs go on
    # after the answers to their stops.
    def test_no_sequence_of_events_around_a_stop_breaks_an_invariant(self):
        self.search(_DEPTH, STOP_EVENTS)

    def search(self, depth, names):
        result = search(depth, names)
        shortest = select_shortest(result.message_by_violation)
        messages = [
            f'{", ".join(sequence)}: {result.message_by_violation[sequence]}'
            for sequence in shortest
        ]
        self.assertGreater(result.states, _MIN_STATES)
        self.assertEqual(messages, [])


class FoundSequenceTest(unittest.TestCase):
    """Sequences that broke an invariant once, the shortest of their kind."""

    def run_sequence(self, *names):
        finish(replay(names))

    # Guards against two runs of one task: an owner that reaches neither the
    # store nor its peers goes on extending the lease of a worker that its
    # successor does not reach (incident 0015).
    def test_owner_without_store_stops_beside_its_successor(self):
        self.run_sequence('isolate zone', 'take over')

    # Guards against the same if the owner changes twice in a row: the last
    # owner waits for the one before it, not for the one two terms back.
    def test_owner_two_terms_back_stops_as_well(self):
        self.run_sequence('isolate zone', 'take over', 'take over')

    # Guards against the same if the process of the owner between them has
    # ended, which says nothing of the owner two terms back.
    def test_owner_before_one_that_has_ended_stops_as_well(self):
        self.run_sequence('isolate zone', 'take over', 'end process')

    # Guards against the same if most workers confirm the owner, which goes on,
    # and its process ends: it has just extended the leases of workers that its
    # successor does not reach.
    def test_leases_of_an_owner_that_has_just_ended_are_waited_for(self):
        for wait in (), ('wait 3.8 s',), ('wait 3.8 s', 'wait 3.8 s'):
            with self.subTest(wait):
                self.run_sequence(
                    'replace isolated majority', *wait, 'end former process'
                )

    # Guards against the same if the owner is paused between the creation and
    # the sending of its lease orders.
    def test_owner_paused_before_sending_stops_as_well(self):
        self.run_sequence(
            'isolate zone', 'take over', 'wait 3.8 s', 'pause before sending'
        )

    # Guards against two runs of one task without a cut from the store: an owner
    # is paused just after it was replaced, and when it goes on, it extends
    # leases before it reads its row. It still counts the workers as in contact,
    # and the new lease outlasts the wait of its successor.
    def test_owner_paused_after_its_replacement_extends_no_lease(self):
        for start in (
            ('take over blindly', 'pause before leases'),
            ('pause before leases', 'take over blindly'),
        ):
            with self.subTest(start):
                self.run_sequence(*start, 'wait 3.8 s', 'resume')


class MutationTest(unittest.TestCase):
    """Without one of the mechanisms a searched sequence breaks an invariant."""

    def assert_found(self, *names):
        is_core = set(names) <= set(CORE_EVENTS) and len(names) <= _DEPTH
        is_start = set(names) <= set(START_EVENTS)
        self.assertTrue(is_core or (is_start and len(names) <= _START_DEPTH))
        with self.assertRaisesRegex(AssertionError, 'runs twice'):
            finish(replay(names))

    # Guards against a model that does not show an owner without a bound.
    def test_unbounded_authority_is_found(self):
        with mock.patch.object(
            OwnershipConfirmation, 'is_valid', lambda *_: True
        ):
            self.assert_found('replace isolated owner')

    # Guards against a model that does not show a minority that confirms.
    def test_one_poll_as_a_majority_is_found(self):
        with mock.patch.object(
            OwnershipConfirmation,
            '_find_majority_time_of',
            _find_latest_poll,
        ):
            self.assert_found('replace isolated owner')

    # Guards against a model that does not show a successor that starts runs
    # while a majority confirms the former owner.
    def test_successor_without_wait_for_the_fenced_half_is_found(self):
        with mock.patch.object(
            FormerElectorate, '__post_init__', _assume_fenced
        ):
            # The running program finds it by itself, and starts no run.
            with self.assertRaisesRegex(InvariantError, 'former_owner_over'):
                finish(replay(('replace isolated majority',)))
            with mock.patch.object(
                worker_reports, 'check_former_owner', lambda *_: True
            ):
                self.assert_found('replace isolated majority')

    # Guards against a model in which a run is over when its stop is answered.
    def test_answer_to_a_stop_taken_for_the_end_is_found(self):
        with (
            mock.patch.object(
                worker_reports, 'apply_stop_outcome', _release_stopped_run
            ),
            self.assertRaisesRegex(AssertionError, 'runs twice'),
        ):
            finish(replay(('move runs',)))

    # Guards against a model that does not show that the former owner goes on
    # for a while after half of its electorate was fenced.
    def test_fenced_half_without_further_wait_is_found(self):
        with mock.patch.object(
            ShardState, 'former_authority_end', _find_fenced_at
        ):
            self.assert_found(
                'replace isolated majority', 'wait 3.8 s', 'shrink zone'
            )

    # Guards against a model that does not show an owner two terms back: the
    # owner between has replaced the record of that one's electorate.
    def test_regard_for_one_owner_back_is_found(self):
        for change in ('take over', 'end process'):
            with (
                self.subTest(change),
                mock.patch.object(
                    ElectorateStore, 'save_if_changed', _save_at_once
                ),
            ):
                self.assert_found(
                    'replace isolated majority', 'wait 3.8 s', change
                )

    # Guards against a model that does not show a confirmation that is as old as
    # a pause between the call to the store and the use of its answer.
    def test_confirmation_dated_by_the_answer_of_the_store_is_found(self):
        with mock.patch.object(
            OwnershipKeeper, 'read_owner_row', _read_and_date_by_answer
        ):
            self.assert_found(
                'pause after read',
                'replace isolated owner',
                'resume after 3.8 s',
            )

    # Guards against the same for the answers of workers.
    def test_confirmation_dated_by_the_answers_of_workers_is_found(self):
        with mock.patch.object(
            OwnershipConfirmation, 'record_poll', _record_answered_poll
        ):
            self.assert_found(
                'pause after polls',
                'replace isolated owner',
                'resume after 3.8 s',
            )

    # Guards against the same for a commit.
    def test_confirmation_dated_by_the_answer_to_a_commit_is_found(self):
        with mock.patch.object(
            commits, 'apply_committed', _apply_committed_late
        ):
            self.assert_found(
                'submit',
                'pause after commit',
                'replace isolated owner',
                'resume after 3.8 s',
            )


_apply_committed = commits.apply_committed
_save_if_changed = ElectorateStore.save_if_changed
_read_owner_row = OwnershipKeeper.read_owner_row
_record_poll = OwnershipConfirmation.record_poll


def _find_latest_poll(confirmation, electorate):
    return max(
        (
            sent_at
            for worker_id, (_, sent_at) in confirmation.poll_by_worker.items()
            if worker_id in electorate
        ),
        default=-math.inf,
    )


def _assume_fenced(electorate):
    electorate.fenced_at = -math.inf


def _find_fenced_at(state):
    fenced_at = state.former_electorate.fenced_at
    if fenced_at is None:
        return math.inf
    return max(state.former_owner_until, fenced_at)


def _save_at_once(store, state, now):
    with mock.patch.object(
        ShardState, 'former_authority_end', lambda _: -math.inf
    ):
        return _save_if_changed(store, state, now)


def _read_and_date_by_answer(keeper):
    is_owner = _read_owner_row(keeper)
    if is_owner is True:
        keeper._state.confirmation.record_store_call(
            ownership_keeper.time.monotonic()
        )
    return is_owner


def _apply_committed_late(state, batch, now, *, sent_at):
    _apply_committed(state, batch, now, sent_at=max(now, sent_at))


def _record_answered_poll(confirmation, worker_id, born_ms, _sent_at):
    _record_poll(
        confirmation, worker_id, born_ms, ownership_keeper.time.monotonic()
    )


def _release_stopped_run(state, order, _outcome, _now):
    release_task(state, state.find_run(order.key, order.run), 'stopped')

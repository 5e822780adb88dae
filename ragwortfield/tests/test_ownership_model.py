"""All short sequences of events of the model of ownership, and found ones."""

import unittest

from ragwortfield.tests.ownership_search import (
    ALL_EVENTS,
    CORE_EVENTS,
    finish,
    replay,
    search,
    select_shortest,
)

#: Length of the searched sequences of all events, and of those of changes of
#: owner and pauses alone; longer ones take minutes.
_DEPTH = 3
_CORE_DEPTH = 4


class SearchTest(unittest.TestCase):
    # Guards against two runs of one task, a start after an acknowledged end or
    # cancellation, and a task that never runs again, whatever up to three
    # faults, changes of owner, pauses and late calls come together.
    def test_no_sequence_of_events_breaks_an_invariant(self):
        self.search(_DEPTH, ALL_EVENTS)

    # Guards against the same with more changes of owner and pauses in a row.
    def test_no_sequence_of_takeovers_and_pauses_breaks_an_invariant(self):
        self.search(_CORE_DEPTH, CORE_EVENTS)

    def search(self, depth, names):
        result = search(depth, names)
        shortest = select_shortest(result.message_by_violation)
        messages = [
            f'{", ".join(sequence)}: {result.message_by_violation[sequence]}'
            for sequence in shortest
        ]
        self.assertGreater(result.states, 1000)
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

"""Search through all sequences of events of the model of ownership.

As a command, it searches further than the test suite does:
``python -m ragwortfield.tests.ownership_search --depth 5``.
"""

import pickle
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from absl import app, flags, logging

from ragwortfield.invariants import INVARIANTS
from ragwortfield.tests.ownership_model import OwnershipWorld

#: Longest time that passes in one event, in seconds. It is just shorter than a
#: lease, so that an owner that was paused for it still counts its workers as in
#: contact.
LONG_WAIT_S = 3.8
#: Time that passes after the last event of each sequence, in seconds; longer
#: than the wait of a successor for the leases of a former owner.
TAIL_S = 9
#: Longer than the wait of a successor that knows nothing of the former owner,
#: in seconds.
_LEASE_WAIT_S = 8
_MAX_OWNERS = 4
_MOVED_RUNS = 2

Sequence = tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Event:
    """
    Event of the model.

    :param apply: lets it happen.
    :param is_possible: tells whether it would change anything.
    """

    apply: Callable[[OwnershipWorld], None]
    is_possible: Callable[[OwnershipWorld], bool] = lambda world: True


@dataclass(kw_only=True)
class SearchResult:
    """
    Result of a search.

    :param sequences: number of sequences that were continued or ended; those
        that lead to a state that was known already are not continued.
    :param message_by_violation: what was violated, by sequence; shortest
        sequences first.
    """

    sequences: int = 0
    message_by_violation: dict[Sequence, str] = field(default_factory=dict)
    _state_hashes: set[int] = field(default_factory=set)

    @property
    def states(self) -> int:
        return len(self._state_hashes)

    def add_state(self, world: OwnershipWorld) -> bool:
        """Record the state of a world; tell whether it is a new one."""
        count = self.states
        self._state_hashes.add(hash(world.key()))
        return self.states > count

    def record(self, sequence: Sequence, message: str) -> None:
        """Record a violation; an empty message stands for none."""
        if message:
            self.message_by_violation[sequence] = message


def _may_take_over(world):
    return len(world.owners) < _MAX_OWNERS


def _pause_before(stage):
    return Event(
        apply=lambda world: world.pause(stage),
        is_possible=lambda world: world.find_oldest() is not None,
    )


def _resume_after(seconds):
    def apply(world):
        world.wait(seconds)
        world.resume()

    return Event(
        apply=apply,
        is_possible=lambda world: any(
            owner.is_paused for owner in world.owners
        ),
    )


EVENT_BY_NAME = {
    'wait 0.5 s': Event(apply=lambda world: world.wait(0.5)),
    'wait 2 s': Event(apply=lambda world: world.wait(2)),
    'wait 3.8 s': Event(apply=lambda world: world.wait(LONG_WAIT_S)),
    'isolate zone': Event(
        apply=OwnershipWorld.isolate_zone,
        is_possible=lambda world: not world.zone,
    ),
    'isolate majority': Event(
        apply=OwnershipWorld.isolate_majority,
        is_possible=lambda world: not world.zone,
    ),
    'cut store': Event(
        apply=OwnershipWorld.cut_store,
        is_possible=lambda world: world.newest.world.store.is_reachable,
    ),
    'cut busy worker': Event(
        apply=OwnershipWorld.cut_busy_worker,
        is_possible=lambda world: not world.newest.unreachable_worker_ids,
    ),
    'take over': Event(
        apply=OwnershipWorld.take_over, is_possible=_may_take_over
    ),
    'take over blindly': Event(
        apply=OwnershipWorld.take_over_blindly, is_possible=_may_take_over
    ),
    'take over unanswered': Event(
        apply=lambda world: world.take_over(is_answer_lost=True),
        is_possible=_may_take_over,
    ),
    'answer successor': Event(
        apply=OwnershipWorld.answer_successor,
        is_possible=OwnershipWorld.is_answer_possible,
    ),
    'end former process': Event(
        apply=OwnershipWorld.end_former_process,
        is_possible=OwnershipWorld.is_former_running,
    ),
    'end process': Event(
        apply=OwnershipWorld.end_process, is_possible=_may_take_over
    ),
    'pause before leases': _pause_before('create_lease_orders'),
    'pause before sending': _pause_before('send_lease_orders'),
    'pause before start': _pause_before('send_orders'),
    'pause after read': _pause_before('use_owner_row'),
    'pause after commit': _pause_before('apply_commit'),
    'pause after polls': _pause_before('apply_reports'),
    'resume': _resume_after(0),
    'resume after 3.8 s': _resume_after(LONG_WAIT_S),
    'resume after 8 s': _resume_after(_LEASE_WAIT_S),
    'restart busy worker': Event(apply=OwnershipWorld.restart_busy_worker),
    'hold up calls': Event(
        apply=OwnershipWorld.hold_up_calls,
        is_possible=lambda world: not world.newest.are_orders_held_up,
    ),
    'carry out late': Event(
        apply=OwnershipWorld.carry_out_late,
        is_possible=lambda world: bool(
            world.store.delayed_transactions or world.workers.delayed_orders
        ),
    ),
    'replace isolated owner': Event(
        apply=OwnershipWorld.replace_isolated_owner,
        is_possible=lambda world: not world.zone and _may_take_over(world),
    ),
    'replace isolated majority': Event(
        apply=OwnershipWorld.replace_isolated_majority,
        is_possible=lambda world: not world.zone and _may_take_over(world),
    ),
    'shrink zone': Event(
        apply=OwnershipWorld.shrink_zone,
        is_possible=lambda world: len(world.zone) > 1,
    ),
    'submit': Event(
        apply=OwnershipWorld.submit_lasting_job,
        is_possible=lambda world: len(world.accepted_job_by_id) == 2,
    ),
    'end tasks': Event(
        apply=OwnershipWorld.end_tasks,
        is_possible=OwnershipWorld.is_short_task_running,
    ),
    'move runs': Event(
        apply=lambda world: world.move_runs(_MOVED_RUNS),
        is_possible=OwnershipWorld.is_move_possible,
    ),
    'cancel': Event(
        apply=OwnershipWorld.cancel_lasting_job,
        is_possible=lambda world: not world.cancelled_at_by_id,
    ),
    'heal': Event(
        apply=OwnershipWorld.heal, is_possible=OwnershipWorld.is_disturbed
    ),
}

#: Events of changes of owner and pauses, for longer sequences; the others are
#: their parts.
CORE_EVENTS = (
    'wait 3.8 s',
    'take over',
    'take over blindly',
    'replace isolated owner',
    'replace isolated majority',
    'shrink zone',
    'answer successor',
    'end process',
    'end former process',
    'pause before leases',
    'pause before sending',
    'pause before start',
    'pause after read',
    'pause after commit',
    'pause after polls',
    'resume after 3.8 s',
    'resume after 8 s',
    'submit',
)
#: Events around a start that is under way, for still longer ones.
START_EVENTS = (
    'take over blindly',
    'replace isolated owner',
    'answer successor',
    'pause before start',
    'pause after commit',
    'resume after 3.8 s',
    'resume after 8 s',
    'submit',
)
#: Events around runs that are stopped to be moved.
STOP_EVENTS = (
    'wait 0.5 s',
    'move runs',
    'take over',
    'take over blindly',
    'replace isolated owner',
    'answer successor',
    'pause before start',
    'pause after polls',
    'resume',
    'cut busy worker',
    'restart busy worker',
    'hold up calls',
    'carry out late',
    'end tasks',
)
#: Events that are left out of the search of single changes: combinations of
#: others, and variants that the searches above contain.
_LEFT_OUT = frozenset(
    (
        'wait 2 s',
        'isolate majority',
        'shrink zone',
        'take over blindly',
        'replace isolated owner',
        'replace isolated majority',
        'pause before sending',
        'pause before start',
        'resume after 3.8 s',
        'resume after 8 s',
        'move runs',
    ),
)
#: Faults, changes of owner and requests of clients, each a single change.
SINGLE_EVENTS = tuple(name for name in EVENT_BY_NAME if name not in _LEFT_OUT)
_WAITS = ('wait 0.5 s', 'wait 2 s', 'wait 3.8 s')


def replay(sequence: Sequence) -> OwnershipWorld:
    """
    Let the events of a sequence happen.

    :raises AssertionError: if an invariant is violated.
    """
    world = OwnershipWorld()
    for name in sequence:
        EVENT_BY_NAME[name].apply(world)
        world.check()
    return world


def finish(world: OwnershipWorld) -> None:
    """
    Let time pass with the faults of a sequence, then without.

    :raises AssertionError: if an invariant is violated.
    """
    world.wait(TAIL_S)
    world.check_recovery()


def search(depth: int, names: Sequence = SINGLE_EVENTS) -> SearchResult:
    """
    Let every sequence of events happen up to a length.

    Of sequences that lead to the same state only one is continued. After the
    last event of each, ``finish`` is called.

    :param depth: largest number of events.
    :param names: the events.
    """
    result = SearchResult()
    level: dict[Sequence, bytes] = {(): pickle.dumps(OwnershipWorld())}
    for _ in range(depth):
        next_level = {}
        for sequence in _list_longer(level, names):
            next_copy = _continue(level[sequence[:-1]], sequence, result)
            if next_copy is not None:
                next_level[sequence] = next_copy
        level = next_level
    return result


def _list_longer(sequences, names):
    # At the beginning nothing changes with time.
    first_names = tuple(name for name in names if name not in _WAITS)
    for sequence in sequences:
        for name in names if sequence else first_names:
            yield (*sequence, name)


def _continue(copy, sequence, result):
    """
    Let the last event of a sequence happen, and ``finish`` a copy.

    :param copy: copy of the world before the event.
    :returns: copy of the world after it; ``None`` if the event was not
        possible, violated an invariant, or has led to a known state.
    """
    world = pickle.loads(copy)
    event = EVENT_BY_NAME[sequence[-1]]
    if not event.is_possible(world):
        return None
    result.sequences += 1
    message = _find_violation(event.apply, world)
    result.record(sequence, message)
    if message or not result.add_state(world):
        return None
    next_copy = pickle.dumps(world)
    result.record(sequence, _find_violation(finish, world))
    return next_copy


def select_shortest(sequences: Iterable[Sequence]) -> list[Sequence]:
    """Return the sequences that contain no other one, shortest first."""
    selected: list[Sequence] = []
    for sequence in sorted(sequences, key=len):
        if not any(_is_contained(other, sequence) for other in selected):
            selected.append(sequence)
    return selected


def _is_contained(part, sequence):
    names = iter(sequence)
    return all(name in names for name in part)


def _find_violation(work, world):
    """Return the message of the violated invariant; empty for none."""
    try:
        work(world)
        world.check()
    except AssertionError as violation:
        return str(violation)
    return ''


_DEPTH = flags.DEFINE_integer('depth', 4, 'Largest number of events.')
_WITHOUT = flags.DEFINE_list('without', [], 'Events that are left out.')
_CONTAINING = flags.DEFINE_list(
    'containing', [], 'Events that a sequence has to contain to be printed.'
)
_ONLY = flags.DEFINE_list(
    'only', list(SINGLE_EVENTS), 'Events that may happen.'
)


def main(_arguments):
    logging.set_verbosity(logging.FATAL)
    INVARIANTS.is_raising = True
    names = tuple(name for name in _ONLY.value if name not in _WITHOUT.value)
    result = search(_DEPTH.value, names)
    violations = [
        sequence
        for sequence in result.message_by_violation
        if _is_contained(_CONTAINING.value, sequence)
    ]
    for sequence in select_shortest(violations):
        message = result.message_by_violation[sequence]
        sys.stdout.write(f'{", ".join(sequence)}: {message}\n')
    sys.stdout.write(
        f'depth={_DEPTH.value} sequences={result.sequences} '
        f'states={result.states} '
        f'violations={len(result.message_by_violation)}\n'
    )
    return 1 if result.message_by_violation else 0


if __name__ == '__main__':
    app.run(main)

"""Random runs of the model of ownership, beyond the searched sequences."""

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from ragwortfield.ports.task_worker import EndKind
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.ownership_model import STAGES, OwnershipWorld
from ragwortfield.tests.ownership_search import finish
from ragwortfield.tests.shard_world import build_single_step

_MAX_OWNERS = 10
_MAX_JOBS = 6
_WORKER_IDS = ('w0', 'w1', 'w2', 'w3', 'w4')
_LATER_CHANGES = (
    None,
    OwnershipWorld.take_over,
    OwnershipWorld.end_process,
    OwnershipWorld.replace_and_answer,
)


class OwnershipMachine(RuleBasedStateMachine):
    """
    Owners of one shard, each with its own view of the store and the workers.

    A renamed rule or argument must keep its place in alphabetical order:
    Hypothesis sorts rules by number of arguments and name, and arguments by
    name, so otherwise a seed would give another run.
    """

    def __init__(self):
        super().__init__()
        self.world = OwnershipWorld()

    @rule(seconds=strategies.sampled_from((0.1, 0.5, 2, 3.8, 8)))
    def wait(self, seconds):
        self.world.wait(seconds)

    @precondition(lambda self: len(self.world.owners) < _MAX_OWNERS)
    @rule(
        heard=strategies.sets(strategies.sampled_from(_WORKER_IDS)),
        is_answer_lost=strategies.sampled_from((False, False, False, True)),
    )
    def take_over(self, heard, is_answer_lost):
        """Replace the owner by one that reaches only some of the workers."""
        self.world.take_over(is_answer_lost=is_answer_lost)
        self.world.newest.unreachable_worker_ids = set(_WORKER_IDS) - heard

    @precondition(lambda self: len(self.world.owners) < _MAX_OWNERS)
    @rule()
    def take_over_quietly(self):
        self.world.take_over()

    @precondition(lambda self: len(self.world.owners) < _MAX_OWNERS)
    @rule(
        heard=strategies.sets(
            strategies.sampled_from(_WORKER_IDS), min_size=1, max_size=4
        ),
        pause=strategies.sampled_from((None, *STAGES)),
        term_s=strategies.sampled_from((1, 3, 8)),
        is_store_cut=strategies.booleans(),
        later_change=strategies.sampled_from(_LATER_CHANGES),
        seconds=strategies.sampled_from((0, 0.5, 3.8, 8)),
    )
    def replace_beside(
        self, heard, pause, term_s, is_store_cut, later_change, seconds
    ):
        """
        Replace an owner that goes on, on the other side of a cut.

        :param heard: workers that only the former owner reaches.
        :param pause: step before which it is paused meanwhile, if at all.
        :param term_s: time for which it owned the shard without faults.
        :param is_store_cut: whether it is cut off from the store.
        :param later_change: how its successor is replaced, if at all.
        :param seconds: time after which that happens and a pause ends.
        """
        self.world.heal()
        if not self.world.newest.is_running:
            self.world.take_over()
        self.world.wait(term_s)
        former = self.world.newest
        if pause and former.is_running:
            self.world.pause_owner(former, pause)
        former.unreachable_worker_ids = set(_WORKER_IDS) - heard
        former.world.store.is_reachable = not is_store_cut
        self.world.zone = heard
        self.world.take_over()
        self.world.wait(seconds)
        if later_change:
            later_change(self.world)
        if former.is_paused:
            self.world.resume_owner(former)
        self.world.wait(9)
        self.world.zone = set()

    @precondition(lambda self: len(self.world.owners) < _MAX_OWNERS)
    @rule()
    def end_process(self):
        self.world.end_process()

    @precondition(lambda self: self.world.is_former_running())
    @rule()
    def end_former_process(self):
        self.world.end_former_process()

    @precondition(lambda self: self.world.is_answer_possible())
    @rule()
    def answer_successor(self):
        self.world.answer_successor()

    @rule(data=strategies.data(), is_reachable=strategies.booleans())
    def cut_store(self, data, is_reachable):
        self.draw_owner(data).world.store.is_reachable = is_reachable

    @rule(
        data=strategies.data(),
        heard=strategies.sets(strategies.sampled_from(_WORKER_IDS)),
    )
    def cut_workers(self, data, heard):
        self.draw_owner(data).unreachable_worker_ids = set(_WORKER_IDS) - heard

    @rule(
        data=strategies.data(),
        is_answer_lost=strategies.booleans(),
        is_held_up=strategies.booleans(),
    )
    def disturb_calls(self, data, is_answer_lost, is_held_up):
        owner = self.draw_owner(data)
        owner.are_answers_lost = is_answer_lost
        owner.are_orders_held_up = is_held_up

    @rule(data=strategies.data(), is_held_up=strategies.booleans())
    def disturb_commit(self, data, is_held_up):
        store = self.draw_owner(data).world.store
        store.is_next_commit_held_up = is_held_up
        store.is_next_answer_lost = not is_held_up

    @rule()
    def carry_out_late(self):
        self.world.carry_out_late()

    @rule(data=strategies.data(), stage=strategies.sampled_from(STAGES))
    def pause(self, data, stage):
        owner = self.draw_owner(data)
        if owner.is_running:
            self.world.pause_owner(owner, stage)

    @rule(data=strategies.data())
    def resume(self, data):
        owner = self.draw_owner(data)
        if owner.is_paused:
            self.world.resume_owner(owner)

    @precondition(
        lambda self: len(self.world.workers.worker_by_id) < len(_WORKER_IDS)
    )
    @rule(clock_rate=strategies.sampled_from((0.98, 1)))
    def add_worker(self, clock_rate):
        number = len(self.world.workers.worker_by_id)
        self.world.add_model_worker(number, clock_rate)

    @rule(data=strategies.data())
    def restart_worker(self, data):
        self.draw_worker(data).restart()
        self.world.check()

    @rule(data=strategies.data())
    def cut_worker_off(self, data):
        worker = self.draw_worker(data)
        worker.is_reachable = not worker.is_reachable

    @rule(kind=strategies.sampled_from((EndKind.DONE, EndKind.FAILED)))
    def end_runs(self, kind):
        self.world.end_runs(kind)

    @precondition(lambda self: len(self.world.accepted_job_by_id) < _MAX_JOBS)
    @rule(is_long_lived=strategies.booleans())
    def submit(self, is_long_lived):
        self.world.submit(build_single_step(is_long_lived=is_long_lived))

    @rule(data=strategies.data())
    def cancel(self, data):
        job_ids = sorted(self.world.accepted_job_by_id)
        self.world.cancel(data.draw(strategies.sampled_from(job_ids)))

    @precondition(lambda self: self.world.newest.is_running)
    @rule(count=strategies.integers(1, 3))
    def move_runs(self, count):
        """Stop running tasks; the other rules go on while they stop."""
        self.world.move_runs(count)

    @rule()
    def heal(self):
        self.world.heal()

    @rule()
    def recover(self):
        self.world.check_recovery()

    def draw_worker(self, data):
        worker_by_id = self.world.workers.worker_by_id
        return worker_by_id[
            data.draw(strategies.sampled_from(sorted(worker_by_id)))
        ]

    def draw_owner(self, data):
        """Draw an owner that can still act."""
        owners = [
            owner
            for owner in self.world.owners
            if not (owner.is_fenced_off or owner.has_ended)
        ]
        return data.draw(strategies.sampled_from(owners or self.world.owners))

    def teardown(self):
        if hasattr(self, 'world'):
            finish(self.world)


def test_no_task_runs_twice_whatever_owners_know():
    run_state_machine(OwnershipMachine, steps=40)

"""Random runs of owners that wait for leases as requested after a takeover.

Orders with a deadline only reach the worker process that they are for, and a
replaced owner notices it after the time that its successors allow for.
"""

from hypothesis import strategies
from hypothesis.stateful import rule

from ragwortfield.engine.row_names import sequence_row
from ragwortfield.scheduling.former_owner import (
    estimate_term_start,
    record_ended_owner,
)
from ragwortfield.scheduling.records import SequenceRecord, decode_record
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.shard_world import SHARD, build_single_step
from ragwortfield.tests.test_shard_machine import ShardMachine

_MAX_JOBS = 12
_WORKERS = 3


class TakeoverMachine(ShardMachine):
    """Owners that compete, each of which reaches only some of the workers."""

    is_process_checked = True

    @rule(
        data=strategies.data(),
        unreachable=strategies.sets(strategies.integers(0, _WORKERS - 1)),
    )
    def cut_owner(self, data, unreachable):
        owner = data.draw(strategies.sampled_from(self.world.owners))
        owner.unreachable_worker_ids = {f'w{number}' for number in unreachable}

    @rule(
        heard_rounds=strategies.integers(0, 2),
        seconds=strategies.sampled_from((1, 4, 8, 12)),
        unreachable=strategies.sets(
            strategies.integers(0, _WORKERS - 1), min_size=1
        ),
    )
    def take_over_beside_former_owner(self, heard_rounds, seconds, unreachable):
        """Replace an owner that goes on and reaches other workers."""
        self.world.take_over()
        successor = self.world.owners[-1]
        # The first round loads the shard.
        for _ in range(heard_rounds and heard_rounds + 1):
            successor.act()
            self.world.advance(0.05)
        successor.unreachable_worker_ids = {
            f'w{number}' for number in unreachable
        }
        self.act_in_turn(seconds)

    @rule(
        number=strategies.integers(0, _WORKERS - 1),
        seconds=strategies.sampled_from((4, 8, 12)),
    )
    def take_over_after_restart(self, number, seconds):
        """Replace an owner that has not noticed the restart of a worker."""
        self.world.take_over()
        owner = self.world.owners[-1]
        for _ in range(60):
            owner.act()
            self.world.advance(0.25)
        if len(self.world.accepted_job_by_id) < _MAX_JOBS:
            self.world.submit(build_single_step(count=3))
        self.world.workers.worker_by_id[f'w{number}'].restart()
        owner.act(is_renewing_leases=False)
        owner.act(is_renewing_leases=False)
        self.world.take_over()
        self.world.owners[-1].unreachable_worker_ids = {f'w{number}'}
        self.act_in_turn(seconds)

    @rule(
        term_s=strategies.sampled_from((0, 1, 3, 4, 6)),
        seconds=strategies.sampled_from((4, 8, 12)),
        unreachable=strategies.sets(
            strategies.integers(0, _WORKERS - 1), min_size=1
        ),
    )
    def take_over_from_ended_owner(self, term_s, seconds, unreachable):
        """Replace an owner that has ended; the one before it may go on."""
        self.world.take_over()
        self.act_in_turn(term_s)
        former = self.world.owners[-1]
        row = self.world.store.row_by_name[sequence_row(SHARD)]
        self.world.take_over()
        successor = self.world.owners[-1]
        if successor is former:
            # The store has refused the takeover.
            return
        self.world.owners.remove(former)
        successor.unreachable_worker_ids = {
            f'w{number}' for number in unreachable
        }
        term_start = estimate_term_start(
            decode_record(row.content, SequenceRecord),
            former.state.epoch,
            self.world.now,
        )
        record_ended_owner(
            successor.state, former.state.epoch, term_start, self.world.now
        )
        self.act_in_turn(seconds)

    def act_in_turn(self, seconds):
        """Let the last two owners act for a number of seconds."""
        for _ in range(seconds * 4):
            for owner in self.world.owners[-2:]:
                owner.act()
            self.world.advance(0.25)
            self.world.check()


def test_no_task_runs_twice_after_takeovers_with_requested_leases():
    run_state_machine(TakeoverMachine, steps=40)

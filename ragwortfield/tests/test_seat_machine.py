"""Randomised runs: a seat never has two holders, and never stays vacant."""

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.seat_world import SeatWorld

_MAX_MEMBERS = 5
_RARELY = strategies.sampled_from((False, False, False, True))


class SeatMachine(RuleBasedStateMachine):
    """Instances of one data centre under every fault of the brief."""

    @initialize()
    def start(self):
        self.world = SeatWorld()
        for _ in range(3):
            self.world.bear()
        self.world.run(4, self.check)

    def members(self, **wanted):
        return [
            member
            for member in self.world.member_by_id.values()
            if member.is_alive
            and all(
                getattr(member, key) == is_on for key, is_on in wanted.items()
            )
        ]

    def pick(self, data, **wanted):
        names = [member.name for member in self.members(**wanted)]
        return self.world.member_by_id[
            data.draw(strategies.sampled_from(names))
        ]

    @rule(seconds=strategies.sampled_from((1, 3, 12)))
    def let_time_pass(self, seconds):
        self.world.run(seconds, self.check)

    @rule(seconds=strategies.sampled_from((6, 12, 24)))
    def let_leases_lapse(self, seconds):
        self.world.run(seconds, self.check)

    @precondition(lambda self: len(self.members()) < _MAX_MEMBERS)
    @rule()
    def bear(self):
        self.world.bear()

    @precondition(lambda self: self.members())
    @rule(data=strategies.data())
    def kill(self, data):
        self.world.kill(self.pick(data))

    @precondition(lambda self: self.members(is_frozen=False))
    @rule(data=strategies.data(), is_hidden=strategies.booleans())
    def freeze(self, data, is_hidden):
        member = self.pick(data, is_frozen=False)
        member.is_frozen = True
        if is_hidden:
            self.hide(member)

    @precondition(lambda self: self.members(is_frozen=True))
    @rule(data=strategies.data())
    def thaw(self, data):
        member = self.pick(data, is_frozen=True)
        member.is_frozen = False
        self.check()

    @rule(is_down=_RARELY)
    def set_platform_faults(self, is_down):
        self.world.platform.faults.is_down = is_down

    @rule(lost=strategies.integers(min_value=1, max_value=3))
    def lose_answers(self, lost):
        self.world.platform.faults.lost_answers = lost

    @precondition(lambda self: self.members())
    @rule(
        data=strategies.data(),
        writes=strategies.integers(min_value=1, max_value=3),
    )
    def refuse_writes(self, data, writes):
        self.pick(data).reach.writes_to_refuse = writes

    @precondition(lambda self: self.members())
    @rule(data=strategies.data())
    def stop_store_after_a_write(self, data):
        self.pick(data).reach.after_write = self.world.stop_store

    @rule(lag=strategies.sampled_from((0, 5, 30)))
    def let_list_lag(self, lag):
        self.world.platform.faults.list_lag_s = lag

    @rule(is_cut=_RARELY)
    def cut_data_centre(self, is_cut):
        for member in self.members():
            member.reach.is_cut = is_cut

    @precondition(lambda self: self.members())
    @rule(data=strategies.data(), is_cut=strategies.booleans())
    def isolate(self, data, is_cut):
        member = self.pick(data)
        member.reach.is_cut = is_cut
        member.is_peer_cut = is_cut
        if is_cut:
            self.hide(member)

    @precondition(lambda self: self.members())
    @rule(data=strategies.data())
    def hide_from_list(self, data):
        member = self.pick(data)
        self.hide(member)

    @rule()
    def show_all_in_list(self):
        self.world.platform.faults.hidden_instances = ()

    @precondition(lambda self: self.members(is_frozen=False))
    @rule(data=strategies.data())
    def stop_as_planned(self, data):
        member = self.pick(data, is_frozen=False)
        member.instance_state.is_leaving = True
        member.claim_store.flush()
        member.sync.release_seats()
        self.check()
        self.world.kill(member)

    def hide(self, member):
        faults = self.world.platform.faults
        faults.hidden_instances = (*faults.hidden_instances, member.name)

    def check(self):
        for key in self.world.seat_keys():
            holders = self.world.holders(key)
            assert len(holders) <= 1, f'{key} is held by {holders}'

    def teardown(self):
        if hasattr(self, 'world'):
            self.heal()

    def heal(self):
        """Every seat finds a holder again once the faults are over."""
        world = self.world
        world.platform.faults.is_down = False
        world.platform.faults.lost_answers = 0
        world.platform.faults.list_lag_s = 0
        world.platform.faults.hidden_instances = ()
        for member in self.members():
            member.is_frozen = False
            member.is_peer_cut = False
            member.reach.is_cut = False
            member.reach.writes_to_refuse = 0
            member.reach.after_write = None
        world.bear()
        world.run(30, self.check)
        for key in world.seat_keys():
            assert len(world.holders(key)) == 1, f'{key} has no holder'


def test_seat_machine():
    run_state_machine(SeatMachine, steps=30)

"""Randomised runs: a seat never has two holders or stays without one."""

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.seat_world import SeatWorld

_MAX_INSTANCES = 5
_MOSTLY_FALSE = strategies.sampled_from((False, False, False, True))


class SeatMachine(RuleBasedStateMachine):
    """Instances of one data centre under every injected fault."""

    @initialize()
    def start(self):
        self.world = SeatWorld()
        for _ in range(3):
            self.world.add_instance()
        self.world.run(4, self.check)

    def list_instances(self, **attributes):
        return [
            instance
            for instance in self.world.instance_by_id.values()
            if instance.is_alive
            and all(
                getattr(instance, key) == value
                for key, value in attributes.items()
            )
        ]

    def draw_instance(self, data, **attributes):
        names = [
            instance.name for instance in self.list_instances(**attributes)
        ]
        return self.world.instance_by_id[
            data.draw(strategies.sampled_from(names))
        ]

    @rule(seconds=strategies.sampled_from((1, 3, 12)))
    def let_time_pass(self, seconds):
        self.world.run(seconds, self.check)

    @rule(seconds=strategies.sampled_from((6, 12, 24)))
    def let_leases_expire(self, seconds):
        self.world.run(seconds, self.check)

    @precondition(lambda self: len(self.list_instances()) < _MAX_INSTANCES)
    @rule()
    def add_instance(self):
        self.world.add_instance()

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data())
    def kill(self, data):
        self.world.kill(self.draw_instance(data))

    @precondition(lambda self: self.list_instances(is_frozen=False))
    @rule(data=strategies.data(), is_hidden=strategies.booleans())
    def freeze(self, data, is_hidden):
        instance = self.draw_instance(data, is_frozen=False)
        instance.is_frozen = True
        if is_hidden:
            self.hide_instance(instance)

    @precondition(lambda self: self.list_instances(is_frozen=True))
    @rule(data=strategies.data())
    def thaw(self, data):
        instance = self.draw_instance(data, is_frozen=True)
        instance.is_frozen = False
        self.check()

    @rule(is_down=_MOSTLY_FALSE)
    def switch_platform_outage(self, is_down):
        self.world.platform.faults.is_down = is_down

    @rule(lost=strategies.integers(min_value=1, max_value=3))
    def lose_answers(self, lost):
        self.world.platform.faults.lost_answers = lost

    @precondition(lambda self: self.list_instances())
    @rule(
        data=strategies.data(),
        writes=strategies.integers(min_value=1, max_value=3),
    )
    def refuse_writes(self, data, writes):
        self.draw_instance(data).platform_access.writes_to_refuse = writes

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data())
    def stop_store_after_a_write(self, data):
        self.draw_instance(
            data
        ).platform_access.after_write = self.world.stop_store

    @rule(lag=strategies.sampled_from((0, 5, 30)))
    def let_list_lag(self, lag):
        self.world.platform.faults.list_lag_s = lag

    @rule(is_cut=_MOSTLY_FALSE)
    def cut_data_centre(self, is_cut):
        for instance in self.list_instances():
            instance.platform_access.is_cut = is_cut

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data(), is_cut=strategies.booleans())
    def isolate(self, data, is_cut):
        instance = self.draw_instance(data)
        instance.platform_access.is_cut = is_cut
        instance.is_cut_from_peers = is_cut
        if is_cut:
            self.hide_instance(instance)

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data())
    def hide_from_list(self, data):
        instance = self.draw_instance(data)
        self.hide_instance(instance)

    @rule()
    def show_all_in_list(self):
        self.world.platform.faults.hidden_instances = ()

    @precondition(lambda self: self.list_instances(is_frozen=False))
    @rule(data=strategies.data())
    def stop_gracefully(self, data):
        instance = self.draw_instance(data, is_frozen=False)
        instance.instance_state.is_leaving = True
        instance.claim_store.flush()
        instance.platform_sync.release_seats()
        self.check()
        self.world.kill(instance)

    def hide_instance(self, instance):
        faults = self.world.platform.faults
        faults.hidden_instances = (*faults.hidden_instances, instance.name)

    def check(self):
        for key in self.world.list_seat_keys():
            holders = self.world.list_holders(key)
            assert len(holders) <= 1, f'{key} is held by {holders}'

    def teardown(self):
        if hasattr(self, 'world'):
            self.check_recovery()

    def check_recovery(self):
        """Check that every seat gets a holder after the faults."""
        world = self.world
        world.platform.faults.is_down = False
        world.platform.faults.lost_answers = 0
        world.platform.faults.list_lag_s = 0
        world.platform.faults.hidden_instances = ()
        for instance in self.list_instances():
            instance.is_frozen = False
            instance.is_cut_from_peers = False
            instance.platform_access.is_cut = False
            instance.platform_access.writes_to_refuse = 0
            instance.platform_access.after_write = None
        world.add_instance()
        world.run(30, self.check)
        for key in world.list_seat_keys():
            assert len(world.list_holders(key)) == 1, f'{key} has no holder'


def test_seat_machine():
    run_state_machine(SeatMachine, steps=30)

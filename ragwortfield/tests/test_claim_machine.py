"""Randomised runs: a non-idempotent request runs at most once."""

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from ragwortfield.core.claims import (
    ClaimKey,
    FinishedClaim,
    NewClaim,
)
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.policies.idempotency import find_home_seat
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.seat_world import SeatWorld

_MOSTLY_FALSE = strategies.sampled_from((False, False, True))
_CLAIM_KEYS = strategies.sampled_from(
    [f'bergamo:0-{number}' for number in range(8)]
)
_ANSWER = WholeAnswer(status=200, fields=(), body=b'booked')


class ClaimMachine(RuleBasedStateMachine):
    """Callers that repeat keys at any instance, under every injected fault."""

    @initialize()
    def start(self):
        self.world = SeatWorld()
        self.world.add_instance()
        self.world.add_instance()
        self.world.run(4)
        self.run_count_by_key = {}
        self.key_batch = 0
        self.running_requests = []

    def list_instances(self):
        return [
            instance
            for instance in self.world.instance_by_id.values()
            if instance.is_running()
        ]

    @rule(seconds=strategies.sampled_from((1, 3, 12)))
    def let_time_pass(self, seconds):
        self.world.run(seconds)

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data(), is_frozen=strategies.booleans())
    def change_holders(self, data, is_frozen):
        instance = self.draw_instance(data)
        self.world.add_instance()
        self.world.run(2)
        if is_frozen:
            instance.is_frozen = True
            self.world.platform.faults.hidden_instances = (instance.name,)
        else:
            self.world.kill(instance)
        self.world.run(16)
        instance.is_frozen = False
        self.send_all_keys()
        self.key_batch += 1
        self.send_all_keys()

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data())
    def lose_holder_in_outage(self, data):
        self.key_batch += 1
        instance = self.draw_instance(data)
        self.world.platform.faults.is_down = True
        self.send_all_keys()
        self.world.kill(instance)
        self.world.platform.faults.is_down = False
        self.world.add_instance()
        self.world.run(16)
        self.send_all_keys()

    @rule()
    def send_all_keys(self):
        for number in range(8):
            self.send_key_to_holders(f'bergamo:{self.key_batch}-{number}')

    @rule(key=_CLAIM_KEYS)
    def send_request(self, key):
        self.send_key_to_holders(key)

    def send_key_to_holders(self, key):
        """Send a key to each instance that considers itself its home."""
        claim_key = ClaimKey(team='hospitals', key=key)
        home = find_home_seat(self.world.configuration, claim_key)
        for instance in self.list_instances():
            if not instance.claim_store.is_home_seat_ready(home):
                continue
            decision = instance.claim_store.acquire(claim_key, 'digest')
            if isinstance(decision, NewClaim):
                self.run_count_by_key[key] = (
                    self.run_count_by_key.get(key, 0) + 1
                )
                self.running_requests.append((instance, claim_key))
                assert self.run_count_by_key[key] == 1, f'{key} ran again'
            if isinstance(decision, FinishedClaim):
                assert self.run_count_by_key.get(key) == 1, f'{key} never ran'

    @precondition(lambda self: self.running_requests)
    @rule(ending=strategies.sampled_from(('ran', 'unknown', 'not run')))
    def end_request(self, ending):
        instance, key = self.running_requests.pop(0)
        if not instance.is_running():
            return
        if ending == 'ran':
            instance.claim_store.record_ran(key, _ANSWER)
        elif ending == 'unknown':
            instance.claim_store.record_unknown(key)
        else:
            instance.claim_store.record_not_run(key)
            self.run_count_by_key[key.key] -= 1
        self.flush_claims()

    def flush_claims(self):
        for instance in self.list_instances():
            instance.claim_store.flush()

    @precondition(lambda self: len(self.list_instances()) < 4)
    @rule()
    def add_instance(self):
        self.world.add_instance()

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data())
    def kill(self, data):
        self.world.kill(self.draw_instance(data))

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data(), is_hidden=strategies.booleans())
    def freeze(self, data, is_hidden):
        instance = self.draw_instance(data)
        instance.is_frozen = True
        if is_hidden:
            self.world.platform.faults.hidden_instances = (instance.name,)

    @rule()
    def thaw_all(self):
        for instance in self.world.instance_by_id.values():
            instance.is_frozen = False

    @precondition(lambda self: self.list_instances())
    @rule(data=strategies.data())
    def stop_gracefully(self, data):
        instance = self.draw_instance(data)
        instance.instance_state.is_leaving = True
        self.flush_claims()
        instance.platform_sync.release_seats()
        self.world.kill(instance)

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

    @rule(is_cut=_MOSTLY_FALSE)
    def cut_data_centre(self, is_cut):
        for instance in self.world.instance_by_id.values():
            instance.platform_access.is_cut = is_cut

    def draw_instance(self, data):
        names = [instance.name for instance in self.list_instances()]
        return self.world.instance_by_id[
            data.draw(strategies.sampled_from(names))
        ]


def test_claim_machine():
    run_state_machine(ClaimMachine, steps=40)

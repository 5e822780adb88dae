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

_RARELY = strategies.sampled_from((False, False, True))
_KEYS = strategies.sampled_from([f'bergamo:0-{number}' for number in range(8)])
_ANSWER = WholeAnswer(status=200, fields=(), body=b'booked')


class ClaimMachine(RuleBasedStateMachine):
    """Callers that repeat keys at any holder, under every fault."""

    @initialize()
    def start(self):
        self.world = SeatWorld()
        self.world.bear()
        self.world.bear()
        self.world.run(4)
        self.runs = {}
        self.epoch = 0
        self.running = []

    def members(self):
        return [
            member
            for member in self.world.member_by_id.values()
            if member.is_running()
        ]

    @rule(seconds=strategies.sampled_from((1, 3, 12)))
    def let_time_pass(self, seconds):
        self.world.run(seconds)

    @precondition(lambda self: self.members())
    @rule(data=strategies.data(), is_frozen=strategies.booleans())
    def change_holders(self, data, is_frozen):
        member = self.pick(data)
        self.world.bear()
        self.world.run(2)
        if is_frozen:
            member.is_frozen = True
            self.world.platform.faults.hidden_instances = (member.name,)
        else:
            self.world.kill(member)
        self.world.run(16)
        member.is_frozen = False
        self.send_all()
        self.epoch += 1
        self.send_all()

    @precondition(lambda self: self.members())
    @rule(data=strategies.data())
    def lose_holder_in_outage(self, data):
        self.epoch += 1
        member = self.pick(data)
        self.world.platform.faults.is_down = True
        self.send_all()
        self.world.kill(member)
        self.world.platform.faults.is_down = False
        self.world.bear()
        self.world.run(16)
        self.send_all()

    @rule()
    def send_all(self):
        for number in range(8):
            self.send(f'bergamo:{self.epoch}-{number}')

    @rule(key=_KEYS)
    def send_one(self, key):
        self.send(key)

    def send(self, key):
        """Send a key to whoever holds its home; any caller may."""
        claim_key = ClaimKey(team='hospitals', key=key)
        home = find_home_seat(self.world.configuration, claim_key)
        for member in self.members():
            if not member.claim_store.is_home_seat_ready(home):
                continue
            decision = member.claim_store.acquire(claim_key, 'digest')
            if isinstance(decision, NewClaim):
                self.runs[key] = self.runs.get(key, 0) + 1
                self.running.append((member, claim_key))
                assert self.runs[key] == 1, f'{key} ran again'
            if isinstance(decision, FinishedClaim):
                assert self.runs.get(key) == 1, f'{key} never ran'

    @precondition(lambda self: self.running)
    @rule(ending=strategies.sampled_from(('ran', 'unknown', 'not run')))
    def end_one(self, ending):
        member, key = self.running.pop(0)
        if not member.is_running():
            return
        if ending == 'ran':
            member.claim_store.record_ran(key, _ANSWER)
        elif ending == 'unknown':
            member.claim_store.record_unknown(key)
        else:
            member.claim_store.record_not_run(key)
            self.runs[key.key] -= 1
        self.let_records_be_written()

    def let_records_be_written(self):
        for member in self.members():
            member.claim_store.flush()

    @precondition(lambda self: len(self.members()) < 4)
    @rule()
    def bear(self):
        self.world.bear()

    @precondition(lambda self: self.members())
    @rule(data=strategies.data())
    def kill(self, data):
        self.world.kill(self.pick(data))

    @precondition(lambda self: self.members())
    @rule(data=strategies.data(), is_hidden=strategies.booleans())
    def freeze(self, data, is_hidden):
        member = self.pick(data)
        member.is_frozen = True
        if is_hidden:
            self.world.platform.faults.hidden_instances = (member.name,)

    @rule()
    def thaw_all(self):
        for member in self.world.member_by_id.values():
            member.is_frozen = False

    @precondition(lambda self: self.members())
    @rule(data=strategies.data())
    def stop_as_planned(self, data):
        member = self.pick(data)
        member.instance_state.is_leaving = True
        self.let_records_be_written()
        member.sync.release_seats()
        self.world.kill(member)

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

    @rule(is_cut=_RARELY)
    def cut_data_centre(self, is_cut):
        for member in self.world.member_by_id.values():
            member.reach.is_cut = is_cut

    def pick(self, data):
        names = [member.name for member in self.members()]
        return self.world.member_by_id[
            data.draw(strategies.sampled_from(names))
        ]


def test_claim_machine():
    run_state_machine(ClaimMachine, steps=40)

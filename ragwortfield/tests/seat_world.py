"""Instances that hold seats, on a platform in memory, driven by one clock."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortfield.core.configuration import VersionedConfiguration
from ragwortfield.core.peers import Peer
from ragwortfield.core.instance_state import InstanceIdentity, InstanceState
from ragwortfield.engine.claim_store import ClaimStore
from ragwortfield.engine.peer_message_handler import (
    PeerMessageHandler,
    is_store_reachable,
)
from ragwortfield.engine.platform_sync import CONFIGURATION_KEY, PlatformSync
from ragwortfield.peering.messages import Heartbeat
from ragwortfield.ports.platform import (
    Conflict,
    ListedInstance,
    Unavailable,
    Write,
)
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.policies.configuration import apply_configuration
from ragwortfield.policies.seat_leases import (
    drop_superseded_seats,
    resume_on_peer_evidence,
    suspend_after_pause,
    suspend_if_isolated,
)
from ragwortfield.policies.target_shares import update_target_shares
from ragwortfield.testing.entry_deployment import CONFIGURATION
from ragwortfield.testing.fake_platform import ManualClock, FakePlatform
from ragwortfield.testing.fake_group_commit import FakeGroupCommitWriter

STEP_S = 0.25
SYNC_S = 1.0


@dataclass(kw_only=True)
class Reach:
    """Way of one instance to the platform."""

    platform: FakePlatform
    is_cut: bool = False
    is_refusing_writes: bool = False
    writes_to_refuse: int = 0
    refused: list[Write] = field(default_factory=list)
    after_write: Callable[[], None] | None = None

    def scan(self, prefix):
        if self.is_cut:
            return Unavailable(reason='cut')
        return self.platform.scan(prefix)

    def transact(self, writes):
        if self.is_cut:
            return Unavailable(reason='cut')
        if self.writes_to_refuse:
            self.writes_to_refuse -= 1
            return Unavailable(reason='refused once')
        if self.is_refusing_writes:
            self.refused.extend(writes)
            return Unavailable(reason='refused')
        outcome = self.platform.transact(writes)
        follow = self.after_write
        if follow is not None:
            self.after_write = None
            follow()
        return outcome

    def list_instances(self):
        if self.is_cut:
            return Unavailable(reason='cut')
        return self.platform.list_instances()


@dataclass(kw_only=True, repr=False)
class Member:
    """One instance of the world."""

    instance_state: InstanceState
    reach: Reach
    claim_store: ClaimStore
    sync: PlatformSync
    desk: PeerMessageHandler
    is_alive: bool = True
    is_frozen: bool = False
    is_peer_cut: bool = False
    suspended_at: float = float('-inf')
    synced_at: float = float('-inf')

    @property
    def name(self):
        return self.instance_state.identity.instance_id

    def __repr__(self):
        return self.name

    def is_running(self):
        return self.is_alive and not self.is_frozen


@dataclass(kw_only=True)
class SeatWorld:
    """Platform, clock and the instances of one data centre or more."""

    clock: ManualClock = field(default_factory=ManualClock)
    member_by_id: dict[str, Member] = field(default_factory=dict)
    born: int = 0
    text: str = CONFIGURATION

    def __post_init__(self):
        self.platform = FakePlatform(clock=self.clock)
        self.configuration = parse_configuration(self.text, 'test')
        outcome = self.platform.transact(
            (
                Write(
                    key=CONFIGURATION_KEY,
                    expected_version=0,
                    body={'text': self.text},
                ),
            )
        )
        assert not isinstance(outcome, Conflict)

    def bear(self, data_centre='bergamo'):
        self.born += 1
        name = f'entry-{self.born}'
        instance_state = InstanceState(
            identity=InstanceIdentity(
                instance_id=name,
                data_centre=data_centre,
                region='lombardy',
                http_address=f'{name}:1',
                peer_address=f'{name}:2',
            ),
        )
        apply_configuration(
            instance_state,
            VersionedConfiguration(version=1, configuration=self.configuration),
            self.text,
        )
        reach = Reach(platform=self.platform)
        claim_store = ClaimStore(
            instance_state=instance_state,
            table=reach,
            writer=FakeGroupCommitWriter(table=reach),
            clock=self.clock,
        )
        instance_state.last_tick_at = self.clock.monotonic()
        member = Member(
            instance_state=instance_state,
            reach=reach,
            claim_store=claim_store,
            sync=PlatformSync(
                instance_state=instance_state,
                platform=reach,
                claim_store=claim_store,
                clock=self.clock,
            ),
            desk=PeerMessageHandler(
                instance_state=instance_state, clock=self.clock
            ),
        )
        self.member_by_id[name] = member
        self.platform.add_instance(
            ListedInstance(
                instance_id=name,
                kind='entry',
                data_centre=data_centre,
                address=f'{name}:1',
                peer_address=f'{name}:2',
            ),
        )
        return member

    def kill(self, member):
        member.is_alive = False
        self.platform.remove_instance(member.name)

    def run(self, seconds, check=lambda: None):
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for member in tuple(self.member_by_id.values()):
                if member.is_running():
                    self.step(member)
                    check()

    def step(self, member):
        now = self.clock.monotonic()
        instance_state = member.instance_state
        if suspend_after_pause(instance_state, now):
            member.suspended_at = now
        instance_state.last_tick_at = now
        drop_superseded_seats(instance_state)
        if suspend_if_isolated(
            instance_state, now=now, wall_time=self.clock.wall_time()
        ):
            member.suspended_at = now
        resume_on_peer_evidence(
            instance_state, suspended_at=member.suspended_at, now=now
        )
        update_target_shares(instance_state, now)
        if now - member.synced_at >= SYNC_S:
            member.synced_at = now
            member.sync.run_round()
            self.send_heartbeats(member)

    def send_heartbeats(self, member):
        beat = member.desk.heartbeat()
        assert isinstance(beat, Heartbeat)
        for other in self.member_by_id.values():
            if other is member or not other.is_running():
                continue
            if member.is_peer_cut or other.is_peer_cut:
                continue
            other.desk.receive(member.name, beat)

    def holders(self, seat_key):
        now = self.clock.monotonic()
        return [
            member.name
            for member in self.member_by_id.values()
            if member.is_alive
            and any(
                held.seat_id.row_key() == seat_key
                for held in member.instance_state.list_trusted_seats(now)
            )
        ]

    def seat_keys(self, data_centre='bergamo'):
        seats = self.configuration.data_centres[data_centre].seats
        return [f'seats/{data_centre}/{index}' for index in range(seats)]

    def stop_store(self):
        self.platform.faults.is_down = True

    def is_store_seen(self, member):
        return is_store_reachable(member.instance_state, self.clock.monotonic())


def known_peer(name, heard_at, **details):
    return Peer(
        instance_id=name,
        data_centre='bergamo',
        http_address=f'{name}:1',
        heard_at=heard_at,
        **details,
    )

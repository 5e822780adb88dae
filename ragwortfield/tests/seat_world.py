"""Instances that hold seats, on a fake platform, driven by one clock."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ragwortfield.core.configuration import VersionedConfiguration
from ragwortfield.core.instance_state import InstanceIdentity, InstanceState
from ragwortfield.core.peers import Peer
from ragwortfield.engine.claim_store import ClaimStore
from ragwortfield.engine.peer_message_handler import (
    PeerMessageHandler,
    is_store_reachable,
)
from ragwortfield.engine.platform_sync import CONFIGURATION_KEY, PlatformSync
from ragwortfield.peering.messages import Heartbeat
from ragwortfield.policies.configuration import apply_configuration
from ragwortfield.policies.seat_leases import drop_superseded_seats
from ragwortfield.policies.seat_suspension import (
    resume_on_peer_evidence,
    suspend_after_pause,
    suspend_if_isolated,
)
from ragwortfield.policies.target_shares import update_target_shares
from ragwortfield.ports.platform import (
    Conflict,
    ListedInstance,
    Unavailable,
    Write,
)
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.testing.entry_deployment import CONFIGURATION
from ragwortfield.testing.fake_group_commit import FakeGroupCommitWriter
from ragwortfield.testing.fake_platform import FakePlatform, ManualClock

STEP_S = 0.25
SYNC_INTERVAL_S = 1.0


@dataclass(kw_only=True)
class PlatformAccess:
    """Access of one instance to the platform, with injected faults."""

    platform: FakePlatform
    is_cut: bool = False
    is_refusing_writes: bool = False
    writes_to_refuse: int = 0
    refused_writes: list[Write] = field(default_factory=list)
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
            self.refused_writes.extend(writes)
            return Unavailable(reason='refused')
        outcome = self.platform.transact(writes)
        callback = self.after_write
        if callback is not None:
            self.after_write = None
            callback()
        return outcome

    def list_instances(self):
        if self.is_cut:
            return Unavailable(reason='cut')
        return self.platform.list_instances()


@dataclass(kw_only=True, repr=False)
class SimulatedInstance:
    """One instance that takes part in the simulation."""

    instance_state: InstanceState
    platform_access: PlatformAccess
    claim_store: ClaimStore
    platform_sync: PlatformSync
    peer_message_handler: PeerMessageHandler
    is_alive: bool = True
    is_frozen: bool = False
    is_cut_from_peers: bool = False
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
    """
    Platform, clock and the instances of one or more data centres.

    :param cut_pairs: names of instances that do not reach each other.
    """

    clock: ManualClock = field(default_factory=ManualClock)
    instance_by_id: dict[str, SimulatedInstance] = field(default_factory=dict)
    last_instance_number: int = 0
    cut_pairs: list[set[str]] = field(default_factory=list)
    configuration_text: str = CONFIGURATION

    def __post_init__(self):
        self.platform = FakePlatform(clock=self.clock)
        self.configuration = parse_configuration(
            self.configuration_text, 'test'
        )
        outcome = self.platform.transact(
            (
                Write(
                    key=CONFIGURATION_KEY,
                    expected_version=0,
                    body={'text': self.configuration_text},
                ),
            )
        )
        assert not isinstance(outcome, Conflict)

    def add_instance(self, data_centre='bergamo'):
        self.last_instance_number += 1
        name = f'entry-{self.last_instance_number}'
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
            self.configuration_text,
        )
        platform_access = PlatformAccess(platform=self.platform)
        claim_store = ClaimStore(
            instance_state=instance_state,
            table=platform_access,
            writer=FakeGroupCommitWriter(table=platform_access),
            clock=self.clock,
        )
        instance_state.last_tick_at = self.clock.monotonic()
        instance = SimulatedInstance(
            instance_state=instance_state,
            platform_access=platform_access,
            claim_store=claim_store,
            platform_sync=PlatformSync(
                instance_state=instance_state,
                platform=platform_access,
                claim_store=claim_store,
                clock=self.clock,
            ),
            peer_message_handler=PeerMessageHandler(
                instance_state=instance_state, clock=self.clock
            ),
        )
        self.instance_by_id[name] = instance
        self.platform.add_instance(
            ListedInstance(
                instance_id=name,
                kind='entry',
                data_centre=data_centre,
                address=f'{name}:1',
                peer_address=f'{name}:2',
            ),
        )
        return instance

    def kill(self, instance):
        instance.is_alive = False
        self.platform.remove_instance(instance.name)

    def run(self, seconds, check=lambda: None):
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for instance in tuple(self.instance_by_id.values()):
                if instance.is_running():
                    self.run_step(instance)
                    check()

    def run_step(self, instance):
        now = self.clock.monotonic()
        instance_state = instance.instance_state
        if suspend_after_pause(instance_state, now):
            instance.suspended_at = now
        instance_state.last_tick_at = now
        drop_superseded_seats(instance_state)
        if suspend_if_isolated(
            instance_state, now=now, wall_time=self.clock.wall_time()
        ):
            instance.suspended_at = now
        resume_on_peer_evidence(
            instance_state, suspended_at=instance.suspended_at, now=now
        )
        update_target_shares(instance_state, now)
        if now - instance.synced_at >= SYNC_INTERVAL_S:
            instance.synced_at = now
            instance.platform_sync.run_round()
            self.send_heartbeats(instance)

    def send_heartbeats(self, instance):
        heartbeat = instance.peer_message_handler.heartbeat()
        assert isinstance(heartbeat, Heartbeat)
        for other in self.instance_by_id.values():
            if other is instance or not other.is_running():
                continue
            if instance.is_cut_from_peers or other.is_cut_from_peers:
                continue
            if {instance.name, other.name} in self.cut_pairs:
                continue
            other.peer_message_handler.receive(instance.name, heartbeat)

    def list_holders(self, seat_key):
        now = self.clock.monotonic()
        return [
            instance.name
            for instance in self.instance_by_id.values()
            if instance.is_alive
            and any(
                held.seat_id.row_key() == seat_key
                for held in instance.instance_state.list_trusted_seats(now)
            )
        ]

    def list_seat_keys(self, data_centre='bergamo'):
        seats = self.configuration.data_centres[data_centre].seats
        return [f'seats/{data_centre}/{index}' for index in range(seats)]

    def stop_store(self):
        self.platform.faults.is_down = True

    def is_store_reachable_from(self, instance):
        return is_store_reachable(
            instance.instance_state, self.clock.monotonic()
        )


def build_peer(name, heard_at, **details):
    return Peer(
        instance_id=name,
        data_centre='bergamo',
        http_address=f'{name}:1',
        heard_at=heard_at,
        **details,
    )

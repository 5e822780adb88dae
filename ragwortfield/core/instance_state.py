"""In-memory state of one entry instance."""

from dataclasses import dataclass, field

from ragwortfield.core.claims import Claim
from ragwortfield.core.configuration import (
    Configuration,
    VersionedConfiguration,
)
from ragwortfield.core.jobs import JobRow, WorkerReport, WorkerRow
from ragwortfield.core.peers import Peer
from ragwortfield.core.seats import SeatId, SeatRow
from ragwortfield.core.targets import Target, TargetHealth
from ragwortfield.ports.platform import Listing
from ragwortfield.types import (
    DataCentreName,
    InstanceId,
    JobId,
    MonotonicTime,
    Seconds,
    ServiceName,
    TargetId,
    WallTime,
    WorkerId,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceIdentity:
    """Identity and addresses of an entry instance, from its settings."""

    instance_id: InstanceId
    data_centre: DataCentreName
    region: str
    http_address: str
    peer_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldSeat:
    """
    Seat that this instance holds.

    :param version: version of the seat's row.
    :param usable_from: time from which the shares of the seat may be used.
    :param is_suspended: whether the seat must be verified before it is used
        again.
    :param is_leaving: whether the seat is released as soon as the requests in
        flight fit into the shares of the remaining seats.
    """

    seat_id: SeatId
    generation: int
    version: int
    expires_at: WallTime
    usable_from: MonotonicTime
    is_suspended: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatRowWatch:
    """
    Observation that a seat's row has not changed.

    :param version: version of the row.
    :param unchanged_since: time at which this version was first read.
    """

    version: int
    unchanged_since: MonotonicTime


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetShare:
    """Slots and connections of a target that this instance may use."""

    slots: int = 0
    connections: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareInputs:
    """Inputs of the share computation; equal inputs give equal shares."""

    seat_indexes: tuple[int, ...]
    configuration_version: int
    targets: tuple[TargetId, ...]


@dataclass(kw_only=True, slots=True)
class InstanceState:
    """
    In-memory state of one entry instance.

    :param version: the current configuration; ``None`` before the first one.
    :param configuration_text: its TOML text, which is passed on to peers.
    :param listing: the platform's last list of instances.
    :param peer_addresses: addresses that peers reported while no list is
        available.
    :param share_inputs: inputs from which the shares were last computed.
    :param shared_targets_by_service: targets of which this instance has slots.
    :param watch_by_seat_key: watches of seat rows, by row key.
    :param claim_by_key: claims by the text of their key.
    :param last_tick_at: time of the last tick; detects pauses of the process.
    :param seat_rows_read_at: time at which the seat rows were last read.
    :param store_reached_at: time at which the platform last answered.
    :param is_leaving: whether this instance is shutting down as planned.
    """

    identity: InstanceIdentity
    version: VersionedConfiguration | None = None
    configuration_text: str = ''
    listing: Listing | None = None
    peer_addresses: frozenset[str] = frozenset()
    target_by_id: dict[TargetId, Target] = field(default_factory=dict)
    health_by_target: dict[TargetId, TargetHealth] = field(
        default_factory=dict,
    )
    slots_in_use_by_target: dict[TargetId, int] = field(default_factory=dict)
    share_by_target: dict[TargetId, TargetShare] = field(default_factory=dict)
    share_inputs: ShareInputs | None = None
    shared_targets_by_service: dict[ServiceName, list[TargetId]] = field(
        default_factory=dict,
    )
    peer_by_id: dict[InstanceId, Peer] = field(default_factory=dict)
    seat_row_by_key: dict[str, SeatRow] = field(default_factory=dict)
    held_seat_by_key: dict[str, HeldSeat] = field(default_factory=dict)
    watch_by_seat_key: dict[str, SeatRowWatch] = field(default_factory=dict)
    claim_by_key: dict[str, Claim] = field(default_factory=dict)
    job_row_by_id: dict[JobId, JobRow] = field(default_factory=dict)
    worker_row_by_id: dict[WorkerId, WorkerRow] = field(default_factory=dict)
    report_by_worker: dict[WorkerId, WorkerReport] = field(
        default_factory=dict,
    )
    reported_at_by_worker: dict[WorkerId, WallTime] = field(
        default_factory=dict,
    )
    last_tick_at: MonotonicTime = 0
    seat_rows_read_at: MonotonicTime = 0
    store_reached_at: MonotonicTime = 0
    is_leaving: bool = False

    def configuration(self) -> Configuration | None:
        """
        Return the current configuration.

        :returns: the configuration; ``None`` if there is none yet.
        """
        return None if self.version is None else self.version.configuration

    def configuration_version(self) -> int:
        """
        Return the version of the current configuration.

        :returns: the version; 0 if there is no configuration yet.
        """
        return 0 if self.version is None else self.version.version

    def list_usable_seats(self, now: MonotonicTime) -> list[HeldSeat]:
        """
        List the held seats whose shares may be used for new requests.

        :param now: monotonic time, in seconds.
        :returns: the seats in the order of their row keys.
        """
        return [
            held for held in self.list_trusted_seats(now) if not held.is_leaving
        ]

    def list_trusted_seats(self, now: MonotonicTime) -> list[HeldSeat]:
        """
        List the held seats for which this instance may make decisions.

        :param now: monotonic time, in seconds.
        :returns: the usable seats and those that are about to be released.
        """
        if self.is_paused(now):
            return []
        return [
            held
            for _, held in sorted(self.held_seat_by_key.items())
            if now >= held.usable_from and not held.is_suspended
        ]

    def is_paused(self, now: MonotonicTime) -> bool:
        """
        Return whether the process was paused since its last tick.

        :param now: monotonic time, in seconds.
        :returns: whether the held seats must be verified before use.
        """
        return now - self.last_tick_at > self.compute_pause_limit_s()

    def compute_pause_limit_s(self) -> Seconds:
        """
        Return the longest pause after which held seats are still trusted.

        :returns: limit in seconds; half a seat lease, or 1 s while there is no
            configuration.
        """
        configuration = self.configuration()
        if configuration is None:
            return 1
        return configuration.timing.seat_lease_s / 2

"""Tables: everything one entry instance knows, by entity."""

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
    MonotonicTime,
    JobId,
    Seconds,
    ServiceName,
    TargetId,
    WallTime,
    WorkerId,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceIdentity:
    """Entry instance as its settings name it."""

    instance_id: InstanceId
    data_centre: DataCentreName
    region: str
    http_address: str
    peer_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldSeat:
    """
    Seat that this instance holds.

    :param usable_from: instant from which its shares may be used.
    :param is_suspended: whether the holder must check the seat again first.
    :param is_leaving: whether the seat is given back once its part of every
        target is free.
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
    Watch over a seat's row.

    :param version: version of the row all the while.
    :param unchanged_since: when the row was first read with it.
    """

    version: int
    unchanged_since: MonotonicTime


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetShare:
    """Part of a target that this instance may use."""

    slots: int = 0
    connections: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ShareInputs:
    """What the shares were worked out from; equal means unchanged."""

    seat_indexes: tuple[int, ...]
    configuration_version: int
    targets: tuple[TargetId, ...]


@dataclass(kw_only=True, slots=True)
class InstanceState:
    """
    Everything one entry instance knows.

    :param peer_addresses: addresses that peers named while there is no list.
    :param shared_targets_by_service: targets of which this instance has a share.
    :param last_tick_at: when the last tick ran; tells a pause of the process.
    :param store_reached_at: when the platform last answered.
    :param seat_rows_read_at: when the seat rows were last read.
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
    watch_by_seat: dict[str, SeatRowWatch] = field(default_factory=dict)
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
        Look up the configuration in force.

        :returns: the configuration, ``None`` when none is known.
        """
        return None if self.version is None else self.version.configuration

    def configuration_version(self) -> int:
        """
        Look up the version in force.

        :returns: the version, zero when none is known.
        """
        return 0 if self.version is None else self.version.version

    def list_usable_seats(self, now: MonotonicTime) -> list[HeldSeat]:
        """
        List the seats whose shares may be used.

        :param now: reading of the monotonic clock.
        :returns: the seats, ordered by index.
        """
        return [
            held for held in self.list_trusted_seats(now) if not held.is_leaving
        ]

    def list_trusted_seats(self, now: MonotonicTime) -> list[HeldSeat]:
        """
        List the seats that this instance may decide for.

        :param now: reading of the monotonic clock.
        :returns: the usable seats and those about to be given back.
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
        Tell whether the process stood still since its last tick.

        :param now: reading of the monotonic clock.
        :returns: whether its seats must be checked before use.
        """
        return now - self.last_tick_at > self.compute_pause_limit_s()

    def compute_pause_limit_s(self) -> Seconds:
        """
        Give the longest pause after which seats are still trusted.

        :returns: seconds.
        """
        configuration = self.configuration()
        if configuration is None:
            return 1
        return configuration.timing.seat_lease_s / 2

"""Seats: leased, equal parts of the capacity of a data centre.

The slots of targets, quotas, idempotency keys and jobs of a data centre are
divided among its seats. An entry instance may use the part of a seat while it
holds the seat's lease.
"""

from dataclasses import dataclass

from ragwortfield.types import DataCentreName, InstanceId, WallTime


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatId:
    """Identifier of a seat: its data centre and its index there."""

    data_centre: DataCentreName
    index: int

    def row_key(self) -> str:
        """Return the key of the seat's row in the platform's table."""
        return f'seats/{self.data_centre}/{self.index}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Seat:
    """
    Lease of a seat as stored in the platform's table.

    :param holder: instance that holds the seat; empty if it was released.
    :param generation: incremented with every acquisition; fencing token.
    :param expires_at: end of the lease.
    :param taken_at: time at which the current holder acquired the seat.
    :param gap_until: claims that an earlier holder made until this time may be
        missing from the table; 0 if none can be missing.
    """

    holder: InstanceId = ''
    generation: int = 0
    expires_at: WallTime = 0
    taken_at: WallTime = 0
    gap_until: WallTime = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatRow:
    """Seat with its identifier and the version of its row."""

    seat_id: SeatId
    seat: Seat
    version: int

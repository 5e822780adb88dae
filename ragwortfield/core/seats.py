"""Seats: the unit in which a data centre divides what instances share."""

from dataclasses import dataclass

from ragwortfield.types import DataCentreName, InstanceId, WallTime


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatId:
    """Place of a seat: its data centre and its index there."""

    data_centre: DataCentreName
    index: int

    def row_key(self) -> str:
        """
        Name the row of the seat in the platform's table.

        :returns: the key of the row.
        """
        return f'seats/{self.data_centre}/{self.index}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Seat:
    """
    Seat as recorded in the platform's table.

    :param holder: instance that holds it; empty when released.
    :param generation: grows with every change of holder (fencing token).
    :param expires_at: end of the lease.
    :param taken_at: when the present holder took it.
    :param gap_until: claims that an earlier holder made up to this time may
        be missing from the table; zero when none can be.
    """

    holder: InstanceId = ''
    generation: int = 0
    expires_at: WallTime = 0
    taken_at: WallTime = 0
    gap_until: WallTime = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatRow:
    """Seat together with its identity and the version of its row."""

    seat_id: SeatId
    seat: Seat
    version: int

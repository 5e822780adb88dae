"""Periodic exchange with the platform: configuration, instances and seats."""

from dataclasses import replace
from typing import Protocol

from ragwortfield.adapters.documents import (
    Malformed,
    from_document,
    to_document,
)
from ragwortfield.core.configuration import ConfigurationVersion
from ragwortfield.core.seats import Seat, SeatId, SeatRow
from ragwortfield.core.instance_state import Tables
from ragwortfield.engine.claim_store import ClaimStore
from ragwortfield.log import event
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    InstanceList,
    ObjectStore,
    Row,
    Rows,
    Table,
    Unavailable,
    Write,
)
from ragwortfield.settings.checking import SettingsError
from ragwortfield.settings.deployment import parse_configuration
from ragwortfield.policies.configuration import adopt_version
from ragwortfield.policies.membership import observe_listing
from ragwortfield.policies.seat_leases import (
    SeatWrite,
    give_up_before_release,
    observe_seat_rows,
    plan_seats,
    record_write,
    take_back,
)

#: Key of the row with the configuration in force. The row's version is the
#: version of the configuration, so the row is never deleted.
CONFIGURATION_KEY = 'configuration/current'
#: Prefix of the rows that keep every accepted configuration.
CONFIGURATION_HISTORY_PREFIX = 'configuration_history/'


class Platform(Table, InstanceList, ObjectStore, Protocol):
    """The platform's table, instance list and object store."""


class PlatformSync:
    """
    Synchronises the in-memory state of an instance with the platform.

    :param tables: the instance's in-memory state.
    :param platform: the platform's table and instance list.
    :param claim_store: claims, which are loaded when a seat is acquired and
        must be written before a seat is released.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        tables: Tables,
        platform: Platform,
        claim_store: ClaimStore,
        clock: Clock,
    ) -> None:
        """Create a synchroniser that has read nothing yet."""
        self._tables = tables
        self._platform = platform
        self._claim_store = claim_store
        self._clock = clock

    def run_round(self) -> bool:
        """
        Read the configuration and the instance list, and exchange seats.

        :returns: whether the platform's table answered.
        """
        is_reached = self.read_configuration()
        listing = self._platform.fetch()
        if isinstance(listing, Unavailable):
            event('list_unavailable', reason=listing.reason)
        else:
            observe_listing(self._tables, listing)
        return self.exchange_seats() or is_reached

    def read_configuration(self) -> bool:
        """
        Read the configuration and put a newer version in force.

        :returns: whether the platform's table answered.
        """
        found = self._platform.scan(CONFIGURATION_KEY)
        if isinstance(found, Unavailable):
            event('table_unavailable', reason=found.reason)
            return False
        self._tables.store_ok_at = self._clock.monotonic()
        for row in found.rows:
            if row.version > self._tables.configuration_version():
                self._adopt_configuration(row)
        return True

    def exchange_seats(self) -> bool:
        """
        Read the data centre's seats, then renew, acquire and release seats.

        :returns: whether the platform's table answered.
        """
        name = self._tables.identity.data_centre
        found = self._platform.scan(f'seats/{name}/')
        if isinstance(found, Unavailable):
            return False
        now = self._clock.monotonic()
        observe_seat_rows(self._tables, _parse_seat_rows(found), now)
        writes = plan_seats(
            self._tables,
            now=now,
            wall=self._clock.wall(),
            is_flushed=not self._claim_store.count_dirty(),
        )
        for write in writes:
            self._write_seat(write)
        self._claim_store.load_claims()
        return True

    def release_seats(self) -> None:
        """Release every held seat."""
        for key, held in tuple(self._tables.held_by_key.items()):
            self._tables.held_by_key[key] = replace(held, is_leaving=True)
        self.exchange_seats()

    def _write_seat(self, write: SeatWrite) -> None:
        if not write.seat.holder:
            self._write_release(write)
            return
        key = write.seat_id.row_key()
        is_new = key not in self._tables.held_by_key
        if is_new:
            self._claim_store.prefetch_claims(write)
        outcome = self._transact(write)
        if isinstance(outcome, Committed):
            version = outcome.version_by_key[key]
            record_write(
                self._tables,
                write,
                version,
                self._clock.monotonic(),
            )
            if is_new:
                event(
                    'seat_taken',
                    seat=key,
                    generation=write.seat.generation,
                )

    def _write_release(self, write: SeatWrite) -> None:
        # Requests may have claimed keys since the release was planned.
        is_flushed = self._claim_store.is_seat_flushed(write.seat_id)
        if not (is_flushed or self._tables.is_leaving):
            return
        released_at = self._clock.monotonic()
        held = give_up_before_release(self._tables, write)
        outcome = self._transact(write)
        now = self._clock.monotonic()
        if isinstance(outcome, Committed):
            version = outcome.version_by_key[write.seat_id.row_key()]
            record_write(self._tables, write, version, now)
        elif (
            isinstance(outcome, Unavailable)
            and not outcome.is_effect_possible
            and held is not None
        ):
            take_back(self._tables, held, gave_up_at=released_at, now=now)

    def _transact(
        self,
        write: SeatWrite,
    ) -> Committed | Conflict | Unavailable:
        key = write.seat_id.row_key()
        outcome = self._platform.transact(
            (
                Write(
                    key=key,
                    expected_version=write.expected_version,
                    body=to_document(write.seat),
                ),
            ),
        )
        if isinstance(outcome, Conflict):
            event('seat_conflict', seat=key, version=outcome.version)
        return outcome

    def _adopt_configuration(self, row: Row) -> None:
        text = str(row.body.get('text', ''))
        configuration = parse_configuration(text, row.key)
        if isinstance(configuration, SettingsError):
            event('configuration_refused', reason=configuration.text())
            return
        version = ConfigurationVersion(
            version=row.version,
            configuration=configuration,
        )
        if adopt_version(self._tables, version, text):
            event(
                'configuration_in_force',
                version=row.version,
                source='table',
            )


def _parse_seat_rows(found: Rows) -> tuple[SeatRow, ...]:
    rows = []
    for row in found.rows:
        seat = from_document(row.body, Seat)
        _, data_centre, index = row.key.split('/')
        if isinstance(seat, Malformed):
            event('seat_row_malformed', key=row.key, reason=seat.reason)
            continue
        rows.append(
            SeatRow(
                seat_id=SeatId(data_centre=data_centre, index=int(index)),
                seat=seat,
                version=row.version,
            ),
        )
    return tuple(rows)

"""Periodic exchange with the platform: configuration, instances and seats."""

from dataclasses import replace
from typing import Protocol

from ragwortfield.adapters.json_codec import (
    Malformed,
    from_document,
    to_document,
)
from ragwortfield.core.configuration import VersionedConfiguration
from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.seats import Seat, SeatId, SeatRow
from ragwortfield.engine.claim_store import ClaimStore
from ragwortfield.log import event
from ragwortfield.policies.configuration import apply_configuration
from ragwortfield.policies.membership import apply_listing
from ragwortfield.policies.seat_leases import (
    SeatWrite,
    apply_seat_rows,
    plan_seat_writes,
    record_seat_write,
    relinquish_before_release,
    restore_unreleased_seat,
)
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    Conflict,
    InstanceList,
    ObjectStore,
    Row,
    Rows,
    TableService,
    Unavailable,
    Write,
)
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.settings.toml_parsing import SettingsError

#: Key of the row with the configuration in force. The row's version is the
#: version of the configuration, so the row is never deleted.
CONFIGURATION_KEY = 'configuration/current'
#: Prefix of the rows that keep every accepted configuration.
CONFIGURATION_HISTORY_PREFIX = 'configuration_history/'


class Platform(TableService, InstanceList, ObjectStore, Protocol):
    """The platform's table, instance list and object store."""


class PlatformSync:
    """
    Synchronises the in-memory state of an instance with the platform.

    :param instance_state: the instance's in-memory state.
    :param platform: the platform's table and instance list.
    :param claim_store: claims of idempotency keys; loaded when a seat is
        acquired, and checked for unwritten ones before a seat is released.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        platform: Platform,
        claim_store: ClaimStore,
        clock: Clock,
    ) -> None:
        """Create a synchroniser that has read nothing yet."""
        self._instance_state = instance_state
        self._platform = platform
        self._claim_store = claim_store
        self._clock = clock

    def run_round(self) -> bool:
        """
        Read the configuration and the instance list, and exchange seats.

        :returns: whether the platform's table answered.
        """
        is_reached = self.read_configuration()
        listing = self._platform.list_instances()
        if isinstance(listing, Unavailable):
            event('list_unavailable', reason=listing.reason)
        else:
            apply_listing(self._instance_state, listing)
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
        self._instance_state.store_reached_at = self._clock.monotonic()
        for row in found.rows:
            if row.version > self._instance_state.configuration_version():
                self._adopt_configuration(row)
        return True

    def exchange_seats(self) -> bool:
        """
        Read the data centre's seats, then renew, acquire and release seats.

        :returns: whether the platform's table answered.
        """
        data_centre_name = self._instance_state.identity.data_centre
        found = self._platform.scan(f'seats/{data_centre_name}/')
        if isinstance(found, Unavailable):
            return False
        now = self._clock.monotonic()
        wall_time = self._clock.wall_time()
        apply_seat_rows(
            self._instance_state,
            _parse_seat_rows(found),
            now=now,
            wall_time=wall_time,
        )
        writes = plan_seat_writes(
            self._instance_state,
            now=now,
            wall_time=wall_time,
            is_flushed=not self._claim_store.count_dirty(),
        )
        for write in writes:
            self._write_seat(write)
        self._claim_store.load_claims()
        return True

    def release_seats(self) -> None:
        """Release every held seat."""
        for key, held in tuple(self._instance_state.held_seat_by_key.items()):
            self._instance_state.held_seat_by_key[key] = replace(
                held,
                is_leaving=True,
            )
        self.exchange_seats()

    def _write_seat(self, write: SeatWrite) -> None:
        if not write.seat.holder:
            self._write_release(write)
            return
        key = write.seat_id.row_key()
        is_new = key not in self._instance_state.held_seat_by_key
        if is_new:
            self._claim_store.prefetch_claims(write)
        outcome = self._write_seat_row(write)
        if isinstance(outcome, Committed):
            version = outcome.version_by_key[key]
            record_seat_write(
                self._instance_state,
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
        if not (is_flushed or self._instance_state.is_leaving):
            return
        released_at = self._clock.monotonic()
        held = relinquish_before_release(self._instance_state, write)
        outcome = self._write_seat_row(write)
        now = self._clock.monotonic()
        if isinstance(outcome, Committed):
            version = outcome.version_by_key[write.seat_id.row_key()]
            record_seat_write(self._instance_state, write, version, now)
        elif (
            isinstance(outcome, Unavailable)
            and not outcome.is_effect_possible
            and held is not None
        ):
            restore_unreleased_seat(
                self._instance_state,
                held,
                relinquished_at=released_at,
                now=now,
            )

    def _write_seat_row(
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
        versioned = VersionedConfiguration(
            version=row.version,
            configuration=configuration,
        )
        if apply_configuration(self._instance_state, versioned, text):
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

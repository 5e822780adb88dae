"""Zones that the operator has evacuated, as far as an instance knows them."""

import math
import time
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event

from ragwortfield.engine.wall_clock import get_boot_time
from ragwortfield.log import event
from ragwortfield.ports.row_store import RowName, StoredRow
from ragwortfield.types import MonotonicTime, Seconds

#: Pause before a failed call is retried, in seconds.
_RETRY_S: Seconds = 0.1


class EvacuationView:
    """
    Evacuated zones, and the time up to which they are known.

    Owners of shards start tasks only while it is recent, so an instance that
    has not read the operator's rows yet starts nothing.

    :param find_zone: returns the zone that a row evacuates; empty for any
        other row.
    :param max_age_s: age of the knowledge from which on starts are held back,
        in seconds.
    """

    def __init__(
        self, *, find_zone: Callable[[RowName], str], max_age_s: Seconds
    ) -> None:
        """Create without any knowledge."""
        self.zones: frozenset[str] = frozenset()
        self._find_zone = find_zone
        self._max_age_s = max_age_s
        # Removed rows are kept with their versions, because answers of the
        # store may be applied in another order than they were given.
        self._row_by_zone: dict[str, StoredRow] = {}
        # By the clock that also runs while the machine is suspended.
        self._known_until: Seconds = -math.inf
        self._catch_up_due = Event()

    def apply_rows(
        self, rows: Iterable[StoredRow], *, is_complete: bool
    ) -> bool:
        """
        Apply rows of the operator's table.

        :param rows: changed rows, or all of them.
        :param is_complete: whether these are all rows of the table; zones that
            are missing there are in service.
        :returns: whether the evacuated zones have changed.
        """
        if is_complete:
            self._row_by_zone.clear()
            # They are those of the time at which the read began.
            self._known_until = -math.inf
        for row in rows:
            zone = self._find_zone(row.name)
            known = self._row_by_zone.get(zone)
            if zone and (known is None or row.version >= known.version):
                self._row_by_zone[zone] = row
        former_zones = self.zones
        self.zones = frozenset(
            zone
            for zone, row in self._row_by_zone.items()
            if row.content is not None
        )
        if self.zones == former_zones:
            return False
        event(
            'evacuated_zones_changed',
            zones=','.join(sorted(self.zones)),
            before=','.join(sorted(former_zones)),
            is_complete=is_complete,
        )
        return True

    def record_progress(self, age_s: Seconds) -> None:
        """
        Record up to when the rows are known.

        :param age_s: time for which changes may not have been delivered, in
            seconds.
        """
        self._known_until = max(self._known_until, get_boot_time() - age_s)

    def known_until(self) -> MonotonicTime:
        """
        Return up to when the evacuated zones are known.

        :returns: monotonic time, dated back by suspensions of the machine
            since then; minus infinity before the first read.
        """
        return time.monotonic() - self._get_age_s()

    def request_catch_up(self) -> None:
        """Let ``catch_up_when_due`` ask for the rows that starts need."""
        self._catch_up_due.set()

    def catch_up_when_due(self, catch_up: Callable[[], bool]) -> None:
        """
        Ask the store again and again while starts are held back.

        :param catch_up: delivers the latest rows; returns whether the store
            has answered.
        """
        while True:
            self._catch_up_due.wait()
            event('evacuations_outdated', age_s=self._get_age_s())
            while self._get_age_s() > self._max_age_s:
                if not catch_up():
                    gevent.sleep(_RETRY_S)
            self._catch_up_due.clear()

    def _get_age_s(self) -> Seconds:
        return get_boot_time() - self._known_until

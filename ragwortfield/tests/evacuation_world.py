"""Shard whose workers are in zones that an operator evacuates."""

import math
from dataclasses import replace

from ragwortfield.engine.row_names import COMMON_PARTITION
from ragwortfield.platform.table_names import (
    OPERATOR_TABLE,
    find_evacuated_zone,
)
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowName,
    RowWrite,
    Transaction,
    TransactionDone,
)
from ragwortfield.scheduling import evacuated_zones, shard_updates
from ragwortfield.tests.shard_world import ShardOwner, ShardWorld

#: Time from the acknowledgement of an evacuation until which the platform
#: allows starts in the zone, in seconds.
EVACUATE_S = 5


class EvacuatingOwner(ShardOwner):
    """Owner that has not read the operator's rows when it takes over."""

    def __init__(self, **options):
        super().__init__(**options)
        self.state.evacuations_known_until = -math.inf

    def _poll_changes(self):
        super()._poll_changes()
        page = self.world.store.read(OPERATOR_TABLE, COMMON_PARTITION)
        if self.world.is_operator_feed_silent or isinstance(page, Unavailable):
            return
        evacuated_zones.update_zones(
            self.state,
            frozenset(find_evacuated_zone(row.name) for row in page.rows),
            self.world.now,
            self.world.now,
        )

    def _update_workers(self):
        for worker in self.world.workers.worker_by_id.values():
            zone = self.world.get_zone(worker.worker_id)
            shard_updates.update_worker(
                self.state, replace(worker.listing(), data_centre=zone)
            )


class EvacuationWorld(ShardWorld):
    """Shard with workers in two zones."""

    owner_type = EvacuatingOwner

    def __init__(self, **options):
        super().__init__(**options)
        self.is_operator_feed_silent = False
        # Zone, time of the acknowledgement, and time of its end.
        self.evacuations = []

    def get_zone(self, worker_id):
        """Return the zone of a worker; consecutive ones differ."""
        return f'z{int(worker_id.removeprefix("w")) % 2}'

    def evacuate(self, zone):
        """Write the row that evacuates a zone."""
        if self._write_row(zone, b'{}'):
            self.evacuations.append([zone, self.now, math.inf])

    def return_to_service(self, zone):
        """Remove the row that evacuates a zone."""
        # The removal may take effect although its answer is lost.
        for evacuation in self.evacuations:
            if evacuation[0] == zone:
                evacuation[2] = min(evacuation[2], self.now)
        self._write_row(zone, None)

    def list_starts(self, worker_id, job_id):
        """List when tasks of a job were started on a worker."""
        return [
            at
            for change, at, key, _, _ in self.workers.worker_by_id[
                worker_id
            ].history
            if change == 'start' and key.job_id == job_id
        ]

    def check(self):
        """
        Check the invariants of a shard, and that evacuated zones start nothing.

        :raises AssertionError: if a worker started a task in its evacuated
            zone.
        """
        super().check()
        for worker in self.workers.worker_by_id.values():
            for change, at, key, _, _ in worker.history:
                if change == 'start':
                    self._check_start(worker.worker_id, at, key)

    def _check_start(self, worker_id, at, key):
        for zone, since, until in self.evacuations:
            is_evacuated = since + EVACUATE_S < at < until
            assert zone != self.get_zone(worker_id) or not is_evacuated, (
                f'{key} started on {worker_id} at {at}, though {zone} is '
                f'evacuated since {since}'
            )

    def _write_row(self, zone, content):
        name = RowName(
            table=OPERATOR_TABLE,
            partition=COMMON_PARTITION,
            key=f'evacuate/{zone}',
        )
        row = self.store.row_by_name.get(name)
        is_present = row is not None and row.content is not None
        # A delayed write must not undo a later one.
        expected = ExpectedVersion(
            name=name, version=row.version if is_present else 0
        )
        outcome = self.store.commit(
            Transaction(
                expected=(expected,),
                writes=(RowWrite(name=name, content=content),),
            ),
            1,
        )
        return isinstance(outcome, TransactionDone)

"""Keeping the leases of workers."""

from ragwortfield.ports.task_worker import LeaseOrder
from ragwortfield.scheduling.bounds import MS_PER_S
from ragwortfield.scheduling.tables import ShardTables
from ragwortfield.scheduling.worker_rows import WorkerRow
from ragwortfield.types import Instant

#: How long a worker may wait for an end before it answers, in
#: milliseconds; readings of its tasks cover the last half second.
_WAIT_MS = 500


def lease_order(
    tables: ShardTables,
    worker: WorkerRow,
    now: Instant,
) -> LeaseOrder:
    """
    Make the next extension of a worker's lease.

    :param tables: tables of the shard.
    :param worker: the worker.
    :param now: reading of the monotonic clock.
    :returns: the order; the first one of an owner only looks.
    """
    deadline_ms: int | None = None
    # A silent worker's lease is left to lapse: each extension that may have
    # arrived would put off the moment from which its tasks can run elsewhere.
    if worker.is_in_contact(tables.bounds, now):
        lease_ms = tables.bounds.lease_s * MS_PER_S
        deadline_ms = int(worker.clock.earliest_ms(now) + lease_ms)
        worker.lease_end_ms = max(worker.lease_end_ms, deadline_ms)
    has_unacknowledged = worker.noted > worker.acknowledged
    return LeaseOrder(
        worker_id=worker.worker_id,
        address=worker.listed.address,
        fencing_token=tables.epoch,
        acknowledged=_acknowledgement(worker),
        deadline_ms=deadline_ms,
        wait_ms=0 if has_unacknowledged or not worker.known_at else _WAIT_MS,
    )


def _acknowledgement(worker: WorkerRow) -> int:
    # Repeating an old number would acknowledge unseen ends of a worker that
    # has started again and counts anew.
    if worker.acknowledged > worker.told:
        return worker.acknowledged
    return 0

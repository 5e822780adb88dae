"""Protocol of the workers that run tasks."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from ragwortfield.core.resources import Resources
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.types import WorkerId


class EndKind(StrEnum):
    """
    How a run ended.

    ``GANG_BROKEN`` and ``GANG_INCOMPLETE`` mean that the run ended because of
    other tasks of its gang, not by a failure of its own.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


class Refusal(StrEnum):
    """Why a worker refused an order."""

    FENCED = 'fence'
    SUPERSEDED = 'old'
    DEADLINE_PASSED = 'late'
    INSUFFICIENT_CAPACITY = 'room'
    INVALID_TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other-incarnation'
    MALFORMED = 'malformed'


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedWorker:
    """
    Worker as it registers itself.

    :param clock_ms: its monotonic clock when it wrote the entry.
    :param born_ms: Unix time at which the worker started.
    :param remaining_ms: shortest time before a draining worker leaves.
    :param cold_remaining_ms: time after the entry was written for which the
        worker is slow, as when its zone has returned to service.
    """

    worker_id: WorkerId
    pool: str = ''
    address: str = ''
    data_centre: str = ''
    capacity: Resources = field(default_factory=Resources)
    labels: tuple[str, ...] = ()
    rack: str = ''
    machine: str = ''
    is_draining: bool = False
    clock_ms: int = 0
    born_ms: int = 0
    remaining_ms: int = 0
    cold_remaining_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedRun:
    """
    Run that a worker reports as running.

    :param percent: current speed in percent of full speed, or progress in
        percent.
    :param reading: tail latency in milliseconds of a serving task, CPU usage
        in thousandths of a core of any other task; ``None`` when not reported.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: float
    reading: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEnd:
    """
    Ended run; a worker reports it until it is acknowledged.

    :param number: sequence number of the end within one incarnation of the
        worker.
    """

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseOrder:
    """
    Order to extend the lease on all runs of a worker and to report on them.

    :param acknowledged_end: the worker may discard ends up to this number.
    :param deadline_ms: expiry of the lease by the worker's clock; ``None``
        leaves the lease unchanged.
    :param wait_ms: how long the worker may delay the report until a run ends.
    :param born_ms: start of the worker's process for whose clock the deadline
        was computed, as Unix time in milliseconds; no other process gets the
        deadline or the acknowledgement.
    """

    worker_id: WorkerId
    address: str
    fencing_token: int
    acknowledged_end: int
    deadline_ms: int | None
    wait_ms: int
    born_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseReport:
    """
    Runs of a worker, and ended runs that are not acknowledged yet.

    :param is_order_applied: whether the deadline and the acknowledgement of the
        order were sent with it; otherwise the worker was only polled.
    """

    clock_ms: int
    born_ms: int
    runs: tuple[ListedRun, ...]
    ends: tuple[ListedEnd, ...]
    is_order_applied: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRun:
    """
    Order to start a run.

    :param checkpoint: checkpoint to resume from; empty to start afresh.
    :param deadline_ms: the worker refuses the order after this time by its
        own clock.
    :param born_ms: start of the worker's process for which the order was made,
        as Unix time in milliseconds; no other process gets the order.
    :param ticket: proof that the worker is approved for the step; empty when
        the step needs no approval.
    """

    worker_id: WorkerId
    address: str
    key: TaskKey
    run: int
    spec: str
    checkpoint: str
    deadline_ms: int
    fencing_token: int
    ticket: str = ''
    born_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StopRun:
    """
    Order to stop a run; a start that arrives later is refused.

    :param born_ms: start of the worker's process for which the order was made,
        as Unix time in milliseconds; it is not sent.
    """

    worker_id: WorkerId
    address: str
    key: TaskKey
    run: int
    fencing_token: int
    born_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceRun:
    """Order to limit a run to a percentage, 0 to 100, of full speed."""

    worker_id: WorkerId
    address: str
    key: TaskKey
    run: int
    percent: int
    fencing_token: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderDone:
    """The worker carried out the order."""

    clock_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderRefused:
    """The worker refused the order; nothing changed."""

    refusal: Refusal
    clock_ms: int


OrderOutcome = OrderDone | OrderRefused | Unavailable


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionUse:
    """
    Connections of one owner to its workers.

    :param open_count: open connections to all workers.
    :param most_per_worker: open connections to the worker that has most.
    :param refused_count: new connections so far that workers closed without a
        response, as they do when they serve as many as they can.
    """

    open_count: int = 0
    most_per_worker: int = 0
    refused_count: int = 0


class TaskWorkerControl(Protocol):
    """
    Orders of one owner to workers.

    After ``Unavailable`` the effect is unknown.
    """

    def renew_lease(
        self,
        order: LeaseOrder,
    ) -> LeaseReport | OrderRefused | Unavailable:
        """Extend the lease, and read the running and the ended runs."""

    def start(self, order: StartRun) -> OrderOutcome:
        """Start a run."""

    def stop(self, order: StopRun) -> OrderOutcome:
        """Stop a run."""

    def pace(self, order: PaceRun) -> OrderOutcome:
        """Set the pace of a run."""

    def get_connection_use(self) -> ConnectionUse:
        """Count the connections to all workers."""

    def close(self) -> None:
        """Send no further orders and leave the connections to others."""

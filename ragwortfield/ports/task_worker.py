"""Port to the workers that run tasks."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from ragwortfield.core.resources import Resources
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.types import WorkerId


class EndKind(StrEnum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


class Refusal(StrEnum):
    """Why a worker did not start a run."""

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

    :param clock_ms: its own steady clock when it wrote the entry.
    :param remaining_ms: least time left before it leaves, when draining.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedRun:
    """
    Run that a worker reports as running.

    :param percent: share at which it works, or how far it is.
    :param reading: tail latency in milliseconds of a task that serves,
        processor use in cores of any other; ``None`` when not reported.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: float
    reading: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEnd:
    """
    End that a worker reports until it is acknowledged.

    :param number: grows with each end of one incarnation.
    """

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseOrder:
    """
    Extension of the lease of everything on a worker, and a look at it.

    :param deadline_ms: end of the lease by the worker's clock; ``None``
        leaves it as it is.
    :param acknowledged_end: ends up to this number may be forgotten.
    :param wait_ms: how long the worker may wait for an end.
    """

    worker_id: WorkerId
    address: str
    fencing_token: int
    acknowledged_end: int
    deadline_ms: int | None
    wait_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseReport:
    """What a worker runs and what has ended there."""

    clock_ms: int
    born_ms: int
    runs: tuple[ListedRun, ...]
    ends: tuple[ListedEnd, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRun:
    """
    Order to start a run.

    :param deadline_ms: the worker refuses the order after this time of
        its own clock.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class StopRun:
    """Order to stop a run; a run not yet there is refused later."""

    worker_id: WorkerId
    address: str
    key: TaskKey
    run: int
    fencing_token: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceRun:
    """Order to let a run work at a share of its speed, 0 to 100."""

    worker_id: WorkerId
    address: str
    key: TaskKey
    run: int
    percent: int
    fencing_token: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderDone:
    """The worker carried the order out."""

    clock_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderRefused:
    """The worker did nothing."""

    refusal: Refusal
    clock_ms: int


OrderOutcome = OrderDone | OrderRefused | Unavailable


class TaskWorkerControl(Protocol):
    """Calls to workers; ``Unavailable`` means that nothing is certain."""

    def renew_lease(
        self,
        order: LeaseOrder,
    ) -> LeaseReport | OrderRefused | Unavailable:
        """Extend the lease and read what runs and what ended."""

    def start(self, order: StartRun) -> OrderOutcome:
        """Start a run."""

    def stop(self, order: StopRun) -> OrderOutcome:
        """Stop a run."""

    def pace(self, order: PaceRun) -> OrderOutcome:
        """Set the speed of a run."""

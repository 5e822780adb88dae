"""Ports to the platform: tables, objects, the list and worker control.

No call raises for an outage: what went wrong is a tagged outcome, so that
every caller decides what an unknown result means to it.
"""

from dataclasses import dataclass, field
from typing import Protocol

from ragwortfield.core.jobs import WorkerReport
from ragwortfield.core.resources import Resources
from ragwortfield.types import JobId, RowBody, WallTime


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """Row of a table; versions start at 1 and grow with each write."""

    key: str
    version: int
    body: RowBody


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """
    Write of one row inside a transaction.

    :param expected_version: version the row must have; 0 means absent.
    :param body: new content; ``None`` deletes the row.
    """

    key: str
    expected_version: int
    body: RowBody | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The transaction took effect."""

    version_by_key: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """
    Nothing was written: a row had another version than expected.

    :param key: first row that differed.
    :param version: its version in the table; 0 when absent.
    """

    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """
    The platform gave no usable answer.

    :param reason: what happened, with the time waited where one applies.
    :param is_effect_possible: whether a write may have taken effect.
    """

    reason: str
    is_effect_possible: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """Rows found by a read, ordered by key."""

    rows: tuple[Row, ...] = ()


class TableService(Protocol):
    """Transactional table service."""

    def scan(self, prefix: str) -> Rows | Unavailable:
        """Read every row whose key starts with a prefix."""

    def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Committed | Conflict | Unavailable:
        """Apply all writes or none of them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedInstance:
    """
    Entry instance, target or worker as the platform lists it.

    :param kind: ``entry``, ``target`` or ``worker``.
    :param capacity: size of a worker; zero for the other kinds.
    """

    instance_id: str
    kind: str
    data_centre: str
    address: str
    service: str = ''
    peer_address: str = ''
    is_leaving: bool = False
    capacity: Resources = field(default_factory=Resources)


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """The platform's list; it lags behind ``as_of`` readers' clocks."""

    as_of: WallTime
    instances: tuple[ListedInstance, ...] = ()


class InstanceList(Protocol):
    """Lagging list of live and leaving instances."""

    def list_instances(self) -> Listing | Unavailable:
        """Read the list."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask:
    """
    Order to start a task.

    :param generation: fencing token; a worker refuses one it has seen.
    :param expires_at: end of the lease, by the wall clock.
    """

    job_id: JobId
    generation: int
    command: str
    resources: Resources
    expires_at: WallTime
    checkpoint: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewTasks:
    """Order to prolong the leases of tasks, by job and generation."""

    generation_by_job: dict[JobId, int]
    expires_at: WallTime


class WorkerControl(Protocol):
    """Control of one worker's tasks."""

    def start(self, address: str, order: StartTask) -> bool | Unavailable:
        """Start a task; false when the worker refuses the generation."""

    def renew_leases(
        self,
        address: str,
        order: RenewTasks,
    ) -> WorkerReport | Unavailable:
        """Prolong leases and read the worker's report."""

    def stop(
        self,
        address: str,
        job_id: JobId,
        generation: int,
    ) -> bool | Unavailable:
        """Checkpoint and stop a task."""

    def throttle(
        self,
        address: str,
        job_id: JobId,
        share: float,
    ) -> bool | Unavailable:
        """Limit a task to a share of its processor grant."""

    def discard_reports(
        self,
        address: str,
        generation_by_job: dict[JobId, int],
    ) -> bool | Unavailable:
        """Drop reports of ended tasks that the table has recorded."""


class ObjectStore(Protocol):
    """Object service for bodies too large for a row."""

    def put(self, key: str, content: bytes) -> bool | Unavailable:
        """Store an object."""

    def get(self, key: str) -> bytes | None | Unavailable:
        """Read an object; ``None`` when absent."""

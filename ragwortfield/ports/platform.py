"""Protocols of the platform: tables, objects, instance list, worker control.

An outage does not raise: calls return :class:`Unavailable` instead, so that
each caller has to decide how to treat a result that it does not know.
"""

from dataclasses import dataclass, field
from typing import Protocol

from ragwortfield.core.jobs import WorkerReport
from ragwortfield.core.resources import Resources
from ragwortfield.types import JobId, RowBody, WallTime


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """Row of a table; its version starts at 1 and grows with each write."""

    key: str
    version: int
    body: RowBody


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """
    Write of one row within a transaction.

    :param expected_version: version that the row must have; 0 means that the
        row must not exist.
    :param body: new content; ``None`` deletes the row.
    """

    key: str
    expected_version: int
    body: RowBody | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """
    The transaction was committed.

    :param version_by_key: new versions of the written rows.
    """

    version_by_key: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """
    The transaction was aborted: a row did not have the expected version.

    :param key: first row whose version differs.
    :param version: version of that row in the table; 0 when it is absent.
    """

    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """
    The call failed or its response could not be used.

    :param reason: description of the failure; names the time-out when one
        was exceeded.
    :param is_effect_possible: whether a write may have taken effect.
    :param is_known_connection: whether the call went over a connection on which
        the server had answered before. If the server's process has restarted
        since, it has not received the call.
    """

    reason: str
    is_effect_possible: bool = False
    is_known_connection: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """Rows that a scan found, ordered by key."""

    rows: tuple[Row, ...] = ()


class TableService(Protocol):
    """Transactional table service."""

    def scan(self, prefix: str) -> Rows | Unavailable:
        """Read all rows whose keys start with a prefix."""

    def transact(
        self,
        writes: tuple[Write, ...],
    ) -> Committed | Conflict | Unavailable:
        """Apply all writes atomically."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedInstance:
    """
    Entry instance, target or worker in the platform's instance list.

    :param kind: ``entry``, ``target`` or ``worker``.
    :param service: service that a target belongs to.
    :param is_leaving: whether the instance is shutting down.
    :param capacity: resources of a worker; zero for the other kinds.
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
    """
    Instance list, which lags behind the present state.

    :param as_of: wall time at which the list was current.
    """

    as_of: WallTime
    instances: tuple[ListedInstance, ...] = ()


class InstanceList(Protocol):
    """List of live and leaving instances; it may be out of date."""

    def list_instances(self) -> Listing | Unavailable:
        """Read the instance list."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask:
    """
    Order to start a task.

    :param generation: fencing token; a worker refuses a generation that is
        not newer than the latest one it has seen for the job.
    :param expires_at: wall time at which the lease of the task expires.
    :param checkpoint: checkpoint to resume from; empty to start afresh.
    """

    job_id: JobId
    generation: int
    command: str
    resources: Resources
    expires_at: WallTime
    checkpoint: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewTasks:
    """
    Order to extend the leases of tasks.

    :param generation_by_job: generation of each task whose lease is extended.
    :param expires_at: wall time at which the extended leases expire.
    """

    generation_by_job: dict[JobId, int]
    expires_at: WallTime


class WorkerControl(Protocol):
    """Control of tasks on workers; each call goes to one worker."""

    def start(self, address: str, order: StartTask) -> bool | Unavailable:
        """Start a task; false when the worker refuses its generation."""

    def renew_leases(
        self,
        address: str,
        order: RenewTasks,
    ) -> WorkerReport | Unavailable:
        """Extend leases and read the worker's report."""

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
        """Limit a task to a share, 0 to 1, of its CPU grant."""

    def discard_reports(
        self,
        address: str,
        generation_by_job: dict[JobId, int],
    ) -> bool | Unavailable:
        """Discard reports of ended tasks once the table records their end."""


class ObjectStore(Protocol):
    """Object store for bodies that are too large for a row."""

    def put(self, key: str, content: bytes) -> bool | Unavailable:
        """Store an object."""

    def get(self, key: str) -> bytes | None | Unavailable:
        """Read an object; ``None`` when it does not exist."""

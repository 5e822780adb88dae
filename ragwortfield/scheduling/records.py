"""Rows in which jobs and their progress outlive every instance."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TypeVar

import msgspec

from ragwortfield.adapters.json_codec import DECODE_ERRORS, Malformed
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.job import Job
from ragwortfield.types import InstanceId, Seconds, WorkerId

_RecordT = TypeVar('_Kind')


class TaskPhase(IntEnum):
    """Durable phase of a task."""

    WAITING = 0
    BOUND = 1
    DONE = 2
    FAILED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskRecord:
    """
    Durable state of one task.

    :param run: number of its latest run; 0 before the first.
    :param worker_id: worker of the run while ``BOUND``.
    :param failures: runs that ended as failed.
    :param checkpoint: latest checkpoint; empty for none.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: WorkerId = ''
    failures: int = 0
    checkpoint: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ProgressRecord:
    """
    Durable state of one occurrence of a job.

    :param steps: tasks by step and index.
    """

    job_id: str
    occurrence: int
    steps: tuple[tuple[TaskRecord, ...], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRecord:
    """
    Accepted job.

    :param queue: its queue at acceptance, for owners that know only
        configurations without it.
    """

    job: Job
    queue: Queue | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CancellationRecord:
    """Cancellation of a job."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerRecord:
    """
    Owner of a shard.

    :param instance_id: the owner; empty when it left as planned.
    :param incarnation: distinguishes the lives of its process.
    :param epoch: fencing token; grows with every change of owner.
    :param address: where peers reach the owner.
    :param lease_s: longest lease that it and the owners before it ask of
        workers, in seconds; 0 when that is not known.
    """

    instance_id: InstanceId
    incarnation: str
    epoch: int
    address: str = ''
    lease_s: Seconds = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SequenceRecord:
    """Last commit of a shard; it tells whether an unanswered one was made."""

    epoch: int
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class InterferenceWeightRecord:
    """
    What is known of one pair of images.

    :param serving: image of the tasks that serve.
    :param filler: image of the fillers.
    """

    serving: str
    filler: str
    amount: float
    variance: float


@dataclass(frozen=True, kw_only=True, slots=True)
class InterferenceRecord:
    """
    What an owner has learned of interference, for the owners after it.

    :param least_by_image: smallest tail latency of each serving image, in
        milliseconds.
    """

    weights: tuple[InterferenceWeightRecord, ...]
    least_by_image: dict[str, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberRecord:
    """
    Entry instance of the deployment.

    :param address: where peers reach it.
    :param cores: processor that it has, in cores.
    :param store_ms: time of a read of the store as it measured it.
    """

    instance_id: InstanceId
    incarnation: str
    address: str
    data_centre: str
    cores: float = 0
    store_ms: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LayoutRecord:
    """
    Division into shards, fixed when the deployment first starts.

    :param worker_limits: hash of a worker's identifier from which on the
        next shard has it; one fewer than there are shards.
    """

    shards: int = field(default=1)
    worker_limits: tuple[int, ...] = ()


def encode_record(record: object) -> bytes:
    """
    Encode a record for the store.

    :param record: one of the data classes of this module.
    :returns: MessagePack bytes.
    """
    return msgspec.msgpack.encode(record)


def decode_record(content: bytes, kind: type[_RecordT]) -> _RecordT | Malformed:
    """
    Decode a record of the store.

    :param content: MessagePack bytes.
    :param kind: the expected data class.
    :returns: the record, or why the bytes do not fit.
    """
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))

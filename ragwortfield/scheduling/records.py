"""Stored records of jobs, their progress, shards and entry instances.

They outlive every instance, so an owner can continue where another stopped.
"""

import sys
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated, NamedTuple, TypeVar

import msgspec

from ragwortfield.adapters.json_codec import DECODE_ERRORS, Malformed
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.job import Job
from ragwortfield.types import InstanceId, Seconds, WorkerId

#: Upper bound of fencing tokens. They grow by one with each change of owner,
#: so a higher one is damaged; and JSON numbers are exact up to here.
_MAX_EPOCH = 1 << sys.float_info.mant_dig

_RecordT = TypeVar('_RecordT')
_Number = Annotated[int, msgspec.Meta(ge=0)]
_Epoch = Annotated[int, msgspec.Meta(ge=0, le=_MAX_EPOCH)]
#: Longest refusal that is believed, in seconds; a damaged row must not close a
#: queue for longer.
_MAX_RETRY_AFTER_S = 300
_RetryAfter = Annotated[int, msgspec.Meta(ge=0, le=_MAX_RETRY_AFTER_S)]


class TaskPhase(IntEnum):
    """Phase of a task, as stored."""

    WAITING = 0
    BOUND = 1
    DONE = 2
    FAILED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskRecord:
    """
    Stored state of one task.

    :param run: number of its latest run; 0 before the first.
    :param worker_id: worker of the run while ``BOUND``.
    :param failures: number of runs that have failed.
    :param checkpoint: latest checkpoint; empty for none.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: WorkerId = ''
    failures: int = 0
    checkpoint: str = ''


class RestartRecord(NamedTuple):
    """
    Task that was stopped to run faster elsewhere; stored as an array.

    :param step: number of its step.
    :param index: index of the task within the step.
    :param count: number of these stops.
    """

    step: _Number
    index: _Number
    count: _Number


class CopyRecord(NamedTuple):
    """
    Run of a task besides its latest one; stored as an array.

    :param step: number of the task's step.
    :param index: index of the task within the step.
    :param run: number of the run.
    :param worker_id: its worker; empty once it is over, as its number must not
        be used again.
    """

    step: _Number
    index: _Number
    run: _Number
    worker_id: WorkerId = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ProgressRecord:
    """
    Stored progress of one occurrence of a job.

    :param steps: tasks by step and index.
    :param has_started: whether a worker has told that it had a run of one of
        the tasks; false in records of earlier versions.
    :param failed_run_by_step: latest run that has failed of each gang with one,
        by number of its step.
    :param restarts: tasks that were stopped to run faster elsewhere and are
        not done; few, as a row may hold 850 tasks and 64 KiB.
    :param copies: second runs of tasks, and numbers that ended ones have used;
        few for the same reason.
    """

    job_id: str
    occurrence: int
    steps: tuple[tuple[TaskRecord, ...], ...]
    has_started: bool = False
    failed_run_by_step: dict[int, int] = field(default_factory=dict)
    restarts: tuple[RestartRecord, ...] = ()
    copies: tuple[CopyRecord, ...] = ()

    def is_start_known(self) -> bool:
        """
        Return whether a task has certainly started.

        A run has its number from the binding on, so the number does not tell.
        """
        return self.has_started or any(
            _is_result_stored(task) for step in self.steps for task in step
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRecord:
    """
    Accepted job.

    :param queue: its queue at acceptance, for owners whose configuration does
        not have it; ``None`` if not stored.
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

    :param instance_id: the owner; empty after a planned departure.
    :param incarnation: distinguishes restarts of its process.
    :param epoch: fencing token; increases with every change of owner.
    :param address: address at which peers reach the owner.
    :param lease_s: longest lease that this owner and the owners before it
        request from workers, in seconds; 0 when it is not known.
    :param is_process_bound: whether this owner and the owners before it send
        deadlines only to the process for whose clock they were computed, so
        that no lease is longer than requested, also after a restart.
    :param departed_id: after a planned departure, the instance that has left;
        it can still be asked for a while.
    :param departed_incarnation: its incarnation.
    """

    instance_id: InstanceId
    incarnation: str
    epoch: _Epoch
    address: str = ''
    lease_s: Seconds = 0
    is_process_bound: bool = False
    departed_id: InstanceId = ''
    departed_incarnation: str = ''

    def last_holder(self) -> tuple[InstanceId, str]:
        """
        Return the instance that owns the shard, or has left it as planned.

        :returns: the instance and its incarnation; both empty if there is none.
        """
        if self.instance_id:
            return self.instance_id, self.incarnation
        return self.departed_id, self.departed_incarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class SequenceRecord:
    """
    Last commit of a shard.

    It shows whether a commit without an answer took effect.

    :param term_ms: time from the takeover of the owner until this commit, in
        milliseconds; 0 if it is not known.
    """

    epoch: _Epoch
    number: int
    term_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionRecord:
    """
    Queues of a shard that take no new jobs.

    :param retry_after_s_by_queue: by name of each such queue, seconds after
        which a caller may come back.
    :param valid_s: time after its arrival for which an instance applies the
        record, in seconds; a lost owner must not leave queues closed.
    """

    retry_after_s_by_queue: dict[str, _RetryAfter] = field(default_factory=dict)
    valid_s: _RetryAfter = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class ElectorateRecord:
    """
    Workers whose majority confirms an owner while the store is away.

    :param epoch: fencing token of the owner.
    :param born_ms_by_worker: start of the process of each worker, as Unix time
        in milliseconds.
    """

    epoch: _Epoch
    born_ms_by_worker: dict[WorkerId, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class InterferenceWeightRecord:
    """
    Learned interference between two images.

    :param serving: image of the serving tasks.
    :param filler: image of the fillers.
    :param amount: estimated weight of the filler's effect.
    :param variance: variance of that estimate.
    """

    serving: str
    filler: str
    amount: float
    variance: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueDurationRecord:
    """
    Learned relation of real to declared durations in one queue.

    The durations are natural logarithms of seconds.

    :param weight: weight of the observations.
    :param mean_declared: mean of the declared durations.
    :param mean_real: mean of the real durations.
    :param spread: sum of the squared deviations of the declared ones.
    :param product: sum of the products of the deviations of both.
    """

    queue: str
    weight: float
    mean_declared: float
    mean_real: float
    spread: float
    product: float


@dataclass(frozen=True, kw_only=True, slots=True)
class InterferenceRecord:
    """
    What the owners of a shard have learned, for later owners.

    :param least_by_image: smallest tail latency of each serving image, in
        milliseconds.
    :param durations: durations of tasks by queue; empty in records of earlier
        versions.
    """

    weights: tuple[InterferenceWeightRecord, ...]
    least_by_image: dict[str, float]
    durations: tuple[QueueDurationRecord, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberRecord:
    """
    Entry instance of the deployment.

    :param incarnation: distinguishes restarts of its process.
    :param address: address at which peers reach it.
    :param cores: CPU that it has, in cores.
    :param store_ms: latency of a read of the store that it measured, in
        milliseconds.
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

    :param shards: number of shards.
    :param worker_limits: boundaries between the shards as hashes of worker
        identifiers; the hash at a boundary belongs to the next shard. There is
        one fewer than there are shards.
    """

    shards: int = field(default=1)
    worker_limits: tuple[int, ...] = ()


def encode_record(record: object) -> bytes:
    """Encode a data class of this module as MessagePack."""
    return msgspec.msgpack.encode(record)


def _is_result_stored(task: TaskRecord) -> bool:
    is_over = task.phase in {TaskPhase.DONE, TaskPhase.FAILED}
    return is_over or task.failures > 0 or bool(task.checkpoint)


def decode_record(content: bytes, kind: type[_RecordT]) -> _RecordT | Malformed:
    """
    Decode a stored record.

    :param content: MessagePack bytes.
    :param kind: the expected data class.
    :returns: the record, or the reason why the bytes do not fit the class.
    """
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except DECODE_ERRORS as error:
        return Malformed(reason=str(error))

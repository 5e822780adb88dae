"""Names of the rows that the scheduler keeps in the store."""

from bisect import bisect_right
from collections.abc import Iterable

from ragwortfield.ports.row_store import RowName
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.types import InstanceId, JobId, WorkerId

#: Owners of shards and members of the deployment.
CLUSTER_TABLE = 'cluster'
#: Last commit of each shard.
SEQUENCE_TABLE = 'sequences'
#: Progress of jobs.
PROGRESS_TABLE = 'progress'
#: What owners have learned.
LEARNED_TABLE = 'learned'
#: Part of the rows that belong to no shard.
COMMON_PART = ''

_OWNER_KEY = 'owner'
_LAYOUT_KEY = 'layout'
_MEMBER_PREFIX = 'member/'
_JOB_PREFIX = 'job/'
_CANCEL_PREFIX = 'cancel/'


def shard_of(job_id: JobId, shards: int) -> int:
    """
    Tell which shard a job belongs to.

    :param job_id: the job.
    :param shards: number of shards.
    :returns: number of the shard.
    """
    return stable_hash(job_id) % shards


def worker_limits(
    worker_ids: Iterable[WorkerId],
    shards: int,
) -> tuple[int, ...]:
    """
    Divide workers evenly among shards.

    :param worker_ids: the workers that are known now; later ones go to the
        shards by the same limits.
    :param shards: number of shards.
    :returns: hash from which on the next shard begins, for all but the first.
    """
    hashes = sorted(stable_hash(one) for one in worker_ids)
    return tuple(
        hashes[len(hashes) * shard // shards] for shard in range(1, shards)
    )


def shard_of_worker(worker_id: WorkerId, limits: tuple[int, ...]) -> int:
    """
    Tell which shard has a worker.

    :param worker_id: the worker.
    :param limits: as ``worker_limits`` gives them.
    :returns: number of the shard.
    """
    return bisect_right(limits, stable_hash(worker_id))


def part_of(shard: int) -> str:
    """
    Name the part that holds the rows of a shard.

    :param shard: number of the shard.
    :returns: the part.
    """
    return f's{shard}'


def inbox_table(shard: int) -> str:
    """
    Name the table into which any instance writes jobs and cancellations.

    :param shard: number of the shard.
    :returns: the table; one a shard, because feeds are by table.
    """
    return f'inbox-{shard}'


def owner_row(shard: int) -> RowName:
    """
    Name the row with the owner of a shard.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(
        table=CLUSTER_TABLE, partition=part_of(shard), key=_OWNER_KEY
    )


def sequence_row(shard: int) -> RowName:
    """
    Name the row with the last commit of a shard.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(table=SEQUENCE_TABLE, partition=part_of(shard), key='last')


def interference_row(shard: int) -> RowName:
    """
    Name the row with what was learned of interference.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(
        table=LEARNED_TABLE, partition=part_of(shard), key='pressure'
    )


def layout_row() -> RowName:
    """
    Name the row with the number of shards.

    :returns: the row.
    """
    return RowName(table=CLUSTER_TABLE, partition=COMMON_PART, key=_LAYOUT_KEY)


def member_row(instance_id: InstanceId) -> RowName:
    """
    Name the row of an entry instance.

    :param instance_id: the instance.
    :returns: the row.
    """
    return RowName(
        table=CLUSTER_TABLE,
        partition=COMMON_PART,
        key=f'{_MEMBER_PREFIX}{instance_id}',
    )


def job_row(shard: int, job_id: JobId) -> RowName:
    """
    Name the row of an accepted job.

    :param shard: its shard.
    :param job_id: the job.
    :returns: the row.
    """
    return _inbox_row(shard, f'{_JOB_PREFIX}{job_id}')


def cancel_row(shard: int, job_id: JobId) -> RowName:
    """
    Name the row of a cancellation.

    :param shard: shard of the job.
    :param job_id: the job.
    :returns: the row.
    """
    return _inbox_row(shard, f'{_CANCEL_PREFIX}{job_id}')


def progress_row(shard: int, job_id: JobId, occurrence: int) -> RowName:
    """
    Name the row with the progress of an occurrence.

    :param shard: shard of the job.
    :param job_id: the job.
    :param occurrence: number of the occurrence.
    :returns: the row.
    """
    return RowName(
        table=PROGRESS_TABLE,
        partition=part_of(shard),
        key=f'{job_id}/{occurrence}',
    )


def is_owner_row(name: RowName) -> bool:
    """
    Tell whether a row names the owner of a shard.

    :param name: a row of the cluster table.
    :returns: whether it does.
    """
    return name.key == _OWNER_KEY


def is_layout_row(name: RowName) -> bool:
    """
    Tell whether a row holds the layout.

    :param name: a row of the cluster table.
    :returns: whether it does.
    """
    return name.key == _LAYOUT_KEY


def member_id_of(name: RowName) -> InstanceId:
    """
    Tell which instance a row of the cluster table is about.

    :param name: the row.
    :returns: the instance; empty for other rows.
    """
    if name.key.startswith(_MEMBER_PREFIX):
        return name.key.removeprefix(_MEMBER_PREFIX)
    return ''


def cancelled_job_of(name: RowName) -> JobId:
    """
    Tell which job a row of the inbox cancels.

    :param name: the row.
    :returns: the job; empty for other rows.
    """
    if name.key.startswith(_CANCEL_PREFIX):
        return name.key.removeprefix(_CANCEL_PREFIX)
    return ''


def _inbox_row(shard: int, key: str) -> RowName:
    return RowName(table=inbox_table(shard), partition=part_of(shard), key=key)

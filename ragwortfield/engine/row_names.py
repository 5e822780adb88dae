"""Names of the rows that the job scheduler keeps in the store."""

from bisect import bisect_right
from collections.abc import Iterable

from ragwortfield.policies.hashing import stable_hash
from ragwortfield.ports.row_store import RowName
from ragwortfield.types import InstanceId, JobId, WorkerId

#: Table of the layout, the shard owners and the members of the deployment.
CLUSTER_TABLE = 'cluster'
#: Table of the last commit of each shard.
SEQUENCE_TABLE = 'sequences'
#: Table of the progress of jobs.
PROGRESS_TABLE = 'progress'
#: Table of the electorates of shard owners.
ELECTORATE_TABLE = 'electorates'
#: Table of the models that shard owners learn.
LEARNED_TABLE = 'learned'
#: Partition of a table for rows that belong to no shard.
COMMON_PARTITION = ''

_SHARD_PREFIX = 's'
_OWNER_KEY = 'owner'
_LAYOUT_KEY = 'layout'
#: Earlier versions take the first row of the partition for that of the owner,
#: so this key has to come after it.
_ADMISSION_KEY = 'refusals'
_MEMBER_PREFIX = 'member/'
_JOB_PREFIX = 'job/'
_CANCEL_PREFIX = 'cancel/'


def shard_of(job_id: JobId, shards: int) -> int:
    """
    Return the shard that a job belongs to.

    :param job_id: the job.
    :param shards: number of shards.
    :returns: number of the shard.
    """
    return stable_hash(job_id) % shards


def compute_worker_limits(
    worker_ids: Iterable[WorkerId],
    shards: int,
) -> tuple[int, ...]:
    """
    Divide workers evenly among shards by the hash of their identifier.

    :param worker_ids: the workers known now; workers that register later are
        assigned by the same limits.
    :param shards: number of shards.
    :returns: the hash at which each shard but the first begins, ascending.
    """
    hashes = sorted(stable_hash(worker_id) for worker_id in worker_ids)
    return tuple(
        hashes[len(hashes) * shard // shards] for shard in range(1, shards)
    )


def shard_of_worker(worker_id: WorkerId, limits: tuple[int, ...]) -> int:
    """
    Return the shard that a worker belongs to.

    :param worker_id: the worker.
    :param limits: hashes as returned by ``compute_worker_limits``.
    :returns: number of the shard.
    """
    return bisect_right(limits, stable_hash(worker_id))


def partition_of_shard(shard: int) -> str:
    """
    Return the name of the partition that holds the rows of a shard.

    :param shard: number of the shard.
    :returns: name of the partition.
    """
    return f'{_SHARD_PREFIX}{shard}'


def inbox_table(shard: int) -> str:
    """
    Return the table into which any instance writes jobs and cancellations.

    :param shard: number of the shard.
    :returns: name of the table; each shard has its own, because change feeds
        follow whole tables.
    """
    return f'inbox-{shard}'


def owner_row(shard: int) -> RowName:
    """
    Return the name of the owner row of a shard.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(
        table=CLUSTER_TABLE, partition=partition_of_shard(shard), key=_OWNER_KEY
    )


def admission_row(shard: int) -> RowName:
    """
    Return the name of the row with the queues that take no new jobs.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(
        table=CLUSTER_TABLE,
        partition=partition_of_shard(shard),
        key=_ADMISSION_KEY,
    )


def sequence_row(shard: int) -> RowName:
    """
    Return the name of the row with the last commit of a shard.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(
        table=SEQUENCE_TABLE, partition=partition_of_shard(shard), key='last'
    )


def electorate_row(shard: int) -> RowName:
    """
    Return the name of the row with the electorate of a shard's owner.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(
        table=ELECTORATE_TABLE,
        partition=partition_of_shard(shard),
        key='workers',
    )


def interference_row(shard: int) -> RowName:
    """
    Return the name of the row with the interference model of a shard.

    :param shard: number of the shard.
    :returns: the row.
    """
    return RowName(
        table=LEARNED_TABLE, partition=partition_of_shard(shard), key='pressure'
    )


def layout_row() -> RowName:
    """
    Return the name of the layout row, which holds the number of shards.

    :returns: the row.
    """
    return RowName(
        table=CLUSTER_TABLE, partition=COMMON_PARTITION, key=_LAYOUT_KEY
    )


def member_row(instance_id: InstanceId) -> RowName:
    """
    Return the name of the membership row of an instance.

    :param instance_id: the instance.
    :returns: the row.
    """
    return RowName(
        table=CLUSTER_TABLE,
        partition=COMMON_PARTITION,
        key=f'{_MEMBER_PREFIX}{instance_id}',
    )


def job_row(shard: int, job_id: JobId) -> RowName:
    """
    Return the name of the row of an accepted job.

    :param shard: its shard.
    :param job_id: the job.
    :returns: the row.
    """
    return _inbox_row(shard, f'{_JOB_PREFIX}{job_id}')


def cancel_row(shard: int, job_id: JobId) -> RowName:
    """
    Return the name of the row of a cancellation.

    :param shard: shard of the job.
    :param job_id: the job.
    :returns: the row.
    """
    return _inbox_row(shard, f'{_CANCEL_PREFIX}{job_id}')


def progress_row(shard: int, job_id: JobId, occurrence: int) -> RowName:
    """
    Return the name of the progress row of an occurrence of a job.

    :param shard: shard of the job.
    :param job_id: the job.
    :param occurrence: number of the occurrence.
    :returns: the row.
    """
    return RowName(
        table=PROGRESS_TABLE,
        partition=partition_of_shard(shard),
        key=f'{job_id}/{occurrence}',
    )


def parse_progress_key(key: str) -> tuple[tuple[JobId, int], ...]:
    """
    Parse the key of a progress row.

    :param key: key of the row.
    :returns: the job and the number of the occurrence; empty if the key has
        another format.
    """
    job_id, _, number = key.rpartition('/')
    if not job_id or not number.isdecimal():
        return ()
    return ((job_id, int(number)),)


def is_owner_row(name: RowName) -> bool:
    """
    Tell whether a row is the owner row of a shard.

    :param name: name of a row of the cluster table.
    :returns: whether it is.
    """
    return name.key == _OWNER_KEY and _is_in_shard(name)


def is_admission_row(name: RowName) -> bool:
    """
    Tell whether a row names the queues of a shard that take no new jobs.

    :param name: name of a row of the cluster table.
    :returns: whether it does.
    """
    return name.key == _ADMISSION_KEY and _is_in_shard(name)


def _is_in_shard(name: RowName) -> bool:
    number = name.partition.removeprefix(_SHARD_PREFIX)
    return name.partition.startswith(_SHARD_PREFIX) and number.isdecimal()


def is_layout_row(name: RowName) -> bool:
    """
    Tell whether a row is the layout row.

    :param name: name of a row of the cluster table.
    :returns: whether it is.
    """
    return name.key == _LAYOUT_KEY


def member_id_of(name: RowName) -> InstanceId:
    """
    Return the instance of a membership row.

    :param name: name of a row of the cluster table.
    :returns: the instance; empty if it is not a membership row.
    """
    if name.key.startswith(_MEMBER_PREFIX):
        return name.key.removeprefix(_MEMBER_PREFIX)
    return ''


def cancelled_job_of(name: RowName) -> JobId:
    """
    Return the job that a row of an inbox table cancels.

    :param name: name of the row.
    :returns: the job; empty if it is not a cancellation.
    """
    if name.key.startswith(_CANCEL_PREFIX):
        return name.key.removeprefix(_CANCEL_PREFIX)
    return ''


def _inbox_row(shard: int, key: str) -> RowName:
    return RowName(
        table=inbox_table(shard), partition=partition_of_shard(shard), key=key
    )

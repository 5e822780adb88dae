"""Refusals of jobs whose queue takes none at present."""

from dataclasses import dataclass

from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.row_names import job_row, shard_of
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowStore, read_row
from ragwortfield.scheduling.job import Job


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """
    The queue takes no new jobs at present; nothing was written.

    :param retry_after_s: seconds after which the caller may come back.
    """

    reason: str
    retry_after_s: int


def find_refusal(
    cluster: ClusterView, store: RowStore, job: Job
) -> Refused | None:
    """
    Refuse a job if its queue takes none.

    A job that an earlier attempt has stored, or may have stored, is not
    refused: the refusal would say that it never runs.

    :param cluster: view of the deployment.
    :param store: the platform's store.
    :param job: the job.
    :returns: the refusal; ``None`` if the job is to be stored.
    """
    if not cluster.shards:
        return None
    shard = shard_of(job.job_id, cluster.shards)
    retry_after_s = cluster.find_retry_after_s(shard, job.queue)
    if not retry_after_s:
        return None
    page = read_row(store, job_row(shard, job.job_id))
    if isinstance(page, Unavailable) or page.rows:
        return None
    return Refused(
        reason=f'queue {job.queue} takes no new jobs for about '
        f'{retry_after_s} s',
        retry_after_s=retry_after_s,
    )

"""Asks the owner of a shard where a job would go, and answers peers."""

import time
from dataclasses import asdict, dataclass
from typing import Any

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.ownership import OwnershipManager
from ragwortfield.engine.row_names import shard_of
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.log import event
from ragwortfield.peering.rpc import CallBody, PeerRpc
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.catalogue import Queue
from ragwortfield.scheduling.explanation import (
    explain_known_job,
    explain_new_job,
)
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.records import (
    JobRecord,
    decode_record,
    encode_record,
)
from ragwortfield.types import InstanceId, JobId, Seconds

#: Time-out of the call to the owner, in seconds. An operator can wait longer
#: than a caller.
_OWNER_TIMEOUT_S: Seconds = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Explained:
    """
    Answer of the owner.

    :param document: the explanation, as JSON-compatible values.
    """

    document: dict[str, Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownJob:
    """The owner knows no such job."""

    shard: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerUnreachable:
    """No owner has answered."""

    shard: int
    reason: str


ExplainOutcome = Explained | UnknownJob | OwnerUnreachable


class JobExplanations:
    """
    Explains where jobs would go, through the owners of their shards.

    :param instance_id: this instance.
    :param cluster: view of the deployment.
    :param ownership: provides the runners of the shards owned by this instance.
    :param peers: calls to peers.
    """

    def __init__(
        self,
        *,
        instance_id: InstanceId,
        cluster: ClusterView,
        ownership: OwnershipManager,
        peers: PeerRpc,
    ) -> None:
        """Create without a call to a peer."""
        self._instance_id = instance_id
        self._cluster = cluster
        self._ownership = ownership
        self._peers = peers

    def explain_known(self, job_id: JobId) -> ExplainOutcome:
        """
        Explain where the waiting tasks of an accepted job would go.

        :param job_id: the job.
        :returns: the explanation, or why there is none.
        """
        return self._ask(job_id, b'')

    def explain_new(self, job: Job, queue: Queue) -> ExplainOutcome:
        """
        Explain where a job would go, without submitting it.

        :param job: the job.
        :param queue: its queue.
        :returns: the explanation, or why there is none.
        """
        return self._ask(
            job.job_id, encode_record(JobRecord(job=job, queue=queue))
        )

    def answer(self, body: CallBody) -> CallBody:
        """
        Answer a peer from the state of a shard that this instance owns.

        :param body: the job, and its record if it is not submitted.
        :returns: the explanation, or why there is none.
        """
        if not self._cluster.shards:
            return _refuse('the number of shards is not known yet')
        shard = shard_of(body['job_id'], self._cluster.shards)
        runner = self._ownership.runner(shard)
        if runner is None:
            return _refuse(f'shard {shard} is not owned by this instance')
        if not runner.is_ready:
            return _refuse(f'shard {shard} is being loaded')
        started_at = time.monotonic()
        answer = self._explain(runner, body['job_id'], body['record'])
        event(
            'job_explained',
            job=body['job_id'],
            shard=shard,
            is_submitted=not body['record'],
            is_known=answer['explanation'] is not None,
            duration_s=time.monotonic() - started_at,
        )
        return answer

    def _explain(
        self, runner: ShardRunner, job_id: JobId, encoded: bytes
    ) -> CallBody:
        state = runner.state
        now = time.monotonic()
        if encoded:
            record = decode_record(encoded, JobRecord)
            if isinstance(record, Malformed):
                return _refuse(f'the record is unreadable: {record.reason}')
            queue = state.catalogue.queue_by_name.get(
                record.job.queue, record.queue
            )
            if queue is None:
                return _refuse(f'the owner has no queue {record.job.queue!r}')
            explanation = explain_new_job(state, record.job, queue, now)
        else:
            job = state.job_by_id.get(job_id)
            if job is None:
                return {'explanation': None, 'reason': ''}
            explanation = explain_known_job(state, job, now)
        document = {
            'shard': runner.shard,
            'owner': self._instance_id,
            'epoch': state.epoch,
            **asdict(explanation),
        }
        return {'explanation': document, 'reason': ''}

    def _ask(self, job_id: JobId, record: bytes) -> ExplainOutcome:
        if not self._cluster.shards:
            return OwnerUnreachable(
                shard=-1, reason='the number of shards is not known yet'
            )
        shard = shard_of(job_id, self._cluster.shards)
        answer = self._ask_owner(shard, {'job_id': job_id, 'record': record})
        if isinstance(answer, Unavailable):
            return OwnerUnreachable(shard=shard, reason=answer.reason)
        if answer['explanation'] is not None:
            return Explained(document=answer['explanation'])
        if answer['reason']:
            return OwnerUnreachable(shard=shard, reason=answer['reason'])
        return UnknownJob(shard=shard)

    def _ask_owner(self, shard: int, body: CallBody) -> CallBody | Unavailable:
        if self._ownership.runner(shard) is not None:
            return self.answer(body)
        owner = self._cluster.owner_by_shard.get(shard)
        if owner is None or not owner.record.address:
            return Unavailable(reason=f'shard {shard} has no owner')
        return self._peers.call(
            owner.record.address, 'explain', body, _OWNER_TIMEOUT_S
        )


def _refuse(reason: str) -> CallBody:
    return {'explanation': None, 'reason': reason}

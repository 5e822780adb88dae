"""Question to the former owner of a shard, and its answer."""

import math
import time

import gevent

from ragwortfield.engine.cluster_view import KnownOwner
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.log import event
from ragwortfield.peering.rpc import CallBody, PeerRpc
from ragwortfield.ports.platform import Unavailable
from ragwortfield.scheduling.former_owner import (
    apply_remaining_run_times,
    compute_remaining_run_times,
    record_ended_owner,
    record_stopped_owner,
)
from ragwortfield.types import InstanceId, Seconds, WorkerId

#: Time-out of one call to the former owner, in seconds.
_CALL_TIMEOUT_S: Seconds = 0.4
#: Pause between two calls, in seconds.
_RETRY_S: Seconds = 0.5


def answer_as_former_owner(
    instance_id: InstanceId,
    incarnation: str,
    runner: ShardRunner | None,
    *,
    epoch: int,
    former_epoch: int,
) -> CallBody:
    """
    Answer the new owner of a shard, and stop the runner of the former term.

    :param instance_id: this instance.
    :param incarnation: distinguishes restarts of its process.
    :param runner: latest runner of the shard in this process.
    :param epoch: fencing token of the new owner.
    :param former_epoch: fencing token of the owner that it has replaced.
    :returns: identity of this process, and seconds until all runs on a worker
        have ended, by worker; ``None`` if this process does not know that.
    """
    body: CallBody = {
        'instance': instance_id,
        'incarnation': incarnation,
        'remaining': None,
    }
    if runner is not None and runner.state.epoch < epoch:
        runner.stop('asked by its successor')
        # Another instance may have been the owner after an earlier term.
        if runner.was_loaded and runner.state.epoch == former_epoch:
            body['remaining'] = compute_remaining_run_times(
                runner.state, time.monotonic()
            )
    return body


def ask_former_owner(
    peers: PeerRpc, runner: ShardRunner, former: KnownOwner
) -> None:
    """
    Ask the former owner until it answers or cannot tell anything new.

    :param peers: calls to peers.
    :param runner: runner of the new owner.
    :param former: the former owner.
    """
    while _is_answer_useful(runner) and not runner.is_stopped:
        answer = peers.call(
            former.record.address,
            'retire',
            {
                'shard': runner.shard,
                'epoch': runner.state.epoch,
                'former_epoch': former.record.epoch,
            },
            _CALL_TIMEOUT_S,
        )
        if not isinstance(answer, Unavailable):
            use_answer(runner, former, answer)
            return
        gevent.sleep(_RETRY_S)


def use_answer(
    runner: ShardRunner, former: KnownOwner, answer: CallBody
) -> None:
    """
    Use an answer of the instance that owned the shard before.

    :param runner: runner of the new owner.
    :param former: the former owner.
    :param answer: its answer, or that of another process at its address.
    """
    instance_id, incarnation = former.record.last_holder()
    if answer['instance'] != instance_id:
        return
    now = time.monotonic()
    is_same_process = answer['incarnation'] == incarnation
    remaining = answer['remaining'] if is_same_process else None
    runner.state.former_answer = _name_answer(
        remaining, is_same_process=is_same_process
    )
    event(
        'former_owner_answered',
        shard=runner.shard,
        epoch=runner.state.epoch,
        former=instance_id,
        former_epoch=former.record.epoch,
        is_same_process=is_same_process,
        answer=runner.state.former_answer,
        owned_s=now - runner.state.owner_since,
        former_term_s=now - former.seen_at,
        workers=-1 if remaining is None else len(remaining),
    )
    if remaining is not None:
        apply_remaining_run_times(runner.state, _check_times(remaining), now)
        record_stopped_owner(runner.state, former.record.epoch)
    elif not is_same_process:
        record_ended_owner(
            runner.state, former.record.epoch, former.seen_at, now
        )


def _is_answer_useful(runner: ShardRunner) -> bool:
    """Tell whether a lease of the former owner may not be over yet."""
    state = runner.state
    leases_end = state.former_authority_end() + state.bounds.longest_lease_s()
    # Before the shard is loaded, it is not known which workers may confirm the
    # former owner.
    return not runner.was_loaded or time.monotonic() < leases_end


def _name_answer(
    remaining_s_by_worker: dict[WorkerId, Seconds] | None,
    *,
    is_same_process: bool,
) -> str:
    if not is_same_process:
        return 'process_ended'
    return 'unknown' if remaining_s_by_worker is None else 'leases'


def _check_times(
    remaining_s_by_worker: dict[WorkerId, Seconds],
) -> dict[WorkerId, Seconds]:
    for worker_id, remaining_s in remaining_s_by_worker.items():
        if not 0 <= remaining_s < math.inf:
            raise ValueError(
                f'worker {worker_id!r} may run something for {remaining_s!r} '
                's, expected a number from 0'
            )
    return remaining_s_by_worker

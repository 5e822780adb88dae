"""What the log tells about leases: who held them, and why they are over."""

from collections.abc import Iterable
from itertools import islice
from typing import Any

from ragwortfield.log import event
from ragwortfield.ports.task_worker import LeaseReport
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_state import TaskState
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime

#: Most tasks and workers that one line names.
_MAX_NAMES = 8
#: Stands in the log for the age of something that never was.
_NEVER = -1


def log_adoption(
    state: ShardState,
    worker: WorkerState,
    report: LeaseReport,
    now: MonotonicTime,
) -> None:
    """
    Log the first report of a worker's process to this owner.

    :param state: state of the shard.
    :param worker: the worker, with the lease that it has inherited.
    :param report: the report.
    :param now: monotonic time, in seconds.
    """
    event(
        'worker_adopted',
        worker=worker.worker_id,
        epoch=state.epoch,
        owned_s=now - state.owner_since,
        clock_ms=report.clock_ms,
        born_ms=report.born_ms,
        lease_end_ms=worker.lease_end_ms,
        inherited_s=max(worker.lease_end_ms - report.clock_ms, 0) / MS_PER_S,
        ends=len(report.ends),
        runs=len(report.runs),
        tasks=format_keys(run.key for run in report.runs),
    )


def log_lapse(
    state: ShardState,
    worker: WorkerState,
    expired: list[TaskState],
    now: MonotonicTime,
) -> None:
    """
    Log that the lease of a worker counts as expired, from what it follows.

    :param state: state of the shard.
    :param worker: the worker.
    :param expired: its tasks, whose runs count as over.
    :param now: monotonic time, in seconds.
    """
    state.counts.count_lapse(has_reported=bool(worker.first_reported_at))
    event(
        'lease_lapsed',
        worker=worker.worker_id,
        epoch=state.epoch,
        owned_s=now - state.owner_since,
        has_reported=bool(worker.first_reported_at),
        **_describe_bound(state, worker, now),
        born_ms=worker.born_ms,
        tasks=len(expired),
        keys=format_keys(task.key for task in expired),
    )


def describe_held_leases(
    state: ShardState, now: MonotonicTime
) -> dict[str, Any]:
    """
    Tell which leases an owner has extended last, for the log.

    :param state: state of the owner.
    :param now: monotonic time, in seconds.
    :returns: seconds for which the owner may still extend leases, negative if
        its confirmation is older; age of the latest accepted lease order in
        seconds, -1 for none; number of workers whose lease may last because of
        this owner, and the names of some.
    """
    extended = sorted(
        (
            worker
            for worker in state.worker_by_id.values()
            if worker.lease_extended_at
        ),
        key=lambda worker: worker.lease_extended_at,
        reverse=True,
    )
    held = [
        worker.worker_id
        for worker in extended
        if worker.clock.earliest_ms(now) < worker.lease_end_ms
    ]
    age_s = now - extended[0].lease_extended_at if extended else _NEVER
    return {
        'valid_s': state.confirmation.valid_until(state.bounds) - now,
        'lease_order_age_s': age_s,
        'held': len(held),
        'held_workers': ','.join(held[:_MAX_NAMES]),
    }


def format_keys(keys: Iterable[TaskKey]) -> str:
    """
    Format the names of some tasks for the log.

    :param keys: their keys.
    :returns: the first names, joined by commas.
    """
    return ','.join(key.text() for key in islice(keys, _MAX_NAMES))


def _describe_bound(
    state: ShardState, worker: WorkerState, now: MonotonicTime
) -> dict[str, Any]:
    """Return from which inputs the end of the lease was computed."""
    if worker.first_reported_at:
        return {
            'bound': 'own_lease',
            'lease_end_ms': worker.lease_end_ms,
            'clock_ms': worker.clock.earliest_ms(now),
            'report_age_s': now - worker.reported_at,
            'extended_s': now - worker.lease_extended_at
            if worker.lease_extended_at
            else _NEVER,
        }
    is_told = worker.worker_id in state.former_run_end_by_worker
    run_end = state.former_run_end(worker.worker_id)
    return {
        'bound': 'former_answer' if is_told else 'former_unaware',
        'former': state.former_id,
        'former_epoch': state.former_epoch,
        'former_answer': state.former_answer,
        'bound_s': run_end - state.owner_since,
        'former_until_s': state.former_authority_end() - state.owner_since,
        'electorate': len(state.former_electorate.electorate),
        'unfenced': state.former_electorate.count_unfenced(),
        'previous_lease_s': state.previous_lease_s,
        'is_process_bound': state.is_process_bound,
    }

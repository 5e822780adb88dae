"""What is written durably together, and what may follow a commit."""

import math
from dataclasses import dataclass

from ragwortfield.scheduling.dispatch import queue_start_order
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    RunStage,
    TaskState,
)
from ragwortfield.scheduling.task_lifecycle import (
    complete_if_durably_done,
    release_task,
    request_stop,
)
from ragwortfield.scheduling.records import (
    SequenceRecord,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_selection import has_required_label
from ragwortfield.types import MonotonicTime, JobId, Seconds

#: Rows written or removed together; the store takes 100 entries a
#: transaction, a few of which say what is expected.
_MAX_ROWS_PER_COMMIT = 90
#: Rows of a job beside those of its occurrences: its own, its cancellation.
_ROWS_PER_JOB = 2
#: Part of them that is left for removals while any are due, so that a steady
#: load of records does not put them off for good.
_ROWS_RESERVED_FOR_REMOVAL = 20
#: Time for which a read of the store may still show a row that was removed,
#: in seconds; calls are given up long before.
_STALE_READ_S: Seconds = 60


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitBatch:
    """
    Changes that become durable together.

    :param sequence: record that tells this commit from others.
    :param record_by_key: record of each changed occurrence.
    :param starts: bindings that the batch makes durable, with their runs.
    :param processed_end_by_worker: ends whose effect the batch makes durable.
    :param failed: jobs whose failure it makes durable.
    :param finished: occurrences that it shows as done.
    :param removed: jobs whose own rows it removes.
    :param removed_occurrences: occurrences whose records it removes.
    """

    sequence: SequenceRecord
    record_by_key: dict[tuple[JobId, int], bytes]
    starts: tuple[tuple[TaskState, int], ...]
    processed_end_by_worker: dict[str, tuple[int, int]]
    failed: tuple[JobRuntimeState, ...] = ()
    finished: tuple[tuple[JobId, int], ...] = ()
    removed: tuple[JobRuntimeState, ...] = ()
    removed_occurrences: tuple[tuple[JobId, int], ...] = ()


def collect_batch(state: ShardState, number: int) -> CommitBatch | None:
    """
    Collect what should be written now.

    :param state: tables of the shard.
    :param number: number of the commit.
    :returns: the batch; ``None`` when nothing has changed.
    """
    reserved = _ROWS_RESERVED_FOR_REMOVAL if state.expired_jobs else 0
    most = _MAX_ROWS_PER_COMMIT - reserved
    keys = tuple(state.dirty_occurrence_by_key)[:most]
    if not keys and not state.expired_jobs:
        return None
    rows = [state.dirty_occurrence_by_key.pop(key) for key in keys]
    is_whole = not state.dirty_occurrence_by_key
    written = set(keys)
    for row in rows:
        row.is_dirty = False
    starts = [
        one
        for one in state.uncommitted_bindings
        if (one[0].key.job_id, one[0].key.occurrence) in written
    ]
    state.uncommitted_bindings = [
        one
        for one in state.uncommitted_bindings
        if (one[0].key.job_id, one[0].key.occurrence) not in written
    ]
    removed, removed_occurrences = _select_removals(
        state,
        _MAX_ROWS_PER_COMMIT - len(keys),
    )
    return CommitBatch(
        sequence=SequenceRecord(epoch=state.epoch, number=number),
        record_by_key={
            key: encode_record(row.record())
            for key, row in zip(keys, rows, strict=True)
        },
        starts=tuple(starts),
        processed_end_by_worker=_processed_ends(state) if is_whole else {},
        failed=tuple(
            state.job_by_id[key[0]]
            for key in keys
            if state.job_by_id[key[0]].is_failed
        ),
        finished=tuple(
            key for key, row in zip(keys, rows, strict=True) if row.is_done()
        ),
        removed=removed,
        removed_occurrences=removed_occurrences,
    )


def apply_committed(
    state: ShardState, batch: CommitBatch, now: MonotonicTime
) -> None:
    """
    Act on what has become durable.

    :param state: tables of the shard.
    :param batch: a batch that was committed.
    :param now: reading of the monotonic clock.
    """
    for worker_id, (
        born_ms,
        processed_end,
    ) in batch.processed_end_by_worker.items():
        worker = state.worker_by_id.get(worker_id)
        if worker is not None and worker.born_ms == born_ms:
            worker.acknowledged = max(worker.acknowledged, processed_end)
    for job in batch.failed:
        job.is_durably_failed = True
        job.finished_at = job.finished_at or now
    for job_id, number in batch.finished:
        _finish(state, job_id, number, now)
    state.removed_at_by_id.update(
        (job.job.job_id, now) for job in batch.removed
    )
    for task, run in batch.starts:
        if task.stage == RunStage.UNCOMMITTED and task.run == run:
            _start(state, task, now)


def acknowledge_if_clean(state: ShardState) -> None:
    """
    Acknowledge ends that left nothing to write.

    :param state: tables of the shard; no commit may be under way.
    """
    if state.dirty_occurrence_by_key:
        return
    for worker in state.worker_by_id.values():
        worker.acknowledged = max(worker.acknowledged, worker.processed_end)


def expire_finished_jobs(state: ShardState, now: MonotonicTime) -> None:
    """
    Drop jobs that have been finished for as long as they stay known.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    """
    for job_id, gone_at in tuple(state.removed_at_by_id.items()):
        if now - gone_at > _STALE_READ_S:
            del state.removed_at_by_id[job_id]
    limit_s = state.bounds.status_s * 2
    for job_id, job in tuple(state.job_by_id.items()):
        if not job.finished_at or now - job.finished_at <= limit_s:
            continue
        if any(row.is_dirty for row in job.occurrence_by_number.values()):
            continue
        del state.job_by_id[job_id]
        state.cancelled_job_ids.discard(job_id)
        state.expired_jobs.append(job)
        state.removed_at_by_id[job_id] = math.inf


def _start(state: ShardState, task: TaskState, now: MonotonicTime) -> None:
    worker = state.worker_by_id.get(task.worker_id)
    if state.job_by_id[task.key.job_id].is_closed():
        request_stop(state, task, now)
    elif worker and not has_required_label(worker, state.get_step(task)):
        release_task(state, task, 'its worker has come back without the label')
    else:
        queue_start_order(state, task, now)


def _select_removals(
    state: ShardState,
    room: int,
) -> tuple[tuple[JobRuntimeState, ...], tuple[tuple[JobId, int], ...]]:
    """
    Take as many forgotten jobs and occurrences as fit into a commit.

    A job's own row goes first: an occurrence without its job is not read, a
    job without an occurrence of its own would run it again.
    """
    jobs: list[JobRuntimeState] = []
    occurrences: list[tuple[JobId, int]] = []
    while state.expired_jobs:
        job = state.expired_jobs[0]
        if not job.is_removed and room < _ROWS_PER_JOB:
            break
        if not job.is_removed:
            job.is_removed = True
            jobs.append(job)
            room -= _ROWS_PER_JOB
        numbers = tuple(job.occurrence_by_number)[:room]
        for number in numbers:
            del job.occurrence_by_number[number]
            occurrences.append((job.job.job_id, number))
        room -= len(numbers)
        if job.occurrence_by_number:
            break
        state.expired_jobs.pop(0)
    return tuple(jobs), tuple(occurrences)


def _processed_ends(state: ShardState) -> dict[str, tuple[int, int]]:
    return {
        worker.worker_id: (worker.born_ms, worker.processed_end)
        for worker in state.worker_by_id.values()
        if worker.processed_end > worker.acknowledged
    }


def _finish(
    state: ShardState,
    job_id: JobId,
    number: int,
    now: MonotonicTime,
) -> None:
    job = state.job_by_id.get(job_id)
    if job is None or number not in job.occurrence_by_number:
        return
    job.occurrence_by_number[number].is_durably_done = True
    complete_if_durably_done(job, now)

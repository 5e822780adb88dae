"""Selection of the changes of one commit, and the effects of its success."""

import math
from dataclasses import dataclass, replace

from ragwortfield.scheduling.dispatch import queue_start_order
from ragwortfield.scheduling.evacuated_zones import (
    is_start_evacuated,
    release_unordered_task,
)
from ragwortfield.scheduling.former_owner import is_term_sufficient
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    RunStage,
    TaskState,
)
from ragwortfield.scheduling.records import (
    SequenceRecord,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import MS_PER_S
from ragwortfield.scheduling.task_lifecycle import (
    complete_if_durably_done,
    release_task,
    request_stop,
)
from ragwortfield.scheduling.worker_health import is_start_allowed
from ragwortfield.scheduling.worker_selection import has_required_label
from ragwortfield.types import JobId, MonotonicTime, Seconds

#: Most rows that one commit writes or removes. The store takes 100 entries
#: per transaction, and a few of them state expected versions.
_MAX_ROWS_PER_COMMIT = 90
#: Rows of a job besides those of its occurrences: its own and that of its
#: cancellation.
_ROWS_PER_JOB = 2
#: Rows of each commit reserved for removals while any are due, so that a
#: steady load of writes does not starve them.
_ROWS_RESERVED_FOR_REMOVAL = 20
#: Time for which a read that is under way may still return a removed row, in
#: seconds; calls to the store time out long before.
_STALE_READ_S: Seconds = 60


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitBatch:
    """
    Changes that become durable in one transaction.

    :param sequence: record that identifies this commit.
    :param record_by_key: encoded record of each changed occurrence, by job and
        occurrence number.
    :param starts: bindings that the batch makes durable, with their run
        numbers.
    :param processed_end_by_worker: start of each worker's process
        (``born_ms``) and the number of the last end whose effect the batch
        makes durable.
    :param failed: jobs whose failure it makes durable.
    :param finished: occurrences that it records as done.
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
    Collect the changes to write in the next commit.

    :param number: number of the commit.
    :returns: the batch; ``None`` when nothing has changed.
    """
    reserved = _ROWS_RESERVED_FOR_REMOVAL if state.expired_jobs else 0
    max_records = _MAX_ROWS_PER_COMMIT - reserved
    keys = tuple(state.dirty_occurrence_by_key)[:max_records]
    if not keys and not state.expired_jobs:
        return None
    occurrences = [state.dirty_occurrence_by_key.pop(key) for key in keys]
    is_complete = not state.dirty_occurrence_by_key
    written = set(keys)
    for occurrence in occurrences:
        occurrence.is_dirty = False
    starts = [
        binding
        for binding in state.uncommitted_bindings
        if (binding[0].key.job_id, binding[0].key.occurrence) in written
    ]
    state.uncommitted_bindings = [
        binding
        for binding in state.uncommitted_bindings
        if (binding[0].key.job_id, binding[0].key.occurrence) not in written
    ]
    removed, removed_occurrences = _select_removals(
        state,
        _MAX_ROWS_PER_COMMIT - len(keys),
    )
    return CommitBatch(
        sequence=SequenceRecord(epoch=state.epoch, number=number),
        record_by_key={
            key: encode_record(occurrence.to_record())
            for key, occurrence in zip(keys, occurrences, strict=True)
        },
        starts=tuple(starts),
        processed_end_by_worker=_collect_processed_ends(state)
        if is_complete
        else {},
        failed=tuple(
            state.job_by_id[key[0]]
            for key in keys
            if state.job_by_id[key[0]].is_failed
        ),
        finished=tuple(
            key
            for key, occurrence in zip(keys, occurrences, strict=True)
            if occurrence.is_done()
        ),
        removed=removed,
        removed_occurrences=removed_occurrences,
    )


def collect_batch_with_term(
    state: ShardState, number: int, now: MonotonicTime
) -> CommitBatch | None:
    """
    Collect the changes to write in the next commit, and the age of the term.

    :param number: number of the commit.
    :param now: monotonic time, in seconds.
    :returns: the batch, which may contain the age alone; ``None`` when there
        is nothing to write.
    """
    batch = collect_batch(state, number)
    if batch is None:
        if not is_term_due(state, now):
            return None
        batch = CommitBatch(
            sequence=SequenceRecord(epoch=state.epoch, number=number),
            record_by_key={},
            starts=(),
            processed_end_by_worker={},
        )
    term_ms = int((now - state.owner_since) * MS_PER_S)
    return replace(batch, sequence=replace(batch.sequence, term_ms=term_ms))


def is_term_due(state: ShardState, now: MonotonicTime) -> bool:
    """
    Check whether the age of the term has to be written, once in each term.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :returns: whether it shows that all owners before this one have noticed
        their replacement, and has not been written since it does.
    """
    return not state.is_term_recorded and is_term_sufficient(
        now - state.owner_since, state.bounds
    )


def apply_committed(
    state: ShardState,
    batch: CommitBatch,
    now: MonotonicTime,
    *,
    sent_at: MonotonicTime,
) -> None:
    """
    Apply the effects of a batch that was committed.

    :param state: state of the shard.
    :param batch: the batch.
    :param now: monotonic time, in seconds.
    :param sent_at: monotonic time at which the transaction was sent that the
        store has committed or found committed.
    """
    state.confirmation.record_store_call(sent_at)
    state.committed_number = batch.sequence.number
    if is_term_sufficient(batch.sequence.term_ms / MS_PER_S, state.bounds):
        state.is_term_recorded = True
    for worker_id, (
        born_ms,
        processed_end,
    ) in batch.processed_end_by_worker.items():
        worker = state.worker_by_id.get(worker_id)
        if worker is not None and worker.born_ms == born_ms:
            worker.record_durable_ends(processed_end, batch.sequence.number)
    for job in batch.failed:
        job.is_durably_failed = True
        job.finished_at = job.finished_at or now
    for job_id, number in batch.finished:
        _mark_durably_done(state, job_id, number, now)
    state.removed_at_by_id.update(
        (job.job.job_id, now) for job in batch.removed
    )
    for task, run in batch.starts:
        if task.run == run:
            task.binding_commit = batch.sequence.number
    state.held_starts.extend(batch.starts)
    order_held_starts(state, now)


def order_held_starts(state: ShardState, now: MonotonicTime) -> None:
    """
    Order the starts whose bindings are durable.

    They are held back until cancellations and evacuations are known: a commit
    can go through long after its bindings were made, and while the change feeds
    do not answer.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    """
    if not state.is_inbox_current(now):
        return
    if not state.are_evacuations_current(now):
        return
    starts = state.held_starts
    state.held_starts = []
    for task, run in starts:
        if task.stage == RunStage.UNCOMMITTED and task.run == run:
            _order_committed_start(state, task, now)


def acknowledge_if_clean(state: ShardState) -> None:
    """
    Acknowledge run ends that left nothing to write.

    :param state: state of the shard; no commit may be in progress.
    """
    if state.dirty_occurrence_by_key:
        return
    for worker in state.worker_by_id.values():
        worker.record_durable_ends(worker.processed_end, state.committed_number)


def expire_finished_jobs(state: ShardState, now: MonotonicTime) -> None:
    """Drop finished jobs whose retention period is over."""
    for job_id, removed_at in tuple(state.removed_at_by_id.items()):
        if now - removed_at > _STALE_READ_S:
            del state.removed_at_by_id[job_id]
    retention_s = state.bounds.retention_s()
    for job_id, job in tuple(state.job_by_id.items()):
        if not job.finished_at or now - job.finished_at <= retention_s:
            continue
        if not _is_settled(job):
            continue
        del state.job_by_id[job_id]
        _release_cancellation(state, job, now)
        state.expired_jobs.append(job)
        state.removed_at_by_id[job_id] = math.inf


def _is_settled(job: JobRuntimeState) -> bool:
    # A second run can outlast the job, on a worker that is out of reach.
    return not any(
        occurrence.is_dirty
        or any(step.count_by_worker for step in occurrence.steps)
        for occurrence in job.occurrence_by_number.values()
    )


def _release_cancellation(
    state: ShardState, job: JobRuntimeState, now: MonotonicTime
) -> None:
    job_id = job.job.job_id
    if job.is_cancelled:
        state.cancelled_job_ids.discard(job_id)
    elif job_id in state.cancelled_job_ids:
        # It was cancelled after its end. Only the row of a cancellation that
        # had an effect is removed together with the job.
        state.unmatched_since_by_id[job_id] = now


def _order_committed_start(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> None:
    if state.job_by_id[task.key.job_id].is_closed():
        request_stop(state, task, now)
        return
    if is_start_evacuated(state, task):
        release_unordered_task(state, task, now)
        return
    obstacle = _find_start_obstacle(state, task, now)
    if obstacle:
        release_task(state, task, obstacle)
    else:
        queue_start_order(state, task, now)


def _find_start_obstacle(
    state: ShardState, task: TaskState, now: MonotonicTime
) -> str:
    """
    Tell why a task may no longer start on the worker that it is bound to.

    The worker can have changed while the binding was committed. A member of a
    gang starts with the others; without it, they would start in vain.

    :returns: the reason; empty if there is none.
    """
    if not state.confirmation.is_valid(state.bounds, now):
        return 'ownership is not confirmed'
    worker = state.worker_by_id.get(task.worker_id)
    if worker is None:
        return ''
    if not has_required_label(worker, state.get_step(task)):
        return 'worker no longer has the required label'
    if task.step.is_gang or is_start_allowed(worker, state.bounds, now):
        return ''
    return 'worker may no longer get starts'


def _select_removals(
    state: ShardState,
    row_budget: int,
) -> tuple[tuple[JobRuntimeState, ...], tuple[tuple[JobId, int], ...]]:
    """
    Select as many expired jobs and occurrences as fit into a commit.

    A job's own row is removed first: a record of an occurrence without its job
    is not read, whereas a job without its occurrence would run it again.
    """
    jobs: list[JobRuntimeState] = []
    occurrences: list[tuple[JobId, int]] = []
    while state.expired_jobs:
        job = state.expired_jobs[0]
        if not job.is_removed and row_budget < _ROWS_PER_JOB:
            break
        if not job.is_removed:
            job.is_removed = True
            jobs.append(job)
            row_budget -= _ROWS_PER_JOB
        numbers = tuple(job.occurrence_by_number)[:row_budget]
        for number in numbers:
            del job.occurrence_by_number[number]
            occurrences.append((job.job.job_id, number))
        row_budget -= len(numbers)
        if job.occurrence_by_number:
            break
        state.expired_jobs.pop(0)
    return tuple(jobs), tuple(occurrences)


def _collect_processed_ends(state: ShardState) -> dict[str, tuple[int, int]]:
    return {
        worker.worker_id: (worker.born_ms, worker.processed_end)
        for worker in state.worker_by_id.values()
        if worker.processed_end > worker.acknowledged_end
    }


def _mark_durably_done(
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

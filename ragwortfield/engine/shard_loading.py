"""Loading of rows of the store into the state of a shard."""

from collections.abc import Callable, Container, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain, islice
from typing import TypeVar

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_errors import confine_row_errors
from ragwortfield.engine.row_names import (
    COMMON_PARTITION,
    cancelled_job_of,
    parse_progress_key,
)
from ragwortfield.log import event
from ragwortfield.ports.row_store import StoredRow
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.job import depends_on_earlier_steps
from ragwortfield.scheduling.job_state import JobRuntimeState
from ragwortfield.scheduling.records import (
    JobRecord,
    ProgressRecord,
    decode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import JobId, MonotonicTime, WallTime, WorkerId

#: Rows that are applied per step of ``load_rows``, before other greenlets may
#: run.
_ROWS_PER_STEP = 10

_Item = TypeVar('_Item')

WorkerParser = Callable[[WorkerId, bytes], ListedWorker | Malformed]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerRegistry:
    """
    Describes where workers register and how their entries are read.

    :param table: name of the table of their entries.
    :param parse: parses an entry.
    :param is_in_shard: tells whether a worker belongs to the shard.
    """

    table: str
    parse: WorkerParser
    is_in_shard: Callable[[WorkerId], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class _StoredProgress:
    """Record of the progress of an occurrence, and the row that it is from."""

    row: StoredRow
    record: ProgressRecord


def apply_inbox_rows(
    state: ShardState,
    rows: tuple[StoredRow, ...],
    *,
    now: MonotonicTime,
    wall_time: WallTime,
    jobs_with_progress: Container[JobId] = (),
) -> None:
    """
    Apply rows of accepted jobs and of cancellations.

    :param state: state of the shard.
    :param rows: rows of the shard's inbox.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    :param jobs_with_progress: jobs whose progress is restored afterwards.
    """
    for row in rows:
        if row.content is None:
            continue
        with confine_row_errors(row):
            cancelled_job_id = cancelled_job_of(row.name)
            if cancelled_job_id:
                shard_updates.cancel_job(state, cancelled_job_id, now)
                continue
            apply_job_row(
                state,
                row,
                now=now,
                wall_time=wall_time,
                jobs_with_progress=jobs_with_progress,
            )


def apply_job_row(
    state: ShardState,
    row: StoredRow,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
    jobs_with_progress: Container[JobId] = (),
) -> JobRuntimeState | None:
    """
    Apply the row of an accepted job.

    :param state: state of the shard.
    :param row: the row of the job.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    :param jobs_with_progress: jobs whose progress is restored afterwards.
    :returns: the job; ``None`` if the row cannot be decoded or the job has
        expired.
    """
    record = decode_record(row.content or b'', JobRecord)
    if isinstance(record, Malformed):
        event('row_unreadable', key=row.name.key, reason=record.reason)
        return None
    job = record.job
    for number, step in enumerate(job.steps):
        if not depends_on_earlier_steps(number, step.after):
            event(
                'row_unreadable',
                key=row.name.key,
                reason=f'step {number} is after {step.after}',
            )
            return None
    if job.job_id in state.removed_at_by_id:
        # The job has expired and its row is being removed; if it were
        # registered again, it would run a second time.
        return None
    return shard_updates.register_job(
        state,
        job,
        now=now,
        wall_time=wall_time,
        queue=record.queue,
        has_stored_progress=job.job_id in jobs_with_progress,
    )


def load_rows(
    state: ShardState,
    inbox: tuple[StoredRow, ...],
    progress: tuple[StoredRow, ...],
    *,
    now: MonotonicTime,
    wall_time: WallTime,
) -> Iterator[None]:
    """
    Load what earlier owners wrote, a few rows at a time.

    A shard holds hundreds of jobs, and its owner has to answer peers while it
    loads them.

    :param state: state of the shard, with its workers.
    :param inbox: rows of the shard's inbox.
    :param progress: progress rows of the shard.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    :returns: an iterator that has to be exhausted; other greenlets may run
        between its steps.
    """
    records_by_job: dict[JobId, list[_StoredProgress]] = {}
    unreadable: list[tuple[JobId, int]] = []
    for rows in _batched(progress, _ROWS_PER_STEP):
        for row in rows:
            record = decode_record(row.content or b'', ProgressRecord)
            if isinstance(record, Malformed):
                event('row_unreadable', key=row.name.key, reason=record.reason)
                unreadable.extend(parse_progress_key(row.name.key))
            else:
                records_by_job.setdefault(record.job_id, []).append(
                    _StoredProgress(row=row, record=record)
                )
        yield
    for job_id, _ in unreadable:
        records_by_job.setdefault(job_id, [])
    for rows in _batched(inbox, _ROWS_PER_STEP):
        apply_inbox_rows(
            state,
            rows,
            now=now,
            wall_time=wall_time,
            jobs_with_progress=records_by_job,
        )
        yield
    for batch in _batched(records_by_job.values(), _ROWS_PER_STEP):
        for stored in chain.from_iterable(batch):
            if not _restore(state, stored, now):
                record = stored.record
                unreadable.append((record.job_id, record.occurrence))
        yield
    for job_id, number in unreadable:
        shard_updates.hold_unreadable_occurrence(state, job_id, number)


def _restore(
    state: ShardState, stored: _StoredProgress, now: MonotonicTime
) -> bool:
    with confine_row_errors(stored.row):
        shard_updates.restore_progress(state, stored.record, now)
        return True
    return False


def apply_worker_rows(
    state: ShardState,
    rows: tuple[StoredRow, ...],
    *,
    is_complete: bool,
    registry: WorkerRegistry,
) -> None:
    """
    Apply the entries with which workers register.

    :param state: state of the shard.
    :param rows: new or changed entries.
    :param is_complete: whether the rows are all entries of the table; workers
        without an entry are then marked as unlisted.
    :param registry: how entries are read and which belong to the shard.
    """
    for row in rows:
        # Change feeds deliver the rows of all partitions of a table.
        is_entry = row.name.partition == COMMON_PARTITION
        if is_entry and registry.is_in_shard(row.name.key):
            with confine_row_errors(row):
                _apply_worker_row(state, row, registry)
    if is_complete:
        _mark_absent_unlisted(state, {row.name.key for row in rows})


def list_usable_workers(
    rows: tuple[StoredRow, ...], parse: WorkerParser
) -> tuple[WorkerId, ...]:
    """
    List the workers that have registered with a usable entry.

    :param rows: all entries.
    :param parse: parses an entry.
    :returns: identifiers of the workers, in the order of the rows.
    """
    usable: list[WorkerId] = []
    for row in rows:
        with confine_row_errors(row):
            listed = parse(row.name.key, row.content or b'')
            if not isinstance(listed, Malformed):
                usable.append(listed.worker_id)
    return tuple(usable)


def _apply_worker_row(
    state: ShardState, row: StoredRow, registry: WorkerRegistry
) -> None:
    worker_id = row.name.key
    if row.content is None:
        shard_updates.mark_worker_unlisted(state, worker_id)
        return
    listed = registry.parse(worker_id, row.content)
    if isinstance(listed, Malformed):
        event('entry_unusable', worker=worker_id, reason=listed.reason)
    else:
        shard_updates.update_worker(state, listed)


def _mark_absent_unlisted(
    state: ShardState, listed_worker_ids: Container[WorkerId]
) -> None:
    for worker_id in tuple(state.worker_by_id):
        if worker_id not in listed_worker_ids:
            shard_updates.mark_worker_unlisted(state, worker_id)


def _batched(
    items: Iterable[_Item],
    size: int,
) -> Iterator[tuple[_Item, ...]]:
    remaining = iter(items)
    while batch := tuple(islice(remaining, size)):
        yield batch

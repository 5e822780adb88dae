"""Rows of the store that an owner takes into its tables."""

from collections.abc import Callable, Container, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain, islice
from typing import TypeVar

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.row_names import cancelled_job_of
from ragwortfield.log import event
from ragwortfield.ports.row_store import StoredRow
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.job_state import JobRuntimeState
from ragwortfield.scheduling.records import (
    JobRecord,
    ProgressRecord,
    decode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, JobId, WallTime, WorkerId

#: Rows that are taken in before other work may run.
_ROWS_A_STEP = 10

_Item = TypeVar('_Item')

WorkerParser = Callable[[WorkerId, bytes], ListedWorker | Malformed]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerRegistry:
    """
    Where workers register.

    :param table: table of their entries.
    :param parse: reads an entry.
    :param is_in_shard: tells whether a worker belongs to the shard.
    """

    table: str
    parse: WorkerParser
    is_in_shard: Callable[[WorkerId], bool]


def apply_inbox_rows(
    state: ShardState,
    rows: tuple[StoredRow, ...],
    *,
    now: MonotonicTime,
    wall_time: WallTime,
    started: Container[JobId] = (),
) -> None:
    """
    Take accepted jobs and cancellations in.

    :param state: tables of the shard.
    :param rows: rows of the shard's inbox.
    :param now: reading of the monotonic clock.
    :param wall_time: reading of the wall clock.
    :param started: jobs whose progress is taken in afterwards.
    """
    for row in rows:
        if row.content is None:
            continue
        cancelled = cancelled_job_of(row.name)
        if cancelled:
            shard_updates.cancel_job(state, cancelled, now)
        else:
            apply_job_row(
                state, row, now=now, wall_time=wall_time, started=started
            )


def apply_job_row(
    state: ShardState,
    row: StoredRow,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
    started: Container[JobId] = (),
) -> JobRuntimeState | None:
    """
    Take an accepted job in.

    :param state: tables of the shard.
    :param row: its row.
    :param now: reading of the monotonic clock.
    :param wall_time: reading of the wall clock.
    :param started: jobs whose progress is taken in afterwards.
    :returns: the job; ``None`` when the row cannot be read, or speaks of a
        job that was forgotten.
    """
    record = decode_record(row.content or b'', JobRecord)
    if isinstance(record, Malformed):
        event('row_unreadable', key=row.name.key, reason=record.reason)
        return None
    job = record.job
    if job.job_id in state.removed_at_by_id:
        # Its row is being removed; taken in anew, it would run again.
        return None
    return shard_updates.register_job(
        state,
        job,
        now=now,
        wall_time=wall_time,
        queue=record.queue,
        has_stored_progress=job.job_id in started,
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
    Take in what former owners wrote, a few rows at a time.

    A shard holds hundreds of jobs, and its owner has to answer peers while it
    takes them in.

    :param state: tables of the shard, with its workers.
    :param inbox: rows of the shard's inbox.
    :param progress: progress rows of the shard.
    :param now: reading of the monotonic clock.
    :param wall_time: reading of the wall clock.
    :returns: an iterator to be exhausted; other work may run between its
        steps.
    """
    records_by_job: dict[JobId, list[ProgressRecord]] = {}
    for rows in _batched(progress, _ROWS_A_STEP):
        for row in rows:
            record = decode_record(row.content or b'', ProgressRecord)
            if isinstance(record, Malformed):
                event('row_unreadable', key=row.name.key, reason=record.reason)
                continue
            records_by_job.setdefault(record.job_id, []).append(record)
        yield
    for rows in _batched(inbox, _ROWS_A_STEP):
        apply_inbox_rows(
            state,
            rows,
            now=now,
            wall_time=wall_time,
            started=records_by_job,
        )
        yield
    for records in _batched(records_by_job.values(), _ROWS_A_STEP):
        for record in chain.from_iterable(records):
            shard_updates.restore_progress(state, record, now)
        yield


def apply_worker_rows(
    state: ShardState,
    rows: tuple[StoredRow, ...],
    *,
    is_complete: bool,
    registry: WorkerRegistry,
) -> None:
    """
    Take the workers' own entries in.

    :param state: tables of the shard.
    :param rows: entries, new or changed.
    :param is_complete: whether they are all entries that there are.
    :param registry: reads an entry, and tells which belong to the shard.
    """
    for row in rows:
        worker_id = row.name.key
        if not registry.is_in_shard(worker_id):
            continue
        if row.content is None:
            shard_updates.mark_worker_unlisted(state, worker_id)
            continue
        listed = registry.parse(worker_id, row.content)
        if isinstance(listed, Malformed):
            event('entry_unusable', worker=worker_id, reason=listed.reason)
        else:
            shard_updates.update_worker(state, listed)
    if is_complete:
        _drop_absent(state, {row.name.key for row in rows})


def _drop_absent(state: ShardState, present: Container[WorkerId]) -> None:
    for worker_id in tuple(state.worker_by_id):
        if worker_id not in present:
            shard_updates.mark_worker_unlisted(state, worker_id)


def _batched(
    items: Iterable[_Item],
    size: int,
) -> Iterator[tuple[_Item, ...]]:
    left = iter(items)
    while batch := tuple(islice(left, size)):
        yield batch

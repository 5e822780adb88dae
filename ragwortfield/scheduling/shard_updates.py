"""Taking in jobs, cancellations, workers and configurations."""

from ragwortfield.log import event
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.catalogue import Catalogue, Queue
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    OccurrenceState,
    new_job_state,
    new_occurrence,
)
from ragwortfield.scheduling.task_lifecycle import (
    stop_job,
    complete_if_durably_done,
    update_ready_steps,
)
from ragwortfield.scheduling.records import ProgressRecord, TaskPhase
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, JobId, Seconds, WallTime, WorkerId

#: Longest time before now that an acceptance by another clock may lie.
_MAX_ACCEPTANCE_AGE_S: Seconds = 120
#: Occurrences of one job that may be unfinished at once.
_MAX_UNFINISHED_OCCURRENCES = 16


def register_job(
    state: ShardState,
    job: Job,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
    queue: Queue | None = None,
    has_stored_progress: bool = False,
) -> JobRuntimeState:
    """
    Take an accepted job in; one that is known already stays as it is.

    :param state: tables of the shard.
    :param job: the job.
    :param now: reading of the monotonic clock.
    :param wall_time: reading of the wall clock.
    :param queue: its queue at acceptance, if that is stored.
    :param has_stored_progress: whether records of its progress follow, so that
        nothing of it must start from the beginning.
    :returns: its row.
    """
    known = state.job_by_id.get(job.job_id)
    if known is not None:
        return known
    age_s = min(max(wall_time - job.accepted_at, 0), _MAX_ACCEPTANCE_AGE_S)
    queue = state.catalogue.queue_by_name.get(job.queue, queue)
    if queue is None:
        queue = Queue(name=job.queue, host='', path_prefix='', pool='')
    row = new_job_state(job, queue, now - age_s)
    state.job_by_id[job.job_id] = row
    _add_filler_work(state, job)
    if job.job_id in state.cancelled_job_ids:
        row.is_cancelled = True
        row.finished_at = now
        return row
    if job.repeat_count:
        state.repeating_job_ids.add(job.job_id)
    elif not has_stored_progress:
        _create_occurrence(state, row, 0, None)
    event(
        'job_taken',
        job=job.job_id,
        queue=job.queue,
        age_s=age_s,
        tasks=sum(step.count for step in job.steps),
    )
    return row


def restore_progress(
    state: ShardState,
    record: ProgressRecord,
    now: MonotonicTime,
) -> None:
    """
    Take the durable state of an occurrence in, after a change of owner.

    :param state: tables of the shard, with the job in them.
    :param record: the durable state.
    :param now: reading of the monotonic clock.
    """
    row = state.job_by_id.get(record.job_id)
    if row is None:
        event('progress_without_job', job=record.job_id)
        return
    occurrence = _restore_occurrence(row.job, record)
    row.occurrence_by_number[record.occurrence] = occurrence
    row.has_run = row.has_run or occurrence.has_run
    for step in occurrence.steps:
        for task in step.tasks:
            if task.phase == TaskPhase.FAILED:
                row.is_failed = True
                row.is_durably_failed = True
                row.finished_at = now
            elif task.phase == TaskPhase.BOUND:
                _add_unlisted_worker(state, task.worker_id)
                state.worker_by_id[task.worker_id].add(task)
    update_ready_steps(state, row, occurrence)
    complete_if_durably_done(row, now)
    if row.is_closed():
        stop_job(state, row, now)


def cancel_job(state: ShardState, job_id: JobId, now: MonotonicTime) -> None:
    """
    Take a durable cancellation in.

    :param state: tables of the shard.
    :param job_id: the job; it may not have been read yet.
    :param now: reading of the monotonic clock.
    """
    state.cancelled_job_ids.add(job_id)
    row = state.job_by_id.get(job_id)
    if row is None or row.is_closed():
        return
    row.is_cancelled = True
    row.finished_at = now
    state.repeating_job_ids.discard(job_id)
    event('job_cancelled', job=job_id)
    stop_job(state, row, now)


def create_due_occurrences(state: ShardState, wall_time: WallTime) -> None:
    """
    Open the occurrences of timed jobs that are due.

    :param state: tables of the shard.
    :param wall_time: wall clock, not ahead of the true time.
    """
    for job_id in tuple(state.repeating_job_ids):
        row = state.job_by_id[job_id]
        # Later occurrences may have been restored without this one.
        while row.opened in row.occurrence_by_number:
            row.opened += 1
        if row.is_closed() or row.opened >= row.job.repeat_count:
            state.repeating_job_ids.discard(job_id)
            continue
        unfinished = sum(
            not occurrence.is_done()
            for occurrence in row.occurrence_by_number.values()
        )
        is_room = unfinished < _MAX_UNFINISHED_OCCURRENCES
        if is_room and row.job.due_at(row.opened) <= wall_time:
            _create_occurrence(state, row, row.opened, None)


def update_catalogue(state: ShardState, catalogue: Catalogue) -> None:
    """
    Follow a newer configuration.

    :param state: tables of the shard.
    :param catalogue: queues and pools of the new version.
    """
    if catalogue.version <= state.catalogue.version:
        return
    state.catalogue = catalogue
    for row in state.job_by_id.values():
        row.queue = catalogue.queue_by_name.get(row.job.queue, row.queue)


def update_worker(state: ShardState, listed: ListedWorker) -> None:
    """
    Take a worker's own entry in.

    :param state: tables of the shard.
    :param listed: the entry.
    """
    row = state.worker_by_id.get(listed.worker_id)
    if row is None:
        state.worker_by_id[listed.worker_id] = WorkerState(
            worker_id=listed.worker_id,
            listed=listed,
            change_counter=state.change_counter,
        )
        event(
            'worker_listed',
            worker=listed.worker_id,
            address=listed.address,
            cores=listed.capacity.cpu,
            data_centre=listed.data_centre,
        )
        return
    if listed.is_draining and not row.listed.is_draining:
        event(
            'worker_draining',
            worker=listed.worker_id,
            remaining_ms=listed.remaining_ms,
            tasks=len(row.run_by_key),
        )
    row.listed = listed
    row.is_listed = True
    row.record_change()


def mark_worker_unlisted(state: ShardState, worker_id: WorkerId) -> None:
    """
    Note that a worker's entry is gone.

    :param state: tables of the shard.
    :param worker_id: the worker.
    """
    row = state.worker_by_id.get(worker_id)
    if row is None or not row.is_listed:
        return
    row.is_listed = False
    event(
        'worker_unlisted',
        worker=worker_id,
        tasks=len(row.run_by_key),
    )


def _add_filler_work(state: ShardState, job: Job) -> None:
    work_by_filler = state.work_by_filler
    for step in job.steps:
        if step.is_filler:
            work = step.count * step.estimate_s * step.need.cpu
            image = step.image
            work_by_filler[image] = work_by_filler.get(image, 0) + work


def _restore_occurrence(job: Job, record: ProgressRecord) -> OccurrenceState:
    counts = tuple(len(step) for step in record.steps)
    if counts != tuple(step.count for step in job.steps):
        event(
            'row_unreadable',
            job=job.job_id,
            occurrence=record.occurrence,
            reason=f'tasks of steps {counts}, expected those of the job',
        )
        return new_occurrence(job, record.occurrence)
    is_done = all(
        task.phase == TaskPhase.DONE for step in record.steps for task in step
    )
    if is_done:
        # Its tasks are asked for by nobody, and most jobs of a shard are done.
        return OccurrenceState(
            job_id=job.job_id,
            number=record.occurrence,
            steps=[],
            is_durably_done=True,
            has_run=True,
        )
    return new_occurrence(job, record.occurrence, record)


def _add_unlisted_worker(state: ShardState, worker_id: WorkerId) -> None:
    if worker_id in state.worker_by_id:
        return
    # The worker is not listed; its tasks wait until its lease is over.
    state.worker_by_id[worker_id] = WorkerState(
        worker_id=worker_id,
        listed=ListedWorker(worker_id=worker_id),
        is_listed=False,
        change_counter=state.change_counter,
    )


def _create_occurrence(
    state: ShardState,
    row: JobRuntimeState,
    number: int,
    record: ProgressRecord | None,
) -> None:
    occurrence = new_occurrence(row.job, number, record)
    row.occurrence_by_number[number] = occurrence
    row.opened = max(row.opened, number + 1)
    update_ready_steps(state, row, occurrence)

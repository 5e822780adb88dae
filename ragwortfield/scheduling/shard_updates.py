"""Updates of a shard's state from jobs, cancellations, workers and settings."""

from ragwortfield.log import event
from ragwortfield.ports.task_worker import ListedWorker
from ragwortfield.scheduling.catalogue import Catalogue, Queue
from ragwortfield.scheduling.duration_model import predict_step_durations
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    OccurrenceState,
    create_job_state,
    create_occurrence,
)
from ragwortfield.scheduling.records import ProgressRecord, TaskPhase
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import (
    complete_if_durably_done,
    stop_job,
    update_ready_steps,
)
from ragwortfield.scheduling.wait_causes import WaitCause
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import JobId, MonotonicTime, Seconds, WallTime, WorkerId

#: Largest age of an acceptance that is believed, in seconds: it was read from
#: the wall clock of another instance.
_MAX_ACCEPTANCE_AGE_S: Seconds = 120
#: Most unfinished occurrences of one job at a time.
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
    Add an accepted job to the shard of this owner, and log that.

    A job that is already known is unchanged.

    :param state: state of the shard.
    :param job: the job.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    :param queue: its queue at acceptance, if that is stored; used where the
        configuration in force does not have the queue.
    :param has_stored_progress: whether records of its progress follow, so
        that no occurrence may be created from the beginning.
    :returns: the runtime state of the job.
    """
    known = state.job_by_id.get(job.job_id)
    if known is not None:
        return known
    job_state = add_job(
        state,
        job,
        now=now,
        wall_time=wall_time,
        queue=queue,
        has_stored_progress=has_stored_progress,
    )
    event(
        'job_taken',
        job=job.job_id,
        queue=job.queue,
        epoch=state.epoch,
        age_s=now - job_state.accepted_at_monotonic,
        tasks=sum(step.count for step in job.steps),
        is_cancelled=job_state.is_cancelled,
    )
    return job_state


def add_job(
    state: ShardState,
    job: Job,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
    queue: Queue | None = None,
    has_stored_progress: bool = False,
) -> JobRuntimeState:
    """
    Add a job to a state that need not be an owner's.

    :param state: the state, which does not have the job yet.
    :param job: the job.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    :param queue: see ``register_job``.
    :param has_stored_progress: see ``register_job``.
    :returns: the runtime state of the job.
    """
    age_s = min(max(wall_time - job.accepted_at, 0), _MAX_ACCEPTANCE_AGE_S)
    queue = state.catalogue.queue_by_name.get(job.queue, queue)
    if queue is None:
        queue = Queue(name=job.queue, host='', path_prefix='', pool='')
    job_state = create_job_state(
        job,
        queue,
        now - age_s,
        predict_step_durations(state.duration_model, job.queue, job.steps),
    )
    state.job_by_id[job.job_id] = job_state
    job_state.wait_s_by_cause[WaitCause.OWNER] = age_s
    _add_filler_work(state, job)
    if not job.repeat_count:
        _add_short_demand(state, job_state, job_state.accepted_at_monotonic)
    if job.job_id in state.cancelled_job_ids:
        state.unmatched_since_by_id.pop(job.job_id, None)
        job_state.is_cancelled = True
        job_state.finished_at = now
        return job_state
    if job.repeat_count:
        state.repeating_job_ids.add(job.job_id)
    elif not has_stored_progress:
        _add_occurrence(state, job_state, 0, None)
    return job_state


def restore_progress(
    state: ShardState,
    record: ProgressRecord,
    now: MonotonicTime,
) -> None:
    """
    Restore an occurrence from its stored record after a change of owner.

    :param state: state of the shard; the job must have been registered.
    :param record: the stored progress.
    :param now: monotonic time, in seconds.
    """
    job_state = state.job_by_id.get(record.job_id)
    if job_state is None:
        event('progress_without_job', job=record.job_id)
        return
    occurrence = _restore_occurrence(job_state.job, record)
    if occurrence is None:
        hold_unreadable_occurrence(state, record.job_id, record.occurrence)
        return
    job_state.occurrence_by_number[record.occurrence] = occurrence
    job_state.has_started = job_state.has_started or occurrence.has_started
    for step in occurrence.steps:
        for task in step.tasks:
            if task.copy is not None:
                _add_unlisted_worker(state, task.copy.worker_id)
                state.worker_by_id[task.copy.worker_id].add(task.copy)
            if task.phase == TaskPhase.FAILED:
                job_state.is_failed = True
                job_state.is_durably_failed = True
                job_state.finished_at = now
            elif task.phase == TaskPhase.BOUND:
                _add_unlisted_worker(state, task.worker_id)
                state.worker_by_id[task.worker_id].add(task)
    update_ready_steps(state, job_state, occurrence)
    complete_if_durably_done(job_state, now)
    job_state.is_finish_restored = job_state.is_durably_done
    if job_state.is_closed():
        stop_job(state, job_state, now)


def hold_unreadable_occurrence(
    state: ShardState, job_id: JobId, number: int
) -> None:
    """
    Hold back an occurrence whose stored progress cannot be read.

    :param state: state of the shard.
    :param job_id: its job; nothing happens if it is not known.
    :param number: number of the occurrence.
    """
    job_state = state.job_by_id.get(job_id)
    if job_state is not None:
        job_state.unreadable_occurrences.add(number)
        job_state.has_started = True


def cancel_job(state: ShardState, job_id: JobId, now: MonotonicTime) -> None:
    """
    Apply a cancellation that is durable.

    :param state: state of the shard.
    :param job_id: the job; it need not have been read yet.
    :param now: monotonic time, in seconds.
    """
    state.cancelled_job_ids.add(job_id)
    job_state = state.job_by_id.get(job_id)
    if job_state is None:
        state.unmatched_since_by_id.setdefault(job_id, now)
        return
    if job_state.is_closed():
        return
    job_state.is_cancelled = True
    job_state.finished_at = now
    state.repeating_job_ids.discard(job_id)
    event(
        'job_cancelled',
        job=job_id,
        epoch=state.epoch,
        bound=_count_bound_tasks(job_state),
    )
    stop_job(state, job_state, now)


def create_due_occurrences(state: ShardState, wall_time: WallTime) -> None:
    """
    Create the occurrences of repeating jobs that are due.

    :param state: state of the shard.
    :param wall_time: wall-clock time that is not ahead of the true time, so
        that no occurrence starts early.
    """
    for job_id in tuple(state.repeating_job_ids):
        job_state = state.job_by_id[job_id]
        # A later occurrence may have been restored although this one was not.
        while job_state.is_occurrence_known(job_state.next_occurrence):
            job_state.next_occurrence += 1
        if (
            job_state.is_closed()
            or job_state.next_occurrence >= job_state.job.repeat_count
        ):
            state.repeating_job_ids.discard(job_id)
            continue
        unfinished = sum(
            not occurrence.is_done()
            for occurrence in job_state.occurrence_by_number.values()
        )
        is_below_limit = unfinished < _MAX_UNFINISHED_OCCURRENCES
        if (
            is_below_limit
            and job_state.job.due_at(job_state.next_occurrence) <= wall_time
        ):
            due_at = job_state.job.due_at(job_state.next_occurrence)
            _add_short_demand(state, job_state, due_at - state.wall_offset_s)
            _add_occurrence(state, job_state, job_state.next_occurrence, None)


def update_catalogue(state: ShardState, catalogue: Catalogue) -> None:
    """Switch to a newer configuration; older versions are ignored."""
    if catalogue.version <= state.catalogue.version:
        return
    state.catalogue = catalogue
    for job_state in state.job_by_id.values():
        job_state.queue = catalogue.queue_by_name.get(
            job_state.job.queue, job_state.queue
        )


def update_worker(state: ShardState, listed: ListedWorker) -> None:
    """Apply a worker's current entry in the list of workers."""
    worker = state.worker_by_id.get(listed.worker_id)
    if worker is None:
        state.worker_by_id[listed.worker_id] = WorkerState(
            worker_id=listed.worker_id,
            listed=listed,
            change_counter=state.change_counter,
            is_evacuated=listed.data_centre in state.evacuated_zones,
        )
        event(
            'worker_listed',
            worker=listed.worker_id,
            address=listed.address,
            cores=listed.capacity.cpu,
            data_centre=listed.data_centre,
        )
        return
    if listed.is_draining and not worker.listed.is_draining:
        event(
            'worker_draining',
            worker=listed.worker_id,
            remaining_ms=listed.remaining_ms,
            tasks=len(worker.run_by_key),
        )
    worker.listed = listed
    worker.is_listed = True
    worker.is_evacuated = listed.data_centre in state.evacuated_zones
    worker.record_change()


def mark_worker_unlisted(state: ShardState, worker_id: WorkerId) -> None:
    """
    Record that a worker's entry has been removed.

    The worker stays known as long as tasks are bound to it.
    """
    worker = state.worker_by_id.get(worker_id)
    if worker is None or not worker.is_listed:
        return
    worker.is_listed = False
    event(
        'worker_unlisted',
        worker=worker_id,
        tasks=len(worker.run_by_key),
    )


def _count_bound_tasks(job_state: JobRuntimeState) -> int:
    return sum(
        sum(step.count_by_worker.values())
        for occurrence in job_state.occurrence_by_number.values()
        for step in occurrence.steps
    )


def _add_filler_work(state: ShardState, job: Job) -> None:
    work_by_filler = state.work_by_filler
    for step in job.steps:
        if step.is_filler:
            work = step.count * step.estimate_s * step.need.cpu
            image = step.image
            work_by_filler[image] = work_by_filler.get(image, 0) + work


def _add_short_demand(
    state: ShardState, job_state: JobRuntimeState, due_at: MonotonicTime
) -> None:
    state.short_demand.add(
        job_state.job.steps,
        pool=job_state.queue.pool,
        priority=job_state.queue.priority,
        accepted_at=due_at,
    )


def _restore_occurrence(
    job: Job, record: ProgressRecord
) -> OccurrenceState | None:
    counts = tuple(len(step) for step in record.steps)
    expected = tuple(step.count for step in job.steps)
    if counts != expected:
        event(
            'row_unreadable',
            job=job.job_id,
            occurrence=record.occurrence,
            reason=f'record has {counts} tasks per step, expected {expected}',
        )
        return None
    is_done = all(
        task.phase == TaskPhase.DONE for step in record.steps for task in step
    )
    if is_done and not record.copies:
        # Nothing looks up the tasks of a finished occurrence, and most jobs of
        # a shard are finished, so they are not kept in memory.
        return OccurrenceState(
            job_id=job.job_id,
            number=record.occurrence,
            steps=[],
            is_durably_done=True,
            has_started=True,
        )
    return create_occurrence(job, record.occurrence, record)


def _add_unlisted_worker(state: ShardState, worker_id: WorkerId) -> None:
    if worker_id in state.worker_by_id:
        return
    # The worker is not listed, so its tasks stay bound until its lease has
    # expired.
    state.worker_by_id[worker_id] = WorkerState(
        worker_id=worker_id,
        listed=ListedWorker(worker_id=worker_id),
        is_listed=False,
        change_counter=state.change_counter,
    )


def _add_occurrence(
    state: ShardState,
    job_state: JobRuntimeState,
    number: int,
    record: ProgressRecord | None,
) -> None:
    occurrence = create_occurrence(job_state.job, number, record)
    job_state.occurrence_by_number[number] = occurrence
    job_state.next_occurrence = max(job_state.next_occurrence, number + 1)
    update_ready_steps(state, job_state, occurrence)

"""Selects the workers that an external approval service is asked about.

Some queues may start a step only on workers that another service has approved
for it. The service takes time for each worker in a question, so the question
covers only as many workers as the waiting tasks of a step can use. The most
urgent step is asked about first, and denied workers are not asked about again.
A ticket is valid for all tasks of the step, for a limited time, and only until
the worker starts again.
"""

from ragwortfield.log import event
from ragwortfield.ports.approvals import Approved, Question
from ragwortfield.scheduling.catalogue import ApprovalTerms
from ragwortfield.scheduling.job_state import (
    ApprovalTicket,
    JobRuntimeState,
    StepState,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    count_fitting_tasks,
    has_free_resources,
    has_required_label,
    has_valid_ticket,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Maximum number of workers in one question: the latency objective of the
#: users assumes one call for thirty workers.
_MAX_WORKERS_PER_QUESTION = 30
#: Number of workers asked about for each one that is needed, because some are
#: denied.
_WORKERS_ASKED_PER_NEEDED = 3
#: Time allowed for an answer beyond the time in the queue's terms, in seconds.
_ANSWER_MARGIN_S: Seconds = 1


def build_approval_request(
    state: ShardState, now: MonotonicTime
) -> Question | None:
    """
    Build the next question for the approval service.

    :param state: state of the shard.
    :param now: monotonic time, in seconds.
    :returns: the question; ``None`` if no step needs further approvals.
    """
    selector: WorkerSelector | None = None
    for step in sort_by_urgency(state, now):
        job = state.job_by_id[step.job_id]
        terms = job.queue.advice
        if terms is None:
            continue
        selector = selector or WorkerSelector(state=state, now=now)
        workers = _select_workers_to_ask(selector, job, step, now)
        if workers:
            return _build_approval_request(step, terms, workers)
    return None


def apply_approval(
    state: ShardState,
    approval_request: Question,
    answer: Approved,
    asked_at: MonotonicTime,
) -> None:
    """
    Store the tickets and denials of an answer in the step.

    Does nothing if the step is no longer known.

    :param state: state of the shard.
    :param approval_request: question that was asked.
    :param answer: answer of the approval service.
    :param asked_at: time of the question on the monotonic clock; the validity
        of the tickets starts here.
    """
    key = (
        approval_request.job_id,
        approval_request.occurrence,
        approval_request.step,
    )
    step = state.find_step(key)
    if step is None:
        return
    terms = state.job_by_id[approval_request.job_id].queue.advice
    valid_s = 0 if terms is None else terms.valid_s
    for worker_id in approval_request.worker_ids:
        ticket = answer.ticket_by_worker.get(worker_id)
        worker = state.worker_by_id.get(worker_id)
        if ticket is None:
            step.denied_workers.add(worker_id)
        elif worker is not None:
            step.ticket_by_worker[worker_id] = ApprovalTicket(
                text=ticket,
                born_ms=worker.born_ms,
                valid_until=asked_at + valid_s,
            )
    event(
        'step_approved',
        step='.'.join(str(part) for part in key),
        asked=len(approval_request.worker_ids),
        approved=len(answer.ticket_by_worker),
        valid_s=valid_s,
    )


def _select_workers_to_ask(
    selector: WorkerSelector,
    job: JobRuntimeState,
    step: StepState,
    now: MonotonicTime,
) -> list[WorkerState]:
    usable = [
        worker
        for worker in selector.list_eligible_workers(job)
        if has_free_resources(worker, step) and has_required_label(worker, step)
    ]
    approved = [
        worker for worker in usable if has_valid_ticket(worker, step, now)
    ]
    missing = len(step.waiting_indexes) - sum(
        count_fitting_tasks(worker, step)
        for worker in approved
        if not _is_avoided_by_all(worker, step)
    )
    if missing <= 0:
        return []
    unapproved = [
        worker
        for worker in usable
        if worker.worker_id not in step.denied_workers
        and worker not in approved
    ]
    unapproved.sort(
        key=lambda worker: count_fitting_tasks(worker, step),
        reverse=True,
    )
    chosen: list[WorkerState] = []
    for worker in unapproved[:_MAX_WORKERS_PER_QUESTION]:
        if missing <= 0:
            break
        chosen.append(worker)
        missing -= count_fitting_tasks(worker, step) / _WORKERS_ASKED_PER_NEEDED
    return chosen


def _is_avoided_by_all(worker: WorkerState, step: StepState) -> bool:
    return all(
        worker.worker_id in step.tasks[index].avoided_workers
        for index in step.waiting_indexes
    )


def _build_approval_request(
    step: StepState,
    terms: ApprovalTerms,
    workers: list[WorkerState],
) -> Question:
    expected_s = terms.decide_s + terms.each_s * len(workers)
    return Question(
        job_id=step.job_id,
        occurrence=step.occurrence,
        step=step.number,
        worker_ids=tuple(worker.worker_id for worker in workers),
        timeout_s=expected_s + _ANSWER_MARGIN_S,
    )

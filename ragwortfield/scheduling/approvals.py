"""Which workers may run a step, where another service has to approve them.

Pattern: some queues allow only some workers to run a step, and the service
that knows them takes a while for each worker that it is asked about. So it is
asked about as many workers as the step's waiting tasks can use, the most
urgent step first, and what it denied is not asked again. A ticket holds for
all tasks of the step on one life of the worker, for a limited time.
"""

from ragwortfield.log import event
from ragwortfield.ports.approvals import Approved, Question
from ragwortfield.scheduling.catalogue import ApprovalTerms
from ragwortfield.scheduling.job_state import (
    JobRuntimeState,
    StepState,
    ApprovalTicket,
)
from ragwortfield.scheduling.step_priority import sort_by_urgency
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.worker_selection import (
    WorkerSelector,
    fits,
    has_required_label,
    has_valid_ticket,
    count_fitting_tasks,
)
from ragwortfield.scheduling.worker_state import WorkerState
from ragwortfield.types import MonotonicTime, Seconds

#: Most workers in one question: the users' objective counts a call on thirty.
_MOST_WORKERS = 30
#: Workers asked about for each one that the waiting tasks need, since some
#: are denied.
_ASKED_FOR_EACH = 3
#: Time that an answer may take beyond what its terms say, in seconds.
_MARGIN_S: Seconds = 1


def build_approval_question(
    state: ShardState, now: MonotonicTime
) -> Question | None:
    """
    Choose what to ask next.

    :param state: tables of the shard.
    :param now: reading of the monotonic clock.
    :returns: the question; ``None`` when nothing has to be asked.
    """
    selector: WorkerSelector | None = None
    for step in sort_by_urgency(state, now):
        job = state.job_by_id[step.job_id]
        terms = job.queue.advice
        if terms is None:
            continue
        selector = selector or WorkerSelector(state=state, now=now)
        workers = _worth_asking(selector, job, step, now)
        if workers:
            return _question(step, terms, workers)
    return None


def apply_approval(
    state: ShardState,
    question: Question,
    answer: Approved,
    asked_at: MonotonicTime,
) -> None:
    """
    Take an answer in.

    :param state: tables of the shard.
    :param question: what was asked.
    :param answer: the answer.
    :param asked_at: when it was asked, by the monotonic clock; the tickets'
        time is counted from here.
    """
    key = (question.job_id, question.occurrence, question.step)
    step = state.find_step(key)
    if step is None:
        return
    terms = state.job_by_id[question.job_id].queue.advice
    valid_s = 0 if terms is None else terms.valid_s
    for worker_id in question.worker_ids:
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
        asked=len(question.worker_ids),
        approved=len(answer.ticket_by_worker),
        valid_s=valid_s,
    )


def _worth_asking(
    selector: WorkerSelector,
    job: JobRuntimeState,
    step: StepState,
    now: MonotonicTime,
) -> list[WorkerState]:
    usable = [
        worker
        for worker in selector.eligible_workers(job)
        if fits(worker, step) and has_required_label(worker, step)
    ]
    known = [one for one in usable if has_valid_ticket(one, step, now)]
    wanted = len(step.waiting_indexes) - sum(
        count_fitting_tasks(one, step) for one in known
    )
    if wanted <= 0:
        return []
    unknown = [
        worker
        for worker in usable
        if worker.worker_id not in step.denied_workers and worker not in known
    ]
    unknown.sort(key=lambda one: count_fitting_tasks(one, step), reverse=True)
    chosen: list[WorkerState] = []
    for worker in unknown[:_MOST_WORKERS]:
        if wanted <= 0:
            break
        chosen.append(worker)
        wanted -= count_fitting_tasks(worker, step) / _ASKED_FOR_EACH
    return chosen


def _question(
    step: StepState,
    terms: ApprovalTerms,
    workers: list[WorkerState],
) -> Question:
    spent_s = terms.decide_s + terms.each_s * len(workers)
    return Question(
        job_id=step.job_id,
        occurrence=step.occurrence,
        step=step.number,
        worker_ids=tuple(one.worker_id for one in workers),
        limit_s=spent_s + _MARGIN_S,
    )

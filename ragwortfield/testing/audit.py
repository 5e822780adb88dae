"""Audit of a run: compares the records of workers with those of callers."""

from dataclasses import dataclass, field
from typing import Any

from ragwortfield.testing.entry_deployment import EntryDeployment
from ragwortfield.testing.load_generator import LoadResult


@dataclass(kw_only=True)
class Audit:
    """Invariant violations that were found, one line each."""

    violations: list[str] = field(default_factory=list)

    def check(self, name: str, *, is_satisfied: bool, detail: str) -> None:
        """
        Record a violation unless an invariant is satisfied.

        :param name: name of the invariant.
        :param is_satisfied: whether it is satisfied.
        :param detail: values that show the violation.
        """
        if not is_satisfied:
            self.violations.append(f'{name}: {detail}')


def audit_deployment(
    deployment: EntryDeployment,
    result: LoadResult,
) -> Audit:
    """
    Check the invariants of a deployment after a load.

    :param deployment: the deployment, still running; workers that have ended
        are left out.
    :param result: outcomes as the callers saw them.
    :returns: audit with the violations.
    """
    audit = Audit()
    runs_by_booking: dict[str, int] = {}
    spans: list[Any] = []
    for worker_id, deployed_process in deployment.worker_by_id.items():
        if deployed_process.process.poll() is not None:
            continue
        description = deployment.describe_worker(worker_id)
        _audit_worker(audit, worker_id, description)
        spans.extend(description['spans'])
        for booking, runs in description['target']['runs_by_booking'].items():
            runs_by_booking[booking] = runs_by_booking.get(booking, 0) + runs
    _audit_bookings(audit, runs_by_booking, result)
    _audit_spans(audit, spans)
    audit.check(
        'own_whole_answer',
        is_satisfied=result.mismatched_responses == 0,
        detail=f'{result.mismatched_responses} responses had the body of '
        'another request',
    )
    _audit_instances(audit, deployment)
    return audit


def _audit_worker(audit: Audit, worker_id: str, description: Any) -> None:
    over_slots = description['target']['over_slots']
    audit.check(
        'slots_never_exceeded',
        is_satisfied=over_slots == 0,
        detail=f'{over_slots} requests arrived at {worker_id} when all of its '
        'slots were taken',
    )
    audit.check(
        'capacity_never_exceeded',
        is_satisfied=description['over_capacity'] == 0,
        detail=f'{description["over_capacity"]} task starts exceeded the '
        f'capacity of {worker_id}',
    )


def _audit_bookings(
    audit: Audit,
    runs_by_booking: dict[str, int],
    result: LoadResult,
) -> None:
    for booking, runs in sorted(runs_by_booking.items()):
        audit.check(
            'runs_at_most_once',
            is_satisfied=runs <= 1,
            detail=f'{booking} ran {runs} times',
        )
    for booking, outcomes in sorted(result.outcomes_by_booking.items()):
        runs = runs_by_booking.get(booking, 0)
        is_reported_not_run = all(_is_not_run(outcome) for outcome in outcomes)
        audit.check(
            'not_run_is_true',
            is_satisfied=not (is_reported_not_run and runs),
            detail=f'{booking} was answered {outcomes} and ran {runs} times',
        )
        audit.check(
            'ran_is_true',
            is_satisfied='ran' not in outcomes or runs == 1,
            detail=f'{booking} was answered {outcomes} and ran {runs} times',
        )


def _audit_spans(audit: Audit, spans: list[Any]) -> None:
    spans_by_job: dict[str, list[Any]] = {}
    for span in spans:
        spans_by_job.setdefault(span['job_id'], []).append(span)
    for job_id, job_spans in sorted(spans_by_job.items()):
        job_spans.sort(key=lambda span: span['started_at'])
        generations = [span['generation'] for span in job_spans]
        audit.check(
            'resumes_exactly_once',
            is_satisfied=len(generations) == len(set(generations)),
            detail=f'{job_id} ran generations {generations}, expected each '
            'at most once',
        )
        for earlier, later in zip(job_spans, job_spans[1:], strict=False):
            audit.check(
                'task_in_one_place',
                is_satisfied=earlier['ended_at'] <= later['started_at'],
                detail=f'{job_id} overlapped: {earlier} {later}',
            )


def _audit_instances(audit: Audit, deployment: EntryDeployment) -> None:
    for name in deployment.entry_by_id:
        for line in deployment.read_log(name).splitlines():
            audit.check(
                'no_violation_in_logs',
                is_satisfied='event=invariant_violated' not in line,
                detail=f'{name}: {line}',
            )
            audit.check(
                'no_failed_round_in_logs',
                is_satisfied='event=round_failed' not in line
                and 'event=request_failed' not in line,
                detail=f'{name}: {line}',
            )


def _is_not_run(outcome: str) -> bool:
    return outcome.startswith('not-run') or outcome == 'not connected'

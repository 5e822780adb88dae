"""Audit of a trial: what the workers saw against what callers were told."""

from dataclasses import dataclass, field
from typing import Any

from ragwortfield.testing.entry_deployment import EntryDeployment
from ragwortfield.testing.load_generator import LoadResult


@dataclass(kw_only=True)
class Audit:
    """Violations found, one line each."""

    violations: list[str] = field(default_factory=list)

    def check(self, name: str, *, is_satisfied: bool, detail: str) -> None:
        """
        Record a violation.

        :param name: name of the invariant.
        :param is_satisfied: whether it holds.
        :param detail: values that show the violation.
        """
        if not is_satisfied:
            self.violations.append(f'{name}: {detail}')


def audit_deployment(
    deployment: EntryDeployment,
    result: LoadResult,
) -> Audit:
    """
    Compare what the workers saw with what callers were told.

    :param deployment: the deployment, still running.
    :param result: what the callers saw.
    :returns: the audit.
    """
    audit = Audit()
    runs_by_booking: dict[str, int] = {}
    spans: list[Any] = []
    for worker_id, running in deployment.worker_by_id.items():
        if running.process.poll() is not None:
            continue
        seen = deployment.describe_worker(worker_id)
        _audit_worker(audit, worker_id, seen)
        spans.extend(seen['spans'])
        for booking, runs in seen['target']['runs_by_booking'].items():
            runs_by_booking[booking] = runs_by_booking.get(booking, 0) + runs
    _audit_bookings(audit, runs_by_booking, result)
    _audit_spans(audit, spans)
    audit.check(
        'own_whole_answer',
        is_satisfied=result.mismatched_responses == 0,
        detail=f'{result.mismatched_responses} answers were of another request',
    )
    _audit_instances(audit, deployment)
    return audit


def _audit_worker(audit: Audit, worker_id: str, seen: Any) -> None:
    over_slots = seen['target']['over_slots']
    audit.check(
        'slots_never_exceeded',
        is_satisfied=over_slots == 0,
        detail=f'{worker_id} had too many requests {over_slots} times',
    )
    audit.check(
        'capacity_never_exceeded',
        is_satisfied=seen['over_capacity'] == 0,
        detail=f'{worker_id} exceeded {seen["over_capacity"]} times',
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
    for booking, states in sorted(result.outcomes_by_booking.items()):
        runs = runs_by_booking.get(booking, 0)
        is_denied = all(_is_plain_not_run(state) for state in states)
        audit.check(
            'not_run_is_true',
            is_satisfied=not (is_denied and runs),
            detail=f'{booking} was told {states} and ran {runs} times',
        )
        audit.check(
            'ran_is_true',
            is_satisfied='ran' not in states or runs == 1,
            detail=f'{booking} was told {states} and ran {runs} times',
        )


def _audit_spans(audit: Audit, spans: list[Any]) -> None:
    by_job: dict[str, list[Any]] = {}
    for span in spans:
        by_job.setdefault(span['job_id'], []).append(span)
    for job_id, own in sorted(by_job.items()):
        own.sort(key=lambda span: span['started_at'])
        generations = [span['generation'] for span in own]
        audit.check(
            'resumes_exactly_once',
            is_satisfied=len(generations) == len(set(generations)),
            detail=f'{job_id} ran generations {generations}',
        )
        for earlier, later in zip(own, own[1:], strict=False):
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


def _is_plain_not_run(state: str) -> bool:
    return state.startswith('not-run') or state == 'not connected'

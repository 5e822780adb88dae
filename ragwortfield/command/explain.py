"""Commands that explain where jobs would go."""

from collections.abc import Iterator
from typing import Any

import msgspec
from absl import flags

from ragwortfield.command.client import (
    CallFailed,
    CallRefused,
    CallSucceeded,
    OperatorClient,
)
from ragwortfield.command.output import (
    ExitStatus,
    report_failure,
    write_error,
    write_json,
    write_line,
)

_TO = flags.DEFINE_string(
    'to',
    '',
    'HOST/PATH to which the request would be sent, as callers use it.',
)
_EXPLAIN_PATH = 'explain'
_STATUS_BY_CODE = {
    'malformed-job': ExitStatus.USAGE,
    'owner-unreachable': ExitStatus.NO_RESPONSE,
}
_TEXT_BY_DECISION = {
    'start': 'starts now',
    'wait_for_rack': 'waits for its rack',
    'wait_for_capacity': 'waits for capacity',
    'leave_room': 'leaves room for short tasks',
    'wait_for_steps': 'waits for the steps before it',
    'placed': 'no task waits',
}


class ExplainActions:
    """
    Commands that ask an instance where jobs would go.

    :param client: client of the health address of a scheduler instance.
    :param is_json: whether to print JSON instead of text.
    """

    def __init__(self, *, client: OperatorClient, is_json: bool) -> None:
        """Create the commands; nothing is called yet."""
        self._client = client
        self._is_json = is_json

    def explain_request(self, path: str) -> ExitStatus:
        """
        Explain where a request would go, without sending it.

        :param path: file with the body of the request.
        :returns: exit status.
        """
        host, separator, request_path = _TO.value.partition('/')
        if not host or not separator:
            write_error(f'--to is {_TO.value!r}, expected HOST/PATH')
            return ExitStatus.USAGE
        try:
            with open(path, 'rb') as request_file:
                document = msgspec.json.decode(request_file.read())
        except (OSError, msgspec.DecodeError) as error:
            write_error(f'{path}: {error}')
            return ExitStatus.USAGE
        return self._ask(
            {'host': host, 'path': f'/{request_path}', 'request': document}
        )

    def explain_job(self, job_id: str) -> ExitStatus:
        """
        Explain where the waiting tasks of an accepted job would go.

        :param job_id: the job.
        :returns: exit status.
        """
        return self._ask({'job': job_id})

    def _ask(self, question: dict[str, Any]) -> ExitStatus:
        outcome = self._client.call('POST', _EXPLAIN_PATH, question)
        if isinstance(outcome, CallFailed):
            # A question has no effect.
            write_error(outcome.reason)
            return ExitStatus.NO_RESPONSE
        if isinstance(outcome, CallRefused):
            status = report_failure(outcome)
            return _STATUS_BY_CODE.get(outcome.code, status)
        if self._is_json:
            write_json(outcome.document)
        else:
            _write_explanation(outcome)
        return ExitStatus.DONE


def _write_explanation(outcome: CallSucceeded) -> None:
    job = outcome.document
    write_line(
        f'job {job["job_id"]} ({job["status"]}) of queue {job["queue"]}, '
        f'priority {job["priority"]}, pool {job["pool"]}'
    )
    write_line(
        f'shard {job["shard"]}, owner {job["owner"]}, epoch {job["epoch"]}'
    )
    deferred = ', deferred by the plan for overload'
    write_line(
        f'age {job["age_s"]:.2f} s, objective {job["objective_s"]:.2f} s'
        f'{deferred if job["is_deferred"] else ""}'
    )
    for step in job['steps']:
        for line in _format_step(step):
            write_line(line)


def _format_step(step: dict[str, Any]) -> Iterator[str]:
    decision = step['decision']
    yield (
        f'step {step["step"]}: {_TEXT_BY_DECISION.get(decision, decision)}; '
        f'tasks waiting {step["waiting"]}, bound {step["bound"]}, '
        f'done {step["done"]}'
    )
    if not step['rank']:
        return
    yield (
        f'  order: {step["rank"]}, behind {step["steps_before"]} steps with '
        f'{step["tasks_before"]} waiting tasks'
    )
    if step['rack']:
        yield (
            f'  rack: {step["rack"]}, for which '
            f'{step["tasks_waiting_for_rack"]} tasks wait'
        )
    if step['worker']:
        yield f'  worker of the first task: {step["worker"]}'
    expected_s = step['expected_start_s']
    yield (
        '  expected start: not known'
        if expected_s < 0
        else f'  expected start: in {expected_s:.2f} s'
    )
    yield f'  suitable workers: {_format_workers(step["suitable"])}'
    for reason, workers in (step['excluded'] or {}).items():
        yield f'  excluded by {reason}: {_format_workers(workers)}'


def _format_workers(workers: list[str]) -> str:
    return ' '.join(workers) if workers else 'none'

"""Commands of the command line for operators."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import quote

from absl import flags

from ragwortfield.adapters.json_codec import Malformed, from_document
from ragwortfield.command.client import CallSucceeded, OperatorClient
from ragwortfield.command.output import (
    ExitStatus,
    report_failure,
    write_error,
    write_json,
    write_line,
    write_table,
)
from ragwortfield.core.configuration import Configuration
from ragwortfield.core.jobs import JobSpec, JobState
from ragwortfield.core.resources import Resources
from ragwortfield.report.burn_rates import (
    compute_burn_rates,
    format_burn_report,
)
from ragwortfield.report.burn_report_page import render_burn_page
from ragwortfield.report.request_recorder import BUCKET_S, BurnBucket, BurnRow
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.settings.instance import read_text
from ragwortfield.settings.questionnaire import (
    BLANK_QUESTIONNAIRE,
    generate_configuration,
    parse_answers,
)
from ragwortfield.settings.toml_parsing import SettingsError, parse_toml

_BASE = flags.DEFINE_string(
    'base', '', 'File with the configuration to add the team to.'
)
_FROM_VERSION = flags.DEFINE_integer(
    'from_version',
    0,
    'Version that the change is based on; 0 for the first configuration.',
    lower_bound=0,
)
_TEAM = flags.DEFINE_string('team', '', 'List only jobs of this team.')
_STATE = flags.DEFINE_enum(
    'state',
    None,
    [state.value for state in JobState],
    'List only jobs in this state.',
)
_HTML = flags.DEFINE_string('html', '', 'HTML file to write the report to.')

#: Maximum number of jobs that one call may submit.
_MAX_JOBS = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class JobEntry:
    """
    Entry of a job file: one or more identical jobs.

    :param cpu: CPU cores of one job.
    :param memory_mb: memory of one job, in MB.
    :param accelerators: accelerators of one job.
    :param count: number of jobs to submit.
    """

    name: str
    team: str
    command: str
    cpu: float
    memory_mb: int
    accelerators: int = 0
    urgency: int = 1
    count: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class JobFile:
    """
    Content of a job file.

    :param data_centre: data centre to submit the jobs to; empty for that of
        the entry instance.
    """

    jobs: tuple[JobEntry, ...] = field(default_factory=tuple)
    data_centre: str = ''


class Actions:
    """
    Commands of the command line.

    Each command writes its result or an error message and returns the exit
    status of the process.

    :param client: client of the entry instance.
    :param is_json: whether to print JSON instead of tables.
    """

    def __init__(self, *, client: OperatorClient, is_json: bool) -> None:
        """Create the commands; nothing is called yet."""
        self._client = client
        self._is_json = is_json

    def show_questionnaire(self) -> ExitStatus:
        """
        Print the blank questionnaire.

        :returns: exit status.
        """
        write_line(BLANK_QUESTIONNAIRE.rstrip())
        return ExitStatus.DONE

    def generate_configuration(self, path: str) -> ExitStatus:
        """
        Print the configuration generated from a completed questionnaire.

        The token of the new team is written to standard error.

        :param path: TOML file with the answers.
        :returns: exit status.
        """
        text = read_text(path)
        if isinstance(text, SettingsError):
            return _report_settings_error(text)
        answers = parse_answers(text, path)
        if isinstance(answers, SettingsError):
            return _report_settings_error(answers)
        base: Configuration | SettingsError | None = None
        if _BASE.value:
            base = _read_configuration(_BASE.value)
        if isinstance(base, SettingsError):
            return _report_settings_error(base)
        generated = generate_configuration(answers, base)
        checked = parse_configuration(generated.text, path)
        if isinstance(checked, SettingsError):
            return _report_settings_error(checked)
        write_line(generated.text.rstrip())
        write_error(
            f'token of team {answers.team!r}, shown once: {generated.token}',
        )
        return ExitStatus.DONE

    def check_configuration(self, path: str) -> ExitStatus:
        """
        Validate a configuration without calling an instance.

        :param path: the TOML file.
        :returns: exit status.
        """
        configuration = _read_configuration(path)
        if isinstance(configuration, SettingsError):
            return _report_settings_error(configuration)
        write_line(
            f'{path}: {len(configuration.data_centres)} data centres, '
            f'{len(configuration.services)} services, '
            f'{len(configuration.teams)} teams',
        )
        return ExitStatus.DONE

    def accept_configuration(self, path: str) -> ExitStatus:
        """
        Put a configuration in force.

        :param path: the TOML file.
        :returns: exit status.
        """
        text = read_text(path)
        if isinstance(text, SettingsError):
            return _report_settings_error(text)
        checked = parse_configuration(text, path)
        if isinstance(checked, SettingsError):
            return _report_settings_error(checked)
        return self._call(
            'POST',
            'configuration',
            {'text': text, 'expected_version': _FROM_VERSION.value},
            lambda document: write_line(
                f'version {document["version"]} is accepted',
            ),
        )

    def show_configuration(self) -> ExitStatus:
        """
        Print the configuration in force.

        :returns: exit status.
        """
        return self._call(
            'GET',
            'configuration',
            None,
            lambda document: write_line(
                f'# version {document["version"]}\n{document["text"]}',
            ),
        )

    def show_versions(self) -> ExitStatus:
        """
        List the configuration version in force on each instance.

        :returns: exit status.
        """
        return self._call(
            'GET',
            'configuration',
            None,
            lambda document: write_table(
                ('instance', 'version'),
                sorted(document['in_force'].items()),
            ),
        )

    def submit_jobs(self, path: str) -> ExitStatus:
        """
        Submit the jobs of a file.

        :param path: the TOML file.
        :returns: exit status.
        """
        text = read_text(path)
        if isinstance(text, SettingsError):
            return _report_settings_error(text)
        job_file = parse_toml(text, JobFile, path)
        if isinstance(job_file, SettingsError):
            return _report_settings_error(job_file)
        specs = [
            _make_job_spec(entry)
            for entry in job_file.jobs
            for _ in range(entry.count)
        ]
        if not 0 < len(specs) <= _MAX_JOBS:
            write_error(
                f'{path}: {len(specs)} jobs, expected 1 to {_MAX_JOBS}',
            )
            return ExitStatus.USAGE
        return self._call(
            'POST',
            'jobs',
            {'jobs': specs, 'data_centre': job_file.data_centre},
            lambda document: write_line('\n'.join(document['jobs'])),
        )

    def list_jobs(self) -> ExitStatus:
        """
        List jobs.

        :returns: exit status.
        """
        return self._call('GET', 'jobs', None, _write_jobs)

    def show_job(self, job_id: str) -> ExitStatus:
        """
        Show one job.

        :param job_id: ID of the job.
        :returns: exit status.
        """
        path = f'jobs/{quote(job_id, safe="")}'
        return self._call('GET', path, None, write_json)

    def cancel_job(self, job_id: str) -> ExitStatus:
        """
        Cancel one job.

        :param job_id: ID of the job.
        :returns: exit status.
        """
        return self._call(
            'DELETE',
            f'jobs/{quote(job_id, safe="")}',
            None,
            lambda document: write_line(
                f'{document["job_id"]}: cancellation requested, state '
                f'{document["state"]}',
            ),
        )

    def list_workers(self) -> ExitStatus:
        """
        List workers.

        :returns: exit status.
        """
        return self._call('GET', 'workers', None, _write_workers)

    def drain_worker(self, worker_id: str) -> ExitStatus:
        """
        Assign no new jobs to a worker.

        :param worker_id: ID of the worker.
        :returns: exit status.
        """
        return self._set_draining(worker_id, 'drain')

    def undrain_worker(self, worker_id: str) -> ExitStatus:
        """
        Assign jobs to a worker again.

        :param worker_id: ID of the worker.
        :returns: exit status.
        """
        return self._set_draining(worker_id, 'undrain')

    def list_targets(self) -> ExitStatus:
        """
        List the targets known to the entry instance.

        :returns: exit status.
        """
        return self._call('GET', 'targets', None, _write_targets)

    def list_instances(self) -> ExitStatus:
        """
        List entry instances.

        :returns: exit status.
        """
        return self._call('GET', 'instances', None, _write_instances)

    def report_burn_rates(self) -> ExitStatus:
        """
        Report burn rates of the error budgets by team and service.

        :returns: exit status.
        """
        outcome = self._client.call('GET', 'burn')
        if not isinstance(outcome, CallSucceeded):
            return report_failure(outcome)
        buckets = _decode_buckets(outcome.document['rows'])
        now = outcome.document['now']
        burns = compute_burn_rates(buckets, outcome.document['objectives'], now)
        if self._is_json:
            write_json(burns)
        else:
            write_line(format_burn_report(burns))
        if not _HTML.value:
            return ExitStatus.DONE
        page = render_burn_page(burns, buckets, int(now) // BUCKET_S)
        try:
            Path(_HTML.value).write_text(page, encoding='utf-8')
        except OSError as error:
            write_error(f'--html {_HTML.value!r}: {error.strerror}')
            return ExitStatus.USAGE
        return ExitStatus.DONE

    def _set_draining(self, worker_id: str, action: str) -> ExitStatus:
        return self._call(
            'POST',
            f'workers/{quote(worker_id, safe="")}/{action}',
            None,
            lambda document: write_line(
                f'{document["worker_id"]}: draining '
                f'{str(document["is_draining"]).lower()}',
            ),
        )

    def _call(
        self,
        method: str,
        path: str,
        document: Any,
        write_result: Callable[[Any], None],
    ) -> ExitStatus:
        outcome = self._client.call(method, path, document)
        if not isinstance(outcome, CallSucceeded):
            return report_failure(outcome)
        if self._is_json:
            write_json(outcome.document)
        else:
            write_result(outcome.document)
        return ExitStatus.DONE


def _read_configuration(path: str) -> Configuration | SettingsError:
    text = read_text(path)
    if isinstance(text, SettingsError):
        return text
    return parse_configuration(text, path)


def _report_settings_error(error: SettingsError) -> ExitStatus:
    write_error(error.text())
    return ExitStatus.USAGE


def _make_job_spec(entry: JobEntry) -> JobSpec:
    return JobSpec(
        name=entry.name,
        team=entry.team,
        resources=Resources(
            cpu=entry.cpu,
            memory_mb=entry.memory_mb,
            accelerators=entry.accelerators,
        ),
        command=entry.command,
        urgency=entry.urgency,
    )


def _decode_buckets(rows: list[Any]) -> tuple[BurnBucket, ...]:
    buckets: list[BurnBucket] = []
    for body in rows:
        row = from_document(body, BurnRow)
        if isinstance(row, Malformed):
            write_error(f'skipped a malformed report row: {row.reason}')
            continue
        buckets.extend(row.buckets)
    return tuple(buckets)


def _write_jobs(document: Any) -> None:
    rows = [
        (
            job['job_id'],
            job['spec']['name'],
            job['spec']['team'],
            job['state'],
            job['worker'] or '-',
            job['evictions'],
            job['reason'] or '-',
        )
        for job in document['jobs']
        if _TEAM.value in {'', job['spec']['team']}
        and _STATE.value in {None, job['state']}
    ]
    write_table(
        ('job', 'name', 'team', 'state', 'worker', 'evictions', 'reason'),
        rows,
    )


def _write_workers(document: Any) -> None:
    rows = []
    for worker in document['workers']:
        granted_cpu = sum(
            grant['resources']['cpu'] for grant in worker['grants'].values()
        )
        rows.append(
            (
                worker['worker_id'],
                f'{granted_cpu:g}/{worker["capacity"]["cpu"]:g}',
                len(worker['grants']),
                len(worker['failures']),
                _describe_worker_state(worker),
            )
        )
    write_table(('worker', 'cpu', 'jobs', 'failures', 'state'), rows)


def _describe_worker_state(worker: Any) -> str:
    if worker['is_quarantined']:
        return 'quarantined'
    if worker['is_draining']:
        return 'draining'
    return 'on trial' if worker['quarantines'] else 'open'


def _write_targets(document: Any) -> None:
    rows = [
        (
            target['target_id'],
            target['service'],
            target['data_centre'],
            target['state'],
            f'{target["in_use"]}/{target["share"]}',
            f'{target["ejected_for_s"]:.1f}',
        )
        for target in document['targets']
    ]
    write_table(
        ('target', 'service', 'data centre', 'state', 'slots', 'ejected s'),
        rows,
    )


def _write_instances(document: Any) -> None:
    rows = [
        (
            instance['instance_id'],
            instance['data_centre'],
            instance['configuration_version'],
            len(instance['seats']),
            f'{instance["silent_s"]:.1f}',
            'leaving' if instance['is_leaving'] else 'live',
            'yes' if instance['is_store_reachable'] else 'no',
        )
        for instance in document['instances']
    ]
    write_table(
        (
            'instance',
            'data centre',
            'version',
            'seats',
            'silent s',
            'state',
            'platform',
        ),
        rows,
    )

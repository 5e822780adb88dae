"""Command line for operators: ``ragwortfield GROUP ACTION [ARGUMENT]``."""

import os
import sys
from collections.abc import Callable
from dataclasses import dataclass

from absl import app, flags

from ragwortfield.command.actions import Actions
from ragwortfield.command.client import OperatorClient
from ragwortfield.command.explain import ExplainActions
from ragwortfield.command.output import ExitStatus, write_error, write_line
from ragwortfield.settings.instance import split_address

_ENTRY = flags.DEFINE_string(
    'entry',
    os.environ.get('RAGWORTFIELD_ENTRY', '127.0.0.1:8080'),
    'HOST:PORT of an entry instance; default from RAGWORTFIELD_ENTRY.',
)
_TOKEN_FILE = flags.DEFINE_string(
    'token_file',
    '',
    'File with the operator token; without it, the token is taken from '
    'RAGWORTFIELD_OPERATOR_TOKEN.',
)
_INSTANCE = flags.DEFINE_string(
    'instance',
    os.environ.get('RAGWORTFIELD_INSTANCE', '127.0.0.1:9080'),
    'HOST:PORT of the health address of a scheduler instance; default from '
    'RAGWORTFIELD_INSTANCE.',
)
_JSON = flags.DEFINE_bool('json', False, 'Print JSON instead of tables.')

_HELP = """\
usage: ragwortfield [FLAGS] GROUP ACTION [ARGUMENT]

configuration
  config questionnaire        print the questionnaire for a new team
  config generate ANSWERS     generate a configuration from the answers
                              (--base FILE: configuration to add the team to)
  config check FILE           validate a configuration without an instance
  config accept FILE          put a configuration in force
                              (--from_version N: version that was changed)
  config show                 print the configuration in force
  config where                list the version in force on each instance

batch jobs
  jobs submit FILE            submit the jobs of a TOML file
  jobs list                   list jobs (--team NAME, --state STATE)
  jobs show JOB               show one job
  jobs cancel JOB             cancel one job

machines
  workers list                list workers with their jobs and states
  workers drain WORKER        assign no new jobs to a worker
  workers undrain WORKER      assign jobs to a worker again
  targets list                list the targets known to the entry instance
  instances list              list entry instances and their seats

job scheduler
  explain request FILE        where the request with this body would go now,
                              and why, without sending it
                              (--to HOST/PATH: where it would be sent)
  explain job JOB             the same for the waiting tasks of a job

report
  report burn                 burn rate of the error budget by team and
                              service
                              (--html FILE: also write a page with a plot)

flags
  --entry HOST:PORT           entry instance to call (or RAGWORTFIELD_ENTRY)
  --instance HOST:PORT        health address of a scheduler instance, for
                              explain (or RAGWORTFIELD_INSTANCE)
  --token_file FILE           operator token (or RAGWORTFIELD_OPERATOR_TOKEN)
  --json                      print JSON instead of tables

exit status
  0 done   1 refused   2 usage error or invalid file   3 no response
  4 conflict with another change   5 outcome unknown, check before repeating
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Command:
    """
    Command with the function that runs it.

    :param run: function that runs the command.
    :param has_argument: whether the command takes exactly one argument; it
        takes none otherwise.
    """

    run: Callable[..., ExitStatus]
    has_argument: bool = False


def main(arguments: list[str]) -> int:
    """
    Run one command.

    :param arguments: program name and positional arguments.
    :returns: exit status.
    """
    words = arguments[1:]
    if not words or words[0] == 'help':
        write_line(_HELP.rstrip())
        return ExitStatus.DONE if words else ExitStatus.USAGE
    for name, address in (
        ('entry', _ENTRY.value),
        ('instance', _INSTANCE.value),
    ):
        if split_address(address) is None:
            write_error(f'--{name} is {address!r}, expected HOST:PORT')
            return ExitStatus.USAGE
    token = _load_token()
    if token is None:
        return ExitStatus.USAGE
    client = OperatorClient(address=_ENTRY.value, token=token)
    actions = Actions(client=client, is_json=_JSON.value)
    explain_actions = ExplainActions(
        client=OperatorClient(address=_INSTANCE.value, token=''),
        is_json=_JSON.value,
    )
    commands = _list_commands(actions) | _list_explain_commands(explain_actions)
    return _run_command(commands, words)


def run() -> None:
    """Entry point of the command line."""
    if '--help' in sys.argv or '-h' in sys.argv:
        write_line(_HELP.rstrip())
        return
    flags.FLAGS.set_gnu_getopt(gnu_getopt=True)
    app.run(main, flags_parser=_parse_flags)


def _parse_flags(arguments: list[str]) -> list[str]:
    try:
        return list(flags.FLAGS(arguments))
    except flags.Error as error:
        write_error(str(error))
        sys.exit(ExitStatus.USAGE)


def _list_commands(actions: Actions) -> dict[tuple[str, str], _Command]:
    return {
        ('config', 'questionnaire'): _Command(run=actions.show_questionnaire),
        ('config', 'generate'): _Command(
            run=actions.generate_configuration,
            has_argument=True,
        ),
        ('config', 'check'): _Command(
            run=actions.check_configuration,
            has_argument=True,
        ),
        ('config', 'accept'): _Command(
            run=actions.accept_configuration,
            has_argument=True,
        ),
        ('config', 'show'): _Command(run=actions.show_configuration),
        ('config', 'where'): _Command(run=actions.show_versions),
        ('jobs', 'submit'): _Command(
            run=actions.submit_jobs,
            has_argument=True,
        ),
        ('jobs', 'list'): _Command(run=actions.list_jobs),
        ('jobs', 'show'): _Command(run=actions.show_job, has_argument=True),
        ('jobs', 'cancel'): _Command(
            run=actions.cancel_job,
            has_argument=True,
        ),
        ('workers', 'list'): _Command(run=actions.list_workers),
        ('workers', 'drain'): _Command(
            run=actions.drain_worker,
            has_argument=True,
        ),
        ('workers', 'undrain'): _Command(
            run=actions.undrain_worker,
            has_argument=True,
        ),
        ('targets', 'list'): _Command(run=actions.list_targets),
        ('instances', 'list'): _Command(run=actions.list_instances),
        ('report', 'burn'): _Command(run=actions.report_burn_rates),
    }


def _list_explain_commands(
    actions: ExplainActions,
) -> dict[tuple[str, str], _Command]:
    return {
        ('explain', 'request'): _Command(
            run=actions.explain_request, has_argument=True
        ),
        ('explain', 'job'): _Command(
            run=actions.explain_job, has_argument=True
        ),
    }


def _run_command(
    command_by_name: dict[tuple[str, str], _Command],
    words: list[str],
) -> int:
    name = (words[0], words[1] if len(words) > 1 else '')
    command = command_by_name.get(name)
    if command is None:
        known = ', '.join(
            ' '.join(known_name) for known_name in command_by_name
        )
        write_error(f'{" ".join(words)!r} is unknown, expected one of {known}')
        return ExitStatus.USAGE
    arguments = words[2:]
    expected = 1 if command.has_argument else 0
    if len(arguments) != expected:
        write_error(
            f'{" ".join(name)!r} takes {expected} arguments, got '
            f'{len(arguments)}',
        )
        return ExitStatus.USAGE
    return command.run(*arguments)


def _load_token() -> str | None:
    if not _TOKEN_FILE.value:
        return os.environ.get('RAGWORTFIELD_OPERATOR_TOKEN', '')
    try:
        with open(_TOKEN_FILE.value, encoding='utf-8') as token_file:
            return token_file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        write_error(f'--token_file {_TOKEN_FILE.value!r}: {error}')
        return None


if __name__ == '__main__':
    run()

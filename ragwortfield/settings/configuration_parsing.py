"""Parsing and validation of the configuration of a deployment."""

import re

from ragwortfield.core.configuration import Configuration
from ragwortfield.settings.toml_parsing import SettingsError, parse_toml

_SHA256_HEX_LENGTH = 64
#: Team names are sent in a header field and are part of row keys, so only
#: characters that are valid in both are allowed.
_TEAM_NAME = re.compile('[A-Za-z0-9._-]+')


def parse_configuration(
    text: str,
    source: str,
) -> Configuration | SettingsError:
    """
    Parse and validate the configuration of a deployment.

    :param text: the TOML text.
    :param source: path of the file, for error messages.
    :returns: the configuration, or all problems that were found.
    """
    configuration = parse_toml(text, Configuration, source)
    if isinstance(configuration, SettingsError):
        return configuration
    problems = (
        *_check_data_centres(configuration),
        *_check_services(configuration),
        *_check_teams(configuration),
        *_check_timing(configuration),
    )
    if problems:
        return SettingsError(source=source, problems=problems)
    return configuration


def _check_data_centres(configuration: Configuration) -> list[str]:
    problems = []
    if not configuration.data_centres:
        problems.append(
            "table 'data_centres' is empty, expected at least one data centre"
        )
    for name, data_centre in configuration.data_centres.items():
        if data_centre.seats < 1:
            problems.append(
                f"key 'data_centres.{name}.seats' is {data_centre.seats}, "
                'expected at least 1',
            )
        if not name or ':' in name or '/' in name:
            problems.append(
                f"name {name!r} in 'data_centres' must not be empty or "
                "contain ':' or '/'",
            )
    return problems


def _check_services(configuration: Configuration) -> list[str]:
    problems = []
    for name, service in configuration.services.items():
        amount_by_key = {
            'slots': service.slots,
            'connections': service.connections,
            'deadline_s': service.deadline_s,
            'first_byte_timeout_s': service.first_byte_timeout_s,
            'objective_ms': service.objective_ms,
        }
        problems.extend(
            f"key 'services.{name}.{key}' is {amount}, expected more than 0"
            for key, amount in amount_by_key.items()
            if amount <= 0
        )
        if service.connections < service.slots:
            problems.append(
                f"key 'services.{name}.connections' is "
                f'{service.connections}, expected at least its '
                f'{service.slots} slots',
            )
        if not 0 < service.objective_share < 1:
            problems.append(
                f"key 'services.{name}.objective_share' is "
                f'{service.objective_share}, expected between 0 and 1',
            )
    return problems


def _check_teams(configuration: Configuration) -> list[str]:
    problems = []
    for name, team in configuration.teams.items():
        if not _is_sha256(team.token_sha256):
            problems.append(
                f"key 'teams.{name}.token_sha256' has "
                f'{len(team.token_sha256)} characters, expected '
                f'{_SHA256_HEX_LENGTH} lower-case hexadecimal digits',
            )
        if team.requests_per_s <= 0 or team.burst_s <= 0:
            problems.append(
                f"keys 'requests_per_s' and 'burst_s' of 'teams.{name}' are "
                f'{team.requests_per_s} and {team.burst_s}, expected more '
                'than 0',
            )
        if not _TEAM_NAME.fullmatch(name):
            problems.append(
                f"name {name!r} in 'teams' has invalid characters, expected "
                "only ASCII letters, digits, '-', '_' and '.'",
            )
    return problems


def _check_timing(configuration: Configuration) -> list[str]:
    timing = configuration.timing
    problems = []
    longest_deadline_s = max(
        (service.deadline_s for service in configuration.services.values()),
        default=0,
    )
    if timing.seat_lease_s <= 0 or timing.task_lease_s <= 0:
        problems.append(
            f"keys 'timing.seat_lease_s' and 'timing.task_lease_s' are "
            f'{timing.seat_lease_s} and {timing.task_lease_s}, expected '
            'more than 0',
        )
    if timing.takeover_after_s < longest_deadline_s:
        problems.append(
            f"key 'timing.takeover_after_s' is {timing.takeover_after_s}, "
            f'expected at least the longest deadline_s of the services, '
            f'{longest_deadline_s}',
        )
    if timing.clock_bound_s < 0:
        problems.append(
            f"key 'timing.clock_bound_s' is {timing.clock_bound_s}, "
            'expected at least 0',
        )
    return problems


def _is_sha256(text: str) -> bool:
    is_hexadecimal = all(char in '0123456789abcdef' for char in text)
    return len(text) == _SHA256_HEX_LENGTH and is_hexadecimal

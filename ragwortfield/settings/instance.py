"""Settings of one entry instance."""

import os
import re
from dataclasses import dataclass, field
from pathlib import Path

from ragwortfield.settings.toml_parsing import SettingsError, parse_toml
from ragwortfield.types import Seconds

#: Minimum length of a secret, in characters.
_MIN_SECRET_LENGTH = 16
#: Port in decimal ASCII digits; ``int`` cannot read all other digits, nor any
#: number of them.
_PORT_PATTERN = re.compile('[1-9][0-9]{0,4}')


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceTable:
    """
    Identity, location and addresses of the instance.

    :param http_address: host and port that serve callers and operators.
    :param peer_address: host and port that serve other entry instances.
    """

    id: str
    data_centre: str
    region: str
    http_address: str
    peer_address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformTable:
    """
    Connection to the platform.

    :param address: host and port of the platform.
    :param timeout_s: longest wait for a response, in seconds.
    """

    address: str
    timeout_s: Seconds = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class SecretsTable:
    """
    Sources of the secrets.

    A secret is read from its file if one is named, otherwise from its
    environment variable.

    :param peer_token_file: file with the secret that all entry instances
        share.
    :param peer_token_variable: environment variable with that secret.
    :param operator_token_file: file with the secret of the operators.
    :param operator_token_variable: environment variable with that secret.
    """

    peer_token_file: str = ''
    peer_token_variable: str = 'RAGWORTFIELD_PEER_TOKEN'
    operator_token_file: str = ''
    operator_token_variable: str = 'RAGWORTFIELD_OPERATOR_TOKEN'


@dataclass(frozen=True, kw_only=True, slots=True)
class PeersTable:
    """
    Peers to contact while the platform's list of instances is unavailable.

    :param seeds: peer addresses of other instances, as host and port.
    """

    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitsTable:
    """
    Limits of callers' requests.

    :param body_bytes: maximum size of a request body, in bytes.
    :param deferred_body_bytes: maximum body size of a deferred request, in
        bytes.
    :param requests: maximum number of concurrent requests.
    """

    body_bytes: int = 4 * 1024 * 1024
    deferred_body_bytes: int = 64 * 1024
    requests: int = 2000


@dataclass(frozen=True, kw_only=True, slots=True)
class LogTable:
    """Log level: ``debug``, ``info``, ``warning`` or ``error``."""

    level: str = 'info'


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceSettings:
    """All settings of one entry instance."""

    instance: InstanceTable
    platform: PlatformTable
    secrets: SecretsTable = field(default_factory=SecretsTable)
    peers: PeersTable = field(default_factory=PeersTable)
    limits: LimitsTable = field(default_factory=LimitsTable)
    log: LogTable = field(default_factory=LogTable)


@dataclass(frozen=True, kw_only=True, slots=True)
class Secrets:
    """Secrets of one entry instance. Never logged, so ``repr`` hides them."""

    peer_token: str = field(repr=False)
    operator_token: str = field(repr=False)


def load_settings(path: str) -> InstanceSettings | SettingsError:
    """
    Load and validate the settings of an entry instance.

    :param path: path of the TOML file.
    :returns: the settings, or all problems that were found.
    """
    text = read_text(path)
    if isinstance(text, SettingsError):
        return text
    settings = parse_toml(text, InstanceSettings, path)
    if isinstance(settings, SettingsError):
        return settings
    problems = tuple(_check_settings(settings))
    if problems:
        return SettingsError(source=path, problems=problems)
    return settings


def load_secrets(table: SecretsTable) -> Secrets | SettingsError:
    """
    Load the secrets from the sources named in the settings.

    :param table: sources of the secrets.
    :returns: the secrets, or the first one that is missing or too short.
    """
    peer_token = _load_secret(
        'peer_token',
        table.peer_token_file,
        table.peer_token_variable,
    )
    if isinstance(peer_token, SettingsError):
        return peer_token
    operator_token = _load_secret(
        'operator_token',
        table.operator_token_file,
        table.operator_token_variable,
    )
    if isinstance(operator_token, SettingsError):
        return operator_token
    return Secrets(peer_token=peer_token, operator_token=operator_token)


def read_text(path: str) -> str | SettingsError:
    """
    Read a UTF-8 text file.

    :param path: path of the file.
    :returns: its text, or why it cannot be read.
    """
    try:
        return Path(path).read_text(encoding='utf-8')
    except OSError as error:
        problem = f'file cannot be read: {error.strerror}'
    except UnicodeDecodeError as error:
        problem = f'file is not UTF-8: {error.reason} at byte {error.start}'
    return SettingsError(source=path, problems=(problem,))


def split_address(address: str) -> tuple[str, int] | None:
    """
    Split an address into host and port.

    :param address: address of the form ``HOST:PORT``.
    :returns: host and port, or ``None`` if the address is invalid.
    """
    host, _, port = address.rpartition(':')
    if not host or _PORT_PATTERN.fullmatch(port) is None:
        return None
    number = int(port)
    return (host, number) if number < 2**16 else None


def _check_settings(settings: InstanceSettings) -> list[str]:
    address_by_key = {
        'instance.http_address': settings.instance.http_address,
        'instance.peer_address': settings.instance.peer_address,
        'platform.address': settings.platform.address,
    }
    for index, seed in enumerate(settings.peers.seeds):
        address_by_key[f'peers.seeds[{index}]'] = seed
    problems = [
        f'key {key!r} is {address!r}, expected HOST:PORT'
        for key, address in address_by_key.items()
        if split_address(address) is None
    ]
    if settings.platform.timeout_s <= 0:
        problems.append(
            f"key 'platform.timeout_s' is {settings.platform.timeout_s!r}, "
            'expected more than 0',
        )
    levels = ('debug', 'info', 'warning', 'error')
    if settings.log.level not in levels:
        problems.append(
            f"key 'log.level' is {settings.log.level!r}, expected one of "
            + ', '.join(levels),
        )
    return problems


def _load_secret(
    name: str,
    path: str,
    variable: str,
) -> str | SettingsError:
    if path:
        text = read_text(path)
        if isinstance(text, SettingsError):
            return text
        source = path
    else:
        text = os.environ.get(variable, '')
        source = f'environment variable {variable}'
    secret = text.strip()
    if len(secret) < _MIN_SECRET_LENGTH:
        return SettingsError(
            source=source,
            problems=(
                f'secret {name!r} has {len(secret)} characters, expected at '
                f'least {_MIN_SECRET_LENGTH}',
            ),
        )
    return secret

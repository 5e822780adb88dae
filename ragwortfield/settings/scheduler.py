"""Settings of the job scheduler's daemon."""

from dataclasses import dataclass, field
from pathlib import Path

from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.settings.toml_parsing import SettingsError, parse_toml
from ragwortfield.settings.instance import split_address
from ragwortfield.types import Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceTable:
    """
    Name and place of the instance.

    :param cores: processor that it has, in cores.
    :param core_speed: speed of these cores, as a multiple of a plain one's.
    """

    id: str
    data_centre: str
    region: str
    host: str
    cores: float = 1
    core_speed: float = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class ListenTable:
    """
    Addresses on which the daemon serves.

    :param callers: for callers.
    :param health: for the balancer's checks and for metrics.
    :param peer_port: port of the instance's host for peers.
    """

    callers: str
    health: str
    peer_port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DependenciesTable:
    """
    Addresses of what the scheduler stands on.

    :param store: the platform's store.
    :param machines: service that lists and moves machines; empty for none.
    :param advice: service that approves workers; empty for none.
    """

    store: str
    machines: str = ''
    advice: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StoppingTable:
    """
    Planned stop.

    :param grace_s: time until the process is killed, in seconds.
    """

    grace_s: Seconds = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerSettings:
    """Settings of one instance."""

    instance: InstanceTable
    listen: ListenTable
    dependencies: DependenciesTable
    bounds: TimingBounds = field(default_factory=TimingBounds)
    stopping: StoppingTable = field(default_factory=StoppingTable)


def load_scheduler_settings(path: str) -> SchedulerSettings | SettingsError:
    """
    Read and check a settings file.

    :param path: path of the TOML file.
    :returns: the settings, or everything that is wrong with them.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return SettingsError(source=path, problems=(f'not readable: {error}',))
    settings = parse_toml(text, SchedulerSettings, path)
    if isinstance(settings, SettingsError):
        return settings
    problems = _problems(settings)
    if problems:
        return SettingsError(source=path, problems=tuple(problems))
    return settings


def _problems(settings: SchedulerSettings) -> list[str]:
    address_by_key = {
        'listen.callers': settings.listen.callers,
        'listen.health': settings.listen.health,
        'dependencies.store': settings.dependencies.store,
    }
    optional = {
        'dependencies.machines': settings.dependencies.machines,
        'dependencies.advice': settings.dependencies.advice,
    }
    address_by_key.update({key: text for key, text in optional.items() if text})
    problems = [
        f'key {key!r} is {address!r}, expected HOST:PORT'
        for key, address in address_by_key.items()
        if split_address(address) is None
    ]
    bounds = settings.bounds
    for key in ('lease_s', 'longest_lease_ms', 'start_window_s', 'status_s'):
        if getattr(bounds, key) <= 0:
            problems.append(
                f"key 'bounds.{key}' is {getattr(bounds, key)}, "
                'expected above 0',
            )
    for key in ('cores', 'core_speed'):
        amount = getattr(settings.instance, key)
        if amount <= 0:
            problems.append(
                f"key 'instance.{key}' is {amount}, expected above 0",
            )
    return problems

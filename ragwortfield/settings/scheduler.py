"""Settings of one instance of the job scheduler."""

from dataclasses import dataclass, field
from pathlib import Path

from ragwortfield.scheduling.scheduling_settings import (
    SchedulingSettings,
    find_setting_problems,
)
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.settings.instance import split_address
from ragwortfield.settings.toml_parsing import SettingsError, parse_toml
from ragwortfield.types import Seconds

#: Lowest and highest memory of a machine, in MiB.
_MEMORY_BOUNDS_MB = (64, 1_048_576)


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerInstanceTable:
    """
    Identity, location and CPU capacity of the instance.

    :param host: host name or IP address of the instance.
    :param cores: number of CPU cores available to the instance.
    :param core_speed: speed of these cores relative to a reference core.
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
    Addresses and ports on which the instance listens.

    :param callers: host and port that serve callers.
    :param health: host and port that serve the load balancer's health checks
        and the metrics.
    :param peer_port: port that serves peers, on the host of the instance.
    """

    callers: str
    health: str
    peer_port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DependenciesTable:
    """
    Addresses of the services that the scheduler depends on.

    :param store: the platform's store.
    :param machines: service that lists and moves machines; empty if there is
        none.
    :param advice: service that approves workers; empty if there is none.
    """

    store: str
    machines: str = ''
    advice: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StoppingTable:
    """
    Graceful shutdown of the process.

    :param grace_s: time from the stop signal until the process is killed, in
        seconds.
    """

    grace_s: Seconds = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientsTable:
    """
    Protection against clients outside the limits.

    :param memory_mb: memory of the machine, in MiB; the bounds of the bytes
        and connections of all clients follow from it.
    """

    memory_mb: float = 512


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerSettings:
    """All settings of one instance of the job scheduler."""

    instance: SchedulerInstanceTable
    listen: ListenTable
    dependencies: DependenciesTable
    bounds: TimingBounds = field(default_factory=TimingBounds)
    stopping: StoppingTable = field(default_factory=StoppingTable)
    scheduling: SchedulingSettings = field(default_factory=SchedulingSettings)
    clients: ClientsTable = field(default_factory=ClientsTable)


def load_scheduler_settings(path: str) -> SchedulerSettings | SettingsError:
    """
    Load and validate the settings of a scheduler instance.

    :param path: path of the TOML file.
    :returns: the settings, or all problems that were found.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return SettingsError(
            source=path, problems=(f'file cannot be read: {error}',)
        )
    settings = parse_toml(text, SchedulerSettings, path)
    if isinstance(settings, SettingsError):
        return settings
    problems = _check_settings(settings)
    if problems:
        return SettingsError(source=path, problems=tuple(problems))
    return settings


def _check_settings(settings: SchedulerSettings) -> list[str]:
    address_by_key = {
        'listen.callers': settings.listen.callers,
        'listen.health': settings.listen.health,
        'dependencies.store': settings.dependencies.store,
    }
    optional_address_by_key = {
        'dependencies.machines': settings.dependencies.machines,
        'dependencies.advice': settings.dependencies.advice,
    }
    address_by_key.update(
        {
            key: optional_address
            for key, optional_address in optional_address_by_key.items()
            if optional_address
        }
    )
    problems = [
        f'key {key!r} is {address!r}, expected HOST:PORT'
        for key, address in address_by_key.items()
        if split_address(address) is None
    ]
    bounds = settings.bounds
    for key in (
        'lease_s',
        'longest_lease_ms',
        'start_window_s',
        'status_s',
        'inbox_age_s',
        'evacuation_age_s',
    ):
        if getattr(bounds, key) <= 0:
            problems.append(
                f"key 'bounds.{key}' is {getattr(bounds, key)}, "
                'expected above 0',
            )
    if bounds.longest_evacuation_age_s() <= 0 < bounds.evacuation_age_s:
        problems.append(
            f"key 'bounds.evacuate_ms' is {bounds.evacuate_ms}, expected "
            'above start_window_s plus 2 %',
        )
    for key in ('cores', 'core_speed'):
        amount = getattr(settings.instance, key)
        if amount <= 0:
            problems.append(
                f"key 'instance.{key}' is {amount}, expected above 0",
            )
    lowest, highest = _MEMORY_BOUNDS_MB
    if not lowest <= settings.clients.memory_mb <= highest:
        problems.append(
            f"key 'clients.memory_mb' is {settings.clients.memory_mb}, "
            f'expected {lowest} to {highest}',
        )
    problems.extend(find_setting_problems(settings.scheduling))
    return problems

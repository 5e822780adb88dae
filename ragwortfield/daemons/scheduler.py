"""The daemon of the job scheduler: ``ragwortfield-scheduler``."""

# Sockets must be patched before any other module imports them.
from gevent import monkey

monkey.patch_all()

import gc
import logging as stdlib_logging
import secrets
import signal
import sys
import time

import gevent
from absl import app, flags, logging
from gevent.event import Event

from ragwortfield.engine.ownership import SchedulerIdentity
from ragwortfield.engine.scheduler_node import PlatformNames, SchedulerNode
from ragwortfield.front.health import HealthFront
from ragwortfield.front.server import FrontServer
from ragwortfield.log import event, route_events
from ragwortfield.log_writer import BoundedLogHandler
from ragwortfield.platform import table_names
from ragwortfield.platform.advice_client import AdviceClient
from ragwortfield.platform.settings_path import find_settings_path
from ragwortfield.platform.document_parsing import parse_catalogue, parse_worker
from ragwortfield.platform.job_api import JobApi
from ragwortfield.platform.row_store_client import RowStoreClient
from ragwortfield.platform.task_worker_client import TaskWorkerClient
from ragwortfield.settings.toml_parsing import SettingsError
from ragwortfield.settings.instance import split_address
from ragwortfield.settings.scheduler import (
    SchedulerSettings,
    load_scheduler_settings,
)
from ragwortfield.types import Seconds

#: Exit status for unusable settings.
EXIT_BAD_SETTINGS = 2
#: Connections of callers at once; descriptors allow for several thousand.
_MAX_CONNECTIONS = 2000
#: Connections to the health address at once.
_MAX_HEALTH_CONNECTIONS = 50
#: Objects allocated before the garbage collector looks at the youngest.
_GC_THRESHOLD = 50_000
#: Time between looks at the requests under way, in seconds.
_DRAIN_STEP_S: Seconds = 0.05
#: Idle time after which a drained instance stops, in seconds. The balancer
#: asks once a second and leaves an instance alone after two misses.
_DRAIN_IDLE_S: Seconds = 2.2
#: Time before the end of the grace period at which the process is gone.
_GRACE_RESERVE_S: Seconds = 1
#: Longest wait for the commits under way at a planned stop, in seconds.
_HAND_OVER_S: Seconds = 1

_SETTINGS = flags.DEFINE_string(
    'settings',
    '',
    'TOML file with the settings of this instance; by default the one that '
    'the platform names.',
)


class SchedulerDaemon:
    """
    Process of one instance, with its servers and its planned stop.

    :param settings: checked settings.
    """

    def __init__(self, *, settings: SchedulerSettings) -> None:
        """Wire the instance; ``run`` starts it."""
        self._settings = settings
        self.node = _make_node(settings)
        self._front = FrontServer(
            address=split_address(settings.listen.callers) or ('', 0),
            application=JobApi(node=self.node),
            max_connections=_MAX_CONNECTIONS,
        )
        self._health = FrontServer(
            address=split_address(settings.listen.health) or ('', 0),
            application=HealthFront(node=self.node),
            max_connections=_MAX_HEALTH_CONNECTIONS,
        )
        self._stop_requested = Event()

    def run(self) -> None:
        """Run until a planned stop has ended."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, _note_reload)
        self._front.start()
        self._health.start()
        self.node.start()
        event(
            'started',
            instance=self._settings.instance.id,
            callers=self._settings.listen.callers,
        )
        self._stop_requested.wait()
        started_at = time.monotonic()
        event('stopping', active=self.node.active)
        self.node.leave(_HAND_OVER_S)
        self._drain(started_at)
        self._front.close()
        event('stopped', active=self.node.active)

    def _drain(self, started_at: float) -> None:
        # Callers and the balancer need a moment to move on, so the server
        # goes on accepting; every answer closes its connection.
        grace_s = self._settings.stopping.grace_s - _GRACE_RESERVE_S
        idle_since = time.monotonic()
        while time.monotonic() - started_at < grace_s:
            gevent.sleep(_DRAIN_STEP_S)
            if self.node.active:
                idle_since = time.monotonic()
            if time.monotonic() - idle_since > _DRAIN_IDLE_S:
                return


def main(arguments: list[str]) -> int:
    """
    Run the daemon.

    :param arguments: command line after flag parsing.
    :returns: exit status.
    """
    path = _SETTINGS.value or find_settings_path()
    if len(arguments) > 1 or not path:
        sys.stderr.write('usage: ragwortfield-scheduler --settings FILE\n')
        return EXIT_BAD_SETTINGS
    settings = load_scheduler_settings(path)
    if isinstance(settings, SettingsError):
        sys.stderr.write(f'{settings.text()}\n')
        return EXIT_BAD_SETTINGS
    handler = _start_log()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    SchedulerDaemon(settings=settings).run()
    handler.flush()
    return 0


def run() -> None:
    """Start from the command line."""
    app.run(main)


def _make_node(settings: SchedulerSettings) -> SchedulerNode:
    instance = settings.instance
    return SchedulerNode(
        identity=SchedulerIdentity(
            instance_id=instance.id,
            incarnation=secrets.token_hex(8),
            address=f'{instance.host}:{settings.listen.peer_port}',
        ),
        data_centre=instance.data_centre,
        cores=instance.cores * instance.core_speed,
        store=RowStoreClient(address=settings.dependencies.store),
        workers=TaskWorkerClient(),
        approval_service=AdviceClient(
            address=settings.dependencies.advice,
        ),
        names=PlatformNames(
            operator_table=table_names.OPERATOR_TABLE,
            worker_table=table_names.WORKER_TABLE,
            is_configuration_row=table_names.is_configuration_row,
            parse_catalogue=parse_catalogue,
            parse_worker=parse_worker,
        ),
        bounds=settings.bounds,
    )


def _start_log() -> BoundedLogHandler:
    handler = BoundedLogHandler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold('fatal')
    root = stdlib_logging.getLogger()
    for other in tuple(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    absl_logger = logging.get_absl_logger()
    for other in tuple(absl_logger.handlers):
        absl_logger.removeHandler(other)
    stdlib_logging.getLogger('websockets').setLevel(stdlib_logging.ERROR)
    route_events(handler.take_event)
    handler.start()
    return handler


def _note_reload() -> None:
    # Nothing in the settings changes while the process lives.
    event('reload_requested')


if __name__ == '__main__':
    run()

"""Daemon of a job scheduler instance: ``ragwortfield-scheduler``."""

import signal

# The imports take up to seconds, and the default action of SIGHUP ends the
# process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# gevent must patch the sockets before any other module imports them.
from gevent import monkey

monkey.patch_all()

import gc
import secrets
import sys
import time

import gevent
from absl import app, flags, logging
from gevent.event import Event

from ragwortfield.engine.ownership import SchedulerIdentity
from ragwortfield.engine.scheduler_node import (
    OwnerSettings,
    PlatformTables,
    SchedulerNode,
)
from ragwortfield.http_api.client_guard import (
    ClientGuard,
    compute_budget_bytes,
    compute_max_connections,
)
from ragwortfield.http_api.health import HealthApplication
from ragwortfield.http_api.wsgi_server import HttpServer
from ragwortfield.log import event
from ragwortfield.log_writer import start_logging
from ragwortfield.platform import table_names
from ragwortfield.platform.approval_service_client import ApprovalServiceClient
from ragwortfield.platform.document_parsing import parse_catalogue, parse_worker
from ragwortfield.platform.explain_api import EXPLAIN_PATH, ExplainApi
from ragwortfield.platform.job_api import JobApi
from ragwortfield.platform.row_store_client import RowStoreClient
from ragwortfield.platform.settings_path import find_settings_path
from ragwortfield.platform.task_worker_client import TaskWorkerClient
from ragwortfield.settings.instance import split_address
from ragwortfield.settings.scheduler import (
    SchedulerSettings,
    load_scheduler_settings,
)
from ragwortfield.settings.toml_parsing import SettingsError
from ragwortfield.types import MonotonicTime, Seconds

#: Exit status if the settings or the command line are invalid.
EXIT_BAD_SETTINGS = 2
#: Maximum number of concurrent connections of callers. The limit on file
#: descriptors would allow several thousand.
_MAX_CONNECTIONS = 2000
#: Maximum number of concurrent connections to the health address.
_MAX_HEALTH_CONNECTIONS = 50
#: Net number of allocated objects that triggers a garbage collection of the
#: youngest generation.
_GC_THRESHOLD = 50_000
#: Interval at which a drain checks for active requests, in seconds.
_DRAIN_POLL_INTERVAL_S: Seconds = 0.05
#: Time without active requests after which a drain ends, in seconds. The load
#: balancer checks health once a second and stops sending requests to an
#: instance after two failed checks.
_DRAIN_IDLE_S: Seconds = 2.2
#: Time before the end of the grace period at which a drain ends, in seconds.
#: Requests in progress are answered after it.
_ANSWER_TIME_S: Seconds = 2
#: Time before the end of the grace period at which the process exits, in
#: seconds. It must have exited before it is killed.
_EXIT_TIME_S: Seconds = 0.4
#: Maximum wait for pending commits at a graceful shutdown, in seconds.
_HAND_OVER_TIMEOUT_S: Seconds = 1

_SETTINGS = flags.DEFINE_string(
    'settings',
    '',
    'TOML file with the settings of this instance; by default the file that '
    'the platform names.',
)


class SchedulerDaemon:
    """
    Job scheduler instance with its HTTP servers and its graceful shutdown.

    :param settings: checked settings.
    """

    def __init__(self, *, settings: SchedulerSettings) -> None:
        """Create the components; ``run`` starts them."""
        self._settings = settings
        self.node = _create_node(settings)
        memory_mb = settings.clients.memory_mb
        caller_guard = ClientGuard(
            limits=self.node.client_limits,
            budget_bytes=compute_budget_bytes(memory_mb),
            max_connections=compute_max_connections(
                memory_mb, _MAX_CONNECTIONS
            ),
        )
        health_guard = ClientGuard(
            limits=self.node.client_limits,
            budget_bytes=0,
            max_connections=_MAX_HEALTH_CONNECTIONS,
        )
        self._caller_server = HttpServer(
            address=split_address(settings.listen.callers) or ('', 0),
            application=JobApi(node=self.node),
            max_connections=caller_guard.max_connections,
            guard=caller_guard,
        )
        self._health_server = HttpServer(
            address=split_address(settings.listen.health) or ('', 0),
            application=HealthApplication(
                node=self.node,
                application_by_path={EXPLAIN_PATH: ExplainApi(node=self.node)},
                guard_by_server={
                    'callers': caller_guard,
                    'health': health_guard,
                },
            ),
            max_connections=_MAX_HEALTH_CONNECTIONS,
            guard=health_guard,
        )
        self._stop_requested = Event()

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and stop."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, _log_reload_request)
        self._caller_server.start()
        self._health_server.start()
        self.node.start()
        event(
            'started',
            instance=self._settings.instance.id,
            callers=self._settings.listen.callers,
        )
        self._stop_requested.wait()
        stop_requested_at = time.monotonic()
        event('stopping', active=self.node.active_requests)
        self.node.leave(_HAND_OVER_TIMEOUT_S)
        is_idle = self._drain(stop_requested_at)
        event(
            'drained',
            is_idle=is_idle,
            duration_s=time.monotonic() - stop_requested_at,
            active=self.node.active_requests,
            connections=self._caller_server.count_connections(),
        )
        elapsed_s = time.monotonic() - stop_requested_at
        unanswered = self._caller_server.finish(
            self._settings.stopping.grace_s - _EXIT_TIME_S - elapsed_s
        )
        event('stopped', unanswered=unanswered)

    def _drain(self, stop_requested_at: MonotonicTime) -> bool:
        """Wait until no requests come, and return whether that happened."""
        # Each response closes its connection, but the server keeps accepting
        # new ones until callers and the load balancer use other instances.
        max_drain_s = self._settings.stopping.grace_s - _ANSWER_TIME_S
        idle_since = time.monotonic()
        while time.monotonic() - stop_requested_at < max_drain_s:
            gevent.sleep(_DRAIN_POLL_INTERVAL_S)
            if self.node.active_requests:
                idle_since = time.monotonic()
            if time.monotonic() - idle_since > _DRAIN_IDLE_S:
                return True
        return False


def main(arguments: list[str]) -> int:
    """
    Run the daemon.

    :param arguments: program name and positional arguments.
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
    start_logging(logging.INFO)
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    SchedulerDaemon(settings=settings).run()
    return 0


def run() -> None:
    """Entry point of the command line."""
    app.run(main)


def _create_node(settings: SchedulerSettings) -> SchedulerNode:
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
        make_workers=TaskWorkerClient,
        approval_service=ApprovalServiceClient(
            address=settings.dependencies.advice,
        ),
        table_names=PlatformTables(
            operator_table=table_names.OPERATOR_TABLE,
            worker_table=table_names.WORKER_TABLE,
            is_configuration_row=table_names.is_configuration_row,
            find_evacuated_zone=table_names.find_evacuated_zone,
            parse_catalogue=parse_catalogue,
            parse_worker=parse_worker,
        ),
        owner_settings=OwnerSettings(
            bounds=settings.bounds, scheduling=settings.scheduling
        ),
    )


def _log_reload_request() -> None:
    # The settings are read only at the start, so SIGHUP reloads nothing. It
    # must be handled all the same, as its default action ends the process.
    event('reload_requested')


if __name__ == '__main__':
    run()

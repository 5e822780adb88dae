"""Daemon of an entry instance: ``ragwortfield-entry --settings FILE``."""

import signal

# The imports take up to seconds, and the default action of SIGHUP ends the
# process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# gevent must patch the sockets before any other module imports them.
from gevent import monkey

monkey.patch_all()

import gc
import random
import sys

import gevent
from absl import app, flags, logging
from gevent.event import Event

from ragwortfield.adapters.platform_client import (
    PlatformClient,
    WorkerControlClient,
)
from ragwortfield.core.instance_state import InstanceIdentity
from ragwortfield.engine.entry_node import EntryNode
from ragwortfield.http_api.application import Application
from ragwortfield.http_api.caller_api import CallerApi
from ragwortfield.http_api.operator_api import OperatorApi
from ragwortfield.http_api.wsgi_server import HttpServer
from ragwortfield.log import event
from ragwortfield.log_writer import start_logging
from ragwortfield.ports.clock import SystemClock
from ragwortfield.settings.instance import (
    InstanceSettings,
    Secrets,
    load_secrets,
    load_settings,
    split_address,
)
from ragwortfield.settings.toml_parsing import SettingsError
from ragwortfield.types import Seconds

#: Exit status if the settings or the command line are invalid.
EXIT_BAD_SETTINGS = 2
#: Interval at which a drain checks for active requests, in seconds.
_DRAIN_POLL_INTERVAL_S = 0.05
#: Time without active requests after which a drain ends, in seconds.
_DRAIN_IDLE_S = 1.0
#: Maximum duration of a drain, in seconds.
_MAX_DRAIN_S = 60.0
#: Longest time for the answers to the requests that are left after a drain, in
#: seconds.
_MAX_ANSWER_TIME_S: Seconds = 10
#: Net number of allocated objects that triggers a garbage collection of the
#: youngest generation.
_GC_THRESHOLD = 50_000

_LEVEL_BY_NAME = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}

_SETTINGS = flags.DEFINE_string(
    'settings',
    '',
    'TOML file with the settings of this instance.',
)


class EntryDaemon:
    """
    Entry instance with its HTTP server and its graceful shutdown.

    :param settings: checked settings.
    :param secrets: peer and operator tokens.
    """

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        secrets: Secrets,
    ) -> None:
        """Create the components; ``run`` starts them."""
        instance = settings.instance
        self._node = EntryNode(
            identity=InstanceIdentity(
                instance_id=instance.id,
                data_centre=instance.data_centre,
                region=instance.region,
                http_address=instance.http_address,
                peer_address=instance.peer_address,
            ),
            platform=PlatformClient(
                address=settings.platform.address,
                timeout_s=settings.platform.timeout_s,
            ),
            worker_control=WorkerControlClient(
                timeout_s=settings.platform.timeout_s
            ),
            peer_token=secrets.peer_token,
            seeds=settings.peers.seeds,
            deferred_body_bytes=settings.limits.deferred_body_bytes,
            clock=SystemClock(),
            random_generator=random.SystemRandom(),
        )
        self._application = Application(
            node=self._node,
            caller_api=CallerApi(
                request_handler=self._node.request_handler,
                deferred_queue=self._node.deferred_queue,
                relay_signer=self._node.relay_signer,
                recorder=self._node.recorder,
                max_body_bytes=settings.limits.body_bytes,
            ),
            operator_api=OperatorApi(
                node=self._node,
                token=secrets.operator_token,
            ),
            max_requests=settings.limits.requests,
        )
        self._server = HttpServer(
            address=split_address(instance.http_address) or ('', 0),
            application=self._application,
            max_connections=2 * settings.limits.requests,
        )
        self._stop_requested = Event()

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and stop."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, _log_reload_request)
        self._server.start()
        self._node.start()
        event(
            'started', instance=self._node.instance_state.identity.instance_id
        )
        self._stop_requested.wait()
        self._node.announce_stop()
        self._drain()
        unanswered = self._server.finish(_MAX_ANSWER_TIME_S)
        self._node.hand_over()
        event('stopped', unanswered=unanswered)

    def _drain(self) -> None:
        # Each response closes its connection, but the server keeps accepting
        # new ones until callers and the load balancer use other instances.
        waited_s: Seconds = 0
        idle_s: Seconds = 0
        while idle_s < _DRAIN_IDLE_S and waited_s < _MAX_DRAIN_S:
            gevent.sleep(_DRAIN_POLL_INTERVAL_S)
            waited_s += _DRAIN_POLL_INTERVAL_S
            idle_s += _DRAIN_POLL_INTERVAL_S
            if self._application.active_requests:
                idle_s = 0


def main(arguments: list[str]) -> int:
    """
    Run the daemon.

    :param arguments: program name and positional arguments.
    :returns: exit status.
    """
    if len(arguments) > 1 or not _SETTINGS.value:
        sys.stderr.write('usage: ragwortfield-entry --settings FILE\n')
        return EXIT_BAD_SETTINGS
    settings = load_settings(_SETTINGS.value)
    if isinstance(settings, SettingsError):
        sys.stderr.write(f'{settings.text()}\n')
        return EXIT_BAD_SETTINGS
    secrets = load_secrets(settings.secrets)
    if isinstance(secrets, SettingsError):
        sys.stderr.write(f'{secrets.text()}\n')
        return EXIT_BAD_SETTINGS
    start_logging(_LEVEL_BY_NAME[settings.log.level])
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    EntryDaemon(settings=settings, secrets=secrets).run()
    return 0


def _log_reload_request() -> None:
    # The settings are read only at the start, so SIGHUP reloads nothing. It
    # must be handled all the same, as its default action ends the process.
    event('reload_requested')


def run() -> None:
    """Entry point of the command line."""
    app.run(main)


if __name__ == '__main__':
    run()

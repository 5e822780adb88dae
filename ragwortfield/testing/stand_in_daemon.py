"""Daemon that serves the fake platform or a fake worker with its target."""

# Sockets must be patched before any other module imports them.
from gevent import monkey

monkey.patch_all()

import signal
import sys
from dataclasses import replace

import gevent
from absl import app, flags
from gevent.event import Event

from ragwortfield.core.resources import Resources
from ragwortfield.ports.clock import SystemClock
from ragwortfield.testing.fake_http_servers import (
    FakePlatformServer,
    FakeWorkerServer,
    start_fake_server,
)
from ragwortfield.testing.fake_platform import FakePlatform
from ragwortfield.testing.fake_worker import FakeWorker

#: Interval at which the tasks of a worker advance, in seconds.
_STEP_INTERVAL_S = 0.05
#: How long a leaving target still serves new requests, in seconds, so that
#: its callers see the state in time to use other targets.
_LEAVE_DURATION_S = 4.0

_KIND = flags.DEFINE_enum(
    'kind',
    'platform',
    ['platform', 'worker'],
    'Which fake to serve.',
)
_PORT = flags.DEFINE_integer('port', 0, 'Port on the loopback address.')
_WORKER_ID = flags.DEFINE_string('worker', 'worker', 'Identifier.')
_CPU = flags.DEFINE_float('cpu', 30, 'CPU cores of the worker.')
_MEMORY_MB = flags.DEFINE_integer(
    'memory_mb', 125_000, 'Memory of the worker in MiB.'
)
_ACCELERATORS = flags.DEFINE_integer('accelerators', 0, 'Accelerators.')
_SLOTS = flags.DEFINE_integer('slots', 8, 'Slots of the target.')


def main(arguments: list[str]) -> int:
    """
    Serve one fake until SIGTERM.

    :param arguments: command line after flag parsing.
    :returns: exit status.
    """
    stop_requested = Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    clock = SystemClock()
    if _KIND.value == 'platform':
        application = FakePlatformServer(platform=FakePlatform(clock=clock))
        start_fake_server(('127.0.0.1', _PORT.value), application)
        stop_requested.wait()
        return 0
    worker = FakeWorker(
        worker_id=_WORKER_ID.value,
        capacity=Resources(
            cpu=_CPU.value,
            memory_mb=_MEMORY_MB.value,
            accelerators=_ACCELERATORS.value,
        ),
        clock=clock,
    )
    server = FakeWorkerServer(worker=worker, slots=_SLOTS.value)
    start_fake_server(('127.0.0.1', _PORT.value), server)
    gevent.spawn(_step_forever, worker)
    stop_requested.wait()
    # Graceful shutdown: the target reports that it is leaving, gives callers
    # time to use other targets and finishes the requests that it runs.
    server.target_faults = replace(server.target_faults, is_leaving=True)
    gevent.sleep(_LEAVE_DURATION_S)
    while server.counts.at_once:
        gevent.sleep(_STEP_INTERVAL_S)
    return 0


def _step_forever(worker: FakeWorker) -> None:
    while True:
        worker.step()
        gevent.sleep(_STEP_INTERVAL_S)


if __name__ == '__main__':
    sys.exit(app.run(main))

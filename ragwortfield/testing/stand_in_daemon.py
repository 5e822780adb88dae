"""Stand-ins for the platform and for workers, as processes."""

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
from ragwortfield.testing.fake_platform import FakePlatform
from ragwortfield.testing.fake_http_servers import (
    FakePlatformServer,
    FakeWorkerServer,
    start_fake_server,
)
from ragwortfield.testing.fake_worker import FakeWorker

#: Time between steps of a worker's tasks, in seconds.
_STEP_S = 0.05
#: Time for which a leaving target still answers before it ends, in seconds.
_LEAVE_S = 4.0

_KIND = flags.DEFINE_enum(
    'kind',
    'platform',
    ['platform', 'worker'],
    'What to run.',
)
_PORT = flags.DEFINE_integer('port', 0, 'Port on the loopback address.')
_WORKER_ID = flags.DEFINE_string('worker', 'worker', 'Identifier.')
_CPU = flags.DEFINE_float('cpu', 30, 'Processor cores.')
_MEMORY_MB = flags.DEFINE_integer('memory_mb', 125_000, 'Memory in MiB.')
_ACCELERATORS = flags.DEFINE_integer('accelerators', 0, 'Accelerators.')
_SLOTS = flags.DEFINE_integer('slots', 8, 'Slots of the target.')


def main(arguments: list[str]) -> int:
    """
    Run one stand-in until SIGTERM.

    :param arguments: command line after flag parsing.
    :returns: exit status.
    """
    stop_wanted = Event()
    gevent.signal_handler(signal.SIGTERM, stop_wanted.set)
    clock = SystemClock()
    if _KIND.value == 'platform':
        application = FakePlatformServer(platform=FakePlatform(clock=clock))
        start_fake_server(('127.0.0.1', _PORT.value), application)
        stop_wanted.wait()
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
    stop_wanted.wait()
    # A planned stop: the target says so and ends when its callers have had
    # time to go elsewhere.
    server.target_faults = replace(server.target_faults, is_leaving=True)
    gevent.sleep(_LEAVE_S)
    while server.counts.at_once:
        gevent.sleep(_STEP_S)
    return 0


def _step_forever(worker: FakeWorker) -> None:
    while True:
        worker.step()
        gevent.sleep(_STEP_S)


if __name__ == '__main__':
    sys.exit(app.run(main))

"""Local deployment of the job scheduler on a fake store and fake workers."""

import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import tomli_w

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.core.resources import Resources
from ragwortfield.http_api.wsgi_server import HttpServer
from ragwortfield.platform.fake_servers import (
    FakeStoreServer,
    FakeTaskWorkerServer,
    encode_configuration,
    encode_worker_entry,
)
from ragwortfield.platform.table_names import OPERATOR_TABLE, WORKER_TABLE
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorker
from ragwortfield.testing.free_ports import find_free_port
from ragwortfield.types import Seconds

#: Path prefix of the job queue.
PREFIX = '/jobs/'
#: Pool of all workers.
POOL = 'pool'
_HOST = '127.0.0.1'
#: Maximum number of concurrent connections to a fake.
_MAX_CONNECTIONS = 200
#: Interval between heartbeats of a worker, in seconds.
_HEARTBEAT_INTERVAL_S: Seconds = 1
#: Longest wait for a response of an instance, in seconds.
_RESPONSE_TIMEOUT_S: Seconds = 5
#: Longest wait until an instance serves callers, in seconds.
_START_TIMEOUT_S: Seconds = 20
#: Interval at which readiness is checked, in seconds.
_POLL_INTERVAL_S: Seconds = 0.05
_STATUS_OK = 200


@dataclass(kw_only=True)
class SchedulerProcess:
    """
    Process of the job scheduler.

    :param callers: host and port for callers.
    :param health: host and port for health checks and metrics.
    :param peers: host and port for calls of other instances.
    """

    name: str
    callers: str
    health: str
    peers: str
    process: subprocess.Popen[bytes]


@dataclass(kw_only=True)
class SchedulerDeployment:
    """
    Fake store, fake workers and scheduler processes on this machine.

    :param store: store that is served to the processes; tests inject faults
        into it.
    :param worker_by_id: workers that are served to the processes.
    :param address_by_worker: host and port of each worker.
    :param instance_by_name: processes, also those that have ended.
    :param limits: limits of the clients in the configuration; ``None`` for a
        configuration without them.
    :param tables: further tables of the processes' settings, by name.
    """

    store: FakeRowStore = field(default_factory=FakeRowStore)
    worker_by_id: dict[str, FakeTaskWorker] = field(default_factory=dict)
    address_by_worker: dict[str, str] = field(default_factory=dict)
    instance_by_name: dict[str, SchedulerProcess] = field(default_factory=dict)
    limits: dict[str, int] | None = None
    tables: dict[str, dict[str, float]] = field(default_factory=dict)
    _folder: Path = field(init=False)
    _servers: list[HttpServer] = field(default_factory=list)
    _greenlets: list[gevent.Greenlet] = field(default_factory=list)
    _store_address: str = ''

    def start(self, *, instances: int, workers: int) -> None:
        """
        Start store, workers and processes, and wait until all serve callers.

        :param instances: number of processes.
        :param workers: number of workers.
        :raises TimeoutError: when a process does not serve in time.
        """
        self._folder = Path(tempfile.mkdtemp(prefix='ragwortfield-'))
        self._store_address = self._start_server(
            FakeStoreServer(store=self.store)
        )
        for number in range(workers):
            self.add_worker(f'worker-{number}')
        self.configure(1)
        for number in range(instances):
            self.start_instance(f'entry-{number}')
        for instance in self.instance_by_name.values():
            self.wait_until_serving(instance)

    def configure(self, version: int, prefix: str = PREFIX) -> None:
        """
        Write a configuration with one queue into the store.

        :param version: version of the configuration.
        :param prefix: path prefix of the queue.
        """
        self.write_row(
            OPERATOR_TABLE,
            'config',
            encode_configuration(version, prefix, POOL, self.limits),
        )

    def write_row(self, table: str, key: str, content: bytes) -> None:
        """
        Write a row of one of the platform's tables, also during an outage.

        :param table: table of the row.
        :param key: key of the row.
        :param content: content of the row.
        """
        name = RowName(table=table, partition='', key=key)
        is_down = self.store.is_down
        self.store.is_down = False
        self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=content),)),
            0,
        )
        self.store.is_down = is_down

    def add_worker(self, worker_id: str) -> None:
        """
        Start a worker, which registers itself and sends heartbeats.

        :param worker_id: identifier of the worker.
        """
        worker = FakeTaskWorker(
            worker_id=worker_id,
            clock=time.monotonic,
            capacity=Resources(cpu=4, memory_mb=1000, accelerators=0),
            born_at=time.monotonic() - 1,
        )
        self.worker_by_id[worker_id] = worker
        application = FakeTaskWorkerServer(worker=worker)
        self.address_by_worker[worker_id] = self._start_server(application)
        self._greenlets.append(gevent.spawn(application.run_tasks))
        self._greenlets.append(gevent.spawn(self._send_heartbeats, worker_id))

    def encode_entry(self, worker_id: str) -> bytes:
        """
        Encode the entry of a worker as it writes it now.

        :param worker_id: identifier of the worker.
        :returns: content of the row.
        """
        return encode_worker_entry(
            self.worker_by_id[worker_id],
            self.address_by_worker[worker_id],
            POOL,
        )

    def start_instance(
        self, name: str, *, log_descriptor: int | None = None
    ) -> SchedulerProcess:
        """
        Start a process; its log is kept over restarts.

        :param name: identifier of the instance.
        :param log_descriptor: file descriptor for its output; ``None`` for a
            file that ``read_log`` reads.
        :returns: the process with its addresses.
        """
        callers, health, peer_port = (find_free_port() for _ in range(3))
        path = self._folder / f'{name}.toml'
        path.write_text(
            tomli_w.dumps(
                {
                    'instance': {
                        'id': name,
                        'data_centre': 'bergamo',
                        'region': 'lombardia',
                        'host': _HOST,
                    },
                    'listen': {
                        'callers': f'{_HOST}:{callers}',
                        'health': f'{_HOST}:{health}',
                        'peer_port': peer_port,
                    },
                    'dependencies': {'store': self._store_address},
                    **self.tables,
                },
            ),
        )
        log = (self._folder / f'{name}.log').open('ab')
        instance = SchedulerProcess(
            name=name,
            callers=f'{_HOST}:{callers}',
            health=f'{_HOST}:{health}',
            peers=f'{_HOST}:{peer_port}',
            process=subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'ragwortfield.daemons.scheduler',
                    '--settings',
                    str(path),
                ],
                stdout=log if log_descriptor is None else log_descriptor,
                stderr=log if log_descriptor is None else log_descriptor,
            ),
        )
        log.close()
        self.instance_by_name[name] = instance
        return instance

    def wait_until_serving(self, instance: SchedulerProcess) -> None:
        """
        Wait until an instance serves callers, which requires a shard owner.

        :param instance: the process.
        :raises TimeoutError: when it does not serve in time.
        """
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline:
            answer = self.call(instance, 'GET', PREFIX)
            if answer is not None and answer.status == _STATUS_OK:
                return
            gevent.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(
            f'{instance.name} does not serve after {_START_TIMEOUT_S} s'
        )

    def call(
        self,
        instance: SchedulerProcess,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> WholeAnswer | None:
        """
        Send a request to an instance on a new connection.

        :param instance: the process.
        :param method: HTTP method.
        :param path: path of the request.
        :param body: body of the request.
        :returns: the response; ``None`` when there is no complete one.
        """
        pool = HttpConnectionPool(address=instance.callers)
        outcome = pool.exchange(
            HttpRequest(
                method=method,
                path=path,
                body=body,
            ),
            Timeouts(
                first_byte_s=_RESPONSE_TIMEOUT_S, total_s=_RESPONSE_TIMEOUT_S
            ),
        )
        pool.close_idle()
        return outcome if isinstance(outcome, WholeAnswer) else None

    def fetch_metrics(self, instance: SchedulerProcess) -> str:
        """
        Fetch the metrics of an instance.

        :param instance: the process.
        :returns: text of the metrics; empty when there is no response.
        """
        pool = HttpConnectionPool(address=instance.health)
        outcome = pool.exchange(
            HttpRequest(method='GET', path='/metrics'),
            Timeouts(
                first_byte_s=_RESPONSE_TIMEOUT_S, total_s=_RESPONSE_TIMEOUT_S
            ),
        )
        pool.close_idle()
        if not isinstance(outcome, WholeAnswer):
            return ''
        return outcome.body.decode()

    def owner(self) -> SchedulerProcess | None:
        """
        Find the first running process whose log says it loaded the shard.

        It may have lost the shard to another process since.

        :returns: the process; ``None`` when no running one has loaded it.
        """
        for instance in self.instance_by_name.values():
            log = self.read_log(instance)
            is_running = instance.process.poll() is None
            if is_running and 'event=shard_loaded' in log:
                return instance
        return None

    def read_log(self, instance: SchedulerProcess) -> str:
        """
        Read the log of a process.

        :param instance: the process.
        :returns: text of its log.
        """
        path = self._folder / f'{instance.name}.log'
        return path.read_text(encoding='utf-8')

    def stop(self) -> None:
        """Kill the processes and stop the fakes."""
        for instance in self.instance_by_name.values():
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
        gevent.killall(self._greenlets)
        for server in self._servers:
            server.stop()

    def _send_heartbeats(self, worker_id: str) -> None:
        while True:
            self.write_row(
                WORKER_TABLE, worker_id, self.encode_entry(worker_id)
            )
            gevent.sleep(_HEARTBEAT_INTERVAL_S)

    def _start_server(self, application: object) -> str:
        server = HttpServer(
            address=(_HOST, 0),
            application=application,
            max_connections=_MAX_CONNECTIONS,
        )
        server.start()
        self._servers.append(server)
        return f'{_HOST}:{server.server_port}'

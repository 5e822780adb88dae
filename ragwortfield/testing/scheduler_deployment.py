"""Small deployment of the job scheduler: real processes on stand-ins."""

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
from ragwortfield.platform.table_names import OPERATOR_TABLE, WORKER_TABLE
from ragwortfield.platform.fake_servers import (
    FakeStoreServer,
    FakeTaskWorkerServer,
    encode_configuration,
    encode_worker_entry,
)
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.testing.free_ports import find_free_port
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorker
from ragwortfield.types import Seconds

PREFIX = '/jobs/'
POOL = 'pool'
_HOST = '127.0.0.1'
_CONNECTIONS = 200
#: Time between two heartbeats of a worker, in seconds.
_HEARTBEAT_S: Seconds = 1
#: Longest wait for an answer of an instance, in seconds.
_ANSWER_S: Seconds = 5
#: Longest wait for an instance to serve, in seconds.
_START_S: Seconds = 20
_POLL_S: Seconds = 0.05
_SUCCESS = 200


@dataclass(kw_only=True)
class SchedulerProcess:
    """One process of the scheduler."""

    name: str
    callers: str
    health: str
    process: subprocess.Popen[bytes]


@dataclass(kw_only=True)
class SchedulerDeployment:
    """
    Store, workers and instances on this machine.

    :param store: rows of the store, for switches and checks.
    """

    store: FakeRowStore = field(default_factory=FakeRowStore)
    worker_by_id: dict[str, FakeTaskWorker] = field(default_factory=dict)
    instance_by_name: dict[str, SchedulerProcess] = field(default_factory=dict)
    _folder: Path = field(init=False)
    _servers: list[HttpServer] = field(default_factory=list)
    _greenlets: list[gevent.Greenlet] = field(default_factory=list)
    _store_address: str = ''

    def start(self, *, instances: int, workers: int) -> None:
        """
        Start everything and wait until callers are served.

        :param instances: number of processes.
        :param workers: number of workers.
        """
        self._folder = Path(tempfile.mkdtemp(prefix='ragwortfield-'))
        self._store_address = self._serve(FakeStoreServer(store=self.store))
        for number in range(workers):
            self._add_worker(f'worker-{number}')
        self.configure(1)
        for number in range(instances):
            self.start_instance(f'entry-{number}')
        for instance in self.instance_by_name.values():
            self.wait_until_serving(instance)

    def configure(self, version: int, prefix: str = PREFIX) -> None:
        """
        Put a configuration into the store.

        :param version: its version.
        :param prefix: path prefix of the queue.
        """
        self.put(
            OPERATOR_TABLE,
            'config',
            encode_configuration(version, prefix, POOL),
        )

    def put(self, table: str, key: str, content: bytes) -> None:
        """
        Write a row of the platform's own.

        :param table: its table.
        :param key: its key.
        :param content: what it holds.
        """
        name = RowName(table=table, partition='', key=key)
        is_down = self.store.is_down
        self.store.is_down = False
        self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=content),)),
            0,
        )
        self.store.is_down = is_down

    def start_instance(self, name: str) -> SchedulerProcess:
        """
        Start a process.

        :param name: its name.
        :returns: the process with its addresses.
        """
        callers, health, peers = (find_free_port() for _ in range(3))
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
                        'peer_port': peers,
                    },
                    'dependencies': {'store': self._store_address},
                },
            ),
        )
        log = (self._folder / f'{name}.log').open('ab')
        instance = SchedulerProcess(
            name=name,
            callers=f'{_HOST}:{callers}',
            health=f'{_HOST}:{health}',
            process=subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'ragwortfield.daemons.scheduler',
                    '--settings',
                    str(path),
                ],
                stdout=log,
                stderr=log,
            ),
        )
        log.close()
        self.instance_by_name[name] = instance
        return instance

    def wait_until_serving(self, instance: SchedulerProcess) -> None:
        """
        Wait until an instance takes callers and knows a shard's owner.

        :param instance: the instance.
        :raises TimeoutError: when it does not within the time.
        """
        end = time.monotonic() + _START_S
        while time.monotonic() < end:
            answer = self.call(instance, 'GET', PREFIX)
            if answer is not None and answer.status == _SUCCESS:
                return
            gevent.sleep(_POLL_S)
        raise TimeoutError(f'{instance.name} does not serve after {_START_S} s')

    def call(
        self,
        instance: SchedulerProcess,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> WholeAnswer | None:
        """
        Call an instance as a client does.

        :param instance: the instance.
        :param method: HTTP method.
        :param path: path of the request.
        :param body: its body.
        :returns: the whole answer; ``None`` when there is none.
        """
        pool = HttpConnectionPool(address=instance.callers)
        outcome = pool.exchange(
            HttpRequest(
                method=method,
                path=path,
                body=body,
            ),
            Timeouts(first_byte_s=_ANSWER_S, total_s=_ANSWER_S),
        )
        pool.close_idle()
        return outcome if isinstance(outcome, WholeAnswer) else None

    def fetch_metrics(self, instance: SchedulerProcess) -> str:
        """
        Scrape an instance.

        :param instance: the instance.
        :returns: its metrics as text; empty when it gives none.
        """
        pool = HttpConnectionPool(address=instance.health)
        outcome = pool.exchange(
            HttpRequest(method='GET', path='/metrics'),
            Timeouts(first_byte_s=_ANSWER_S, total_s=_ANSWER_S),
        )
        pool.close_idle()
        if not isinstance(outcome, WholeAnswer):
            return ''
        return outcome.body.decode()

    def owner(self) -> SchedulerProcess | None:
        """
        Find a running process that has owned the shard, by its log.

        :returns: the process; ``None`` before the first owner.
        """
        for instance in self.instance_by_name.values():
            log = self.read_log(instance)
            is_running = instance.process.poll() is None
            if is_running and 'event=shard_loaded' in log:
                return instance
        return None

    def read_log(self, instance: SchedulerProcess) -> str:
        """
        Read what a process has logged.

        :param instance: the process.
        :returns: the lines.
        """
        path = self._folder / f'{instance.name}.log'
        return path.read_text(encoding='utf-8')

    def stop(self) -> None:
        """End everything that was started here."""
        for instance in self.instance_by_name.values():
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
        gevent.killall(self._greenlets)
        for server in self._servers:
            server.stop()

    def _add_worker(self, worker_id: str) -> None:
        worker = FakeTaskWorker(
            worker_id=worker_id,
            clock=time.monotonic,
            capacity=Resources(cpu=4, memory_mb=1000, accelerators=0),
            born_at=time.monotonic() - 1,
        )
        self.worker_by_id[worker_id] = worker
        application = FakeTaskWorkerServer(worker=worker)
        address = self._serve(application)
        self._greenlets.append(gevent.spawn(application.run_tasks))
        self._greenlets.append(gevent.spawn(self._beat, worker, address))

    def _beat(self, worker: FakeTaskWorker, address: str) -> None:
        while True:
            entry = encode_worker_entry(worker, address, POOL)
            self.put(WORKER_TABLE, worker.worker_id, entry)
            gevent.sleep(_HEARTBEAT_S)

    def _serve(self, application: object) -> str:
        server = HttpServer(
            address=(_HOST, 0),
            application=application,
            max_connections=_CONNECTIONS,
        )
        server.start()
        self._servers.append(server)
        return f'{_HOST}:{server.server_port}'

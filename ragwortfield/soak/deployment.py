"""Store, workers and processes of a soak."""

import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import gevent

from ragwortfield.engine.row_names import CLUSTER_TABLE, is_owner_row
from ragwortfield.platform.fake_servers import FakeStoreServer, encode_queues
from ragwortfield.platform.faulty_servers import (
    CallFaults,
    FaultyHttpServer,
    FaultyServer,
)
from ragwortfield.platform.table_names import OPERATOR_TABLE
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.soak.jobs import JobBook
from ragwortfield.soak.processes import HOST, DeployedRole, InstanceProcess
from ragwortfield.soak.site import POOL, Site
from ragwortfield.soak.timeline import Timeline
from ragwortfield.soak.workers import WorkerHost, make_worker_host
from ragwortfield.testing.address_view import (
    AddressView,
    StoreView,
    make_caller_host,
)
from ragwortfield.testing.indexed_row_store import IndexedRowStore
from ragwortfield.testing.peer_links import PeerLinks
from ragwortfield.types import Seconds

#: Time that a call to the store takes, in seconds.
_STORE_DELAY_S: Seconds = 0.004
_MAX_CONNECTIONS = 500
#: Pause before a process that ended by itself is started again, in seconds.
_RESTART_PAUSE_S: Seconds = 0.5
_SUPERVISION_INTERVAL_S: Seconds = 0.1


@dataclass(kw_only=True, slots=True)
class SoakDeployment:
    """
    Stand-ins and processes.

    :param role: role that all instances run.
    :param folder: folder for settings files and logs.
    :param store_faults_by_instance: faults of the store as each instance sees
        it.
    :param view_by_host: addresses as each instance sees them, by the host
        under which it sees others.
    :param links_by_instance: links of peers to each instance.
    :param is_log_read: whether the output of the instances goes to files.
    :param departed: instances that were removed for good.
    """

    site: Site
    role: DeployedRole
    folder: Path
    random: Random
    timeline: Timeline
    jobs: JobBook
    is_log_read: bool = True
    store: IndexedRowStore = field(default_factory=IndexedRowStore)
    workers: list[WorkerHost] = field(default_factory=list)
    instances: list[InstanceProcess] = field(default_factory=list)
    departed: list[InstanceProcess] = field(default_factory=list)
    store_faults_by_instance: dict[str, CallFaults] = field(
        default_factory=dict,
    )
    view_by_host: dict[str, AddressView] = field(default_factory=dict)
    links_by_instance: dict[str, PeerLinks] = field(default_factory=dict)
    _version: int = 0
    _queues: dict[str, str] = field(default_factory=dict)
    _servers: list[FaultyHttpServer] = field(default_factory=list)
    _greenlets: list[gevent.Greenlet] = field(default_factory=list)

    def start(self) -> None:
        """Start the stand-ins and all processes at about the same time."""
        self._queues = {
            workload.prefix.strip('/'): workload.prefix
            for workload in self.site.workloads
        }
        self.configure({})
        for rack in range(self.site.racks):
            for _ in range(self.site.workers_per_rack):
                self.add_worker(rack)
        for data_centre in self.site.data_centres:
            self.add_instance(data_centre).start()
        self._greenlets.append(gevent.spawn(self._supervise))

    def configure(self, more_queues: dict[str, str]) -> None:
        """
        Write the next version of the configuration.

        :param more_queues: path prefix of each queue without jobs.
        """
        self._version += self.random.randint(1, 5)
        self._write(
            RowName(table=OPERATOR_TABLE, partition='', key='config'),
            encode_queues(self._version, {**self._queues, **more_queues}, POOL),
        )

    def add_worker(self, rack: int) -> WorkerHost:
        """
        Start a further worker.

        :param rack: number of its rack.
        :returns: the worker.
        """
        host = make_worker_host(
            len(self.workers),
            rack,
            self.site,
            self.store,
            self.random,
            self.jobs.find_resources,
        )
        host.start()
        host.application.straggler_interval = self.site.straggler_interval
        self.workers.append(host)
        return host

    def add_instance(self, data_centre: str) -> InstanceProcess:
        """
        Create a further instance, whose process is not started yet.

        :param data_centre: its data centre.
        :returns: the instance.
        """
        number = len(self.instances) + len(self.departed)
        name = f'edge-{data_centre}-{number}'
        instance = InstanceProcess(
            name=name,
            data_centre=data_centre,
            role=self.role,
            caller_host=make_caller_host(number),
            bounds=self.site.bounds,
            folder=self.folder,
            is_log_read=self.is_log_read,
        )
        instance.store_address = self._serve_store(
            name, self._start_links(instance)
        )
        self.instances.append(instance)
        return instance

    def remove_instance(self, instance: InstanceProcess) -> None:
        """
        Remove an instance for good.

        :param instance: the instance.
        """
        instance.is_wanted = False
        if instance in self.instances:
            self.instances.remove(instance)
            self.departed.append(instance)

    def list_owners(self) -> list[InstanceProcess]:
        """
        List the instances that own a shard by the rows of the store.

        :returns: the instances; empty if there is none.
        """
        contents = [
            row.content
            for name, row in self.store.row_by_name.items()
            if name.table == CLUSTER_TABLE
            and is_owner_row(name)
            and row.content is not None
        ]
        return [
            instance
            for instance in self.instances
            if any(
                self._find_link_address(instance) in content
                for content in contents
            )
        ]

    def find_caller(self, host: str) -> str:
        """
        Find an instance by the host under which it sees others.

        :param host: the host.
        :returns: name of the instance.
        """
        return next(
            instance.name
            for instance in (*self.instances, *self.departed)
            if instance.caller_host == host
        )

    def wait_until_serving(self, timeout_s: Seconds) -> bool:
        """
        Wait until a shard has an owner.

        :param timeout_s: longest wait, in seconds.
        :returns: whether there is one.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.list_owners():
                return True
            gevent.sleep(_SUPERVISION_INTERVAL_S)
        return False

    def stop(self) -> None:
        """Kill all processes and stop the stand-ins."""
        gevent.killall(self._greenlets)
        for instance in (*self.instances, *self.departed):
            instance.kill()
            instance.close_log()
        for host in self.workers:
            host.stop()
        for server in (*self._servers, *self.links_by_instance.values()):
            server.stop()

    def _start_links(self, instance: InstanceProcess) -> AddressView:
        links = PeerLinks(view_by_host=self.view_by_host)
        links.view = AddressView(
            host=instance.caller_host,
            own_address=instance.peer_address(),
            link_address=f'{HOST}:{links.start()}',
        )
        self.view_by_host[instance.caller_host] = links.view
        self.links_by_instance[instance.name] = links
        return links.view

    def _serve_store(self, name: str, view: AddressView) -> str:
        """Start a server of the store for one instance."""
        faults = CallFaults(delay_s=_STORE_DELAY_S)
        self.store_faults_by_instance[name] = faults
        server = FaultyHttpServer(
            address=(HOST, 0),
            application=FaultyServer(
                application=FakeStoreServer(
                    store=StoreView(store=self.store, view=view)
                ),
                faults=faults,
                random=self.random,
                life=lambda: self.store,
            ),
            max_connections=_MAX_CONNECTIONS,
        )
        server.start()
        self._servers.append(server)
        return f'{HOST}:{server.server_port}'

    def _find_link_address(self, instance: InstanceProcess) -> bytes:
        return self.view_by_host[instance.caller_host].link_address.encode()

    def _supervise(self) -> None:
        while True:
            gevent.sleep(_SUPERVISION_INTERVAL_S)
            for instance in tuple(self.instances):
                is_expected = instance.is_running() or instance.is_ending
                if instance.process is None or is_expected:
                    continue
                status = instance.process.returncode
                instance.unexpected_exits.append(status)
                is_excused = self.timeline.is_end_excused(instance.name)
                report = (
                    self.timeline.record
                    if is_excused
                    else self.timeline.violate
                )
                report(
                    'a process ended by itself',
                    instance=instance.name,
                    status=status,
                )
                disruption = self.timeline.begin('exit', instance.name)
                gevent.sleep(_RESTART_PAUSE_S)
                instance.start()
                self.timeline.end(disruption)

    def _write(self, name: RowName, content: bytes) -> None:
        self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=content),)), 0
        )

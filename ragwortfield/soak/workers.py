"""Workers of a soak, which serve orders over sockets."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import gevent

from ragwortfield.core.resources import Resources
from ragwortfield.platform.fake_servers import (
    FakeTaskWorkerServer,
    encode_worker_entry,
)
from ragwortfield.platform.faulty_servers import (
    CALLED_HOST,
    CallerFaults,
    CallFaults,
    FaultKind,
    FaultyHttpServer,
    FaultyServer,
)
from ragwortfield.platform.table_names import WORKER_TABLE
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.ports.task_worker import (
    LeaseOrder,
    LeaseReport,
    OrderOutcome,
    OrderRefused,
    Refusal,
    StartRun,
)
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.soak.processes import HOST
from ragwortfield.soak.site import POOL, Site
from ragwortfield.testing.address_view import listen_on_loopback
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import FakeTaskWorker
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Interval between heartbeats of a worker, in seconds.
_HEARTBEAT_INTERVAL_S: Seconds = 1.1
#: Number of missed heartbeats after which the entry of a worker is removed.
_MISSED_HEARTBEATS = 3
#: Interval at which a drained worker checks for tasks, in seconds.
_DRAIN_POLL_S: Seconds = 0.1
#: Longest time from a worker's notice until it leaves, in seconds.
_DRAIN_S: Seconds = 6
_MAX_CONNECTIONS = 64
#: Size of most workers, and of every third one.
_CORES = 64
_LARGE_CORES = 96
_LARGE_WORKER_INTERVAL = 3
_MEMORY_MB = 256_000
_NAME_BITS = 40
_MS_PER_S = 1000


@dataclass(kw_only=True, slots=True)
class GuardedWorker(FakeTaskWorker):
    """
    Fake worker that refuses starts beyond its capacity.

    :param find_resources: finds what a task uses.
    :param starter_by_run: fencing token under which each run was started, and
        host under which the instance that started it sees others.
    :param last_lease_at_by_token: time of the last lease order that was
        carried out under each fencing token.
    """

    find_resources: Callable[[TaskKey], Resources]
    starter_by_run: dict[tuple[TaskKey, int], tuple[int, str]] = field(
        default_factory=dict
    )
    last_lease_at_by_token: dict[int, MonotonicTime] = field(
        default_factory=dict
    )

    def start(self, order: StartRun) -> OrderOutcome:
        """
        Start a run if there is room for it.

        :param order: the start order.
        :returns: done, also when this run is running already, or a refusal.
        """
        used = [self.find_resources(key) for key in self.run_by_key]
        used.append(self.find_resources(order.key))
        is_room = (
            sum(amount.cpu for amount in used) <= self.capacity.cpu
            and sum(amount.memory_mb for amount in used)
            <= self.capacity.memory_mb
        )
        if order.key not in self.run_by_key and not is_room:
            return self._refuse(Refusal.INSUFFICIENT_CAPACITY)
        recorded = len(self.history)
        outcome = FakeTaskWorker.start(self, order)
        # Leases that have expired are recorded by the same call.
        if any(entry[0] == 'start' for entry in self.history[recorded:]):
            self.starter_by_run[order.key, order.run] = (
                order.fencing_token,
                CALLED_HOST.get(),
            )
        return outcome

    def renew_lease(self, order: LeaseOrder) -> LeaseReport | OrderRefused:
        """
        Extend the lease and drop the acknowledged ends.

        :param order: fencing token, new deadline and acknowledged ends.
        :returns: running tasks and ends not acknowledged yet, or a refusal.
        """
        report = FakeTaskWorker.renew_lease(self, order)
        if isinstance(report, LeaseReport) and order.deadline_ms is not None:
            self.last_lease_at_by_token[order.fencing_token] = self.clock()
        return report

    def expire_lease(self) -> None:
        """End the runs whose time is over, and record when it was."""
        earlier = self.history
        self.history = []
        FakeTaskWorker.expire_lease(self)
        lease_end_s = self.lease_end_ms / _MS_PER_S / self.clock_rate
        expired_at = self.born_at + lease_end_s
        earlier.extend(
            (kind, min(at, expired_at), key, run, how)
            for kind, at, key, run, how in self.history
        )
        self.history = earlier


@dataclass(kw_only=True, slots=True)
class WorkerHost:
    """
    Worker with its server and its entry in the store.

    :param store: store in which the worker registers.
    :param faults: faults of the calls of all instances.
    :param is_up: whether the worker runs.
    :param is_registered: whether the worker keeps its entry in the store.
    :param entry_expires_at: time at which the entry of a worker that is down
        is removed; ``None`` once it is removed.
    """

    worker: GuardedWorker
    store: FakeRowStore
    random: Random
    faults: CallFaults = field(default_factory=CallFaults)
    is_up: bool = True
    is_registered: bool = True
    address: str = ''
    application: FakeTaskWorkerServer = field(init=False)
    caller_faults: CallerFaults = field(init=False)
    _server: FaultyHttpServer = field(init=False)
    _greenlets: list[gevent.Greenlet] = field(default_factory=list)

    def start(self) -> None:
        """Serve orders and register."""
        self.application = FakeTaskWorkerServer(worker=self.worker)
        self.caller_faults = CallerFaults(
            application=self.application, random=self.random, life=self._life
        )
        self._server = FaultyHttpServer(
            address=listen_on_loopback(),
            application=FaultyServer(
                application=self.caller_faults,
                faults=self.faults,
                random=self.random,
                life=self._life,
            ),
            max_connections=_MAX_CONNECTIONS,
        )
        self._server.start()
        self.address = f'{HOST}:{self._server.server_port}'
        self._greenlets = [
            gevent.spawn(self.application.run_tasks),
            gevent.spawn(self._send_heartbeats),
        ]

    def crash(self, kind: FaultKind) -> None:
        """
        Lose all tasks and answer nothing until ``restart``.

        :param kind: what happens to calls meanwhile.
        """
        self.is_up = False
        self.worker.lose_runs()
        self.faults.kind = kind
        self._greenlets.append(gevent.spawn(self._expire_entry))

    def restart(self, *, is_renamed: bool = False) -> None:
        """
        Start again at the same address, without any task.

        :param is_renamed: whether the worker has another name.
        """
        if is_renamed:
            former_id = self.worker.worker_id
            self._greenlets.append(
                gevent.spawn_later(
                    _MISSED_HEARTBEATS * _HEARTBEAT_INTERVAL_S,
                    self._remove_entry,
                    former_id,
                )
            )
            self.worker.worker_id = _make_name(self.random)
        self.worker.restart()
        self.worker.is_draining = False
        self.faults.silence_connections()
        self.faults.kind = FaultKind.NONE
        self.is_up = True

    def pause(self, for_s: Seconds) -> None:
        """
        Do nothing for a time; calls that arrive are carried out after it.

        :param for_s: the time, in seconds.
        """
        self.faults.kind = FaultKind.PAUSED
        self.application.is_paused = True
        self._server.stop_accepting()
        gevent.sleep(for_s)
        self.worker.expire_lease()
        self.application.is_paused = False
        self.faults.kind = FaultKind.NONE
        self._server.start_accepting()

    def hide(self) -> None:
        """Remove the entry from the store until ``show``."""
        self.is_registered = False
        self._remove_entry(self.worker.worker_id)

    def show(self) -> None:
        """Write the entry to the store again."""
        self.is_registered = True
        if self.is_up:
            self._write_entry(self._encode_entry())

    def drain(self) -> None:
        """Announce that the worker leaves."""
        self.worker.is_draining = True
        self._write_entry(self._encode_entry())

    def leave(self) -> None:
        """Announce that the worker leaves, finish its tasks and leave."""
        self.drain()
        left_s = _DRAIN_S
        while left_s > 0 and self.worker.run_by_key:
            gevent.sleep(_DRAIN_POLL_S)
            left_s -= _DRAIN_POLL_S
        self.crash(FaultKind.RESET)
        self._remove_entry(self.worker.worker_id)

    def stop(self) -> None:
        """Stop the server."""
        gevent.killall(self._greenlets)
        self._server.stop()

    def _life(self) -> tuple[MonotonicTime, bool]:
        return self.worker.born_at, self.is_up

    def _send_heartbeats(self) -> None:
        gevent.sleep(self.random.uniform(0, _HEARTBEAT_INTERVAL_S))
        while True:
            if self.is_up and self.is_registered:
                self._write_entry(self._encode_entry())
            gevent.sleep(_HEARTBEAT_INTERVAL_S)

    def _expire_entry(self) -> None:
        born_at = self.worker.born_at
        gevent.sleep(_MISSED_HEARTBEATS * _HEARTBEAT_INTERVAL_S)
        if born_at == self.worker.born_at and not self.is_up:
            self._remove_entry(self.worker.worker_id)

    def _encode_entry(self) -> bytes:
        return encode_worker_entry(self.worker, self.address, POOL)

    def _write_entry(self, content: bytes) -> None:
        self._write(self.worker.worker_id, content)

    def _remove_entry(self, worker_id: WorkerId) -> None:
        self._write(worker_id, None)

    def _write(self, worker_id: WorkerId, content: bytes | None) -> None:
        name = RowName(table=WORKER_TABLE, partition='', key=worker_id)
        self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=content),)), 0
        )


def _make_name(random: Random) -> str:
    return f'i-{random.getrandbits(_NAME_BITS):010x}'


def make_worker_host(
    number: int,
    rack: int,
    site: Site,
    store: FakeRowStore,
    random: Random,
    find_resources: Callable[[TaskKey], Resources],
) -> WorkerHost:
    """
    Create a worker, which ``WorkerHost.start`` starts.

    :param number: number of the worker.
    :param rack: number of its rack.
    :param site: deployment that it belongs to.
    :param store: store in which it registers.
    :param random: source of its random decisions.
    :param find_resources: finds what a task uses.
    :returns: the worker.
    """
    cores = _CORES if number % _LARGE_WORKER_INTERVAL else _LARGE_CORES
    return WorkerHost(
        worker=GuardedWorker(
            worker_id=_make_name(random),
            clock=time.monotonic,
            capacity=Resources(cpu=cores, memory_mb=_MEMORY_MB),
            labels=('a', f'r1-{rack}'),
            longest_lease_s=site.bounds['hold_max_ms'] / _MS_PER_S,
            clock_rate=random.choice(site.clock_rates),
            stop_s=site.stop_s,
            born_at=time.monotonic() - 1,
            find_resources=find_resources,
        ),
        store=store,
        random=random,
    )

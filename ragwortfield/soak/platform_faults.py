"""Faults of the store and the workers, and unusual traffic."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random

import gevent

from ragwortfield.platform.faulty_servers import CallFaults, FaultKind
from ragwortfield.soak.callers import CallerPool
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.timeline import STORE, Timeline
from ragwortfield.soak.workers import WorkerHost
from ragwortfield.types import Seconds

_STORE_OUTAGES = (FaultKind.BUSY, FaultKind.RESET, FaultKind.SILENT)
_STORE_REFUSALS = (*_STORE_OUTAGES, FaultKind.THROTTLED)
_SLOW_FACTOR = 60
_LOST_SHARE = 0.35
_LATEST_WRITE_S: Seconds = 6
_LATEST_ORDER_S: Seconds = 12
_LARGE_QUEUES = 350
_TAG_BITS = 32
#: Shortest and longest duration of a fault, in seconds.
_DURATION_S = (2, 7)
#: Time for which connections are reset, in seconds.
_RESET_S: Seconds = 0.05
#: Shares of the workers that faults strike.
_CRASHED_SHARE = 0.15
_DEPARTED_SHARE = 0.08
_RESET_SHARE = 0.35
_SLOWDOWN = 6.5
_TRAFFIC_FACTOR = 2.6
_UNANSWERED_SHARE = 0.3
_IMPOSSIBLE_SHARE = 0.3


@dataclass(kw_only=True, slots=True)
class PlatformFaults:
    """Strikes the store, the workers and the traffic of a deployment."""

    deployment: SoakDeployment
    timeline: Timeline
    random: Random
    callers: CallerPool

    def planned(self) -> dict[str, Callable[[], None]]:
        """
        Return the planned changes.

        :returns: function that carries them out, by kind.
        """
        return {
            'config_change': lambda: self.deployment.configure({}),
            'big_config': self._add_queues,
        }

    def unplanned(self) -> dict[str, Callable[[], None]]:
        """
        Return the faults.

        :returns: function that strikes, by kind.
        """
        return {
            'platform_down': self._stop_store,
            'platform_down_nodes': self._refuse_some_instances,
            'core_cut': self._cut_owners,
            'platform_slow': self._slow_store,
            'platform_lost': self._lose_answers,
            'platform_compact': self._forget_history,
            'reset_conns': self._reset_connections,
            'silent_conns': self._silence_connections,
            'srv_crash': self._crash_workers,
            'srv_gone': self._remove_workers,
            'srv_grey': self._fail_workers,
            'srv_slow': self._slow_workers,
            'scale_in': self._drain_workers,
            'scale_out': self._add_workers,
            'applied_late': self._delay_orders,
            'poison': self._submit_impossible_jobs,
            'burst': self._raise_traffic,
        }

    @contextmanager
    def _disrupt(self, kind: str, target: str = '') -> Iterator[Seconds]:
        disruption = self.timeline.begin(kind, target)
        yield self.random.uniform(*_DURATION_S)
        self.timeline.end(disruption)

    def _add_queues(self) -> None:
        tag = f'{self.random.getrandbits(_TAG_BITS):08x}'
        self.deployment.configure(
            {
                f'idle-{tag}-{number}': f'/idle-{tag}-{number}/'
                for number in range(_LARGE_QUEUES)
            },
        )

    def _stop_store(self) -> None:
        kind = self.random.choice(_STORE_OUTAGES)
        with self._disrupt(f'platform_down {kind}', STORE) as for_s:
            self._fault_store(self._all_faults(), kind, for_s)

    def _refuse_some_instances(self) -> None:
        kind = self.random.choice(_STORE_REFUSALS)
        faults = self._all_faults()
        refused = self.random.sample(faults, max(1, len(faults) // 3))
        with self._disrupt(f'platform_down nodes {kind}', STORE) as for_s:
            self._fault_store(refused, kind, for_s)

    def _cut_owners(self) -> None:
        faults = [
            self.deployment.store_faults_by_instance[owner.name]
            for owner in self.deployment.list_owners()
        ]
        with self._disrupt('core_cut', STORE) as for_s:
            self._fault_store(faults, FaultKind.SILENT, for_s)

    def _fault_store(
        self, faults: list[CallFaults], kind: FaultKind, for_s: Seconds
    ) -> None:
        for fault in faults:
            fault.kind = kind
        gevent.sleep(for_s)
        for fault in faults:
            fault.kind = FaultKind.NONE

    def _slow_store(self) -> None:
        with self._disrupt('platform_slow', STORE) as for_s:
            faults = self._all_faults()
            delay_s = faults[0].delay_s
            for fault in faults:
                fault.delay_s = delay_s * _SLOW_FACTOR
            gevent.sleep(for_s)
            for fault in faults:
                fault.delay_s = delay_s

    def _lose_answers(self) -> None:
        latest_s = self.random.choice((0, _LATEST_WRITE_S))
        with self._disrupt('platform_lost', STORE) as for_s:
            faults = self._all_faults()
            for fault in faults:
                fault.unanswered_share = _LOST_SHARE
                fault.latest_s = latest_s
            gevent.sleep(for_s)
            for fault in faults:
                fault.unanswered_share = 0
            # Writes that were delayed are carried out until then.
            gevent.sleep(latest_s)

    def _forget_history(self) -> None:
        with self._disrupt('platform_compact', STORE):
            store = self.deployment.store
            store.history_start_version = store.version

    def _reset_connections(self) -> None:
        with self._disrupt('reset_conns', STORE):
            faults = self._all_faults() + self._some_worker_faults()
            self._fault_store(faults, FaultKind.RESET, _RESET_S)

    def _silence_connections(self) -> None:
        with self._disrupt('silent_conns', STORE):
            for fault in self._all_faults() + self._some_worker_faults():
                fault.silence_connections()

    def _crash_workers(self) -> None:
        kind = self.random.choice((FaultKind.SILENT, FaultKind.RESET))
        with self._disrupt(f'srv_crash {kind}') as for_s:
            hosts = self._some_lasting_workers(_CRASHED_SHARE)
            for host in hosts:
                host.crash(kind)
            gevent.sleep(for_s)
            for host in hosts:
                host.restart()

    def _remove_workers(self) -> None:
        with self._disrupt('srv_gone'):
            for host in self._some_lasting_workers(_DEPARTED_SHARE):
                host.crash(FaultKind.SILENT)

    def _fail_workers(self) -> None:
        kind = self.random.choice((FaultKind.BUSY, FaultKind.SILENT, None))
        with self._disrupt(f'srv_grey {kind or "errors"}') as for_s:
            hosts = self._some_workers(_DEPARTED_SHARE)
            for host in hosts:
                host.faults.kind = kind or FaultKind.NONE
                host.application.is_failing = kind is None
            gevent.sleep(for_s)
            for host in hosts:
                host.faults.kind = FaultKind.NONE
                host.application.is_failing = False

    def _slow_workers(self) -> None:
        with self._disrupt('srv_slow') as for_s:
            hosts = self._some_workers()
            for host in hosts:
                host.application.slowdown = _SLOWDOWN
            gevent.sleep(for_s)
            for host in hosts:
                host.application.slowdown = 1

    def _drain_workers(self) -> None:
        with self._disrupt('scale_in'):
            gevent.joinall(
                [
                    gevent.spawn(host.leave)
                    for host in self._some_workers(_DEPARTED_SHARE)
                ],
            )

    def _add_workers(self) -> None:
        with self._disrupt('scale_out'):
            for rack in range(self.deployment.site.racks):
                self.deployment.add_worker(rack)

    def _delay_orders(self) -> None:
        with self._disrupt('applied_late') as for_s:
            faults = [host.faults for host in self._some_workers()]
            for fault in faults:
                fault.unanswered_share = _UNANSWERED_SHARE
                fault.latest_s = _LATEST_ORDER_S
            gevent.sleep(for_s)
            for fault in faults:
                fault.unanswered_share = 0
            # Orders that were delayed are carried out until then.
            gevent.sleep(_LATEST_ORDER_S)

    def _submit_impossible_jobs(self) -> None:
        with self._disrupt('poison') as for_s:
            self.deployment.jobs.impossible_share = _IMPOSSIBLE_SHARE
            gevent.sleep(for_s)
            self.deployment.jobs.impossible_share = 0

    def _raise_traffic(self) -> None:
        with self._disrupt('burst') as for_s:
            self.callers.rate_factor = _TRAFFIC_FACTOR
            gevent.sleep(for_s)
            self.callers.rate_factor = 1

    def _all_faults(self) -> list[CallFaults]:
        return list(self.deployment.store_faults_by_instance.values())

    def _some_workers(self, share: float = _CRASHED_SHARE) -> list[WorkerHost]:
        hosts = self._list_sound_workers()
        return self.random.sample(hosts, max(1, round(len(hosts) * share)))

    def _some_lasting_workers(self, share: float) -> list[WorkerHost]:
        """Choose workers; those that run tasks that last come first."""
        hosts = self._list_sound_workers()
        self.random.shuffle(hosts)
        hosts.sort(key=self._count_lasting_runs, reverse=True)
        return hosts[: max(1, round(len(hosts) * share))]

    def _count_lasting_runs(self, host: WorkerHost) -> int:
        jobs = self.deployment.jobs.job_by_id
        return sum(
            jobs[key.job_id].is_lasting for key in host.worker.run_by_key
        )

    def _list_sound_workers(self) -> list[WorkerHost]:
        return [
            host
            for host in self.deployment.workers
            if host.is_up
            and not host.worker.is_draining
            and host.faults.kind == FaultKind.NONE
        ]

    def _some_worker_faults(self) -> list[CallFaults]:
        return [host.faults for host in self._some_workers(_RESET_SHARE)]

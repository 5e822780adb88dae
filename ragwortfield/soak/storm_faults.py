"""Faults of workers and owners that strike for long and over each other."""

import signal
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random

import gevent

from ragwortfield.platform.faulty_servers import CallFaults, FaultKind
from ragwortfield.soak.cuts import Links, cut
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.instance_faults import InstanceFaults
from ragwortfield.soak.processes import InstanceProcess
from ragwortfield.soak.timeline import STORE, Timeline
from ragwortfield.soak.workers import WorkerHost
from ragwortfield.types import Seconds

#: Shortest and longest duration of a fault, in seconds.
_DURATION_S = (6, 16)
#: Share of the workers that a fault strikes.
_STRUCK_SHARE = 0.35
#: Shortest and longest time between two changes of a worker that goes down and
#: up by turns, in seconds.
_TURN_S = (0.2, 4)
#: Shortest and longest time for which a worker is down before it starts again,
#: in seconds.
_DOWN_S = (0.05, 3)
#: Share of the orders without an answer, and shortest and longest time after
#: which they are carried out, in seconds.
_UNANSWERED_SHARE = 0.3
_LATE_ORDER_S = (2, 12)
#: Longest time by which calls and responses are late, in seconds.
_JITTER_S: Seconds = 0.4
#: Longest time from the return of the store to that of an entry, in seconds.
_ENTRY_RETURN_S: Seconds = 2
#: Share of the workers that stay down instead of taking turns.
_LASTING_SHARE = 0.3
_OUTAGES = (FaultKind.BUSY, FaultKind.RESET, FaultKind.SILENT)
#: Longest time from a commit to the pause of its owner, shortest and longest
#: pause, and pause before the next, in seconds.
_COMMIT_TO_PAUSE_S: Seconds = 0.012
_OWNER_PAUSE_S = (0.3, 7)
_BETWEEN_PAUSES_S = (0.5, 3)
_POLL_INTERVAL_S: Seconds = 0.002
_OWNERS_IN_SERIES = 4
_SERIES_PAUSE_S = (0.3, 4)
_CUT_PAIRS = 24
#: Shortest and longest time from a worker's notice until it leaves, in
#: seconds.
_DRAIN_S = (1, 5)
_PAIR_KINDS = (FaultKind.HELD, FaultKind.UNANSWERED, FaultKind.RESET)
_SLOWDOWN = 8
_STALLED_PERCENT = 10
_FULL_PERCENT = 100


@dataclass(kw_only=True, slots=True)
class StormFaults:
    """Strikes many workers, or owners at moments that matter."""

    deployment: SoakDeployment
    timeline: Timeline
    random: Random

    def unplanned(self) -> dict[str, Callable[[], None]]:
        """
        Return the faults.

        :returns: function that strikes, by kind.
        """
        return {
            'storm_flap': self._flap,
            'storm_reborn': self._restart_workers,
            'storm_late_orders': lambda: self._lose_answers(_LATE_ORDER_S),
            'storm_lost_answers': lambda: self._lose_answers((0, 0)),
            'storm_jitter': self._delay_calls,
            'storm_false_health': self._report_false_health,
            'storm_pause': self._pause_workers,
            'storm_entries': self._remove_entries,
            'storm_some_refused': self._refuse_some_instances,
            'storm_owner_paused': self._pause_owner_at_commits,
            'storm_owners_killed': self._kill_owners,
            'storm_pairs': self._cut_pairs,
            'storm_half_open': self._silence_connections,
            'storm_stragglers': self._slow_workers,
            'storm_moves': self._replace_workers,
        }

    def _flap(self) -> None:
        """Have workers refuse calls by turns while their runs go on."""
        hosts = self._pick_workers()
        with self._disrupt('flap', hosts) as ends_at:
            _join(gevent.spawn(self._flap_one, host, ends_at) for host in hosts)

    def _flap_one(self, host: WorkerHost, ends_at: float) -> None:
        if self.random.random() < _LASTING_SHARE:
            with cut([host.faults], self.random.choice(_OUTAGES)):
                _sleep_until(ends_at)
        while time.monotonic() < ends_at:
            with cut([host.faults], self.random.choice(_OUTAGES)):
                gevent.sleep(self.random.uniform(*_TURN_S))
            gevent.sleep(self.random.uniform(*_TURN_S))

    def _restart_workers(self) -> None:
        hosts = self._pick_workers()
        with self._disrupt('reborn', hosts) as ends_at:
            _join(
                gevent.spawn(self._restart_one, host, ends_at) for host in hosts
            )

    def _restart_one(self, host: WorkerHost, ends_at: float) -> None:
        gevent.sleep(self.random.uniform(0, ends_at - time.monotonic()))
        self._restart(host, is_renamed=bool(self.random.getrandbits(1)))

    def _restart(self, host: WorkerHost, *, is_renamed: bool) -> None:
        if not host.is_up:
            return
        former = host.worker.worker_id
        host.crash(self.random.choice((FaultKind.SILENT, FaultKind.RESET)))
        gevent.sleep(self.random.uniform(*_DOWN_S))
        host.restart(is_renamed=is_renamed)
        self.timeline.record(
            'reborn', former=former, worker=host.worker.worker_id
        )

    def _lose_answers(self, late_s: tuple[Seconds, Seconds]) -> None:
        hosts = self._pick_workers()
        with self._disrupt('lost_answers', hosts) as ends_at:
            for host in hosts:
                host.faults.unanswered_share = _UNANSWERED_SHARE
                host.faults.earliest_s = late_s[0]
                host.faults.latest_s = late_s[1]
            _sleep_until(ends_at)
            for host in hosts:
                host.faults.unanswered_share = 0
            # Orders that were delayed are carried out until then.
            gevent.sleep(late_s[1])

    def _delay_calls(self) -> None:
        """Have calls and responses overtake each other."""
        hosts = self._pick_workers()
        with self._disrupt('jitter', hosts) as ends_at:
            for host in hosts:
                host.faults.jitter_s = _JITTER_S
            _sleep_until(ends_at)
            for host in hosts:
                host.faults.jitter_s = 0

    def _report_false_health(self) -> None:
        """Have workers refuse starts by turns, and lose and delay answers."""
        hosts = self._pick_workers()
        with self._disrupt('false_health', hosts) as ends_at:
            for host in hosts:
                host.faults.unanswered_share = _UNANSWERED_SHARE
                host.faults.jitter_s = _JITTER_S
            while time.monotonic() < ends_at:
                for host in hosts:
                    host.application.is_unhealthy = bool(
                        self.random.getrandbits(1)
                    )
                gevent.sleep(self.random.uniform(0, 2 * _JITTER_S))
            for host in hosts:
                host.application.is_unhealthy = False
                host.faults.unanswered_share = 0
                host.faults.jitter_s = 0

    def _pause_workers(self) -> None:
        hosts = [
            host
            for host in self._pick_workers()
            if host.faults.kind == FaultKind.NONE
        ]
        with self._disrupt('pause', hosts) as ends_at:
            _join(
                gevent.spawn(
                    host.pause,
                    self.random.uniform(0, ends_at - time.monotonic()),
                )
                for host in hosts
            )

    def _remove_entries(self) -> None:
        """Remove entries of workers in an outage of the store."""
        hosts = self._pick_workers()
        faults = list(self.deployment.store_faults_by_instance.values())
        kind = self.random.choice(_OUTAGES)
        with self._disrupt(f'entries {kind}', hosts, STORE) as ends_at:
            with cut(faults, kind):
                for host in hosts:
                    host.hide()
                _sleep_until(ends_at)
            _join(
                gevent.spawn_later(
                    self.random.uniform(0, _ENTRY_RETURN_S), host.show
                )
                for host in hosts
            )

    def _refuse_some_instances(self) -> None:
        instances = self.deployment.instances
        refused = self.random.sample(instances, max(1, len(instances) // 3))
        owners = self.deployment.list_owners()[:1]
        links = Links(deployment=self.deployment)
        faults = [
            fault
            for instance in {
                instance.name: instance for instance in (*refused, *owners)
            }.values()
            for fault in links.store(instance)
        ]
        kind = self.random.choice((*_OUTAGES, FaultKind.THROTTLED))
        with self._disrupt(f'some_refused {kind}', (), STORE) as ends_at:
            with cut(faults, kind):
                _sleep_until(ends_at)

    def _pause_owner_at_commits(self) -> None:
        """Pause owners between a commit and the orders that follow it."""
        store = self.deployment.store
        with self._disrupt('owner_paused', (), STORE) as ends_at:
            while time.monotonic() < ends_at:
                version = store.version
                while store.version == version and time.monotonic() < ends_at:
                    gevent.sleep(_POLL_INTERVAL_S)
                gevent.sleep(self.random.uniform(0, _COMMIT_TO_PAUSE_S))
                for owner in self._pick_owner():
                    self._pause_owner(owner)
                gevent.sleep(self.random.uniform(*_BETWEEN_PAUSES_S))

    def _pause_owner(self, owner: InstanceProcess) -> None:
        disruption = self.timeline.begin('freeze', owner.name)
        owner.send(signal.SIGSTOP)
        gevent.sleep(self.random.uniform(*_OWNER_PAUSE_S))
        owner.send(signal.SIGCONT)
        self.timeline.end(disruption)

    def _kill_owners(self) -> None:
        faults = InstanceFaults(
            deployment=self.deployment,
            timeline=self.timeline,
            random=self.random,
        )
        kills = []
        for _ in range(_OWNERS_IN_SERIES):
            kills.extend(
                gevent.spawn(
                    faults.kill, owner, self.random.uniform(*_SERIES_PAUSE_S)
                )
                for owner in self._pick_owner()
            )
            gevent.sleep(self.random.uniform(*_SERIES_PAUSE_S))
        _join(kills)

    def _cut_pairs(self) -> None:
        """Cut single pairs in one direction; half of them around an owner."""
        kind = self.random.choice(_PAIR_KINDS)
        instances = self.deployment.instances
        faults: list[CallFaults] = []
        links = Links(deployment=self.deployment)
        for number in range(_CUT_PAIRS):
            owners = self._pick_owner() if number % 2 else []
            caller = (owners or [self.random.choice(instances)])[0]
            hosts = [self.random.choice(self.deployment.workers)]
            callee = self.random.choice(instances)
            faults.extend(links.workers(caller, hosts))
            faults.extend(links.peers([caller], callee))
        with self._disrupt(f'pairs {kind}', (), STORE) as ends_at:
            with cut(faults, kind):
                _sleep_until(ends_at)

    def _silence_connections(self) -> None:
        hosts = self._pick_workers()
        with self._disrupt('half_open', hosts) as ends_at:
            while time.monotonic() < ends_at:
                for host in hosts:
                    host.faults.silence_connections()
                gevent.sleep(self.random.uniform(*_TURN_S))

    def _slow_workers(self) -> None:
        """Slow workers down, so that tasks are moved off them."""
        hosts = self._pick_workers()
        with self._disrupt('stragglers', hosts) as ends_at:
            for host in hosts:
                host.application.slowdown = _SLOWDOWN
                host.application.percent = _STALLED_PERCENT
            _sleep_until(ends_at)
            for host in hosts:
                host.application.slowdown = 1
                host.application.percent = _FULL_PERCENT

    def _replace_workers(self) -> None:
        """Have workers drain, so that tasks are moved, and start as others."""
        hosts = self._pick_workers()
        with self._disrupt('moves', hosts) as ends_at:
            _join(
                gevent.spawn(self._replace_one, host, ends_at) for host in hosts
            )

    def _replace_one(self, host: WorkerHost, ends_at: float) -> None:
        gevent.sleep(self.random.uniform(0, ends_at - time.monotonic()))
        if host.is_up:
            host.application.percent = _STALLED_PERCENT
            host.drain()
            gevent.sleep(self.random.uniform(*_DRAIN_S))
            host.application.percent = _FULL_PERCENT
            self._restart(host, is_renamed=True)

    def _pick_owner(self) -> list[InstanceProcess]:
        owners = [
            owner
            for owner in self.deployment.list_owners()
            if not owner.is_ending
        ]
        self.random.shuffle(owners)
        return owners[:1]

    def _pick_workers(self) -> list[WorkerHost]:
        hosts = [
            host
            for host in self.deployment.workers
            if host.is_up and not host.worker.is_draining
        ]
        count = min(len(hosts), max(1, round(len(hosts) * _STRUCK_SHARE)))
        return self.random.sample(hosts, count)

    @contextmanager
    def _disrupt(
        self, kind: str, hosts: Iterable[WorkerHost], *names: str
    ) -> Iterator[float]:
        names = (*names, *(host.worker.worker_id for host in hosts))
        disruptions = [self.timeline.begin(kind, name) for name in names]
        yield time.monotonic() + self.random.uniform(*_DURATION_S)
        for disruption in disruptions:
            self.timeline.end(disruption)


def _join(greenlets: Iterable[gevent.Greenlet]) -> None:
    gevent.joinall(list(greenlets))


def _sleep_until(ends_at: float) -> None:
    gevent.sleep(max(0, ends_at - time.monotonic()))

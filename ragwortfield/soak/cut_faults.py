"""Faults of the links between single instances, workers and the store."""

import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random

import gevent

from ragwortfield.platform.faulty_servers import CallFaults, FaultKind
from ragwortfield.soak.callers import CallerPool
from ragwortfield.soak.cuts import Links, cut
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.instance_faults import InstanceFaults
from ragwortfield.soak.processes import InstanceProcess
from ragwortfield.soak.timeline import Timeline
from ragwortfield.soak.workers import WorkerHost
from ragwortfield.types import Seconds

_CUT_KINDS = (FaultKind.HELD, FaultKind.SILENT, FaultKind.RESET)
_ONE_WAY_KINDS = (FaultKind.HELD, FaultKind.UNANSWERED)
#: Shortest and longest duration of a cut around an owner, in seconds. Its
#: successor takes over after about two seconds, and gives up the workers that
#: it does not reach over seven seconds later.
_CUT_S = (12, 18)
#: Shortest and longest duration of other cuts and of pauses, in seconds.
_SHORT_S = (2, 8)
#: Shortest and longest time from a takeover to the loss of the new owner, in
#: seconds.
_SUCCESSOR_TERM_S = (0.5, 3)
#: Longest wait for a successor, and interval of the checks, in seconds.
_TAKEOVER_TIMEOUT_S: Seconds = 6
_POLL_INTERVAL_S: Seconds = 0.05
#: Smallest and largest share of the busy workers that an owner keeps.
_KEPT_SHARE = (0.2, 0.5)
_HELD_SHARE = 0.3
#: Number of the latest jobs from which those to cancel are chosen.
_CANCEL_CHOICE = 12
#: Longest pause between two cancellations, in seconds.
_CANCEL_PAUSE_S: Seconds = 2


@dataclass(kw_only=True, slots=True)
class CutFaults:
    """Cuts links of a deployment, and pauses what is at their ends."""

    deployment: SoakDeployment
    timeline: Timeline
    random: Random
    callers: CallerPool

    def unplanned(self) -> dict[str, Callable[[], None]]:
        """
        Return the faults.

        :returns: function that strikes, by kind.
        """
        return {
            'owner_isolated': self._isolate_owner,
            'owner_isolated_freeze': lambda: self._isolate_owner(self._freeze),
            'owner_isolated_succession': lambda: self._isolate_owner(
                self._lose_successor
            ),
            'owner_cut': self._cut_owner,
            'owner_cut_freeze': lambda: self._cut_owner(self._freeze),
            'owner_cut_one_way': self._cut_owner_one_way,
            'owner_held_orders': self._hold_orders_of_owner,
            'half_cut': self._cut_half,
            'srv_freeze': self._freeze_workers,
            'cancel_wave': self._cancel_jobs,
        }

    def _isolate_owner(
        self, strike: Callable[[InstanceProcess], None] | None = None
    ) -> None:
        """Cut an owner off with some of the busy workers."""
        for owner in self.deployment.list_owners()[:1]:
            kept = self._pick_busy_workers()
            links = Links(deployment=self.deployment)
            names = [owner.name, *(host.worker.worker_id for host in kept)]
            self._cut_around(owner, links.isolation(owner, kept), names, strike)

    def _cut_owner(
        self, strike: Callable[[InstanceProcess], None] | None = None
    ) -> None:
        """Cut an owner from its peers and the store; it keeps all workers."""
        for owner in self.deployment.list_owners()[:1]:
            links = Links(deployment=self.deployment)
            self._cut_around(owner, links.around(owner), [owner.name], strike)

    def _cut_around(
        self,
        owner: InstanceProcess,
        faults: list[CallFaults],
        names: list[str],
        strike: Callable[[InstanceProcess], None] | None,
    ) -> None:
        kind = self.random.choice(_CUT_KINDS)
        ends_at = time.monotonic() + self.random.uniform(*_CUT_S)
        with self._disrupt(f'cut {kind}', names), cut(faults, kind):
            if strike is not None:
                strike(owner)
            gevent.sleep(max(0, ends_at - time.monotonic()))

    def _freeze(self, owner: InstanceProcess) -> None:
        gevent.sleep(self.random.uniform(*_SUCCESSOR_TERM_S))
        self._instance_faults().freeze(owner, self.random.uniform(*_SHORT_S))

    def _lose_successor(self, owner: InstanceProcess) -> None:
        """Kill or freeze the successor shortly after its takeover."""
        successor = self._await_successor(owner)
        if successor is None:
            return
        gevent.sleep(self.random.uniform(*_SUCCESSOR_TERM_S))
        faults = self._instance_faults()
        strike = self.random.choice((faults.kill, faults.freeze))
        strike(successor, self.random.uniform(*_SHORT_S))

    def _instance_faults(self) -> InstanceFaults:
        return InstanceFaults(
            deployment=self.deployment,
            timeline=self.timeline,
            random=self.random,
        )

    def _await_successor(
        self, owner: InstanceProcess
    ) -> InstanceProcess | None:
        ends_at = time.monotonic() + _TAKEOVER_TIMEOUT_S
        while time.monotonic() < ends_at:
            for successor in self.deployment.list_owners():
                if successor is not owner:
                    return successor
            gevent.sleep(_POLL_INTERVAL_S)
        return None

    def _cut_owner_one_way(self) -> None:
        """Lose either what an owner sends or what it receives."""
        for owner in self.deployment.list_owners()[:1]:
            links = Links(deployment=self.deployment)
            peers = self.deployment.instances
            kinds = list(_ONE_WAY_KINDS)
            self.random.shuffle(kinds)
            called = links.peers(peers, owner)
            calls = links.calls(owner)
            with (
                self._disrupt('one_way', [owner.name]),
                cut(calls, kinds[0]),
                cut(called, kinds[1]),
            ):
                gevent.sleep(self.random.uniform(*_CUT_S))

    def _hold_orders_of_owner(self) -> None:
        """Have orders of an owner arrive late at some workers."""
        for owner in self.deployment.list_owners()[:1]:
            hosts = self._pick_busy_workers()
            faults = Links(deployment=self.deployment).workers(owner, hosts)
            names = [owner.name, *(host.worker.worker_id for host in hosts)]
            with self._disrupt('held_orders', names), cut(faults):
                gevent.sleep(self.random.uniform(*_SHORT_S))

    def _cut_half(self) -> None:
        """Cut half of the instances, an owner first, from all others."""
        instances = list(self.deployment.instances)
        self.random.shuffle(instances)
        owners = self.deployment.list_owners()
        instances.sort(key=lambda instance: instance not in owners)
        half = instances[: len(instances) // 2]
        rest = instances[len(half) :]
        links = Links(deployment=self.deployment)
        faults = []
        for instance in half:
            faults.extend(links.store(instance))
            faults.extend(links.peers(rest, instance))
        for instance in rest:
            faults.extend(links.peers(half, instance))
        names = [instance.name for instance in half]
        kind = self.random.choice(_CUT_KINDS)
        with self._disrupt(f'half_cut {kind}', names), cut(faults, kind):
            gevent.sleep(self.random.uniform(*_CUT_S))

    def _freeze_workers(self) -> None:
        """Have workers carry out their orders after a pause."""
        hosts = self._pick_busy_workers(_HELD_SHARE)
        faults = [host.faults for host in hosts]
        names = [host.worker.worker_id for host in hosts]
        with self._disrupt('srv_freeze', names), cut(faults):
            gevent.sleep(self.random.uniform(*_SHORT_S))

    def _cancel_jobs(self) -> None:
        """Cancel jobs one after another, also while other faults strike."""
        ends_at = time.monotonic() + self.random.uniform(*_CUT_S)
        while time.monotonic() < ends_at and not self.callers.is_ending:
            gevent.sleep(self.random.uniform(0, _CANCEL_PAUSE_S))
            jobs = self.deployment.jobs.list_accepted()[-_CANCEL_CHOICE:]
            if jobs:
                gevent.spawn(self.callers.cancel, self.random.choice(jobs))

    def _pick_busy_workers(self, share: float = 0) -> list[WorkerHost]:
        share = share or self.random.uniform(*_KEPT_SHARE)
        busy = [
            host
            for host in self.deployment.workers
            if host.is_up and host.worker.run_by_key
        ]
        return self.random.sample(
            busy, min(len(busy), max(1, round(len(busy) * share)))
        )

    @contextmanager
    def _disrupt(self, kind: str, names: Iterable[str]) -> Iterator[None]:
        disruptions = [self.timeline.begin(kind, name) for name in names]
        yield
        for disruption in disruptions:
            self.timeline.end(disruption)

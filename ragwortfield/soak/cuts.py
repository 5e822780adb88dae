"""Cuts between single instances, workers and the store."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from ragwortfield.platform.faulty_servers import CallFaults, FaultKind
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.processes import InstanceProcess
from ragwortfield.soak.workers import WorkerHost


@dataclass(frozen=True, kw_only=True, slots=True)
class Links:
    """
    Finds the links of a deployment, which are cut by their faults.

    :param deployment: the deployment.
    """

    deployment: SoakDeployment

    def store(self, caller: InstanceProcess) -> list[CallFaults]:
        """
        Find the link of an instance to the store.

        :param caller: the instance.
        :returns: its faults.
        """
        return [self.deployment.store_faults_by_instance[caller.name]]

    def peers(
        self, callers: Iterable[InstanceProcess], callee: InstanceProcess
    ) -> list[CallFaults]:
        """
        Find the links on which instances call another one.

        :param callers: instances that call.
        :param callee: instance that is called.
        :returns: the faults of each link.
        """
        links = self.deployment.links_by_instance[callee.name]
        return [
            links.faults_by_host[caller.caller_host]
            for caller in callers
            if caller is not callee
        ]

    def workers(
        self, caller: InstanceProcess, hosts: Iterable[WorkerHost]
    ) -> list[CallFaults]:
        """
        Find the links of an instance to workers.

        :param caller: the instance.
        :param hosts: the workers.
        :returns: the faults of each link.
        """
        return [
            host.caller_faults.faults_by_host[caller.caller_host]
            for host in hosts
        ]

    def calls(self, caller: InstanceProcess) -> list[CallFaults]:
        """
        Find the links on which an instance calls the store and its peers.

        :param caller: the instance.
        :returns: the faults of each link.
        """
        return self.store(caller) + [
            fault
            for peer in self.deployment.instances
            for fault in self.peers([caller], peer)
        ]

    def around(self, centre: InstanceProcess) -> list[CallFaults]:
        """
        Find all links between an instance, the store and its peers.

        :param centre: the instance.
        :returns: the faults of each link.
        """
        called = self.peers(self.deployment.instances, centre)
        return self.calls(centre) + called

    def reserve(
        self, centre: InstanceProcess, kept: Iterable[WorkerHost]
    ) -> list[CallFaults]:
        """
        Find the links that leave an instance with some workers.

        :param centre: instance that reaches no other worker.
        :param kept: workers that no other instance reaches.
        :returns: the faults of each link.
        """
        kept = list(kept)
        rest = [host for host in self.deployment.workers if host not in kept]
        others = [
            fault
            for instance in self.deployment.instances
            if instance is not centre
            for fault in self.workers(instance, kept)
        ]
        return self.workers(centre, rest) + others

    def isolation(
        self, centre: InstanceProcess, kept: Iterable[WorkerHost]
    ) -> list[CallFaults]:
        """
        Find the links that leave an instance alone with some workers.

        :param centre: instance that reaches no peer and not the store.
        :param kept: workers that it reaches, and that no other one reaches.
        :returns: the faults of each link.
        """
        return self.around(centre) + self.reserve(centre, kept)


@contextmanager
def cut(
    faults: list[CallFaults], kind: FaultKind = FaultKind.HELD
) -> Iterator[None]:
    """
    Cut links until the context ends.

    Links that another fault has struck meanwhile are left to that one.

    :param faults: faults of the links.
    :param kind: what happens to the calls.
    """
    for fault in faults:
        fault.kind = kind
    yield
    for fault in faults:
        if fault.kind == kind:
            fault.kind = FaultKind.NONE

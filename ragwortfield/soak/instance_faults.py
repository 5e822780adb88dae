"""Faults of instances and planned work on them."""

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import gevent

from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.processes import InstanceProcess
from ragwortfield.soak.site import BOUNDS
from ragwortfield.soak.timeline import RELOAD, Timeline
from ragwortfield.types import Seconds

#: Time for which an instance can be under the effect of SIGHUP, in seconds.
_RELOAD_S: Seconds = 2.5
#: Run and pause of a process that is slowed down, in seconds.
_SLOW_RUN_S: Seconds = 0.02
_SLOW_PAUSE_S: Seconds = 0.08
#: Share of the instances that planned work strikes.
_STOPPED_SHARE = 0.6
#: Share of the instances that other faults strike.
_STRUCK_SHARE = 0.2
#: Shortest and longest duration of a fault, in seconds.
_DURATION_S = (2, 10)
#: Pause between the ends of two instances that are stopped in turn, in
#: seconds.
_GAP_S: Seconds = 1.3


@dataclass(kw_only=True, slots=True)
class InstanceFaults:
    """Strikes instances of a deployment."""

    deployment: SoakDeployment
    timeline: Timeline
    random: Random

    def planned(self) -> dict[str, Callable[[], None]]:
        """
        Return the planned work on instances.

        :returns: function that carries it out, by kind.
        """
        return {
            'roll_term': self.stop_in_turn,
            'roll_term_together': self.stop_overlapping,
            'owner_term': self.stop_owner,
            'hup': self.hang_up,
            'add_nodes': self.add,
            'replace_planned': self.replace_planned,
        }

    def unplanned(self) -> dict[str, Callable[[], None]]:
        """
        Return the faults of instances.

        :returns: function that strikes, by kind.
        """
        return {
            'node_kill': lambda: self._strike_each(self.kill, self._pick()),
            'node_power': lambda: self._strike_each(self.darken, self._pick()),
            'node_freeze': lambda: self._strike_each(self.freeze, self._pick()),
            'node_slow': lambda: self._strike_each(self.slow, self._pick()),
            'owner_kill': lambda: self._strike_each(self.kill, self._owners()),
            'owner_freeze': lambda: self._strike_each(
                self.freeze, self._owners()
            ),
            'owner_power': lambda: self._strike_each(
                self.darken, self._owners()
            ),
            'owner_gone': self.replace_owners,
            'replace_core': self.replace,
            'herd_kill': lambda: self._strike_each(self.kill, self._all()),
            'herd_power': self.lose_power,
        }

    def stop_in_turn(self) -> None:
        """Stop and start part of the instances, one after another."""
        for instance in self._pick(_STOPPED_SHARE):
            self.terminate(instance)
            gevent.sleep(_GAP_S)

    def stop_overlapping(self) -> None:
        """Stop part of the instances before the first are back."""
        stops = []
        for instance in self._pick(_STOPPED_SHARE):
            stops.append(gevent.spawn(self.terminate, instance))
            gevent.sleep(_GAP_S)
        gevent.joinall(stops)

    def stop_owner(self) -> None:
        """Stop and start the owners of all shards."""
        gevent.joinall(
            [gevent.spawn(self.terminate, owner) for owner in self._owners()]
        )

    def hang_up(self) -> None:
        """Send SIGHUP to part of the instances, also while others stop."""
        for instance in self._pick(_STOPPED_SHARE):
            disruption = self.timeline.begin(
                RELOAD, instance.name, is_planned=True
            )
            instance.send(signal.SIGHUP)
            gevent.sleep(_RELOAD_S)
            self.timeline.end(disruption)

    def add(self) -> None:
        """Add an instance."""
        disruption = self.timeline.begin('add_nodes', is_planned=True)
        centre = self.random.choice(self.deployment.site.data_centres)
        self.deployment.add_instance(centre).start()
        self.timeline.end(disruption)

    def replace_planned(self) -> None:
        """Add an instance and stop another one for good."""
        old = self.random.choice(self.deployment.instances)
        self.add()
        gevent.sleep(_RELOAD_S)
        self.terminate(old, is_back=False)

    def replace(self) -> None:
        """Kill an instance for good and add one a little later."""
        self._replace(self.random.choice(self.deployment.instances))

    def replace_owners(self) -> None:
        """Kill the owners for good and add as many instances later."""
        gevent.joinall(
            [gevent.spawn(self._replace, owner) for owner in self._owners()]
        )

    def lose_power(self) -> None:
        """Have all instances fall silent at one moment, and start them all."""
        instances = self._all()
        for instance in instances:
            instance.send(signal.SIGSTOP)
        self._strike_each(self.darken, instances)

    def terminate(
        self, instance: InstanceProcess, *, is_back: bool = True
    ) -> None:
        """
        Stop an instance as planned, and kill it after the grace period.

        :param instance: the instance.
        :param is_back: whether it is started again.
        """
        if instance not in self.deployment.instances or instance.is_ending:
            return
        disruption = self.timeline.begin('term', instance.name, is_planned=True)
        instance.send(signal.SIGTERM)
        if not instance.wait(BOUNDS['grace_s']):
            self.timeline.record('grace_exceeded', instance=instance.name)
            instance.kill()
        if is_back:
            instance.start()
        else:
            self.deployment.remove_instance(instance)
        self.timeline.end(disruption)

    def kill(self, instance: InstanceProcess, for_s: Seconds) -> None:
        """
        Kill an instance and start it again.

        :param instance: the instance.
        :param for_s: time until it is started again, in seconds.
        """
        disruption = self.timeline.begin('kill', instance.name)
        instance.kill()
        gevent.sleep(for_s)
        instance.start()
        self.timeline.end(disruption)

    def darken(self, instance: InstanceProcess, for_s: Seconds) -> None:
        """
        Have an instance fall silent without a reset, and start it again.

        :param instance: the instance.
        :param for_s: time until it is started again, in seconds.
        """
        disruption = self.timeline.begin('power', instance.name)
        instance.send(signal.SIGSTOP)
        gevent.sleep(for_s)
        instance.kill()
        instance.start()
        self.timeline.end(disruption)

    def freeze(self, instance: InstanceProcess, for_s: Seconds) -> None:
        """
        Freeze an instance, which then goes on.

        :param instance: the instance.
        :param for_s: duration of the freeze, in seconds.
        """
        disruption = self.timeline.begin('freeze', instance.name)
        instance.send(signal.SIGSTOP)
        gevent.sleep(for_s)
        instance.send(signal.SIGCONT)
        self.timeline.end(disruption)

    def slow(self, instance: InstanceProcess, for_s: Seconds) -> None:
        """
        Let an instance run a fifth of the time.

        :param instance: the instance.
        :param for_s: duration, in seconds.
        """
        disruption = self.timeline.begin('slow', instance.name)
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            instance.send(signal.SIGSTOP)
            gevent.sleep(_SLOW_PAUSE_S)
            instance.send(signal.SIGCONT)
            gevent.sleep(_SLOW_RUN_S)
        self.timeline.end(disruption)

    def _replace(self, old: InstanceProcess) -> None:
        disruption = self.timeline.begin('replace_core', old.name)
        self.deployment.remove_instance(old)
        old.kill()
        gevent.sleep(self.random.uniform(1, 2))
        self.deployment.add_instance(old.data_centre).start()
        self.timeline.end(disruption)

    def _strike_each(
        self,
        strike: Callable[[InstanceProcess, Seconds], None],
        instances: list[InstanceProcess],
    ) -> None:
        for_s = self.random.uniform(*_DURATION_S)
        gevent.joinall(
            [gevent.spawn(strike, instance, for_s) for instance in instances]
        )

    def _all(self) -> list[InstanceProcess]:
        return [
            instance
            for instance in self.deployment.instances
            if not instance.is_ending
        ]

    def _owners(self) -> list[InstanceProcess]:
        return [
            instance
            for instance in self.deployment.list_owners()
            if not instance.is_ending
        ]

    def _pick(self, share: float = _STRUCK_SHARE) -> list[InstanceProcess]:
        instances = self._all()
        count = max(1, round(len(instances) * share))
        return self.random.sample(instances, min(count, len(instances)))

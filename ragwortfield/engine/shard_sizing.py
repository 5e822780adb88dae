"""How many shards a deployment gets when it first starts.

Workers register one after another, within about two heartbeats of the start.
A division made from the first few of them would be far too coarse for good,
so the pool counts as known once its size has stayed the same for a while.
"""

from dataclasses import dataclass

from ragwortfield.types import MonotonicTime, Seconds

#: Workers that an owner carries for each core that it has.
_WORKERS_PER_CORE = 100
#: Fewest workers that a shard is meant for: a wide step finds no room in a
#: smaller one.
_MIN_WORKERS_PER_SHARD = 16
#: Time for which the number of workers stays the same before it counts as
#: the pool's size, in seconds: a heartbeat.
_STABLE_S: Seconds = 1.5
#: Time after which the division is made from the workers that there are.
_SIZING_TIMEOUT_S: Seconds = 6
#: Members that look at the pool; the others wait for their division.
_OBSERVERS = 3
#: Time in which other members register before ranks count, in seconds.
_REGISTRATION_GRACE_S: Seconds = 1


def choose_shard_count(workers: int, expected_owner_cores: float) -> int:
    """
    Size the division: as few shards as their owners can carry.

    Work is not handed between shards, so each further one leaves room unused
    that tasks of another wait for.

    :param workers: number of workers in the pool.
    :param expected_owner_cores: processor of the instances that own shards, in cores.
    :returns: number of shards, at least one.
    """
    carried = max(
        _WORKERS_PER_CORE * expected_owner_cores, _MIN_WORKERS_PER_SHARD
    )
    return max(round(workers / carried), 1)


@dataclass(kw_only=True, slots=True)
class PoolSizeMonitor:
    """
    Looks at a pool that is filling.

    :param started_at: when this instance began to look.
    """

    started_at: MonotonicTime
    _seen: int = 0
    _seen_at: MonotonicTime = 0

    def is_observer(self, rank: int, now: MonotonicTime) -> bool:
        """
        Tell whether this instance should look at the pool.

        :param rank: its rank as owner of the first shard.
        :param now: reading of the monotonic clock.
        :returns: whether it is among the first, or they have done nothing.
        """
        waited_s = now - self.started_at
        is_first = rank < _OBSERVERS and waited_s > _REGISTRATION_GRACE_S
        return is_first or waited_s > 2 * _SIZING_TIMEOUT_S

    def is_size_stable(self, workers: int, now: MonotonicTime) -> bool:
        """
        Take a look in.

        :param workers: number of workers that are registered.
        :param now: reading of the monotonic clock.
        :returns: whether the pool's size is known.
        """
        if workers != self._seen:
            self._seen = workers
            self._seen_at = now
        is_late = now - self.started_at > _SIZING_TIMEOUT_S
        return workers > 0 and (is_late or now - self._seen_at >= _STABLE_S)

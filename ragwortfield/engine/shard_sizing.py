"""Choice of the number of shards when a deployment first starts.

Workers register one after another, within about two heartbeats of the start.
The number of shards is permanent, and one derived from the first few workers
would be far too low. So the size of the pool counts as known only after it has
not changed for a while.
"""

from dataclasses import dataclass

from ragwortfield.types import MonotonicTime, Seconds

#: Workers that an owner can manage per CPU core.
_WORKERS_PER_CORE = 100
#: Smallest number of workers that a shard is sized for; a step with many tasks
#: does not fit into a smaller one.
_MIN_WORKERS_PER_SHARD = 16
#: Time without a change after which the number of workers counts as the size
#: of the pool, in seconds; one heartbeat interval.
_STABLE_S: Seconds = 1.5
#: Time after which the number of shards is derived from the workers registered
#: so far, in seconds.
_SIZING_TIMEOUT_S: Seconds = 6
#: Number of members that observe the pool; the others wait for the layout that
#: these write.
_OBSERVERS = 3
#: Time allowed for other members to register before ranks are used, in
#: seconds.
_REGISTRATION_GRACE_S: Seconds = 1


def choose_shard_count(workers: int, expected_owner_cores: float) -> int:
    """
    Choose the smallest number of shards that their owners can manage.

    Tasks do not move between shards, so with each additional shard more
    capacity stays idle while tasks of another shard wait for it.

    :param workers: number of workers in the pool.
    :param expected_owner_cores: CPU cores of an instance that owns a shard.
    :returns: number of shards, at least one.
    """
    workers_per_shard = max(
        _WORKERS_PER_CORE * expected_owner_cores,
        _MIN_WORKERS_PER_SHARD,
    )
    return max(round(workers / workers_per_shard), 1)


@dataclass(kw_only=True, slots=True)
class PoolSizeMonitor:
    """
    Tracks the size of the pool while workers register.

    :param started_at: when this instance began to monitor the pool, on the
        monotonic clock.
    """

    started_at: MonotonicTime
    _last_worker_count: int = 0
    _changed_at: MonotonicTime = 0

    def is_observer(self, rank: int, now: MonotonicTime) -> bool:
        """
        Tell whether this instance should observe the pool.

        :param rank: its rank as owner of the first shard.
        :param now: monotonic time, in seconds.
        :returns: whether it is among the first observers, or these have not
            written a layout within twice the sizing time-out.
        """
        waited_s = now - self.started_at
        is_among_first = rank < _OBSERVERS and waited_s > _REGISTRATION_GRACE_S
        return is_among_first or waited_s > 2 * _SIZING_TIMEOUT_S

    def is_size_stable(self, workers: int, now: MonotonicTime) -> bool:
        """
        Record the number of workers and tell whether it has stopped changing.

        :param workers: number of workers that are registered.
        :param now: monotonic time, in seconds.
        :returns: whether the number is stable or the sizing time-out is over;
            never while no worker is registered.
        """
        if workers != self._last_worker_count:
            self._last_worker_count = workers
            self._changed_at = now
        is_timed_out = now - self.started_at > _SIZING_TIMEOUT_S
        return workers > 0 and (
            is_timed_out or now - self._changed_at >= _STABLE_S
        )

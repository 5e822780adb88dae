"""Until when an owner knows that it has not been replaced.

Whoever replaces an owner writes its row in the store first, and then sends its
own, higher fencing token to the workers. So two things show an owner that at
some time nobody had replaced it: a call to the store sent at that time that
found its row unchanged, and, while the store is away, orders sent since then
that more than half of its workers have accepted. For the latter the owner
records in the store which workers it counts, its electorate: a successor that
has fenced half of them knows that the former owner finds no majority any more.

An owner extends leases and starts runs for a bounded time after the latest such
confirmation, by its own clock, and whether or not anybody tells it of its
replacement. Its successor waits for that time.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ragwortfield.scheduling.timing_bounds import (
    MAX_CLOCK_DRIFT,
    TimingBounds,
)
from ragwortfield.types import MonotonicTime, Seconds, WorkerId

#: Start of each worker's process, as Unix time in milliseconds, by worker. A
#: restarted worker has forgotten which fencing tokens it has seen.
Electorate = Mapping[WorkerId, int]

#: Suspensions up to this long are not told from the time between the readings
#: of two clocks, in seconds.
_CLOCK_ERROR_S: Seconds = 0.001
#: Age of the latest confirmation by the store up to which the store counts as
#: in reach, in seconds. An owner renews it every half second.
_MAX_STORE_AGE_S: Seconds = 2


@dataclass(kw_only=True, slots=True)
class OwnershipConfirmation:
    """
    Evidence that an owner has not been replaced.

    :param stored_at: monotonic time at which the latest call to the store was
        sent that found the owner's row unchanged.
    :param electorates: workers whose majority confirms the ownership. There
        is more than one while it is not known which of them is stored, and
        then each needs a majority; none before the first is stored.
    :param poll_by_worker: the latest accepted poll of each worker: start of
        its process, and monotonic time at which the poll was sent.
    :param suspended_s: how long the machine had been suspended since its
        start at the latest check, in seconds; monotonic time stands still
        then.
    :param suspension_found_at: monotonic time at which the latest suspension
        was found; calls sent before it confirm nothing.
    """

    stored_at: MonotonicTime
    electorates: tuple[Electorate, ...] = ()
    poll_by_worker: dict[WorkerId, tuple[int, MonotonicTime]] = field(
        default_factory=dict
    )
    suspended_s: Seconds = 0
    suspension_found_at: MonotonicTime = 0

    def record_store_call(self, sent_at: MonotonicTime) -> None:
        """
        Record a call to the store that found the owner's row unchanged.

        :param sent_at: monotonic time at which the call was sent.
        """
        if sent_at >= self.suspension_found_at:
            self.stored_at = max(self.stored_at, sent_at)

    def record_poll(
        self, worker_id: WorkerId, born_ms: int, sent_at: MonotonicTime
    ) -> None:
        """
        Record that a worker has accepted a poll with the owner's token.

        :param worker_id: the worker.
        :param born_ms: start of its process, as Unix time in milliseconds.
        :param sent_at: monotonic time at which the poll was sent.
        """
        if sent_at >= self.suspension_found_at:
            self.poll_by_worker[worker_id] = (born_ms, sent_at)

    def record_suspension(
        self, suspended_s: Seconds, now: MonotonicTime
    ) -> None:
        """
        Count the time for which the machine was suspended.

        It has to be counted before a call is recorded that was under way.

        :param suspended_s: how long it has been suspended since its start, in
            seconds.
        :param now: monotonic time, in seconds.
        """
        passed_s = suspended_s - self.suspended_s
        if passed_s <= _CLOCK_ERROR_S:
            return
        self.suspended_s = suspended_s
        self.suspension_found_at = now
        self.stored_at -= passed_s
        for worker_id, (born_ms, sent_at) in self.poll_by_worker.items():
            self.poll_by_worker[worker_id] = (born_ms, sent_at - passed_s)

    def valid_until(self, bounds: TimingBounds) -> MonotonicTime:
        """
        Return until when the owner may extend leases and start runs.

        :param bounds: timing bounds in force.
        :returns: monotonic time, in seconds.
        """
        confirmed_at = max(self.stored_at, self._find_majority_time())
        return min(
            confirmed_at + bounds.unaware_s * (1 - MAX_CLOCK_DRIFT),
            self.stored_at + bounds.longest_outage_s * (1 - MAX_CLOCK_DRIFT),
        )

    def is_valid(self, bounds: TimingBounds, now: MonotonicTime) -> bool:
        """
        Tell whether the owner may extend leases and start runs.

        :param bounds: timing bounds in force.
        :param now: monotonic time, in seconds.
        :returns: whether it was confirmed a short time ago.
        """
        # Without an outage, this spares the search for a majority.
        unaware_s = bounds.unaware_s * (1 - MAX_CLOCK_DRIFT)
        return now <= self.stored_at + unaware_s or (
            now <= self.valid_until(bounds)
        )

    def is_store_in_reach(self, now: MonotonicTime) -> bool:
        """
        Tell whether a change is likely to be committed soon.

        :param now: monotonic time, in seconds.
        :returns: whether a call to the store succeeded a short time ago.
        """
        return now - self.stored_at <= _MAX_STORE_AGE_S

    def _find_majority_time(self) -> MonotonicTime:
        """
        Find the time at which no majority can have been fenced.

        :returns: latest monotonic time since which more than half of each
            electorate were sent a poll that they accepted; minus infinity if
            there is none.
        """
        return min(
            (
                self._find_majority_time_of(electorate)
                for electorate in self.electorates
            ),
            default=-math.inf,
        )

    def _find_majority_time_of(self, electorate: Electorate) -> MonotonicTime:
        sent_times = []
        for worker_id, born_ms in electorate.items():
            poll = self.poll_by_worker.get(worker_id)
            if poll is not None and poll[0] == born_ms:
                sent_times.append(poll[1])
        majority = len(electorate) // 2 + 1
        if len(sent_times) < majority:
            return -math.inf
        return sorted(sent_times, reverse=True)[majority - 1]


@dataclass(kw_only=True, slots=True)
class FormerElectorate:
    """
    Workers that may have confirmed an earlier owner while the store was away.

    :param epoch: fencing token of the owner that recorded them; 0 if none has.
    :param electorate: the workers.
    :param fenced_at: monotonic time at which so many of them had accepted the
        present owner's token that the others are no majority; ``None`` before
        that.
    """

    epoch: int = 0
    electorate: Electorate = field(default_factory=dict)
    fenced_at: MonotonicTime | None = None
    _fenced_worker_ids: set[WorkerId] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Without recorded workers there is no majority to prevent."""
        if not self.electorate and self.fenced_at is None:
            self.fenced_at = -math.inf

    def record_fenced(self, worker_id: WorkerId, now: MonotonicTime) -> None:
        """
        Record that a worker has accepted the present owner's token.

        A worker that has restarted since counts as well: it does not confirm
        an owner that knows its former process.

        :param worker_id: the worker.
        :param now: monotonic time, in seconds.
        """
        if self.fenced_at is not None or worker_id not in self.electorate:
            return
        self._fenced_worker_ids.add(worker_id)
        if 2 * len(self._fenced_worker_ids) >= len(self.electorate):
            self.fenced_at = now

    def count_unfenced(self) -> int:
        """
        Count the workers that may still accept an earlier owner's token.

        :returns: number of workers.
        """
        return len(set(self.electorate) - self._fenced_worker_ids)

    def record_ended(self, epoch: int) -> None:
        """
        Record that the process of an earlier owner has ended.

        :param epoch: its fencing token.
        """
        if epoch and epoch == self.epoch:
            self.fenced_at = -math.inf

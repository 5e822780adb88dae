"""One round of decisions on everything that an owner's shard holds."""

from dataclasses import dataclass

from ragwortfield.scheduling import (
    defragmentation,
    commits,
    consolidation,
    dispatch,
    evacuation,
    shard_updates,
    interference_control,
    filler_relocation,
    worker_reports,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.types import MonotonicTime, Seconds, WallTime

#: Time between rounds of slow-moving decisions, in seconds.
_SLOW_ROUND_INTERVAL_S: Seconds = 0.1
#: Time between looks for jobs that can be forgotten, in seconds.
_EXPIRY_INTERVAL_S: Seconds = 5


@dataclass(kw_only=True, slots=True)
class SchedulingRounds:
    """
    Rounds of decisions of one owner.

    :param last_slow_round_at: latest round of slow-moving decisions.
    :param last_expiry_at: latest look for jobs that can be forgotten.
    """

    last_slow_round_at: MonotonicTime = 0
    last_expiry_at: MonotonicTime = 0

    def decide(
        self,
        state: ShardState,
        now: MonotonicTime,
        *,
        wall_time: WallTime,
        is_binding_allowed: bool,
    ) -> None:
        """
        Decide what is due; orders and changes are left in the tables.

        :param state: tables of the shard.
        :param now: reading of the monotonic clock.
        :param wall_time: wall clock, not ahead of the true time.
        :param is_binding_allowed: whether waiting tasks may be given to workers.
        """
        if now - self.last_slow_round_at > _SLOW_ROUND_INTERVAL_S:
            self.last_slow_round_at = now
            shard_updates.create_due_occurrences(state, wall_time)
            worker_reports.release_expired_leases(state, now)
            worker_reports.retry_stop_orders(state, now)
            dispatch.retry_start_orders(state, now)
            interference_control.adjust_paces(state, now)
            filler_relocation.relocate_stalled_fillers(state, now)
            consolidation.consolidate(state, now)
            evacuation.evacuate(state, now)
        if now - self.last_expiry_at > _EXPIRY_INTERVAL_S:
            self.last_expiry_at = now
            commits.expire_finished_jobs(state, now)
        if is_binding_allowed:
            dispatch.dispatch(state, now)
            # What still waits has found no room in this round.
            defragmentation.defragment(state, now)

"""Rounds of scheduling decisions on an owner's shard."""

from dataclasses import dataclass, field

from ragwortfield.scheduling import (
    commits,
    consolidation,
    defragmentation,
    dispatch,
    evacuated_zones,
    evacuation,
    filler_relocation,
    interference_control,
    shard_updates,
    stragglers,
    worker_reports,
    zone_drain,
)
from ragwortfield.scheduling.overload_control import OverloadControl
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.wait_causes import WaitRecorder
from ragwortfield.types import MonotonicTime, Seconds, WallTime

#: Interval of the decisions that need not be made in every round, in seconds.
_SLOW_ROUND_INTERVAL_S: Seconds = 0.1
#: Interval of the search for expired jobs, in seconds.
_EXPIRY_INTERVAL_S: Seconds = 5


@dataclass(kw_only=True, slots=True)
class SchedulingRounds:
    """
    Runs the decisions of one owner and remembers when each was last due.

    :param last_slow_round_at: monotonic time of the latest round that included
        the slower decisions.
    :param last_expiry_at: monotonic time of the latest search for expired jobs.
    :param waits: records what the jobs wait for.
    :param overload: plans which jobs are deferred.
    """

    last_slow_round_at: MonotonicTime = 0
    last_expiry_at: MonotonicTime = 0
    waits: WaitRecorder = field(default_factory=WaitRecorder)
    overload: OverloadControl = field(default_factory=OverloadControl)

    def decide(
        self,
        state: ShardState,
        now: MonotonicTime,
        *,
        wall_time: WallTime,
        is_binding_allowed: bool,
    ) -> None:
        """
        Make the decisions that are due; leave orders and changes in the state.

        :param state: state of the shard.
        :param now: monotonic time, in seconds.
        :param wall_time: wall-clock time that is not ahead of the true time.
        :param is_binding_allowed: whether waiting tasks may be bound to
            workers.
        """
        # A task that is moved starts elsewhere only after a commit.
        is_store_in_reach = state.confirmation.is_store_in_reach(now)
        evacuated_zones.release_unordered_tasks(state, now)
        commits.order_held_starts(state, now)
        if now - self.last_slow_round_at > _SLOW_ROUND_INTERVAL_S:
            self.last_slow_round_at = now
            shard_updates.create_due_occurrences(state, wall_time)
            worker_reports.release_expired_leases(state, now)
            worker_reports.retry_stop_orders(state, now)
            dispatch.retry_start_orders(state, now)
            interference_control.adjust_paces(state, now)
            if is_store_in_reach:
                _move_running_tasks(state, now)
        if now - self.last_expiry_at > _EXPIRY_INTERVAL_S:
            self.last_expiry_at = now
            commits.expire_finished_jobs(state, now)
        if state.settings.is_overload_planned:
            self.overload.update(state, now)
        is_confirmed = state.confirmation.is_valid(state.bounds, now)
        if is_binding_allowed and is_confirmed:
            dispatch.dispatch(state, now)
            if is_store_in_reach:
                # Tasks that still wait have found no free capacity in this
                # round.
                defragmentation.defragment(state, now)
                stragglers.handle_stragglers(state, now)
        self.waits.sample(state, now)


def _move_running_tasks(state: ShardState, now: MonotonicTime) -> None:
    filler_relocation.relocate_stalled_fillers(state, now)
    consolidation.consolidate(state, now)
    evacuation.evacuate(state, now)
    zone_drain.drain_zones(state, now)

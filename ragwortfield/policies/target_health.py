"""Ejection of failing targets and their return.

Only what a target did itself counts against it: a connection that had gone
silent is the connection's fault and is left out by the caller.
"""

from dataclasses import replace

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.targets import Target, TargetHealth, TargetState
from ragwortfield.types import MonotonicTime, Seconds, TargetId

#: Failures in a row after which a target is ejected.
_FAILURES_TO_EJECT = 3
#: Time for which a failed target is taken last, in seconds.
_SUSPECT_PERIOD_S = 5.0
#: First ejection, in seconds; each further one lasts twice as long.
_FIRST_EJECTION_S = 1.0
#: Longest ejection, in seconds.
_LONGEST_EJECTION_S = 30.0
#: At least this share of a service's targets stays in use.
_MIN_AVAILABLE_SHARE = 0.5
#: Weight of the newest answer in the smoothed latency.
_LATENCY_WEIGHT = 0.2


def record_answer(
    instance_state: InstanceState,
    target_id: TargetId,
    duration_s: Seconds,
) -> None:
    """
    Record a whole answer of a target.

    :param instance_state: the instance's tables.
    :param target_id: the target.
    :param duration_s: time the answer took, in seconds.
    """
    health = instance_state.health_by_target.get(target_id, TargetHealth())
    smoothed = duration_s
    if health.latency_s:
        change = duration_s - health.latency_s
        smoothed = health.latency_s + _LATENCY_WEIGHT * change
    instance_state.health_by_target[target_id] = TargetHealth(
        latency_s=smoothed
    )


def record_failure(
    instance_state: InstanceState, target_id: TargetId, now: MonotonicTime
) -> bool:
    """
    Record a failure that the target is to blame for.

    :param instance_state: the instance's tables.
    :param target_id: the target.
    :param now: reading of the monotonic clock.
    :returns: whether the target was ejected by this failure.
    """
    health = instance_state.health_by_target.get(target_id, TargetHealth())
    health = replace(health, failed_at=now)
    failures = health.failures + 1
    is_due = failures >= _FAILURES_TO_EJECT or health.is_probing
    if is_due and _is_ejection_allowed(instance_state, target_id, now):
        lasts_s = min(
            _FIRST_EJECTION_S * 2**health.ejections,
            _LONGEST_EJECTION_S,
        )
        instance_state.health_by_target[target_id] = replace(
            health,
            failures=0,
            ejections=health.ejections + 1,
            ejected_until=now + lasts_s,
            is_probing=False,
        )
        return True
    instance_state.health_by_target[target_id] = replace(
        health, failures=failures
    )
    return False


def is_available(
    instance_state: InstanceState, target: Target, now: MonotonicTime
) -> bool:
    """
    Tell whether a target may get new work.

    After an ejection one request at a time probes the target.

    :param instance_state: the instance's tables.
    :param target: the target.
    :param now: reading of the monotonic clock.
    :returns: whether new work may go there.
    """
    if target.state is not TargetState.LIVE:
        return False
    health = instance_state.health_by_target.get(target.target_id)
    if health is None or not health.ejections:
        return True
    return now >= health.ejected_until and not health.is_probing


def record_dispatch(instance_state: InstanceState, target_id: TargetId) -> None:
    """
    Record that work goes to a target; after an ejection it is the probe.

    :param instance_state: the instance's tables.
    :param target_id: the target.
    """
    health = instance_state.health_by_target.get(target_id)
    if health is not None and health.ejections:
        instance_state.health_by_target[target_id] = replace(
            health, is_probing=True
        )


def record_inconclusive(
    instance_state: InstanceState, target_id: TargetId
) -> None:
    """
    Record that a dispatch ended without evidence about the target.

    :param instance_state: the instance's tables.
    :param target_id: the target.
    """
    health = instance_state.health_by_target.get(target_id)
    if health is not None and health.is_probing:
        instance_state.health_by_target[target_id] = replace(
            health, is_probing=False
        )


def is_suspect(health: TargetHealth, now: MonotonicTime) -> bool:
    """
    Tell whether a target failed lately, though not often enough to eject it.

    :param health: evidence about the target.
    :param now: reading of the monotonic clock.
    :returns: whether other targets should be taken first.
    """
    return health.failures > 0 and now - health.failed_at < _SUSPECT_PERIOD_S


def _is_ejection_allowed(
    instance_state: InstanceState,
    target_id: TargetId,
    now: MonotonicTime,
) -> bool:
    target = instance_state.target_by_id.get(target_id)
    if target is None:
        return False
    pool = [
        other
        for other in instance_state.target_by_id.values()
        if other.service == target.service
        and other.data_centre == target.data_centre
    ]
    ejected = 1 + sum(
        1
        for other in pool
        if other.target_id != target_id
        and _is_ejected(instance_state, other, now)
    )
    return len(pool) - ejected >= len(pool) * _MIN_AVAILABLE_SHARE


def _is_ejected(
    instance_state: InstanceState, target: Target, now: MonotonicTime
) -> bool:
    health = instance_state.health_by_target.get(target.target_id)
    return health is not None and health.ejected_until > now

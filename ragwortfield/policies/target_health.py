"""Health of targets: outlier ejection and recovery.

Only failures that a target caused count against it. A connection that had gone
silent is no evidence against its target, so callers do not record its failure.
"""

from dataclasses import replace

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.targets import Target, TargetHealth, TargetState
from ragwortfield.types import MonotonicTime, Seconds, TargetId

#: Consecutive failures after which a target is ejected.
_FAILURES_TO_EJECT = 3
#: Time after a failure during which other targets are preferred, in seconds.
_SUSPECT_PERIOD_S = 5.0
#: Duration of the first ejection, in seconds; doubles with each further one.
_INITIAL_EJECTION_S = 1.0
#: Maximum duration of an ejection, in seconds.
_MAX_EJECTION_S = 30.0
#: Minimum fraction of a service's targets in a data centre that is not
#: ejected.
_MIN_AVAILABLE_SHARE = 0.5
#: Weight of the latest response in the smoothed latency.
_LATENCY_WEIGHT = 0.2


def record_answer(
    instance_state: InstanceState,
    target_id: TargetId,
    duration_s: Seconds,
) -> None:
    """
    Record a complete response; it ends an ejection and clears all failures.

    :param instance_state: state of this instance.
    :param duration_s: duration of the exchange, in seconds.
    """
    health = instance_state.health_by_target.get(target_id, TargetHealth())
    smoothed_s = duration_s
    if health.latency_s:
        change_s = duration_s - health.latency_s
        smoothed_s = health.latency_s + _LATENCY_WEIGHT * change_s
    instance_state.health_by_target[target_id] = TargetHealth(
        latency_s=smoothed_s
    )


def record_failure(
    instance_state: InstanceState, target_id: TargetId, now: MonotonicTime
) -> bool:
    """
    Record a failure that was caused by the target.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    :returns: whether the failure led to an ejection.
    """
    health = instance_state.health_by_target.get(target_id, TargetHealth())
    health = replace(health, failed_at=now)
    failures = health.failures + 1
    is_due = failures >= _FAILURES_TO_EJECT or health.is_probing
    if is_due and _is_ejection_allowed(instance_state, target_id, now):
        duration_s = min(
            _INITIAL_EJECTION_S * 2**health.ejections,
            _MAX_EJECTION_S,
        )
        instance_state.health_by_target[target_id] = replace(
            health,
            failures=0,
            ejections=health.ejections + 1,
            ejected_until=now + duration_s,
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
    Return whether a target may receive new requests.

    After an ejection the target receives one request at a time as a probe.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    """
    if target.state is not TargetState.LIVE:
        return False
    health = instance_state.health_by_target.get(target.target_id)
    if health is None or not health.ejections:
        return True
    return now >= health.ejected_until and not health.is_probing


def record_dispatch(instance_state: InstanceState, target_id: TargetId) -> None:
    """
    Record that a request is sent; after an ejection it is the probe.

    :param instance_state: state of this instance.
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
    Record that a request ended without showing the health of its target.

    :param instance_state: state of this instance.
    """
    health = instance_state.health_by_target.get(target_id)
    if health is not None and health.is_probing:
        instance_state.health_by_target[target_id] = replace(
            health, is_probing=False
        )


def is_suspect(health: TargetHealth, now: MonotonicTime) -> bool:
    """
    Return whether a target failed recently without being ejected.

    Other targets are preferred over a suspect one.

    :param now: monotonic time, in seconds.
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

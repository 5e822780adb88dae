"""Suspension of held seats: after a pause, and in isolation.

A suspended seat is not used. It is used again once the platform's table, or in
its absence a peer, shows that no other instance can have taken it.
"""

import math
from dataclasses import replace

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.types import MonotonicTime, Seconds, WallTime


def suspend_after_pause(
    instance_state: InstanceState, now: MonotonicTime
) -> bool:
    """
    Suspend all seats if the process was paused since the last tick.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    :returns: whether the process was paused.
    """
    if not instance_state.last_tick_at or not instance_state.is_paused(now):
        return False
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        instance_state.held_seat_by_key[key] = replace(held, is_suspended=True)
    return True


def suspend_if_isolated(
    instance_state: InstanceState,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
) -> bool:
    """
    Suspend expired seats of an instance without contact to its peers.

    An instance that reaches neither the platform nor any peer cannot learn of a
    takeover, so it stops using its seats before one may happen.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    :returns: whether this call suspended any seat.
    """
    max_silence_s = compute_max_silence_s(instance_state)
    if not is_isolated(instance_state, max_silence_s, now):
        return False
    is_suspended_now = False
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        is_expired = wall_time > held.expires_at + max_silence_s
        if is_expired and not held.is_suspended:
            instance_state.held_seat_by_key[key] = replace(
                held, is_suspended=True
            )
            is_suspended_now = True
    return is_suspended_now


def resume_on_peer_evidence(
    instance_state: InstanceState,
    *,
    suspended_at: MonotonicTime,
    now: MonotonicTime,
) -> None:
    """
    Resume suspended seats if peers confirm that the store is unavailable.

    A peer of the same data centre that was heard after the suspension and does
    not reach the store either is evidence of an outage of the store.

    :param instance_state: state of this instance.
    :param suspended_at: time at which a pause or isolation of this instance was
        detected.
    :param now: monotonic time, in seconds.
    """
    confirming_peers = [
        peer
        for peer in instance_state.peer_by_id.values()
        if peer.data_centre == instance_state.identity.data_centre
        and peer.heard_at > suspended_at
        and not peer.is_store_reachable
    ]
    if not confirming_peers or instance_state.is_paused(now):
        return
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        instance_state.held_seat_by_key[key] = replace(held, is_suspended=False)


def compute_max_silence_s(instance_state: InstanceState) -> Seconds:
    """
    Return how long the peers may be silent before an instance is isolated.

    :param instance_state: state of the instance.
    :returns: seconds; infinite without a configuration.
    """
    configuration = instance_state.configuration()
    if configuration is None:
        return math.inf
    return configuration.timing.takeover_after_s / 2


def is_isolated(
    instance_state: InstanceState, max_silence_s: Seconds, now: MonotonicTime
) -> bool:
    """
    Return whether an instance hears none of the instances that it knows of.

    :param instance_state: state of the instance.
    :param max_silence_s: time without a heartbeat after which a peer counts
        as not heard, in seconds.
    :param now: monotonic time, in seconds.
    """
    return _is_any_other_known(instance_state) and not any(
        now - peer.heard_at <= max_silence_s
        for peer in instance_state.peer_by_id.values()
    )


def _is_any_other_known(instance_state: InstanceState) -> bool:
    if instance_state.peer_by_id:
        return True
    listing = instance_state.listing
    return listing is not None and any(
        entry.kind == 'entry'
        and entry.instance_id != instance_state.identity.instance_id
        for entry in listing.instances
    )

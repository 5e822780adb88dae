"""Suspension of held seats: after a pause, and in isolation.

A suspended seat is not used. It is used again once the platform's table, or in
its absence a peer, shows that no other instance can have taken it.
"""

from dataclasses import replace

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.types import MonotonicTime, WallTime


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
    is_suspended_now = False
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        if not held.is_suspended and may_be_taken_over(
            instance_state, held.expires_at, now=now, wall_time=wall_time
        ):
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


def may_be_taken_over(
    instance_state: InstanceState,
    expires_at: WallTime,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
) -> bool:
    """
    Return whether a held seat may be taken over without a sign of it.

    That is so once its lease has expired and this instance has not heard any of
    the instances that it knows of for half of the takeover time.

    :param instance_state: state of this instance.
    :param expires_at: wall-clock time at which the lease expires.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    """
    configuration = instance_state.configuration()
    if configuration is None or not _is_any_other_known(instance_state):
        return False
    max_silence_s = configuration.timing.takeover_after_s / 2
    return wall_time > expires_at + max_silence_s and not any(
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

"""Holding, renewing, taking over and giving back seats.

The platform's table decides who holds a seat. A holder that cannot reach the
table keeps its seat: nobody takes it over while there is any sign that the
holder lives. A holder whose process stood still checks its seats before it
uses them again.
"""

import math
from dataclasses import dataclass, replace

from ragwortfield.core.configuration import Configuration, Timing
from ragwortfield.core.seats import Seat, SeatId, SeatRow
from ragwortfield.core.instance_state import (
    HeldSeat,
    SeatRowWatch,
    InstanceState,
)
from ragwortfield.types import MonotonicTime, TargetId, WallTime


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatWrite:
    """
    Change of a seat's row.

    :param expected_version: version that the row must have.
    """

    seat_id: SeatId
    seat: Seat
    expected_version: int


def plan_seat_writes(
    instance_state: InstanceState,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
    is_flushed: bool,
) -> tuple[SeatWrite, ...]:
    """
    Decide which seat rows to write.

    :param instance_state: the instance's tables, with freshly read seat rows.
    :param now: reading of the monotonic clock.
    :param wall_time: reading of the wall clock.
    :param is_flushed: whether every claim of this instance is in the table.
    :returns: the writes; each stands on its own.
    """
    configuration = instance_state.configuration()
    if configuration is None:
        return ()
    if not instance_state.is_leaving:
        _mark_surplus_seat(instance_state, configuration.timing, now)
    writes = _plan_renewals(
        instance_state, configuration.timing, wall_time, is_flushed
    )
    if instance_state.is_leaving:
        return tuple(writes)
    wanted = compute_fair_seat_count(instance_state, configuration, now)
    vacancies = _plan_acquisitions(
        instance_state, configuration, now, wall_time
    )
    # Nobody else takes a seat whose row names this instance, so those are
    # taken even when it has its fair part already.
    own = [one for one in vacancies if _is_named_as_holder(instance_state, one)]
    others = [one for one in vacancies if one not in own]
    spare = max(wanted - len(instance_state.held_seat_by_key) - len(own), 0)
    return (*writes, *own, *others[:spare])


def compute_fair_seat_count(
    instance_state: InstanceState,
    configuration: Configuration,
    now: MonotonicTime,
) -> int:
    """
    Work out how many seats this instance should hold.

    :param instance_state: the instance's tables.
    :param configuration: the configuration in force.
    :param now: reading of the monotonic clock.
    :returns: the number of seats, at least one.
    """
    place = configuration.data_centres.get(instance_state.identity.data_centre)
    if place is None:
        return 0
    others = list_live_local_peers(instance_state, configuration.timing, now)
    return math.ceil(place.seats / (len(others) + 1))


def list_live_local_peers(
    instance_state: InstanceState,
    timing: Timing,
    now: MonotonicTime,
) -> list[str]:
    """
    List the peers of the own data centre that were heard lately.

    :param instance_state: the instance's tables.
    :param timing: durations in force.
    :param now: reading of the monotonic clock.
    :returns: their identifiers.
    """
    return [
        peer.instance_id
        for peer in instance_state.peer_by_id.values()
        if peer.data_centre == instance_state.identity.data_centre
        and not peer.is_leaving
        and now - peer.heard_at <= timing.peer_timeout_s
    ]


def apply_seat_rows(
    instance_state: InstanceState,
    rows: tuple[SeatRow, ...],
    now: MonotonicTime,
) -> None:
    """
    Take over what the platform's table says about the seats.

    :param instance_state: the instance's tables.
    :param rows: every seat row of the own data centre.
    :param now: reading of the monotonic clock.
    """
    _update_watches(instance_state, rows, now)
    instance_state.seat_row_by_key = {
        row.seat_id.row_key(): row for row in rows
    }
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        row = instance_state.seat_row_by_key.get(key)
        if row is None or not _is_still_held(instance_state, held, row):
            del instance_state.held_seat_by_key[key]
            continue
        instance_state.held_seat_by_key[key] = replace(
            held,
            version=row.version,
            expires_at=row.seat.expires_at,
            is_suspended=False,
        )


def relinquish_before_release(
    instance_state: InstanceState,
    write: SeatWrite,
) -> HeldSeat | None:
    """
    Stop using a seat before its release is written.

    The release may take effect although its answer is lost, and another
    instance may then take the seat at once.

    :param instance_state: the instance's tables.
    :param write: the release that is about to go out.
    :returns: the seat as it was held; ``None`` when it was not.
    """
    return instance_state.held_seat_by_key.pop(write.seat_id.row_key(), None)


def restore_unreleased_seat(
    instance_state: InstanceState,
    held: HeldSeat,
    *,
    relinquished_at: MonotonicTime,
    now: MonotonicTime,
) -> None:
    """
    Use a seat again whose release certainly took no effect.

    :param instance_state: the instance's tables.
    :param held: the seat as it was held.
    :param relinquished_at: when its use was stopped.
    :param now: reading of the monotonic clock.
    """
    # A pause in between suspended the other seats, but not this one.
    was_paused = now - relinquished_at > instance_state.compute_pause_limit_s()
    instance_state.held_seat_by_key.setdefault(
        held.seat_id.row_key(),
        replace(
            held,
            is_leaving=instance_state.is_leaving,
            is_suspended=held.is_suspended or was_paused,
        ),
    )


def record_seat_write(
    instance_state: InstanceState,
    write: SeatWrite,
    version: int,
    now: MonotonicTime,
) -> None:
    """
    Record a seat write that took effect.

    :param instance_state: the instance's tables.
    :param write: the write.
    :param version: version the row has now.
    :param now: reading of the monotonic clock.
    """
    key = write.seat_id.row_key()
    row = SeatRow(seat_id=write.seat_id, seat=write.seat, version=version)
    instance_state.seat_row_by_key[key] = row
    if write.seat.holder != instance_state.identity.instance_id:
        return
    held = instance_state.held_seat_by_key.get(key)
    instance_state.held_seat_by_key[key] = HeldSeat(
        seat_id=write.seat_id,
        generation=write.seat.generation,
        version=version,
        expires_at=write.seat.expires_at,
        usable_from=now if held is None else held.usable_from,
        is_leaving=held is not None and held.is_leaving,
    )


def suspend_after_pause(
    instance_state: InstanceState, now: MonotonicTime
) -> bool:
    """
    Suspend the seats of a process that stood still.

    :param instance_state: the instance's tables.
    :param now: reading of the monotonic clock.
    :returns: whether the process had stood still.
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
    Suspend seats that others could take over unheard.

    An instance that reaches neither the platform nor any other instance
    cannot learn of a takeover, so it stops before one may happen.

    :param instance_state: the instance's tables.
    :param now: reading of the monotonic clock.
    :param wall_time: reading of the wall clock.
    :returns: whether seats were suspended now.
    """
    configuration = instance_state.configuration()
    if configuration is None or not _is_any_other_known(instance_state):
        return False
    silence_s = configuration.timing.takeover_after_s / 2
    is_heard = any(
        now - peer.heard_at <= silence_s
        for peer in instance_state.peer_by_id.values()
    )
    is_suspended_now = False
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        is_lapsed = wall_time > held.expires_at + silence_s
        if is_lapsed and not is_heard and not held.is_suspended:
            instance_state.held_seat_by_key[key] = replace(
                held, is_suspended=True
            )
            is_suspended_now = True
    return is_suspended_now


def _is_any_other_known(instance_state: InstanceState) -> bool:
    if instance_state.peer_by_id:
        return True
    listing = instance_state.listing
    return listing is not None and any(
        entry.kind == 'entry'
        and entry.instance_id != instance_state.identity.instance_id
        for entry in listing.instances
    )


def resume_on_peer_evidence(
    instance_state: InstanceState,
    *,
    paused_at: MonotonicTime,
    now: MonotonicTime,
) -> None:
    """
    Trust suspended seats again on a neighbour's word, the store being away.

    :param instance_state: the instance's tables.
    :param paused_at: when the pause was noticed.
    :param now: reading of the monotonic clock.
    """
    heard = [
        peer
        for peer in instance_state.peer_by_id.values()
        if peer.data_centre == instance_state.identity.data_centre
        and peer.heard_at > paused_at
        and not peer.is_store_reachable
    ]
    if not heard or instance_state.is_paused(now):
        return
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        instance_state.held_seat_by_key[key] = replace(held, is_suspended=False)


def drop_superseded_seats(instance_state: InstanceState) -> tuple[str, ...]:
    """
    Give up seats that a peer holds under a higher generation.

    :param instance_state: the instance's tables.
    :returns: keys of the seats given up.
    """
    dropped = []
    for key, held in tuple(instance_state.held_seat_by_key.items()):
        for peer in instance_state.peer_by_id.values():
            if peer.generation_by_seat.get(key, 0) > held.generation:
                dropped.append(key)
                del instance_state.held_seat_by_key[key]
                break
    return tuple(dropped)


def _mark_surplus_seat(
    instance_state: InstanceState, timing: Timing, now: MonotonicTime
) -> None:
    # One seat at a time: the next one is judged by the heartbeats that
    # follow, so two instances do not hand seats to and fro.
    if any(
        held.is_leaving for held in instance_state.held_seat_by_key.values()
    ):
        return
    neighbours = list_live_local_peers(instance_state, timing, now)
    if not neighbours or not instance_state.held_seat_by_key:
        return
    fewest = min(
        len(instance_state.peer_by_id[name].generation_by_seat)
        for name in neighbours
    )
    if fewest < len(instance_state.held_seat_by_key) - 1:
        key = max(instance_state.held_seat_by_key)
        instance_state.held_seat_by_key[key] = replace(
            instance_state.held_seat_by_key[key],
            is_leaving=True,
        )


def _is_usage_within_shares(instance_state: InstanceState) -> bool:
    return all(
        used <= _get_share_slots(instance_state, target_id)
        for target_id, used in instance_state.slots_in_use_by_target.items()
    )


def _get_share_slots(instance_state: InstanceState, target_id: TargetId) -> int:
    share = instance_state.share_by_target.get(target_id)
    return 0 if share is None else share.slots


def _plan_renewals(
    instance_state: InstanceState,
    timing: Timing,
    wall_time: WallTime,
    is_flushed: bool,
) -> list[SeatWrite]:
    writes = []
    can_release = instance_state.is_leaving or (
        is_flushed and _is_usage_within_shares(instance_state)
    )
    for key, held in sorted(instance_state.held_seat_by_key.items()):
        row = instance_state.seat_row_by_key.get(key)
        is_due = held.expires_at - wall_time < timing.seat_lease_s / 2
        is_release = held.is_leaving and can_release
        if row is None or not (is_due or is_release):
            continue
        seat = replace(row.seat, expires_at=wall_time + timing.seat_lease_s)
        if is_release:
            seat = replace(
                row.seat,
                holder='',
                expires_at=wall_time,
                gap_until=row.seat.gap_until if is_flushed else wall_time,
            )
        writes.append(
            SeatWrite(
                seat_id=held.seat_id,
                seat=seat,
                expected_version=held.version,
            ),
        )
    return writes


def _plan_acquisitions(
    instance_state: InstanceState,
    configuration: Configuration,
    now: MonotonicTime,
    wall_time: WallTime,
) -> list[SeatWrite]:
    name = instance_state.identity.data_centre
    place = configuration.data_centres.get(name)
    seats = 0 if place is None else place.seats
    writes = []
    for index in range(seats):
        seat_id = SeatId(data_centre=name, index=index)
        row = instance_state.seat_row_by_key.get(seat_id.row_key())
        if seat_id.row_key() in instance_state.held_seat_by_key:
            continue
        taken = _build_acquired_seat(
            instance_state,
            configuration.timing,
            row,
            now=now,
            wall_time=wall_time,
        )
        if taken is not None:
            writes.append(
                SeatWrite(
                    seat_id=seat_id,
                    seat=taken,
                    expected_version=0 if row is None else row.version,
                ),
            )
    return writes


def _build_acquired_seat(
    instance_state: InstanceState,
    timing: Timing,
    row: SeatRow | None,
    *,
    now: MonotonicTime,
    wall_time: WallTime,
) -> Seat | None:
    own = Seat(
        holder=instance_state.identity.instance_id,
        generation=1,
        expires_at=wall_time + timing.seat_lease_s,
        taken_at=wall_time,
    )
    if row is None:
        return own
    own = replace(own, generation=row.seat.generation + 1)
    # A row may name this instance although it does not hold the seat: the
    # answer of a write was lost. A write of its own settles that, because
    # whatever is still on its way then meets another version.
    if row.seat.holder in {'', instance_state.identity.instance_id}:
        return replace(own, gap_until=row.seat.gap_until)
    if _is_holder_gone(instance_state, timing, row, now):
        return replace(own, gap_until=wall_time + timing.clock_bound_s)
    return None


def _is_holder_gone(
    instance_state: InstanceState,
    timing: Timing,
    row: SeatRow,
    now: MonotonicTime,
) -> bool:
    seat = row.seat
    watch = instance_state.watch_by_seat.get(row.seat_id.row_key())
    listing = instance_state.listing
    if listing is None or watch is None:
        return False
    # A full lease and the takeover time are waited out by the own clock, in
    # which the holder would have renewed the row or been heard.
    unchanged_s = now - watch.unchanged_since
    if unchanged_s <= timing.seat_lease_s + timing.takeover_after_s:
        return False
    if _is_holder_alive(instance_state, timing, seat, now):
        return False
    # The list must have been drawn up after the lapse; an older one cannot
    # tell whether the holder is still there.
    if listing.as_of <= seat.expires_at:
        return False
    return all(entry.instance_id != seat.holder for entry in listing.instances)


def _is_holder_alive(
    instance_state: InstanceState,
    timing: Timing,
    seat: Seat,
    now: MonotonicTime,
) -> bool:
    peer = instance_state.peer_by_id.get(seat.holder)
    return peer is not None and (now - peer.heard_at <= timing.takeover_after_s)


def _update_watches(
    instance_state: InstanceState,
    rows: tuple[SeatRow, ...],
    now: MonotonicTime,
) -> None:
    # While the rows could not be read their holders could not renew them
    # either, so every watch starts again.
    if (
        now - instance_state.seat_rows_read_at
        > instance_state.compute_pause_limit_s()
    ):
        instance_state.watch_by_seat = {}
    instance_state.seat_rows_read_at = now
    for row in rows:
        key = row.seat_id.row_key()
        watch = instance_state.watch_by_seat.get(key)
        if watch is None or watch.version != row.version:
            instance_state.watch_by_seat[key] = SeatRowWatch(
                version=row.version,
                unchanged_since=now,
            )


def _is_named_as_holder(
    instance_state: InstanceState, write: SeatWrite
) -> bool:
    row = instance_state.seat_row_by_key.get(write.seat_id.row_key())
    return row is not None and (
        row.seat.holder == instance_state.identity.instance_id
    )


def _is_still_held(
    instance_state: InstanceState, held: HeldSeat, row: SeatRow
) -> bool:
    return (
        row.seat.holder == instance_state.identity.instance_id
        and row.seat.generation == held.generation
    )

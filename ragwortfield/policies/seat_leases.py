"""Leases of seats: acquisition, renewal, takeover and release.

The platform's table decides who holds a seat. A holder that cannot reach the
table keeps its seats: no other instance takes them over while there is any
sign that the holder is alive. After a pause of its process, a holder verifies
its seats before it uses them again.
"""

import math
from dataclasses import dataclass, replace

from ragwortfield.core.configuration import Configuration, Timing
from ragwortfield.core.instance_state import (
    HeldSeat,
    InstanceState,
    SeatRowWatch,
)
from ragwortfield.core.seats import Seat, SeatId, SeatRow
from ragwortfield.policies.seat_suspension import may_be_taken_over
from ragwortfield.types import MonotonicTime, TargetId, WallTime


@dataclass(frozen=True, kw_only=True, slots=True)
class SeatWrite:
    """
    Conditional write of a seat's row.

    :param expected_version: version that the row must have for the write to
        take effect; 0 if the row must not exist.
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
    Plan the renewals, releases and acquisitions of seats.

    :param instance_state: state of this instance, with seat rows that were just
        read.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
    :param is_flushed: whether all claims of this instance are stored in the
        table.
    :returns: the writes; they are independent of one another.
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
    fair_count = compute_fair_seat_count(instance_state, configuration, now)
    acquisitions = _plan_acquisitions(
        instance_state, configuration, now, wall_time
    )
    # Other instances do not take a seat whose row names this instance, so it
    # acquires these seats even beyond its fair share.
    own_writes = [
        write
        for write in acquisitions
        if _is_named_as_holder(instance_state, write)
    ]
    other_writes = [write for write in acquisitions if write not in own_writes]
    spare = max(
        fair_count - len(instance_state.held_seat_by_key) - len(own_writes), 0
    )
    return (*writes, *own_writes, *other_writes[:spare])


def compute_fair_seat_count(
    instance_state: InstanceState,
    configuration: Configuration,
    now: MonotonicTime,
) -> int:
    """
    Compute how many seats this instance should hold.

    :param instance_state: state of this instance.
    :param configuration: the current configuration.
    :param now: monotonic time, in seconds.
    :returns: the number of seats, at least 1; 0 if the data centre is not
        configured.
    """
    data_centre = configuration.data_centres.get(
        instance_state.identity.data_centre
    )
    if data_centre is None:
        return 0
    others = list_live_local_peers(instance_state, configuration.timing, now)
    return math.ceil(data_centre.seats / (len(others) + 1))


def list_live_local_peers(
    instance_state: InstanceState,
    timing: Timing,
    now: MonotonicTime,
) -> list[str]:
    """
    List the peers of the same data centre that sent a heartbeat recently.

    :param instance_state: state of this instance.
    :param timing: configured durations.
    :param now: monotonic time, in seconds.
    :returns: their identifiers, without peers that are shutting down.
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
    *,
    now: MonotonicTime,
    wall_time: WallTime,
) -> None:
    """
    Update the held seats from the rows of the platform's table.

    Seats that this instance no longer holds are dropped; the others are
    verified, which ends their suspension. A seat of an isolated instance stays
    suspended once it has expired: others may take it right after the read.

    :param instance_state: state of this instance.
    :param rows: all seat rows of the own data centre.
    :param now: monotonic time, in seconds.
    :param wall_time: wall-clock time, in seconds.
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
            is_suspended=may_be_taken_over(
                instance_state,
                row.seat.expires_at,
                now=now,
                wall_time=wall_time,
            ),
        )


def relinquish_before_release(
    instance_state: InstanceState,
    write: SeatWrite,
) -> HeldSeat | None:
    """
    Stop using a seat before its release is written.

    The release may take effect although its response is lost; another instance
    can then acquire the seat immediately.

    :param instance_state: state of this instance.
    :param write: release that is about to be written.
    :returns: the seat as it was held; ``None`` if it was not held.
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
    Use a seat again whose release certainly did not take effect.

    :param instance_state: state of this instance.
    :param held: the seat as it was held.
    :param relinquished_at: time at which the seat was relinquished.
    :param now: monotonic time, in seconds.
    """
    # A pause since then has suspended the other seats, but not this one.
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

    :param instance_state: state of this instance.
    :param version: new version of the row.
    :param now: monotonic time, in seconds.
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


def drop_superseded_seats(instance_state: InstanceState) -> tuple[str, ...]:
    """
    Drop seats that a peer holds with a higher generation.

    :param instance_state: state of this instance.
    :returns: row keys of the dropped seats.
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
    # Only one seat leaves at a time. Whether another one follows depends on
    # later heartbeats, so that two instances do not pass seats back and forth.
    if any(
        held.is_leaving for held in instance_state.held_seat_by_key.values()
    ):
        return
    local_peers = list_live_local_peers(instance_state, timing, now)
    if not local_peers or not instance_state.held_seat_by_key:
        return
    fewest_seats = min(
        len(instance_state.peer_by_id[peer_id].generation_by_seat)
        for peer_id in local_peers
    )
    if fewest_seats < len(instance_state.held_seat_by_key) - 1:
        key = max(instance_state.held_seat_by_key)
        instance_state.held_seat_by_key[key] = replace(
            instance_state.held_seat_by_key[key],
            is_leaving=True,
        )


def _is_usage_within_shares(instance_state: InstanceState) -> bool:
    return all(
        in_use <= _get_share_slots(instance_state, target_id)
        for target_id, in_use in instance_state.slots_in_use_by_target.items()
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
    is_release_allowed = instance_state.is_leaving or (
        is_flushed and _is_usage_within_shares(instance_state)
    )
    for key, held in sorted(instance_state.held_seat_by_key.items()):
        row = instance_state.seat_row_by_key.get(key)
        is_due = held.expires_at - wall_time < timing.seat_lease_s / 2
        is_release = held.is_leaving and is_release_allowed
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
    data_centre = configuration.data_centres.get(name)
    seat_count = 0 if data_centre is None else data_centre.seats
    writes = []
    for index in range(seat_count):
        seat_id = SeatId(data_centre=name, index=index)
        row = instance_state.seat_row_by_key.get(seat_id.row_key())
        if seat_id.row_key() in instance_state.held_seat_by_key:
            continue
        acquired_seat = _build_acquired_seat(
            instance_state,
            configuration.timing,
            row,
            now=now,
            wall_time=wall_time,
        )
        if acquired_seat is not None:
            writes.append(
                SeatWrite(
                    seat_id=seat_id,
                    seat=acquired_seat,
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
    # A row may name this instance although it does not hold the seat, because
    # the response to an earlier write was lost. A new write resolves this:
    # earlier writes that are still in flight then fail their version check.
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
    watch = instance_state.watch_by_seat_key.get(row.seat_id.row_key())
    listing = instance_state.listing
    if listing is None or watch is None:
        return False
    # Wait for a full lease plus the takeover time on the own monotonic clock. A
    # live holder would have renewed the row or sent a heartbeat by then.
    unchanged_s = now - watch.unchanged_since
    if unchanged_s <= timing.seat_lease_s + timing.takeover_after_s:
        return False
    if _is_holder_alive(instance_state, timing, seat, now):
        return False
    # Only a list made after the lease expired shows whether the holder is
    # still running.
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
    # While the rows could not be read, their holders could not renew them
    # either, so all watches start again.
    if (
        now - instance_state.seat_rows_read_at
        > instance_state.compute_pause_limit_s()
    ):
        instance_state.watch_by_seat_key = {}
    instance_state.seat_rows_read_at = now
    for row in rows:
        key = row.seat_id.row_key()
        watch = instance_state.watch_by_seat_key.get(key)
        if watch is None or watch.version != row.version:
            instance_state.watch_by_seat_key[key] = SeatRowWatch(
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

"""Division of a target's slots and connections among the seats."""

from ragwortfield.core.configuration import Configuration
from ragwortfield.core.instance_state import (
    HeldSeat,
    ShareInputs,
    InstanceState,
    TargetShare,
)
from ragwortfield.core.targets import Target
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.types import MonotonicTime, ServiceName, TargetId


def compute_seat_share(total: int, seats: int, index: int, offset: int) -> int:
    """
    Give one seat its part of a total.

    The remainder rotates with the offset, so that no seat gets the larger
    part of every target.

    :param total: what is divided, a whole number.
    :param seats: number of seats in the data centre.
    :param index: index of the seat, from zero.
    :param offset: rotation, alike on every instance.
    :returns: the part; the parts of all seats add up to the total.
    """
    base, remainder = divmod(total, seats)
    position = (index + offset) % seats
    return base + int(position < remainder)


def update_target_shares(
    instance_state: InstanceState, now: MonotonicTime
) -> None:
    """
    Work out which part of each target this instance may use.

    :param instance_state: the instance's tables; its shares are replaced.
    :param now: reading of the monotonic clock.
    """
    configuration = instance_state.configuration()
    if configuration is None:
        instance_state.share_by_target = {}
        instance_state.shared_targets_by_service = {}
        instance_state.share_inputs = None
        return
    held = instance_state.list_usable_seats(now)
    basis = ShareInputs(
        seat_indexes=tuple(seat.seat_id.index for seat in held),
        configuration_version=instance_state.configuration_version(),
        targets=tuple(instance_state.target_by_id),
    )
    if basis == instance_state.share_inputs:
        return
    instance_state.share_inputs = basis
    instance_state.share_by_target = {
        target_id: _compute_target_share(target, held, configuration)
        for target_id, target in instance_state.target_by_id.items()
        if target.data_centre == instance_state.identity.data_centre
    }
    shared_targets_by_service: dict[ServiceName, list[TargetId]] = {}
    for target_id, share in instance_state.share_by_target.items():
        if share.slots:
            service = instance_state.target_by_id[target_id].service
            shared_targets_by_service.setdefault(service, []).append(target_id)
    instance_state.shared_targets_by_service = shared_targets_by_service


def compute_seat_fraction(
    instance_state: InstanceState, now: MonotonicTime
) -> float:
    """
    Give this instance's part of what all seats of a deployment divide.

    :param instance_state: the instance's tables.
    :param now: reading of the monotonic clock.
    :returns: fraction between 0 and 1.
    """
    configuration = instance_state.configuration()
    if configuration is None:
        return 0
    total = configuration.count_seats()
    if not total:
        return 0
    return len(instance_state.list_usable_seats(now)) / total


def _compute_target_share(
    target: Target,
    held: list[HeldSeat],
    configuration: Configuration,
) -> TargetShare:
    service = configuration.services.get(target.service)
    place = configuration.data_centres.get(target.data_centre)
    if service is None or place is None:
        return TargetShare()
    offset = stable_hash(target.target_id) % place.seats
    indexes = [
        seat.seat_id.index for seat in held if seat.seat_id.index < place.seats
    ]
    return TargetShare(
        slots=sum(
            compute_seat_share(service.slots, place.seats, index, offset)
            for index in indexes
        ),
        connections=sum(
            compute_seat_share(service.connections, place.seats, index, offset)
            for index in indexes
        ),
    )

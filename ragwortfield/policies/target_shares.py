"""Division of the slots and connections of targets among the seats."""

from ragwortfield.core.configuration import Configuration
from ragwortfield.core.instance_state import (
    HeldSeat,
    InstanceState,
    ShareInputs,
    TargetShare,
)
from ragwortfield.core.targets import Target
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.types import MonotonicTime, ServiceName, TargetId


def compute_seat_share(total: int, seats: int, index: int, offset: int) -> int:
    """
    Compute the share of one seat when a total is divided evenly.

    The seats that get one unit of the remainder are rotated by an offset, so
    that no seat gets the larger share of every target.

    :param total: number of units to divide.
    :param seats: number of seats in the data centre.
    :param index: index of the seat, starting at 0.
    :param offset: rotation; must be the same on every instance.
    :returns: the share; the shares of all seats add up to the total.
    """
    base, remainder = divmod(total, seats)
    position = (index + offset) % seats
    return base + int(position < remainder)


def update_target_shares(
    instance_state: InstanceState, now: MonotonicTime
) -> None:
    """
    Update the shares of targets that this instance may use.

    Does nothing if the inputs have not changed since the last update.

    :param instance_state: state of this instance; its shares are replaced.
    :param now: monotonic time, in seconds.
    """
    configuration = instance_state.configuration()
    if configuration is None:
        instance_state.share_by_target = {}
        instance_state.shared_targets_by_service = {}
        instance_state.share_inputs = None
        return
    held_seats = instance_state.list_usable_seats(now)
    inputs = ShareInputs(
        seat_indexes=tuple(seat.seat_id.index for seat in held_seats),
        configuration_version=instance_state.configuration_version(),
        targets=tuple(instance_state.target_by_id),
    )
    if inputs == instance_state.share_inputs:
        return
    instance_state.share_inputs = inputs
    instance_state.share_by_target = {
        target_id: _compute_target_share(target, held_seats, configuration)
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
    Compute the fraction of all seats of the deployment that are usable here.

    Quotas and budgets of the deployment are divided by this fraction.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    :returns: fraction from 0 to 1.
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
    held_seats: list[HeldSeat],
    configuration: Configuration,
) -> TargetShare:
    service = configuration.services.get(target.service)
    data_centre = configuration.data_centres.get(target.data_centre)
    if service is None or data_centre is None:
        return TargetShare()
    offset = stable_hash(target.target_id) % data_centre.seats
    indexes = [
        seat.seat_id.index
        for seat in held_seats
        if seat.seat_id.index < data_centre.seats
    ]
    return TargetShare(
        slots=sum(
            compute_seat_share(service.slots, data_centre.seats, index, offset)
            for index in indexes
        ),
        connections=sum(
            compute_seat_share(
                service.connections, data_centre.seats, index, offset
            )
            for index in indexes
        ),
    )

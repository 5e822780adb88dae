"""Membership of targets and peers, and the links between entry instances."""

from collections.abc import Iterable
from dataclasses import replace

from ragwortfield.core.instance_state import InstanceState
from ragwortfield.core.targets import Target, TargetState
from ragwortfield.policies.hashing import rendezvous_hash
from ragwortfield.ports.platform import ListedInstance, Listing
from ragwortfield.types import (
    DataCentreName,
    InstanceId,
    MonotonicTime,
    Seconds,
)

#: Number of entry instances up to which every pair is linked.
_FULL_MESH_LIMIT = 12
#: Distance on the ring of a data centre, in either direction, up to which two
#: instances of a large deployment are linked.
_MAX_RING_DISTANCE = 3


def apply_listing(instance_state: InstanceState, listing: Listing) -> None:
    """
    Update the targets from the platform's list of instances.

    The list lags behind. A target that has announced that it is leaving stays
    in that state, and a list older than the current one is ignored.

    :param instance_state: state of this instance.
    """
    known = instance_state.listing
    if known is not None and listing.as_of < known.as_of:
        return
    instance_state.listing = listing
    target_by_id = {}
    for listed in listing.instances:
        if listed.kind == 'target':
            target_by_id[listed.instance_id] = _merge_target(
                instance_state, listed
            )
    instance_state.target_by_id = target_by_id


def remove_silent_peers(
    instance_state: InstanceState,
    now: MonotonicTime,
    timeout_s: Seconds,
) -> tuple[InstanceId, ...]:
    """
    Remove peers that have sent no heartbeat for some time.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    :param timeout_s: time without a heartbeat after which a peer is removed, in
        seconds.
    :returns: identifiers of the removed peers.
    """
    silent = tuple(
        peer.instance_id
        for peer in instance_state.peer_by_id.values()
        if now - peer.heard_at > timeout_s
    )
    for instance_id in silent:
        del instance_state.peer_by_id[instance_id]
    return silent


def is_link_required(
    first: ListedInstance,
    second: ListedInstance,
    entries: Iterable[ListedInstance],
) -> bool:
    """
    Return whether two entry instances should be linked.

    Both ends derive the same result from the same list. In a large deployment
    the instances of a data centre form a ring with chords, and each pair of
    data centres is connected by one delegate on either side. Thus the heartbeat
    traffic of an instance does not grow with the deployment.

    :param first: one end of the link.
    :param second: the other end.
    :param entries: all entry instances.
    """
    all_entries = tuple(entries)
    if len(all_entries) <= _FULL_MESH_LIMIT:
        return True
    if first.data_centre == second.data_centre:
        return _is_ring_neighbour(first, second, all_entries)
    data_centres = sorted((first.data_centre, second.data_centre))
    delegates = {
        data_centre: _choose_delegate(
            all_entries, data_centre, '|'.join(data_centres)
        )
        for data_centre in data_centres
    }
    return (
        delegates[first.data_centre] == first.instance_id
        and delegates[second.data_centre] == second.instance_id
    )


def _merge_target(
    instance_state: InstanceState, listed: ListedInstance
) -> Target:
    state = TargetState.LEAVING if listed.is_leaving else TargetState.LIVE
    target = Target(
        target_id=listed.instance_id,
        service=listed.service,
        data_centre=listed.data_centre,
        address=listed.address,
        state=state,
    )
    known = instance_state.target_by_id.get(listed.instance_id)
    if known is None or known.address != target.address:
        return target
    if known.state is TargetState.LEAVING:
        return replace(target, state=TargetState.LEAVING)
    return target


def _is_ring_neighbour(
    first: ListedInstance,
    second: ListedInstance,
    entries: tuple[ListedInstance, ...],
) -> bool:
    ring = sorted(
        entry.instance_id
        for entry in entries
        if entry.data_centre == first.data_centre
    )
    if first.instance_id not in ring or second.instance_id not in ring:
        return False
    distance = abs(
        ring.index(first.instance_id) - ring.index(second.instance_id),
    )
    shortest = min(distance, len(ring) - distance)
    return shortest <= _MAX_RING_DISTANCE


def _choose_delegate(
    entries: tuple[ListedInstance, ...],
    data_centre: DataCentreName,
    pair: str,
) -> InstanceId:
    names = [
        entry.instance_id
        for entry in entries
        if entry.data_centre == data_centre
    ]
    return rendezvous_hash(pair, names)

"""Routing of requests to targets, or to peers that have a free slot."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ragwortfield.core.configuration import RequestClass
from ragwortfield.core.instance_state import InstanceState, TargetShare
from ragwortfield.core.peers import Peer
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.targets import Target, TargetHealth
from ragwortfield.policies.target_health import is_available, is_suspect
from ragwortfield.types import (
    InstanceId,
    MonotonicTime,
    Seconds,
    ServiceName,
    TargetId,
)

#: Latency assumed for a target that has not responded yet, in seconds.
_ASSUMED_LATENCY_S = 0.001
#: Maximum number of relays per request.
MAX_RELAY_HOPS = 2
#: Number of targets that are compared if a service has more of them.
_SAMPLE_SIZE = 12
#: Cost added to a suspect target, in seconds; large enough to rank it behind
#: all other targets with a free slot.
_SUSPECT_COST_S = 1000.0
_NO_SHARE = TargetShare()


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetChoice:
    """The request is sent to a target of which this instance has a share."""

    target: Target


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerChoice:
    """
    The request is relayed to a peer that has a free slot.

    :param is_cross_region: whether the peer is in another region.
    """

    peer: Peer
    is_cross_region: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NoneAvailable:
    """
    No target or peer has a free slot.

    :param is_wait_futile: whether waiting for a slot cannot help either.
    """

    is_wait_futile: bool


def choose_target(
    instance_state: InstanceState,
    service: str,
    now: MonotonicTime,
    excluded: frozenset[TargetId] = frozenset(),
    random_generator: random.Random | None = None,
) -> TargetChoice | NoneAvailable:
    """
    Choose the target that is expected to respond first.

    A share is used by one instance alone, so the known load is exact and all
    requests may go to the least-loaded target without herding.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    :param excluded: targets on which this request has failed.
    :param random_generator: if given, a random sample of the targets is
        compared first, and all of them only if none in the sample is free.
    :returns: the target, or that none is available.
    """
    shared = instance_state.shared_targets_by_service.get(service, ())
    if random_generator is not None and len(shared) > _SAMPLE_SIZE:
        sample = random_generator.sample(shared, _SAMPLE_SIZE)
        choice = _choose_cheapest(instance_state, sample, now, excluded)
        if isinstance(choice, TargetChoice):
            return choice
    return _choose_cheapest(instance_state, shared, now, excluded)


def _choose_cheapest(
    instance_state: InstanceState,
    target_ids: Sequence[TargetId],
    now: MonotonicTime,
    excluded: frozenset[TargetId],
) -> TargetChoice | NoneAvailable:
    candidates = [
        instance_state.target_by_id[target_id]
        for target_id in target_ids
        if target_id not in excluded
        and target_id in instance_state.target_by_id
        and is_available(
            instance_state, instance_state.target_by_id[target_id], now
        )
    ]
    best: Target | None = None
    best_cost = float('inf')
    for target in candidates:
        cost = _estimate_cost(instance_state, target.target_id, now)
        if cost < best_cost:
            best = target
            best_cost = cost
    if best is None:
        return NoneAvailable(is_wait_futile=not candidates)
    return TargetChoice(target=best)


def count_free_slots(
    instance_state: InstanceState, service: str, now: MonotonicTime
) -> int:
    """
    Count the slots of a service's targets that are free for this instance.

    :param instance_state: state of this instance.
    :param now: monotonic time, in seconds.
    """
    free = 0
    for target_id in instance_state.shared_targets_by_service.get(service, ()):
        target = instance_state.target_by_id.get(target_id)
        if target is None or not is_available(instance_state, target, now):
            continue
        share = instance_state.share_by_target.get(target.target_id, _NO_SHARE)
        slots_in_use = instance_state.slots_in_use_by_target.get(
            target.target_id, 0
        )
        free += max(share.slots - slots_in_use, 0)
    return free


def choose_peer(
    instance_state: InstanceState,
    request: CallerRequest,
    random_generator: random.Random,
    *,
    now: MonotonicTime,
    peer_timeout_s: Seconds,
    excluded: frozenset[InstanceId] = frozenset(),
) -> PeerChoice | NoneAvailable:
    """
    Choose a peer with a free slot, from the nearest group that has one.

    Peers in the same data centre come first, then those in the same region and
    then, if permitted, those in other regions. Of two random peers the one with
    more free slots is chosen (power of two choices), so that instances with the
    same heartbeats do not all choose the same peer.

    :param instance_state: state of this instance.
    :param random_generator: source of random numbers.
    :param now: monotonic time, in seconds.
    :param peer_timeout_s: time without a heartbeat after which a peer is left
        out, in seconds.
    :param excluded: peers that have refused this request.
    :returns: the peer, or that none is known to have a free slot.
    """
    if request.hops >= MAX_RELAY_HOPS:
        return NoneAvailable(is_wait_futile=True)
    for peers in _group_peers_by_distance(instance_state, request):
        free = [
            peer
            for peer in peers
            if peer.instance_id not in excluded
            and not peer.is_leaving
            and now - peer.heard_at <= peer_timeout_s
            and peer.free_by_service.get(request.service, 0) > 0
        ]
        if free:
            peer = _choose_freer_of_two(free, request.service, random_generator)
            return PeerChoice(
                peer=peer,
                is_cross_region=not is_same_region(instance_state, peer),
            )
    return NoneAvailable(is_wait_futile=False)


def _choose_freer_of_two(
    peers: list[Peer],
    service: ServiceName,
    random_generator: random.Random,
) -> Peer:
    pair = random_generator.sample(peers, min(2, len(peers)))
    return max(pair, key=lambda peer: peer.free_by_service[service])


def _estimate_cost(
    instance_state: InstanceState,
    target_id: TargetId,
    now: MonotonicTime,
) -> float:
    share = instance_state.share_by_target[target_id]
    slots_in_use = instance_state.slots_in_use_by_target.get(target_id, 0)
    if slots_in_use >= share.slots:
        return float('inf')
    health = instance_state.health_by_target.get(target_id, TargetHealth())
    latency_s = health.latency_s or _ASSUMED_LATENCY_S
    cost = latency_s * (slots_in_use + 1) / share.slots
    return cost + _SUSPECT_COST_S if is_suspect(health, now) else cost


def _group_peers_by_distance(
    instance_state: InstanceState, request: CallerRequest
) -> list[list[Peer]]:
    peers = list(instance_state.peer_by_id.values())
    own_data_centre = instance_state.identity.data_centre
    groups = [
        [peer for peer in peers if peer.data_centre == own_data_centre],
        [
            peer
            for peer in peers
            if peer.data_centre != own_data_centre
            and is_same_region(instance_state, peer)
        ],
    ]
    if _is_cross_region_allowed(instance_state, request):
        groups.append(
            [
                peer
                for peer in peers
                if not is_same_region(instance_state, peer)
            ],
        )
    return groups


def is_same_region(instance_state: InstanceState, peer: Peer) -> bool:
    """
    Return whether a peer is in the region of this instance.

    Without a configuration only peers of the same data centre are known to be.

    :param instance_state: state of this instance.
    """
    configuration = instance_state.configuration()
    if configuration is None:
        return peer.data_centre == instance_state.identity.data_centre
    data_centre = configuration.data_centres.get(peer.data_centre)
    return (
        data_centre is not None
        and data_centre.region == instance_state.identity.region
    )


def _is_cross_region_allowed(
    instance_state: InstanceState, request: CallerRequest
) -> bool:
    configuration = instance_state.configuration()
    if configuration is None:
        return False
    service = configuration.services.get(request.service)
    return (
        service is not None
        and service.is_cross_region_allowed
        and request.request_class is RequestClass.URGENT
    )

"""Allocation of target slots within this instance's shares, with a queue."""

import random
from dataclasses import dataclass

from gevent.event import AsyncResult

from ragwortfield.core.instance_state import InstanceState, TargetShare
from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.targets import Target
from ragwortfield.invariants import INVARIANTS
from ragwortfield.policies.request_queue import RequestQueue
from ragwortfield.policies.routing import (
    NoneAvailable,
    TargetChoice,
    choose_target,
)
from ragwortfield.ports.clock import Clock
from ragwortfield.types import Seconds, ServiceName

#: Mean service time assumed before the first response, in seconds.
_INITIAL_SERVICE_TIME_S = 0.02
#: Weight of the newest response in the moving average of the service time.
_SERVICE_TIME_WEIGHT = 0.05
_NO_SHARE = TargetShare()


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotWaiter:
    """
    Request in the queue for a slot.

    :param excluded: targets and peers on which the request failed before.
    :param slot: will hold a :class:`TargetChoice` whose slot is reserved, or
        a :class:`NoneAvailable` if only excluded targets have free slots.
    :param sequence: number of the request in the queue.
    """

    request: CallerRequest
    excluded: frozenset[str]
    slot: AsyncResult
    sequence: int = 0


class SlotAllocator:
    """
    Reserves slots for requests, and hands freed slots to waiting requests.

    :param instance_state: the instance's in-memory state.
    :param clock: source of time.
    :param random_generator: source of random numbers.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        clock: Clock,
        random_generator: random.Random,
    ) -> None:
        """Create an allocator with an empty queue."""
        self._instance_state = instance_state
        self._clock = clock
        self._random_generator = random_generator
        self._queue: RequestQueue[SlotWaiter] = RequestQueue()
        self._mean_service_time_s = _INITIAL_SERVICE_TIME_S

    def try_acquire(
        self,
        request: CallerRequest,
        excluded: frozenset[str],
    ) -> TargetChoice | NoneAvailable:
        """
        Reserve a free slot, unless other requests are queued for the service.

        :param request: the request.
        :param excluded: targets and peers on which the request failed before.
        :returns: the target whose slot is reserved, or that there is none.
        """
        choice = self._choose_target(request.service, excluded)
        if isinstance(choice, NoneAvailable):
            return choice
        if self._queue.size(request.service):
            return NoneAvailable(is_wait_futile=False)
        self._reserve_slot(choice.target)
        return choice

    def enqueue(
        self,
        request: CallerRequest,
        excluded: frozenset[str],
        weight: float,
    ) -> SlotWaiter:
        """
        Queue a request for a slot.

        :param request: the request.
        :param excluded: targets and peers on which the request failed before.
        :param weight: weight of the request's team in fair queueing; a team
            with a larger weight is served more often.
        :returns: the queue entry; the caller must pass it to :meth:`dequeue`.
        """
        slot = AsyncResult()
        waiter = SlotWaiter(request=request, excluded=excluded, slot=slot)
        sequence = self._queue.push(request, waiter, weight)
        self._assign_free_slots_of(request.service)
        return SlotWaiter(
            request=request,
            excluded=excluded,
            slot=slot,
            sequence=sequence,
        )

    def dequeue(self, waiter: SlotWaiter) -> None:
        """
        Remove a request from the queue, whether or not it got a slot.

        :param waiter: the queue entry.
        """
        self._queue.remove(waiter.request.service, waiter.sequence)

    def release(self, target: Target) -> None:
        """
        Release a slot and hand it to a waiting request.

        :param target: the target whose slot was reserved.
        """
        target_id = target.target_id
        slots_in_use = self._instance_state.slots_in_use_by_target.get(
            target_id,
            0,
        )
        INVARIANTS.check(
            'slots_released_once',
            is_satisfied=slots_in_use > 0,
            detail=f'target={target_id} used={slots_in_use}',
        )
        self._instance_state.slots_in_use_by_target[target_id] = max(
            slots_in_use - 1,
            0,
        )
        self._assign_free_slots_of(target.service)

    def assign_free_slots(self) -> None:
        """Assign free slots of all services to waiting requests."""
        for service in self._queue.services():
            self._assign_free_slots_of(service)

    def record_service_time(self, duration_s: Seconds) -> None:
        """
        Add a response to the moving average of the service time.

        :param duration_s: time that the response took, in seconds.
        """
        difference_s = duration_s - self._mean_service_time_s
        self._mean_service_time_s += _SERVICE_TIME_WEIGHT * difference_s

    def estimate_wait_s(self, service: ServiceName) -> Seconds:
        """
        Estimate the queueing time of a request that arrives now.

        :param service: the service.
        :returns: the expected wait, in seconds.
        """
        slot_count = sum(
            self._instance_state.share_by_target.get(target_id, _NO_SHARE).slots
            for target_id in self._instance_state.shared_targets_by_service.get(
                service,
                (),
            )
        )
        waiting_count = self._queue.size(service)
        return waiting_count * self._mean_service_time_s / max(slot_count, 1)

    def count_waiting(self) -> int:
        """
        Count the waiting requests of all services.

        :returns: number of requests.
        """
        return sum(
            self._queue.size(service) for service in self._queue.services()
        )

    def _choose_target(
        self,
        service: ServiceName,
        excluded: frozenset[str],
    ) -> TargetChoice | NoneAvailable:
        return choose_target(
            self._instance_state,
            service,
            self._clock.monotonic(),
            excluded,
            self._random_generator,
        )

    def _reserve_slot(self, target: Target) -> None:
        target_id = target.target_id
        slots_in_use = (
            self._instance_state.slots_in_use_by_target.get(target_id, 0) + 1
        )
        self._instance_state.slots_in_use_by_target[target_id] = slots_in_use
        share = self._instance_state.share_by_target.get(target_id, _NO_SHARE)
        INVARIANTS.check(
            'slots_within_share',
            is_satisfied=slots_in_use <= share.slots,
            detail=(
                f'target={target_id} used={slots_in_use} share={share.slots}'
            ),
        )

    def _assign_free_slots_of(self, service: ServiceName) -> None:
        while self._queue.size(service):
            if isinstance(
                self._choose_target(service, frozenset()),
                NoneAvailable,
            ):
                return
            waiter = self._queue.pop(service)
            if waiter is None:
                return
            choice = self._choose_target(service, waiter.excluded)
            if isinstance(choice, TargetChoice):
                self._reserve_slot(choice.target)
            waiter.slot.set(choice)

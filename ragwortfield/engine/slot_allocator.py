"""Slots of targets inside this instance's shares, and the wait for them."""

import random
from dataclasses import dataclass

from gevent.event import AsyncResult

from ragwortfield.core.requests import CallerRequest
from ragwortfield.core.instance_state import InstanceState, TargetShare
from ragwortfield.core.targets import Target
from ragwortfield.invariants import INVARIANTS
from ragwortfield.ports.clock import Clock
from ragwortfield.policies.request_queue import RequestQueue
from ragwortfield.policies.routing import (
    NoneAvailable,
    TargetChoice,
    choose_target,
)
from ragwortfield.types import Seconds, ServiceName

#: Service time assumed before the first answer, in seconds.
_ASSUMED_SERVICE_S = 0.02
#: Weight of the newest answer in the smoothed service time.
_SERVICE_TIME_WEIGHT = 0.05
_NO_SHARE = TargetShare()


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotWait:
    """
    Request that waits for a slot.

    :param slot: will hold a :class:`TargetChoice` whose slot is taken, or a
        :class:`NoneAvailable` when only targets are free that failed before.
    :param sequence: number of the request in the queue.
    """

    request: CallerRequest
    excluded: frozenset[str]
    slot: AsyncResult
    sequence: int = 0


class SlotDesk:
    """
    Gives slots to requests, and freed slots to those that wait.

    :param instance_state: the instance's tables.
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
        """Create a desk at which nothing waits."""
        self._instance_state = instance_state
        self._clock = clock
        self._random_generator = random_generator
        self._queue: RequestQueue[SlotWait] = RequestQueue()
        self._service_s = _ASSUMED_SERVICE_S

    def take(
        self,
        request: CallerRequest,
        excluded: frozenset[str],
    ) -> TargetChoice | NoneAvailable:
        """
        Take a slot at once, unless others wait for one.

        :param request: the request.
        :param excluded: targets that failed it before.
        :returns: the target whose slot is taken, or that there is none.
        """
        choice = self._choose(request.service, excluded)
        if isinstance(choice, NoneAvailable):
            return choice
        if self._queue.size(request.service):
            return NoneAvailable(is_wait_futile=False)
        self._reserve(choice.target)
        return choice

    def enter(
        self,
        request: CallerRequest,
        excluded: frozenset[str],
        weight: float,
    ) -> SlotWait:
        """
        Let a request wait.

        :param request: the request.
        :param excluded: targets that failed it before.
        :param weight: its team's part; a larger one is served more often.
        :returns: the wait; it must end with :meth:`leave`.
        """
        slot = AsyncResult()
        waiting = SlotWait(request=request, excluded=excluded, slot=slot)
        sequence = self._queue.push(request, waiting, weight)
        self._pump_service(request.service)
        return SlotWait(
            request=request,
            excluded=excluded,
            slot=slot,
            sequence=sequence,
        )

    def leave(self, waiting: SlotWait) -> None:
        """
        End a wait.

        :param waiting: the wait.
        """
        self._queue.remove(waiting.request.service, waiting.sequence)

    def release(self, target: Target) -> None:
        """
        Give a slot back.

        :param target: the target whose slot was taken.
        """
        target_id = target.target_id
        used = self._instance_state.slots_in_use_by_target.get(target_id, 0)
        INVARIANTS.check(
            'slots_released_once',
            is_held=used > 0,
            detail=f'target={target_id} used={used}',
        )
        self._instance_state.slots_in_use_by_target[target_id] = max(
            used - 1, 0
        )
        self._pump_service(target.service)

    def pump(self) -> None:
        """Give free slots to waiting requests."""
        for service in self._queue.services():
            self._pump_service(service)

    def record_duration(self, duration_s: Seconds) -> None:
        """
        Learn how long a slot is taken.

        :param duration_s: time that an answer took, in seconds.
        """
        change = duration_s - self._service_s
        self._service_s += _SERVICE_TIME_WEIGHT * change

    def expected_wait_s(self, service: ServiceName) -> Seconds:
        """
        Estimate the wait of a request that came now.

        :param service: the service.
        :returns: seconds.
        """
        slots = sum(
            self._instance_state.share_by_target.get(target_id, _NO_SHARE).slots
            for target_id in self._instance_state.shared_targets_by_service.get(
                service, ()
            )
        )
        waiting = self._queue.size(service)
        return waiting * self._service_s / max(slots, 1)

    def count_waiting(self) -> int:
        """
        Count the requests that wait.

        :returns: the number over all services.
        """
        return sum(
            self._queue.size(service) for service in self._queue.services()
        )

    def _choose(
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

    def _reserve(self, target: Target) -> None:
        target_id = target.target_id
        used = self._instance_state.slots_in_use_by_target.get(target_id, 0) + 1
        self._instance_state.slots_in_use_by_target[target_id] = used
        share = self._instance_state.share_by_target.get(target_id, _NO_SHARE)
        INVARIANTS.check(
            'slots_within_share',
            is_held=used <= share.slots,
            detail=f'target={target_id} used={used} share={share.slots}',
        )

    def _pump_service(self, service: ServiceName) -> None:
        while self._queue.size(service):
            if isinstance(self._choose(service, frozenset()), NoneAvailable):
                return
            waiting = self._queue.pop(service)
            if waiting is None:
                return
            choice = self._choose(service, waiting.excluded)
            if isinstance(choice, TargetChoice):
                self._reserve(choice.target)
            waiting.slot.set(choice)

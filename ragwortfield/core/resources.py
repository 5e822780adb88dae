"""Amounts of processor, memory and accelerators."""

from dataclasses import dataclass

#: Grants are compared with a tolerance far below one millicore, so that the
#: order in which floating-point amounts are added never refuses a fit.
_CPU_TOLERANCE_CORES = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """
    Amount of each resource of a worker.

    :param cpu: processor cores, may be fractional.
    :param memory_mb: memory in MiB.
    :param accelerators: whole accelerators.
    """

    cpu: float = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """
        Add two amounts.

        :param other: the amount to add.
        :returns: the sum, resource by resource.
        """
        return Resources(
            cpu=self.cpu + other.cpu,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """
        Subtract an amount.

        :param other: the amount to take away.
        :returns: the difference; may be negative.
        """
        return Resources(
            cpu=self.cpu - other.cpu,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def is_within(self, limit: 'Resources') -> bool:
        """
        Tell whether this amount fits into a limit.

        :param limit: the amount available.
        :returns: whether no resource exceeds the limit.
        """
        return (
            self.cpu <= limit.cpu + _CPU_TOLERANCE_CORES
            and self.memory_mb <= limit.memory_mb
            and self.accelerators <= limit.accelerators
        )

    def dominant_share(self, capacity: 'Resources') -> float:
        """
        Give the load that this amount puts on the scarcest resource.

        :param capacity: size of the worker.
        :returns: fraction; 1 means full.
        """
        pairs = (
            (self.cpu, capacity.cpu),
            (self.memory_mb, capacity.memory_mb),
            (self.accelerators, capacity.accelerators),
        )
        return max((used / size for used, size in pairs if size), default=0)


def sum_resources(amounts: 'list[Resources]') -> Resources:
    """
    Sum a list of amounts.

    :param amounts: the amounts to add, in any order.
    :returns: the sum; zero for an empty list.
    """
    total = Resources()
    for amount in amounts:
        total = total.plus(amount)
    return total

"""Amounts of CPU, memory and accelerators."""

from dataclasses import dataclass

#: Tolerance when CPU amounts are compared, in cores. Far below one millicore;
#: it absorbs rounding errors that depend on the order of additions.
_CPU_TOLERANCE_CORES = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """
    Amounts of CPU, memory and accelerators.

    :param cpu: CPU cores; may be fractional.
    :param memory_mb: memory in MiB.
    :param accelerators: number of whole accelerators.
    """

    cpu: float = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """
        Add another amount to each resource.

        :param other: amount to add.
        :returns: the sum.
        """
        return Resources(
            cpu=self.cpu + other.cpu,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """
        Subtract another amount from each resource.

        :param other: amount to subtract.
        :returns: the difference; may be negative.
        """
        return Resources(
            cpu=self.cpu - other.cpu,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def is_within(self, limit: 'Resources') -> bool:
        """
        Return whether no resource exceeds a limit.

        :param limit: available amount.
        :returns: whether this amount fits, up to the CPU tolerance.
        """
        return (
            self.cpu <= limit.cpu + _CPU_TOLERANCE_CORES
            and self.memory_mb <= limit.memory_mb
            and self.accelerators <= limit.accelerators
        )

    def dominant_share(self, capacity: 'Resources') -> float:
        """
        Return the largest fraction of a capacity that any resource uses.

        Resources of which the capacity has none are left out.

        :param capacity: capacity of the worker.
        :returns: fraction of the capacity; 1 means full.
        """
        pairs = (
            (self.cpu, capacity.cpu),
            (self.memory_mb, capacity.memory_mb),
            (self.accelerators, capacity.accelerators),
        )
        return max((used / size for used, size in pairs if size), default=0)


def sum_resources(amounts: 'list[Resources]') -> Resources:
    """
    Add up a list of amounts.

    :param amounts: amounts to add.
    :returns: the sum; zero for an empty list.
    """
    total = Resources()
    for amount in amounts:
        total = total.plus(amount)
    return total

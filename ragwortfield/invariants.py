"""Invariants checked while the program runs.

A violation is counted and logged; under test it raises as well, so that no
randomised run passes over it.
"""

from absl import logging

from ragwortfield.log import event


class InvariantError(AssertionError):
    """An invariant of the program does not hold."""


class InvariantChecker:
    """
    Count of the violations seen by one process.

    :param is_raising: whether a violation raises, as tests want it.
    """

    def __init__(self, *, is_raising: bool = False) -> None:
        """Create a count of zero."""
        self.count_by_name: dict[str, int] = {}
        self.is_raising = is_raising

    def check(self, name: str, *, is_satisfied: bool, detail: str = '') -> None:
        """
        Count and log a violation.

        :param name: name of the invariant, as in docs/INVARIANTS.md.
        :param is_satisfied: whether the invariant holds.
        :param detail: values that show the violation.
        :raises InvariantError: when it does not hold and ``is_raising``.
        """
        if is_satisfied:
            return
        self.count_by_name[name] = self.count_by_name.get(name, 0) + 1
        event(
            'invariant_violated', level=logging.ERROR, name=name, detail=detail
        )
        if self.is_raising:
            raise InvariantError(f'{name}: {detail}')

    def total(self) -> int:
        """
        Count all violations.

        :returns: the number since the process started.
        """
        return sum(self.count_by_name.values())


#: Invariants of this process.
INVARIANTS = InvariantChecker()

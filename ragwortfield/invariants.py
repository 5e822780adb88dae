"""Invariants checked while the program runs.

A violation is counted and logged. Under test it also raises an error, so that
no randomised run misses it.
"""

from absl import logging

from ragwortfield.log import event


class InvariantError(AssertionError):
    """An invariant is violated."""


class InvariantChecker:
    """
    Checks invariants and counts violations by name of the invariant.

    :param is_raising: whether a violation raises an error; for tests.
    """

    def __init__(self, *, is_raising: bool = False) -> None:
        """Create a checker without violations."""
        self.count_by_name: dict[str, int] = {}
        self.is_raising = is_raising

    def check(self, name: str, *, is_satisfied: bool, detail: str = '') -> None:
        """
        Check an invariant; a violation is counted and logged.

        :param name: name of the invariant, as in docs/INVARIANTS.md.
        :param is_satisfied: whether the invariant is satisfied.
        :param detail: values that explain a violation, for the log.
        :raises InvariantError: on a violation, if ``is_raising``.
        """
        if is_satisfied:
            return
        self.count_by_name[name] = self.count_by_name.get(name, 0) + 1
        event(
            'invariant_violated',
            level=logging.ERROR,
            invariant=name,
            detail=detail,
        )
        if self.is_raising:
            raise InvariantError(f'{name}: {detail}')

    def count_violations(self) -> int:
        """
        Count the violations of all invariants.

        :returns: number of violations since the process started.
        """
        return sum(self.count_by_name.values())


#: Checker shared by the whole process.
INVARIANTS = InvariantChecker()

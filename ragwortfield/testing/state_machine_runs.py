"""Randomised runs of state machines, with seeds that can be repeated."""

from dataclasses import dataclass
from typing import Any

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)

#: Runs of a machine inside the test suite.
_SUITE_RUNS = 25


@dataclass(kw_only=True)
class StepCounter:
    """Steps of all machines in this process."""

    count: int = 0


#: Steps that ran in this process.
STEP_COUNTER = StepCounter()


def run_state_machine(
    machine: type[RuleBasedStateMachine],
    *,
    steps: int,
    runs: int = _SUITE_RUNS,
    first_seed: int = 1,
    is_shrinking: bool = True,
) -> None:
    """
    Run a state machine with a fixed seed.

    :param machine: the machine.
    :param steps: steps of a run.
    :param runs: how many runs.
    :param first_seed: the seed.
    :param is_shrinking: whether to look for the shortest failing trace.
    :raises AssertionError: when an invariant does not hold.
    """
    phases = (Phase.generate, Phase.shrink)
    if not is_shrinking:
        phases = (Phase.generate,)
    plan = settings(
        max_examples=runs,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=False,
        print_blob=False,
        report_multiple_bugs=False,
        phases=phases,
        suppress_health_check=tuple(HealthCheck),
        verbosity=Verbosity.normal,
    )
    seeded = seed(first_seed)(_named(machine))
    run_state_machine_as_test(seeded, settings=plan)


def _named(
    machine: type[RuleBasedStateMachine],
) -> type[RuleBasedStateMachine]:
    # The seed is attached to the class, so each run gets a class of its own.
    return type(machine.__name__, (_Counted, machine), {})


class _Counted(RuleBasedStateMachine):
    """Counts the steps that really ran."""

    def check_invariants(self, *details: Any, **options: Any) -> None:
        """
        Count a step, then check.

        :param details: as in the base class.
        :param options: as in the base class.
        """
        STEP_COUNTER.count += 1
        super().check_invariants(*details, **options)

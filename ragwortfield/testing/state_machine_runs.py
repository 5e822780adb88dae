"""Randomised runs of Hypothesis state machines with fixed seeds."""

from dataclasses import dataclass
from typing import Any

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)

#: Runs of each state machine within the test suite.
_SUITE_RUNS = 25


@dataclass(kw_only=True)
class StepCounter:
    """Counter of the steps of all state machines of this process."""

    count: int = 0


#: Steps that have run in this process.
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

    :param machine: class of the state machine.
    :param steps: maximum number of steps of a run.
    :param runs: number of runs.
    :param first_seed: seed of all runs.
    :param is_shrinking: whether to shrink a failing trace.
    :raises AssertionError: when an invariant is violated.
    """
    phases = (Phase.generate, Phase.shrink)
    if not is_shrinking:
        phases = (Phase.generate,)
    run_settings = settings(
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
    seeded_machine = seed(first_seed)(_make_counting_class(machine))
    run_state_machine_as_test(seeded_machine, settings=run_settings)


def _make_counting_class(
    machine: type[RuleBasedStateMachine],
) -> type[RuleBasedStateMachine]:
    # Hypothesis attaches the seed to the class, so each call needs a new class.
    return type(machine.__name__, (_StepCountingMixin, machine), {})


class _StepCountingMixin(RuleBasedStateMachine):
    """Mixin that counts the steps that ran."""

    def check_invariants(self, *details: Any, **options: Any) -> None:
        """
        Count a step, then check the invariants.

        :param details: positional arguments of the base class.
        :param options: keyword arguments of the base class.
        """
        STEP_COUNTER.count += 1
        super().check_invariants(*details, **options)

"""Long randomised runs: ``python -m ragwortfield.testing.long_run NAME``.

Runs the state machine of ``ragwortfield.tests.test_NAME_machine``, for
example with ``--seed 7 --seeds 50 --runs 20 --steps 50``. Prints each seed;
a failure is printed as a shrunk trace.
"""

import importlib
import sys

from absl import app, flags, logging

from ragwortfield.invariants import INVARIANTS
from ragwortfield.testing.state_machine_runs import (
    STEP_COUNTER,
    run_state_machine,
)

_SEED = flags.DEFINE_integer('seed', 1, 'First seed.')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'Number of consecutive seeds.')
_RUNS = flags.DEFINE_integer('runs', 20, 'Number of runs for each seed.')
_SHRINK = flags.DEFINE_bool(
    'shrink', True, 'Whether to shrink a failing trace.'
)
_STEPS = flags.DEFINE_integer('steps', 50, 'Maximum number of steps of a run.')


def main(arguments: list[str]) -> int:
    """
    Run one state machine with a range of seeds.

    :param arguments: program name and name of the state machine.
    :returns: exit status.
    """
    logging.set_verbosity(logging.FATAL)
    INVARIANTS.is_raising = True
    name = arguments[1]
    module = importlib.import_module(
        f'ragwortfield.tests.test_{name}_machine',
    )
    machine = getattr(module, f'{name.capitalize()}Machine')
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        sys.stdout.write(f'machine={name} seed={seed} runs={_RUNS.value}\n')
        run_state_machine(
            machine,
            steps=_STEPS.value,
            runs=_RUNS.value,
            first_seed=seed,
            is_shrinking=_SHRINK.value,
        )
    sys.stdout.write(
        f'machine={name} seeds={_SEEDS.value} '
        f'runs={_SEEDS.value * _RUNS.value} steps={STEP_COUNTER.count} '
        'violations=0\n',
    )
    return 0


if __name__ == '__main__':
    flags.FLAGS.set_gnu_getopt(gnu_getopt=True)
    app.run(main)

"""Soak of the deployed processes: ``python -m ragwortfield.soak.main``.

Prints a line for each seed and each violation, and ends with status 1 if there
was one. Events and logs are kept in a folder for each seed.
"""

# Sockets must be patched before any other module imports them.
from gevent import monkey

monkey.patch_all()

import sys
from pathlib import Path

from absl import app, flags, logging

from ragwortfield.soak.processes import build
from ragwortfield.soak.run import (
    CLIENT_THEME,
    STORM_THEME,
    THEMES,
    SoakPlan,
    run_soak,
)
from ragwortfield.soak.site import full_site, long_stop_site, small_site

_ROOT = flags.DEFINE_string(
    'root', '.', 'Folder of the sources that are deployed.'
)
_SEED = flags.DEFINE_integer('seed', 1, 'First seed.')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'Number of consecutive seeds.')
_TRAFFIC_S = flags.DEFINE_float(
    'traffic_s', 30, 'Duration of the traffic of each seed, in seconds.'
)
_IS_SMALL = flags.DEFINE_bool('small', False, 'Whether to use the small site.')
_INSTANCES = flags.DEFINE_integer(
    'long_stops',
    0,
    'Number of instances of the site with long stops; 0 for another site.',
)
_THEME = flags.DEFINE_enum(
    'theme',
    '',
    ['', *THEMES, CLIENT_THEME, STORM_THEME],
    'Kind of faults; by default by the seed.',
)
_KINDS = flags.DEFINE_list(
    'kinds', [], 'Kinds of faults to strike in turn, instead of a theme.'
)
_OUTPUT = flags.DEFINE_string('output', 'var/soak', 'Folder for the records.')


def main(_arguments: list[str]) -> int:
    """
    Run the soak.

    :param _arguments: program name.
    :returns: exit status.
    """
    logging.set_verbosity(logging.FATAL)
    site = (small_site if _IS_SMALL.value else full_site)(_TRAFFIC_S.value)
    if _INSTANCES.value:
        site = long_stop_site(_TRAFFIC_S.value, _INSTANCES.value)
    role = build(Path(_ROOT.value).resolve())
    broken = 0
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        plan = SoakPlan(
            seed=seed,
            site=site,
            theme=_THEME.value or THEMES[seed % len(THEMES)],
            kinds=tuple(_KINDS.value),
        )
        report = run_soak(plan, role, Path(_OUTPUT.value) / f'seed-{seed}')
        sys.stdout.write(f'{report.text()}\n')
        sys.stdout.flush()
        broken += bool(report.violations)
    sys.stdout.write(f'{_SEEDS.value - broken} passed, {broken} failed\n')
    return 1 if broken else 0


if __name__ == '__main__':
    app.run(main)

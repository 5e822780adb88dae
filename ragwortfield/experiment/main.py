"""Simulations with random workloads: ``ragwortfield-experiment``."""

import sys
from pathlib import Path

import msgspec
import pygal
from absl import app, flags, logging

from ragwortfield.experiment.loads import FILLERS, URGENT, make_pool_workload
from ragwortfield.experiment.simulation import Simulation, SimulationResult

#: Default submission time, in seconds. The smallest default pool then gets a
#: few hundred jobs.
_DEFAULT_SUBMISSION_S = 20

_WORKERS = flags.DEFINE_list(
    'workers',
    ['24', '66'],
    'Pool sizes to simulate, in workers.',
)
_SEEDS = flags.DEFINE_list('seeds', ['1'], 'Seeds of the random workloads.')
_SECONDS = flags.DEFINE_float(
    'seconds',
    _DEFAULT_SUBMISSION_S,
    'Simulated time during which jobs are submitted, in seconds.',
    lower_bound=1,
)
_SLOW_SHARE = flags.DEFINE_float(
    'slow_share',
    0,
    'Fraction of the workers on which tasks take 7.5 times as long.',
    lower_bound=0,
    upper_bound=1,
)
_OUTPUT = flags.DEFINE_string(
    'output',
    '',
    'Directory for results.jsonl and cost.svg; if empty, no files are written.',
)

#: Upper end of the plot's axis, as a multiple of the largest value.
_AXIS_HEADROOM_FACTOR = 1.1
_HEADER = (
    'workers   seed    runs  ms a run  slowest ms  urgent  fillers  serving'
    '  missed  filler core s  longest miss s'
)


def main(_arguments: list[str]) -> int:
    """
    Run a simulation for each pool size and seed of the flags.

    :returns: exit status.
    """
    logging.set_verbosity(logging.FATAL)
    sys.stdout.write(f'{_HEADER}\n')
    results = []
    for workers in _parse_positive_integers('workers', _WORKERS.value):
        for seed in _parse_positive_integers('seeds', _SEEDS.value):
            simulation = Simulation(
                workload=make_pool_workload(
                    workers, slow_share=_SLOW_SHARE.value
                ),
                seed=seed,
            )
            results.append(simulation.run(_SECONDS.value))
            sys.stdout.write(f'{format_result(results[-1])}\n')
    if _OUTPUT.value:
        _write_results(Path(_OUTPUT.value), results)
    return 0


def run() -> None:
    """Entry point of the command line."""
    app.run(main)


def format_result(result: SimulationResult) -> str:
    """
    Format a result as a row of the table.

    :param result: result of a simulation.
    :returns: the row, without a line break.
    """
    on_time = result.on_time_by_queue
    return (
        f'{result.workers:7} {result.seed:6} {result.runs:7} '
        f'{result.decision_ms_a_run:9.3f} {result.slowest_round_ms:11.1f} '
        f'{on_time.get(URGENT, 0):7.3f} {on_time.get(FILLERS, 0):8.3f} '
        f'{result.serving:8.3f} {result.missed_share:7.4f} '
        f'{result.filler_work_s:14.0f} {result.longest_miss_s:15.2f}'
    )


def render_cost_plot(results: list[SimulationResult]) -> bytes:
    """
    Plot the CPU time of the decisions per run over the pool size.

    :param results: results of simulations.
    :returns: an SVG document.
    """
    largest_ms = max(
        (result.decision_ms_a_run for result in results),
        default=0,
    )
    chart = pygal.XY(
        title='CPU time of the decisions per run',
        x_title='workers',
        y_title='ms',
        range=(0, largest_ms * _AXIS_HEADROOM_FACTOR),
        js=[],
    )
    for seed in sorted({result.seed for result in results}):
        chart.add(
            f'seed {seed}',
            [
                (result.workers, result.decision_ms_a_run)
                for result in results
                if result.seed == seed
            ],
        )
    return chart.render()


def _parse_positive_integers(name: str, texts: list[str]) -> list[int]:
    numbers = []
    for text in texts:
        if not text.isdigit() or int(text) < 1:
            raise app.UsageError(
                f'--{name}: {text!r} is not a positive integer',
            )
        numbers.append(int(text))
    return numbers


def _write_results(folder: Path, results: list[SimulationResult]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    encoder = msgspec.json.Encoder()
    lines = encoder.encode_lines([result.to_document() for result in results])
    (folder / 'results.jsonl').write_bytes(lines)
    (folder / 'cost.svg').write_bytes(render_cost_plot(results))

"""Trials of the decisions on drawn loads: ``ragwortfield-experiment``."""

import sys
from pathlib import Path

import msgspec
import pygal
from absl import app, flags, logging

from ragwortfield.experiment.loads import FILLERS, URGENT, make_pool_workload
from ragwortfield.experiment.simulation import Simulation, SimulationResult

#: Time in which a few hundred jobs are drawn for the smallest pool.
_DEFAULT_SECONDS = 20

_WORKERS = flags.DEFINE_list(
    'workers',
    ['24', '66'],
    'Sizes of the pool, in workers.',
)
_SEEDS = flags.DEFINE_list('seeds', ['1'], 'Seeds of the drawn loads.')
_SECONDS = flags.DEFINE_float(
    'seconds',
    _DEFAULT_SECONDS,
    'How long jobs are handed in, in seconds.',
    lower_bound=1,
)
_OUTPUT = flags.DEFINE_string(
    'output',
    '',
    'Folder for results.jsonl and cost.svg; nothing is written without it.',
)

#: Height of the plot as a multiple of its highest point.
_AIR = 1.1
_HEADER = (
    'workers   seed    runs  ms a run  slowest ms  urgent  fillers  serving'
)


def main(_arguments: list[str]) -> int:
    """
    Run the trials that the flags ask for.

    :returns: exit status.
    """
    logging.set_verbosity(logging.FATAL)
    sys.stdout.write(f'{_HEADER}\n')
    results = []
    for workers in _parse_positive_integers('workers', _WORKERS.value):
        for seed in _parse_positive_integers('seeds', _SEEDS.value):
            trial = Simulation(workload=make_pool_workload(workers), seed=seed)
            results.append(trial.run(_SECONDS.value))
            sys.stdout.write(f'{format_result(results[-1])}\n')
    if _OUTPUT.value:
        _write(Path(_OUTPUT.value), results)
    return 0


def run() -> None:
    """Start from the command line."""
    app.run(main)


def format_result(result: SimulationResult) -> str:
    """
    Format a result as a row of the table.

    :param result: the result.
    :returns: one line.
    """
    on_time = result.on_time_by_queue
    return (
        f'{result.workers:7} {result.seed:6} {result.runs:7} '
        f'{result.decision_ms_a_run:9.3f} {result.slowest_round_ms:11.1f} '
        f'{on_time.get(URGENT, 0):7.3f} {on_time.get(FILLERS, 0):8.3f} '
        f'{result.serving:8.3f}'
    )


def render_cost_plot(results: list[SimulationResult]) -> bytes:
    """
    Plot what a run costs over the size of the pool.

    :param results: results of trials.
    :returns: an SVG document.
    """
    dearest = max((one.decision_ms_a_run for one in results), default=0)
    chart = pygal.XY(
        title='Processor of the decisions on one run',
        x_title='workers',
        y_title='ms',
        range=(0, dearest * _AIR),
        js=[],
    )
    for seed in sorted({one.seed for one in results}):
        chart.add(
            f'seed {seed}',
            [
                (one.workers, one.decision_ms_a_run)
                for one in results
                if one.seed == seed
            ],
        )
    return chart.render()


def _parse_positive_integers(name: str, texts: list[str]) -> list[int]:
    numbers = []
    for text in texts:
        if not text.isdigit() or int(text) < 1:
            raise app.UsageError(
                f'--{name}: {text!r} is not a whole number above 0',
            )
        numbers.append(int(text))
    return numbers


def _write(folder: Path, results: list[SimulationResult]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    encoder = msgspec.json.Encoder()
    lines = encoder.encode_lines([one.to_document() for one in results])
    (folder / 'results.jsonl').write_bytes(lines)
    (folder / 'cost.svg').write_bytes(render_cost_plot(results))

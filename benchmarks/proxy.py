"""Small proxied answers: one entry process against the direct path."""

# Sockets must be patched before any other module imports them.
from gevent import monkey

monkey.patch_all()

import random
import resource
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import gevent
from absl import app, flags
from hdrh.histogram import HdrHistogram

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import HeaderFields, WholeAnswer
from ragwortfield.http_api.headers import TEAM_HEADER, TOKEN_HEADER
from ragwortfield.testing.entry_deployment import (
    CONFIGURATION,
    SERVICE,
    TEAM,
    TEAM_TOKEN,
    EntryDeployment,
)

_CALLERS = flags.DEFINE_integer('callers', 16, 'Callers at full load.')
_SECONDS = flags.DEFINE_float('seconds', 5, 'Length of each part.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the arrivals.')

_TIMEOUTS = Timeouts(first_byte_s=5, total_s=5)
_FIELDS: HeaderFields = ((TEAM_HEADER, TEAM), (TOKEN_HEADER, TEAM_TOKEN))
_STEP_MS = 40
_US = 1_000_000


@dataclass(frozen=True, kw_only=True)
class Route:
    """One way to the target."""

    name: str
    address: str
    request: HttpRequest


def main(arguments: list[str]) -> int:
    """
    Run the benchmark and print its figures.

    :param arguments: command line after flag parsing.
    :returns: exit status; 1 when an answer was lost.
    """
    folder = Path(tempfile.mkdtemp(prefix='ragwortfield-bench-'))
    trial = EntryDeployment(folder=folder)
    try:
        return _run(trial)
    finally:
        trial.stop()


def _run(trial: EntryDeployment) -> int:
    paths = _start(trial)
    idle_mb = _resident_mb(trial, 'entry-1')
    rate_by_name = {path.name: _full_load(path) for path in paths}
    cpu = _cpu_s(trial, 'entry-1')
    entry_rate = rate_by_name['entry']
    direct = _half_load(paths[0], entry_rate / 2)
    proxied = _half_load(paths[1], entry_rate / 2)
    used_s = _cpu_s(trial, 'entry-1') - cpu
    sent = entry_rate / 2 * _SECONDS.value
    lines = [
        f'full load, {_CALLERS.value} callers: '
        + ', '.join(
            f'{name} {rate:.0f}/s' for name, rate in rate_by_name.items()
        )
        + f', ratio {entry_rate / rate_by_name["direct"]:.2f}',
        f'half load, {entry_rate / 2:.0f}/s open loop, added latency: '
        f'p50 {_ms(proxied, 50) - _ms(direct, 50):.2f} ms, '
        f'p99 {_ms(proxied, 99) - _ms(direct, 99):.2f} ms',
        f'half load, direct p50 {_ms(direct, 50):.2f} p99 '
        f'{_ms(direct, 99):.2f} ms, entry p50 {_ms(proxied, 50):.2f} p99 '
        f'{_ms(proxied, 99):.2f} ms',
        f'entry at half load: {used_s / sent * 1000:.3f} ms of processor '
        f'a request, {sent / used_s:.0f} requests/s a core',
        f'answers slower than {_STEP_MS} ms at half load: '
        f'{_slower(proxied)} of {proxied.get_total_count()}',
        f'memory of the idle entry process: {idle_mb:.1f} MB',
        f'machine: {resource.getpagesize()} B pages, python '
        f'{sys.version.split()[0]}',
    ]
    sys.stdout.write('\n'.join(lines) + '\n')
    return 0


def _start(trial: EntryDeployment) -> list[Route]:
    trial.start_platform()
    worker = trial.start_worker('worker-1', 'bergamo', slots=1000)
    entry = trial.start_entry('entry-1', 'bergamo', log_level='warning')
    trial.wait_for(lambda: trial.is_answering(entry.address, '/health'))
    text = CONFIGURATION.replace('slots = 8', 'slots = 1000')
    trial.accept_configuration(
        'entry-1',
        text.replace('connections = 64', 'connections = 1000'),
    )
    trial.wait_until_ready()
    echo = '/echo?n=1'
    return [
        Route(
            name='direct',
            address=worker.address,
            request=HttpRequest(method='GET', path=echo),
        ),
        Route(
            name='entry',
            address=entry.address,
            request=HttpRequest(
                method='GET',
                path=f'/services/{SERVICE}{echo}',
                fields=_FIELDS,
            ),
        ),
    ]


def _full_load(path: Route) -> float:
    until = time.monotonic() + _SECONDS.value
    callers = [
        gevent.spawn(_call_until, path, until) for _ in range(_CALLERS.value)
    ]
    gevent.joinall(callers)
    return sum(caller.value for caller in callers) / _SECONDS.value


def _call_until(path: Route, until: float) -> int:
    pool = HttpConnectionPool(address=path.address)
    calls = 0
    while time.monotonic() < until:
        _check(pool.exchange(path.request, _TIMEOUTS))
        calls += 1
    return calls


def _half_load(path: Route, rate_per_s: float) -> HdrHistogram:
    histogram = HdrHistogram(1, 60 * _US, 3)
    random_generator = random.Random(_SEED.value)
    pool = HttpConnectionPool(address=path.address)
    started_at = time.monotonic()
    due_s = 0.0
    greenlets = []
    while due_s < _SECONDS.value:
        due_s += random_generator.expovariate(rate_per_s)
        ahead_s = started_at + due_s - time.monotonic()
        if ahead_s > 0:
            gevent.sleep(ahead_s)
        greenlets.append(
            gevent.spawn(_timed, pool, path, histogram, started_at + due_s),
        )
    gevent.joinall(greenlets)
    return histogram


def _timed(
    pool: HttpConnectionPool,
    path: Route,
    histogram: HdrHistogram,
    due_at: float,
) -> None:
    _check(pool.exchange(path.request, _TIMEOUTS))
    histogram.record_value(max(int((time.monotonic() - due_at) * _US), 1))


def _check(outcome: object) -> None:
    if not isinstance(outcome, WholeAnswer) or outcome.status != 200:
        raise RuntimeError(f'no answer: {outcome}')


def _ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / 1000


def _slower(histogram: HdrHistogram) -> int:
    slower = 0
    for item in histogram.get_recorded_iterator():
        if item.value_iterated_to > _STEP_MS * 1000:
            slower += item.count_added_in_this_iter_step
    return slower


def _resident_mb(trial: EntryDeployment, name: str) -> float:
    process = trial.entry_by_id[name].process.pid
    status = Path(f'/proc/{process}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0


def _cpu_s(trial: EntryDeployment, name: str) -> float:
    process = trial.entry_by_id[name].process.pid
    fields = Path(f'/proc/{process}/stat').read_text(encoding='utf-8').split()
    ticks = int(fields[13]) + int(fields[14])
    per_s = subprocess.run(
        ['getconf', 'CLK_TCK'],
        capture_output=True,
        text=True,
        check=True,
    )
    return ticks / int(per_s.stdout)


if __name__ == '__main__':
    app.run(main)

"""Benchmark of small proxied requests: one entry process or direct calls."""

# gevent must patch the sockets before any other module imports them.
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

_CALLERS = flags.DEFINE_integer(
    'callers', 16, 'Number of concurrent callers at full load.'
)
_SECONDS = flags.DEFINE_float(
    'seconds', 5, 'Duration of each measurement, in seconds.'
)
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the random arrival times.')

_TIMEOUTS = Timeouts(first_byte_s=5, total_s=5)
_HEADERS: HeaderFields = ((TEAM_HEADER, TEAM), (TOKEN_HEADER, TEAM_TOKEN))
#: Latency above which a response counts as slow, in milliseconds.
_SLOW_RESPONSE_MS = 40
_US_PER_S = 1_000_000


@dataclass(frozen=True, kw_only=True)
class Route:
    """
    Route on which requests reach the target.

    :param name: ``direct``, or ``entry`` for the route through the entry
        instance.
    :param address: host and port to connect to.
    :param request: request to send.
    """

    name: str
    address: str
    request: HttpRequest


def main(arguments: list[str]) -> int:
    """
    Run the benchmark and print the results.

    :param arguments: program name and positional arguments.
    :returns: exit status 0.
    """
    folder = Path(tempfile.mkdtemp(prefix='ragwortfield-bench-'))
    deployment = EntryDeployment(folder=folder)
    try:
        return _run_benchmark(deployment)
    finally:
        deployment.stop()


def _run_benchmark(deployment: EntryDeployment) -> int:
    routes = _start_deployment(deployment)
    idle_mb = _read_resident_mb(deployment, 'entry-1')
    rate_by_name = {route.name: _measure_throughput(route) for route in routes}
    cpu_before_s = _read_cpu_s(deployment, 'entry-1')
    entry_rate = rate_by_name['entry']
    direct = _measure_latency(routes[0], entry_rate / 2)
    proxied = _measure_latency(routes[1], entry_rate / 2)
    used_cpu_s = _read_cpu_s(deployment, 'entry-1') - cpu_before_s
    request_count = entry_rate / 2 * _SECONDS.value
    lines = [
        f'full load, {_CALLERS.value} callers: '
        + ', '.join(
            f'{name} {rate:.0f}/s' for name, rate in rate_by_name.items()
        )
        + f', ratio {entry_rate / rate_by_name["direct"]:.2f}',
        f'half load, {entry_rate / 2:.0f}/s open loop, added latency: '
        f'p50 {_get_ms(proxied, 50) - _get_ms(direct, 50):.2f} ms, '
        f'p99 {_get_ms(proxied, 99) - _get_ms(direct, 99):.2f} ms',
        f'half load, direct p50 {_get_ms(direct, 50):.2f} p99 '
        f'{_get_ms(direct, 99):.2f} ms, entry p50 '
        f'{_get_ms(proxied, 50):.2f} p99 '
        f'{_get_ms(proxied, 99):.2f} ms',
        f'entry at half load: {used_cpu_s / request_count * 1000:.3f} ms of '
        f'CPU time per request, {request_count / used_cpu_s:.0f} requests/s '
        'per core',
        f'responses slower than {_SLOW_RESPONSE_MS} ms at half load: '
        f'{_count_slow(proxied)} of {proxied.get_total_count()}',
        f'memory of the idle entry process: {idle_mb:.1f} MB',
        f'machine: {resource.getpagesize()} B pages, python '
        f'{sys.version.split()[0]}',
    ]
    sys.stdout.write('\n'.join(lines) + '\n')
    return 0


def _start_deployment(deployment: EntryDeployment) -> list[Route]:
    deployment.start_platform()
    worker = deployment.start_worker('worker-1', 'bergamo', slots=1000)
    entry = deployment.start_entry_instance(
        'entry-1', 'bergamo', log_level='warning'
    )
    deployment.wait_for(
        lambda: deployment.is_answering(entry.address, '/health')
    )
    text = CONFIGURATION.replace('slots = 8', 'slots = 1000')
    deployment.accept_configuration(
        'entry-1',
        text.replace('connections = 64', 'connections = 1000'),
    )
    deployment.wait_until_ready()
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
                fields=_HEADERS,
            ),
        ),
    ]


def _measure_throughput(route: Route) -> float:
    end_at = time.monotonic() + _SECONDS.value
    callers = [
        gevent.spawn(_call_until, route, end_at) for _ in range(_CALLERS.value)
    ]
    gevent.joinall(callers)
    return sum(caller.value for caller in callers) / _SECONDS.value


def _call_until(route: Route, end_at: float) -> int:
    pool = HttpConnectionPool(address=route.address)
    calls = 0
    while time.monotonic() < end_at:
        _require_success(pool.exchange(route.request, _TIMEOUTS))
        calls += 1
    return calls


def _measure_latency(route: Route, rate_per_s: float) -> HdrHistogram:
    histogram = HdrHistogram(1, 60 * _US_PER_S, 3)
    random_generator = random.Random(_SEED.value)
    pool = HttpConnectionPool(address=route.address)
    started_at = time.monotonic()
    due_s = 0.0
    greenlets = []
    while due_s < _SECONDS.value:
        due_s += random_generator.expovariate(rate_per_s)
        ahead_s = started_at + due_s - time.monotonic()
        if ahead_s > 0:
            gevent.sleep(ahead_s)
        greenlets.append(
            gevent.spawn(
                _record_request, pool, route, histogram, started_at + due_s
            ),
        )
    gevent.joinall(greenlets)
    return histogram


def _record_request(
    pool: HttpConnectionPool,
    route: Route,
    histogram: HdrHistogram,
    due_at: float,
) -> None:
    _require_success(pool.exchange(route.request, _TIMEOUTS))
    histogram.record_value(max(int((time.monotonic() - due_at) * _US_PER_S), 1))


def _require_success(outcome: object) -> None:
    if not isinstance(outcome, WholeAnswer) or outcome.status != 200:
        raise RuntimeError(
            f'expected a response with status 200, got {outcome}'
        )


def _get_ms(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / 1000


def _count_slow(histogram: HdrHistogram) -> int:
    slow_count = 0
    for item in histogram.get_recorded_iterator():
        if item.value_iterated_to > _SLOW_RESPONSE_MS * 1000:
            slow_count += item.count_added_in_this_iter_step
    return slow_count


def _read_resident_mb(deployment: EntryDeployment, name: str) -> float:
    process_id = deployment.entry_by_id[name].process.pid
    status = Path(f'/proc/{process_id}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0


def _read_cpu_s(deployment: EntryDeployment, name: str) -> float:
    process_id = deployment.entry_by_id[name].process.pid
    fields = (
        Path(f'/proc/{process_id}/stat').read_text(encoding='utf-8').split()
    )
    ticks = int(fields[13]) + int(fields[14])
    ticks_per_s = subprocess.run(
        ['getconf', 'CLK_TCK'],
        capture_output=True,
        text=True,
        check=True,
    )
    return ticks / int(ticks_per_s.stdout)


if __name__ == '__main__':
    app.run(main)

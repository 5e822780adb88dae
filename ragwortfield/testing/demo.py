"""The main job on embedded stand-ins: ``ragwortfield-demo``."""

# Sockets must be patched before any other module imports them.
from gevent import monkey

monkey.patch_all()

import json
import random
import signal
import sys
import tempfile
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from absl import app, flags

from ragwortfield.adapters.http_client import HttpRequest
from ragwortfield.core.jobs import JobSpec
from ragwortfield.core.resources import Resources
from ragwortfield.http_api.headers import TOKEN_HEADER
from ragwortfield.report.burn_rates import (
    compute_burn_rates,
    format_burn_report,
)
from ragwortfield.report.request_recorder import BurnBucket
from ragwortfield.testing.audit import Audit, audit_deployment
from ragwortfield.testing.entry_deployment import (
    SERVICE,
    TEAM,
    TEAM_TOKEN,
    EntryDeployment,
)
from ragwortfield.testing.load_generator import (
    FakeLoadBalancer,
    LoadRequest,
    LoadGenerator,
)
from ragwortfield.testing.fake_http_servers import InstanceListChange
from ragwortfield.types import Seconds

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load.')
_RATE = flags.DEFINE_float('rate', 150, 'Requests a second.')
_FOLDER = flags.DEFINE_string('folder', '', 'Folder for settings and logs.')

#: Length of the load, in seconds.
_LOAD_S = 20.0
#: When one instance is killed, in seconds after the load began.
_KILL_AT_S = 5.0
#: When the platform's list has noticed the loss, after it.
_LIST_NOTICE_S = 3.0
#: When one instance is stopped as planned.
_STOP_AT_S = 10.0
#: When a worker's tasks use more than they declared.
_PRESSURE_AT_S = 3.0
#: When they use what they declared again.
_RELIEF_AT_S = 8.0
#: Longest wait for jobs and deferred requests after the load, in seconds.
_SETTLE_S = 12.0
_ENTRIES = (
    ('bergamo-1', 'bergamo'),
    ('bergamo-2', 'bergamo'),
    ('milano-1', 'milano'),
    ('milano-2', 'milano'),
    ('torino-1', 'torino'),
)
_PLACES = ('bergamo', 'milano', 'torino')
_WORKERS_PER_PLACE = 2
_JOBS_PER_PLACE = 4
_MS_PER_S = 1000


@dataclass(kw_only=True)
class _Mix:
    """Mix of requests of a morning."""

    random_generator: random.Random
    repeats: list[LoadRequest] = field(default_factory=list)

    def next_call(self) -> LoadRequest:
        draw = self.random_generator.random()
        work_ms = 2 + self.random_generator.expovariate(1 / 8)
        path = (
            f'/echo?ms={work_ms:.1f}&n={self.random_generator.getrandbits(40)}'
        )
        if draw < 0.15:
            return self._booking()
        if draw < 0.2:
            return LoadRequest(path=path, request_class='deferred')
        if draw < 0.4:
            return LoadRequest(path=path, request_class='urgent', deadline_s=2)
        return LoadRequest(path=path)

    def _booking(self) -> LoadRequest:
        if self.repeats and self.random_generator.random() < 0.3:
            return self.random_generator.choice(self.repeats[-40:])
        booking = f'booking-{self.random_generator.getrandbits(48):012x}'
        call = LoadRequest(
            path='/bookings?ms=5',
            method='POST',
            body=booking.encode(),
            booking=booking,
            key=str(make_uuid7()),
        )
        self.repeats.append(call)
        return call


def make_uuid7() -> uuid.UUID:
    """
    Make a time-ordered UUID (RFC 9562, version 7).

    :returns: the identifier.
    """
    milliseconds = int(time.time() * _MS_PER_S)
    unique = uuid.uuid4().int
    number = milliseconds << 80
    number |= 7 << 76
    number |= unique & (2**12 - 1) << 64
    number |= 0b10 << 62
    number |= unique & (2**62 - 1)
    return uuid.UUID(int=number)


def main(arguments: list[str]) -> int:
    """
    Run the demonstration.

    :param arguments: command line after flag parsing.
    :returns: exit status; 1 when an invariant was violated.
    """
    folder = Path(_FOLDER.value or tempfile.mkdtemp(prefix='ragwortfield-'))
    folder.mkdir(parents=True, exist_ok=True)
    deployment = EntryDeployment(folder=folder)
    try:
        return _run(deployment)
    finally:
        deployment.stop()


def run() -> None:
    """Start from the command line."""
    app.run(main)


def _run(deployment: EntryDeployment) -> int:
    started_at = time.monotonic()
    _start(deployment)
    ready_s = time.monotonic() - started_at
    random_generator = random.Random(_SEED.value)
    balancer = FakeLoadBalancer(
        addresses=[
            running.address for running in deployment.entry_by_id.values()
        ],
        random_generator=random_generator,
    )
    watch = balancer.start()
    runner = LoadGenerator(
        balancer=balancer,
        service=SERVICE,
        team=TEAM,
        token=TEAM_TOKEN,
    )
    jobs = _submit_jobs(deployment)
    faults = _schedule_faults(deployment)
    runner.run(
        _Mix(random_generator=random_generator).next_call,
        rate_per_s=_RATE.value,
        duration_s=_LOAD_S,
        random_generator=random_generator,
    )
    gevent.joinall(faults, raise_error=True)
    _settle(deployment, runner, jobs)
    watch.kill()
    audit = audit_deployment(deployment, runner.result)
    audit.check(
        'planned_stop_is_clean',
        is_satisfied=deployment.entry_by_id['milano-1'].process.poll() == 0,
        detail='milano-1 did not end with status 0',
    )
    killed = deployment.entry_by_id['bergamo-1'].address
    audit.check(
        'only_a_killed_instance_cuts_off',
        is_satisfied=runner.result.broken_addresses <= {killed},
        detail=f'requests were cut off at {runner.result.broken_addresses}',
    )
    _print_report(deployment, runner, audit, ready_s)
    sys.stdout.write(f'took {time.monotonic() - started_at:.1f} s\n')
    return 1 if audit.violations else 0


def _start(deployment: EntryDeployment) -> None:
    deployment.start_platform()
    for place in _PLACES:
        for number in range(1, _WORKERS_PER_PLACE + 1):
            deployment.start_worker(f'worker-{place}-{number}', place)
    for name, place in _ENTRIES:
        deployment.start_entry_instance(name, place, log_level='info')
    first = deployment.entry_by_id['bergamo-1']
    deployment.wait_for(
        lambda: deployment.is_answering(first.address, '/health'),
    )
    deployment.accept_configuration('bergamo-1')
    deployment.wait_until_ready()


def _submit_jobs(deployment: EntryDeployment) -> list[str]:
    names: list[str] = []
    for place in _PLACES:
        specs = [
            JobSpec(
                name=f'payroll-{number}',
                team=TEAM,
                resources=Resources(cpu=8, memory_mb=1000),
                command='sleep 10',
            )
            for number in range(_JOBS_PER_PLACE)
        ]
        answer = deployment.call_operator_api(
            'bergamo-1',
            'POST',
            'jobs',
            {'jobs': specs, 'data_centre': place},
        )
        names.extend(json.loads(answer.body)['jobs'])
    return names


def _schedule_faults(deployment: EntryDeployment) -> list[gevent.Greenlet]:
    entries = deployment.entry_by_id
    return [
        _later(
            _KILL_AT_S,
            lambda: deployment.send_signal(
                entries['bergamo-1'],
                signal.SIGKILL,
            ),
        ),
        _later(
            _KILL_AT_S + _LIST_NOTICE_S,
            lambda: deployment.change_instance_list(
                InstanceListChange(remove=('bergamo-1',))
            ),
        ),
        _later(
            _STOP_AT_S,
            lambda: deployment.send_signal(
                entries['milano-1'],
                signal.SIGTERM,
            ),
        ),
        _later(
            _PRESSURE_AT_S,
            lambda: deployment.set_worker_faults(
                'worker-torino-1',
                usage_factor=4,
            ),
        ),
        _later(
            _RELIEF_AT_S,
            lambda: deployment.set_worker_faults(
                'worker-torino-1',
                usage_factor=1,
            ),
        ),
    ]


def _later(after_s: Seconds, act: Callable[[], Any]) -> gevent.Greenlet:
    return gevent.spawn_later(after_s, act)


def _settle(
    deployment: EntryDeployment,
    runner: LoadGenerator,
    jobs: list[str],
) -> None:
    until = time.monotonic() + _SETTLE_S
    while time.monotonic() < until:
        gevent.sleep(0.5)
        states = _job_states(deployment)
        is_done = all(states.get(job) == 'done' for job in jobs)
        if is_done and not _open_receipts(deployment, runner):
            return


def _job_states(deployment: EntryDeployment) -> dict[str, str]:
    answer = deployment.call_operator_api('bergamo-2', 'GET', 'jobs')
    return {
        job['job_id']: job['state'] for job in json.loads(answer.body)['jobs']
    }


def _open_receipts(
    deployment: EntryDeployment,
    runner: LoadGenerator,
) -> list[str]:
    address = deployment.entry_by_id['bergamo-2'].address
    waiting = []
    for path in runner.result.receipts:
        answer = deployment.send_request(
            address,
            HttpRequest(
                method='GET',
                path=path,
                fields=((TOKEN_HEADER, TEAM_TOKEN),),
            ),
        )
        if answer.status != 200:
            waiting.append(path)
    return waiting


def _print_report(
    deployment: EntryDeployment,
    runner: LoadGenerator,
    audit: Audit,
    ready_s: Seconds,
) -> None:
    result = runner.result
    lines = [
        f'ready after {ready_s:.1f} s; bergamo-1 killed at {_KILL_AT_S:.0f} '
        f's, milano-1 stopped as planned at {_STOP_AT_S:.0f} s',
        '',
        'requests by outcome',
    ]
    lines.extend(
        f'  {count:6d}  {name}'
        for name, count in sorted(result.count_by_outcome.items())
    )
    lines.append(
        'latency of requests that ran, ms from the intended send: '
        + ', '.join(
            f'p{percentile:g} {result.latency_ms(percentile):.1f}'
            for percentile in (50, 99, 99.9)
        ),
    )
    still_open = len(_open_receipts(deployment, runner))
    lines.append(
        f'deferred: {len(result.receipts)} accepted, '
        f'{len(result.receipts) - still_open} done',
    )
    lines.extend(_job_lines(deployment))
    lines.append('')
    lines.append(_burn_text(deployment))
    lines.append('')
    lines.append(f'invariant violations: {len(audit.violations)}')
    lines.extend(f'  {violation}' for violation in audit.violations)
    sys.stdout.write('\n'.join(lines) + '\n')


def _job_lines(deployment: EntryDeployment) -> list[str]:
    answer = deployment.call_operator_api('bergamo-2', 'GET', 'jobs')
    jobs = json.loads(answer.body)['jobs']
    done = sum(job['state'] == 'done' for job in jobs)
    evictions = sum(job['evictions'] for job in jobs)
    return [
        f'batch jobs: {len(jobs)} submitted, {done} done, '
        f'{evictions} evictions',
    ]


def _burn_text(deployment: EntryDeployment) -> str:
    answer = deployment.call_operator_api('bergamo-2', 'GET', 'burn')
    document = json.loads(answer.body)
    buckets = [
        BurnBucket(**bucket)
        for row in document['rows']
        for bucket in row['buckets']
    ]
    burns = compute_burn_rates(buckets, document['objectives'], document['now'])
    return 'service-level burn\n' + format_burn_report(burns)


if __name__ == '__main__':
    run()

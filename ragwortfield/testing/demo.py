"""Demonstration of the entry service: ``ragwortfield-demo``.

Entry instances serve load on a fake platform and fake workers while one
instance is killed, one is stopped gracefully and the tasks of one worker
exceed their declared resources. Ends with status 1 when an invariant was
violated.
"""

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
from ragwortfield.testing.fake_http_servers import InstanceListChange
from ragwortfield.testing.load_generator import (
    FakeLoadBalancer,
    LoadGenerator,
    LoadRequest,
)
from ragwortfield.types import Seconds

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the load.')
_RATE = flags.DEFINE_float('rate', 150, 'Average requests a second.')
_FOLDER = flags.DEFINE_string(
    'folder', '', 'Folder for settings and logs; a temporary one by default.'
)

#: Duration of the load, in seconds.
_LOAD_DURATION_S = 20.0
#: When one instance is killed, in seconds after the start of the load.
_KILL_AT_S = 5.0
#: Time until the platform's list no longer has the killed instance, in
#: seconds.
_LIST_DELAY_S = 3.0
#: When one instance is stopped gracefully, in seconds after the start of the
#: load.
_STOP_AT_S = 10.0
#: When the tasks of a worker begin to exceed their declared resources, in
#: seconds after the start of the load.
_OVERUSE_FROM_S = 3.0
#: When they are back within their declared resources, in seconds after the
#: start of the load.
_OVERUSE_UNTIL_S = 8.0
#: Longest wait for jobs and deferred requests after the load, in seconds.
_SETTLE_TIMEOUT_S = 12.0
_ENTRY_INSTANCES = (
    ('bergamo-1', 'bergamo'),
    ('bergamo-2', 'bergamo'),
    ('milano-1', 'milano'),
    ('milano-2', 'milano'),
    ('torino-1', 'torino'),
)
_DATA_CENTRES = ('bergamo', 'milano', 'torino')
_WORKERS_PER_DATA_CENTRE = 2
_JOBS_PER_DATA_CENTRE = 4
_MS_PER_S = 1000


@dataclass(kw_only=True)
class _RequestMix:
    """Random mix of bookings and deferred, urgent and plain requests."""

    random_generator: random.Random
    sent_bookings: list[LoadRequest] = field(default_factory=list)

    def next_request(self) -> LoadRequest:
        fraction = self.random_generator.random()
        work_ms = 2 + self.random_generator.expovariate(1 / 8)
        path = (
            f'/echo?ms={work_ms:.1f}&n={self.random_generator.getrandbits(40)}'
        )
        if fraction < 0.15:
            return self._next_booking()
        if fraction < 0.2:
            return LoadRequest(path=path, request_class='deferred')
        if fraction < 0.4:
            return LoadRequest(path=path, request_class='urgent', deadline_s=2)
        return LoadRequest(path=path)

    def _next_booking(self) -> LoadRequest:
        if self.sent_bookings and self.random_generator.random() < 0.3:
            return self.random_generator.choice(self.sent_bookings[-40:])
        booking = f'booking-{self.random_generator.getrandbits(48):012x}'
        request = LoadRequest(
            path='/bookings?ms=5',
            method='POST',
            body=booking.encode(),
            booking=booking,
            key=str(make_uuid7()),
        )
        self.sent_bookings.append(request)
        return request


def make_uuid7() -> uuid.UUID:
    """
    Make a UUID of version 7 (RFC 9562), which sorts by time of creation.

    :returns: the UUID.
    """
    time_ms = int(time.time() * _MS_PER_S)
    random_bits = uuid.uuid4().int
    number = time_ms << 80
    number |= 7 << 76
    number |= random_bits & (2**12 - 1) << 64
    number |= 0b10 << 62
    number |= random_bits & (2**62 - 1)
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
    """Run the demonstration from the command line."""
    app.run(main)


def _run(deployment: EntryDeployment) -> int:
    started_at = time.monotonic()
    _start_deployment(deployment)
    ready_s = time.monotonic() - started_at
    random_generator = random.Random(_SEED.value)
    balancer = FakeLoadBalancer(
        addresses=[
            deployed_process.address
            for deployed_process in deployment.entry_by_id.values()
        ],
        random_generator=random_generator,
    )
    readiness_checks = balancer.start()
    load_generator = LoadGenerator(
        balancer=balancer,
        service=SERVICE,
        team=TEAM,
        token=TEAM_TOKEN,
    )
    jobs = _submit_jobs(deployment)
    faults = _schedule_faults(deployment)
    load_generator.run(
        _RequestMix(random_generator=random_generator).next_request,
        rate_per_s=_RATE.value,
        duration_s=_LOAD_DURATION_S,
        random_generator=random_generator,
    )
    gevent.joinall(faults, raise_error=True)
    _wait_until_settled(deployment, load_generator, jobs)
    readiness_checks.kill()
    audit = audit_deployment(deployment, load_generator.result)
    audit.check(
        'planned_stop_is_clean',
        is_satisfied=deployment.entry_by_id['milano-1'].process.poll() == 0,
        detail='milano-1 did not end with status 0',
    )
    killed = deployment.entry_by_id['bergamo-1'].address
    audit.check(
        'only_a_killed_instance_cuts_off',
        is_satisfied=load_generator.result.broken_addresses <= {killed},
        detail='connections broke in exchanges with '
        f'{load_generator.result.broken_addresses}, expected only {killed}',
    )
    _print_report(deployment, load_generator, audit, ready_s)
    sys.stdout.write(f'took {time.monotonic() - started_at:.1f} s\n')
    return 1 if audit.violations else 0


def _start_deployment(deployment: EntryDeployment) -> None:
    deployment.start_platform()
    for data_centre in _DATA_CENTRES:
        for number in range(1, _WORKERS_PER_DATA_CENTRE + 1):
            deployment.start_worker(
                f'worker-{data_centre}-{number}', data_centre
            )
    for name, data_centre in _ENTRY_INSTANCES:
        deployment.start_entry_instance(name, data_centre, log_level='info')
    first_entry = deployment.entry_by_id['bergamo-1']
    deployment.wait_for(
        lambda: deployment.is_answering(first_entry.address, '/health'),
    )
    deployment.accept_configuration('bergamo-1')
    deployment.wait_until_ready()


def _submit_jobs(deployment: EntryDeployment) -> list[str]:
    names: list[str] = []
    for data_centre in _DATA_CENTRES:
        specs = [
            JobSpec(
                name=f'payroll-{number}',
                team=TEAM,
                resources=Resources(cpu=8, memory_mb=1000),
                command='sleep 10',
            )
            for number in range(_JOBS_PER_DATA_CENTRE)
        ]
        answer = deployment.call_operator_api(
            'bergamo-1',
            'POST',
            'jobs',
            {'jobs': specs, 'data_centre': data_centre},
        )
        names.extend(json.loads(answer.body)['jobs'])
    return names


def _schedule_faults(deployment: EntryDeployment) -> list[gevent.Greenlet]:
    entries = deployment.entry_by_id
    return [
        _spawn_later(
            _KILL_AT_S,
            lambda: deployment.send_signal(
                entries['bergamo-1'],
                signal.SIGKILL,
            ),
        ),
        _spawn_later(
            _KILL_AT_S + _LIST_DELAY_S,
            lambda: deployment.change_instance_list(
                InstanceListChange(remove=('bergamo-1',))
            ),
        ),
        _spawn_later(
            _STOP_AT_S,
            lambda: deployment.send_signal(
                entries['milano-1'],
                signal.SIGTERM,
            ),
        ),
        _spawn_later(
            _OVERUSE_FROM_S,
            lambda: deployment.set_worker_faults(
                'worker-torino-1',
                usage_factor=4,
            ),
        ),
        _spawn_later(
            _OVERUSE_UNTIL_S,
            lambda: deployment.set_worker_faults(
                'worker-torino-1',
                usage_factor=1,
            ),
        ),
    ]


def _spawn_later(
    after_s: Seconds, action: Callable[[], Any]
) -> gevent.Greenlet:
    return gevent.spawn_later(after_s, action)


def _wait_until_settled(
    deployment: EntryDeployment,
    load_generator: LoadGenerator,
    jobs: list[str],
) -> None:
    deadline = time.monotonic() + _SETTLE_TIMEOUT_S
    while time.monotonic() < deadline:
        gevent.sleep(0.5)
        states = _fetch_job_states(deployment)
        is_done = all(states.get(job) == 'done' for job in jobs)
        if is_done and not _list_pending_receipts(deployment, load_generator):
            return


def _fetch_job_states(deployment: EntryDeployment) -> dict[str, str]:
    answer = deployment.call_operator_api('bergamo-2', 'GET', 'jobs')
    return {
        job['job_id']: job['state'] for job in json.loads(answer.body)['jobs']
    }


def _list_pending_receipts(
    deployment: EntryDeployment,
    load_generator: LoadGenerator,
) -> list[str]:
    address = deployment.entry_by_id['bergamo-2'].address
    pending = []
    for path in load_generator.result.receipts:
        answer = deployment.send_request(
            address,
            HttpRequest(
                method='GET',
                path=path,
                fields=((TOKEN_HEADER, TEAM_TOKEN),),
            ),
        )
        if answer.status != 200:
            pending.append(path)
    return pending


def _print_report(
    deployment: EntryDeployment,
    load_generator: LoadGenerator,
    audit: Audit,
    ready_s: Seconds,
) -> None:
    result = load_generator.result
    lines = [
        f'ready after {ready_s:.1f} s; bergamo-1 killed at {_KILL_AT_S:.0f} '
        f's, milano-1 stopped gracefully at {_STOP_AT_S:.0f} s',
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
            f'p{percentile:g} {result.get_latency_ms(percentile):.1f}'
            for percentile in (50, 99, 99.9)
        ),
    )
    pending_count = len(_list_pending_receipts(deployment, load_generator))
    lines.append(
        f'deferred: {len(result.receipts)} accepted, '
        f'{len(result.receipts) - pending_count} done',
    )
    lines.extend(_format_jobs(deployment))
    lines.append('')
    lines.append(_format_burn_report(deployment))
    lines.append('')
    lines.append(f'invariant violations: {len(audit.violations)}')
    lines.extend(f'  {violation}' for violation in audit.violations)
    sys.stdout.write('\n'.join(lines) + '\n')


def _format_jobs(deployment: EntryDeployment) -> list[str]:
    answer = deployment.call_operator_api('bergamo-2', 'GET', 'jobs')
    jobs = json.loads(answer.body)['jobs']
    done = sum(job['state'] == 'done' for job in jobs)
    evictions = sum(job['evictions'] for job in jobs)
    return [
        f'batch jobs: {len(jobs)} submitted, {done} done, '
        f'{evictions} evictions',
    ]


def _format_burn_report(deployment: EntryDeployment) -> str:
    answer = deployment.call_operator_api('bergamo-2', 'GET', 'burn')
    document = json.loads(answer.body)
    buckets = [
        BurnBucket(**bucket)
        for row in document['rows']
        for bucket in row['buckets']
    ]
    burns = compute_burn_rates(buckets, document['objectives'], document['now'])
    return 'error-budget burn rates\n' + format_burn_report(burns)


if __name__ == '__main__':
    run()

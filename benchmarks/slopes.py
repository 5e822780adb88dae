"""Cost of the control functions at several sizes, for docs/CAPACITY.md."""

import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

from absl import app

from ragwortfield.adapters.json_codec import encode_json, to_document
from ragwortfield.core.claims import Claim, ClaimState
from ragwortfield.core.configuration import Team, VersionedConfiguration
from ragwortfield.core.instance_state import (
    HeldSeat,
    InstanceIdentity,
    InstanceState,
)
from ragwortfield.core.jobs import Job, JobRow, JobSpec, Worker, WorkerRow
from ragwortfield.core.resources import Resources
from ragwortfield.core.seats import SeatId
from ragwortfield.core.targets import Target
from ragwortfield.engine.peer_message_handler import PeerMessageHandler
from ragwortfield.peering.messages import encode_message
from ragwortfield.policies.placement import plan_placement
from ragwortfield.policies.routing import choose_target, count_free_slots
from ragwortfield.policies.target_shares import update_target_shares
from ragwortfield.ports.clock import SystemClock
from ragwortfield.ports.platform import Row, Rows
from ragwortfield.settings.configuration_parsing import parse_configuration
from ragwortfield.testing.entry_deployment import CONFIGURATION, SERVICE, TEAM

#: Numbers of targets, workers or jobs for which the costs are measured.
_SIZES = (35, 220, 2200)
#: Number of calls over which a cost is averaged.
_REPEATS = 20
_MS_PER_S = 1000
#: Number of jobs that are placed at once.
_JOB_BURST = 220
_RANDOM_GENERATOR = random.Random(1)


def main(arguments: list[str]) -> int:
    """
    Print the cost of each control function at each size.

    :param arguments: program name and positional arguments.
    :returns: exit status.
    """
    for size in _SIZES:
        instance_state = _make_instance_state(size)
        now = instance_state.last_tick_at
        _write_cost(
            'tick: shares of targets',
            size,
            _measure_s(
                lambda: update_target_shares(instance_state, now),
            ),
        )
        _write_cost(
            'heartbeat: count of free slots',
            size,
            _measure_s(
                lambda: count_free_slots(instance_state, SERVICE, now),
            ),
        )
        _write_cost(
            'request: choice of a target',
            size,
            _measure_s(
                lambda: choose_target(
                    instance_state,
                    SERVICE,
                    now,
                    random_generator=_RANDOM_GENERATOR,
                ),
            ),
        )
        message_handler = PeerMessageHandler(
            instance_state=instance_state, clock=SystemClock()
        )
        frame = encode_message(message_handler.heartbeat())
        sys.stdout.write(f'heartbeat frame: {size}: {len(frame)} B\n')
        _write_placement_cost(instance_state, size)
        _write_row_sizes(size)
        _write_claim_memory(size)
    return 0


def _make_instance_state(size: int) -> InstanceState:
    instance_state = InstanceState(
        identity=InstanceIdentity(
            instance_id='bergamo-1',
            data_centre='bergamo',
            region='lombardy',
            http_address='127.0.0.1:1',
            peer_address='127.0.0.1:2',
        ),
    )
    configuration = parse_configuration(CONFIGURATION, 'bench')
    team = Team(token_sha256='0' * 64, jobs_cpu=10**9)
    instance_state.version = VersionedConfiguration(
        version=1,
        configuration=replace(configuration, teams={TEAM: team}),
    )
    instance_state.last_tick_at = time.monotonic() + 10**6
    for number in range(size):
        name = f'target-{number}'
        instance_state.target_by_id[name] = Target(
            target_id=name,
            service=SERVICE,
            data_centre='bergamo',
            address='127.0.0.1:3',
        )
    for index in range(2):
        seat_id = SeatId(data_centre='bergamo', index=index)
        instance_state.held_seat_by_key[seat_id.row_key()] = HeldSeat(
            seat_id=seat_id,
            generation=1,
            version=1,
            expires_at=0,
            usable_from=0,
        )
    update_target_shares(instance_state, instance_state.last_tick_at)
    return instance_state


def _write_placement_cost(instance_state: InstanceState, size: int) -> None:
    configuration = instance_state.configuration()
    workers = tuple(
        WorkerRow(
            key=f'workers/bergamo/{number}',
            version=1,
            worker=Worker(
                worker_id=f'worker-{number}',
                address='127.0.0.1:4',
                capacity=Resources(cpu=64, memory_mb=250_000),
            ),
        )
        for number in range(size)
    )
    jobs = tuple(_make_job_row(number) for number in range(_JOB_BURST))
    started_at = time.perf_counter()
    plan = plan_placement(
        configuration,
        job_rows=jobs,
        worker_rows=workers,
        quota_fraction=1,
        wall_time=0,
    )
    spent_ms = (time.perf_counter() - started_at) * _MS_PER_S
    bound = sum(len(binding.jobs) for binding in plan.bindings)
    sys.stdout.write(
        f'placement of {_JOB_BURST} jobs: {size}: {spent_ms:.1f} ms, '
        f'{bound / len(plan.bindings):.1f} starts a transaction\n',
    )


def _make_job_row(number: int) -> JobRow:
    spec = JobSpec(
        name='job',
        team=TEAM,
        resources=Resources(cpu=1, memory_mb=100),
        command='sleep 1',
    )
    job = Job(job_id=f'bergamo.{number:032x}', spec=spec)
    return JobRow(key=f'jobs/bergamo/0/{job.job_id}', version=1, job=job)


def _write_row_sizes(size: int) -> None:
    rows = Rows(
        rows=tuple(
            Row(key=row.key, version=1, body=to_document(row.job))
            for row in (_make_job_row(number) for number in range(size))
        ),
    )
    text = encode_json(rows)
    sys.stdout.write(
        f'scan of jobs: {size}: {len(text)} B, {len(text) / size:.0f} B a '
        'row\n',
    )


def _write_claim_memory(size: int) -> None:
    tracemalloc.start()
    claims = {
        f'team:bergamo:{number:032x}': Claim(
            state=ClaimState.RAN,
            digest=f'{number:064x}',
            nonce=f'{number:032x}',
            opened_at=float(number),
            answer_status=200,
            is_answer_kept=True,
            answer_body='00' * 100,
        )
        for number in range(size * 10)
    }
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sys.stdout.write(
        f'memory of claims: {len(claims)}: {used / len(claims):.0f} B each\n',
    )


def _measure_s(function: Callable[[], object]) -> float:
    started_at = time.perf_counter()
    for _ in range(_REPEATS):
        function()
    return (time.perf_counter() - started_at) / _REPEATS


def _write_cost(name: str, size: int, spent_s: float) -> None:
    sys.stdout.write(f'{name}: {size}: {spent_s * _MS_PER_S:.3f} ms\n')


if __name__ == '__main__':
    app.run(main)

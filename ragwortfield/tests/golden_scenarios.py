"""Scenarios of the decision core whose events are compared with golden files.

``python -m ragwortfield.tests.golden_scenarios`` prints how the scenarios
differ from their golden files; with ``--write`` it rewrites the files.
"""

import difflib
import sys
from pathlib import Path
from unittest import mock

from ragwortfield.log import format_event
from ragwortfield.tests.job_world import JobWorld
from ragwortfield.tests.seat_world import SeatWorld

GOLDEN_FOLDER = Path(__file__).parent / 'golden'


class ScenarioTrace:
    """Events of a scenario, each with the seconds since its start."""

    def __init__(self, clock):
        self.clock = clock
        self.started_at = clock.now_s
        self.lines = []

    def add_heading(self, text):
        self.lines.append(f'\n# {text}')

    def record_event(self, name, *, level=0, **fields):
        elapsed_s = self.clock.now_s - self.started_at
        self.lines.append(f'{elapsed_s:7.2f} {format_event(name, fields)}')

    def add_note(self, text):
        elapsed_s = self.clock.now_s - self.started_at
        self.lines.append(f'{elapsed_s:7.2f} -> {text}')

    def format_text(self):
        return '\n'.join(self.lines).lstrip('\n') + '\n'


def run_night_of_jobs():
    """Run batch jobs through eviction, failures, lost workers, an outage."""
    world = JobWorld(scheduler_count=1, worker_count=3)
    trace = ScenarioTrace(world.clock)
    with _record_events(trace, 'ragwortfield.engine.job_scheduler.event'):
        trace.add_heading('four jobs come in and are placed')
        job_ids = [
            world.submit(command=f'sleep {seconds}', cpu=4)
            for seconds in (4, 30, 30, 12)
        ]
        world.run(2, None, world.check)
        trace.add_heading(
            'the tasks on worker-1 use five times what was declared'
        )
        world.worker_by_id['worker-1'].faults.usage_factor = 5
        world.run(4, None, world.check)
        world.worker_by_id['worker-1'].faults.usage_factor = 1
        world.run(2, None, world.check)
        trace.add_heading('the store is down for a minute; nothing is started')
        world.platform.faults.is_down = True
        world.run(60, None, world.check)
        trace.add_heading('the store is back')
        world.platform.faults.is_down = False
        job_ids.append(world.submit(command='sleep 2', cpu=1))
        world.run(4, None, world.check)
        trace.add_heading('worker-2 is lost, and taken off the list')
        job_ids.append(world.submit(command='sleep 20', cpu=9))
        job_ids.append(world.submit(command='sleep 20', cpu=9))
        world.run(1, None, world.check)
        world.kill_worker('worker-2')
        world.run(10, None, world.check)
        trace.add_heading('a job that fails everywhere, and one too large')
        world.submit(command='fail', cpu=1)
        world.submit(command='sleep 1', cpu=99)
        world.run(40, None, world.check)
    for job_id, job in sorted(world.read_jobs().items()):
        trace.add_note(
            f'{job_id} {job.state} generation {job.generation} evictions '
            f'{job.evictions} {job.reason}'.rstrip(),
        )
    return trace.format_text()


def run_day_of_seats():
    """Run seats through starts, a loss, a planned stop and a pause."""
    world = SeatWorld()
    trace = ScenarioTrace(world.clock)

    def add_holders():
        for key in world.list_seat_keys():
            trace.add_note(
                f'{key} held by {", ".join(world.list_holders(key))}'
            )

    with _record_events(trace, 'ragwortfield.engine.platform_sync.event'):
        trace.add_heading('three instances are born')
        for _ in range(3):
            world.add_instance()
        world.run(6)
        add_holders()
        trace.add_heading('entry-1 is lost in the middle of nothing')
        world.kill(world.instance_by_id['entry-1'])
        world.run(10)
        add_holders()
        trace.add_heading('entry-2 stops as planned, entry-4 is born')
        leaving = world.instance_by_id['entry-2']
        leaving.instance_state.is_leaving = True
        leaving.platform_sync.release_seats()
        world.kill(leaving)
        world.add_instance()
        world.run(6)
        add_holders()
        trace.add_heading('entry-3 stands still for 20 s, the list misses it')
        frozen = world.instance_by_id['entry-3']
        frozen.is_frozen = True
        world.platform.faults.hidden_instances = (frozen.name,)
        world.run(20)
        frozen.is_frozen = False
        world.platform.faults.hidden_instances = ()
        add_holders()
        trace.add_heading('it wakes')
        world.run(6)
        add_holders()
    return trace.format_text()


SCENARIO_BY_NAME = {
    'night_of_jobs': run_night_of_jobs,
    'day_of_seats': run_day_of_seats,
}


def compare_with_golden_file(name):
    """Return the differences between a scenario and its golden file."""
    path = GOLDEN_FOLDER / f'{name}.txt'
    golden = ''
    if path.exists():
        golden = path.read_text(encoding='utf-8')
    return ''.join(
        difflib.unified_diff(
            golden.splitlines(keepends=True),
            SCENARIO_BY_NAME[name]().splitlines(keepends=True),
            f'golden/{path.name}',
            'this run',
        ),
    )


def main(arguments):
    """Print every difference; rewrite the files if asked to."""
    for name, run_scenario in SCENARIO_BY_NAME.items():
        sys.stdout.write(compare_with_golden_file(name))
        if '--write' in arguments:
            path = GOLDEN_FOLDER / f'{name}.txt'
            path.write_text(run_scenario(), encoding='utf-8')


def _record_events(trace, event_function):
    return mock.patch(event_function, trace.record_event)


if __name__ == '__main__':
    main(sys.argv[1:])

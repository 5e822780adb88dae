"""Whole sessions of the decision core, written down as a story.

``python -m ragwortfield.tests.golden_scenarios`` shows how the sessions differ from
their golden files; with ``--write`` it writes them anew.
"""

import difflib
import sys
from pathlib import Path
from unittest import mock

from ragwortfield.log import format_event
from ragwortfield.tests.job_world import JobWorld
from ragwortfield.tests.seat_world import SeatWorld

GOLDEN = Path(__file__).parent / 'golden'


class Story:
    """Events of a session with the time that had passed."""

    def __init__(self, clock):
        self.clock = clock
        self.started_at = clock.now_s
        self.lines = []

    def tell(self, text):
        self.lines.append(f'\n# {text}')

    def event(self, name, *, level=0, **pairs):
        passed = self.clock.now_s - self.started_at
        self.lines.append(f'{passed:7.2f} {format_event(name, pairs)}')

    def note(self, text):
        passed = self.clock.now_s - self.started_at
        self.lines.append(f'{passed:7.2f} -> {text}')

    def text(self):
        return '\n'.join(self.lines).lstrip('\n') + '\n'


def tell_night_of_jobs():
    """Batch jobs of a night: eviction, failing and lost workers, outage."""
    world = JobWorld(runners=1, workers=3)
    story = Story(world.clock)
    with _listening(story, 'ragwortfield.engine.job_scheduler.event'):
        story.tell('four jobs come in and are placed')
        names = [
            world.submit(command=f'sleep {seconds}', cpu=4)
            for seconds in (4, 30, 30, 12)
        ]
        world.run(2, None, world.check)
        story.tell('the tasks on worker-1 use five times what was declared')
        world.worker_by_id['worker-1'].faults.usage_factor = 5
        world.run(4, None, world.check)
        world.worker_by_id['worker-1'].faults.usage_factor = 1
        world.run(2, None, world.check)
        story.tell('the store is down for a minute; nothing is started')
        world.platform.faults.is_down = True
        world.run(60, None, world.check)
        story.tell('the store is back')
        world.platform.faults.is_down = False
        names.append(world.submit(command='sleep 2', cpu=1))
        world.run(4, None, world.check)
        story.tell('worker-2 is lost, and taken off the list')
        names.append(world.submit(command='sleep 20', cpu=9))
        names.append(world.submit(command='sleep 20', cpu=9))
        world.run(1, None, world.check)
        world.kill_worker('worker-2')
        world.run(10, None, world.check)
        story.tell('a job that fails everywhere, and one too large')
        world.submit(command='fail', cpu=1)
        world.submit(command='sleep 1', cpu=99)
        world.run(40, None, world.check)
    for job_id, job in sorted(world.jobs().items()):
        story.note(
            f'{job_id} {job.state} generation {job.generation} evictions '
            f'{job.evictions} {job.reason}'.rstrip(),
        )
    return story.text()


def tell_day_of_seats():
    """Seats of a data centre: births, an outage, a loss, a planned stop."""
    world = SeatWorld()
    story = Story(world.clock)

    def show():
        for key in world.seat_keys():
            story.note(f'{key} held by {", ".join(world.holders(key))}')

    with _listening(story, 'ragwortfield.engine.platform_sync.event'):
        story.tell('three instances are born')
        for _ in range(3):
            world.bear()
        world.run(6)
        show()
        story.tell('entry-1 is lost in the middle of nothing')
        world.kill(world.member_by_id['entry-1'])
        world.run(10)
        show()
        story.tell('entry-2 stops as planned, entry-4 is born')
        leaving = world.member_by_id['entry-2']
        leaving.instance_state.is_leaving = True
        leaving.sync.release_seats()
        world.kill(leaving)
        world.bear()
        world.run(6)
        show()
        story.tell('entry-3 stands still for 20 s, the list misses it')
        frozen = world.member_by_id['entry-3']
        frozen.is_frozen = True
        world.platform.faults.hidden_instances = (frozen.name,)
        world.run(20)
        frozen.is_frozen = False
        world.platform.faults.hidden_instances = ()
        show()
        story.tell('it wakes')
        world.run(6)
        show()
    return story.text()


SESSION_BY_NAME = {
    'night_of_jobs': tell_night_of_jobs,
    'day_of_seats': tell_day_of_seats,
}


def difference(name):
    """Compare a session with its golden file."""
    path = GOLDEN / f'{name}.txt'
    golden = ''
    if path.exists():
        golden = path.read_text(encoding='utf-8')
    return ''.join(
        difflib.unified_diff(
            golden.splitlines(keepends=True),
            SESSION_BY_NAME[name]().splitlines(keepends=True),
            f'golden/{path.name}',
            'this run',
        ),
    )


def main(arguments):
    """Show every difference; write the files anew when asked to."""
    for name, tell in SESSION_BY_NAME.items():
        sys.stdout.write(difference(name))
        if '--write' in arguments:
            path = GOLDEN / f'{name}.txt'
            path.write_text(tell(), encoding='utf-8')


def _listening(story, place):
    return mock.patch(place, story.event)


if __name__ == '__main__':
    main(sys.argv[1:])

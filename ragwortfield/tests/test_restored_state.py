"""A shard that is loaded again answers like the owner that went on."""

import unittest
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ragwortfield.engine.row_names import (
    PROGRESS_TABLE,
    inbox_table,
    partition_of_shard,
)
from ragwortfield.engine.shard_loading import load_rows
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling.job import TaskKey
from ragwortfield.scheduling.job_status import (
    JobStatus,
    count_waiting_jobs,
    get_job_status,
)
from ragwortfield.scheduling.records import (
    ProgressRecord,
    TaskPhase,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.testing.fake_task_workers import FakeTaskWorkerControl
from ragwortfield.testing.state_machine_runs import run_state_machine
from ragwortfield.tests.job_request_world import build_job_request_handler
from ragwortfield.tests.shard_world import (
    SHARD,
    ShardWorld,
    build_dependent_steps,
    build_serving_step,
    build_single_step,
)

_MAX_JOBS = 6
_PROBABILITIES = strategies.sampled_from((0, 0, 0.5, 1))


def restore(world):
    """
    Load the shard from its rows, as a new owner does.

    :returns: state of the shard before any worker has reported.
    """
    former = world.owners[-1].state
    state = ShardState(
        epoch=former.epoch + 1,
        owner_since=world.now,
        bounds=former.bounds,
        previous_lease_s=former.bounds.requested_lease_s(),
        is_process_bound=former.is_process_bound,
        catalogue=world.catalogue,
    )
    partition = partition_of_shard(SHARD)
    inbox = world.store.read(inbox_table(SHARD), partition)
    progress = world.store.read(PROGRESS_TABLE, partition)
    steps = load_rows(
        state,
        inbox.rows,
        progress.rows,
        now=world.now,
        wall_time=world.now,
    )
    for _ in steps:
        """Nothing else runs between the steps."""
    return state


def is_in_step(world):
    """Tell whether the owner has read and written all that there is."""
    owner = world.owners[-1]
    is_at_work = owner.is_loaded and not owner.is_fenced_off
    is_written = owner.batch is None and (
        not owner.state.dirty_occurrence_by_key
    )
    is_read = world.cancelled_job_ids <= owner.state.cancelled_job_ids
    return is_at_work and is_written and is_read


def describe_job(job):
    """Collect what callers and decisions get to know of a job."""
    return {
        'status': get_job_status(job),
        'is_failed': job.is_failed,
        'is_closed': job.is_closed(),
        'accepted_at': round(job.accepted_at_monotonic, 3),
        'occurrences': {
            number: describe_occurrence(occurrence)
            for number, occurrence in job.occurrence_by_number.items()
            if not (occurrence.is_durably_done or job.is_closed())
        },
    }


def describe_occurrence(occurrence):
    return [
        {
            'waiting': sorted(step.waiting_indexes),
            'done': step.done_count,
            'workers': step.count_by_worker,
            'tasks': [task.to_record() for task in step.tasks],
            'restarts': [
                task.restart_count
                for task in step.tasks
                if task.phase != TaskPhase.DONE
            ],
            'copies': [task.to_copy_record() for task in step.tasks],
            'failed_run': step.step.is_gang and step.last_failed_run,
        }
        for step in occurrence.steps
    ]


def check_restored(test, world):
    """
    Compare a shard that is loaded from its rows with the present owner's.

    :param test: test case that makes the comparison.
    """
    state = world.owners[-1].state
    restored = restore(world)
    for job_id, job in state.job_by_id.items():
        test.assertEqual(
            describe_job(restored.job_by_id[job_id]), describe_job(job)
        )
    if state.job_by_id.keys() == restored.job_by_id.keys():
        test.assertEqual(
            restored.ready_step_by_key.keys(), state.ready_step_by_key.keys()
        )
        test.assertEqual(
            count_waiting_jobs(restored, 'queue'),
            count_waiting_jobs(state, 'queue'),
        )


class WaitingJobTest(unittest.TestCase):
    """Whether a job counts as waiting depends on its tasks, not its owner."""

    def setUp(self):
        self.world = ShardWorld(workers=1, is_process_checked=True)
        self.world.take_over()
        self.worker = self.world.workers.worker_by_id['w0']

    def act(self, rounds=3):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)

    def assert_status(self, job_id, expected):
        """Check what the owner, its successor and the stored rows tell."""
        is_waiting = expected == JobStatus.PENDING
        for state in (self.world.owners[-1].state, restore(self.world)):
            self.assertEqual(get_job_status(state.job_by_id[job_id]), expected)
            self.assertEqual(count_waiting_jobs(state, 'queue'), is_waiting)
        requests = build_job_request_handler(self.world.store)
        self.assertEqual(requests.read_stored_status(job_id), expected)

    # Guards against jobs that are not counted as waiting although none of their
    # tasks has started: a worker was lost with their only start (review/9).
    def test_job_whose_start_came_to_nothing_waits_under_all_owners(self):
        self.act()
        self.worker.is_reachable = False
        job_id = self.world.submit(build_single_step())
        self.act()
        task = self.world.owners[-1].state.find_task(TaskKey(job_id, 0, 0, 0))
        self.assertEqual(task.run, 1)
        self.assert_status(job_id, JobStatus.PENDING)

    # Guards against the opposite: a job that has begun is shown as waiting
    # since its worker and its owner were lost.
    def test_job_that_has_begun_is_active_after_worker_and_owner_are_lost(self):
        job_id = self.world.submit(build_single_step())
        self.act()
        self.assertEqual(len(self.worker.run_by_key), 1)
        self.worker.is_reachable = False
        self.assert_status(job_id, JobStatus.ACTIVE)
        self.world.take_over()
        self.act()
        self.assert_status(job_id, JobStatus.ACTIVE)

    # Guards against a job that an owner shows as waiting and the next one as
    # begun: its run ended before a report listed it, and its start was not
    # answered.
    def test_job_of_which_only_the_end_was_reported_has_begun(self):
        self.act()
        job_id = self.world.submit(build_single_step())
        start = self.world.workers.start

        def start_unanswered(_workers, order):
            start(order)
            return Unavailable(reason='silent', is_effect_possible=True)

        with mock.patch.object(
            FakeTaskWorkerControl, 'start', start_unanswered
        ):
            self.act(rounds=1)
            self.assertEqual(len(self.worker.run_by_key), 1)
            self.assert_status(job_id, JobStatus.PENDING)
            self.world.end_runs(EndKind.STOPPED)
            # No other worker gets the task.
            self.worker.is_draining = True
            self.act()
        self.assertEqual(len(self.worker.run_by_key), 0)
        self.assert_status(job_id, JobStatus.ACTIVE)

    # Guards against jobs that a new version does not read, or shows as begun
    # or waiting wrongly, from rows of the version before.
    def test_records_of_earlier_versions_tell_what_is_certain(self):
        for stored, expected in (
            ((TaskPhase.BOUND, 1, 'w0', 0, ''), False),
            ((TaskPhase.WAITING, 1, '', 0, ''), False),
            ((TaskPhase.WAITING, 1, '', 1, ''), True),
            ((TaskPhase.WAITING, 1, '', 0, 'saved'), True),
            ((TaskPhase.DONE, 1, '', 0, ''), True),
            ((TaskPhase.FAILED, 2, '', 2, ''), True),
        ):
            names = ('phase', 'run', 'worker_id', 'failures', 'checkpoint')
            task = dict(zip(names, stored, strict=True))
            document = {'job_id': 'job', 'occurrence': 0, 'steps': [[task]]}
            record = decode_record(encode_record(document), ProgressRecord)
            with self.subTest(stored):
                self.assertEqual(record.is_start_known(), expected)


class CancelledJobTest(unittest.TestCase):
    """Cancellations that meet the end of a job."""

    # Guards against a job that is complete until the owner changes and
    # cancelled after that: it was cancelled after its end.
    def test_job_that_was_cancelled_after_its_end_stays_complete(self):
        world = ShardWorld(workers=1, is_process_checked=True)
        world.take_over()
        job_id = world.submit(build_single_step())
        for _ in range(4):
            world.owners[-1].act()
            world.advance(0.1)
            world.end_runs(EndKind.DONE)
        self.assertEqual(world.status(job_id), JobStatus.COMPLETE)
        world.cancel(job_id)
        world.owners[-1].act()
        self.assertEqual(world.status(job_id), JobStatus.COMPLETE)
        restored_job = restore(world).job_by_id[job_id]
        self.assertEqual(get_job_status(restored_job), JobStatus.COMPLETE)
        requests = build_job_request_handler(world.store)
        self.assertEqual(
            requests.read_stored_status(job_id), JobStatus.COMPLETE
        )


class FailedGangTest(unittest.TestCase):
    """Members of a gang that fail in the same run."""

    # Guards against a gang that uses up its attempts too early: two members
    # fail in one run, and the owner changes between their ends.
    def test_run_of_a_gang_fails_once_over_a_change_of_owner(self):
        world = ShardWorld(workers=2, is_process_checked=True)
        world.take_over()
        job_id = world.submit(build_single_step(2, cpu=3, is_gang=True))
        for _ in range(3):
            world.owners[-1].act()
            world.advance(0.1)
        first, second = world.workers.worker_by_id.values()
        first.end(next(iter(first.run_by_key)), EndKind.FAILED)
        world.owners[-1].act()
        self.assertTrue(second.run_by_key)
        world.take_over()
        second.end(next(iter(second.run_by_key)), EndKind.FAILED)
        for _ in range(4):
            world.owners[-1].act()
            world.advance(0.1)
        state = world.owners[-1].state
        step = state.find_step((job_id, 0, 0))
        self.assertEqual(step.tasks[0].failures, 1)
        self.assertEqual(world.status(job_id), JobStatus.ACTIVE)


class RestoredStateMachine(RuleBasedStateMachine):
    """An owner works on while workers fail; others load its rows meanwhile."""

    @initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed):
        self.test = unittest.TestCase()
        self.world = ShardWorld(workers=3, seed=seed, is_process_checked=True)
        self.world.take_over()

    @precondition(lambda self: len(self.world.accepted_job_by_id) < _MAX_JOBS)
    @rule(
        steps=strategies.sampled_from(
            (
                build_single_step(),
                build_single_step(count=3, cpu=2),
                build_single_step(count=2, is_gang=True),
                build_dependent_steps(),
                build_serving_step(count=2),
                build_single_step(count=4, is_speculative=True),
                build_single_step(count=4),
            )
        ),
    )
    def submit(self, steps):
        self.world.submit(steps)

    @rule(
        times=strategies.integers(1, 4),
        gap_s=strategies.sampled_from((0, 0.1, 0.5)),
    )
    def act(self, times, gap_s):
        for _ in range(times):
            self.world.owners[-1].act()
            self.world.advance(gap_s)

    @rule()
    def take_over(self):
        self.world.take_over()

    @rule(seconds=strategies.sampled_from((0.5, 2.0, 12.0)))
    def let_time_pass(self, seconds):
        self.world.advance(seconds)

    @rule(
        kind=strategies.sampled_from((EndKind.DONE, EndKind.FAILED)),
        count=strategies.integers(1, 3),
    )
    def end_tasks(self, kind, count):
        self.world.end_runs(kind, count)

    @rule()
    def end_all_but_first(self):
        self.world.end_all_but_first()

    @rule(data=strategies.data())
    def cancel(self, data):
        if self.world.accepted_job_by_id:
            job_ids = sorted(self.world.accepted_job_by_id)
            self.world.cancel(data.draw(strategies.sampled_from(job_ids)))

    @rule(loss=_PROBABILITIES, delay=_PROBABILITIES)
    def disturb_orders(self, loss, delay):
        self.world.order_loss_probability = loss
        self.world.order_delay_probability = delay

    @rule()
    def carry_out_late(self):
        self.world.workers.apply_delayed()

    @rule(number=strategies.integers(0, 2), is_reachable=strategies.booleans())
    def cut_worker(self, number, is_reachable):
        worker = self.world.workers.worker_by_id[f'w{number}']
        worker.is_reachable = is_reachable

    @rule(number=strategies.integers(0, 2))
    def restart_worker(self, number):
        self.world.workers.worker_by_id[f'w{number}'].restart()

    @invariant()
    def restored_state_agrees(self):
        if hasattr(self, 'world') and is_in_step(self.world):
            check_restored(self.test, self.world)


# Guards against a job of which callers, counts and decisions hear something
# else after a change of owner: a fact that is kept in memory only (review/9).
def test_restored_shard_agrees_with_the_owner_that_went_on():
    run_state_machine(RestoredStateMachine, steps=60, runs=100)

"""Gangs: their tasks start, fail, resume and end together."""

import unittest

from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import dispatch
from ragwortfield.scheduling.records import TaskPhase
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import (
    ATTEMPTS,
    ShardWorld,
    build_single_step,
)

#: Processor of a member of which a worker of the shard world holds just one.
_WIDE_CPU = 3


def _gang(count=2, cpu=_WIDE_CPU, **terms):
    return build_single_step(count=count, cpu=cpu, is_gang=True, **terms)


class _GangTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()

    def act(self, rounds=5):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
        self.world.check()

    def start_gang(self, **terms):
        job_id = self.world.submit(_gang(**terms))
        self.act()
        return job_id

    def workers(self):
        return list(self.world.workers.worker_by_id.values())

    def working(self):
        """Run numbers of the tasks at work, by key."""
        return {
            key: run.run
            for worker in self.workers()
            for key, run in worker.run_by_key.items()
        }

    def end(self, *kinds, checkpoint=''):
        """End the members at work, in the order of their index."""
        at_work = {
            key: worker
            for worker in self.workers()
            for key in worker.run_by_key
        }
        for key, kind in zip(sorted(at_work), kinds, strict=False):
            at_work[key].end(key, kind, checkpoint)

    def starts(self):
        """Starts that workers have seen: task, run and checkpoint."""
        return [
            (key, run, detail)
            for worker in self.workers()
            for what, _, key, run, detail in worker.history
            if what == 'start'
        ]

    def tasks(self, job_id):
        return self.world.owners[-1].state.find_step((job_id, 0, 0)).tasks


class GangStartTest(_GangTest):
    """Pattern: some members of a gang find room, others do not."""

    # Guards against GANG: members that wait alone for the others.
    def test_no_member_starts_without_room_for_all(self):
        self.start_gang(count=3)
        self.assertEqual(self.working(), {})
        self.world.add_worker(2)
        self.act()
        self.assertEqual(list(self.working().values()), [1, 1, 1])

    # Guards against GANG: what is left of a gang is given out on its own.
    def test_no_member_starts_while_another_may_still_run(self):
        self.start_gang()
        for number in (2, 3):
            self.world.add_worker(number)
        self.end(EndKind.GANG_BROKEN)
        self.act()
        self.assertEqual(list(self.working().values()), [1])

    # Guards against members that wait for a run that the others are not in.
    def test_members_restart_with_one_higher_run_number(self):
        self.start_gang()
        for run in (2, 3):
            self.end(EndKind.GANG_BROKEN, EndKind.GANG_INCOMPLETE)
            self.act()
            self.assertEqual(list(self.working().values()), [run, run])

    # Guards against a start that its worker refuses as an old one.
    def test_run_number_is_higher_than_that_of_any_member(self):
        world = PlacementWorld(workers=1)
        tasks = world.add_job('gang', count=3, cpu=20, is_gang=True)
        for task, run in zip(tasks, (1, 5, 3), strict=True):
            task.run = run
        world.add_worker('w1')
        world.add_worker('w2')
        dispatch.dispatch(world.state, NOW)
        self.assertEqual([task.run for task in tasks], [6, 6, 6])

    # Guards against LIMIT: members beyond the room of their worker.
    def test_gang_members_fit_on_their_workers(self):
        self.start_gang(count=4, cpu=2)
        counts = [len(worker.run_by_key) for worker in self.workers()]
        self.assertEqual(counts, [2, 2])


class GangRackTest(_GangTest):
    """Pattern: the emptiest workers stand on different racks."""

    def setUp(self):
        super().setUp()
        for number in (2, 3):
            self.world.add_worker(number)

    def fill(self, *numbers):
        """Take some processor away on workers, by their number."""
        for number in numbers:
            before = self.working()
            self.world.submit(
                build_single_step(cpu=0.5, required_label=f'rack-{number % 2}'),
            )
            self.act()
            self.assertEqual(len(self.working()), len(before) + 1)

    def racks(self, job_id):
        return [
            worker.rack
            for worker in self.workers()
            for key in worker.run_by_key
            if key.job_id == job_id
        ]

    # Guards against members that are slow because they are far apart.
    def test_gang_starts_on_one_rack_if_one_has_room(self):
        self.fill(0, 1)
        job_id = self.start_gang(is_same_rack=True)
        racks = self.racks(job_id)
        self.assertEqual(len(racks), 2)
        self.assertEqual(len(set(racks)), 1)

    # Guards against a gang that waits for ever for a rack of its size.
    def test_gang_starts_on_two_racks_if_none_has_room(self):
        job_id = self.start_gang(count=3, is_same_rack=True)
        self.assertEqual(len(self.racks(job_id)), 3)


class GangEndTest(_GangTest):
    """Pattern: one member ends, and the others with it."""

    # Guards against LOST: a failure of the gang that is counted per member.
    def test_failure_counts_once_per_gang(self):
        job_id = self.start_gang()
        self.end(EndKind.FAILED, EndKind.GANG_BROKEN)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.assertEqual(list(self.working().values()), [2, 2])

    # Guards against LOST: both members of one run fail, and the run counts
    # as two of the attempts.
    def test_two_members_that_fail_in_one_run_count_once(self):
        job_id = self.start_gang()
        self.end(EndKind.FAILED, EndKind.FAILED)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.assertEqual(list(self.working().values()), [2, 2])

    # Guards against BUDGET: failures of different members are not added up.
    def test_failures_of_different_members_fail_the_gang(self):
        job_id = self.start_gang()
        self.end(EndKind.FAILED, EndKind.GANG_BROKEN)
        self.act()
        self.end(EndKind.GANG_BROKEN, EndKind.FAILED)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.FAILED)
        self.assertEqual(self.working(), {})

    # Guards against LOST: a gang that fails because its members were broken
    # off, for which it can do nothing.
    def test_ends_as_broken_or_incomplete_are_no_failures(self):
        job_id = self.start_gang()
        for _ in range(ATTEMPTS + 1):
            self.end(EndKind.GANG_BROKEN, EndKind.GANG_INCOMPLETE)
            self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)

    # Guards against members that stay bound to a run that is over.
    def test_all_members_wait_after_ends_as_broken(self):
        job_id = self.start_gang()
        tasks = self.tasks(job_id)
        self.end(EndKind.GANG_BROKEN, EndKind.GANG_BROKEN)
        owner = self.world.owners[-1]
        owner._renew_leases()
        phases = {task.phase for task in tasks}
        self.assertEqual(phases, {TaskPhase.WAITING})
        waiting_indexes = owner.state.get_step(tasks[0]).waiting_indexes
        self.assertEqual(sorted(waiting_indexes), [0, 1])

    # Guards against TWICE: members of a finished gang that start again.
    def test_one_end_as_done_finishes_the_gang(self):
        job_id = self.start_gang()
        self.end(EndKind.DONE)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)
        self.assertEqual(self.working(), {})
        self.act()
        self.assertEqual(len(self.starts()), 2)

    # Guards against LOST: an end as done that came after another member's
    # run was given up.
    def test_end_as_done_counts_after_another_member_was_released(self):
        job_id = self.start_gang()
        self.end(EndKind.GANG_BROKEN)
        self.act()
        self.end(EndKind.DONE)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)
        self.assertEqual(len(self.starts()), 2)


class CheckpointTest(_GangTest):
    """Pattern: one member has saved what all of them have done."""

    def started_with(self, run):
        return [detail for _, one, detail in self.starts() if one == run]

    # Guards against UNASKED: members that resume from different points.
    def test_checkpoint_of_one_end_is_passed_to_all_members(self):
        for saver in (0, 1):
            with self.subTest(saver=saver):
                self.setUp()
                self.start_gang()
                self.end(*[EndKind.GANG_BROKEN] * saver)
                self.end(EndKind.GANG_BROKEN, checkpoint='saved')
                self.end(EndKind.GANG_BROKEN)
                self.act()
                self.assertEqual(self.started_with(2), ['saved', 'saved'])

    # Guards against UNASKED: a checkpoint that only a list of runs has told,
    # as when the worker is lost before it tells of an end.
    def test_checkpoint_of_one_run_is_passed_to_all_members(self):
        self.start_gang()
        for run in self.workers()[0].run_by_key.values():
            run.checkpoint = 'saved'
        self.act()
        for worker in self.workers():
            worker.restart()
        self.act()
        self.assertEqual(self.started_with(2), ['saved', 'saved'])

    # Guards against work that is done anew under the next owner.
    def test_checkpoint_of_an_end_survives_a_takeover(self):
        self.start_gang()
        self.end(EndKind.GANG_BROKEN, checkpoint='saved')
        owner = self.world.owners[-1]
        owner._renew_leases()
        owner._commit()
        self.world.take_over()
        self.end(EndKind.GANG_BROKEN)
        self.act()
        self.assertEqual(self.started_with(2), ['saved', 'saved'])


class TakeoverTest(_GangTest):
    """Pattern: the owner is replaced while a gang starts."""

    def bind(self, started):
        """Make the binding durable; only some start orders are sent."""
        self.world.submit(_gang())
        owner = self.world.owners[-1]
        owner.act()
        owner._send_orders = self.count_orders(owner, started)
        owner.act()
        self.world.advance(0.1)
        self.assertEqual(len(self.working()), started)

    def count_orders(self, owner, started):
        send = owner._send_orders

        def send_some():
            owner.state.orders = owner.state.orders[:started]
            send()

        return send_some

    # Guards against GANG and TWICE: a successor that starts a gang anew
    # which is at work.
    def test_running_gang_is_adopted(self):
        job_id = self.start_gang()
        self.world.take_over()
        self.act()
        self.assertEqual(list(self.working().values()), [1, 1])
        self.end(EndKind.DONE)
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a gang that was bound and never starts.
    def test_bound_gang_that_has_not_started_starts_completely(self):
        self.bind(started=0)
        self.world.take_over()
        self.act()
        self.assertEqual(list(self.working().values()), [2, 2])

    # Guards against GANG: the successor starts the missing member under a
    # number of its own.
    def test_partly_started_gang_restarts_completely_once_it_has_ended(self):
        self.bind(started=1)
        self.world.take_over()
        self.act()
        self.assertEqual(list(self.working().values()), [1])
        self.end(EndKind.GANG_INCOMPLETE)
        self.act()
        self.assertEqual(list(self.working().values()), [2, 2])

    # Guards against LOST: failures that a successor counts again.
    def test_gang_failure_counts_once_across_a_takeover(self):
        job_id = self.start_gang()
        self.end(EndKind.FAILED, EndKind.GANG_BROKEN)
        owner = self.world.owners[-1]
        owner._renew_leases()
        owner._commit()
        self.world.take_over()
        self.act()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.assertEqual(self.tasks(job_id)[0].failures, 1)
        self.assertEqual(list(self.working().values()), [2, 2])

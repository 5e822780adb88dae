"""Tasks of a gang start, fail, resume and end together."""

import unittest

from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import dispatch
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.records import TaskPhase
from ragwortfield.tests.placement_world import NOW, PlacementWorld
from ragwortfield.tests.shard_world import (
    ATTEMPTS,
    ShardWorld,
    build_single_step,
)

#: CPU of a gang member, in cores; a worker of ShardWorld has room for one.
_LARGE_CPU = 3


def _build_gang(count=2, cpu=_LARGE_CPU, **options):
    return build_single_step(count=count, cpu=cpu, is_gang=True, **options)


class _GangTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()

    def run_rounds(self, rounds=5):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
        self.world.check()

    def start_gang(self, **options):
        job_id = self.world.submit(_build_gang(**options))
        self.run_rounds()
        return job_id

    def list_workers(self):
        return list(self.world.workers.worker_by_id.values())

    def get_run_numbers(self):
        """Return the run numbers of the running tasks by task key."""
        return {
            key: run.run
            for worker in self.list_workers()
            for key, run in worker.run_by_key.items()
        }

    def end_members(self, *kinds, checkpoint=''):
        """
        End running members.

        :param kinds: how they end, in the order of their indexes.
        """
        worker_by_key = {
            key: worker
            for worker in self.list_workers()
            for key in worker.run_by_key
        }
        for key, kind in zip(sorted(worker_by_key), kinds, strict=False):
            worker_by_key[key].end(key, kind, checkpoint)

    def list_starts(self):
        """List task key, run number and checkpoint of all starts."""
        return [
            (key, run, detail)
            for worker in self.list_workers()
            for change, _, key, run, detail in worker.history
            if change == 'start'
        ]

    def get_tasks(self, job_id):
        return self.world.owners[-1].state.find_step((job_id, 0, 0)).tasks


class GangStartTest(_GangTest):
    """Some members of a gang could start, others could not."""

    # Guards against a gang that runs partly: members start while there is no
    # room for the others.
    def test_no_member_starts_without_room_for_all(self):
        self.start_gang(count=3)
        self.assertEqual(self.get_run_numbers(), {})
        self.world.add_worker(2)
        self.run_rounds()
        self.assertEqual(list(self.get_run_numbers().values()), [1, 1, 1])

    # Guards against a gang that runs partly: a member that has ended is started
    # again while the run of another member may still go on.
    def test_no_member_starts_while_another_may_still_run(self):
        self.start_gang()
        for number in (2, 3):
            self.world.add_worker(number)
        self.end_members(EndKind.GANG_BROKEN)
        self.run_rounds()
        self.assertEqual(list(self.get_run_numbers().values()), [1])

    # Guards against members that start under different run numbers, so that
    # they wait for each other.
    def test_members_restart_with_one_higher_run_number(self):
        self.start_gang()
        for run in (2, 3):
            self.end_members(EndKind.GANG_BROKEN, EndKind.GANG_INCOMPLETE)
            self.run_rounds()
            self.assertEqual(list(self.get_run_numbers().values()), [run, run])

    # Guards against a start that a worker refuses as superseded: the new run
    # number is not higher than that of every member.
    def test_run_number_is_higher_than_that_of_any_member(self):
        world = PlacementWorld(workers=1)
        tasks = world.add_job('gang', count=3, cpu=20, is_gang=True)
        for task, run in zip(tasks, (1, 5, 3), strict=True):
            task.run = run
        world.add_worker('w1')
        world.add_worker('w2')
        dispatch.dispatch(world.state, NOW)
        self.assertEqual([task.run for task in tasks], [6, 6, 6])

    # Guards against more members on a worker than its resources allow.
    def test_gang_members_fit_on_their_workers(self):
        self.start_gang(count=4, cpu=2)
        counts = [len(worker.run_by_key) for worker in self.list_workers()]
        self.assertEqual(counts, [2, 2])


class GangRackTest(_GangTest):
    """The workers with most free CPU are on different racks."""

    def setUp(self):
        super().setUp()
        for number in (2, 3):
            self.world.add_worker(number)

    def use_cpu(self, *numbers):
        """Use some CPU of the workers with these numbers."""
        for number in numbers:
            runs_before = self.get_run_numbers()
            self.world.submit(
                build_single_step(cpu=0.5, required_label=f'rack-{number % 2}'),
            )
            self.run_rounds()
            self.assertEqual(len(self.get_run_numbers()), len(runs_before) + 1)

    def list_racks(self, job_id):
        return [
            worker.rack
            for worker in self.list_workers()
            for key in worker.run_by_key
            if key.job_id == job_id
        ]

    # Guards against slow communication: the members run on different racks,
    # though one rack has room for all.
    def test_gang_starts_on_one_rack_if_one_has_room(self):
        self.use_cpu(0, 1)
        job_id = self.start_gang(is_same_rack=True)
        racks = self.list_racks(job_id)
        self.assertEqual(len(racks), 2)
        self.assertEqual(len(set(racks)), 1)

    # Guards against a gang that waits forever for a rack with room for all.
    def test_gang_starts_on_two_racks_if_none_has_room(self):
        job_id = self.start_gang(count=3, is_same_rack=True)
        self.assertEqual(len(self.list_racks(job_id)), 3)


class GangEndTest(_GangTest):
    """A member of a gang ends, and the others end with it."""

    # Guards against a job that fails too early: one failure of the gang is
    # counted for each member.
    def test_failure_counts_once_per_gang(self):
        job_id = self.start_gang()
        self.end_members(EndKind.FAILED, EndKind.GANG_BROKEN)
        self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.assertEqual(list(self.get_run_numbers().values()), [2, 2])

    # Guards against a job that fails too early: both members fail in one run,
    # which counts as two of the attempts.
    def test_two_members_that_fail_in_one_run_count_once(self):
        job_id = self.start_gang()
        self.end_members(EndKind.FAILED, EndKind.FAILED)
        self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.assertEqual(list(self.get_run_numbers().values()), [2, 2])

    # Guards against more runs than the attempts allow: failures of different
    # members are not added up.
    def test_failures_of_different_members_fail_the_gang(self):
        job_id = self.start_gang()
        self.end_members(EndKind.FAILED, EndKind.GANG_BROKEN)
        self.run_rounds()
        self.end_members(EndKind.GANG_BROKEN, EndKind.FAILED)
        self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.FAILED)
        self.assertEqual(self.get_run_numbers(), {})

    # Guards against a job that fails though it is not at fault: its members
    # were ended because other members were missing.
    def test_ends_as_broken_or_incomplete_are_no_failures(self):
        job_id = self.start_gang()
        for _ in range(ATTEMPTS + 1):
            self.end_members(EndKind.GANG_BROKEN, EndKind.GANG_INCOMPLETE)
            self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)

    # Guards against members that stay bound to a run that has ended.
    def test_all_members_wait_after_ends_as_broken(self):
        job_id = self.start_gang()
        tasks = self.get_tasks(job_id)
        self.end_members(EndKind.GANG_BROKEN, EndKind.GANG_BROKEN)
        owner = self.world.owners[-1]
        owner._renew_leases()
        phases = {task.phase for task in tasks}
        self.assertEqual(phases, {TaskPhase.WAITING})
        waiting_indexes = owner.state.get_step(tasks[0]).waiting_indexes
        self.assertEqual(sorted(waiting_indexes), [0, 1])

    # Guards against a second run: a member of a finished gang starts again.
    def test_one_end_as_done_finishes_the_gang(self):
        job_id = self.start_gang()
        self.end_members(EndKind.DONE)
        self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)
        self.assertEqual(self.get_run_numbers(), {})
        self.run_rounds()
        self.assertEqual(len(self.list_starts()), 2)

    # Guards against a lost result: an end as done is ignored because it is
    # reported after another member was released.
    def test_end_as_done_counts_after_another_member_was_released(self):
        job_id = self.start_gang()
        self.end_members(EndKind.GANG_BROKEN)
        self.run_rounds()
        self.end_members(EndKind.DONE)
        self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)
        self.assertEqual(len(self.list_starts()), 2)


class CheckpointTest(_GangTest):
    """One member has saved a checkpoint of the whole gang."""

    def list_start_checkpoints(self, run):
        return [
            detail
            for _, started_run, detail in self.list_starts()
            if started_run == run
        ]

    # Guards against members that resume from different checkpoints, whichever
    # member has reported one.
    def test_checkpoint_of_one_end_is_passed_to_all_members(self):
        for saver_index in (0, 1):
            with self.subTest(saver_index=saver_index):
                self.setUp()
                self.start_gang()
                self.end_members(*[EndKind.GANG_BROKEN] * saver_index)
                self.end_members(EndKind.GANG_BROKEN, checkpoint='saved')
                self.end_members(EndKind.GANG_BROKEN)
                self.run_rounds()
                self.assertEqual(
                    self.list_start_checkpoints(2), ['saved', 'saved']
                )

    # Guards against members that resume from different checkpoints: the only
    # report of the checkpoint was a list of runs, as the worker was lost before
    # it reported an end.
    def test_checkpoint_of_one_run_is_passed_to_all_members(self):
        self.start_gang()
        for run in self.list_workers()[0].run_by_key.values():
            run.checkpoint = 'saved'
        self.run_rounds()
        for worker in self.list_workers():
            worker.restart()
        self.run_rounds()
        self.assertEqual(self.list_start_checkpoints(2), ['saved', 'saved'])

    # Guards against work that is repeated after a takeover: the successor does
    # not know the checkpoint.
    def test_checkpoint_of_an_end_survives_a_takeover(self):
        self.start_gang()
        self.end_members(EndKind.GANG_BROKEN, checkpoint='saved')
        owner = self.world.owners[-1]
        owner._renew_leases()
        owner._commit()
        self.world.take_over()
        self.end_members(EndKind.GANG_BROKEN)
        self.run_rounds()
        self.assertEqual(self.list_start_checkpoints(2), ['saved', 'saved'])


class TakeoverTest(_GangTest):
    """The owner is replaced while a gang starts."""

    def bind_gang(self, started_count):
        """Commit the binding of a gang and send some of its start orders."""
        self.world.submit(_build_gang())
        owner = self.world.owners[-1]
        owner.act()
        owner._send_orders = self.limit_start_orders(owner, started_count)
        owner.act()
        self.world.advance(0.1)
        self.assertEqual(len(self.get_run_numbers()), started_count)

    def limit_start_orders(self, owner, started_count):
        send_orders = owner._send_orders

        def send_limited():
            owner.state.orders = owner.state.orders[:started_count]
            send_orders()

        return send_limited

    # Guards against a second run: a successor starts a gang that is running.
    def test_running_gang_is_adopted(self):
        job_id = self.start_gang()
        self.world.take_over()
        self.run_rounds()
        self.assertEqual(list(self.get_run_numbers().values()), [1, 1])
        self.end_members(EndKind.DONE)
        self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.COMPLETE)

    # Guards against a gang that was bound and never starts.
    def test_bound_gang_that_has_not_started_starts_completely(self):
        self.bind_gang(started_count=0)
        self.world.take_over()
        self.run_rounds()
        self.assertEqual(list(self.get_run_numbers().values()), [2, 2])

    # Guards against a gang that runs partly: the successor starts the missing
    # member under another run number.
    def test_partly_started_gang_restarts_completely_once_it_has_ended(self):
        self.bind_gang(started_count=1)
        self.world.take_over()
        self.run_rounds()
        self.assertEqual(list(self.get_run_numbers().values()), [1])
        self.end_members(EndKind.GANG_INCOMPLETE)
        self.run_rounds()
        self.assertEqual(list(self.get_run_numbers().values()), [2, 2])

    # Guards against a job that fails too early: the successor counts a failure
    # again.
    def test_gang_failure_counts_once_across_a_takeover(self):
        job_id = self.start_gang()
        self.end_members(EndKind.FAILED, EndKind.GANG_BROKEN)
        owner = self.world.owners[-1]
        owner._renew_leases()
        owner._commit()
        self.world.take_over()
        self.run_rounds()
        self.assertEqual(self.world.status(job_id), JobStatus.ACTIVE)
        self.assertEqual(self.get_tasks(job_id)[0].failures, 1)
        self.assertEqual(list(self.get_run_numbers().values()), [2, 2])

"""What an owner writes in one call."""

import unittest

from ragwortfield.engine.row_names import job_row
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import commits
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.shard_world import SHARD, ShardWorld, build_single_step

#: Entries of one call that the store takes (users' pages).
_STORE_ENTRIES = 100
_JOBS = 150
#: Time after which nothing shows a removed row any more, in seconds.
_LONG_S = 300


class _CountingStore(FakeRowStore):
    """Store that tells how many entries each call holds."""

    def __init__(self, *, sizes):
        super().__init__()
        self.sizes = sizes

    def commit(self, transaction, timeout_s):
        entries = len(transaction.expected) + len(transaction.writes)
        self.sizes.append(entries)
        return super().commit(transaction, timeout_s)


class CommitSizeTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=3)
        self.sizes = []
        self.world.store = _CountingStore(sizes=self.sizes)
        self.world.take_over()

    def act(self, rounds):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
            self.world.end_runs(EndKind.DONE, count=_JOBS)

    # Guards against an owner that never commits again, because the store
    # refuses a call that forgets hundreds of jobs at once.
    def test_forgotten_jobs_are_removed_in_calls_that_the_store_takes(self):
        job_ids = [
            self.world.submit(build_single_step(cpu=0.01)) for _ in range(_JOBS)
        ]
        self.act(20)
        self.assertEqual(self.world.status(job_ids[-1]), JobStatus.COMPLETE)
        self.sizes.clear()
        self.world.advance(2 * TimingBounds().status_s + 1)
        self.act(20)
        self.assertEqual(self.world.owners[-1].state.job_by_id, {})
        self.assertEqual(self.world.owners[-1].state.expired_jobs, [])
        self.assertLessEqual(max(self.sizes), _STORE_ENTRIES)

    # Guards against a job with hundreds of occurrences that never fits into a
    # call, and against one of them that runs again without the others.
    def test_rows_of_a_long_timed_job_are_removed_after_the_job_itself(self):
        job_id = self.world.submit(build_single_step(cpu=0.01))
        self.act(4)
        state = self.world.owners[-1].state
        job = state.job_by_id[job_id]
        for number in range(2 * _STORE_ENTRIES):
            job.occurrence_by_number[number] = job.occurrence_by_number[0]
        state.expired_jobs.append(job)
        batches = [commits.collect_batch(state, number) for number in range(4)]
        removed = [batch and len(batch.removed) for batch in batches]
        self.assertEqual(removed, [1, 0, 0, None])
        numbers = [
            number
            for batch in batches[:3]
            for _, number in batch.removed_occurrences
        ]
        self.assertEqual(numbers, list(range(2 * _STORE_ENTRIES)))

    # Guards against a job that runs again because its row is read between the
    # moment in which it is forgotten and the removal of the row.
    def test_forgotten_job_is_not_taken_in_again(self):
        job_id = self.world.submit(build_single_step(cpu=0.01))
        self.act(20)
        owner = self.world.owners[-1]
        row = self.world.store.row_by_name[job_row(SHARD, job_id)]
        self.world.advance(2 * TimingBounds().status_s + 1)
        commits.expire_finished_jobs(owner.state, self.world.now)
        for _ in range(2):
            owner._apply_inbox((row,))
            self.assertNotIn(job_id, owner.state.job_by_id)
            self.act(5)
        self.world.check()
        self.world.advance(_LONG_S)
        commits.expire_finished_jobs(owner.state, self.world.now)
        self.assertEqual(owner.state.removed_at_by_id, {})

    # Guards against removals that a steady load of records puts off for good.
    def test_removals_have_room_beside_as_many_records_as_fit(self):
        old = self.world.submit(build_single_step(cpu=0.01))
        self.act(20)
        owner = self.world.owners[-1]
        for _ in range(_JOBS):
            self.world.submit(build_single_step(cpu=0.01))
        owner._poll_changes()
        for job in owner.state.job_by_id.values():
            owner.state.mark_occurrence_dirty(job.occurrence_by_number[0])
        owner.state.expired_jobs.append(owner.state.job_by_id.pop(old))
        owner.state.dirty_occurrence_by_key.pop((old, 0))
        batch = commits.collect_batch(owner.state, 1)
        self.assertEqual(len(batch.removed), 1)
        self.assertEqual(len(batch.removed_occurrences), 1)

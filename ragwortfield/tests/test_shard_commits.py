"""Size and content of the transactions that an owner commits."""

import unittest

from ragwortfield.engine.row_names import job_row
from ragwortfield.ports.task_worker import EndKind
from ragwortfield.scheduling import commits
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.shard_world import SHARD, ShardWorld, build_single_step

#: Maximum number of entries that the store accepts in one transaction, by its
#: documentation.
_MAX_ENTRIES_PER_COMMIT = 100
_JOBS = 150
#: Time after which no change feed shows a removed row any more, in seconds.
_REMOVAL_SETTLED_S = 300


class _CountingStore(FakeRowStore):
    """Store that records the number of entries of each transaction."""

    def __init__(self, *, entry_counts):
        super().__init__()
        self.entry_counts = entry_counts

    def commit(self, transaction, timeout_s):
        entry_count = len(transaction.expected) + len(transaction.writes)
        self.entry_counts.append(entry_count)
        return super().commit(transaction, timeout_s)


class CommitSizeTest(unittest.TestCase):
    def setUp(self):
        self.world = ShardWorld(workers=3)
        self.entry_counts = []
        self.world.store = _CountingStore(entry_counts=self.entry_counts)
        self.world.take_over()

    def act(self, rounds):
        for _ in range(rounds):
            self.world.owners[-1].act()
            self.world.advance(0.1)
            self.world.end_runs(EndKind.DONE, count=_JOBS)

    # Guards against an owner that never commits again: the store rejects a
    # transaction that removes hundreds of expired jobs at once.
    def test_expired_jobs_are_removed_in_commits_within_the_store_limit(self):
        job_ids = [
            self.world.submit(build_single_step(cpu=0.01)) for _ in range(_JOBS)
        ]
        self.act(20)
        self.assertEqual(self.world.status(job_ids[-1]), JobStatus.COMPLETE)
        self.entry_counts.clear()
        self.world.advance(2 * TimingBounds().status_s + 1)
        self.act(20)
        self.assertEqual(self.world.owners[-1].state.job_by_id, {})
        self.assertEqual(self.world.owners[-1].state.expired_jobs, [])
        self.assertLessEqual(max(self.entry_counts), _MAX_ENTRIES_PER_COMMIT)

    # Guards against a job with hundreds of occurrences that never fits into a
    # transaction, and against an occurrence that runs again: its row is removed
    # before that of the job.
    def test_rows_of_a_long_repeating_job_are_removed_after_the_job(self):
        job_id = self.world.submit(build_single_step(cpu=0.01))
        self.act(4)
        state = self.world.owners[-1].state
        job = state.job_by_id[job_id]
        for number in range(2 * _MAX_ENTRIES_PER_COMMIT):
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
        self.assertEqual(numbers, list(range(2 * _MAX_ENTRIES_PER_COMMIT)))

    # Guards against an expired job that runs again: its row is read after the
    # job has expired and before the row is removed.
    def test_expired_job_is_not_registered_again(self):
        job_id = self.world.submit(build_single_step(cpu=0.01))
        self.act(20)
        owner = self.world.owners[-1]
        stored_row = self.world.store.row_by_name[job_row(SHARD, job_id)]
        self.world.advance(2 * TimingBounds().status_s + 1)
        commits.expire_finished_jobs(owner.state, self.world.now)
        for _ in range(2):
            owner._apply_inbox((stored_row,))
            self.assertNotIn(job_id, owner.state.job_by_id)
            self.act(5)
        self.world.check()
        self.world.advance(_REMOVAL_SETTLED_S)
        commits.expire_finished_jobs(owner.state, self.world.now)
        self.assertEqual(owner.state.removed_at_by_id, {})

    # Guards against removals that are postponed forever while each transaction
    # is full of changed records.
    def test_full_batch_of_records_leaves_space_for_removals(self):
        expired_job_id = self.world.submit(build_single_step(cpu=0.01))
        self.act(20)
        owner = self.world.owners[-1]
        for _ in range(_JOBS):
            self.world.submit(build_single_step(cpu=0.01))
        owner._poll_changes()
        for job in owner.state.job_by_id.values():
            owner.state.mark_occurrence_dirty(job.occurrence_by_number[0])
        owner.state.expired_jobs.append(
            owner.state.job_by_id.pop(expired_job_id)
        )
        owner.state.dirty_occurrence_by_key.pop((expired_job_id, 0))
        batch = commits.collect_batch(owner.state, 1)
        self.assertEqual(len(batch.removed), 1)
        self.assertEqual(len(batch.removed_occurrences), 1)


class TermTest(unittest.TestCase):
    """The age of an owner's term, from which successors learn."""

    def setUp(self):
        self.world = ShardWorld(workers=1, is_process_checked=True)
        self.world.take_over()
        self.owner = self.world.owners[-1]

    def collect(self, term_s):
        now = self.owner.state.owner_since + term_s
        return commits.collect_batch_with_term(self.owner.state, 1, now)

    def test_age_of_a_quiet_term_is_written_once(self):
        self.assertIsNone(self.collect(3))
        batch = self.collect(4)
        self.assertEqual(batch.sequence.term_ms, 4000)
        self.assertEqual(batch.record_by_key, {})
        commits.apply_committed(self.owner.state, batch, 0, sent_at=0)
        self.assertIsNone(self.collect(60))

    def test_each_commit_has_the_age_of_the_term(self):
        self.world.submit(build_single_step(cpu=0.01))
        self.owner.act()
        (job,) = self.owner.state.job_by_id.values()
        self.owner.state.mark_occurrence_dirty(job.occurrence_by_number[0])
        self.assertEqual(self.collect(2).sequence.term_ms, 2000)

"""A submission that is held up must not run after its cancellation."""

import time
import unittest
from unittest import mock

from ragwortfield.engine.job_request_handler import (
    Accepted,
    JobRequestHandler,
    Rejected,
    Uncertain,
    Unknown,
)
from ragwortfield.engine.row_names import cancel_row, job_row, owner_row
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.scheduling import commits, shard_updates
from ragwortfield.scheduling.job_status import JobStatus
from ragwortfield.scheduling.records import JobRecord, encode_record
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.tests.job_request_world import (
    CALLER_TIMEOUT_S,
    JOB_ID,
    build_job,
    build_job_request_handler,
)
from ragwortfield.tests.shard_world import SHARD, ShardWorld, build_single_step

_RETENTION_S = 2 * TimingBounds().status_s
_STEP_S = 0.1


class LateSubmissionTest(unittest.TestCase):
    """
    A caller leaves without an answer and cancels at another instance.

    The other instance answers that there is no such job; the submission gets
    on afterwards.
    """

    def setUp(self):
        self.world = ShardWorld(workers=2)
        self.world.take_over()
        self.store = self.world.store
        self.health = StoreHealth()
        self.requests = build_job_request_handler(self.store, self.health)
        self.job = build_job(steps=build_single_step())
        self.world.accepted_job_by_id[JOB_ID] = self.job

    def cancel(self):
        return self.requests.cancel(JOB_ID, CALLER_TIMEOUT_S)

    def submit(self):
        return self.requests.submit(self.job, CALLER_TIMEOUT_S)

    def restore_store(self):
        """End all faults of the store; the next call finds it available."""
        self.world.store_delay_probability = 0
        self.world.store_loss_probability = 0
        self.health.record_outcome(None)

    def run_owner(self, seconds):
        for _ in range(round(seconds / _STEP_S)):
            self.world.owners[-1].act()
            self.world.advance(_STEP_S)
            self.world.check()

    def assert_never_started(self):
        self.run_owner(2)
        starts = [
            entry
            for worker in self.world.workers.worker_by_id.values()
            for entry in worker.history
        ]
        self.assertEqual(starts, [])

    # Guards against a job that runs after its cancellation was answered with
    # "no such job": its instance was paused before it read the submission.
    def test_submission_read_after_the_cancellation_does_not_run(self):
        self.assertIsInstance(self.cancel(), Unknown)
        outcome = self.submit()
        self.assertNotIsInstance(outcome, Accepted | Uncertain)
        self.assert_never_started()
        self.assertIsInstance(self.requests.status(JOB_ID, 1), Unknown)

    # The same, with a transaction that the store carries out late.
    def test_transaction_applied_after_the_cancellation_does_not_run(self):
        self.world.store_delay_probability = 1
        self.assertIsInstance(self.submit(), Uncertain)
        self.restore_store()
        self.assertIsInstance(self.cancel(), Unknown)
        self.store.apply_delayed()
        self.assert_never_started()
        # The earlier attempt can no longer be stored, so the refusal is final.
        self.assertNotIsInstance(self.submit(), Accepted | Uncertain)

    # The same, with a write that a peer was asked for and makes late.
    def test_write_of_a_peer_after_the_cancellation_does_not_run(self):
        self.assertIsInstance(self.cancel(), Unknown)
        record = encode_record(JobRecord(job=self.job))
        outcome = self.requests.write_for_peer(
            lambda: self.requests.write_job_row(JOB_ID, record)
        )
        self.assertNotIsInstance(outcome, Accepted | Uncertain)
        self.assert_never_started()

    # The same, with an answer to the cancellation that is lost on its way from
    # the store, so that the caller repeats it.
    def test_cancellation_whose_answer_is_lost_holds(self):
        self.world.store_loss_probability = 1
        self.assertIsInstance(self.cancel(), Uncertain)
        self.restore_store()
        self.assertNotIsInstance(self.submit(), Accepted | Uncertain)
        self.assertIsInstance(self.cancel(), Unknown)
        self.assert_never_started()

    # The same, with owners that are replaced in series meanwhile.
    def test_cancellation_holds_over_changes_of_owner(self):
        self.cancel()
        for _ in range(3):
            self.run_owner(1)
            self.world.take_over()
        self.submit()
        self.assert_never_started()

    # Guards against a job that goes on although its cancellation was
    # acknowledged: it was stored while the cancellation looked for it.
    def test_job_stored_during_the_cancellation_is_cancelled(self):
        read_row = JobRequestHandler._read_row

        def read_and_let_submit(handler, name):
            page = read_row(handler, name)
            self.submit()
            return page

        with mock.patch.object(
            JobRequestHandler, '_read_row', read_and_let_submit
        ):
            outcome = self.cancel()
        self.assertIsInstance(outcome, Accepted)
        self.assert_never_started()
        self.assertEqual(self.world.status(JOB_ID), JobStatus.CANCELLED)

    # Guards against "no such job" for one that is stored and was cancelled by
    # another caller, too, while the cancellation looked for it.
    def test_job_cancelled_by_two_callers_is_cancelled_for_both(self):
        read_row = JobRequestHandler._read_row
        pages = []

        def read_before_submission(handler, name):
            pages.append(read_row(handler, name))
            if len(pages) == 1:
                self.submit()
                self.cancel()
            return pages[-1]

        with mock.patch.object(
            JobRequestHandler, '_read_row', read_before_submission
        ):
            self.assertIsInstance(self.cancel(), Accepted)
        self.assert_never_started()

    # Guards against a refusal of a job that is stored and was cancelled then.
    def test_repeated_submission_of_a_cancelled_job_is_accepted(self):
        self.submit()
        self.assertIsInstance(self.cancel(), Accepted)
        self.assertIsInstance(self.submit(), Accepted)
        self.assert_never_started()

    # Guards against a cancellation that seems to hold and is not stored.
    def test_cancellation_without_the_store_is_not_acknowledged(self):
        self.store.is_down = True
        self.assertIsInstance(self.cancel(), Rejected)


class UnmatchedCancellationTest(unittest.TestCase):
    """The rows of cancellations without a job are bounded and expire."""

    def setUp(self):
        self.world = ShardWorld(workers=1)
        self.world.take_over()
        self.store = self.world.store
        self.owner = self.world.owners[-1]
        self.requests = build_job_request_handler(self.store)
        self.now = time.monotonic()

    def cancel(self, job_id=JOB_ID, *, age_s=0):
        self.requests.cancel(job_id, CALLER_TIMEOUT_S)
        state = self.owner.state
        shard_updates.cancel_job(state, job_id, self.now - age_s)

    def remove_expired(self):
        self.owner.make_cancellation_expiry().remove_expired()

    def list_cancellations(self):
        return [
            name
            for name, row in self.store.row_by_name.items()
            if name.key.startswith('cancel/') and row.content is not None
        ]

    def test_repeated_cancellations_write_one_row(self):
        self.cancel()
        version = self.store.version
        self.cancel()
        self.assertEqual(self.store.version, version)
        self.assertEqual(self.list_cancellations(), [cancel_row(SHARD, JOB_ID)])

    def test_row_is_kept_for_the_retention_period(self):
        self.cancel(age_s=_RETENTION_S - 5)
        self.remove_expired()
        self.assertEqual(len(self.list_cancellations()), 1)

    def test_rows_are_removed_after_the_retention_period(self):
        for number in range(120):
            self.cancel(f'{number:016x}', age_s=_RETENTION_S + 5)
        self.cancel('f' * 16)
        self.remove_expired()
        self.assertEqual(
            self.list_cancellations(), [cancel_row(SHARD, 'f' * 16)]
        )
        self.assertEqual(self.owner.state.cancelled_job_ids, {'f' * 16})

    # Guards against rows that no later owner removes.
    def test_rows_are_loaded_by_the_next_owner(self):
        self.cancel()
        self.world.take_over()
        self.owner = self.world.owners[-1]
        self.owner.load()
        self.assertEqual(list(self.owner.state.unmatched_since_by_id), [JOB_ID])

    # Guards against a shard that keeps and loads rows without a limit: a caller
    # cancels jobs at the highest rate that the store takes.
    def test_number_of_rows_is_limited(self):
        limit_name = (
            'ragwortfield.scheduling.unmatched_cancellations.'
            'MAX_UNMATCHED_CANCELLATIONS'
        )
        for number in range(8):
            self.cancel(f'{number:016x}')
        with mock.patch(limit_name, 5):
            self.remove_expired()
        kept = [cancel_row(SHARD, f'{number:016x}') for number in range(3, 8)]
        self.assertEqual(self.list_cancellations(), kept)

    # Guards against a cancelled job that runs: the row of the job cannot be
    # read by this owner, and the cancellation expires before it.
    def test_cancellation_of_a_stored_job_stays(self):
        self.cancel(age_s=_RETENTION_S + 5)
        other_id = 'e' * 16
        self.cancel(other_id, age_s=_RETENTION_S + 5)
        write = RowWrite(name=job_row(SHARD, JOB_ID), content=b'unreadable')
        self.store.commit(Transaction(writes=(write,)), 1)
        self.remove_expired()
        self.assertEqual(self.list_cancellations(), [cancel_row(SHARD, JOB_ID)])

    # Guards against a former owner that removes what its successor keeps.
    def test_replaced_owner_removes_nothing(self):
        self.cancel(age_s=_RETENTION_S + 5)
        row = self.store.row_by_name[owner_row(SHARD)]
        write = RowWrite(name=row.name, content=row.content)
        self.store.commit(Transaction(writes=(write,)), 1)
        self.remove_expired()
        self.assertEqual(len(self.list_cancellations()), 1)

    def test_row_is_kept_while_the_store_is_down(self):
        self.cancel(age_s=_RETENTION_S + 5)
        self.store.is_down = True
        self.remove_expired()
        self.store.is_down = False
        self.assertEqual(len(self.list_cancellations()), 1)
        self.remove_expired()
        self.assertEqual(self.list_cancellations(), [])

    # Guards against rows that stay for good: the job was cancelled after its
    # end, and only its own row was removed.
    def test_cancellation_after_the_end_is_removed_later(self):
        state = self.owner.state
        job = build_job(steps=build_single_step())
        job_state = shard_updates.register_job(
            state, job, now=self.now, wall_time=0
        )
        job_state.finished_at = self.now
        shard_updates.cancel_job(state, JOB_ID, self.now)
        expired_at = self.now + _RETENTION_S + 1
        commits.expire_finished_jobs(state, expired_at)
        self.assertEqual(state.unmatched_since_by_id, {JOB_ID: expired_at})

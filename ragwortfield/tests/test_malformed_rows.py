"""Malformed rows of the store: none of them stops an owner."""

import unittest
from dataclasses import replace

import msgspec
from hypothesis import given

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.learned_model_store import LearnedModelStore
from ragwortfield.engine.row_names import (
    cancel_row,
    interference_row,
    job_row,
    layout_row,
    member_row,
    owner_row,
    progress_row,
    sequence_row,
)
from ragwortfield.platform.document_parsing import parse_catalogue, parse_worker
from ragwortfield.platform.fake_servers import (
    encode_configuration,
    encode_worker_entry,
)
from ragwortfield.ports.row_store import RowWrite, StoredRow, Transaction
from ragwortfield.scheduling import shard_updates
from ragwortfield.scheduling.duration_model import DurationModel
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.records import (
    CancellationRecord,
    InterferenceRecord,
    InterferenceWeightRecord,
    JobRecord,
    LayoutRecord,
    MemberRecord,
    OwnerRecord,
    ProgressRecord,
    SequenceRecord,
    TaskPhase,
    TaskRecord,
    encode_record,
)
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.malformed_inputs import (
    json_messages,
    record_messages,
    run_examples,
)
from ragwortfield.tests.shard_world import (
    ShardWorld,
    build_dependent_steps,
    build_single_step,
)

_EXAMPLES = 30
_SEED = 1
_JOB_ID = 'f' * 16
_POOL = 'pool'
_DONE = TaskRecord(phase=TaskPhase.DONE, run=1, worker_id='w0')
_BOUND = TaskRecord(phase=TaskPhase.BOUND, run=1, worker_id='w1')
_JOB = JobRecord(
    job=Job(
        job_id=_JOB_ID,
        queue='queue',
        spec='spec',
        steps=build_dependent_steps(),
        accepted_at=0,
    ),
)
_PROGRESS = ProgressRecord(
    job_id=_JOB_ID,
    occurrence=0,
    steps=((_DONE, _BOUND), (TaskRecord(), TaskRecord())),
)
_MEMBER = MemberRecord(
    instance_id='a',
    incarnation='1',
    address='h:1',
    data_centre='dc',
    cores=2.5,
    store_ms=3.5,
)
_OWNER = OwnerRecord(
    instance_id='a',
    incarnation='1',
    epoch=3,
    address='h:1',
    lease_s=4.5,
)
_LAYOUT = LayoutRecord(shards=2, worker_limits=(5,))
_INTERFERENCE = InterferenceRecord(
    weights=(
        InterferenceWeightRecord(
            serving='a', filler='f', amount=1.5, variance=1.5
        ),
    ),
    least_by_image={'a': 2.5},
)
_SEQUENCE = SequenceRecord(epoch=1, number=3)
_WORKER_ENTRY = msgspec.json.decode(
    encode_worker_entry(ShardWorld().workers.worker_by_id['w0'], 'h:1', _POOL),
)
_CONFIGURATION = msgspec.json.decode(encode_configuration(2, '/a/', _POOL))


def _act(world, rounds=10):
    for _ in range(rounds):
        world.owners[-1].act()
        world.advance(0.1)


class _MalformedRowsTestCase(unittest.TestCase):
    """Test case with a shard and rows drawn by Hypothesis."""

    def run_examples(self, test, messages, runs=_EXAMPLES):
        run_examples(given(messages)(test), runs=runs, first_seed=_SEED)

    def make_world(self):
        world = ShardWorld(workers=2)
        world.take_over()
        world.accepted_job_by_id[_JOB_ID] = _JOB.job
        return world

    def assert_runs_a_new_job(self, world):
        """Submit a valid job and check that it starts once."""
        job_id = world.submit(build_single_step())
        _act(world)
        runs = [
            entry
            for worker in world.workers.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'start' and entry[2].job_id == job_id
        ]
        self.assertEqual(len(runs), 1)

    def write_rows(self, world, content_by_name):
        writes = tuple(
            RowWrite(name=name, content=content)
            for name, content in content_by_name.items()
        )
        world.store.commit(Transaction(writes=writes), 1)

    def check_rows(self, content_by_name):
        """Check rows read by an owner at loading and from its change feed."""
        for is_loaded in (False, True):
            world = self.make_world()
            earlier_job_id = world.submit(build_single_step())
            if is_loaded:
                world.owners[-1].act()
            self.write_rows(world, content_by_name)
            self.assert_runs_a_new_job(world)
            self.assertIn(earlier_job_id, world.owners[-1].state.job_by_id)


class JobRowsTest(_MalformedRowsTestCase):
    # Guards against a shard without an owner: each owner that reads the job row
    # stops.
    def test_unreadable_job_row_affects_no_other_job(self):
        name = job_row(0, _JOB_ID)
        self.run_examples(
            lambda content: self.check_rows({name: content}),
            record_messages(_JOB),
        )

    # Guards against a shard without an owner: each owner that reads the
    # cancellation row stops.
    def test_unreadable_cancel_row_affects_no_other_job(self):
        rows = {job_row(0, _JOB_ID): encode_record(_JOB)}
        name = cancel_row(0, _JOB_ID)
        self.run_examples(
            lambda content: self.check_rows({**rows, name: content}),
            record_messages(CancellationRecord(job_id=_JOB_ID)),
        )

    # Guards against a shard without an owner: each owner stops when it loads a
    # progress row whose steps and tasks do not match its job.
    def test_unreadable_progress_row_affects_no_other_job(self):
        rows = {job_row(0, _JOB_ID): encode_record(_JOB)}
        name = progress_row(0, _JOB_ID, 0)
        self.run_examples(
            lambda content: self.check_rows({**rows, name: content}),
            record_messages(_PROGRESS),
            runs=10 * _EXAMPLES,
        )


class ClusterRowsTest(_MalformedRowsTestCase):
    def check_cluster_view(self, name, content):
        """Check a cluster view that reads a row and then a valid one."""
        cluster = ClusterView()
        contents = {
            layout_row(): encode_record(LayoutRecord()),
            name: content,
            member_row('good'): encode_record(_MEMBER),
        }
        cluster.apply_rows(
            tuple(
                StoredRow(name=key, version=version, content=row)
                for version, (key, row) in enumerate(contents.items(), 1)
            ),
        )
        self.assertIn('good', cluster.member_by_id)
        self.assertTrue(cluster.rank_members(0))
        self.assertGreaterEqual(cluster.expected_owner_cores(), 0)

    # Guards against a cluster view without members: one malformed member row
    # hides all others.
    def test_unreadable_member_row_hides_no_other_row(self):
        self.run_examples(
            lambda content: self.check_cluster_view(member_row('bad'), content),
            record_messages(_MEMBER),
        )

    # Guards against a malformed owner row that hides members and other owners.
    def test_unreadable_owner_row_hides_no_other_row(self):
        self.run_examples(
            lambda content: self.check_cluster_view(owner_row(0), content),
            record_messages(_OWNER),
        )

    # Guards against a malformed layout row that hides members and owners.
    def test_unreadable_layout_row_hides_no_other_row(self):
        self.run_examples(
            lambda content: self.check_cluster_view(layout_row(), content),
            record_messages(_LAYOUT),
        )

    # Guards against accepted jobs that are not found: a layout without shards
    # is applied.
    def test_layout_without_shards_is_not_applied(self):
        cluster = ClusterView()
        for version, shards in enumerate((1, 0, -1), 1):
            content = encode_record(LayoutRecord(shards=shards))
            row = StoredRow(
                name=layout_row(),
                version=version,
                content=content,
            )
            cluster.apply_rows((row,))
            self.assertEqual(cluster.shards, 1)


class OwnerRowsTest(_MalformedRowsTestCase):
    # Guards against an owner that stops at malformed interference weights, or
    # that cannot write back the model that it has restored from them.
    def test_unreadable_interference_row_leaves_the_model_usable(self):
        def check_row(content):
            store = FakeRowStore()
            write = RowWrite(name=interference_row(0), content=content)
            store.commit(Transaction(writes=(write,)), 1)
            model = InterferenceModel()
            model_store = LearnedModelStore(
                shard=0, store=store, owner_version=1
            )
            durations = DurationModel()
            model_store.restore(model, durations)
            model.weight('a', 'f')
            durations.predict('queue', 1)
            encode_record(replace(model.record(), durations=durations.record()))

        self.run_examples(check_row, record_messages(_INTERFERENCE))

    # Guards against a shard without an owner: no instance can take it over
    # after its sequence row, which numbers the commits, became malformed.
    def test_unreadable_sequence_row_does_not_prevent_a_takeover(self):
        def check_row(content):
            world = self.make_world()
            world.owners[-1].act()
            self.write_rows(world, {sequence_row(0): content})
            world.submit(build_single_step())
            _act(world, 2)
            # An unreadable row fences the owner off; a readable row of another
            # commit does not.
            if not world.owners[-1].is_fenced_off:
                self.assert_runs_a_new_job(world)
            world.take_over()
            self.assert_runs_a_new_job(world)

        self.run_examples(
            check_row, record_messages(_SEQUENCE), runs=4 * _EXAMPLES
        )


class PlatformRowsTest(_MalformedRowsTestCase):
    # Guards against a shard without an owner: each owner that reads the worker
    # entry stops.
    def test_unreadable_worker_entry_affects_no_job(self):
        def check_entry(content):
            world = self.make_world()
            listed = parse_worker('other', content)
            _act(world, 2)
            if not isinstance(listed, Malformed):
                shard_updates.update_worker(world.owners[-1].state, listed)
            self.assert_runs_a_new_job(world)

        self.run_examples(check_entry, json_messages(_WORKER_ENTRY))

    # Guards against an owner that stops at a malformed configuration, or that
    # no longer reads newer ones.
    def test_unreadable_configuration_affects_no_job(self):
        def check_configuration(content):
            world = self.make_world()
            earlier_job_id = world.submit(build_single_step())
            _act(world, 2)
            state = world.owners[-1].state
            catalogue = parse_catalogue(content)
            if not isinstance(catalogue, Malformed):
                catalogue.match_queue('h', '/a/')
                shard_updates.update_catalogue(state, catalogue)
            _act(world, 2)
            self.assertIn(earlier_job_id, state.job_by_id)

        self.run_examples(check_configuration, json_messages(_CONFIGURATION))

"""Story 5, rows of the store: none that cannot be read ends an owner."""

import unittest

import msgspec
from hypothesis import given

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.learned_model_store import LearnedModelStore
from ragwortfield.engine.row_names import (
    cancel_row,
    job_row,
    layout_row,
    member_row,
    owner_row,
    interference_row,
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
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.records import (
    CancellationRecord,
    JobRecord,
    LayoutRecord,
    MemberRecord,
    OwnerRecord,
    InterferenceRecord,
    ProgressRecord,
    SequenceRecord,
    TaskPhase,
    TaskRecord,
    InterferenceWeightRecord,
    encode_record,
)
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.malformed_inputs import (
    json_messages,
    play,
    record_messages,
)
from ragwortfield.tests.shard_world import (
    ShardWorld,
    build_dependent_steps,
    build_single_step,
)

_RUNS = 30
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
_LEARNED = InterferenceRecord(
    weights=(
        InterferenceWeightRecord(
            serving='a', filler='f', amount=1.5, variance=1.5
        ),
    ),
    least_by_image={'a': 2.5},
)
_SEQUENCE = SequenceRecord(epoch=1, number=3)
_ENTRY = msgspec.json.decode(
    encode_worker_entry(ShardWorld().workers.worker_by_id['w0'], 'h:1', _POOL),
)
_CONFIGURATION = msgspec.json.decode(encode_configuration(2, '/a/', _POOL))


def _act(world, rounds=10):
    for _ in range(rounds):
        world.owners[-1].act()
        world.advance(0.1)


class _RowsTest(unittest.TestCase):
    """A shard with an accepted job that has to run."""

    def play(self, test, messages, runs=_RUNS):
        play(given(messages)(test), runs=runs, first_seed=_SEED)

    def shard(self):
        world = ShardWorld(workers=2)
        world.take_over()
        world.accepted_job_by_id[_JOB_ID] = _JOB.job
        return world

    def assert_serves(self, world):
        """A good job that follows runs."""
        job_id = world.submit(build_single_step())
        _act(world)
        runs = [
            entry
            for worker in world.workers.worker_by_id.values()
            for entry in worker.history
            if entry[0] == 'start' and entry[2].job_id == job_id
        ]
        self.assertEqual(len(runs), 1)

    def write(self, world, content_by_name):
        writes = tuple(
            RowWrite(name=name, content=content)
            for name, content in content_by_name.items()
        )
        world.store.commit(Transaction(writes=writes), 1)

    def try_rows(self, content_by_name):
        """Rows met by an owner that loads and by one that follows."""
        for is_loaded in (False, True):
            world = self.shard()
            before = world.submit(build_single_step())
            if is_loaded:
                world.owners[-1].act()
            self.write(world, content_by_name)
            self.assert_serves(world)
            self.assertIn(before, world.owners[-1].state.job_by_id)


class InboxTest(_RowsTest):
    # Guards against a job row that ends each owner which reads it.
    def test_job_row_that_cannot_be_read_harms_no_other_job(self):
        name = job_row(0, _JOB_ID)
        self.play(
            lambda content: self.try_rows({name: content}),
            record_messages(_JOB),
        )

    # Guards against a cancellation row that ends each owner which reads it.
    def test_cancel_row_that_cannot_be_read_harms_no_other_job(self):
        rows = {job_row(0, _JOB_ID): encode_record(_JOB)}
        name = cancel_row(0, _JOB_ID)
        self.play(
            lambda content: self.try_rows({**rows, name: content}),
            record_messages(CancellationRecord(job_id=_JOB_ID)),
        )

    # Guards against a progress row of another shape than its job, at which
    # each owner that loads the shard ends.
    def test_progress_row_that_cannot_be_read_harms_no_other_job(self):
        rows = {job_row(0, _JOB_ID): encode_record(_JOB)}
        name = progress_row(0, _JOB_ID, 0)
        self.play(
            lambda content: self.try_rows({**rows, name: content}),
            record_messages(_PROGRESS),
            runs=10 * _RUNS,
        )


class ClusterRowsTest(_RowsTest):
    def take(self, name, content):
        """A view of the deployment that has met a row, then a good one."""
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

    # Guards against a member's row that hides all other members.
    def test_member_row_that_cannot_be_read_hides_nobody(self):
        self.play(
            lambda content: self.take(member_row('bad'), content),
            record_messages(_MEMBER),
        )

    # Guards against an owner's row that hides members and other owners.
    def test_owner_row_that_cannot_be_read_hides_nobody(self):
        self.play(
            lambda content: self.take(owner_row(0), content),
            record_messages(_OWNER),
        )

    # Guards against a layout row that hides members and owners.
    def test_layout_row_that_cannot_be_read_hides_nobody(self):
        self.play(
            lambda content: self.take(layout_row(), content),
            record_messages(_LAYOUT),
        )

    # Guards against a division into no shards, under which accepted jobs are
    # looked for nowhere.
    def test_layout_without_shards_is_not_taken(self):
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


class OwnRowsTest(_RowsTest):
    # Guards against learned weights that end an owner, or that it cannot
    # write back.
    def test_learned_row_that_cannot_be_read_leaves_the_model_usable(self):
        def try_row(content):
            store = FakeRowStore()
            write = RowWrite(name=interference_row(0), content=content)
            store.commit(Transaction(writes=(write,)), 1)
            model = InterferenceModel()
            rows = LearnedModelStore(shard=0, store=store, owner_version=1)
            rows.restore(model)
            model.weight('a', 'f')
            encode_record(model.record())

        self.play(try_row, record_messages(_LEARNED))

    # Guards against a shard that nobody owns after its row of the last commit
    # was spoilt.
    def test_sequence_row_that_cannot_be_read_stops_no_take_over(self):
        def try_row(content):
            world = self.shard()
            world.owners[-1].act()
            self.write(world, {sequence_row(0): content})
            world.submit(build_single_step())
            _act(world, 2)
            # A row of the right form but of another commit deposes nobody.
            if not world.owners[-1].is_fenced_off:
                self.assert_serves(world)
            world.take_over()
            self.assert_serves(world)

        self.play(try_row, record_messages(_SEQUENCE), runs=4 * _RUNS)


class PlatformRowsTest(_RowsTest):
    # Guards against a worker's entry that ends each owner which reads it.
    def test_entry_that_cannot_be_read_harms_no_other_worker(self):
        def try_entry(content):
            world = self.shard()
            listed = parse_worker('other', content)
            _act(world, 2)
            if not isinstance(listed, Malformed):
                shard_updates.update_worker(world.owners[-1].state, listed)
            self.assert_serves(world)

        self.play(try_entry, json_messages(_ENTRY))

    # Guards against a configuration that ends an owner, or that keeps the
    # next one from being read.
    def test_configuration_that_cannot_be_read_harms_no_job(self):
        def try_configuration(content):
            world = self.shard()
            before = world.submit(build_single_step())
            _act(world, 2)
            state = world.owners[-1].state
            catalogue = parse_catalogue(content)
            if not isinstance(catalogue, Malformed):
                catalogue.match_queue('h', '/a/')
                shard_updates.update_catalogue(state, catalogue)
            _act(world, 2)
            self.assertIn(before, state.job_by_id)

        self.play(try_configuration, json_messages(_CONFIGURATION))

"""Lines of the log about an owner that does not answer."""

import unittest
from unittest import mock

from ragwortfield.engine import ownership
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.ownership import OwnershipManager, SchedulerIdentity
from ragwortfield.engine.row_names import owner_row
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowWrite, Transaction
from ragwortfield.scheduling.records import (
    MemberRecord,
    OwnerRecord,
    encode_record,
)
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.log_capture import capture_log_lines

_OWNS = {'owns': True, 'epoch': 7}
_DENIES = {'owns': False, 'epoch': 0}
_SILENT = Unavailable(reason='lost:1 did not answer within 0.40 s')
_CHECK_INTERVAL_S = 0.3


class OwnerDoubtsTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.answer = _SILENT
        self.hears = {'hears': False}
        self.store = FakeRowStore()
        self.cluster = ClusterView(shards=1)
        for member_id in ('own', 'witness'):
            self.cluster.member_by_id[member_id] = MemberRecord(
                instance_id=member_id,
                incarnation='1',
                address=f'{member_id}:1',
                data_centre='dc',
                cores=1,
            )
        record = OwnerRecord(
            instance_id='lost', incarnation='0', epoch=7, address='lost:1'
        )
        write = RowWrite(name=owner_row(0), content=encode_record(record))
        self.store.commit(Transaction(writes=(write,)), 1)
        self.cluster.apply_owner_row(self.store.row_by_name[owner_row(0)])
        clock = mock.Mock(monotonic=lambda: self.now)
        loop = mock.Mock(spawn=self.spawn)
        for patch in (
            mock.patch.object(ownership, 'time', clock),
            mock.patch.object(ownership, 'gevent', loop),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        self.manager = OwnershipManager(
            identity=SchedulerIdentity(
                instance_id='own', incarnation='1', address='own:1'
            ),
            cluster=self.cluster,
            store=self.store,
            peers=mock.Mock(call=self.call, is_unreachable=lambda _: False),
            lease_s=4,
            make_runner=lambda _term: mock.Mock(
                is_stopped=False, store_outage_s=mock.Mock(return_value=0)
            ),
        )

    def spawn(self, work, *arguments):
        # The greenlet that asks the former owner is not run.
        is_witness = work == self.manager._ask_witness
        return mock.Mock(value=work(*arguments) if is_witness else None)

    def call(self, _address, name, _body, _timeout_s):
        return self.hears if name == 'hears' else self.answer

    def check(self, seconds):
        """Check the owner for some time; return the lines about it."""
        with capture_log_lines() as lines:
            end = self.now + seconds
            while self.now < end:
                self.manager._check_owner(0)
                self.now += _CHECK_INTERVAL_S
        return lines

    def select_lines(self, lines, event):
        return [line for line in lines if f'event={event} ' in line]

    # Guards against a log that does not tell why a shard changed its owner:
    # what was wrong with the one before, since when, and who said so.
    def test_takeover_is_preceded_by_the_wait_and_its_cause(self):
        lines = self.check(1.2)
        wait, taken = self.select_lines(lines, 'owner_doubted')
        for line in (wait, taken):
            self.assertIn('shard=0 owner=lost epoch=7', line)
            self.assertIn('failure="lost:1 did not answer within 0.40 s"', line)
        self.assertIn('doubted_s=0 ', wait)
        self.assertIn('decision=wait', wait)
        self.assertIn('witnesses=witness:not_reached', taken)
        self.assertIn('decision=taken_over', taken)
        (takeover,) = self.select_lines(lines, 'takeover')
        self.assertIn('epoch=8', takeover)
        self.assertIn('former=lost former_epoch=7 former_term_s=', takeover)

    def test_owner_that_denies_ownership_is_told_as_such(self):
        self.answer = _DENIES
        lines = self.check(1.2)
        line = self.select_lines(lines, 'owner_doubted')[-1]
        self.assertIn('failure="it denies ownership"', line)

    # Guards against a log that grows with each check of an owner that only this
    # instance does not reach.
    def test_owner_that_a_witness_reaches_is_logged_once(self):
        self.hears = {'hears': True}
        lines = self.check(30)
        decisions = [line.rpartition('=')[2] for line in lines]
        self.assertEqual(decisions, ['wait', 'keep'])
        self.assertIn('witnesses=witness:reached', lines[-1])
        self.answer = _OWNS
        (line,) = self.check(1)
        self.assertIn('event=owner_confirmed shard=0 owner=lost epoch=7', line)
        self.answer = _SILENT
        self.assertEqual(len(self.check(30)), 2)

    def test_wait_of_an_isolated_instance_is_logged(self):
        self.hears = Unavailable(reason='silent')
        lines = self.select_lines(self.check(2), 'owner_doubted')
        self.assertIn('witnesses=witness:no_reply', lines[-1])
        self.assertIn('decision=wait_isolated', lines[-1])

    # Guards against a takeover that fails without a trace: the store is away.
    def test_takeover_without_an_answer_of_the_store_is_logged_once(self):
        self.store.is_down = True
        lines = self.check(3)
        decisions = [line.rpartition('=')[2] for line in lines]
        self.assertEqual(decisions, ['wait', 'dropped'])

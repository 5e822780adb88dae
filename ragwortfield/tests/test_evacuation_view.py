"""An instance knows the evacuated zones, and up to when it knows them."""

import math
import re
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import gevent

from ragwortfield.engine import evacuation_view
from ragwortfield.engine.change_feed import ChangeFeed
from ragwortfield.engine.evacuation_view import EvacuationView
from ragwortfield.engine.ownership import OwnershipTerm
from ragwortfield.engine.row_names import COMMON_PARTITION
from ragwortfield.platform.document_parsing import parse_catalogue
from ragwortfield.platform.table_names import (
    OPERATOR_TABLE,
    find_evacuated_zone,
    is_configuration_row,
)
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import RowName, RowWrite, Transaction
from ragwortfield.scheduling.ownership_confirmation import OwnershipConfirmation
from ragwortfield.scheduling.timing_bounds import MAX_CLOCK_DRIFT, MS_PER_S
from ragwortfield.settings.scheduler import (
    SchedulerSettings,
    load_scheduler_settings,
)
from ragwortfield.settings.toml_parsing import SettingsError
from ragwortfield.soak.processes import render_template
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.tests.scheduler_node_world import build_scheduler_node

_MAX_AGE_S = 1.8
#: Longest wait for the greenlets of a test, in seconds.
_TIMEOUT_S = 5
_ROOT = Path(__file__).parents[2]
_SETTINGS = """
[instance]
id = "i"
data_centre = "dc"
region = "region"
host = "h"

[listen]
callers = "h:1"
health = "h:2"
peer_port = 3

[dependencies]
store = "h:4"

[bounds]
"""


class _YieldingStore(FakeRowStore):
    """Store that lets other greenlets run; long polls can get no answer."""

    def __init__(self):
        super().__init__()
        self.is_poll_silent = False

    def write(self, key, content=b'{}', partition=COMMON_PARTITION):
        """Write or remove a row of the operator."""
        name = RowName(table=OPERATOR_TABLE, partition=partition, key=key)
        write = RowWrite(name=name, content=content)
        self.commit(Transaction(writes=(write,)), 1)

    def read(self, table, partition, **keys):
        gevent.sleep(0.001)
        return super().read(table, partition, **keys)

    def wait_for_changes(self, table, after, wait_s):
        gevent.sleep(0.001)
        if wait_s and self.is_poll_silent:
            gevent.sleep(_TIMEOUT_S)
            return Unavailable(reason='no answer')
        return super().wait_for_changes(table, after, wait_s)


class _AwaitingCase(unittest.TestCase):
    def await_true(self, condition):
        end = time.monotonic() + _TIMEOUT_S
        while not condition() and time.monotonic() < end:
            gevent.sleep(0.005)
        self.assertTrue(condition())


class EvacuationViewTest(_AwaitingCase):
    def setUp(self):
        self.store = _YieldingStore()
        self.view = EvacuationView(
            find_zone=find_evacuated_zone, max_age_s=_MAX_AGE_S
        )
        self.feed = ChangeFeed(
            store=self.store,
            table=OPERATOR_TABLE,
            list_partitions=lambda: (COMMON_PARTITION,),
            on_rows=lambda rows, is_complete: self.view.apply_rows(
                rows, is_complete=is_complete
            ),
            on_outcome=lambda _failure: None,
            on_progress=self.view.record_progress,
        )

    def follow(self):
        self.addCleanup(gevent.spawn(self.feed.run).kill)
        self.await_true(lambda: self.view.known_until() > 0)

    def apply(self, *keys, is_complete=False):
        page = self.store.read(OPERATOR_TABLE, COMMON_PARTITION)
        rows = [row for row in page.rows if row.name.key in keys]
        self.view.apply_rows(rows, is_complete=is_complete)

    # Guards against an owner that starts tasks before it has read anything.
    def test_nothing_is_known_before_the_first_read(self):
        self.assertEqual(self.view.known_until(), -math.inf)

    # Guards against other rows that count as evacuations.
    def test_only_the_rows_of_evacuations_count(self):
        self.store.write('config')
        self.store.write('evacuate/')
        self.store.write('evacuate/south', partition='s1')
        self.store.write('evacuate/north/1')
        self.follow()
        self.assertEqual(self.view.zones, {'north/1'})

    # Guards against a zone that stays evacuated, or in service, once its row
    # was removed or written while the feed had lost its history.
    def test_zones_are_read_again_after_the_loss_of_the_history(self):
        self.store.write('evacuate/north')
        self.follow()
        self.store.is_down = True
        gevent.sleep(0.01)
        self.store.write('config')
        self.store.is_down = False
        self.store.history_start_version = self.store.version + 3
        self.store.write('evacuate/north', None)
        self.store.write('evacuate/south')
        self.await_true(lambda: self.view.zones == {'south'})

    # Guards against an answer of the store that arrives after a later one.
    def test_older_row_does_not_replace_a_newer_one(self):
        self.store.write('evacuate/north')
        page = self.store.read(OPERATOR_TABLE, COMMON_PARTITION)
        self.store.write('evacuate/north', None)
        after = page.version
        removal = self.store.wait_for_changes(OPERATOR_TABLE, after, 0)
        self.view.apply_rows(removal.rows, is_complete=False)
        self.view.apply_rows(page.rows, is_complete=False)
        self.assertEqual(self.view.zones, frozenset())

    # Guards against an answer to a call that was sent before the whole table
    # was read: it does not tell of rows that were removed since.
    def test_answer_from_before_a_full_read_is_ignored(self):
        def answer_late(table, after, wait_s):
            page = FakeRowStore.wait_for_changes(
                self.store, table, after, wait_s
            )
            self.store.write('evacuate/north', None)
            self.feed._read_table()
            return page

        self.store.write('config')
        self.feed._version = self.store.version
        self.store.write('evacuate/north')
        with mock.patch.object(
            _YieldingStore, 'wait_for_changes', side_effect=answer_late
        ):
            self.feed.catch_up()
        self.assertEqual(self.view.zones, frozenset())

    # Guards against knowledge from before a suspension that counts as recent.
    def test_suspension_counts_as_age(self):
        self.follow()
        known_until = self.view.known_until()
        boot_time = evacuation_view.get_boot_time
        with mock.patch.object(
            evacuation_view, 'get_boot_time', lambda: boot_time() + 10
        ):
            self.assertLess(self.view.known_until(), known_until - 9)

    # Guards against knowledge that counts as newer than the read that replaced
    # the rows.
    def test_full_read_dates_the_knowledge_back(self):
        self.view.record_progress(0)
        self.apply(is_complete=True)
        self.view.record_progress(1)
        self.assertLess(self.view.known_until(), time.monotonic() - 0.9)


class NodeEvacuationTest(_AwaitingCase):
    """An instance follows the operator and owns shards."""

    def setUp(self):
        self.store = _YieldingStore()
        self.node = build_scheduler_node(
            self.store,
            operator_table=OPERATOR_TABLE,
            is_configuration_row=is_configuration_row,
            find_evacuated_zone=find_evacuated_zone,
            parse_catalogue=parse_catalogue,
        )

    def make_runner(self):
        runner = self.node._make_runner(
            OwnershipTerm(
                shard=0,
                epoch=1,
                confirmation=OwnershipConfirmation(stored_at=1),
                version=1,
                previous_lease_s=4,
                is_process_bound=True,
            )
        )
        self.node.ownership.runner_by_shard[0] = runner
        return runner

    def follow(self):
        for loop, arguments in (
            (self.node._follow_operator, ()),
            (
                self.node._evacuations.catch_up_when_due,
                (self.node._operator_feed.catch_up,),
            ),
        ):
            self.addCleanup(gevent.spawn(loop, *arguments).kill)

    # Guards against a new owner that starts tasks before its instance has read
    # the operator's rows, and against one that is not told of them.
    def test_runner_follows_the_zones_from_its_creation(self):
        self.store.write('evacuate/north')
        state = self.make_runner().state
        self.assertFalse(state.are_evacuations_current(time.monotonic()))
        self.follow()
        self.await_true(lambda: state.evacuated_zones == {'north'})
        self.assertTrue(state.are_evacuations_current(time.monotonic()))
        self.store.write('evacuate/north', None)
        self.await_true(lambda: not state.evacuated_zones)

    # Guards against a successor on the same instance that starts without what
    # the instance knows.
    def test_later_runner_knows_the_zones_at_once(self):
        self.store.write('evacuate/north')
        self.make_runner()
        self.follow()
        self.await_true(lambda: self.node._evacuations.zones)
        self.assertEqual(self.make_runner().state.evacuated_zones, {'north'})

    # Guards against starts that wait for good because an answer to the feed
    # was lost.
    def test_held_start_gets_the_zones_beside_a_silent_feed(self):
        # A table that was never written is read as a whole, again and again.
        self.store.write('config')
        runner = self.make_runner()
        self.follow()
        self.await_true(lambda: self.node._evacuations.known_until() > 0)
        self.store.is_poll_silent = True
        gevent.sleep(_MAX_AGE_S + 1.1)
        self.store.write('evacuate/north')
        state = runner.state
        state.held_starts.append(mock.sentinel.binding)
        self.assertEqual(state.evacuated_zones, frozenset())
        runner._refresh_evacuations()
        self.assertFalse(state.are_evacuations_current(time.monotonic()))
        self.await_true(lambda: state.evacuated_zones == {'north'})
        self.assertTrue(state.are_evacuations_current(time.monotonic()))


class SettingsTest(unittest.TestCase):
    """The allowed age of the knowledge follows from the platform's time."""

    def load(self, bounds):
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'instance.toml'
            path.write_text(_SETTINGS + bounds, encoding='utf-8')
            return load_scheduler_settings(str(path))

    # Guards against starts that take effect later than the platform allows.
    def test_age_and_start_window_fit_into_the_time_allowed(self):
        for bounds in ('', 'evacuate_ms = 5000', 'evacuate_ms = 3000'):
            settings = self.load(bounds)
            self.assertIsInstance(settings, SchedulerSettings, bounds)
            latest_start_s = settings.bounds.longest_evacuation_age_s() + (
                settings.bounds.start_window_s / (1 - MAX_CLOCK_DRIFT)
            )
            allowed_s = settings.bounds.evacuate_ms / MS_PER_S
            self.assertLessEqual(latest_start_s, allowed_s)

    # Guards against an instance that would never start a task.
    def test_unusable_bounds_are_refused(self):
        for bounds in ('evacuate_ms = 2040', 'evacuation_age_s = 0'):
            problems = self.load(bounds)
            self.assertIsInstance(problems, SettingsError, bounds)
            key = bounds.split(maxsplit=1)[0]
            self.assertIn(f"'bounds.{key}' is", problems.text())

    # Guards against settings that cannot be read where the platform states no
    # time for evacuations.
    def test_template_leaves_out_a_time_that_is_not_stated(self):
        template = (_ROOT / 'deploy/settings.template.toml').read_text()
        for bounds, expected_ms in (({}, None), ({'evacuate_ms': 4000}, 4000)):
            fields = {'bounds': bounds}
            lines = render_template(template.split('[bounds]')[1], fields)
            found = re.findall(r'^evacuate_ms = (\d+)$', lines, re.MULTILINE)
            expected = [] if expected_ms is None else [str(expected_ms)]
            self.assertEqual(found, expected)
            self.assertNotIn('{{', lines)

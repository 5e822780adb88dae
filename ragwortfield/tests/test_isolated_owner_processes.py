"""Tests of owners that are cut off, with real processes and sockets."""

import re
import signal
import tempfile
import time
import unittest
from datetime import datetime, timedelta
from pathlib import Path
from random import Random
from unittest import mock

import gevent

from ragwortfield.engine.row_names import PROGRESS_TABLE, SEQUENCE_TABLE
from ragwortfield.platform.fake_servers import encode_job
from ragwortfield.platform.faulty_servers import FaultKind
from ragwortfield.soak.callers import CallerPool
from ragwortfield.soak.cuts import Links, cut
from ragwortfield.soak.deployment import SoakDeployment
from ragwortfield.soak.jobs import JobBook
from ragwortfield.soak.processes import build
from ragwortfield.soak.run_history import list_overlaps
from ragwortfield.soak.site import small_site
from ragwortfield.soak.timeline import Timeline
from ragwortfield.testing.indexed_row_store import IndexedRowStore

_ROOT = Path(__file__).parent.parent.parent
_SEED = 1
_START_TIMEOUT_S = 30
#: Lasting jobs of six tasks each, so that most of the eight workers are busy.
_LASTING_JOBS = 5
_TIMEOUT_S = 20
#: Duration of an isolation. A successor takes over after about 2 s, and
#: starts elsewhere what it holds for over 7.6 s later.
_ISOLATION_S = 16
_SETTLE_S = 4
_TERM_EVENTS = 'event=(takeover|shard_left|former_owner_answered|lease_lapsed)'
#: Pause of an owner; its successor has started the tasks elsewhere by then.
_PAUSE_S = 10.5
#: Time after which an owner starts nothing on workers that it does not reach,
#: in seconds.
_SILENCE_S = 2
#: Time for which the first successor of an isolated owner lives.
_SUCCESSOR_TERM_S = 1


def is_written(transaction, table, key_prefix):
    return any(
        write.name.table == table and write.name.key.startswith(key_prefix)
        for write in transaction.writes
    )


def set_of_names(instances):
    return {instance.name for instance in instances}


class IsolatedOwnerTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        output = (self.folder / 'events.jsonl').open('w')
        self.addCleanup(output.close)
        self.timeline = Timeline(output=output, started_at=time.monotonic())
        self.jobs = JobBook(random=Random(_SEED))
        site = small_site(_ISOLATION_S)
        self.deployment = SoakDeployment(
            site=site,
            role=build(_ROOT),
            folder=self.folder,
            random=Random(_SEED),
            timeline=self.timeline,
            jobs=self.jobs,
        )
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.assertTrue(self.deployment.wait_until_serving(_START_TIMEOUT_S))
        gevent.sleep(_SETTLE_S)
        self.links = Links(deployment=self.deployment)
        self.callers = CallerPool(
            site=site,
            jobs=self.jobs,
            random=Random(_SEED),
            list_instances=lambda: self.deployment.instances,
            on_exchange=lambda exchange, job: None,
        )
        self.callers.submit_lasting(_LASTING_JOBS)
        expected = sum(sum(job.counts) for job in self.jobs.list_accepted())
        self.assertTrue(expected)
        self.await_true(lambda: self.count_runs() == expected)
        self.started_at = time.monotonic()

    def await_true(self, condition):
        deadline = time.monotonic() + _TIMEOUT_S
        while not condition() and time.monotonic() < deadline:
            gevent.sleep(0.05)
        self.assertTrue(condition())

    def count_runs(self):
        return sum(
            len(host.worker.run_by_key) for host in self.deployment.workers
        )

    def await_other_owner(self, *former):
        """Wait for an owner that is none of these, and return it."""
        self.await_true(
            lambda: (
                set_of_names(self.deployment.list_owners())
                - set_of_names(former)
            )
        )
        return self.deployment.list_owners()[0]

    def list_busiest(self):
        """List half of the workers that run tasks, the busiest first."""
        busy = [
            host for host in self.deployment.workers if host.worker.run_by_key
        ]
        busy.sort(key=lambda host: len(host.worker.run_by_key), reverse=True)
        return busy[: (len(busy) + 1) // 2]

    def assert_nothing_ran_twice(self):
        overlaps = list_overlaps(self.deployment.workers)
        self.assertEqual(overlaps, [], self.describe(overlaps))

    def describe(self, overlaps):
        """Describe overlaps and owners, in seconds since all tasks ran."""
        lines = [f'{len(overlaps)} tasks ran twice']
        for earlier, later in overlaps:
            until = min(earlier.ended_at, later.ended_at, time.monotonic())
            lines.append(
                f'{earlier.key.job_id[:4]}.{earlier.key.index} on '
                f'{earlier.worker_id} (token {earlier.fencing_token}) and on '
                f'{later.worker_id} (token {later.fencing_token}) from '
                f'{self.since_start(later.started_at)} to '
                f'{self.since_start(until)} s'
            )
        for host in self.deployment.workers:
            leases = host.worker.last_lease_at_by_token
            lines.append(
                f'{host.worker.worker_id} last lease by token: '
                + ', '.join(
                    f'{token} at {self.since_start(at)} s'
                    for token, at in leases.items()
                )
            )
        return '\n'.join((*lines, *self.list_terms()))

    def list_terms(self):
        """List what the instances have logged of their terms as owners."""
        started_at = datetime.now() - timedelta(
            seconds=time.monotonic() - self.started_at
        )
        return [f'terms since {started_at:%H:%M:%S.%f}'] + [
            f'{instance.name}: {line}'
            for instance in self.deployment.instances
            for line in (self.folder / f'{instance.name}.log')
            .read_text()
            .splitlines()
            if re.search(_TERM_EVENTS, line)
        ]

    def since_start(self, at):
        return round(at - self.started_at, 2)

    # Guards against two runs of one task after a change of owner: the owner is
    # cut from the store and its peers, and goes on extending the leases of half
    # of the busy workers, which its successor does not reach.
    def test_isolated_owner_that_keeps_workers_runs_nothing_twice(self):
        (owner,) = self.deployment.list_owners()
        kept = self.list_busiest()
        with cut(self.links.isolation(owner, kept), FaultKind.SILENT):
            gevent.sleep(_ISOLATION_S)
        gevent.sleep(_SETTLE_S)
        self.assertNotEqual(self.deployment.list_owners(), [owner])
        self.assert_nothing_ran_twice()

    # Guards against two runs of one task after two changes of owner in quick
    # succession: the first successor of an isolated owner is killed a second
    # after its takeover, and the second one takes its end for the end of all.
    def test_second_successor_of_an_isolated_owner_runs_nothing_twice(self):
        (owner,) = self.deployment.list_owners()
        kept = self.list_busiest()
        with cut(self.links.isolation(owner, kept), FaultKind.SILENT):
            cut_at = time.monotonic()
            successor = self.await_other_owner(owner)
            gevent.sleep(_SUCCESSOR_TERM_S)
            successor.kill()
            successor.start()
            self.await_other_owner(owner, successor)
            gevent.sleep(cut_at + _ISOLATION_S - time.monotonic())
        gevent.sleep(_SETTLE_S)
        self.assert_nothing_ran_twice()

    # Guards against two runs of a gang: an owner is paused while the commit of
    # a binding is answered, and sends the starts with new deadlines when it
    # goes on, to workers that its successor does not reach and has given up.
    def test_owner_paused_before_it_sends_starts_runs_nothing_twice(self):
        (owner,) = self.deployment.list_owners()
        kept = [
            host
            for host in self.deployment.workers
            if not host.worker.run_by_key
        ][:2]
        paused_at = []
        commit = IndexedRowStore.commit

        def pause_at_binding(store, transaction, timeout_s):
            outcome = commit(store, transaction, timeout_s)
            is_binding = is_written(transaction, SEQUENCE_TABLE, '')
            if is_binding and is_written(
                transaction, PROGRESS_TABLE, job.job_id
            ):
                paused_at.append(time.monotonic())
                owner.send(signal.SIGSTOP)
            return outcome

        with cut(self.links.reserve(owner, kept), FaultKind.SILENT):
            gevent.sleep(_SILENCE_S)
            job = self.jobs.create(self.deployment.site.workloads[-1])
            body = encode_job(
                'sleep 100', job.counts, long_lived=True, gang=True
            )
            with mock.patch.object(IndexedRowStore, 'commit', pause_at_binding):
                gevent.spawn(self.callers.request, 0, 'POST', job, body)
                self.await_true(lambda: paused_at)
            with cut(self.links.around(owner)):
                gevent.sleep(paused_at[0] + _PAUSE_S - time.monotonic())
                owner.send(signal.SIGCONT)
                gevent.sleep(_SETTLE_S)
        gevent.sleep(_SETTLE_S)
        self.assert_nothing_ran_twice()

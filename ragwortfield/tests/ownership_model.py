"""Model of ownership: owners that lack the store or workers, or are paused.

The owners take over, answer their successors, decide, commit and send with the
project's own code; the model supplies the clock, the store, the workers and the
faults. Nothing tells an owner that it was replaced but what it reads itself.
"""

from contextlib import contextmanager
from unittest import mock

from ragwortfield.core.resources import Resources
from ragwortfield.engine import (
    former_owner_calls,
    ownership,
    ownership_keeper,
    worker_loops,
)
from ragwortfield.engine.cluster_view import ClusterView, KnownOwner
from ragwortfield.engine.former_owner_calls import (
    answer_as_former_owner,
    ask_former_owner,
)
from ragwortfield.engine.ownership import OwnershipManager, SchedulerIdentity
from ragwortfield.engine.owner_statistics import OwnerStatistics
from ragwortfield.engine.ownership_keeper import OwnershipKeeper
from ragwortfield.engine.row_names import owner_row
from ragwortfield.engine.shard_committer import CommitResult
from ragwortfield.engine.worker_loops import WorkerLoops
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseReport,
    OrderRefused,
    Refusal,
    StartRun,
)
from ragwortfield.scheduling import commits, leases, worker_reports
from ragwortfield.scheduling.fence_refusals import (
    ignore_refusals,
    record_fence_refusal,
    take_claiming_workers,
)
from ragwortfield.scheduling.records import OwnerRecord, decode_record
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_task_workers import FakeTaskWorker
from ragwortfield.tests.shard_world import (
    SHARD,
    STOP_S,
    ShardOwner,
    ShardWorld,
    build_single_step,
)

#: Longest time between two rounds of an owner, in seconds.
_ROUND_S = 0.5
#: Time without a round after which an owner reads its row, in seconds, as
#: ``ShardRunner`` does.
_OWNERSHIP_CHECK_S = 0.7
#: Longest time until an owner learns a change of its row from the feed of
#: changes, in seconds, while it reaches the store.
_FEED_DELAY_S = 3
#: Speeds of the workers' clocks; the first worker has the slowest one.
_CLOCK_RATES = (0.98, 1.0, 0.99)
#: Time for which the first owner runs before the first event, in seconds.
_FIRST_TERM_S = 5
#: Longest time from the acknowledgement of a cancellation to a start, in
#: seconds: the age of an owner's inbox and the start window by a slow clock,
#: with a margin for rounding.
_MAX_START_AFTER_CANCEL_S = (
    TimingBounds().inbox_age_s + TimingBounds().start_window_s / 0.98 + 0.01
)
#: Time after the end of all faults within which each task has to run, and each
#: run of a cancelled job has to be over, in seconds: the longest lease that a
#: former owner may have left, and the time that owners wait for its end.
MAX_RECOVERY_S = 20
#: Age from which on an owner renews the confirmation by the store, in seconds,
#: as ``OwnershipKeeper`` does.
_CONFIRMATION_AGE_S = 0.5
_NO_GREENLETS = mock.Mock()
#: Steps of a round of an owner, in their order. A process can be paused before
#: each of them.
STAGES = (
    'read_owner_row',
    'use_owner_row',
    'save_electorate',
    'poll_changes',
    'create_lease_orders',
    'send_lease_orders',
    'apply_reports',
    'decide',
    'send_commit',
    'apply_commit',
    'send_orders',
)


class InstanceStore:
    """The store as one instance reaches it."""

    def __init__(self, store):
        self._store = store
        self.is_reachable = True
        self.is_next_commit_held_up = False
        self.is_next_answer_lost = False

    def read(self, table, partition, **options):
        if not self.is_reachable:
            return Unavailable(reason='cut off from the store')
        return self._store.read(table, partition, **options)

    def wait_for_changes(self, table, after, wait_s):
        if not self.is_reachable:
            return Unavailable(reason='cut off from the store')
        return self._store.wait_for_changes(table, after, wait_s)

    def commit(self, transaction, timeout_s):
        if not self.is_reachable:
            return Unavailable(reason='cut off from the store')
        lost = Unavailable(reason='no response', is_effect_possible=True)
        if self.is_next_commit_held_up:
            self.is_next_commit_held_up = False
            self._store.delayed_transactions.append(transaction)
            return lost
        outcome = self._store.commit(transaction, timeout_s)
        if self.is_next_answer_lost:
            self.is_next_answer_lost = False
            return lost
        return outcome


class InstanceView:
    """The world as one instance reaches it."""

    def __init__(self, world):
        self._world = world
        self.store = InstanceStore(world.store)
        self.unaware_s = world.unaware_s
        self.catalogue = world.catalogue
        self.unlisted_ids = world.unlisted_ids

    @property
    def now(self):
        return self._world.now

    @property
    def workers(self):
        return self._world.workers

    def set_clock(self, reading):
        """Let the program read another time; ``None`` for the present one."""
        self._world.clock_reading = reading


class ModelOwner(ShardOwner):
    """
    Owner whose rounds can be interrupted between any two of their steps.

    It also serves as the runner of the shard for the project's code that takes
    over and that answers the successor.
    """

    shard = SHARD

    def __init__(self, *, view, term, identity):
        super().__init__(
            world=view,
            epoch=term.epoch,
            version=term.version,
            previous_lease_s=term.previous_lease_s,
            is_process_bound=term.is_process_bound,
        )
        self.state.confirmation = term.confirmation
        self.keeper = OwnershipKeeper(
            shard=SHARD,
            state=self.state,
            store=view.store,
            owner_version=term.version,
            on_replaced=self._leave,
        )
        self.electorate_store = self.keeper._electorate_store
        self.identity = identity
        self.is_paused = False
        self.has_ended = False
        self.are_orders_held_up = False
        self.are_answers_lost = False
        # Arguments of the question to the former owner, until it is answered.
        self.question = None
        self._due_stages = []
        self._last_round_at = 0
        # Since when it has run and reached the store without a break.
        self._following_since = 0
        self._is_read_due = False
        self._owner_row_read = None
        self._orders = []
        self._answers = []
        self._commit_result = None
        self._commit_sent_at = 0

    @property
    def is_stopped(self):
        return self.is_fenced_off

    @property
    def was_loaded(self):
        return self.is_loaded

    @property
    def is_running(self):
        return not (self.is_fenced_off or self.is_paused or self.has_ended)

    def start(self):
        """Do nothing: the first round loads the shard."""

    def stop(self, _reason):
        self.is_fenced_off = True

    def owner_version(self):
        return self.committer.owner_version

    def act(self, is_renewing_leases=True):
        """Run a whole round, or load the shard."""
        if not self.is_running:
            return
        if not self.is_loaded:
            self.load()
            return
        self._due_stages = list(STAGES)
        self._run_due_stages()

    def pause(self, stage):
        """Run a round up to a stage and pause there."""
        if self.is_loaded:
            self._due_stages = list(STAGES)
            self._is_read_due = stage == 'use_owner_row'
            self._run_due_stages(until=stage)
        self.is_paused = True

    def resume(self):
        """Go on where the pause has begun, and run a round at once."""
        self.is_paused = False
        self._run_due_stages()
        self.act()

    def send(self, order):
        """Send a start or stop order."""
        workers = self.world.workers
        if not isinstance(order, StartRun):
            return self._call(workers.stop, order)
        return self._call(workers.start, order)

    def _leave(self):
        self.is_fenced_off = True

    def _run_due_stages(self, until=None):
        while self._due_stages and self._due_stages[0] != until:
            if not self.is_running:
                return
            getattr(self, f'_{self._due_stages.pop(0)}')()

    def _read_owner_row(self):
        now = self.world.now
        elapsed_s = now - self._last_round_at if self._last_round_at else 0
        self._last_round_at = now
        self._owner_row_read = None
        is_break = elapsed_s > _OWNERSHIP_CHECK_S
        if is_break or not self.world.store.is_reachable:
            self._following_since = now
        is_feed_due = now - self._following_since >= _FEED_DELAY_S
        if is_feed_due:
            self._following_since = now
        is_old = now - self.state.confirmation.stored_at >= _CONFIRMATION_AGE_S
        is_due = is_break or is_feed_due or is_old or self._is_read_due
        self._is_read_due = False
        if self.state.is_newer_owner_claimed or is_due:
            claiming_workers = take_claiming_workers(self.state)
            name = owner_row(SHARD)
            page = self.world.store.read(name.table, name.partition)
            self._owner_row_read = (claiming_workers, now, page)

    def _use_owner_row(self):
        if self._owner_row_read is None:
            return
        claiming_workers, sent_at, page = self._owner_row_read
        with mock.patch.object(
            self.keeper,
            '_store',
            _FinishedRead(view=self.world, sent_at=sent_at, page=page),
        ):
            is_owner = self.keeper.read_owner_row()
        if isinstance(is_owner, Unavailable):
            self.is_fenced_off = bool(claiming_workers)
        elif is_owner:
            ignore_refusals(self.state, claiming_workers, self.world.now)

    def _save_electorate(self):
        self.keeper._save_electorate()

    def _create_lease_orders(self):
        self._orders = [
            leases.create_lease_order(self.state, worker, self.world.now)
            for worker in self.state.worker_by_id.values()
        ]

    def _send_lease_orders(self):
        self._answers = [
            (order, self._call(self.world.workers.renew_lease, order))
            for order in self._orders
        ]

    def _apply_reports(self):
        for order, report in self._answers:
            worker = self.state.worker_by_id[order.worker_id]
            if isinstance(report, LeaseReport):
                worker_reports.apply_report(
                    self.state,
                    worker,
                    report,
                    self.world.now,
                    acknowledged_to_worker=leases.get_sent_acknowledgement(
                        order, report
                    ),
                )
                continue
            leases.record_missing_report(worker)
            is_fenced = (
                isinstance(report, OrderRefused)
                and report.refusal == Refusal.FENCED
            )
            if is_fenced:
                record_fence_refusal(self.state, worker, self.world.now)

    def _decide(self):
        SchedulingRounds().decide(
            self.state,
            self.world.now,
            wall_time=self.world.now,
            is_binding_allowed=True,
        )

    def _send_commit(self):
        self._commit_result = None
        if self.batch is None:
            self.batch = commits.collect_batch_with_term(
                self.state, self.committer.number + 1, self.world.now
            )
        if self.batch is None:
            commits.acknowledge_if_clean(self.state)
        else:
            self._commit_sent_at = self.world.now
            self._commit_result = self.committer.try_commit(self.batch)

    def _apply_commit(self):
        if self._commit_result == CommitResult.FENCED:
            self.is_fenced_off = True
        if self._commit_result == CommitResult.DONE:
            batch = self.batch
            self.batch = None
            commits.apply_committed(
                self.state, batch, self.world.now, sent_at=self._commit_sent_at
            )

    def _send_orders(self):
        orders = self.state.orders
        self.state.orders = []
        loops = WorkerLoops(
            state=self.state,
            workers=_OrderPort(owner=self),
            statistics=OwnerStatistics(),
            on_update=bool,
        )
        for order in orders:
            loops._send(order)

    def _call(self, method, order):
        workers = self.world.workers
        workers.is_order_delayed = _always if self.are_orders_held_up else bool
        workers.is_order_answer_lost = (
            _always if self.are_answers_lost else bool
        )
        outcome = super()._call(method, order)
        workers.is_order_delayed = bool
        workers.is_order_answer_lost = bool
        return outcome


class _OrderPort:
    """Port to the workers for the code that sends the orders of an owner."""

    def __init__(self, *, owner):
        self._owner = owner

    def start(self, order):
        return self._owner.send(order)

    def stop(self, order):
        return self._owner.send(order)

    def pace(self, _order):
        return Unavailable(reason='paces are not modelled')


class _FinishedRead:
    """Read of the store that was sent and answered before a pause."""

    def __init__(self, *, view, sent_at, page):
        self._view = view
        self._page = page
        view.set_clock(sent_at)

    def read(self, _table, _partition):
        self._view.set_clock(None)
        return self._page


class OwnershipWorld(ShardWorld):
    """
    One shard with three workers, and the instances that have owned it.

    ``owners`` lists them by epoch. A lasting task and a short one run from the
    beginning, both on the first worker, which is called the busy one.
    """

    def __init__(self):
        super().__init__(workers=0, is_process_checked=True)
        # Faults are events, and functions without names cannot be copied.
        self.store.is_answer_lost = bool
        self.store.is_commit_delayed = bool
        self.workers.is_order_answer_lost = bool
        self.workers.is_order_delayed = bool
        self.clock_reading = None
        self.cancelled_at_by_id = {}
        self.instance_count = 0
        self.owner_row_written_at = 0
        # Workers that only owners in their zone reach; empty without a cut.
        self.zone = set()
        for number, clock_rate in enumerate(_CLOCK_RATES):
            self.add_model_worker(number, clock_rate)
        self.take_over()
        self.newest.unreachable_worker_ids = {'w1', 'w2'}
        self.lasting_job_id = self.submit_lasting_job()
        self.short_job_id = self.submit(build_single_step())
        self.wait(_FIRST_TERM_S / 2)
        self.owners[-1].unreachable_worker_ids = set()
        self.wait(_FIRST_TERM_S / 2)
        assert len(self.busy_worker.run_by_key) == 2

    def __repr__(self):
        # Part of the representation of workers, which must not contain an
        # address, so that equal states have equal keys.
        return 'OwnershipWorld'

    @property
    def busy_worker(self):
        return self.workers.worker_by_id['w0']

    @property
    def newest(self):
        return self.owners[-1]

    def read_clock(self):
        return self.now

    def monotonic(self):
        """Read the clock in place of the function of that name."""
        return self.now if self.clock_reading is None else self.clock_reading

    @contextmanager
    def clocks(self):
        """Let the project's code read the time of the model."""
        with (
            mock.patch.object(former_owner_calls, 'time', self),
            mock.patch.object(ownership_keeper, 'time', self),
            mock.patch.object(worker_loops, 'time', self),
            # The answer to the question of a new owner is an event of its own.
            mock.patch.multiple(ownership, time=self, gevent=_NO_GREENLETS),
        ):
            yield

    def key(self):
        """Return a value that is equal only for equal states."""
        return repr(
            (
                self.now,
                self.workers,
                self.store,
                self.cancelled_at_by_id,
                sorted(self.zone),
                self.owner_row_written_at,
                [_describe(owner) for owner in self.owners],
            ),
        )

    def add_model_worker(self, number, clock_rate):
        worker_id = f'w{number}'
        self.workers.worker_by_id[worker_id] = FakeTaskWorker(
            worker_id=worker_id,
            clock=self.read_clock,
            capacity=Resources(cpu=4, memory_mb=100, accelerators=0),
            clock_rate=clock_rate,
            born_at=self.now - 1,
            stop_s=STOP_S,
        )

    def wait(self, seconds):
        """Let time pass in which all owners that run act in turn."""
        rounds = -(-seconds // _ROUND_S)
        for _ in range(int(rounds)):
            self.advance(seconds / rounds)
            self.now = round(self.now, 6)
            with self.clocks():
                for owner in self.owners:
                    owner.act()
            self.check()

    def take_over(self, *, is_answer_lost=False):
        """
        Let a new instance replace the owner; it acts in the next round.

        :param is_answer_lost: whether the instance does not learn that it has
            become the owner.
        """
        self.instance_count += 1
        instance_id = f'i{self.instance_count}'
        view = InstanceView(self)
        view.store.is_next_answer_lost = is_answer_lost
        identity = SchedulerIdentity(
            instance_id=instance_id, incarnation='1', address=instance_id
        )
        cluster = ClusterView(shards=1)
        known = self._get_known_owner()
        if known is not None:
            cluster.owner_by_shard[SHARD] = known
        manager = OwnershipManager(
            identity=identity,
            cluster=cluster,
            store=view.store,
            peers=None,
            lease_s=TimingBounds().requested_lease_s(),
            make_runner=lambda term: ModelOwner(
                view=view, term=term, identity=identity
            ),
        )
        with self.clocks():
            manager._take_over(
                SHARD,
                'model',
                known_version=0 if known is None else known.version,
            )
        self.owner_row_written_at = self.now
        runner = manager.runner_by_shard.get(SHARD)
        if runner is not None:
            runner.question = known
            self.owners.append(runner)
            runner.unreachable_worker_ids = set(self.zone)

    def take_over_blindly(self):
        """Replace the owner by one that does not reach the busy worker."""
        self.take_over()
        self.newest.unreachable_worker_ids |= {'w0'}

    def isolate_zone(self):
        """
        Cut the busy worker and the newest owner off from all the others.

        They go on reaching each other. Owners to come are on the other side.
        """
        self._isolate({'w0'})

    def isolate_majority(self):
        """Cut two of the workers and the newest owner off likewise."""
        self._isolate({'w0', 'w1'})

    def shrink_zone(self):
        """Let a worker of an isolated majority leave the zone."""
        self.zone = {'w0'}
        for owner in self.owners:
            others = {'w1', 'w2'}
            is_inside = owner.unreachable_worker_ids == {'w2'}
            owner.unreachable_worker_ids = others if is_inside else {'w0'}

    def replace_isolated_owner(self):
        self.isolate_zone()
        self.take_over()

    def replace_isolated_majority(self):
        self.isolate_majority()
        self.take_over()

    def submit_lasting_job(self):
        return self.submit(build_single_step(is_long_lived=True))

    def cut_store(self):
        self.newest.world.store.is_reachable = False

    def cut_busy_worker(self):
        self.newest.unreachable_worker_ids |= {'w0'}

    def answer_successor(self):
        """Let the newest owner get an answer of the one before it."""
        known = self.newest.question
        self.newest.question = None
        peers = mock.Mock(call=self._answer_as_peer)
        with self.clocks():
            ask_former_owner(peers, self.newest, known)

    def is_answer_possible(self):
        known = self.newest.question
        if known is None:
            return False
        former = self._find_owner(known.record.address)
        return former is None or former.has_ended or not former.is_paused

    def end_process(self):
        """End the process of the newest owner; its successor learns that."""
        self.newest.has_ended = True
        self.take_over()
        self.answer_successor()

    def end_former_process(self):
        """End the process before the newest owner, which learns that."""
        self._find_former().has_ended = True
        self.answer_successor()

    def is_former_running(self):
        former = self._find_former()
        return former is not None and former.is_running

    def find_oldest(self):
        """Return the oldest owner that acts; ``None`` if there is none."""
        for owner in self.owners:
            if owner.is_running:
                return owner
        return None

    def replace_and_answer(self):
        """Let a new owner get an answer of the newest one."""
        self.take_over()
        if self.is_answer_possible():
            self.answer_successor()

    def pause(self, stage):
        """Pause the oldest owner that acts within a round."""
        self.pause_owner(self.find_oldest(), stage)

    def pause_owner(self, owner, stage):
        with self.clocks():
            owner.pause(stage)

    def resume_owner(self, owner):
        with self.clocks():
            owner.resume()
        self.check()

    def resume(self):
        for owner in self.owners:
            if owner.is_paused:
                self.resume_owner(owner)

    def restart_busy_worker(self):
        self.busy_worker.restart()
        self.check()

    def hold_up_calls(self):
        """Let the next commit and all orders of the newest owner be late."""
        self.newest.world.store.is_next_commit_held_up = True
        self.newest.are_orders_held_up = True

    def carry_out_late(self):
        """Carry out what was held up, also past a cut or a takeover."""
        for owner in self.owners:
            owner.are_orders_held_up = False
        self.store.apply_delayed()
        self.workers.apply_delayed()
        self.check()

    def end_tasks(self):
        """Let the short task end as done on all workers that run it."""
        for worker in self.workers.worker_by_id.values():
            for key in tuple(worker.run_by_key):
                if key.job_id == self.short_job_id:
                    worker.end(key, EndKind.DONE)

    def is_move_possible(self):
        return self.newest.is_running and self.is_short_task_running()

    def is_short_task_running(self):
        return any(
            key.job_id == self.short_job_id
            for worker in self.workers.worker_by_id.values()
            for key in worker.run_by_key
        )

    def is_disturbed(self):
        return bool(self.zone) or any(
            owner.is_paused
            or owner.unreachable_worker_ids
            or not owner.world.store.is_reachable
            for owner in self.owners
        )

    def cancel(self, job_id):
        super().cancel(job_id)
        if job_id in self.cancelled_job_ids:
            self.cancelled_at_by_id.setdefault(job_id, self.now)

    def cancel_lasting_job(self):
        self.cancel(self.lasting_job_id)

    def heal(self):
        """End all faults; processes that have ended stay so."""
        self.zone = set()
        for owner in self.owners:
            owner.world.store.is_reachable = True
            owner.world.store.is_next_commit_held_up = False
            owner.unreachable_worker_ids = set()
            owner.are_answers_lost = False
            owner.world.store.is_next_answer_lost = False
        for worker in self.workers.worker_by_id.values():
            worker.is_reachable = True
        self.carry_out_late()
        self.resume()

    def check_recovery(self):
        """
        End all faults and check that everything that can run does.

        :raises AssertionError: if a task has no run, or a cancelled job has
            one, after ``MAX_RECOVERY_S``.
        """
        self.heal()
        deadline = self.now + MAX_RECOVERY_S
        while not self._is_recovered():
            if not self.newest.is_running:
                self.take_over()
            assert self.now < deadline, (
                f'{self._list_running_jobs()} run {MAX_RECOVERY_S} s after the '
                f'end of all faults, expected {self._list_expected_jobs()}'
            )
            self.wait(_ROUND_S)

    def check(self):
        """
        Check the histories of all workers.

        :raises AssertionError: as ``ShardWorld.check``, and if a task of a
            cancelled job was started long after the acknowledgement.
        """
        super().check()
        for worker in self.workers.worker_by_id.values():
            for change, at, key, _, _ in worker.history:
                cancelled_at = self.cancelled_at_by_id.get(key.job_id, at)
                is_late = at > cancelled_at + _MAX_START_AFTER_CANCEL_S
                assert change != 'start' or not is_late, (
                    f'{key} started {at - cancelled_at} s after its '
                    'cancellation was acknowledged'
                )

    def _isolate(self, worker_ids):
        self.zone = worker_ids
        self.newest.world.store.is_reachable = False
        self.newest.unreachable_worker_ids = (
            self.workers.worker_by_id.keys() - worker_ids
        )

    def _get_known_owner(self):
        row = self.store.row_by_name.get(owner_row(SHARD))
        if row is None:
            return None
        return KnownOwner(
            record=decode_record(row.content, OwnerRecord),
            version=row.version,
            # An instance that follows the table sees the row at once.
            seen_at=self.owner_row_written_at,
        )

    def _find_former(self):
        """Return the owner that the newest one has not heard of yet."""
        known = self.newest.question
        return known and self._find_owner(known.record.address)

    def _find_owner(self, address):
        for owner in self.owners:
            if owner.identity.address == address:
                return owner
        return None

    def _answer_as_peer(self, address, _name, body, _timeout_s):
        runner = self._find_owner(address)
        is_process_new = runner is not None and runner.has_ended
        return answer_as_former_owner(
            address,
            '2' if is_process_new else '1',
            None if is_process_new else runner,
            epoch=body['epoch'],
            former_epoch=body['former_epoch'],
        )

    def _is_recovered(self):
        """
        Tell whether all lasting tasks run that should, and no others.

        Short tasks need not run: they may be done.
        """
        running = self._list_running_jobs()
        expected = self._list_expected_jobs()
        return expected <= running and not running & set(
            self.cancelled_at_by_id
        )

    def _list_running_jobs(self):
        return {
            key.job_id
            for worker in self.workers.worker_by_id.values()
            for key in worker.run_by_key
        }

    def _list_expected_jobs(self):
        return {
            job_id
            for job_id, job in self.accepted_job_by_id.items()
            if job.steps[0].is_long_lived
            and job_id not in self.cancelled_at_by_id
        }


def _always():
    return True


def _describe(owner):
    left_out = {'world', 'committer', 'keeper', '_store', '_state'}
    left_out |= {'electorate_store', '_electorate_store', '_on_replaced'}
    parts = (
        owner,
        owner.world.store,
        owner.committer,
        owner.keeper,
        owner.electorate_store,
    )
    return [
        (name, member)
        for part in parts
        for name, member in part.__dict__.items()
        if name not in left_out
    ]

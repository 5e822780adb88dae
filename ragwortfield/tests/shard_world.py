"""A shard with racing owners, a faulty store and faulty workers."""

import random

from ragwortfield.core.resources import Resources
from ragwortfield.engine.row_names import (
    PROGRESS_TABLE,
    cancel_row,
    inbox_table,
    job_row,
    owner_row,
    part_of,
    sequence_row,
)
from ragwortfield.engine.shard_committer import ShardCommitter, CommitResult
from ragwortfield.engine.shard_loading import load_rows, apply_inbox_rows
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowWrite,
    Transaction,
    TransactionDone,
)
from ragwortfield.ports.task_worker import (
    EndKind,
    LeaseReport,
    OrderRefused,
    PaceRun,
    StartRun,
)
from ragwortfield.scheduling import (
    commits,
    shard_updates,
    interference_control,
    leases,
    worker_reports,
)
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.scheduling.catalogue import Catalogue, Pool, Queue
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.records import (
    CancellationRecord,
    JobRecord,
    OwnerRecord,
    SequenceRecord,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.job_status import JobStatus, get_job_status
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.tests.shard_checks import check_gangs, check_placement

SHARD = 0
ATTEMPTS = 2
#: The world's time at its start, in seconds.
_START = 100.0
#: Racks on which its workers stand in turn; each is also a label.
_RACKS = 2
CATALOGUE = Catalogue(
    version=1,
    queue_by_name={
        'queue': Queue(
            name='queue',
            host='host',
            path_prefix='/q/',
            pool='pool',
            attempts=ATTEMPTS,
            stretch=2,
            slack_s=1,
        ),
    },
    pool_by_name={'pool': Pool(name='pool', is_guarded=True)},
)


class Owner:
    """One instance that believes to own the shard."""

    def __init__(self, *, world, epoch, version, previous_lease_s):
        self.world = world
        self.state = ShardState(
            epoch=epoch,
            owner_since=world.now,
            bounds=TimingBounds(unaware_s=world.unaware_s),
            previous_lease_s=previous_lease_s,
            catalogue=world.catalogue,
        )
        self.commits = ShardCommitter(
            shard=SHARD,
            store=world.store,
            owner_version=version,
            sequence_version=version,
        )
        self.batch = None
        self.is_loaded = False
        self.is_fenced_off = False
        self.feed_version = 0
        self.load_steps = 0

    def load(self):
        """Read the shard; false when the store does not answer."""
        inbox = self.world.store.read(inbox_table(SHARD), part_of(SHARD))
        progress = self.world.store.read(PROGRESS_TABLE, part_of(SHARD))
        if isinstance(inbox, Unavailable) or isinstance(progress, Unavailable):
            return
        self._update_workers()
        steps = load_rows(
            self.state,
            inbox.rows,
            progress.rows,
            now=self.world.now,
            wall_time=self.world.now,
        )
        self.load_steps = len(list(steps))
        self.feed_version = inbox.version
        self.is_loaded = True

    def act(self, is_renewing_leases=True):
        """One round: feed, reports, decisions, commit, orders."""
        if self.is_fenced_off:
            return
        if not self.is_loaded:
            self.load()
            return
        self._poll_changes()
        if is_renewing_leases:
            self._renew_leases()
        # Every act is a whole round, however little time has passed.
        SchedulingRounds().decide(
            self.state,
            self.world.now,
            wall_time=self.world.now,
            is_binding_allowed=True,
        )
        self._commit()
        self._send_orders()
        self.is_fenced_off = self.is_fenced_off or self.state.is_fenced_off

    def _poll_changes(self):
        page = self.world.store.wait_for_changes(
            inbox_table(SHARD),
            self.feed_version,
            0,
        )
        if isinstance(page, Unavailable):
            return
        self.feed_version = page.version
        self._apply_inbox(page.rows)
        self._update_workers()
        shard_updates.update_catalogue(self.state, self.world.catalogue)

    def _apply_inbox(self, rows):
        apply_inbox_rows(
            self.state,
            rows,
            now=self.world.now,
            wall_time=self.world.now,
        )

    def _update_workers(self):
        for worker in self.world.workers.worker_by_id.values():
            shard_updates.update_worker(self.state, worker.listing())

    def _renew_leases(self):
        for row in tuple(self.state.worker_by_id.values()):
            order = leases.create_lease_order(self.state, row, self.world.now)
            report = self.world.workers.renew_lease(order)
            if isinstance(report, LeaseReport):
                worker_reports.apply_report(
                    self.state,
                    row,
                    report,
                    self.world.now,
                    acknowledged_to_worker=order.acknowledged,
                )
                interference_control.apply_readings(
                    self.state, row, self.world.now
                )
                continue
            leases.record_missing_report(row)
            if isinstance(report, OrderRefused):
                self.state.is_fenced_off = True

    def _commit(self):
        if self.batch is None:
            number = self.commits.number + 1
            self.batch = commits.collect_batch(self.state, number)
        if self.batch is None:
            commits.acknowledge_if_clean(self.state)
            return
        verdict = self.commits.try_commit(self.batch)
        if verdict == CommitResult.FENCED:
            self.is_fenced_off = True
        if verdict == CommitResult.DONE:
            batch = self.batch
            self.batch = None
            commits.apply_committed(self.state, batch, self.world.now)

    def _send_orders(self):
        orders = self.state.orders
        self.state.orders = []
        for order in orders:
            if isinstance(order, StartRun):
                outcome = self.world.workers.start(order)
                worker_reports.apply_start_outcome(
                    self.state,
                    order,
                    outcome,
                    self.world.now,
                )
            elif not isinstance(order, PaceRun):
                outcome = self.world.workers.stop(order)
                worker_reports.apply_stop_outcome(self.state, order, outcome)


class ShardWorld:
    """Store, workers, owners and clients, with one clock."""

    def __init__(self, *, workers=3, seed=0):
        self.now = _START
        self.random = random.Random(seed)
        self.unaware_s = 5
        self.catalogue = CATALOGUE
        self.store = FakeRowStore(
            is_answer_lost=lambda: self.is_by_chance(
                self.store_loss_probability
            ),
            is_commit_delayed=lambda: self.is_by_chance(
                self.store_delay_probability
            ),
        )
        self.workers = FakeTaskWorkerControl(
            is_order_answer_lost=lambda: self.is_by_chance(
                self.order_loss_probability
            ),
            is_order_delayed=lambda: self.is_by_chance(
                self.order_delay_probability
            ),
        )
        self.store_loss_probability = 0
        self.store_delay_probability = 0
        self.order_loss_probability = 0
        self.order_delay_probability = 0
        self.owners = []
        self.accepted_job_by_id = {}
        self.cancelled = set()
        self.refused = set()
        for number in range(workers):
            self.add_worker(number)

    def is_by_chance(self, share):
        return share > 0 and self.random.random() < share

    def add_worker(self, number, **terms):
        worker_id = f'w{number}'
        self.workers.worker_by_id[worker_id] = FakeTaskWorker(
            worker_id=worker_id,
            clock=lambda: self.now,
            capacity=Resources(cpu=4, memory_mb=100, accelerators=0),
            labels=('kind', f'rack-{number % _RACKS}'),
            rack=f'rack-{number % _RACKS}',
            clock_rate=self.random.choice((0.98, 0.99, 1.0)),
            born_at=self.now - 1,
            **terms,
        )

    def submit(self, steps, **terms):
        """Hand a job in; the caller learns what is certain."""
        job_id = f'{len(self.accepted_job_by_id) + len(self.refused):016x}'
        job = Job(
            job_id=job_id,
            queue='queue',
            spec='spec',
            steps=steps,
            accepted_at=self.now,
            **terms,
        )
        name = job_row(SHARD, job_id)
        outcome = self.store.commit(
            Transaction(
                expected=(ExpectedVersion(name=name, version=0),),
                writes=(
                    RowWrite(
                        name=name,
                        content=encode_record(
                            JobRecord(
                                job=job,
                                queue=CATALOGUE.queue_by_name['queue'],
                            ),
                        ),
                    ),
                ),
            ),
            1,
        )
        is_refused = isinstance(outcome, Unavailable) and not (
            outcome.is_effect_possible
        )
        if is_refused:
            self.refused.add(job_id)
        else:
            self.accepted_job_by_id[job_id] = job
        return job_id

    def cancel(self, job_id):
        """Cancel a job whose row is there."""
        name = cancel_row(SHARD, job_id)
        content = encode_record(CancellationRecord(job_id=job_id))
        outcome = self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=content),)),
            1,
        )
        if isinstance(outcome, TransactionDone):
            self.cancelled.add(job_id)

    def take_over(self):
        """Let a new owner try to replace the present one."""
        owner = self.store.row_by_name.get(owner_row(SHARD))
        last = self.store.row_by_name.get(sequence_row(SHARD))
        epoch = 1
        previous_lease_s = 0
        if owner is not None:
            record = decode_record(owner.content, OwnerRecord)
            epoch = record.epoch + 1
            previous_lease_s = record.lease_s
        outcome = self.store.commit(
            Transaction(
                expected=(
                    ExpectedVersion(
                        name=owner_row(SHARD),
                        version=0 if owner is None else owner.version,
                    ),
                    ExpectedVersion(
                        name=sequence_row(SHARD),
                        version=0 if last is None else last.version,
                    ),
                ),
                writes=(
                    RowWrite(
                        name=owner_row(SHARD),
                        content=encode_record(
                            OwnerRecord(
                                instance_id=f'i{epoch}',
                                incarnation=str(epoch),
                                epoch=epoch,
                                lease_s=TimingBounds().requested_lease_s(),
                            ),
                        ),
                    ),
                    RowWrite(
                        name=sequence_row(SHARD),
                        content=encode_record(
                            SequenceRecord(epoch=epoch, number=0),
                        ),
                    ),
                ),
            ),
            1,
        )
        if isinstance(outcome, TransactionDone):
            self.owners.append(
                Owner(
                    world=self,
                    epoch=epoch,
                    version=outcome.version,
                    previous_lease_s=previous_lease_s,
                ),
            )

    def advance(self, seconds):
        """Let time pass; leases may lapse."""
        self.now += seconds
        for worker in self.workers.worker_by_id.values():
            worker.expire_lease()

    def end_runs(self, kind, count=1):
        """End tasks that run."""
        for worker in self.workers.worker_by_id.values():
            for key in tuple(worker.run_by_key)[:count]:
                # Tasks that last end as failed, however often.
                ends_failed = self.is_lasting(key)
                worker.end(key, EndKind.FAILED if ends_failed else kind)

    def is_lasting(self, key):
        """Whether a task runs until its job is cancelled."""
        return self.accepted_job_by_id[key.job_id].steps[key.step].is_long_lived

    def end_incomplete_gangs(self):
        """Break off members of gangs that are not all at work."""
        place_by_key = {
            key: worker
            for worker in self.workers.worker_by_id.values()
            for key in worker.run_by_key
        }
        for key, worker in place_by_key.items():
            step = self.accepted_job_by_id[key.job_id].steps[key.step]
            members = {key._replace(index=one) for one in range(step.count)}
            if step.is_gang and not members <= place_by_key.keys():
                worker.end(key, EndKind.GANG_BROKEN)

    def mark_all_ready(self):
        """Let everything that runs be at work, or done with its start."""
        for worker in self.workers.worker_by_id.values():
            for run in worker.run_by_key.values():
                run.percent = 100

    def run_to_completion(self, rounds=60):
        """Heal everything and let the newest owner finish all work."""
        self.heal()
        if not self.owners or self.owners[-1].is_fenced_off:
            self.take_over()
        for _ in range(rounds):
            for owner in self.owners:
                owner.act()
            self.advance(0.5)
            self.end_runs(EndKind.DONE, count=9)
            self.check()

    def heal(self):
        self.store.is_down = False
        self.store_loss_probability = 0
        self.store_delay_probability = 0
        self.order_loss_probability = 0
        self.order_delay_probability = 0
        self.store.apply_delayed()
        for worker in self.workers.worker_by_id.values():
            worker.is_reachable = True

    def status(self, job_id):
        row = self.owners[-1].state.job_by_id.get(job_id)
        return None if row is None else get_job_status(row)

    def check(self):
        """The promises, as workers have seen them."""
        history = sorted(
            (
                entry
                for worker in self.workers.worker_by_id.values()
                for entry in _spans(worker, self.now)
            ),
            # A run may end in the instant of its start, and the next begin.
            key=lambda span: (span[1], span[2]),
        )
        last_by_key = {}
        failed_by_key = {}
        done_at = {}
        # The order of steps asks for ends, the single run for noted ones: an
        # end that nobody noted may be lost with its worker.
        ended_at = {}
        for key, _, end, kind, _ in history:
            if kind == 'done':
                ended_at[key] = min(ended_at.get(key, end), end)
        for key, start, end, kind, is_noted in history:
            assert key.job_id not in self.refused, f'{key} ran, refused'
            before = last_by_key.get(key)
            assert before is None or before[1] <= start, (
                f'{key} runs twice: {before} and {start}'
            )
            assert key not in done_at, f'{key} started after it was done'
            failed = failed_by_key.get(key, 0)
            is_within = failed < ATTEMPTS or self.is_lasting(key)
            assert is_within, f'{key} started after {failed} failures'
            self._check_order(key, start, ended_at)
            last_by_key[key] = (start, end)
            if kind == 'done' and is_noted:
                done_at[key] = end
            if kind == 'failed' and is_noted:
                failed_by_key[key] = failed + 1
        check_placement(self)
        check_gangs(self)

    def _check_order(self, key, start, ended_at):
        job = self.accepted_job_by_id[key.job_id]
        for earlier in job.steps[key.step].after:
            for index in range(job.steps[earlier].count):
                other = key._replace(step=earlier, index=index)
                assert other in ended_at, f'{key} started before {other}'
                assert ended_at[other] <= start


def build_single_step(count=1, cpu=1.0, **terms):
    """Steps of a simple job."""
    need = Resources(cpu=cpu, memory_mb=1, accelerators=0)
    return (Step(count=count, need=need, estimate_s=1, **terms),)


def build_serving_step(count=1, cpu=1.0):
    """Step of a job whose tasks last and serve users."""
    return build_single_step(
        count=count,
        cpu=cpu,
        is_long_lived=True,
        image='serving',
        latency_target_ms=10,
    )


def build_dependent_steps(first=2, second=2):
    """Steps of a job whose second step waits for the first."""
    need = Resources(cpu=1, memory_mb=1, accelerators=0)
    return (
        Step(count=first, need=need, estimate_s=1),
        Step(count=second, need=need, estimate_s=1, after=(0,)),
    )


def is_finished(status):
    return status in {JobStatus.COMPLETE, JobStatus.FAILED}


def _spans(worker, now):
    """Runs on one worker: key, start, end, kind of end, whether noted."""
    open_by_key = {}
    spans = []
    place_by_run = {}
    for what, at, key, run, detail in worker.history:
        if what == 'start':
            open_by_key[key, run] = at
        elif what in {'end', 'lost'}:
            start = open_by_key.pop((key, run))
            place_by_run[key, run] = len(spans)
            spans.append((key, start, at, detail or 'lost', False))
        elif what == 'noted':
            # A run number may end in two lives; the later one was noted.
            place = place_by_run[key, run]
            spans[place] = (*spans[place][:-1], True)
    spans.extend(
        (key, start, now + 1, 'open', False)
        for (key, _), start in open_by_key.items()
    )
    return spans

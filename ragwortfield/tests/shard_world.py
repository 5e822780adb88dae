"""Simulated shard: competing owners, a faulty store and faulty workers."""

import random

from ragwortfield.core.resources import Resources
from ragwortfield.engine.cancellation_expiry import CancellationExpiry
from ragwortfield.engine.electorate_store import ElectorateStore
from ragwortfield.engine.row_names import (
    PROGRESS_TABLE,
    cancel_row,
    inbox_table,
    job_row,
    owner_row,
    partition_of_shard,
    sequence_row,
)
from ragwortfield.engine.shard_committer import CommitResult, ShardCommitter
from ragwortfield.engine.shard_loading import apply_inbox_rows, load_rows
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
    Refusal,
    StartRun,
)
from ragwortfield.scheduling import (
    commits,
    interference_control,
    leases,
    shard_updates,
    worker_reports,
)
from ragwortfield.scheduling.catalogue import Catalogue, Pool, Queue
from ragwortfield.scheduling.fence_refusals import (
    ignore_refusals,
    record_fence_refusal,
    take_claiming_workers,
)
from ragwortfield.scheduling.former_owner import (
    apply_remaining_run_times,
    compute_remaining_run_times,
    record_stopped_owner,
)
from ragwortfield.scheduling.job import Job, Step
from ragwortfield.scheduling.job_state import RunStage
from ragwortfield.scheduling.job_status import JobStatus, get_job_status
from ragwortfield.scheduling.records import (
    CancellationRecord,
    JobRecord,
    OwnerRecord,
    SequenceRecord,
    decode_record,
    encode_record,
)
from ragwortfield.scheduling.scheduling_rounds import SchedulingRounds
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.task_lifecycle import request_stop
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.testing.fake_row_store import FakeRowStore
from ragwortfield.testing.fake_task_workers import (
    FakeTaskWorker,
    FakeTaskWorkerControl,
)
from ragwortfield.tests.shard_checks import (
    check_gangs,
    check_placement,
    check_speculative_runs,
)

SHARD = 0
ATTEMPTS = 2
#: Simulated time at the start, in seconds.
_START = 100.0
#: Number of racks; workers are assigned to them in turn, and each is also a
#: label.
_RACKS = 2
#: Longest time from the answer to a stop order to the end of the run, in
#: seconds, as platforms state it.
STOP_S = 0.9
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
#: Tasks take several times as long away from their data, so that some wait.
_SETTINGS = SchedulingSettings(
    # A copy of one task is more than the usual share of three workers.
    copy_share=0.5,
    remote_duration_factor=4,
)


class ShardOwner:
    """Instance that considers itself the owner of the shard."""

    def __init__(
        self,
        *,
        world,
        epoch,
        version,
        previous_lease_s,
        is_process_bound,
    ):
        self.world = world
        self.state = ShardState(
            epoch=epoch,
            owner_since=world.now,
            bounds=TimingBounds(unaware_s=world.unaware_s),
            previous_lease_s=previous_lease_s,
            is_process_bound=is_process_bound,
            catalogue=world.catalogue,
            settings=_SETTINGS,
        )
        self.committer = ShardCommitter(
            shard=SHARD,
            store=world.store,
            owner_version=version,
            sequence_version=version,
        )
        self.electorate_store = ElectorateStore(
            shard=SHARD, store=world.store, owner_version=version
        )
        self.batch = None
        self.is_loaded = False
        self.is_fenced_off = False
        self.replaced_at = None
        self.unreachable_worker_ids = set()
        self.feed_version = 0
        self.load_step_count = 0
        # Orders that wait for their turn: times of creation and turn, order.
        self.waiting_orders = []

    def load(self):
        """Load the shard; does nothing if the store does not respond."""
        inbox = self.world.store.read(
            inbox_table(SHARD), partition_of_shard(SHARD)
        )
        progress = self.world.store.read(
            PROGRESS_TABLE, partition_of_shard(SHARD)
        )
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
        self.load_step_count = len(list(steps))
        self.electorate_store.load(self.state)
        self.feed_version = inbox.version
        self.state.inbox_known_until = self.world.now
        self.is_loaded = True

    def act(self, is_renewing_leases=True):
        """
        Load the shard, or run one round once it is loaded.

        A round reads the change feed, renews leases and applies the reports,
        decides, commits and sends orders.

        :param is_renewing_leases: whether the round renews leases.
        """
        if self.is_fenced_off:
            return
        self._confirm_ownership()
        if not self.is_loaded:
            self.load()
            return
        self.electorate_store.save_if_changed(self.state, self.world.now)
        self._poll_changes()
        if is_renewing_leases:
            self._renew_leases()
        # A new SchedulingRounds has every decision due, however little time
        # has passed since the last round.
        SchedulingRounds().decide(
            self.state,
            self.world.now,
            wall_time=self.world.now,
            is_binding_allowed=True,
        )
        self._commit()
        self._send_orders()
        self._check_ownership()

    def make_cancellation_expiry(self):
        return CancellationExpiry(
            shard=SHARD,
            state=self.state,
            store=self.world.store,
            owner_version=self.committer.owner_version,
        )

    def _call(self, method, order):
        if order.worker_id in self.unreachable_worker_ids:
            return Unavailable(reason='cut off', is_effect_possible=True)
        return method(order)

    def _confirm_ownership(self):
        # A replaced owner does not reach the store, so it does not learn of its
        # replacement.
        if self.replaced_at is None and not self.world.store.is_down:
            self.state.confirmation.record_store_call(self.world.now)

    def _check_ownership(self):
        """Leave the shard if a refusal is confirmed by the owner row."""
        if not self.state.is_newer_owner_claimed:
            return
        name = owner_row(SHARD)
        claiming_workers = take_claiming_workers(self.state)
        page = self.world.store.read(name.table, name.partition)
        is_owner = not isinstance(page, Unavailable) and any(
            row.name == name and row.version == self.committer.owner_version
            for row in page.rows
        )
        if is_owner:
            ignore_refusals(self.state, claiming_workers, self.world.now)
        else:
            self.is_fenced_off = True

    def _poll_changes(self):
        page = self.world.store.wait_for_changes(
            inbox_table(SHARD),
            self.feed_version,
            0,
        )
        if isinstance(page, Unavailable):
            return
        self.feed_version = page.version
        self.state.inbox_known_until = self.world.now
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
        for worker_id, worker in self.world.workers.worker_by_id.items():
            if worker_id in self.world.unlisted_ids:
                shard_updates.mark_worker_unlisted(self.state, worker_id)
            else:
                shard_updates.update_worker(self.state, worker.listing())

    def _renew_leases(self):
        for worker in tuple(self.state.worker_by_id.values()):
            order = leases.create_lease_order(
                self.state, worker, self.world.now
            )
            report = self._call(self.world.workers.renew_lease, order)
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
                interference_control.apply_readings(
                    self.state, worker, self.world.now
                )
                continue
            leases.record_missing_report(worker)
            if (
                isinstance(report, OrderRefused)
                and report.refusal == Refusal.FENCED
            ):
                record_fence_refusal(self.state, worker, self.world.now)

    def _commit(self):
        if self.batch is None:
            number = self.committer.number + 1
            self.batch = commits.collect_batch_with_term(
                self.state, number, self.world.now
            )
        if self.batch is None:
            commits.acknowledge_if_clean(self.state)
            return
        result = self.committer.try_commit(self.batch)
        if result == CommitResult.FENCED:
            self.is_fenced_off = True
        if result == CommitResult.DONE:
            batch = self.batch
            self.batch = None
            commits.apply_committed(
                self.state, batch, self.world.now, sent_at=self.world.now
            )

    def _send_orders(self):
        orders = self.state.orders
        self.state.orders = []
        self.waiting_orders.extend(
            (self.world.now, self.world.now + self.world.draw_wait_s(), order)
            for order in orders
        )
        for order, is_withheld in self._take_due_orders():
            if isinstance(order, PaceRun):
                continue
            is_start = isinstance(order, StartRun)
            workers = self.world.workers
            outcome = worker_reports.WITHHELD_ORDER
            if not is_withheld:
                outcome = self._call(
                    workers.start if is_start else workers.stop, order
                )
            apply_outcome = (
                worker_reports.apply_start_outcome
                if is_start
                else worker_reports.apply_stop_outcome
            )
            apply_outcome(self.state, order, outcome, self.world.now)

    def _take_due_orders(self):
        """
        Take the orders whose turn has come.

        :returns: each with whether it is withheld, as ``WorkerLoops`` does with
            orders that have waited while the ownership came in doubt.
        """
        now = self.world.now
        is_confirmed = self.state.confirmation.is_valid(self.state.bounds, now)
        due = [
            (order, created_at < now and not is_confirmed)
            for created_at, due_at, order in self.waiting_orders
            if due_at <= now
        ]
        self.waiting_orders = [
            waiting for waiting in self.waiting_orders if waiting[1] > now
        ]
        return due


class ShardWorld:
    """Simulated store, workers, owners and clients that share one clock."""

    owner_type = ShardOwner
    attempts = ATTEMPTS

    def __init__(
        self, *, workers=3, seed=0, is_process_checked=False, stop_s=0
    ):
        """
        Create the world.

        :param workers: number of workers.
        :param seed: seed of all draws.
        :param is_process_checked: whether orders with a deadline only reach the
            process that they are for, as with the client of the platform's
            workers; otherwise owners behave as after owners of earlier
            versions.
        :param stop_s: time from the answer to a stop order to the end of the
            run, in seconds.
        """
        self.now = _START
        self.stop_s = stop_s
        self.random = random.Random(seed)
        # Owners of earlier versions allowed for 5 s.
        self.unaware_s = TimingBounds().unaware_s if is_process_checked else 5
        self.catalogue = CATALOGUE
        self.store = FakeRowStore(
            is_answer_lost=lambda: self.is_drawn(self.store_loss_probability),
            is_commit_delayed=lambda: self.is_drawn(
                self.store_delay_probability
            ),
        )
        self.workers = FakeTaskWorkerControl(
            is_order_answer_lost=lambda: self.is_drawn(
                self.order_loss_probability
            ),
            is_order_delayed=lambda: self.is_drawn(
                self.order_delay_probability
            ),
            is_process_checked=is_process_checked,
        )
        # Apart from the other draws, so that seeds keep their runs.
        self.fault_random = random.Random(seed)
        self.longest_wait_s = 0
        self.unlisted_ids = set()
        self.store_loss_probability = 0
        self.store_delay_probability = 0
        self.order_loss_probability = 0
        self.order_delay_probability = 0
        self.owners = []
        self.accepted_job_by_id = {}
        # Rows that a test has overwritten with bytes that nothing can decode.
        self.damaged_rows = set()
        self.cancelled_job_ids = set()
        self.refused_job_ids = set()
        for number in range(workers):
            self.add_worker(number)

    def is_drawn(self, probability):
        return probability > 0 and self.random.random() < probability

    def draw_wait_s(self):
        """Return how long an order waits until it reaches its worker."""
        if not self.longest_wait_s:
            return 0
        return self.fault_random.uniform(0, self.longest_wait_s)

    def add_worker(self, number, **options):
        worker_id = f'w{number}'
        self.workers.worker_by_id[worker_id] = FakeTaskWorker(
            worker_id=worker_id,
            clock=lambda: self.now,
            capacity=Resources(cpu=4, memory_mb=100, accelerators=0),
            labels=('kind', f'rack-{number % _RACKS}'),
            rack=f'rack-{number % _RACKS}',
            clock_rate=self.random.choice((0.98, 0.99, 1.0)),
            born_at=self.now - 1,
            stop_s=self.stop_s,
            **options,
        )

    def find_busy_worker(self):
        """Return the only worker on which anything runs."""
        (worker,) = (
            worker
            for worker in self.workers.worker_by_id.values()
            if worker.run_by_key
        )
        return worker

    def submit(self, steps, **options):
        """
        Submit a job.

        A submission whose outcome is unknown counts as accepted: its job may
        run. Only a job that certainly has no row counts as refused.

        :returns: id of the job.
        """
        job_id = (
            f'{len(self.accepted_job_by_id) + len(self.refused_job_ids):016x}'
        )
        job = Job(
            job_id=job_id,
            queue='queue',
            spec='spec',
            steps=steps,
            accepted_at=self.now,
            **options,
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
            self.refused_job_ids.add(job_id)
        else:
            self.accepted_job_by_id[job_id] = job
        return job_id

    def cancel(self, job_id):
        """Write the cancellation of a job."""
        name = cancel_row(SHARD, job_id)
        content = encode_record(CancellationRecord(job_id=job_id))
        outcome = self.store.commit(
            Transaction(writes=(RowWrite(name=name, content=content),)),
            1,
        )
        if isinstance(outcome, TransactionDone):
            self.cancelled_job_ids.add(job_id)

    def hand_over(self):
        """Try to replace the current owner, which answers its successor."""
        former = self.owners[-1] if self.owners else None
        count = len(self.owners)
        self.take_over()
        if former is None or len(self.owners) == count:
            return
        former.is_fenced_off = True
        if former.is_loaded:
            apply_remaining_run_times(
                self.owners[-1].state,
                compute_remaining_run_times(former.state, self.now),
                self.now,
            )
            record_stopped_owner(self.owners[-1].state, former.state.epoch)

    def take_over(self):
        """Try to replace the current owner by a new one."""
        stored_owner = self.store.row_by_name.get(owner_row(SHARD))
        stored_sequence = self.store.row_by_name.get(sequence_row(SHARD))
        epoch = 1
        previous_lease_s = 0
        is_bound = self.workers.is_process_checked
        if stored_owner is not None:
            record = decode_record(stored_owner.content, OwnerRecord)
            epoch = record.epoch + 1
            previous_lease_s = record.lease_s
            is_bound = record.is_process_bound
        outcome = self.store.commit(
            Transaction(
                expected=(
                    ExpectedVersion(
                        name=owner_row(SHARD),
                        version=(
                            0 if stored_owner is None else stored_owner.version
                        ),
                    ),
                    ExpectedVersion(
                        name=sequence_row(SHARD),
                        version=(
                            0
                            if stored_sequence is None
                            else stored_sequence.version
                        ),
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
                                is_process_bound=is_bound,
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
            for owner in self.owners:
                if owner.replaced_at is None:
                    owner.replaced_at = self.now
            self.owners.append(
                self.owner_type(
                    world=self,
                    epoch=epoch,
                    version=outcome.version,
                    previous_lease_s=previous_lease_s,
                    is_process_bound=is_bound,
                ),
            )

    def advance(self, seconds):
        """Advance the clock; workers with an expired lease end their runs."""
        self.now += seconds
        for worker in self.workers.worker_by_id.values():
            worker.expire_lease()

    def end_runs(self, kind, count=1):
        """
        End running tasks on every worker.

        :param kind: how they end; long-lived tasks always end as failed.
        :param count: maximum number of tasks per worker.
        """
        for worker in self.workers.worker_by_id.values():
            for key in tuple(worker.run_by_key)[:count]:
                # A long-lived task is never done, and its failures do not
                # count against the allowed attempts.
                is_long_lived = self.is_task_long_lived(key)
                worker.end(key, EndKind.FAILED if is_long_lived else kind)

    def end_all_but_first(self):
        """End the running tasks as done, except the first one of each step."""
        for worker in self.workers.worker_by_id.values():
            for key in tuple(worker.run_by_key):
                worker.run_by_key[key].percent = 1
                if key.index and not self.is_task_long_lived(key):
                    worker.end(key, EndKind.DONE)

    def find_definition(self, key):
        """Return the step of a task as its job was accepted."""
        return self.accepted_job_by_id[key.job_id].steps[key.step]

    def is_task_long_lived(self, key):
        """Tell whether a task runs until its job is cancelled."""
        return self.find_definition(key).is_long_lived

    def end_incomplete_gangs(self):
        """End running members of gangs of which other members do not run."""
        worker_by_key = {
            key: worker
            for worker in self.workers.worker_by_id.values()
            for key in worker.run_by_key
        }
        for key, worker in worker_by_key.items():
            step = self.accepted_job_by_id[key.job_id].steps[key.step]
            members = {key._replace(index=index) for index in range(step.count)}
            if step.is_gang and not members <= worker_by_key.keys():
                worker.end(key, EndKind.GANG_BROKEN)

    def move_runs(self, count):
        """Let the newest owner stop running tasks, as for a move."""
        state = self.owners[-1].state
        running = [
            task
            for worker in state.worker_by_id.values()
            for task in worker.run_by_key.values()
            if task.stage == RunStage.RUNNING and not task.is_stop_wanted
        ]
        for task in running[:count]:
            request_stop(state, task, self.now)

    def mark_all_ready(self):
        """Set every run as started completely."""
        for worker in self.workers.worker_by_id.values():
            for run in worker.run_by_key.values():
                run.percent = 100

    def run_to_completion(self, rounds=60):
        """Clear all faults and let the newest owner finish all jobs."""
        self.clear_faults()
        if not self.owners or self.owners[-1].is_fenced_off:
            self.take_over()
        for _ in range(rounds):
            for owner in self.owners:
                owner.act()
            self.advance(0.5)
            self.end_runs(EndKind.DONE, count=9)
            self.check()

    def clear_faults(self):
        self.store.is_down = False
        self.store_loss_probability = 0
        self.store_delay_probability = 0
        self.order_loss_probability = 0
        self.order_delay_probability = 0
        self.workers.unhealthy_ids.clear()
        self.longest_wait_s = 0
        self.unlisted_ids.clear()
        self.store.apply_delayed()
        for worker in self.workers.worker_by_id.values():
            worker.is_reachable = True

    def status(self, job_id):
        job_state = self.owners[-1].state.job_by_id.get(job_id)
        return None if job_state is None else get_job_status(job_state)

    def check(self):
        """
        Check the invariants of a shard against the histories of all workers.

        :raises AssertionError: if a task ran twice at a time, or more often
            than twice if its step is speculative; again after it was done, more
            often than its attempts allow, before the steps that it depends on
            were done, or although its job was refused; or if a placement or a
            gang violates its constraints.
        """
        intervals = sorted(
            (
                interval
                for worker in self.workers.worker_by_id.values()
                for interval in _list_run_intervals(worker, self.now)
            ),
            # A run may start and end at the same instant, and the next run may
            # start then too; so the end is part of the sort key.
            key=lambda interval: (interval[1], interval[2]),
        )
        last_by_key = {}
        failed_by_key = {}
        done_at = {}
        # A dependent step may start after any end as done. Only an end that the
        # owner has acknowledged rules out another run: an end that was not
        # acknowledged may be lost with its worker.
        ended_at = {}
        for key, _, end, kind, _ in intervals:
            if kind == 'done':
                ended_at[key] = min(ended_at.get(key, end), end)
        for key, start, *_ in intervals:
            self._check_dependencies(key, start, ended_at)
        # Runs of speculative steps are checked by check_speculative_runs.
        for key, start, end, kind, acknowledged_at in (
            interval
            for interval in intervals
            if not self.find_definition(interval[0]).is_speculative
        ):
            is_acknowledged = acknowledged_at is not None
            previous = last_by_key.get(key)
            assert previous is None or previous[1] <= start, (
                f'{key} runs twice: {previous} and {start}'
            )
            assert key not in done_at, f'{key} started after it was done'
            failed = failed_by_key.get(key, 0)
            is_attempt_allowed = failed < ATTEMPTS or self.is_task_long_lived(
                key
            )
            assert is_attempt_allowed, (
                f'{key} started after {failed} failures of {ATTEMPTS} allowed'
            )
            last_by_key[key] = (start, end)
            if kind == 'done' and is_acknowledged:
                done_at[key] = end
            if kind == 'failed' and is_acknowledged:
                failed_by_key[key] = failed + 1
        check_speculative_runs(self, intervals)
        check_placement(self)
        check_gangs(self)

    def _check_dependencies(self, key, start, ended_at):
        assert key.job_id not in self.refused_job_ids, (
            f'{key} ran, though its job was refused'
        )
        job = self.accepted_job_by_id[key.job_id]
        for dependency in job.steps[key.step].after:
            for index in range(job.steps[dependency].count):
                required = key._replace(step=dependency, index=index)
                assert required in ended_at, (
                    f'{key} started before {required} was done'
                )
                assert ended_at[required] <= start, (
                    f'{key} started at {start}, before {required} was done at '
                    f'{ended_at[required]}'
                )


def build_single_step(count=1, cpu=1.0, **options):
    """Build the steps of a job with one step."""
    need = Resources(cpu=cpu, memory_mb=1, accelerators=0)
    return (Step(count=count, need=need, estimate_s=1, **options),)


def build_serving_step(count=1, cpu=1.0):
    """Build the step of a job of long-lived tasks that serve users."""
    return build_single_step(
        count=count,
        cpu=cpu,
        is_long_lived=True,
        image='serving',
        latency_target_ms=10,
    )


def build_dependent_steps(first=2, second=2):
    """Build two steps of which the second depends on the first."""
    need = Resources(cpu=1, memory_mb=1, accelerators=0)
    return (
        Step(count=first, need=need, estimate_s=1),
        Step(count=second, need=need, estimate_s=1, after=(0,)),
    )


def is_finished(status):
    return status in {JobStatus.COMPLETE, JobStatus.FAILED}


def _list_run_intervals(worker, now):
    """
    List the runs on a worker.

    :returns: for each run its task, start, end, kind of end, and when the owner
        has acknowledged the end; ``None`` if it has not.
    """
    started_at_by_run = {}
    intervals = []
    position_by_run = {}
    for change, at, key, run, detail in worker.history:
        if change == 'start':
            started_at_by_run[key, run] = at
        elif change in {'end', 'lost'}:
            start = started_at_by_run.pop((key, run))
            position_by_run[key, run] = len(intervals)
            intervals.append((key, start, at, detail or 'lost', None))
        elif change == 'noted':
            # A worker that was restarted may run and end the same run number
            # again; the later end is the one that was acknowledged.
            position = position_by_run[key, run]
            intervals[position] = (*intervals[position][:-1], at)
    intervals.extend(
        (key, start, now + 1, 'open', None)
        for (key, _), start in started_at_by_run.items()
    )
    return intervals

"""Instance of the job scheduler: its components and background loops."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import gevent

from ragwortfield.adapters.json_codec import Malformed
from ragwortfield.core.client_limits import ClientLimits
from ragwortfield.engine.change_feed import ChangeFeed, read_all_rows
from ragwortfield.engine.cluster_view import ClusterView
from ragwortfield.engine.evacuation_view import EvacuationView
from ragwortfield.engine.job_explanations import JobExplanations
from ragwortfield.engine.job_request_handler import (
    JobRequestHandler,
    SubmitOutcome,
    Unknown,
)
from ragwortfield.engine.ownership import (
    OwnershipManager,
    OwnershipTerm,
    SchedulerIdentity,
)
from ragwortfield.engine.row_names import (
    CLUSTER_TABLE,
    COMMON_PARTITION,
    compute_worker_limits,
    is_owner_row,
    layout_row,
    member_row,
    partition_of_shard,
    shard_of_worker,
)
from ragwortfield.engine.shard_committer import COMMIT_TIMEOUT_S, ShardCommitter
from ragwortfield.engine.shard_loading import (
    WorkerParser,
    WorkerRegistry,
    list_usable_workers,
)
from ragwortfield.engine.shard_runner import ShardRunner
from ragwortfield.engine.shard_sizing import PoolSizeMonitor, choose_shard_count
from ragwortfield.engine.store_health import StoreHealth
from ragwortfield.engine.supervisor import Supervisor
from ragwortfield.engine.wall_clock import WallClock
from ragwortfield.log import event
from ragwortfield.peering.rpc import CallBody, PeerRpc
from ragwortfield.ports.approvals import ApprovalService
from ragwortfield.ports.platform import Unavailable
from ragwortfield.ports.row_store import (
    ExpectedVersion,
    RowName,
    RowStore,
    RowWrite,
    StoredRow,
    Transaction,
)
from ragwortfield.ports.task_worker import TaskWorkerControl
from ragwortfield.report.scheduler_metrics import SchedulerMetrics
from ragwortfield.scheduling.catalogue import Catalogue
from ragwortfield.scheduling.job import Job
from ragwortfield.scheduling.job_outcomes import count_outcomes
from ragwortfield.scheduling.job_sizes import RecentSizes
from ragwortfield.scheduling.job_status import summarise_shard
from ragwortfield.scheduling.records import (
    LayoutRecord,
    MemberRecord,
    encode_record,
)
from ragwortfield.scheduling.scheduling_settings import SchedulingSettings
from ragwortfield.scheduling.shard_state import ShardState
from ragwortfield.scheduling.timing_bounds import TimingBounds
from ragwortfield.types import Seconds, WallTime, WorkerId

#: Interval at which the size of the worker pool is observed before the layout
#: exists, in seconds.
_POOL_OBSERVATION_INTERVAL_S: Seconds = 0.5
#: Interval of the check whether the layout is known, in seconds.
_LAYOUT_POLL_S: Seconds = 0.05
#: Longest store outage for which this instance still accepts callers, in
#: seconds; after it, callers are sent to other instances.
_MAX_STORE_OUTAGE_S: Seconds = 1
#: Pause before a failed call or loop is retried, in seconds.
_RETRY_S: Seconds = 0.2
#: Pause before a change feed is restarted after an unexpected error, in
#: seconds; a restart reads the whole table.
_FEED_RESTART_PAUSE_S: Seconds = 1
#: Interval at which the offset of the wall clock is sampled, in seconds.
_CLOCK_SAMPLE_INTERVAL_S: Seconds = 1
_MS_PER_S = 1000

CatalogueParser = Callable[[bytes], Catalogue | Malformed]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformTables:
    """
    Names of the platform's tables and functions that read their rows.

    :param operator_table: table into which the operator writes.
    :param worker_table: table in which workers register.
    :param is_configuration_row: tells whether a row of the operator's table
        holds the configuration.
    :param find_evacuated_zone: returns the zone that a row of the operator's
        table evacuates; empty for any other row.
    :param parse_catalogue: parses the configuration.
    :param parse_worker: parses the entry of a worker.
    """

    operator_table: str
    worker_table: str
    is_configuration_row: Callable[[RowName], bool]
    find_evacuated_zone: Callable[[RowName], str]
    parse_catalogue: CatalogueParser
    parse_worker: WorkerParser


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerSettings:
    """
    Settings of an instance as the owner of shards.

    :param bounds: timing bounds in force.
    :param scheduling: settings of the scheduling decisions.
    """

    bounds: TimingBounds = field(default_factory=TimingBounds)
    scheduling: SchedulingSettings = field(default_factory=SchedulingSettings)


class SchedulerNode:
    """
    Instance of the job scheduler.

    :param identity: name, incarnation and address of this instance.
    :param data_centre: data centre of this instance.
    :param cores: number of its CPU cores.
    :param store: the platform's store.
    :param make_workers: creates the calls to workers of one owner of a shard.
    :param approval_service: service that approves workers for some queues.
    :param table_names: tables of the platform.
    :param owner_settings: settings of the shards that this instance owns.
    """

    def __init__(
        self,
        *,
        identity: SchedulerIdentity,
        data_centre: str,
        cores: float,
        store: RowStore,
        make_workers: Callable[[], TaskWorkerControl],
        approval_service: ApprovalService,
        table_names: PlatformTables,
        owner_settings: OwnerSettings,
    ) -> None:
        """Create; ``start`` joins the deployment."""
        self.is_leaving = False
        self.active_requests = 0
        self.metrics = SchedulerMetrics()
        self._recent_sizes = RecentSizes()
        self._identity = identity
        self._data_centre = data_centre
        self._cores = cores
        self._store = store
        self._make_workers = make_workers
        self._approval_service = approval_service
        self._table_names = table_names
        self._owner_settings = owner_settings
        self._wall_clock = WallClock()
        self._catalogue: Catalogue | None = None
        self._cluster = ClusterView()
        self._health = StoreHealth()
        self._evacuations = EvacuationView(
            find_zone=table_names.find_evacuated_zone,
            max_age_s=owner_settings.bounds.longest_evacuation_age_s(),
        )
        self._operator_feed = ChangeFeed(
            store=store,
            table=table_names.operator_table,
            list_partitions=lambda: (COMMON_PARTITION,),
            on_rows=self._on_operator_rows,
            on_outcome=self._health.record_outcome,
            on_progress=self._on_operator_progress,
        )
        self._peers = PeerRpc(monotonic=time.monotonic)
        self.ownership = OwnershipManager(
            identity=identity,
            cluster=self._cluster,
            store=store,
            peers=self._peers,
            lease_s=owner_settings.bounds.requested_lease_s(),
            make_runner=self._make_runner,
            health=self._health,
        )
        self.job_requests = JobRequestHandler(
            instance_id=identity.instance_id,
            cluster=self._cluster,
            ownership=self.ownership,
            store=store,
            health=self._health,
            peers=self._peers,
            make_empty_state=lambda: self._make_shard_state(0),
        )
        self.explanations = JobExplanations(
            instance_id=identity.instance_id,
            cluster=self._cluster,
            ownership=self.ownership,
            peers=self._peers,
        )
        self._watched: set[int] = set()
        self._handler_by_call: dict[str, Callable[[CallBody], CallBody]] = {
            'ping': self.ownership.answer_ping,
            'hears': self.ownership.answer_owner_reachable,
            'take': self.ownership.answer_shard_offer,
            'retire': self.ownership.answer_successor,
            'status': self._answer_status,
            'stored-status': self._answer_stored_status,
            'waiting': self._answer_waiting,
            'submit': self._answer_submit,
            'cancel': self._answer_cancel,
            'explain': self.explanations.answer,
        }

    def start(self) -> None:
        """Join the deployment and run in the background."""
        self._peers.listen(
            self._identity.address,
            lambda name, body: self._handler_by_call[name](body),
        )
        clock_supervisor = Supervisor(name='keep_calendar', pause_s=_RETRY_S)
        gevent.spawn(clock_supervisor.run, self._sample_wall_clock)
        feed_supervisor = Supervisor(
            name='follow_operator', pause_s=_FEED_RESTART_PAUSE_S
        )
        gevent.spawn(feed_supervisor.run, self._follow_operator)
        catch_up_supervisor = Supervisor(
            name='catch_up_operator', pause_s=_RETRY_S
        )
        gevent.spawn(
            catch_up_supervisor.run,
            self._evacuations.catch_up_when_due,
            self._operator_feed.catch_up,
        )
        gevent.spawn(self._join)

    def catalogue(self) -> Catalogue | None:
        """
        Return the configuration in force on this instance.

        :returns: the newest one seen; ``None`` before the first.
        """
        return self._catalogue

    def client_limits(self) -> ClientLimits:
        """
        Return the limits of clients in force on this instance.

        :returns: those of the configuration; the defaults before the first.
        """
        if self._catalogue is None:
            return ClientLimits()
        return self._catalogue.client_limits

    def wall_time(self) -> WallTime:
        """
        Return the wall time.

        :returns: seconds since the Unix epoch.
        """
        return self._wall_clock.now()

    def is_serving(self) -> bool:
        """
        Tell whether callers should be sent to this instance.

        :returns: whether it has a configuration and knows the number of
            shards, the store is reachable and no planned stop is under way.
        """
        if self._catalogue is None or self.is_leaving:
            return False
        if not self._cluster.shards:
            return False
        return self._health.outage_s() <= _MAX_STORE_OUTAGE_S

    def leave(self, timeout_s: Seconds) -> None:
        """
        Release all shards, for a planned stop.

        :param timeout_s: longest wait for pending commits, in seconds.
        """
        self.is_leaving = True
        self.ownership.leave(timeout_s)

    def refresh_metrics(self) -> None:
        """Update the gauges before a scrape."""
        catalogue = self._catalogue
        version = -1 if catalogue is None else catalogue.version
        self.metrics.state('configuration_version', version)
        self.metrics.state('store_away_s', self._health.outage_s())
        self.metrics.state('members', len(self._cluster.member_by_id))
        self.metrics.state('requests_active', self.active_requests)
        owned = [
            runner
            for runner in self.ownership.runner_by_shard.values()
            if not runner.is_stopped
        ]
        self.metrics.state('shards_owned', len(owned))
        self.metrics.record_owner_counts(
            self._cluster.counts, self.job_requests.unowned_statuses.count
        )
        self.metrics.record_decisions(self._cluster.decisions.count_by_name)
        self.metrics.clear_outcomes()
        for runner in owned:
            values = (
                summarise_shard(runner.state) | runner.statistics.last_collected
            )
            for name, value in values.items():
                self.metrics.state(f'shard_{runner.shard}_{name}', value)
            for counts in count_outcomes(runner.state, time.monotonic()):
                self.metrics.record_outcomes(runner.shard, counts)

    def record_submission(self, job: Job, outcome: SubmitOutcome) -> None:
        """
        Record the outcome of a submission for the metrics.

        :param job: the job.
        :param outcome: outcome that its caller is told.
        """
        self.metrics.record_submission(
            job.queue, self._recent_sizes.add(job), type(outcome).__name__
        )

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """
        Count a caller's request as active.

        :returns: a context in which the request counts as active.
        """
        self.active_requests += 1
        try:
            yield
        finally:
            self.active_requests -= 1

    def _sample_wall_clock(self) -> None:
        while True:
            self._wall_clock.sample_offset()
            gevent.sleep(_CLOCK_SAMPLE_INTERVAL_S)

    def _follow_operator(self) -> None:
        self._operator_feed.run()

    def _on_operator_progress(self, age_s: Seconds) -> None:
        self._evacuations.record_progress(age_s)
        for runner in self.ownership.runner_by_shard.values():
            runner.update_evacuations(self._evacuations)

    def _on_operator_rows(
        self,
        rows: tuple[StoredRow, ...],
        is_complete: bool,
    ) -> None:
        # The progress that is recorded next makes the runners apply them.
        self._evacuations.apply_rows(rows, is_complete=is_complete)
        for row in rows:
            if (
                row.content is None
                or not self._table_names.is_configuration_row(
                    row.name,
                )
            ):
                continue
            self._apply_catalogue(row.content)

    def _apply_catalogue(self, content: bytes) -> None:
        catalogue = self._table_names.parse_catalogue(content)
        if isinstance(catalogue, Malformed):
            event('configuration_unreadable', reason=catalogue.reason)
            return
        known_version = (
            -1 if self._catalogue is None else self._catalogue.version
        )
        if catalogue.version <= known_version:
            return
        self._catalogue = catalogue
        event(
            'configuration_taken',
            version=catalogue.version,
            before=known_version,
            queues=len(catalogue.queue_by_name),
        )
        for runner in self.ownership.runner_by_shard.values():
            runner.update_catalogue(catalogue)

    def _join(self) -> None:
        supervisor = Supervisor(name='join', pause_s=_RETRY_S)
        store_ms = supervisor.run(self._measure_store_latency)
        supervisor.run(self._register, store_ms)
        feed_supervisor = Supervisor(
            name='follow_cluster', pause_s=_FEED_RESTART_PAUSE_S
        )
        gevent.spawn(feed_supervisor.run, self._follow_cluster)
        supervisor.run(self._await_layout)
        for shard in range(self._cluster.shards):
            gevent.spawn(self.ownership.watch, shard)

    def _measure_store_latency(self) -> float:
        """
        Measure the latency of the store as the fastest of three reads.

        :returns: milliseconds; 0 if all reads failed.
        """
        fastest_ms: float = 0
        for _ in range(3):
            started_at = time.monotonic()
            name = layout_row()
            if isinstance(
                self._store.read(
                    name.table, name.partition, first_key=name.key
                ),
                Unavailable,
            ):
                continue
            latency_ms = (time.monotonic() - started_at) * _MS_PER_S
            fastest_ms = min(fastest_ms or latency_ms, latency_ms)
        return fastest_ms

    def _register(self, store_ms: float) -> None:
        record = MemberRecord(
            instance_id=self._identity.instance_id,
            incarnation=self._identity.incarnation,
            address=self._identity.address,
            data_centre=self._data_centre,
            cores=self._cores,
            store_ms=store_ms,
        )
        transaction = Transaction(
            writes=(
                RowWrite(
                    name=member_row(self._identity.instance_id),
                    content=encode_record(record),
                ),
            ),
        )
        while True:
            outcome = self._store.commit(transaction, COMMIT_TIMEOUT_S)
            if not isinstance(outcome, Unavailable):
                event('registered', store_ms=store_ms)
                return
            event('registration_failed', reason=outcome.reason)
            gevent.sleep(_RETRY_S)

    def _await_layout(self) -> None:
        """Wait for the layout; members of the first ranks propose it."""
        pool_monitor = PoolSizeMonitor(started_at=time.monotonic())
        observed_at: float = 0
        while not self._cluster.shards:
            gevent.sleep(_LAYOUT_POLL_S)
            now = time.monotonic()
            rank = self._cluster.find_rank(0, self._identity.instance_id)
            if (
                now - observed_at < _POOL_OBSERVATION_INTERVAL_S
                or not pool_monitor.is_observer(rank, now)
            ):
                continue
            observed_at = now
            page = read_all_rows(
                self._store, self._table_names.worker_table, COMMON_PARTITION
            )
            if isinstance(page, Unavailable):
                continue
            worker_ids = list_usable_workers(
                page.rows, self._table_names.parse_worker
            )
            if pool_monitor.is_size_stable(len(worker_ids), now):
                self._propose_layout(worker_ids)

    def _propose_layout(self, worker_ids: tuple[WorkerId, ...]) -> None:
        """Write the layout unless another instance has written it."""
        shards = choose_shard_count(
            len(worker_ids), self._cluster.expected_owner_cores()
        )
        name = layout_row()
        record = LayoutRecord(
            shards=shards,
            worker_limits=compute_worker_limits(worker_ids, shards),
        )
        outcome = self._store.commit(
            Transaction(
                expected=(ExpectedVersion(name=name, version=0),),
                writes=(RowWrite(name=name, content=encode_record(record)),),
            ),
            COMMIT_TIMEOUT_S,
        )
        event(
            'layout_proposed',
            shards=shards,
            workers=len(worker_ids),
            outcome=type(outcome).__name__,
        )

    def _follow_cluster(self) -> None:
        ChangeFeed(
            store=self._store,
            table=CLUSTER_TABLE,
            list_partitions=self._list_cluster_partitions,
            on_rows=self._on_cluster_rows,
            on_outcome=self._health.record_outcome,
        ).run()

    def _list_cluster_partitions(self) -> tuple[str, ...]:
        shards = range(self._cluster.shards)
        return (
            COMMON_PARTITION,
            *(partition_of_shard(shard) for shard in shards),
        )

    def _on_cluster_rows(
        self,
        rows: tuple[StoredRow, ...],
        _is_complete: bool,
    ) -> None:
        self._cluster.apply_rows(rows)
        for row in rows:
            if is_owner_row(row.name):
                shard = int(row.name.partition.removeprefix('s'))
                self.ownership.handle_owner_change(shard)

    def _make_runner(self, term: OwnershipTerm) -> ShardRunner:
        state = self._make_shard_state(
            term.epoch,
            previous_lease_s=term.previous_lease_s,
            is_process_bound=term.is_process_bound,
        )
        state.confirmation = term.confirmation
        if term.former is not None:
            state.former_id = term.former.last_holder()[0]
            state.former_epoch = term.former.epoch
        runner = ShardRunner(
            shard=term.shard,
            state=state,
            committer=ShardCommitter(
                shard=term.shard,
                store=self._store,
                owner_version=term.version,
                sequence_version=term.version,
            ),
            store=self._store,
            workers=self._make_workers(),
            approval_service=self._approval_service,
            registry=WorkerRegistry(
                table=self._table_names.worker_table,
                parse=self._table_names.parse_worker,
                is_in_shard=lambda worker_id: (
                    shard_of_worker(worker_id, self._cluster.worker_limits)
                    == term.shard
                ),
            ),
            wall_clock=self._wall_clock,
        )
        runner.update_evacuations(self._evacuations)
        return runner

    def _make_shard_state(
        self,
        epoch: int,
        *,
        previous_lease_s: Seconds = 0,
        is_process_bound: bool = False,
    ) -> ShardState:
        return ShardState(
            epoch=epoch,
            owner_since=time.monotonic(),
            bounds=self._owner_settings.bounds,
            previous_lease_s=previous_lease_s,
            is_process_bound=is_process_bound,
            wall_offset_s=self._wall_clock.now() - time.monotonic(),
            counts=self._cluster.counts,
            decisions=self._cluster.decisions,
            settings=self._owner_settings.scheduling,
            catalogue=self._catalogue or Catalogue(version=-1),
        )

    def _answer_status(self, body: CallBody) -> CallBody:
        return _encode_status(
            self.job_requests.get_owned_status(body['job_id'])
        )

    def _answer_stored_status(self, body: CallBody) -> CallBody:
        return _encode_status(
            self.job_requests.read_stored_status(body['job_id'])
        )

    def _answer_waiting(self, body: CallBody) -> CallBody:
        count = self.job_requests.count_owned_waiting(
            body['shard'], body['queue']
        )
        if isinstance(count, Unavailable):
            return {'count': None, 'reason': count.reason}
        return {'count': count}

    def _answer_submit(self, body: CallBody) -> CallBody:
        return _encode_outcome(
            self.job_requests.write_for_peer(
                lambda: self.job_requests.write_job_row(
                    body['job_id'], body['record']
                ),
            ),
        )

    def _answer_cancel(self, body: CallBody) -> CallBody:
        return _encode_outcome(
            self.job_requests.write_for_peer(
                lambda: self.job_requests.write_cancel_row(body['job_id']),
            ),
        )


def _encode_status(status: object) -> CallBody:
    if isinstance(status, Unavailable):
        return {'state': None, 'reason': status.reason}
    if isinstance(status, Unknown):
        return {'state': ''}
    return {'state': str(status)}


def _encode_outcome(outcome: object) -> CallBody:
    return {
        'outcome': type(outcome).__name__,
        'reason': getattr(outcome, 'reason', ''),
    }

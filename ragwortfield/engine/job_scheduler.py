"""Scheduler of batch jobs: binds, starts, renews, evicts and ends them.

Every change of a job and of its worker's grants is one transaction that
checks the versions of both rows, so when two seat holders race, one
transaction conflicts and has no effect. Start orders carry the job's
generation as a fencing token, and a worker accepts each generation once.
"""

from dataclasses import dataclass, replace

from ragwortfield.adapters.json_codec import to_document
from ragwortfield.core.configuration import Configuration
from ragwortfield.core.instance_state import HeldSeat, InstanceState
from ragwortfield.core.jobs import (
    GRANTED_STATES,
    Job,
    JobRow,
    JobState,
    TaskPhase,
    Worker,
    WorkerReport,
    WorkerRow,
    is_within_capacity,
)
from ragwortfield.engine.job_table import (
    job_row_prefix,
    make_job_write,
    make_worker_write,
    parse_job_rows,
    parse_worker_rows,
    worker_row_key,
)
from ragwortfield.invariants import INVARIANTS
from ragwortfield.log import event
from ragwortfield.policies.eviction import (
    PRESSURE_UTILISATION,
    EvictTask,
    ThrottleTask,
    WorkerPressure,
    update_pressure,
)
from ragwortfield.policies.hashing import stable_hash
from ragwortfield.policies.job_transitions import (
    JobTransition,
    LeaseEvidence,
    derive_cancel_transition,
    derive_expiry_transition,
    derive_report_transition,
)
from ragwortfield.policies.placement import (
    Binding,
    ParkedJob,
    plan_placement,
)
from ragwortfield.ports.clock import Clock
from ragwortfield.ports.platform import (
    Committed,
    ListedInstance,
    RenewTasks,
    StartTask,
    TableService,
    Unavailable,
    WorkerControl,
    Write,
)
from ragwortfield.types import JobId, WallTime, WorkerId

#: Time after an eviction in which no jobs are started on the worker, in
#: seconds.
_EVICTION_COOLDOWN_S = 10.0
#: Job and generation that a task lease is for.
_LeaseKey = tuple[JobId, int]


@dataclass(kw_only=True, slots=True)
class JobSchedulerCounters:
    """Counters of the scheduler since its start."""

    starts: int = 0
    binding_transactions: int = 0
    conflicts: int = 0
    evictions: int = 0
    ended: int = 0


class JobScheduler:
    """
    Schedules and supervises the jobs of the held seats.

    :param instance_state: the instance's in-memory state.
    :param table: the platform's table.
    :param worker_control: starts, renews, throttles and stops tasks on workers.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        instance_state: InstanceState,
        table: TableService,
        worker_control: WorkerControl,
        clock: Clock,
    ) -> None:
        """Create a scheduler that knows no leases yet."""
        self.counts = JobSchedulerCounters()
        self._instance_state = instance_state
        self._table = table
        self._control = worker_control
        self._clock = clock
        self._lease_until_by_job: dict[_LeaseKey, WallTime] = {}
        self._pressure_by_worker: dict[WorkerId, WorkerPressure] = {}
        self._adopted_generation_by_seat: dict[str, int] = {}
        self._unreachable_workers: set[WorkerId] = set()
        self._evicted_at_by_worker: dict[WorkerId, WallTime] = {}
        self._running_by_worker: dict[WorkerId, frozenset[_LeaseKey]] = {}

    def run_round(self) -> None:
        """Run one scheduling round over the jobs of all held seats."""
        configuration = self._instance_state.configuration()
        held_seats = self._instance_state.list_usable_seats(
            self._clock.monotonic()
        )
        if configuration is None or not held_seats:
            return
        if self._read_rows(held_seats):
            self._sync_listed_workers(held_seats)
        self._renew_leases(configuration, held_seats)
        self._apply_reports(configuration)
        if not self._instance_state.is_leaving:
            self._relieve_pressure(configuration, held_seats)
            self._place_jobs(configuration)

    def _read_rows(self, held_seats: list[HeldSeat]) -> bool:
        data_centre_name = self._instance_state.identity.data_centre
        scanned_workers = self._table.scan(f'workers/{data_centre_name}/')
        if isinstance(scanned_workers, Unavailable):
            return False
        job_row_by_id = {}
        for held_seat in held_seats:
            scanned_jobs = self._table.scan(job_row_prefix(held_seat.seat_id))
            if isinstance(scanned_jobs, Unavailable):
                return False
            for row in parse_job_rows(scanned_jobs):
                job_row_by_id[row.job.job_id] = row
        self._instance_state.worker_row_by_id = {
            row.worker.worker_id: row
            for row in parse_worker_rows(scanned_workers)
        }
        self._instance_state.job_row_by_id = job_row_by_id
        self._check_capacities()
        return True

    def _check_capacities(self) -> None:
        for row in self._instance_state.worker_row_by_id.values():
            INVARIANTS.check(
                'capacity_never_exceeded',
                is_satisfied=is_within_capacity(row.worker),
                detail=f'worker={row.worker.worker_id}',
            )

    def _sync_listed_workers(self, held_seats: list[HeldSeat]) -> None:
        listing = self._instance_state.listing
        if listing is None:
            return
        own_data_centre = self._instance_state.identity.data_centre
        for listed in listing.instances:
            if listed.kind != 'worker' or listed.data_centre != own_data_centre:
                continue
            if not self._is_responsible_for(listed.instance_id, held_seats):
                continue
            row = self._instance_state.worker_row_by_id.get(listed.instance_id)
            if row is None:
                self._add_worker(listed)
            elif row.worker.is_draining != listed.is_leaving:
                self._replace_worker(
                    row,
                    replace(row.worker, is_draining=listed.is_leaving),
                )

    def _add_worker(self, listed: ListedInstance) -> None:
        worker = Worker(
            worker_id=listed.instance_id,
            address=listed.address,
            capacity=listed.capacity,
        )
        key = worker_row_key(listed.data_centre, listed.instance_id)
        outcome = self._table.transact(
            (Write(key=key, expected_version=0, body=to_document(worker)),),
        )
        if isinstance(outcome, Committed):
            self._instance_state.worker_row_by_id[worker.worker_id] = WorkerRow(
                key=key,
                version=outcome.version_by_key[key],
                worker=worker,
            )
            event('worker_added', worker=worker.worker_id)

    def _replace_worker(self, row: WorkerRow, worker: Worker) -> None:
        outcome = self._table.transact((make_worker_write(row, worker),))
        if isinstance(outcome, Committed):
            self._instance_state.worker_row_by_id[worker.worker_id] = replace(
                row,
                version=outcome.version_by_key[row.key],
                worker=worker,
            )

    def _renew_leases(
        self,
        configuration: Configuration,
        held_seats: list[HeldSeat],
    ) -> None:
        wall_time = self._clock.wall_time()
        expires_at = wall_time + configuration.timing.task_lease_s
        self._extend_leases_of_new_seats(configuration, held_seats)
        listed_worker_ids = self._list_worker_ids()
        for worker_id, row in tuple(
            self._instance_state.worker_row_by_id.items()
        ):
            is_responsible = self._is_responsible_for(worker_id, held_seats)
            is_polled = is_responsible and worker_id in listed_worker_ids
            if not is_polled and not self._list_granted_jobs(worker_id):
                self._instance_state.report_by_worker.pop(worker_id, None)
                continue
            renewed_generation_by_job = self._select_renewable(
                configuration,
                worker_id,
                wall_time,
            )
            report = self._control.renew_leases(
                row.worker.address,
                RenewTasks(
                    generation_by_job=renewed_generation_by_job,
                    expires_at=expires_at,
                ),
            )
            # The worker may have accepted the renewal even if its response is
            # missing, so the lease counts as renewed either way.
            for lease_key in renewed_generation_by_job.items():
                self._lease_until_by_job[lease_key] = expires_at
            if isinstance(report, Unavailable):
                self._mark_unreachable(worker_id, report.reason)
                continue
            self._unreachable_workers.discard(worker_id)
            self._instance_state.report_by_worker[worker_id] = report
            self._instance_state.reported_at_by_worker[worker_id] = wall_time
            self._running_by_worker[worker_id] = _list_running(report)

    def _mark_unreachable(self, worker_id: WorkerId, reason: str) -> None:
        self._instance_state.report_by_worker.pop(worker_id, None)
        if worker_id not in self._unreachable_workers:
            self._unreachable_workers.add(worker_id)
            event('worker_unreachable', worker=worker_id, reason=reason)

    def _extend_leases_of_new_seats(
        self,
        configuration: Configuration,
        held_seats: list[HeldSeat],
    ) -> None:
        # The previous holder of the seat may have renewed leases until the
        # moment of the takeover.
        lease_until = (
            self._clock.wall_time() + configuration.timing.task_lease_s
        )
        for held_seat in held_seats:
            seat_key = held_seat.seat_id.row_key()
            if (
                self._adopted_generation_by_seat.get(seat_key)
                == held_seat.generation
            ):
                continue
            self._adopted_generation_by_seat[seat_key] = held_seat.generation
            prefix = job_row_prefix(held_seat.seat_id)
            for row in self._instance_state.job_row_by_id.values():
                if row.key.startswith(prefix):
                    lease_key = (row.job.job_id, row.job.generation)
                    self._lease_until_by_job[lease_key] = lease_until

    def _list_granted_jobs(self, worker_id: WorkerId) -> list[Job]:
        return [
            row.job
            for row in self._instance_state.job_row_by_id.values()
            if row.job.worker == worker_id and row.job.state in GRANTED_STATES
        ]

    def _select_renewable(
        self,
        configuration: Configuration,
        worker_id: WorkerId,
        wall_time: WallTime,
    ) -> dict[JobId, int]:
        # Half a lease after a worker's last report its leases are no longer
        # renewed, so that they can end; a task that the worker does not report
        # as running is not renewed at all.
        reported_at = self._instance_state.reported_at_by_worker.get(
            worker_id,
            0,
        )
        if wall_time - reported_at > configuration.timing.task_lease_s / 2:
            return {}
        running = self._running_by_worker.get(worker_id, frozenset())
        return {
            job.job_id: job.generation
            for job in self._list_granted_jobs(worker_id)
            if job.state is JobState.BOUND
            and (job.job_id, job.generation) in running
        }

    def _apply_reports(self, configuration: Configuration) -> None:
        wall_time = self._clock.wall_time()
        rows = tuple(self._instance_state.job_row_by_id.values())
        for row in rows:
            transition = derive_cancel_transition(row, wall_time)
            if transition is None:
                transition = self._derive_transition(
                    configuration,
                    row,
                    rows,
                    wall_time,
                )
            if transition is not None:
                self._commit_transition(transition)
            elif row.job.state is JobState.STOPPING:
                self._stop_task(row.job)

    def _derive_transition(
        self,
        configuration: Configuration,
        row: JobRow,
        rows: tuple[JobRow, ...],
        wall_time: WallTime,
    ) -> JobTransition | None:
        job = row.job
        if job.state not in GRANTED_STATES:
            return None
        worker_row = self._instance_state.worker_row_by_id.get(job.worker)
        report = self._instance_state.report_by_worker.get(job.worker)
        if worker_row is not None and report is not None:
            transition = derive_report_transition(
                row,
                worker_row,
                report,
                rows,
                wall_time,
            )
            if transition is not None or _is_reported(report, job):
                return transition
        lease_until = max(
            self._lease_until_by_job.get((job.job_id, job.generation), 0),
            job.lease_until,
        )
        return derive_expiry_transition(
            row,
            worker_row,
            LeaseEvidence(
                lease_until=lease_until,
                clock_bound_s=configuration.timing.clock_bound_s,
                is_worker_listed=job.worker in self._list_worker_ids(),
                is_worker_heard=report is not None,
            ),
            wall_time,
        )

    def _commit_transition(self, transition: JobTransition) -> None:
        writes = [make_job_write(transition.job_row, transition.job)]
        if transition.worker_row is not None and transition.worker is not None:
            writes.append(
                make_worker_write(transition.worker_row, transition.worker),
            )
        outcome = self._table.transact(tuple(writes))
        if not isinstance(outcome, Committed):
            # Either the rows have changed or the response was lost; the next
            # round reads the rows again and decides on them.
            self.counts.conflicts += 1
            return
        self._store_transition(transition, outcome)
        job = transition.job
        event(
            'job_changed',
            job=job.job_id,
            state=job.state.value,
            generation=job.generation,
            reason=job.reason,
        )
        if transition.is_task_finished:
            self._forget_ended_task(transition)

    def _store_transition(
        self,
        transition: JobTransition,
        outcome: Committed,
    ) -> None:
        version_by_key = outcome.version_by_key
        self._instance_state.job_row_by_id[transition.job.job_id] = replace(
            transition.job_row,
            version=version_by_key[transition.job_row.key],
            job=transition.job,
        )
        if transition.worker_row is not None and transition.worker is not None:
            worker_row = replace(
                transition.worker_row,
                version=version_by_key[transition.worker_row.key],
                worker=transition.worker,
            )
            worker_id = transition.worker.worker_id
            self._instance_state.worker_row_by_id[worker_id] = worker_row

    def _forget_ended_task(self, transition: JobTransition) -> None:
        self.counts.ended += 1
        previous_job = transition.job_row.job
        self._lease_until_by_job.pop(
            (previous_job.job_id, previous_job.generation),
            None,
        )
        if transition.worker_row is not None:
            self._control.discard_reports(
                transition.worker_row.worker.address,
                {previous_job.job_id: previous_job.generation},
            )

    def _stop_task(self, job: Job) -> None:
        row = self._instance_state.worker_row_by_id.get(job.worker)
        if row is not None:
            self._control.stop(row.worker.address, job.job_id, job.generation)

    def _relieve_pressure(
        self,
        configuration: Configuration,
        held_seats: list[HeldSeat],
    ) -> None:
        job_by_id = {
            job_id: row.job
            for job_id, row in self._instance_state.job_row_by_id.items()
        }
        for worker_id, report in self._instance_state.report_by_worker.items():
            row = self._instance_state.worker_row_by_id.get(worker_id)
            if row is None or not self._is_responsible_for(
                worker_id,
                held_seats,
            ):
                continue
            pressure_update = update_pressure(
                self._pressure_by_worker.get(worker_id, WorkerPressure()),
                row.worker,
                report,
                job_by_id,
            )
            self._pressure_by_worker[worker_id] = pressure_update.pressure
            if isinstance(pressure_update.action, ThrottleTask):
                self._throttle_task(row.worker, pressure_update.action)
            elif isinstance(pressure_update.action, EvictTask):
                self._evict_task(pressure_update.action.job_id)

    def _throttle_task(self, worker: Worker, action: ThrottleTask) -> None:
        event(
            'task_throttled',
            worker=worker.worker_id,
            job=action.job_id,
            share=action.share,
        )
        self._control.throttle(worker.address, action.job_id, action.share)

    def _evict_task(self, job_id: JobId) -> None:
        row = self._instance_state.job_row_by_id[job_id]
        if row.job.state is not JobState.BOUND:
            return
        self.counts.evictions += 1
        event('task_evicted', job=job_id, worker=row.job.worker)
        self._evicted_at_by_worker[row.job.worker] = self._clock.wall_time()
        self._commit_transition(
            JobTransition(
                job_row=row,
                job=replace(row.job, state=JobState.STOPPING),
            ),
        )
        self._stop_task(row.job)

    def _place_jobs(self, configuration: Configuration) -> None:
        data_centre_name = self._instance_state.identity.data_centre
        own_data_centre = configuration.data_centres[data_centre_name]
        accepting_worker_ids = {
            worker_id
            for worker_id in self._list_worker_ids()
            if self._is_accepting_jobs(worker_id)
        }
        plan = plan_placement(
            configuration,
            job_rows=tuple(self._instance_state.job_row_by_id.values()),
            worker_rows=tuple(
                row
                for row in self._instance_state.worker_row_by_id.values()
                if row.worker.worker_id in accepting_worker_ids
            ),
            quota_fraction=own_data_centre.seats / configuration.count_seats(),
            wall_time=self._clock.wall_time(),
        )
        for parked_job in plan.parked_jobs:
            self._park_job(parked_job)
        for binding in plan.bindings:
            self._bind_jobs(binding)

    def _is_accepting_jobs(self, worker_id: WorkerId) -> bool:
        row = self._instance_state.worker_row_by_id.get(worker_id)
        report = self._instance_state.report_by_worker.get(worker_id)
        if row is None or report is None:
            return False
        # The reported usage lags behind an eviction, so no jobs are placed on
        # the worker for a while.
        evicted_at = self._evicted_at_by_worker.get(worker_id, 0)
        if self._clock.wall_time() - evicted_at < _EVICTION_COOLDOWN_S:
            return False
        return (
            report.usage.dominant_share(row.worker.capacity)
            < PRESSURE_UTILISATION
        )

    def _list_worker_ids(self) -> set[WorkerId]:
        listing = self._instance_state.listing
        if listing is None:
            return set()
        return {
            listed.instance_id
            for listed in listing.instances
            if listed.kind == 'worker'
        }

    def _park_job(self, parked_job: ParkedJob) -> None:
        self._commit_transition(
            JobTransition(job_row=parked_job.job_row, job=parked_job.job),
        )

    def _bind_jobs(self, binding: Binding) -> None:
        writes = [make_worker_write(binding.worker_row, binding.worker)]
        writes.extend(
            make_job_write(row, job)
            for row, job in zip(binding.job_rows, binding.jobs, strict=True)
        )
        outcome = self._table.transact(tuple(writes))
        if not isinstance(outcome, Committed):
            # Either a row has changed or the response was lost. The next round
            # reads the rows again. If the binding took effect, its jobs were
            # never started; each is unbound once its lease has certainly
            # expired, so it is delayed but cannot run twice.
            self.counts.conflicts += 1
            return
        self.counts.binding_transactions += 1
        worker_id = binding.worker.worker_id
        self._instance_state.worker_row_by_id[worker_id] = replace(
            binding.worker_row,
            version=outcome.version_by_key[binding.worker_row.key],
            worker=binding.worker,
        )
        for row, job in zip(binding.job_rows, binding.jobs, strict=True):
            self._instance_state.job_row_by_id[job.job_id] = replace(
                row,
                version=outcome.version_by_key[row.key],
                job=job,
            )
            self._start_task(binding.worker, job)

    def _start_task(self, worker: Worker, job: Job) -> None:
        self.counts.starts += 1
        lease_key = (job.job_id, job.generation)
        self._lease_until_by_job[lease_key] = job.lease_until
        outcome = self._control.start(
            worker.address,
            StartTask(
                job_id=job.job_id,
                generation=job.generation,
                command=job.spec.command,
                resources=job.spec.resources,
                expires_at=job.lease_until,
                checkpoint=job.checkpoint,
            ),
        )
        event(
            'task_started',
            job=job.job_id,
            worker=worker.worker_id,
            generation=job.generation,
            accepted=outcome is True,
        )

    def _is_responsible_for(
        self,
        worker_id: WorkerId,
        held_seats: list[HeldSeat],
    ) -> bool:
        # Each worker maps to one seat, so that only the holder of that seat
        # adds the worker's row and decides about its pressure.
        configuration = self._instance_state.configuration()
        if configuration is None:
            return False
        data_centre_name = self._instance_state.identity.data_centre
        seat_count = configuration.data_centres[data_centre_name].seats
        index = stable_hash(worker_id) % seat_count
        return any(held_seat.seat_id.index == index for held_seat in held_seats)


def _is_reported(report: WorkerReport, job: Job) -> bool:
    return any(
        task.job_id == job.job_id and task.generation == job.generation
        for task in report.tasks
    )


def _list_running(report: WorkerReport) -> frozenset[_LeaseKey]:
    return frozenset(
        (task.job_id, task.generation)
        for task in report.tasks
        if task.phase is TaskPhase.RUNNING
    )

"""Placement: which pending job goes to which worker."""

from dataclasses import dataclass, replace

from ragwortfield.core.configuration import Configuration, Objective
from ragwortfield.core.jobs import (
    Grant,
    Job,
    JobRow,
    JobState,
    Worker,
    WorkerRow,
    granted_total,
    is_within_capacity,
)
from ragwortfield.core.resources import Resources
from ragwortfield.invariants import INVARIANTS
from ragwortfield.systems.quarantine import is_open_for_starts
from ragwortfield.types import TeamName, WallTime

#: Jobs bound by one transaction at most.
MAX_GROUP = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class Binding:
    """
    Jobs that one transaction binds to one worker.

    :param worker_row: the worker as read; its version is checked.
    :param worker: the worker with the new grants.
    :param job_rows: the jobs as read; their versions are checked.
    :param jobs: the jobs as bound.
    """

    worker_row: WorkerRow
    worker: Worker
    job_rows: tuple[JobRow, ...]
    jobs: tuple[Job, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Parking:
    """Job that can never run, with the reason."""

    job_row: JobRow
    job: Job


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPlan:
    """What a round of placement wants written."""

    bindings: tuple[Binding, ...] = ()
    parkings: tuple[Parking, ...] = ()


def plan_placement(
    configuration: Configuration,
    *,
    job_rows: tuple[JobRow, ...],
    worker_rows: tuple[WorkerRow, ...],
    quota_fraction: float,
    wall: WallTime,
) -> PlacementPlan:
    """
    Bind pending jobs to workers, most urgent and oldest first.

    :param configuration: the configuration in force.
    :param job_rows: jobs of the held seats.
    :param worker_rows: every worker of the data centre.
    :param quota_fraction: part of each team's quota in this data centre.
    :param wall: reading of the wall clock.
    :returns: transactions that bind, and jobs to park.
    """
    draft = _Draft(worker_rows, configuration, quota_fraction, wall)
    parkings = []
    for job_row in sorted(_pending(job_rows), key=_order):
        reason = _impossible_reason(job_row.job, worker_rows)
        if reason:
            parked = replace(
                job_row.job,
                state=JobState.PARKED,
                reason=reason,
                ended_at=wall,
            )
            parkings.append(Parking(job_row=job_row, job=parked))
        else:
            draft.place(job_row)
    return PlacementPlan(
        bindings=draft.bindings(),
        parkings=tuple(parkings),
    )


class _Draft:
    """Bindings of one round, grouped by worker."""

    def __init__(
        self,
        worker_rows: tuple[WorkerRow, ...],
        configuration: Configuration,
        quota_fraction: float,
        wall: WallTime,
    ) -> None:
        self._row_by_id = {row.worker.worker_id: row for row in worker_rows}
        self._worker_by_id = {
            row.worker.worker_id: row.worker for row in worker_rows
        }
        self._jobs_by_worker: dict[str, list[tuple[JobRow, Job]]] = {}
        self._configuration = configuration
        self._quota_fraction = quota_fraction
        self._wall = wall

    def place(self, job_row: JobRow) -> None:
        job = job_row.job
        if not self._is_within_quota(job):
            return
        worker = self._best_worker(job)
        if worker is None:
            return
        bound = replace(
            job,
            state=JobState.BOUND,
            generation=job.generation + 1,
            worker=worker.worker_id,
            started_at=self._wall,
            reason='',
            lease_until=(self._wall + self._configuration.timing.task_lease_s),
        )
        grant = Grant(
            generation=bound.generation,
            resources=job.spec.resources,
            team=job.spec.team,
        )
        granted = replace(
            worker,
            grants={**worker.grants, job.job_id: grant},
        )
        INVARIANTS.check(
            'capacity_never_exceeded',
            is_held=is_within_capacity(granted),
            detail=f'worker={worker.worker_id} job={job.job_id}',
        )
        self._worker_by_id[worker.worker_id] = granted
        group = self._jobs_by_worker.setdefault(worker.worker_id, [])
        group.append((job_row, bound))

    def bindings(self) -> tuple[Binding, ...]:
        return tuple(
            Binding(
                worker_row=self._row_by_id[worker_id],
                worker=self._worker_by_id[worker_id],
                job_rows=tuple(row for row, _ in group),
                jobs=tuple(job for _, job in group),
            )
            for worker_id, group in self._jobs_by_worker.items()
        )

    def _best_worker(self, job: Job) -> Worker | None:
        wanted = job.spec.resources
        candidates = [
            worker
            for worker in self._worker_by_id.values()
            if self._is_open_for(worker, job)
        ]
        return min(
            candidates,
            key=lambda worker: (
                worker.worker_id in job.failed_workers,
                _score(self._configuration.objective, worker, wanted),
                worker.worker_id,
            ),
            default=None,
        )

    def _is_open_for(self, worker: Worker, job: Job) -> bool:
        group = self._jobs_by_worker.get(worker.worker_id, ())
        if len(group) >= MAX_GROUP:
            return False
        if not is_open_for_starts(worker, self._wall):
            return False
        # A worker on trial gets one task at a time, in this round too.
        if worker.quarantines and group:
            return False
        after = granted_total(worker).plus(job.spec.resources)
        return after.is_within(worker.capacity)

    def _is_within_quota(self, job: Job) -> bool:
        team = self._configuration.teams.get(job.spec.team)
        if team is None:
            return False
        held = _team_cpu(tuple(self._worker_by_id.values()), job.spec.team)
        limit = team.jobs_cpu * self._quota_fraction
        return held + job.spec.resources.cpu <= limit


def _pending(job_rows: tuple[JobRow, ...]) -> list[JobRow]:
    return [
        row
        for row in job_rows
        if row.job.state is JobState.PENDING and not row.job.is_cancel_wanted
    ]


def _order(job_row: JobRow) -> tuple[int, WallTime, str]:
    job = job_row.job
    return job.spec.urgency, job.submitted_at, job.job_id


def _impossible_reason(job: Job, worker_rows: tuple[WorkerRow, ...]) -> str:
    if not worker_rows:
        return ''
    wanted = job.spec.resources
    for row in worker_rows:
        if wanted.is_within(row.worker.capacity.minus(row.worker.reserved)):
            return ''
    return (
        f'no worker has {wanted.cpu:g} cores, {wanted.memory_mb} MiB and '
        f'{wanted.accelerators} accelerators'
    )


def _score(objective: Objective, worker: Worker, wanted: Resources) -> float:
    # Spreading keeps neighbours of services lightly loaded; packing leaves
    # whole workers free for large jobs.
    load = granted_total(worker).plus(wanted).load_of(worker.capacity)
    spreading = objective.tail_latency + objective.evictions
    return (spreading - objective.throughput) * load


def _team_cpu(workers: tuple[Worker, ...], team: TeamName) -> float:
    return sum(
        grant.resources.cpu
        for worker in workers
        for grant in worker.grants.values()
        if grant.team == team
    )

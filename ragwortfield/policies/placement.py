"""Placement: which pending job goes to which worker."""

import heapq
import math
from dataclasses import dataclass, replace

from ragwortfield.core.configuration import Configuration
from ragwortfield.core.jobs import (
    Grant,
    Job,
    JobRow,
    JobState,
    Worker,
    WorkerRow,
    sum_granted_resources,
    is_within_capacity,
)
from ragwortfield.core.resources import Resources
from ragwortfield.invariants import INVARIANTS
from ragwortfield.policies.quarantine import is_schedulable
from ragwortfield.types import TeamName, WallTime, WorkerId

#: Jobs bound by one transaction at most.
MAX_JOBS_PER_BINDING = 16
#: Jobs that one transaction should bind when many are pending.
_PREFERRED_JOBS_PER_BINDING = 8
#: Workers that a round looks at first, however few jobs are pending.
_MIN_SHORTLISTED_WORKERS = 4


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
class ParkedJob:
    """Job that can never run, with the reason."""

    job_row: JobRow
    job: Job


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPlan:
    """What a round of placement wants written."""

    bindings: tuple[Binding, ...] = ()
    parked_jobs: tuple[ParkedJob, ...] = ()


def plan_placement(
    configuration: Configuration,
    *,
    job_rows: tuple[JobRow, ...],
    worker_rows: tuple[WorkerRow, ...],
    quota_fraction: float,
    wall_time: WallTime,
) -> PlacementPlan:
    """
    Bind pending jobs to workers, most urgent and oldest first.

    :param configuration: the configuration in force.
    :param job_rows: jobs of the held seats.
    :param worker_rows: every worker of the data centre.
    :param quota_fraction: part of each team's quota in this data centre.
    :param wall_time: reading of the wall clock.
    :returns: transactions that bind, and jobs to park.
    """
    pending = sorted(_list_pending(job_rows), key=_placement_order)
    draft = _PlacementRound(
        worker_rows, configuration, quota_fraction, wall_time
    )
    draft.shortlist_workers(len(pending))
    parked_jobs = []
    for job_row in pending:
        reason = _explain_infeasibility(job_row.job, worker_rows)
        if reason:
            parked = replace(
                job_row.job,
                state=JobState.PARKED,
                reason=reason,
                ended_at=wall_time,
            )
            parked_jobs.append(ParkedJob(job_row=job_row, job=parked))
        else:
            draft.place(job_row)
    return PlacementPlan(
        bindings=draft.bindings(),
        parked_jobs=tuple(parked_jobs),
    )


class _PlacementRound:
    """Bindings of one round, grouped by worker."""

    def __init__(
        self,
        worker_rows: tuple[WorkerRow, ...],
        configuration: Configuration,
        quota_fraction: float,
        wall_time: WallTime,
    ) -> None:
        self._row_by_id = {row.worker.worker_id: row for row in worker_rows}
        self._worker_by_id = {
            row.worker.worker_id: row.worker for row in worker_rows
        }
        self._granted_by_id = {
            row.worker.worker_id: sum_granted_resources(row.worker)
            for row in worker_rows
        }
        self._cpu_by_team = _cpu_by_team(worker_rows)
        self._shortlist = list(self._worker_by_id)
        self._jobs_by_worker: dict[str, list[tuple[JobRow, Job]]] = {}
        self._configuration = configuration
        self._quota_fraction = quota_fraction
        self._wall = wall_time

    def shortlist_workers(self, pending: int) -> None:
        # A burst goes to a few of the best workers, so that one transaction
        # carries several starts.
        size = max(
            _MIN_SHORTLISTED_WORKERS,
            math.ceil(pending / _PREFERRED_JOBS_PER_BINDING),
        )
        nothing = Resources()
        self._shortlist = heapq.nsmallest(
            size,
            (
                worker_id
                for worker_id, worker in self._worker_by_id.items()
                if is_schedulable(worker, self._wall)
            ),
            key=lambda worker_id: (
                self._score(worker_id, nothing),
                worker_id,
            ),
        )

    def place(self, job_row: JobRow) -> None:
        job = job_row.job
        if not self._is_within_quota(job):
            return
        worker = self._select_worker(job)
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
        self._granted_by_id[worker.worker_id] = sum_granted_resources(granted)
        team = job.spec.team
        held = self._cpu_by_team.get(team, 0)
        self._cpu_by_team[team] = held + job.spec.resources.cpu
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

    def _select_worker(self, job: Job) -> Worker | None:
        for names in (self._shortlist, self._worker_by_id):
            open_names = [
                name
                for name in names
                if self._is_feasible(self._worker_by_id[name], job)
            ]
            fresh = [
                name for name in open_names if name not in job.failed_workers
            ]
            is_last = names is self._worker_by_id
            if fresh or (is_last and open_names):
                return self._select_lowest_score(fresh or open_names, job)
        return None

    def _select_lowest_score(self, names: list[WorkerId], job: Job) -> Worker:
        wanted = job.spec.resources
        best = min(names, key=lambda name: (self._score(name, wanted), name))
        return self._worker_by_id[best]

    def _score(self, worker_id: WorkerId, wanted: Resources) -> float:
        # Spreading keeps neighbours of services lightly loaded; packing
        # leaves whole workers free for large jobs.
        objective = self._configuration.objective
        after = self._granted_by_id[worker_id].plus(wanted)
        load = after.dominant_share(self._worker_by_id[worker_id].capacity)
        spreading = objective.tail_latency + objective.evictions
        return (spreading - objective.throughput) * load

    def _is_feasible(self, worker: Worker, job: Job) -> bool:
        group = self._jobs_by_worker.get(worker.worker_id, ())
        if len(group) >= MAX_JOBS_PER_BINDING:
            return False
        if not is_schedulable(worker, self._wall):
            return False
        # A worker on trial gets one task at a time, in this round too.
        if worker.quarantines and group:
            return False
        granted = self._granted_by_id[worker.worker_id]
        return granted.plus(job.spec.resources).is_within(worker.capacity)

    def _is_within_quota(self, job: Job) -> bool:
        team = self._configuration.teams.get(job.spec.team)
        if team is None:
            return False
        held = self._cpu_by_team.get(job.spec.team, 0)
        limit = team.jobs_cpu * self._quota_fraction
        return held + job.spec.resources.cpu <= limit


def _list_pending(job_rows: tuple[JobRow, ...]) -> list[JobRow]:
    return [
        row
        for row in job_rows
        if row.job.state is JobState.PENDING and not row.job.is_cancel_wanted
    ]


def _placement_order(job_row: JobRow) -> tuple[int, WallTime, str]:
    job = job_row.job
    return job.spec.urgency, job.submitted_at, job.job_id


def _explain_infeasibility(job: Job, worker_rows: tuple[WorkerRow, ...]) -> str:
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


def _cpu_by_team(worker_rows: tuple[WorkerRow, ...]) -> dict[TeamName, float]:
    cpu_by_team: dict[TeamName, float] = {}
    for row in worker_rows:
        for grant in row.worker.grants.values():
            held = cpu_by_team.get(grant.team, 0)
            cpu_by_team[grant.team] = held + grant.resources.cpu
    return cpu_by_team

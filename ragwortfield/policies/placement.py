"""Placement of pending jobs on workers."""

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
    is_within_capacity,
    sum_granted_resources,
)
from ragwortfield.core.resources import Resources
from ragwortfield.invariants import INVARIANTS
from ragwortfield.policies.quarantine import is_schedulable
from ragwortfield.types import TeamName, WallTime, WorkerId

#: Maximum number of jobs that one transaction binds.
MAX_JOBS_PER_BINDING = 16
#: Number of jobs that one transaction should bind when many are pending; it
#: determines the length of the shortlist.
_PREFERRED_JOBS_PER_BINDING = 8
#: Minimum length of the shortlist, in workers.
_MIN_SHORTLISTED_WORKERS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Binding:
    """
    Transaction that binds jobs to one worker.

    :param worker_row: the worker as read; the transaction checks its version.
    :param worker: the worker with the new grants.
    :param job_rows: the jobs as read; the transaction checks their versions.
    :param jobs: the jobs after binding, in the same order.
    """

    worker_row: WorkerRow
    worker: Worker
    job_rows: tuple[JobRow, ...]
    jobs: tuple[Job, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ParkedJob:
    """
    Job that is parked because no worker can ever run it.

    :param job_row: the job as read.
    :param job: the parked job with the reason.
    """

    job_row: JobRow
    job: Job


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPlan:
    """Changes that a placement round proposes."""

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
    Plan which pending jobs to bind to which workers.

    More urgent jobs come first, older ones first among equally urgent ones.

    :param configuration: the current configuration.
    :param job_rows: jobs of the held seats.
    :param worker_rows: all workers of the data centre.
    :param quota_fraction: fraction of each team's CPU quota that applies to
        this data centre, 0 to 1.
    :param wall_time: wall-clock time, in seconds.
    :returns: jobs to bind and jobs to park.
    """
    pending = sorted(_list_pending(job_rows), key=_placement_order)
    placement_round = _PlacementRound(
        worker_rows, configuration, quota_fraction, wall_time
    )
    placement_round.shortlist_workers(len(pending))
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
            placement_round.bind_to_best_worker(job_row)
    return PlacementPlan(
        bindings=placement_round.collect_bindings(),
        parked_jobs=tuple(parked_jobs),
    )


class _PlacementRound:
    """Bindings of one placement round, grouped by worker."""

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
        self._cpu_by_team = _sum_cpu_by_team(worker_rows)
        self._shortlist = list(self._worker_by_id)
        self._jobs_by_worker: dict[str, list[tuple[JobRow, Job]]] = {}
        self._configuration = configuration
        self._quota_fraction = quota_fraction
        self._wall_time = wall_time

    def shortlist_workers(self, pending: int) -> None:
        # A burst of jobs goes to a few workers with the best scores, so that
        # each transaction binds several jobs.
        size = max(
            _MIN_SHORTLISTED_WORKERS,
            math.ceil(pending / _PREFERRED_JOBS_PER_BINDING),
        )
        no_resources = Resources()
        self._shortlist = heapq.nsmallest(
            size,
            (
                worker_id
                for worker_id, worker in self._worker_by_id.items()
                if is_schedulable(worker, self._wall_time)
            ),
            key=lambda worker_id: (
                self._score(worker_id, no_resources),
                worker_id,
            ),
        )

    def bind_to_best_worker(self, job_row: JobRow) -> None:
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
            started_at=self._wall_time,
            reason='',
            lease_until=(
                self._wall_time + self._configuration.timing.task_lease_s
            ),
        )
        grant = Grant(
            generation=bound.generation,
            resources=job.spec.resources,
            team=job.spec.team,
        )
        worker_after = replace(
            worker,
            grants={**worker.grants, job.job_id: grant},
        )
        INVARIANTS.check(
            'capacity_never_exceeded',
            is_satisfied=is_within_capacity(worker_after),
            detail=f'worker={worker.worker_id} job={job.job_id}',
        )
        self._worker_by_id[worker.worker_id] = worker_after
        self._granted_by_id[worker.worker_id] = sum_granted_resources(
            worker_after
        )
        team = job.spec.team
        held_cpu = self._cpu_by_team.get(team, 0)
        self._cpu_by_team[team] = held_cpu + job.spec.resources.cpu
        group = self._jobs_by_worker.setdefault(worker.worker_id, [])
        group.append((job_row, bound))

    def collect_bindings(self) -> tuple[Binding, ...]:
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
        for worker_ids in (self._shortlist, self._worker_by_id):
            feasible = [
                worker_id
                for worker_id in worker_ids
                if self._is_feasible(self._worker_by_id[worker_id], job)
            ]
            preferred = [
                worker_id
                for worker_id in feasible
                if worker_id not in job.failed_workers
            ]
            is_last = worker_ids is self._worker_by_id
            if preferred or (is_last and feasible):
                return self._select_lowest_score(preferred or feasible, job)
        return None

    def _select_lowest_score(
        self, worker_ids: list[WorkerId], job: Job
    ) -> Worker:
        requested = job.spec.resources
        best = min(
            worker_ids,
            key=lambda worker_id: (
                self._score(worker_id, requested),
                worker_id,
            ),
        )
        return self._worker_by_id[best]

    def _score(self, worker_id: WorkerId, requested: Resources) -> float:
        # Spreading jobs keeps workers that also run services lightly loaded;
        # packing them leaves whole workers free for large jobs. The weights
        # of the objective decide between the two.
        objective = self._configuration.objective
        granted = self._granted_by_id[worker_id].plus(requested)
        utilisation = granted.dominant_share(
            self._worker_by_id[worker_id].capacity
        )
        spread_weight = objective.tail_latency + objective.evictions
        return (spread_weight - objective.throughput) * utilisation

    def _is_feasible(self, worker: Worker, job: Job) -> bool:
        group = self._jobs_by_worker.get(worker.worker_id, ())
        if len(group) >= MAX_JOBS_PER_BINDING:
            return False
        if not is_schedulable(worker, self._wall_time):
            return False
        # After a quarantine a worker gets one task at a time; this includes
        # the tasks that this round has assigned.
        if worker.quarantines and group:
            return False
        granted = self._granted_by_id[worker.worker_id]
        return granted.plus(job.spec.resources).is_within(worker.capacity)

    def _is_within_quota(self, job: Job) -> bool:
        team = self._configuration.teams.get(job.spec.team)
        if team is None:
            return False
        held_cpu = self._cpu_by_team.get(job.spec.team, 0)
        limit = team.jobs_cpu * self._quota_fraction
        return held_cpu + job.spec.resources.cpu <= limit


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
    requested = job.spec.resources
    for row in worker_rows:
        if requested.is_within(row.worker.capacity.minus(row.worker.reserved)):
            return ''
    return (
        f'no worker has {requested.cpu:g} cores, {requested.memory_mb} MiB and '
        f'{requested.accelerators} accelerators'
    )


def _sum_cpu_by_team(
    worker_rows: tuple[WorkerRow, ...],
) -> dict[TeamName, float]:
    cpu_by_team: dict[TeamName, float] = {}
    for row in worker_rows:
        for grant in row.worker.grants.values():
            held_cpu = cpu_by_team.get(grant.team, 0)
            cpu_by_team[grant.team] = held_cpu + grant.resources.cpu
    return cpu_by_team

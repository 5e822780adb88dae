"""Metrics of a job scheduler instance."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from ragwortfield.scheduling.job_outcomes import JobOutcome, OutcomeCounts
from ragwortfield.scheduling.job_sizes import SizeClass
from ragwortfield.scheduling.owner_counts import OwnerCounts
from ragwortfield.scheduling.wait_causes import WaitCause
from ragwortfield.types import Seconds

#: Upper bounds of the latency histogram, in seconds.
_LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class SchedulerMetrics:
    """Request counts, request latencies and state of one instance."""

    def __init__(self) -> None:
        """Create the metrics without any counts."""
        self.registry = Registry()
        self._requests = Counter(
            'ragwortfield_job_requests_total',
            'Requests about jobs by kind and status.',
            registry=self.registry,
        )
        self._latency = Histogram(
            'ragwortfield_job_request_seconds',
            'Time from a request about a job to its answer.',
            buckets=list(_LATENCY_BOUNDS_S),
            registry=self.registry,
        )
        self._submissions = Counter(
            'ragwortfield_submissions_total',
            'Submitted jobs by queue, size among recent ones, and outcome.',
            registry=self.registry,
        )
        self._outcomes = Gauge(
            'ragwortfield_jobs',
            'Jobs that owners on this instance know, by their outcome so far.',
            registry=self.registry,
        )
        self._waits = Gauge(
            'ragwortfield_unfinished_job_seconds',
            'Time of the unfinished ones of these jobs by what they wait for.',
            registry=self.registry,
        )
        self._unowned_statuses = Counter(
            'ragwortfield_unowned_statuses_total',
            'Statuses of jobs that the owner of the shard did not answer.',
            registry=self.registry,
        )
        self._lapsed_leases = Counter(
            'ragwortfield_lapsed_leases_total',
            'Lapsed leases by whether the worker had reported to this owner.',
            registry=self.registry,
        )
        self._fenced_orders = Counter(
            'ragwortfield_fenced_orders_total',
            'Orders that workers refused for the epoch of a newer owner.',
            registry=self.registry,
        )
        self._second_runs = Counter(
            'ragwortfield_second_runs_total',
            'Runs that workers reported beside later ones of the same tasks.',
            registry=self.registry,
        )
        self._owner_changes = Counter(
            'ragwortfield_owner_changes_total',
            'Changes of owners of shards: taken over here, or seen.',
            registry=self.registry,
        )
        self._decisions = Counter(
            'ragwortfield_decisions_total',
            'Scheduling decisions of owners on this instance by name.',
            registry=self.registry,
        )
        self._client_ends = Counter(
            'ragwortfield_client_ends_total',
            'Requests and connections of clients ended by this instance.',
            registry=self.registry,
        )
        self._gauge = Gauge(
            'ragwortfield_scheduler_state',
            'State of the scheduler by name.',
            registry=self.registry,
        )

    def record_request(
        self, kind: str, status: int, duration_s: Seconds
    ) -> None:
        """
        Record a completed request of a caller.

        :param kind: HTTP method of the request; value of the ``kind`` label.
        :param status: HTTP status of the response.
        :param duration_s: time from the request to its response, in seconds.
        """
        self._requests.inc({'kind': kind, 'status': str(int(status))})
        self._latency.observe({'kind': kind}, duration_s)

    def record_submission(
        self, queue: str, size: SizeClass, outcome: str
    ) -> None:
        """
        Record the outcome of a submission.

        :param queue: queue of the job.
        :param size: size of the job among the latest ones submitted here.
        :param outcome: value of the ``outcome`` label.
        """
        self._submissions.inc(
            {'queue': queue, 'size': size.value, 'outcome': outcome}
        )

    def clear_outcomes(self) -> None:
        """Remove the outcomes of jobs, as the shards owned here may change."""
        self._outcomes.values.clear()
        self._waits.values.clear()

    def record_outcomes(self, shard: int, counts: OutcomeCounts) -> None:
        """
        Record the outcomes of the jobs of one queue and size class.

        :param shard: number of the shard.
        :param counts: the present counts.
        """
        labels = {
            'shard': str(shard),
            'queue': counts.queue,
            'size': counts.size.value,
        }
        for outcome in JobOutcome:
            self._outcomes.set(
                labels | {'outcome': outcome.value},
                counts.count_by_outcome[outcome],
            )
        wait_s_by_cause = counts.sum_waits()
        for cause in WaitCause:
            self._waits.set(
                labels | {'cause': cause.value}, wait_s_by_cause[cause]
            )

    def record_owner_counts(
        self, counts: OwnerCounts, unowned_statuses: int
    ) -> None:
        """
        Set the counters about owners of shards.

        :param counts: counts since the start of the process.
        :param unowned_statuses: number of statuses without an answer of the
            owner.
        """
        self._unowned_statuses.set({}, unowned_statuses)
        self._lapsed_leases.set(
            {'has_reported': 'true'}, counts.lapses_after_report
        )
        self._lapsed_leases.set(
            {'has_reported': 'false'}, counts.lapses_without_report
        )
        self._fenced_orders.set({}, counts.fenced_orders)
        self._second_runs.set({}, counts.second_runs)
        self._owner_changes.set({'kind': 'taken_over'}, counts.takeovers)
        self._owner_changes.set({'kind': 'seen'}, counts.seen_changes)

    def record_decisions(self, count_by_name: Mapping[str, float]) -> None:
        """
        Set the counters of scheduling decisions.

        :param count_by_name: counts since the start of the process, by the
            value of the ``decision`` label.
        """
        for name, count in count_by_name.items():
            self._decisions.set({'decision': name}, count)

    def record_client_ends(
        self, server: str, count_by_cause: Mapping[str, float]
    ) -> None:
        """
        Set the counters of ended requests and connections of clients.

        :param server: value of the ``server`` label.
        :param count_by_cause: counts since the start of the process, by the
            value of the ``cause`` label.
        """
        for cause, count in count_by_cause.items():
            self._client_ends.set({'server': server, 'cause': cause}, count)

    def state(self, name: str, amount: float) -> None:
        """
        Set a gauge of the state.

        :param name: value of its ``name`` label.
        :param amount: value of the gauge.
        """
        self._gauge.set({'name': name}, amount)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """
        Format the metrics for a scrape.

        :returns: response body and header fields.
        """
        return render(self.registry, [])

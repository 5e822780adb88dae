"""Counters and latencies of the job scheduler."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from ragwortfield.types import Seconds

#: Bounds of the latency histograms, in seconds.
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
    """Metrics of one instance, all at zero."""

    def __init__(self) -> None:
        """Create the metrics."""
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
        self._gauge = Gauge(
            'ragwortfield_scheduler_state',
            'State of the scheduler by name.',
            registry=self.registry,
        )

    def request(self, kind: str, status: int, duration_s: Seconds) -> None:
        """
        Count a caller's request.

        :param kind: what was asked for.
        :param status: HTTP status of the answer.
        :param duration_s: time it took, in seconds.
        """
        self._requests.inc({'kind': kind, 'status': str(int(status))})
        self._latency.observe({'kind': kind}, duration_s)

    def state(self, name: str, amount: float) -> None:
        """
        Set a state.

        :param name: its name.
        :param amount: its amount.
        """
        self._gauge.set({'name': name}, amount)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """
        Format the metrics for a scrape.

        :returns: body and header fields.
        """
        return render(self.registry, [])

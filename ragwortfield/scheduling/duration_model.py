"""Learns how long tasks really take from what their callers declare.

The load that it answers: declared durations are off by a factor of two to three
in either direction, while the tasks of one step differ by a few percent. An
order by slack that believes them starts the wrong jobs first.

Two sources are combined. By queue, the logarithm of the real duration is
regressed on that of the declared one, so that a queue whose declarations say
little is predicted near its own mean. Within a step, the median of the
durations that its own runs have shown replaces the prediction; the median,
because a few runs take several times as long as the others.
"""

from bisect import insort
from dataclasses import dataclass, field
from math import exp, log

from ragwortfield.scheduling.job import Step, compute_critical_paths
from ragwortfield.scheduling.records import QueueDurationRecord
from ragwortfield.types import Seconds

#: Number of steps after which an observation has lost most of its weight:
#: queues change over minutes, and a queue has some ten steps a second.
_MEMORY_STEPS = 400
#: Weight of the assumption that declarations are right, in steps.
_PRIOR_STEPS = 4.0
#: Variance of the logarithm of declared durations that goes with that weight.
_PRIOR_VARIANCE = 0.4
#: Bounds of a duration that counts, in seconds; the logarithm needs a positive
#: one, and declared values can be anything.
_MIN_DURATION_S: Seconds = 0.01
_MAX_DURATION_S: Seconds = 3600
#: Most durations kept for each step.
_MAX_DURATIONS_PER_STEP = 64


@dataclass(kw_only=True, slots=True)
class _Regression:
    """
    Weighted regression of real on declared durations, as logarithms.

    :param weight: weight of all observations.
    :param mean_declared: weighted mean of the declared durations.
    :param mean_real: weighted mean of the real durations.
    :param spread: weighted sum of the squared deviations of the declared ones.
    :param product: weighted sum of the products of both deviations.
    """

    weight: float = 0
    mean_declared: float = 0
    mean_real: float = 0
    spread: float = 0
    product: float = 0

    def add(self, declared: float, real: float) -> None:
        """Add an observation; earlier ones lose weight."""
        retention = 1 - 1 / _MEMORY_STEPS
        self.weight = self.weight * retention + 1
        self.spread *= retention
        self.product *= retention
        declared_deviation = declared - self.mean_declared
        self.mean_declared += declared_deviation / self.weight
        self.mean_real += (real - self.mean_real) / self.weight
        self.spread += declared_deviation * (declared - self.mean_declared)
        self.product += declared_deviation * (real - self.mean_real)

    def predict(self, declared: float) -> float:
        """Predict the logarithm of the real duration."""
        prior_spread = _PRIOR_STEPS * _PRIOR_VARIANCE
        slope = (self.product + prior_spread) / (self.spread + prior_spread)
        bias = (self.mean_real - self.mean_declared) * (
            self.weight / (self.weight + _PRIOR_STEPS)
        )
        center = self.mean_declared + bias
        return center + slope * (declared - self.mean_declared)


@dataclass(kw_only=True, slots=True)
class DurationModel:
    """Predicts real from declared durations, by queue."""

    _regression_by_queue: dict[str, _Regression] = field(default_factory=dict)

    def observe(self, queue: str, declared_s: Seconds, real_s: Seconds) -> None:
        """
        Learn from the first known duration of a step.

        :param queue: name of the queue.
        :param declared_s: declared duration of its tasks, in seconds; 0 if
            there is none, and nothing is learned.
        :param real_s: real duration, in seconds.
        """
        if declared_s > 0 and real_s > 0:
            self._regression_by_queue.setdefault(queue, _Regression()).add(
                _to_logarithm(declared_s), _to_logarithm(real_s)
            )

    def predict(self, queue: str, declared_s: Seconds) -> Seconds:
        """
        Predict the duration of tasks of which no run has shown it yet.

        :param queue: name of the queue.
        :param declared_s: declared duration, in seconds; 0 if there is none.
        :returns: seconds; the declared duration while nothing is learned.
        """
        regression = self._regression_by_queue.get(queue)
        if regression is None or declared_s <= 0:
            return declared_s
        return exp(regression.predict(_to_logarithm(declared_s)))

    def record(self) -> tuple[QueueDurationRecord, ...]:
        """Return what is stored for later owners."""
        return tuple(
            QueueDurationRecord(
                queue=queue,
                weight=round(regression.weight, 1),
                mean_declared=round(regression.mean_declared, 3),
                mean_real=round(regression.mean_real, 3),
                spread=round(regression.spread, 2),
                product=round(regression.product, 2),
            )
            for queue, regression in self._regression_by_queue.items()
        )

    def restore(self, records: tuple[QueueDurationRecord, ...]) -> None:
        """
        Take over what an earlier owner has learned.

        :param records: its records; queues that are known here are kept.
        """
        for record in records:
            self._regression_by_queue.setdefault(
                record.queue,
                _Regression(
                    weight=record.weight,
                    mean_declared=record.mean_declared,
                    mean_real=record.mean_real,
                    spread=record.spread,
                    product=record.product,
                ),
            )


@dataclass(kw_only=True, slots=True)
class StepDurations:
    """
    Durations that the runs of one step of a job have shown.

    :param predicted_s: prediction from the declared duration, in seconds.
    """

    predicted_s: Seconds
    _sorted_s: list[Seconds] = field(default_factory=list)

    def add(self, duration_s: Seconds) -> None:
        """Add the duration of a run, in seconds."""
        if len(self._sorted_s) < _MAX_DURATIONS_PER_STEP:
            insort(self._sorted_s, duration_s)

    def is_known(self) -> bool:
        """Return whether a run has shown the duration."""
        return bool(self._sorted_s)

    def known_count(self) -> int:
        """Return the number of runs that have shown the duration."""
        return len(self._sorted_s)

    def expected_s(self) -> Seconds:
        """Return the best known duration of a task, in seconds."""
        if not self._sorted_s:
            return self.predicted_s
        return self._sorted_s[(len(self._sorted_s) - 1) // 2]


def predict_step_durations(
    model: DurationModel, queue: str, steps: tuple[Step, ...]
) -> tuple[StepDurations, ...]:
    """
    Predict the durations of the steps of a job that has not run yet.

    :param model: what was learned.
    :param queue: name of the job's queue.
    :param steps: its steps.
    :returns: durations by number of the step.
    """
    return tuple(
        StepDurations(predicted_s=model.predict(queue, step.estimate_s))
        for step in steps
    )


def compute_expected_paths(
    steps: tuple[Step, ...], durations: tuple[StepDurations, ...]
) -> tuple[Seconds, ...]:
    """
    Compute the critical path from each step to the end of the job.

    :param steps: steps of the job.
    :param durations: known or predicted durations by number of the step.
    :returns: seconds by number of the step.
    """
    return compute_critical_paths(
        steps, tuple(known.expected_s() for known in durations)
    )


def _to_logarithm(duration_s: Seconds) -> float:
    return log(min(max(duration_s, _MIN_DURATION_S), _MAX_DURATION_S))

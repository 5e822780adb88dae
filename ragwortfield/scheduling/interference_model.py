"""How much fillers disturb the tasks that serve beside them.

A serving task is taken as a queue: its tail latency is ``idle / (1 - use)``.
Its use is the load of its own users, which all tasks of its step share, plus
what the fillers on its worker add: for each image of fillers a weight times
the share of the worker's processor that these use. A weight belongs to a pair
of images, the serving one and the filler's; some pairs get on well and some
do not. Loads swing within seconds, so they are followed with their trend.
Each estimate has a variance, and a reading moves it by its part of the total
variance, as in a Kalman filter.
"""

from dataclasses import dataclass, field

from ragwortfield.scheduling.records import (
    InterferenceRecord,
    InterferenceWeightRecord,
)
from ragwortfield.types import MonotonicTime, Seconds

#: Weight of a pair before anything is known, and its variance.
_FIRST_WEIGHT = 1.5
_FIRST_VARIANCE = 2.0
#: Smallest variance of a weight; images do not change for good.
_LEAST_VARIANCE = 0.01
#: Least variance of a weight that another owner learned.
_INHERITED_VARIANCE = 0.04
#: Digits of weights that are kept in the store.
_RECORD_DIGITS = 2
#: Largest weight; an image cannot help the tasks beside it either.
_LARGEST_WEIGHT = 8.0
#: Load before the first reading, and its variance.
_FIRST_LOAD = 0.45
_FIRST_LOAD_VARIANCE = 0.04
#: What the variance of a load's trend gains in a second: loads swing by
#: about half of their mean within five seconds.
_TREND_DRIFT = 0.006
#: Part of a trend that is left after a second without readings.
_TREND_MEMORY = 0.8
#: Readings are whole milliseconds.
_ROUNDING_MS = 0.5
#: Variance of a reading beyond its rounding: readings without fillers stray
#: by 0.05 from the loads behind them.
_READING_VARIANCE = 0.0016
#: Part of a change of the fillers' pressure that a reading may miss, since it
#: covers the half second in which the change fell.
_LAGGING_SHARE = 0.5
#: Use from which on a reading says only that the worker is overloaded.
_SATURATED = 0.93
#: Lightest load of a service at its quietest, as a share of its idle time.
_IDLE_SHARE = 0.8
#: Idle tail latency as a share of the target before the first reading.
_FIRST_IDLE = 0.25
#: Weight of a reading in the usual load.
_USUAL_STEP = 0.02

#: Image of a serving task, image of a filler.
ImagePair = tuple[str, str]
#: Processor used by fillers as a share of their worker's, by image.
CpuShares = dict[str, float]


@dataclass(kw_only=True, slots=True)
class LoadEstimate:
    """
    Load of the users of a step, followed with its trend.

    :param level: use without any filler, 0 to 1.
    :param trend: change of the level in a second.
    :param long_term_level: slow mean of the level.
    """

    level: float = _FIRST_LOAD
    trend: float = 0
    long_term_level: float = _FIRST_LOAD
    level_variance: float = _FIRST_LOAD_VARIANCE
    trend_variance: float = _TREND_DRIFT
    covariance: float = 0
    predicted_at: MonotonicTime = 0

    def forecast(self, ahead_s: Seconds) -> float:
        """
        Predict the load.

        :param ahead_s: how far ahead of the last reading, in seconds.
        :returns: use without any filler.
        """
        return min(max(self.level + self.trend * ahead_s, 0), 1)

    def predict(self, now: MonotonicTime) -> None:
        """
        Carry the estimate on to a moment.

        :param now: reading of the monotonic clock.
        """
        passed_s = min(now - self.predicted_at, 1) if self.predicted_at else 0
        self.predicted_at = now
        if passed_s <= 0:
            return
        self.level += self.trend * passed_s
        self.trend *= 1 - (1 - _TREND_MEMORY) * passed_s
        self.level_variance += passed_s * (
            2 * self.covariance + passed_s * self.trend_variance
        )
        self.covariance += passed_s * self.trend_variance
        self.trend_variance += _TREND_DRIFT * passed_s

    def update(self, error: float, total: float) -> None:
        """
        Move the estimate by its part of an error.

        :param error: use that was read less the use that was expected.
        :param total: variance of the expectation and of the reading.
        """
        level_gain = self.level_variance / total
        trend_gain = self.covariance / total
        self.level = min(max(self.level + level_gain * error, 0), 1)
        self.trend += trend_gain * error
        self.trend_variance -= trend_gain * self.covariance
        self.covariance *= 1 - level_gain
        self.level_variance *= 1 - level_gain
        self.long_term_level += _USUAL_STEP * (
            self.level - self.long_term_level
        )


@dataclass(kw_only=True, slots=True)
class _Weight:
    amount: float = _FIRST_WEIGHT
    variance: float = _FIRST_VARIANCE


@dataclass(kw_only=True, slots=True)
class InterferenceModel:
    """
    Weights of pairs of images.

    :param least_by_image: smallest reading of each serving image, in
        milliseconds.
    """

    weight_by_pair: dict[ImagePair, _Weight] = field(default_factory=dict)
    least_by_image: dict[str, float] = field(default_factory=dict)

    def weight(self, serving: str, filler: str) -> float:
        """
        Give the weight of a pair.

        :param serving: image of the serving task.
        :param filler: image of the filler.
        :returns: use added by fillers on a whole worker's processor.
        """
        known = self.weight_by_pair.get((serving, filler))
        return _FIRST_WEIGHT if known is None else known.amount

    def compute_mean_weight(self, serving: str) -> float:
        """
        Give the mean weight of the known pairs of a serving image.

        :param serving: image of the serving task.
        :returns: the mean; the first guess when no pair is known.
        """
        known = [
            weight.amount
            for pair, weight in self.weight_by_pair.items()
            if pair[0] == serving
        ]
        return sum(known) / len(known) if known else _FIRST_WEIGHT

    def compute_utilisation(
        self, serving: str, tail_ms: float, target_ms: float
    ) -> float:
        """
        Convert a tail latency into use.

        :param serving: image of the serving task.
        :param tail_ms: tail latency, in milliseconds.
        :param target_ms: its target, in milliseconds.
        :returns: use, 0 to 1.
        """
        idle_ms = self._idle_ms(serving, target_ms)
        return 1 - idle_ms / max(tail_ms, idle_ms)

    def learn(
        self,
        serving: str,
        load: LoadEstimate,
        shares: CpuShares,
        *,
        changes: CpuShares,
        tail_ms: float,
        target_ms: float,
    ) -> float:
        """
        Learn from a reading.

        :param serving: image of the serving task.
        :param load: load of its step, which is corrected.
        :param shares: what the fillers beside it use.
        :param changes: by how much that has changed since the last reading.
        :param tail_ms: tail latency that was read, in milliseconds.
        :param target_ms: its target, in milliseconds.
        :returns: use that the reading shows beyond what the fillers add.
        """
        least_ms = self.least_by_image.get(serving, tail_ms)
        self.least_by_image[serving] = min(least_ms, tail_ms)
        use = min(
            self.compute_utilisation(serving, tail_ms, target_ms), _SATURATED
        )
        own_utilisation = use - self._added(serving, shares)
        error = own_utilisation - load.level
        if use == _SATURATED and error < 0:
            return own_utilisation
        idle_ms = self._idle_ms(serving, target_ms)
        noise = _ROUNDING_MS * idle_ms / max(tail_ms, idle_ms) ** 2
        lag = _LAGGING_SHARE * self._added(serving, changes)
        weights = {
            image: self.weight_by_pair.setdefault((serving, image), _Weight())
            for image in shares
        }
        total = load.level_variance + _READING_VARIANCE + noise**2 + lag**2
        total += sum(
            one.variance * shares[image] ** 2 for image, one in weights.items()
        )
        for image, one in weights.items():
            _correct(one, shares[image], error, total)
        load.update(error, total)
        return own_utilisation

    def record(self) -> InterferenceRecord:
        """
        Give what was learned.

        :returns: the record.
        """
        return InterferenceRecord(
            weights=tuple(
                InterferenceWeightRecord(
                    serving=serving,
                    filler=filler,
                    amount=round(weight.amount, _RECORD_DIGITS),
                    variance=round(weight.variance, _RECORD_DIGITS),
                )
                for (serving, filler), weight in self.weight_by_pair.items()
            ),
            least_by_image=dict(self.least_by_image),
        )

    def restore(self, record: InterferenceRecord) -> None:
        """
        Take over what an owner before has learned.

        :param record: its record.
        """
        for one in record.weights:
            self.weight_by_pair[one.serving, one.filler] = _Weight(
                amount=one.amount,
                variance=max(one.variance, _INHERITED_VARIANCE),
            )
        self.least_by_image.update(record.least_by_image)

    def _added(self, serving: str, shares: CpuShares) -> float:
        return sum(
            self.weight(serving, image) * share
            for image, share in shares.items()
        )

    def _idle_ms(self, serving: str, target_ms: float) -> float:
        least_ms = self.least_by_image.get(serving)
        if least_ms is None:
            return target_ms * _FIRST_IDLE
        return min(least_ms, target_ms) * _IDLE_SHARE


def _correct(
    weight: _Weight,
    share: float,
    error: float,
    total: float,
) -> None:
    gain = weight.variance * share / total
    changed = weight.amount + gain * error
    weight.amount = min(max(changed, 0), _LARGEST_WEIGHT)
    left = weight.variance * (1 - gain * share)
    weight.variance = max(left, _LEAST_VARIANCE)

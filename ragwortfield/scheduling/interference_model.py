"""Estimates how much fillers slow the serving tasks on the same worker.

A serving task is modelled as a queue: its tail latency is
``idle / (1 - utilisation)``. Its utilisation is the load of its own users,
which all tasks of its step share, plus the interference of the fillers (best-
effort batch tasks) on its worker: for each filler image, a weight times the
share of the worker's CPU that these fillers use. There is one weight for each
pair of a serving image and a filler image, because some pairs barely interfere
and others do so strongly. Loads swing within seconds, so each load is tracked
together with its trend. Weights and loads are estimated as in a Kalman filter:
each estimate has a variance, and a reading corrects it in proportion to its
part of the total variance.
"""

from dataclasses import dataclass, field

from ragwortfield.scheduling.records import (
    InterferenceRecord,
    InterferenceWeightRecord,
)
from ragwortfield.types import MonotonicTime, Seconds

#: Weight of an unknown pair, and its variance.
_INITIAL_WEIGHT = 1.5
_INITIAL_VARIANCE = 2.0
#: Lower bound of the variance of a weight; images do not change permanently.
_MIN_VARIANCE = 0.01
#: Lower bound of the variance of a weight taken over from an earlier owner.
_MIN_RESTORED_VARIANCE = 0.04
#: Decimal places of weights in the store.
_RECORD_DIGITS = 2
#: Upper bound of a weight. The lower bound is zero: a filler cannot speed up
#: the tasks beside it.
_MAX_WEIGHT = 8.0
#: Load before the first reading, and its variance.
_INITIAL_LOAD = 0.45
_INITIAL_LOAD_VARIANCE = 0.04
#: Growth of the variance of a load's trend per second: loads swing by about
#: half of their mean within five seconds.
_TREND_DRIFT = 0.006
#: Share of a trend that remains after a second without readings.
_TREND_RETENTION = 0.8
#: Rounding error of a reading, which is a whole number of milliseconds.
_ROUNDING_MS = 0.5
#: Variance of a reading beyond its rounding: readings without fillers deviate
#: by 0.05 from the loads that cause them.
_READING_VARIANCE = 0.0016
#: Share of a change of interference that a reading may miss, because the
#: reading covers the half second in which the change happened.
_LAGGING_SHARE = 0.5
#: Utilisation from which on a reading shows only that the worker is
#: overloaded.
_SATURATED = 0.93
#: Idle tail latency as a share of the smallest tail latency read, because even
#: a quiet service has some load.
_IDLE_SHARE = 0.8
#: Idle tail latency as a share of the target before the first reading.
_INITIAL_IDLE_SHARE = 0.25
#: Smoothing factor of the long-term level, for each reading.
_LONG_TERM_SMOOTHING = 0.02

#: Image of a serving task, image of a filler.
ImagePair = tuple[str, str]
#: CPU that fillers use as a share of the worker's CPU, by filler image.
CpuShares = dict[str, float]


@dataclass(kw_only=True, slots=True)
class LoadEstimate:
    """
    Estimated load from the users of a step, with its trend.

    :param level: utilisation without fillers, 0 to 1.
    :param trend: change of the level per second.
    :param long_term_level: moving average of the level.
    :param predicted_at: time that the estimate stands for, on the monotonic
        clock; 0 before the first prediction.
    """

    level: float = _INITIAL_LOAD
    trend: float = 0
    long_term_level: float = _INITIAL_LOAD
    level_variance: float = _INITIAL_LOAD_VARIANCE
    trend_variance: float = _TREND_DRIFT
    covariance: float = 0
    predicted_at: MonotonicTime = 0

    def forecast(self, ahead_s: Seconds) -> float:
        """
        Forecast the load without changing the estimate.

        :param ahead_s: time after the latest prediction, in seconds.
        :returns: utilisation without fillers, 0 to 1.
        """
        return min(max(self.level + self.trend * ahead_s, 0), 1)

    def predict(self, now: MonotonicTime) -> None:
        """
        Advance the estimate to the present time (Kalman prediction).

        Advances by one second at most.

        :param now: monotonic time, in seconds.
        """
        elapsed_s = min(now - self.predicted_at, 1) if self.predicted_at else 0
        self.predicted_at = now
        if elapsed_s <= 0:
            return
        self.level += self.trend * elapsed_s
        self.trend *= 1 - (1 - _TREND_RETENTION) * elapsed_s
        self.level_variance += elapsed_s * (
            2 * self.covariance + elapsed_s * self.trend_variance
        )
        self.covariance += elapsed_s * self.trend_variance
        self.trend_variance += _TREND_DRIFT * elapsed_s

    def update(self, error: float, total_variance: float) -> None:
        """
        Correct the estimate by a reading (Kalman update).

        :param error: utilisation that was read minus the expected one.
        :param total_variance: variance of the error.
        """
        level_gain = self.level_variance / total_variance
        trend_gain = self.covariance / total_variance
        self.level = min(max(self.level + level_gain * error, 0), 1)
        self.trend += trend_gain * error
        self.trend_variance -= trend_gain * self.covariance
        self.covariance *= 1 - level_gain
        self.level_variance *= 1 - level_gain
        self.long_term_level += _LONG_TERM_SMOOTHING * (
            self.level - self.long_term_level
        )


@dataclass(kw_only=True, slots=True)
class _WeightEstimate:
    amount: float = _INITIAL_WEIGHT
    variance: float = _INITIAL_VARIANCE


@dataclass(kw_only=True, slots=True)
class InterferenceModel:
    """
    Weights of all pairs of images seen so far.

    :param min_tail_ms_by_image: smallest tail latency read of each serving
        image, in milliseconds.
    """

    weight_by_pair: dict[ImagePair, _WeightEstimate] = field(
        default_factory=dict,
    )
    min_tail_ms_by_image: dict[str, float] = field(default_factory=dict)

    def weight(self, serving: str, filler: str) -> float:
        """
        Return the weight of a pair.

        :param serving: image of the serving task.
        :param filler: image of the filler.
        :returns: utilisation added by fillers that use the whole CPU of a
            worker; the initial weight if the pair is unknown.
        """
        known = self.weight_by_pair.get((serving, filler))
        return _INITIAL_WEIGHT if known is None else known.amount

    def compute_mean_weight(self, serving: str) -> float:
        """
        Return the mean weight of the known pairs of a serving image.

        :param serving: image of the serving task.
        :returns: the mean; the initial weight if no pair is known.
        """
        known = [
            weight.amount
            for pair, weight in self.weight_by_pair.items()
            if pair[0] == serving
        ]
        return sum(known) / len(known) if known else _INITIAL_WEIGHT

    def compute_utilisation(
        self, serving: str, tail_ms: float, target_ms: float
    ) -> float:
        """
        Convert a tail latency to the utilisation that causes it.

        :param serving: image of the serving task.
        :param tail_ms: tail latency, in milliseconds.
        :param target_ms: target of the tail latency, in milliseconds.
        :returns: utilisation, 0 to 1.
        """
        idle_ms = self._estimate_idle_ms(serving, target_ms)
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
        Update the weights and the load from a reading of the tail latency.

        :param serving: image of the serving task.
        :param load: load estimate of its step, which is updated.
        :param shares: CPU shares of the fillers beside it.
        :param changes: absolute change of each share since the last reading.
        :param tail_ms: tail latency that was read, in milliseconds.
        :param target_ms: target of the tail latency, in milliseconds.
        :returns: utilisation that the reading shows, less the interference.
        """
        min_tail_ms = self.min_tail_ms_by_image.get(serving, tail_ms)
        self.min_tail_ms_by_image[serving] = min(min_tail_ms, tail_ms)
        utilisation = min(
            self.compute_utilisation(serving, tail_ms, target_ms),
            _SATURATED,
        )
        own_utilisation = utilisation - self._compute_interference(
            serving, shares
        )
        error = own_utilisation - load.level
        if utilisation == _SATURATED and error < 0:
            return own_utilisation
        idle_ms = self._estimate_idle_ms(serving, target_ms)
        noise = _ROUNDING_MS * idle_ms / max(tail_ms, idle_ms) ** 2
        lag = _LAGGING_SHARE * self._compute_interference(serving, changes)
        weights = {
            image: self.weight_by_pair.setdefault(
                (serving, image),
                _WeightEstimate(),
            )
            for image in shares
        }
        total_variance = (
            load.level_variance + _READING_VARIANCE + noise**2 + lag**2
        )
        total_variance += sum(
            weight.variance * shares[image] ** 2
            for image, weight in weights.items()
        )
        for image, weight in weights.items():
            _update_weight(weight, shares[image], error, total_variance)
        load.update(error, total_variance)
        return own_utilisation

    def record(self) -> InterferenceRecord:
        """
        Build the record to be stored.

        :returns: weights, rounded, and smallest tail latencies.
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
            least_by_image=dict(self.min_tail_ms_by_image),
        )

    def restore(self, record: InterferenceRecord) -> None:
        """
        Take over the model of an earlier owner.

        :param record: record that the earlier owner stored.
        """
        for weight in record.weights:
            self.weight_by_pair[weight.serving, weight.filler] = (
                _WeightEstimate(
                    amount=weight.amount,
                    variance=max(weight.variance, _MIN_RESTORED_VARIANCE),
                )
            )
        self.min_tail_ms_by_image.update(record.least_by_image)

    def _compute_interference(self, serving: str, shares: CpuShares) -> float:
        return sum(
            self.weight(serving, image) * share
            for image, share in shares.items()
        )

    def _estimate_idle_ms(self, serving: str, target_ms: float) -> float:
        min_tail_ms = self.min_tail_ms_by_image.get(serving)
        if min_tail_ms is None:
            return target_ms * _INITIAL_IDLE_SHARE
        return min(min_tail_ms, target_ms) * _IDLE_SHARE


def _update_weight(
    weight: _WeightEstimate,
    share: float,
    error: float,
    total_variance: float,
) -> None:
    gain = weight.variance * share / total_variance
    updated = weight.amount + gain * error
    weight.amount = min(max(updated, 0), _MAX_WEIGHT)
    remaining_variance = weight.variance * (1 - gain * share)
    weight.variance = max(remaining_variance, _MIN_VARIANCE)

"""How much fillers disturb the tasks that serve beside them.

The logarithm of a tail latency, as a share of its target, is taken as a base
that each serving task has for the moment plus, for each image of fillers, a
weight times the share of the worker's processor that these use. A weight
belongs to a pair of images, the serving one and the filler's; most pairs get
on well and some do not. Weights are learned over all workers of a shard, the
base for each task alone. Each estimate has a variance; a reading moves it by
its part of the total variance, as in a Kalman filter with a diagonal
covariance.
"""

import math
from dataclasses import dataclass, field

#: Weight of a pair before anything is known, and its variance.
_FIRST_WEIGHT = 2.5
_FIRST_VARIANCE = 6.0
#: Smallest variance of a weight; images do not change for good.
_LEAST_VARIANCE = 0.05
#: What the variance of a base gains between readings: the load of a serving
#: task swings by about half within five seconds.
_BASE_DRIFT = 0.01
#: Variance of one reading, which is a rough figure.
_READING_VARIANCE = 0.02
#: Largest weight; an image cannot help the tasks beside it either.
_LARGEST_WEIGHT = 20.0

#: Image of a serving task, image of a filler.
Pair = tuple[str, str]


@dataclass(kw_only=True, slots=True)
class Base:
    """
    Undisturbed tail latency of a serving task.

    :param amount: logarithm of its share of the target; a guess before the
        first reading.
    :param variance: how uncertain it is.
    """

    amount: float = -0.7
    variance: float = 0.5


@dataclass(kw_only=True, slots=True)
class _Weight:
    amount: float = _FIRST_WEIGHT
    variance: float = _FIRST_VARIANCE


@dataclass(kw_only=True, slots=True)
class PressureModel:
    """Weights of pairs of images."""

    weight_by_pair: dict[Pair, _Weight] = field(default_factory=dict)

    def weight(self, serving: str, filler: str) -> float:
        """
        Give the weight of a pair.

        :param serving: image of the serving task.
        :param filler: image of the filler.
        :returns: growth of the logarithm of the tail latency for a whole
            worker of processor use.
        """
        known = self.weight_by_pair.get((serving, filler))
        return _FIRST_WEIGHT if known is None else known.amount

    def mean_weight(self, serving: str) -> float:
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

    def disturbance(
        self,
        serving: str,
        share_by_image: dict[str, float],
    ) -> float:
        """
        Predict what fillers add to the logarithm of a tail latency.

        :param serving: image of the serving task.
        :param share_by_image: processor used, as a share of the worker's.
        :returns: the sum over all images.
        """
        return sum(
            self.weight(serving, image) * share
            for image, share in share_by_image.items()
        )

    def learn(
        self,
        serving: str,
        base: Base,
        share_by_image: dict[str, float],
        reading: float,
    ) -> None:
        """
        Learn from a reading.

        :param serving: image of the serving task.
        :param base: base of the task, which is changed.
        :param share_by_image: processor used, as a share of the worker's.
        :param reading: tail latency as a share of its target.
        """
        expected = base.amount + self.disturbance(serving, share_by_image)
        error = math.log(reading) - expected
        base.variance += _BASE_DRIFT
        weights = {
            image: self.weight_by_pair.setdefault((serving, image), _Weight())
            for image in share_by_image
        }
        total = base.variance + _READING_VARIANCE
        total += sum(
            one.variance * share_by_image[image] ** 2
            for image, one in weights.items()
        )
        for image, one in weights.items():
            share = share_by_image[image]
            gain = one.variance * share / total
            changed = one.amount + gain * error
            one.amount = min(max(changed, 0), _LARGEST_WEIGHT)
            left = one.variance * (1 - gain * share)
            one.variance = max(left, _LEAST_VARIANCE)
        base_gain = base.variance / total
        base.amount += base_gain * error
        base.variance *= 1 - base_gain

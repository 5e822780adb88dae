"""How much of the processor that serving tasks leave idle fillers can use.

Pattern: some pairs of images get on and some do not, so a worker's idle
processor is worth what the fillers that are asked for can make of it beside
the images that serve there. A worker where nothing serves bears every filler;
each further image takes away those that it does not get on with.
"""

from dataclasses import dataclass, field

from ragwortfield.scheduling.pressure import PressureModel
from ragwortfield.scheduling.worker_rows import WorkerRow

#: Use that a serving task at its usual load leaves for fillers.
_USUAL_HEADROOM = 0.25
#: Share of the work asked for whose pairs must be known, before an image's
#: tolerance says more than a guess.
_KNOWN_SHARE = 0.5


@dataclass(kw_only=True, slots=True)
class Tolerance:
    """
    Worth of idle processor beside sets of serving images.

    :param model: what is known of pairs of images.
    :param work_by_filler: work that was asked for, in core-seconds, by image
        of the fillers.
    """

    model: PressureModel
    work_by_filler: dict[str, float]
    _usable_by_images: dict[frozenset[str], float] = field(
        default_factory=dict,
    )

    def is_known(self, serving: str) -> bool:
        """
        Tell whether enough pairs of a serving image are known.

        :param serving: the image.
        :returns: whether its tolerance can be judged.
        """
        total = sum(self.work_by_filler.values())
        known = sum(
            work
            for filler, work in self.work_by_filler.items()
            if (serving, filler) in self.model.weight_by_pair
        )
        return total > 0 and known >= _KNOWN_SHARE * total

    def usable(self, images: frozenset[str]) -> float:
        """
        Tell what share of idle processor fillers can use.

        :param images: images that serve beside them.
        :returns: 1 where nothing serves, towards 0 beside harsh pairs.
        """
        known = self._usable_by_images.get(images)
        if known is None:
            known = self._mean_share(images)
            self._usable_by_images[images] = known
        return known

    def loss(self, worker: WorkerRow, serving: str) -> float:
        """
        Tell what fillers lose when an image begins to serve on a worker.

        :param worker: the worker.
        :param serving: the image.
        :returns: cores; 0 where the image serves already.
        """
        present = frozenset(worker.serving_by_image)
        share = self.usable(present) - self.usable(present | {serving})
        return worker.idle_cpu() * share

    def gain(self, worker: WorkerRow, serving: str) -> float:
        """
        Tell what fillers gain when an image serves no longer on a worker.

        :param worker: the worker.
        :param serving: the image.
        :returns: cores.
        """
        present = frozenset(worker.serving_by_image)
        share = self.usable(present - {serving}) - self.usable(present)
        return worker.idle_cpu() * share

    def _mean_share(self, images: frozenset[str]) -> float:
        total = sum(self.work_by_filler.values())
        if not images or not total:
            return 1
        return (
            sum(
                work * min(self._share(one, filler) for one in images)
                for filler, work in self.work_by_filler.items()
            )
            / total
        )

    def _share(self, serving: str, filler: str) -> float:
        weight = self.model.weight(serving, filler)
        return min(1, _USUAL_HEADROOM / max(weight, _USUAL_HEADROOM))

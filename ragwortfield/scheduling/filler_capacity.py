"""How much of the processor that serving tasks leave idle fillers can use.

Pattern: some pairs of images get on and some do not, so a worker's idle
processor is worth what the fillers that are asked for can make of it beside
the images that serve there. A worker where nothing serves bears every filler;
beside an image that a filler does not get on with, as many run as the
headroom of the serving tasks allows.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.worker_state import (
    SERVING_CPU_UTILISATION,
    WorkerState,
)

#: Use that a serving task at its usual load leaves for fillers.
_USUAL_HEADROOM = 0.25
#: Weight below which a pair gets on perfectly.
_LEAST_WEIGHT = 1e-6
#: Share of the work asked for whose pairs must be known, before an image's
#: tolerance says more than a guess.
_KNOWN_SHARE = 0.5

Images = frozenset[str]
#: Shares of the fillers' work, each with the weight of its harshest pair.
_Profile = tuple[tuple[float, float], ...]


@dataclass(kw_only=True, slots=True)
class FillerCapacity:
    """
    Worth of idle processor beside sets of serving images.

    :param model: what is known of pairs of images.
    :param work_by_filler: work that was asked for, in core-seconds, by image
        of the fillers.
    """

    model: InterferenceModel
    work_by_filler: dict[str, float]
    _profile_by_images: dict[Images, _Profile] = field(default_factory=dict)

    def is_estimable(self, serving: str) -> bool:
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

    def estimate_usable_cpu(
        self,
        images: Images,
        *,
        idle_cpu: float,
        capacity_cpu: float,
    ) -> float:
        """
        Tell how much idle processor fillers can use.

        :param images: images that serve beside them.
        :param idle_cpu: processor that is left idle, in cores.
        :param capacity_cpu: processor of the worker, in cores.
        :returns: cores, as a mean over the fillers that are asked for.
        """
        bearable_cpu = capacity_cpu * _USUAL_HEADROOM
        return sum(
            share * min(idle_cpu, bearable_cpu / max(weight, _LEAST_WEIGHT))
            for share, weight in self._profile(images)
        )

    def loss(self, worker: WorkerState, serving: str, cpu: float) -> float:
        """
        Tell what fillers lose when a task begins to serve on a worker.

        :param worker: the worker.
        :param serving: image of the task.
        :param cpu: processor that is promised to it, in cores.
        :returns: cores.
        """
        return self.estimate_loss_beside(
            frozenset(worker.serving_by_image),
            serving,
            cpu,
            idle_cpu=worker.idle_cpu(),
            capacity_cpu=worker.listed.room.cpu,
        )

    def estimate_loss_beside(
        self,
        present: Images,
        serving: str,
        cpu: float,
        *,
        idle_cpu: float,
        capacity_cpu: float,
    ) -> float:
        """
        Tell what fillers lose when a task begins to serve beside images.

        :param present: images that serve there already.
        :param serving: image of the task.
        :param cpu: processor that is promised to it, in cores.
        :param idle_cpu: processor that is left idle before, in cores.
        :param capacity_cpu: processor of the worker, in cores.
        :returns: cores.
        """
        before = self.estimate_usable_cpu(
            present,
            idle_cpu=idle_cpu,
            capacity_cpu=capacity_cpu,
        )
        return before - self.estimate_usable_cpu(
            present | {serving},
            idle_cpu=max(idle_cpu - cpu * SERVING_CPU_UTILISATION, 0),
            capacity_cpu=capacity_cpu,
        )

    def gain(
        self,
        worker: WorkerState,
        leaving: Iterable[str],
        cpu: float,
    ) -> float:
        """
        Tell what fillers gain when images serve no longer on a worker.

        :param worker: the worker.
        :param leaving: the images.
        :param cpu: processor that is promised to their tasks, in cores.
        :returns: cores.
        """
        present = frozenset(worker.serving_by_image)
        idle_cpu = worker.idle_cpu()
        before = self._usable_of(worker, present, idle_cpu)
        freed_cpu = idle_cpu + cpu * SERVING_CPU_UTILISATION
        staying = present.difference(leaving)
        return self._usable_of(worker, staying, freed_cpu) - before

    def _usable_of(
        self,
        worker: WorkerState,
        images: Images,
        idle_cpu: float,
    ) -> float:
        return self.estimate_usable_cpu(
            images,
            idle_cpu=idle_cpu,
            capacity_cpu=worker.listed.room.cpu,
        )

    def _profile(self, images: Images) -> _Profile:
        known = self._profile_by_images.get(images)
        if known is None:
            known = self._make_profile(images)
            self._profile_by_images[images] = known
        return known

    def _make_profile(self, images: Images) -> _Profile:
        total = sum(self.work_by_filler.values())
        if not images or not total:
            return ((1.0, 0),)
        return tuple(
            (
                work / total,
                max(self.model.weight(serving, filler) for serving in images),
            )
            for filler, work in self.work_by_filler.items()
        )

"""Estimates how much of the idle CPU of workers fillers can use.

Some pairs of images interfere with each other and others do not, so the idle
CPU of a worker is worth only what the fillers in demand can use of it beside
the images that serve there. On a worker without serving tasks every filler can
run; beside an image with which a filler interferes, as many can run as the
headroom of the serving tasks allows.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwortfield.scheduling.interference_model import InterferenceModel
from ragwortfield.scheduling.worker_state import (
    SERVING_CPU_UTILISATION,
    WorkerState,
)

#: Headroom of a serving task at its usual load, as a utilisation.
_TYPICAL_HEADROOM = 0.25
#: Lower bound of weights, in order not to divide by zero.
_MIN_WEIGHT = 1e-6
#: Minimum share of the requested filler work whose pairs with a serving image
#: must be known; with less, an estimate is only a guess.
_MIN_KNOWN_SHARE = 0.5

ImageSet = frozenset[str]
#: For each filler image: its share of the filler work, and its weight with the
#: serving image that it interferes with most.
_Profile = tuple[tuple[float, float], ...]


@dataclass(kw_only=True, slots=True)
class FillerCapacity:
    """
    Estimate of the CPU that fillers can use beside sets of serving images.

    :param model: weights of pairs of images.
    :param work_by_filler: filler work that was requested, in core-seconds, by
        filler image.
    """

    model: InterferenceModel
    work_by_filler: dict[str, float]
    _profile_by_images: dict[ImageSet, _Profile] = field(default_factory=dict)

    def is_estimable(self, serving: str) -> bool:
        """
        Tell whether enough pairs of a serving image are known.

        :param serving: image of the serving tasks.
        :returns: whether the known pairs cover enough of the filler work for
            an estimate.
        """
        total = sum(self.work_by_filler.values())
        known = sum(
            work
            for filler, work in self.work_by_filler.items()
            if (serving, filler) in self.model.weight_by_pair
        )
        return total > 0 and known >= _MIN_KNOWN_SHARE * total

    def estimate_usable_cpu(
        self,
        images: ImageSet,
        *,
        idle_cpu: float,
        capacity_cpu: float,
    ) -> float:
        """
        Estimate the idle CPU that fillers can use.

        :param images: images that serve on the worker.
        :param idle_cpu: CPU that is idle without fillers, in cores.
        :param capacity_cpu: whole CPU of the worker, in cores.
        :returns: cores, as a mean weighted by the requested filler work.
        """
        tolerated_cpu = capacity_cpu * _TYPICAL_HEADROOM
        return sum(
            share * min(idle_cpu, tolerated_cpu / max(weight, _MIN_WEIGHT))
            for share, weight in self._get_profile(images)
        )

    def estimate_loss(
        self, worker: WorkerState, serving: str, cpu: float
    ) -> float:
        """
        Estimate what fillers lose if a serving task is added to a worker.

        :param worker: the worker.
        :param serving: image of the task.
        :param cpu: CPU reserved for the task, in cores.
        :returns: usable CPU lost, in cores.
        """
        return self.estimate_loss_beside(
            frozenset(worker.serving_by_image),
            serving,
            cpu,
            idle_cpu=worker.idle_cpu(),
            capacity_cpu=worker.listed.capacity.cpu,
        )

    def estimate_loss_beside(
        self,
        present: ImageSet,
        serving: str,
        cpu: float,
        *,
        idle_cpu: float,
        capacity_cpu: float,
    ) -> float:
        """
        Estimate what fillers lose if a serving task is added to images.

        :param present: images that already serve on the worker.
        :param serving: image of the task.
        :param cpu: CPU reserved for the task, in cores.
        :param idle_cpu: CPU that is idle before the addition, in cores.
        :param capacity_cpu: whole CPU of the worker, in cores.
        :returns: usable CPU lost, in cores.
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

    def estimate_gain(
        self,
        worker: WorkerState,
        leaving: Iterable[str],
        cpu: float,
    ) -> float:
        """
        Estimate what fillers gain if images no longer serve on a worker.

        :param worker: the worker.
        :param leaving: images that are removed.
        :param cpu: CPU reserved for the tasks of these images, in cores.
        :returns: usable CPU gained, in cores.
        """
        present = frozenset(worker.serving_by_image)
        idle_cpu = worker.idle_cpu()
        before = self._estimate_usable_cpu_on(worker, present, idle_cpu)
        idle_cpu_after = idle_cpu + cpu * SERVING_CPU_UTILISATION
        staying = present.difference(leaving)
        return (
            self._estimate_usable_cpu_on(worker, staying, idle_cpu_after)
            - before
        )

    def _estimate_usable_cpu_on(
        self,
        worker: WorkerState,
        images: ImageSet,
        idle_cpu: float,
    ) -> float:
        return self.estimate_usable_cpu(
            images,
            idle_cpu=idle_cpu,
            capacity_cpu=worker.listed.capacity.cpu,
        )

    def _get_profile(self, images: ImageSet) -> _Profile:
        profile = self._profile_by_images.get(images)
        if profile is None:
            profile = self._build_profile(images)
            self._profile_by_images[images] = profile
        return profile

    def _build_profile(self, images: ImageSet) -> _Profile:
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

"""Tells which steps have a worker that could run their tasks if it were empty.

The load that it answers: jobs that wait for a label that no worker has, or for
more than any worker offers. They show no lack of capacity: as part of the
backlog, they would close queues whose jobs could start at once.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from ragwortfield.core.resources import Resources
from ragwortfield.scheduling.job import Step
from ragwortfield.scheduling.shard_state import ShardState


@dataclass(kw_only=True, slots=True)
class PlaceableSteps:
    """
    Labels and capacities of the workers that take tasks.

    :param state: state of the shard; later changes of its workers have no
        effect.
    """

    state: ShardState
    _capacities_by_label: defaultdict[tuple[str, str], set[Resources]] = field(
        init=False
    )

    def __post_init__(self) -> None:
        """Collect the different capacities by pool and label."""
        self._capacities_by_label = defaultdict(set)
        for worker in self.state.worker_by_id.values():
            if worker.is_listed and not worker.is_evacuated:
                listed = worker.listed
                for label in ('', *listed.labels):
                    self._capacities_by_label[listed.pool, label].add(
                        listed.capacity
                    )

    def is_placeable(self, pool: str, step: Step) -> bool:
        """
        Tell whether a task of a step fits on some worker.

        :param pool: pool of its queue.
        :param step: the step.
        """
        capacities = self._capacities_by_label.get((pool, step.required_label))
        return any(map(step.need.is_within, capacities or ()))

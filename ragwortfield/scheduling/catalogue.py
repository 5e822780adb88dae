"""Queues and pools of workers, as the configuration in force names them."""

from dataclasses import dataclass, field

from ragwortfield.types import Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class ApprovalTerms:
    """
    Terms of a queue whose workers are approved by another service.

    :param valid_s: how long an approval can be used, in seconds.
    """

    decide_s: Seconds
    each_s: Seconds
    valid_s: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """
    Queue of jobs.

    :param host: host name by which callers address it.
    :param path_prefix: start of the paths that belong to it.
    :param pool: pool of workers that runs its tasks.
    :param priority: 0 comes first.
    :param attempts: failed runs of a task that fail its job.
    :param stretch: factor on the longest chain in the latency objective.
    :param slack_s: constant part of the latency objective, in seconds.
    :param advice: terms of the approval that its starts need, if any.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    slack_s: Seconds = 0
    advice: ApprovalTerms | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """
    Pool of workers.

    :param is_guarded: whether workers refuse what does not fit them.
    :param is_spare: whether its machines are off and free of charge.
    """

    name: str
    is_guarded: bool = False
    is_spare: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Catalogue:
    """Queues and pools of one configuration version."""

    version: int
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    pool_by_name: dict[str, Pool] = field(default_factory=dict)

    def match_queue(self, host: str, path: str) -> Queue | None:
        """
        Find the queue with the longest matching prefix.

        :param host: host name the caller used, without a port.
        :param path: path of the request.
        :returns: the queue, if there is one.
        """
        best: Queue | None = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best

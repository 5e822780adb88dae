"""Queues and worker pools of one configuration version."""

from dataclasses import dataclass, field

from ragwortfield.core.client_limits import ClientLimits
from ragwortfield.types import Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class ApprovalTerms:
    """
    Approval settings of a queue whose workers an external service approves.

    :param decide_s: constant part of the time limit for an answer, in seconds.
    :param each_s: addition to that limit for each worker asked about, in
        seconds.
    :param valid_s: time for which an approval can be used, in seconds.
    """

    decide_s: Seconds
    each_s: Seconds
    valid_s: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """
    Queue of jobs.

    :param host: host name by which callers address it.
    :param path_prefix: prefix of the request paths that belong to it.
    :param pool: name of the worker pool that runs its tasks.
    :param priority: scheduling priority; 0 is the highest.
    :param attempts: number of failed runs of a task at which its job fails.
    :param stretch: factor on the critical path in the latency objective.
    :param slack_s: constant part of the latency objective, in seconds.
    :param advice: terms of the approval that starts need; ``None`` if they
        need none.
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

    :param is_guarded: whether its workers refuse runs that exceed their
        capacity.
    :param is_spare: whether its machines are switched off and free of
        charge.
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
    client_limits: ClientLimits = ClientLimits()

    def match_queue(self, host: str, path: str) -> Queue | None:
        """
        Find the queue of a request by host and longest matching path prefix.

        :param host: host name that the caller used, without a port.
        :param path: path of the request.
        :returns: the queue; ``None`` if no queue matches.
        """
        best: Queue | None = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best

"""Port to the service that approves workers for steps."""

from dataclasses import dataclass
from typing import Protocol

from ragwortfield.ports.platform import Unavailable
from ragwortfield.types import JobId, Seconds, WorkerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """
    Which of some workers may run a step.

    :param job_id: job of the step.
    :param occurrence: number of the repetition; 0 for a job without any.
    :param step: number of the step.
    :param worker_ids: workers that have room for it.
    :param timeout_s: longest wait for the answer, in seconds.
    """

    job_id: JobId
    occurrence: int
    step: int
    worker_ids: tuple[WorkerId, ...]
    timeout_s: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Approved:
    """
    Workers that may run the step; the others of the question may not.

    :param ticket_by_worker: proof that a start order has to carry.
    """

    ticket_by_worker: dict[WorkerId, str]


class ApprovalService(Protocol):
    """Service that knows which workers may run which step."""

    def request_approvals(self, question: Question) -> Approved | Unavailable:
        """Ask for one step; answers take time, a call for each worker."""

"""Protocol of the service that approves workers for job steps."""

from dataclasses import dataclass
from typing import Protocol

from ragwortfield.ports.platform import Unavailable
from ragwortfield.types import JobId, Seconds, WorkerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """
    Request to approve workers for a step.

    :param job_id: job of the step.
    :param occurrence: index of the occurrence; 0 for a job that does not
        repeat.
    :param step: index of the step within the job.
    :param worker_ids: workers with enough free capacity for the step.
    :param timeout_s: longest wait for the response, in seconds.
    """

    job_id: JobId
    occurrence: int
    step: int
    worker_ids: tuple[WorkerId, ...]
    timeout_s: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class Approved:
    """
    Workers that may run the step; all others in the request are rejected.

    :param ticket_by_worker: ticket that a start order for the step must carry
        as proof of the approval, by approved worker.
    """

    ticket_by_worker: dict[WorkerId, str]


class ApprovalService(Protocol):
    """Service that decides which workers may run which step."""

    def request_approvals(
        self, approval_request: Question
    ) -> Approved | Unavailable:
        """
        Request approvals for one step.

        The service checks each worker with a call of its own, so the time to
        respond grows with the number of workers.
        """

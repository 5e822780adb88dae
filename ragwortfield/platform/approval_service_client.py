"""HTTP client of the platform's approval service, called advice there."""

from http import HTTPStatus

import msgspec

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.adapters.json_codec import DECODE_ERRORS
from ragwortfield.core.outcomes import Broken, NotSent
from ragwortfield.ports.approvals import Approved, Question
from ragwortfield.ports.platform import Unavailable

_JSON_HEADERS = (('content-type', 'application/json'),)


class _WireApprovals(msgspec.Struct):
    """Response; ``good`` lists the approved workers with their tickets."""

    good: list[tuple[str, str]] = []


class ApprovalServiceClient:
    """
    HTTP client of the approval service.

    :param address: host and port; empty when no approval service is configured.
    """

    def __init__(self, *, address: str) -> None:
        """Create a client; it connects on the first request."""
        self._address = address
        self._pool = HttpConnectionPool(address=address) if address else None

    def request_approvals(
        self, approval_request: Question
    ) -> Approved | Unavailable:
        """
        Request approvals for a step.

        :param approval_request: the step and the candidate workers.
        :returns: the approved workers with their tickets.
        """
        if self._pool is None:
            return Unavailable(reason='no approval service in the settings')
        step_name = (
            f'{approval_request.job_id}.{approval_request.occurrence}.'
            f'{approval_request.step}'
        )
        request = HttpRequest(
            method='POST',
            path='/advise',
            fields=_JSON_HEADERS,
            body=msgspec.json.encode(
                {'step': step_name, 'workers': approval_request.worker_ids},
            ),
        )
        timeouts = Timeouts(
            first_byte_s=approval_request.timeout_s,
            total_s=approval_request.timeout_s,
        )
        outcome = self._pool.exchange(request, timeouts)
        if isinstance(outcome, NotSent | Broken):
            return Unavailable(reason=outcome.reason)
        if outcome.status != HTTPStatus.OK:
            return Unavailable(
                reason=f'approval service responded {outcome.status}, '
                f'expected {HTTPStatus.OK.value}',
            )
        return parse_approvals(outcome.body)


def parse_approvals(body: bytes) -> Approved | Unavailable:
    """
    Parse a response of the approval service.

    :param body: body of the response.
    :returns: the approved workers, or why the body cannot be parsed.
    """
    try:
        approvals = msgspec.json.decode(body, type=_WireApprovals)
    except DECODE_ERRORS as error:
        return Unavailable(
            reason=f'malformed response of the approval service: {error}'
        )
    return Approved(ticket_by_worker=dict(approvals.good))

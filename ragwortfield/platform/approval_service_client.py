"""Calls to the platform's advice service."""

from http import HTTPStatus

import msgspec

from ragwortfield.adapters.http_client import (
    HttpConnectionPool,
    HttpRequest,
    Timeouts,
)
from ragwortfield.core.outcomes import Broken, NotSent
from ragwortfield.ports.approvals import Approved, Question
from ragwortfield.ports.platform import Unavailable

_JSON = (('content-type', 'application/json'),)


class _WireAdvice(msgspec.Struct):
    """Answer; each row of ``good`` is a worker's identifier and a ticket."""

    good: list[tuple[str, str]] = []


class ApprovalServiceClient:
    """
    Service that approves workers.

    :param address: host and port; empty where there is none.
    """

    def __init__(self, *, address: str) -> None:
        """Create a client without connections."""
        self._address = address
        self._pool = HttpConnectionPool(address=address) if address else None

    def request_approvals(self, question: Question) -> Approved | Unavailable:
        """
        Ask which workers may run a step.

        :param question: step and workers.
        :returns: the approved ones with their tickets.
        """
        if self._pool is None:
            return Unavailable(reason='no advice service in the settings')
        name = f'{question.job_id}.{question.occurrence}.{question.step}'
        request = HttpRequest(
            method='POST',
            path='/advise',
            fields=_JSON,
            body=msgspec.json.encode(
                {'step': name, 'workers': question.worker_ids},
            ),
        )
        timeouts = Timeouts(
            first_byte_s=question.timeout_s,
            total_s=question.timeout_s,
        )
        outcome = self._pool.exchange(request, timeouts)
        if isinstance(outcome, NotSent | Broken):
            return Unavailable(reason=outcome.reason)
        if outcome.status != HTTPStatus.OK:
            return Unavailable(reason=f'advice got status {outcome.status}')
        return parse_approvals(outcome.body)


def parse_approvals(body: bytes) -> Approved | Unavailable:
    """
    Read an answer.

    :param body: the service's document.
    :returns: the approved workers, or why it cannot be read.
    """
    try:
        advice = msgspec.json.decode(body, type=_WireAdvice)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Unavailable(reason=f'unreadable advice: {error}')
    return Approved(ticket_by_worker=dict(advice.good))

"""Deferred requests as stored in the platform's table."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.types import ServiceName, TeamName, WallTime


class DeferredState(StrEnum):
    """State of a deferred request."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class DeferredRecord:
    """
    Stored deferred request, its progress and the response to it.

    :param body: request body in hexadecimal.
    :param runner: instance that runs the request while it is running; empty
        otherwise.
    :param generation: generation of the runner's seat.
    :param answer_status: HTTP status of the response; 0 if there is none.
    :param answer_body: body of the response in hexadecimal.
    """

    team: TeamName
    service: ServiceName
    method: str
    path: str
    fields: HeaderFields
    body: str
    request_id: str
    is_idempotent: bool
    accepted_at: WallTime
    state: DeferredState = DeferredState.WAITING
    runner: str = ''
    generation: int = 0
    attempts: int = 0
    answer_status: int = 0
    answer_fields: HeaderFields = ()
    answer_body: str = ''
    reason: str = ''

"""Deferred requests as recorded in the platform's table."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.core.outcomes import HeaderFields
from ragwortfield.types import ServiceName, TeamName, WallTime


class DeferredState(StrEnum):
    """Progress of a deferred request."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class DeferredRecord:
    """
    Deferred request with its progress.

    :param body: hexadecimal text of the body.
    :param runner: instance that runs it, while it is running.
    :param generation: generation of the runner's seat.
    :param answer_body: hexadecimal text of the answer's body.
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

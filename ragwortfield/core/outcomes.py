"""Outcomes of one HTTP exchange and of a caller's whole request."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.types import Seconds

#: Header fields in their order on the wire.
HeaderFields = tuple[tuple[str, str], ...]


class RunState(StrEnum):
    """What is certain about the run of a request."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request was written to a connection."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """
    Bytes were written, and no whole answer came.

    :param is_silent: whether the other end sent nothing at all in time.
    :param is_reused: whether the connection had carried an answer before.
    """

    reason: str
    is_silent: bool = False
    is_reused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """
    Whole answer, checked against its declared length.

    :param duration_s: time from the first byte sent to the last received.
    """

    status: int
    fields: HeaderFields
    body: bytes
    duration_s: Seconds = 0

    def get_header(self, name: str) -> str:
        """
        Look a header field up.

        :param name: lower-case name of the field.
        :returns: its first value; empty when absent.
        """
        for field_name, text in self.fields:
            if field_name.lower() == name:
                return text
        return ''


#: Outcome of one exchange over one connection.
ExchangeOutcome = NotSent | Broken | WholeAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """
    Answer of our own, in place of a target's answer.

    :param status: HTTP status.
    :param code: short stable word for programs.
    :param message: what was wrong, naming the value and the expectation.
    :param run_state: what is certain about this send.
    :param earlier_state: what is certain about earlier sends of the same
        key; ``None`` for a request without a key.
    :param retry_after_s: when another try makes sense; zero for no advice.
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    earlier_state: RunState | None = None
    retry_after_s: Seconds = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Served:
    """
    A target's whole answer, on its way to the caller.

    :param target_id: the target that ran the request.
    :param is_replay: whether the answer was kept from an earlier send.
    """

    answer: WholeAnswer
    target_id: str
    is_replay: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """Answer made by another entry instance, passed on as it is."""

    answer: WholeAnswer
    peer_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Receipt:
    """Promise that deferred work is durable and will be done."""

    receipt_id: str


#: Outcome of a caller's request.
RequestOutcome = Served | Relayed | Receipt | Refusal

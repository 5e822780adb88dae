"""Outcomes of single HTTP exchanges and of callers' requests."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.types import Seconds

#: Names and values of header fields, in the order on the wire.
HeaderFields = tuple[tuple[str, str], ...]


class RunState(StrEnum):
    """Whether a request is known to have run."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """
    No byte of the request was written to a connection.

    :param is_reset: whether the other end has reset a new connection.
    """

    reason: str
    is_reset: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """
    Bytes were written, but no complete response arrived.

    :param is_silent: whether the other end sent nothing before the time-out.
    :param is_reused: whether the connection had carried a response before.
    """

    reason: str
    is_silent: bool = False
    is_reused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """
    Complete HTTP response, checked against its declared length.

    :param duration_s: time from the first byte sent to the last byte received,
        in seconds.
    """

    status: int
    fields: HeaderFields
    body: bytes
    duration_s: Seconds = 0

    def get_header(self, name: str) -> str:
        """
        Return the value of a header field.

        :param name: name of the field in lower case.
        :returns: its first value; empty if the field is absent.
        """
        for field_name, value in self.fields:
            if field_name.lower() == name:
                return value
        return ''


#: Outcome of one HTTP exchange over one connection.
ExchangeOutcome = NotSent | Broken | WholeAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """
    Response of the entry instance in place of a target's response.

    :param status: HTTP status.
    :param code: stable, machine-readable error code.
    :param message: error message with the actual value and the expected one.
    :param run_state: whether this request is known to have run.
    :param earlier_state: whether earlier requests with the same idempotency
        key are known to have run; ``None`` for a request without a key.
    :param retry_after_s: recommended time to wait before a retry, in seconds;
        0 for no recommendation.
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
    Complete response of a target.

    :param target_id: target that ran the request.
    :param is_replay: whether the response was stored for an earlier request
        with the same idempotency key.
    """

    answer: WholeAnswer
    target_id: str
    is_replay: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """Response of another entry instance, passed on unchanged."""

    answer: WholeAnswer
    peer_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Receipt:
    """Receipt for a deferred request that is stored durably and will run."""

    receipt_id: str


#: Outcome of a caller's request.
RequestOutcome = Served | Relayed | Receipt | Refusal

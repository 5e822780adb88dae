"""Claims: records of which requests with an idempotency key have run."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.types import TeamName, WallTime


class ClaimState(StrEnum):
    """State of the only run that an idempotency key permits."""

    RUNNING = 'running'
    RAN = 'ran'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimKey:
    """Idempotency key within the namespace of its team."""

    team: TeamName
    key: str

    def text(self) -> str:
        """Return the key as text that is unique over all teams."""
        return f'{self.team}:{self.key}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """
    Claim on the only run of an idempotency key.

    :param digest: digest of method, path and body of the first request.
    :param nonce: distinguishes this claim from one that another seat holder
        wrote.
    :param opened_at: time at which the claim was made.
    :param answer_status: HTTP status of the stored response; 0 if there is
        none.
    :param answer_body: body of the stored response, in hexadecimal.
    :param is_answer_kept: whether the claim stores the response.
    """

    state: ClaimState
    digest: str
    nonce: str
    opened_at: WallTime
    answer_status: int = 0
    answer_fields: tuple[tuple[str, str], ...] = ()
    answer_body: str = ''
    is_answer_kept: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NewClaim:
    """The key has no earlier run; the request may run under this claim."""

    claim: Claim


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningClaim:
    """An earlier request with the key is still running."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishedClaim:
    """
    An earlier request with the key ran.

    :param answer: the response to it; ``None`` if it was too large to store.
    """

    answer: WholeAnswer | None


@dataclass(frozen=True, kw_only=True, slots=True)
class UncertainClaim:
    """It is unknown whether an earlier request with the key ran."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class MismatchedClaim:
    """The key was used before for a different request."""


#: Result of checking a request against the claim on its key.
ClaimDecision = (
    NewClaim | RunningClaim | FinishedClaim | UncertainClaim | MismatchedClaim
)

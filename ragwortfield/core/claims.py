"""Claims: what is known about the sends of one idempotency key."""

from dataclasses import dataclass
from enum import StrEnum

from ragwortfield.core.outcomes import WholeAnswer
from ragwortfield.types import TeamName, WallTime


class ClaimState(StrEnum):
    """Progress of the only run that a key allows."""

    RUNNING = 'running'
    RAN = 'ran'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not-run'


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimKey:
    """Idempotency key of a team."""

    team: TeamName
    key: str

    def text(self) -> str:
        """
        Join team and key into one name.

        :returns: name that is unique over all teams.
        """
        return f'{self.team}:{self.key}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """
    Claim on the only run of a key.

    :param digest: digest of method, path and body of the first send.
    :param nonce: tells this claim from one that another holder wrote.
    :param answer_status: status of the answer; zero when none is kept.
    :param answer_body: hexadecimal text of the kept answer.
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
    """The key was never claimed; its request may run."""

    claim: Claim


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningClaim:
    """An earlier send of the key is still running."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishedClaim:
    """
    An earlier send of the key ran.

    :param answer: its answer; ``None`` when it was too large to keep.
    """

    answer: WholeAnswer | None


@dataclass(frozen=True, kw_only=True, slots=True)
class UncertainClaim:
    """Whether an earlier send of the key ran is not known."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class MismatchedClaim:
    """The key was used before for another request."""


#: What a claim decision may be.
ClaimDecision = (
    NewClaim | RunningClaim | FinishedClaim | UncertainClaim | MismatchedClaim
)

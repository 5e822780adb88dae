"""Retry budget: retries stay a small share of what succeeds."""

from ragwortfield.core.outcomes import Broken, ExchangeOutcome, NotSent
from ragwortfield.core.requests import CallerRequest

#: Retries earned by each success.
_RETRIES_PER_SUCCESS = 0.1
#: Retries that may be saved up.
_MAX_RETRIES_LEFT = 10.0
#: Budget of an instance that has served nothing yet.
_INITIAL_RETRIES_LEFT = 2.0
#: Attempts of one request at most, the first one included.
MAX_ATTEMPTS = 3


class RetryBudget:
    """Budget shared by all requests of one instance."""

    def __init__(self) -> None:
        """Create a budget that allows a few retries."""
        self.retries_left = _INITIAL_RETRIES_LEFT

    def record_success(self) -> None:
        """Earn a part of a retry."""
        self.retries_left = min(
            self.retries_left + _RETRIES_PER_SUCCESS,
            _MAX_RETRIES_LEFT,
        )

    def try_spend(self) -> bool:
        """
        Ask for one retry.

        :returns: whether the budget allows it.
        """
        if self.retries_left < 1:
            return False
        self.retries_left -= 1
        return True


def is_retry_safe(request: CallerRequest, outcome: ExchangeOutcome) -> bool:
    """
    Tell whether another attempt cannot run a request twice by mistake.

    :param request: the request.
    :param outcome: what is certain about the last attempt.
    :returns: whether the request may be sent again.
    """
    if isinstance(outcome, NotSent):
        return True
    return isinstance(outcome, Broken) and request.is_idempotent

"""Retry budget, which keeps retries a small fraction of the successes."""

from ragwortfield.core.outcomes import Broken, ExchangeOutcome, NotSent
from ragwortfield.core.requests import CallerRequest

#: Retries that each success adds to the budget.
_RETRIES_PER_SUCCESS = 0.1
#: Maximum number of retries in the budget.
_MAX_RETRIES_LEFT = 10.0
#: Retries in the budget of a new instance.
_INITIAL_RETRIES_LEFT = 2.0
#: Maximum number of attempts per request, including the first one.
MAX_ATTEMPTS = 3


class RetryBudget:
    """Retry budget shared by all requests of one instance."""

    def __init__(self) -> None:
        """Create a budget with the initial number of retries."""
        self.retries_left = _INITIAL_RETRIES_LEFT

    def record_success(self) -> None:
        """Add the retries that a success is worth."""
        self.retries_left = min(
            self.retries_left + _RETRIES_PER_SUCCESS,
            _MAX_RETRIES_LEFT,
        )

    def try_spend(self) -> bool:
        """
        Spend one retry if the budget allows it.

        :returns: whether the retry is allowed.
        """
        if self.retries_left < 1:
            return False
        self.retries_left -= 1
        return True


def is_retry_safe(request: CallerRequest, outcome: ExchangeOutcome) -> bool:
    """
    Return whether a request may be sent again.

    A retry is safe if the last attempt sent nothing or if the request is
    idempotent.

    :param outcome: outcome of the last attempt.
    """
    if isinstance(outcome, NotSent):
        return True
    return isinstance(outcome, Broken) and request.is_idempotent

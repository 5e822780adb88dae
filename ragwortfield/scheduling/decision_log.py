"""Counts decisions by name, and logs a bounded number of them."""

from collections import Counter
from dataclasses import dataclass, field

from ragwortfield.log import event
from ragwortfield.types import MonotonicTime, Seconds

#: Most lines for each name per interval; a crowd of jobs would otherwise fill
#: the log with one line for each task.
_MAX_LINES_PER_INTERVAL = 20
#: Length of that interval, in seconds.
_INTERVAL_S: Seconds = 1


@dataclass(kw_only=True, slots=True)
class _LineBudget:
    """Lines logged for one name in the present interval."""

    interval_started_at: MonotonicTime
    line_count: int = 0
    unlogged_count: int = 0


@dataclass(kw_only=True, slots=True)
class DecisionLog:
    """
    Counts decisions and logs them as events.

    :param count_by_name: decisions so far.
    """

    count_by_name: Counter[str] = field(default_factory=Counter)
    _budget_by_name: dict[str, _LineBudget] = field(default_factory=dict)

    def count(self, name: str, amount: float = 1) -> None:
        """
        Count a decision without a log line.

        :param name: name of the decision.
        :param amount: what to add, such as seconds waited.
        """
        self.count_by_name[name] += amount

    def record(self, name: str, now: MonotonicTime, **fields: object) -> None:
        """
        Count a decision, and log it unless too many were logged just now.

        :param name: name of the decision and of the event.
        :param now: monotonic time, in seconds.
        :param fields: what the decision was based on.
        """
        self.count(name)
        budget = self._budget_by_name.get(name)
        if budget is None:
            budget = _LineBudget(interval_started_at=now)
            self._budget_by_name[name] = budget
        if now - budget.interval_started_at >= _INTERVAL_S:
            budget.interval_started_at = now
            budget.line_count = 0
        if budget.line_count >= _MAX_LINES_PER_INTERVAL:
            budget.unlogged_count += 1
            return
        budget.line_count += 1
        event(name, **fields, unlogged_before=budget.unlogged_count)
        budget.unlogged_count = 0

"""Record of what happened in a soak, and which times were undisturbed."""

import json
import math
import time
from dataclasses import dataclass, field
from typing import Any, TextIO

from ragwortfield.types import MonotonicTime, Seconds

#: Time after a disruption until its effects count as over, in seconds.
CONTACT_S: Seconds = 3
#: Time after a disruption in which a process may end by itself, in seconds.
_EXCUSED_END_S: Seconds = 1
#: Kind of planned work that no process may end of.
RELOAD = 'hup'
#: Target of disruptions of the store.
STORE = 'store'


@dataclass(kw_only=True, slots=True)
class Disruption:
    """
    Fault or planned work.

    :param is_planned: whether it is planned work.
    :param target: instance or worker that it strikes; empty for any other
        part.
    :param ended_at: its end; ``None`` while it goes on.
    """

    kind: str
    target: str
    is_planned: bool
    started_at: MonotonicTime
    ended_at: MonotonicTime | None = None

    def touches(
        self, started_at: MonotonicTime, ended_at: MonotonicTime
    ) -> bool:
        """
        Check whether the disruption goes on at any moment of a period.

        :param started_at: start of the period.
        :param ended_at: end of the period.
        :returns: whether they overlap.
        """
        if self.started_at > ended_at:
            return False
        return self.ended_at is None or self.ended_at >= started_at


@dataclass(kw_only=True, slots=True)
class Timeline:
    """
    Events, disruptions and violations of one run.

    :param output: file for the events, one JSON document a line.
    :param started_at: start of the traffic.
    """

    output: TextIO
    started_at: MonotonicTime = 0
    disruptions: list[Disruption] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def record(self, name: str, **fields: Any) -> None:
        """
        Write an event.

        :param name: name of the event.
        :param fields: its fields.
        """
        elapsed_s = round(time.monotonic() - self.started_at, 3)
        line = {'at': elapsed_s, 'event': name, **fields}
        self.output.write(f'{json.dumps(line, default=str)}\n')

    def violate(self, rule: str, **fields: Any) -> None:
        """
        Record a broken rule.

        :param rule: the rule and the clause.
        :param fields: what was seen.
        """
        elapsed_s = time.monotonic() - self.started_at
        self.violations.append(f'{elapsed_s:.3f} s {rule}: {fields}')
        self.record('violation', rule=rule, **fields)
        self.output.flush()

    def begin(
        self, kind: str, target: str = '', *, is_planned: bool = False
    ) -> Disruption:
        """
        Record the start of a disruption.

        :param kind: kind of the disruption.
        :param target: instance that it strikes; empty for any other part.
        :param is_planned: whether it is planned work.
        :returns: the disruption; ``end`` ends it.
        """
        disruption = Disruption(
            kind=kind,
            target=target,
            is_planned=is_planned,
            started_at=time.monotonic(),
        )
        self.disruptions.append(disruption)
        self.record('begin', kind=kind, target=target)
        return disruption

    def end(self, disruption: Disruption) -> None:
        """
        Record the end of a disruption.

        :param disruption: the disruption.
        """
        disruption.ended_at = time.monotonic()
        self.record('end', kind=disruption.kind, target=disruption.target)

    def is_calm(
        self,
        started_at: MonotonicTime,
        ended_at: MonotonicTime,
        *,
        is_planned_allowed: bool = False,
    ) -> bool:
        """
        Check whether all processes were in contact for a whole period.

        :param started_at: start of the period.
        :param ended_at: end of the period.
        :param is_planned_allowed: whether planned work does not count.
        :returns: whether no disruption went on in the period, or less than the
            contact time before it.
        """
        return not any(
            disruption.touches(started_at - CONTACT_S, ended_at)
            for disruption in self.disruptions
            if not (is_planned_allowed and disruption.is_planned)
        )

    def is_in_touch(
        self,
        target: str,
        started_at: MonotonicTime,
        ended_at: MonotonicTime,
    ) -> bool:
        """
        Check whether an instance or a worker and the store were undisturbed.

        :param target: name of the instance or the worker.
        :param started_at: start of the period.
        :param ended_at: end of the period.
        :returns: whether they were for the whole period and the contact time
            before it.
        """
        return not any(
            disruption.target in {target, STORE}
            and disruption.touches(started_at - CONTACT_S, ended_at)
            for disruption in self.disruptions
        )

    def calm_since(self) -> MonotonicTime:
        """
        Find since when all processes, workers and links are in contact.

        :returns: time by which the contact time after the last disruption is
            over; infinite while one goes on.
        """
        ends = [
            math.inf if disruption.ended_at is None else disruption.ended_at
            for disruption in self.disruptions
        ]
        return max(ends, default=self.started_at) + CONTACT_S

    def is_end_excused(self, instance: str) -> bool:
        """
        Check whether a process may end by itself now.

        By the users' rules an end does not count during a disruption on its
        machine or within a second of it; a start by the platform is one.

        :param instance: name of the instance.
        :returns: whether its end does not count.
        """
        now = time.monotonic()
        return any(
            disruption.target == instance
            and disruption.kind != RELOAD
            and disruption.touches(now - _EXCUSED_END_S, now)
            for disruption in self.disruptions
        )

    def is_stopping(
        self,
        target: str,
        started_at: MonotonicTime,
        ended_at: MonotonicTime,
    ) -> bool:
        """
        Check whether planned work on an instance touches a period.

        :param target: the instance.
        :param started_at: start of the period.
        :param ended_at: end of the period.
        :returns: whether it does.
        """
        return any(
            disruption.is_planned
            and disruption.target == target
            and disruption.touches(started_at, ended_at)
            for disruption in self.disruptions
        )

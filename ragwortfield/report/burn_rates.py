"""Service-level burn: how fast teams and services spend their error budget.

The windows and the alert rule follow the multi-window, multi-burn-rate
alerts of the Google SRE Workbook, chapter 5.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ragwortfield.report.request_recorder import BUCKET_S, BurnBucket
from ragwortfield.types import WallTime

#: Lengths of the windows by name, in minutes.
WINDOW_MINUTES = {'5m': 5, '30m': 30, '1h': 60, '6h': 360}
#: Burn rate at which both windows of a pair raise an alert.
ALERT_RULES = (
    ('1h', '5m', 14.4, 'page'),
    ('6h', '30m', 6.0, 'page'),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class WindowBurnRate:
    """
    Burn inside one window.

    :param rate: share of bad requests over the share that the objective
        allows; 1 spends the budget exactly.
    """

    window: str
    total: int
    bad: int
    rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceBurnRates:
    """
    Burn of one team at one service.

    :param alert: ``page`` when a pair of windows burns too fast, else empty.
    """

    team: str
    service: str
    objective_share: float
    windows: tuple[WindowBurnRate, ...]
    alert: str = ''


def compute_burn_rates(
    buckets: Iterable[BurnBucket],
    objective_by_service: dict[str, float],
    now: WallTime,
) -> tuple[ServiceBurnRates, ...]:
    """
    Add buckets up into burn rates.

    :param buckets: buckets of all instances.
    :param objective_by_service: share of good requests that is promised.
    :param now: end of the windows, by the wall clock.
    :returns: burn by team and service, in their order.
    """
    minute = int(now) // BUCKET_S
    by_pair: dict[tuple[str, str], list[BurnBucket]] = {}
    for bucket in buckets:
        pair = (bucket.team, bucket.service)
        by_pair.setdefault(pair, []).append(bucket)
    burns = []
    for (team, service), own in sorted(by_pair.items()):
        objective = objective_by_service.get(service)
        if objective is None:
            continue
        windows = tuple(
            _window_burn(name, own, objective, minute)
            for name in WINDOW_MINUTES
        )
        burns.append(
            ServiceBurnRates(
                team=team,
                service=service,
                objective_share=objective,
                windows=windows,
                alert=_alert(windows),
            ),
        )
    return tuple(burns)


def format_burn_report(burns: tuple[ServiceBurnRates, ...]) -> str:
    """
    Format the report as text.

    :param burns: burn by team and service.
    :returns: a table, one row a team and service.
    """
    names = ' '.join(f'{name:>8}' for name in WINDOW_MINUTES)
    lines = [f'{"team":<16} {"service":<16} {"goal":>7} {names}  alert']
    for burn in burns:
        rates = ' '.join(f'{one.rate:8.2f}' for one in burn.windows)
        lines.append(
            f'{burn.team:<16} {burn.service:<16} '
            f'{burn.objective_share:7.3%} {rates}  {burn.alert or "-"}',
        )
    if not burns:
        lines.append('no requests recorded in the last 6 hours')
    return '\n'.join(lines)


def _window_burn(
    name: str,
    buckets: list[BurnBucket],
    objective: float,
    minute: int,
) -> WindowBurnRate:
    first = minute - WINDOW_MINUTES[name] + 1
    inside = [bucket for bucket in buckets if bucket.minute >= first]
    total = sum(bucket.total for bucket in inside)
    bad = sum(bucket.bad for bucket in inside)
    share = bad / total if total else 0
    return WindowBurnRate(
        window=name,
        total=total,
        bad=bad,
        rate=share / (1 - objective),
    )


def _alert(windows: tuple[WindowBurnRate, ...]) -> str:
    rate_by_window = {one.window: one.rate for one in windows}
    for long, short, limit, alert in ALERT_RULES:
        if min(rate_by_window[long], rate_by_window[short]) > limit:
            return alert
    return ''

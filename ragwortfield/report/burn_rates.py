"""Burn rates: how fast each team and service spends its error budget.

The windows and the alert rules follow the multi-window, multi-burn-rate
alerts of the Google SRE Workbook, chapter 5.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ragwortfield.report.request_recorder import BUCKET_S, BurnBucket
from ragwortfield.types import WallTime

#: Length of each window, in minutes.
WINDOW_MINUTES = {'5m': 5, '30m': 30, '1h': 60, '6h': 360}
#: Long window, short window, burn rate that both must exceed, and the alert
#: that is then raised.
ALERT_RULES = (
    ('1h', '5m', 14.4, 'page'),
    ('6h', '30m', 6.0, 'page'),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class WindowBurnRate:
    """
    Burn rate within one window.

    :param total: number of requests.
    :param bad: number of requests that missed the objective.
    :param rate: fraction of bad requests divided by the fraction that the
        objective allows; at 1 the error budget is spent exactly.
    """

    window: str
    total: int
    bad: int
    rate: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceBurnRates:
    """
    Burn rates of one team at one service.

    :param objective_share: fraction of requests that must meet the objective.
    :param alert: ``page`` if an alert rule applies, otherwise empty.
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
    Compute burn rates from request counts.

    Services without an objective are left out.

    :param buckets: request counts of all instances.
    :param objective_by_service: fraction of requests that must meet the
        objective.
    :param now: wall-clock time at which the windows end.
    :returns: burn rates, sorted by team and service.
    """
    minute = int(now) // BUCKET_S
    buckets_by_pair: dict[tuple[str, str], list[BurnBucket]] = {}
    for bucket in buckets:
        pair = (bucket.team, bucket.service)
        buckets_by_pair.setdefault(pair, []).append(bucket)
    burns = []
    for (team, service), pair_buckets in sorted(buckets_by_pair.items()):
        objective = objective_by_service.get(service)
        if objective is None:
            continue
        windows = tuple(
            _compute_window(name, pair_buckets, objective, minute)
            for name in WINDOW_MINUTES
        )
        burns.append(
            ServiceBurnRates(
                team=team,
                service=service,
                objective_share=objective,
                windows=windows,
                alert=_find_alert(windows),
            ),
        )
    return tuple(burns)


def format_burn_report(burns: tuple[ServiceBurnRates, ...]) -> str:
    """
    Format the report as a text table.

    :param burns: burn rates by team and service.
    :returns: the table, one row per team and service.
    """
    names = ' '.join(f'{name:>8}' for name in WINDOW_MINUTES)
    lines = [f'{"team":<16} {"service":<16} {"goal":>7} {names}  alert']
    for burn in burns:
        rates = ' '.join(f'{window.rate:8.2f}' for window in burn.windows)
        lines.append(
            f'{burn.team:<16} {burn.service:<16} '
            f'{burn.objective_share:7.3%} {rates}  {burn.alert or "-"}',
        )
    if not burns:
        lines.append('no requests recorded in the last 6 hours')
    return '\n'.join(lines)


def _compute_window(
    name: str,
    buckets: list[BurnBucket],
    objective: float,
    minute: int,
) -> WindowBurnRate:
    first_minute = minute - WINDOW_MINUTES[name] + 1
    window_buckets = [
        bucket for bucket in buckets if bucket.minute >= first_minute
    ]
    total = sum(bucket.total for bucket in window_buckets)
    bad = sum(bucket.bad for bucket in window_buckets)
    bad_share = bad / total if total else 0
    return WindowBurnRate(
        window=name,
        total=total,
        bad=bad,
        rate=bad_share / (1 - objective),
    )


def _find_alert(windows: tuple[WindowBurnRate, ...]) -> str:
    rate_by_window = {burn.window: burn.rate for burn in windows}
    for long, short, threshold, alert in ALERT_RULES:
        if min(rate_by_window[long], rate_by_window[short]) > threshold:
            return alert
    return ''

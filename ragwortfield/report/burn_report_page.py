"""HTML page with the burn rates as a table and a plot."""

import html
from collections.abc import Iterable

import pygal

from ragwortfield.report.burn_rates import ServiceBurnRates, format_burn_report
from ragwortfield.report.request_recorder import BurnBucket

#: Time span of the plot, in minutes.
_PLOTTED_MINUTES = 60


def render_burn_page(
    burns: tuple[ServiceBurnRates, ...],
    buckets: Iterable[BurnBucket],
    minute: int,
) -> str:
    """
    Render the report as an HTML page.

    :param burns: burn rates by team and service.
    :param buckets: request counts of all instances, for the plot.
    :param minute: last minute of the plot, in minutes since the Unix epoch.
    :returns: a self-contained HTML document.
    """
    plot = render_burn_plot(burns, tuple(buckets), minute)
    table = html.escape(format_burn_report(burns))
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        '<title>Error-budget burn rates</title></head><body>'
        '<h1>Error-budget burn rates</h1>'
        f'<pre>{table}</pre>{plot}</body></html>\n'
    )


def render_burn_plot(
    burns: tuple[ServiceBurnRates, ...],
    buckets: tuple[BurnBucket, ...],
    minute: int,
) -> str:
    """
    Plot the burn rates of the last hour, minute by minute.

    :param burns: burn rates by team and service.
    :param buckets: request counts of all instances.
    :param minute: last minute of the plot, in minutes since the Unix epoch.
    :returns: an SVG element.
    """
    first_minute = minute - _PLOTTED_MINUTES + 1
    chart = pygal.Line(
        title='Burn rate per minute (1 spends the budget exactly)',
        x_title='minutes ago',
        show_dots=False,
        js=[],
        disable_xml_declaration=True,
        x_labels_major_every=10,
        show_minor_x_labels=False,
    )
    chart.x_labels = [
        str(minute - plotted) for plotted in range(first_minute, minute + 1)
    ]
    for burn in burns:
        rates = []
        for plotted in range(first_minute, minute + 1):
            rates.append(_compute_minute_rate(burn, buckets, plotted))
        chart.add(f'{burn.team} / {burn.service}', rates)
    return str(chart.render(is_unicode=True))


def _compute_minute_rate(
    burn: ServiceBurnRates,
    buckets: tuple[BurnBucket, ...],
    minute: int,
) -> float:
    minute_buckets = [
        bucket
        for bucket in buckets
        if bucket.minute == minute
        and (bucket.team, bucket.service) == (burn.team, burn.service)
    ]
    total = sum(bucket.total for bucket in minute_buckets)
    bad = sum(bucket.bad for bucket in minute_buckets)
    bad_share = bad / total if total else 0
    return bad_share / (1 - burn.objective_share)

"""The burn report as an HTML page with a plot."""

import html
from collections.abc import Iterable

import pygal

from ragwortfield.report.burn_rates import ServiceBurnRates, format_burn_report
from ragwortfield.report.request_recorder import BurnBucket

#: Minutes that the plot shows.
_PLOTTED_MINUTES = 60


def render_burn_page(
    burns: tuple[ServiceBurnRates, ...],
    buckets: Iterable[BurnBucket],
    minute: int,
) -> str:
    """
    Make the HTML page.

    :param burns: burn by team and service.
    :param buckets: buckets of all instances, for the plot.
    :param minute: last minute of the plot, since the Unix epoch.
    :returns: a page that needs nothing else to be shown.
    """
    plot = render_burn_plot(burns, tuple(buckets), minute)
    table = html.escape(format_burn_report(burns))
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        '<title>Service-level burn</title></head><body>'
        '<h1>Service-level burn</h1>'
        f'<pre>{table}</pre>{plot}</body></html>\n'
    )


def render_burn_plot(
    burns: tuple[ServiceBurnRates, ...],
    buckets: tuple[BurnBucket, ...],
    minute: int,
) -> str:
    """
    Plot the burn rate of the last hour, minute by minute.

    :param burns: burn by team and service.
    :param buckets: buckets of all instances.
    :param minute: last minute of the plot, since the Unix epoch.
    :returns: an SVG element.
    """
    first = minute - _PLOTTED_MINUTES + 1
    chart = pygal.Line(
        title='Burn rate a minute (1 spends the budget exactly)',
        x_title='minutes ago',
        show_dots=False,
        js=[],
        disable_xml_declaration=True,
        x_labels_major_every=10,
        show_minor_x_labels=False,
    )
    chart.x_labels = [str(minute - one) for one in range(first, minute + 1)]
    for burn in burns:
        rates = []
        for one in range(first, minute + 1):
            rates.append(_rate(burn, buckets, one))
        chart.add(f'{burn.team} / {burn.service}', rates)
    return str(chart.render(is_unicode=True))


def _rate(
    burn: ServiceBurnRates,
    buckets: tuple[BurnBucket, ...],
    minute: int,
) -> float:
    own = [
        bucket
        for bucket in buckets
        if bucket.minute == minute
        and (bucket.team, bucket.service) == (burn.team, burn.service)
    ]
    total = sum(bucket.total for bucket in own)
    bad = sum(bucket.bad for bucket in own)
    share = bad / total if total else 0
    return share / (1 - burn.objective_share)

"""The report as one self-contained HTML page, and as text."""

import datetime

import jinja2
import pygal
from pygal import style

CHART_WIDTH = 560
CHART_HEIGHT = 260
CHART_STYLE = style.Style(
    background='transparent',
    plot_background='transparent',
    font_family='sans-serif',
    colors=('#2b6cb0', '#c53030', '#b7791f'),
)


def render_html(report):
    """Return the report as an HTML page without outside references."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader('celeryward.operators', '.'),
        autoescape=True,
    )
    environment.filters['time'] = format_time
    environment.filters['milliseconds'] = format_milliseconds
    template = environment.get_template('page.html')
    return template.render(
        report=report,
        charts=[draw_requests(report), draw_latency(report)],
    )


def new_chart(title, labels):
    """Return an empty line chart."""
    chart = pygal.Line(
        title=title,
        width=CHART_WIDTH,
        height=CHART_HEIGHT,
        style=CHART_STYLE,
        js=(),
        disable_xml_declaration=True,
        legend_at_bottom=True,
        x_label_rotation=45,
        include_x_axis=True,
    )
    chart.x_labels = labels
    return chart


def draw_requests(report):
    """Return a chart of requests, failures and late first tokens."""
    labels = [format_hour(hour.start) for hour in report.hours]
    chart = new_chart('Requests in each hour', labels)
    chart.add('requests', [hour.requests for hour in report.hours])
    chart.add('failed', [hour.failures for hour in report.hours])
    chart.add('first token late', [hour.late for hour in report.hours])
    return chart.render(is_unicode=True)


def draw_latency(report):
    """Return a chart of the time to the first token."""
    labels = [format_hour(hour.start) for hour in report.hours]
    chart = new_chart('Time to first token, p95, ms', labels)
    chart.add('p95', [hour.p95 * 1000 for hour in report.hours])
    return chart.render(is_unicode=True)


def render_text(report):
    """Yield the lines of the report for a terminal."""
    yield report.verdict
    for finding in report.worst:
        yield f'  - {finding.text}'
        yield f'    more: {finding.command}'
    yield ''
    yield 'Error budgets (share spent in 24 h; burn rates by window)'
    for each in report.burns:
        rates = '  '.join(f'{k} {v:.1f}' for k, v in each.rates.items())
        alert = each.severity or 'no alert'
        yield (
            f'  {each.customer} {each.objective} {each.target:.3%}: '
            f'{each.spent:.0%} spent; {rates}; {alert}'
        )
    yield ''
    yield 'Customers'
    for day in report.customers:
        codes = ', '.join(f'{k} {v}' for k, v in day.codes.items())
        yield (
            f'  {day.name}: {day.requests} requests ({codes}); '
            f'cost {day.cost:.2f}, always strong {day.strong_cost:.2f}; '
            f'first token p50 {format_milliseconds(day.first_token.p50)}, '
            f'p95 {format_milliseconds(day.first_token.p95)}'
        )
    yield ''
    bills = report.bills
    state = 'each request has one bill' if bills.ok else 'NOT reconciled'
    yield (
        f'Bills: {bills.bills} for {bills.served} requests, '
        f'{bills.doubled} doubled, {bills.missing} missing; {state}'
    )
    for line in report.rollouts:
        yield f'Rollout {line}'
    yield f'Newest daemon report: {report.newest_window_age:.0f} s old'


def format_time(at):
    """Return UTC seconds as a date and time."""
    moment = datetime.datetime.fromtimestamp(at, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%d %H:%M UTC')


def format_hour(at):
    """Return UTC seconds as hours and minutes."""
    moment = datetime.datetime.fromtimestamp(at, datetime.timezone.utc)
    return moment.strftime('%H:%M')


def format_milliseconds(seconds):
    """Return seconds as milliseconds with their unit."""
    return f'{seconds * 1000:.0f} ms'

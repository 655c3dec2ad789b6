"""Finds the outcome of a request and its cause in the logs of routers."""

import collections
import dataclasses

from celeryward.operators import log_lines
from celeryward.operators import withdrawals
from celeryward import registry

# Lines without a request id are shown with a request if they were written
# at most this long before its last line.
CONTEXT_SECONDS = 15.0
CONTEXT_PREFIXES = (
    'endpoint lost',
    'endpoint regained',
    'endpoint gone',
    'endpoint ended',
    withdrawals.ENDPOINT_CLOSED,
    withdrawals.ENDPOINT_COLD,
    withdrawals.DEPARTURE_ANNOUNCED,
    'store lost',
    'store regained',
    'configuration in force',
    # "router starts", "router stops" and "router stopped".
    'router st',
)
REQUEST_FAILED = 'request failed: '
DISPATCH_FAILED = 'dispatch failed: '
REQUEST_ENDED = 'request ended'
CALLER_LEFT = 'caller left'
SERVED = 'served'
# Fields that are printed after the message of a line, in this order.
DISPLAYED_FIELDS = (
    'endpoint',
    'software',
    'model',
    'larger',
    'confidence',
    'route',
    'service',
    'parts',
    'requests',
    'begun',
    'attempt',
    'after_event',
    'events',
    'runs',
    'again',
    'silent',
    'waiting',
    'announced_to',
    'closed_seconds',
    'tokens',
    'cause',
    'reason',
    'pieces',
    'in_flight',
    'suspected',
    'left',
    'status',
    'execution',
    'whole',
    'seconds',
    'configuration',
    'configuration_age',
    'endpoints',
    'version',
    'peer',
    'step',
)
CAUSES = registry.Registry('cause')


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLog:
    """Log lines of one request at one router.

    :param tuple lines: in the order in which they were written.
    :param tuple context: lines about the endpoints of the request, the
        store or the configuration, written shortly before its last line.
    """

    request_id: str
    router: str
    lines: tuple[log_lines.Line, ...]
    context: tuple[log_lines.Line, ...]

    def last_line(self, prefix):
        """Return the last line whose message has a prefix, or None."""
        matching = [
            each for each in self.lines if each.message.startswith(prefix)
        ]
        return matching[-1] if matching else None

    @property
    def code(self):
        """Error code that the router logged; empty if it logged no failure."""
        line = self.last_line(REQUEST_FAILED)
        return (
            line.message[len(REQUEST_FAILED) :].split(' ')[0] if line else ''
        )


def group_by_request(lines):
    """Return a :class:`RequestLog` for each request at each router.

    They are sorted by the time of their first line. Lines of one router
    keep their order. Clocks of routers may differ, so that times of
    different routers are never compared to find a cause.
    """
    by_request = collections.defaultdict(list)
    context = collections.defaultdict(list)
    for line in lines:
        if line.request_id != '-':
            by_request[(line.request_id, line.router)].append(line)
        elif line.message.startswith(CONTEXT_PREFIXES):
            context[line.router].append(line)
    request_logs = [
        RequestLog(
            request_id,
            router,
            tuple(request_lines),
            tuple(select_context(request_lines, context[router])),
        )
        for (request_id, router), request_lines in by_request.items()
    ]
    return sorted(
        request_logs, key=lambda request_log: request_log.lines[0].time
    )


def select_context(request_lines, context):
    """Yield the context lines that may explain the outcome of a request.

    Lines about endpoints count only if the request was dispatched there, or if
    it was refused because all endpoints of a service are closed or leave.
    """
    peers = {line.get('peer') for line in request_lines}
    end = request_lines[-1].time
    for line in context:
        age = (end - line.time).total_seconds()
        if (
            not 0.0
            <= age
            <= max(CONTEXT_SECONDS, withdrawals.effective_seconds(line))
        ):
            continue
        about_endpoint = line.message.startswith('endpoint')
        if not about_endpoint or line.get('peer') in peers:
            yield line
        elif withdrawals.is_withdrawal(line) and line.get('service') in peers:
            yield line


def find_cause(request_log):
    """Return the name and a description of the cause of the outcome.

    The first registered cause that applies is returned.
    """
    for name, describe in CAUSES.entries.items():
        text = describe(request_log)
        if text:
            return name, text
    failed = [
        line
        for line in request_log.lines
        if line.message.startswith(DISPATCH_FAILED)
    ]
    changes = withdrawals.describe_changes(request_log.context, failed)
    return SERVED, f'answered completely{changes}'


@CAUSES.register('caller-left')
def caller_left(request_log):
    """The caller closed the connection before the end of the response."""
    line = request_log.last_line(CALLER_LEFT)
    # A caller that leaves at its deadline has received an error before; then
    # that failure is the cause.
    if line is not None and not request_log.code:
        return f'the caller left after {line.get("seconds")} s'


@CAUSES.register('harmful-request')
def harmful_request(request_log):
    """Requests like this one crash the endpoints that run them."""
    if request_log.code == 'harmful_request':
        line = request_log.last_line(REQUEST_FAILED)
        reason = line.message[len(REQUEST_FAILED) :].partition(' ')[2]
        return f'{reason}; {describe_dispatch_failure(request_log)}'


@CAUSES.register('store-lost')
def store_lost(request_log):
    """The configuration was older than allowed, as the store was lost."""
    line = request_log.last_line(REQUEST_FAILED)
    if line is None or 'configuration is old' not in line.message:
        return None
    store_losses = [
        each
        for each in request_log.context
        if each.message[:10] == 'store lost'
    ]
    reason = (
        store_losses[-1].message
        if store_losses
        else 'no answer from the store in time'
    )
    return (
        f'the store last confirmed the configuration'
        f' {line.get("configuration_age")} s before: {reason}'
    )


@CAUSES.register('router-starting')
def router_starting(request_log):
    """The router had no configuration yet."""
    line = request_log.last_line(REQUEST_FAILED)
    if line is not None and 'no configuration yet' in line.message:
        return f'{request_log.router} had not read the configuration yet'


@CAUSES.register('retry-budget')
def retry_budget(request_log):
    """The retry budget did not allow another attempt."""
    line = request_log.last_line(REQUEST_FAILED)
    if line is not None and 'retry budget' in line.message:
        return (
            f'the retry budget was used up; before that '
            f'{describe_dispatch_failure(request_log)}'
        )


@CAUSES.register('endpoints-closed')
def endpoints_closed(request_log):
    """All endpoints had asked for a pause, or were cold."""
    if request_log.code == 'endpoints_closed':
        return 'no endpoint opened in time; ' + withdrawals.describe_closed(
            request_log.context
        )


@CAUSES.register('endpoints-leaving')
def endpoints_leaving(request_log):
    """All endpoints were leaving."""
    if request_log.code == 'endpoints_leaving':
        return 'all endpoints leave; ' + withdrawals.describe(
            request_log.context, withdrawals.DEPARTURE_ANNOUNCED
        )


@CAUSES.register('no-endpoint')
def no_endpoint(request_log):
    """No endpoint was available for the request."""
    line = request_log.last_line(REQUEST_FAILED)
    if line is not None and 'no endpoint of' in line.message:
        return (
            f'{line.message[len(REQUEST_FAILED) :]}; '
            f'{describe_dispatch_failure(request_log)}'
        )


@CAUSES.register('no-route')
def no_route(request_log):
    """The configuration has no route that matches the request."""
    if request_log.code == 'unknown_target':
        line = request_log.last_line(REQUEST_FAILED)
        return (
            f'configuration {line.get("configuration")} has no matching route'
        )


@CAUSES.register('unknown-key')
def unknown_key(request_log):
    """No customer has the key of the request."""
    if request_log.code == 'unauthenticated':
        line = request_log.last_line(REQUEST_FAILED)
        return f'configuration {line.get("configuration")} has no such key'


@CAUSES.register('deadline')
def deadline(request_log):
    """The deadline expired before a complete answer."""
    if request_log.code in ('answer_late', 'deadline_exceeded'):
        return (
            f'the deadline expired; {describe_dispatch_failure(request_log)}'
        )


@CAUSES.register('endpoint-silent')
def endpoint_silent(request_log):
    """The endpoint was silent and nothing could replace its answer."""
    failed = request_log.last_line(DISPATCH_FAILED)
    if not is_failed(request_log) or failed is None:
        return None
    silent = failed.get('silent')
    if silent:
        return f'endpoint {failed.get("endpoint")} was silent for {silent} s'


@CAUSES.register('endpoint-lost')
def endpoint_lost(request_log):
    """The endpoint became unreachable while it processed the request."""
    failed = request_log.last_line(DISPATCH_FAILED)
    if not is_failed(request_log) or failed is None:
        return None
    for line in request_log.context:
        if line.message == 'endpoint lost' and line.get('peer') == failed.get(
            'peer'
        ):
            return f'endpoint {line.get("endpoint")} could not be reached'


@CAUSES.register('connection-broken')
def connection_broken(request_log):
    """The endpoint connection failed, or the response was malformed."""
    if (
        is_failed(request_log)
        and request_log.last_line(DISPATCH_FAILED) is not None
    ):
        return describe_dispatch_failure(request_log)


@CAUSES.register('endpoint-failed')
def endpoint_failed(request_log):
    """The endpoint answered with a 5xx status."""
    line = request_log.last_line(REQUEST_ENDED)
    if (
        line is not None
        and line.get('status', 0) >= 500
        and not request_log.code
    ):
        dispatched = request_log.last_line('dispatched')
        name = dispatched.get('endpoint') if dispatched else '?'
        return f'endpoint {name} answered {line.get("status")}'


@CAUSES.register('other')
def unclassified_failure(request_log):
    """The request failed for a reason that no cause above covers."""
    if is_failed(request_log):
        line = request_log.last_line(REQUEST_FAILED) or request_log.lines[-1]
        return line.message


def is_failed(request_log):
    """Return whether the caller did not receive a complete answer."""
    line = request_log.last_line(REQUEST_ENDED)
    if request_log.code:
        return True
    if line is None:
        return False
    return line.get('status', 0) >= 400 or not line.get('whole', True)


def describe_dispatch_failure(request_log):
    """Return endpoint and error of the last failed dispatch as text."""
    line = request_log.last_line(DISPATCH_FAILED)
    if line is None:
        return 'no dispatch failed'
    reason = line.message[len(DISPATCH_FAILED) :]
    return f'endpoint {line.get("endpoint")}: {reason}'


def render(request_log):
    """Yield the lines of text that explain the outcome of a request.

    Lines of the request itself are marked with ``*``; times are relative
    to its first line.
    """
    name, text = find_cause(request_log)
    yield (
        f'request {request_log.request_id} at router '
        f'{request_log.router}: {name}'
    )
    yield f'  cause: {text}'
    merged = sorted(
        (*request_log.context, *request_log.lines),
        key=lambda line: line.number,
    )
    start = request_log.lines[0].time
    for line in merged:
        at = (line.time - start).total_seconds()
        mark = ' ' if line.request_id == '-' else '*'
        displayed = ' '.join(
            f'{field}={line.fields[field]}'
            for field in DISPLAYED_FIELDS
            if line.fields.get(field) not in (None, '')
        )
        yield f'  {mark} {at:+8.3f} s  {line.message}  [{displayed}]'


def count_causes(request_logs):
    """Return a counter of failed and refused requests by cause."""
    counts = collections.Counter(
        find_cause(request_log)[0] for request_log in request_logs
    )
    del counts[SERVED]
    return counts

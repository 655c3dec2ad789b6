"""Describes endpoints that got no requests, for the story of a request."""

ENDPOINT_CLOSED = 'endpoint closed'
ENDPOINT_COLD = 'endpoint is cold'
DEPARTURE_ANNOUNCED = 'endpoint announced'
# An endpoint that leaves is gone from the list after this time at most.
DEPARTURE_SECONDS = 600.0


def is_withdrawal(line):
    """Return whether an endpoint closed, is cold or leaves."""
    return line.message.startswith(
        (ENDPOINT_CLOSED, ENDPOINT_COLD, DEPARTURE_ANNOUNCED)
    )


def effective_seconds(line):
    """Return how long the state that a line reports may last."""
    if line.message.startswith(DEPARTURE_ANNOUNCED):
        return DEPARTURE_SECONDS
    if line.message.startswith(ENDPOINT_COLD):
        return float(line.get('seconds', 0.0))
    return float(line.get('closed_seconds', 0.0))


def describe(context, message):
    """Return as text which endpoints had closed or announced to leave.

    :param context: lines about endpoints.
    :param str message: prefix of the lines that count.
    """
    latest = {
        line.get('endpoint'): line.get('announced_to')
        for line in context
        if line.message.startswith(message)
    }
    texts = [
        f'{endpoint} said so to request {request_id}'
        for endpoint, request_id in latest.items()
    ]
    return '; '.join(texts) or 'according to the list of endpoints'


def describe_closed(context):
    """Return as text which endpoints had closed or were cold.

    :param context: lines about endpoints.
    """
    cold = {
        line.get('endpoint')
        for line in context
        if line.message.startswith(ENDPOINT_COLD)
    }
    texts = [f'{endpoint} was cold' for endpoint in sorted(cold)]
    closed = any(line.message.startswith(ENDPOINT_CLOSED) for line in context)
    if closed or not cold:
        texts.append(describe(context, ENDPOINT_CLOSED))
    return '; '.join(texts)


def describe_changes(context, failed):
    """Return as text why a request that was served changed its endpoint.

    :param context: lines about endpoints.
    :param failed: lines of failed dispatches of the request.
    """
    withdrawn = {
        line.get('endpoint'): line.message
        for line in context
        if is_withdrawal(line)
    }
    return ''.join(
        f'; changed from {line.get("endpoint")}:'
        f' {withdrawn[line.get("endpoint")]}'
        for line in failed
        if line.get('endpoint') in withdrawn
    )

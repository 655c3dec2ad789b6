"""Settings, requests and responses of a router process on the platform.

Like the stand-ins, this module contains the wire format of the platform.
"""

import pathlib

from adapter import messages
from adapter import settings_file

from tests import platform_standins as standins

ROOT = pathlib.Path(__file__).parent.parent
PROGRAM = 'platform/run.py'
CALLER_PORT = 18080
READINESS_PORT = 18081
METRICS_PORT = 9464
STOP_SECONDS = 8
# Statuses with which the router itself says that a request did not run.
NOT_RUN_STATUSES = frozenset((400, 401, 403, 404, 429, 503))
SETTINGS = """
nodeName = "{name}"
zone = "{failure_domain}"
ip = "{host}"
portRange = [18090, 18099]
[listen]
front = "{host}:{callers}"
ready = "{host}:{readiness}"
[bounds]
strictRevoke = true
revokeMs = 5000
graceS = {stop}
configApplyMs = 2000
drainMs = 2000
contactMs = 3000
retryRatio = 0.9
retryWindowS = 10
retrySlack = {slack}
exposureShare = 0.15
sessionS = 5.0
[provider]
address = "127.0.0.1:{store}"
historyS = 20
"""


def settings_text(
    name,
    host,
    store_port,
    retry_slack,
    failure_domain='a',
    stop_seconds=STOP_SECONDS,
):
    """Return the text of a router's settings file."""
    return SETTINGS.format(
        name=name,
        failure_domain=failure_domain,
        host=host,
        callers=CALLER_PORT,
        readiness=READINESS_PORT,
        store=store_port,
        stop=stop_seconds,
        slack=retry_slack,
    )


def environment(path):
    """Return the environment variables that name the settings file."""
    return {settings_file.PATH_VARIABLE: str(path)}


def configuration(version, keys):
    """Return a configuration spec with the given API keys."""
    spec = standins.configuration(version)
    spec['tenants'][0]['apiKeys'] = list(keys)
    return spec


def request_id(arrival):
    """Return the id of a request that an endpoint received."""
    return arrival.head.headers[messages.REQUEST_ID]


def first_event(arrival):
    """Return the number of the first event that a caller lacks."""
    return int(arrival.head.headers.get(messages.LAST_EVENT_ID, '0')) + 1


def prompt_parts(arrival):
    """Return the ids of the parts of a request's prompt."""
    value = arrival.head.headers.get(messages.PROMPT_PREFIX, '')
    return [entry.partition(':')[0] for entry in value.split(',')]


def prompt_headers(parts):
    """Return the header that names the parts of a prompt."""
    value = ','.join(f'{part}:100' for part in parts)
    return {messages.PROMPT_PREFIX.replace('-', '_'): value}


def stream_headers(confidence):
    """Return the headers of a stream besides those of each answer."""
    return {
        'content-type': 'text/event-stream',
        'transfer-encoding': 'chunked',
        messages.CONFIDENCE: str(confidence),
    }


def refusal_headers(refused_id):
    """Return the headers of an answer that says "not run".

    :param str refused_id: id of the request; empty to name none.
    """
    headers = {messages.NOT_EXECUTED: '1'}
    if refused_id:
        headers[messages.REQUEST_ID] = refused_id
    return headers


def turn_away(pause_seconds):
    """Return an action that refuses a request and asks for a pause."""
    return standins.respond_with(
        503, celeryward_not_executed='1', retry_after=str(pause_seconds)
    )


def is_not_run(head):
    """Return whether a response states that the request did not run."""
    from_router = messages.RESPONSE_SEAL not in head.headers
    return from_router and head.status in NOT_RUN_STATUSES


def direct_headers(headers, model):
    """Return the headers of a request sent to an endpoint directly."""
    return {**headers, messages.MODEL: model}

"""Configurations of the platform whose values differ from the usual ones.

Like the stand-ins, this module contains the wire format of the platform.
"""

import dataclasses

from tests import platform_processes as processes
from tests import platform_standins as standins

MILLISECONDS_PER_SECOND = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The values of a configuration that faults change.

    :param int idle_ms: after which an idle connection is closed.
    :param int timeout_ms: timeout of all routes.
    :param int added_routes: number of routes besides those of the callers.
    :param tuple weights: shares of the two entries of a route's services.
    :param int priority: priority of the customer.
    :param str moved_service: whose routes go to another service.
    :param str moved_to: that service.
    """

    idle_ms: int = 5000
    header_timeout_ms: int = 5000
    body_bytes: int = 100000
    timeout_ms: int = 2000
    added_routes: int = 0
    weights: tuple[float, float] | None = None
    priority: int = 1
    moved_service: str = ''
    moved_to: str = ''

    @property
    def timeout_seconds(self):
        """The timeout of all routes in seconds."""
        return self.timeout_ms / MILLISECONDS_PER_SECOND


DEFAULTS = Settings()


def write_spec(version, keys, settings):
    """Return the spec of a configuration."""
    spec = processes.configuration(version, keys)
    if settings == DEFAULTS:
        return spec
    spec['limits'] = {
        'idleTimeoutMs': settings.idle_ms,
        'headerTimeoutMs': settings.header_timeout_ms,
        'maxBodyBytes': settings.body_bytes,
    }
    if settings.moved_service:
        spec['services'].append({'name': 'spare'})
    spec['tenants'][0]['priority'] = settings.priority
    added = [
        standins.route(f'added-{version}-{number}', 'idempotent', 'app')
        for number in range(settings.added_routes)
    ]
    spec['routes'] = [
        each | route_changes(each, settings) for each in added + spec['routes']
    ]
    return spec


def route_changes(route, settings):
    """Return the fields in which settings change a route."""
    changes = {'timeoutMs': settings.timeout_ms}
    if route['service'] == settings.moved_service:
        changes['service'] = settings.moved_to
    if settings.weights:
        changes['backends'] = [
            {
                'service': changes.get('service', route['service']),
                'weight': weight,
            }
            for weight in settings.weights
        ]
    return changes

"""Routes whose services have weights."""

import types

import pytest

from celeryward.callers import planning
from celeryward import ingress
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.default_site()


def backends(**weights):
    """Return the list of weighted services of a route."""
    return [
        {'service': service, 'weight': weight}
        for service, weight in weights.items()
    ]


async def apply(site, version, entries):
    """Store a configuration whose first route has weighted services."""
    spec = standins.configuration(version)
    spec['routes'][0]['backends'] = entries
    await site.store.put('config', 'main', spec)
    await standins.wait_until(
        lambda: site.router.configuration.current.version == version
    )


def choose(route, number):
    """Return the service that a planner chooses for a request."""
    planner = planning.Planner(
        types.SimpleNamespace(closures=types.SimpleNamespace(clock=None))
    )
    metadata = ingress.RequestMetadata(f'request-{number}')
    return planner.choose_service(
        types.SimpleNamespace(route=route, metadata=metadata)
    )


class TestWeightOfZero:
    """Guards against requests to services that are to get none."""

    @pytest.mark.parametrize('position', (0, 1, 2))
    def test_service_without_a_weight_is_never_chosen(self, position):
        weights = [1.0, 1.0]
        weights.insert(position, 0.0)
        route = ingress.Route(
            'r',
            'h',
            '/',
            ingress.RouteKind.IDEMPOTENT,
            tuple(
                ingress.WeightedService(f's{number}', weight)
                for number, weight in enumerate(weights)
            ),
            1.0,
        )
        chosen = {choose(route, number) for number in range(200)}
        assert len(chosen) == 2
        assert f's{position}' not in chosen

    @pytest.mark.parametrize(
        'entries', (backends(app=0), backends(app=0, llm=0))
    )
    @standins.on_site
    async def test_route_without_any_weight_is_refused_as_not_run(
        self, site, entries
    ):
        """All of its requests went to its last service."""
        await apply(site, 2, entries)
        head, _ = await site.request('/whole/x')
        assert head.status == 503
        assert float(head.headers['retry-after']) > 0
        assert not site.arrivals()

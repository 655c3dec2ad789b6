"""Runs one stand-in as a process of its own."""

from celeryward import registry
from celeryward import signals
from celeryward.standins import engine
from celeryward.standins import platform
from celeryward.standins import rater
from celeryward.standins import service

STANDINS = registry.Registry('stand-in')


@STANDINS.register('platform')
def make_platform(port):
    """Return the object API's stand-in."""
    return platform.PlatformStandIn(port)


@STANDINS.register('engine')
def make_engine(port, versions='', capacity=8, token_seconds=0.0):
    """Return a model engine's stand-in.

    :param versions: ``model@version`` names; a comma separates them.
    """
    names = versions.split(',') if isinstance(versions, str) else versions
    standin = engine.EngineStandIn(
        names, port=port, token_seconds=float(token_seconds)
    )
    standin.capacity = int(capacity)
    return standin


@STANDINS.register('service')
def make_service(port):
    """Return a plain service's stand-in."""
    return service.ServiceStandIn(port)


@STANDINS.register('rater')
def make_rater(port, score=rater.DEFAULT_SCORE):
    """Return the rating service's stand-in, with one score for all."""
    standin = rater.RaterStandIn({}, port=port)
    standin.default_score = float(score)
    return standin


async def run(kind, port, options):
    """Run a stand-in until SIGTERM or SIGINT; print its port first."""
    standin = STANDINS.get(kind)(port, **options)
    with signals.signal_receiver() as stop_signal:
        await standin.start()
        print(f'{kind} listens on port {standin.port}', flush=True)
        await stop_signal()
    await standin.stop()

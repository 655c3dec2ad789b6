"""Runs a stand-in as a separate process."""

from celeryward import registry
from celeryward import signals
from celeryward.standins import engine
from celeryward.standins import platform
from celeryward.standins import rater
from celeryward.standins import service

STANDINS = registry.Registry('stand-in')


@STANDINS.register('platform')
def make_platform(port):
    """Return the stand-in of the object API."""
    return platform.PlatformStandIn(port)


@STANDINS.register('engine')
def make_engine(port, versions='', capacity=8, token_seconds=0.0):
    """Return the stand-in of a model engine.

    :param versions: ``model@version`` names, as a sequence or separated by
        commas.
    """
    names = versions.split(',') if isinstance(versions, str) else versions
    standin = engine.EngineStandIn(
        names, port=port, token_seconds=float(token_seconds)
    )
    standin.capacity = int(capacity)
    return standin


@STANDINS.register('service')
def make_service(port):
    """Return the stand-in of a plain service."""
    return service.ServiceStandIn(port)


@STANDINS.register('rater')
def make_rater(port, score=rater.DEFAULT_SCORE):
    """Return the stand-in of the rating service.

    :param float score: score of every answer.
    """
    standin = rater.RaterStandIn({}, port=port)
    standin.default_score = float(score)
    return standin


async def run(kind, port, options):
    """Start a stand-in, print its port, and run it until SIGTERM or SIGINT.

    :param str kind: name in :data:`STANDINS`.
    :param dict options: keyword arguments of the registered function.
    """
    standin = STANDINS.get(kind)(port, **options)
    with signals.signal_receiver() as receiver:
        await standin.start()
        print(f'{kind} listens on port {standin.port}', flush=True)
        await receiver.next_signal()
    await standin.stop()

"""Whether a request of a router may be served."""

import dataclasses

from celeryward.callers import relayed_requests
from celeryward import deadlines
from celeryward import errors
from celeryward import ingress
from celeryward.raters import sizes

# Time to come back after a refusal.
NOT_READY_RETRY_SECONDS = 0.5
STALE_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What a router believes, shared by all requests.

    :param str failure_domain: the failure domain of the router.
    :param configuration: :class:`ingress.ConfigurationHolder`.
    :param freshness: :class:`freshness.Freshness`.
    :param runners: :class:`runners.RunnerTable`.
    :param outcomes: :class:`outcomes.OutcomeTracker`.
    :param releases: :class:`releases.Releases`.
    :param ValueModel economy: what answers are worth.
    :param endpoint_freshness: :class:`freshness.Freshness` of the list of
        endpoints.
    """

    failure_domain: str
    configuration: ingress.ConfigurationHolder
    freshness: object
    runners: object
    outcomes: object
    releases: object
    economy: sizes.ValueModel
    endpoint_freshness: object


class Checks:
    """Routes and authenticates requests.

    :param Knowledge knowledge: what the router believes.
    """

    def __init__(self, knowledge):
        self.knowledge = knowledge

    def beliefs(self):
        """Return what a refusal was decided on, for the log."""
        knowledge = self.knowledge
        current = knowledge.configuration.current
        return {
            'configuration': current.version if current else None,
            'configuration_age': rounded_age(knowledge.freshness),
            'endpoints': len(knowledge.runners.runners),
            'endpoints_age': rounded_age(knowledge.endpoint_freshness),
        }

    def begin(self, ask, head, body):
        """Return the request, as it is relayed, if it may be served.

        :raises errors.NotRun: if it may not.
        """
        knowledge = self.knowledge
        configuration = knowledge.configuration.current
        if configuration is None or not knowledge.runners.runners:
            raise unready('no configuration yet', NOT_READY_RETRY_SECONDS)
        fresh = knowledge.freshness.is_fresh()
        host = head.headers.get('host', '').partition(':')[0]
        route = configuration.match(host, head.path)
        if route is None:
            if not fresh:
                raise stale()
            raise errors.UnknownTarget(
                'no route for this host and path', step='route', peer=host
            )
        holder = self.authenticate(configuration, route, ask, fresh)
        wait = route.timeout_seconds
        if ask.wait_seconds is not None:
            wait = min(wait, ask.wait_seconds)
        deadline = deadlines.Deadline.after(wait)
        return relayed_requests.RelayedRequest(
            ask, route, holder, head, body, deadline
        )

    def authenticate(self, configuration, route, ask, fresh):
        """Return the customer that holds the key; None on public routes.

        :raises errors.Unauthenticated: if no customer holds the key.
        """
        if route.public or not configuration.holders:
            return None
        if not fresh:
            raise stale()
        holder = configuration.holder_by_key.get(ask.key)
        if holder is None:
            raise errors.Unauthenticated(
                'no customer holds the key', step='authenticate', peer='-'
            )
        return holder


def rounded_age(known):
    """Return the age of a confirmation in seconds, or None, for the log."""
    age = known.age()
    return None if age is None else round(age, 3)


def stale():
    """Return the refusal while keys can't be confirmed."""
    return unready('configuration is old', STALE_RETRY_SECONDS)


def unready(message, seconds):
    """Return the error of a router that can't judge requests now."""
    return errors.NotRun(
        message,
        step='admit',
        peer='-',
        retry_at=deadlines.Deadline.after(seconds),
    )

"""Admission control of the router: routing and authentication."""

import dataclasses

from celeryward.callers import relayed_requests
from celeryward import deadlines
from celeryward import errors
from celeryward import ingress
from celeryward.raters import sizes

# Retry delays that are sent with a refusal.
NOT_READY_RETRY_SECONDS = 0.5
STALE_RETRY_SECONDS = 1.0
NO_WEIGHT_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouterState:
    """State of a router, shared by all requests.

    :param str failure_domain: the failure domain of the router.
    :param ingress.ConfigurationHolder configuration: holds the configuration
        in force.
    :param freshness: :class:`freshness.Freshness` of the configuration.
    :param runners: :class:`runners.RunnerTable`.
    :param outcomes: :class:`outcomes.OutcomeTracker`.
    :param releases: :class:`releases.Releases`.
    :param sizes.ValueModel value_model: value of answers, to weigh against the
        cost of models.
    :param endpoint_freshness: :class:`freshness.Freshness` of the list of
        endpoints.
    :param queues: :class:`queueing.QueueEstimates`.
    :param closures: :class:`closures.Closures`.
    :param estimates: :class:`reopening.ReopeningEstimates`.
    :param completion: :class:`completion.CompletionCheck`.
    :param crash_watch: :class:`crash_watch.CrashWatch`.
    :param guard: :class:`harmful_guard.HarmfulRequestGuard`.
    :param warm_ups: :class:`warm_ups.WarmUps`.
    """

    failure_domain: str
    configuration: ingress.ConfigurationHolder
    freshness: object
    runners: object
    outcomes: object
    releases: object
    value_model: sizes.ValueModel
    endpoint_freshness: object
    queues: object
    closures: object
    estimates: object
    completion: object
    crash_watch: object
    guard: object
    warm_ups: object


class AdmissionControl:
    """Routes and authenticates requests.

    :param RouterState router_state: shared by all requests.
    """

    def __init__(self, router_state):
        self.router_state = router_state

    def log_fields(self):
        """Return the log fields of the state that a decision was based on."""
        router_state = self.router_state
        current = router_state.configuration.current
        return {
            'configuration': current.version if current else None,
            'configuration_age': rounded_age(router_state.freshness),
            'endpoints': len(router_state.runners.runners),
            'endpoints_age': rounded_age(router_state.endpoint_freshness),
        }

    def admit(self, metadata, head, body):
        """Return the :class:`relayed_requests.RelayedRequest` to serve.

        :raises errors.NotRun: if the router can't judge requests yet, or
            no route matches, or no customer has the key, or the route has no
            service that gets requests.
        """
        router_state = self.router_state
        configuration = router_state.configuration.current
        if configuration is None or not router_state.runners.runners:
            raise not_ready_error(
                'no configuration yet', NOT_READY_RETRY_SECONDS
            )
        if router_state.runners.drains.is_awaited:
            raise not_ready_error(
                'no list of drained failure domains yet',
                NOT_READY_RETRY_SECONDS,
            )
        fresh = router_state.freshness.is_fresh()
        host = head.headers.get('host', '').partition(':')[0]
        route = configuration.match(host, head.path)
        if route is None:
            if not fresh:
                raise stale_configuration_error()
            raise errors.UnknownTarget(
                'no route for this host and path', step='route', peer=host
            )
        customer = self.authenticate(configuration, route, metadata, fresh)
        if not route.eligible_services:
            raise not_ready_error(
                f'no service of route {route.name} has a weight',
                NO_WEIGHT_RETRY_SECONDS,
            )
        timeout = route.timeout_seconds
        if metadata.timeout_seconds is not None:
            timeout = min(timeout, metadata.timeout_seconds)
        deadline = deadlines.Deadline.after(timeout)
        return relayed_requests.RelayedRequest(
            metadata, route, customer, head, body, deadline
        )

    def authenticate(self, configuration, route, metadata, fresh):
        """Return the customer that has the key; None on public routes.

        Every route is public if the configuration requires no keys. One that
        lists no customer requires them all the same.

        :raises errors.NotRun: if the configuration is too old to tell.
        :raises errors.Unauthenticated: if no customer has the key.
        """
        if route.public or not configuration.requires_key:
            return None
        if not fresh:
            raise stale_configuration_error()
        customer = configuration.customer_by_key.get(metadata.key)
        if customer is None:
            raise errors.Unauthenticated(
                'no customer holds the key', step='authenticate', peer='-'
            )
        return customer


def rounded_age(freshness):
    """Return the seconds since the last confirmation, or None, rounded."""
    age = freshness.age()
    return None if age is None else round(age, 3)


def stale_configuration_error():
    """Return the error of a router whose configuration is too old.

    An outdated configuration may still accept keys that were revoked, and
    may lack routes that were added.
    """
    return not_ready_error('configuration is old', STALE_RETRY_SECONDS)


def not_ready_error(message, seconds):
    """Return the error of a router that can't decide on requests yet.

    :param float seconds: delay after which the caller may retry.
    """
    return errors.NotRun(
        message,
        step='admit',
        peer='-',
        retry_at=deadlines.Deadline.after(seconds),
    )

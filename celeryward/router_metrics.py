"""Metrics of a router, exposed in the Prometheus text format."""

import functools

import prometheus_client

from celeryward import metrics


class RouterMetrics:
    """All metrics of one router.

    The configuration bounds the number of label values: they are names of
    routes and services, statuses and error codes.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self.counter(
            'requests', 'Requests by route and status.', ('route', 'status')
        )
        self.failures = self.counter(
            'failures', 'Requests refused or failed.', ('route', 'code')
        )
        self.dispatches_failed = self.counter(
            'dispatches_failed',
            'Requests to endpoints that failed, also if they ran again.',
            ('service', 'code'),
        )
        self.callers_left = self.counter(
            'callers_left', 'Callers that left unanswered.', ('route',)
        )
        self.unanswered = self.counter(
            'unanswered',
            'Connections closed without a complete answer.',
            ('route', 'cause'),
        )
        self.sizes_raised = self.counter(
            'sizes_raised', 'Answers dropped for a larger model.', ('service',)
        )
        self.retries_refused = self.counter(
            'retries_refused', 'Repetitions without budget.', ('service',)
        )
        self.entries_ignored = self.counter(
            'entries_ignored', 'Entries of the store not read.', ('kind',)
        )
        self.task_failures = self.counter(
            'task_failures', 'Errors after which a task went on.', ('step',)
        )
        self.crashes = self.counter(
            'endpoint_crashes',
            'Ends of endpoints seen under their requests.',
            ('service',),
        )
        self.closed_connections = self.counter(
            'connections_closed', 'Closed for limits.', ('listener', 'cause')
        )
        self.store_generations = self.counter(
            'store_generations',
            'Returns of the store from an older copy of its data.',
            (),
        )
        self.latencies = metrics.LatencyCollector()
        self.registry.register(self.latencies)

    def counter(self, name, text, labels):
        """Register and return a counter with the given label names."""
        return prometheus_client.Counter(
            f'celeryward_router_{name}', text, labels, registry=self.registry
        )

    def gauge(self, name, text, value):
        """Register a gauge whose value is read from a function."""
        gauge = prometheus_client.Gauge(
            f'celeryward_router_{name}', text, registry=self.registry
        )
        gauge.set_function(value)

    def count_request(self, route, status, caller_left, seconds):
        """Count a request that has ended and record its duration."""
        self.requests.labels(route, str(status)).inc()
        if caller_left:
            self.callers_left.labels(route).inc()
        self.latencies.latency('request').record(seconds)

    def count_failure(self, route, code):
        """Count a request that was refused or failed."""
        self.failures.labels(route, code).inc()

    def count_failed_dispatch(self, service, code):
        """Count a request to an endpoint that failed."""
        self.dispatches_failed.labels(service, code).inc()

    def count_unanswered(self, route, cause):
        """Count a whole request that got no complete answer."""
        self.unanswered.labels(route, cause).inc()

    def count_size_raise(self, service):
        """Count an answer that was dropped for that of a larger model."""
        self.sizes_raised.labels(service).inc()

    def count_refused_retry(self, service):
        """Count a retry that the retry budget did not allow."""
        self.retries_refused.labels(service).inc()

    def count_ignored_entry(self, kind):
        """Count an entry of the store that could not be read."""
        self.entries_ignored.labels(kind).inc()

    async def count_crash(self, crash):
        """Count the end of an endpoint while it ran requests."""
        self.crashes.labels(crash.service).inc()

    def count_task_failure(self, step):
        """Count an error of a task that follows something."""
        self.task_failures.labels(step).inc()

    def count_closed_connection(self, listener, cause):
        """Count a connection that was closed or refused for its limits."""
        self.closed_connections.labels(listener, cause).inc()

    def count_store_generation(self):
        """Count a new generation of the store's data."""
        self.store_generations.inc()

    def exposition(self):
        """Return all metrics in the text exposition format, as bytes."""
        return prometheus_client.generate_latest(self.registry)


def register_gauges(router_metrics, router):
    """Register gauges that show the current state of a router.

    :param RouterMetrics router_metrics: the metrics of the router.
    :param router: :class:`router.Router`.
    """
    router.view.store.generations.listeners.append(
        router_metrics.count_store_generation
    )
    for name, text, value in (
        *store_gauges(router),
        *endpoint_gauges(router),
        *placement_gauges(router),
        *connection_gauges(router),
    ):
        router_metrics.gauge(name, text, value)


def store_gauges(router):
    """Yield name, text and value function of gauges on the store's state."""
    holder = router.configuration
    yield (
        'configuration_version',
        'Version of the configuration in force; 0 for none.',
        lambda: holder.current.version if holder.current else 0,
    )
    yield (
        'configuration_age_seconds',
        'Time since the store confirmed it; -1 for never.',
        lambda: age_gauge_value(router.freshness),
    )
    yield (
        'endpoints_age_seconds',
        'Time since the store confirmed the list of endpoints; -1 for never.',
        lambda: age_gauge_value(router.endpoint_freshness),
    )
    yield (
        'store_calls',
        'Calls to the store.',
        lambda: router.view.store.calls,
    )
    yield (
        'store_generation',
        "Generation of the store's data; -1 for none.",
        lambda: generation_gauge_value(router.view.store.generations),
    )
    yield (
        'routers',
        'Routers that are known.',
        lambda: router.view.members.count,
    )


def endpoint_gauges(router):
    """Yield name, text and value function of gauges on the endpoints."""
    table = router.runners
    yield (
        'endpoints_missing',
        'Endpoints whose entry is missing and that are still used.',
        lambda: len(table.missing),
    )
    yield (
        'endpoints',
        'Endpoints that are listed.',
        lambda: len(table.runners),
    )
    yield (
        'endpoints_lost',
        'Endpoints that can not be reached.',
        lambda: len(router.outcomes.lost),
    )
    yield (
        'endpoints_leaving',
        'Listed endpoints that leave, by the list or by their own answers.',
        lambda: sum(map(table.is_leaving, table.runners.values())),
    )
    yield (
        'endpoints_closed',
        'Endpoints that want no requests for a while.',
        router.closures.closed_count,
    )
    yield (
        'harmful_culprits',
        'Combinations of parts that are refused for crashes of endpoints.',
        router.guard.culprit_count,
    )
    yield (
        'requests_kept',
        'Requests that wait for a closed endpoint to open.',
        router.relay.waiter.kept.count,
    )


def placement_gauges(router):
    """Yield name, text and value function of gauges on drains and warm-ups."""
    drains = router.runners.drains
    warm_ups = router.warm_ups
    yield (
        'failure_domains_drained',
        'Failure domains whose endpoints get no requests.',
        lambda: len(drains.began),
    )
    yield (
        'failure_domains_returning',
        'Failure domains that requests return to after a drain.',
        drains.returning_count,
    )
    yield (
        'endpoints_cold',
        'Endpoints that are warming up and have a limit meanwhile.',
        warm_ups.cold_count,
    )
    yield (
        'cold_slots',
        'Requests that were dispatched to cold endpoints so far.',
        lambda: warm_ups.slots_taken,
    )
    yield (
        'cold_writes_refused',
        'Requests not written so far because a cold endpoint had no slot.',
        lambda: warm_ups.refused_writes,
    )


def connection_gauges(router):
    """Yield name, text and value function of gauges on connections."""
    for name, listener in (
        ('caller', router.listeners.callers),
        ('readiness', router.listeners.readiness),
        ('metrics', router.listeners.metrics),
        ('router', router.listeners.routers),
    ):
        yield (
            f'{name}_connections',
            'Open connections of the listener.',
            functools.partial(len, listener.tasks),
        )


def generation_gauge_value(state):
    """Return the newest generation that is known; -1 for none.

    :param state: :class:`generations.Generations`.
    """
    return -1 if state.current is None else state.current


def age_gauge_value(tracker):
    """Return seconds since the last confirmation; -1.0 if there was none.

    :param tracker: :class:`freshness.Freshness` of a kind of object.
    """
    age = tracker.age()
    return -1.0 if age is None else age

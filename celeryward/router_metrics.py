"""Counters and latencies of a router, in the text exposition format."""

import prometheus_client

from celeryward import metrics


class RouterMetrics:
    """All metrics of one router.

    Labels are names of routes, services and error codes, whose number the
    configuration bounds.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self.counter(
            'requests', 'Requests by route and status.', ('route', 'status')
        )
        self.failures = self.counter(
            'failures', 'Requests refused or failed.', ('route', 'code')
        )
        self.callers_left = self.counter(
            'callers_left', 'Callers that left unanswered.', ('route',)
        )
        self.sizes_raised = self.counter(
            'sizes_raised', 'Answers dropped for a larger model.', ('service',)
        )
        self.retries_refused = self.counter(
            'retries_refused', 'Repetitions without budget.', ('service',)
        )
        self.latencies = metrics.LatencyCollector()
        self.registry.register(self.latencies)

    def counter(self, name, text, labels):
        """Return a new counter."""
        return prometheus_client.Counter(
            f'celeryward_router_{name}', text, labels, registry=self.registry
        )

    def gauge(self, name, text, value):
        """Add a gauge whose value a function returns."""
        gauge = prometheus_client.Gauge(
            f'celeryward_router_{name}', text, registry=self.registry
        )
        gauge.set_function(value)

    def count_request(self, route, status, left, seconds):
        """Count a request that has ended."""
        self.requests.labels(route, str(status)).inc()
        if left:
            self.callers_left.labels(route).inc()
        self.latencies.latency('request').record(seconds)

    def count_failure(self, route, code):
        """Count a request that is refused or fails."""
        self.failures.labels(route, code).inc()

    def count_size_raise(self, service):
        """Count an answer that is dropped for a larger model."""
        self.sizes_raised.labels(service).inc()

    def count_refused_retry(self, service):
        """Count a repetition that the budget does not allow."""
        self.retries_refused.labels(service).inc()

    def exposition(self):
        """Return all metrics as bytes."""
        return prometheus_client.generate_latest(self.registry)

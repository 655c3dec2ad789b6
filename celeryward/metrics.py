"""Metrics of a daemon: Prometheus counters and HDR latency histograms."""

import dataclasses

from hdrh import histogram
import prometheus_client
from prometheus_client import core

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Number of values in a histogram, and its percentiles in seconds."""

    count: int
    p50: float
    p95: float
    p99: float


class LatencyHistogram:
    """An HDR histogram of durations: 1 us to 1 h, 2 significant digits."""

    def __init__(self):
        self.histogram = histogram.HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds):
        """Add one duration; it is clamped to 1 us to 1 h."""
        microseconds = max(LOWEST_MICROSECONDS, int(seconds * 1e6))
        self.histogram.record_value(min(microseconds, HIGHEST_MICROSECONDS))

    def encode(self):
        """Return the histogram in the compressed HdrHistogram encoding."""
        return self.histogram.encode().decode('ascii')

    def add_encoded(self, text):
        """Merge a histogram that :meth:`encode` returned."""
        self.histogram.decode_and_add(text.encode('ascii'))

    def percentile(self, percentile):
        """Return the duration at a percentile, in seconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1e6

    def summary(self):
        """Return count and percentiles as a :class:`Summary`."""
        return Summary(
            self.histogram.get_total_count(),
            self.percentile(50.0),
            self.percentile(95.0),
            self.percentile(99.0),
        )


class LatencyCollector:
    """Latency histograms by name, as a prometheus_client collector."""

    def __init__(self):
        self.latencies = {}

    def latency(self, name):
        """Return the latency histogram of a name; create it on first use."""
        if name not in self.latencies:
            self.latencies[name] = LatencyHistogram()
        return self.latencies[name]

    def collect(self):
        """Yield one gauge family, labelled by quantile, for each histogram."""
        for name, latency in self.latencies.items():
            family = core.GaugeMetricFamily(
                f'celeryward_{name}_seconds',
                f'Percentiles of {name}.',
                labels=('quantile',),
            )
            for percentile in PERCENTILES:
                family.add_metric(
                    (str(percentile / 100),), latency.percentile(percentile)
                )
            yield family


class Metrics(LatencyCollector):
    """All metrics of one daemon, also a prometheus_client collector."""

    def __init__(self):
        super().__init__()
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(self)
        self.requests = prometheus_client.Counter(
            'celeryward_requests',
            'Requests by customer, target and result code.',
            ('customer', 'target', 'code'),
            registry=self.registry,
        )
        self.answer_tokens = prometheus_client.Counter(
            'celeryward_answer_tokens',
            'Generated tokens by version.',
            ('version',),
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            'celeryward_retries',
            'Repeated dispatches by cause.',
            ('cause',),
            registry=self.registry,
        )
        self.entries_ignored = prometheus_client.Counter(
            'celeryward_entries_ignored',
            'Entries of the object API not read.',
            ('kind',),
            registry=self.registry,
        )
        self.task_failures = prometheus_client.Counter(
            'celeryward_task_failures',
            'Errors after which a task went on.',
            ('step',),
            registry=self.registry,
        )
        self.closed_connections = prometheus_client.Counter(
            'celeryward_connections_closed',
            'Connections closed or refused for their limits.',
            ('listener', 'cause'),
            registry=self.registry,
        )
        self.bills = prometheus_client.Counter(
            'celeryward_bills',
            'Settled bills.',
            registry=self.registry,
        )

    def count_task_failure(self, step):
        """Count an error of a task that follows something."""
        self.task_failures.labels(step).inc()

    def count_closed_connection(self, listener, cause):
        """Count a connection that was closed or refused for its limits."""
        self.closed_connections.labels(listener, cause).inc()

    def count_ignored_entry(self, kind):
        """Count an entry of the object API that could not be read."""
        self.entries_ignored.labels(kind).inc()

    def exposition(self):
        """Return all metrics in the text exposition format, as bytes."""
        return prometheus_client.generate_latest(self.registry)

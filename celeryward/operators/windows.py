"""Service windows: the requests of a daemon in buckets of 5 minutes.

A daemon stores one object for each hour and rewrites it periodically during
that hour. The number of objects stays small, and if a host fails, at most the
requests since the last write are lost.
"""

import dataclasses

from celeryward import metrics

WINDOW_KIND = 'ServiceWindow'
BUCKET_SECONDS = 300
HOUR_SECONDS = 3600
# Result codes that count as failures of the system; all others are successes
# or errors of the caller.
FAILURE_CODES = frozenset(
    (
        'deadline_exceeded',
        'endpoint_failure',
        'internal',
        'not_run',
        'outcome_unknown',
        'overloaded',
        'shutting_down',
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedRequest:
    """One request that was answered or refused.

    :param float finished_at: UTC seconds.
    :param str code: ``ok`` or the code of the error.
    :param bool in_time: whether the first token met the service level.
    :param first_token: seconds to the first token, or None.
    :param float strong_cost: cost if the strongest tier had run alone.
    """

    finished_at: float
    customer: str
    target: str
    code: str
    in_time: bool = True
    first_token: float | None = None
    cost: float = 0.0
    strong_cost: float = 0.0
    billed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Requests of one customer and target in 5 minutes.

    :param float start: UTC seconds.
    :param dict codes: number of requests by result code.
    :param int late: requests whose first token came too late.
    :param int billed: number of billable requests.
    :param str first_token: histogram of the seconds to the first token, in
        the encoding of hdrhistogram; empty if there is none.
    """

    start: float
    customer: str
    target: str
    codes: dict[str, int]
    late: int = 0
    billed: int = 0
    cost: float = 0.0
    strong_cost: float = 0.0
    first_token: str = ''

    @property
    def requests(self):
        """Number of all requests."""
        return sum(self.codes.values())

    @property
    def failures(self):
        """Number of requests whose code is one of ``FAILURE_CODES``."""
        return sum(
            count
            for code, count in self.codes.items()
            if code in FAILURE_CODES
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """All buckets of one run of a daemon in one hour.

    :param str owner: name of the run of the daemon.
    :param int hour: number of the hour, see :func:`hour_number`.
    """

    owner: str
    hour: int
    buckets: tuple[Bucket, ...]

    @property
    def name(self):
        """Name of the stored object of the window."""
        return f'{self.owner}-{self.hour}'


class Recorder:
    """Collects finished requests in buckets.

    :param str owner: name of this run of the daemon.
    """

    def __init__(self, owner):
        self.owner = owner
        self.buckets = {}
        self.latencies = {}
        self.changed_hours = set()

    def record(self, request):
        """Add one request to its bucket."""
        start = request.finished_at - request.finished_at % BUCKET_SECONDS
        key = (start, request.customer, request.target)
        bucket = self.buckets.get(key) or Bucket(*key, codes={})
        self.buckets[key] = add_request(bucket, request)
        if request.first_token is not None:
            latency = self.latencies.setdefault(
                key, metrics.LatencyHistogram()
            )
            latency.record(request.first_token)
        self.changed_hours.add(hour_number(start))

    def changed_windows(self):
        """Return the windows that changed since they were last written."""
        return [self.build_window(hour) for hour in sorted(self.changed_hours)]

    def build_window(self, hour):
        """Return the window of one hour."""
        buckets = (
            dataclasses.replace(bucket, first_token=self.encode_latency(key))
            for key, bucket in self.buckets.items()
            if hour_number(key[0]) == hour
        )
        return Window(self.owner, hour, tuple(buckets))

    def encode_latency(self, key):
        """Return the encoded first-token histogram of a bucket."""
        latency = self.latencies.get(key)
        return '' if latency is None else latency.encode()

    def mark_written(self, window, now):
        """Mark a window as stored; drop its buckets if its hour is over.

        If requests were recorded during the write, the window stays marked
        as changed.
        """
        if self.build_window(window.hour) == window:
            self.changed_hours.discard(window.hour)
            if window.hour < hour_number(now):
                self.drop_hour(window.hour)

    def drop_hour(self, hour):
        """Drop the buckets and histograms of an hour."""
        for key in [
            key for key in self.buckets if hour_number(key[0]) == hour
        ]:
            del self.buckets[key]
            self.latencies.pop(key, None)


def add_request(bucket, request):
    """Return a copy of a bucket with one more request."""
    codes = dict(bucket.codes)
    codes[request.code] = codes.get(request.code, 0) + 1
    return dataclasses.replace(
        bucket,
        codes=codes,
        late=bucket.late + (not request.in_time),
        billed=bucket.billed + request.billed,
        cost=bucket.cost + request.cost,
        strong_cost=bucket.strong_cost + request.strong_cost,
    )


def hour_number(timestamp):
    """Return the number of full hours since the epoch.

    :param float timestamp: UTC seconds.
    """
    return int(timestamp // HOUR_SECONDS)

"""Service-level windows: what a daemon request, in buckets of 5 minutes.

A daemon writes one object for each hour that it runs, again and again while
the hour lasts, so that the number of objects stays small and a lost host
loses at most the last write interval.
"""

import dataclasses

from celeryward import metrics

WINDOW_KIND = 'ServiceWindow'
BUCKET_SECONDS = 300
HOUR_SECONDS = 3600
# Results for which the system is responsible; the others are the caller's.
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

    :param float finished_at: UTC seconds of the end of the request.
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

    :param float start: UTC seconds of its beginning.
    :param dict codes: number of requests by result code.
    :param str first_token: encoded histogram of hdrhistogram.
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
        """All requests."""
        return sum(self.codes.values())

    @property
    def failures(self):
        """Requests that failed through the system's fault."""
        return sum(
            count
            for code, count in self.codes.items()
            if code in FAILURE_CODES
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """All buckets of one daemon in one hour."""

    owner: str
    hour: int
    buckets: tuple[Bucket, ...]

    @property
    def name(self):
        """The name of the object that holds the window."""
        return f'{self.owner}-{self.hour}'


class Recorder:
    """Adds served requests to the buckets of the present hour.

    :param str owner: name of this run of the daemon.
    """

    def __init__(self, owner):
        self.owner = owner
        self.buckets = {}
        self.latencies = {}
        self.changed_hours = set()

    def record(self, request):
        """Add one request."""
        start = request.finished_at - request.finished_at % BUCKET_SECONDS
        key = (start, request.customer, request.target)
        bucket = self.buckets.get(key) or Bucket(*key, codes={})
        self.buckets[key] = add_request(bucket, request)
        if request.first_token is not None:
            latency = self.latencies.setdefault(key, metrics.Latency())
            latency.record(request.first_token)
        self.changed_hours.add(hour_number(start))

    def changed_windows(self):
        """Return the windows that changed since they were written."""
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
        """Return the histogram of a bucket as text."""
        latency = self.latencies.get(key)
        return '' if latency is None else latency.encode()

    def mark_written(self, window, now):
        """Note that a window is stored; forget it when its hour is over.

        Requests that were recorded while the write was under way keep the
        window marked as changed.
        """
        if self.build_window(window.hour) == window:
            self.changed_hours.discard(window.hour)
            if window.hour < hour_number(now):
                self.drop_hour(window.hour)

    def drop_hour(self, hour):
        """Drop the buckets of an hour."""
        for key in [
            key for key in self.buckets if hour_number(key[0]) == hour
        ]:
            del self.buckets[key]
            self.latencies.pop(key, None)


def add_request(bucket, request):
    """Return a bucket with one more request."""
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
    """Return the number of the hour of a time in UTC seconds."""
    return int(timestamp // HOUR_SECONDS)

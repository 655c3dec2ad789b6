"""A load generator with open and closed loops.

In an open loop each latency is measured from the time at which the request
was due, not from the time at which it was sent. Otherwise a stalled server
would delay the next requests and so hide its latency (coordinated omission).
"""

import dataclasses
import itertools
import time

import curio
import msgspec

from celeryward import deadlines
from celeryward.endpoints import protocol
from celeryward import errors
from celeryward import http
from celeryward import metrics

TOKEN_EVENT = b'data: {"choices":[{'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Address that requests are sent to.

    :param dict headers: added to each request.
    """

    host: str
    port: int
    headers: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a run.

    :param int concurrency: number of concurrent connections.
    :param float rate: requests per second in an open loop; 0 for a closed
        loop.
    :param float seconds: duration of the run.
    :param float timeout: seconds for each request.
    """

    model: str
    concurrency: int = 8
    rate: float = 0.0
    seconds: float = 5.0
    max_tokens: int = 32
    prompt_words: int = 20
    timeout: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a run against one target; times are in seconds.

    :param int requests: successful requests.
    :param first_token: time to the first token.
    :param whole: time to the end of the response.
    :param dict failures: number of failed requests by status or error code.
    """

    requests: int
    tokens: int
    seconds: float
    requests_per_s: float
    tokens_per_s: float
    first_token: metrics.Summary
    whole: metrics.Summary
    failures: dict[str, int]


class TargetMetrics:
    """Measurements of the requests to one target."""

    def __init__(self, target, plan):
        self.target = target
        self.first_token = metrics.LatencyHistogram()
        self.whole = metrics.LatencyHistogram()
        self.requests = 0
        self.tokens = 0
        self.failures = {}
        self.body = encode_body(plan)

    def count_failure(self, cause):
        """Count a failed request."""
        self.failures[cause] = self.failures.get(cause, 0) + 1

    async def send(self, connection, due, deadline):
        """Send one request, read its event stream and record the result.

        :param float due: start of the measured time, in monotonic seconds.
        """
        headers = {
            'content-type': 'application/json',
            **self.target.headers,
        }
        await http.send_request(
            connection, 'POST', '/v1/chat/completions', headers, self.body
        )
        response = await connection.receive_response(deadline)
        first = None
        tokens = 0
        tail = b''
        async for chunk in connection.receive_chunks(
            'read stream', lambda: deadline
        ):
            if first is None:
                first = time.monotonic()
            tokens += chunk.count(TOKEN_EVENT)
            tail = (tail + chunk)[-len(protocol.DONE_EVENT) :]
        if response.status != 200:
            self.count_failure(str(response.status))
        elif tail != protocol.DONE_EVENT:
            self.count_failure('truncated')
        else:
            self.requests += 1
            self.tokens += tokens
            self.first_token.record(first - due)
            self.whole.record(time.monotonic() - due)

    def report(self, seconds):
        """Return the :class:`Report` of the run."""
        return Report(
            self.requests,
            self.tokens,
            seconds,
            self.requests / seconds,
            self.tokens / seconds,
            self.first_token.summary(),
            self.whole.summary(),
            self.failures,
        )


class Generator:
    """Sends requests to each target in turn and measures them.

    :param list targets: each worker alternates between two targets, so
        that both are measured under the same conditions.
    """

    def __init__(self, targets, plan):
        self.plan = plan
        self.all_metrics = [TargetMetrics(target, plan) for target in targets]

    async def run(self):
        """Run the plan; return a :class:`Report` for each target."""
        started = time.monotonic()
        due_times = self.due_times(started, started + self.plan.seconds)
        async with curio.TaskGroup() as group:
            for _ in range(self.plan.concurrency):
                await group.spawn(self.run_worker, due_times)
        seconds = time.monotonic() - started
        return [
            target_metrics.report(seconds)
            for target_metrics in self.all_metrics
        ]

    def due_times(self, started, end):
        """Yield the time at which each request is due, shared by workers.

        In a closed loop this is the current time.
        """
        for number in itertools.count():
            if not self.plan.rate:
                due = time.monotonic()
            else:
                due = started + number / self.plan.rate
            if due >= end:
                return
            yield due

    async def run_worker(self, due_times):
        """Send requests to each target in turn over persistent connections."""
        connections = [None] * len(self.all_metrics)
        for due in due_times:
            wait = due - time.monotonic()
            if wait > 0:
                await curio.sleep(wait)
            for index, target_metrics in enumerate(self.all_metrics):
                connections[index] = await self.send_request(
                    target_metrics, connections[index], due
                )
                due = time.monotonic()
        for connection in connections:
            if connection is not None:
                await connection.close()

    async def send_request(self, target_metrics, connection, due):
        """Send one request; return the connection if it can be reused."""
        deadline = deadlines.Deadline.after(self.plan.timeout)
        target = target_metrics.target
        try:
            if connection is None:
                connection = await http.connect(
                    target.host, target.port, deadline
                )
            await target_metrics.send(connection, due, deadline)
            if connection.reusable():
                connection.start_next_cycle()
                return connection
        except errors.CelerywardError as error:
            target_metrics.count_failure(error.code)
        if connection is not None:
            await connection.close()
        return None


def encode_body(plan):
    """Return the body of each request of a plan."""
    content = 'word ' * plan.prompt_words
    return msgspec.json.encode(
        {
            'model': plan.model,
            'messages': [{'role': 'user', 'content': content}],
            'stream': True,
            'max_tokens': plan.max_tokens,
        }
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Reports of routed and of direct requests of the same run.

    ``added_*`` are the differences of the percentiles of the time to the
    first token, in seconds; 0.0 without direct requests.
    """

    routed: Report
    direct: Report | None = None
    added_p50: float = 0.0
    added_p95: float = 0.0
    added_p99: float = 0.0


async def compare(routed, direct, plan):
    """Run a plan against a daemon and optionally directly at an endpoint.

    :param Target routed: the daemon.
    :param direct: :class:`Target` of the endpoint, or None.
    :returns: a :class:`Comparison`.
    """
    if direct is None:
        reports = await Generator([routed], plan).run()
        return Comparison(reports[0])
    first, second = await Generator([routed, direct], plan).run()
    return Comparison(
        first,
        second,
        first.first_token.p50 - second.first_token.p50,
        first.first_token.p95 - second.first_token.p95,
        first.first_token.p99 - second.first_token.p99,
    )

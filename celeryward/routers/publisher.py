"""Serves followers, with one task for each connection."""

import collections
import time

from celeryward import http
from celeryward import listener
from celeryward.objects import generations
from celeryward import registry
from celeryward.routers import departure_news
from celeryward.routers import protocol

IDLE_SECONDS = 30.0
READ_SECONDS = 5.0
MAX_WAIT_SECONDS = 10.0
# A response is relayed if all followers can receive it within this time over
# the router's link, and in any case up to the minimum size. Larger ones come
# from the store.
RELAY_SECONDS = 1.0
MIN_RELAYED_BYTES = 32 * 1024
BYTES_PER_MEGABIT = 125_000
MAX_REQUEST_BYTES = 64 * 1024
STATUS_BAD_REQUEST = 400
STATUS_NO_LIST = 404
STATUS_GONE = 410
STATUS_TOO_LARGE = 413
# Followers whose last report is remembered.
MAX_SENDERS = 1000
HANDLERS = registry.Registry('request of a follower')


class Publisher:
    """Relays the store's objects and changes to other routers.

    :param dict change_logs: a :class:`change_log.ChangeLog` for each kind.
    :param dict freshness: :class:`freshness.Freshness` of each kind.
    :param pacing: :class:`pacing.Pacing`; None to relay nothing.
    :param outages: :class:`outages.OutageTracker`.
    :param members: :class:`members.Members`.
    :param releases: :class:`releases.Releases`, which takes the evidence that
        followers report.
    :param departure_news.DepartureNews news: departures to tell followers.
    :param str news_kind: kind whose changes the news is told with.
    :param crash_news.CrashNews crash_news: takes what others tell of crashes.

    ``max_ages`` holds the age of the last confirmation above which a kind is
    not relayed, where that isn't the one of the pacing. A list that is of an
    earlier generation than ``generations`` has seen is not relayed either.
    """

    def __init__(
        self,
        change_logs,
        freshness,
        pacing,
        outages,
        members,
        releases,
        news=None,
        news_kind='',
        crash_news=None,
    ):
        self.crash_news = crash_news
        self.news = news or departure_news.DepartureNews()
        self.news_kind = news_kind
        self.last_reports = collections.OrderedDict()
        self.releases = releases
        self.pacing = pacing
        self.change_logs = change_logs
        self.freshness = freshness
        self.max_ages = {}
        self.outages = outages
        self.members = members
        self.stopping = False
        self.generations = generations.Generations()

    def is_new(self, report):
        """Return whether a report was not received before; remember it."""
        if not report.sender:
            return True
        if report.number <= self.last_reports.get(report.sender, 0):
            return False
        self.last_reports[report.sender] = report.number
        self.last_reports.move_to_end(report.sender)
        while len(self.last_reports) > MAX_SENDERS:
            self.last_reports.popitem(last=False)
        return True

    async def handle(self, connection):
        """Answer the requests on one connection until it is closed."""

        async def answer(head, body):
            status, answer_body = await self.answer(head.target, body)
            number = head.headers.get(protocol.REQUEST_NUMBER)
            repeated = {protocol.REQUEST_NUMBER: number} if number else {}
            await http.send_response(connection, status, repeated, answer_body)

        await listener.serve_with_bodies(
            connection, answer, IDLE_SECONDS, READ_SECONDS, MAX_REQUEST_BYTES
        )

    async def answer(self, target, body=b''):
        """Return status and body of the response to one request."""
        request = protocol.parse_request(target, body)
        if request is None:
            return STATUS_BAD_REQUEST, b''
        kind = getattr(request, 'kind', None)
        if kind is not None and kind not in self.change_logs:
            return STATUS_BAD_REQUEST, b''
        handler = HANDLERS.get(type(request).__name__)
        status, body = await handler(self, request)
        if len(body) > self.max_response_bytes():
            return STATUS_TOO_LARGE, b''
        return status, body

    def max_response_bytes(self):
        """Return the size of the largest response that is relayed."""
        followers = max(1, len(self.members.same_domain()) - 1)
        link = self.members.own.capacity * BYTES_PER_MEGABIT
        return max(MIN_RELAYED_BYTES, RELAY_SECONDS * link / followers)

    def confirmed_seconds(self, kind, started):
        """Return the time from a request to the store's confirmation.

        :param float started: when the request arrived, in monotonic seconds.
        """
        return time.monotonic() - started - self.freshness[kind].age()

    def covers(self, change_log, since):
        """Return whether a log has all changes after a revision."""
        return self.has_list(change_log) and change_log.covers(since)

    def departures(self, kind):
        """Return the departures to tell with changes of a kind."""
        return self.news.for_followers() if kind == self.news_kind else ()

    def has_list(self, change_log):
        """Return whether a log has a list of the newest generation."""
        return (
            change_log.floor > 0
            and change_log.generation == self.generations.current
        )

    def is_current(self, kind):
        """Return whether this router's own state is recent enough."""
        age = self.freshness[kind].age()
        if self.stopping or self.pacing is None or age is None:
            return False
        return age <= self.max_ages.get(kind, self.pacing.max_leader_age)


@HANDLERS.register('ListRequest')
async def answer_list(publisher, request):
    """Return status and body of the response to a request for a list."""
    started = time.monotonic()
    change_log = publisher.change_logs[request.kind]
    has_list = publisher.has_list(change_log)
    if publisher.freshness[request.kind].age() is None or not has_list:
        return STATUS_NO_LIST, b''
    if not publisher.is_current(request.kind):
        return protocol.STATUS_OUT_OF_DATE, b''
    response = protocol.ListResponse(
        tuple(change_log.objects.values()),
        change_log.revision,
        publisher.confirmed_seconds(request.kind, started),
        protocol.optional(change_log.generation),
    )
    return 200, protocol.encode(response)


@HANDLERS.register('ChangesRequest')
async def answer_changes(publisher, request):
    """Return status and body of the response to one long poll."""
    started = time.monotonic()
    change_log = publisher.change_logs[request.kind]
    if not publisher.is_current(request.kind):
        return protocol.STATUS_OUT_OF_DATE, b''
    if not publisher.covers(change_log, request.since):
        return STATUS_GONE, b''
    generation = change_log.generation
    wait = min(request.wait_seconds, MAX_WAIT_SECONDS)
    await change_log.wait_for_changes(request.since, wait)
    if not publisher.is_current(request.kind):
        return protocol.STATUS_OUT_OF_DATE, b''
    is_same = change_log.generation == generation
    if not (is_same and publisher.covers(change_log, request.since)):
        return STATUS_GONE, b''
    # The age is read before the changes, so that it is never newer than they
    # are.
    confirmed = publisher.confirmed_seconds(request.kind, started)
    response = protocol.ChangesResponse(
        change_log.changes_after(request.since),
        max(request.since, change_log.revision),
        confirmed,
        publisher.outages.age(),
        publisher.departures(request.kind),
        protocol.optional(generation),
    )
    return 200, protocol.encode(response)


@HANDLERS.register('EvidenceReport')
async def accept_evidence(publisher, report):
    """Add a follower's evidence to that of this router, once."""
    if not publisher.is_new(report):
        return 200, b''
    for counts in report.exposures:
        publisher.releases.add_reported_exposure(
            counts.order_key, counts.exposure
        )
    for outcome in report.outcomes:
        publisher.releases.add_outcome(outcome)
    publisher.news.accept(report.leaving)
    return 200, b''


@HANDLERS.register('CrashReport')
async def accept_crashes(publisher, report):
    """Add the evidence of crashes that another router tells."""
    await publisher.crash_news.accept(report)
    return 200, b''


@HANDLERS.register('EvidenceRequest')
async def answer_evidence(publisher, request):
    """Return status and body of the response with all evidence."""
    publisher.members.introduce(request.member)
    report = publisher.crash_news.list_evidence(request.after)
    return 200, protocol.encode(report)

"""Serves followers, with one task for each connection."""

import time

from celeryward import http
from celeryward import listener
from celeryward.routers import protocol

IDLE_SECONDS = 30.0
READ_SECONDS = 5.0
MAX_WAIT_SECONDS = 10.0
# A larger response would delay the others on the link of a small host.
MAX_ANSWER_BYTES = 32 * 1024
STATUS_GONE = 410
STATUS_TOO_LARGE = 413


class Publisher:
    """Relays the store's changes to other routers.

    :param dict change_logs: a :class:`change_log.ChangeLog` for each kind.
    :param dict freshness: :class:`freshness.Freshness` of each kind.
    :param pacing: :class:`pacing.Pacing`; None to relay nothing.
    :param outages: :class:`outages.OutageTracker`.
    """

    def __init__(self, change_logs, freshness, pacing, outages):
        self.pacing = pacing
        self.change_logs = change_logs
        self.freshness = freshness
        self.outages = outages
        self.stopping = False

    async def handle(self, connection):
        """Answer the polls on one connection until it is closed."""

        async def answer(head):
            status, body = await self.answer(head.target)
            await http.send_response(connection, status, {}, body)

        await listener.serve_ignoring_bodies(
            connection, answer, IDLE_SECONDS, READ_SECONDS
        )

    async def answer(self, target):
        """Return status and body of the response to one poll."""
        started = time.monotonic()
        request = protocol.parse_request(target)
        change_log = self.change_logs.get(request.kind) if request else None
        if change_log is None:
            return 400, b''
        if not self.is_current(request.kind):
            return 503, b''
        if not change_log.covers(request.since):
            return STATUS_GONE, b''
        wait = min(request.wait_seconds, MAX_WAIT_SECONDS)
        await change_log.wait_for_changes(request.since, wait)
        if not self.is_current(request.kind):
            return 503, b''
        if not change_log.covers(request.since):
            return STATUS_GONE, b''
        # The age is read before the changes, so that it is never newer than
        # they are.
        age = self.freshness[request.kind].age()
        confirmed = time.monotonic() - started - age
        response = protocol.ChangesResponse(
            change_log.changes_after(request.since),
            max(request.since, change_log.revision),
            confirmed,
            self.outages.age(),
        )
        body = protocol.encode_response(response)
        if len(body) > MAX_ANSWER_BYTES:
            return STATUS_TOO_LARGE, b''
        return 200, body

    def is_current(self, kind):
        """Return whether this router's own state is recent enough."""
        age = self.freshness[kind].age()
        if self.stopping or self.pacing is None or age is None:
            return False
        return age <= self.pacing.max_leader_age

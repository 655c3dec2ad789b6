"""Reports of what a router has seen to one other router.

They carry evidence on new software versions and departures of endpoints.

One router sees too few requests to judge a new version in time. Followers
report what they have seen to their leader, and leaders pass it on to the first
of all leaders, which judges. Every router still judges what it has seen, in
case that one is away. Evidence is reported only while a roll-out is under way,
departures when there are any, to the leader of the own failure domain.
"""

import dataclasses
import itertools
import uuid

import curio

from celeryward import deadlines
from celeryward import logs
from celeryward.raters import rollout_orders
from celeryward.routers import members
from celeryward.routers import protocol

REPORT_SECONDS = 0.3
# Outcomes that wait for a router that doesn't respond; the oldest are dropped.
MAX_WAITING_OUTCOMES = 200
# How long the evidence in a report without a response is not sent to another
# router: the receiver may stand still, take the report when it goes on, and
# be sent the same again by the other one.
HOLD_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedReport:
    """A report without a response.

    :param protocol.EvidenceReport report: the report.
    :param deadlines.Deadline hold_until: from when its evidence may be sent
        to another router.
    """

    report: protocol.EvidenceReport
    hold_until: deadlines.Deadline


class EvidenceReporter:
    """Sends the evidence that this router has to the next router.

    :param releases: :class:`releases.Releases`.
    :param members: :class:`members.Members`.
    :param source: :class:`source.ChangeSource`, which has the clients of
        other routers.
    :param departure_news.DepartureNews news: departures to report.
    """

    def __init__(self, releases, members, source, news):
        self.news = news
        self.releases = releases
        self.members = members
        self.source = source
        self.outcomes = []
        self.reported = {}
        self.sender = uuid.uuid4().hex
        self.numbers = itertools.count(1)
        # By name of the router that the report was sent to.
        self.unconfirmed = {}
        releases.outcome_listeners.append(self.add_outcome)

    def add_outcome(self, outcome):
        """Keep an outcome for the next report."""
        if self.members.reports_to() is None:
            return
        self.outcomes.append(outcome)
        del self.outcomes[:-MAX_WAITING_OUTCOMES]

    async def run(self):
        """Report until cancelled."""
        while True:
            await curio.sleep(REPORT_SECONDS)
            receiver = self.members.reports_to()
            if receiver is not None and (
                self.releases.has_running_order or self.departures(receiver)
            ):
                await self.report(receiver)

    def departures(self, receiver):
        """Return the departures to report to a router."""
        if receiver.failure_domain != self.members.own.failure_domain:
            return ()
        return tuple(self.news.unreported)

    async def report(self, receiver):
        """Send one report; send the same again if its outcome is unknown."""
        report = self.next_report(receiver)
        if report is None:
            return
        outcome = await self.source.client_of(receiver).report(report)
        if outcome.is_err():
            error = outcome.unwrap_err()
            hold_until = deadlines.Deadline.after(HOLD_SECONDS)
            self.unconfirmed.setdefault(
                receiver.name, UnconfirmedReport(report, hold_until)
            )
            self.members.avoid(receiver, members.OUTDATED_AVOID_SECONDS)
            logs.bind_error(error, router=receiver.name).info(
                'evidence not reported: {}', error.message
            )
            return
        self.unconfirmed.pop(receiver.name, None)
        self.record_reported(report)

    def next_report(self, receiver):
        """Return the :class:`protocol.EvidenceReport` to send, or None.

        A report that the receiver may have is sent again unchanged, so that
        it counts once.
        """
        unconfirmed = self.unconfirmed.get(receiver.name)
        if unconfirmed is not None:
            return unconfirmed.report
        self.drop_expired()
        held = frozenset(
            id(outcome)
            for each in self.unconfirmed.values()
            for outcome in each.report.outcomes
        )
        outcomes = tuple(
            outcome for outcome in self.outcomes if id(outcome) not in held
        )
        exposures = tuple(self.unreported_exposures())
        departures = self.departures(receiver)
        if not (outcomes or exposures or departures):
            return None
        return protocol.EvidenceReport(
            exposures, outcomes, departures, self.sender, next(self.numbers)
        )

    def drop_expired(self):
        """Forget the reports whose evidence may be sent to another router."""
        self.unconfirmed = {
            name: each
            for name, each in self.unconfirmed.items()
            if not each.hold_until.expired()
        }

    def record_reported(self, report):
        """Drop what a report contained that has arrived."""
        # By identity: equal outcomes of several runs are not the same.
        sent = frozenset(map(id, report.outcomes))
        self.outcomes = [
            outcome for outcome in self.outcomes if id(outcome) not in sent
        ]
        self.news.record_reported(report.leaving)
        for counts in report.exposures:
            key = counts.order_key
            self.reported[key] = self.reported.get(
                key, rollout_orders.Exposure()
            ).plus(counts.exposure)

    def unreported_exposures(self):
        """Yield the requests of each order that no report contains yet."""
        for progress in tuple(self.releases.progress.values()):
            key = progress.order.key
            exposure = progress.exposure.minus(
                self.reported.get(key, rollout_orders.Exposure())
            )
            for each in self.unconfirmed.values():
                for counts in each.report.exposures:
                    if counts.order_key == key:
                        exposure = exposure.minus(counts.exposure)
            if exposure.requests > 0:
                yield protocol.OrderExposure(*key, exposure)

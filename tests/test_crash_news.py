"""Whom routers tell of crashes, and what."""

import curio
import result

from celeryward.endpoints import crash_reports
from celeryward.endpoints import crashes
from celeryward.endpoints import harmful_guard
from celeryward import errors
from celeryward.routers import crash_news
from celeryward.routers import members
from celeryward.routers import protocol
from celeryward.routers import publisher
from tests import fakes

DOMAINS = ('a', 'b')
ROUTERS = 5


def member(domain, number):
    name = f'{domain}{number}'
    return members.Member(name, domain, '127.0.0.1', 1, 10.0 - number)


LISTED = [
    member(domain, number) for domain in DOMAINS for number in range(ROUTERS)
]


def view(name):
    """Return the members as a router sees them; a0 and b0 lead."""
    own = next(each for each in LISTED if each.name == name)
    seen = members.Members(own)
    seen.replace(LISTED)
    return seen


def names(routers):
    return {each.name for each in routers}


def crash(number):
    request = crashes.RequestTraits(f'request-{number}', ('p',))
    return crashes.Crash(f'e{number}', 1.0, 's', float(number), (request,))


class Client:
    """Takes reports while it is reachable."""

    def __init__(self):
        self.reports = []
        self.reachable = True

    async def report_crashes(self, report):
        if not self.reachable:
            return result.Err(
                errors.PlatformUnavailable('away', step='x', peer='y')
            )
        self.reports.append(report)
        return result.Ok(b'')


class Forwarder:
    async def abort_harmful(self, is_refused):
        return 0


def make_news(name):
    """Return the news of a router, with a client that all its peers share."""
    guard = harmful_guard.make_guard(lambda text: 0, Forwarder())
    guard.harmful.clock = fakes.CallableClock(100.0)
    seen = view(name)
    client = Client()
    return crash_news.CrashNews(guard, seen, lambda peer: client), client


def told(news, name):
    """Return the endpoints whose crashes a router is told next."""
    peer = next(each for each in LISTED if each.name == name)
    items, _ = news.items_for(peer, 0)
    return [each.evidence.endpoint for each in items]


class TestReceivers:
    """Guards against news that doesn't reach all, or goes in circles."""

    def test_follower_tells_its_leader(self):
        assert names(view('a3').crash_receivers()) == {'a0'}

    def test_leader_tells_other_leaders_and_its_followers(self):
        found = names(view('a0').crash_receivers())
        assert found == {'b0', 'a1', 'a2', 'a3', 'a4'}

    def test_standby_takes_the_place_of_a_leader_that_is_away(self):
        seen = view('a0')
        seen.avoid(LISTED[ROUTERS])
        assert 'b1' in names(seen.crash_receivers())
        standby = view('b1')
        standby.avoid(LISTED[ROUTERS])
        assert {'a0', 'b4'} <= names(standby.crash_receivers())

    def test_router_that_introduces_itself_stays_for_a_while(self):
        seen = view('a0')
        seen.introduce(member('a', 9))
        seen.replace(LISTED)
        assert 'a9' in names(seen.crash_receivers())
        seen.clock = lambda: 1e12
        seen.replace(LISTED)
        assert 'a9' not in names(seen.crash_receivers())

    def test_introductions_are_bounded(self):
        seen = view('a0')
        for number in range(1000):
            seen.introduce(member('a', number))
        assert len(seen.introduced) == members.MAX_INTRODUCED


class TestNews:
    """Guards against news that is lost, or told to those who told it."""

    @fakes.in_kernel
    async def test_leaders_pass_on_only_what_comes_from_their_domain(self):
        news, _ = make_news('a0')
        await news.guard.record(crash(1))
        await news.guard.record(crash(2), origin='a3')
        await news.guard.record(crash(3), origin='b0')
        assert told(news, 'b0') == ['e1', 'e2']
        assert told(news, 'a4') == ['e1', 'e2', 'e3']
        assert told(news, 'a3') == ['e1', 'e3']

    @fakes.in_kernel
    async def test_router_that_was_away_is_told_later(self):
        news, client = make_news('a0')
        peer = LISTED[ROUTERS]
        await news.guard.record(crash(1))
        client.reachable = False
        assert await news.tell(peer, 0) is None
        client.reachable = True
        assert await news.tell(peer, 0) == news.last_number
        assert [each.endpoint for each in client.reports[0].crashes] == ['e1']

    @fakes.in_kernel
    async def test_router_that_missed_more_is_told_everything(self):
        news, client = make_news('a0')
        for number in range(crash_news.MAX_NEWS + 10):
            news.guard.harmful.clock.now += 1.0
            await news.guard.record(crash(number))
        assert await news.tell(LISTED[ROUTERS], 0) == news.last_number
        found = {
            each.endpoint
            for report in client.reports
            for each in report.crashes
        }
        assert len(found) == len(news.guard.harmful.crashes)

    def test_largest_crash_fits_into_a_message(self):
        news, _ = make_news('a0')
        requests = tuple(
            crashes.RequestTraits(
                f'request-{n:016}',
                tuple(
                    f'{n:04}-{part:035}' for part in range(crashes.MAX_PARTS)
                ),
            )
            for n in range(crashes.MAX_MERGED_REQUESTS)
        )
        news.guard.harmful.record_crash(
            crashes.Crash('e1', 1.0, 's', 100.0, requests)
        )
        size = len(protocol.encode(news.list_evidence(0)))
        assert size < publisher.MAX_REQUEST_BYTES

    def test_cleared_fingerprint_is_told_as_cleared(self):
        traits = crashes.RequestTraits('request-1', ('p',), True)
        sent = crashes.Crash('e1', 1.0, 's', 100.0, (traits,))
        report = crash_reports.make_report('a0', (sent,), 101.0)
        (read,) = crash_reports.read_evidence(report, 201.0)
        assert read.requests == (traits,)

    @fakes.in_kernel
    async def test_evidence_is_listed_in_parts(self):
        news, _ = make_news('a0')
        for number in range(60):
            requests = tuple(
                crashes.RequestTraits(f'request-{number}-{n}', ('p',))
                for n in range(20)
            )
            await news.guard.record(
                crashes.Crash(f'e{number}', 1.0, 's', 100.0, requests)
            )
        after, found = 0, []
        while True:
            report = news.list_evidence(after)
            found += report.crashes
            if report.next <= after:
                break
            after = report.next
        assert len(found) == 60
        await curio.sleep(0)

"""What endpoints announce in their answers, and how the router complies."""

import curio
import pytest

from celeryward.endpoints import departures
from celeryward.endpoints import outcomes
from celeryward.endpoints import runners
from celeryward.routers import departure_news
from tests import fakes
from tests import platform_standins as standins
from tests import test_passed_changes as passed_changes


# Longer than it takes to see the first event, and far shorter than the timeout
# of the route.
STREAM_EVENTS = 60


@pytest.fixture
def site():
    return standins.default_site()


def arrival_count(site, name):
    """Return how many requests arrived at an endpoint."""
    return len(site.runners[name].arrivals)


async def ask_until_arrival(site, name, path='/whole/x'):
    """Send requests until one arrives at an endpoint; return its answer."""
    before = arrival_count(site, name)
    for _ in range(50):
        answer = await site.request(path)
        if arrival_count(site, name) > before:
            return answer
    raise AssertionError(f'no request arrived at {name}')


async def count_arrivals_of(site, name, requests=20, path='/whole/x'):
    """Return how many of some requests arrived at an endpoint."""
    before = arrival_count(site, name)
    for _ in range(requests):
        await site.request(path)
    return arrival_count(site, name) - before


async def send_until(group, site, event):
    """Send requests until an event is set; return their number."""
    sent = 0
    while not event.is_set():
        await group.spawn(site.request, '/whole/x')
        sent += 1
        await curio.sleep(0.01)
    return sent


def with_notice(action, **headers):
    """Return an action whose answer announces the departure once."""

    async def act(runner, connection, arrival):
        runner.leaving = True
        try:
            await action(runner, connection, arrival)
        finally:
            runner.leaving = False

    return act


REFUSE_NAMED = standins.respond_with(503, celeryward_not_executed='1')


class TestDepartureNotices:
    """Guards against requests to an endpoint that has said it is leaving."""

    @pytest.mark.parametrize(
        'action',
        (
            standins.respond_with(200, b'whole'),
            standins.respond_with(404, b'missing'),
            standins.respond_with(500, b'failed'),
            REFUSE_NAMED,
            standins.refuse_unexecuted(),
        ),
        ids=('whole', 'not-found', 'error', 'refusal', 'unnamed-refusal'),
    )
    @standins.on_site
    async def test_each_kind_of_answer_counts(self, site, action):
        site.runners['app-1'].scripted_actions.append(with_notice(action))
        await ask_until_arrival(site, 'app-1')
        await curio.sleep(outcomes.REFUSED_BACKOFF_SECONDS)
        assert await count_arrivals_of(site, 'app-1') == 0

    @standins.on_site
    async def test_head_of_a_stream_counts_and_the_stream_ends_whole(
        self, site
    ):
        runner = site.runners['llm-1']
        runner.events = site.runners['llm-2'].events = STREAM_EVENTS
        runner.scripted_actions.append(with_notice(standins.send_stream))
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(site.request, '/stream/x') for _ in range(6)
            ]
            await standins.wait_until(lambda: runner.arrivals)
            await curio.sleep(0.1)
            before = len(runner.arrivals)
            for _ in range(6):
                tasks.append(await group.spawn(site.request, '/stream/x'))
        assert len(runner.arrivals) == before
        bodies = [task.result[1] for task in tasks]
        assert bodies == [standins.events(STREAM_EVENTS)] * 12

    @pytest.mark.parametrize(
        'headers',
        (
            {'celeryward_attempt_id': 'of-another'},
            {'celeryward_attempt_id': ''},
        ),
        ids=('another-request', 'unnamed-on-a-kept-connection'),
    )
    @standins.on_site
    async def test_copied_head_condemns_nobody(self, site, headers):
        await ask_until_arrival(site, 'app-1')
        action = standins.respond_with(200, b'whole', **headers)
        site.runners['app-1'].scripted_actions.append(with_notice(action))
        await ask_until_arrival(site, 'app-1')
        assert not site.router.runners.departures.started_at

    @standins.on_site
    async def test_answer_of_the_next_holder_of_the_address_counts_not(
        self, site
    ):
        action = standins.respond_with(421, celeryward_not_executed='1')
        site.runners['app-1'].scripted_actions.append(with_notice(action))
        await ask_until_arrival(site, 'app-1')
        assert not site.router.runners.departures.started_at

    @standins.on_site
    async def test_outdated_list_brings_no_endpoint_back(self, site):
        runner = site.runners['app-1']
        runner.scripted_actions.append(
            with_notice(standins.respond_with(200, b'whole'))
        )
        await ask_until_arrival(site, 'app-1')
        entry = runner.entry()
        await site.store.put('servers', 'app-1', entry | {'seq': 2})
        await site.store.delete('servers', 'app-1')
        table = site.router.runners
        await standins.wait_until(lambda: 'app-1' not in table.runners)
        await site.store.put('servers', 'app-1', entry)
        await standins.wait_until(lambda: 'app-1' in table.runners)
        assert await count_arrivals_of(site, 'app-1') == 0

    @standins.on_site
    async def test_newer_run_of_the_endpoint_is_used(self, site):
        runner = site.runners['app-1']
        runner.scripted_actions.append(
            with_notice(standins.respond_with(200, b'whole'))
        )
        await ask_until_arrival(site, 'app-1')
        entry = runner.entry()
        entry['born'] += 1000
        await site.store.put('servers', 'app-1', entry)
        table = site.router.runners
        await standins.wait_until(
            lambda: table.is_available(table.runners['app-1'])
        )
        await ask_until_arrival(site, 'app-1')

    @standins.on_site
    async def test_departure_during_connecting_stops_the_send(self, site):
        """The endpoint was chosen before its notice arrived."""
        pool = site.router.connections
        open_connection = pool.open
        chosen = curio.Event()

        async def open_late(endpoint, deadline):
            connection = await open_connection(endpoint, deadline)
            if endpoint.id == 'app-1':
                await chosen.set()
                await curio.sleep(0.2)
            return connection

        pool.open = open_late
        async with curio.TaskGroup() as group:
            sent = await send_until(group, site, chosen)
            table = site.router.runners
            table.announce_departure(table.runners['app-1'], 'other')
        assert arrival_count(site, 'app-1') == 0
        assert arrival_count(site, 'app-2') == sent

    @standins.on_site
    async def test_kept_connections_are_closed_once_idle(self, site):
        await ask_until_arrival(site, 'app-1')
        pool = site.router.connections
        address = site.router.runners.runners['app-1'].address
        assert pool.idle[address]
        site.runners['app-1'].scripted_actions.append(
            with_notice(standins.respond_with(200, b'whole'))
        )
        await ask_until_arrival(site, 'app-1')
        await standins.wait_until(lambda: address not in pool.idle, 1.0)

    @standins.on_site
    async def test_request_without_another_endpoint_is_refused_at_once(
        self, site
    ):
        for name in ('app-1', 'app-2'):
            site.runners[name].leaving = True
        for _ in range(3):
            head, _ = await site.request('/whole/x')
        async with curio.timeout_after(0.3):
            head, _ = await site.request('/whole/x')
        assert head.status == 503
        assert float(head.headers['retry-after']) > 0
        assert len(site.arrivals()) == 2


class TestDeparturesAmongRouters:
    """Guards against routers that use what another knows to be leaving."""

    @passed_changes.on_pair
    async def test_follower_tells_its_leader(self, pair):
        table = pair.follower.runners
        table.announce_departure(table.runners['app-1'], 'request-1')
        leader = pair.leader.runners
        await standins.wait_until(
            lambda: leader.is_leaving(leader.runners['app-1']), 2.0
        )
        news = pair.follower.view.evidence_reporter.news
        await standins.wait_until(lambda: not news.unreported, 1.0)

    @passed_changes.on_pair
    async def test_leader_tells_its_followers(self, pair):
        table = pair.leader.runners
        table.announce_departure(table.runners['app-1'], 'request-1')
        follower = pair.follower.runners
        await standins.wait_until(
            lambda: follower.is_leaving(follower.runners['app-1']), 2.0
        )

    def test_announcement_of_another_run_counts_not(self):
        table = runners.RunnerTable()
        table.put(runners.Runner('a', 'app', 'h', 1, 'a', started_at=1.0))
        news = departure_news.DepartureNews(table)
        later = departures.Announcement('a', 1e9)
        news.accept((later, departures.Announcement('b', 1.0)))
        assert table.is_available(table.runners['a'])
        assert not table.departures.started_at

    def test_departure_is_told_to_a_follower_that_stood_still(self):
        clock = fakes.CallableClock(10.0)
        table = runners.RunnerTable()
        news = departure_news.DepartureNews(table, clock)
        runner = runners.Runner('a', 'app', 'h', 1, 'a', started_at=1.0)
        table.put(runner)
        table.announce_departure(runner, '-')
        # A poll and a pause after the last poll.
        clock.now += 0.5 + 2.6
        assert news.for_followers() == (departures.Announcement('a', 1.0),)

    def test_told_departures_are_bounded_and_end(self):
        clock = fakes.CallableClock(10.0)
        table = runners.RunnerTable()
        news = departure_news.DepartureNews(table, clock)
        for number in range(500):
            runner = runners.Runner(f'r{number}', 'app', 'h', 1, 'a')
            table.put(runner)
            table.announce_departure(runner, '-')
        limit = departure_news.MAX_ANNOUNCEMENTS
        assert len(news.for_followers()) == len(news.unreported) == limit
        clock.now += departure_news.TOLD_SECONDS + 0.1
        assert news.for_followers() == ()


class TestDepartures:
    """Guards against announcements that are lost or pile up."""

    def runner(self, name='a', started_at=1.0, **more):
        return runners.Runner(
            name, 'app', '10.0.0.1', 80, 'a', started_at=started_at, **more
        )

    def test_earlier_run_is_leaving_too(self):
        known = departures.Departures()
        known.announce('a', 2.0, True)
        known.entry_listed(self.runner(started_at=1.0))
        assert known.includes(self.runner(started_at=1.0))
        assert not known.includes(self.runner(started_at=3.0))

    def test_announcements_of_endpoints_that_are_gone_are_bounded(self):
        table = runners.RunnerTable()
        count = departures.MAX_UNLISTED + 50
        for number in range(count):
            runner = self.runner(f'r{number}')
            table.put(runner)
            table.announce_departure(runner, '-')
            table.remove(runner.id)
        kept = table.departures
        assert len(kept.started_at) == departures.MAX_UNLISTED
        assert len(kept.unlisted) == departures.MAX_UNLISTED
        assert kept.includes(self.runner(f'r{count - 1}'))

    def test_departed_endpoint_is_not_kept_when_its_entry_is_missing(self):
        table = runners.RunnerTable()
        table.put(self.runner())
        table.announce_departure(self.runner(), '-')
        table.remove('a', standins.base.deadlines.Deadline.after(5.0))
        assert not table.runners

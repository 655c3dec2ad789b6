"""Sound endpoints that fall silent for a second or so and then go on."""

import curio
import h11
import pytest

from celeryward import http
from tests import platform_standins as standins

# Longer than every wait of the router on the routes of the test site, and
# shorter than their deadline of 2 s.
SILENCE_SECONDS = 1.3
# Longer than that, and still shorter than the deadline.
LONG_SILENCE_SECONDS = 1.6
# More than the slack of a router's retry budget.
STREAMS = 16


@pytest.fixture
def site():
    return standins.default_site()


def silent_once(action):
    """Return an action that runs another one once, then the default."""
    silent = set()

    async def choose(runner, connection, arrival):
        first = runner.id not in silent
        silent.add(runner.id)
        chosen = action if first else standins.send_default_response
        await chosen(runner, connection, arrival)

    return choose


def silence_in_stream_for(seconds):
    """Return an action that sends one event, falls silent, and goes on."""

    async def action(runner, connection, arrival):
        await send_stream_with_silence(runner, connection, arrival, seconds)

    return action


async def silence_in_stream(runner, connection, arrival):
    """Send one event, fall silent, and go on."""
    await send_stream_with_silence(
        runner, connection, arrival, SILENCE_SECONDS
    )


async def send_stream_with_silence(runner, connection, arrival, seconds):
    """Send a stream that is silent for some seconds after one event."""
    first = await standins.begin_stream(runner, connection, arrival)
    for number in range(first, runner.events + 1):
        data = standins.event(number)
        await connection.send('answer', h11.Data(data=data))
        if number == first:
            await curio.sleep(seconds)
    await connection.send('answer', h11.EndOfMessage())


async def silence_before_head(runner, connection, arrival):
    """Fall silent before the head of the answer."""
    await curio.sleep(SILENCE_SECONDS)
    await standins.send_default_response(runner, connection, arrival)


async def silence_in_body(runner, connection, arrival):
    """Fall silent in the middle of a whole body."""
    head = runner.response_headers(arrival, **{'content-length': '12'})
    await connection.send(
        'answer',
        h11.Response(status_code=200, headers=http.encode_headers(head)),
        h11.Data(data=b'whole '),
    )
    await curio.sleep(SILENCE_SECONDS)
    await connection.send('answer', h11.Data(data=b'answer'))
    await connection.send('answer', h11.EndOfMessage())


def respond_if_second(site):
    """Return an action that responds only to the second request."""

    async def action(runner, connection, arrival):
        if len(site.arrivals()) == 1:
            await standins.never_respond(runner, connection, arrival)
        else:
            await standins.send_default_response(runner, connection, arrival)

    return action


def set_action(site, make_action):
    """Let each endpoint respond with an action of its own."""
    for runner in site.runners.values():
        runner.default_action = make_action()


class TestWholeAnswers:
    """Guards against whole answers that a silence of a second ends."""

    @standins.on_site
    async def test_answer_is_awaited_when_all_heads_are_silent(self, site):
        set_action(site, lambda: silent_once(silence_before_head))
        head, body = await site.request('/whole/')
        assert (head.status, body) == (200, b'whole answer')

    @standins.on_site
    async def test_answer_is_awaited_when_all_bodies_are_silent(self, site):
        set_action(site, lambda: silent_once(silence_in_body))
        head, body = await site.request('/whole/')
        assert (head.status, body) == (200, b'whole answer')


class TestHedging:
    """Guards against late answers that are lost, or awaited for nothing."""

    @standins.on_site
    async def test_request_to_a_mute_endpoint_is_answered_by_another(
        self, site
    ):
        first, second = site.runners['app-1'], site.runners['app-2']
        for runner in (first, second):
            runner.scripted_actions.append(respond_if_second(site))
        head, body = await site.request('/whole/')
        assert (head.status, body) == (200, b'whole answer')
        assert len(site.arrivals()) == 2

    @standins.on_site
    async def test_error_of_the_second_endpoint_does_not_end_the_first(
        self, site
    ):
        actions = [silence_before_head, standins.respond_with(500)]

        async def take_next(runner, connection, arrival):
            await actions.pop(0)(runner, connection, arrival)

        set_action(site, lambda: take_next)
        head, body = await site.request('/whole/')
        assert (head.status, body) == (200, b'whole answer')
        assert len(site.arrivals()) == 2

    @standins.on_site
    async def test_endpoints_get_no_more_than_the_attempts_of_the_route(
        self, site
    ):
        set_action(site, lambda: standins.never_respond)
        head, _ = await site.request('/whole/')
        assert head.status == 504
        assert len(site.arrivals()) == 2

    @standins.on_site
    async def test_late_answer_counts_against_its_endpoint(self, site):
        for runner in (site.runners['app-1'], site.runners['app-2']):
            runner.scripted_actions.append(respond_if_second(site))
        head, _ = await site.request('/whole/')
        answered = head.headers['celeryward-response-seal']
        failures = {
            name: site.router.outcomes.request_statistics(name).failures
            for name in ('app-1', 'app-2')
        }
        late = 'app-2' if answered == 'seal-app-1' else 'app-1'
        assert failures.pop(late) > 0.5
        assert set(failures.values()) == {0.0}

    @standins.on_site
    async def test_dispatch_that_lost_is_ended_at_its_endpoint(self, site):
        for runner in (site.runners['app-1'], site.runners['app-2']):
            runner.scripted_actions.append(respond_if_second(site))
        await site.request('/whole/')
        await standins.wait_until(
            lambda: (
                sum(len(each.ended) for each in site.runners.values()) == 2
            ),
            0.5,
        )
        assert not site.router.forwarder.exchanges


class TestStreams:
    """Guards against streams that a silence of a second cuts."""

    @standins.on_site
    async def test_stream_goes_on_when_all_endpoints_are_silent(self, site):
        set_action(site, lambda: silent_once(silence_in_stream))
        head, body = await site.request('/stream/')
        assert (head.status, body) == (200, standins.events(4))

    @standins.on_site
    async def test_stream_goes_on_with_the_endpoint_that_goes_on_first(
        self, site
    ):
        set_action(site, lambda: silence_in_stream_for(LONG_SILENCE_SECONDS))
        head, body = await site.request('/stream/')
        assert (head.status, body) == (200, standins.events(4))

    @standins.on_site
    async def test_streams_without_retry_budget_are_not_cut(self, site):
        set_action(site, lambda: silence_in_stream)
        bodies = []

        async def read_stream(number):
            _, body = await site.request('/stream/', request_id=f's{number}')
            bodies.append(body)

        async with curio.TaskGroup() as group:
            for number in range(STREAMS):
                await group.spawn(read_stream, number)
        assert bodies == [standins.events(4)] * STREAMS

    @standins.on_site
    async def test_endpoints_that_accept_no_connection_keep_their_streams(
        self, site
    ):
        set_action(site, lambda: silence_in_stream)
        bodies = []

        async def read_stream(number):
            _, body = await site.request('/stream/', request_id=f's{number}')
            bodies.append(body)

        async def refuse_connection(runner, deadline):
            await curio.sleep(deadline.remaining())
            raise standins.connect_timeout(runner)

        async with curio.TaskGroup() as group:
            for number in range(STREAMS):
                await group.spawn(read_stream, number)
            await standins.wait_until(lambda: len(site.arrivals()) == STREAMS)
            site.router.connections.open = refuse_connection
        assert bodies == [standins.events(4)] * STREAMS


class TestFailedHedges:
    """Guards against answers that a failed dispatch takes along."""

    @pytest.mark.parametrize(
        'failure',
        (standins.disconnect, standins.respond_with(500)),
        ids=('breaks off', '500'),
    )
    @standins.on_site
    async def test_failure_in_the_same_moment_drops_no_answer(
        self, site, failure
    ):
        answered = curio.Event()

        async def fail_together(runner, connection, arrival):
            await answered.wait()
            await failure(runner, connection, arrival)

        async def answer_together(runner, connection, arrival):
            await answered.set()
            await standins.send_default_response(runner, connection, arrival)

        actions = [fail_together, answer_together]

        async def take_next(runner, connection, arrival):
            await actions.pop(0)(runner, connection, arrival)

        set_action(site, lambda: take_next)
        head, body = await site.request('/whole/')
        assert (head.status, body) == (200, b'whole answer')
        assert len(site.arrivals()) == 2

    @pytest.mark.parametrize(
        'failure',
        (
            standins.disconnect,
            standins.respond_with(500),
            standins.refuse_unexecuted(),
        ),
        ids=('breaks off', '500', 'refuses'),
    )
    @standins.on_site
    async def test_request_is_hedged_again_after_a_failed_hedge(
        self, site, failure
    ):
        spec = standins.configuration(2)
        for route in spec['routes']:
            if route['name'] == 'whole':
                route['maxAttempts'] = 3
        third = standins.RunnerStandIn('app-3', 'app')
        await third.start()
        site.runners['app-3'] = third
        await site.store.put('servers', third.id, third.entry())
        await site.store.put('config', 'main', spec)
        await standins.wait_until(
            lambda: (
                site.router.configuration.current.version == 2
                and 'app-3' in site.router.runners.runners
            )
        )
        actions = [
            standins.never_respond,
            failure,
            standins.send_default_response,
        ]

        async def take_next(runner, connection, arrival):
            await actions.pop(0)(runner, connection, arrival)

        set_action(site, lambda: take_next)
        head, body = await site.request('/whole/')
        assert (head.status, body) == (200, b'whole answer')

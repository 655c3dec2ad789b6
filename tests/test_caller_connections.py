"""Connections of callers that a router closes, and what is lost with them."""

import dataclasses
import socket

import curio
import h11
import pytest

from celeryward import http
from tests import platform_standins as standins

REFUSED_BODY_BYTES = 2 * 1024 * 1024


@pytest.fixture
def site():
    return standins.default_site()


def limits(idle_milliseconds):
    """Return the limits of a configuration with an idle timeout."""
    return {'idleTimeoutMs': idle_milliseconds, 'maxBodyBytes': 100000}


async def change_limits(site, version, idle_milliseconds):
    """Write a configuration with another idle timeout; wait for it."""
    spec = standins.configuration(version, limits=limits(idle_milliseconds))
    await site.store.put('config', 'main', spec)
    await standins.wait_until(
        lambda: site.router.configuration.current.version == version
    )


async def send_head_with_two_lengths(runner, connection, arrival):
    """Send a chunked answer that states another length as well."""
    lines = ''.join(
        f'{name}: {value}\r\n'
        for name, value in runner.response_headers(arrival).items()
    )
    await connection.sock.sendall(
        f'HTTP/1.1 200 OK\r\n{lines}transfer-encoding: chunked\r\n'
        'content-length: 99\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n'.encode()
    )
    raise http.Disconnected('done', step='answer', peer='test')


class TestIdleTimeout:
    """Guards against idle connections that close sooner than allowed."""

    @standins.on_site
    async def test_longer_limit_holds_for_connections_that_are_idle(
        self, site
    ):
        await change_limits(site, 2, 600)
        connection = await site.connect()
        await standins.request(connection, '/whole/x')
        connection.start_next_cycle()
        await change_limits(site, 3, 5000)
        await curio.sleep(1.0)
        head, _ = await standins.request(connection, '/whole/x')
        assert head.status == 200
        await connection.close()

    @standins.on_site
    async def test_shorter_limit_gives_callers_time_to_learn_of_it(self, site):
        connection = await site.connect()
        await standins.request(connection, '/whole/x')
        await change_limits(site, 2, 300)
        connection.start_next_cycle()
        await standins.request(connection, '/whole/x')
        connection.start_next_cycle()
        await curio.sleep(0.8)
        head, _ = await standins.request(connection, '/whole/x')
        assert head.status == 200
        await connection.close()


class TestAnswers:
    """Guards against answers that a router has and doesn't deliver."""

    @pytest.mark.parametrize('path', ('/whole/x', '/once/x'))
    @standins.on_site
    async def test_answer_with_two_lengths_does_not_end_the_connection(
        self, site, path
    ):
        for runner in site.runners.values():
            runner.default_action = send_head_with_two_lengths
        head, body = await site.request(path, 'POST', b'1')
        assert (head.status, body) == (200, b'whole answer')

    @standins.on_site
    async def test_refusal_is_read_although_the_body_is_not(self, site):
        connection = await site.connect()
        headers = standins.request_headers(
            '/once/x',
            content_length=str(REFUSED_BODY_BYTES),
        )
        lines = ''.join(f'{name}: {headers[name]}\r\n' for name in headers)
        request = f'POST /once/x HTTP/1.1\r\n{lines}\r\n'.encode()
        connection.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, REFUSED_BODY_BYTES
        )
        writing = await curio.spawn(
            connection.sock.sendall, request + b'x' * REFUSED_BODY_BYTES
        )
        await curio.sleep(0.3)
        received = await curio.timeout_after(2.0, connection.sock.recv, 4096)
        assert received.startswith(b'HTTP/1.1 413')
        await writing.cancel()
        await connection.close()


class TestStop:
    """Guards against requests that a stop cuts off."""

    @standins.on_site
    async def test_request_after_an_answer_without_close_is_served(self, site):
        release = curio.Event()

        async def pause_in_stream(runner, connection, arrival):
            head = runner.response_headers(
                arrival, **{'transfer-encoding': 'chunked'}
            )
            lines = http.encode_headers(head)
            await connection.send(
                'answer', h11.Response(status_code=200, headers=lines)
            )
            await release.wait()
            data = standins.events(4)
            await connection.send('answer', h11.Data(data=data))
            await connection.send('answer', h11.EndOfMessage())

        for runner in site.runners.values():
            runner.scripted_actions.append(pause_in_stream)
        connection = await site.connect()
        first = await curio.spawn(standins.request, connection, '/rigid/x')
        await standins.wait_until(
            lambda: any(
                responder and responder.started
                for responder in site.router.gateway.active.values()
            )
        )
        stopping = await curio.spawn(site.router.stop)
        await standins.wait_until(lambda: site.router.gateway.draining)
        await release.set()
        await first.join()
        connection.start_next_cycle()
        head, _ = await standins.request(connection, '/whole/x')
        assert head.status == 200
        assert head.headers['connection'] == 'close'
        await stopping.join()
        await connection.close()

    @standins.on_site
    async def test_request_that_can_not_be_finished_is_not_begun(self, site):
        """It was dispatched, and cut off when the stop ended."""
        placement = site.router.placement
        bounds = dataclasses.replace(placement.bounds, stop_seconds=2.0)
        site.router.placement = dataclasses.replace(placement, bounds=bounds)
        site.router.tuning = dataclasses.replace(
            site.router.tuning, stop_accepting_after=0.3
        )
        for runner in site.runners.values():
            runner.default_action = standins.never_respond
        connection = await site.connect()
        headers = standins.request_headers('/rigid/x')
        lines = ''.join(f'{name}: {headers[name]}\r\n' for name in headers)
        await connection.sock.sendall(b'GET /rigid/x HTTP/1.1\r\n')
        stopping = await curio.spawn(site.router.stop)
        await curio.sleep(0.6)
        await connection.sock.sendall(f'{lines}\r\n'.encode())
        received = await curio.timeout_after(0.5, connection.sock.recv, 4096)
        assert received.startswith(b'HTTP/1.1 503')
        assert b'Retry-After' in received
        assert site.arrivals() == []
        await stopping.join()
        await connection.close()

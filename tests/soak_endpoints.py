"""Endpoints of the soak, as its tests use them."""

from benchmarks.soak import fleet as fleets
from celeryward import deadlines
from celeryward import http
from tests import fakes
from tests import platform_standins as standins


async def ask(endpoint, request_id='r1', path='/whole/x', **headers):
    """Send a request through the endpoint's proxy; return its body."""
    deadline = deadlines.Deadline.after(5.0)
    connection = await http.connect('127.0.0.1', endpoint.proxy.port, deadline)
    headers = standins.request_headers(path, request_id=request_id, **headers)
    try:
        await http.send_request(connection, 'POST', path, headers, b'body')
        await connection.receive_response(deadline)
        return await connection.receive_body('read body', deadline)
    finally:
        await connection.close()


def on_endpoint(in_process):
    """Return a decorator that runs a coroutine test on a started endpoint.

    :param bool in_process: whether the endpoint is a process of its own.
    """

    def decorate(test):
        @fakes.in_kernel
        async def run(self, tmp_path, **more):
            count = int(in_process)
            fleet = fleets.Fleet(1, tmp_path, 0, 1, process_endpoints=count)
            await fleet.start()
            try:
                await test(self, fleet.endpoints[0], **more)
            finally:
                await fleet.stop()

        return run

    return decorate

"""Golden files of complete HTTP exchanges with a daemon."""

import dataclasses

import curio

from celeryward.operators import demo

REFUSALS = (
    demo.chat_example('unknown model', 'absent', 'x'),
    demo.chat_example('cascade', 'auto', 'x', stream=True),
    demo.Example('wrong body', 'POST', '/v1/chat/completions', {'model': 1}),
    demo.Example('unknown service', 'GET', '/v1/services/none/x', {}),
    dataclasses.replace(
        demo.chat_example('bad deadline', 'small', 'x'),
        headers={'x-timeout-ms': 'soon'},
    ),
    dataclasses.replace(
        demo.chat_example('wrong key', 'small', 'x'),
        headers={'authorization': 'Bearer wrong'},
    ),
)


class TestDemoSession:
    """Guards the wire formats, routes and bills, from request to bill."""

    def test_session_matches_golden_file(self, snapshot):
        lines = []
        curio.run(demo.run_examples, lines.append)
        assert '\n'.join(lines) == snapshot


class TestFailingSession:
    """Guards the error responses of refused and failed requests."""

    async def session(self, write):
        cluster = demo.Cluster()
        await cluster.start()
        for example in REFUSALS:
            await self.record(cluster, example, write)
        cluster.large.break_after = 3
        stream = demo.chat_example('broken stream', 'large', 'x', stream=True)
        await self.record(cluster, stream, write)
        cluster.orders.lose_answers = True
        order = demo.Example(
            'lost answer', 'POST', '/v1/services/orders/reserve', {}
        )
        await self.record(cluster, order, write)
        cluster.small.refusing = True
        refused = demo.chat_example('refusing engine', 'small', 'x')
        await self.record(cluster, refused, write)
        await cluster.stop()

    async def record(self, cluster, example, write):
        port = cluster.daemon.listener.port
        head, body = await demo.send_example(port, example)
        write(f'== {example.title}: {head.status}')
        for name in ('x-execution', 'x-served-by'):
            write(f'{name}: {head.headers.get(name, "-")}')
        # Ports are ephemeral.
        text = body.decode('utf-8').rstrip('\n')
        for endpoint in (cluster.small, cluster.large, cluster.orders):
            text = text.replace(str(endpoint.port), 'PORT')
        write(text)

    def test_session_matches_golden_file(self, snapshot, run):
        lines = []
        run(self.session, lines.append)
        assert '\n'.join(lines) == snapshot

"""An end-to-end demo in one process, with stand-ins.

Runs the platform, two model engines, a plain service, the rating service
and one daemon, sends requests over HTTP, and prints responses, routes, costs
and bills.
"""

import dataclasses
import itertools

import msgspec

from celeryward.callers import keys
from celeryward import daemon
from celeryward import deadlines
from celeryward import event_loop
from celeryward import http
from celeryward.objects import batches
from celeryward.objects import protocol
from celeryward import settings
from celeryward.standins import engine
from celeryward.standins import platform
from celeryward.standins import rater
from celeryward.standins import service

CALL_SECONDS = 10.0
KEY = 'demo-key'
SALT = 'demo-salt'


@dataclasses.dataclass(frozen=True, slots=True)
class Example:
    """One request of the demo.

    :param str title: heading in the output.
    :param dict body: sent as JSON.
    """

    title: str
    method: str
    path: str
    body: dict
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


def chat_example(title, model, text, stream=False):
    """Return an :class:`Example` of a chat request."""
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
        'stream': stream,
        'max_tokens': 8,
    }
    return Example(title, 'POST', '/v1/chat/completions', body)


EXAMPLES = (
    chat_example('A whole answer', 'small', 'Which size fits?'),
    chat_example(
        'A streamed answer', 'large', 'Explain the steps.', stream=True
    ),
    chat_example(
        'A cascade that stops at the cheap tier', 'auto', 'Tag this part.'
    ),
    chat_example('A cascade that goes up', 'auto', 'long ' * 60),
    Example(
        'A plain service, sent once',
        'POST',
        '/v1/services/orders/reserve',
        {'part': 7},
    ),
    chat_example('A refusal', 'secret', 'May I?'),
)


class Cluster:
    """One daemon and the stand-ins of its peers, all in this process."""

    def __init__(self):
        self.platform = platform.PlatformStandIn()
        self.small = engine.EngineStandIn(('small@1',))
        self.large = engine.EngineStandIn(('large@1',))
        self.orders = service.ServiceStandIn()
        self.rater = rater.RaterStandIn(
            {'small': 0.9, 'large': 0.95}, {'small': 0.4, 'large': 0.95}
        )
        self.daemon = None

    def all_standins(self):
        """Return every stand-in."""
        return (
            self.platform,
            self.small,
            self.large,
            self.orders,
            self.rater,
        )

    async def start(self):
        """Start the stand-ins and the daemon; wait until it is ready."""
        for standin in self.all_standins():
            await standin.start()
        for stored in self.records():
            await self.platform.put(stored)
        counter = itertools.count(1)
        self.daemon = daemon.Daemon(
            settings.Settings(
                name='demo',
                failure_domain='domain-1',
                platform=settings.Address(port=self.platform.port),
                raters=settings.Address(port=self.rater.port),
            ),
            new_id=lambda: f'request-{next(counter):04d}',
        )
        await self.daemon.start()

    async def stop(self):
        """Stop the daemon gracefully, then the stand-ins."""
        await self.daemon.stop()
        for standin in self.all_standins():
            await standin.stop()

    def records(self):
        """Return the declared records of the demo."""
        hashed = dataclasses.asdict(keys.hash_key(KEY, SALT))
        return (
            stored_record(
                'Customer',
                'workshop',
                {
                    'allowed': ['small', 'large'],
                    'services': ['orders'],
                    'key_hashes': [hashed],
                },
                schema_version=2,
            ),
            stored_record(
                'ModelVersion',
                'small@1',
                {'model': 'small', 'version': '1', 'token_cost': 1.0},
            ),
            stored_record(
                'ModelVersion',
                'large@1',
                {
                    'model': 'large',
                    'version': '1',
                    'prompt_cost': 5.0,
                    'answer_cost': 15.0,
                },
                schema_version=2,
            ),
            stored_record('Cascade', 'auto', {'tiers': ['small', 'large']}),
            stored_record('Service', 'orders', {}),
            self.endpoint_record('engine-1', self.small, serves=['small@1']),
            self.endpoint_record('engine-2', self.large, serves=['large@1']),
            self.endpoint_record('orders-1', self.orders, services=['orders']),
        )

    def endpoint_record(self, name, standin, **fields):
        """Return the endpoint record of a stand-in."""
        spec = {
            'host': '127.0.0.1',
            'port': standin.port,
            'failure_domain': 'domain-1',
            **fields,
        }
        return stored_record('Endpoint', name, spec)


def stored_record(kind, name, spec, schema_version=1):
    """Return a declared record as a stored object."""
    return protocol.StoredObject(
        kind, name, spec, schema_version=schema_version, writer='demo'
    )


async def send_example(port, example):
    """Send one example to a daemon; return response head and body."""
    deadline = deadlines.Deadline.after(CALL_SECONDS)
    connection = await http.connect('127.0.0.1', port, deadline)
    try:
        return await http.exchange(
            connection,
            example.method,
            example.path,
            {'authorization': f'Bearer {KEY}', **example.headers},
            msgspec.json.encode(example.body),
            deadline,
        )
    finally:
        await connection.close()


async def run_examples(write):
    """Start the cluster, send the examples and write the results.

    :param write: function that is called with each line of the output.
    """
    cluster = Cluster()
    await cluster.start()
    for example in EXAMPLES:
        head, body = await send_example(cluster.daemon.listener.port, example)
        write(f'== {example.title}: {example.method} {example.path}')
        write(f'status {head.status}')
        for name in ('x-request-id', 'x-served-by', 'x-execution'):
            write(f'{name}: {head.headers.get(name, "-")}')
        write(body.decode('utf-8').rstrip('\n'))
    await cluster.stop()
    write('== Bills at the platform')
    for stored in cluster.platform.objects.values():
        if stored.kind == batches.BATCH_KIND:
            write_bills(stored, write)


def write_bills(stored, write):
    """Write one line for each bill of a batch."""
    for bill in batches.deduplicate([batches.from_object(stored)]):
        route = ' -> '.join(run.version for run in bill.runs)
        write(
            f'{bill.request_id} {bill.customer} {bill.target}: '
            f'{route or "-"} cost {bill.cost:.3f}'
        )


def run():
    """Run the demo and print its output to standard output."""
    event_loop.run(run_examples, print)

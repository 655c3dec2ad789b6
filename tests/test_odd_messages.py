"""Odd messages of the object API, of other routers and of endpoints."""

import math

import h11
import msgspec
import pytest

from celeryward.daemons import exchange_pb2
from celeryward.daemons import protocol as daemons
from celeryward import deadlines
from celeryward.endpoints import liveness
from celeryward.endpoints import management
from celeryward import errors
from celeryward import http
from celeryward.objects import client
from celeryward.objects import configuration
from celeryward.objects import confirmations
from celeryward.objects import protocol
from celeryward.routers import protocol as routers
from celeryward import settings
from celeryward.standins import base
from tests import fakes

DEEP = msgspec.Raw(b'[' * 100_000 + b']' * 100_000)
SPEC = {'host': 'h', 'port': 80, 'failure_domain': 'a'}


def stored(name='e', revision=1, spec=SPEC):
    return protocol.StoredObject('Endpoint', name, spec, revision)


def listed(*objects, revision=9):
    body = protocol.encode({'items': objects, 'revision': revision})
    return protocol.ObjectDialect().decode_list('Endpoint', body)


class TestConfigurationStore:
    """Guards against endpoints that vanish because of an odd entry."""

    def accepted(self, *objects):
        found = configuration.ConfigurationStore()
        found.accept_list('Endpoint', listed(*objects, revision=5))
        return found

    def test_known_object_that_becomes_odd_keeps_its_last_state(self):
        found = self.accepted(stored('a'), stored('b'))
        odd = stored('a', 7, {'x': DEEP})
        found.accept_list('Endpoint', listed(odd, stored('b')))
        assert set(found.catalog().endpoints) == {'a', 'b'}

    def test_list_with_an_unnamed_entry_deletes_nothing(self):
        found = self.accepted(stored('a'), stored('b'))
        found.accept_list('Endpoint', listed(stored('a'), {'x': DEEP}))
        assert set(found.catalog().endpoints) == {'a', 'b'}

    def test_deletion_with_an_odd_object_deletes(self):
        found = self.accepted(stored('a'), stored('b'))
        body = protocol.encode(
            protocol.Change('delete', 7, stored('a', 7, {'x': DEEP}))
        )
        found.accept((protocol.read_change(body),))
        assert set(found.catalog().endpoints) == {'b'}


class WatchStandIn(base.StandIn):
    """An object API whose watch sends some lines."""

    def __init__(self, lines):
        super().__init__()
        self.lines = lines

    async def answer(self, connection, received):
        await connection.send(
            'answer',
            h11.Response(
                status_code=200, headers=[(b'transfer-encoding', b'chunked')]
            ),
        )
        for line in self.lines:
            await connection.send('answer', h11.Data(data=line + b'\n'))
        await connection.send('answer', h11.EndOfMessage())


class TestWatch:
    """Guards against a watch that never gets past an odd line."""

    @fakes.in_kernel
    async def test_changes_after_an_odd_line_arrive(self):
        change = protocol.Change('put', 3, stored('a', 3))
        odd = b'{"type":"put","object":{"x":' + bytes(DEEP) + b'}}'
        server = WatchStandIn([odd, b'{', protocol.encode(change)])
        await server.start()
        counted = []
        reader = client.ObjectClient(
            settings.Address('127.0.0.1', server.port), 2.0, 'test'
        )
        reader.ignored.count = counted.append
        found = [
            each.unwrap()
            async for each in reader.watch(
                ('Endpoint',), 0, lambda: deadlines.Deadline.after(2.0)
            )
        ]
        assert found == [change]
        assert counted == ['watch', 'watch']
        await server.stop()


class TestOtherRouters:
    """Guards against what a faulty router says of the store."""

    @pytest.mark.parametrize('claimed', [0.5, 3600.0, 1e300])
    def test_confirmation_from_the_future_is_not_believed(self, claimed):
        """It made revoked keys valid without end."""
        answer = protocol.ChangeList((), 7, claimed, passed_on=True)
        found = confirmations.add_confirmation(answer, 2.0, 0.1)
        assert found.confirmed_seconds == 0.1

    @pytest.mark.parametrize(
        'odd',
        [
            {'exposure': {'requests': 10**400, 'exposed': 1}},
            {'exposure': {'requests': -5, 'exposed': -7}},
            {'exposure': {'requests': 5, 'exposed': 7}},
        ],
    )
    def test_odd_evidence_is_refused(self, odd):
        exposure = {'service': 's', 'target': 'v', 'created': 1} | odd
        report = {'exposures': [exposure], 'outcomes': []}
        body = msgspec.json.encode(report)
        assert routers.parse_request('/evidence', body) is None

    @pytest.mark.parametrize(
        'fields', ['since=-1&wait=1', 'since=1&wait=nan', 'since=1&wait=-1']
    )
    def test_odd_poll_is_refused(self, fields):
        assert routers.parse_request(f'/changes/config?{fields}') is None


class TestEndpointReports:
    """Guards against odd answers to probes and orders."""

    @pytest.mark.parametrize('odd', [10**400, -1, 10**9])
    def test_load_out_of_range_is_a_protocol_error(self, odd):
        """It raised OverflowError where the load was used."""
        body = msgspec.json.encode({'running': odd})
        with pytest.raises(errors.ProtocolError):
            management.decode_load(body, 'peer')

    def test_nested_report_is_a_protocol_error(self):
        body = msgspec.json.encode({'x': DEEP})
        with pytest.raises(errors.ProtocolError):
            management.decode_load(body, 'peer')
        assert issubclass(errors.ProtocolError, http.EXCHANGE_ERRORS)

    def test_odd_cache_event_costs_only_itself(self):
        events = [
            {'number': number, 'type': 'stored', 'prefix': prefix}
            for number, prefix in ((1, 'af'), (2, 'xyz'), (10**400, 'a'))
        ]
        body = msgspec.json.encode({'events': events})
        found = management.decode_cache_events(body, 'peer').events
        assert [event.number for event in found] == [1]

    def test_departure_from_the_future_can_be_withdrawn(self):
        clock = fakes.CallableClock(100.0)
        found = liveness.Liveness(clock)
        found.merge((liveness.Announcement('e', True, 1e9),))
        clock.now += 1.0
        found.set_leaving('e', False)
        assert not found.is_leaving('e')


class TestDaemonMessages:
    """Guards against numbers of other daemons that spoil sums."""

    @pytest.mark.parametrize('odd', [math.nan, math.inf, -math.inf])
    def test_number_that_is_not_finite_is_a_protocol_error(self, odd):
        run = exchange_pb2.Run(version='m@1', cost=odd)
        bill = exchange_pb2.Bill(request_id='r', runs=[run])
        with pytest.raises(errors.ProtocolError):
            daemons.read_bills(exchange_pb2.Bills(bills=[bill]))
        with pytest.raises(errors.ProtocolError):
            daemons.read_digest(exchange_pb2.Digest(confirmed_at=odd))

    def test_bucket_that_does_not_exist_is_a_protocol_error(self):
        for odd in (
            exchange_pb2.Digest(bucket_numbers=[64]),
            exchange_pb2.Digest(bucket_hashes=[1] * 65),
        ):
            with pytest.raises(errors.ProtocolError):
                daemons.read_digest(odd)

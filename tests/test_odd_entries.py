"""Odd entries of other writers in the store, tested with a stand-in for it."""

from adapter import store
import curio
import msgspec
import pytest
import result

from celeryward.objects import client
from celeryward.objects import pages
from celeryward import router_settings
from tests import fakes
from tests import platform_standins as standins

DEEP = b'[' * 100_000 + b']' * 100_000
ODD_FIELDS = {
    'nested 100,000 times': DEEP,
    'integer of 400 digits': b'9' * 400,
    'integer of 5,000 digits': b'9' * 5000,
    'lone surrogate': b'"\\ud800"',
    'number out of range': b'1e999',
    'invalid escape': b'"\\q"',
    'invalid UTF-8': b'"\xff"',
}


@pytest.fixture
def site():
    return standins.Site(
        [
            standins.RunnerStandIn('app-1', 'app'),
            standins.RunnerStandIn('app-2', 'app'),
        ]
    )


def with_field(spec, value):
    """Return a spec as JSON with one more field, which may be odd."""
    return msgspec.Raw(
        msgspec.json.encode(spec)[:-1] + b',"x":' + value + b'}'
    )


def runner_spec(**more):
    return {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'born': 1000,
        **more,
    }


class TestOddEntries:
    """Guards against an odd entry that costs more than itself."""

    @pytest.mark.parametrize('odd', ODD_FIELDS)
    @standins.on_site
    async def test_removal_is_followed_after_an_odd_entry(self, site, odd):
        spec = with_field(runner_spec(), ODD_FIELDS[odd])
        await site.store.put('servers', 'odd', spec)
        await curio.sleep(0.3)
        await site.store.delete('servers', 'app-1')
        runners = site.router.runners.runners
        await standins.wait_until(lambda: 'app-1' not in runners, 1.5)
        assert set(runners) == {'app-2'}

    @pytest.mark.parametrize('odd', ODD_FIELDS)
    @standins.on_site
    async def test_list_with_an_odd_entry_has_all_others(self, site, odd):
        spec = with_field(runner_spec(), ODD_FIELDS[odd])
        await site.store.put('servers', 'odd', spec)
        await site.start_router()
        await standins.wait_until(site.router.is_ready, 3.0)
        assert set(site.router.runners.runners) == {'app-1', 'app-2'}

    @pytest.mark.parametrize('odd', ODD_FIELDS)
    @standins.on_site
    async def test_known_entry_that_becomes_odd_names_no_endpoint(
        self, site, odd
    ):
        entry = site.runners['app-1'].entry('draining')
        spec = with_field(entry, ODD_FIELDS[odd])
        await site.store.put('servers', 'app-1', spec)
        runners = site.router.runners.runners
        await standins.wait_until(lambda: 'app-1' not in runners, 1.5)

    @pytest.mark.parametrize('odd', ODD_FIELDS)
    @standins.on_site
    async def test_deletion_with_an_odd_object_removes_the_entry(
        self, site, odd
    ):
        key = ('servers', 'app-1')
        entry = site.store.objects[key]
        spec = with_field(entry['spec'], ODD_FIELDS[odd])
        site.store.objects[key] = entry | {'spec': spec}
        await site.store.delete(*key)
        runners = site.router.runners.runners
        await standins.wait_until(lambda: 'app-1' not in runners, 1.5)

    @pytest.mark.parametrize('odd', ODD_FIELDS)
    @standins.on_site
    async def test_odd_configuration_keeps_the_last_in_force(self, site, odd):
        spec = with_field(standins.configuration(2), ODD_FIELDS[odd])
        await site.store.put('config', 'main', spec)
        await curio.sleep(0.3)
        assert site.router.configuration.current.version == 1
        await site.store.put('config', 'main', standins.configuration(3))
        holder = site.router.configuration
        await standins.wait_until(lambda: holder.current.version == 3, 1.5)


class TestPages:
    """Guards against lists that end early at an entry without a name."""

    DIALECT = store.StoreDialect()
    NAMED = b'{"meta":{"name":"a","revision":1,"created":1},"spec":{}}'
    UNNAMED = b'{"meta":{"name":"\\ud800"}}'

    def page(self, *entries):
        body = b','.join(entries)
        return b'{"entries":[%b],"hasMore":true,"currentRev":7}' % body

    def test_list_goes_on_after_the_last_readable_name(self):
        body = self.page(self.NAMED, self.UNNAMED)
        page = self.DIALECT.decode_page('servers', body)
        assert page.next_after == 'a'
        assert len(page.faults) == 1

    def test_page_without_a_name_does_not_end_the_list(self):
        with pytest.raises(msgspec.DecodeError):
            self.DIALECT.decode_page('servers', self.page(self.UNNAMED))

    @fakes.in_kernel
    async def test_store_that_repeats_a_page_is_not_read_for_ever(self):
        reader = client.ObjectClient(
            router_settings.Address('127.0.0.1', 1), 1.0, 'test', self.DIALECT
        )

        async def call(*arguments, **more):
            reader.calls += 1
            return result.Ok(self.page(self.NAMED))

        reader.call = call
        assert (await reader.list_pages('servers')).is_err()
        assert reader.calls == pages.MAX_PAGES


class TestAnswerHeads:
    """Guards against callers without an answer after an odd head."""

    @standins.on_site
    async def test_confidence_of_5000_digits_costs_no_answer(self, site):
        action = standins.respond_with(
            200, b'whole', celeryward_confidence='9' * 5000
        )
        for runner in site.runners.values():
            runner.default_action = action
        head, body = await site.request('/whole/x')
        assert (head.status, body) == (200, b'whole')

"""Event streams through a router, and cascades of models."""

import h11
import pytest

from celeryward import http
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.default_site()


class TestStreams:
    """Guards against missing, duplicate or merged events of streams."""

    @standins.on_site
    async def test_stream_is_relayed(self, site):
        head, body = await site.request('/stream/x')
        assert head.headers['content-type'] == 'text/event-stream'
        assert body == standins.events(4)

    @standins.on_site
    async def test_broken_stream_resumes_at_another_endpoint(self, site):
        async def torn(runner, connection, arrival):
            await standins.send_stream(
                runner,
                connection,
                arrival,
                2,
                partial_event=b'id: 3\ndata: pie',
            )

        site.runners['llm-1'].scripted_actions.append(torn)
        # Prompt affinity may prefer either endpoint; marking llm-2 as lost
        # makes llm-1 the first choice.
        site.router.outcomes.set_lost('llm-2', True)
        _, body = await site.request('/stream/x')
        assert body == standins.events(4)
        resumed = site.runners['llm-2'].arrivals[0]
        assert resumed.head.headers['last-event-id'] == '2'

    @standins.on_site
    async def test_missing_event_is_fetched_by_resuming(self, site):
        async def gap(runner, connection, arrival):
            head = runner.response_headers(
                arrival, **{'transfer-encoding': 'chunked'}
            )
            await connection.send(
                'answer',
                h11.Response(
                    status_code=200, headers=http.encode_headers(head)
                ),
                h11.Data(data=standins.event(1) + standins.event(3)),
                h11.EndOfMessage(),
            )

        site.runners['llm-1'].scripted_actions.append(gap)
        site.router.outcomes.set_lost('llm-2', True)
        _, body = await site.request('/stream/x')
        assert body == standins.events(4)
        assert len(site.arrivals()) == 2

    @standins.on_site
    async def test_stream_that_can_not_resume_ends_without_its_last_chunk(
        self, site
    ):
        async def cut(runner, connection, arrival):
            await standins.send_stream(runner, connection, arrival, 2)

        for runner in site.runners.values():
            runner.default_action = cut
        with pytest.raises(http.Disconnected):
            await site.request('/rigid/x')
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_caller_resumes_after_its_last_event(self, site):
        _, body = await site.request('/stream/x', last_event_id='3')
        assert body == standins.event(4)


class TestModelEscalation:
    """Guards against needless runs of large models, and poor answers."""

    @standins.on_site
    async def test_confident_answer_of_the_small_model_is_kept(self, site):
        await site.request('/stream/x')
        assert [each.model for each in site.arrivals()] == ['small']

    @standins.on_site
    async def test_unsure_answer_is_replaced_by_the_largest_model(self, site):
        for runner in site.runners.values():
            runner.confidence = {'small': 5}
        _, body = await site.request('/stream/x')
        assert body == standins.events(4)
        models = [each.model for each in site.arrivals()]
        assert sorted(models) == ['large', 'small']

    @standins.on_site
    async def test_urgent_request_does_not_lengthen_the_queue_of_others(
        self, site
    ):
        """Urgent requests saw no queue, and ran large models in it."""
        for runner in site.runners.values():
            runner.confidence = {'small': 5}
        queues = site.router.queues
        for runner in site.runners.values():
            for _ in range(4):
                queues.record(runner.id, 20.0)
        _, body = await site.request('/stream/x')
        assert body == standins.events(4)
        assert [each.model for each in site.arrivals()] == ['small']

    @standins.on_site
    async def test_small_answer_is_kept_without_retry_budget(self, site):
        for runner in site.runners.values():
            runner.confidence = {'small': 5}
        budget = site.router.relay.retries.budgets['llm']
        budget.tokens = 1.5
        _, body = await site.request('/stream/x')
        assert body == standins.events(4)
        assert [each.model for each in site.arrivals()] == ['small']

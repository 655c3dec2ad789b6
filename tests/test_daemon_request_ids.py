"""Request ids that callers choose, and the answers that repeat them."""

import pytest

from celeryward.operators import demo


class TestRequestIds:
    """Guards against ids with which no answer can be written."""

    @pytest.mark.parametrize(
        'request_id', ('x' * 127 + ' y', 'x' * 127 + '\ty', 'a\xa0')
    )
    @pytest.mark.parametrize(
        'path', ('/v1/services/orders/x', '/v1/services/none/x', '/none')
    )
    def test_id_that_is_cut_at_a_blank_gets_its_answer(
        self, run, request_id, path
    ):
        """Every answer closed the connection."""

        async def test():
            cluster = demo.Cluster()
            await cluster.start()
            example = demo.Example(
                '', 'GET', path, {}, {'x-request-id': request_id}
            )
            try:
                head, _ = await demo.send_example(
                    cluster.daemon.listener.port, example
                )
                assert head.status in (200, 404)
            finally:
                await cluster.stop()

        run(test)

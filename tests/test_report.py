"""The daily report and the burn rates of error budgets."""

import pytest

from celeryward import calls
from celeryward import catalog
from celeryward.objects import batches
from celeryward.objects import client
from celeryward.objects import window_publisher
from celeryward.operators import burn
from celeryward.operators import collect
from celeryward.operators import page
from celeryward.operators import report
from celeryward.operators import windows
from celeryward import settings
from celeryward.standins import platform
from tests import fakes

NOW = 1_800_000_000.0


def finished_request(at, code='ok', **fields):
    return windows.FinishedRequest(at, 'a', 'm', code, **fields)


def recorder_with(requests):
    recorder = windows.Recorder('d-1')
    for request in requests:
        recorder.record(request)
    return recorder


class TestBurn:
    """Guards against alerts on past errors, or none on current ones."""

    def measure(self, requests):
        service_windows = recorder_with(requests).changed_windows()
        buckets = [
            each for window in service_windows for each in window.buckets
        ]
        level = catalog.ServiceLevel()
        return burn.measure('a', 'availability', level, buckets, NOW)

    def test_current_errors_raise_a_page(self):
        requests = [finished_request(NOW - second) for second in range(1000)]
        requests += [
            finished_request(NOW - s, 'overloaded') for s in range(0, 600, 10)
        ]
        assert self.measure(requests).severity == 'page'

    def test_errors_that_are_over_raise_no_page(self):
        requests = [finished_request(NOW - second) for second in range(3600)]
        requests += [
            finished_request(NOW - 3000, 'overloaded') for _ in range(90)
        ]
        measured = self.measure(requests)
        assert measured.rates['1 h'] > 14.4
        assert measured.severity == ''

    def test_errors_of_the_caller_spend_no_budget(self):
        requests = [finished_request(NOW, 'not_permitted') for _ in range(50)]
        assert self.measure(requests).spent == 0.0


class TestReport:
    """Guards against a verdict that hides a problem."""

    def build(self, requests, bill_ids):
        service_windows = recorder_with(requests).changed_windows()
        return report.build(catalog.Catalog(), service_windows, bill_ids, NOW)

    def test_good_day(self):
        requests = [
            finished_request(NOW - 9, billed=True, first_token=0.1)
        ] * 20
        built = self.build(requests, [f'b{n}' for n in range(20)])
        assert built.verdict.startswith('The day went well: 20 requests')
        assert built.bills.ok

    def test_duplicate_bill_is_listed_first(self):
        requests = [
            finished_request(NOW - 9, 'overloaded'),
            finished_request(NOW, billed=True),
        ]
        built = self.build(requests, ['b1', 'b1'])
        assert 'billed more than once' in built.worst[0].text
        assert 'did not go well' in built.verdict

    def test_missing_bill_is_reported(self):
        built = self.build([finished_request(NOW, billed=True)], [])
        assert 'no bill yet' in built.worst[0].text

    def test_old_windows_are_reported(self):
        built = self.build([finished_request(NOW - 7200)], [])
        assert 'newest report of a daemon' in built.worst[0].text

    def test_no_requests_give_no_verdict(self):
        assert self.build([], []).verdict.startswith('No verdict')

    def test_page_escapes_names_and_has_no_external_resources(self):
        requests = [windows.FinishedRequest(NOW, '<script>', 'm', 'ok')]
        text = page.render_html(self.build(requests, []))
        assert '<script>' not in text
        assert 'src=' not in text

    def test_text_starts_with_the_verdict(self):
        lines = list(page.render_text(self.build([finished_request(NOW)], [])))
        assert lines[0].startswith('The day went well')


class TestCollect:
    """Guards against bills that make up for missing ones."""

    def test_bills_before_the_first_bucket_hide_no_missing_bill(self, run):
        """Up to 5 minutes of bills counted without their requests."""
        now = NOW + 100.0
        before = now - report.DAY_SECONDS + 50.0
        requests = [
            finished_request(before, billed=True),
            finished_request(now - 9.0, billed=True),
        ]
        bill = calls.Bill('r', 'a', 'm', (), before, 'b1', 'batch')
        objects = fakes.ObjectClient()
        objects.force_put(batches.Batch('batch', (bill,)).to_object())
        for window in recorder_with(requests).changed_windows():
            objects.force_put(window_publisher.to_object(window))
        assert run(collect.read_report, objects, now).bills.missing == 1


class TestPublisher:
    """Guards against windows that are lost or written twice."""

    @pytest.mark.parametrize('lost', [True, False])
    def test_window_is_stored_once_with_all_requests(self, run, lost):
        async def test():
            standin = platform.PlatformStandIn()
            await standin.start()
            answers = iter([lost, False, lost, False, False, False])
            standin.lose_answers = lambda received: next(answers)
            recorder = recorder_with([finished_request(NOW, first_token=0.2)])
            publish = window_publisher.WindowPublisher(
                recorder,
                client.ObjectClient(
                    settings.Address(port=standin.port), 1.0, 'd'
                ),
                lambda: NOW,
            )
            while not await publish.publish():
                pass
            recorder.record(finished_request(NOW + 1))
            while not await publish.publish():
                pass
            (stored,) = standin.objects.values()
            window = window_publisher.from_object(stored).unwrap()
            assert window.buckets[0].requests == 2
            assert recorder.changed_windows() == []
            await standin.stop()

        run(test)

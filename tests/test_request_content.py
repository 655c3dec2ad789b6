"""What distinguishes requests as evidence of crashes."""

import dataclasses

from adapter import messages
import pytest

from celeryward.callers import relayed_requests
from celeryward import calls
from celeryward import deadlines
from celeryward.endpoints import request_content
from celeryward import http

HEADERS = {
    'Host': 'h',
    'Celeryward-Attempt-Id': 'a-1',
    'Celeryward-Deadline-Ms': '900',
    'Celeryward-Model': 'm',
    'Celeryward-Token-Usage': '30,5',
    'Celeryward-Length-Hint': '4',
    'Celeryward-Prompt-Prefix': 'aa:10,bb:10,cc:10',
    'Session': 's',
    'X-Other': 'o',
}
CONTENT = request_content.RequestContent(
    customer='c',
    method='POST',
    target='/a?b',
    model='m',
    session='s',
    prompt=(('aa', 10), ('bb', 20)),
    usage=(30, 5, 4),
    options=(('stream', True),),
    header=b'x:y',
    body=b'{}',
)
CHAT = calls.ChatRequest(
    'm', (calls.Message('system', 'a'), calls.Message('user', 'b'))
)
SERVICE = calls.ServiceRequest('s', 'POST', '/a', {'x': 'y'}, b'body', True)


def relay(target='/a', body=b'{}', method='POST', **changes):
    """Return the content of a request to a router.

    :param changes: header fields that differ; None leaves one out.
    """
    headers = HEADERS | {
        name.replace('_', '-'): value for name, value in changes.items()
    }
    present = {name: each for name, each in headers.items() if each}
    lines = tuple((k.encode(), v.encode()) for k, v in present.items())
    by_name = {name.lower(): value for name, value in present.items()}
    head = http.Request(method, target, by_name, lines)
    relayed = relayed_requests.RelayedRequest(
        messages.read_request(head),
        None,
        None,
        head,
        body,
        deadlines.Deadline.after(1.0),
    )
    return relayed.content()


class TestFields:
    """Guards against evidence that a different request clears."""

    @pytest.mark.parametrize(
        'change',
        (
            {'customer': 'd'},
            {'method': 'PUT'},
            {'target': '/a?c'},
            {'model': 'n'},
            {'session': 't'},
            {'prompt': (('bb', 20), ('aa', 10))},
            {'prompt': (('aa', 10), ('bb', 21))},
            {'prompt': (('aa', 10),)},
            {'usage': (30, 6, 4)},
            {'options': (('stream', False),)},
            {'header': b'x:z'},
            {'body': b'{ }'},
        ),
    )
    def test_request_that_differs_has_its_own_fingerprint(self, change):
        changed = dataclasses.replace(CONTENT, **change)
        assert changed.fingerprint() != CONTENT.fingerprint()

    def test_field_that_is_empty_has_its_own_fingerprint(self):
        for field in dataclasses.fields(CONTENT):
            changed = dataclasses.replace(
                CONTENT, **{field.name: field.default}
            )
            assert changed.fingerprint() != CONTENT.fingerprint()

    def test_equal_requests_have_the_same_fingerprint(self):
        assert (
            dataclasses.replace(CONTENT).fingerprint() == CONTENT.fingerprint()
        )

    def test_content_does_not_move_between_fields(self):
        one = request_content.RequestContent(method='ab', target='c')
        other = request_content.RequestContent(method='a', target='bc')
        assert one.fingerprint() != other.fingerprint()


class TestRouters:
    """Guards against what endpoints see and routers take for the same."""

    @pytest.mark.parametrize(
        'change',
        (
            {'target': '/b'},
            {'method': 'PUT'},
            {'body': b'[]'},
            {'Celeryward_Model': 'n'},
            {'Celeryward_Token_Usage': '31,5'},
            {'Celeryward_Token_Usage': '30,6'},
            {'Celeryward_Length_Hint': '5'},
            {'Celeryward_Prompt_Prefix': 'bb:10,aa:10,cc:10'},
            {'Celeryward_Prompt_Prefix': 'aa:10,bb:10,cd:10'},
            {'Celeryward_Prompt_Prefix': None},
            {'Session': 't'},
            {'X_Other': 'p'},
        ),
    )
    def test_request_that_differs_has_its_own_fingerprint(self, change):
        assert relay(**change).fingerprint() != relay().fingerprint()

    @pytest.mark.parametrize(
        'change',
        (
            {'Celeryward_Attempt_Id': 'a-2'},
            {'Celeryward_Deadline_Ms': '100'},
            {'Celeryward_Deadline_Ms': None},
            {'Authorization': 'Bearer other'},
            {'Last_Event_Id': '3'},
            {'X_Retry_Count': '2'},
            {'Traceparent': '00-1-2-01'},
            {'Connection': 'x-hop', 'X-Hop': '1'},
        ),
    )
    def test_repeat_by_the_caller_has_the_same_fingerprint(self, change):
        assert relay(**change).fingerprint() == relay().fingerprint()

    @pytest.mark.parametrize(
        'field',
        (
            'b3',
            'X-Amzn-Trace-Id',
            'X-B3-SpanId',
            'X-B3-TraceId',
            'X-Cloud-Trace-Context',
            'X-Correlation-Id',
            'X-Request-Start',
            'Uber-Trace-Id',
        ),
    )
    def test_repeat_in_another_trace_has_the_same_fingerprint(self, field):
        first, repeat = (relay(**{field: each}) for each in ('1', '2'))
        assert first.fingerprint() == repeat.fingerprint()

    def test_order_and_case_of_fields_do_not_matter(self):
        lines = ((b'B', b'1'), (b'a', b'2'))
        assert request_content.join_lines(lines) == request_content.join_lines(
            ((b'A', b'2'), (b'b', b'1'))
        )

    def test_request_without_parts_has_a_fingerprint(self):
        content = relay(Celeryward_Prompt_Prefix=None)
        assert content.prompt == ()
        assert content.fingerprint().startswith('request-')


class TestDaemons:
    """Guards against what engines see and daemons take for the same."""

    @pytest.mark.parametrize(
        'change',
        (
            {'stream': True},
            {'max_tokens': 5},
            {'temperature': 0.5},
            {'messages': CHAT.messages[::-1]},
            {'messages': CHAT.messages[:1]},
        ),
    )
    def test_chat_that_differs_has_its_own_fingerprint(self, change):
        one = request_content.read_content('m', CHAT)
        other = request_content.read_content(
            'm', dataclasses.replace(CHAT, **change)
        )
        assert one.fingerprint() != other.fingerprint()

    @pytest.mark.parametrize(
        'change',
        (
            {'method': 'PUT'},
            {'target': '/b'},
            {'headers': {'x': 'z'}},
            {'body': b'other'},
        ),
    )
    def test_service_request_that_differs_has_its_own_fingerprint(
        self, change
    ):
        one = request_content.read_content('s', SERVICE)
        other = request_content.read_content(
            's', dataclasses.replace(SERVICE, **change)
        )
        assert one.fingerprint() != other.fingerprint()

    def test_text_that_is_no_valid_unicode_has_a_fingerprint(self):
        odd = calls.ChatRequest('m', (calls.Message('user', '\ud800'),))
        assert request_content.read_content('m', odd).fingerprint()

"""Finding the cause of a failed request in the logs of routers."""

import pytest

from celeryward import errors
from celeryward.operators import cli
from celeryward.operators import explain
from celeryward.operators import log_lines
from tests import platform_standins as standins

# The clock of router-2 is 40 s behind that of router-1.
DAY = '2026-12-04'
CLOCK_SECONDS = {'router-1': 50, 'router-2': 10}


def log_line(router, at, message, request_id='-', **fields):
    """Return one log line as JSON text.

    :param float at: seconds after the reading of the router's clock in
        ``CLOCK_SECONDS``.
    """
    seconds = CLOCK_SECONDS[router] + at
    minute, seconds = divmod(seconds, 60)
    return (
        standins.encode(
            {
                'time': f'{DAY}T10:{int(minute):02}:{seconds:06.3f}+00:00',
                'level': 'INFO',
                'message': message,
                'request_id': request_id,
                'step': 'x',
                'router': router,
                **fields,
            }
        ).decode()
        + '\n'
    )


def dispatched(router, at, request_id, peer='10.0.0.1:80', **fields):
    fields = {'endpoint': 'e1', 'attempt': 1, **fields}
    return log_line(router, at, 'dispatched', request_id, peer=peer, **fields)


def request_ended(router, at, request_id, status=200, whole=True):
    return log_line(
        router, at, 'request ended', request_id, status=status, whole=whole
    )


BROKEN_STREAM = [
    dispatched('router-1', 0.0, 'a', software='v1', route='chat'),
    log_line(
        'router-1',
        0.4,
        'dispatch failed: connection_failed connection lost',
        'a',
        peer='10.0.0.1:80',
        endpoint='e1',
        events=3,
        again=True,
    ),
    log_line(
        'router-1', 0.4, 'endpoint lost', peer='10.0.0.1:80', endpoint='e1'
    ),
    log_line(
        'router-1', 0.5, 'endpoint lost', peer='10.0.0.7:80', endpoint='e7'
    ),
    dispatched('router-1', 0.5, 'a', '10.0.0.2:80', attempt=2, after_event=3),
    dispatched('router-2', 0.1, 'b'),
    request_ended('router-2', 0.2, 'b'),
    log_line(
        'router-1',
        0.9,
        'dispatch failed: connection_failed connection lost',
        'a',
        peer='10.0.0.1:80',
        endpoint='e1',
        events=4,
        again=False,
    ),
    log_line(
        'router-1',
        0.9,
        'request failed: outcome_unknown request may have run',
        'a',
        status=200,
        execution='unknown',
    ),
    request_ended('router-1', 0.9, 'a', whole=False),
]


def parse_request_logs(lines):
    return explain.group_by_request(log_lines.parse(lines))


class TestRequestLog:
    """Guards against request logs that mix requests, routers or clocks."""

    def test_request_log_matches_golden_file(self, snapshot):
        request_logs = parse_request_logs(BROKEN_STREAM)
        assert [each.request_id for each in request_logs] == ['b', 'a']
        text = '\n'.join(explain.render(request_logs[1]))
        assert text == snapshot

    def test_lines_of_one_router_keep_their_order(self):
        """A clock that is set back must not reorder the lines."""
        lines = [
            dispatched('router-1', 5.0, 'a'),
            request_ended('router-1', 1.0, 'a', 503),
        ]
        request_log = parse_request_logs(lines)[0]
        assert [each.message for each in request_log.lines] == [
            'dispatched',
            'request ended',
        ]

    def test_same_id_at_two_routers_gives_two_logs(self):
        lines = [
            dispatched('router-1', 0.0, 'a'),
            dispatched('router-2', 0.0, 'a'),
        ]
        assert len(parse_request_logs(lines)) == 2

    def test_text_that_is_no_log_line_is_skipped(self):
        lines = ['Task(id=1) took longer\n', '{"half": \n', 'front-1 ']
        lines[2] += dispatched('router-1', 0.0, 'a')
        lines.append('{"time": 5, "message": "x"}\n')
        assert len(parse_request_logs(lines)) == 1


def request_failed(message, **fields):
    return log_line(
        'router-1', 1.0, f'request failed: {message}', 'a', **fields
    )


def closed(at, announced_to, **fields):
    return log_line(
        'router-1',
        at,
        'endpoint closed',
        peer='10.0.0.1:80',
        endpoint='e1',
        service='app',
        announced_to=announced_to,
        **fields,
    )


CASES = {
    'harmful-request': [
        request_failed('harmful_request 3 endpoints crashed under requests')
    ],
    'store-lost': [
        log_line('router-1', 0.0, 'store lost: refused'),
        request_failed('not_run configuration is old', configuration_age=4.1),
    ],
    'router-starting': [request_failed('not_run no configuration yet')],
    'retry-budget': [
        request_failed('overloaded not run: retry budget is used up')
    ],
    'endpoints-closed': [
        closed(0.0, 'b', closed_seconds=2.0),
        request_failed('endpoints_closed none opens in time', peer='app'),
    ],
    'endpoints-leaving': [
        log_line(
            'router-1',
            -30.0,
            'endpoint announced that it leaves',
            peer='10.0.0.1:80',
            endpoint='e1',
            service='app',
            announced_to='b',
        ),
        request_failed('endpoints_leaving all leave', peer='app'),
    ],
    'no-endpoint': [request_failed('overloaded no endpoint of 0 can take it')],
    'no-route': [request_failed('unknown_target no route for this host')],
    'unknown-key': [
        request_failed('unauthenticated no customer holds the key')
    ],
    'deadline': [request_failed('answer_late no complete answer')],
    'endpoint-lost': BROKEN_STREAM,
    'endpoint-silent': [
        log_line(
            'router-1',
            0.0,
            'dispatch failed: connection_silent deadline passed',
            'a',
            silent=1.6,
            endpoint='e1',
        ),
        request_failed('outcome_unknown request may have run'),
    ],
    'connection-broken': [
        log_line(
            'router-1',
            0.0,
            'dispatch failed: connection_failed reset',
            'a',
            peer='p',
        ),
        request_failed('outcome_unknown request may have run'),
    ],
    'endpoint-failed': [
        dispatched('router-1', 0.0, 'a'),
        request_ended('router-1', 0.1, 'a', 500),
    ],
    'caller-left': [
        dispatched('router-1', 0.0, 'a'),
        log_line('router-1', 0.1, 'caller left before its answer', 'a'),
    ],
    'other': [request_failed('bad_input the head can be read in two ways')],
    'served': [
        dispatched('router-1', 0.0, 'a'),
        request_ended('router-1', 0.1, 'a'),
    ],
}


class TestCauses:
    """Guards against a cause that the log lines do not support."""

    @pytest.mark.parametrize('name', CASES)
    def test_each_cause_is_found(self, name):
        request_log = next(
            each
            for each in parse_request_logs(CASES[name])
            if each.request_id == 'a'
        )
        found, text = explain.find_cause(request_log)
        assert found == name
        assert text

    def test_closed_and_leaving_endpoints_are_named(self):
        for name in ('endpoints-closed', 'endpoints-leaving'):
            request_log = parse_request_logs(CASES[name])[0]
            _, text = explain.find_cause(request_log)
            assert 'e1 said so to request b' in text

    def test_cold_endpoint_is_named(self):
        refused = request_failed('endpoints_closed in time', peer='app')
        cold = log_line(
            'router-1',
            0.0,
            'endpoint is cold',
            peer='10.0.0.2:80',
            endpoint='e2',
            service='app',
            seconds=3.0,
        )
        for lines, expected in (
            ([cold, refused], 'e2 was cold'),
            (
                [cold, closed(0.0, 'b', closed_seconds=2.0), refused],
                'e2 was cold; e1 said so to request b',
            ),
        ):
            request_log = parse_request_logs(lines)[0]
            name, text = explain.find_cause(request_log)
            assert name == 'endpoints-closed'
            assert text.endswith(expected)

    def test_changed_endpoint_is_explained(self):
        lines = [
            dispatched('router-1', 0.0, 'a'),
            closed(0.1, 'a', closed_seconds=2.0),
            log_line(
                'router-1',
                0.1,
                'dispatch failed: endpoint_refused answered 503',
                'a',
                peer='10.0.0.1:80',
                endpoint='e1',
            ),
            dispatched('router-1', 0.1, 'a', '10.0.0.2:80', endpoint='e2'),
            request_ended('router-1', 0.3, 'a'),
        ]
        name, text = explain.find_cause(parse_request_logs(lines)[0])
        assert name == explain.SERVED
        assert 'changed from e1: endpoint closed' in text

    def test_caller_that_leaves_after_a_failure_is_not_the_cause(self):
        lines = [*CASES['deadline'], CASES['caller-left'][1]]
        assert (
            explain.find_cause(parse_request_logs(lines)[0])[0] == 'deadline'
        )

    def test_every_cause_has_a_case(self):
        assert set(CASES) == {*explain.CAUSES.entries, explain.SERVED}

    def test_count_causes_counts_only_failures(self):
        lines = BROKEN_STREAM + [request_ended('router-2', 0.3, 'c', 500)]
        assert explain.count_causes(parse_request_logs(lines)) == {
            'endpoint-lost': 1,
            'endpoint-failed': 1,
        }


class TestCommand:
    """Guards against a command that fails on the files of operators."""

    def test_request_is_found_in_several_files(self, tmp_path, capsys):
        paths = []
        for router in CLOCK_SECONDS:
            paths.append(tmp_path / f'{router}.log')
            router_lines = [
                each for each in BROKEN_STREAM if f'"{router}"' in each
            ]
            paths[-1].write_text(''.join(router_lines))
        commands = cli.Commands()
        assert commands.explain('a', *paths) == cli.EXIT_OK
        assert 'endpoint-lost' in capsys.readouterr().out
        assert commands.explain('unknown', *paths) == cli.EXIT_FAILED
        for arguments in (['--summary', *paths], [*paths, '--summary']):
            with pytest.raises(SystemExit):
                cli.main(['explain', *map(str, arguments)])
            assert '1 endpoint-lost' in capsys.readouterr().out

    def test_missing_file_is_named(self):
        with pytest.raises(errors.BadInput, match='missing.log'):
            cli.Commands().explain('a', 'missing.log')

"""The whole path as separate processes."""

import curio
import msgspec

from benchmarks import processes
from celeryward.operators import demo


class TestSeparateProcesses:
    """Guards against parts that only work inside one process."""

    def test_request_is_served_and_billed(self, tmp_path):
        with processes.stopping([]) as running:
            platform = processes.start_standin('platform')
            running.append(platform)
            engine = processes.start_standin('engine', '--versions=small@1')
            running.append(engine)
            records = [
                processes.customer_record('workshop', ['small']),
                processes.version_record('small', '1'),
                processes.endpoint_record(
                    'engine-1', engine.port, serves=['small@1']
                ),
            ]
            processes.apply(platform, tmp_path / 'records.yaml', records)
            daemon = processes.start_daemon(
                tmp_path / 'daemon.yaml',
                {
                    'name': 'daemon-1',
                    'failure_domain': 'domain-1',
                    'platform': {'port': platform.port},
                },
            )
            running.append(daemon)
            example = demo.chat('', 'small', 'x', stream=True)
            head, body = curio.run(demo.send, daemon.port, example)
            assert head.status == 200
            assert body.endswith(b'data: [DONE]\n\n')
            assert daemon.stop() == 0
            listed = processes.run_command(
                'list',
                'BillBatch',
                f'--platform=127.0.0.1:{platform.port}',
                '--output=json',
            )
            assert len(msgspec.json.decode(listed.stdout)) == 1
            page = tmp_path / 'report.html'
            told = processes.run_command(
                'report',
                f'--platform=127.0.0.1:{platform.port}',
                f'--html={page}',
            )
            assert told.stdout.startswith('The day went well: 1 requests')
            assert 'each request has one bill' in told.stdout
            assert 'The day went well' in page.read_text()
